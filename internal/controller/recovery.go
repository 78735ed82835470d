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

// recovery is the failover recovery of a new leader. It loads the records and reconciles them with
// the heartbeats of hosts.
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
	// damagedRecordRetry is how long a controller that found undecodable records waits before it
	// tries to lead again. Only an operator can repair such records.
	damagedRecordRetry = 5 * protocol.Second
	recordReadRetry    = 300 * protocol.Millisecond
	finishedJobsRetry  = 5 * protocol.Second
	launchConfirmRetry = protocol.Second
)

// start begins a term and reads the records, all concurrently. Sequential reads would take one
// round trip each, which is seconds with a slow state service; if leaders fail every few seconds,
// no controller would then lead for long enough.
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

// finish starts to lead with the loaded records. jobsRevision is the revision from which on the
// job records are watched.
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
	rc.log.Info("leading", "epoch", t.epoch, "first_token", t.tokens.First, "key_revision", rc.election.lease.keyRevision,
		"jobs", len(t.cluster.Jobs()), "hosts", len(t.cluster.Hosts()), "load_ms", int64((rc.now.Steady-t.startedAt)/protocol.Millisecond))
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

// pinLaunch attaches a task to the host on which a launch of an earlier epoch may have started it.
// The host's first heartbeat under this epoch reports the outcome of the launch; until then the
// task stays assigned to the host and counts as a task that may run there.
func (rc *recovery) pinLaunch(l recordedLaunch) {
	t := rc.term
	j, h := t.cluster.Job(l.Name.Job), t.cluster.Host(l.Host)
	if j == nil || h == nil || l.Name.Index >= len(j.Tasks) {
		return // the job has finished, or the task ended with its host
	}
	t.dependencies.onTaskLaunched(j)
	a := t.cluster.Attach(rc.now.Steady, j, h, l.Name)
	a.Adopted, a.Recorded = true, true
	j.Objectives.StartCounted = true // only the earlier leader knew whether the start was in time
	t.cluster.SetAttemptState(rc.now.Steady, a, state.AttemptLaunched)
	if j.Spec.Kind == protocol.Gang {
		j.Gang.Attempt = max(j.Gang.Attempt, l.Name.Number)
	}
	a.StopRequested = j.State != state.JobActive
	// The launch stays in the record that contains it for as long as the task may be on the host.
	name := l.Name.String()
	t.records.launchShards.assign(l.shard, name, launchRecordSize(a))
	t.records.launches[name] = a
}

// confirmLaunchesRecorded writes to the epoch's record that every launch that may be on a host is
// in a launch record. Before that, the next leader must not rely on the launch records: a leader
// of record format 1 may have made launches without recording them, on hosts that have not sent
// a heartbeat since.
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

// loadFinishedJobs loads the final records of finished jobs into the cache, so that a new leader
// does not need a lookup for each of the many queries for them.
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

// emitFailoverSpan counts a failover and emits its span, which lasts from the request for a lease
// until every recorded host is reconciled.
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
