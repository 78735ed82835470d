package slottable

import (
	"slices"

	"mapleslip/internal/protocol"
)

// Request describes a job's tasks that still need places.
type Request struct {
	Tasks             int // number of tasks that need a place
	Limit             int // how many of them the team's limit allows to start
	Resources         resources
	Gang              bool
	Image             string
	ImageSize         int64
	Types             []string
	Zone              string
	SingleZone        bool
	MaxPerZone        int            // maximum number of tasks in one zone, 0: no limit
	TasksByZone       map[string]int // number of the job's tasks that are already in each zone
	AllowSpot         bool
	Runtime           micros // estimated run time without fetching the image
	Deadline          micros // latest end, 0: none
	Avoid             func(machine string) bool
	Preferred         []*Machine // machines on which preemption made room for it
	ImageLocalOnly    bool       // takes only machines that have the image
	Spare             bool       // a request to keep spare capacity, without a job to run
	Opportunistic     bool       // uses only what all other requests leave
	SpareCapacityOnly bool       // no machine is kept or rented for it at the full price
	ReadyBy           micros     // no machine is rented for a task that is ready by then
	ReadyTimeMargin   micros     // added to ready times on running machines when rental is planned
	Booking           []Place    // places that the last cycle booked
	PreferredZone     string     // zone of a gang's last booking, see zoneChangeGain
	KeepBooking       bool       // preemption made room for Booking: kept whatever was booked before
	NoBooking         bool       // a recent attempt showed that no booking meets the deadline

	imageID int32
}

// allows reports whether a request's tasks may be placed on a machine.
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

// Place is the machine and the time for one task.
type Place struct {
	Machine *Machine
	Begin   micros // time at which the task is put on the machine and starts to fetch its image
	Ready   micros // time at which it can run
}

// Result is the plan for one request.
type Result struct {
	Request *Request
	Start   []Place // places of tasks that start now
	Booked  []Place // places of tasks that start later
	Viable  bool    // these places meet the deadline, if there is one
	Late    bool    // this cycle found that no booking meets the deadline
}

// occupiedUntil returns the time until which the place found for a task is closed to the other
// tasks of its request. The tasks of a gang run at the same time, so none can use the place that
// another one leaves. Without this rule, a gang whose zone had too few machines was booked on them
// for one group of tasks after the other. It could never start like that, and since it had a
// booking, no machine was rented for it.
func (r *Request) occupiedUntil(p Place) micros {
	if r.Gang {
		return protocol.Forever
	}
	return protocol.End(p.Ready, r.Runtime)
}

// zoneCounter counts the tasks of a request's job by zone while places are chosen.
type zoneCounter struct {
	request  *Request
	count    map[string]int
	onlyZone string // zone of the last task; with SingleZone, the only one allowed
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

// allows reports whether one more task may be placed in a zone.
func (z *zoneCounter) allows(name string) bool {
	if z.request.SingleZone && z.onlyZone != "" && z.onlyZone != name {
		return false
	}
	return z.request.MaxPerZone == 0 || z.count[name] < z.request.MaxPerZone
}

// add counts one more task in a zone.
func (z *zoneCounter) add(name string) {
	if z.count == nil {
		z.count = make(map[string]int)
	}
	z.count[name]++
	z.onlyZone = name
}
