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
	if j.Done > 0 {
		return true
	}
	for _, a := range j.On() {
		if a.State == state.AttemptRunning && c.at.Steady-a.Started >= ranWell {
			return true
		}
	}
	return false
}

// failed handles a task's error.
func (c *Controller) failed(a *state.Attempt) {
	j, h := a.Job, a.Host
	at := c.at.Steady
	if j.Failures == nil {
		j.Failures = make(map[string]int)
	}
	j.Failures[h.Name]++
	c.stepRollouts(rollout.Crashed{Ref: j.Spec.Ref, Index: a.Name.Index})
	defer func() {
		c.log.Info("task failed", "task", a.Name.TaskName.String(), "host", h.Name, "on_host", j.Failures[h.Name], "hosts", len(j.Failures), "suspect", j.Suspect)
	}()
	switch {
	case c.sound(j):
		c.condemn(h)
		return
	case len(j.Failures) > 1:
		j.Suspect = true
		c.exonerate(j)
		if at >= j.Held { // tasks that fail together count once
			j.Held = at + min(4*protocol.Second<<min(j.Strikes, 8), longestHold)
			j.Strikes++
		}
	case !slices.Contains(h.Blamed, j.Spec.Ref):
		h.Blamed, h.Changed = append(h.Blamed, j.Spec.Ref), true
		if len(h.Blamed) == 2 && at >= h.FaultUntil {
			c.condemn(h)
			h.Distrusted = true
		}
	}
}

// condemn leaves a machine alone for a while.
func (c *Controller) condemn(h *state.Host) {
	h.Faults++
	h.FaultUntil = c.at.Steady + min(micros(h.Faults)*30*protocol.Second, 300*protocol.Second)
	h.Distrusted, h.Changed = false, true
	c.log.Info("machine takes no tasks for a while", "host", h.Name, "faults", h.Faults)
}

// exonerate takes back what a suspect job's failures said of machines.
func (c *Controller) exonerate(j *state.Job) {
	for name := range j.Failures {
		h := c.term.book.Host(name)
		if h == nil || !slices.Contains(h.Blamed, j.Spec.Ref) {
			continue
		}
		h.Blamed = slices.DeleteFunc(h.Blamed, func(ref string) bool { return ref == j.Spec.Ref })
		h.Changed = true
		if h.Distrusted && len(h.Blamed) < 2 {
			h.Faults--
			h.FaultUntil, h.Distrusted = 0, false
		}
	}
}

// acquit notes that a job can run. Where it failed before, the machine did.
func (c *Controller) acquit(j *state.Job) {
	for name := range j.Failures {
		if h := c.term.book.Host(name); h != nil && c.at.Steady >= h.FaultUntil {
			h.Blamed = nil
			c.condemn(h)
		}
	}
	if j.Suspect {
		j.Suspect, j.Strikes, j.Held = false, 0, 0
	}
	j.Failures = nil
}
