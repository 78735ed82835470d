package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// Submissions: what can be accepted, by the leader and without it.

// directSubmit creates a job's record without the leader, which notices it.
func (c *Controller) directSubmit(to Address, spec *protocol.JobSpec, over func()) {
	if len(c.types) == 0 {
		c.get(prioUser, state.KeyTypes, func(e protocol.Entry, found, ok bool) {
			if found {
				c.tookKeptTypes(e.Value)
			}
			if len(c.types) == 0 {
				over()
				c.unavailable(to, refusedTypes)
				return
			}
			c.directSubmit(to, spec, over)
		})
		return
	}
	if c.config != nil && !c.config.known {
		c.readHead(prioUser, func(ok bool) {
			if !ok {
				over()
				c.unavailable(to, refusedState)
				return
			}
			c.directSubmit(to, spec, over)
		})
		return
	}
	if c.levels != nil && !c.levels.known {
		c.readLevel(prioUser, func(ok bool) {
			if !ok || !c.levels.known {
				over()
				c.unavailable(to, refusedState)
				return
			}
			c.directSubmit(to, spec, over)
		})
		return
	}
	if c.levels != nil && !c.levels.serves.Serves(c.levels.active) {
		over()
		c.unavailable(to, refusedLevel)
		return
	}
	if why := c.impossible(spec); why != "" {
		over()
		c.refuse(to, spec, why)
		return
	}
	if len(spec.DependsOn) == 0 {
		c.directCreate(to, spec, protocol.PhaseQueued, over)
		return
	}
	c.admitAwaits(to, spec, over, func(cancelled bool) {
		phase := protocol.PhaseQueued
		if cancelled {
			phase = protocol.PhaseCancelled
		}
		c.directCreate(to, spec, phase, over)
	})
}

// directCreate creates a job's record without the leader. phase is what its user is told.
func (c *Controller) directCreate(to Address, spec *protocol.JobSpec, phase protocol.Phase, over func()) {
	j := state.NewJob(spec)
	j.SubmittedWall = c.at.Wall
	c.create(to, j, phase, func(when []protocol.Condition, then []protocol.Change, done func(txnOutcome, protocol.TxnResult)) {
		c.txn(prioUser, c.underLevel(c.underRevision(when)), then, func(o txnOutcome, r protocol.TxnResult) {
			over()
			if outdated, other := c.outdated(o, r), c.otherLevel(o, r); outdated || other {
				o = txnRejected
			}
			done(o, r)
		})
	}, over)
}

// refuse answers 422, unless the job was accepted before: machine types may
// have been others then.
func (c *Controller) refuse(to Address, spec *protocol.JobSpec, why string) {
	if c.config != nil && !c.mayStart() {
		// The revision that this node knows may be an old one, and what it refuses
		// depends on nothing that would show it.
		c.readHead(prioUser, func(ok bool) {
			if why = c.impossible(spec); !ok || why == "" {
				c.unavailable(to, refusedState)
				return
			}
			c.refuseUnknown(to, spec, 422, why)
		})
		return
	}
	c.refuseUnknown(to, spec, 422, why)
}

// refuseUnknown refuses a job with a status unless it was accepted before.
func (c *Controller) refuseUnknown(to Address, spec *protocol.JobSpec, status int, why string) {
	c.find(prioUser, spec.Ref, func(j *state.Job, f final, found, ok bool) {
		switch {
		case !ok:
			c.unavailable(to, refusedState)
		case found:
			c.answerKnown(to, spec.Ref, j, f)
		default:
			c.reply(to, status, protocol.ErrorBody(why), 0)
		}
	})
}

func (c *Controller) answerKnown(to Address, ref string, j *state.Job, f final) {
	if j != nil {
		c.answerLive(to, j)
		return
	}
	c.replyFinal(to, ref, f)
}

type writer func(when []protocol.Condition, then []protocol.Change, done func(txnOutcome, protocol.TxnResult))

// create records a job if it is not there yet, and answers once it is durable, with the
// phase given unless this node leads and knows better. A leader takes it into its book only
// if it was written in this term, and is not over already: it may have noticed the job long
// before the answer comes, or another leader may have, and ended it. One that it does not
// take here it notices as those that other nodes write.
func (c *Controller) create(to Address, j *state.Job, phase protocol.Phase, write writer, refused func()) {
	ref, t := j.Spec.Ref, c.term
	value := state.EncodeJob(j)
	// An earlier submission of it may have been accepted under a larger limit.
	tooLong := func() { c.refuseUnknown(to, j.Spec, 400, "description too long") }
	if len(value) > c.limits.allowed.valueBytes {
		refused()
		// The record that it was accepted with may have been shorter: it names an epoch.
		tooLong()
		return
	}
	when := []protocol.Condition{{Key: state.JobPrefix + ref}, {Key: state.FinalPrefix + ref}}
	then := []protocol.Change{{Key: state.JobPrefix + ref, Value: value}}
	write(when, then, func(o txnOutcome, r protocol.TxnResult) {
		switch o {
		case txnApplied:
			if f, over := c.finals.find(ref); over {
				c.replyFinal(to, ref, f)
				return
			}
			j.Revision = r.Revision
			if c.mayStart() && c.term == t && t.book.Job(ref) == nil {
				c.enter(j)
			}
			body := protocol.JobStatusBody(ref, phase, 0, 0)
			if len(j.Spec.DependsOn) > 0 && c.knows(j) {
				body = c.jobAnswer(j)
			}
			c.reply(to, 201, body, 0)
		case txnRefused:
			c.find(prioUser, ref, func(j *state.Job, f final, found, ok bool) {
				if !ok || !found {
					c.unavailable(to, refusedState)
					return
				}
				c.answerKnown(to, ref, j, f)
			})
		case txnTooLarge, txnMalformed:
			if len(value) > c.limits.allowed.valueBytes {
				tooLong()
				return
			}
			c.unavailable(to, refusedState)
		default:
			c.unavailable(to, refusedState)
		}
	})
}

