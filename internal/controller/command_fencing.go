package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// A worker executes a copy of a direct command for as long as the token and the agent epoch in it
// match, and it ignores a launch that it has executed only until it is told to forget the attempt.
// So an attempt is forgotten under a higher token than that of every direct command that was sent
// to the worker before. Commands in the reply to a heartbeat need no such protection: the worker
// drops replies that are late.

// token returns the fencing token of the next message to a host.
func (cs *commandSender) token(h *state.Host) uint64 {
	return max(cs.tokens.First, h.Commands.Token)
}

// observeToken takes over a token of this term that the worker has seen and that is higher than the
// one known here. If the host was removed from the cluster state and added again, direct commands
// may have been sent under that token.
func (cs *commandSender) observeToken(h *state.Host, seen uint64) {
	if cs.tokens.Contains(seen) && seen > h.Commands.Token {
		h.Commands.Token, h.Commands.OrdersSent = seen, true
	}
}

// fenceDirectCommands ensures that the token of the next message to a host is higher than that of
// every direct command with orders that was sent to it. It reports whether that is so. A command in
// flight is not overtaken by a higher token, since the worker would refuse it.
func (cs *commandSender) fenceDirectCommands(h *state.Host) bool {
	switch {
	case !h.Commands.OrdersSent:
		return true
	case h.Commands.InFlight:
		return false
	case cs.token(h) >= cs.tokens.Last:
		cs.tokensExhausted = true
		return false
	}
	h.Commands.Token, h.Commands.OrdersSent = cs.token(h)+1, false
	cs.stats.TokenRaises++
	return true
}

// checkTokens steps down if the tokens for a worker are used up, since the next epoch has new ones. A
// version with one token for each epoch has none to raise and keeps its lease.
func (cs *commandSender) checkTokens() {
	if cs.tokensExhausted && cs.tokens.First < cs.tokens.Last {
		cs.log.Info("stepping down: the tokens of the epoch are used up", "epoch", cs.epoch)
		cs.election.stepDown()
	}
}

// logStopRequest logs that the leader decided to stop an attempt.
func (cs *commandSender) logStopRequest(a *state.Attempt, grace micros) {
	jobState := ""
	if a.Job != nil {
		jobState = a.Job.State.String()
	}
	cs.log.Debug("stop requested", "task", a.Name.String(), "try", a.Name.Number, "host", a.Host.Name, "state", a.State.String(),
		"job_state", jobState, "grace_ms", int64(grace/protocol.Millisecond), "epoch", cs.epoch)
}

// Ways in which commands are sent, for the log.
const (
	sentDirectly    = "direct command"
	sentInHeartbeat = "reply to a heartbeat"
)

// logCommands logs commands that are sent to a host.
func (cs *commandSender) logCommands(h *state.Host, way string, commands []protocol.Command) {
	for _, c := range commands {
		cs.log.Debug("command sent", "verb", c.Verb.String(), "task", c.Name.String(), "try", c.Name.Number, "host", h.Name,
			"token", cs.token(h), "agent_epoch", h.Agent.Epoch, "sequence", h.Agent.Sequence, "way", way)
	}
}
