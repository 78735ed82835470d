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
	"mapleslip/internal/records"
	"mapleslip/internal/rollout"
	"mapleslip/internal/state"
)

// recovery is a new leader's failover recovery: it reads the records, and brings what they
// say together with what hosts report.
type recovery struct {
	*environment
	catalog    *machineCatalog
	config     *configManager
	directory  *jobDirectory
	election   *election
	features   *featureManager
	membership *membership
	rollouts   *rolloutDriver
	store      *stateStore

	newTerm func() *leaderTerm
}

// recordReader is what a new leader does with the records under a prefix.
type recordReader struct {
	prefix string
	read   func(protocol.Entry)
}

// startRecovery reads the records of jobs, hosts and bookings.
func (rc *recovery) startRecovery() {
	rc.election.setRole(RoleRecovering)
	rc.election.lease.nextRenewal = rc.now.Steady
	t := rc.newTerm()
	launches := make(map[string]recordedLaunch)
	rc.term = t
	bookings := make(map[string]micros)
	done := make(map[string][][]byte)
	chunks := make(map[string][]protocol.Entry)
	host := func(h *state.Host) {
		h.Agent.LeaseRenewedAt = rc.election.lease.predecessorAnswersUntil
		h.Agent.LastContact = rc.now.Steady
		if t.cluster.Host(h.Name) == nil {
			t.cluster.AddHost(h)
		}
	}
	// A record that can't be read is named, and never taken for an empty one.
	damaged := rc.logDamagedRecord
	refused := false
	steps := []recordReader{
		{records.KeyMachineTypes, func(e protocol.Entry) {
			if e.Key == records.KeyMachineTypes {
				rc.catalog.applyMachineTypesRecord(e.Value)
			}
		}},
		{records.KeyHandover, func(e protocol.Entry) {
			if e.Key != records.KeyHandover {
				return
			}
			m, err := records.DecodeHandover(e.Value)
			if err != nil {
				damaged(e, err) // what it says is found out again
				return
			}
			rc.membership.handover = leadership.Newest(rc.membership.handover, m)
		}},
		{records.HostShardPrefix, func(e protocol.Entry) {
			hosts, err := records.DecodeHosts(rc.now.Steady, e.Value)
			if err != nil {
				// Tasks may be on its hosts, which nobody else names.
				damaged(e, err)
				refused = true
				return
			}
			g := t.records.hostShards.addStored(e)
			for _, h := range hosts {
				host(h)
				t.records.hostShards.assignStored(g, h.Name, hostRecordSize(h))
			}
		}},
		{records.LegacyHostPrefix, func(e protocol.Entry) {
			h, err := records.DecodeLegacyHost(rc.now.Steady, strings.TrimPrefix(e.Key, records.LegacyHostPrefix), e.Value)
			if err != nil {
				damaged(e, err)
				refused = true
				return
			}
			h.Record.Legacy = true
			host(h)
		}},
		{records.BookingShardPrefix, func(e protocol.Entry) {
			at, err := records.DecodeBookings(e.Value)
			if err != nil {
				damaged(e, err) // a booking is found again by planning
				t.records.bookingShards.reserveNumber(e.Key)
				return
			}
			g := t.records.bookingShards.addStored(e)
			for ref, at := range at {
				t.records.bookingShards.assignStored(g, ref, bookingRecordSize(ref))
				bookings[ref] = at
			}
		}},
		{records.LegacyBookingPrefix, func(e protocol.Entry) {
			t.records.orphanedKeys = append(t.records.orphanedKeys, e.Key)
			at, err := strconv.ParseInt(string(e.Value), 10, 64)
			if err != nil {
				damaged(e, err)
				return
			}
			bookings[strings.TrimPrefix(e.Key, records.LegacyBookingPrefix)] = micros(at)
		}},
		{records.CompletionShardPrefix, func(e protocol.Entry) {
			list, err := records.DecodeCompletions(e.Value)
			if err != nil {
				damaged(e, err) // its tasks run again
				t.records.completionShards.reserveNumber(e.Key)
				return
			}
			g := t.records.completionShards.addStored(e)
			for ref, bits := range list {
				t.records.completionShards.assignStored(g, ref, len(ref)+len(bits)+8)
				done[ref] = append(done[ref], bits) // two records name it while one is divided
			}
		}},
		{records.LaunchShardPrefix, func(e protocol.Entry) {
			list, err := records.DecodeLaunches(e.Value)
			if err != nil {
				damaged(e, err)
				refused = true
				return
			}
			g := t.records.launchShards.addStored(e)
			for _, l := range list {
				// A record that was not written again may still name where a task
				// was before: the one that was written later is right.
				name := l.Name.TaskName.String()
				if old, ok := launches[name]; !ok || old.shard.revision < g.revision {
					launches[name] = recordedLaunch{l, g}
				}
			}
		}},
		{records.ChunkPrefix, func(e protocol.Entry) {
			ref, _, _ := strings.Cut(strings.TrimPrefix(e.Key, records.ChunkPrefix), "/")
			chunks[ref] = append(chunks[ref], e)
		}},
		{records.JobPrefix, func(e protocol.Entry) { rc.term.jobs.observeJobRecord(e) }},
	}
	if rc.features.state != nil {
		steps = append(steps, recordReader{featuregate.KeyLevel, rc.features.levelReader(&refused)})
	}
	if t.rollouts.manager != nil {
		steps = append(steps, recordReader{rollout.Prefix, rc.rollouts.readRolloutRecord})
	}
	if rc.config.state != nil {
		steps = append(steps, recordReader{configuration.KeyHead, rc.config.readHeadRecord})
	}
	// All are read at once: one after the other they took as many round trips, three
	// seconds of a slow state service, and with leaders that ended every few seconds
	// nobody led for long enough. Only the jobs' revision has to be the first page's.
	waiting := len(steps)
	var jobsFrom uint64
	var read func(s recordReader)
	read = func(s recordReader) {
		began := rc.now.Steady
		each := func(e protocol.Entry) {
			if rc.term == t { // an answer may come when the lease has ended meanwhile
				s.read(e)
			}
		}
		rc.store.listPrefix(priorityLeadership, s.prefix, each, func(rev uint64, ok bool) {
			if rc.term != t {
				return
			}
			if refused {
				// Placing without knowing where tasks may be would run them twice.
				rc.election.followAfter(damagedRecordRetry)
				return
			}
			if !ok {
				rc.after(300*protocol.Millisecond, func() {
					if rc.term == t {
						read(s)
					}
				})
				return
			}
			t.recoveryStages = append(t.recoveryStages, SpanStage{"read " + s.prefix, began, rc.now.Steady})
			if s.prefix == records.JobPrefix {
				jobsFrom = rev
			}
			if waiting--; waiting > 0 {
				return
			}
			for ref, at := range bookings {
				if j := t.cluster.Job(ref); j != nil {
					j.Booking.Start, j.Booking.Persisted = rc.steadyTime(at), true
					t.records.bookingShards.put(ref, bookingRecordSize(ref), rc.term.records.shardCapacity(), protocol.Forever, false)
				} else {
					t.records.bookingShards.drop(ref, protocol.Forever)
				}
			}
			for ref, bits := range done {
				j := t.cluster.Job(ref)
				if j == nil {
					t.records.completionShards.drop(ref, protocol.Forever)
					continue
				}
				for _, b := range bits {
					if err := records.ApplyChunk(j, 0, b); err != nil {
						rc.log.Error("damaged record", "key", t.records.completionShards.shardOf[ref].key, "job", ref, "err", err)
					}
				}
			}
			for ref, list := range chunks {
				j := t.cluster.Job(ref)
				for _, e := range list {
					if j == nil {
						t.records.orphanedKeys = append(t.records.orphanedKeys, e.Key)
					}
					k, err := strconv.Atoi(e.Key[strings.LastIndexByte(e.Key, '/')+1:])
					if j != nil && err == nil {
						j.SetChunkRevision(k, e.Revision)
						err = records.ApplyChunk(j, k, e.Value)
					}
					if err != nil {
						damaged(e, err)
					}
				}
			}
			rc.finishRecovery(jobsFrom, launches)
		})
	}
	for _, s := range steps {
		read(s)
	}
}

