package controller

import (
	"slices"
	"sort"

	"mapleslip/internal/configuration"
	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// pendingJob is a job that still needs places, with its request.
type pendingJob struct {
	job             *state.Job
	request         *slottable.Request
	tasks           []int
	withinGuarantee bool // its team's jobs up to this one fit into the guarantee
	deadlineMissed  bool // too late for its deadline and every aim on finishing
	hasReservation  bool // room was made for it
	queueOrder      micros
	result          slottable.Result
}

// cycleStage is how far a pass has come.
type cycleStage uint8

// CycleStages of a pass.
const (
	stagePlanning    cycleStage = iota // jobs get places and bookings, in their order
	stageBackfilling                   // arrays that had the choice of machines with their image get what is left
	stagePreempting                    // room is made for those of high rank
	stageScaling                       // what to rent is found
)

func (s cycleStage) String() string {
	return [...]string{"planning", "filling", "preempting", "renting"}[s]
}

// cycle is one pass over the queue. It may take several rounds: a round has a
// bound on its work, so that renewal, workers and users never wait behind it,
// and the next one carries on where it stopped, in the same order. What was
// booked before the cut stays marked in the table, so backfilling after it
// moves no booking.
type schedulingCycle struct {
	stage         cycleStage
	pending       []*pendingJob
	next          int
	heldForTeam   map[string]protocol.Resources // by team, for jobs that come first
	unreconciled  protocol.Resources            // that tasks on hosts not heard of yet may use
	unknownTypes  bool                          // some of those hosts are of a type not known
	preemptible   map[*state.Host]protocol.Resources
	unschedulable []unschedulableShape
	localityFirst []*pendingJob // for the second stage
	steps         int
	work          int
	startedAt     micros
}

// redirectedEpoch is the one place where a pass changes its stage.
func (p *schedulingCycle) setStage(s cycleStage) { p.stage, p.next = s, 0 }

// maxStepWork bounds what one round looks at, in rows of the table. It is a few
// milliseconds of a whole processor, more where the share is larger.
func (sc *scheduler) maxStepWork() int {
	return int(240_000 * max(0.1, min(1, sc.platform.CPUShare)))
}

// round plans: it assigns what can start now, keeps bookings, makes room by
// preemption, and finds what to rent.
func (sc *scheduler) runSchedulingStep() {
	sc.lastCycle = sc.now.Steady
	if !sc.election.mayActAsLeader() || len(sc.catalog.types) == 0 {
		sc.cycle, sc.cycleNeeded = nil, false
		return
	}
	sc.refreshSlotTable()
	sc.slotTable.Work = 0
	if sc.cycle == nil {
		sc.cycleNeeded = false
		sc.cycle = sc.newSchedulingCycle()
		sc.slotTable.Begin()
	} else {
		sc.slotTable.Resume()
	}
	p := sc.cycle
	p.steps++
	sc.stats.SchedulingSteps++
	most := sc.maxStepWork()
	done := 0 // of the round's work, by the stages before
	count := func(s cycleStage) {
		sc.stats.RowsByStage[s] += uint64(sc.slotTable.Work - done)
		done = sc.slotTable.Work
	}
	if p.stage == stagePlanning {
		for ; p.next < len(p.pending) && sc.slotTable.Work < most; p.next++ {
			if w := p.pending[p.next]; sc.prefersLocality(w) {
				sc.placeImageLocal(p, w)
				p.localityFirst = append(p.localityFirst, w)
			} else {
				sc.placeJob(p, w)
			}
		}
		count(stagePlanning)
		if p.next == len(p.pending) {
			p.setStage(stageBackfilling)
		}
	}
	if p.stage == stageBackfilling {
		for ; p.next < len(p.localityFirst) && sc.slotTable.Work < most; p.next++ {
			w := p.localityFirst[p.next]
			w.tasks, w.request, w.result = nil, nil, slottable.Result{}
			sc.placeJob(p, w)
		}
		count(stageBackfilling)
		if p.next == len(p.localityFirst) {
			p.setStage(stagePreempting)
		}
	}
	if p.stage == stagePreempting {
		for ; p.next < len(p.pending) && sc.slotTable.Work < most; p.next++ {
			sc.preempt(p, p.pending[p.next])
		}
		count(stagePreempting)
		if p.next == len(p.pending) {
			p.setStage(stageScaling)
		}
	}
	p.work += sc.slotTable.Work
	if p.stage == stageScaling && (sc.slotTable.Work < most/2 || p.steps > 1) {
		sc.autoscaler.planScaling(p.pending)
		count(stageScaling)
		sc.stats.SchedulingCycles++
		sc.emitCycleSpan(p)
		sc.cycle = nil
		return
	}
	sc.stats.CutStepsByStage[p.stage]++
	if at := sc.now.Steady; at-sc.lastCutLog > 5*protocol.Second {
		sc.lastCutLog = at
		sc.log.Info("plan cut short", "stage", p.stage.String(), "next", p.next, "of", len(p.pending), "work", p.work)
	}
}

// emitCycleSpan tells of a pass that is over.
func (sc *scheduler) emitCycleSpan(p *schedulingCycle) {
	if !sc.tracing {
		return
	}
	sc.emit(Span{Name: "pass", From: p.startedAt, To: sc.now.Steady, Counts: []SpanCount{
		{"jobs", int64(len(p.pending))},
		{"rounds", int64(p.steps)},
		{"rows", int64(p.work)},
	}})
}

// newSchedulingCycle orders the queue.
func (sc *scheduler) newSchedulingCycle() *schedulingCycle {
	p := &schedulingCycle{heldForTeam: make(map[string]protocol.Resources), preemptible: make(map[*state.Host]protocol.Resources), startedAt: sc.now.Steady}
	if !sc.reconciled && sc.launchesUnrecorded {
		for _, h := range sc.cluster.Hosts() {
			if h.FromRecord && !h.Reconciled {
				if h.Type == nil {
					p.unknownTypes = true
				} else {
					p.unreconciled = p.unreconciled.Add(h.Type.Capacity, 1)
				}
			}
		}
	}
	p.pending = sc.pendingJobs()
	return p
}

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
	if s.Kind != protocol.Array || j.Priority < protocol.PriorityStandard || isOpportunistic(j) || j.Suspect || len(j.Bookings) > 0 || s.ImageSize == 0 {
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

// placeJob gives a job what places it can have, in its turn.
func (sc *scheduler) placeJob(p *schedulingCycle, w *pendingJob) {
	j := w.job
	if !sc.buildRequest(w) {
		return
	}
	r := w.request
	r.Limit = sc.quotaAllowance(p, j, p.heldForTeam[j.Spec.Team])
	if r.Gang && r.Limit < r.Tasks && j.Priority <= protocol.PriorityHigh && !j.Suspect {
		// Its team's limit leaves no room for all of its tasks at once.
		// Without this, smaller jobs of the team would take what comes free,
		// one task at a time, for as long as they last.
		p.heldForTeam[j.Spec.Team] = p.heldForTeam[j.Spec.Team].Add(j.Spec.TaskResources, int64(r.Tasks))
	}
	res := sc.slotTable.Next(r)
	w.result = res
	j.Bookings = j.Bookings[:0]
	for _, b := range res.Booked {
		j.Bookings = append(j.Bookings, state.Booking{Machine: b.Machine.Name, Begin: b.Begin, Ready: b.Ready})
	}
	if res.Late {
		j.BookingRetryAt = sc.now.Steady + bookingRetryDelay
	}
	for i, pl := range res.Start {
		sc.assignTask(w, w.tasks[i], pl)
	}
	if len(res.Start) == maxTasksPerCycle {
		sc.cycleNeeded = true // the rest of a long array comes with the next round
	}
	if len(res.Booked) > 0 {
		j.BookedZone = res.Booked[0].Machine.Zone
		sc.persistBooking(w, res)
	}
}

// bookingRetryDelay is how long it is not tried again to book a deadline job whose
// booking would have come too late.
const bookingRetryDelay = 2 * protocol.Second

// refreshSlotTable brings the rows up to date whose machine changed, or whose
// estimates ran out.
func (sc *scheduler) refreshSlotTable() {
	at := sc.now.Steady
	sc.slotTable.Now = at
	for _, h := range sc.cluster.Hosts() {
		if h.Type == nil || h.State == state.HostGone || h.State == state.HostReleasing {
			if sc.machines[h] != nil {
				sc.withdrawAssignments(h)
				sc.removeMachine(h)
			}
			continue
		}
		m := sc.machines[h]
		usable := sc.isSchedulable(h)
		booting := h.State == state.HostBooting && !h.FromRecord
		if m == nil {
			typ := h.Type
			m = &slottable.Machine{
				Name: h.Name, Type: h.TypeName, Zone: h.Zone, Spot: h.Spot, Offer: typ.Capacity,
				Fetch: func(size int64) micros { return sc.estimates.fetchTime(typ, size) },
			}
			sc.machines[h] = m
			sc.slotTable.Add(m)
			h.Stale = true
		}
		if !usable && !m.Blocked {
			sc.withdrawAssignments(h)
		}
		if h.Stale || booting || m.Blocked == usable || m.NextEnd() <= at {
			sc.refreshMachine(h, m, usable, booting)
		}
	}
}

// removeMachine takes a host's row out of the table.
func (sc *scheduler) removeMachine(h *state.Host) {
	if m := sc.machines[h]; m != nil {
		sc.slotTable.Remove(m)
		delete(sc.machines, h)
	}
}

// withdrawAssignments takes back assignments whose host can't be reached or is leaving.
func (sc *scheduler) withdrawAssignments(h *state.Host) {
	for _, a := range h.Attempts() {
		if a.State == state.AttemptAssigned {
			sc.agents.onAttemptLost(a)
		}
	}
}

// isSchedulable reports whether tasks may be put on a host.
func (sc *scheduler) isSchedulable(h *state.Host) bool {
	at := sc.now.Steady
	return h.State == state.HostReady && h.Reconciled && h.Type != nil && !h.Interrupted && !ignoresCommands(h) && !sc.hosts.missesHeartbeats(h) && sc.config.drainOf(h) == configuration.NotDrained &&
		at >= h.QuarantinedUntil && at >= h.FullUntil && at-h.LastContact < 2*sc.platform.HeartbeatInterval+protocol.Second
}

// refreshMachine makes a host's row from what is known of it.
func (sc *scheduler) refreshMachine(h *state.Host, m *slottable.Machine, usable, booting bool) {
	at := sc.now.Steady
	table := &sc.slotTable
	h.Stale = false
	m.Reset()
	m.From = at
	switch {
	case usable:
	case booting && sc.config.drainOf(h) == configuration.NotDrained:
		m.From = sc.estimates.expectedBootEnd(h)
	default:
		m.Blocked = true
	}
	if h.RuntimeRatio > 1.8 {
		m.Penalty = micros((h.RuntimeRatio - 1) * 10 * float64(protocol.Second))
	}
	if len(h.SuspectedBy) > 0 {
		m.Penalty += 10 * protocol.Second
	}
	m.Unheld = !h.Spot && !sc.hasRetainingWork(h)
	for name := range h.Images {
		table.AddImage(m, name, 0)
	}
	var gives protocol.Resources
	for _, a := range h.Attempts() {
		if !a.State.HoldsResources() || a.Job == nil {
			continue
		}
		s := a.Job.Spec
		k := sc.workload.classStats(s.Class)
		till := protocol.Forever
		switch {
		case a.StopRequested:
			till = at + a.StopGrace/2 + protocol.Second
		case a.State == state.AttemptRunning:
			if r := k.remainingRuntime(s, at-a.StartedAt); r < protocol.Forever {
				till = at + r
			}
		case s.Kind != protocol.Service:
			till = max(at, a.ExpectedReady) + k.estimatedRuntime(s)
		}
		m.Occupy(slottable.Span{From: at, To: till, Need: s.TaskResources, Guest: isOpportunistic(a.Job)})
		if a.StopRequested || sc.isPreemptible(a.Job) {
			gives = gives.Add(s.TaskResources, 1)
		}
		if a.State == state.AttemptAssigned || a.State == state.AttemptLaunched || a.State == state.AttemptFetching {
			if !table.HasImage(m, s.Image) {
				table.AddImage(m, s.Image, max(a.ExpectedReady, at+protocol.Second))
			}
		}
	}
	if usable {
		m.Makes = h.Type.Capacity.Add(h.Used(), -1).Add(gives, 1)
	}
	table.Update(m)
}

// pendingJob lists the jobs that need places, in the order in which they are
// tried: by rank, then those that can still be in time, then those within their
// team's guarantee, then by their turn.
func (sc *scheduler) pendingJobs() []*pendingJob {
	at := sc.now.Steady
	sums := make(map[string]protocol.Resources)
	var list []*pendingJob
	for _, j := range sc.cluster.Jobs() {
		if j.State != state.JobActive {
			continue
		}
		s := j.Spec
		sums[s.Team] = sums[s.Team].Add(s.TaskResources, int64(s.Tasks-j.CompletedTasks))
		if j.QueuedTasks == 0 || at < j.BackoffUntil {
			continue
		}
		if !sc.reconciled && sc.launchesUnrecorded && j.LeaderEpoch != sc.epoch {
			continue // its tasks may be on hosts that have not reported yet
		}
		w := &pendingJob{job: j, withinGuarantee: fitsGuarantee(sc.guarantee(s.Team), sums[s.Team])}
		w.deadlineMissed, w.hasReservation = sc.isDeadlineMissed(j), at < j.ReservedUntil
		w.queueOrder = j.EligibleAt
		if s.Kind == protocol.Array {
			// Jobs count alike, so a large one lets small ones pass that come a
			// little later: by its work, spread over some machines.
			w.queueOrder += sc.workload.classStats(s.Class).estimatedRuntime(s) * micros(s.Tasks-j.CompletedTasks) / 8
		}
		list = append(list, w)
	}
	sort.SliceStable(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if x.job.Suspect != y.job.Suspect {
			return y.job.Suspect
		}
		if x.job.Priority != y.job.Priority {
			return x.job.Priority < y.job.Priority
		}
		if x.hasReservation != y.hasReservation {
			return x.hasReservation
		}
		if x.deadlineMissed != y.deadlineMissed {
			return y.deadlineMissed
		}
		if x.withinGuarantee != y.withinGuarantee {
			return x.withinGuarantee
		}
		return x.queueOrder < y.queueOrder
	})
	return list
}

// maxTasksPerCycle is how many tasks of a job one pass looks for places for.
const maxTasksPerCycle = 256

// buildRequest makes a job's request, in its turn. It reports whether there is
// something to place.
func (sc *scheduler) buildRequest(w *pendingJob) bool {
	at := sc.now.Steady
	j := w.job
	s := j.Spec
	if j.State != state.JobActive || j.QueuedTasks == 0 || at < j.BackoffUntil {
		return false
	}
	if j.Suspect && sc.faults.isProven(j) {
		sc.faults.confirmHealthy(j)
	}
	if j.Suspect && j.AttemptCount > 0 {
		return false // what is being tried says whether it can run
	}
	if s.Kind == protocol.Gang && (j.GangStarted || sc.hasStoppingAttempt(j)) {
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
		r.Stay = j.BookedZone
	}
	if s.SpreadZones {
		r.ZoneCap = (s.Tasks + 1) / 2
	}
	if due := effectiveDeadline(j); due > 0 {
		r.Deadline = due - sc.operator.DeadlineMargin
		r.NoBooking = at < j.BookingRetryAt
	}
	if j.Suspect && s.Kind != protocol.Gang {
		w.tasks = w.tasks[:1]
		r.Tasks = 1
	}
	if len(j.FailuresByHost) > 0 && !j.Suspect {
		failures := j.FailuresByHost
		r.Avoid = func(name string) bool { return failures[name] > 0 }
	}
	if len(j.Reservations) > 0 && !sc.applyReservations(w) {
		return false
	}
	for _, b := range j.Bookings {
		h := sc.cluster.Host(b.Machine)
		if h == nil || sc.machines[h] == nil {
			r.Kept = nil
			break
		}
		begin := b.Begin
		if at < j.ReservedUntil && len(j.Reservations) == 0 {
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
	j.Reservations = slices.DeleteFunc(j.Reservations, func(m state.Reservation) bool {
		return sc.now.Steady >= m.Until || sc.machines[m.Host] == nil || !sc.isSchedulable(m.Host)
	})
	waiting := 0
	for _, m := range j.Reservations {
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

// maxOvertakenLateness is how long a job that is too late lets others pass.
const maxOvertakenLateness = 600 * protocol.Second

// deadlineMissed reports whether a job is too late for whatever was asked of its end.
// Such a job lets those pass that are not: served in order of submission, in an
// overload each late job would make the next one late too.
func (sc *scheduler) isDeadlineMissed(j *state.Job) bool {
	due := sc.objectives.objectiveDeadline(j)
	if j.InheritedDeadline > 0 && (due == 0 || j.InheritedDeadline < due) {
		due = j.InheritedDeadline
	}
	if due == 0 {
		return false
	}
	late := sc.now.Steady + sc.workload.classStats(j.Spec.Class).estimatedRuntime(j.Spec) - due
	return late > 0 && late < maxOvertakenLateness
}

// objectiveDeadline is when a job should have ended, by its deadline and the latest aim on the end
// of its class; 0: nothing is asked of its end.
func (ot *objectiveTracker) objectiveDeadline(j *state.Job) micros {
	s := j.Spec
	var due micros
	if s.Kind == protocol.Service {
		return 0
	}
	if s.Deadline > 0 {
		due = j.Submitted + s.Deadline
	}
	for _, o := range ot.platform.Objectives {
		if o.Kind == "finished" && o.Class == s.Class {
			due = max(due, j.EligibleAt+o.Within)
		}
	}
	return due
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

func (sc *scheduler) guarantee(name string) protocol.Resources {
	team, _ := sc.config.team(name)
	return team.Guarantee
}

func fitsGuarantee(g, sum protocol.Resources) bool {
	return (g.CPU == 0 || sum.CPU <= g.CPU) && (g.GPU == 0 || sum.GPU <= g.GPU) && (g.CPU > 0 || g.GPU > 0)
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
		if j.GangAttempt == 0 {
			j.GangAttempt = sc.nextAttemptNumber()
		}
		number = j.GangAttempt
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
	j.Reservations = slices.DeleteFunc(j.Reservations, func(m state.Reservation) bool { return m.Host == h })
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
	j.BookedStart = res.Booked[0].Begin
	if j.Spec.Deadline > 0 && res.Viable && !j.BookingPersisted {
		j.BookingPersisted = true
		sc.records.bookingShards.put(j.Spec.Ref, bookingRecordSize(j.Spec.Ref), sc.records.shardCapacity(), sc.now.Steady+bookingBatchDelay, false)
	}
}
