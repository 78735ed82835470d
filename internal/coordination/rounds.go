package coordination

import (
	"sort"
	"strconv"

	"mapleslip/internal/bookkeeping"
	"mapleslip/internal/coordination/slottable"
	"mapleslip/internal/protocol"
)

// wanted is a job that still needs places, with its request.
type wanted struct {
	job     *bookkeeping.Job
	request *slottable.Request
	tasks   []int
	within  bool // its team's jobs up to this one fit into the guarantee
	missed  bool // too late for its deadline and every aim on finishing
	turn    micros
	result  slottable.Result
}

// round plans once: it assigns what can start now, keeps bookings, makes room
// by preemption, and finds what to rent.
func (c *Controller) round() {
	t := c.term
	t.lastRound, t.dirty = c.at.Steady, false
	if !c.mayStart() || len(c.types) == 0 {
		return
	}
	c.dropStale()
	table := c.table()
	list := c.wanted()
	byTag := make(map[int]*wanted, len(list))
	requests := make([]*slottable.Request, len(list))
	for i, w := range list {
		w.request.Tag = i
		byTag[i], requests[i] = w, w.request
	}
	held := make(map[string]protocol.Resources) // by team, for jobs that come first
	table.Plan(requests, func(r *slottable.Request) {
		j := byTag[r.Tag].job
		r.Limit = c.allowance(j, held[j.Spec.Team])
		if r.Gang && r.Limit < r.Tasks && j.Spec.Rank <= protocol.High {
			// Its team's limit leaves no room for all of its tasks at once.
			// Without this, smaller jobs of the team would take what comes free,
			// one task at a time, for as long as they last.
			held[j.Spec.Team] = held[j.Spec.Team].Add(j.Spec.Need, int64(r.Tasks))
		}
	}, func(res slottable.Result) {
		w := byTag[res.Request.Tag]
		w.result = res
		for i, p := range res.Start {
			c.assign(w, w.tasks[i], p)
		}
		if len(res.Booked) > 0 {
			c.book(w, res)
		}
	})
	c.preempt(list)
	c.planRental(table, list)
}

// dropStale takes back assignments whose host can't be reached or is leaving.
func (c *Controller) dropStale() {
	for _, h := range c.term.hosts() {
		for _, a := range sortedAttempts(h) {
			if a.State == bookkeeping.AttemptAssigned && !c.usable(h) {
				c.lost(a)
			}
		}
	}
}

// usable reports whether tasks may be put on a host.
func (c *Controller) usable(h *bookkeeping.Host) bool {
	at := c.at.Steady
	return h.State == bookkeeping.HostReady && h.Proven && h.Type != nil && !h.Noticed &&
		at >= h.FaultUntil && at >= h.FullUntil && at-h.Heard < 2*c.platform.ReportEvery+protocol.Second
}

// table makes the slot table from what is known of the hosts.
func (c *Controller) table() *slottable.Table {
	at := c.at.Steady
	table := &slottable.Table{Now: at}
	for _, h := range c.term.hosts() {
		if h.Type == nil || h.State == bookkeeping.HostGone || h.State == bookkeeping.HostReleasing {
			continue
		}
		typ := h.Type
		m := &slottable.Machine{Name: h.Name, Type: h.TypeName, Zone: h.Zone, Spot: h.Spot, Offer: typ.Offer,
			Images: make(map[string]micros, len(h.Images)), Fetch: func(size int64) micros { return c.fetchTime(typ, size) }}
		switch {
		case c.usable(h):
			m.From = at
		case h.State == bookkeeping.HostBooting && !h.FromRecord:
			m.From = c.bootedAt(h)
		default:
			m.Blocked = true
		}
		if h.Slowness > 1.8 {
			m.Penalty = micros((h.Slowness - 1) * 10 * float64(protocol.Second))
		}
		for name := range h.Images {
			m.Images[name] = 0
		}
		for _, a := range sortedAttempts(h) {
			if !a.State.Occupies() || a.Job == nil {
				continue
			}
			s := a.Job.Spec
			k := c.class(s.Class)
			till := protocol.Forever
			switch {
			case a.Stop:
				till = at + a.StopGrace/2 + protocol.Second
			case a.State == bookkeeping.AttemptRunning:
				if r := k.remaining(s, at-a.Started); r < protocol.Forever {
					till = at + r
				}
			case s.Kind != protocol.Service:
				till = max(at, a.ExpectedReady) + k.length(s)
			}
			m.Occupy(slottable.Span{From: at, To: till, Need: s.Need})
			if a.State == bookkeeping.AttemptAssigned || a.State == bookkeeping.AttemptLaunched || a.State == bookkeeping.AttemptFetching {
				if _, ok := m.Images[s.Image]; !ok {
					ready := max(a.ExpectedReady, at+protocol.Second)
					m.Images[s.Image] = ready
					m.FetchDone = max(m.FetchDone, ready)
				}
			}
		}
		table.Machines = append(table.Machines, m)
	}
	return table
}

