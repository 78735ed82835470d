package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// Cancellations, from the request to the proof that no task is left.

// cancelJob ends a job: durable first, then the answer, then its tasks are
// stopped until none is left.
func (c *Controller) cancelJob(to ReplyAddress, ref string) {
	t := c.term
	j := t.cluster.Job(ref)
	if j == nil {
		c.findJob(priorityUser, ref, func(j *state.Job, f finishedJob, found, ok bool) {
			switch {
			case !ok:
				c.replyUnavailable(to, refusalStateService)
			case !found:
				c.reply(to, 404, protocol.ErrorBody("no such job"), 0)
			case j == nil:
				c.replyFinishedJob(to, ref, f)
			case c.term != nil && c.mayActAsLeader() && c.term.cluster.Job(ref) != nil:
				c.cancelJob(to, ref)
			default:
				c.replyUnavailable(to, refusalNoLeader)
			}
		})
		return
	}
	if j.DependencyCancelled {
		c.reply(to, 200, c.jobStatusBody(j), 0)
		return
	}
	switch j.State {
	case state.JobDone, state.JobCancelledLegacy, state.JobClosed:
		c.reply(to, 200, c.jobStatusBody(j), 0)
	case state.JobCancelling, state.JobFinishing:
		t.pendingCancels[ref] = append(t.pendingCancels[ref], to)
	case state.JobActive, state.JobBlocked:
		t.pendingCancels[ref] = append(t.pendingCancels[ref], to)
		j.SetState(state.JobCancelling)
		j.CancelRequestedWall = c.now.Wall
		c.log.Debug("cancel asked", "ref", ref, "attempts", j.AttemptCount)
		c.stopJob(j)
		c.completeCancellation(j)
	}
	// Nobody is kept waiting longer than this: what can't be said yet is asked again.
	c.after(1500*protocol.Millisecond, func() {
		for i, a := range t.pendingCancels[ref] {
			if a == to {
				t.pendingCancels[ref] = append(t.pendingCancels[ref][:i:i], t.pendingCancels[ref][i+1:]...)
				// This node may lead no more, and knows of no tasks then.
				if c.term == t && j.State == state.JobCancelling && !c.noAttemptMayRun(j) {
					c.replyUnavailable(to, refusalTasksStopping)
				} else {
					c.replyUnavailable(to, refusalStateService)
				}
				return
			}
		}
	})
}

// noAttemptMayRun reports whether no task of a job is on a machine, nor can be any more: each
// attempt is proven gone, and none of an earlier leader is unheard of.
func (c *Controller) noAttemptMayRun(j *state.Job) bool {
	return j.NoActiveAttempts() && (c.term.reconciled || !c.term.launchesUnrecorded)
}

// completeCancellation ends a job that its user asked to cancel, once none of its tasks can
// be anywhere. Only then the cancellation is written, and only after that the user is
// told: so whatever is cut off, down or ends afterwards, there is nothing left to
// stop. Told before, it was a promise that no later leader could keep when a cut, an
// outage of the state service and the end of all controllers came together.
func (c *Controller) completeCancellation(j *state.Job) {
	if j.State == state.JobCancelling && !j.DependencyCancelled && !j.FinalWriteInFlight && !j.CancelWriteInFlight && c.noAttemptMayRun(j) {
		c.onFinalWriteStarted(j)
		c.queueFinalRecord(j)
	}
}

// persistCancelAfter is how long the tasks of a job that is being cancelled may take to
// end before the request is kept in the state service. Mostly they end before.
const persistCancelAfter = 400 * protocol.Millisecond

// persistCancelRequest keeps the request in the state service, so that a new leader goes on with
// it also if its user has given up asking.
func (c *Controller) persistCancelRequest(j *state.Job) {
	if j.CancelPersisted || j.CancelWriteInFlight || j.FinalWriteInFlight || j.DependencyCancelled || c.now.Wall-j.CancelRequestedWall < persistCancelAfter || c.now.Steady < j.CancelRetryAt {
		return
	}
	ref := j.Spec.Ref
	value := state.EncodeJob(j)
	if len(value) > c.stateLimits.accepted.maxValueBytes {
		// It was accepted under a larger limit. Its user was told nothing yet, and asks a
		// new leader again.
		j.CancelPersisted = true
		return
	}
	j.CancelWriteInFlight = true
	when := []protocol.Condition{{Key: state.JobPrefix + ref, Revision: j.Revision}}
	then := []protocol.Change{{Key: state.JobPrefix + ref, Value: value}}
	c.leaderTransaction(priorityUser, when, then, func(o txnOutcome, r protocol.TxnResult) {
		j.CancelWriteInFlight = false
		if o == txnCommitted {
			j.Revision, j.CancelPersisted = r.Revision, true
			c.completeCancellation(j)
			return
		}
		j.CancelRetryAt = c.now.Steady + 500*protocol.Millisecond
		if o == txnUnknown || o == txnConflict {
			c.refreshJobRevision(j) // an earlier try may have been applied late
		}
	})
}

// refreshJobRevision reads the stamp of a job's record after a write without an answer.
func (c *Controller) refreshJobRevision(j *state.Job) {
	t := c.term
	j.CancelWriteInFlight = true
	c.getKey(priorityUser, state.JobPrefix+j.Spec.Ref, func(e protocol.Entry, found, ok bool) {
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
		c.requestStop(a, 0)
	}
	c.term.cycleNeeded = true
}
