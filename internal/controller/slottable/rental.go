package slottable

import (
	"cmp"
	"slices"

	"mapleslip/internal/protocol"
)

// Offer is a kind of machine that could be rented.
type Offer struct {
	Type      string
	Zone      string
	Spot      bool
	Resources resources
	Price     float64
	BootTime  micros
	FetchTime func(size int64) micros // of an image
	Limit     int                     // how many may be rented
}

// Suits reports whether a machine of that kind could take a request's tasks.
func (o *Offer) Suits(r *Request) bool {
	return (!o.Spot || r.AllowSpot) && (o.Spot || !r.SpareCapacityOnly) && (r.Zone == "" || r.Zone == o.Zone) &&
		o.Resources.Covers(r.Resources) && allowsType(r.Types, o.Type)
}

// readyAt is when a request's task would be ready on a machine that is rented now.
func (o *Offer) readyAt(now micros, r *Request) micros {
	return now + o.BootTime + o.FetchTime(r.ImageSize)
}

// Between equal prices the zone with fewer of the job's tasks is taken, and the offer of which
// fewer machines are rented: prices count as higher by these parts for each of them.
const (
	zoneSpreadCost  = 0.001
	offerSpreadCost = 0.0005
)

// rentalPlan is what is to be rented.
type rentalPlan struct {
	table   *Table
	offers  []*Offer
	minGain micros      // how much sooner work has to be ready
	limit   int         // how many more machines may be rented
	counts  map[int]int // machines to be rented, by offer
	booting []*Machine  // in the order in which they are expected, with those to be rented
	rented  []*Machine
}

// Rent finds what should be rented so that the requests start sooner, and the machines of the
// table that they would take. It rents as many as limit, looks at as many rows as maxWork, and
// leaves the table as it was.
func (t *Table) Rent(requests []*Request, offers []*Offer, minGain micros, limit, maxWork int) (counts map[int]int, needed []*Machine) {
	p := &rentalPlan{table: t, offers: offers, minGain: minGain, limit: limit, counts: make(map[int]int), booting: t.bootingMachines()}
	t.Work += lookWork * len(p.booting)
	t.try(func() bool {
		end := t.Work + maxWork
		for _, r := range requests {
			if t.Work >= end {
				break
			}
			if r.Limit > 0 {
				p.planRequest(r)
			}
		}
		needed = append(needed, t.trialMarks...)
		return false
	})
	for _, m := range p.rented {
		t.removeFromIndex(m)
	}
	return p.counts, needed
}

// bootingMachines are the rows of machines that boot, in the order in which they are expected.
func (t *Table) bootingMachines() []*Machine {
	var booting []*Machine
	for _, m := range t.machines {
		if m.AvailableFrom > t.Now && !m.Blocked {
			booting = append(booting, m)
		}
	}
	slices.SortStableFunc(booting, func(a, b *Machine) int { return cmp.Compare(a.AvailableFrom, b.AvailableFrom) })
	return booting
}

// planRequest plans a request's tasks, each where it is ready soonest or on a machine that is to
// be rented for it.
func (p *rentalPlan) planRequest(r *Request) {
	if r.Opportunistic && !slices.ContainsFunc(p.offers, func(o *Offer) bool { return o.Suits(r) }) {
		return // nothing to find out: it keeps no machine either
	}
	t := p.table
	r.image = t.Image(r.Image)
	t.refresh()
	z := newZoneCounter(r)
	s := &t.laterSearch
	s.begin(t, r, z, anyZone, true, false)
	full := 0 // of the booting machines, those before it have no room
	tasks := min(r.Tasks, r.Limit, maxBooked)
	for i := range tasks {
		c, found := s.top()
		place := c.place
		best := p.cheapestOffer(r, z, place, found, tasks-i)
		if best >= 0 && found && r.WaitedFor(place, t.Now) > 0 {
			// What is mistrusted is on a machine that runs. Before another one is rented for the
			// task, those that boot are looked at, which are not mistrusted: the best place is
			// none of theirs for as long as tasks end everywhere. Each task of an array that had
			// waited had a machine of its own rented, every second.
			var onBooting Place
			var ok bool
			onBooting, full, ok = t.placeOnFirst(p.booting, full, r, z, p.offers[best].readyAt(t.Now, r)+p.minGain)
			if ok {
				best, place = -1, onBooting
			}
		}
		switch {
		case best >= 0:
			place = p.rent(best, r)
		case !found:
			return
		}
		z.add(place.Machine.Zone)
		t.mark(r, place, r.occupiedUntil(place))
		s.update(place.Machine)
	}
}

// cheapestOffer is the offer that costs least for each of the tasks that are left, of those that
// have a task ready sooner than the place that was found; -1 if there is none.
func (p *rentalPlan) cheapestOffer(r *Request, z *zoneCounter, place Place, found bool, tasksLeft int) int {
	best := -1
	var bestCost float64
	if p.limit <= 0 {
		return best
	}
	for i, o := range p.offers {
		if p.counts[i] >= o.Limit || !o.Suits(r) || !z.allows(o.Zone) {
			continue
		}
		if found && !p.gains(r, place, o) {
			continue
		}
		tasks := max(1, min(o.Resources.MaxCopies(r.Resources), int64(tasksLeft)))
		cost := o.Price / float64(tasks)
		cost *= 1 + zoneSpreadCost*float64(z.count[o.Zone]) + offerSpreadCost*float64(p.counts[i])
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// gains reports whether a machine of an offer would have a task ready enough sooner than a place.
func (p *rentalPlan) gains(r *Request, place Place, o *Offer) bool {
	now := p.table.Now
	if r.Spare {
		return place.Begin > now+p.minGain && place.Ready > r.ReadyBy
	}
	return place.Ready > max(o.readyAt(now, r)+p.minGain-r.WaitedFor(place, now), r.ReadyBy)
}

// rent adds a machine of an offer to the plan, and returns the place of a task on it.
func (p *rentalPlan) rent(offer int, r *Request) Place {
	t, o := p.table, p.offers[offer]
	m := &Machine{
		Name: "+" + o.Type, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Capacity: o.Resources,
		AvailableFrom: t.Now + o.BootTime, FetchTime: o.FetchTime,
	}
	m.recompute(t.Now)
	t.addToIndex(m)
	p.rented = append(p.rented, m)
	p.booting = append(p.booting, m)
	p.counts[offer]++
	p.limit--
	return Place{m, m.AvailableFrom, o.readyAt(t.Now, r)}
}

// placeOnFirst is a place for one more task on the first of some machines on which it is ready
// in time. Those before full have no room; it returns the new value of full as well.
func (t *Table) placeOnFirst(machines []*Machine, full int, r *Request, z *zoneCounter, until micros) (place Place, newFull int, ok bool) {
	for i := full; i < len(machines); i++ {
		m := machines[i]
		if m.AvailableFrom > until {
			break
		}
		if r.allows(m) && z.allows(m.Zone) && m.Capacity.Covers(r.Resources) {
			t.Work += roomWork
			if c, ok := t.placeLater(r, m, t.Now); ok && c.place.Ready <= until {
				return c.place, full, true
			}
		}
		if i == full && z.allows(m.Zone) {
			full++
		}
	}
	return Place{}, full, false
}

// WaitedFor is how much a place's time is mistrusted, because the request has waited. That of a
// machine that boots is not: more machines would be rented in its place each second that it is
// late.
func (r *Request) WaitedFor(p Place, now micros) protocol.Micros {
	if p.Machine.AvailableFrom > now {
		return 0
	}
	return r.Waited
}
