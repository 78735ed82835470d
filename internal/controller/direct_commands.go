package controller

import (
	"net/http"
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

const (
	// commandTimeout is the timeout of a direct command.
	commandTimeout = 2 * protocol.Second
	// commandRetryDelay is how long a host gets no direct commands after it did not respond to one.
	commandRetryDelay = 8 * protocol.Second
	// maxCommandsInFlight bounds the direct commands that are in flight: each takes a socket.
	// Commands beyond the limit are sent in the replies to the next heartbeats.
	maxCommandsInFlight = 64
)

// queueCommands queues a host for a direct command.
func (cs *commandSender) queueCommands(h *state.Host) {
	if !h.Commands.Queued {
		h.Commands.Queued = true
		cs.queue = append(cs.queue, h)
	}
}

// sendQueuedCommands sends direct commands to the queued hosts.
func (cs *commandSender) sendQueuedCommands() {
	waiting := cs.queue[:0]
	for i, h := range cs.queue {
		if cs.inFlight >= maxCommandsInFlight {
			waiting = append(waiting, cs.queue[i:]...)
			break
		}
		awaitsLease := cs.election.role == RoleLeaseUncertain && !slices.ContainsFunc(h.Attempts(), isJobCancelled)
		if h.Commands.InFlight || awaitsLease {
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

// acceptsDirectCommands reports whether the leader sends direct commands to a host. If not, the
// commands are sent in the reply to the host's next heartbeat.
func (cs *commandSender) acceptsDirectCommands(h *state.Host) bool {
	if cs.now.Steady < h.Commands.RetryAt || h.Addr == "" || h.State != state.HostReady || !h.Reconciled {
		return false
	}
	return cs.scheduler.isSchedulable(h) || h.Interruption.Noticed || cs.hosts.missesHeartbeats(h)
}

// sendCommandsTo sends a host the stops and launches that have not been sent yet.
func (cs *commandSender) sendCommandsTo(h *state.Host) {
	var commands []protocol.Command
	for _, a := range h.Attempts() {
		unsent := a.StopRequested && a.StopSentAt == 0 && a.State.MayRun() && a.State != state.AttemptLaunched
		if unsent && len(commands) < protocol.MaxCommands && (cs.election.role == RoleLeader || isJobCancelled(a)) {
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

// sendCommands sends direct commands to a host. Launches are uncertain until the worker responds:
// it may execute them at any time in the same agent epoch, even long after the call of this
// controller has timed out.
func (cs *commandSender) sendCommands(h *state.Host, commands []protocol.Command, launched []*state.Attempt) {
	h.Commands.InFlight = true
	cs.inFlight++
	for _, a := range launched {
		a.LaunchUncertain, a.LaunchedByHeartbeat = true, false
		a.LaunchAgentEpoch, a.LaunchSequence = h.Agent.Epoch, h.Agent.Sequence
		cs.cluster.SetAttemptState(cs.now.Steady, a, state.AttemptLaunched)
	}
	h.Commands.Token, h.Commands.OrdersSent = cs.token(h), true
	cs.logCommands(h, sentDirectly, commands)
	body := protocol.AppendCommands(nil, h.Commands.Token, h.Agent.Epoch, commands)
	cs.sendToWorker(h.Addr, body, commandTimeout, func(r CallResult) {
		if cs.ended() {
			return
		}
		h.Commands.InFlight = false
		cs.inFlight--
		if heartbeat := cs.parseCommandResponse(h, r); heartbeat != nil {
			confirmLaunches(launched, heartbeat)
			cs.applyCommandResponse(h, heartbeat)
			return
		}
		cs.onUnansweredCommands(h, r, launched)
	})
}

// confirmLaunches records that a worker responded to launches: the heartbeat in the response, and
// every later message of the worker, reflects them.
func confirmLaunches(launched []*state.Attempt, heartbeat *protocol.Heartbeat) {
	for _, a := range launched {
		a.LaunchUncertain = false
		a.LaunchAgentEpoch, a.LaunchSequence = heartbeat.AgentEpoch, heartbeat.Sequence-1
	}
}

// onUnansweredCommands handles commands to which a host did not respond. Launches that were never
// sent are withdrawn; the others stay uncertain.
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

// parseCommandResponse parses the heartbeat in a worker's response to a direct command. It returns
// nil if the response contains none.
func (cs *commandSender) parseCommandResponse(h *state.Host, r CallResult) *protocol.Heartbeat {
	if r.Status != http.StatusOK && r.Status != http.StatusConflict {
		return nil
	}
	if r.Status == http.StatusConflict {
		cs.stats.RefusedCommands++
	}
	heartbeat, err := protocol.ParseHeartbeat(r.Body)
	if err != nil || heartbeat.Host != h.Name {
		cs.logMalformed("worker", err)
		return nil
	}
	return heartbeat
}

// applyCommandResponse applies the heartbeat in the response to a direct command, unless a newer
// one has been applied. It reports whether this controller is still the leader.
func (cs *commandSender) applyCommandResponse(h *state.Host, heartbeat *protocol.Heartbeat) bool {
	if heartbeat.SeenEpoch > cs.epoch {
		cs.election.stepDownSuperseded("a worker has seen a newer epoch")
		return false
	}
	if cs.cluster.Host(h.Name) == h && !h.IsStaleHeartbeat(heartbeat) {
		cs.agents.applyHeartbeat(h, heartbeat, true)
	}
	return true
}
