package controller

import (
	"cmp"
	"maps"
	"slices"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

const (
	// gangBookingDelay is the time until a gang's places on preempted hosts begin.
	gangBookingDelay = protocol.Second
	// gangVictimsWork is the work of evaluating a host for a gang, in rows of the slot table.
	gangVictimsWork = 8
	// anyZone is the key for all zones together, for gangs that may span several zones.
	anyZone = ""
)

// gangCandidate is a host that can run some tasks of a gang once the victims there are stopped.
type gangCandidate struct {
	host     *state.Host
	tasks    int
	victims  []*state.Attempt
	ready    micros
	taskCost float64 // seconds lost per task
}

// preemptForWholeGang frees capacity for all tasks of a gang if some of them have no place, or have
// a place that is ready only after due. In the second case the gang's assignments are withdrawn.
func (p *preemption) preemptForWholeGang(due micros) {
	j := p.job
	if p.now.Steady < j.Preemption.ReservedUntil || p.request.Limit < len(p.tasks) {
		return
	}
	if p.missingTasks() > 0 {
		p.preemptForGang()
		return
	}
	if len(p.latePlaces(due)) == 0 || !p.canWithdraw() {
		return
	}
	p.readyWithoutPreemption = due
	if p.preemptForGang() {
		for i := range p.result.Start {
			p.agents.onAttemptLost(j.Tasks[p.tasks[i]].Current)
		}
	}
}

// canWithdraw reports whether no launch of the tasks that this cycle placed has been sent.
func (p *preemption) canWithdraw() bool {
	for i := range p.result.Start {
		if a := p.job.Tasks[p.tasks[i]].Current; a == nil || a.State != state.AttemptAssigned {
			return false
		}
	}
	return true
}

// preemptForGang frees capacity for all tasks of a gang, in the zone where the least work is lost.
// The freed capacity is booked for the gang until it has started; otherwise smaller jobs would take
// it, one machine at a time. It returns false if no zone has enough.
func (p *preemption) preemptForGang() bool {
	j := p.job
	if p.cycle.isUnschedulable(j, len(p.tasks)) {
		j.Preemption.RetryAt = p.now.Steady + bookingRetryDelay
		return false
	}
	candidates, tooLate := p.findGangCandidates()
	best := p.cheapestGangCandidates(candidates)
	if best == nil {
		if !tooLate && len(p.request.TasksByZone) == 0 {
			p.cycle.markUnschedulable(j, len(p.tasks))
		}
		j.Preemption.RetryAt = p.now.Steady + bookingRetryDelay // no change is expected sooner
		return false
	}
	j.Preemption.ReservedUntil = p.now.Steady + reservationTime
	j.Booking.Places = j.Booking.Places[:0]
	for _, candidate := range best {
		p.stopVictims(candidate.victims)
		delete(p.cycle.preemptible, candidate.host)
		p.bookCandidate(candidate)
	}
	return true
}

// bookCandidate books places on a candidate for as many tasks as still need one.
func (p *preemption) bookCandidate(candidate gangCandidate) {
	b := &p.job.Booking
	place := state.BookedPlace{Machine: candidate.host.Name, Begin: p.now.Steady + gangBookingDelay, Ready: candidate.ready}
	for range min(candidate.tasks, len(p.tasks)-len(b.Places)) {
		b.Places = append(b.Places, place)
	}
}

// findGangCandidates returns the hosts on which preemption frees capacity for tasks of a gang, by
// zone. tooLate reports whether a host was left out because it would be ready too late.
func (p *preemption) findGangCandidates() (candidates map[string][]gangCandidate, tooLate bool) {
	candidates = make(map[string][]gangCandidate)
	s := p.job.Spec
	p.slotTable.VisitPreemptible(p.request, 1, maxVictimHosts+2*len(p.tasks), func(m *slottable.Machine) bool {
		h := p.cluster.Host(m.Name)
		if h == nil || !p.couldHost(h, s) {
			return false
		}
		copies := p.freeAfterPreemption(p.cycle, h).MaxCopies(s.TaskResources)
		if copies < 1 {
			return false
		}
		p.slotTable.Work += gangVictimsWork
		candidate := p.evaluateGangCandidate(h, min(int(copies), len(p.tasks)))
		if p.isTooLate(candidate.ready) {
			tooLate = true
			return true
		}
		zone := anyZone
		if s.SingleZone {
			zone = h.Zone
		}
		candidates[zone] = append(candidates[zone], candidate)
		return true
	})
	return candidates, tooLate
}

// evaluateGangCandidate calculates the cost of freeing capacity for a number of tasks on a host.
func (p *preemption) evaluateGangCandidate(h *state.Host, tasks int) gangCandidate {
	victims, lostSeconds := p.chooseVictims(h, p.job, tasks)
	ready := p.readyOn(h) + p.checkpointTime(victims)
	lostSeconds += (ready - p.now.Steady).Seconds()
	return gangCandidate{host: h, tasks: tasks, victims: victims, ready: ready, taskCost: lostSeconds / float64(tasks)}
}

// cheapestGangCandidates chooses candidates for all tasks in the zone where the least work is lost,
// nil if no zone has enough.
func (p *preemption) cheapestGangCandidates(candidates map[string][]gangCandidate) []gangCandidate {
	var best []gangCandidate
	var bestCost float64
	used := p.request.TasksByZone
	for _, zone := range slices.Sorted(maps.Keys(candidates)) {
		if p.job.Spec.SingleZone && len(used) > 0 && used[zone] == 0 {
			continue
		}
		chosen, cost, enough := cheapestCandidates(candidates[zone], len(p.tasks))
		if enough && (best == nil || cost < bestCost) {
			best, bestCost = chosen, cost
		}
	}
	return best
}

// cheapestCandidates chooses candidates for a number of tasks, the cheapest per task first. enough
// reports whether the candidates suffice.
func cheapestCandidates(candidates []gangCandidate, tasks int) (chosen []gangCandidate, cost float64, enough bool) {
	slices.SortStableFunc(candidates, func(a, b gangCandidate) int { return cmp.Compare(a.taskCost, b.taskCost) })
	count := 0
	for i, candidate := range candidates {
		count += candidate.tasks
		cost += candidate.taskCost * float64(candidate.tasks)
		if count >= tasks {
			return candidates[:i+1], cost, true
		}
	}
	return nil, 0, false
}
