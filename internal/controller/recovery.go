package controller

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
	"mapleslip/internal/statestore"
)

// recovery is a new leader's failover recovery: it reads the records, and brings what they say
// together with what hosts report.
type recovery struct {
	*environment
	catalog    *machineCatalog
	config     *configManager
	directory  *jobDirectory
	election   *election
	features   *featureManager
	membership *membership
	rollouts   *rolloutDriver
	store      *statestore.Client

	newTerm func() *leaderTerm
}

const (
	// damagedRecordRetry is how long a controller that found records which it can't read waits
	// before it tries to lead again: nothing but a person will have mended them.
	damagedRecordRetry = 5 * protocol.Second
	recordReadRetry    = 300 * protocol.Millisecond
	finishedJobsRetry  = 5 * protocol.Second
	launchConfirmRetry = protocol.Second
)

// start begins a term and reads the records. All are read at once: one after the other they
// take as many round trips, seconds of a slow state service, and with leaders that end every
// few seconds nobody leads for long enough.
func (rc *recovery) start() {
	rc.election.setRole(RoleRecovering)
	rc.election.lease.nextRenewal = rc.now.Steady
	rc.term = rc.newTerm()
	l := newRecordLoader(rc, rc.term)
	readers := l.readers()
	l.pending = len(readers)
	for _, r := range readers {
		l.read(r)
	}
}

// finish begins to lead with the records that were read. jobsRevision is that from which on
// jobs are watched.
func (rc *recovery) finish(jobsRevision uint64, launches map[string]recordedLaunch) {
	t := rc.term
	rc.election.setRole(RoleLeader)
	t.recordsLoadedAt = rc.now.Steady
	t.handover.applyHandover()
	for _, h := range t.cluster.Hosts() {
		h.Type = rc.catalog.byName[h.TypeName]
		if h.Record.Legacy {
			t.records.putHost(h, rc.now.Steady, true)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(launches)) {
		rc.pinLaunch(launches[name])
	}
	for _, j := range slices.Clone(t.cluster.Jobs()) {
		if j.CompletedTasks > 0 {
			t.dependencies.onTaskLaunched(j)
		}
		t.jobs.finishIfComplete(j)
	}
	rc.log.Info("leading", "epoch", t.epoch, "jobs", len(t.cluster.Jobs()), "hosts", len(t.cluster.Hosts()),
		"load_ms", int64((rc.now.Steady-t.startedAt)/protocol.Millisecond))
	rc.config.startGranting(t)
	t.jobs.watchJobs(jobsRevision)
	rc.loadFinishedJobs(t)
	for _, h := range t.cluster.Hosts() {
		t.prober.queueProbe(h)
	}
	t.peers.pollPeerStatus()
	sort.Strings(t.records.orphanedKeys)
	t.cloud.pollMachineTypes()
	t.cloud.pollMachineList()
	t.cycleNeeded = true
}

// pinLaunch notes where a launch of an earlier epoch may have put a task. The host's first
// heartbeat under this epoch says what came of it; until then the task stays there, and counts.
func (rc *recovery) pinLaunch(l recordedLaunch) {
	t := rc.term
	j, h := t.cluster.Job(l.Name.Job), t.cluster.Host(l.Host)
	if j == nil || h == nil || l.Name.Index >= len(j.Tasks) {
		return // over, or gone with its host
	}
	t.dependencies.onTaskLaunched(j)
	a := t.cluster.Attach(rc.now.Steady, j, h, l.Name)
	a.Adopted, a.Recorded = true, true
	j.Objectives.StartCounted = true // an earlier leader knew whether it started in time
	t.cluster.SetAttemptState(rc.now.Steady, a, state.AttemptLaunched)
	if j.Spec.Kind == protocol.Gang {
		j.Gang.Attempt = max(j.Gang.Attempt, l.Name.Number)
	}
	a.StopRequested = j.State != state.JobActive
	// It stays in the record that names it for as long as it may be there.
	name := l.Name.String()
	t.records.launchShards.assign(l.shard, name, launchRecordSize(a))
	t.records.launches[name] = a
}

// confirmLaunchesRecorded notes in the epoch's record that every launch that may be on a host
// is in a record. Until then a successor must not rely on that: a leader of record format 1
// may have made launches that nobody recorded, on hosts not heard of since.
func (rc *recovery) confirmLaunchesRecorded(t *leaderTerm) {
	if !t.launchesUnrecorded || t.ended() {
		return
	}
	retry := func() { rc.after(launchConfirmRetry, func() { rc.confirmLaunchesRecorded(t) }) }
	for _, a := range t.records.launches {
		if !a.Recorded && a.State.MayRun() {
			retry()
			return
		}
	}
	epoch := records.Epoch{Number: t.epoch, Transfers: t.transfer.recent, Level: rc.features.activeLevel()}
	then := []protocol.Change{{Key: records.KeyEpoch, Value: records.EncodeEpoch(epoch)}}
	rc.election.transaction(priorityUrgent, rc.features.withLevelCondition(nil), then, func(_ uint64, err error) {
		rc.features.handleLevelConflict(err)
		if err != nil {
			retry()
			return
		}
		t.launchesUnrecorded = false
	})
}

// loadFinishedJobs reads which jobs are over, so that queries for them need no lookup each:
// many users still ask when a leader is new.
func (rc *recovery) loadFinishedJobs(t *leaderTerm) {
	rc.store.List(priorityNormal, records.FinalPrefix, func(e protocol.Entry) {
		if phase, tasks, err := records.DecodeFinal(e.Value); err == nil && !rc.directory.finishedJobs.full() {
			rc.directory.cacheFinishedJob(strings.TrimPrefix(e.Key, records.FinalPrefix), finishedJob{phase, tasks})
		}
	}, func(_ uint64, err error) {
		if err == nil || t.ended() {
			return
		}
		rc.after(finishedJobsRetry, func() {
			if !t.ended() {
				rc.loadFinishedJobs(t)
			}
		})
	})
}

// emitFailoverSpan tells of a failover: from the question for a lease until every recorded
// host is accounted for.
func (rc *recovery) emitFailoverSpan() {
	rc.stats.Failovers++
	if !rc.tracing {
		return
	}
	t := rc.term
	requestedAt := rc.election.lease.requestedAt
	stages := append([]SpanStage{{"claim", requestedAt, t.startedAt}}, t.recoveryStages...)
	if n := len(t.recoveryStages); n > 0 {
		stages = append(stages, SpanStage{"account for hosts", t.recoveryStages[n-1].To, rc.now.Steady})
	}
	rc.emit(Span{
		Name: "take-over", From: requestedAt, To: rc.now.Steady, Stages: stages,
		Counts: []SpanCount{{"epoch", int64(t.epoch)}, {"jobs", int64(len(t.cluster.Jobs()))}, {"hosts", int64(len(t.cluster.Hosts()))}},
	})
}
