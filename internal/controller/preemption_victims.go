package controller

import (
	"sort"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// preemptVictims stops the work of others for a job.
func (sc *scheduler) preemptVictims(j *state.Job, victims []*state.Attempt, hurry bool) {
	for _, a := range victims {
		grace := micros(0)
		if a.Job.Spec.CanCheckpoint() && !hurry {
			grace = a.Job.Spec.CheckpointDuration + protocol.Second
		}
		sc.log.Debug("preempted", "task", a.Name.TaskName.String(), "host", a.Host.Name, "for", j.Spec.Ref)
		sc.commands.requestStop(a, grace)
	}
}

// chooseVictims finds attempts of lower rank on a host whose end makes room for n
// tasks of a job, those that lose least first.
func (sc *scheduler) chooseVictims(h *state.Host, j *state.Job, n int) ([]*state.Attempt, float64) {
	at := sc.now.Steady
	need := protocol.Resources{}.Add(j.Spec.TaskResources, int64(n))
	free := h.Type.Capacity.Add(h.Used(), -1)
	var list []victim
	for _, a := range h.Attempts() {
		if !a.State.HoldsResources() || a.Job == nil {
			continue
		}
		if a.StopRequested {
			free = free.Add(a.Job.Spec.TaskResources, 1)
			continue
		}
		s := a.Job.Spec
		if a.Job.Priority <= j.Priority || !sc.isPreemptible(a.Job) {
			continue
		}
		ran := micros(0)
		if a.StartedAt > 0 {
			ran = at - a.StartedAt
			if s.CanCheckpoint() {
				ran = min(ran, s.CheckpointDuration)
			}
		}
		list = append(list, victim{a, ran.Seconds() + 2})
	}
	var victims []*state.Attempt
	var loss float64
	for _, v := range minimalVictims(list, free, need) {
		victims = append(victims, v.attempt)
		loss += v.lostSeconds
	}
	return victims, loss
}

// victim is an attempt that could be stopped, and the seconds that it would lose.
type victim struct {
	attempt     *state.Attempt
	lostSeconds float64
}

// fewest chooses attempts whose end makes need free, those that lose least. One
// that loses little may free nothing that is short: it is left out. There are
// none if nothing is in the way, or if all together are not enough.
func minimalVictims(list []victim, free, need protocol.Resources) (chosen []victim) {
	sort.SliceStable(list, func(a, b int) bool { return list[a].lostSeconds < list[b].lostSeconds })
	most := 0
	for ; most < len(list) && !free.Covers(need); most++ {
		free = free.Add(list[most].attempt.Job.Spec.TaskResources, 1)
	}
	if !free.Covers(need) {
		return nil
	}
	for i := most - 1; i >= 0; i-- {
		if rest := free.Add(list[i].attempt.Job.Spec.TaskResources, -1); rest.Covers(need) {
			free = rest
		} else {
			chosen = append(chosen, list[i])
		}
	}
	return chosen
}
