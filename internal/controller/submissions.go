package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// Submissions: what can be accepted, by the leader and without it.

// submitWithoutLeader creates a job's record without the leader, which notices it.
func (c *Controller) submitWithoutLeader(to ReplyAddress, spec *protocol.JobSpec, over func()) {
	if len(c.machineTypes) == 0 {
		c.getKey(priorityUser, state.KeyTypes, func(e protocol.Entry, found, ok bool) {
			if found {
				c.applyMachineTypesRecord(e.Value)
			}
			if len(c.machineTypes) == 0 {
				over()
				c.replyUnavailable(to, refusalMachineTypes)
				return
			}
			c.submitWithoutLeader(to, spec, over)
		})
		return
	}
	if c.config != nil && !c.config.known {
		c.readHead(priorityUser, func(ok bool) {
			if !ok {
				over()
				c.replyUnavailable(to, refusalStateService)
				return
			}
			c.submitWithoutLeader(to, spec, over)
		})
		return
	}
	if c.features != nil && !c.features.known {
		c.readLevel(priorityUser, func(ok bool) {
			if !ok || !c.features.known {
				over()
				c.replyUnavailable(to, refusalStateService)
				return
			}
			c.submitWithoutLeader(to, spec, over)
		})
		return
	}
	if c.features != nil && !c.features.serves.Serves(c.features.active) {
		over()
		c.replyUnavailable(to, refusalFeatureLevel)
		return
	}
	if why := c.validateRunnable(spec); why != "" {
		over()
		c.rejectSubmission(to, spec, why)
		return
	}
	if len(spec.DependsOn) == 0 {
		c.createWithoutLeader(to, spec, protocol.PhaseQueued, over)
		return
	}
	c.admitWithDependencies(to, spec, over, func(cancelled bool) {
		phase := protocol.PhaseQueued
		if cancelled {
			phase = protocol.PhaseCancelled
		}
		c.createWithoutLeader(to, spec, phase, over)
	})
}

// createWithoutLeader creates a job's record without the leader. phase is what its user is told.
func (c *Controller) createWithoutLeader(to ReplyAddress, spec *protocol.JobSpec, phase protocol.Phase, over func()) {
	j := state.NewJob(spec)
	j.SubmittedWall = c.now.Wall
	c.createJobRecord(to, j, phase, func(when []protocol.Condition, then []protocol.Change, done func(txnOutcome, protocol.TxnResult)) {
		c.compareAndSwap(priorityUser, c.withLevelCondition(c.withRevisionCondition(when)), then, func(o txnOutcome, r protocol.TxnResult) {
			over()
			if outdated, other := c.handleRevisionConflict(o, r), c.handleLevelConflict(o, r); outdated || other {
				o = txnNotExecuted
			}
			done(o, r)
		})
	}, over)
}

// refuse answers 422, unless the job was accepted before: machine types may
// have been others then.
func (c *Controller) rejectSubmission(to ReplyAddress, spec *protocol.JobSpec, why string) {
	if c.config != nil && !c.mayActAsLeader() {
		// The revision that this node knows may be an old one, and what it refuses
		// depends on nothing that would show it.
		c.readHead(priorityUser, func(ok bool) {
			if why = c.validateRunnable(spec); !ok || why == "" {
				c.replyUnavailable(to, refusalStateService)
				return
			}
			c.rejectUnlessAccepted(to, spec, 422, why)
		})
		return
	}
	c.rejectUnlessAccepted(to, spec, 422, why)
}

// rejectUnlessAccepted refuses a job with a status unless it was accepted before.
func (c *Controller) rejectUnlessAccepted(to ReplyAddress, spec *protocol.JobSpec, status int, why string) {
	c.findJob(priorityUser, spec.Ref, func(j *state.Job, f finishedJob, found, ok bool) {
		switch {
		case !ok:
			c.replyUnavailable(to, refusalStateService)
		case found:
			c.replyKnownJob(to, spec.Ref, j, f)
		default:
			c.reply(to, status, protocol.ErrorBody(why), 0)
		}
	})
}

func (c *Controller) replyKnownJob(to ReplyAddress, ref string, j *state.Job, f finishedJob) {
	if j != nil {
		c.replyActiveJob(to, j)
		return
	}
	c.replyFinishedJob(to, ref, f)
}

