package controller

import (
	"sort"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// restartSeconds is the time that a victim's restart takes in addition to the work that it repeats.
const restartSeconds = 2

// victim is an attempt that could be stopped, with the seconds of work that it would lose.
type victim struct {
	attempt     *state.Attempt
	lostSeconds float64
}

// stopVictims stops the chosen attempts of other jobs.
func (p *preemption) stopVictims(victims []*state.Attempt) {
	for _, a := range victims {
		p.log.Debug("preempted", "task", a.Name.String(), "host", a.Host.Name, "for", p.job.Spec.Ref)
		if p.skipCheckpoints {
			p.commands.requestStop(a, 0)
		} else {
			p.commands.requestCheckpointedStop(a)
		}
	}
}

// chooseVictims chooses attempts of lower priority on a host to stop, so that a number of a job's
// tasks fit there. It prefers attempts that lose little work, and also returns the seconds lost.
// It chooses none if the tasks fit already, or if they would not fit even without all candidates.
func (sc *scheduler) chooseVictims(h *state.Host, j *state.Job, tasks int) ([]*state.Attempt, float64) {
	free := h.Type.Capacity.Add(h.Used(), -1)
	var candidates []victim
	for _, a := range h.Attempts() {
		switch {
		case !a.State.HoldsResources() || a.Job == nil:
		case a.StopRequested:
			free = free.Add(a.Job.Spec.TaskResources, 1)
		case a.Job.Priority > j.Priority && sc.isPreemptible(a.Job):
			candidates = append(candidates, victim{a, sc.lostWork(a, a.Job.Spec.CheckpointDuration).Seconds() + restartSeconds})
		}
	}
	need := protocol.Resources{}.Add(j.Spec.TaskResources, int64(tasks))
	var attempts []*state.Attempt
	var lostSeconds float64
	for _, v := range minimalVictims(candidates, free, need) {
		attempts = append(attempts, v.attempt)
		lostSeconds += v.lostSeconds
	}
	return attempts, lostSeconds
}

// lostWork returns how much work an attempt loses if it is stopped: all of it, or at most
// sinceCheckpoint if its job saves checkpoints.
func (sc *scheduler) lostWork(a *state.Attempt, sinceCheckpoint micros) micros {
	if a.StartedAt == 0 {
		return 0
	}
	ran := sc.now.Steady - a.StartedAt
	if a.Job.Spec.CanCheckpoint() {
		return min(ran, sinceCheckpoint)
	}
	return ran
}

// minimalVictims chooses candidates to stop so that need becomes free, and prefers those that lose
// little work. Candidates that are not necessary are left out again: one that loses little
// may free none of the missing resources. It chooses none if need is free already, or if all
// candidates together are not enough.
func minimalVictims(candidates []victim, free, need protocol.Resources) (chosen []victim) {
	sort.SliceStable(candidates, func(a, b int) bool { return candidates[a].lostSeconds < candidates[b].lostSeconds })
	count := 0
	for count < len(candidates) && !free.Covers(need) {
		free = free.Add(candidates[count].attempt.Job.Spec.TaskResources, 1)
		count++
	}
	if !free.Covers(need) {
		return nil
	}
	for i := count - 1; i >= 0; i-- {
		rest := free.Add(candidates[i].attempt.Job.Spec.TaskResources, -1)
		if rest.Covers(need) {
			free = rest
		} else {
			chosen = append(chosen, candidates[i])
		}
	}
	return chosen
}
