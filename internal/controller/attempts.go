package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// Pauses after a worker has refused a start.
const (
	fullHostPause    = 2 * protocol.Second
	unknownTaskPause = 2 * protocol.Second
	busyTaskPause    = 3 * protocol.Second
)

// Bounds of what one completed task says of its host's speed, and its weight against what is
// known. Machines differ by a tenth and estimates by half: only a host that is far off for
// several tasks in a row shows.
const (
	minRuntimeRatio    = 0.3
	maxRuntimeRatio    = 5
	runtimeRatioWeight = 0.25
)

// adoptAttempt adds an attempt that an earlier leader started.
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
	current := j != nil && a.Task().Current == a
	if j == nil || j.State != state.JobActive || !current {
		a.StopRequested = true
		ag.commands.queueCommands(h)
	}
	if j == nil || task.State == protocol.TaskExited {
		return a
	}
	if j.Spec.Kind == protocol.Gang {
		j.Gang.Attempt = max(j.Gang.Attempt, task.Number)
	}
	if current {
		ag.records.recordLaunch(a, ag.now.Steady) // a leader of record format 1 did not
	} else {
		ag.logTwoHosts(a)
	}
	return a
}

// logTwoHosts logs that a task is on a host while it is placed on another one.
func (ag *agents) logTwoHosts(a *state.Attempt) {
	other := ""
	if current := a.Task().Current; current != nil {
		other = current.Host.Name
	}
	ag.log.Error("task is on two hosts", "task", a.Name.String(), "host", a.Host.Name, "other", other, "state", a.Task().State)
}

var attemptStates = map[protocol.TaskState]state.AttemptState{
	protocol.TaskFetching: state.AttemptFetching, protocol.TaskWaiting: state.AttemptWaiting,
	protocol.TaskRunning: state.AttemptRunning, protocol.TaskCheckpointing: state.AttemptCheckpointing,
	protocol.TaskExited: state.AttemptExited,
}

// observeAttempt takes what a heartbeat says of one attempt.
func (ag *agents) observeAttempt(a *state.Attempt, task protocol.TaskStatus) {
	to := attemptStates[task.State]
	if a.State == state.AttemptExited || a.State == to {
		return
	}
	if a.Job != nil && (to == state.AttemptRunning || to == state.AttemptWaiting || to == state.AttemptCheckpointing) {
		ag.onImageReady(a, to)
	}
	if to == state.AttemptExited {
		ag.onAttemptExited(a, task)
		return
	}
	ag.cluster.SetAttemptState(ag.now.Steady, a, to)
	ag.log.Debug("task", "task", a.Name.String(), "host", a.Host.Name, "state", to.String())
}

// onImageReady notes that an attempt's host has its image.
func (ag *agents) onImageReady(a *state.Attempt, to state.AttemptState) {
	j := a.Job
	a.Host.AddImage(ag.now.Steady, j.Spec.Image, j.Spec.ImageSize)
	if a.State == state.AttemptFetching {
		ag.estimates.observeFetch(a)
	}
	if to == state.AttemptRunning && j.Spec.Kind == protocol.Gang && a.Name.Number == j.Gang.Attempt {
		j.Gang.Started = true
	}
}

// onAttemptExited handles the end of an attempt.
func (ag *agents) onAttemptExited(a *state.Attempt, task protocol.TaskStatus) {
	a.ExitReason = task.Reason
	ag.cycleNeeded = true
	ag.log.Debug("task exited", "task", a.Name.String(), "host", a.Host.Name, "reason", string(task.Reason), "checkpointed", task.Checkpointed)
	if j := a.Job; j != nil && j.State == state.JobActive && j.CompletedTasks < len(j.Tasks) {
		ag.handleExitReason(a)
	}
	ag.cluster.SetAttemptState(ag.now.Steady, a, state.AttemptExited)
	ag.afterAttempt(a)
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

// onAttemptLost notes that an attempt is certainly on no host any more.
func (ag *agents) onAttemptLost(a *state.Attempt) {
	ag.cluster.SetAttemptState(ag.now.Steady, a, state.AttemptGone)
	ag.afterAttempt(a)
	ag.cycleNeeded = true
}

// afterAttempt goes on with a job and a host after the end of an attempt.
func (ag *agents) afterAttempt(a *state.Attempt) {
	if a.Job != nil {
		ag.resetSettledGang(a.Job)
		ag.jobs.finishIfComplete(a.Job)
	}
	ag.updateIdleSince(a.Host)
}

// resetSettledGang lets a gang of which nothing is left start anew.
func (ag *agents) resetSettledGang(j *state.Job) {
	if j.NoActiveAttempts() {
		j.Gang = state.Gang{}
		ag.jobs.completeCancellation(j)
	}
}

// onTaskCompleted handles a task's result.
func (ag *agents) onTaskCompleted(a *state.Attempt) {
	j := a.Job
	if j.Spec.Kind == protocol.Service {
		return // a replica has no end of its own: it is started again
	}
	ag.learnRuntime(a)
	ag.faults.confirmHealthy(j)
	if j.Spec.Kind == protocol.Gang {
		for i := range j.Tasks { // the tasks of a gang complete together
			j.Complete(i, false)
		}
		return
	}
	j.Complete(a.Name.Index, false)
	if j.CompletedTasks < len(j.Tasks) {
		ag.records.recordCompletion(j, a.Name.Index)
	}
}

// learnRuntime learns from the run time of a completed task.
func (ag *agents) learnRuntime(a *state.Attempt) {
	if a.StartedAt == 0 || a.Adopted {
		return
	}
	took := ag.now.Steady - a.StartedAt
	stats := ag.workload.classStats(a.Job.Spec.Class)
	ratio := float64(took) / float64(stats.estimatedRuntime(a.Job.Spec))
	ratio = max(minRuntimeRatio, min(maxRuntimeRatio, ratio))
	a.Host.RuntimeRatio += (ratio - a.Host.RuntimeRatio) * runtimeRatioWeight
	stats.onTaskCompleted(a.Job, took)
}

// loseAttemptsBefore notes that nothing is on a host any more that was launched before an agent
// epoch. Where it is not known in which agent epoch an earlier leader's launch was sent, a
// higher one proves nothing: what was heard before may be a late copy of a heartbeat of an even
// earlier epoch, and the launch, a direct command that was delayed, may still match this one.
func (ag *agents) loseAttemptsBefore(h *state.Host, agentEpoch uint64) {
	ag.loseAttempts(h, "its agent epoch ended", func(a *state.Attempt) bool {
		return !a.State.MayRun() || a.LaunchAgentEpoch > 0 && a.LaunchAgentEpoch < agentEpoch
	})
}

// onAgentLeaseExpired notes that a worker's lease has certainly expired, and its agent epoch
// ended with it.
func (ag *agents) onAgentLeaseExpired(h *state.Host) {
	h.Agent.EndedEpoch = h.Agent.Epoch
	ag.loseAllAttempts(h, "lease expired")
}

// loseAllAttempts notes that nothing is on a host any more.
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
