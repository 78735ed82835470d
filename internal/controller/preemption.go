package controller

import (
	"slices"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// maxVictimHosts bounds the hosts of a zone on which a job looks for work to stop.
// Those that have its image come first.
const maxVictimHosts = 12

// unschedulable is a job for which no room could be made: too little may give way. In
// the same pass it is no better for one that asks for as much, and may take no
// more from others.
type unschedulableShape struct {
	taskResources         protocol.Resources
	tasks                 int
	priority              protocol.Priority
	zone                  string
	machineTypes          []string
	singleZone, allowSpot bool
}

func (h *unschedulableShape) covers(j *state.Job, tasks int) bool {
	s := j.Spec
	return s.TaskResources.Covers(h.taskResources) && tasks >= h.tasks && j.Priority >= h.priority && (h.zone == "" || h.zone == s.Zone) &&
		(!h.singleZone || s.SingleZone || tasks == 1) && (h.allowSpot || !s.AllowSpot) && slices.Equal(h.machineTypes, s.MachineTypes)
}

// markUnschedulable remembers that no room can be made for some tasks of a job.
func (p *schedulingCycle) markUnschedulable(j *state.Job, tasks int) {
	s := j.Spec
	if len(p.unschedulable) < 64 {
		p.unschedulable = append(p.unschedulable, unschedulableShape{s.TaskResources, tasks, j.Priority, s.Zone, s.MachineTypes, s.SingleZone && tasks > 1, s.AllowSpot})
	}
}

func (p *schedulingCycle) isUnschedulable(j *state.Job, tasks int) bool {
	return slices.ContainsFunc(p.unschedulable, func(h unschedulableShape) bool { return h.covers(j, tasks) })
}

// preemptionGoal is what room has to be like.
type preemptionGoal struct {
	startObjective micros // time that the class has to start
	readyWithout   micros // what the job has without it
	deadline       micros // latest time of use, 0: any
	immediate      bool
	usedHosts      map[*state.Host]bool
}

// preemptionRetryDelay is how long a job for which no room could be made is left alone.
const preemptionRetryDelay = 500 * protocol.Millisecond

// minGain is how much sooner room has to be ready: stopping work for a place that
// is ready hardly sooner than the one the job has anyway only loses work.
func (m *preemptionGoal) minGain() micros { return min(5*protocol.Second, m.startObjective/4) }

// preempt makes room for a job of higher rank, where no place comes free soon:
// shardOf the hosts that could give it those where the least work is lost.
func (sc *scheduler) preempt(p *schedulingCycle, w *pendingJob) {
	at := sc.now.Steady
	j := w.job
	s := j.Spec
	if j.Priority > protocol.PriorityHigh || j.Failures.Suspect || w.request == nil || w.request.Limit < 1 || j.State != state.JobActive || at < j.Preemption.RetryAt {
		return
	}
	need := preemptionGoal{startObjective: sc.startObjective(s.Class), usedHosts: make(map[*state.Host]bool)}
	if need.startObjective == 0 {
		need.startObjective = protocol.Forever
	}
	// A class that has to start at once can't wait for others to save.
	need.immediate = need.startObjective < latencyCriticalWithin
	due := protocol.End(j.EligibleAt, need.startObjective)
	// A place that is free but has to fetch the image first may be too late,
	// where one with the image would not be.
	var cold []int
	for i, pl := range w.result.Start {
		if at < due && pl.Ready > due {
			cold = append(cold, i)
		}
	}
	missing := min(len(w.tasks), w.request.Limit) - len(w.result.Start)
	if at < j.EligibleAt+min(2*protocol.Second, need.startObjective/16) {
		missing = 0
	}
	need.readyWithout = at + 10*protocol.Second + sc.workload.classStats(s.Class).estimatedRuntime(s)
	if n := len(w.result.Booked); n > 0 {
		need.readyWithout = w.result.Booked[n-1].Ready
	}
	if s.Kind == protocol.Gang && len(w.tasks) > 1 {
		switch {
		case at < j.Preemption.ReservedUntil || w.request.Limit < len(w.tasks):
		case missing > 0:
			sc.preemptForGang(p, w, need)
		case len(cold) > 0 && sc.canWithdraw(w):
			need.readyWithout = due
			if sc.preemptForGang(p, w, need) {
				for i := range w.result.Start {
					sc.agents.onAttemptLost(j.Tasks[w.tasks[i]].Current)
				}
			}
		}
		return
	}
	zones := tasksByZone(w)
	for _, m := range j.Preemption.Reservations {
		need.usedHosts[m.Host] = true
		zones[m.Host.Zone]++
	}
	for ; missing > 0; missing-- {
		if !sc.preemptForTask(p, w, &need, zones) {
			j.Preemption.RetryAt = at + preemptionRetryDelay
			break
		}
	}
	need.deadline = due
	for _, i := range cold {
		a := j.Tasks[w.tasks[i]].Current
		if a == nil || a.State != state.AttemptAssigned {
			continue
		}
		need.readyWithout = w.result.Start[i].Ready
		zones[a.Host.Zone]--
		if !sc.preemptForTask(p, w, &need, zones) {
			j.Preemption.RetryAt = at + preemptionRetryDelay
			break
		}
		sc.agents.onAttemptLost(a) // no launch has left yet
	}
}

// tasksByZone counts a job's tasks by zone, with those that this pass placed.
func tasksByZone(w *pendingJob) map[string]int {
	zones := make(map[string]int)
	for name, n := range w.request.ZoneUsed {
		zones[name] = n
	}
	for _, pl := range w.result.Start {
		zones[pl.Machine.Zone]++
	}
	return zones
}

// canWithdraw reports whether no launch of what a pass placed has left yet.
func (sc *scheduler) canWithdraw(w *pendingJob) bool {
	for i := range w.result.Start {
		if a := w.job.Tasks[w.tasks[i]].Current; a == nil || a.State != state.AttemptAssigned {
			return false
		}
	}
	return true
}

// reservationTime is how long room that was made is kept for a job.
const reservationTime = 10 * protocol.Second

// preemptForTask makes room for one task. It reports whether there was some.
func (sc *scheduler) preemptForTask(p *schedulingCycle, w *pendingJob, need *preemptionGoal, zones map[string]int) bool {
	at := sc.now.Steady
	j := w.job
	s := j.Spec
	var best []*state.Attempt
	var bestLoss float64
	if p.isUnschedulable(j, 1) {
		return false
	}
	some := false
	sc.slotTable.Making(w.request, 1, maxVictimHosts, func(m *slottable.Machine) bool {
		h := sc.cluster.Host(m.Name)
		if h == nil || need.usedHosts[h] || !sc.couldHost(h, s) {
			some = some || h != nil && need.usedHosts[h]
			return false
		}
		if s.SpreadZones && zones[h.Zone] >= w.request.ZoneCap || s.SingleZone && len(w.request.ZoneUsed) > 0 && w.request.ZoneUsed[h.Zone] == 0 {
			some = true
			return false
		}
		if !h.Type.Capacity.Add(h.Used(), -1).Add(sc.preemptibleResources(p, h), 1).Covers(s.TaskResources) {
			return false
		}
		some = true
		ready := at + protocol.Second
		if _, ok := h.Images[s.Image]; !ok {
			ready += sc.estimates.fetchTime(h.Type, s.ImageSize)
		}
		if ready+need.minGain() > need.readyWithout || need.deadline > 0 && ready > need.deadline {
			return false
		}
		sc.slotTable.Work += 16
		victims, loss := sc.chooseVictims(h, j, 1)
		saved := ready
		for _, a := range victims {
			if a.Job.Spec.CanCheckpoint() && !need.immediate {
				saved = max(saved, ready+a.Job.Spec.CheckpointDuration)
			}
		}
		if saved+need.minGain() > need.readyWithout || need.deadline > 0 && saved > need.deadline {
			return true
		}
		loss += (saved - at).Seconds()
		if victims != nil && (best == nil || loss < bestLoss) {
			best, bestLoss = victims, loss
		}
		return true
	})
	if best == nil {
		if !some {
			p.markUnschedulable(j, 1)
		}
		return false
	}
	h := best[0].Host
	delete(p.preemptible, h)
	need.usedHosts[h] = true
	zones[h.Zone]++
	j.Preemption.ReservedUntil = at + reservationTime
	j.Preemption.Reservations = append(j.Preemption.Reservations, state.Reservation{Host: h, Until: j.Preemption.ReservedUntil})
	sc.preemptVictims(j, best, need.immediate)
	return true
}

// couldHost reports whether a job's task could be on a host, were it empty.
func (sc *scheduler) couldHost(h *state.Host, s *protocol.JobSpec) bool {
	return sc.isSchedulable(h) && (!h.Spot || s.AllowSpot) && (s.Zone == "" || s.Zone == h.Zone) && h.Type.Capacity.Covers(s.TaskResources) && s.AllowsType(h.TypeName)
}

// transferInFlight is what a host's work of lower rank takes, and what is being
// stopped.
func (sc *scheduler) preemptibleResources(p *schedulingCycle, h *state.Host) protocol.Resources {
	sum, ok := p.preemptible[h]
	if !ok {
		for _, a := range h.Attempts() {
			if a.State.HoldsResources() && a.Job != nil && (a.StopRequested || sc.isPreemptible(a.Job)) {
				sum = sum.Add(a.Job.Spec.TaskResources, 1)
			}
		}
		p.preemptible[h] = sum
	}
	return sum
}

// transfers reports whether a job's tasks may be stopped for one of the two upper
// ranks.
func (sc *scheduler) isPreemptible(j *state.Job) bool {
	return j.Priority > protocol.PriorityHigh && (j.Spec.Kind != protocol.Gang || j.Spec.Tasks == 1)
}