type jobRecordWriter func(when []protocol.Condition, then []protocol.Change, done func(txnOutcome, protocol.TxnResult))

// create records a job if it is not there yet, and answers once it is durable, with the
// phase given unless this node leads and knows better. A leader takes it into its book only
// if it was written in this term, and is not over already: it may have noticed the job long
// before the answer comes, or another leader may have, and ended it. One that it does not
// take here it notices as those that other nodes write.
func (c *Controller) createJobRecord(to ReplyAddress, j *state.Job, phase protocol.Phase, write jobRecordWriter, refused func()) {
	ref, t := j.Spec.Ref, c.term
	value := state.EncodeJob(j)
	// An earlier submission of it may have been accepted under a larger limit.
	tooLong := func() { c.rejectUnlessAccepted(to, j.Spec, 400, "description too long") }
	if len(value) > c.stateLimits.accepted.maxValueBytes {
		refused()
		// The record that it was accepted with may have been shorter: it names an epoch.
		tooLong()
		return
	}
	when := []protocol.Condition{{Key: state.JobPrefix + ref}, {Key: state.FinalPrefix + ref}}
	then := []protocol.Change{{Key: state.JobPrefix + ref, Value: value}}
	write(when, then, func(o txnOutcome, r protocol.TxnResult) {
		switch o {
		case txnCommitted:
			if f, over := c.finishedJobs.find(ref); over {
				c.replyFinishedJob(to, ref, f)
				return
			}
			j.Revision = r.Revision
			if c.mayActAsLeader() && c.term == t && t.cluster.Job(ref) == nil {
				c.addJob(j)
			}
			body := protocol.JobStatusBody(ref, phase, 0, 0)
			if len(j.Spec.DependsOn) > 0 && c.isTrackedByLeader(j) {
				body = c.jobStatusBody(j)
			}
			c.reply(to, 201, body, 0)
		case txnConflict:
			c.findJob(priorityUser, ref, func(j *state.Job, f finishedJob, found, ok bool) {
				if !ok || !found {
					c.replyUnavailable(to, refusalStateService)
					return
				}
				c.replyKnownJob(to, ref, j, f)
			})
		case txnTooLarge, txnMalformed:
			if len(value) > c.stateLimits.accepted.maxValueBytes {
				tooLong()
				return
			}
			c.replyUnavailable(to, refusalStateService)
		default:
			c.replyUnavailable(to, refusalStateService)
		}
	})
}

