package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
	"mapleslip/internal/statestore"
)

// recordStore writes a leader's records of hosts, launches, bookings and completions to the
// state service.
type recordStore struct {
	*termContext
	commands *commandSender
	config   *configManager
	election *election
	jobs     *jobManager
	store    *statestore.Client

	hostShards       *recordShards
	bookingShards    *recordShards
	completionShards *recordShards
	launchShards     *recordShards

	launches          map[string]*state.Attempt // by task, those that a record names or will
	launchesWrittenAt micros                    // when a record of launches was last sent
	chunkWriter       chunkWriter
	nextImageRecord   micros

	orphanedKeys    []string // of records that belong to nothing: to be deleted
	deletingOrphans bool
}

func newRecordStore(tc *termContext) *recordStore {
	rs := &recordStore{termContext: tc, launches: make(map[string]*state.Attempt)}
	rs.hostShards = newRecordShards(records.HostShardPrefix, rs.encodeHosts)
	rs.bookingShards = newRecordShards(records.BookingShardPrefix, rs.encodeBookings)
	rs.completionShards = newRecordShards(records.CompletionShardPrefix, rs.encodeCompletions)
	rs.launchShards = newRecordShards(records.LaunchShardPrefix, rs.encodeLaunches)
	return rs
}

// Bytes of entries in shared records besides their names. A record that comes out too long is
// split.
const (
	launchEntrySize     = 24
	hostEntrySize       = 40
	bookingEntrySize    = 24
	completionEntrySize = 8
	shardOverhead       = 200 // of a record besides its entries
)

const (
	// maxLaunchRecordDelay is how long a launch waits for others to share its record.
	maxLaunchRecordDelay = protocol.Second
	// finalWriteRecency is how long the latency of the last final record says anything.
	finalWriteRecency = 3 * protocol.Second

	// imageRecordInterval is how often the images of hosts are recorded anew where they take few
	// records. Which ones a host has is worth knowing after a failover, but nothing depends on
	// it.
	imageRecordInterval = 10 * protocol.Second
	// imageRecordRateShare is the part of the write rate that records of hosts may take for
	// that. Small records are many, and images change all the time.
	imageRecordRateShare = 0.1

	orphanDeletionRetry = 2 * protocol.Second
)

func launchRecordSize(a *state.Attempt) int { return len(a.Host.Name) + launchEntrySize }

func hostRecordSize(h *state.Host) int {
	return len(h.Name) + len(h.Addr) + len(h.TypeName) + len(h.Zone) + hostEntrySize
}

func bookingRecordSize(ref string) int { return len(ref) + bookingEntrySize }

// shardCapacity is how many bytes of a record entries may take.
func (rs *recordStore) shardCapacity() int { return rs.store.Target().MaxValueBytes - shardOverhead }

// hostShardCapacity is how many bytes of a record hosts may take. Some are left for images,
// which are written as far as they fit.
func (rs *recordStore) hostShardCapacity() int { return rs.store.Target().MaxValueBytes * 6 / 10 }

// recordLaunch has a launch recorded by an instant.
func (rs *recordStore) recordLaunch(a *state.Attempt, due micros) {
	task := a.Name.String()
	rs.launches[task] = a
	rs.launchShards.put(task, launchRecordSize(a), rs.shardCapacity(), due, due < protocol.Forever)
}

// launchRecordDue is when the record of a launch has to be written: at once, unless final
// records wait in line. Then one of launches does not follow the last one sooner than that
// takes, up to a second: jobs of one task that come several a second would have one written
// for each, while others' launches and their own ends have to wait. A class with an objective
// on starting does not wait.
func (rs *recordStore) launchRecordDue(s *protocol.JobSpec) micros {
	now, finals := rs.now.Steady, &rs.jobs.finals
	if rs.startObjective(s.Class) > 0 || now-finals.lastFinishedAt > finalWriteRecency {
		return now
	}
	return max(now, rs.launchesWrittenAt+min(finals.lastLatency, maxLaunchRecordDelay))
}

