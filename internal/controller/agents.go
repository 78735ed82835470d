package controller

import (
	"net/http"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// agents brings the cluster state to what workers report of their hosts and tasks.
type agents struct {
	*termContext
	catalog      *machineCatalog
	commands     *commandSender
	dependencies *dependencyGraph
	election     *election
	estimates    *machineEstimates
	faults       *faultTracker
	jobs         *jobManager
	prober       *prober
	records      *recordStore
	scheduler    *scheduler
	workload     *workload
}

// onHeartbeat handles a heartbeat to the leader.
func (ag *agents) onHeartbeat(e WorkerHeartbeat, r *protocol.Heartbeat) {
	if r.Token > ag.epoch {
		ag.election.stepDownSuperseded("a worker has seen a newer epoch")
		ag.reply(e.Reply, http.StatusMisdirectedRequest, protocol.LeaderBody(""))
		return
	}
	if _, released := ag.releasedHosts[r.Host]; released {
		ag.refuse(e.Reply, refusalHostReleased)
		return
	}
	h := ag.cluster.Host(r.Host)
	if h == nil {
		h = ag.addReportingHost(r)
	}
	if h.IsStale(r) {
		// The heartbeat was delayed, or crossed the answer to a direct command. In the second
		// case the worker still waits, so it is answered, but the cluster state stays as it is.
		// A worker's lease runs from when it sent what is answered, and that was before the
		// newer message: a copy that comes again and again proves no more.
		if r.AgentEpoch == h.Agent.Epoch {
			h.Agent.LeaseRenewedAt = max(h.Agent.LeaseRenewedAt, h.Agent.LastContact)
		}
		ag.replyCommands(e.Reply, ag.epoch, nil)
		return
	}
	ag.noteRoute(h, e)
	ag.applyHeartbeat(h, r, false)
	commands := ag.commands.heartbeatCommands(h)
	h.Agent.LeaseRenewedAt = max(h.Agent.LeaseRenewedAt, ag.now.Steady)
	h.Agent.RepliedAt = ag.now.Steady
	ag.replyCommands(e.Reply, ag.epoch, commands)
}

// addReportingHost adds a host that was not known before it reported.
func (ag *agents) addReportingHost(r *protocol.Heartbeat) *state.Host {
	h := state.NewHost(ag.now.Steady, r.Host, r.Type, r.Zone, r.Spot)
	h.Type = ag.catalog.byName[r.Type]
	h.Unverified, h.Addr = r.Token != ag.epoch, r.Addr
	ag.cluster.AddHost(h)
	ag.prober.queueProbe(h)
	ag.log.Debug("host reports that was not rented in this term", "host", r.Host)
	return h
}

// noteRoute notes whether a host's heartbeats come directly.
func (ag *agents) noteRoute(h *state.Host, e WorkerHeartbeat) {
	if !e.Reply.Peer {
		h.Agent.LeaderUnreachableAt, h.Agent.ForwardedAt = 0, 0
		return
	}
	h.Agent.ForwardedAt = ag.now.Steady
	if e.ReturnedFromLeader {
		h.Agent.LeaderUnreachableAt = ag.now.Steady
	}
}

// applyHeartbeat brings the cluster state to what a newer heartbeat says. direct tells that it
// answers a direct command.
func (ag *agents) applyHeartbeat(h *state.Host, r *protocol.Heartbeat, direct bool) {
	if h.Agent.Epoch > 0 && r.AgentEpoch > h.Agent.Epoch {
		// The worker's lease expired: it has killed and forgotten everything.
		ag.loseAttemptsBefore(h, r.AgentEpoch)
	}
	ag.countIneffectiveMessages(h, r, direct)
	ag.boundLease(h, r)
	ag.updateHost(h, r)
	ag.updateInterruption(h, r)
	ag.applyTasks(h, r)
	ag.loseMissingAttempts(h, r, direct)
	ag.updateIdleSince(h)
}

// countIneffectiveMessages notes whether what was said to a worker shows an effect, see
// ignoresCommands.
func (ag *agents) countIneffectiveMessages(h *state.Host, r *protocol.Heartbeat, direct bool) {
	now := ag.now.Steady
	if r.AgentEpoch > h.Agent.Epoch && h.Agent.RepliedAt > 0 && now <= h.Agent.RepliedAt+ag.platform.WorkerLease {
		h.Commands.Ineffective = ineffectiveMessagesLimit // the answer would have kept its lease
	}
	if direct {
		h.Commands.Ineffective = 0
		return
	}
	h.Agent.HeartbeatAt = now
	if r.Token < ag.epoch && h.Agent.RepliedAt > 0 {
		h.Commands.Ineffective++ // it was answered under this epoch, and has not seen it
	}
}

// boundLease keeps the latest time at which anyone may have renewed a worker's lease.
func (ag *agents) boundLease(h *state.Host, r *protocol.Heartbeat) {
	now := ag.now.Steady
	if r.AgentEpoch > h.Agent.Epoch {
		// The lease of an agent epoch runs from its beginning, which may be now. Counted from
		// an answer to the epoch before, a task that was launched by a direct command would
		// count as gone before it had begun, and be started elsewhere too.
		h.Agent.LeaseRenewedAt = max(h.Agent.LeaseRenewedAt, now)
	}
	if r.Token == ag.epoch {
		// It drops what an earlier leader may go on answering. Otherwise a host that falls
		// silent after a failover holds its resources until that leader has certainly stopped.
		h.Agent.LeaseRenewedAt = min(h.Agent.LeaseRenewedAt, now)
	}
}

// updateHost notes that a host is up, and what is known of it.
func (ag *agents) updateHost(h *state.Host, r *protocol.Heartbeat) {
	h.Agent.Epoch, h.Agent.Sequence, h.Agent.LastContact = r.AgentEpoch, r.Sequence, ag.now.Steady
	h.Agent.HeartbeatCount++
	h.Probe.Failed = false
	h.Addr = r.Addr
	if h.Type == nil {
		h.Type, h.Stale = ag.catalog.byName[r.Type], true
	}
	if h.State == state.HostBooting || h.State == state.HostSilent {
		if h.State == state.HostBooting && h.Rented {
			// A host that was there before this leader says nothing of how long boots take.
			ag.estimates.observeBoot(h, ag.now.Steady)
		}
		h.SetState(state.HostReady)
		ag.records.recordHost(h)
		ag.cycleNeeded = true
	}
	// Nothing is ever launched on a host before it is recorded, so one that was not holds
	// nothing, whatever epoch it has seen. To wait for its next heartbeat would have its
	// resources missing from the plans, and more machines rented in its place. One that is in
	// no record and no list may be a late copy's, of a machine that is gone: it is probed first.
	holdsNothing := !h.Record.FromEarlierEpoch && !h.Unverified
	if !h.Reconciled && (r.Token == ag.epoch || holdsNothing) {
		h.Reconciled = true
		ag.cycleNeeded = true
	}
}

// updateInterruption notes that a spot machine will be interrupted.
func (ag *agents) updateInterruption(h *state.Host, r *protocol.Heartbeat) {
	if !r.Interrupted && !h.Interruption.Noticed {
		return
	}
	if !h.Interruption.Noticed {
		ag.cycleNeeded = true
		ag.log.Info("spot machine will be interrupted", "host", h.Name, "in_ms", int64(r.InterruptedIn/protocol.Millisecond))
	}
	h.Interruption = state.Interruption{Noticed: r.Interrupted, At: ag.now.Steady + r.InterruptedIn}
}

// applyTasks takes what a heartbeat says of the tasks on a host.
func (ag *agents) applyTasks(h *state.Host, r *protocol.Heartbeat) {
	current := r.Token == ag.epoch
	for i := range r.Tasks {
		task := &r.Tasks[i]
		a := h.Find(task.AttemptName)
		if a == nil {
			if completed := task.State == protocol.TaskExited && task.Reason == protocol.ExitDone; !current && !ag.launchesUnrecorded && !completed {
				// Whatever may be on a host is in a record. This isn't: the heartbeat is older
				// than the end of the attempt, a late copy mostly. If the task is there the next
				// heartbeat says so again. A result stays true.
				continue
			}
			a = ag.adoptAttempt(h, *task)
		}
		a.LastHeartbeat = h.Agent.HeartbeatCount
		if a.LaunchAgentEpoch == 0 {
			a.LaunchAgentEpoch = r.AgentEpoch // or an earlier one
		}
		if a.State == state.AttemptLaunched {
			h.Commands.Ineffective = 0 // the launch arrived
		}
		ag.observeAttempt(a, *task)
	}
}

// loseMissingAttempts finds the attempts that a heartbeat shows to be gone: it does not list
// them, and it was made after their launches.
func (ag *agents) loseMissingAttempts(h *state.Host, r *protocol.Heartbeat, direct bool) {
	current := r.Token == ag.epoch
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
		if a.LaunchAgentEpoch == 0 && (current || direct) {
			a.LaunchAgentEpoch = r.AgentEpoch // an earlier leader launched it, before this message was made
		}
		if !current || mayArriveYet(a, r, direct) {
			// A worker that has not seen this epoch may still get commands of the one before:
			// absence proves nothing yet.
			continue
		}
		if a.State == state.AttemptLaunched && a.LaunchedByHeartbeat && !launchMissed {
			launchMissed = true
			h.Commands.Ineffective++
		}
		ag.log.Debug("attempt is not on its host", "task", a.Name.String(), "host", h.Name, "state", a.State.String())
		ag.onAttemptLost(a)
	}
}

// mayArriveYet reports whether the launch of an attempt that a heartbeat does not list may
// still be on its way.
func mayArriveYet(a *state.Attempt, r *protocol.Heartbeat, direct bool) bool {
	if a.State == state.AttemptLaunched && !r.NewerThan(a.LaunchAgentEpoch, a.LaunchSequence) || a.LaunchUncertain {
		return true
	}
	// The answer with the launch and this message may have crossed. Only the next heartbeat
	// certainly comes after it.
	return a.State == state.AttemptLaunched && a.LaunchedByHeartbeat && direct
}

// updateIdleSince notes that a host is not idle.
func (ag *agents) updateIdleSince(h *state.Host) {
	if ag.scheduler.hasRetainingWork(h) {
		h.IdleSince = ag.now.Steady
	}
}
