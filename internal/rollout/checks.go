package rollout

import (
	"container/heap"

	"mapleslip/internal/protocol"
)

// checkInFlight is a check that is on its way.
type checkInFlight struct {
	instance  *instance
	attempt   uint64
	startedAt micros
	failedBy  []string // the controllers that found it failing before
	failure   string
}

// scheduleCheck has an instance checked in its turn. The first one comes at some time
// within the interval, so that the checks of instances that start together, or that
// a new leader finds, don't come together.
func (m *Manager) scheduleCheck(i *instance) {
	if i.checkInFlight || i.heapIndex >= 0 {
		return
	}
	every := m.healthCheck(i).Interval
	i.nextCheckAt = m.now + micros(m.rng.Int64N(int64(every)))
	heap.Push(&i.service.due, i)
}

func (m *Manager) healthCheck(i *instance) *protocol.HealthCheck {
	if i.isNew {
		return &i.service.record.New.Spec.Check
	}
	return &i.service.record.Old.Spec.Check
}

// startDueChecks begins the checks that are due, within the bounds. Services take turns, and
// each has its part of those on their way: one whose instances all hang until a long
// time-out must not hold up the checks of the others.
func (m *Manager) startDueChecks() {
	m.checkBudget = min(max(1, m.settings.ChecksPerS), m.checkBudget+m.settings.ChecksPerS*(m.now-m.checkBudgetAt).Seconds())
	m.checkBudgetAt = m.now
	var list []*service
	for _, name := range m.names() {
		if sv := m.services[name]; len(sv.due) > 0 || sv.checksInFlight > 0 {
			list = append(list, sv)
		}
	}
	if len(list) == 0 {
		return
	}
	part := max(1, m.settings.MaxInFlight/len(list))
	for idle := 0; idle < len(list) && m.checkBudget >= 1 && len(m.checks) < m.settings.MaxInFlight; m.nextService++ {
		sv := list[m.nextService%len(list)]
		if i := sv.nextDue(m.now); i != nil && sv.checksInFlight < part {
			heap.Pop(&sv.due)
			m.startCheck(i, nil, "")
			idle = 0
			continue
		}
		idle++
	}
}

// nextDue is the instance whose check is due first, nil: none is. Those that are gone,
// or that nobody asks about any more, are left out.
func (sv *service) nextDue(now micros) *instance {
	for len(sv.due) > 0 && sv.due[0].nextCheckAt <= now {
		if i := sv.due[0]; i.running && !sv.record.State.Ended() {
			return i
		}
		heap.Pop(&sv.due)
	}
	return nil
}

// startCheck begins a check; failed: of the controllers that found it failing.
func (m *Manager) startCheck(i *instance, failed []string, why string) {
	sv := i.service
	t, v := sv.oldTarget, &sv.record.Old
	if i.isNew {
		t, v = sv.newTarget, &sv.record.New
	}
	addr, path, err := t.instanceAddress(InstanceData{IP: i.ip, Job: i.ref, Number: Number(i.ref), Index: i.index, Attempt: i.attempt, Service: sv.record.Service, Version: v.Hash})
	if err != nil {
		i.addResult(m.now, false, "", err.Error(), t.spec)
		i.nextCheckAt = m.now + t.spec.Interval
		heap.Push(&sv.due, i)
		return
	}
	m.checkBudget--
	sv.checksInFlight++
	m.checkSeq++
	i.checkInFlight = true
	m.checks[m.checkSeq] = &checkInFlight{instance: i, attempt: i.attempt, startedAt: m.now, failedBy: failed, failure: why}
	m.emit(Check{ID: m.checkSeq, Kind: t.spec.Kind, Addr: addr, Path: path, Timeout: t.spec.Timeout, Except: failed})
}

// requiredConfirmations is how many other controllers have to find an instance failing too,
// as far as there are so many. One would do against one whose links are cut; two of
// three may be cut off together.
const requiredConfirmations = 2

// onChecked takes a check's end. A fail counts once others found the same: else it may
// be the link of the one that made it that is cut.
func (m *Manager) onChecked(e Checked) {
	c := m.checks[e.ID]
	if c == nil {
		return
	}
	delete(m.checks, e.ID)
	i := c.instance
	i.checkInFlight = false
	i.service.checksInFlight--
	current := i.running && i.attempt == c.attempt && !i.service.record.State.Ended()
	if current {
		h := m.healthCheck(i)
		switch {
		case e.Made && e.OK:
			against := ""
			for _, against = range c.failedBy {
				m.emit(CheckDisputed{By: e.Controller, Against: against})
			}
			i.addResult(c.startedAt, true, against, c.failure, h)
		case e.Made && len(c.failedBy) < min(requiredConfirmations, m.settings.OtherControllers):
			i.confirming = true
			m.startCheck(i, append(c.failedBy, e.Controller), e.Failure)
			return
		case e.Made:
			i.addResult(c.startedAt, false, "", e.Failure, h)
		case len(c.failedBy) > 1:
			i.addResult(c.startedAt, false, "", c.failure, h) // the others can't be asked
		case len(c.failedBy) > 0:
			// Nobody else can be asked: it counts as neither.
			i.unconfirmedFailures++
			i.lastFailure, i.confirming = c.failure, false
		}
	}
	if i.running && i.heapIndex < 0 {
		every := m.healthCheck(i).Interval
		i.nextCheckAt = max(m.now, c.startedAt+every*9/10+micros(m.rng.Int64N(int64(every/5)+1)))
		heap.Push(&i.service.due, i)
	}
}

// dueHeap is the checks to come, a heap by time.
type dueHeap []*instance

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(a, b int) bool { return h[a].nextCheckAt < h[b].nextCheckAt }

func (h dueHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapIndex, h[b].heapIndex = a, b
}

// Push is part of heap.Interface.
func (h *dueHeap) Push(x any) {
	i := x.(*instance)
	i.heapIndex = len(*h)
	*h = append(*h, i)
}

// Pop is part of heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	i := old[len(old)-1]
	i.heapIndex = -1
	*h = old[:len(old)-1]
	return i
}
