package controller

import (
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/state"
)

// When a task fails, its machine is faulty or its job was submitted with a
// mistake. A job that fails on two machines, and of which nothing shows that it
// can run, is suspect: it is tried a task at a time, ever more seldom, behind all
// others, and nobody yields for it or rents for it. A machine is left alone for a
// while when jobs fail on it that run elsewhere, or two that are not suspect. So
// neither a bad job takes machines away from others, nor a bad machine their time.

// ranWell is how long a task has to run to show that its job can.
const ranWell = 10 * protocol.Second

// longestHold is the longest time for which a suspect job is not tried.
const longestHold = 60 * protocol.Second

// sound reports whether something shows that a job can run.
func (c *Controller) sound(j *state.Job) bool {
	if j.CompletedTasks > 0 {
		return true
	}
	for _, a := range j.ActiveAttempts() {
		if a.State == state.AttemptRunning && c.at.Steady-a.StartedAt >= ranWell {
			return true
		}
	}
	return false
}

// failed handles a task's error.
func (c *Controller) failed(a *state.Attempt) {
	j, h := a.Job, a.Host
	at := c.at.Steady
	if j.FailuresByHost == nil {
		j.FailuresByHost = make(map[string]int)
	}
	j.FailuresByHost[h.Name]++
	c.stepRollouts(rollout.Crashed{Ref: j.Spec.Ref, Index: a.Name.Index})
	defer func() {
		c.log.Info("task failed", "task", a.Name.TaskName.String(), "host", h.Name, "on_host", j.FailuresByHost[h.Name], "hosts", len(j.FailuresByHost), "suspect", j.Suspect)
	}()
	switch {
	case c.sound(j):
		c.condemn(h)
		return
	case len(j.FailuresByHost) > 1:
		j.Suspect = true
		c.exonerate(j)
		if at >= j.BackoffUntil { // tasks that fail together count once
			j.BackoffUntil = at + min(4*protocol.Second<<min(j.BackoffAttempts, 8), longestHold)
			j.BackoffAttempts++
		}
	case !slices.Contains(h.SuspectedBy, j.Spec.Ref):
		h.SuspectedBy, h.Stale = append(h.SuspectedBy, j.Spec.Ref), true
		if len(h.SuspectedBy) == 2 && at >= h.QuarantinedUntil {
			c.condemn(h)
			h.QuarantinedOnSuspicion = true
		}
	}
}

// condemn leaves a machine alone for a while.
func (c *Controller) condemn(h *state.Host) {
	h.FaultCount++
	h.QuarantinedUntil = c.at.Steady + min(micros(h.FaultCount)*30*protocol.Second, 300*protocol.Second)
	h.QuarantinedOnSuspicion, h.Stale = false, true
	c.log.Info("machine takes no tasks for a while", "host", h.Name, "faults", h.FaultCount)
}

// exonerate takes back what a suspect job's failures said of machines.
func (c *Controller) exonerate(j *state.Job) {
	for name := range j.FailuresByHost {
		h := c.term.book.Host(name)
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

// acquit notes that a job can run. Where it failed before, the machine did.
func (c *Controller) acquit(j *state.Job) {
	for name := range j.FailuresByHost {
		if h := c.term.book.Host(name); h != nil && c.at.Steady >= h.QuarantinedUntil {
			h.SuspectedBy = nil
			c.condemn(h)
		}
	}
	if j.Suspect {
		j.Suspect, j.BackoffAttempts, j.BackoffUntil = false, 0, 0
	}
	j.FailuresByHost = nil
}