// wanted lists the jobs that need places, in the order in which they are
// tried: by rank, then those that can still be in time, then those within their
// team's guarantee, then by their turn.
func (c *Controller) wanted() []*wanted {
	t := c.term
	at := c.at.Steady
	jobs := t.jobs()
	sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].Submitted < jobs[b].Submitted })
	sums := make(map[string]protocol.Resources)
	var list []*wanted
	for _, j := range jobs {
		if j.State != bookkeeping.JobLive {
			continue
		}
		s := j.Spec
		sums[s.Team] = sums[s.Team].Add(s.Need, int64(s.Tasks-j.Done))
		if j.Queued == 0 || at < j.Held {
			continue
		}
		if s.Kind == protocol.Gang && (j.GangStarted || c.stopping(j)) {
			continue // what is left of the attempt has to end first
		}
		if !t.recovered && j.Epoch != t.epoch {
			continue // its tasks may be on hosts that have not reported yet
		}
		w := &wanted{job: j, within: holdsGuarantee(c.platform.Teams[s.Team].Guarantee, sums[s.Team])}
		used := make(map[string]int)
		for i := range j.Tasks {
			task := &j.Tasks[i]
			if task.Current != nil {
				used[task.Current.Host.Zone]++
			}
			if task.State == bookkeeping.TaskQueued && task.Live == 0 && at >= task.NotBefore && len(w.tasks) < 256 {
				w.tasks = append(w.tasks, i)
			}
		}
		if len(w.tasks) == 0 || s.Kind == protocol.Gang && len(w.tasks) != j.Queued {
			continue
		}
		r := &slottable.Request{Tasks: len(w.tasks), Need: s.Need, Gang: s.Kind == protocol.Gang, Image: s.Image, ImageSize: s.ImageSize,
			Types: s.Types, Zone: s.Zone, OneZone: s.OneZone, ZoneUsed: used, Spot: s.Spot, Length: c.class(s.Class).length(s)}
		if s.Spread {
			r.ZoneCap = (s.Tasks + 1) / 2
		}
		if s.Deadline > 0 {
			r.Deadline = j.Submitted + s.Deadline - c.operator.DeadlineMargin
		}
		if len(j.Failures) > 0 && len(j.Failures) < 3 {
			failures := j.Failures
			r.Avoid = func(name string) bool { return failures[name] > 0 }
		}
		if at < j.RoomUntil {
			r.Prefer = j.RoomOn
			// Until then it waits for that room rather than fetch elsewhere.
			if h := t.book.Hosts[j.RoomOn]; h != nil && c.usable(h) && s.Tasks == 1 {
				r.Avoid = func(name string) bool { return name != j.RoomOn }
			}
		}
		w.request = r
		r.Patient = c.patience(j)
		w.missed = c.missed(j)
		w.turn = j.Submitted
		if s.Kind == protocol.Array {
			// Jobs count alike, so a large one lets small ones pass that come a
			// little later: by its work, spread over some machines.
			w.turn += c.class(s.Class).length(s) * micros(s.Tasks-j.Done) / 8
		}
		list = append(list, w)
	}
	sort.SliceStable(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if x.job.Spec.Rank != y.job.Spec.Rank {
			return x.job.Spec.Rank < y.job.Spec.Rank
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

// overdueFor is how long a job that is too late lets others pass.
const overdueFor = 600 * protocol.Second

// missed reports whether a job is too late for whatever was asked of its end.
// Such a job lets those pass that are not: served in order of submission, in an
// overload each late job would make the next one late too.
func (c *Controller) missed(j *bookkeeping.Job) bool {
	s := j.Spec
	var due micros
	if s.Deadline > 0 {
		due = j.Submitted + s.Deadline
	}
	for _, o := range c.platform.Objectives {
		if o.Kind == "finished" && o.Class == s.Class {
			due = max(due, j.Submitted+o.Within)
		}
	}
	if due == 0 || s.Kind == protocol.Service {
		return false
	}
	late := c.at.Steady + c.class(s.Class).length(s) - due
	return late > 0 && late < overdueFor
}

// stopping reports whether an attempt of a job is being stopped.
func (c *Controller) stopping(j *bookkeeping.Job) bool {
	for i := range j.Tasks {
		if a := j.Tasks[i].Current; a != nil && a.Stop {
			return true
		}
	}
	return false
}

func holdsGuarantee(g, sum protocol.Resources) bool {
	return (g.CPU == 0 || sum.CPU <= g.CPU) && (g.GPU == 0 || sum.GPU <= g.GPU) && (g.CPU > 0 || g.GPU > 0)
}

// allowance is how many more tasks of a job its team's limit allows, with all
// that may still be on hosts counted, and what is held for others of the team.
func (c *Controller) allowance(j *bookkeeping.Job, held protocol.Resources) int {
	t := c.term
	limit := c.platform.Teams[j.Spec.Team].Limit
	used := t.book.Used[j.Spec.Team].Add(held, 1)
	if !t.recovered && limit != (protocol.Resources{}) {
		for _, h := range t.book.Hosts {
			if h.FromRecord && !h.Proven {
				if h.Type == nil {
					return 0
				}
				used = used.Add(h.Type.Offer, 1)
			}
		}
	}
	n := int64(protocol.MaxTasks)
	if limit.CPU > 0 && j.Spec.Need.CPU > 0 {
		n = min(n, (limit.CPU-used.CPU)/j.Spec.Need.CPU)
	}
	if limit.GPU > 0 && j.Spec.Need.GPU > 0 {
		n = min(n, (limit.GPU-used.GPU)/j.Spec.Need.GPU)
	}
	return int(max(n, 0))
}

// assign gives a task a place. The launch leaves with the answer to the
// host's next report.
func (c *Controller) assign(w *wanted, index int, p slottable.Place) {
	t := c.term
	j := w.job
	h := t.book.Hosts[p.Machine.Name]
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
	if h.Attempts[name] != nil {
		return // the host still knows this attempt: it would ignore the launch
	}
	a := t.book.Attach(c.at.Steady, j, h, name)
	a.ExpectedReady = p.Ready
	t.book.Move(c.at.Steady, a, bookkeeping.AttemptAssigned)
	c.touchIdle(h)
	c.log.Debug("assigned", "task", name.TaskName.String(), "try", number, "host", h.Name, "ready_in_ms", int64((p.Ready-c.at.Steady)/protocol.Millisecond))
}

// nextAttempt makes a number that no epoch has used.
func (t *term) nextAttempt() uint64 {
	t.attempts++
	return t.epoch<<24 | t.attempts
}

// book keeps a deadline job's booking.
func (c *Controller) book(w *wanted, res slottable.Result) {
	j := w.job
	j.Booked = res.Booked[0].Begin
	if j.Spec.Deadline > 0 && res.Viable && !j.BookingKept {
		c.term.booked = append(c.term.booked, j.Spec.Ref)
		j.BookingKept = true
	}
}

// writeBookings records new bookings, one write each.
func (c *Controller) writeBookings() {
	t := c.term
	if len(t.booked) == 0 {
		return
	}
	var then []protocol.Change
	var when []protocol.Condition
	var refs []string
	for len(t.booked) > 0 && len(then) < c.platform.TxnOps {
		ref := t.booked[0]
		t.booked = t.booked[1:]
		j := t.book.Jobs[ref]
		if j == nil || j.State != bookkeeping.JobLive {
			continue
		}
		refs = append(refs, ref)
		when = append(when, protocol.Condition{Key: bookkeeping.JobPrefix + ref, Stamp: j.Stamp})
		then = append(then, protocol.Change{Key: bookkeeping.BookingPrefix + ref,
			Value: strconv.AppendInt(nil, int64(j.Booked-c.at.Steady+c.at.Wall), 10)})
	}
	if len(then) == 0 {
		return
	}
	c.lead(prioNormal, when, then, func(o txnOutcome, _ protocol.TxnResult) {
		if o == txnApplied || o == txnUnknown {
			return // where it is unknown, the job's last record drops the key
		}
		for _, ref := range refs {
			if j := t.book.Jobs[ref]; j != nil && j.State == bookkeeping.JobLive {
				j.BookingKept = false
			}
		}
	})
}

// preempt makes room for jobs of higher rank, where no place comes free soon:
// of all hosts the one where the least work is lost.
func (c *Controller) preempt(list []*wanted) {
	t := c.term
	at := c.at.Steady
	for _, w := range list {
		s := w.job.Spec
		if s.Rank > protocol.High || w.request.Limit < 1 {
			continue
		}
		// A class that has to start at once can't wait for others to save.
		within := c.startWithin(s.Class)
		if within == 0 {
			within = protocol.Forever
		}
		hurry := within < 10*protocol.Second
		due := protocol.End(w.job.Submitted, within)
		// A place that is free but has to fetch the image first may be too late,
		// where one with the image would not be.
		cold := s.Tasks == 1 && len(w.result.Start) == 1 && at < due && w.result.Start[0].Ready > due
		if len(w.result.Start) == len(w.tasks) && !cold || !cold && at < w.job.Submitted+min(2*protocol.Second, within/16) {
			continue
		}
		if s.Kind == protocol.Gang && len(w.tasks) > 1 {
			continue
		}
		soonest := at + 10*protocol.Second + c.class(s.Class).length(s)
		if n := len(w.result.Booked); n > 0 {
			soonest = w.result.Booked[n-1].Ready
		}
		if cold {
			soonest = w.result.Start[0].Ready
		}
		if at < w.job.RoomUntil {
			continue
		}
		var best []*bookkeeping.Attempt
		var bestLoss float64
		for _, h := range t.hosts() {
			if !c.usable(h) || h.Spot && !s.Spot || s.Zone != "" && s.Zone != h.Zone || !s.AllowsType(h.TypeName) || !h.Type.Offer.Holds(s.Need) {
				continue
			}
			if s.Spread && w.request.ZoneUsed[h.Zone] >= w.request.ZoneCap {
				continue
			}
			victims, loss := c.victims(h, w.job)
			ready := at + protocol.Second
			for _, a := range victims {
				if a.Job.Spec.Checkpoints() && !hurry {
					ready = max(ready, at+a.Job.Spec.Saves+protocol.Second)
				}
			}
			if _, ok := h.Images[s.Image]; !ok {
				ready += c.fetchTime(h.Type, s.ImageSize)
			}
			// Stopping work for a place that is ready hardly sooner than the
			// one the job has anyway only loses work.
			if ready+min(5*protocol.Second, within/4) > soonest || cold && ready > due {
				continue
			}
			loss += (ready - at).Seconds()
			if victims != nil && (best == nil || loss < bestLoss) {
				best, bestLoss = victims, loss
			}
		}
		if best == nil {
			continue
		}
		if cold {
			a := w.job.Tasks[w.tasks[0]].Current
			if a == nil || a.State != bookkeeping.AttemptAssigned {
				continue
			}
			c.lost(a) // no launch has left yet
		}
		w.job.RoomOn, w.job.RoomUntil = best[0].Host.Name, at+10*protocol.Second
		for _, a := range best {
			grace := micros(0)
			if a.Job.Spec.Checkpoints() && !hurry {
				grace = a.Job.Spec.Saves + protocol.Second
			}
			c.log.Info("preempted", "task", a.Name.TaskName.String(), "host", a.Host.Name, "for", s.Ref)
			c.stop(a, grace)
		}
	}
}

// yields reports whether a job's tasks may be stopped for one of the two upper
// ranks.
func (c *Controller) yields(s *protocol.JobSpec) bool {
	return s.Rank > protocol.High && (s.Kind != protocol.Gang || s.Tasks == 1)
}

// victims finds attempts of lower rank on a host whose end makes room, those
// that lose least first.
func (c *Controller) victims(h *bookkeeping.Host, j *bookkeeping.Job) ([]*bookkeeping.Attempt, float64) {
	at := c.at.Steady
	free := h.Type.Offer.Add(h.Used(), -1)
	type cost struct {
		a    *bookkeeping.Attempt
		loss float64
	}
	var list []cost
	for _, a := range sortedAttempts(h) {
		if !a.State.Occupies() || a.Job == nil {
			continue
		}
		if a.Stop {
			free = free.Add(a.Job.Spec.Need, 1)
			continue
		}
		s := a.Job.Spec
		if s.Rank <= j.Spec.Rank || !c.yields(s) {
			continue
		}
		ran := micros(0)
		if a.Started > 0 {
			ran = at - a.Started
			if s.Checkpoints() {
				ran = min(ran, s.Saves)
			}
		}
		list = append(list, cost{a, ran.Seconds() + 2})
	}
	sort.SliceStable(list, func(a, b int) bool { return list[a].loss < list[b].loss })
	var victims []*bookkeeping.Attempt
	var loss float64
	for _, v := range list {
		if free.Holds(j.Spec.Need) {
			break
		}
		free = free.Add(v.a.Job.Spec.Need, 1)
		victims = append(victims, v.a)
		loss += v.loss
	}
	if len(victims) == 0 || !free.Holds(j.Spec.Need) {
		return nil, 0
	}
	return victims, loss
}
