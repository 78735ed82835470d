package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// isOpportunistic reports whether a job's tasks may be evicted for tasks of any job that is not
// opportunistic.
func isOpportunistic(j *state.Job) bool { return j.Priority == protocol.PriorityLow }

// opportunisticRentalDelay is how long an opportunistic job uses only spare capacity. After that
// machines are also kept and rented for it, with the lowest priority: every accepted job has to
// run.
const opportunisticRentalDelay = 900 * protocol.Second

// usesSpareCapacityOnly reports whether no on-demand machine is kept or rented for a job.
func (sc *scheduler) usesSpareCapacityOnly(j *state.Job) bool {
	return isOpportunistic(j) && j.Spec.AllowSpot && sc.now.Steady-j.EligibleAt < opportunisticRentalDelay
}

// hasRetainingWork reports whether a host runs a task for which it should be kept.
func (sc *scheduler) hasRetainingWork(h *state.Host) bool {
	for _, a := range h.Attempts() {
		if a.State.HoldsResources() && (a.Job == nil || h.Spot || !sc.usesSpareCapacityOnly(a.Job)) {
			return true
		}
	}
	return false
}

// evictOpportunistic stops the opportunistic tasks on a host whose resources another task needs.
func (sc *scheduler) evictOpportunistic(h *state.Host, need protocol.Resources) {
	free := h.Type.Capacity
	var candidates []victim
	for _, a := range h.Attempts() {
		if !a.State.HoldsResources() || a.Job == nil || a.StopRequested {
			continue
		}
		free = free.Add(a.Job.Spec.TaskResources, -1)
		if isOpportunistic(a.Job) {
			candidates = append(candidates, victim{a, sc.lostWork(a, a.Job.Spec.CheckpointInterval).Seconds()})
		}
	}
	if free.Covers(need) {
		return
	}
	for _, v := range minimalVictims(candidates, free, need) {
		sc.log.Debug("opportunistic task evicted", "task", v.attempt.Name.String(), "host", h.Name)
		sc.commands.requestStop(v.attempt, 0)
	}
}

// evictAll stops all tasks on a host that is to be released, with time for their checkpoints.
func (sc *scheduler) evictAll(h *state.Host) {
	for _, a := range h.Attempts() {
		if a.State.HoldsResources() && !a.StopRequested && a.Job != nil {
			sc.commands.requestCheckpointedStop(a)
		}
	}
}
