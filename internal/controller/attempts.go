package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// exited handles the end of an attempt.
func (ag *agents) onAttemptExited(a *state.Attempt, task protocol.TaskStatus) {
	at := ag.now.Steady
	a.ExitReason = task.Reason
	j, h := a.Job, a.Host
	ag.cycleNeeded = true
	ag.log.Debug("exited", "task", a.Name.TaskName.String(), "host", h.Name, "why", string(task.Reason), "saved", task.Checkpointed)
	if j != nil && j.State == state.JobActive && j.CompletedTasks < len(j.Tasks) {
		switch task.Reason {
		case protocol.ExitDone:
			ag.onTaskCompleted(a)
		case protocol.ExitError:
			ag.faults.onTaskFailed(a)
		case protocol.ExitFull:
			h.FullUntil = at + 2*protocol.Second
			ag.log.Info("start refused: no room", "task", a.Name.TaskName.String(), "host", h.Name)
		case protocol.ExitUnknown:
			j.Failures.BackoffUntil = at + 2*protocol.Second
		case protocol.ExitBusy:
			a.Task().NotBefore = at + 3*protocol.Second
		}
	}
	ag.cluster.SetAttemptState(at, a, state.AttemptExited)
	if j != nil {
		ag.resetSettledGang(j)
		ag.jobs.finishIfComplete(j)
	}
	ag.updateIdleSince(h)
}

// settle lets a gang of which nothing is left start anew.
func (ag *agents) resetSettledGang(j *state.Job) {
	if j.NoActiveAttempts() {
		j.Gang.Attempt, j.Gang.Started = 0, false
		ag.jobs.completeCancellation(j)
	}
}

// completed handles a task's result.
func (ag *agents) onTaskCompleted(a *state.Attempt) {
	j := a.Job
	if j.Spec.Kind == protocol.Service {
		return // a replica has no end of its own: it is started again
	}
	if took := ag.now.Steady - a.StartedAt; a.StartedAt > 0 && !a.Adopted {
		k := ag.workload.classStats(j.Spec.Class)
		// Machines differ by a tenth, estimates by half: only a machine that is
		// far off for several tasks in a row shows.
		r := max(0.3, min(5, float64(took)/float64(k.estimatedRuntime(j.Spec))))
		a.Host.RuntimeRatio += (r - a.Host.RuntimeRatio) * 0.25
		k.onTaskCompleted(j, took)
	}
	ag.faults.confirmHealthy(j)
	if j.Spec.Kind == protocol.Gang {
		// The tasks of a gang complete together: if one is done, all are.
		for i := range j.Tasks {
			j.Complete(i, false)
		}
		return
	}
	j.Complete(a.Name.Index, false)
	if j.CompletedTasks < len(j.Tasks) {
		ag.records.recordCompletion(j, a.Name.Index)
	}
}

// unknownRevision notes that an attempt is certainly on no host any more.
func (ag *agents) onAttemptLost(a *state.Attempt) {
	j, h := a.Job, a.Host
	ag.cluster.SetAttemptState(ag.now.Steady, a, state.AttemptGone)
	if j != nil {
		ag.resetSettledGang(j)
		ag.jobs.finishIfComplete(j)
	}
	ag.updateIdleSince(h)
	ag.cycleNeeded = true
}

// loseAttemptsBefore notes that nothing is on a host any more that was launched before a session.
// Where it is not known in which session an earlier leader's launch left, a higher one
// proves nothing: what was heard before may be a late copy of a report from an even earlier
// session, and the launch, a direct command held up on the way, still match this one.
func (ag *agents) loseAttemptsBefore(h *state.Host, session uint64) {
	ag.loseAttempts(h, "its session ended", func(a *state.Attempt) bool {
		return !a.State.MayRun() || a.LaunchAgentEpoch > 0 && a.LaunchAgentEpoch < session
	})
}

// onAgentLeaseExpired notes that a host's lease has certainly ended, and its session with it.
func (ag *agents) onAgentLeaseExpired(h *state.Host) {
	h.Agent.EndedEpoch = h.Agent.Epoch
	ag.loseAllAttempts(h, "silent for longer than its lease")
}

// loseAllAttempts notes that nothing is on a host any more.
func (ag *agents) loseAllAttempts(h *state.Host, why string) {
	ag.loseAttempts(h, why, func(*state.Attempt) bool { return true })
}

func (ag *agents) loseAttempts(h *state.Host, why string, gone func(*state.Attempt) bool) {
	n := 0
	for _, a := range h.Attempts() {
		if !gone(a) {
			continue
		}
		if a.State.MayRun() {
			n++
		}
		ag.onAttemptLost(a)
	}
	ag.stats.LostTasks += uint64(n)
	if n > 0 {
		ag.log.Info("tasks lost", "host", h.Name, "tasks", n, "why", why)
	}
}
