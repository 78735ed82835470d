package slottable

import (
	"cmp"
	"slices"
)

// Offer is a kind of machine that could be rented.
type Offer struct {
	Type      string
	Zone      string
	Spot      bool
	Resources resources
	Price     float64
	Boot      micros
	Fetch     func(size int64) micros
	Most      int
}

// Rent finds what should be rented so that the requests start sooner, and the
// machines of the table that they would take. It looks at work at most and
// leaves the table as it was.
func (t *Table) Rent(requests []*Request, offers []*Offer, slack micros, most, work int) (rent map[int]int, needed []*Machine) {
	rent = make(map[int]int)
	var up []*Machine
	for _, m := range t.machines {
		if m.From > t.Now && !m.Blocked {
			up = append(up, m)
		}
	}
	slices.SortStableFunc(up, func(a, b *Machine) int { return cmp.Compare(a.From, b.From) })
	t.Work += workLook * len(up)
	t.try(func() bool {
		for _, r := range requests {
			if work <= 0 {
				break
			}
			before := t.Work
			if r.Limit > 0 {
				most -= t.rentFor(r, offers, slack, most, rent, &up)
			}
			work -= t.Work - before
		}
		needed = append(needed, t.undo...)
		return false
	})
	for _, m := range t.rented {
		t.drop(m)
	}
	t.rented = t.rented[:0]
	return rent, needed
}

// rentFor plans one request, and returns how many machines it would rent. up are those
// that boot, in the order in which they are expected; what is rented joins them.
func (t *Table) rentFor(r *Request, offers []*Offer, slack micros, most int, rent map[int]int, up *[]*Machine) int {
	if r.Guest && !slices.ContainsFunc(offers, func(o *Offer) bool { return o.Suits(r) }) {
		return 0 // nothing to find out: it keeps no machine either
	}
	r.image = t.Image(r.Image)
	t.refresh()
	z := newZones(r)
	s := &t.any
	s.begin(t, r, z, "", true, false)
	total, full := 0, 0
	n := min(r.Tasks, r.Limit, maxBooked)
	for i := 0; i < n; i++ {
		c, ok := s.top()
		p := c.place
		best := -1
		var bestCost float64
		var bestReady micros
		if total < most {
			for oi, o := range offers {
				if rent[oi] >= o.Most || !o.Suits(r) || !z.allows(o.Zone) {
					continue
				}
				ready := t.Now + o.Boot + o.Fetch(r.ImageSize)
				if ok && !r.Spare && p.Ready <= max(ready+slack-r.WaitedFor(p, t.Now), r.Patient) {
					continue
				}
				if ok && r.Spare && (p.Begin <= t.Now+slack || p.Ready <= r.Patient) {
					continue
				}
				fit := max(1, min(o.Resources.MaxCopies(r.Need), int64(n-i)))
				cost := o.Price / float64(fit)
				// Between equal prices the zone with fewer of the job's tasks.
				cost *= 1 + 0.001*float64(z.count[o.Zone]) + 0.0005*float64(rent[oi])
				if best < 0 || cost < bestCost {
					best, bestCost, bestReady = oi, cost, ready
				}
			}
		}
		if best >= 0 && ok && r.WaitedFor(p, t.Now) > 0 {
			// What is mistrusted is on a machine that runs. Before another one is rented
			// for the task, those that boot are looked at, which are not mistrusted: the
			// best place is none of theirs for as long as tasks end everywhere. Each task
			// of an array that had waited had a machine of its own rented, every second.
			var q Place
			var found bool
			if q, full, found = t.placeOn(*up, full, r, z, bestReady+slack); found {
				best, p = -1, q
			}
		}
		if best >= 0 {
			o := offers[best]
			m := &Machine{
				Name: "+" + o.Type, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Offer: o.Resources,
				From: t.Now + o.Boot, Fetch: o.Fetch,
			}
			m.settle(t.Now)
			t.take(m)
			t.rented = append(t.rented, m)
			*up = append(*up, m)
			rent[best]++
			total++
			p = Place{m, m.From, bestReady}
		} else if !ok {
			break
		}
		z.add(p.Machine.Zone)
		t.mark(r, p, r.holdsTill(p))
		s.again(p.Machine)
	}
	return total
}

// placeOn is a place for one more task on one of some machines by which it is ready in
// time, those from full on. It returns up to where they have none left as well.
func (t *Table) placeOn(list []*Machine, full int, r *Request, z *zones, until micros) (Place, int, bool) {
	for i := full; i < len(list); i++ {
		m := list[i]
		if m.From > until {
			break
		}
		if r.allows(m) && z.allows(m.Zone) && m.Offer.Covers(r.Need) {
			t.Work += workRoom
			if c, ok := t.laterOn(r, m, t.Now); ok && c.place.Ready <= until {
				return c.place, full, true
			}
		}
		if i == full && z.allows(m.Zone) {
			full++
		}
	}
	return Place{}, full, false
}

// WaitedFor is how much a place's time is mistrusted, because the request has
// waited. That of a machine that boots is not: more machines would be rented in
// its place each second that it is late.
func (r *Request) WaitedFor(p Place, now micros) micros {
	if p.Machine.From > now {
		return 0
	}
	return r.Waited
}

// Suits reports whether a machine of that kind could take a request's tasks.
func (o *Offer) Suits(r *Request) bool {
	return (!o.Spot || r.Spot) && (o.Spot || !r.Frugal) && (r.Zone == "" || r.Zone == o.Zone) && o.Resources.Covers(r.Need) && allowsType(r.Types, o.Type)
}
