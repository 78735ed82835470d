package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// agents brings the cluster state to what workers report of their hosts and tasks.
type agents struct {
	*termContext
	catalog      *machineCatalog
	commands     *commandSender
	dependencies *dependencyGraph
	estimates    *machineEstimates
	faults       *faultTracker
	jobs         *jobManager
	records      *recordStore
	scheduler    *scheduler
	workload     *workload
}

// applyHeartbeat brings the book to what a newer report says. direct tells that
// it answers a direct command.
func (ag *agents) applyHeartbeat(h *state.Host, r *protocol.Heartbeat, direct bool) {
	at := ag.now.Steady
	current := r.Token == ag.epoch
	if h.Agent.Epoch > 0 && r.AgentEpoch > h.Agent.Epoch {
		// The worker's lease expired: it has killed and forgotten everything.
		ag.loseAttemptsBefore(h, r.AgentEpoch)
	}
	if r.AgentEpoch > h.Agent.Epoch && h.Agent.RepliedAt > 0 && at <= h.Agent.RepliedAt+ag.platform.WorkerLease {
		h.Commands.Ineffective = ineffectiveMessagesLimit // an answer since would have kept its lease
	}
	if direct {
		h.Commands.Ineffective = 0
	} else if h.Agent.HeartbeatAt = at; r.Token < ag.epoch && h.Agent.RepliedAt > 0 {
		h.Commands.Ineffective++ // it was answered under this epoch, and has not seen it
	}
	if r.AgentEpoch > h.Agent.Epoch {
		// The lease of a session runs from its beginning, which may be now. Counted
		// from an answer to the session before, or from none, a task that was launched
		// by a direct call, of which the worker's reports don't get here, was gone
		// before it had begun, and was started elsewhere too.
		h.Agent.LeaseRenewedAt = max(h.Agent.LeaseRenewedAt, at)
	}
	if current {
		// It drops what an earlier leader may go on answering. Counted until that one has
		// certainly stopped, a host that fell silent after a change of leader held the room
		// shardOf what was on it for three minutes while the cloud could not release it.
		h.Agent.LeaseRenewedAt = min(h.Agent.LeaseRenewedAt, at)
	}
	h.Agent.Epoch, h.Agent.Sequence, h.Agent.LastContact, h.Probe.Failed = r.AgentEpoch, r.Sequence, at, false
	h.Addr = r.Addr
	if h.Type == nil {
		h.Type, h.Stale = ag.catalog.byName[r.Type], true
	}
	if h.State == state.HostBooting || h.State == state.HostSilent {
		if h.State == state.HostBooting && h.Rented {
			// One that was there already says nothing of that: a fleet that is there from
			// the start taught that machines boot in no time.
			ag.estimates.observeBoot(h, at)
		}
		h.SetState(state.HostReady)
		ag.records.recordHost(h)
		ag.cycleNeeded = true
	}
	if r.Interrupted != h.Interruption.Noticed || r.Interrupted {
		if !h.Interruption.Noticed {
			ag.cycleNeeded = true
			ag.log.Info("machine will be taken", "host", h.Name, "in_ms", int64(r.InterruptedIn/protocol.Millisecond))
		}
		h.Interruption.Noticed, h.Interruption.At = r.Interrupted, at+r.InterruptedIn
	}
	if (current || !h.Record.FromEarlierEpoch && !h.Unverified) && !h.Reconciled {
		// Nothing is ever launched on a host before it is recorded, so one that
		// was not holds nothing, whatever epoch it has seen. To wait for its next
		// report would have its room missing from the plans meanwhile, and more
		// machines rented in its place. One that is in no record and no list may be a
		// late copy's, of a machine that is gone: it is asked first.
		h.Reconciled = true
		ag.cycleNeeded = true
	}
	h.Agent.HeartbeatCount++
	missed := false
	for i := range r.Tasks {
		task := &r.Tasks[i]
		a := h.Find(task.AttemptName)
		if a == nil {
			if !current && !ag.launchesUnrecorded && !(task.State == protocol.TaskExited && task.Reason == protocol.ExitDone) {
				// Whatever may be on a host is in a record. This isn't: what says so is
				// older than the end of the attempt, a late copy of a report mostly. Taken
				// for true it held the task, or an old attempt of the whole gang, on a
				// machine that may be gone; an error counted once more. If it is there the
				// next report says so again. A result stays true.
				continue
			}
			a = ag.adoptAttempt(h, *task)
		}
		a.LastHeartbeat = h.Agent.HeartbeatCount
		if a.LaunchAgentEpoch == 0 {
			a.LaunchAgentEpoch = r.AgentEpoch // or an earlier one
		}
		if a.State == state.AttemptLaunched {
			h.Commands.Ineffective = 0 // it came
		}
		ag.observeAttempt(a, *task)
	}
	for _, a := range h.Attempts() {
		if a.LastHeartbeat == h.Agent.HeartbeatCount || a.State == state.AttemptAssigned {
			continue
		}
		if a.State == state.AttemptExited {
			ag.cluster.SetAttemptState(at, a, state.AttemptGone)
			continue
		}
		if !a.State.MayRun() {
			continue
		}
		if a.LaunchAgentEpoch == 0 && (current || direct) {
			// An earlier leader launched it, before this message was made.
			a.LaunchAgentEpoch = r.AgentEpoch
		}
		if !current {
			// A worker that has not seen this epoch may still get commands of
			// the one before: absence proves nothing yet.
			continue
		}
		if a.State == state.AttemptLaunched && !r.NewerThan(a.LaunchAgentEpoch, a.LaunchSequence) {
			continue
		}
		if a.LaunchUncertain {
			continue // the launch may still be on its way
		}
		if a.State == state.AttemptLaunched && a.LaunchedByHeartbeat && direct {
			// The answer with the launch and this message may have crossed.
			// Only the next report must come after it.
			continue
		}
		if a.State == state.AttemptLaunched && a.LaunchedByHeartbeat && !missed {
			missed = true
			h.Commands.Ineffective++
		}
		// The launch did not arrive, or the task is gone.
		ag.log.Debug("attempt is not on its host", "task", a.Name.TaskName.String(), "host", h.Name, "state", a.State.String())
		ag.onAttemptLost(a)
	}
	ag.updateIdleSince(h)
}

