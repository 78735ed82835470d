package slottable

import (
	"cmp"
	"slices"

	"mapleslip/internal/protocol"
)

// Offer is a kind of machine that can be rented.
type Offer struct {
	Type      string
	Zone      string
	Spot      bool
	Resources resources
	Price     float64
	BootTime  micros
	FetchTime func(size int64) micros // time to fetch an image
	Limit     int                     // how many machines may be rented
}

// Suits reports whether a machine of the offered kind could run a request's tasks.
func (o *Offer) Suits(r *Request) bool {
	return (!o.Spot || r.AllowSpot) && (o.Spot || !r.SpareCapacityOnly) && (r.Zone == "" || r.Zone == o.Zone) &&
		o.Resources.Covers(r.Resources) && allowsType(r.Types, o.Type)
}

// readyAt returns the time at which a request's task would be ready on a machine that is rented
// now.
func (o *Offer) readyAt(now micros, r *Request) micros {
	return now + o.BootTime + o.FetchTime(r.ImageSize)
}

// Of offers at the same price, the one in the zone with fewer of the job's tasks is preferred, and
// the one of which fewer machines are to be rented. For each such task or machine, the price counts
// as higher by this fraction.
const (
	zoneSpreadCost  = 0.001
	offerSpreadCost = 0.0005
)

// rentalPlan collects the machines to be rented.
type rentalPlan struct {
	table   *Table
	offers  []*Offer
	minGain micros      // how much sooner a task has to be ready on a rented machine
	limit   int         // number of further machines that may be rented
	counts  map[int]int // number of machines to be rented, by index of the offer
	booting []*Machine  // booting machines by expected time, then those to be rented
	rented  []*Machine
}

// Rent plans which machines to rent so that requests start sooner. It returns how many to rent of
// each offer, by the offer's index, and the rows that the requests would use, one for each task. It
// plans at most limit machines, begins with no further request once it has done maxWork, in units
// of Table.Work, and leaves the table unchanged.
func (t *Table) Rent(requests []*Request, offers []*Offer, minGain micros, limit, maxWork int) (counts map[int]int, needed []*Machine) {
	p := &rentalPlan{table: t, offers: offers, minGain: minGain, limit: limit, counts: make(map[int]int), booting: t.bootingMachines()}
	t.Work += visitWork * len(p.booting)
	t.runTrial(func() bool {
		workLimit := t.Work + maxWork
		for _, r := range requests {
			if t.Work >= workLimit {
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

// bootingMachines returns the rows of booting machines in the order in which they are expected to
// become available.
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

// planRequest places each task of a request where it is ready soonest, or on a machine to be rented
// for it.
func (p *rentalPlan) planRequest(r *Request) {
	if r.Opportunistic && !slices.ContainsFunc(p.offers, func(o *Offer) bool { return o.Suits(r) }) {
		return // nothing to plan: it keeps no machine from being released either
	}
	t := p.table
	r.imageID = t.ImageID(r.Image)
	t.refreshIndex()
	z := newZoneCounter(r)
	s := &t.laterSearch
	s.begin(t, r, z, anyZone, true, false)
	fullCount := 0 // the first fullCount booting machines have no room for the request
	tasks := min(r.Tasks, r.Limit, maxBookedTasks)
	for i := range tasks {
		c, found := s.top()
		place := c.place
		best := p.cheapestOffer(r, z, place, found, tasks-i)
		if best >= 0 && found && r.ReadyTimeMarginOn(place, t.Now) > 0 {
			// The offer may be sooner only because the place is on a running machine and counts as
			// later than estimated. Booting machines are not adjusted like that, so they are tried
			// before another one is rented for the task: while tasks end on all machines, the best
			// place is never on a booting one. Without this, a machine was rented every second for
			// each task of an array that had waited.
			var bootingPlace Place
			var ok bool
			bootingPlace, fullCount, ok = t.placeOnFirst(p.booting, fullCount, r, z, p.offers[best].readyAt(t.Now, r)+p.minGain)
			if ok {
				best, place = -1, bootingPlace
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

// cheapestOffer returns the index of the offer with the lowest price for each of the remaining
// tasks, among the offers that would have a task ready sooner than the place that was found; -1 if
// there is none.
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
		if found && !p.offerIsSooner(r, place, o) {
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

// offerIsSooner reports whether a task would be ready on a machine of an offer sooner than at a
// place, by more than the minimum gain. For spare capacity, it reports whether the place begins too
// late.
func (p *rentalPlan) offerIsSooner(r *Request, place Place, o *Offer) bool {
	now := p.table.Now
	if r.Spare {
		return place.Begin > now+p.minGain && place.Ready > r.ReadyBy
	}
	return place.Ready > max(o.readyAt(now, r)+p.minGain-r.ReadyTimeMarginOn(place, now), r.ReadyBy)
}

// rent adds a machine of an offer to the plan, and returns a task's place on it.
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

// placeOnFirst returns a place for one more task on the first of some machines on which it is ready
// by latestReady. The first fullCount machines have no room and are skipped; newFullCount is the
// updated count.
func (t *Table) placeOnFirst(machines []*Machine, fullCount int, r *Request, z *zoneCounter, latestReady micros) (place Place, newFullCount int, ok bool) {
	for i := fullCount; i < len(machines); i++ {
		m := machines[i]
		if m.AvailableFrom > latestReady {
			break
		}
		if r.allows(m) && z.allows(m.Zone) && m.Capacity.Covers(r.Resources) {
			t.Work += searchRoomWork
			if c, ok := t.placeLater(r, m, t.Now); ok && c.place.Ready <= latestReady {
				return c.place, fullCount, true
			}
		}
		if i == fullCount && z.allows(m.Zone) {
			fullCount++
		}
	}
	return Place{}, fullCount, false
}

// ReadyTimeMarginOn returns how much later than estimated a place is assumed to be ready when
// rental is planned, because the request has already waited. It is 0 for a place on a booting
// machine: otherwise more machines would be rented in its place in each second that the machine is
// late.
func (r *Request) ReadyTimeMarginOn(p Place, now micros) protocol.Micros {
	if p.Machine.AvailableFrom > now {
		return 0
	}
	return r.ReadyTimeMargin
}
