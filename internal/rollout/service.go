package rollout

import (
	"slices"

	"mapleslip/internal/protocol"
)

// service is the leader's state of one service and its roll-out.
type service struct {
	record  *Record // durable
	pending *Record // record that is being written, or nil; no change is decided meanwhile

	oldTarget, newTarget *checkTarget
	instances            map[slot]*instance
	dueChecks            dueHeap // instances with a scheduled check
	checksInFlight       int
	observationSeq       uint64            // number of observations so far
	faults               map[slot]string   // new instances that are faulty, with the reason
	known                map[string]bool   // jobs that were observed or accepted
	submitPending        map[string]bool   // jobs submitted without an answer, applied or not
	cancelConfirmed      map[string]bool   // jobs whose cancellation was confirmed
	cleared              map[string]bool   // of these, leaving jobs without a task on a host
	cancelRequested      map[string]bool   // leaving jobs whose cancellation was requested
	cancelledByUser      map[string]bool   // jobs that a user cancelled
	retryAt              map[string]micros // time from which a job's request may be repeated
	refused              map[string]string // jobs whose submission was rejected, with the reason
	timeoutsFrom         micros            // earliest start of all timeouts
	progressAt           micros            // time of the last progress
	furthestStep         int               // furthest stage and state reached, as one number
	healthySince         micros            // time from which all new instances were healthy, or 0
	blockedOn            string            // what the roll-out waits for

	oldTally, newTally tally
}

// newService creates a service from its record.
func newService(record *Record, now micros) (*service, error) {
	sv := &service{
		record: record, instances: make(map[slot]*instance), faults: make(map[slot]string), known: make(map[string]bool),
		submitPending: make(map[string]bool), cancelConfirmed: make(map[string]bool), cleared: make(map[string]bool),
		cancelRequested: make(map[string]bool), cancelledByUser: make(map[string]bool), retryAt: make(map[string]micros),
		refused: make(map[string]string),
	}
	sv.reset(now)
	return sv, sv.compileTargets()
}

// reset discards faults, rejections and progress, and restarts all timeouts.
func (sv *service) reset(now micros) {
	clear(sv.faults)
	clear(sv.refused)
	sv.timeoutsFrom, sv.progressAt, sv.furthestStep, sv.healthySince = now, now, 0, 0
}

// compileTargets compiles the checks of both versions.
func (sv *service) compileTargets() (err error) {
	sv.oldTarget, sv.newTarget = nil, nil
	if sv.record.Old.Spec != nil {
		if sv.oldTarget, err = newCheckTarget(&sv.record.Old.Spec.Check); err != nil {
			return err
		}
	}
	if sv.record.New.Spec != nil {
		sv.newTarget, err = newCheckTarget(&sv.record.New.Spec.Check)
	}
	return err
}

// spec returns the specification of the last roll-out.
func (sv *service) spec() *protocol.RolloutSpec { return sv.record.New.Spec }

// latestRecord returns the record that is being written, or else the durable one.
func (sv *service) latestRecord() *Record {
	if sv.pending != nil {
		return sv.pending
	}
	return sv.record
}

// minHealthy returns the number of instances that must be healthy at any time. It is 0 for the
// first version of a service, which starts without instances.
func (sv *service) minHealthy() int {
	if sv.record.OldCount == 0 {
		return 0
	}
	return sv.spec().MinHealthy
}

// maxInstances returns the number of instances that may exist at any time.
func (sv *service) maxInstances() int {
	return max(sv.spec().Count, sv.record.OldCount) + sv.spec().MaxSurge
}

// batchSize returns the maximum number of instances of a job. All instances of a job are removed
// together, so the minimum must be met if all others are healthy. A job also has at most a tenth of
// the instances, rounded up, so that a later roll-out with less surge can remove it.
func batchSize(s *protocol.RolloutSpec) int {
	return max(1, min(s.MaxSurge+s.Count-s.MinHealthy, (s.Count+9)/10, maxBatchSize))
}

// maxBatchSize bounds the number of instances that are removed together with a single job.
const maxBatchSize = 100

// passLifetime returns the age up to which a passed check of a version counts.
func (sv *service) passLifetime(v *Version, checkRoundTime micros) micros {
	return 3*max(v.Spec.Check.Interval, checkRoundTime) + 2*v.Spec.Check.Timeout
}

// dropInstances discards all instances and their results.
func (sv *service) dropInstances() {
	for _, i := range sv.instances {
		i.running = false
	}
	clear(sv.instances)
}

// mayCancel reports whether a job may be cancelled while certainlyHealthy instances are certainly
// healthy: either the minimum is met without the job, or all its instances are certainly unhealthy,
// so that no healthy instance is lost. The latter does not apply on the way to a new version while
// no instance passes at all, because then the checks themselves may be at fault.
func (sv *service) mayCancel(certainlyHealthy int, bt batchTally) bool {
	nothingPasses := sv.record.State.forward() && sv.oldTally.healthy+sv.newTally.healthy == 0 && sv.oldTally.running+sv.newTally.running > 0
	return bt.possiblyHealthy == 0 && !nothingPasses || certainlyHealthy-bt.certainlyHealthy >= sv.minHealthy()
}

// needsWork reports whether the service has a roll-out in progress or jobs that are leaving.
func (sv *service) needsWork() bool {
	return !sv.record.State.Ended() || sv.record.leavingJobs() > 0
}

// dropClearedBatches removes leaving jobs of which no task is left from a record.
func (sv *service) dropClearedBatches(record *Record) *Record {
	for _, v := range []*Version{&record.Old, &record.New} {
		v.Batches = slices.DeleteFunc(v.Batches, func(b Batch) bool { return b.Leaving && sv.cleared[b.Ref] })
	}
	return record
}