// damagedRecordRetry is how long a node that found records which it can't read waits
// before it tries to lead again: nothing but a person will have mended them.
const damagedRecordRetry = 5 * protocol.Second

// recordedLaunch is a launch and the record that names it.
type recordedLaunch struct {
	records.Launch
	shard *recordShard
}

// pinLaunch notes where a launch of an earlier epoch may have put a task. The host's
// first report under this epoch says what came of it; until then the task stays
// there, and counts.
func (rc *recovery) pinLaunch(l recordedLaunch) {
	t := rc.term
	j, h := t.cluster.Job(l.Name.Job), t.cluster.Host(l.Host)
	if j == nil || h == nil || l.Name.Index >= len(j.Tasks) {
		return // over, or gone with its host
	}
	rc.term.dependencies.onTaskLaunched(j)
	a := t.cluster.Attach(rc.now.Steady, j, h, l.Name)
	a.Adopted, a.Recorded = true, true
	j.Objectives.StartCounted = true // by an earlier leader, which knew whether it began in time
	t.cluster.SetAttemptState(rc.now.Steady, a, state.AttemptLaunched)
	if j.Spec.Kind == protocol.Gang {
		j.Gang.Attempt = max(j.Gang.Attempt, l.Name.Number)
	}
	a.StopRequested = j.State != state.JobActive
	// It stays in the record that names it for as long as it may be there.
	name := l.Name.TaskName.String()
	t.records.launchShards.assign(l.shard, name, launchRecordSize(a))
	t.records.launches[name] = a
}

