package controller

import (
	"maps"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

const (
	// maxVictimHosts limits the hosts of a zone on which victims are chosen for a task. Hosts that
	// have the task's image come first.
	maxVictimHosts = 12
	// preemptionRetryDelay is the pause after preemption could not free capacity for a job.
	preemptionRetryDelay = 500 * protocol.Millisecond
	// reservationTime is how long capacity freed by preemption is reserved for a job.
	reservationTime = 10 * protocol.Second
	// preemptionDelay is the time until a preempted task's resources are free, in addition to the
	// time for its checkpoint.
	preemptionDelay = protocol.Second

	// Before other tasks are preempted for a job, the job waits for capacity that becomes free
	// without preemption: for maxPreemptionWait or the class's start objective divided by
	// preemptionWaitDivisor, whichever is shorter.
	maxPreemptionWait     = 2 * protocol.Second
	preemptionWaitDivisor = 16
	// A preemption has to make a job ready sooner by maxRequiredGain or the start objective divided
	// by requiredGainDivisor, whichever is shorter.
	maxRequiredGain     = 5 * protocol.Second
	requiredGainDivisor = 4
	// noPlaceDelay is the assumed wait of a job that has no place.
	noPlaceDelay = 10 * protocol.Second

	// chooseVictimsWork is the work of choosing victims on a host, in rows of the slot table.
	chooseVictimsWork = 16
)

// preemption frees capacity for one job of high priority by stopping tasks of lower priority.
type preemption struct {
	*scheduler
	*pendingJob
	cycle *schedulingCycle

	startObjective         micros               // of the job's class, Forever if it has none
	readyWithoutPreemption micros               // when the job would be ready without preemption
	deadline               micros               // latest useful time for freed capacity, 0 if none
	skipCheckpoints        bool                 // victims get no time for a checkpoint
	usedHosts              map[*state.Host]bool // hosts reserved for the job
	tasksByZone            map[string]int       // placed tasks and reserved hosts of the job
}

// preempt frees capacity for a job of high priority that would get no place soon. Of the suitable
// hosts it takes those where the least work is lost.
func (sc *scheduler) preempt(c *schedulingCycle, pj *pendingJob) {
	j, now := pj.job, sc.now.Steady
	if j.Priority > protocol.PriorityHigh || j.Failures.Suspect || j.State != state.JobActive || now < j.Preemption.RetryAt {
		return
	}
	if pj.request == nil || pj.request.Limit < 1 {
		return
	}
	p := sc.newPreemption(c, pj)
	due := protocol.End(j.EligibleAt, p.startObjective)
	if j.Spec.Kind == protocol.Gang && len(pj.tasks) > 1 {
		p.preemptForWholeGang(due)
		return
	}
	p.countReservations()
	p.preemptForMissing()
	p.preemptForLate(due)
}

func (sc *scheduler) newPreemption(c *schedulingCycle, pj *pendingJob) *preemption {
	s := pj.job.Spec
	p := &preemption{
		scheduler: sc, pendingJob: pj, cycle: c, startObjective: sc.startObjective(s.Class),
	}
	if p.startObjective == 0 {
		p.startObjective = protocol.Forever
	}
	// A class with such a short start objective can't wait for the checkpoints of victims.
	p.skipCheckpoints = p.startObjective < latencyCriticalObjective
	p.readyWithoutPreemption = sc.now.Steady + noPlaceDelay + sc.workload.classStats(s.Class).estimatedRuntime(s)
	if n := len(pj.result.Booked); n > 0 {
		p.readyWithoutPreemption = pj.result.Booked[n-1].Ready
	}
	return p
}

// countReservations sets usedHosts and tasksByZone from the job's placed tasks and reservations.
func (p *preemption) countReservations() {
	p.usedHosts, p.tasksByZone = make(map[*state.Host]bool), p.pendingJob.tasksByZone()
	for _, reserved := range p.job.Preemption.Reservations {
		p.usedHosts[reserved.Host] = true
		p.tasksByZone[reserved.Host.Zone]++
	}
}

// tasksByZone returns the number of a job's placed tasks by zone, including those that this cycle
// placed.
func (pj *pendingJob) tasksByZone() map[string]int {
	zones := make(map[string]int)
	maps.Copy(zones, pj.request.TasksByZone)
	for _, place := range pj.result.Start {
		zones[place.Machine.Zone]++
	}
	return zones
}

// missingTasks returns the number of the job's tasks that have no place and for which other tasks
// may be preempted now.
func (p *preemption) missingTasks() int {
	wait := min(maxPreemptionWait, p.startObjective/preemptionWaitDivisor)
	if p.now.Steady < p.job.EligibleAt+wait {
		return 0
	}
	return min(len(p.tasks), p.request.Limit) - len(p.result.Start)
}

// latePlaces returns the indices of the places that are ready only after due. A free place on a
// host that has to fetch the image may be too late where one on a host with the image would be in
// time.
func (p *preemption) latePlaces(due micros) []int {
	if p.now.Steady >= due {
		return nil
	}
	var late []int
	for i, place := range p.result.Start {
		if place.Ready > due {
			late = append(late, i)
		}
	}
	return late
}

// preemptForMissing frees capacity for the tasks that have no place.
func (p *preemption) preemptForMissing() {
	for missing := p.missingTasks(); missing > 0; missing-- {
		if !p.preemptForTask() {
			p.job.Preemption.RetryAt = p.now.Steady + preemptionRetryDelay
			return
		}
	}
}

// preemptForLate frees capacity for the tasks whose places are ready only after due.
func (p *preemption) preemptForLate(due micros) {
	p.deadline = due
	for _, i := range p.latePlaces(due) {
		a := p.job.Tasks[p.tasks[i]].Current
		if a == nil || a.State != state.AttemptAssigned {
			continue
		}
		p.readyWithoutPreemption = p.result.Start[i].Ready
		p.tasksByZone[a.Host.Zone]--
		if !p.preemptForTask() {
			p.job.Preemption.RetryAt = p.now.Steady + preemptionRetryDelay
			return
		}
		p.agents.onAttemptLost(a) // its launch has not been sent
	}
}

// isTooLate reports whether capacity that is ready at a time is of no use to the job. Preemption
// for a place that is hardly sooner than the one without preemption only loses work.
func (p *preemption) isTooLate(ready micros) bool {
	requiredGain := min(maxRequiredGain, p.startObjective/requiredGainDivisor)
	return ready+requiredGain > p.readyWithoutPreemption || p.deadline > 0 && ready > p.deadline
}

// preemptForTask frees capacity for one task on the host where the least work is lost. It returns
// false if there is no suitable host.
func (p *preemption) preemptForTask() bool {
	j := p.job
	if p.cycle.isUnschedulable(j, 1) {
		return false
	}
	var best []*state.Attempt
	var bestLost float64
	anyWouldFit := false
	p.slotTable.VisitPreemptible(p.request, 1, maxVictimHosts, func(m *slottable.Machine) bool {
		h := p.cluster.Host(m.Name)
		fits, wouldFit := p.couldTakeTask(h)
		anyWouldFit = anyWouldFit || wouldFit
		if !fits {
			return false
		}
		ready := p.readyOn(h)
		if p.isTooLate(ready) {
			return false
		}
		p.slotTable.Work += chooseVictimsWork
		victims, lostSeconds := p.chooseVictims(h, j, 1)
		ready += p.checkpointTime(victims)
		if p.isTooLate(ready) {
			return true
		}
		lostSeconds += (ready - p.now.Steady).Seconds()
		if victims != nil && (best == nil || lostSeconds < bestLost) {
			best, bestLost = victims, lostSeconds
		}
		return true
	})
	if best == nil {
		if !anyWouldFit {
			p.cycle.markUnschedulable(j, 1)
		}
		return false
	}
	p.reserveHost(best)
	return true
}

// couldTakeTask reports whether preemption could free capacity for a task on a host. wouldFit is
// also true if the host is excluded only because of the job's reservations or of its tasks by
// zone.
func (p *preemption) couldTakeTask(h *state.Host) (fits, wouldFit bool) {
	switch {
	case h == nil:
		return false, false
	case p.usedHosts[h]:
		return false, true
	case !p.couldHost(h, p.job.Spec):
		return false, false
	case p.isZoneExcluded(h.Zone):
		return false, true
	}
	fits = p.freeAfterPreemption(p.cycle, h).Covers(p.job.Spec.TaskResources)
	return fits, fits
}

// isZoneExcluded reports whether the job's zone constraints allow no further task in a zone.
func (p *preemption) isZoneExcluded(zone string) bool {
	s, used := p.job.Spec, p.request.TasksByZone
	return s.SpreadZones && p.tasksByZone[zone] >= p.request.MaxPerZone || s.SingleZone && len(used) > 0 && used[zone] == 0
}

// readyOn returns when a task of the job would be ready on a host, without the time for the
// victims' checkpoints.
func (p *preemption) readyOn(h *state.Host) micros {
	ready := p.now.Steady + preemptionDelay
	if _, ok := h.Images[p.job.Spec.Image]; !ok {
		ready += p.estimates.fetchTime(h.Type, p.job.Spec.ImageSize)
	}
	return ready
}

// checkpointTime returns how long the victims need for their checkpoints, 0 if they get no time for
// one.
func (p *preemption) checkpointTime(victims []*state.Attempt) micros {
	var longest micros
	for _, a := range victims {
		if a.Job.Spec.CanCheckpoint() && !p.skipCheckpoints {
			longest = max(longest, a.Job.Spec.CheckpointDuration)
		}
	}
	return longest
}

// reserveHost stops the victims on a host and reserves the host for a task of the job.
func (p *preemption) reserveHost(victims []*state.Attempt) {
	h := victims[0].Host
	delete(p.cycle.preemptible, h)
	p.usedHosts[h] = true
	p.tasksByZone[h.Zone]++
	j := p.job
	j.Preemption.ReservedUntil = p.now.Steady + reservationTime
	j.Preemption.Reservations = append(j.Preemption.Reservations, state.Reservation{Host: h, Until: j.Preemption.ReservedUntil})
	p.stopVictims(victims)
}

// couldHost reports whether a job's task could run on a host if the host were empty.
func (sc *scheduler) couldHost(h *state.Host, s *protocol.JobSpec) bool {
	return sc.isSchedulable(h) && (!h.Spot || s.AllowSpot) && (s.Zone == "" || s.Zone == h.Zone) &&
		h.Type.Capacity.Covers(s.TaskResources) && s.AllowsType(h.TypeName)
}

// freeAfterPreemption returns the resources that would be free on a host if all its preemptible
// tasks were stopped.
func (sc *scheduler) freeAfterPreemption(c *schedulingCycle, h *state.Host) protocol.Resources {
	return h.Type.Capacity.Add(h.Used(), -1).Add(sc.preemptibleResources(c, h), 1)
}

// preemptibleResources returns the resources of the tasks on a host that are preemptible or already
// being stopped.
func (sc *scheduler) preemptibleResources(c *schedulingCycle, h *state.Host) protocol.Resources {
	sum, ok := c.preemptible[h]
	if ok {
		return sum
	}
	for _, a := range h.Attempts() {
		if a.State.HoldsResources() && a.Job != nil && (a.StopRequested || sc.isPreemptible(a.Job)) {
			sum = sum.Add(a.Job.Spec.TaskResources, 1)
		}
	}
	c.preemptible[h] = sum
	return sum
}

// isPreemptible reports whether a job's tasks may be stopped for a job of one of the two higher
// priorities. Tasks of a gang of several are not preemptible.
func (sc *scheduler) isPreemptible(j *state.Job) bool {
	return j.Priority > protocol.PriorityHigh && (j.Spec.Kind != protocol.Gang || j.Spec.Tasks == 1)
}
