package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// Delays before new starts after a worker has refused to start a task.
const (
	fullHostPause    = 2 * protocol.Second // of any task on the host: it has too little room
	unknownTaskPause = 2 * protocol.Second // of the job: the worker can't find it
	busyTaskPause    = 3 * protocol.Second // of the task: another attempt of it is on the host
)

// Bounds of the ratio of one completed task's run time to its estimate, and the weight of that
// ratio in the moving average of its host. Machines differ in speed by a tenth and estimates are
// off by half, so only a host that is far off for several tasks in a row is noticeable.
const (
	minRuntimeRatio    = 0.3
	maxRuntimeRatio    = 5
	runtimeRatioWeight = 0.25
)

// adoptAttempt adds an attempt that an earlier leader launched and that its worker reports.
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
	if ag.isOfThisTerm(task.AttemptName) {
		ag.stats.RevivedAttempts++
		ag.log.Warn("attempt of this term is on its host again", "task", a.Name.String(), "try", task.Number, "host", h.Name,
			"state", attemptStates[task.State].String(), "token", ag.commands.token(h), "agent_epoch", h.Agent.Epoch, "sequence", h.Agent.Sequence)
	}
	isCurrent := j != nil && a.Task().Current == a
	if j == nil || j.State != state.JobActive || !isCurrent {
		a.StopRequested = true
		ag.commands.queueCommands(h)
	}
	if j == nil || task.State == protocol.TaskExited {
		return a
	}
	if j.Spec.Kind == protocol.Gang {
		j.Gang.Attempt = max(j.Gang.Attempt, task.Number)
	}
	if isCurrent {
		ag.records.recordLaunch(a, ag.now.Steady) // a leader of record format 1 did not record it
	} else {
		ag.logTwoHosts(a)
	}
	return a
}

// logTwoHosts logs that a worker reports an attempt that is not the current one of its task.
func (ag *agents) logTwoHosts(a *state.Attempt) {
	otherHost, otherNumber := "", uint64(0)
	if current := a.Task().Current; current != nil {
		otherHost, otherNumber = current.Host.Name, current.Name.Number
	}
	ag.log.Error("task is on two hosts", "task", a.Name.String(), "host", a.Host.Name, "other", otherHost, "state", a.Task().State,
		"try", a.Name.Number, "other_try", otherNumber, "token", ag.commands.token(a.Host), "agent_epoch", a.Host.Agent.Epoch,
		"sequence", a.Host.Agent.Sequence)
}

var attemptStates = map[protocol.TaskState]state.AttemptState{
	protocol.TaskFetching: state.AttemptFetching, protocol.TaskWaiting: state.AttemptWaiting,
	protocol.TaskRunning: state.AttemptRunning, protocol.TaskCheckpointing: state.AttemptCheckpointing,
	protocol.TaskExited: state.AttemptExited,
}

// observeAttempt updates an attempt from its status in a heartbeat.
func (ag *agents) observeAttempt(a *state.Attempt, task protocol.TaskStatus) {
	newState := attemptStates[task.State]
	if a.State == state.AttemptExited || a.State == newState {
		return
	}
	if a.Job != nil && (newState == state.AttemptRunning || newState == state.AttemptWaiting || newState == state.AttemptCheckpointing) {
		ag.onImageReady(a, newState)
	}
	if newState == state.AttemptExited {
		ag.onAttemptExited(a, task)
		return
	}
	ag.cluster.SetAttemptState(ag.now.Steady, a, newState)
	ag.log.Debug("attempt state changed", "task", a.Name.String(), "host", a.Host.Name, "state", newState.String())
}

// onImageReady records that an attempt's image is in the cache of its host.
func (ag *agents) onImageReady(a *state.Attempt, newState state.AttemptState) {
	j := a.Job
	a.Host.AddImage(ag.now.Steady, j.Spec.Image, j.Spec.ImageSize)
	if a.State == state.AttemptFetching {
		ag.estimates.observeFetch(a)
	}
	if newState == state.AttemptRunning && j.Spec.Kind == protocol.Gang && a.Name.Number == j.Gang.Attempt {
		j.Gang.Started = true
	}
}

// onAttemptExited handles an attempt that its worker reports as exited.
func (ag *agents) onAttemptExited(a *state.Attempt, task protocol.TaskStatus) {
	a.ExitReason = task.Reason
	ag.cycleNeeded = true
	ag.log.Debug("task exited", "task", a.Name.String(), "host", a.Host.Name, "reason", string(task.Reason), "checkpointed", task.Checkpointed)
	if j := a.Job; j != nil && j.State == state.JobActive && j.CompletedTasks < len(j.Tasks) {
		ag.handleExitReason(a)
	}
	ag.cluster.SetAttemptState(ag.now.Steady, a, state.AttemptExited)
	ag.onAttemptEnded(a)
}

