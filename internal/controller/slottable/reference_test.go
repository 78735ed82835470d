package slottable

import (
	"container/heap"
	"slices"

	"mapleslip/internal/protocol"
)

// scan is the plain way to plan: it looks at every row for every request. It is
// the reference for the table's searches, with the same rows, marks and costs.
type scan struct {
	Table
	open     []*Machine
	rented   []*Machine
	now, any candidates
}

func (t *scan) laterOnScan(r *Request, m *Machine) (candidate, bool) {
	return t.placeLater(r, m, t.Now)
}

// start begins a cycle over rows that nothing has marked.
func (t *scan) start() {
	t.Begin()
	t.open = t.open[:0]
	for _, m := range t.machines {
		if !m.Blocked && m.AvailableFrom <= t.Now && (m.free.GPU > 0 || m.Capacity.GPU == 0) && m.free.CPU > 0 {
			t.open = append(t.open, m)
		}
	}
}

type candidates []candidate

func (c candidates) Len() int { return len(c) }
func (c candidates) Less(a, b int) bool {
	if c[a].cost != c[b].cost {
		return c[a].cost < c[b].cost
	}
	return c[a].place.Machine.order < c[b].place.Machine.order
}
func (c candidates) Swap(a, b int) { c[a], c[b] = c[b], c[a] }
func (c *candidates) Push(x any)   { *c = append(*c, x.(candidate)) }
func (c *candidates) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

// gather collects the places that tasks of a request could have at once, in
// one zone or in all.
func (t *scan) gather(r *Request, z *zoneCounter, zone string) {
	t.now = t.now[:0]
	rows := t.open
	if r.Resources.GPU == 0 {
		rows = t.machines // those whose GPUs are all in use have room for it
	}
	t.Work += lookWork * len(rows)
	for _, m := range rows {
		if !m.freeFor(r).Covers(r.Resources) || zone != "" && m.Zone != zone || !r.allows(m) || !z.allows(m.Zone) {
			continue
		}
		if c, ok := t.placeNow(r, m); ok {
			t.now = append(t.now, c)
		}
	}
	heap.Init(&t.now)
}

// gatherLater collects the earliest places, at whatever time. With image it
// looks only at machines that have the image or fetch it.
func (t *scan) gatherLater(r *Request, z *zoneCounter, zone string, image bool) {
	t.any = t.any[:0]
	for i := range len(t.machines) + len(t.rented) {
		var m *Machine
		if i < len(t.machines) {
			m = t.machines[i]
		} else {
			m = t.rented[i-len(t.machines)]
		}
		if m.Blocked || !m.Capacity.Covers(r.Resources) || zone != "" && m.Zone != zone || !r.allows(m) || !z.allows(m.Zone) {
			continue
		}
		if image {
			t.Work += lookWork
			if _, ok := m.readyAt(r.image); !ok {
				continue
			}
		}
		t.Work += roomWork
		if c, ok := t.laterOnScan(r, m); ok {
			t.any = append(t.any, c)
		}
	}
	heap.Init(&t.any)
}

// top is the best candidate whose zone still allows a task.
func (c *candidates) top(z *zoneCounter) (candidate, bool) {
	for len(*c) > 0 {
		if z.allows((*c)[0].place.Machine.Zone) {
			return (*c)[0], true
		}
		heap.Pop(c)
	}
	return candidate{}, false
}

// again brings the candidates up to date after a mark on a machine, which is
// at the top of one of them.
func (t *scan) again(list *candidates, r *Request, m *Machine, on func(*Request, *Machine) (candidate, bool)) {
	for i := range *list {
		if (*list)[i].place.Machine != m {
			continue
		}
		if c, ok := on(r, m); ok {
			(*list)[i] = c
			heap.Fix(list, i)
		} else {
			heap.Remove(list, i)
		}
		return
	}
}

