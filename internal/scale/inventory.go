package scale

import (
	"fmt"
	"math"

	"mapleslip/internal/scale/wire"
)

// Machines that exist at the start of a run, and the spare machines of the cloud.

// placeMachines creates the machines that exist at the start. The machines of each type are
// spread evenly over the regions, and within a region over its zones.
func (s *supervisor) placeMachines() []wire.Machine {
	var all []wire.Machine
	inZone := make(map[string]int)
	nextRegion := 0 // index of the region of the next machine, modulo the number of regions
	inRegion := make(map[string]int)
	for _, t := range s.file.Types {
		for range t.Count {
			r := s.file.Regions[nextRegion%len(s.file.Regions)]
			nextRegion++
			zone := r.Zones[inRegion[r.Name]%len(r.Zones)]
			inRegion[r.Name]++
			m := wire.Machine{
				Name: fmt.Sprintf("n-%06d", len(all)+1), Type: t.Name, Zone: zone, Region: r.Name,
				Rack: fmt.Sprintf("%s-%d", zone, inZone[zone]/s.file.Deployment.RackSize),
			}
			inZone[zone]++
			m.Public, m.Listen, m.Source = wire.Addresses(s.network.Prefix, len(all))
			all = append(all, m)
		}
	}
	// Machines with a real worker process are spread evenly over the list.
	if n := min(s.file.Deployment.RealWorkers, len(all)); n > 0 {
		for i := range n {
			all[i*len(all)/n].Real = true
		}
	}
	return all
}

// spareMachines returns how many more machines the cloud can rent out, by "type/zone".
func (s *supervisor) spareMachines() map[string]int {
	out := make(map[string]int)
	zones := 0
	for _, r := range s.file.Regions {
		zones += len(r.Zones)
	}
	for _, t := range s.file.Types {
		n := int(math.Round(float64(t.Count) * s.file.Deployment.SpareShare))
		i := 0
		for _, r := range s.file.Regions {
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
