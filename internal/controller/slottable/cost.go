package slottable

import (
	"slices"

	"mapleslip/internal/protocol"
)

// fetchTolerance is how much sooner a task has to be ready on a busy machine for it to wait for
// that machine, instead of fetching its image on a free one right away.
const fetchTolerance = 2 * protocol.Second

// placeNow returns the place for a task on a machine where it can start right away.
func (t *Table) placeNow(r *Request, m *Machine) (candidate, bool) {
	if !m.freeFor(r).Covers(r.Resources) || m.Blocked || m.AvailableFrom > t.Now || !m.hasTaskSlot() {
		return candidate{}, false
	}
	fetch := m.fetchTime(t.Now, r)
	if len(m.marks) > 0 && !m.fits(r, t.Now, protocol.End(t.Now+fetch, r.Runtime)) {
		return candidate{}, false
	}
	p := Place{m, t.Now, t.Now + fetch}
	return candidate{place: p, cost: t.cost(r, p)}, true
}

// placeLater returns the earliest place for a task on a machine that does not begin before a given
// time.
func (t *Table) placeLater(r *Request, m *Machine, from micros) (candidate, bool) {
	if !m.hasTaskSlot() {
		return candidate{}, false
	}
	length := protocol.End(m.fetchTime(t.Now, r), r.Runtime)
	at, ok := m.earliestRoom(r, from, length)
	if !ok {
		return candidate{}, false
	}
	p := Place{m, at, at + m.fetchTime(at, r)}
	return candidate{place: p, cost: t.cost(r, p)}, true
}

// cost returns the cost of a place for a request: the time at which the task is ready, plus
// surcharges for places that are better kept for other requests.
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

// Costs of a place in addition to its time, in the unit of time.
const (
	fragmentationPerTask = 300 * protocol.Millisecond // for each task that fits, this one included
	maxFragmentation     = 5 * protocol.Second
	gpuWasteCost         = 6 * protocol.Second // a task without GPUs takes a place where GPUs are free
	onDemandCost         = 6 * protocol.Second // a task that allows spot takes an on-demand machine
	evictionCost         = 3 * protocol.Second // opportunistic tasks have to be evicted
	releaseCost          = 8 * protocol.Second // a machine may be released under an opportunistic task
	preferredCost        = -1                  // the whole cost, below any other, of room that preemption made
)

// fragmentationCost returns the cost of the free resources that a task leaves on a machine. It
// makes a task prefer the machine on which it leaves the least, so that larger and empty machines
// stay available for the tasks that need them.
func (t *Table) fragmentationCost(r *Request, m *Machine) micros {
	free := m.freeFor(r)
	cost := min(micros(free.MaxCopies(r.Resources))*fragmentationPerTask, maxFragmentation)
	if r.Resources.GPU == 0 && free.GPU > 0 {
		// A task without GPUs is placed where it does not block tasks that need GPUs.
		return cost + gpuWasteCost
	}
	if !r.Opportunistic && !free.Add(m.opportunisticUsed, -1).Covers(r.Resources) {
		cost += evictionCost
	}
	if r.AllowSpot && !m.Spot {
		// Only some requests allow spot machines; on-demand machines are kept for the others.
		cost += onDemandCost
	}
	return cost
}