// impossible says why a job can never run, or nothing.
func (c *Controller) impossible(s *protocol.JobSpec) string {
	team, ok := c.team(s.Team)
	if !ok {
		return "unknown team"
	}
	if team.Retired {
		return "the team takes no new jobs"
	}
	fits := false
	for _, t := range c.types {
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
func (c *Controller) submit(to Address, spec *protocol.JobSpec) {
	t := c.term
	ref := spec.Ref
	if j := t.book.Job(ref); j != nil && ending(j) {
		c.lookUp(to, ref, func() {})
		return
	} else if j != nil {
		c.reply(to, 200, c.jobAnswer(j), 0)
		return
	}
	if len(c.types) == 0 {
		c.unavailable(to, refusedTypes)
		return
	}
	if why := c.impossible(spec); why != "" {
		c.refuse(to, spec, why)
		return
	}
	if !c.knowsAwaited(spec) {
		c.admitUnknown(to, spec)
		return
	}
	c.admit(to, spec)
}

// admitUnknown accepts a job as the leader of which it has to look up what it awaits.
func (c *Controller) admitUnknown(to Address, spec *protocol.JobSpec) {
	if c.askedTooMuch() {
		c.unavailable(to, refusedQuestions)
		return
	}
	c.looking++
	t := c.term
	over := func() { c.looking-- }
	c.admitAwaits(to, spec, over, func(bool) {
		over()
		if c.term != t || !c.mayStart() {
			c.unavailable(to, refusedNoLeader)
			return
		}
		if j := t.book.Job(spec.Ref); j != nil {
			c.answerLive(to, j)
			return
		}
		c.admit(to, spec)
	})
}

// admit accepts a job as the leader, in its turn.
func (c *Controller) admit(to Address, spec *protocol.JobSpec) {
	t := c.term
	ref := spec.Ref
	if waiting, ok := t.submits[ref]; ok {
		t.submits[ref] = append(waiting, to)
		return
	}
	// What would have to wait for its record for longer than users should is
	// refused at once: they are told when its turn comes.
	prio, line := prioUser, &t.admitted
	if c.pressing(spec) {
		prio, line = prioPressing, &t.pressing
	}
	if wait, ok := line.ask(c.at.Steady, ref, c.writeRate()); !ok {
		if at := c.at.Steady; at-t.budgetLog > 5*protocol.Second {
			t.budgetLog = at
			c.log.Info("state budget used up", "waiting", line.waiting, "a_second", int64(line.rate), "delay_ms", int64(wait/protocol.Millisecond))
		}
		c.later(to, refusedBudget, wait)
		return
	}
	t.submits[ref] = nil
	line.began()
	j := state.NewJob(spec)
	j.SubmittedWall, j.LeaderEpoch = c.at.Wall, t.epoch
	c.create(to, j, protocol.PhaseQueued, func(when []protocol.Condition, then []protocol.Change, done func(txnOutcome, protocol.TxnResult)) {
		when = append([]protocol.Condition{{Key: state.KeyLeader, Revision: c.seat.stamp}}, when...)
		c.txn(prio, c.underRevision(when), then, func(o txnOutcome, r protocol.TxnResult) {
			others := t.submits[ref]
			delete(t.submits, ref)
			outdated := c.outdated(o, r)
			line.ended(o == txnApplied || o == txnRefused)
			if o == txnRejected && c.term == t && c.mayStart() && c.stateReach.state == Answering {
				// Other records left it no room, or less than it seemed.
				wait := line.promise(c.at.Steady, ref, c.writeRate())
				for _, a := range append(others, to) {
					c.later(a, refusedBudget, wait)
				}
				return
			}
			if o == txnRefused {
				for _, k := range r.Conflicts {
					if k == state.KeyLeader {
						o = txnRejected
						if c.term == t {
							c.deposed("the leader key is another's")
						}
					}
				}
			}
			if outdated {
				o = txnRejected
			}
			done(o, r)
			for _, a := range others {
				if j := t.book.Job(ref); j != nil && !ending(j) && c.term == t {
					c.reply(a, 200, c.jobAnswer(j), 0)
				} else {
					c.unavailable(a, refusedState)
				}
			}
		})
	}, func() {
		delete(t.submits, ref)
		line.ended(false)
	})
}

// pressing reports whether a job has to start so soon that its records don't wait in line
// with those of others.
func (c *Controller) pressing(s *protocol.JobSpec) bool {
	within := c.startWithin(s.Class)
	return within > 0 && within < pressingWithin
}

// pressingWithin is the aim on starting below which a class is pressing.
const pressingWithin = 10 * protocol.Second
