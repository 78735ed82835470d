package controller

import (
	"slices"
	"sort"

	"mapleslip/internal/configuration"
	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// wanted is a job that still needs places, with its request.
type wanted struct {
	job     *state.Job
	request *slottable.Request
	tasks   []int
	within  bool // its team's jobs up to this one fit into the guarantee
	missed  bool // too late for its deadline and every aim on finishing
	room    bool // room was made for it
	turn    micros
	result  slottable.Result
}

// stage is how far a pass has come.
type stage uint8

// Stages of a pass.
const (
	planning   stage = iota // jobs get places and bookings, in their order
	filling                 // arrays that had the choice of machines with their image get what is left
	preempting              // room is made for those of high rank
	renting                 // what to rent is found
)

func (s stage) String() string { return [...]string{"planning", "filling", "preempting", "renting"}[s] }

// pass is one pass over the queue. It may take several rounds: a round has a
// bound on its work, so that renewal, workers and users never wait behind it,
// and the next one carries on where it stopped, in the same order. What was
// booked before the cut stays marked in the table, so backfilling after it
// moves no booking.
type pass struct {
	stage    stage
	list     []*wanted
	next     int
	held     map[string]protocol.Resources // by team, for jobs that come first
	unproven protocol.Resources            // that tasks on hosts not heard of yet may use
	unknown  bool                          // some of those hosts are of a type not known
	yields   map[*state.Host]protocol.Resources
	hopeless []hopeless
	again    []*wanted // for the second stage
	rounds   int
	work     int
	began    micros
}

// to is the one place where a pass changes its stage.
func (p *pass) to(s stage) { p.stage, p.next = s, 0 }

// roundWork bounds what one round looks at, in rows of the table. It is a few
// milliseconds of a whole processor, more where the share is larger.
func (c *Controller) roundWork() int {
	return int(240_000 * max(0.1, min(1, c.platform.CPUShare)))
}

// round plans: it assigns what can start now, keeps bookings, makes room by
// preemption, and finds what to rent.
func (c *Controller) round() {
	t := c.term
	t.lastRound = c.at.Steady
	if !c.mayStart() || len(c.types) == 0 {
		t.pass, t.dirty = nil, false
		return
	}
	c.updateTable()
	t.table.Work = 0
	if t.pass == nil {
		t.dirty = false
		t.pass = c.newPass()
		t.table.Begin()
	} else {
		t.table.Resume()
	}
	p := t.pass
	p.rounds++
	c.stats.Rounds++
	most := c.roundWork()
	done := 0 // of the round's work, by the stages before
	count := func(s stage) {
		c.stats.Rows[s] += uint64(t.table.Work - done)
		done = t.table.Work
	}
	if p.stage == planning {
		for ; p.next < len(p.list) && t.table.Work < most; p.next++ {
			if w := p.list[p.next]; c.mayChoose(w) {
				c.placeHot(p, w)
				p.again = append(p.again, w)
			} else {
				c.place(p, w)
			}
		}
		count(planning)
		if p.next == len(p.list) {
			p.to(filling)
		}
	}
	if p.stage == filling {
		for ; p.next < len(p.again) && t.table.Work < most; p.next++ {
			w := p.again[p.next]
			w.tasks, w.request, w.result = nil, nil, slottable.Result{}
			c.place(p, w)
		}
		count(filling)
		if p.next == len(p.again) {
			p.to(preempting)
		}
	}
	if p.stage == preempting {
		for ; p.next < len(p.list) && t.table.Work < most; p.next++ {
			c.preempt(p, p.list[p.next])
		}
		count(preempting)
		if p.next == len(p.list) {
			p.to(renting)
		}
	}
	p.work += t.table.Work
	if p.stage == renting && (t.table.Work < most/2 || p.rounds > 1) {
		c.planRental(p.list)
		count(renting)
		c.stats.Passes++
		c.passOver(p)
		t.pass = nil
		return
	}
	c.stats.Cuts[p.stage]++
	if at := c.at.Steady; at-t.cutLog > 5*protocol.Second {
		t.cutLog = at
		c.log.Info("plan cut short", "stage", p.stage.String(), "next", p.next, "of", len(p.list), "work", p.work)
	}
}

// passOver tells of a pass that is over.
func (c *Controller) passOver(p *pass) {
	if !c.observed {
		return
	}
	c.emit(Span{Name: "pass", From: p.began, To: c.at.Steady, Counts: []SpanCount{
		{"jobs", int64(len(p.list))},
		{"rounds", int64(p.rounds)},
		{"rows", int64(p.work)},
	}})
}

// newPass orders the queue.
func (c *Controller) newPass() *pass {
	t := c.term
	p := &pass{held: make(map[string]protocol.Resources), yields: make(map[*state.Host]protocol.Resources), began: c.at.Steady}
	if !t.recovered && t.unlisted {
		for _, h := range t.book.Hosts() {
			if h.FromRecord && !h.Reconciled {
				if h.Type == nil {
					p.unknown = true
				} else {
					p.unproven = p.unproven.Add(h.Type.Capacity, 1)
				}
			}
		}
	}
	p.list = c.wanted()
	return p
}

// chooseFetches is for how many times the fetch of its image an array takes machines
// without the image only after the jobs that find theirs there. Four instead of one:
// hsos-foldrenges-fleet 0.80/0.78 on six paired seeds.
const chooseFetches = 1

// mayChoose reports whether an array takes only machines that have its image, as
// long as another job can use the others at once. In an overload the jobs that wait
// need different images: a machine that comes free went to the first in line, which
// had to fetch, while a few places on was one that could have run at once. What is
// left after all had that choice is given to the same jobs in the same round, so no
// machine stays free for it. A job that has waited for as long as a fetch, or that has
// a booking, is served in its turn.
func (c *Controller) mayChoose(w *wanted) bool {
	j := w.job
	s := j.Spec
	if s.Kind != protocol.Array || j.Priority < protocol.PriorityStandard || guest(j) || j.Suspect || len(j.Bookings) > 0 || s.ImageSize == 0 {
		return false
	}
	var fetch micros
	for _, typ := range c.types {
		if s.AllowsType(typ.Name) {
			fetch = max(fetch, c.fetchTime(typ, s.ImageSize))
		}
	}
	return c.at.Steady-j.EligibleAt < chooseFetches*fetch
}

// placeHot starts what an array can at once on machines that have its image.
func (c *Controller) placeHot(p *pass, w *wanted) {
	if !c.request(w) {
		return
	}
	r := w.request
	r.Limit = c.allowance(p, w.job, p.held[w.job.Spec.Team])
	r.HotOnly = true
	if r.Limit <= 0 {
		return
	}
	w.result = c.term.table.Try(r, false)
	for i, pl := range w.result.Start {
		c.assign(w, w.tasks[i], pl)
	}
}

// place gives a job what places it can have, in its turn.
func (c *Controller) place(p *pass, w *wanted) {
	j := w.job
	if !c.request(w) {
		return
	}
	r := w.request
	r.Limit = c.allowance(p, j, p.held[j.Spec.Team])
	if r.Gang && r.Limit < r.Tasks && j.Priority <= protocol.PriorityHigh && !j.Suspect {
		// Its team's limit leaves no room for all of its tasks at once.
		// Without this, smaller jobs of the team would take what comes free,
		// one task at a time, for as long as they last.
		p.held[j.Spec.Team] = p.held[j.Spec.Team].Add(j.Spec.TaskResources, int64(r.Tasks))
	}
	res := c.term.table.Next(r)
	w.result = res
	j.Bookings = j.Bookings[:0]
	for _, b := range res.Booked {
		j.Bookings = append(j.Bookings, state.Booking{Machine: b.Machine.Name, Begin: b.Begin, Ready: b.Ready})
	}
	if res.Late {
		j.BookingRetryAt = c.at.Steady + unviableFor
	}
	for i, pl := range res.Start {
		c.assign(w, w.tasks[i], pl)
	}
	if len(res.Start) == mostTasks {
		c.term.dirty = true // the rest of a long array comes with the next round
	}
	if len(res.Booked) > 0 {
		j.BookedZone = res.Booked[0].Machine.Zone
		c.book(w, res)
	}
}

// unviableFor is how long it is not tried again to book a deadline job whose
// booking would have come too late.
const unviableFor = 2 * protocol.Second

// updateTable brings the rows up to date whose machine changed, or whose
// estimates ran out.
func (c *Controller) updateTable() {
	t := c.term
	at := c.at.Steady
	t.table.Now = at
	for _, h := range t.book.Hosts() {
		if h.Type == nil || h.State == state.HostGone || h.State == state.HostReleasing {
			if t.rows[h] != nil {
				c.dropStale(h)
				t.dropRow(h)
			}
			continue
		}
		m := t.rows[h]
		usable := c.usable(h)
		booting := h.State == state.HostBooting && !h.FromRecord
		if m == nil {
			typ := h.Type
			m = &slottable.Machine{
				Name: h.Name, Type: h.TypeName, Zone: h.Zone, Spot: h.Spot, Offer: typ.Capacity,
				Fetch: func(size int64) micros { return c.fetchTime(typ, size) },
			}
			t.rows[h] = m
			t.table.Add(m)
			h.Stale = true
		}
		if !usable && !m.Blocked {
			c.dropStale(h)
		}
		if h.Stale || booting || m.Blocked == usable || m.NextEnd() <= at {
			c.fill(h, m, usable, booting)
		}
	}
}

// dropRow takes a host's row out of the table.
func (t *term) dropRow(h *state.Host) {
	if m := t.rows[h]; m != nil {
		t.table.Remove(m)
		delete(t.rows, h)
	}
}

// dropStale takes back assignments whose host can't be reached or is leaving.
func (c *Controller) dropStale(h *state.Host) {
	for _, a := range h.Attempts() {
		if a.State == state.AttemptAssigned {
			c.lost(a)
		}
	}
}

// usable reports whether tasks may be put on a host.
func (c *Controller) usable(h *state.Host) bool {
	at := c.at.Steady
	return h.State == state.HostReady && h.Reconciled && h.Type != nil && !h.Interrupted && !deaf(h) && !c.mute(h) && c.drained(h) == configuration.NotDrained &&
		at >= h.QuarantinedUntil && at >= h.FullUntil && at-h.LastContact < 2*c.platform.HeartbeatInterval+protocol.Second
}

// fill makes a host's row from what is known of it.
func (c *Controller) fill(h *state.Host, m *slottable.Machine, usable, booting bool) {
	at := c.at.Steady
	table := &c.term.table
	h.Stale = false
	m.Reset()
	m.From = at
	switch {
	case usable:
	case booting && c.drained(h) == configuration.NotDrained:
		m.From = c.bootedAt(h)
	default:
		m.Blocked = true
	}
	if h.RuntimeRatio > 1.8 {
		m.Penalty = micros((h.RuntimeRatio - 1) * 10 * float64(protocol.Second))
	}
	if len(h.SuspectedBy) > 0 {
		m.Penalty += 10 * protocol.Second
	}
	m.Unheld = !h.Spot && !c.held(h)
	for name := range h.Images {
		table.AddImage(m, name, 0)
	}
	var gives protocol.Resources
	for _, a := range h.Attempts() {
		if !a.State.HoldsResources() || a.Job == nil {
			continue
		}
		s := a.Job.Spec
		k := c.class(s.Class)
		till := protocol.Forever
		switch {
		case a.StopRequested:
			till = at + a.StopGrace/2 + protocol.Second
		case a.State == state.AttemptRunning:
			if r := k.remaining(s, at-a.StartedAt); r < protocol.Forever {
				till = at + r
			}
		case s.Kind != protocol.Service:
			till = max(at, a.ExpectedReady) + k.length(s)
		}
		m.Occupy(slottable.Span{From: at, To: till, Need: s.TaskResources, Guest: guest(a.Job)})
		if a.StopRequested || c.yields(a.Job) {
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

// wanted lists the jobs that need places, in the order in which they are
// tried: by rank, then those that can still be in time, then those within their
// team's guarantee, then by their turn.
func (c *Controller) wanted() []*wanted {
	t := c.term
	at := c.at.Steady
	sums := make(map[string]protocol.Resources)
	var list []*wanted
	for _, j := range t.book.Jobs() {
		if j.State != state.JobActive {
			continue
		}
		s := j.Spec
		sums[s.Team] = sums[s.Team].Add(s.TaskResources, int64(s.Tasks-j.CompletedTasks))
		if j.QueuedTasks == 0 || at < j.BackoffUntil {
			continue
		}
		if !t.recovered && t.unlisted && j.LeaderEpoch != t.epoch {
			continue // its tasks may be on hosts that have not reported yet
		}
		w := &wanted{job: j, within: holdsGuarantee(c.guarantee(s.Team), sums[s.Team])}
		w.missed, w.room = c.missed(j), at < j.ReservedUntil
		w.turn = j.EligibleAt
		if s.Kind == protocol.Array {
			// Jobs count alike, so a large one lets small ones pass that come a
			// little later: by its work, spread over some machines.
			w.turn += c.class(s.Class).length(s) * micros(s.Tasks-j.CompletedTasks) / 8
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
		if x.room != y.room {
			return x.room
		}
		if x.missed != y.missed {
			return y.missed
		}
		if x.within != y.within {
			return x.within
		}
		return x.turn < y.turn
	})
	return list
}

// mostTasks is how many tasks of a job one pass looks for places for.
const mostTasks = 256

// request makes a job's request, in its turn. It reports whether there is
// something to place.
func (c *Controller) request(w *wanted) bool {
	t := c.term
	at := c.at.Steady
	j := w.job
	s := j.Spec
	if j.State != state.JobActive || j.QueuedTasks == 0 || at < j.BackoffUntil {
		return false
	}
	if j.Suspect && c.sound(j) {
		c.acquit(j)
	}
	if j.Suspect && j.AttemptCount > 0 {
		return false // what is being tried says whether it can run
	}
	if s.Kind == protocol.Gang && (j.GangStarted || c.stopping(j)) {
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
	w.tasks = make([]int, 0, min(j.QueuedTasks, mostTasks))
	for i := j.FirstQueuedTask; i < len(j.Tasks) && len(w.tasks) < mostTasks; i++ {
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
		Types: s.MachineTypes, Zone: s.Zone, OneZone: s.SingleZone, ZoneUsed: used, Spot: s.AllowSpot, Length: c.class(s.Class).length(s),
		Guest: guest(j), Frugal: c.frugal(j),
	}
	w.request = r
	if r.Gang && s.SingleZone {
		r.Stay = j.BookedZone
	}
	if s.SpreadZones {
		r.ZoneCap = (s.Tasks + 1) / 2
	}
	if due := deadlineOf(j); due > 0 {
		r.Deadline = due - c.operator.DeadlineMargin
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
	if len(j.Reservations) > 0 && !c.takeRooms(w) {
		return false
	}
	for _, b := range j.Bookings {
		h := t.book.Host(b.Machine)
		if h == nil || t.rows[h] == nil {
			r.Kept = nil
			break
		}
		begin := b.Begin
		if at < j.ReservedUntil && len(j.Reservations) == 0 {
			// What was stopped for it may take a little longer to end.
			r.Hold = true
			begin = max(begin, at+2*protocol.Second)
		}
		r.Kept = append(r.Kept, slottable.Place{Machine: t.rows[h], Begin: begin, Ready: max(b.Ready, begin)})
	}
	r.Patient = c.patience(j)
	return true
}

// takeRooms lets tasks wait for the room that was made for them, rather than
// fetch elsewhere, and prefer it once it is free. It reports whether there are
// others, or room.
func (c *Controller) takeRooms(w *wanted) bool {
	t := c.term
	j, r := w.job, w.request
	j.Reservations = slices.DeleteFunc(j.Reservations, func(m state.Reservation) bool {
		return c.at.Steady >= m.Until || t.rows[m.Host] == nil || !c.usable(m.Host)
	})
	waiting := 0
	for _, m := range j.Reservations {
		row := t.rows[m.Host]
		r.Preferred = append(r.Preferred, row)
		if !row.Free().Covers(r.Need) {
			waiting++
		}
	}
	w.tasks = w.tasks[:max(0, len(w.tasks)-waiting)]
	r.Tasks = len(w.tasks)
	return r.Tasks > 0
}

// overdueFor is how long a job that is too late lets others pass.
const overdueFor = 600 * protocol.Second

// missed reports whether a job is too late for whatever was asked of its end.
// Such a job lets those pass that are not: served in order of submission, in an
// overload each late job would make the next one late too.
func (c *Controller) missed(j *state.Job) bool {
	due := c.dueOf(j)
	if j.InheritedDeadline > 0 && (due == 0 || j.InheritedDeadline < due) {
		due = j.InheritedDeadline
	}
	if due == 0 {
		return false
	}
	late := c.at.Steady + c.class(j.Spec.Class).length(j.Spec) - due
	return late > 0 && late < overdueFor
}

// dueOf is when a job should have ended, by its deadline and the latest aim on the end
// of its class; 0: nothing is asked of its end.
func (c *Controller) dueOf(j *state.Job) micros {
	s := j.Spec
	var due micros
	if s.Kind == protocol.Service {
		return 0
	}
	if s.Deadline > 0 {
		due = j.Submitted + s.Deadline
	}
	for _, o := range c.platform.Objectives {
		if o.Kind == "finished" && o.Class == s.Class {
			due = max(due, j.EligibleAt+o.Within)
		}
	}
	return due
}

// stopping reports whether an attempt of a job is being stopped.
func (c *Controller) stopping(j *state.Job) bool {
	for _, a := range j.ActiveAttempts() {
		if task := a.Task(); a.StopRequested && task != nil && task.Current == a {
			return true
		}
	}
	return false
}

func (c *Controller) guarantee(name string) protocol.Resources {
	team, _ := c.team(name)
	return team.Guarantee
}

func holdsGuarantee(g, sum protocol.Resources) bool {
	return (g.CPU == 0 || sum.CPU <= g.CPU) && (g.GPU == 0 || sum.GPU <= g.GPU) && (g.CPU > 0 || g.GPU > 0)
}

// allowance is how many more tasks of a job its team's limit allows, with all
// that may still be on hosts counted, and what is held for others of the team.
func (c *Controller) allowance(p *pass, j *state.Job, held protocol.Resources) int {
	t := c.term
	team, _ := c.team(j.Spec.Team)
	limit := team.Limit
	used := t.book.UsedByTeam[j.Spec.Team].Add(held, 1)
	if !t.recovered && t.unlisted && limit != (protocol.Resources{}) {
		if p.unknown {
			return 0
		}
		used = used.Add(p.unproven, 1)
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

// assign gives a task a place. The launch leaves with the answer to the
// host's next report.
func (c *Controller) assign(w *wanted, index int, p slottable.Place) {
	t := c.term
	j := w.job
	h := t.book.Host(p.Machine.Name)
	if h == nil || !c.usable(h) {
		return
	}
	var number uint64
	if j.Spec.Kind == protocol.Gang {
		if j.GangAttempt == 0 {
			j.GangAttempt = t.nextAttempt()
		}
		number = j.GangAttempt
	} else {
		number = t.nextAttempt()
	}
	name := protocol.AttemptName{TaskName: protocol.TaskName{Job: j.Spec.Ref, Index: index}, Number: number}
	if h.Find(name) != nil {
		return // the host still knows this attempt: it would ignore the launch
	}
	if !guest(j) {
		c.clearGuests(h, j.Spec.TaskResources)
	}
	a := t.book.Attach(c.at.Steady, j, h, name)
	a.ExpectedReady = p.Ready
	j.Reservations = slices.DeleteFunc(j.Reservations, func(m state.Reservation) bool { return m.Host == h })
	t.book.SetAttemptState(c.at.Steady, a, state.AttemptAssigned)
	c.touchIdle(h)
	c.recordLaunch(a, c.launchDue(j.Spec))
	c.log.Debug("assigned", "task", name.TaskName.String(), "try", number, "host", h.Name, "ready_in_ms", int64((p.Ready-c.at.Steady)/protocol.Millisecond))
}

// nextAttempt makes a number that no epoch has used.
func (t *term) nextAttempt() uint64 {
	t.attempts++
	return t.epoch<<24 | t.attempts
}

// bookingsEvery is how long new bookings are let come together in a record.
const bookingsEvery = protocol.Second

// book keeps a deadline job's booking.
func (c *Controller) book(w *wanted, res slottable.Result) {
	j := w.job
	j.BookedStart = res.Booked[0].Begin
	if j.Spec.Deadline > 0 && res.Viable && !j.BookingPersisted {
		j.BookingPersisted = true
		c.term.bookingPages.put(j.Spec.Ref, bookingBytes(j.Spec.Ref), c.room(), c.at.Steady+bookingsEvery, false)
	}
}