func (rc *recovery) finishRecovery(rev uint64, launches map[string]recordedLaunch) {
	t := rc.term
	rc.election.setRole(RoleLeader)
	t.recordsLoadedAt = rc.now.Steady
	rc.term.handover.applyHandover()
	for _, h := range t.cluster.Hosts() {
		h.Type = rc.catalog.byName[h.TypeName]
		if h.Record.Legacy {
			t.records.hostShards.put(h.Name, hostRecordSize(h), rc.term.records.hostShardCapacity(), rc.now.Steady, true)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(launches)) {
		rc.pinLaunch(launches[name])
	}
	for _, j := range slices.Clone(t.cluster.Jobs()) {
		if j.CompletedTasks > 0 {
			rc.term.dependencies.onTaskLaunched(j)
		}
		rc.term.jobs.finishIfComplete(j)
	}
	rc.log.Info("leading", "epoch", t.epoch, "jobs", len(t.cluster.Jobs()), "hosts", len(t.cluster.Hosts()), "load_ms", int64((rc.now.Steady-t.startedAt)/protocol.Millisecond))
	rc.config.startConfigTerm(t)
	rc.term.jobs.watchJobs(rev)
	rc.loadFinishedJobs(t)
	for _, h := range t.cluster.Hosts() {
		rc.term.prober.queueProbe(h)
	}
	rc.term.peers.pollPeerStatus()
	sort.Strings(t.records.orphanedKeys)
	rc.term.cloud.pollMachineTypes()
	rc.term.cloud.pollMachineList()
	t.cycleNeeded = true
}

// confirmLaunchesRecorded notes in the epoch's record that every launch that may be on a host
// is in a record. Until then a successor must not rely on that: a leader of form 1
// may have made launches that nobody recorded, on hosts not heard of since.
func (rc *recovery) confirmLaunchesRecorded(t *leaderTerm) {
	if !t.launchesUnrecorded || rc.term != t {
		return
	}
	for _, a := range t.records.launches {
		if !a.Recorded && a.State.MayRun() {
			rc.after(protocol.Second, func() { rc.confirmLaunchesRecorded(t) })
			return
		}
	}
	value := records.EncodeEpoch(records.Epoch{Number: t.epoch, Transfers: t.transfer.recent, Level: rc.features.activeLevel()})
	rc.election.leaderTransaction(priorityUrgent, rc.features.withLevelCondition(nil), []protocol.Change{{Key: records.KeyEpoch, Value: value}}, func(o txnOutcome, r protocol.TxnResult) {
		rc.features.handleLevelConflict(o, r)
		if o != txnCommitted {
			rc.after(protocol.Second, func() { rc.confirmLaunchesRecorded(t) })
			return
		}
		t.launchesUnrecorded = false
	})
}

// loadFinishedJobs reads which jobs are over, so that questions about them need no
// lookup each: many users still ask when a leader is new.
func (rc *recovery) loadFinishedJobs(t *leaderTerm) {
	rc.store.listPrefix(priorityNormal, records.FinalPrefix, func(e protocol.Entry) {
		if p, n, err := records.DecodeFinal(e.Value); err == nil && !rc.directory.finishedJobs.full() {
			rc.directory.cacheFinishedJob(strings.TrimPrefix(e.Key, records.FinalPrefix), finishedJob{p, n})
		}
	}, func(_ uint64, ok bool) {
		if !ok && rc.term == t {
			rc.after(5*protocol.Second, func() {
				if rc.term == t {
					rc.loadFinishedJobs(t)
				}
			})
		}
	})
}

// emitFailoverSpan tells of a take-over: from the question for a lease until every
// recorded host is accounted for.
func (rc *recovery) emitFailoverSpan() {
	rc.stats.Failovers++
	if !rc.tracing {
		return
	}
	t := rc.term
	stages := append([]SpanStage{{"claim", rc.election.lease.requestedAt, t.startedAt}}, t.recoveryStages...)
	if n := len(t.recoveryStages); n > 0 {
		stages = append(stages, SpanStage{"account for hosts", t.recoveryStages[n-1].To, rc.now.Steady})
	}
	rc.emit(Span{
		Name: "take-over", From: rc.election.lease.requestedAt, To: rc.now.Steady, Stages: stages,
		Counts: []SpanCount{{"epoch", int64(t.epoch)}, {"jobs", int64(len(t.cluster.Jobs()))}, {"hosts", int64(len(t.cluster.Hosts()))}},
	})
}
