package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
)

// recordStore writes a leader's records of hosts, launches, bookings and completions to the
// state service.
type recordStore struct {
	*termContext
	commands *commandSender
	config   *configManager
	election *election
	jobs     *jobManager
	store    *stateStore

	hostShards       *recordShards
	bookingShards    *recordShards
	completionShards *recordShards
	launchShards     *recordShards

	launches          map[string]*state.Attempt // by task, those that a record names or will
	launchesWrittenAt micros                    // when a record of launches was last sent
	chunkWriter       chunkWriter
	nextImageRecord   micros

	orphanedKeys    []string // of records that belong to nothing: to be deleted
	droppingOrphans bool
}

func newRecordStore(tc *termContext) *recordStore {
	rs := &recordStore{termContext: tc, launches: make(map[string]*state.Attempt)}
	rs.hostShards = newRecordShards(records.HostShardPrefix, rs.encodeHosts)
	rs.bookingShards = newRecordShards(records.BookingShardPrefix, rs.encodeBookings)
	rs.completionShards = newRecordShards(records.CompletionShardPrefix, rs.encodeCompletions)
	rs.launchShards = newRecordShards(records.LaunchShardPrefix, rs.encodeLaunches)
	return rs
}

// launchRecordSize is what a launch may take in a record. Tasks of a job come
// together mostly; a record that comes out too long is split.
func launchRecordSize(a *state.Attempt) int { return len(a.Host.Name) + 24 }

// recordLaunch asks for the record of a launch.
func (rs *recordStore) recordLaunch(a *state.Attempt, due micros) {
	name := a.Name.TaskName.String()
	rs.launches[name] = a
	rs.launchShards.put(name, launchRecordSize(a), rs.shardCapacity(), due, due < protocol.Forever)
}

// launchRecordDue is when the record of a launch has to be written: at once, unless final records
// wait in line. Then one of launches does not follow the last one sooner than that takes, up
// to a second. Jobs of one task that come several a second had one written for each, a
// quarter of all changes, while others' launches and their own ends had to wait. A class
// with an aim on starting does not wait.
func (rs *recordStore) launchRecordDue(s *protocol.JobSpec) micros {
	at := rs.now.Steady
	if rs.startObjective(s.Class) > 0 || at-rs.jobs.finals.lastFinishedAt > finalWriteRecency {
		return at
	}
	return max(at, rs.launchesWrittenAt+min(rs.jobs.finals.lastLatency, maxLaunchRecordDelay))
}

// encodeLaunches makes the record that some launches share. What is over falls
// out of it.
func (rs *recordStore) encodeLaunches(names []string) ([]byte, func()) {
	var list []records.Launch
	var attempts []*state.Attempt
	for _, name := range names {
		a := rs.launches[name]
		if a == nil || !a.State.HoldsResources() {
			delete(rs.launches, name)
			rs.launchShards.drop(name, protocol.Forever)
			continue
		}
		list, attempts = append(list, records.Launch{Name: a.Name, Host: a.Host.Name}), append(attempts, a)
	}
	return records.EncodeLaunches(list), func() {
		for _, a := range attempts {
			if !a.Recorded {
				a.Recorded = true
				rs.commands.queueCommands(a.Host)
			}
		}
	}
}

// Bytes that entries may take in the records they share.
func hostRecordSize(h *state.Host) int {
	return len(h.Name) + len(h.Addr) + len(h.TypeName) + len(h.Zone) + 40
}

func bookingRecordSize(ref string) int { return len(ref) + 24 }

// hasReservation is how much of a record entries may take; in a host's some is left for
// images, which are written as far as they fit.
func (rs *recordStore) shardCapacity() int { return rs.store.limits.target.maxValueBytes - 200 }

func (rs *recordStore) hostShardCapacity() int { return rs.store.limits.target.maxValueBytes * 6 / 10 }

// key asks for a host's record. Nothing is launched on a host before: a
// successor must know where tasks may be.
func (rs *recordStore) recordHost(h *state.Host) {
	if !h.Record.Written {
		rs.hostShards.put(h.Name, hostRecordSize(h), rs.hostShardCapacity(), rs.now.Steady, true)
	}
}

