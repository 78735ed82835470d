package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// isOpportunistic reports whether a job's tasks give way to whatever else is placed.
func isOpportunistic(j *state.Job) bool { return j.Priority == protocol.PriorityLow }

// opportunisticWithoutRentalFor is how long an opportunistic job is content with spare capacity.
// After that it is served like others, only behind them: an accepted job must run.
const opportunisticWithoutRentalFor = 900 * protocol.Second

// usesSpareCapacityOnly reports whether a job neither keeps a machine at the full price nor has
// one rented.
func (sc *scheduler) usesSpareCapacityOnly(j *state.Job) bool {
	return isOpportunistic(j) && j.Spec.AllowSpot && sc.now.Steady-j.EligibleAt < opportunisticWithoutRentalFor
}

// hasRetainingWork reports whether a host has work for which it is to be kept.
func (sc *scheduler) hasRetainingWork(h *state.Host) bool {
	for _, a := range h.Attempts() {
		if a.State.HoldsResources() && (a.Job == nil || h.Spot || !sc.usesSpareCapacityOnly(a.Job)) {
			return true
		}
	}
	return false
}

// evictOpportunistic stops the opportunistic tasks on a host that are in the way of a task.
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

// evictAll stops what is on a host that is to be released, with time to save progress.
func (sc *scheduler) evictAll(h *state.Host) {
	for _, a := range h.Attempts() {
		if a.State.HoldsResources() && !a.StopRequested && a.Job != nil {
			sc.commands.requestCheckpointedStop(a)
		}
	}
}
