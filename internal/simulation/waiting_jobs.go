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
		room, usedByTeam, launched := w.roomOn(m, j)
		if launched {
			return false
		}
		used = used.Add(usedByTeam, 1)
		if m.phase != "running" || m.hung || m.failsTasks || !w.allowedOn(s, m) {
			continue
		}
		if places := placesIn(room, s.TaskResources, need); places > 0 {
			free[m.zone] += places
		}
	}
	if exceedsLimit(w.Platform.Teams[s.Team].Limit, used.Add(s.TaskResources, int64(need))) {
		return false
	}
	return need > 0 && fitsZones(s, free, need)
}

// roomOn returns what is free on a machine, what tasks of the job's team use there, and whether a task
// of the job was launched there and has not ended.
func (w *World) roomOn(m *machine, j *userJob) (room, usedByTeam protocol.Resources, launched bool) {
	room = w.typeOf(m).Capacity
	for _, t := range m.tasks {
		if t.state == "exited" {
			continue
		}
		launched = launched || t.job == j
		room = room.Add(t.job.spec.TaskResources, -1)
		if t.job.spec.Team == j.spec.Team {
			usedByTeam = usedByTeam.Add(t.job.spec.TaskResources, 1)
		}
	}
	return room, usedByTeam, launched
}

// placesIn returns how many tasks find room, at most need.
func placesIn(room, task protocol.Resources, need int) (places int) {
	for ; places < need && room.Covers(task); room = room.Add(task, -1) {
		places++
	}
	return places
}

// fitsZones reports whether so many tasks of a job find room in zones with this many places.
func fitsZones(s *protocol.JobSpec, free map[string]int, need int) bool {
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
		return slices.Max(places) >= need
	}
	sum := 0
	for _, n := range places {
		sum += n
	}
	return sum >= need
}
