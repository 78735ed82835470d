package controller

import (
	"slices"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

const (
	// maxTasksPerCycle is the number of tasks of one array or service that a cycle tries to place.
	maxTasksPerCycle = 256
	// heldBookingDelay is the time that preempted tasks still get to end: a booking of the capacity
	// that they free begins no sooner than this from now.
	heldBookingDelay = 2 * protocol.Second
)

// buildRequest creates a job's request to the slot table for this cycle. It returns false if no
// task can be placed now.
func (sc *scheduler) buildRequest(pj *pendingJob) bool {
	j := pj.job
	if !sc.checkPlaceable(j) {
		return false
	}
	zones := zonesInUse(j)
	if j.Spec.SingleZone && len(zones) > 1 {
		// A launch record has a task of an earlier start of the job in another zone. The job was
		// restarted, and the previous leader stopped before it had recorded all launches. Until
		// one of the two starts is proven gone, either zone may be the wrong one.
		return false
	}
	pj.tasks = sc.queuedTasks(j)
	if len(pj.tasks) == 0 || j.Spec.Kind == protocol.Gang && len(pj.tasks) != j.QueuedTasks {
		return false
	}
	pj.request = sc.newRequest(j, len(pj.tasks), zones)
	if j.Failures.Suspect && j.Spec.Kind != protocol.Gang {
		pj.tasks = pj.tasks[:1]
		pj.request.Tasks = 1
	}
	if len(j.Preemption.Reservations) > 0 && !sc.applyReservations(pj) {
		return false
	}
	sc.keepBooking(pj)
	pj.request.ReadyBy = sc.objectives.startDeadline(j)
	return true
}

// checkPlaceable reports whether tasks of a job may be placed now. A suspect job that is proven to
// be able to run is no longer suspect afterwards.
func (sc *scheduler) checkPlaceable(j *state.Job) bool {
	if j.State != state.JobActive || j.QueuedTasks == 0 || sc.now.Steady < j.Failures.BackoffUntil {
		return false
	}
	if j.Failures.Suspect && sc.faults.isProven(j) {
		sc.faults.confirmHealthy(j)
	}
	if j.Failures.Suspect && j.AttemptCount > 0 {
		return false // the attempt in progress will show whether the job can run
	}
	// All tasks of a gang's previous attempt have to end before its next attempt starts.
	return j.Spec.Kind != protocol.Gang || !j.Gang.Started && !sc.hasStoppingAttempt(j)
}

// zonesInUse returns the number of a job's placed tasks by zone, nil if the job has no constraint
// on its zones.
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

// queuedTasks returns the indices of a job's tasks that can be placed now, at most
// maxTasksPerCycle unless the tasks have to start together.
func (sc *scheduler) queuedTasks(j *state.Job) []int {
	limit := j.QueuedTasks
	if j.Spec.Kind != protocol.Gang {
		limit = min(limit, maxTasksPerCycle)
	}
	firstQueued := -1
	tasks := make([]int, 0, limit)
	for i := j.FirstQueuedTask; i < len(j.Tasks) && len(tasks) < limit; i++ {
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

// newRequest creates a request for a number of a job's tasks. zones has the number of its placed
// tasks by zone.
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
		r.Avoid = func(host string) bool { return sc.now.Steady < failures[host].ExcludedUntil }
	}
	return r
}

// keepBooking adds the job's booking of the last cycle to its request, if all booked hosts are
// still in the slot table.
func (sc *scheduler) keepBooking(pj *pendingJob) {
	j, r, now := pj.job, pj.request, sc.now.Steady
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

// applyReservations makes a request prefer the hosts that are reserved for the job. As many tasks
// as there are reserved hosts without enough free capacity are taken out of the request: they
// wait for their host rather than fetch their image elsewhere. It returns false if no task
// remains.
func (sc *scheduler) applyReservations(pj *pendingJob) bool {
	j, r := pj.job, pj.request
	j.Preemption.Reservations = slices.DeleteFunc(j.Preemption.Reservations, func(reserved state.Reservation) bool {
		return sc.now.Steady >= reserved.Until || sc.machines[reserved.Host] == nil || !sc.isSchedulable(reserved.Host)
	})
	awaitingCapacity := 0
	for _, reserved := range j.Preemption.Reservations {
		m := sc.machines[reserved.Host]
		r.Preferred = append(r.Preferred, m)
		if !m.Free().Covers(r.Resources) {
			awaitingCapacity++
		}
	}
	pj.tasks = pj.tasks[:max(0, len(pj.tasks)-awaitingCapacity)]
	r.Tasks = len(pj.tasks)
	return r.Tasks > 0
}

// hasStoppingAttempt reports whether the newest attempt of any task of a job is being stopped.
func (sc *scheduler) hasStoppingAttempt(j *state.Job) bool {
	return slices.ContainsFunc(j.ActiveAttempts(), func(a *state.Attempt) bool { return a.StopRequested && isCurrent(a) })
}
