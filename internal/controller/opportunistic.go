package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// isOpportunistic reports whether a job's tasks give way to whatever else is placed.
func isOpportunistic(j *state.Job) bool { return j.Priority == protocol.PriorityLow }

// opportunisticWithoutRentalFor is how long a guest's job is content with what is spare. After that
// it is served like others, only behind them: an accepted job must run.
const opportunisticWithoutRentalFor = 900 * protocol.Second

// usesSpareCapacityOnly reports whether a job neither keeps a machine at the full price nor has
// one rented.
func (sc *scheduler) usesSpareCapacityOnly(j *state.Job) bool {
	return isOpportunistic(j) && j.Spec.AllowSpot && sc.now.Steady-j.EligibleAt < opportunisticWithoutRentalFor
}

// heldForTeam reports whether a machine has work for which it is to be kept.
func (sc *scheduler) hasRetainingWork(h *state.Host) bool {
	for _, a := range h.Attempts() {
		if a.State.HoldsResources() && (a.Job == nil || h.Spot || !sc.usesSpareCapacityOnly(a.Job)) {
			return true
		}
	}
	return false
}

// evictOpportunistic stops the guests on a host that are in the way of a task.
func (sc *scheduler) evictOpportunistic(h *state.Host, need protocol.Resources) {
	free := h.Type.Capacity
	var guests []victim
	for _, a := range h.Attempts() {
		if !a.State.HoldsResources() || a.Job == nil || a.StopRequested {
			continue
		}
		s := a.Job.Spec
		free = free.Add(s.TaskResources, -1)
		if isOpportunistic(a.Job) {
			lost := micros(0)
			if a.StartedAt > 0 {
				lost = sc.now.Steady - a.StartedAt
				if s.CanCheckpoint() {
					lost = min(lost, s.CheckpointInterval)
				}
			}
			guests = append(guests, victim{a, lost.Seconds()})
		}
	}
	if free.Covers(need) {
		return
	}
	for _, v := range minimalVictims(guests, free, need) {
		sc.log.Debug("guest gives way", "task", v.attempt.Name.TaskName.String(), "host", h.Name)
		sc.commands.requestStop(v.attempt, 0)
	}
}

// evictAll lets the guests on a machine that goes back save what they did.
func (sc *scheduler) evictAll(h *state.Host) {
	for _, a := range h.Attempts() {
		if a.State.HoldsResources() && !a.StopRequested && a.Job != nil {
			grace := micros(0)
			if a.Job.Spec.CanCheckpoint() {
				grace = a.Job.Spec.CheckpointDuration + protocol.Second
			}
			sc.commands.requestStop(a, grace)
		}
	}
}
