package controller

import (
	"slices"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

const (
	// localityWaitFetches is for how long, in fetch times of its image, an array leaves machines
	// without the image to the jobs whose image is there. The value isn't larger because with 4
	// fetch times instead of 1 the simulated deployment hsos-foldrenges-fleet scored 0.78 instead
	// of 0.80 (six runs).
	localityWaitFetches = 1
	// bookingRetryDelay is the pause after a deadline job could not be booked in time, and after
	// preemption could not free enough capacity for a gang.
	bookingRetryDelay = 2 * protocol.Second
	// bookingBatchDelay is how long new bookings are collected before they are recorded together.
	bookingBatchDelay = protocol.Second
	// attemptSeqBits is the number of low bits of an attempt number that count the attempts of an
	// epoch.
	attemptSeqBits = 24
)

// prefersLocality reports whether an array takes machines without its image only after all jobs
// were planned once. In an overload the pending jobs need different images. Without this rule a
// machine that becomes free goes to the first job of the queue, which has to fetch its image, while
// a job a few places behind could start there at once. The machines that no other job takes are
// offered to the array in the same cycle, so none stays free because of the rule. The rule does not
// apply to a job that has waited for the fetch time of its image or that has a booking.
func (sc *scheduler) prefersLocality(pj *pendingJob) bool {
	j := pj.job
	s := j.Spec
	if s.Kind != protocol.Array || j.Priority < protocol.PriorityStandard || isOpportunistic(j) {
		return false
	}
	if j.Failures.Suspect || len(j.Booking.Places) > 0 || s.ImageSize == 0 {
		return false
	}
	return sc.now.Steady-j.EligibleAt < localityWaitFetches*sc.estimates.longestFetch(s)
}

// placeWithImage starts as many tasks of an array as possible on machines that have its image.
func (sc *scheduler) placeWithImage(c *schedulingCycle, pj *pendingJob) {
	if !sc.buildRequest(pj) {
		return
	}
	r := pj.request
	r.Limit = sc.quotaAllowance(c, pj.job, c.heldForTeam[pj.job.Spec.Team])
	r.ImageLocalOnly = true
	if r.Limit <= 0 {
		return
	}
	pj.result = sc.slotTable.Try(r, false)
	for i, place := range pj.result.Start {
		sc.assignTask(pj, pj.tasks[i], place)
	}
}

// placeJob assigns and books places for a job. Jobs are placed in queue order.
func (sc *scheduler) placeJob(c *schedulingCycle, pj *pendingJob) {
	if !sc.buildRequest(pj) {
		return
	}
	j, r, team := pj.job, pj.request, pj.job.Spec.Team
	r.Limit = sc.quotaAllowance(c, j, c.heldForTeam[team])
	if r.Gang && r.Limit < r.Tasks && j.Priority <= protocol.PriorityHigh && !j.Failures.Suspect && sc.fitsBesideServices(c, j) {
		// The team's limit does not allow all tasks of the gang at once. Resources are held for
		// it: otherwise smaller jobs of the team would use every part of the limit that becomes
		// available, one task at a time, and the gang would wait until those jobs have ended.
		// Services don't end, so what they use never becomes available.
		c.heldForTeam[team] = c.heldForTeam[team].Add(j.Spec.TaskResources, int64(r.Tasks))
	}
	pj.result = sc.slotTable.Schedule(r)
	sc.bookPlaces(pj)
	for i, place := range pj.result.Start {
		sc.assignTask(pj, pj.tasks[i], place)
	}
	if len(pj.result.Start) == maxTasksPerCycle {
		sc.cycleNeeded = true // the next cycle places more tasks of a long array
	}
	if len(pj.result.Booked) > 0 {
		j.Booking.Zone = pj.result.Booked[0].Machine.Zone
		sc.persistBooking(pj)
	}
}

// fitsBesideServices reports whether a team's limit allows all tasks of a job beside the team's
// services.
func (sc *scheduler) fitsBesideServices(c *schedulingCycle, j *state.Job) bool {
	if c.usedByServices == nil {
		c.usedByServices = make(map[string]protocol.Resources)
		for _, other := range sc.cluster.Jobs() {
			if s := other.Spec; s.Kind == protocol.Service {
				c.usedByServices[s.Team] = c.usedByServices[s.Team].Add(s.TaskResources, int64(other.AttemptCount))
			}
		}
	}
	team, _ := sc.config.team(j.Spec.Team)
	return withinLimit(team.Limit, c.usedByServices[j.Spec.Team].Add(j.Spec.TaskResources, int64(j.Spec.Tasks)))
}

// bookPlaces replaces a job's booking by the places that this cycle booked.
func (sc *scheduler) bookPlaces(pj *pendingJob) {
	b := &pj.job.Booking
	b.Places = b.Places[:0]
	for _, place := range pj.result.Booked {
		b.Places = append(b.Places, state.BookedPlace{Machine: place.Machine.Name, Begin: place.Begin, Ready: place.Ready})
	}
	if pj.result.Late {
		b.RetryAt = sc.now.Steady + bookingRetryDelay
	}
}

// persistBooking sets the start of a job's booking. For a deadline job whose booking meets the
// deadline it also queues the booking record, unless that was done before.
func (sc *scheduler) persistBooking(pj *pendingJob) {
	j := pj.job
	j.Booking.Start = pj.result.Booked[0].Begin
	if j.Spec.Deadline == 0 || !pj.result.Viable || j.Booking.Persisted {
		return
	}
	j.Booking.Persisted = true
	ref, due := j.Spec.Ref, sc.now.Steady+bookingBatchDelay
	sc.records.bookingShards.put(ref, bookingRecordSize(ref), sc.records.shardCapacity(), due, false)
}

// quotaAllowance returns how many more tasks of a job its team's limit allows. Tasks that may still
// run on hosts, and the resources held for other jobs of the team, count against the limit.
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

// assignTask assigns a task to a host. The reply to the host's next heartbeat carries the launch.
func (sc *scheduler) assignTask(pj *pendingJob, index int, place slottable.Place) {
	j := pj.job
	h := sc.cluster.Host(place.Machine.Name)
	if h == nil || !sc.isSchedulable(h) {
		return
	}
	name := protocol.AttemptName{TaskName: protocol.TaskName{Job: j.Spec.Ref, Index: index}, Number: sc.attemptNumber(j)}
	if h.Find(name) != nil {
		return // the host still has this attempt and would ignore the launch
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

// attemptNumber returns the number of a job's next attempt. The tasks of a gang share one number.
func (sc *scheduler) attemptNumber(j *state.Job) uint64 {
	if j.Spec.Kind != protocol.Gang {
		return sc.nextAttemptNumber()
	}
	if j.Gang.Attempt == 0 {
		j.Gang.Attempt = sc.nextAttemptNumber()
	}
	return j.Gang.Attempt
}

// nextAttemptNumber returns a number that is unique over all epochs.
func (sc *scheduler) nextAttemptNumber() uint64 {
	sc.attemptSeq++
	return sc.epoch<<attemptSeqBits | sc.attemptSeq
}

// isOfThisTerm reports whether an attempt got its number from nextAttemptNumber in this term.
func (tc *termContext) isOfThisTerm(name protocol.AttemptName) bool {
	return name.Number>>attemptSeqBits == tc.epoch
}
