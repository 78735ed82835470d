package controller

import (
	"slices"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// localityWaitFetches is for how many times the fetch of its image an array takes machines
// without the image only after the jobs that find theirs there. Four instead of one:
// hsos-foldrenges-fleet 0.80/0.78 on six paired seeds.
const localityWaitFetches = 1

// prefersLocality reports whether an array takes only machines that have its image, as
// long as another job can use the others at once. In an overload the jobs that wait
// need different images: a machine that comes free went to the first in line, which
// had to fetch, while a few places on was one that could have run at once. What is
// left after all had that choice is given to the same jobs in the same round, so no
// machine stays free for it. A job that has waited for as long as a fetch, or that has
// a booking, is served in its turn.
func (sc *scheduler) prefersLocality(w *pendingJob) bool {
	j := w.job
	s := j.Spec
	if s.Kind != protocol.Array || j.Priority < protocol.PriorityStandard || isOpportunistic(j) || j.Failures.Suspect || len(j.Booking.Places) > 0 || s.ImageSize == 0 {
		return false
	}
	var fetch micros
	for _, typ := range sc.catalog.types {
		if s.AllowsType(typ.Name) {
			fetch = max(fetch, sc.estimates.fetchTime(typ, s.ImageSize))
		}
	}
	return sc.now.Steady-j.EligibleAt < localityWaitFetches*fetch
}

// placeImageLocal starts what an array can at once on machines that have its image.
func (sc *scheduler) placeImageLocal(p *schedulingCycle, w *pendingJob) {
	if !sc.buildRequest(w) {
		return
	}
	r := w.request
	r.Limit = sc.quotaAllowance(p, w.job, p.heldForTeam[w.job.Spec.Team])
	r.HotOnly = true
	if r.Limit <= 0 {
		return
	}
	w.result = sc.slotTable.Try(r, false)
	for i, pl := range w.result.Start {
		sc.assignTask(w, w.tasks[i], pl)
	}
}

// bookingRetryDelay is how long it is not tried again to book a deadline job whose
// booking would have come too late.
const bookingRetryDelay = 2 * protocol.Second

// placeJob gives a job what places it can have, in its turn.
func (sc *scheduler) placeJob(p *schedulingCycle, w *pendingJob) {
	j := w.job
	if !sc.buildRequest(w) {
		return
	}
	r := w.request
	r.Limit = sc.quotaAllowance(p, j, p.heldForTeam[j.Spec.Team])
	if r.Gang && r.Limit < r.Tasks && j.Priority <= protocol.PriorityHigh && !j.Failures.Suspect {
		// Its team's limit leaves no room for all of its tasks at once.
		// Without this, smaller jobs of the team would take what comes free,
		// one task at a time, for as long as they last.
		p.heldForTeam[j.Spec.Team] = p.heldForTeam[j.Spec.Team].Add(j.Spec.TaskResources, int64(r.Tasks))
	}
	res := sc.slotTable.Next(r)
	w.result = res
	j.Booking.Places = j.Booking.Places[:0]
	for _, b := range res.Booked {
		j.Booking.Places = append(j.Booking.Places, state.BookedPlace{Machine: b.Machine.Name, Begin: b.Begin, Ready: b.Ready})
	}
	if res.Late {
		j.Booking.RetryAt = sc.now.Steady + bookingRetryDelay
	}
	for i, pl := range res.Start {
		sc.assignTask(w, w.tasks[i], pl)
	}
	if len(res.Start) == maxTasksPerCycle {
		sc.cycleNeeded = true // the rest of a long array comes with the next round
	}
	if len(res.Booked) > 0 {
		j.Booking.Zone = res.Booked[0].Machine.Zone
		sc.persistBooking(w, res)
	}
}

// quotaAllowance is how many more tasks of a job its team's limit allows, with all
// that may still be on hosts counted, and what is held for others of the team.
func (sc *scheduler) quotaAllowance(p *schedulingCycle, j *state.Job, held protocol.Resources) int {
	team, _ := sc.config.team(j.Spec.Team)
	limit := team.Limit
	used := sc.cluster.UsedByTeam[j.Spec.Team].Add(held, 1)
	if !sc.reconciled && sc.launchesUnrecorded && limit != (protocol.Resources{}) {
		if p.unknownTypes {
			return 0
		}
		used = used.Add(p.unreconciled, 1)
	}
	n := int64(protocol.MaxTasks)
	if limit.CPU > 0 && j.Spec.TaskResources.CPU > 0 {
		n = min(n, (limit.CPU-used.CPU)/j.Spec.TaskResources.CPU)
	}
	if limit.GPU > 0 && j.Spec.TaskResources.GPU > 0 {
		n = min(n, (limit.GPU-used.GPU)/j.Spec.TaskResources.GPU)
	}
	return int(max(n, 0))
}

// assignTask gives a task a place. The launch leaves with the answer to the
// host's next report.
func (sc *scheduler) assignTask(w *pendingJob, index int, p slottable.Place) {
	j := w.job
	h := sc.cluster.Host(p.Machine.Name)
	if h == nil || !sc.isSchedulable(h) {
		return
	}
	var number uint64
	if j.Spec.Kind == protocol.Gang {
		if j.Gang.Attempt == 0 {
			j.Gang.Attempt = sc.nextAttemptNumber()
		}
		number = j.Gang.Attempt
	} else {
		number = sc.nextAttemptNumber()
	}
	name := protocol.AttemptName{TaskName: protocol.TaskName{Job: j.Spec.Ref, Index: index}, Number: number}
	if h.Find(name) != nil {
		return // the host still knows this attempt: it would ignore the launch
	}
	if !isOpportunistic(j) {
		sc.evictOpportunistic(h, j.Spec.TaskResources)
	}
	a := sc.cluster.Attach(sc.now.Steady, j, h, name)
	a.ExpectedReady = p.Ready
	j.Preemption.Reservations = slices.DeleteFunc(j.Preemption.Reservations, func(m state.Reservation) bool { return m.Host == h })
	sc.cluster.SetAttemptState(sc.now.Steady, a, state.AttemptAssigned)
	sc.agents.updateIdleSince(h)
	sc.records.recordLaunch(a, sc.records.launchRecordDue(j.Spec))
	sc.log.Debug("assigned", "task", name.TaskName.String(), "try", number, "host", h.Name, "ready_in_ms", int64((p.Ready-sc.now.Steady)/protocol.Millisecond))
}

// nextAttemptNumber makes a number that no epoch has used.
func (sc *scheduler) nextAttemptNumber() uint64 {
	sc.attemptSeq++
	return sc.epoch<<24 | sc.attemptSeq
}

// bookingBatchDelay is how long new bookings are let come together in a record.
const bookingBatchDelay = protocol.Second

// cluster keeps a deadline job's booking.
func (sc *scheduler) persistBooking(w *pendingJob, res slottable.Result) {
	j := w.job
	j.Booking.Start = res.Booked[0].Begin
	if j.Spec.Deadline > 0 && res.Viable && !j.Booking.Persisted {
		j.Booking.Persisted = true
		sc.records.bookingShards.put(j.Spec.Ref, bookingRecordSize(j.Spec.Ref), sc.records.shardCapacity(), sc.now.Steady+bookingBatchDelay, false)
	}
}
