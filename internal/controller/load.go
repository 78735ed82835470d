package controller

import (
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"

	"mapleslip/internal/configuration"
	"mapleslip/internal/featuregate"
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/state"
)

// How a new leader reads the records and what it does with them first.

// recordReader is what a new leader does with the records under a prefix.
type recordReader struct {
	prefix string
	read   func(protocol.Entry)
}

// startRecovery reads the records of jobs, hosts and bookings.
func (c *Controller) startRecovery() {
	c.setRole(RoleRecovering)
	c.lease.nextRenewal = c.now.Steady
	t := c.newLeaderTerm()
	launches := make(map[string]recordedLaunch)
	c.term = t
	bookings := make(map[string]micros)
	done := make(map[string][][]byte)
	chunks := make(map[string][]protocol.Entry)
	host := func(h *state.Host) {
		h.LeaseRenewedAt = c.lease.predecessorAnswersUntil
		h.LastContact = c.now.Steady
		if t.cluster.Host(h.Name) == nil {
			t.cluster.AddHost(h)
		}
	}
	// A record that can't be read is named, and never taken for an empty one.
	damaged := c.logDamagedRecord
	refused := false
	steps := []recordReader{
		{state.KeyTypes, func(e protocol.Entry) {
			if e.Key == state.KeyTypes {
				c.applyMachineTypesRecord(e.Value)
			}
		}},
		{state.KeyHandover, func(e protocol.Entry) {
			if e.Key != state.KeyHandover {
				return
			}
			m, err := state.DecodeHandoverState(e.Value)
			if err != nil {
				damaged(e, err) // what it says is found out again
				return
			}
			c.handover = leadership.Newest(c.handover, m)
		}},
		{state.HostShardPrefix, func(e protocol.Entry) {
			hosts, err := state.DecodeHosts(c.now.Steady, e.Value)
			if err != nil {
				// Tasks may be on its hosts, which nobody else names.
				damaged(e, err)
				refused = true
				return
			}
			g := t.hostShards.addStored(e)
			for _, h := range hosts {
				host(h)
				t.hostShards.assignStored(g, h.Name, hostRecordSize(h))
			}
		}},
		{state.LegacyHostPrefix, func(e protocol.Entry) {
			h, err := state.DecodeLegacyHost(c.now.Steady, strings.TrimPrefix(e.Key, state.LegacyHostPrefix), e.Value)
			if err != nil {
				damaged(e, err)
				refused = true
				return
			}
			h.LegacyRecord = true
			host(h)
		}},
		{state.BookingShardPrefix, func(e protocol.Entry) {
			at, err := state.DecodeBookings(e.Value)
			if err != nil {
				damaged(e, err) // a booking is found again by planning
				t.bookingShards.reserveNumber(e.Key)
				return
			}
			g := t.bookingShards.addStored(e)
			for ref, at := range at {
				t.bookingShards.assignStored(g, ref, bookingRecordSize(ref))
				bookings[ref] = at
			}
		}},
		{state.LegacyBookingPrefix, func(e protocol.Entry) {
			t.orphanedKeys = append(t.orphanedKeys, e.Key)
			at, err := strconv.ParseInt(string(e.Value), 10, 64)
			if err != nil {
				damaged(e, err)
				return
			}
			bookings[strings.TrimPrefix(e.Key, state.LegacyBookingPrefix)] = micros(at)
		}},
		{state.CompletionShardPrefix, func(e protocol.Entry) {
			list, err := state.DecodeCompletions(e.Value)
			if err != nil {
				damaged(e, err) // its tasks run again
				t.completionShards.reserveNumber(e.Key)
				return
			}
			g := t.completionShards.addStored(e)
			for ref, bits := range list {
				t.completionShards.assignStored(g, ref, len(ref)+len(bits)+8)
				done[ref] = append(done[ref], bits) // two records name it while one is divided
			}
		}},
		{state.LaunchShardPrefix, func(e protocol.Entry) {
			list, err := state.DecodeLaunches(e.Value)
			if err != nil {
				damaged(e, err)
				refused = true
				return
			}
			g := t.launchShards.addStored(e)
			for _, l := range list {
				// A record that was not written again may still name where a task
				// was before: the one that was written later is right.
				name := l.Name.TaskName.String()
				if old, ok := launches[name]; !ok || old.shard.revision < g.revision {
					launches[name] = recordedLaunch{l, g}
				}
			}
		}},
		{state.ChunkPrefix, func(e protocol.Entry) {
			ref, _, _ := strings.Cut(strings.TrimPrefix(e.Key, state.ChunkPrefix), "/")
			chunks[ref] = append(chunks[ref], e)
		}},
		{state.JobPrefix, func(e protocol.Entry) { c.observeJobRecord(e) }},
	}
	if c.features != nil {
		steps = append(steps, recordReader{featuregate.KeyLevel, c.levelReader(&refused)})
	}
	if t.rollouts.manager != nil {
		steps = append(steps, recordReader{rollout.Prefix, c.readRolloutRecord})
	}
	if c.config != nil {
		steps = append(steps, recordReader{configuration.KeyHead, c.readHeadRecord})
	}
	// All are read at once: one after the other they took as many round trips, three
	// seconds of a slow state service, and with leaders that ended every few seconds
	// nobody led for long enough. Only the jobs' revision has to be the first page's.
	waiting := len(steps)
	var jobsFrom uint64
	var read func(s recordReader)
	read = func(s recordReader) {
		began := c.now.Steady
		each := func(e protocol.Entry) {
			if c.term == t { // an answer may come when the lease has ended meanwhile
				s.read(e)
			}
		}
		c.listPrefix(priorityLeadership, s.prefix, each, func(rev uint64, ok bool) {
			if c.term != t {
				return
			}
			if refused {
				// Placing without knowing where tasks may be would run them twice.
				c.followAfter(damagedRecordRetry)
				return
			}
			if !ok {
				c.after(300*protocol.Millisecond, func() {
					if c.term == t {
						read(s)
					}
				})
				return
			}
			t.recoveryStages = append(t.recoveryStages, SpanStage{"read " + s.prefix, began, c.now.Steady})
			if s.prefix == state.JobPrefix {
				jobsFrom = rev
			}
			if waiting--; waiting > 0 {
				return
			}
			for ref, at := range bookings {
				if j := t.cluster.Job(ref); j != nil {
					j.BookedStart, j.BookingPersisted = c.steadyTime(at), true
					t.bookingShards.put(ref, bookingRecordSize(ref), c.shardCapacity(), protocol.Forever, false)
				} else {
					t.bookingShards.drop(ref, protocol.Forever)
				}
			}
			for ref, bits := range done {
				j := t.cluster.Job(ref)
				if j == nil {
					t.completionShards.drop(ref, protocol.Forever)
					continue
				}
				for _, b := range bits {
					if err := state.ApplyChunk(j, 0, b); err != nil {
						c.log.Error("damaged record", "key", t.completionShards.shardOf[ref].key, "job", ref, "err", err)
					}
				}
			}
			for ref, list := range chunks {
				j := t.cluster.Job(ref)
				for _, e := range list {
					if j == nil {
						t.orphanedKeys = append(t.orphanedKeys, e.Key)
					}
					k, err := strconv.Atoi(e.Key[strings.LastIndexByte(e.Key, '/')+1:])
					if j != nil && err == nil {
						j.SetChunkRevision(k, e.Revision)
						err = state.ApplyChunk(j, k, e.Value)
					}
					if err != nil {
						damaged(e, err)
					}
				}
			}
			c.finishRecovery(jobsFrom, launches)
		})
	}
	for _, s := range steps {
		read(s)
	}
}

