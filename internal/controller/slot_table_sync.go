package controller

import (
	"mapleslip/internal/configuration"
	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// refreshSlotTable brings the rows up to date whose machine changed, or whose
// estimates ran out.
func (sc *scheduler) refreshSlotTable() {
	at := sc.now.Steady
	sc.slotTable.Now = at
	for _, h := range sc.cluster.Hosts() {
		if h.Type == nil || h.State == state.HostGone || h.State == state.HostReleasing {
			if sc.machines[h] != nil {
				sc.withdrawAssignments(h)
				sc.removeMachine(h)
			}
			continue
		}
		m := sc.machines[h]
		usable := sc.isSchedulable(h)
		booting := h.State == state.HostBooting && !h.Record.FromEarlierEpoch
		if m == nil {
			typ := h.Type
			m = &slottable.Machine{
				Name: h.Name, Type: h.TypeName, Zone: h.Zone, Spot: h.Spot, Offer: typ.Capacity,
				Fetch: func(size int64) micros { return sc.estimates.fetchTime(typ, size) },
			}
			sc.machines[h] = m
			sc.slotTable.Add(m)
			h.Stale = true
		}
		if !usable && !m.Blocked {
			sc.withdrawAssignments(h)
		}
		if h.Stale || booting || m.Blocked == usable || m.NextEnd() <= at {
			sc.refreshMachine(h, m, usable, booting)
		}
	}
}

// removeMachine takes a host's row out of the table.
func (sc *scheduler) removeMachine(h *state.Host) {
	if m := sc.machines[h]; m != nil {
		sc.slotTable.Remove(m)
		delete(sc.machines, h)
	}
}

// withdrawAssignments takes back assignments whose host can't be reached or is leaving.
func (sc *scheduler) withdrawAssignments(h *state.Host) {
	for _, a := range h.Attempts() {
		if a.State == state.AttemptAssigned {
			sc.agents.onAttemptLost(a)
		}
	}
}

// isSchedulable reports whether tasks may be put on a host.
func (sc *scheduler) isSchedulable(h *state.Host) bool {
	at := sc.now.Steady
	return h.State == state.HostReady && h.Reconciled && h.Type != nil && !h.Interruption.Noticed && !ignoresCommands(h) && !sc.hosts.missesHeartbeats(h) && sc.config.drainOf(h) == configuration.NotDrained &&
		at >= h.Quarantine.Until && at >= h.FullUntil && at-h.Agent.LastContact < 2*sc.platform.HeartbeatInterval+protocol.Second
}

// refreshMachine makes a host's row from what is known of it.
func (sc *scheduler) refreshMachine(h *state.Host, m *slottable.Machine, usable, booting bool) {
	at := sc.now.Steady
	table := &sc.slotTable
	h.Stale = false
	m.Reset()
	m.From = at
	switch {
	case usable:
	case booting && sc.config.drainOf(h) == configuration.NotDrained:
		m.From = sc.estimates.expectedBootEnd(h)
	default:
		m.Blocked = true
	}
	if h.RuntimeRatio > 1.8 {
		m.Penalty = micros((h.RuntimeRatio - 1) * 10 * float64(protocol.Second))
	}
	if len(h.Quarantine.SuspectedBy) > 0 {
		m.Penalty += 10 * protocol.Second
	}
	m.Unheld = !h.Spot && !sc.hasRetainingWork(h)
	for name := range h.Images {
		table.AddImage(m, name, 0)
	}
	var gives protocol.Resources
	for _, a := range h.Attempts() {
		if !a.State.HoldsResources() || a.Job == nil {
			continue
		}
		s := a.Job.Spec
		k := sc.workload.classStats(s.Class)
		till := protocol.Forever
		switch {
		case a.StopRequested:
			till = at + a.StopGrace/2 + protocol.Second
		case a.State == state.AttemptRunning:
			if r := k.remainingRuntime(s, at-a.StartedAt); r < protocol.Forever {
				till = at + r
			}
		case s.Kind != protocol.Service:
			till = max(at, a.ExpectedReady) + k.estimatedRuntime(s)
		}
		m.Occupy(slottable.Span{From: at, To: till, Need: s.TaskResources, Guest: isOpportunistic(a.Job)})
		if a.StopRequested || sc.isPreemptible(a.Job) {
			gives = gives.Add(s.TaskResources, 1)
		}
		if a.State == state.AttemptAssigned || a.State == state.AttemptLaunched || a.State == state.AttemptFetching {
			if !table.HasImage(m, s.Image) {
				table.AddImage(m, s.Image, max(a.ExpectedReady, at+protocol.Second))
			}
		}
	}
	if usable {
		m.Makes = h.Type.Capacity.Add(h.Used(), -1).Add(gives, 1)
	}
	table.Update(m)
}
