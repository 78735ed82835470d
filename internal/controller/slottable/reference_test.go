package slottable

import (
	"container/heap"
	"slices"

	"mapleslip/internal/protocol"
)

// referenceTable plans without the index, by examining every row for every request. It is the
// reference for the table's searches, with the same rows, marks and costs.
type referenceTable struct {
	Table
	availableRows []*Machine
	rented        []*Machine
	now, any      candidates // places now, and at any time
}

func (t *referenceTable) placeLaterFromNow(r *Request, m *Machine) (candidate, bool) {
	return t.placeLater(r, m, t.Now)
}

// beginCycle begins a cycle over rows without marks.
func (t *referenceTable) beginCycle() {
	t.Begin()
	t.availableRows = t.availableRows[:0]
	for _, m := range t.machines {
		if !m.Blocked && m.AvailableFrom <= t.Now && (m.free.GPU > 0 || m.Capacity.GPU == 0) && m.free.CPU > 0 {
			t.availableRows = append(t.availableRows, m)
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

// collectNow collects the places where tasks of a request can start now, in one zone or in all.
func (t *referenceTable) collectNow(r *Request, z *zoneCounter, zone string) {
	t.now = t.now[:0]
	rows := t.availableRows
	if r.Resources.GPU == 0 {
		rows = t.machines // rows whose GPUs are all in use may have room for it
	}
	t.Work += visitWork * len(rows)
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

// collectLater collects the earliest places at any time. With imageOnly it examines only machines
// that have the image or fetch it.
func (t *referenceTable) collectLater(r *Request, z *zoneCounter, zone string, imageOnly bool) {
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
		if imageOnly {
			t.Work += visitWork
			if _, ok := m.readyAt(r.imageID); !ok {
				continue
			}
		}
		t.Work += searchRoomWork
		if c, ok := t.placeLaterFromNow(r, m); ok {
			t.any = append(t.any, c)
		}
	}
	heap.Init(&t.any)
}

// top returns the best candidate whose zone still allows a task.
func (c *candidates) top(z *zoneCounter) (candidate, bool) {
	for len(*c) > 0 {
		if z.allows((*c)[0].place.Machine.Zone) {
			return (*c)[0], true
		}
		heap.Pop(c)
	}
	return candidate{}, false
}

// updateCandidates updates the candidate of a machine on which a task has just been marked.
func (t *referenceTable) updateCandidates(list *candidates, r *Request, m *Machine, findPlace func(*Request, *Machine) (candidate, bool)) {
	for i := range *list {
		if (*list)[i].place.Machine != m {
			continue
		}
		if c, ok := findPlace(r, m); ok {
			(*list)[i] = c
			heap.Fix(list, i)
		} else {
			heap.Remove(list, i)
		}
		return
	}
}

// Try starts the tasks of a request that can start now and, if book is set, books the rest. A gang
// is placed as a whole or not at all.
func (t *referenceTable) Try(r *Request, book bool) Result {
	r.imageID = t.ImageID(r.Image)
	if r.Gang {
		return t.placeGang(r, book)
	}
	res := Result{Request: r, Viable: true}
	z := newZoneCounter(r)
	n := min(r.Tasks, r.Limit, maxStartedTasks)
	t.collectNow(r, z, "")
	t.any = t.any[:0]
	searched, searchedImage := false, false
	booking := r.Booking
	for i := 0; i < n; i++ {
		now, okNow := t.now.top(z)
		switch {
		case !book || i >= maxBookedTasks || searched || len(booking) > 0:
		case !okNow:
			t.collectLater(r, z, "", false)
			searched = true
		case now.place.Ready > t.Now+fetchTolerance && !searchedImage:
			// If a machine is free, waiting for a busy one is worth it only if that one has the
			// image.
			t.collectLater(r, z, "", true)
			searchedImage = true
		}
		var p Place
		later, okLater := t.any.top(z)
		switch {
		case okNow && (!okLater || now.place.Ready <= later.place.Ready+fetchTolerance):
			p = now.place
		case okLater && book && i < maxBookedTasks:
			p = later.place
		case !okNow && len(booking) > 0:
			// A place that the last cycle booked is kept if its room is still free.
			p = booking[0]
			booking = booking[1:]
			if p.Begin <= t.Now || p.Machine.Blocked || !z.allows(p.Machine.Zone) || !r.allows(p.Machine) ||
				!p.Machine.fits(r, p.Begin, protocol.End(p.Ready, r.Runtime)) {
				booking = nil
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
		end := protocol.End(p.Ready, r.Runtime)
		t.mark(r, p, end)
		t.updateCandidates(&t.now, r, p.Machine, t.placeNow)
		t.updateCandidates(&t.any, r, p.Machine, t.placeLaterFromNow)
		if r.Deadline > 0 && end > r.Deadline {
			res.Viable = false
		}
	}
	return res
}

func (t *referenceTable) placeGang(r *Request, book bool) Result {
	res := Result{Request: r, Viable: true}
	if r.Limit < r.Tasks {
		return res
	}
	var best []Place
	var bestReady micros
	choose := func(zone string, list *candidates, findPlace func(*Request, *Machine) (candidate, bool)) {
		var places []Place
		var ready micros
		t.runTrial(func() bool {
			z := newZoneCounter(r)
			if zone != "" {
				z.onlyZone = zone
			}
			for i := 0; i < r.Tasks; i++ {
				c, ok := list.top(z)
				if !ok {
					return false
				}
				p := c.place
				t.mark(r, p, r.occupiedUntil(p))
				z.add(p.Machine.Zone)
				ready = max(ready, p.Ready)
				places = append(places, p)
				if i+1 < r.Tasks {
					t.updateCandidates(list, r, p.Machine, findPlace)
				}
			}
			return false
		})
		if len(places) == r.Tasks && (best == nil || ready < bestReady) {
			best, bestReady = places, ready
		}
	}
	forEachZone := func(search func(zone string)) {
		if usedZone := newZoneCounter(r).onlyZone; !r.SingleZone || r.Tasks == 1 {
			search("")
		} else if usedZone != "" {
			search(usedZone)
		} else if r.Zone != "" {
			search(r.Zone)
		} else {
			for _, zone := range t.zoneNames() {
				search(zone)
			}
		}
	}
	forEachZone(func(zone string) {
		t.collectNow(r, newZoneCounter(r), zone)
		if len(t.now) > 0 {
			choose(zone, &t.now, t.placeNow)
		}
	})
	if best != nil && r.Tasks == 1 && bestReady > t.Now+fetchTolerance {
		// The only task would have to fetch its image: it may be ready sooner on a busy machine
		// that has the image.
		nowPlaces, nowReady := best, bestReady
		best = nil
		t.collectLater(r, newZoneCounter(r), "", true)
		choose("", &t.any, t.placeLaterFromNow)
		if best == nil || nowReady <= bestReady+fetchTolerance {
			best, bestReady = nowPlaces, nowReady
		} else if !book {
			return res
		}
	}
	if best == nil && (book || r.KeepBooking) {
		if t.bookingHolds(r) {
			best = r.Booking
			for _, p := range best {
				bestReady = max(bestReady, p.Ready)
			}
		} else if book {
			forEachZone(func(zone string) {
				t.collectLater(r, newZoneCounter(r), zone, false)
				choose(zone, &t.any, t.placeLaterFromNow)
			})
		}
	}
	if best == nil {
		return res
	}
	startsNow := true
	for _, p := range best {
		startsNow = startsNow && p.Begin <= t.Now
	}
	end := protocol.End(bestReady, r.Runtime)
	if r.Deadline > 0 && end > r.Deadline {
		res.Viable = false
	}
	for _, p := range best {
		if !startsNow && p.Begin <= t.Now {
			// This task could start now, but waits for the others of its gang. Until they can start
			// too, it takes no resources.
			p.Begin = t.Now + 1
		}
		t.mark(r, p, end)
	}
	if startsNow {
		res.Start = best
	} else {
		res.Booked = best
	}
	return res
}

func (t *referenceTable) zoneNames() []string {
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

// Schedule plans the next request of the queue. It books the first job that can't start now, and
// each deadline job whose booking meets the deadline. The others start only where they fit without
// moving a booking (aggressive backfilling).
func (t *referenceTable) Schedule(r *Request) Result {
	if r.Limit <= 0 {
		// A team at its limit gets no booking in this cycle.
		return Result{Request: r}
	}
	var res Result
	late := false
	if r.Deadline > 0 && t.hasBlockedJob {
		if r.NoBooking {
			late = true
		} else {
			late = !t.runTrial(func() bool {
				res = t.Try(r, true)
				return res.Viable
			})
		}
		if late {
			res = t.Try(r, false)
			res.Late = !r.NoBooking
		}
	} else {
		// An opportunistic job needs no booking: the plans of all other jobs ignore it, so a
		// booking would keep nothing free for it.
		res = t.Try(r, !t.hasBlockedJob && !r.Opportunistic)
	}
	if len(res.Booked) > 0 && (r.Deadline == 0 || !res.Viable) && !r.KeepBooking {
		t.hasBlockedJob = true
	}
	return res
}

// Rent plans which machines to rent so that requests start sooner. It returns how many to rent of
// each offer, by the offer's index, and the rows that the requests would use, one for each task. It
// begins with no further request once it has done maxWork, and leaves the table unchanged.
func (t *referenceTable) Rent(requests []*Request, offers []*Offer, minGain micros, limit, maxWork int) (counts map[int]int, needed []*Machine) {
	counts = make(map[int]int)
	t.runTrial(func() bool {
		for _, r := range requests {
			if maxWork <= 0 {
				break
			}
			before := t.Work
			if r.Limit > 0 {
				limit -= t.planRequest(r, offers, minGain, limit, counts)
			}
			maxWork -= t.Work - before
		}
		needed = append(needed, t.trialMarks...)
		return false
	})
	t.rented = t.rented[:0]
	return counts, needed
}

// planRequest plans one request, and returns how many machines to rent for it.
func (t *referenceTable) planRequest(r *Request, offers []*Offer, minGain micros, limit int, counts map[int]int) int {
	if r.Opportunistic && !slices.ContainsFunc(offers, func(o *Offer) bool { return o.Suits(r) }) {
		return 0 // nothing to plan: it keeps no machine from being released either
	}
	r.imageID = t.ImageID(r.Image)
	z := newZoneCounter(r)
	t.collectLater(r, z, "", false)
	rentedCount := 0
	n := min(r.Tasks, r.Limit, maxBookedTasks)
	for i := 0; i < n; i++ {
		c, ok := t.any.top(z)
		p := c.place
		best := -1
		var bestCost float64
		var bestReady micros
		if rentedCount < limit {
			for offer, o := range offers {
				if counts[offer] >= o.Limit || !o.Suits(r) || !z.allows(o.Zone) {
					continue
				}
				ready := t.Now + o.BootTime + o.FetchTime(r.ImageSize)
				if ok && !r.Spare && p.Ready <= max(ready+minGain, r.ReadyBy) {
					continue
				}
				if ok && r.Spare && (p.Begin <= t.Now+minGain || p.Ready <= r.ReadyBy) {
					continue
				}
				fit := max(1, min(o.Resources.MaxCopies(r.Resources), int64(n-i)))
				cost := o.Price / float64(fit)
				// Of offers at the same price, the one in the zone with fewer of the job's tasks,
				// and of which fewer machines are rented, is preferred.
				cost *= 1 + 0.001*float64(z.count[o.Zone]) + 0.0005*float64(counts[offer])
				if best < 0 || cost < bestCost {
					best, bestCost, bestReady = offer, cost, ready
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
			counts[best]++
			rentedCount++
			p = Place{m, m.AvailableFrom, bestReady}
		} else if !ok {
			break
		}
		z.add(p.Machine.Zone)
		t.mark(r, p, r.occupiedUntil(p))
		if best >= 0 {
			if c, ok := t.placeLaterFromNow(r, p.Machine); ok {
				heap.Push(&t.any, c)
			}
		} else {
			t.updateCandidates(&t.any, r, p.Machine, t.placeLaterFromNow)
		}
	}
	return rentedCount
}