func (ag *agents) updateIdleSince(h *state.Host) {
	if ag.scheduler.hasRetainingWork(h) {
		h.IdleSince = ag.now.Steady
	}
}

// adoptAttempt takes an attempt that an earlier leader started into the book.
func (ag *agents) adoptAttempt(h *state.Host, task protocol.TaskStatus) *state.Attempt {
	j := ag.cluster.Job(task.Job)
	if j != nil && task.Index >= len(j.Tasks) {
		j = nil
	}
	if j != nil {
		ag.dependencies.onTaskLaunched(j)
	}
	a := ag.cluster.Attach(ag.now.Steady, j, h, task.AttemptName)
	a.Adopted = true
	if j != nil && j.Spec.Kind == protocol.Gang && task.State != protocol.TaskExited {
		j.Gang.Attempt = max(j.Gang.Attempt, task.Number)
	}
	if j != nil && a.Task().Current != a && task.State != protocol.TaskExited {
		on := ""
		if o := a.Task().Current; o != nil {
			on = o.Host.Name
		}
		ag.log.Error("task is on two hosts", "task", task.TaskName.String(), "host", h.Name, "other", on, "state", a.Task().State)
	}
	if j == nil || j.State != state.JobActive || a.Task().Current != a {
		a.StopRequested = true
		ag.commands.queueCommands(h)
	}
	if j != nil && task.State != protocol.TaskExited && a.Task().Current == a {
		ag.records.recordLaunch(a, ag.now.Steady) // a leader of form 1 did not
	}
	return a
}

var attemptStates = map[protocol.TaskState]state.AttemptState{
	protocol.TaskFetching: state.AttemptFetching, protocol.TaskWaiting: state.AttemptWaiting,
	protocol.TaskRunning: state.AttemptRunning, protocol.TaskCheckpointing: state.AttemptCheckpointing,
	protocol.TaskExited: state.AttemptExited,
}

// observeAttempt takes what a report says of one attempt.
func (ag *agents) observeAttempt(a *state.Attempt, task protocol.TaskStatus) {
	at := ag.now.Steady
	to := attemptStates[task.State]
	if a.State == state.AttemptExited || a.State == to {
		return
	}
	from := a.State
	j := a.Job
	if j != nil && (to == state.AttemptRunning || to == state.AttemptWaiting || to == state.AttemptCheckpointing) {
		a.Host.AddImage(at, j.Spec.Image, j.Spec.ImageSize)
		if from == state.AttemptFetching {
			ag.estimates.observeFetch(a)
		}
		if to == state.AttemptRunning && j.Spec.Kind == protocol.Gang && a.Name.Number == j.Gang.Attempt {
			j.Gang.Started = true
		}
	}
	if to == state.AttemptExited {
		ag.onAttemptExited(a, task)
		return
	}
	ag.cluster.SetAttemptState(at, a, to)
	ag.log.Debug("task", "task", a.Name.TaskName.String(), "host", a.Host.Name, "state", to.String())
}
