package controller

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// mostVictims bounds the hosts of a zone on which a job looks for work to stop.
// Those that have its image come first.
const mostVictims = 12

// hopeless is a job for which no room could be made: too little may give way. In
// the same pass it is no better for one that asks for as much, and may take no
// more from others.
type hopeless struct {
	need          protocol.Resources
	tasks         int
	rank          protocol.Priority
	zone          string
	types         []string
	oneZone, spot bool
}

func (h *hopeless) covers(j *state.Job, tasks int) bool {
	s := j.Spec
	return s.TaskResources.Covers(h.need) && tasks >= h.tasks && j.Priority >= h.rank && (h.zone == "" || h.zone == s.Zone) &&
		(!h.oneZone || s.SingleZone || tasks == 1) && (h.spot || !s.AllowSpot) && slices.Equal(h.types, s.MachineTypes)
}

// giveUp remembers that no room can be made for some tasks of a job.
func (p *pass) giveUp(j *state.Job, tasks int) {
	s := j.Spec
	if len(p.hopeless) < 64 {
		p.hopeless = append(p.hopeless, hopeless{s.TaskResources, tasks, j.Priority, s.Zone, s.MachineTypes, s.SingleZone && tasks > 1, s.AllowSpot})
	}
}

func (p *pass) isHopeless(j *state.Job, tasks int) bool {
	return slices.ContainsFunc(p.hopeless, func(h hopeless) bool { return h.covers(j, tasks) })
}

// preempt makes room for a job of higher rank, where no place comes free soon:
// of the hosts that could give it those where the least work is lost.
func (c *Controller) preempt(p *pass, w *wanted) {
	at := c.at.Steady
	j := w.job
	s := j.Spec
	if j.Priority > protocol.PriorityHigh || j.Suspect || w.request == nil || w.request.Limit < 1 || j.State != state.JobActive || at < j.PreemptionRetryAt {
		return
	}
	need := makeRoom{within: c.startWithin(s.Class), taken: make(map[*state.Host]bool)}
	if need.within == 0 {
		need.within = protocol.Forever
	}
	// A class that has to start at once can't wait for others to save.
	need.hurry = need.within < pressingWithin
	due := protocol.End(j.EligibleAt, need.within)
	// A place that is free but has to fetch the image first may be too late,
	// where one with the image would not be.
	var cold []int
	for i, pl := range w.result.Start {
		if at < due && pl.Ready > due {
			cold = append(cold, i)
		}
	}
	missing := min(len(w.tasks), w.request.Limit) - len(w.result.Start)
	if at < j.EligibleAt+min(2*protocol.Second, need.within/16) {
		missing = 0
	}
	need.soonest = at + 10*protocol.Second + c.class(s.Class).length(s)
	if n := len(w.result.Booked); n > 0 {
		need.soonest = w.result.Booked[n-1].Ready
	}
	if s.Kind == protocol.Gang && len(w.tasks) > 1 {
		switch {
		case at < j.ReservedUntil || w.request.Limit < len(w.tasks):
		case missing > 0:
			c.preemptForGang(p, w, need)
		case len(cold) > 0 && c.recallable(w):
			need.soonest = due
			if c.preemptForGang(p, w, need) {
				for i := range w.result.Start {
					c.lost(j.Tasks[w.tasks[i]].Current)
				}
			}
		}
		return
	}
	zones := newZoneCount(w)
	for _, m := range j.Reservations {
		need.taken[m.Host] = true
		zones[m.Host.Zone]++
	}
	for ; missing > 0; missing-- {
		if !c.preemptOne(p, w, &need, zones) {
			j.PreemptionRetryAt = at + roomAgain
			break
		}
	}
	need.due = due
	for _, i := range cold {
		a := j.Tasks[w.tasks[i]].Current
		if a == nil || a.State != state.AttemptAssigned {
			continue
		}
		need.soonest = w.result.Start[i].Ready
		zones[a.Host.Zone]--
		if !c.preemptOne(p, w, &need, zones) {
			j.PreemptionRetryAt = at + roomAgain
			break
		}
		c.lost(a) // no launch has left yet
	}
}

// makeRoom is what room has to be like.
type makeRoom struct {
	within  micros // time that the class has to start
	soonest micros // what the job has without it
	due     micros // latest time of use, 0: any
	hurry   bool
	taken   map[*state.Host]bool
}

// roomAgain is how long a job for which no room could be made is left alone.
const roomAgain = 500 * protocol.Millisecond

// gain is how much sooner room has to be ready: stopping work for a place that
// is ready hardly sooner than the one the job has anyway only loses work.
func (m *makeRoom) gain() micros { return min(5*protocol.Second, m.within/4) }

// newZoneCount counts a job's tasks by zone, with those that this pass placed.
func newZoneCount(w *wanted) map[string]int {
	zones := make(map[string]int)
	for name, n := range w.request.ZoneUsed {
		zones[name] = n
	}
	for _, pl := range w.result.Start {
		zones[pl.Machine.Zone]++
	}
	return zones
}

