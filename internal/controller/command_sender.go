package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// commandSender sends commands to workers, in the replies to their heartbeats or, if the commands
// should not wait for the next heartbeat, as direct commands.
type commandSender struct {
	*termContext
	agents    *agents
	election  *election
	hosts     *hostMonitor
	scheduler *scheduler

	queue           []*state.Host // hosts with unsent direct commands
	inFlight        int           // direct commands without a response yet
	tokensExhausted bool          // a host needs a higher token than the epoch has
}

// ineffectiveMessagesLimit is the number of consecutive replies and commands without effect after
// which a host counts as ignoring commands: the leader receives its heartbeats, but the host does
// not receive what the leader sends. The check for silent hosts does not find such a host. A lost
// launch leaves its resources free, so without this limit the scheduler would launch the same task
// there again and again, while the other tasks of its gang wait for it.
const ineffectiveMessagesLimit = 2

func ignoresCommands(h *state.Host) bool { return h.Commands.Ineffective >= ineffectiveMessagesLimit }

// requestStop requests that an attempt stops within a grace period. If it is called several times
// for an attempt, the shortest grace period applies.
func (cs *commandSender) requestStop(a *state.Attempt, grace micros) {
	switch {
	case a.State == state.AttemptAssigned:
		cs.agents.onAttemptLost(a) // no launch was sent
	case a.State.MayRun():
		if a.StopRequested {
			grace = min(grace, a.StopGrace)
		} else {
			cs.logStopRequest(a, grace)
		}
		a.StopRequested, a.StopGrace = true, grace
		a.Host.Stale = true
		cs.queueCommands(a.Host)
	}
}

// requestCheckpointedStop requests that an attempt stops, with time to save its progress.
func (cs *commandSender) requestCheckpointedStop(a *state.Attempt) {
	cs.requestStop(a, checkpointGrace(a))
}

// checkpointGrace returns how long an attempt needs to save its progress, 0 if it never saves it.
func checkpointGrace(a *state.Attempt) micros {
	if a.Job == nil || !a.Job.Spec.CanCheckpoint() {
		return 0
	}
	return a.Job.Spec.CheckpointDuration + protocol.Second
}

// heartbeatCommands returns the commands for the reply to a host's heartbeat.
func (cs *commandSender) heartbeatCommands(h *state.Host) []protocol.Command {
	switch {
	case h.Reconciled && h.State == state.HostReleasing:
		// The host was silent, and the cloud has not responded to the release request. The host may
		// send heartbeats for as long as the cloud is unavailable, and the tasks of cancelled jobs
		// must not run for that long.
		return cs.cancellationStops(h)
	case !h.Reconciled || h.State != state.HostReady:
		return nil
	case !cs.election.mayActAsLeader():
		// While the leader's lease may have expired, replies only renew the workers' leases, for
		// a time that the leader's record contains, and stop the tasks of cancelled jobs.
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
	cs.logCommands(h, sentInHeartbeat, commands)
	return commands
}

// appendAttemptCommands appends the commands for an attempt that may be on its host.
func (cs *commandSender) appendAttemptCommands(commands []protocol.Command, a *state.Attempt) []protocol.Command {
	h := a.Host
	switch {
	case a.State == state.AttemptExited:
		if mayForget(a) && cs.fenceDirectCommands(h) {
			cs.stats.ForgottenAttempts++
			commands = append(commands, protocol.Command{Verb: protocol.VerbForget, Name: a.Name})
		}
	case a.State.MayRun():
		if a.State == state.AttemptLaunched && a.LaunchUncertain && !h.Commands.InFlight {
			// If the worker has already executed the launch, the second one has no effect.
			a.LaunchAgentEpoch, a.LaunchSequence = h.Agent.Epoch, h.Agent.Sequence
			commands = append(commands, protocol.Command{Verb: protocol.VerbLaunch, Name: a.Name})
		}
		if !a.StopRequested && (a.Job == nil || a.Job.State != state.JobActive) {
			a.StopRequested, a.StopGrace = true, 0
		}
		checkpointing := a.State == state.AttemptCheckpointing && a.StopGrace > 0
		if a.StopRequested && !checkpointing {
			commands = append(commands, cs.stopCommand(a, a.StopGrace))
		}
	}
	return commands
}

// mayForget reports whether the leader does not need to read an exited attempt from its worker any
// more: a result has to be durable first.
func mayForget(a *state.Attempt) bool {
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

// cancellationStops returns the commands that stop the tasks of cancelled jobs. A leader whose
// lease may have expired sends no other commands, and neither does any leader to a host that is
// being released.
func (cs *commandSender) cancellationStops(h *state.Host) []protocol.Command {
	var commands []protocol.Command
	for _, a := range h.Attempts() {
		if a.State.MayRun() && a.StopRequested && isJobCancelled(a) && len(commands) < protocol.MaxCommands {
			commands = append(commands, cs.stopCommand(a, 0))
		}
	}
	return commands
}

// stopCommand makes the command that stops an attempt, and records when it was first sent.
func (cs *commandSender) stopCommand(a *state.Attempt, grace micros) protocol.Command {
	if a.StopSentAt == 0 {
		a.StopSentAt = cs.now.Steady
	}
	return protocol.Command{Verb: protocol.VerbStop, Name: a.Name, Grace: grace}
}

// launchableAttempts returns the attempts whose launches may be sent to a host: they are recorded,
// and they fit beside all attempts on the host that have not been sent a stop without a
// grace period.
func (cs *commandSender) launchableAttempts(h *state.Host, limit int) []*state.Attempt {
	var launchable []*state.Attempt
	var used protocol.Resources
	for _, a := range h.Attempts() {
		stopping := a.StopSentAt > 0 && a.StopGrace == 0
		if a.State.MayRun() && a.Job != nil && !stopping {
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
		total := used.Add(a.Job.Spec.TaskResources, 1)
		if h.Type == nil || h.Type.Capacity.Covers(total) {
			used = total
			launchable = append(launchable, a)
		}
	}
	return launchable
}
