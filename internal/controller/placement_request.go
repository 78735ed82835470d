package controller

import (
	"slices"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

const (
	// maxTasksPerCycle is how many tasks of a job one cycle looks for places for.
	maxTasksPerCycle = 256
	// heldBookingDelay is how much longer what was preempted for a booking may take to end.
	heldBookingDelay = 2 * protocol.Second
)

// buildRequest makes a job's request to the slot table, in its turn. It reports whether there is
// something to place.
func (sc *scheduler) buildRequest(w *pendingJob) bool {
	j := w.job
	if !sc.checkPlaceable(j) {
		return false
	}
	zones := zonesInUse(j)
	if j.Spec.SingleZone && len(zones) > 1 {
		// A record names where a task was before, in another zone: its job has started anew
		// since, and the leader before this one ended before all launches were recorded. Until
		// one of the two is proven gone, either zone may be the wrong one.
		return false
	}
	w.tasks = sc.queuedTasks(j)
	if len(w.tasks) == 0 || j.Spec.Kind == protocol.Gang && len(w.tasks) != j.QueuedTasks {
		return false
	}
	w.request = sc.newRequest(j, len(w.tasks), zones)
	if j.Failures.Suspect && j.Spec.Kind != protocol.Gang {
		w.tasks = w.tasks[:1]
		w.request.Tasks = 1
	}
	if len(j.Preemption.Reservations) > 0 && !sc.applyReservations(w) {
		return false
	}
	sc.keepBooking(w)
	w.request.ReadyBy = sc.objectives.startDeadline(j)
	return true
}

// checkPlaceable reports whether tasks of a job may be placed now. A suspect job of which
// something shows that it can run is suspect no more.
func (sc *scheduler) checkPlaceable(j *state.Job) bool {
	if j.State != state.JobActive || j.QueuedTasks == 0 || sc.now.Steady < j.Failures.BackoffUntil {
		return false
	}
	if j.Failures.Suspect && sc.faults.isProven(j) {
		sc.faults.confirmHealthy(j)
	}
	if j.Failures.Suspect && j.AttemptCount > 0 {
		return false // what is being tried says whether it can run
	}
	// What is left of a gang's attempt has to end before the next one.
	return j.Spec.Kind != protocol.Gang || !j.Gang.Started && !sc.hasStoppingAttempt(j)
}

// zonesInUse counts a job's placed tasks by zone, nil if zones are of no matter to it.
func zonesInUse(j *state.Job) map[string]int {
	if !j.Spec.SpreadZones && !j.Spec.SingleZone {
		return nil
	}
	zones := make(map[string]int)
	for _, a := range j.ActiveAttempts() {
		if isCurrent(a) {
			zones[a.Host.Zone]++
		}
	}
	return zones
}

// isCurrent reports whether an attempt is the newest of its task.
func isCurrent(a *state.Attempt) bool {
	task := a.Task()
	return task != nil && task.Current == a
}

// queuedTasks are the indices of a job's tasks that can be placed now, as many as one cycle
// looks at.
func (sc *scheduler) queuedTasks(j *state.Job) []int {
	firstQueued := -1
	tasks := make([]int, 0, min(j.QueuedTasks, maxTasksPerCycle))
	for i := j.FirstQueuedTask; i < len(j.Tasks) && len(tasks) < maxTasksPerCycle; i++ {
		task := &j.Tasks[i]
		if task.State != state.TaskQueued {
			continue
		}
		if firstQueued < 0 {
			firstQueued = i
		}
		if task.ActiveAttempts == 0 && sc.now.Steady >= task.NotBefore {
			tasks = append(tasks, i)
		}
	}
	if firstQueued >= 0 {
		j.FirstQueuedTask = firstQueued
	}
	return tasks
}

// newRequest makes a request for some tasks of a job, of which others are in some zones.
func (sc *scheduler) newRequest(j *state.Job, tasks int, zones map[string]int) *slottable.Request {
	s := j.Spec
	r := &slottable.Request{
		Tasks: tasks, Resources: s.TaskResources, Gang: s.Kind == protocol.Gang, Image: s.Image, ImageSize: s.ImageSize,
		Types: s.MachineTypes, Zone: s.Zone, SingleZone: s.SingleZone, TasksByZone: zones, AllowSpot: s.AllowSpot,
		Runtime: sc.workload.classStats(s.Class).estimatedRuntime(s), Opportunistic: isOpportunistic(j), SpareCapacityOnly: sc.usesSpareCapacityOnly(j),
	}
	if r.Gang && s.SingleZone {
		r.PreferredZone = j.Booking.Zone
	}
	if s.SpreadZones {
		r.MaxPerZone = (s.Tasks + 1) / 2
	}
	if due := effectiveDeadline(j); due > 0 {
		r.Deadline = due - sc.operator.DeadlineMargin
		r.NoBooking = sc.now.Steady < j.Booking.RetryAt
	}
	if len(j.Failures.ByHost) > 0 && !j.Failures.Suspect {
		failures := j.Failures.ByHost
		r.Avoid = func(host string) bool { return failures[host] > 0 }
	}
	return r
}

// keepBooking has a request keep the job's booking of the last cycle, if all its hosts are still
// there.
func (sc *scheduler) keepBooking(w *pendingJob) {
	j, r, now := w.job, w.request, sc.now.Steady
	for _, b := range j.Booking.Places {
		h := sc.cluster.Host(b.Machine)
		if h == nil || sc.machines[h] == nil {
			r.Booking = nil
			return
		}
		begin := b.Begin
		if now < j.Preemption.ReservedUntil && len(j.Preemption.Reservations) == 0 {
			r.KeepBooking = true
			begin = max(begin, now+heldBookingDelay)
		}
		r.Booking = append(r.Booking, slottable.Place{Machine: sc.machines[h], Begin: begin, Ready: max(b.Ready, begin)})
	}
}

// applyReservations lets tasks wait for the room that was made for them, rather than fetch
// elsewhere, and prefer it once it is free. It reports whether there are other tasks, or room.
func (sc *scheduler) applyReservations(w *pendingJob) bool {
	j, r := w.job, w.request
	j.Preemption.Reservations = slices.DeleteFunc(j.Preemption.Reservations, func(reserved state.Reservation) bool {
		return sc.now.Steady >= reserved.Until || sc.machines[reserved.Host] == nil || !sc.isSchedulable(reserved.Host)
	})
	waiting := 0
	for _, reserved := range j.Preemption.Reservations {
		m := sc.machines[reserved.Host]
		r.Preferred = append(r.Preferred, m)
		if !m.Free().Covers(r.Resources) {
			waiting++
		}
	}
	w.tasks = w.tasks[:max(0, len(w.tasks)-waiting)]
	r.Tasks = len(w.tasks)
	return r.Tasks > 0
}

// hasStoppingAttempt reports whether an attempt of a job is being stopped.
func (sc *scheduler) hasStoppingAttempt(j *state.Job) bool {
	return slices.ContainsFunc(j.ActiveAttempts(), func(a *state.Attempt) bool { return a.StopRequested && isCurrent(a) })
}
