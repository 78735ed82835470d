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
	deadlineMissed  bool // too late for its deadline and every aim on finishing
	hasReservation  bool // room was made for it
	queueOrder      micros
	result          slottable.Result
}

// pendingJob lists the jobs that need places, in the order in which they are
// tried: by rank, then those that can still be in time, then those within their
// team's guarantee, then by their turn.
func (sc *scheduler) pendingJobs() []*pendingJob {
	at := sc.now.Steady
	sums := make(map[string]protocol.Resources)
	var list []*pendingJob
	for _, j := range sc.cluster.Jobs() {
		if j.State != state.JobActive {
			continue
		}
		s := j.Spec
		sums[s.Team] = sums[s.Team].Add(s.TaskResources, int64(s.Tasks-j.CompletedTasks))
		if j.QueuedTasks == 0 || at < j.Failures.BackoffUntil {
			continue
		}
		if !sc.reconciled && sc.launchesUnrecorded && j.LeaderEpoch != sc.epoch {
			continue // its tasks may be on hosts that have not reported yet
		}
		w := &pendingJob{job: j, withinGuarantee: fitsGuarantee(sc.guarantee(s.Team), sums[s.Team])}
		w.deadlineMissed, w.hasReservation = sc.isDeadlineMissed(j), at < j.Preemption.ReservedUntil
		w.queueOrder = j.EligibleAt
		if s.Kind == protocol.Array {
			// Jobs count alike, so a large one lets small ones pass that come a
			// little later: by its work, spread over some machines.
			w.queueOrder += sc.workload.classStats(s.Class).estimatedRuntime(s) * micros(s.Tasks-j.CompletedTasks) / 8
		}
		list = append(list, w)
	}
	sort.SliceStable(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if x.job.Failures.Suspect != y.job.Failures.Suspect {
			return y.job.Failures.Suspect
		}
		if x.job.Priority != y.job.Priority {
			return x.job.Priority < y.job.Priority
		}
		if x.hasReservation != y.hasReservation {
			return x.hasReservation
		}
		if x.deadlineMissed != y.deadlineMissed {
			return y.deadlineMissed
		}
		if x.withinGuarantee != y.withinGuarantee {
			return x.withinGuarantee
		}
		return x.queueOrder < y.queueOrder
	})
	return list
}

func (sc *scheduler) guarantee(name string) protocol.Resources {
	team, _ := sc.config.team(name)
	return team.Guarantee
}

func fitsGuarantee(g, sum protocol.Resources) bool {
	return (g.CPU == 0 || sum.CPU <= g.CPU) && (g.GPU == 0 || sum.GPU <= g.GPU) && (g.CPU > 0 || g.GPU > 0)
}

// maxOvertakenLateness is how long a job that is too late lets others pass.
const maxOvertakenLateness = 600 * protocol.Second

// deadlineMissed reports whether a job is too late for whatever was asked of its end.
// Such a job lets those pass that are not: served in order of submission, in an
// overload each late job would make the next one late too.
func (sc *scheduler) isDeadlineMissed(j *state.Job) bool {
	due := sc.objectives.finishDeadline(j)
	if j.Dependencies.InheritedDeadline > 0 && (due == 0 || j.Dependencies.InheritedDeadline < due) {
		due = j.Dependencies.InheritedDeadline
	}
	if due == 0 {
		return false
	}
	late := sc.now.Steady + sc.workload.classStats(j.Spec.Class).estimatedRuntime(j.Spec) - due
	return late > 0 && late < maxOvertakenLateness
}
