package simulation

import (
	"fmt"
	"slices"

	"mapleslip/internal/protocol"
)

// How long jobs wait although there is room for them: a machine that fits has room, and their
// team is below its limit. A job that waits like this for 90 s after all faults have ended is
// regarded by its user as left behind.

// roomWait is how long a job has been waiting although there is room for it.
type roomWait struct {
	since   micros // start of the current wait, 0 if there is none
	longest micros // the longest wait so far
}

// watchWaiting updates the waiting times of all jobs. It is called once a second.
func (w *World) watchWaiting() {
	for _, j := range w.jobs {
		if !w.waitsDespiteRoom(j) {
			j.waiting.since = 0
			continue
		}
		if j.waiting.since == 0 {
			j.waiting.since = w.now
		}
		j.waiting.longest = max(j.waiting.longest, w.now-j.waiting.since)
	}
}

// resetWaiting resets the waiting times of all jobs.
func (w *World) resetWaiting() {
	for _, j := range w.jobs {
		j.waiting = roomWait{}
	}
}

// expectWaits checks that no job has waited for longer than limit while there was room for it.
func (w *World) expectWaits(limit micros) error {
	for ref, j := range w.jobs {
		if j.waiting.longest > limit {
			return fmt.Errorf("%s waited for %.1f s while there was room for it", ref, j.waiting.longest.Seconds())
		}
	}
	return nil
}

// tasksToBegin returns how many tasks have to find room for a job to begin, 0 if all are done.
func (j *userJob) tasksToBegin() int {
	switch {
	case j.spec.Kind == protocol.Gang:
		return j.spec.Tasks
	case slices.Contains(j.results, false):
		return 1
	}
	return 0
}

// waitsDespiteRoom reports whether a job has no task that was launched and has not ended, although
// there is room to begin: for one task, or for all tasks of a gang.
func (w *World) waitsDespiteRoom(j *userJob) bool {
	if !j.accepted || j.cancelRequested || j.reportedDone || j.cancelReportedAt > 0 {
		return false
	}
	s := j.spec
	need := j.tasksToBegin()
	var used protocol.Resources  // by the team's tasks
	free := make(map[string]int) // tasks of the job that find room, by zone
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
		if m.phase != "running" || m.hung || m.failsTasks || !s.AllowsType(m.typ) || s.Zone != "" && s.Zone != m.zone || m.spot && !s.AllowSpot {
			continue
		}
		places := 0
		for ; places < need && room.Covers(s.TaskResources); room = room.Add(s.TaskResources, -1) {
			places++
		}
		if places > 0 {
			free[m.zone] += places
		}
	}
	limit := w.Platform.Teams[s.Team].Limit
	total := used.Add(s.TaskResources, int64(need))
	if limit.GPU > 0 && total.GPU > limit.GPU || limit.CPU > 0 && total.CPU > limit.CPU {
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
