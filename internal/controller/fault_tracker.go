package controller

import (
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/state"
)

// faultTracker tells faulty hosts from jobs that were submitted with a mistake.
type faultTracker struct {
	*termContext
	rollouts *rolloutDriver
}

// provenRunTime is how long a task has to run to show that its job can.
const provenRunTime = 10 * protocol.Second

// maxFailureBackoff is the longest time for which a suspect job is not tried.
const maxFailureBackoff = 60 * protocol.Second

// isProven reports whether something shows that a job can run.
func (ft *faultTracker) isProven(j *state.Job) bool {
	if j.CompletedTasks > 0 {
		return true
	}
	for _, a := range j.ActiveAttempts() {
		if a.State == state.AttemptRunning && ft.now.Steady-a.StartedAt >= provenRunTime {
			return true
		}
	}
	return false
}

// failed handles a task's error.
func (ft *faultTracker) onTaskFailed(a *state.Attempt) {
	j, h := a.Job, a.Host
	at := ft.now.Steady
	if j.FailuresByHost == nil {
		j.FailuresByHost = make(map[string]int)
	}
	j.FailuresByHost[h.Name]++
	ft.rollouts.stepRollouts(rollout.Crashed{Ref: j.Spec.Ref, Index: a.Name.Index})
	defer func() {
		ft.log.Info("task failed", "task", a.Name.TaskName.String(), "host", h.Name, "on_host", j.FailuresByHost[h.Name], "hosts", len(j.FailuresByHost), "suspect", j.Suspect)
	}()
	switch {
	case ft.isProven(j):
		ft.quarantineHost(h)
		return
	case len(j.FailuresByHost) > 1:
		j.Suspect = true
		ft.clearBlame(j)
		if at >= j.BackoffUntil { // tasks that fail together count once
			j.BackoffUntil = at + min(4*protocol.Second<<min(j.BackoffAttempts, 8), maxFailureBackoff)
			j.BackoffAttempts++
		}
	case !slices.Contains(h.SuspectedBy, j.Spec.Ref):
		h.SuspectedBy, h.Stale = append(h.SuspectedBy, j.Spec.Ref), true
		if len(h.SuspectedBy) == 2 && at >= h.QuarantinedUntil {
			ft.quarantineHost(h)
			h.QuarantinedOnSuspicion = true
		}
	}
}

// condemn leaves a machine alone for a while.
func (ft *faultTracker) quarantineHost(h *state.Host) {
	h.FaultCount++
	h.QuarantinedUntil = ft.now.Steady + min(micros(h.FaultCount)*30*protocol.Second, 300*protocol.Second)
	h.QuarantinedOnSuspicion, h.Stale = false, true
	ft.log.Info("machine takes no tasks for a while", "host", h.Name, "faults", h.FaultCount)
}

// clearBlame takes back what a suspect job's failures said of machines.
func (ft *faultTracker) clearBlame(j *state.Job) {
	for name := range j.FailuresByHost {
		h := ft.cluster.Host(name)
		if h == nil || !slices.Contains(h.SuspectedBy, j.Spec.Ref) {
			continue
		}
		h.SuspectedBy = slices.DeleteFunc(h.SuspectedBy, func(ref string) bool { return ref == j.Spec.Ref })
		h.Stale = true
		if h.QuarantinedOnSuspicion && len(h.SuspectedBy) < 2 {
			h.FaultCount--
			h.QuarantinedUntil, h.QuarantinedOnSuspicion = 0, false
		}
	}
}

// confirmHealthy notes that a job can run. Where it failed before, the machine did.
func (ft *faultTracker) confirmHealthy(j *state.Job) {
	for name := range j.FailuresByHost {
		if h := ft.cluster.Host(name); h != nil && ft.now.Steady >= h.QuarantinedUntil {
			h.SuspectedBy = nil
			ft.quarantineHost(h)
		}
	}
	if j.Suspect {
		j.Suspect, j.BackoffAttempts, j.BackoffUntil = false, 0, 0
	}
	j.FailuresByHost = nil
}