// Try starts what it can of a request now, and books the rest if asked to.
// For a gang it is all or none.
func (t *scan) Try(r *Request, book bool) Result {
	r.image = t.Image(r.Image)
	if r.Gang {
		return t.tryGang(r, book)
	}
	res := Result{Request: r, Viable: true}
	z := newZoneCounter(r)
	n := min(r.Tasks, r.Limit, maxStarted)
	t.gather(r, z, "")
	t.any = t.any[:0]
	searched, searchedImage := false, false
	kept := r.Booking
	for i := 0; i < n; i++ {
		now, okNow := t.now.top(z)
		switch {
		case !book || i >= maxBooked || searched || len(kept) > 0:
		case !okNow:
			t.gatherLater(r, z, "", false)
			searched = true
		case now.place.Ready > t.Now+fetchTolerance && !searchedImage:
			// Where a machine is free, a busy one is worth waiting for only if
			// it has the image.
			t.gatherLater(r, z, "", true)
			searchedImage = true
		}
		var p Place
		later, okLater := t.any.top(z)
		switch {
		case okNow && (!okLater || now.place.Ready <= later.place.Ready+fetchTolerance):
			p = now.place
		case okLater && book && i < maxBooked:
			p = later.place
		case !okNow && len(kept) > 0:
			// The booking of the cycle before holds if its room is still free.
			p = kept[0]
			kept = kept[1:]
			if p.Begin <= t.Now || p.Machine.Blocked || !z.allows(p.Machine.Zone) || !r.allows(p.Machine) ||
				!p.Machine.fits(r, p.Begin, protocol.End(p.Ready, r.Runtime)) {
				kept = nil
				i--
				continue
			}
		default:
			return res
		}
		if p.Begin > t.Now {
			res.Booked = append(res.Booked, p)
		} else {
			res.Start = append(res.Start, p)
		}
		z.add(p.Machine.Zone)
		till := protocol.End(p.Ready, r.Runtime)
		t.mark(r, p, till)
		t.again(&t.now, r, p.Machine, t.placeNow)
		t.again(&t.any, r, p.Machine, t.laterOnScan)
		if r.Deadline > 0 && till > r.Deadline {
			res.Viable = false
		}
	}
	return res
}

func (t *scan) tryGang(r *Request, book bool) Result {
	res := Result{Request: r, Viable: true}
	if r.Limit < r.Tasks {
		return res
	}
	var best []Place
	var bestStart micros
	choose := func(zone string, list *candidates, on func(*Request, *Machine) (candidate, bool)) {
		var places []Place
		var start micros
		t.try(func() bool {
			z := newZoneCounter(r)
			if zone != "" {
				z.only = zone
			}
			for i := 0; i < r.Tasks; i++ {
				c, ok := list.top(z)
				if !ok {
					return false
				}
				p := c.place
				t.mark(r, p, r.occupiedUntil(p))
				z.add(p.Machine.Zone)
				start = max(start, p.Ready)
				places = append(places, p)
				if i+1 < r.Tasks {
					t.again(list, r, p.Machine, on)
				}
			}
			return false
		})
		if len(places) == r.Tasks && (best == nil || start < bestStart) {
			best, bestStart = places, start
		}
	}
	each := func(do func(zone string)) {
		if one := newZoneCounter(r).only; !r.SingleZone || r.Tasks == 1 {
			do("")
		} else if one != "" {
			do(one)
		} else if r.Zone != "" {
			do(r.Zone)
		} else {
			for _, zone := range t.zoneNames() {
				do(zone)
			}
		}
	}
	each(func(zone string) {
		t.gather(r, newZoneCounter(r), zone)
		if len(t.now) > 0 {
			choose(zone, &t.now, t.placeNow)
		}
	})
	if best != nil && r.Tasks == 1 && bestStart > t.Now+fetchTolerance {
		// It has to fetch: a machine that is busy but has the image may be
		// ready sooner.
		now, nowStart := best, bestStart
		best = nil
		t.gatherLater(r, newZoneCounter(r), "", true)
		choose("", &t.any, t.laterOnScan)
		if best == nil || nowStart <= bestStart+fetchTolerance {
			best, bestStart = now, nowStart
		} else if !book {
			return res
		}
	}
	if best == nil && (book || r.KeepBooking) {
		if t.bookingHolds(r) {
			best = r.Booking
			for _, p := range best {
				bestStart = max(bestStart, p.Ready)
			}
		} else if book {
			each(func(zone string) {
				t.gatherLater(r, newZoneCounter(r), zone, false)
				choose(zone, &t.any, t.laterOnScan)
			})
		}
	}
	if best == nil {
		return res
	}
	now := true
	for _, p := range best {
		now = now && p.Begin <= t.Now
	}
	till := protocol.End(bestStart, r.Runtime)
	if r.Deadline > 0 && till > r.Deadline {
		res.Viable = false
	}
	for _, p := range best {
		if !now && p.Begin <= t.Now {
			// It waits for the others: until then nothing of it is there.
			p.Begin = t.Now + 1
		}
		t.mark(r, p, till)
	}
	if now {
		res.Start = best
	} else {
		res.Booked = best
	}
	return res
}

