package controller

import (
	"net/http"
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

const (
	// commandTimeout is how long a worker has to answer a direct command.
	commandTimeout = 2 * protocol.Second
	// commandRetryDelay is how long no direct commands are sent to a host that did not answer.
	commandRetryDelay = 8 * protocol.Second
	// maxCommandsInFlight bounds the direct commands on their way: each takes a socket, and
	// what does not get its turn goes with the answer to a heartbeat.
	maxCommandsInFlight = 64
)

// queueCommands notes that commands wait for a host.
func (cs *commandSender) queueCommands(h *state.Host) {
	if !h.Commands.Queued {
		h.Commands.Queued = true
		cs.queue = append(cs.queue, h)
	}
}

// sendQueuedCommands sends the commands that should not wait for the next heartbeat.
func (cs *commandSender) sendQueuedCommands() {
	waiting := cs.queue[:0]
	for i, h := range cs.queue {
		if cs.inFlight >= maxCommandsInFlight {
			waiting = append(waiting, cs.queue[i:]...)
			break
		}
		uncertain := cs.election.role == RoleLeaseUncertain && !slices.ContainsFunc(h.Attempts(), isCancelled)
		if h.Commands.InFlight || uncertain {
			waiting = append(waiting, h)
			continue
		}
		h.Commands.Queued = false
		if cs.acceptsDirectCommands(h) {
			cs.sendCommandsTo(h)
		}
	}
	cs.queue = waiting
}

// acceptsDirectCommands reports whether direct commands are sent to a host. Otherwise they go
// with the answer to its next heartbeat.
func (cs *commandSender) acceptsDirectCommands(h *state.Host) bool {
	if cs.now.Steady < h.Commands.RetryAt || h.Addr == "" || h.State != state.HostReady || !h.Reconciled {
		return false
	}
	return cs.scheduler.isSchedulable(h) || h.Interruption.Noticed || cs.hosts.missesHeartbeats(h)
}

// sendCommandsTo sends a host what waits for it.
func (cs *commandSender) sendCommandsTo(h *state.Host) {
	var commands []protocol.Command
	for _, a := range h.Attempts() {
		unsent := a.StopRequested && a.StopSentAt == 0 && a.State.MayRun() && a.State != state.AttemptLaunched
		if unsent && len(commands) < protocol.MaxCommands && (cs.election.role == RoleLeader || isCancelled(a)) {
			commands = append(commands, cs.stopCommand(a, a.StopGrace))
		}
	}
	var launched []*state.Attempt
	if cs.election.mayActAsLeader() {
		launched = cs.launchableAttempts(h, protocol.MaxCommands-len(commands))
	}
	for _, a := range launched {
		commands = append(commands, protocol.Command{Verb: protocol.VerbLaunch, Name: a.Name})
	}
	if len(commands) > 0 {
		cs.sendCommands(h, commands, launched)
	}
}

// sendCommands sends commands directly. Until they are answered the launches are uncertain: the
// worker may execute them at any time in the same agent epoch, also long after this controller
// has given up.
func (cs *commandSender) sendCommands(h *state.Host, commands []protocol.Command, launched []*state.Attempt) {
	h.Commands.InFlight = true
	cs.inFlight++
	for _, a := range launched {
		a.LaunchUncertain, a.LaunchedByHeartbeat = true, false
		a.LaunchAgentEpoch, a.LaunchSequence = h.Agent.Epoch, h.Agent.Sequence
		cs.cluster.SetAttemptState(cs.now.Steady, a, state.AttemptLaunched)
	}
	body := protocol.AppendCommands(nil, cs.epoch, h.Agent.Epoch, commands)
	cs.sendToWorker(h.Addr, body, commandTimeout, func(r CallResult) {
		if cs.ended() {
			return
		}
		h.Commands.InFlight = false
		cs.inFlight--
		if heartbeat := cs.parseCommandResponse(h, r); heartbeat != nil {
			settleLaunches(launched, heartbeat)
			cs.applyCommandResponse(h, heartbeat)
			return
		}
		cs.onUnansweredCommands(h, r, launched)
	})
}

// settleLaunches notes that launches were answered: any later message must show what came of
// them.
func settleLaunches(launched []*state.Attempt, heartbeat *protocol.Heartbeat) {
	for _, a := range launched {
		a.LaunchUncertain = false
		a.LaunchAgentEpoch, a.LaunchSequence = heartbeat.AgentEpoch, heartbeat.Sequence-1
	}
}

// onUnansweredCommands notes that a host has not answered commands. Launches that were not sent
// are taken back; those that were stay uncertain.
func (cs *commandSender) onUnansweredCommands(h *state.Host, r CallResult, launched []*state.Attempt) {
	h.Commands.RetryAt = cs.now.Steady + commandRetryDelay
	if !r.NotSent {
		h.Commands.Ineffective++
		return
	}
	for _, a := range launched {
		a.LaunchUncertain = false
	}
	for _, a := range launched {
		if a.State == state.AttemptLaunched {
			cs.agents.onAttemptLost(a)
		}
	}
}

// parseCommandResponse reads the heartbeat with which a worker answers a command, nil if there
// is none.
func (cs *commandSender) parseCommandResponse(h *state.Host, r CallResult) *protocol.Heartbeat {
	if r.Status != http.StatusOK && r.Status != http.StatusConflict {
		return nil
	}
	heartbeat, err := protocol.ParseHeartbeat(r.Body)
	if err != nil || heartbeat.Host != h.Name {
		cs.logMalformed("worker", err)
		return nil
	}
	return heartbeat
}

// applyCommandResponse takes the heartbeat that answered a command, unless a newer one came
// first. It reports whether this controller still leads.
func (cs *commandSender) applyCommandResponse(h *state.Host, heartbeat *protocol.Heartbeat) bool {
	if heartbeat.Token > cs.epoch {
		cs.election.stepDownSuperseded("a worker has seen a newer epoch")
		return false
	}
	if cs.cluster.Host(h.Name) == h && !h.IsStale(heartbeat) {
		cs.agents.applyHeartbeat(h, heartbeat, true)
	}
	return true
}
