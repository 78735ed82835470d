package controller

import (
	"sort"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// pendingJob is a job that still needs places, with its request.
type pendingJob struct {
	job             *state.Job
	request         *slottable.Request
	tasks           []int
	withinGuarantee bool // its team's jobs up to this one fit into the guarantee
	deadlineMissed  bool // too late for its deadline and every objective on finishing
	hasReservation  bool // room was made for it
	queueOrder      micros
	result          slottable.Result
}

const (
	// maxOvertakenLateness is how long a job that is too late lets others pass.
	maxOvertakenLateness = 600 * protocol.Second
	// arrayQueueSpread is over how many machines an array's work counts as spread in the queue's
	// order.
	arrayQueueSpread = 8
)

// pendingJobs lists the jobs that need places, in the order in which they are tried.
func (sc *scheduler) pendingJobs() []*pendingJob {
	requested := make(map[string]protocol.Resources) // by team
	var pending []*pendingJob
	for _, j := range sc.cluster.Jobs() {
		if j.State != state.JobActive {
			continue
		}
		team := j.Spec.Team
		requested[team] = requested[team].Add(j.Spec.TaskResources, int64(j.Spec.Tasks-j.CompletedTasks))
		if j.QueuedTasks == 0 || sc.now.Steady < j.Failures.BackoffUntil {
			continue
		}
		if sc.mayHaveUnrecordedLaunches() && j.LeaderEpoch != sc.epoch {
			continue // its tasks may be on hosts that have not been heard of yet
		}
		pending = append(pending, sc.newPendingJob(j, requested[team]))
	}
	sort.SliceStable(pending, func(a, b int) bool { return pending[a].before(pending[b]) })
	return pending
}

// newPendingJob makes a job's place in the queue. requested is what its team's jobs up to this
// one ask for.
func (sc *scheduler) newPendingJob(j *state.Job, requested protocol.Resources) *pendingJob {
	w := &pendingJob{
		job:             j,
		withinGuarantee: fitsGuarantee(sc.guarantee(j.Spec.Team), requested),
		deadlineMissed:  sc.isDeadlineMissed(j),
		hasReservation:  sc.now.Steady < j.Preemption.ReservedUntil,
		queueOrder:      j.EligibleAt,
	}
	if j.Spec.Kind == protocol.Array {
		// Jobs count alike, so a large one lets small ones pass that come a little later: by its
		// work, spread over some machines.
		runtime := sc.workload.classStats(j.Spec.Class).estimatedRuntime(j.Spec)
		w.queueOrder += runtime * micros(j.Spec.Tasks-j.CompletedTasks) / arrayQueueSpread
	}
	return w
}

// before orders the queue: suspect jobs come last, then it goes by priority, then come those for
// which room was made, those that can still be in time, and those within their team's
// guarantee, each by their turn.
func (w *pendingJob) before(o *pendingJob) bool {
	switch {
	case w.job.Failures.Suspect != o.job.Failures.Suspect:
		return o.job.Failures.Suspect
	case w.job.Priority != o.job.Priority:
		return w.job.Priority < o.job.Priority
	case w.hasReservation != o.hasReservation:
		return w.hasReservation
	case w.deadlineMissed != o.deadlineMissed:
		return o.deadlineMissed
	case w.withinGuarantee != o.withinGuarantee:
		return w.withinGuarantee
	}
	return w.queueOrder < o.queueOrder
}

func (sc *scheduler) guarantee(name string) protocol.Resources {
	team, _ := sc.config.team(name)
	return team.Guarantee
}

// fitsGuarantee checks an amount against a guarantee, of which 0 means that there is none.
func fitsGuarantee(guarantee, amount protocol.Resources) bool {
	guaranteed := guarantee.CPU > 0 || guarantee.GPU > 0
	return guaranteed && (guarantee.CPU == 0 || amount.CPU <= guarantee.CPU) && (guarantee.GPU == 0 || amount.GPU <= guarantee.GPU)
}

// isDeadlineMissed reports whether a job is too late for whatever was asked of its end. Such a
// job lets those pass that are not: served in order of submission, in an overload each late job
// would make the next one late too.
func (sc *scheduler) isDeadlineMissed(j *state.Job) bool {
	due := earliestDeadline(sc.objectives.finishDeadline(j), j.Dependencies.InheritedDeadline)
	if due == 0 {
		return false
	}
	late := sc.now.Steady + sc.workload.classStats(j.Spec.Class).estimatedRuntime(j.Spec) - due
	return late > 0 && late < maxOvertakenLateness
}
