package controller

import (
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/state"
)

// faultTracker distinguishes faulty hosts from jobs that were submitted with a mistake.
type faultTracker struct {
	*termContext
	rollouts *rolloutDriver
}

const (
	// provenRunTime is how long a task has to run to prove that its job can run.
	provenRunTime = 10 * protocol.Second

	// The backoff of a suspect job doubles with each failure.
	minFailureBackoff          = 4 * protocol.Second
	maxFailureBackoff          = 60 * protocol.Second
	maxFailureBackoffDoublings = 8

	// hostExclusion is how long a job avoids a host after it has failed there. The host may have
	// recovered by then, and there may be room on no other.
	hostExclusion = 60 * protocol.Second

	// Each quarantine of a host is longer than the previous one.
	quarantineStep = 30 * protocol.Second
	maxQuarantine  = 300 * protocol.Second
	// suspicionsToQuarantine is how many jobs have to fail on a host, and on no other, for it
	// to be quarantined on suspicion.
	suspicionsToQuarantine = 2
)

// isProven reports whether it is proven that a job can run.
func (ft *faultTracker) isProven(j *state.Job) bool {
	if j.CompletedTasks > 0 {
		return true
	}
	return slices.ContainsFunc(j.ActiveAttempts(), func(a *state.Attempt) bool {
		return a.State == state.AttemptRunning && ft.now.Steady-a.StartedAt >= provenRunTime
	})
}

// onTaskFailed handles a task that exited with an error.
func (ft *faultTracker) onTaskFailed(a *state.Attempt) {
	j, h := a.Job, a.Host
	failures := ft.countFailure(j, h)
	ft.rollouts.step(rollout.TaskFailed{Ref: j.Spec.Ref, Index: a.Name.Index})
	ft.attributeFailure(j, h)
	ft.log.Info("task failed", "task", a.Name.String(), "host", h.Name, "on_host", failures.Count,
		"hosts", len(j.Failures.ByHost), "suspect", j.Failures.Suspect)
}

// countFailure counts a failure of a job's task on a host, and excludes the host for the job for some
// time.
func (ft *faultTracker) countFailure(j *state.Job, h *state.Host) state.HostFailures {
	if j.Failures.ByHost == nil {
		j.Failures.ByHost = make(map[string]state.HostFailures)
	}
	failures := j.Failures.ByHost[h.Name]
	failures.Count++
	failures.ExcludedUntil = ft.now.Steady + hostExclusion
	j.Failures.ByHost[h.Name] = failures
	return failures
}

// attributeFailure attributes the failure of a job's task on a host. If the job is proven to run,
// the host is faulty; if the job has failed on other hosts too, the job is suspect. Otherwise the
// cause is still unknown, and the host is suspected.
func (ft *faultTracker) attributeFailure(j *state.Job, h *state.Host) {
	switch {
	case ft.isProven(j):
		ft.quarantineHost(h)
	case len(j.Failures.ByHost) > 1:
		ft.suspectJob(j)
	case !slices.Contains(h.Quarantine.SuspectedBy, j.Spec.Ref):
		ft.suspectHost(h, j.Spec.Ref)
	}
}

// suspectJob marks a job that has failed on several hosts as suspect, and delays its next start.
func (ft *faultTracker) suspectJob(j *state.Job) {
	j.Failures.Suspect = true
	ft.clearSuspicions(j)
	if ft.now.Steady < j.Failures.BackoffUntil {
		return // tasks that fail together count once
	}
	backoff := minFailureBackoff << min(j.Failures.Backoffs, maxFailureBackoffDoublings)
	j.Failures.BackoffUntil = ft.now.Steady + min(backoff, maxFailureBackoff)
	j.Failures.Backoffs++
}

// suspectHost records that a job has failed on a host, and on no other. A host on which several
// jobs have failed is quarantined.
func (ft *faultTracker) suspectHost(h *state.Host, ref string) {
	h.Quarantine.SuspectedBy = append(h.Quarantine.SuspectedBy, ref)
	h.Stale = true
	if len(h.Quarantine.SuspectedBy) == suspicionsToQuarantine && ft.now.Steady >= h.Quarantine.Until {
		ft.quarantineHost(h)
		h.Quarantine.OnSuspicion = true
	}
}

// quarantineHost excludes a host from placement for some time.
func (ft *faultTracker) quarantineHost(h *state.Host) {
	h.Quarantine.Count++
	h.Quarantine.Until = ft.now.Steady + min(micros(h.Quarantine.Count)*quarantineStep, maxQuarantine)
	h.Quarantine.OnSuspicion, h.Stale = false, true
	ft.log.Info("machine is quarantined", "host", h.Name, "faults", h.Quarantine.Count)
}

// clearSuspicions removes a suspect job's failures from the suspicions against its hosts, and ends
// quarantines that the remaining suspicions do not justify.
func (ft *faultTracker) clearSuspicions(j *state.Job) {
	for name := range j.Failures.ByHost {
		h := ft.cluster.Host(name)
		if h == nil || !slices.Contains(h.Quarantine.SuspectedBy, j.Spec.Ref) {
			continue
		}
		dropSuspicion(h, j.Spec.Ref)
		if h.Quarantine.OnSuspicion && len(h.Quarantine.SuspectedBy) < suspicionsToQuarantine {
			h.Quarantine.Count--
			h.Quarantine.Until, h.Quarantine.OnSuspicion = 0, false
		}
	}
}

// dropSuspicion removes a job's failures from the suspicions against a host.
func dropSuspicion(h *state.Host, ref string) {
	h.Quarantine.SuspectedBy = slices.DeleteFunc(h.Quarantine.SuspectedBy, func(by string) bool { return by == ref })
	h.Stale = true
}

// confirmHealthy records that a job can run. The hosts on which it failed before are faulty, except
// those on which it was started again since: they have recovered.
func (ft *faultTracker) confirmHealthy(j *state.Job) {
	if len(j.Failures.ByHost) > 0 {
		ft.blameHosts(j)
	}
	if j.Failures.Suspect {
		j.Failures.Suspect, j.Failures.Backoffs, j.Failures.BackoffUntil = false, 0, 0
	}
	j.Failures.ByHost = nil
}

// blameHosts quarantines the hosts on which a job has failed that is known to be able to run.
func (ft *faultTracker) blameHosts(j *state.Job) {
	inUse := make(map[string]bool)
	for _, a := range j.ActiveAttempts() {
		inUse[a.Host.Name] = true
	}
	for name, failures := range j.Failures.ByHost {
		h := ft.cluster.Host(name)
		switch {
		case h == nil:
		case inUse[name] && ft.now.Steady >= failures.ExcludedUntil:
			dropSuspicion(h, j.Spec.Ref)
		case ft.now.Steady >= h.Quarantine.Until:
			h.Quarantine.SuspectedBy = nil
			ft.quarantineHost(h)
		}
	}
}