// validateRunnable says why a job can never run, or nothing.
func (c *Controller) validateRunnable(s *protocol.JobSpec) string {
	team, ok := c.team(s.Team)
	if !ok {
		return "unknown team"
	}
	if team.Retired {
		return "the team takes no new jobs"
	}
	fits := false
	for _, t := range c.machineTypes {
		if !t.Capacity.Covers(s.TaskResources) || !s.AllowsType(t.Name) {
			continue
		}
		if s.Zone == "" {
			fits = true
		}
		for _, z := range t.Zones {
			fits = fits || z == s.Zone
		}
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	n := int64(s.Tasks)
	if s.Kind == protocol.Array {
		n = 1
	}
	var none protocol.Resources
	if !withinLimit(team.Limit, none.Add(s.TaskResources, n)) {
		return "the job needs more than the team's limit"
	}
	return ""
}

// withinLimit checks an amount against a limit, of which 0 means none.
func withinLimit(limit, amount protocol.Resources) bool {
	return (limit.CPU == 0 || amount.CPU <= limit.CPU) && (limit.GPU == 0 || amount.GPU <= limit.GPU)
}

// submit accepts a job as the leader.
func (c *Controller) submitJob(to ReplyAddress, spec *protocol.JobSpec) {
	t := c.term
	ref := spec.Ref
	if j := t.cluster.Job(ref); j != nil && isOutcomeUncertain(j) {
		c.replyFromStateService(to, ref, func() {})
		return
	} else if j != nil {
		c.reply(to, 200, c.jobStatusBody(j), 0)
		return
	}
	if len(c.machineTypes) == 0 {
		c.replyUnavailable(to, refusalMachineTypes)
		return
	}
	if why := c.validateRunnable(spec); why != "" {
		c.rejectSubmission(to, spec, why)
		return
	}
	if !c.knowsDependencies(spec) {
		c.admitAfterLookup(to, spec)
		return
	}
	c.admitJob(to, spec)
}

// admitAfterLookup accepts a job as the leader of which it has to look up what it awaits.
func (c *Controller) admitAfterLookup(to ReplyAddress, spec *protocol.JobSpec) {
	if c.lookupLimitReached() {
		c.replyUnavailable(to, refusalLookupLimit)
		return
	}
	c.leaderLookups++
	t := c.term
	over := func() { c.leaderLookups-- }
	c.admitWithDependencies(to, spec, over, func(bool) {
		over()
		if c.term != t || !c.mayActAsLeader() {
			c.replyUnavailable(to, refusalNoLeader)
			return
		}
		if j := t.cluster.Job(spec.Ref); j != nil {
			c.replyActiveJob(to, j)
			return
		}
		c.admitJob(to, spec)
	})
}

// admit accepts a job as the leader, in its turn.
func (c *Controller) admitJob(to ReplyAddress, spec *protocol.JobSpec) {
	t := c.term
	ref := spec.Ref
	if waiting, ok := t.pendingSubmits[ref]; ok {
		t.pendingSubmits[ref] = append(waiting, to)
		return
	}
	// What would have to wait for its record for longer than users should is
	// refused at once: they are told when its turn comes.
	prio, line := priorityUser, &t.submitLimiter
	if c.isLatencyCritical(spec) {
		prio, line = priorityLatencyCritical, &t.urgentSubmitLimiter
	}
	if wait, ok := line.admit(c.now.Steady, ref, c.writeRate()); !ok {
		if at := c.now.Steady; at-t.lastBudgetLog > 5*protocol.Second {
			t.lastBudgetLog = at
			c.log.Info("state budget used up", "waiting", line.inFlight, "a_second", int64(line.measuredRate), "delay_ms", int64(wait/protocol.Millisecond))
		}
		c.replyUnavailableAfter(to, refusalSubmitRate, wait)
		return
	}
	t.pendingSubmits[ref] = nil
	line.began()
	j := state.NewJob(spec)
	j.SubmittedWall, j.LeaderEpoch = c.now.Wall, t.epoch
	c.createJobRecord(to, j, protocol.PhaseQueued, func(when []protocol.Condition, then []protocol.Change, done func(txnOutcome, protocol.TxnResult)) {
		when = append([]protocol.Condition{{Key: state.KeyLeader, Revision: c.lease.keyRevision}}, when...)
		c.compareAndSwap(prio, c.withRevisionCondition(when), then, func(o txnOutcome, r protocol.TxnResult) {
			others := t.pendingSubmits[ref]
			delete(t.pendingSubmits, ref)
			outdated := c.handleRevisionConflict(o, r)
			line.ended(o == txnCommitted || o == txnConflict)
			if o == txnNotExecuted && c.term == t && c.mayActAsLeader() && c.stateServiceHealth.state == ServiceAnswering {
				// Other records left it no room, or less than it seemed.
				wait := line.reserve(c.now.Steady, ref, c.writeRate())
				for _, a := range append(others, to) {
					c.replyUnavailableAfter(a, refusalSubmitRate, wait)
				}
				return
			}
			if o == txnConflict {
				for _, k := range r.Conflicts {
					if k == state.KeyLeader {
						o = txnNotExecuted
						if c.term == t {
							c.stepDownSuperseded("the leader key is another's")
						}
					}
				}
			}
			if outdated {
				o = txnNotExecuted
			}
			done(o, r)
			for _, a := range others {
				if j := t.cluster.Job(ref); j != nil && !isOutcomeUncertain(j) && c.term == t {
					c.reply(a, 200, c.jobStatusBody(j), 0)
				} else {
					c.replyUnavailable(a, refusalStateService)
				}
			}
		})
	}, func() {
		delete(t.pendingSubmits, ref)
		line.ended(false)
	})
}

// urgentSubmitLimiter reports whether a job has to start so soon that its records don't wait in line
// with those of others.
func (c *Controller) isLatencyCritical(s *protocol.JobSpec) bool {
	within := c.startObjective(s.Class)
	return within > 0 && within < latencyCriticalWithin
}

// latencyCriticalWithin is the aim on starting below which a class is pressing.
const latencyCriticalWithin = 10 * protocol.Second
