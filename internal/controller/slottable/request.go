package slottable

import (
	"slices"

	"mapleslip/internal/protocol"
)

// Request is a job, as far as it still needs places.
type Request struct {
	Tasks             int // that need a place
	Limit             int // how many may start within its team's limit
	Resources         resources
	Gang              bool
	Image             string
	ImageSize         int64
	Types             []string
	Zone              string
	SingleZone        bool
	MaxPerZone        int            // most tasks in one zone, 0: any
	TasksByZone       map[string]int // tasks that are in a zone already
	AllowSpot         bool
	Runtime           micros // run time without the fetch
	Deadline          micros // latest end, 0: none
	Avoid             func(machine string) bool
	Preferred         []*Machine // room was made for it there
	ImageLocalOnly    bool       // takes only machines that have the image
	Spare             bool       // capacity to keep, not work
	Opportunistic     bool       // it takes what all others leave
	SpareCapacityOnly bool       // neither keeps a machine at the full price nor has one rented
	ReadyBy           micros     // no machine is rented for what is ready by then
	Waited            micros     // how much later than planned it has become already, for rental
	Booking           []Place    // that of the last cycle
	PreferredZone     string     // zone of a gang's last booking, left only for one that is sooner by zoneChangeGain
	KeepBooking       bool       // room was made for it: Booking holds though it is not the first that can't start
	NoBooking         bool       // it was found a moment ago that a booking can't meet the deadline

	image int32
}

// allows reports whether tasks of a request may be on a machine.
func (r *Request) allows(m *Machine) bool {
	if m.Spot && !r.AllowSpot || r.SpareCapacityOnly && m.OnlyOpportunistic {
		return false
	}
	if r.Zone != "" && r.Zone != m.Zone {
		return false
	}
	return allowsType(r.Types, m.Type) && (r.Avoid == nil || !r.Avoid(m.Name))
}

func allowsType(types []string, name string) bool {
	return types == nil || slices.Contains(types, name)
}

// Place is where and when one task goes.
type Place struct {
	Machine *Machine
	Begin   micros // when the task is put there and its fetch starts
	Ready   micros // when it can run
}

// Result is what became of one request.
type Result struct {
	Request *Request
	Start   []Place // begin now
	Booked  []Place // begin later
	Viable  bool    // a deadline can be met by the booking
	Late    bool    // it was found that a booking can't meet the deadline
}

// occupiedUntil is until when a place that was found for a task is closed to the others of
// its request. The tasks of a gang run at the same time, so one can't have the place
// that another leaves: a gang that its zone had too few machines for was booked on them
// in turns, which never came, and nothing was rented for it, since it had its booking.
func (r *Request) occupiedUntil(p Place) micros {
	if r.Gang {
		return protocol.Forever
	}
	return protocol.End(p.Ready, r.Runtime)
}

// zoneCounter counts a request's tasks by zone while places are chosen.
type zoneCounter struct {
	request *Request
	count   map[string]int
	only    string // the zone that was last added
}

func newZoneCounter(r *Request) *zoneCounter {
	z := &zoneCounter{request: r}
	for name, n := range r.TasksByZone {
		if n > 0 {
			z.add(name)
			z.count[name] = n
		}
	}
	return z
}

// allows reports whether one task more may be in a zone.
func (z *zoneCounter) allows(name string) bool {
	if z.request.SingleZone && z.only != "" && z.only != name {
		return false
	}
	return z.request.MaxPerZone == 0 || z.count[name] < z.request.MaxPerZone
}

// add counts one task more in a zone.
func (z *zoneCounter) add(name string) {
	if z.count == nil {
		z.count = make(map[string]int)
	}
	z.count[name]++
	z.only = name
}
