package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// commandSender owns the commands to workers: what a heartbeat is answered with, and the
// direct commands that don't wait for the next one.
type commandSender struct {
	*termContext
	agents    *agents
	election  *election
	hosts     *hostMonitor
	scheduler *scheduler

	queue    []*state.Host // hosts that commands wait for
	inFlight int           // direct commands on their way
}

// ineffectiveMessagesLimit is how many answers and calls in a row show no effect when a machine counts
// as deaf: its reports arrive, and nothing that is said to it does. Silence does not show
// that, and a launch that is lost leaves its room free: the same task was launched there
// again and again, a gang's others waiting for it.
const ineffectiveMessagesLimit = 2

func ignoresCommands(h *state.Host) bool { return h.Commands.Ineffective >= ineffectiveMessagesLimit }

// commandTimeout is how long a worker has to answer a direct command.
const commandTimeout = 2 * protocol.Second

// maxCommandsInFlight bounds the direct commands on their way: each takes a socket, and
// what does not get its turn goes with the answer to a report.
const maxCommandsInFlight = 64

// requestStop asks for the end of an attempt.
func (cs *commandSender) requestStop(a *state.Attempt, grace micros) {
	switch {
	case a.State == state.AttemptAssigned:
		cs.agents.onAttemptLost(a) // no launch has left
	case a.State.MayRun():
		if a.StopRequested {
			grace = min(grace, a.StopGrace)
		}
		a.StopRequested, a.StopGrace = true, grace
		a.Host.Stale = true
		cs.queueCommands(a.Host)
	}
}

// heartbeatCommands is what a report is answered with.
func (cs *commandSender) heartbeatCommands(h *state.Host) []protocol.Command {
	if h.Reconciled && h.State == state.HostReleasing {
		// It was silent, and the cloud has not answered its release: it may report again
		// for as long as the cloud is down. Without a stop the tasks of cancelled jobs went
		// on, held their team's limit and had their users wait until the cloud was back.
		return cs.cancellationStops(h)
	}
	if !h.Reconciled || h.State != state.HostReady {
		return nil
	}
	if !cs.election.mayActAsLeader() {
		// While the lease could have ended, workers only get their own
		// lease renewed, for a time that the leader's record names.
		return cs.cancellationStops(h)
	}
	at := cs.now.Steady
	var cmds []protocol.Command
	for _, a := range h.Attempts() {
		if len(cmds) >= protocol.MaxCommands {
			break
		}
		j := a.Job
		switch {
		case a.State == state.AttemptExited:
			// Results are durable before the worker may forget them.
			if a.ExitReason == protocol.ExitDone && j != nil && j.State <= state.JobFinishing && j.State != state.JobCancelledLegacy {
				if task := a.Task(); task != nil && task.State == state.TaskDone && !task.Durable {
					continue
				}
			}
			if a.LaunchUncertain {
				// A launch that comes late has no effect only as long as the
				// worker knows the attempt.
				continue
			}
			cmds = append(cmds, protocol.Command{Verb: protocol.VerbForget, Name: a.Name})
		case a.State.MayRun():
			if a.State == state.AttemptLaunched && a.LaunchUncertain && !h.Commands.InFlight {
				// In doubt: repeated to the same host, it has no effect twice.
				a.LaunchAgentEpoch, a.LaunchSequence = h.Agent.Epoch, h.Agent.Sequence
				cmds = append(cmds, protocol.Command{Verb: protocol.VerbLaunch, Name: a.Name})
			}
			if !a.StopRequested && (j == nil || j.State != state.JobActive) {
				a.StopRequested, a.StopGrace = true, 0
			}
			if a.StopRequested && !(a.State == state.AttemptCheckpointing && a.StopGrace > 0) {
				cmds = append(cmds, cs.stopCommand(a, a.StopGrace))
			}
		}
	}
	// Launches come after the stops that make room for them.
	for _, a := range cs.launchableAttempts(h, protocol.MaxCommands-len(cmds)) {
		a.LaunchAgentEpoch, a.LaunchSequence, a.LaunchedByHeartbeat = h.Agent.Epoch, h.Agent.Sequence, true
		cs.cluster.SetAttemptState(at, a, state.AttemptLaunched)
		cmds = append(cmds, protocol.Command{Verb: protocol.VerbLaunch, Name: a.Name})
	}
	return cmds
}

// cancellationStops is what a leader may say whose lease could have ended, and all that is said to a
// host that is being released.
func (cs *commandSender) cancellationStops(h *state.Host) []protocol.Command {
	var cmds []protocol.Command
	for _, a := range h.Attempts() {
		if a.State.MayRun() && a.StopRequested && isCancelled(a) && len(cmds) < protocol.MaxCommands {
			cmds = append(cmds, cs.stopCommand(a, 0))
		}
	}
	return cmds
}

// stopCommand makes the command that stops an attempt.
func (cs *commandSender) stopCommand(a *state.Attempt, grace micros) protocol.Command {
	if a.StopSentAt == 0 {
		a.StopSentAt = cs.now.Steady
	}
	return protocol.Command{Verb: protocol.VerbStop, Name: a.Name, Grace: grace}
}

// launchableAttempts lists the attempts whose launch may leave for a host: recorded, and
// with room beside all that is there and not told to end at once.
func (cs *commandSender) launchableAttempts(h *state.Host, most int) []*state.Attempt {
	var list []*state.Attempt
	var used protocol.Resources
	for _, a := range h.Attempts() {
		if a.State.MayRun() && a.Job != nil && !(a.StopSentAt > 0 && a.StopGrace == 0) {
			used = used.Add(a.Job.Spec.TaskResources, 1)
		}
	}
	for _, a := range h.Attempts() {
		if len(list) >= most {
			break
		}
		if a.State != state.AttemptAssigned || !a.Recorded || !h.Record.Written || a.Job.State != state.JobActive {
			continue
		}
		if with := used.Add(a.Job.Spec.TaskResources, 1); h.Type == nil || h.Type.Capacity.Covers(with) {
			used = with
			list = append(list, a)
		}
	}
	return list
}
