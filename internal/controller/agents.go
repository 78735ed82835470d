package controller

import (
	"net/http"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// agents applies the workers' heartbeats to the cluster state: to their hosts, and to the
// attempts that run there.
type agents struct {
	*termContext
	catalog      *machineCatalog
	commands     *commandSender
	dependencies *dependencyGraph
	election     *election
	estimates    *machineEstimates
	faults       *faultTracker
	jobs         *jobManager
	peers        *peerMonitor
	prober       *prober
	records      *recordStore
	scheduler    *scheduler
	workload     *workload
}

// onHeartbeat handles a worker's heartbeat and replies with the commands for its host.
func (ag *agents) onHeartbeat(e WorkerHeartbeat, hb *protocol.Heartbeat) {
	if hb.SeenEpoch > ag.epoch {
		ag.election.stepDownSuperseded("a worker has seen a newer epoch")
		ag.reply(e.Reply, http.StatusMisdirectedRequest, protocol.LeaderBody(""))
		return
	}
	if _, released := ag.releasedHosts[hb.Host]; released {
		ag.refuse(e.Reply, refusalHostReleased)
		return
	}
	h := ag.cluster.Host(hb.Host)
	if h == nil {
		h = ag.addReportingHost(hb)
	}
	if h.IsStaleHeartbeat(hb) {
		// The heartbeat was delayed, or it crossed the response to a direct command. In the second
		// case the worker still waits for a reply, so the leader sends one, but the cluster state
		// does not change. A worker's lease runs from the time at which it sent the heartbeat that
		// is replied to. It sent this one before the newer message that the leader already has, so
		// replies to any number of copies renew the lease only from the time of that message.
		if hb.AgentEpoch == h.Agent.Epoch {
			h.Agent.LeaseRenewedAt = max(h.Agent.LeaseRenewedAt, h.Agent.LastContact)
		}
		ag.replyCommands(e.Reply, ag.commands.token(h), nil)
		return
	}
	ag.updateRoute(h, e)
	ag.applyHeartbeat(h, hb, false)
	commands := ag.commands.heartbeatCommands(h)
	h.Agent.LeaseRenewedAt = max(h.Agent.LeaseRenewedAt, ag.now.Steady)
	h.Agent.RepliedAt = ag.now.Steady
	ag.replyCommands(e.Reply, ag.commands.token(h), commands)
}

// addReportingHost adds a host that was not in the cluster state when its heartbeat arrived.
func (ag *agents) addReportingHost(hb *protocol.Heartbeat) *state.Host {
	h := state.NewHost(ag.now.Steady, hb.Host, hb.Type, hb.Zone, hb.Spot)
	h.Type = ag.catalog.byName[hb.Type]
	h.Unverified, h.Addr = !ag.hasSeenTerm(hb), hb.Addr
	ag.cluster.AddHost(h)
	ag.prober.queueProbe(h)
	ag.log.Debug("heartbeat from a host that was not rented in this term", "host", hb.Host)
	return h
}

// updateRoute records whether a host's heartbeats reach the leader directly or are forwarded by
// another controller, and whether its worker can't reach the leader.
func (ag *agents) updateRoute(h *state.Host, e WorkerHeartbeat) {
	if !e.Reply.Peer {
		h.Agent.LeaderUnreachableAt, h.Agent.ForwardedAt = 0, 0
		return
	}
	h.Agent.ForwardedAt = ag.now.Steady
	if e.ReturnedFromLeader {
		h.Agent.LeaderUnreachableAt = ag.now.Steady
	}
}

// applyHeartbeat updates the cluster state from a heartbeat that is newer than the host's last
// message. direct is true if the heartbeat is the response to a direct command.
func (ag *agents) applyHeartbeat(h *state.Host, hb *protocol.Heartbeat, direct bool) {
	if h.Agent.Epoch > 0 && hb.AgentEpoch > h.Agent.Epoch {
		// The worker's lease expired: it has killed all its tasks and kept no record of them.
		ag.loseAttemptsBefore(h, hb.AgentEpoch)
	}
	ag.countIneffectiveMessages(h, hb, direct)
	ag.boundLease(h, hb)
	ag.updateHost(h, hb)
	ag.updateInterruption(h, hb)
	ag.applyTasks(h, hb, direct)
	ag.loseMissingAttempts(h, hb, direct)
	ag.loseEarlierAttempts(h, hb, direct)
	ag.updateIdleSince(h)
}

// countIneffectiveMessages counts the consecutive replies and commands to a worker that had no
// effect, see ignoresCommands.
func (ag *agents) countIneffectiveMessages(h *state.Host, hb *protocol.Heartbeat, direct bool) {
	now := ag.now.Steady
	if hb.AgentEpoch > h.Agent.Epoch && h.Agent.RepliedAt > 0 && now <= h.Agent.RepliedAt+ag.platform.WorkerLease {
		// The reply, had it arrived, would have renewed the lease.
		h.Commands.Ineffective = ineffectiveMessagesLimit
	}
	if direct {
		h.Commands.Ineffective = 0
		return
	}
	h.Agent.HeartbeatAt = now
	if !ag.hasSeenTerm(hb) && h.Agent.RepliedAt > 0 {
		// The leader has replied under this epoch, but the worker has not seen it.
		h.Commands.Ineffective++
	}
}

// boundLease bounds the latest time at which any controller may have renewed a worker's lease.
func (ag *agents) boundLease(h *state.Host, hb *protocol.Heartbeat) {
	now := ag.now.Steady
	if hb.AgentEpoch > h.Agent.Epoch {
		// The lease of an agent epoch runs from the start of the epoch, which may be now. If it
		// were counted from a reply to the previous epoch, a task launched by a direct command
		// would be considered lost before it had started, and would be started on another host
		// as well.
		h.Agent.LeaseRenewedAt = max(h.Agent.LeaseRenewedAt, now)
	}
	if ag.hasSeenTerm(hb) {
		// The worker now ignores the replies of earlier leaders. Without this bound, a host that
		// falls silent after a failover would hold its resources until the earlier leader has
		// certainly stopped replying.
		h.Agent.LeaseRenewedAt = min(h.Agent.LeaseRenewedAt, now)
	}
}

// updateHost records that a host is up, and updates its data from the heartbeat.
func (ag *agents) updateHost(h *state.Host, hb *protocol.Heartbeat) {
	h.Agent.Epoch, h.Agent.Sequence, h.Agent.LastContact = hb.AgentEpoch, hb.Sequence, ag.now.Steady
	h.Agent.HeartbeatCount++
	h.Probe.Failed = false
	h.Addr = hb.Addr
	ag.commands.observeToken(h, hb.SeenEpoch)
	if h.Type == nil {
		h.Type, h.Stale = ag.catalog.byName[hb.Type], true
	}
	if h.State == state.HostBooting || h.State == state.HostSilent {
		if h.State == state.HostBooting && h.Rented {
			// The start of a boot is known only for hosts that were rented in this term.
			ag.estimates.observeBoot(h, ag.now.Steady)
		}
		h.SetState(state.HostReady)
		ag.records.recordHost(h)
		ag.cycleNeeded = true
	}
	// Tasks are launched on a host only after the host has been recorded. So a host without a
	// record from an earlier epoch has no tasks, whichever epoch its worker has seen. If the
	// leader waited for its next heartbeat, plans would not include the host's resources, and
	// more machines would be rented in its place. A host that is in neither the records nor the
	// cloud's machine list is probed first: the heartbeat may be a delayed copy from a machine
	// that is gone.
	hasNoTasks := !h.Record.FromEarlierEpoch && !h.Unverified
	if !h.Reconciled && (ag.hasSeenTerm(hb) || hasNoTasks) {
		h.Reconciled = true
		ag.cycleNeeded = true
	}
}

// updateInterruption updates the notice that a spot machine will be interrupted.
func (ag *agents) updateInterruption(h *state.Host, hb *protocol.Heartbeat) {
	if !hb.Interrupted && !h.Interruption.Noticed {
		return
	}
	if !h.Interruption.Noticed {
		ag.cycleNeeded = true
		ag.log.Info("spot machine will be interrupted", "host", h.Name, "in_ms", int64(hb.InterruptedIn/protocol.Millisecond))
	}
	h.Interruption = state.Interruption{Noticed: hb.Interrupted, At: ag.now.Steady + hb.InterruptedIn}
}

// applyTasks updates the attempts on a host from the tasks that a heartbeat lists.
func (ag *agents) applyTasks(h *state.Host, hb *protocol.Heartbeat, direct bool) {
	seenThisEpoch := ag.hasSeenTerm(hb)
	for i := range hb.Tasks {
		task := &hb.Tasks[i]
		a := h.Find(task.AttemptName)
		if !seenThisEpoch && !ag.isProvenByEarlierEpoch(a, *task) {
			ag.observeUnprovenTask(hb, *task)
			continue
		}
		if a == nil {
			a = ag.adoptAttempt(h, *task)
		}
		a.LastHeartbeat = h.Agent.HeartbeatCount
		if a.LaunchAgentEpoch == 0 && (seenThisEpoch || direct || a.IsLaunchedOnce()) {
			a.LaunchAgentEpoch = hb.AgentEpoch // or an earlier agent epoch
		}
		if a.State == state.AttemptLaunched {
			h.Commands.Ineffective = 0 // the launch arrived
		}
		ag.observeAttempt(a, *task)
	}
}

// loseMissingAttempts handles the attempts that a heartbeat proves to be gone: it does not list
// them, although it is newer than their launches.
func (ag *agents) loseMissingAttempts(h *state.Host, hb *protocol.Heartbeat, direct bool) {
	seenThisEpoch := ag.hasSeenTerm(hb)
	launchMissed := false
	for _, a := range h.Attempts() {
		if a.LastHeartbeat == h.Agent.HeartbeatCount || a.State == state.AttemptAssigned {
			continue
		}
		if a.State == state.AttemptExited {
			ag.cluster.SetAttemptState(ag.now.Steady, a, state.AttemptGone)
			continue
		}
		if !a.State.MayRun() {
			continue
		}
		if a.LaunchAgentEpoch == 0 && (seenThisEpoch || direct) {
			// An earlier leader sent the launch before the worker sent this message.
			a.LaunchAgentEpoch = hb.AgentEpoch
		}
		if !seenThisEpoch || launchMayBeInTransit(a, hb, direct) {
			// The launch may still be in transit. A worker that has not seen this epoch also still
			// accepts commands of the previous one. So the attempt may yet appear on the host.
			continue
		}
		if a.State == state.AttemptLaunched && a.LaunchedByHeartbeat && !launchMissed {
			launchMissed = true
			h.Commands.Ineffective++
		}
		ag.log.Debug("attempt is missing from its host's heartbeat", "task", a.Name.String(), "host", h.Name, "state", a.State.String())
		ag.onAttemptLost(a)
	}
}

// launchMayBeInTransit reports whether the launch of an attempt that a heartbeat does not list may
// still be on its way to the worker.
func launchMayBeInTransit(a *state.Attempt, hb *protocol.Heartbeat, direct bool) bool {
	if a.State == state.AttemptLaunched && !hb.NewerThan(a.LaunchAgentEpoch, a.LaunchSequence) || a.LaunchUncertain {
		return true
	}
	// The reply that contained the launch may have crossed this message. Only the next heartbeat
	// is certainly sent after that reply.
	return a.State == state.AttemptLaunched && a.LaunchedByHeartbeat && direct
}

// updateIdleSince sets the start of a host's idle time to now if the host has work that retains
// it.
func (ag *agents) updateIdleSince(h *state.Host) {
	if ag.scheduler.hasRetainingWork(h) {
		h.IdleSince = ag.now.Steady
	}
}
