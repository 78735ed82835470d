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

// ineffectiveMessagesLimit is how many answers and commands in a row show no effect when a host
// counts as ignoring commands: its heartbeats arrive, and nothing that is said to it does.
// Silence does not show that, and a launch that is lost leaves its room free: the same task
// would be launched there again and again, the others of its gang waiting for it.
const ineffectiveMessagesLimit = 2

func ignoresCommands(h *state.Host) bool { return h.Commands.Ineffective >= ineffectiveMessagesLimit }

// requestStop asks for the end of an attempt.
func (cs *commandSender) requestStop(a *state.Attempt, grace micros) {
	switch {
	case a.State == state.AttemptAssigned:
		cs.agents.onAttemptLost(a) // no launch was sent
	case a.State.MayRun():
		if a.StopRequested {
			grace = min(grace, a.StopGrace)
		}
		a.StopRequested, a.StopGrace = true, grace
		a.Host.Stale = true
		cs.queueCommands(a.Host)
	}
}

// requestCheckpointedStop asks for the end of an attempt, with time to save its progress.
func (cs *commandSender) requestCheckpointedStop(a *state.Attempt) {
	cs.requestStop(a, checkpointGrace(a))
}

// checkpointGrace is how long an attempt needs to save its progress, 0 if it never saves.
func checkpointGrace(a *state.Attempt) micros {
	if a.Job == nil || !a.Job.Spec.CanCheckpoint() {
		return 0
	}
	return a.Job.Spec.CheckpointDuration + protocol.Second
}

// heartbeatCommands is what a heartbeat is answered with.
func (cs *commandSender) heartbeatCommands(h *state.Host) []protocol.Command {
	switch {
	case h.Reconciled && h.State == state.HostReleasing:
		// It was silent, and the cloud has not answered its release: it may report again for as
		// long as the cloud is down. The tasks of cancelled jobs must not go on for that.
		return cs.cancellationStops(h)
	case !h.Reconciled || h.State != state.HostReady:
		return nil
	case !cs.election.mayActAsLeader():
		// While the lease could have expired, workers only get their own lease renewed, for a
		// time that the leader's record names.
		return cs.cancellationStops(h)
	}
	var commands []protocol.Command
	for _, a := range h.Attempts() {
		if len(commands) >= protocol.MaxCommands {
			break
		}
		commands = cs.appendAttemptCommands(commands, a)
	}
	// Launches come after the stops that make room for them.
	for _, a := range cs.launchableAttempts(h, protocol.MaxCommands-len(commands)) {
		a.LaunchAgentEpoch, a.LaunchSequence, a.LaunchedByHeartbeat = h.Agent.Epoch, h.Agent.Sequence, true
		cs.cluster.SetAttemptState(cs.now.Steady, a, state.AttemptLaunched)
		commands = append(commands, protocol.Command{Verb: protocol.VerbLaunch, Name: a.Name})
	}
	return commands
}

// appendAttemptCommands appends what there is to say of an attempt that its worker may have.
func (cs *commandSender) appendAttemptCommands(commands []protocol.Command, a *state.Attempt) []protocol.Command {
	h := a.Host
	switch {
	case a.State == state.AttemptExited:
		if mayForget(a) {
			commands = append(commands, protocol.Command{Verb: protocol.VerbForget, Name: a.Name})
		}
	case a.State.MayRun():
		if a.State == state.AttemptLaunched && a.LaunchUncertain && !h.Commands.InFlight {
			// Repeated to the same host, the launch has no effect twice.
			a.LaunchAgentEpoch, a.LaunchSequence = h.Agent.Epoch, h.Agent.Sequence
			commands = append(commands, protocol.Command{Verb: protocol.VerbLaunch, Name: a.Name})
		}
		if !a.StopRequested && (a.Job == nil || a.Job.State != state.JobActive) {
			a.StopRequested, a.StopGrace = true, 0
		}
		saving := a.State == state.AttemptCheckpointing && a.StopGrace > 0
		if a.StopRequested && !saving {
			commands = append(commands, cs.stopCommand(a, a.StopGrace))
		}
	}
	return commands
}

// mayForget reports whether a worker may forget an attempt that has exited. Results have to be
// durable before, and an uncertain launch that comes late has no effect only as long as the
// worker knows the attempt.
func mayForget(a *state.Attempt) bool {
	if a.LaunchUncertain {
		return false
	}
	j := a.Job
	if a.ExitReason != protocol.ExitDone || j == nil {
		return true
	}
	switch j.State {
	case state.JobActive, state.JobCancelling, state.JobFinishing:
		task := a.Task()
		return task == nil || task.State != state.TaskDone || task.Durable
	case state.JobCancelledLegacy, state.JobDone, state.JobClosed, state.JobBlocked:
	}
	return true
}

// cancellationStops is what a leader may say whose lease could have expired, and all that is
// said to a host that is being released.
func (cs *commandSender) cancellationStops(h *state.Host) []protocol.Command {
	var commands []protocol.Command
	for _, a := range h.Attempts() {
		if a.State.MayRun() && a.StopRequested && isCancelled(a) && len(commands) < protocol.MaxCommands {
			commands = append(commands, cs.stopCommand(a, 0))
		}
	}
	return commands
}

// stopCommand makes the command that stops an attempt.
func (cs *commandSender) stopCommand(a *state.Attempt, grace micros) protocol.Command {
	if a.StopSentAt == 0 {
		a.StopSentAt = cs.now.Steady
	}
	return protocol.Command{Verb: protocol.VerbStop, Name: a.Name, Grace: grace}
}

// launchableAttempts lists the attempts whose launches may be sent to a host: recorded, and
// with room beside all that is there and not told to end at once.
func (cs *commandSender) launchableAttempts(h *state.Host, limit int) []*state.Attempt {
	var launchable []*state.Attempt
	var used protocol.Resources
	for _, a := range h.Attempts() {
		ending := a.StopSentAt > 0 && a.StopGrace == 0
		if a.State.MayRun() && a.Job != nil && !ending {
			used = used.Add(a.Job.Spec.TaskResources, 1)
		}
	}
	for _, a := range h.Attempts() {
		if len(launchable) >= limit {
			break
		}
		if a.State != state.AttemptAssigned || !a.Recorded || !h.Record.Written || a.Job.State != state.JobActive {
			continue
		}
		with := used.Add(a.Job.Spec.TaskResources, 1)
		if h.Type == nil || h.Type.Capacity.Covers(with) {
			used = with
			launchable = append(launchable, a)
		}
	}
	return launchable
}
