package simulation

import (
	"fmt"
	"slices"

	"mapleslip/internal/protocol"
)

// How long jobs wait while there is a place for them: a machine that fits has room, and
// their team is under its limit. Users take a job that waits so for 90 s once all troubles
// are over for one that was left behind.

// waitBeside is how long a job has waited beside room.
type waitBeside struct {
	since   micros // 0: it does not
	longest micros
}

// watchWaiting looks at all jobs; it comes once a second.
func (w *World) watchWaiting() {
	for _, j := range w.jobs {
		if !w.waitsBesideRoom(j) {
			j.waiting.since = 0
			continue
		}
		if j.waiting.since == 0 {
			j.waiting.since = w.now
		}
		j.waiting.longest = max(j.waiting.longest, w.now-j.waiting.since)
	}
}

// countWaiting begins anew: what was before does not count.
func (w *World) countWaiting() {
	for _, j := range w.jobs {
		j.waiting = waitBeside{}
	}
}

// expectWaits checks that no job has waited beside room for longer than a time.
func (w *World) expectWaits(most micros) error {
	for ref, j := range w.jobs {
		if j.waiting.longest > most {
			return fmt.Errorf("%s waited for %.1f s beside room", ref, j.waiting.longest.Seconds())
		}
	}
	return nil
}

// waitsBesideRoom reports whether no task of a job is on a machine or on its way to one,
// though what it needs to begin is free: a place for one task, of a gang for all.
func (w *World) waitsBesideRoom(j *userJob) bool {
	if !j.accepted || j.asked || j.toldDone || j.toldCancelled > 0 {
		return false
	}
	s := j.spec
	left := 0
	for _, done := range j.results {
		if !done {
			left++
		}
	}
	var used protocol.Resources // by the team
	free := make(map[string]int)
	for _, m := range w.sortedMachines() {
		typ := w.typeOf(m)
		room := typ.Capacity
		for _, t := range m.tasks {
			if t.state == "exited" {
				continue
			}
			if t.job == j {
				return false
			}
			room = room.Add(t.job.spec.TaskResources, -1)
			if t.job.spec.Team == s.Team {
				used = used.Add(t.job.spec.TaskResources, 1)
			}
		}
		if m.phase != "running" || m.hung || m.spoilt || !s.AllowsType(m.typ) || s.Zone != "" && s.Zone != m.zone || m.spot && !s.AllowSpot {
			continue
		}
		for ; room.Covers(s.TaskResources); room = room.Add(s.TaskResources, -1) {
			free[m.zone]++
		}
	}
	need := min(1, left)
	if s.Kind == protocol.Gang {
		need = s.Tasks
	}
	limit := w.Platform.Teams[s.Team].Limit
	with := used.Add(s.TaskResources, int64(need))
	if limit.GPU > 0 && with.GPU > limit.GPU || limit.CPU > 0 && with.CPU > limit.CPU {
		return false
	}
	places := make([]int, 0, len(free))
	for _, n := range free {
		if s.SpreadZones {
			n = min(n, (s.Tasks+1)/2)
		}
		places = append(places, n)
	}
	if len(places) == 0 {
		return false
	}
	if s.SingleZone {
		return need > 0 && slices.Max(places) >= need
	}
	sum := 0
	for _, n := range places {
		sum += n
	}
	return need > 0 && sum >= need
}
