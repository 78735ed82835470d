package slottable

import (
	"slices"

	"mapleslip/internal/protocol"
)

// fetchTolerance is how much earlier a busy machine must be ready before a task
// waits for it rather than starting its fetch on a free one at once.
const fetchTolerance = 2 * protocol.Second

// placeNow is the place that a machine has for a task at once.
func (t *Table) placeNow(r *Request, m *Machine) (candidate, bool) {
	if !m.freeFor(r).Covers(r.Resources) || m.Blocked || m.AvailableFrom > t.Now {
		return candidate{}, false
	}
	fetch := m.fetchTime(t.Now, r)
	if len(m.marks) > 0 && !m.fits(r, t.Now, protocol.End(t.Now+fetch, r.Runtime)) {
		return candidate{}, false
	}
	p := Place{m, t.Now, t.Now + fetch}
	return candidate{place: p, cost: t.cost(r, p)}, true
}

// placeLater is the earliest place from a time on that a machine has for a task.
func (t *Table) placeLater(r *Request, m *Machine, from micros) (candidate, bool) {
	length := protocol.End(m.fetchTime(t.Now, r), r.Runtime)
	at, ok := m.earliestRoom(r, from, length)
	if !ok {
		return candidate{}, false
	}
	p := Place{m, at, at + m.fetchTime(at, r)}
	return candidate{place: p, cost: t.cost(r, p)}, true
}

// cost is what a place costs a request: its time, and more for places that are better kept for
// others.
func (t *Table) cost(r *Request, p Place) micros {
	if p.Begin == t.Now && len(r.Preferred) > 0 && slices.Contains(r.Preferred, p.Machine) {
		return preferredCost
	}
	cost := p.Ready + p.Machine.Penalty + t.fragmentationCost(r, p.Machine)
	if r.Opportunistic && !p.Machine.Spot && p.Machine.retainedUntil < protocol.End(p.Ready, r.Runtime) {
		cost += releaseCost
	}
	return cost
}

// What a place costs beside its time, as time.
const (
	fragmentationPerTask = 300 * protocol.Millisecond // for each further task that it could take
	maxFragmentation     = 5 * protocol.Second
	gpuWasteCost         = 6 * protocol.Second // a task without GPUs on a machine that has some free
	onDemandCost         = 6 * protocol.Second // a task that may be on a spot machine is on another
	evictionCost         = 3 * protocol.Second // opportunistic work is lost
	releaseCost          = 8 * protocol.Second // an opportunistic task may be evicted with its machine
	preferredCost        = -1                  // room was made for the task there
)

// fragmentationCost makes a task prefer the machine that it leaves least broken up: a
// larger machine, or a free one, is kept for what needs it.
func (t *Table) fragmentationCost(r *Request, m *Machine) micros {
	free := m.freeFor(r)
	cost := min(micros(free.MaxCopies(r.Resources))*fragmentationPerTask, maxFragmentation)
	if r.Resources.GPU == 0 && free.GPU > 0 {
		// What needs no GPU goes where it is in the way of nothing that does.
		return cost + gpuWasteCost
	}
	if !r.Opportunistic && !free.Add(m.opportunistic, -1).Covers(r.Resources) {
		cost += evictionCost
	}
	if r.AllowSpot && !m.Spot {
		// Spot machines are of use to few; the others are kept for the rest.
		cost += onDemandCost
	}
	return cost
}