// damagedRecordRetry is how long a node that found records which it can't read waits
// before it tries to lead again: nothing but a person will have mended them.
const damagedRecordRetry = 5 * protocol.Second

// logDamagedRecord reports a record that can't be read, once as it stands. It is kept.
func (c *Controller) logDamagedRecord(e protocol.Entry, err error) {
	if c.damagedRecords == nil {
		c.damagedRecords = make(map[string]uint64)
	}
	if was, told := c.damagedRecords[e.Key]; told && was == e.Revision {
		return
	}
	c.damagedRecords[e.Key] = e.Revision
	c.log.Error("damaged record", "key", e.Key, "err", err)
}

// recordedLaunch is a launch and the record that names it.
type recordedLaunch struct {
	state.Launch
	shard *recordShard
}

// pinLaunch notes where a launch of an earlier epoch may have put a task. The host's
// first report under this epoch says what came of it; until then the task stays
// there, and counts.
func (c *Controller) pinLaunch(l recordedLaunch) {
	t := c.term
	j, h := t.cluster.Job(l.Name.Job), t.cluster.Host(l.Host)
	if j == nil || h == nil || l.Name.Index >= len(j.Tasks) {
		return // over, or gone with its host
	}
	c.onTaskLaunched(j)
	a := t.cluster.Attach(c.now.Steady, j, h, l.Name)
	a.Adopted, a.Recorded = true, true
	j.StartSLOCounted = true // by an earlier leader, which knew whether it began in time
	t.cluster.SetAttemptState(c.now.Steady, a, state.AttemptLaunched)
	if j.Spec.Kind == protocol.Gang {
		j.GangAttempt = max(j.GangAttempt, l.Name.Number)
	}
	a.StopRequested = j.State != state.JobActive
	// It stays in the record that names it for as long as it may be there.
	name := l.Name.TaskName.String()
	t.launchShards.assign(l.shard, name, launchRecordSize(a))
	t.launches[name] = a
}