// recallable reports whether no launch of what a pass placed has left yet.
func (c *Controller) recallable(w *wanted) bool {
	for i := range w.result.Start {
		if a := w.job.Tasks[w.tasks[i]].Current; a == nil || a.State != state.AttemptAssigned {
			return false
		}
	}
	return true
}

// preemptOne makes room for one task. It reports whether there was some.
func (c *Controller) preemptOne(p *pass, w *wanted, need *makeRoom, zones map[string]int) bool {
	t := c.term
	at := c.at.Steady
	j := w.job
	s := j.Spec
	var best []*state.Attempt
	var bestLoss float64
	if p.isHopeless(j, 1) {
		return false
	}
	some := false
	t.table.Making(w.request, 1, mostVictims, func(m *slottable.Machine) bool {
		h := t.book.Host(m.Name)
		if h == nil || need.taken[h] || !c.mayTake(h, s) {
			some = some || h != nil && need.taken[h]
			return false
		}
		if s.SpreadZones && zones[h.Zone] >= w.request.ZoneCap || s.SingleZone && len(w.request.ZoneUsed) > 0 && w.request.ZoneUsed[h.Zone] == 0 {
			some = true
			return false
		}
		if !h.Type.Capacity.Add(h.Used(), -1).Add(c.yielding(p, h), 1).Covers(s.TaskResources) {
			return false
		}
		some = true
		ready := at + protocol.Second
		if _, ok := h.Images[s.Image]; !ok {
			ready += c.fetchTime(h.Type, s.ImageSize)
		}
		if ready+need.gain() > need.soonest || need.due > 0 && ready > need.due {
			return false
		}
		t.table.Work += 16
		victims, loss := c.victims(h, j, 1)
		saved := ready
		for _, a := range victims {
			if a.Job.Spec.CanCheckpoint() && !need.hurry {
				saved = max(saved, ready+a.Job.Spec.CheckpointDuration)
			}
		}
		if saved+need.gain() > need.soonest || need.due > 0 && saved > need.due {
			return true
		}
		loss += (saved - at).Seconds()
		if victims != nil && (best == nil || loss < bestLoss) {
			best, bestLoss = victims, loss
		}
		return true
	})
	if best == nil {
		if !some {
			p.giveUp(j, 1)
		}
		return false
	}
	h := best[0].Host
	delete(p.yields, h)
	need.taken[h] = true
	zones[h.Zone]++
	j.ReservedUntil = at + roomFor
	j.Reservations = append(j.Reservations, state.Reservation{Host: h, Until: j.ReservedUntil})
	c.stopFor(j, best, need.hurry)
	return true
}

// stopFor stops the work of others for a job.
func (c *Controller) stopFor(j *state.Job, victims []*state.Attempt, hurry bool) {
	for _, a := range victims {
		grace := micros(0)
		if a.Job.Spec.CanCheckpoint() && !hurry {
			grace = a.Job.Spec.CheckpointDuration + protocol.Second
		}
		c.log.Debug("preempted", "task", a.Name.TaskName.String(), "host", a.Host.Name, "for", j.Spec.Ref)
		c.stop(a, grace)
	}
}

// roomFor is how long room that was made is kept for a job.
const roomFor = 10 * protocol.Second

// preemptForGang makes room for all tasks of a gang, in the zone where the
// least work is lost. What comes free is booked for it until it has started;
// otherwise smaller jobs would take it, one machine at a time.
// It reports whether it could.
func (c *Controller) preemptForGang(p *pass, w *wanted, need makeRoom) bool {
	t := c.term
	at := c.at.Steady
	j := w.job
	s := j.Spec
	type room struct {
		h       *state.Host
		tasks   int
		victims []*state.Attempt
		ready   micros
		cost    float64 // for each task
	}
	zones := make(map[string][]room)
	have := make(map[string]int)
	if p.isHopeless(j, len(w.tasks)) {
		j.PreemptionRetryAt = at + unviableFor
		return false
	}
	late := false
	t.table.Making(w.request, 1, mostVictims+2*len(w.tasks), func(m *slottable.Machine) bool {
		h := t.book.Host(m.Name)
		if h == nil || !c.mayTake(h, s) {
			return false
		}
		n := h.Type.Capacity.Add(h.Used(), -1).Add(c.yielding(p, h), 1).MaxCopies(s.TaskResources)
		if n < 1 {
			return false
		}
		t.table.Work += 8
		r := room{h: h, tasks: min(int(n), len(w.tasks)), ready: at + protocol.Second}
		if _, ok := h.Images[s.Image]; !ok {
			r.ready += c.fetchTime(h.Type, s.ImageSize)
		}
		var loss float64
		r.victims, loss = c.victims(h, j, r.tasks)
		saves := micros(0)
		for _, a := range r.victims {
			if a.Job.Spec.CanCheckpoint() && !need.hurry {
				saves = max(saves, a.Job.Spec.CheckpointDuration)
			}
		}
		r.ready += saves
		if r.ready+need.gain() > need.soonest {
			late = true
			return true
		}
		r.cost = (loss + (r.ready - at).Seconds()) / float64(r.tasks)
		zone := h.Zone
		if !s.SingleZone {
			zone = ""
		}
		zones[zone] = append(zones[zone], r)
		have[zone] += r.tasks
		return true
	})
	var best []room
	var bestCost float64
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if have[zone] < len(w.tasks) || s.SingleZone && w.request.ZoneUsed != nil && len(w.request.ZoneUsed) > 0 && w.request.ZoneUsed[zone] == 0 {
			continue
		}
		list := zones[zone]
		slices.SortStableFunc(list, func(a, b room) int { return cmp.Compare(a.cost, b.cost) })
		n, cost := 0, 0.0
		for i := range list {
			n += list[i].tasks
			cost += list[i].cost * float64(list[i].tasks)
			if n >= len(w.tasks) {
				list = list[:i+1]
				break
			}
		}
		if best == nil || cost < bestCost {
			best, bestCost = list, cost
		}
	}
	if best == nil {
		if !late && len(w.request.ZoneUsed) == 0 {
			p.giveUp(j, len(w.tasks))
		}
		j.PreemptionRetryAt = at + unviableFor // nothing to be had, for a while
		return false
	}
	j.ReservedUntil = at + roomFor
	j.Bookings = j.Bookings[:0]
	for _, r := range best {
		c.stopFor(j, r.victims, need.hurry)
		delete(p.yields, r.h)
		for range r.tasks {
			if len(j.Bookings) < len(w.tasks) {
				j.Bookings = append(j.Bookings, state.Booking{Machine: r.h.Name, Begin: at + protocol.Second, Ready: r.ready})
			}
		}
	}
	return true
}

