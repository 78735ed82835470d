package rollout

import (
	"container/heap"

	"mapleslip/internal/protocol"
)

// checkInFlight is a check that was started and has no result yet.
type checkInFlight struct {
	instance  *instance
	attempt   uint64
	startedAt micros
	failedBy  []string // controllers that already found the instance failing
	failure   string   // reason reported by the last of these controllers
}

// scheduleCheck schedules the first check of an instance. It does nothing if a check is scheduled
// or in flight. The check takes place at a random time within the interval, which spreads out the
// checks of instances that start together or that a new leader finds running.
func (m *Manager) scheduleCheck(i *instance) {
	if i.checkInFlight || i.heapIndex >= 0 {
		return
	}
	interval := m.healthCheck(i).Interval
	i.nextCheckAt = m.now + micros(m.rng.Int64N(int64(interval)))
	heap.Push(&i.service.dueChecks, i)
}

func (m *Manager) healthCheck(i *instance) *protocol.HealthCheck {
	if i.isNew {
		return &i.service.record.New.Spec.Check
	}
	return &i.service.record.Old.Spec.Check
}

// startDueChecks starts the checks that are due, within the limits on their rate and on
// concurrent checks. It serves the services round-robin and gives each an equal share of the
// concurrent checks, so that a service whose instances all hang until a long timeout does not
// delay the checks of the others.
func (m *Manager) startDueChecks() {
	m.checkBudget = min(max(1, m.settings.ChecksPerS), m.checkBudget+m.settings.ChecksPerS*(m.now-m.checkBudgetAt).Seconds())
	m.checkBudgetAt = m.now
	var active []*service
	for _, name := range m.serviceNames() {
		if sv := m.services[name]; len(sv.dueChecks) > 0 || sv.checksInFlight > 0 {
			active = append(active, sv)
		}
	}
	if len(active) == 0 {
		return
	}
	share := max(1, m.settings.MaxInFlight/len(active))
	for skipped := 0; skipped < len(active) && m.checkBudget >= 1 && len(m.checks) < m.settings.MaxInFlight; m.nextService++ {
		sv := active[m.nextService%len(active)]
		if i := sv.nextDue(m.now); i != nil && sv.checksInFlight < share {
			heap.Pop(&sv.dueChecks)
			m.startCheck(i, nil, "")
			skipped = 0
			continue
		}
		skipped++
	}
}

// nextDue returns the instance whose check is due first, or nil if no check is due. It drops
// instances that no longer run, and all instances once the roll-out has ended.
func (sv *service) nextDue(now micros) *instance {
	for len(sv.dueChecks) > 0 && sv.dueChecks[0].nextCheckAt <= now {
		if i := sv.dueChecks[0]; i.running && !sv.record.State.Ended() {
			return i
		}
		heap.Pop(&sv.dueChecks)
	}
	return nil
}

// startCheck starts a check of an instance. failedBy are the controllers that already found the
// instance failing and must not make this check, failure is the reason that the last one reported.
func (m *Manager) startCheck(i *instance, failedBy []string, failure string) {
	sv := i.service
	t, version := sv.oldTarget, &sv.record.Old
	if i.isNew {
		t, version = sv.newTarget, &sv.record.New
	}
	addr, path, err := t.instanceAddress(InstanceData{IP: i.ip, Job: i.ref, Number: Number(i.ref), Index: i.index, Attempt: i.attempt, Service: sv.record.Service, Version: version.Hash})
	if err != nil {
		i.addResult(m.now, false, "", err.Error(), t.spec)
		i.nextCheckAt = m.now + t.spec.Interval
		heap.Push(&sv.dueChecks, i)
		return
	}
	m.checkBudget--
	sv.checksInFlight++
	m.checkSeq++
	i.checkInFlight = true
	m.checks[m.checkSeq] = &checkInFlight{instance: i, attempt: i.attempt, startedAt: m.now, failedBy: failedBy, failure: failure}
	m.emit(Check{ID: m.checkSeq, Kind: t.spec.Kind, Addr: addr, Path: path, Timeout: t.spec.Timeout, Except: failedBy})
}

// requiredConfirmations is the number of other controllers that must also find an instance failing
// before a failure counts; if there are fewer, all of them must. One would suffice if the links of
// only one controller were cut, but two of three controllers may be cut off together.
const requiredConfirmations = 2

// onChecked handles the result of a check. A failure counts only once other controllers have found
// the same, because the links of the controller that made the check may be cut.
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
			// No further controller can make the check.
			i.addResult(c.startedAt, false, "", c.failure, h)
		case len(c.failedBy) > 0:
			// No other controller can make the check, so it counts neither as passed nor as failed.
			i.unconfirmedFailures++
			i.lastFailure, i.confirming = c.failure, false
		}
	}
	if i.running && i.heapIndex < 0 {
		interval := m.healthCheck(i).Interval
		i.nextCheckAt = max(m.now, c.startedAt+interval*9/10+micros(m.rng.Int64N(int64(interval/5)+1)))
		heap.Push(&i.service.dueChecks, i)
	}
}

// dueHeap is a heap of the instances with a scheduled check, ordered by the time of the check.
type dueHeap []*instance

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(a, b int) bool { return h[a].nextCheckAt < h[b].nextCheckAt }

func (h dueHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapIndex, h[b].heapIndex = a, b
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	i := x.(*instance)
	i.heapIndex = len(*h)
	*h = append(*h, i)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	i := old[len(old)-1]
	i.heapIndex = -1
	*h = old[:len(old)-1]
	return i
}