func (c *Controller) finishRecovery(rev uint64, launches map[string]recordedLaunch) {
	t := c.term
	c.setRole(RoleLeader)
	t.recordsLoadedAt = c.now.Steady
	c.applyHandover()
	for _, h := range t.cluster.Hosts() {
		h.Type = c.machineTypeByName[h.TypeName]
		if h.LegacyRecord {
			t.hostShards.put(h.Name, hostRecordSize(h), c.hostShardCapacity(), c.now.Steady, true)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(launches)) {
		c.pinLaunch(launches[name])
	}
	for _, j := range slices.Clone(t.cluster.Jobs()) {
		if j.CompletedTasks > 0 {
			c.onTaskLaunched(j)
		}
		c.finishIfComplete(j)
	}
	c.log.Info("leading", "epoch", t.epoch, "jobs", len(t.cluster.Jobs()), "hosts", len(t.cluster.Hosts()), "load_ms", int64((c.now.Steady-t.startedAt)/protocol.Millisecond))
	c.startConfigTerm(t)
	c.watchJobs(t, rev)
	c.loadFinishedJobs(t)
	for _, h := range t.cluster.Hosts() {
		c.queueProbe(t, h)
	}
	c.pollPeerStatus(t)
	sort.Strings(t.orphanedKeys)
	c.pollMachineTypes(t)
	c.pollMachineList(t)
	t.cycleNeeded = true
}

// confirmLaunchesRecorded notes in the epoch's record that every launch that may be on a host
// is in a record. Until then a successor must not rely on that: a leader of form 1
// may have made launches that nobody recorded, on hosts not heard of since.
func (c *Controller) confirmLaunchesRecorded(t *leaderTerm) {
	if !t.launchesUnrecorded || c.term != t {
		return
	}
	for _, a := range t.launches {
		if !a.Recorded && a.State.MayRun() {
			c.after(protocol.Second, func() { c.confirmLaunchesRecorded(t) })
			return
		}
	}
	value := state.EncodeEpoch(state.EpochRecord{Epoch: t.epoch, Transfers: t.transfers, Level: c.activeLevel()})
	c.leaderTransaction(priorityUrgent, c.withLevelCondition(nil), []protocol.Change{{Key: state.KeyEpoch, Value: value}}, func(o txnOutcome, r protocol.TxnResult) {
		c.handleLevelConflict(o, r)
		if o != txnCommitted {
			c.after(protocol.Second, func() { c.confirmLaunchesRecorded(t) })
			return
		}
		t.launchesUnrecorded = false
	})
}

// loadFinishedJobs reads which jobs are over, so that questions about them need no
// lookup each: many users still ask when a leader is new.
func (c *Controller) loadFinishedJobs(t *leaderTerm) {
	c.listPrefix(priorityNormal, state.FinalPrefix, func(e protocol.Entry) {
		if p, n, err := state.DecodeFinal(e.Value); err == nil && !c.finishedJobs.full() {
			c.cacheFinishedJob(strings.TrimPrefix(e.Key, state.FinalPrefix), finishedJob{p, n})
		}
	}, func(_ uint64, ok bool) {
		if !ok && c.term == t {
			c.after(5*protocol.Second, func() {
				if c.term == t {
					c.loadFinishedJobs(t)
				}
			})
		}
	})
}

// deleteOrphanedRecords removes records that belong to nothing, a transaction at a time.
// One that is left over only costs its reader a look.
func (c *Controller) deleteOrphanedRecords() {
	t := c.term
	if t.droppingOrphans || len(t.orphanedKeys) == 0 {
		return
	}
	n := min(len(t.orphanedKeys), c.stateLimits.target.maxChanges)
	var then []protocol.Change
	for _, key := range t.orphanedKeys[:n] {
		then = append(then, protocol.Change{Key: key})
	}
	t.droppingOrphans = true
	c.leaderTransaction(priorityNormal, nil, then, func(o txnOutcome, _ protocol.TxnResult) {
		if o == txnCommitted {
			t.orphanedKeys = t.orphanedKeys[n:]
			t.droppingOrphans = false
			return
		}
		c.after(2*protocol.Second, func() { t.droppingOrphans = false })
	})
}