func (ag *agents) handleExitReason(a *state.Attempt) {
	now := ag.now.Steady
	switch a.ExitReason {
	case protocol.ExitDone:
		ag.onTaskCompleted(a)
	case protocol.ExitError:
		ag.faults.onTaskFailed(a)
	case protocol.ExitFull:
		a.Host.FullUntil = now + fullHostPause
		ag.log.Info("start refused: host is full", "task", a.Name.String(), "host", a.Host.Name)
	case protocol.ExitUnknown:
		a.Job.Failures.BackoffUntil = now + unknownTaskPause
	case protocol.ExitBusy:
		a.Task().NotBefore = now + busyTaskPause
	case protocol.ExitStopped, protocol.ExitPeers, protocol.ExitIncomplete:
	}
}

// onAttemptLost marks an attempt as gone: it is certainly on no host any more.
func (ag *agents) onAttemptLost(a *state.Attempt) {
	ag.cluster.SetAttemptState(ag.now.Steady, a, state.AttemptGone)
	ag.onAttemptEnded(a)
	ag.cycleNeeded = true
}

// onAttemptEnded updates the job and the host of an attempt that has ended.
func (ag *agents) onAttemptEnded(a *state.Attempt) {
	if a.Job != nil {
		ag.resetInactiveGang(a.Job)
		ag.jobs.finishIfComplete(a.Job)
	}
	ag.updateIdleSince(a.Host)
}

// resetInactiveGang resets a gang that has no active attempts, so that it can be started again,
// and completes the cancellation of a job that has none.
func (ag *agents) resetInactiveGang(j *state.Job) {
	if j.NoActiveAttempts() {
		j.Gang = state.Gang{}
		ag.jobs.completeCancellation(j)
	}
}

// onTaskCompleted handles a task that its worker reports as completed.
func (ag *agents) onTaskCompleted(a *state.Attempt) {
	j := a.Job
	if j.Spec.Kind == protocol.Service {
		return // a replica never completes: it is started again
	}
	ag.updateRuntimeEstimates(a)
	if j.Spec.Kind == protocol.Gang {
		ag.completeGang(j)
		return
	}
	ag.faults.confirmHealthy(j)
	j.Complete(a.Name.Index, false)
	if j.CompletedTasks < len(j.Tasks) {
		ag.records.recordCompletion(j, a.Name.Index)
	}
}

// completeGang marks all tasks of a gang as completed: they complete together.
func (ag *agents) completeGang(j *state.Job) {
	ag.faults.confirmHealthy(j)
	for i := range j.Tasks {
		j.Complete(i, false)
	}
}

// updateRuntimeEstimates updates the run time estimates of the host and of the job's class from a
// completed task.
func (ag *agents) updateRuntimeEstimates(a *state.Attempt) {
	if a.StartedAt == 0 || a.Adopted {
		return
	}
	runtime := ag.now.Steady - a.StartedAt
	stats := ag.workload.classStats(a.Job.Spec.Class)
	ratio := float64(runtime) / float64(stats.estimatedRuntime(a.Job.Spec))
	ratio = max(minRuntimeRatio, min(maxRuntimeRatio, ratio))
	a.Host.RuntimeRatio += (ratio - a.Host.RuntimeRatio) * runtimeRatioWeight
	stats.onTaskCompleted(a.Job, runtime)
}

// loseAttemptsBefore marks the attempts on a host as gone that were launched before an agent
// epoch. If the agent epoch in which an earlier leader sent a launch is not known, a higher one
// proves nothing about the attempt: the last heartbeat that this leader received may have been a
// delayed copy from an even earlier agent epoch, and the launch, a delayed direct command, may
// still be valid in the new one.
func (ag *agents) loseAttemptsBefore(h *state.Host, agentEpoch uint64) {
	ag.loseAttempts(h, "its agent epoch ended", func(a *state.Attempt) bool {
		return !a.State.MayRun() || a.LaunchAgentEpoch > 0 && a.LaunchAgentEpoch < agentEpoch
	})
}

// onAgentLeaseExpired handles the certain expiry of a worker's lease, with which its agent epoch
// ends.
func (ag *agents) onAgentLeaseExpired(h *state.Host) {
	h.Agent.EndedEpoch = h.Agent.Epoch
	ag.loseAllAttempts(h, "lease expired")
}

// loseAllAttempts marks all attempts on a host as gone.
func (ag *agents) loseAllAttempts(h *state.Host, reason string) {
	ag.loseAttempts(h, reason, func(*state.Attempt) bool { return true })
}

func (ag *agents) loseAttempts(h *state.Host, reason string, isLost func(*state.Attempt) bool) {
	lost := 0
	for _, a := range h.Attempts() {
		if !isLost(a) {
			continue
		}
		if a.State.MayRun() {
			lost++
		}
		ag.onAttemptLost(a)
	}
	ag.stats.LostTasks += uint64(lost)
	if lost > 0 {
		ag.log.Info("tasks lost", "host", h.Name, "tasks", lost, "reason", reason)
	}
}