// mayTake reports whether a job's task could be on a host, were it empty.
func (c *Controller) mayTake(h *state.Host, s *protocol.JobSpec) bool {
	return c.usable(h) && (!h.Spot || s.AllowSpot) && (s.Zone == "" || s.Zone == h.Zone) && h.Type.Capacity.Covers(s.TaskResources) && s.AllowsType(h.TypeName)
}

// yielding is what a host's work of lower rank takes, and what is being
// stopped.
func (c *Controller) yielding(p *pass, h *state.Host) protocol.Resources {
	sum, ok := p.yields[h]
	if !ok {
		for _, a := range h.Attempts() {
			if a.State.HoldsResources() && a.Job != nil && (a.StopRequested || c.yields(a.Job)) {
				sum = sum.Add(a.Job.Spec.TaskResources, 1)
			}
		}
		p.yields[h] = sum
	}
	return sum
}

// yields reports whether a job's tasks may be stopped for one of the two upper
// ranks.
func (c *Controller) yields(j *state.Job) bool {
	return j.Priority > protocol.PriorityHigh && (j.Spec.Kind != protocol.Gang || j.Spec.Tasks == 1)
}

// victims finds attempts of lower rank on a host whose end makes room for n
// tasks of a job, those that lose least first.
func (c *Controller) victims(h *state.Host, j *state.Job, n int) ([]*state.Attempt, float64) {
	at := c.at.Steady
	need := protocol.Resources{}.Add(j.Spec.TaskResources, int64(n))
	free := h.Type.Capacity.Add(h.Used(), -1)
	var list []victim
	for _, a := range h.Attempts() {
		if !a.State.HoldsResources() || a.Job == nil {
			continue
		}
		if a.StopRequested {
			free = free.Add(a.Job.Spec.TaskResources, 1)
			continue
		}
		s := a.Job.Spec
		if a.Job.Priority <= j.Priority || !c.yields(a.Job) {
			continue
		}
		ran := micros(0)
		if a.StartedAt > 0 {
			ran = at - a.StartedAt
			if s.CanCheckpoint() {
				ran = min(ran, s.CheckpointDuration)
			}
		}
		list = append(list, victim{a, ran.Seconds() + 2})
	}
	var victims []*state.Attempt
	var loss float64
	for _, v := range fewest(list, free, need) {
		victims = append(victims, v.a)
		loss += v.loss
	}
	return victims, loss
}

// victim is an attempt that could be stopped, and the seconds that it would lose.
type victim struct {
	a    *state.Attempt
	loss float64
}

// fewest chooses attempts whose end makes need free, those that lose least. One
// that loses little may free nothing that is short: it is left out. There are
// none if nothing is in the way, or if all together are not enough.
func fewest(list []victim, free, need protocol.Resources) (chosen []victim) {
	sort.SliceStable(list, func(a, b int) bool { return list[a].loss < list[b].loss })
	most := 0
	for ; most < len(list) && !free.Covers(need); most++ {
		free = free.Add(list[most].a.Job.Spec.TaskResources, 1)
	}
	if !free.Covers(need) {
		return nil
	}
	for i := most - 1; i >= 0; i-- {
		if rest := free.Add(list[i].a.Job.Spec.TaskResources, -1); rest.Covers(need) {
			free = rest
		} else {
			chosen = append(chosen, list[i])
		}
	}
	return chosen
}
