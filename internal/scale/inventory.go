package scale

import (
	"fmt"
	"math"

	"mapleslip/internal/scale/wire"
)

// The machines that a run begins with, and what the cloud has to spare.

// drawMachines places the machines that are there from the beginning: each type evenly
// over regions, and within a region over its zones.
func (s *supervisor) drawMachines() []wire.Machine {
	var all []wire.Machine
	inZone := make(map[string]int)
	next := 0 // region of the next machine
	turns := make(map[string]int)
	for _, t := range s.f.Types {
		for range t.Count {
			r := s.f.Regions[next%len(s.f.Regions)]
			next++
			zone := r.Zones[turns[r.Name]%len(r.Zones)]
			turns[r.Name]++
			m := wire.Machine{
				Name: fmt.Sprintf("n-%06d", len(all)+1), Type: t.Name, Zone: zone, Region: r.Name,
				Rack: fmt.Sprintf("%s-%d", zone, inZone[zone]/s.f.Deployment.RackSize),
			}
			inZone[zone]++
			m.Public, m.Listen, m.Source = wire.Addresses(s.network.Prefix, len(all))
			all = append(all, m)
		}
	}
	// Real ones are spread over all.
	if n := min(s.f.Deployment.RealWorkers, len(all)); n > 0 {
		for i := range n {
			all[i*len(all)/n].Real = true
		}
	}
	return all
}

// spare is what the cloud still has, by type and zone.
func (s *supervisor) spare() map[string]int {
	out := make(map[string]int)
	zones := 0
	for _, r := range s.f.Regions {
		zones += len(r.Zones)
	}
	for _, t := range s.f.Types {
		n := int(math.Round(float64(t.Count) * s.f.Deployment.SpareShare))
		i := 0
		for _, r := range s.f.Regions {
			for _, z := range r.Zones {
				if c := n/zones + btoi(i < n%zones); c > 0 {
					out[t.Name+"/"+z] = c
				}
				i++
			}
		}
	}
	return out
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
