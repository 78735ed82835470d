package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
)

// cancelJob ends a job: durable first, then the answer, then its tasks are
// stopped until none is left.
func (jm *jobManager) cancelJob(to ReplyAddress, ref string) {
	j := jm.cluster.Job(ref)
	if j == nil {
		jm.directory.findJob(priorityUser, ref, func(j *state.Job, f finishedJob, found, ok bool) {
			switch {
			case !ok:
				jm.replyUnavailable(to, refusalStateService)
			case !found:
				jm.reply(to, 404, protocol.ErrorBody("no such job"), 0)
			case j == nil:
				jm.directory.replyFinishedJob(to, ref, f)
			case jm.term != nil && jm.election.mayActAsLeader() && jm.term.cluster.Job(ref) != nil:
				jm.term.jobs.cancelJob(to, ref)
			default:
				jm.replyUnavailable(to, refusalNoLeader)
			}
		})
		return
	}
	if j.Dependencies.Cancelled {
		jm.reply(to, 200, jm.directory.jobStatusBody(j), 0)
		return
	}
	switch j.State {
	case state.JobDone, state.JobCancelledLegacy, state.JobClosed:
		jm.reply(to, 200, jm.directory.jobStatusBody(j), 0)
	case state.JobCancelling, state.JobFinishing:
		jm.pendingCancels[ref] = append(jm.pendingCancels[ref], to)
	case state.JobActive, state.JobBlocked:
		jm.pendingCancels[ref] = append(jm.pendingCancels[ref], to)
		j.SetState(state.JobCancelling)
		j.Cancellation.RequestedWall = jm.now.Wall
		jm.log.Debug("cancel asked", "ref", ref, "attempts", j.AttemptCount)
		jm.stopJob(j)
		jm.completeCancellation(j)
	}
	// Nobody is kept waiting longer than this: what can't be said yet is asked again.
	jm.after(1500*protocol.Millisecond, func() {
		for i, a := range jm.pendingCancels[ref] {
			if a == to {
				jm.pendingCancels[ref] = append(jm.pendingCancels[ref][:i:i], jm.pendingCancels[ref][i+1:]...)
				// This node may lead no more, and knows of no tasks then.
				if !jm.ended() && j.State == state.JobCancelling && !jm.noAttemptMayRun(j) {
					jm.replyUnavailable(to, refusalTasksStopping)
				} else {
					jm.replyUnavailable(to, refusalStateService)
				}
				return
			}
		}
	})
}

// noAttemptMayRun reports whether no task of a job is on a machine, nor can be any more: each
// attempt is proven gone, and none of an earlier leader is unheard of.
func (jm *jobManager) noAttemptMayRun(j *state.Job) bool {
	return j.NoActiveAttempts() && (jm.reconciled || !jm.launchesUnrecorded)
}

// completeCancellation ends a job that its user asked to cancel, once none of its tasks can
// be anywhere. Only then the cancellation is written, and only after that the user is
// told: so whatever is cut off, down or ends afterwards, there is nothing left to
// stop. Told before, it was a promise that no later leader could keep when a cut, an
// outage of the state service and the end of all controllers came together.
func (jm *jobManager) completeCancellation(j *state.Job) {
	if j.State == state.JobCancelling && !j.Dependencies.Cancelled && !j.FinalWriteInFlight && !j.Cancellation.WriteInFlight && jm.noAttemptMayRun(j) {
		jm.dependencies.onFinalWriteStarted(j)
		jm.queueFinalRecord(j)
	}
}

// persistCancelAfter is how long the tasks of a job that is being cancelled may take to
// end before the request is kept in the state service. Mostly they end before.
const persistCancelAfter = 400 * protocol.Millisecond

// persistCancelRequest keeps the request in the state service, so that a new leader goes on with
// it also if its user has given up asking.
func (jm *jobManager) persistCancelRequest(j *state.Job) {
	if j.Cancellation.Persisted || j.Cancellation.WriteInFlight || j.FinalWriteInFlight || j.Dependencies.Cancelled || jm.now.Wall-j.Cancellation.RequestedWall < persistCancelAfter || jm.now.Steady < j.Cancellation.RetryAt {
		return
	}
	ref := j.Spec.Ref
	value := records.EncodeJob(j)
	if len(value) > jm.store.limits.accepted.maxValueBytes {
		// It was accepted under a larger limit. Its user was told nothing yet, and asks a
		// new leader again.
		j.Cancellation.Persisted = true
		return
	}
	j.Cancellation.WriteInFlight = true
	when := []protocol.Condition{{Key: records.JobPrefix + ref, Revision: j.Revision}}
	then := []protocol.Change{{Key: records.JobPrefix + ref, Value: value}}
	jm.election.leaderTransaction(priorityUser, when, then, func(o txnOutcome, r protocol.TxnResult) {
		j.Cancellation.WriteInFlight = false
		if o == txnCommitted {
			j.Revision, j.Cancellation.Persisted = r.Revision, true
			jm.completeCancellation(j)
			return
		}
		j.Cancellation.RetryAt = jm.now.Steady + 500*protocol.Millisecond
		if o == txnUnknown || o == txnConflict {
			jm.refreshJobRevision(j) // an earlier try may have been applied late
		}
	})
}

// refreshJobRevision reads the stamp of a job's record after a write without an answer.
func (jm *jobManager) refreshJobRevision(j *state.Job) {
	j.Cancellation.WriteInFlight = true
	jm.store.getKey(priorityUser, records.JobPrefix+j.Spec.Ref, func(e protocol.Entry, found, ok bool) {
		if jm.ended() {
			return
		}
		j.Cancellation.WriteInFlight = false
		if found {
			j.Revision = e.Revision
		}
	})
}

// stopJob stops all attempts of a job that nobody has any use for.
func (jm *jobManager) stopJob(j *state.Job) {
	for _, a := range j.ActiveAttempts() {
		jm.commands.requestStop(a, 0)
	}
	jm.cycleNeeded = true
}

// isCancelled reports whether nobody has any use for an attempt: its user asked to cancel
// the job. To stop it needs no lease: the worker heeds a stop only as long as it has seen
// no newer epoch, and then the user has not been told that the job goes on either. So the
// tasks of a cancelled job end also while the state service is down for everybody, for
// longer than a cancellation has, and the user is told as soon as it is back.
func isCancelled(a *state.Attempt) bool {
	return a.Job != nil && (a.Job.State == state.JobCancelling || a.Job.State == state.JobCancelledLegacy)
}