// encodeLaunches makes the record that some launches share. What is over falls out of it.
func (rs *recordStore) encodeLaunches(tasks []string) (value []byte, onCommit func()) {
	var launches []records.Launch
	var attempts []*state.Attempt
	for _, task := range tasks {
		a := rs.launches[task]
		if a == nil || !a.State.HoldsResources() {
			delete(rs.launches, task)
			rs.launchShards.drop(task, protocol.Forever)
			continue
		}
		launches = append(launches, records.Launch{Name: a.Name, Host: a.Host.Name})
		attempts = append(attempts, a)
	}
	return records.EncodeLaunches(launches), func() {
		for _, a := range attempts {
			if !a.Recorded {
				a.Recorded = true
				rs.commands.queueCommands(a.Host)
			}
		}
	}
}

// recordHost has a host recorded. Nothing is launched on it before: a successor must know where
// tasks may be.
func (rs *recordStore) recordHost(h *state.Host) {
	if !h.Record.Written {
		rs.putHost(h, rs.now.Steady, true)
	}
}

// putHost has a host's record written by an instant.
func (rs *recordStore) putHost(h *state.Host, due micros, urgent bool) {
	rs.hostShards.put(h.Name, hostRecordSize(h), rs.hostShardCapacity(), due, urgent)
}

// encodeHosts makes the record that some hosts share, with their images if they fit.
func (rs *recordStore) encodeHosts(names []string) (value []byte, onCommit func()) {
	var hosts []*state.Host
	for _, name := range names {
		h := rs.cluster.Host(name)
		if h == nil {
			continue
		}
		if h.Record.WrittenWall == 0 {
			h.Record.WrittenWall = rs.now.Wall
		}
		h.Record.ImagesStale = false
		hosts = append(hosts, h)
	}
	value = records.EncodeHosts(hosts, true)
	if len(value) > rs.store.Target().MaxValueBytes {
		value = records.EncodeHosts(hosts, false)
	}
	return value, func() { rs.onHostsRecorded(hosts) }
}

func (rs *recordStore) onHostsRecorded(hosts []*state.Host) {
	for _, h := range hosts {
		if !h.Record.Written {
			h.Record.Written = true
			rs.cycleNeeded = true
			rs.commands.queueCommands(h)
		}
		if h.Record.Legacy {
			h.Record.Legacy = false
			rs.orphanedKeys = append(rs.orphanedKeys, records.LegacyHostPrefix+h.Name)
		}
	}
}

// imageRecordDelay is how long after one time the images are recorded the next time, so that
// all records of hosts take no more than their part of a rate.
func imageRecordDelay(shards int, rate float64) micros {
	return max(imageRecordInterval, protocol.FromSeconds(float64(shards)/(rate*imageRecordRateShare)))
}

// recordImages has the images of hosts recorded, now and then.
func (rs *recordStore) recordImages() {
	if rs.now.Steady < rs.nextImageRecord {
		return
	}
	rs.nextImageRecord = rs.now.Steady + imageRecordDelay(len(rs.hostShards.shards), rs.election.leaderWriteRate())
	for _, h := range rs.cluster.Hosts() {
		if h.Record.Written && h.Record.ImagesStale && h.State == state.HostReady {
			rs.putHost(h, rs.now.Steady, false)
		}
	}
}

// encodeBookings makes the record that some bookings share.
func (rs *recordStore) encodeBookings(refs []string) (value []byte, onCommit func()) {
	return records.EncodeBookings(refs, func(ref string) micros {
		if j := rs.cluster.Job(ref); j != nil {
			return rs.wallTime(j.Booking.Start)
		}
		return 0
	}), nil
}

// deleteOrphanedRecords deletes records that belong to nothing, a transaction at a time. One
// that is left over only costs its reader a look.
func (rs *recordStore) deleteOrphanedRecords() {
	if rs.deletingOrphans || len(rs.orphanedKeys) == 0 {
		return
	}
	n := min(len(rs.orphanedKeys), rs.store.Target().MaxChanges)
	var then []protocol.Change
	for _, key := range rs.orphanedKeys[:n] {
		then = append(then, protocol.Change{Key: key})
	}
	rs.deletingOrphans = true
	rs.election.transaction(priorityNormal, nil, then, func(_ uint64, err error) {
		if err == nil {
			rs.orphanedKeys = rs.orphanedKeys[n:]
			rs.deletingOrphans = false
			return
		}
		rs.after(orphanDeletionRetry, func() { rs.deletingOrphans = false })
	})
}
