package controller

import (
	"mapleslip/internal/configuration"
	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

const (
	// A host on which tasks take more than slowHostRatio times the usual time is avoided: it counts
	// as ready later, by slowHostPenaltySeconds for each usual time beyond the first.
	slowHostRatio          = 1.8
	slowHostPenaltySeconds = 10
	// suspectPenalty is how much later a host counts as ready if jobs have failed on it and the
	// cause is not known.
	suspectPenalty = 10 * protocol.Second
	// heartbeatTolerance is how much longer than two heartbeat intervals a host may be without
	// contact before it gets no more tasks.
	heartbeatTolerance = protocol.Second
	// stopDelay is the expected time of a stop in addition to half of its grace period.
	stopDelay = protocol.Second
	// minFetchLeft is the shortest time that a fetch in progress is expected to take still.
	minFetchLeft = protocol.Second
)

// refreshSlotTable updates the rows of hosts that have changed, or on which a task has run past its
// expected end. Rows and assignments of hosts that are being released are removed.
func (sc *scheduler) refreshSlotTable() {
	sc.slotTable.Now = sc.now.Steady
	for _, h := range sc.cluster.Hosts() {
		if h.Type != nil && h.State != state.HostGone && h.State != state.HostReleasing {
			sc.refreshHost(h)
		} else if sc.machines[h] != nil {
			sc.withdrawAssignments(h)
			sc.removeMachine(h)
		}
	}
}

// refreshHost updates a host's row if necessary.
func (sc *scheduler) refreshHost(h *state.Host) {
	m := sc.machines[h]
	if m == nil {
		m = sc.addMachine(h)
	}
	schedulable := sc.isSchedulable(h)
	booting := h.State == state.HostBooting && !h.Record.FromEarlierEpoch
	if !schedulable && !m.Blocked {
		sc.withdrawAssignments(h)
	}
	if h.Stale || booting || m.Blocked == schedulable || m.NextEnd() <= sc.now.Steady {
		sc.refreshMachine(h, m, schedulable, booting)
	}
}

// addMachine adds a row for a host to the slot table.
func (sc *scheduler) addMachine(h *state.Host) *slottable.Machine {
	t := h.Type
	m := &slottable.Machine{
		Name: h.Name, Type: h.TypeName, Zone: h.Zone, Spot: h.Spot, Capacity: t.Capacity,
		FetchTime: func(size int64) micros { return sc.estimates.fetchTime(t, size) },
	}
	sc.machines[h] = m
	sc.slotTable.Add(m)
	h.Stale = true
	return m
}

// removeMachine removes a host's row from the slot table.
func (sc *scheduler) removeMachine(h *state.Host) {
	if m := sc.machines[h]; m != nil {
		sc.slotTable.Remove(m)
		delete(sc.machines, h)
	}
}

// withdrawAssignments withdraws the assignments to a host that can't be reached or is being
// released.
func (sc *scheduler) withdrawAssignments(h *state.Host) {
	for _, a := range h.Attempts() {
		if a.State == state.AttemptAssigned {
			sc.agents.onAttemptLost(a)
		}
	}
}

// isSchedulable reports whether tasks may be placed on a host.
func (sc *scheduler) isSchedulable(h *state.Host) bool {
	now := sc.now.Steady
	switch {
	case h.State != state.HostReady || !h.Reconciled || h.Type == nil || h.Interruption.Noticed:
		return false
	case ignoresCommands(h) || sc.hosts.missesHeartbeats(h):
		return false
	case sc.config.drainOf(h) != configuration.NotDrained:
		return false
	}
	return now >= h.Quarantine.Until && now >= h.FullUntil &&
		now-h.Agent.LastContact < 2*sc.platform.HeartbeatInterval+heartbeatTolerance
}

// refreshMachine rebuilds a host's row from the cluster state.
func (sc *scheduler) refreshMachine(h *state.Host, m *slottable.Machine, schedulable, booting bool) {
	h.Stale = false
	m.Reset()
	m.AvailableFrom = sc.now.Steady
	switch {
	case schedulable:
	case booting && sc.config.drainOf(h) == configuration.NotDrained:
		m.AvailableFrom = sc.estimates.expectedBootEnd(h)
	default:
		m.Blocked = true
	}
	m.Penalty, m.Tasks, m.MaxTasks = hostPenalty(h), len(h.Attempts()), protocol.MaxHeartbeatTasks
	m.OnlyOpportunistic = !h.Spot && !sc.hasRetainingWork(h)
	for image := range h.Images {
		sc.slotTable.AddImage(m, image, 0)
	}
	var preemptible protocol.Resources
	for _, a := range h.Attempts() {
		if !a.State.HoldsResources() || a.Job == nil {
			continue
		}
		sc.addAttempt(m, a)
		if a.StopRequested || sc.isPreemptible(a.Job) {
			preemptible = preemptible.Add(a.Job.Spec.TaskResources, 1)
		}
	}
	if schedulable {
		m.FreeAfterPreemption = h.Type.Capacity.Add(h.Used(), -1).Add(preemptible, 1)
	}
	sc.slotTable.Update(m)
}

// hostPenalty returns how much later a host counts as ready because it is slow or may be faulty.
func hostPenalty(h *state.Host) micros {
	var penalty micros
	if h.RuntimeRatio > slowHostRatio {
		penalty = micros((h.RuntimeRatio - 1) * slowHostPenaltySeconds * float64(protocol.Second))
	}
	if len(h.Quarantine.SuspectedBy) > 0 {
		penalty += suspectPenalty
	}
	return penalty
}

// addAttempt adds an attempt's resources to its host's row, and the image that it fetches.
func (sc *scheduler) addAttempt(m *slottable.Machine, a *state.Attempt) {
	now, s := sc.now.Steady, a.Job.Spec
	m.Occupy(slottable.Span{From: now, To: sc.expectedEnd(a), Resources: s.TaskResources, Opportunistic: isOpportunistic(a.Job)})
	switch a.State {
	case state.AttemptAssigned, state.AttemptLaunched, state.AttemptFetching:
		if !sc.slotTable.HasImage(m, s.Image) {
			sc.slotTable.AddImage(m, s.Image, max(a.ExpectedReady, now+minFetchLeft))
		}
	default: // the host has the image
	}
}

// expectedEnd returns when an attempt is expected to end, Forever if that is unknown.
func (sc *scheduler) expectedEnd(a *state.Attempt) micros {
	now, s := sc.now.Steady, a.Job.Spec
	class := sc.workload.classStats(s.Class)
	switch {
	case a.StopRequested:
		return now + a.StopGrace/2 + stopDelay
	case a.State == state.AttemptRunning:
		if remaining := class.remainingRuntime(s, now-a.StartedAt); remaining < protocol.Forever {
			return now + remaining
		}
	case s.Kind != protocol.Service:
		return max(now, a.ExpectedReady) + class.estimatedRuntime(s)
	}
	return protocol.Forever
}
