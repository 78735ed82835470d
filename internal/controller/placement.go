package controller

import (
	"slices"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

const (
	// localityWaitFetches is for how many times the fetch of its image an array takes machines
	// without the image only after the jobs that find theirs there. Four instead of one:
	// hsos-foldrenges-fleet 0.80/0.78 on six paired seeds.
	localityWaitFetches = 1
	// bookingRetryDelay is how long it is not tried again to book a deadline job whose booking
	// would have come too late.
	bookingRetryDelay = 2 * protocol.Second
	// bookingBatchDelay is how long new bookings are collected into a record.
	bookingBatchDelay = protocol.Second
	// attemptSeqBits is how many bits of an attempt number are the sequence within an epoch.
	attemptSeqBits = 24
)

// prefersLocality reports whether an array takes only machines that have its image, as long as
// another job can use the others at once. In an overload the jobs that wait need different
// images: a machine that comes free went to the first in the queue, which had to fetch, while a
// few places on was one that could have run at once. What is left after all had that choice is
// given to the same jobs in the same cycle, so no machine stays free for it. A job that has
// waited for as long as a fetch, or that has a booking, is served in its turn.
func (sc *scheduler) prefersLocality(w *pendingJob) bool {
	j := w.job
	s := j.Spec
	if s.Kind != protocol.Array || j.Priority < protocol.PriorityStandard || isOpportunistic(j) {
		return false
	}
	if j.Failures.Suspect || len(j.Booking.Places) > 0 || s.ImageSize == 0 {
		return false
	}
	return sc.now.Steady-j.EligibleAt < localityWaitFetches*sc.estimates.longestFetch(s)
}

// placeWithImage starts what an array can at once on machines that have its image.
func (sc *scheduler) placeWithImage(c *schedulingCycle, w *pendingJob) {
	if !sc.buildRequest(w) {
		return
	}
	r := w.request
	r.Limit = sc.quotaAllowance(c, w.job, c.heldForTeam[w.job.Spec.Team])
	r.ImageLocalOnly = true
	if r.Limit <= 0 {
		return
	}
	w.result = sc.slotTable.Try(r, false)
	for i, place := range w.result.Start {
		sc.assignTask(w, w.tasks[i], place)
	}
}

// placeJob gives a job what places it can have, in its turn.
func (sc *scheduler) placeJob(c *schedulingCycle, w *pendingJob) {
	if !sc.buildRequest(w) {
		return
	}
	j, r, team := w.job, w.request, w.job.Spec.Team
	r.Limit = sc.quotaAllowance(c, j, c.heldForTeam[team])
	if r.Gang && r.Limit < r.Tasks && j.Priority <= protocol.PriorityHigh && !j.Failures.Suspect {
		// Its team's limit leaves no room for all of its tasks at once. Without this, smaller
		// jobs of the team would take what comes free, one task at a time, for as long as they
		// last.
		c.heldForTeam[team] = c.heldForTeam[team].Add(j.Spec.TaskResources, int64(r.Tasks))
	}
	w.result = sc.slotTable.Next(r)
	sc.bookPlaces(w)
	for i, place := range w.result.Start {
		sc.assignTask(w, w.tasks[i], place)
	}
	if len(w.result.Start) == maxTasksPerCycle {
		sc.cycleNeeded = true // the rest of a long array comes with the next cycle
	}
	if len(w.result.Booked) > 0 {
		j.Booking.Zone = w.result.Booked[0].Machine.Zone
		sc.persistBooking(w)
	}
}

// bookPlaces notes what was booked for a job, in place of its last booking.
func (sc *scheduler) bookPlaces(w *pendingJob) {
	b := &w.job.Booking
	b.Places = b.Places[:0]
	for _, place := range w.result.Booked {
		b.Places = append(b.Places, state.BookedPlace{Machine: place.Machine.Name, Begin: place.Begin, Ready: place.Ready})
	}
	if w.result.Late {
		b.RetryAt = sc.now.Steady + bookingRetryDelay
	}
}

// persistBooking has a deadline job's booking recorded.
func (sc *scheduler) persistBooking(w *pendingJob) {
	j := w.job
	j.Booking.Start = w.result.Booked[0].Begin
	if j.Spec.Deadline == 0 || !w.result.Viable || j.Booking.Persisted {
		return
	}
	j.Booking.Persisted = true
	ref, due := j.Spec.Ref, sc.now.Steady+bookingBatchDelay
	sc.records.bookingShards.put(ref, bookingRecordSize(ref), sc.records.shardCapacity(), due, false)
}

// quotaAllowance is how many more tasks of a job its team's limit allows, with all that may
// still be on hosts counted, and what is held for others of the team.
func (sc *scheduler) quotaAllowance(c *schedulingCycle, j *state.Job, held protocol.Resources) int {
	team, _ := sc.config.team(j.Spec.Team)
	limit := team.Limit
	used := sc.cluster.UsedByTeam[j.Spec.Team].Add(held, 1)
	if sc.mayHaveUnrecordedLaunches() && limit != (protocol.Resources{}) {
		if c.unknownTypes {
			return 0
		}
		used = used.Add(c.unreconciled, 1)
	}
	task := j.Spec.TaskResources
	allowed := int64(protocol.MaxTasks)
	if limit.CPU > 0 && task.CPU > 0 {
		allowed = min(allowed, (limit.CPU-used.CPU)/task.CPU)
	}
	if limit.GPU > 0 && task.GPU > 0 {
		allowed = min(allowed, (limit.GPU-used.GPU)/task.GPU)
	}
	return int(max(allowed, 0))
}

// assignTask gives a task a place. The launch leaves with the answer to the host's next
// heartbeat.
func (sc *scheduler) assignTask(w *pendingJob, index int, place slottable.Place) {
	j := w.job
	h := sc.cluster.Host(place.Machine.Name)
	if h == nil || !sc.isSchedulable(h) {
		return
	}
	name := protocol.AttemptName{TaskName: protocol.TaskName{Job: j.Spec.Ref, Index: index}, Number: sc.attemptNumber(j)}
	if h.Find(name) != nil {
		return // the host still knows this attempt: it would ignore the launch
	}
	if !isOpportunistic(j) {
		sc.evictOpportunistic(h, j.Spec.TaskResources)
	}
	a := sc.cluster.Attach(sc.now.Steady, j, h, name)
	a.ExpectedReady = place.Ready
	j.Preemption.Reservations = slices.DeleteFunc(j.Preemption.Reservations, func(r state.Reservation) bool { return r.Host == h })
	sc.cluster.SetAttemptState(sc.now.Steady, a, state.AttemptAssigned)
	sc.agents.updateIdleSince(h)
	sc.records.recordLaunch(a, sc.records.launchRecordDue(j.Spec))
	sc.log.Debug("assigned", "task", name.String(), "try", name.Number, "host", h.Name,
		"ready_in_ms", int64((place.Ready-sc.now.Steady)/protocol.Millisecond))
}

// attemptNumber is the number of a job's next attempt. All tasks of a gang have the same one.
func (sc *scheduler) attemptNumber(j *state.Job) uint64 {
	if j.Spec.Kind != protocol.Gang {
		return sc.nextAttemptNumber()
	}
	if j.Gang.Attempt == 0 {
		j.Gang.Attempt = sc.nextAttemptNumber()
	}
	return j.Gang.Attempt
}

// nextAttemptNumber makes a number that no epoch has used.
func (sc *scheduler) nextAttemptNumber() uint64 {
	sc.attemptSeq++
	return sc.epoch<<attemptSeqBits | sc.attemptSeq
}
