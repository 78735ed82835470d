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
	if j.Failures.ByHost == nil {
		j.Failures.ByHost = make(map[string]int)
	}
	j.Failures.ByHost[h.Name]++
	ft.rollouts.stepRollouts(rollout.Crashed{Ref: j.Spec.Ref, Index: a.Name.Index})
	defer func() {
		ft.log.Info("task failed", "task", a.Name.TaskName.String(), "host", h.Name, "on_host", j.Failures.ByHost[h.Name], "hosts", len(j.Failures.ByHost), "suspect", j.Failures.Suspect)
	}()
	switch {
	case ft.isProven(j):
		ft.quarantineHost(h)
		return
	case len(j.Failures.ByHost) > 1:
		j.Failures.Suspect = true
		ft.clearBlame(j)
		if at >= j.Failures.BackoffUntil { // tasks that fail together count once
			j.Failures.BackoffUntil = at + min(4*protocol.Second<<min(j.Failures.Backoffs, 8), maxFailureBackoff)
			j.Failures.Backoffs++
		}
	case !slices.Contains(h.Quarantine.SuspectedBy, j.Spec.Ref):
		h.Quarantine.SuspectedBy, h.Stale = append(h.Quarantine.SuspectedBy, j.Spec.Ref), true
		if len(h.Quarantine.SuspectedBy) == 2 && at >= h.Quarantine.Until {
			ft.quarantineHost(h)
			h.Quarantine.OnSuspicion = true
		}
	}
}

// condemn leaves a machine alone for a while.
func (ft *faultTracker) quarantineHost(h *state.Host) {
	h.Quarantine.Count++
	h.Quarantine.Until = ft.now.Steady + min(micros(h.Quarantine.Count)*30*protocol.Second, 300*protocol.Second)
	h.Quarantine.OnSuspicion, h.Stale = false, true
	ft.log.Info("machine takes no tasks for a while", "host", h.Name, "faults", h.Quarantine.Count)
}

// clearBlame takes back what a suspect job's failures said of machines.
func (ft *faultTracker) clearBlame(j *state.Job) {
	for name := range j.Failures.ByHost {
		h := ft.cluster.Host(name)
		if h == nil || !slices.Contains(h.Quarantine.SuspectedBy, j.Spec.Ref) {
			continue
		}
		h.Quarantine.SuspectedBy = slices.DeleteFunc(h.Quarantine.SuspectedBy, func(ref string) bool { return ref == j.Spec.Ref })
		h.Stale = true
		if h.Quarantine.OnSuspicion && len(h.Quarantine.SuspectedBy) < 2 {
			h.Quarantine.Count--
			h.Quarantine.Until, h.Quarantine.OnSuspicion = 0, false
		}
	}
}

// confirmHealthy notes that a job can run. Where it failed before, the machine did.
func (ft *faultTracker) confirmHealthy(j *state.Job) {
	for name := range j.Failures.ByHost {
		if h := ft.cluster.Host(name); h != nil && ft.now.Steady >= h.Quarantine.Until {
			h.Quarantine.SuspectedBy = nil
			ft.quarantineHost(h)
		}
	}
	if j.Failures.Suspect {
		j.Failures.Suspect, j.Failures.Backoffs, j.Failures.BackoffUntil = false, 0, 0
	}
	j.Failures.ByHost = nil
}