// encodeHosts makes the record that some hosts share.
func (rs *recordStore) encodeHosts(names []string) ([]byte, func()) {
	var hosts []*state.Host
	for _, name := range names {
		if h := rs.cluster.Host(name); h != nil {
			if h.Record.WrittenWall == 0 {
				h.Record.WrittenWall = rs.now.Wall
			}
			h.Record.ImagesStale = false
			hosts = append(hosts, h)
		}
	}
	value := records.EncodeHosts(hosts, true)
	if len(value) > rs.store.limits.target.maxValueBytes {
		value = records.EncodeHosts(hosts, false)
	}
	return value, func() {
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
}

// imageRecordInterval is how often the images of hosts are recorded anew where they take few records. Which ones a
// host has is worth knowing after a take-over, but nothing depends on it.
const imageRecordInterval = 10 * protocol.Second

// imageRecordRateShare is the part of the rate of changes that records of hosts may take for that.
// Small records are many, and with each machine's images changing all the time they took a
// fifth of 24 changes a second.
const imageRecordRateShare = 0.1

// imageRecordDelay is how long after one time the images are recorded the next time, so that all
// records of hosts take no more than their part of a rate.
func imageRecordDelay(records int, rate float64) micros {
	return max(imageRecordInterval, protocol.FromSeconds(float64(records)/(rate*imageRecordRateShare)))
}

func (rs *recordStore) recordImages() {
	if rs.now.Steady < rs.nextImageRecord {
		return
	}
	rs.nextImageRecord = rs.now.Steady + imageRecordDelay(len(rs.hostShards.shards), rs.store.writeRate())
	for _, h := range rs.cluster.Hosts() {
		if h.Record.Written && h.Record.ImagesStale && h.State == state.HostReady {
			rs.hostShards.put(h.Name, hostRecordSize(h), rs.hostShardCapacity(), rs.now.Steady, false)
		}
	}
}

// encodeBookings makes the record that some bookings share.
func (rs *recordStore) encodeBookings(refs []string) ([]byte, func()) {
	return records.EncodeBookings(refs, func(ref string) micros {
		if j := rs.cluster.Job(ref); j != nil {
			return j.Booking.Start - rs.now.Steady + rs.now.Wall
		}
		return 0
	}), nil
}

// encodeCompletions makes the record of completions that some arrays share.
func (rs *recordStore) encodeCompletions(refs []string) ([]byte, func()) {
	var jobs []*state.Job
	var tasks [][]int
	for _, ref := range refs {
		j := rs.cluster.Job(ref)
		if j == nil || j.State != state.JobActive {
			rs.completionShards.drop(ref, protocol.Forever) // its final record covers it
			continue
		}
		jobs, tasks = append(jobs, j), append(tasks, j.CompletedNotDurable(0, len(j.Tasks)))
	}
	return records.EncodeCompletions(jobs), func() {
		for i, j := range jobs {
			for _, k := range tasks[i] {
				j.Tasks[k].Durable = true
			}
		}
	}
}

// deleteOrphanedRecords removes records that belong to nothing, a transaction at a time.
// One that is left over only costs its reader a look.
func (rs *recordStore) deleteOrphanedRecords() {
	if rs.droppingOrphans || len(rs.orphanedKeys) == 0 {
		return
	}
	n := min(len(rs.orphanedKeys), rs.store.limits.target.maxChanges)
	var then []protocol.Change
	for _, key := range rs.orphanedKeys[:n] {
		then = append(then, protocol.Change{Key: key})
	}
	rs.droppingOrphans = true
	rs.election.leaderTransaction(priorityNormal, nil, then, func(o txnOutcome, _ protocol.TxnResult) {
		if o == txnCommitted {
			rs.orphanedKeys = rs.orphanedKeys[n:]
			rs.droppingOrphans = false
			return
		}
		rs.after(2*protocol.Second, func() { rs.droppingOrphans = false })
	})
}