func (t *scan) zoneNames() []string {
	var names []string
	last := ""
	for _, m := range t.machines {
		if m.Zone == last {
			continue
		}
		last = m.Zone
		known := false
		for _, n := range names {
			known = known || n == m.Zone
		}
		if !known {
			names = append(names, m.Zone)
		}
	}
	return names
}

// Next tries one request in its turn. A deadline job whose end fits is booked,
// as is the first job that cannot start now; the others start only where they
// fit without moving a booking (aggressive backfilling).
func (t *scan) Next(r *Request) Result {
	if r.Limit <= 0 {
		// A team at its limit gets no booking this round.
		return Result{Request: r}
	}
	var res Result
	late := false
	if r.Deadline > 0 && t.blocked {
		if r.NoBooking {
			late = true
		} else {
			late = !t.try(func() bool {
				res = t.Try(r, true)
				return res.Viable
			})
		}
		if late {
			res = t.Try(r, false)
			res.Late = !r.NoBooking
		}
	} else {
		// A guest needs no booking: no other plan sees it, so none could move it.
		res = t.Try(r, !t.blocked && !r.Opportunistic)
	}
	if len(res.Booked) > 0 && (r.Deadline == 0 || !res.Viable) && !r.KeepBooking {
		t.blocked = true
	}
	return res
}

// Rent finds what should be rented so that the requests start sooner, and the
// machines of the table that they would take. It looks at work at most and
// leaves the table as it was.
func (t *scan) Rent(requests []*Request, offers []*Offer, slack micros, most, work int) (rent map[int]int, needed []*Machine) {
	rent = make(map[int]int)
	t.try(func() bool {
		for _, r := range requests {
			if work <= 0 {
				break
			}
			before := t.Work
			if r.Limit > 0 {
				most -= t.rentFor(r, offers, slack, most, rent)
			}
			work -= t.Work - before
		}
		needed = append(needed, t.trialMarks...)
		return false
	})
	t.rented = t.rented[:0]
	return rent, needed
}

// rentFor plans one request, and returns how many machines it would rent.
func (t *scan) rentFor(r *Request, offers []*Offer, slack micros, most int, rent map[int]int) int {
	if r.Opportunistic && !slices.ContainsFunc(offers, func(o *Offer) bool { return o.Suits(r) }) {
		return 0 // nothing to find out: it keeps no machine either
	}
	r.image = t.Image(r.Image)
	z := newZoneCounter(r)
	t.gatherLater(r, z, "", false)
	total := 0
	n := min(r.Tasks, r.Limit, maxBooked)
	for i := 0; i < n; i++ {
		c, ok := t.any.top(z)
		p := c.place
		best := -1
		var bestCost float64
		var bestReady micros
		if total < most {
			for oi, o := range offers {
				if rent[oi] >= o.Limit || !o.Suits(r) || !z.allows(o.Zone) {
					continue
				}
				ready := t.Now + o.BootTime + o.FetchTime(r.ImageSize)
				if ok && !r.Spare && p.Ready <= max(ready+slack, r.ReadyBy) {
					continue
				}
				if ok && r.Spare && (p.Begin <= t.Now+slack || p.Ready <= r.ReadyBy) {
					continue
				}
				fit := max(1, min(o.Resources.MaxCopies(r.Resources), int64(n-i)))
				cost := o.Price / float64(fit)
				// Between equal prices the zone with fewer of the job's tasks.
				cost *= 1 + 0.001*float64(z.count[o.Zone]) + 0.0005*float64(rent[oi])
				if best < 0 || cost < bestCost {
					best, bestCost, bestReady = oi, cost, ready
				}
			}
		}
		if best >= 0 {
			o := offers[best]
			m := &Machine{
				Name: "+" + o.Type, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Capacity: o.Resources,
				AvailableFrom: t.Now + o.BootTime, FetchTime: o.FetchTime, order: 1_000_000 + len(t.rented),
			}
			m.recompute(t.Now)
			t.rented = append(t.rented, m)
			rent[best]++
			total++
			p = Place{m, m.AvailableFrom, bestReady}
		} else if !ok {
			break
		}
		z.add(p.Machine.Zone)
		t.mark(r, p, r.occupiedUntil(p))
		if best >= 0 {
			if c, ok := t.laterOnScan(r, p.Machine); ok {
				heap.Push(&t.any, c)
			}
		} else {
			t.again(&t.any, r, p.Machine, t.laterOnScan)
		}
	}
	return total
}
