package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/slo"
	"mapleslip/internal/state"
)

// askedBy is when a job should have what is asked of its class: the end by its
// deadline or its class's latest aim on it, or, if nothing is asked of that, the start
// of all its tasks. 0: nothing is asked.
func (c *Controller) askedBy(j *state.Job) (at micros, toEnd bool) {
	if due := c.dueOf(j); due > 0 {
		return due, true
	}
	var within micros
	for _, o := range c.platform.Objectives {
		if o.Kind == "wait" && o.Class == j.Spec.Class {
			within = max(within, o.Within)
		}
	}
	if within == 0 {
		return 0, false
	}
	return j.EligibleAt + within, false
}

// countServed counts a job once it has what is asked of its class, or it is too late.
// It is looked at with the sweep over all jobs. What was due before this node led is
// not counted: nobody knows it.
func (c *Controller) countServed(j *state.Job) {
	if j.SLOCounted || j.State > state.JobActive && j.State != state.JobFinishing && j.State != state.JobDone {
		return
	}
	at := c.at.Steady
	due, toEnd := c.askedBy(j)
	switch {
	case due == 0 || due < c.term.led || guest(j):
		j.SLOCounted = true
		return
	case toEnd && j.CompletedTasks == len(j.Tasks), !toEnd && j.RunningTasks+j.CompletedTasks >= len(j.Tasks):
		j.SLOCounted = true
		c.served(j, at <= due+protocol.Second)
	case at > due:
		j.SLOCounted = true
		c.served(j, false)
	}
}

func (c *Controller) served(j *state.Job, inTime bool) {
	c.count(slo.Class, j.Spec.Class, inTime)
	c.count(slo.Team, j.Spec.Team, inTime)
}

// count adds a job to a group, and tells where the group's state changes by it.
func (c *Controller) count(k slo.Kind, name string, inTime bool) {
	if c.term.served.Add(k, name, c.at.Steady, inTime) {
		n := c.term.served.Lately(k, name, c.at.Steady)
		c.log.Info("share served", k.String(), name, "state", c.term.served.Is(k, name).String(), "served", n.Served, "of", n.Of())
	}
}

// beginWithin is how soon the largest jobs of a class have to begin: users count a day as
// failed on which less than half of them do.
const beginWithin = 240 * protocol.Second

// countBegun counts a job that is among the largest of its class, of at least half as many
// tasks as the largest one that this leader has seen, once it has begun or should have.
func (c *Controller) countBegun(j *state.Job) {
	if j.StartSLOCounted || j.State != state.JobActive && j.State != state.JobFinishing {
		return
	}
	t := c.term
	name := j.Spec.Class
	if 2*j.Spec.Tasks < c.class(name).most || guest(j) || j.EligibleAt+beginWithin < t.led {
		j.StartSLOCounted = true
		return
	}
	wait := c.at.Steady - j.EligibleAt
	begun := j.RunningTasks+j.CompletedTasks > 0
	if j.Spec.Kind == protocol.Gang {
		begun = j.RunningTasks+j.CompletedTasks >= len(j.Tasks)
	}
	if !begun {
		t.longest[name] = max(t.longest[name], wait)
		if wait <= beginWithin {
			return
		}
		c.log.Info("a large job has not begun", "ref", j.Spec.Ref, "class", name, "tasks", j.Spec.Tasks, "waits_ms", int64(wait/protocol.Millisecond), "placed", j.AttemptCount)
	}
	j.StartSLOCounted = true
	c.count(slo.Largest, name, wait <= beginWithin)
}
