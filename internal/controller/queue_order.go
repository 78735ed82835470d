package controller

import (
	"sort"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// pendingJob is a job that needs places, with its request and result in the current cycle.
type pendingJob struct {
	job             *state.Job
	request         *slottable.Request
	tasks           []int  // indices of the tasks that the request is for
	withinGuarantee bool   // the team's jobs up to this one fit into its guarantee
	deadlineMissed  bool   // too late for all of its deadlines, see isDeadlineMissed
	hasReservation  bool   // preemption freed capacity for it
	queueOrder      micros // sort key among jobs that are equal otherwise
	result          slottable.Result
}

const (
	// maxDeprioritizedLateness is the lateness from which on a late job is no longer ordered behind
	// jobs that can still be in time.
	maxDeprioritizedLateness = 600 * protocol.Second
	// arrayQueueParallelism is the number of machines over which the queue order assumes an array's
	// work to be spread.
	arrayQueueParallelism = 8
)

// pendingJobs returns the jobs that need places, in queue order.
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
			continue // its tasks may run on hosts that have not reported in this term
		}
		pending = append(pending, sc.newPendingJob(j, requested[team]))
	}
	sort.SliceStable(pending, func(a, b int) bool { return pending[a].before(pending[b]) })
	return pending
}

// newPendingJob creates a job's queue entry. requested is the sum of the resources that its team's
// jobs up to this one request.
func (sc *scheduler) newPendingJob(j *state.Job, requested protocol.Resources) *pendingJob {
	pj := &pendingJob{
		job:             j,
		withinGuarantee: fitsGuarantee(sc.guarantee(j.Spec.Team), requested),
		deadlineMissed:  sc.isDeadlineMissed(j),
		hasReservation:  sc.now.Steady < j.Preemption.ReservedUntil,
		queueOrder:      j.EligibleAt,
	}
	if j.Spec.Kind == protocol.Array {
		// Jobs count the same whatever their size, so a large array is ordered behind small jobs
		// that arrive a little later: by the time that its remaining work takes on
		// arrayQueueParallelism machines.
		runtime := sc.workload.classStats(j.Spec.Class).estimatedRuntime(j.Spec)
		pj.queueOrder += runtime * micros(j.Spec.Tasks-j.CompletedTasks) / arrayQueueParallelism
	}
	return pj
}

// before reports whether a job precedes another one in the queue. Suspect jobs come last. The other
// criteria are, in this order: priority, capacity freed by preemption, a deadline that can still be
// met, the team's guarantee, and queueOrder.
func (pj *pendingJob) before(other *pendingJob) bool {
	switch {
	case pj.job.Failures.Suspect != other.job.Failures.Suspect:
		return other.job.Failures.Suspect
	case pj.job.Priority != other.job.Priority:
		return pj.job.Priority < other.job.Priority
	case pj.hasReservation != other.hasReservation:
		return pj.hasReservation
	case pj.deadlineMissed != other.deadlineMissed:
		return other.deadlineMissed
	case pj.withinGuarantee != other.withinGuarantee:
		return pj.withinGuarantee
	}
	return pj.queueOrder < other.queueOrder
}

func (sc *scheduler) guarantee(name string) protocol.Resources {
	team, _ := sc.config.team(name)
	return team.Guarantee
}

// fitsGuarantee reports whether an amount is within a guarantee. A value of 0 in the guarantee
// means that there is none for that resource. Without any guarantee the result is false.
func fitsGuarantee(guarantee, amount protocol.Resources) bool {
	guaranteed := guarantee.CPU > 0 || guarantee.GPU > 0
	return guaranteed && (guarantee.CPU == 0 || amount.CPU <= guarantee.CPU) && (guarantee.GPU == 0 || amount.GPU <= guarantee.GPU)
}

// isDeadlineMissed reports whether a job is expected to miss its deadline and all objectives on
// finishing, or the deadline of a dependent job, by less than maxDeprioritizedLateness. Such a
// job is ordered behind jobs that can still be in time: in an overload that is served in order of
// submission, each late job would make the next one late too.
func (sc *scheduler) isDeadlineMissed(j *state.Job) bool {
	due := earliestDeadline(sc.objectives.finishDeadline(j), j.Dependencies.InheritedDeadline)
	if due == 0 {
		return false
	}
	late := sc.now.Steady + sc.workload.classStats(j.Spec.Class).estimatedRuntime(j.Spec) - due
	return late > 0 && late < maxDeprioritizedLateness
}
