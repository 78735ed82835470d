package coordination

import (
	"mapleslip/internal/bookkeeping"
	"mapleslip/internal/protocol"
	"mapleslip/internal/served"
)

// askedBy is when a job should have what is asked of its class: the end by its
// deadline or its class's latest aim on it, or, if nothing is asked of that, the start
// of all its tasks. 0: nothing is asked.
func (c *Controller) askedBy(j *bookkeeping.Job) (at micros, toEnd bool) {
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
	return j.Submitted + within, false
}

// countServed counts a job once it has what is asked of its class, or it is too late.
// It is looked at with the sweep over all jobs. What was due before this node led is
// not counted: nobody knows it.
func (c *Controller) countServed(j *bookkeeping.Job) {
	if j.Counted || j.State > bookkeeping.JobLive && j.State != bookkeeping.JobFinishing && j.State != bookkeeping.JobDone {
		return
	}
	at := c.at.Steady
	due, toEnd := c.askedBy(j)
	switch {
	case due == 0 || due < c.term.led || guest(j.Spec):
		j.Counted = true
		return
	case toEnd && j.Done == len(j.Tasks), !toEnd && j.Running+j.Done >= len(j.Tasks):
		j.Counted = true
		c.served(j, at <= due+protocol.Second)
	case at > due:
		j.Counted = true
		c.served(j, false)
	}
}

func (c *Controller) served(j *bookkeeping.Job, inTime bool) {
	for k, name := range map[served.Kind]string{served.Class: j.Spec.Class, served.Team: j.Spec.Team} {
		if c.term.served.Add(k, name, c.at.Steady, inTime) {
			n := c.term.served.Lately(k, name, c.at.Steady)
			c.log.Info("share served", k.String(), name, "state", c.term.served.Is(k, name).String(), "served", n.Served, "of", n.Of())
		}
	}
}
