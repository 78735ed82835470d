package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// Cancellations, from the request to the proof that no task is left.

// cancel ends a job: durable first, then the answer, then its tasks are
// stopped until none is left.
func (c *Controller) cancel(to Address, ref string) {
	t := c.term
	j := t.book.Job(ref)
	if j == nil {
		c.find(prioUser, ref, func(j *state.Job, f final, found, ok bool) {
			switch {
			case !ok:
				c.unavailable(to, refusedState)
			case !found:
				c.reply(to, 404, protocol.ErrorBody("no such job"), 0)
			case j == nil:
				c.replyFinal(to, ref, f)
			case c.term != nil && c.mayStart() && c.term.book.Job(ref) != nil:
				c.cancel(to, ref)
			default:
				c.unavailable(to, refusedNoLeader)
			}
		})
		return
	}
	if j.DependencyCancelled {
		c.reply(to, 200, c.jobAnswer(j), 0)
		return
	}
	switch j.State {
	case state.JobDone, state.JobCancelledLegacy, state.JobClosed:
		c.reply(to, 200, c.jobAnswer(j), 0)
	case state.JobCancelling, state.JobFinishing:
		t.cancels[ref] = append(t.cancels[ref], to)
	case state.JobActive, state.JobBlocked:
		t.cancels[ref] = append(t.cancels[ref], to)
		j.SetState(state.JobCancelling)
		j.CancelRequestedWall = c.at.Wall
		c.log.Debug("cancel asked", "ref", ref, "attempts", j.AttemptCount)
		c.stopJob(j)
		c.endCancelled(j)
	}
	// Nobody is kept waiting longer than this: what can't be said yet is asked again.
	c.after(1500*protocol.Millisecond, func() {
		for i, a := range t.cancels[ref] {
			if a == to {
				t.cancels[ref] = append(t.cancels[ref][:i:i], t.cancels[ref][i+1:]...)
				// This node may lead no more, and knows of no tasks then.
				if c.term == t && j.State == state.JobCancelling && !c.nowhere(j) {
					c.unavailable(to, refusedStops)
				} else {
					c.unavailable(to, refusedState)
				}
				return
			}
		}
	})
}

// nowhere reports whether no task of a job is on a machine, nor can be any more: each
// attempt is proven gone, and none of an earlier leader is unheard of.
func (c *Controller) nowhere(j *state.Job) bool {
	return j.NoActiveAttempts() && (c.term.recovered || !c.term.unlisted)
}

// endCancelled ends a job that its user asked to cancel, once none of its tasks can
// be anywhere. Only then the cancellation is written, and only after that the user is
// told: so whatever is cut off, down or ends afterwards, there is nothing left to
// stop. Told before, it was a promise that no later leader could keep when a cut, an
// outage of the state service and the end of all controllers came together.
func (c *Controller) endCancelled(j *state.Job) {
	if j.State == state.JobCancelling && !j.DependencyCancelled && !j.FinalWriteInFlight && !j.CancelWriteInFlight && c.nowhere(j) {
		c.closing(j)
		c.finish(j)
	}
}

// askKeptAfter is how long the tasks of a job that is being cancelled may take to
// end before the request is kept in the state service. Mostly they end before.
const askKeptAfter = 400 * protocol.Millisecond

// keepAsk keeps the request in the state service, so that a new leader goes on with
// it also if its user has given up asking.
func (c *Controller) keepAsk(j *state.Job) {
	if j.CancelPersisted || j.CancelWriteInFlight || j.FinalWriteInFlight || j.DependencyCancelled || c.at.Wall-j.CancelRequestedWall < askKeptAfter || c.at.Steady < j.CancelRetryAt {
		return
	}
	ref := j.Spec.Ref
	value := state.EncodeJob(j)
	if len(value) > c.limits.allowed.valueBytes {
		// It was accepted under a larger limit. Its user was told nothing yet, and asks a
		// new leader again.
		j.CancelPersisted = true
		return
	}
	j.CancelWriteInFlight = true
	when := []protocol.Condition{{Key: state.JobPrefix + ref, Revision: j.Revision}}
	then := []protocol.Change{{Key: state.JobPrefix + ref, Value: value}}
	c.lead(prioUser, when, then, func(o txnOutcome, r protocol.TxnResult) {
		j.CancelWriteInFlight = false
		if o == txnApplied {
			j.Revision, j.CancelPersisted = r.Revision, true
			c.endCancelled(j)
			return
		}
		j.CancelRetryAt = c.at.Steady + 500*protocol.Millisecond
		if o == txnUnknown || o == txnRefused {
			c.restampJob(j) // an earlier try may have been applied late
		}
	})
}

// restampJob reads the stamp of a job's record after a write without an answer.
func (c *Controller) restampJob(j *state.Job) {
	t := c.term
	j.CancelWriteInFlight = true
	c.get(prioUser, state.JobPrefix+j.Spec.Ref, func(e protocol.Entry, found, ok bool) {
		if c.term != t {
			return
		}
		j.CancelWriteInFlight = false
		if found {
			j.Revision = e.Revision
		}
	})
}

// stopJob stops all attempts of a job that nobody has any use for.
func (c *Controller) stopJob(j *state.Job) {
	for _, a := range j.ActiveAttempts() {
		c.stop(a, 0)
	}
	c.term.dirty = true
}
