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

const (
	// provenRunTime is how long a task has to run to show that its job can.
	provenRunTime = 10 * protocol.Second

	// A suspect job is not tried for a time that doubles with each failure.
	minFailureBackoff        = 4 * protocol.Second
	maxFailureBackoff        = 60 * protocol.Second
	maxFailureBackoffDoubles = 8

	// A host is quarantined for longer each time.
	quarantineStep = 30 * protocol.Second
	maxQuarantine  = 300 * protocol.Second
	// suspicionsToQuarantine is how many jobs have to fail on a host, and on no other, for it
	// to be quarantined on suspicion.
	suspicionsToQuarantine = 2
)

// isProven reports whether something shows that a job can run.
func (ft *faultTracker) isProven(j *state.Job) bool {
	if j.CompletedTasks > 0 {
		return true
	}
	return slices.ContainsFunc(j.ActiveAttempts(), func(a *state.Attempt) bool {
		return a.State == state.AttemptRunning && ft.now.Steady-a.StartedAt >= provenRunTime
	})
}

// onTaskFailed handles a task's error.
func (ft *faultTracker) onTaskFailed(a *state.Attempt) {
	j, h := a.Job, a.Host
	if j.Failures.ByHost == nil {
		j.Failures.ByHost = make(map[string]int)
	}
	j.Failures.ByHost[h.Name]++
	ft.rollouts.step(rollout.TaskFailed{Ref: j.Spec.Ref, Index: a.Name.Index})
	ft.assignBlame(j, h)
	ft.log.Info("task failed", "task", a.Name.String(), "host", h.Name, "on_host", j.Failures.ByHost[h.Name],
		"hosts", len(j.Failures.ByHost), "suspect", j.Failures.Suspect)
}

// assignBlame decides who is to blame for a failure of a job's task on a host: the host if the
// job is known to run, the job if it has failed on other hosts too, or nobody yet.
func (ft *faultTracker) assignBlame(j *state.Job, h *state.Host) {
	switch {
	case ft.isProven(j):
		ft.quarantineHost(h)
	case len(j.Failures.ByHost) > 1:
		ft.suspectJob(j)
	case !slices.Contains(h.Quarantine.SuspectedBy, j.Spec.Ref):
		ft.suspectHost(h, j.Spec.Ref)
	}
}

// suspectJob backs off from a job that has failed on several hosts.
func (ft *faultTracker) suspectJob(j *state.Job) {
	j.Failures.Suspect = true
	ft.clearBlame(j)
	if ft.now.Steady < j.Failures.BackoffUntil {
		return // tasks that fail together count once
	}
	backoff := minFailureBackoff << min(j.Failures.Backoffs, maxFailureBackoffDoubles)
	j.Failures.BackoffUntil = ft.now.Steady + min(backoff, maxFailureBackoff)
	j.Failures.Backoffs++
}

// suspectHost notes that a job has failed on a host, and on no other. A host on which that
// happens to several jobs is quarantined.
func (ft *faultTracker) suspectHost(h *state.Host, ref string) {
	h.Quarantine.SuspectedBy = append(h.Quarantine.SuspectedBy, ref)
	h.Stale = true
	if len(h.Quarantine.SuspectedBy) == suspicionsToQuarantine && ft.now.Steady >= h.Quarantine.Until {
		ft.quarantineHost(h)
		h.Quarantine.OnSuspicion = true
	}
}

// quarantineHost has a host take no tasks for a while.
func (ft *faultTracker) quarantineHost(h *state.Host) {
	h.Quarantine.Count++
	h.Quarantine.Until = ft.now.Steady + min(micros(h.Quarantine.Count)*quarantineStep, maxQuarantine)
	h.Quarantine.OnSuspicion, h.Stale = false, true
	ft.log.Info("machine is quarantined", "host", h.Name, "faults", h.Quarantine.Count)
}

// clearBlame takes back what a suspect job's failures said of hosts.
func (ft *faultTracker) clearBlame(j *state.Job) {
	for name := range j.Failures.ByHost {
		h := ft.cluster.Host(name)
		if h == nil || !slices.Contains(h.Quarantine.SuspectedBy, j.Spec.Ref) {
			continue
		}
		h.Quarantine.SuspectedBy = slices.DeleteFunc(h.Quarantine.SuspectedBy, func(ref string) bool { return ref == j.Spec.Ref })
		h.Stale = true
		if h.Quarantine.OnSuspicion && len(h.Quarantine.SuspectedBy) < suspicionsToQuarantine {
			h.Quarantine.Count--
			h.Quarantine.Until, h.Quarantine.OnSuspicion = 0, false
		}
	}
}

// confirmHealthy notes that a job can run. Where it failed before, the host was faulty.
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
