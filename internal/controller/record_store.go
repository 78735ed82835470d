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

	launches          map[string]*state.Attempt // by task, those that are recorded or queued to be
	launchesWrittenAt micros                    // when a record of launches was last sent
	chunkWriter       chunkWriter
	nextImageRecord   micros

	orphanedKeys    []string // keys of records without an owner, to be deleted
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

// Bytes of entries in shared records besides their names. These are estimates: a record whose
// encoding exceeds the limit is split.
const (
	launchEntrySize     = 24
	hostEntrySize       = 40
	bookingEntrySize    = 24
	completionEntrySize = 8
	shardOverhead       = 200 // of a record besides its entries
)

const (
	// maxLaunchRecordDelay limits how long a launch waits for other launches to share its record.
	maxLaunchRecordDelay = protocol.Second
	// finalWriteRecency is how long the latency of the last final record is regarded as current.
	finalWriteRecency = 3 * protocol.Second

	// imageRecordInterval is the shortest interval at which the images of hosts are recorded. It
	// applies if they take few records. The list of a host's images is useful to a new leader, but
	// nothing depends on it.
	imageRecordInterval = 10 * protocol.Second
	// imageRecordRateShare is the share of the write rate that the records of images may take.
	// With small records there are many of them, and images change all the time.
	imageRecordRateShare = 0.1

	orphanDeletionRetry = 2 * protocol.Second
)

func launchRecordSize(a *state.Attempt) int { return len(a.Host.Name) + launchEntrySize }

func hostRecordSize(h *state.Host) int {
	return len(h.Name) + len(h.Addr) + len(h.TypeName) + len(h.Zone) + hostEntrySize
}

func bookingRecordSize(ref string) int { return len(ref) + bookingEntrySize }

// shardCapacity is how many bytes the entries of a record may take.
func (rs *recordStore) shardCapacity() int { return rs.store.Target().MaxValueBytes - shardOverhead }

// hostShardCapacity is how many bytes the hosts in a record may take. The rest is left for their
// images, which are included if all of them fit.
func (rs *recordStore) hostShardCapacity() int { return rs.store.Target().MaxValueBytes * 6 / 10 }

// recordLaunch queues a launch to be recorded at the instant due.
func (rs *recordStore) recordLaunch(a *state.Attempt, due micros) {
	task := a.Name.String()
	rs.launches[task] = a
	rs.launchShards.put(task, launchRecordSize(a), rs.shardCapacity(), due, due < protocol.Forever)
}

// launchRecordDue is when the record of a launch has to be written: at once, unless final records
// were written lately. In that case launch records are spaced by the latency of the last final
// record, up to a second: if several jobs of one task arrive every second, each would otherwise
// cause a record of its own, which delays the launches of other jobs and the final records of the
// same jobs. A class with a start objective is not delayed.
func (rs *recordStore) launchRecordDue(s *protocol.JobSpec) micros {
	now, finals := rs.now.Steady, &rs.jobs.finals
	if rs.startObjective(s.Class) > 0 || now-finals.lastFinishedAt > finalWriteRecency {
		return now
	}
	return max(now, rs.launchesWrittenAt+min(finals.lastLatency, maxLaunchRecordDelay))
}

// encodeLaunches encodes the record that some launches share. Launches whose attempts have ended
// are dropped from it.
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

// recordHost queues a host to be recorded. Nothing is launched on it before the record is durable,
// since a new leader needs the list of all hosts on which tasks may be.
func (rs *recordStore) recordHost(h *state.Host) {
	if !h.Record.Written {
		rs.putHost(h, rs.now.Steady, true)
	}
}

// putHost queues a host's record to be written at the instant due.
func (rs *recordStore) putHost(h *state.Host, due micros, urgent bool) {
	rs.hostShards.put(h.Name, hostRecordSize(h), rs.hostShardCapacity(), due, urgent)
}

// encodeHosts encodes the record that some hosts share, with their images if these fit.
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

// imageRecordDelay is the delay between two records of the images, chosen so that the records of
// all hosts take no more than imageRecordRateShare of a rate.
func imageRecordDelay(shards int, rate float64) micros {
	return max(imageRecordInterval, protocol.FromSeconds(float64(shards)/(rate*imageRecordRateShare)))
}

// recordImages queues the records of hosts with changed images, at the interval imageRecordDelay.
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

// encodeBookings encodes the record that some bookings share.
func (rs *recordStore) encodeBookings(refs []string) (value []byte, onCommit func()) {
	return records.EncodeBookings(refs, func(ref string) micros {
		if j := rs.cluster.Job(ref); j != nil {
			return rs.wallTime(j.Booking.Start)
		}
		return 0
	}), nil
}

// deleteOrphanedRecords deletes records without an owner, one transaction at a time. A record that
// remains does no harm: it only costs a new leader an additional check.
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
