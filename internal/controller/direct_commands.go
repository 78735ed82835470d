package controller

import (
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// queueCommands notes that commands wait for a host.
func (cs *commandSender) queueCommands(h *state.Host) {
	if !h.Commands.Queued {
		h.Commands.Queued = true
		cs.queue = append(cs.queue, h)
	}
}

// sendQueuedCommands sends commands that should not wait for the next report.
func (cs *commandSender) sendQueuedCommands() {
	at := cs.now.Steady
	waiting := cs.queue[:0]
	for i, h := range cs.queue {
		if cs.inFlight >= maxCommandsInFlight {
			waiting = append(waiting, cs.queue[i:]...)
			break
		}
		if h.Commands.InFlight {
			waiting = append(waiting, h)
			continue
		}
		if cs.election.role == RoleLeaseUncertain && !slices.ContainsFunc(h.Attempts(), isCancelled) {
			waiting = append(waiting, h) // until the lease certainly holds
			continue
		}
		h.Commands.Queued = false
		if at < h.Commands.RetryAt || h.Addr == "" || !cs.scheduler.isSchedulable(h) && !h.Interruption.Noticed && !cs.hosts.missesHeartbeats(h) || h.State != state.HostReady || !h.Reconciled {
			continue // they go with the answer to its next report
		}
		var cmds []protocol.Command
		for _, a := range h.Attempts() {
			if a.State.MayRun() && a.StopRequested && a.StopSentAt == 0 && a.State != state.AttemptLaunched && len(cmds) < protocol.MaxCommands && (cs.election.role == RoleLeader || isCancelled(a)) {
				cmds = append(cmds, cs.stopCommand(a, a.StopGrace))
			}
		}
		var launched []*state.Attempt
		if cs.election.mayActAsLeader() {
			launched = cs.launchableAttempts(h, protocol.MaxCommands-len(cmds))
		}
		for _, a := range launched {
			cmds = append(cmds, protocol.Command{Verb: protocol.VerbLaunch, Name: a.Name})
		}
		if len(cmds) > 0 {
			cs.sendCommands(h, cmds, launched)
		}
	}
	cs.queue = waiting
}

// sendCommands sends a direct command. Until it is answered its launches are in
// doubt: the worker may execute them at any time in the same session, also
// long after this node has given up.
func (cs *commandSender) sendCommands(h *state.Host, cmds []protocol.Command, launched []*state.Attempt) {
	h.Commands.InFlight = true
	cs.inFlight++
	for _, a := range launched {
		a.LaunchUncertain, a.LaunchedByHeartbeat = true, false
		a.LaunchAgentEpoch, a.LaunchSequence = h.Agent.Epoch, h.Agent.Sequence
		cs.cluster.SetAttemptState(cs.now.Steady, a, state.AttemptLaunched)
	}
	body := protocol.AppendCommands(nil, cs.epoch, h.Agent.Epoch, cmds)
	cs.callAddress(ToWorker, "POST", h.Addr, "/commands", body, commandTimeout, func(r CallResult) {
		if cs.ended() {
			return
		}
		h.Commands.InFlight = false
		cs.inFlight--
		report := cs.parseCommandResponse(h, r)
		if report == nil {
			h.Commands.RetryAt = cs.now.Steady + 8*protocol.Second
			if !r.NotSent {
				h.Commands.Ineffective++
				return
			}
		}
		for _, a := range launched {
			a.LaunchUncertain = false
			if report != nil {
				// Any later message must show what came of the launch.
				a.LaunchAgentEpoch, a.LaunchSequence = report.AgentEpoch, report.Sequence-1
			}
		}
		if report == nil {
			for _, a := range launched {
				if a.State == state.AttemptLaunched {
					cs.agents.onAttemptLost(a) // never left
				}
			}
			return
		}
		cs.applyCommandResponse(h, report)
	})
}

// parseCommandResponse reads the report with which a worker answers a call, or nil.
func (cs *commandSender) parseCommandResponse(h *state.Host, r CallResult) *protocol.Heartbeat {
	if r.Status != 200 && r.Status != 409 {
		return nil
	}
	report, err := protocol.ParseHeartbeat(r.Body)
	if err != nil || report.Host != h.Name {
		cs.logMalformed("worker", err)
		return nil
	}
	return report
}

// applyCommandResponse takes the report that answered a call, unless a newer one came
// first. It tells whether this node still leads.
func (cs *commandSender) applyCommandResponse(h *state.Host, report *protocol.Heartbeat) bool {
	if report.Token > cs.epoch {
		cs.election.stepDownSuperseded("a worker has seen a newer epoch")
		return false
	}
	if cs.cluster.Host(h.Name) == h && !h.IsStale(report) {
		cs.agents.applyHeartbeat(h, report, true)
	}
	return true
}
