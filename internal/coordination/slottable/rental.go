package slottable

import "mapleslip/internal/protocol"

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

// Rent finds what should be rented so that the requests start sooner. The
// table is used up. Machines that nothing was put on are left unmarked.
func (t *Table) Rent(requests []*Request, offers []*Offer, slack micros, most int) map[int]int {
	rent := make(map[int]int)
	total := 0
	for _, r := range requests {
		if r.Limit <= 0 {
			continue
		}
		z := newZones(r)
		n := min(r.Tasks, r.Limit, maxBooked)
		for i := 0; i < n; i++ {
			p, ok := t.best(r, z, false)
			bestOffer := -1
			var bestCost float64
			var bestReady micros
			if total < most {
				for oi, o := range offers {
					if rent[oi] >= o.Most || !o.suits(r) || !z.allows(o.Zone) {
						continue
					}
					ready := t.Now + o.Boot + o.Fetch(r.ImageSize)
					if ok && !r.Spare && p.Ready <= max(ready+slack, r.Patient) {
						continue
					}
					if ok && r.Spare && (p.Begin <= t.Now+slack || p.Ready <= r.Patient) {
						continue
					}
					fit := max(1, min(o.Resources.Times(r.Need), int64(n-i)))
					cost := o.Price / float64(fit)
					// Between equal prices the zone with fewer of the job's tasks.
					cost *= 1 + 0.001*float64(z.count[o.Zone]) + 0.0005*float64(rent[oi])
					if bestOffer < 0 || cost < bestCost {
						bestOffer, bestCost, bestReady = oi, cost, ready
					}
				}
			}
			if bestOffer >= 0 {
				o := offers[bestOffer]
				m := &Machine{Name: "+" + o.Type, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Offer: o.Resources,
					From: t.Now + o.Boot, Images: map[string]micros{}, Fetch: o.Fetch}
				t.Machines = append(t.Machines, m)
				rent[bestOffer]++
				total++
				p, ok = Place{m, m.From, bestReady}, true
			}
			if !ok {
				break
			}
			z.add(p.Machine.Zone)
			t.mark(r, p, protocol.End(p.Ready, r.Length))
		}
	}
	return rent
}

func (o *Offer) suits(r *Request) bool {
	if o.Spot && !r.Spot || r.Zone != "" && r.Zone != o.Zone || !o.Resources.Holds(r.Need) {
		return false
	}
	if r.Types == nil {
		return true
	}
	for _, t := range r.Types {
		if t == o.Type {
			return true
		}
	}
	return false
}
