package controller

import (
	"slices"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// maxTasksPerCycle is how many tasks of a job one pass looks for places for.
const maxTasksPerCycle = 256

// buildRequest makes a job's request, in its turn. It reports whether there is
// something to place.
func (sc *scheduler) buildRequest(w *pendingJob) bool {
	at := sc.now.Steady
	j := w.job
	s := j.Spec
	if j.State != state.JobActive || j.QueuedTasks == 0 || at < j.Failures.BackoffUntil {
		return false
	}
	if j.Failures.Suspect && sc.faults.isProven(j) {
		sc.faults.confirmHealthy(j)
	}
	if j.Failures.Suspect && j.AttemptCount > 0 {
		return false // what is being tried says whether it can run
	}
	if s.Kind == protocol.Gang && (j.Gang.Started || sc.hasStoppingAttempt(j)) {
		return false // what is left of the attempt has to end first
	}
	var used map[string]int
	if s.SpreadZones || s.SingleZone {
		used = make(map[string]int)
		for _, a := range j.ActiveAttempts() {
			if task := a.Task(); task != nil && task.Current == a {
				used[a.Host.Zone]++
			}
		}
	}
	if s.SingleZone && len(used) > 1 {
		// A record names where a task was before, in another zone: its job has begun anew
		// since, and the leader before this one ended before all launches were recorded.
		// Until one of the two is proven gone, either zone may be the wrong one.
		return false
	}
	first := -1
	w.tasks = make([]int, 0, min(j.QueuedTasks, maxTasksPerCycle))
	for i := j.FirstQueuedTask; i < len(j.Tasks) && len(w.tasks) < maxTasksPerCycle; i++ {
		task := &j.Tasks[i]
		if task.State != state.TaskQueued {
			continue
		}
		if first < 0 {
			first = i
		}
		if task.ActiveAttempts == 0 && at >= task.NotBefore {
			w.tasks = append(w.tasks, i)
		}
	}
	if first >= 0 {
		j.FirstQueuedTask = first
	}
	if len(w.tasks) == 0 || s.Kind == protocol.Gang && len(w.tasks) != j.QueuedTasks {
		return false
	}
	r := &slottable.Request{
		Tasks: len(w.tasks), Need: s.TaskResources, Gang: s.Kind == protocol.Gang, Image: s.Image, ImageSize: s.ImageSize,
		Types: s.MachineTypes, Zone: s.Zone, OneZone: s.SingleZone, ZoneUsed: used, Spot: s.AllowSpot, Length: sc.workload.classStats(s.Class).estimatedRuntime(s),
		Guest: isOpportunistic(j), Frugal: sc.usesSpareCapacityOnly(j),
	}
	w.request = r
	if r.Gang && s.SingleZone {
		r.Stay = j.Booking.Zone
	}
	if s.SpreadZones {
		r.ZoneCap = (s.Tasks + 1) / 2
	}
	if due := effectiveDeadline(j); due > 0 {
		r.Deadline = due - sc.operator.DeadlineMargin
		r.NoBooking = at < j.Booking.RetryAt
	}
	if j.Failures.Suspect && s.Kind != protocol.Gang {
		w.tasks = w.tasks[:1]
		r.Tasks = 1
	}
	if len(j.Failures.ByHost) > 0 && !j.Failures.Suspect {
		failures := j.Failures.ByHost
		r.Avoid = func(name string) bool { return failures[name] > 0 }
	}
	if len(j.Preemption.Reservations) > 0 && !sc.applyReservations(w) {
		return false
	}
	for _, b := range j.Booking.Places {
		h := sc.cluster.Host(b.Machine)
		if h == nil || sc.machines[h] == nil {
			r.Kept = nil
			break
		}
		begin := b.Begin
		if at < j.Preemption.ReservedUntil && len(j.Preemption.Reservations) == 0 {
			// What was stopped for it may take a little longer to end.
			r.Hold = true
			begin = max(begin, at+2*protocol.Second)
		}
		r.Kept = append(r.Kept, slottable.Place{Machine: sc.machines[h], Begin: begin, Ready: max(b.Ready, begin)})
	}
	r.Patient = sc.objectives.startDeadline(j)
	return true
}

// applyReservations lets tasks wait for the room that was made for them, rather than
// fetch elsewhere, and prefer it once it is free. It reports whether there are
// others, or room.
func (sc *scheduler) applyReservations(w *pendingJob) bool {
	j, r := w.job, w.request
	j.Preemption.Reservations = slices.DeleteFunc(j.Preemption.Reservations, func(m state.Reservation) bool {
		return sc.now.Steady >= m.Until || sc.machines[m.Host] == nil || !sc.isSchedulable(m.Host)
	})
	waiting := 0
	for _, m := range j.Preemption.Reservations {
		row := sc.machines[m.Host]
		r.Preferred = append(r.Preferred, row)
		if !row.Free().Covers(r.Need) {
			waiting++
		}
	}
	w.tasks = w.tasks[:max(0, len(w.tasks)-waiting)]
	r.Tasks = len(w.tasks)
	return r.Tasks > 0
}

// hasStoppingAttempt reports whether an attempt of a job is being stopped.
func (sc *scheduler) hasStoppingAttempt(j *state.Job) bool {
	for _, a := range j.ActiveAttempts() {
		if task := a.Task(); a.StopRequested && task != nil && task.Current == a {
			return true
		}
	}
	return false
}
