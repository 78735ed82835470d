package controller

import (
	"errors"
	"net/http"
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
	"mapleslip/internal/statestore"
)

const (
	// cancelReplyTimeout limits how long a user waits for the confirmation of a cancellation.
	// After that the request is refused, and the user has to repeat it.
	cancelReplyTimeout = 1500 * protocol.Millisecond
	// persistCancelAfter is the delay before the request to cancel a job is written to the state
	// service. Usually the tasks of the job end earlier, so that no write is needed.
	persistCancelAfter = 400 * protocol.Millisecond
	cancelWriteRetry   = 500 * protocol.Millisecond
)

// cancelJob cancels a job: the leader stops its tasks, writes the final record once no task is
// left, and then confirms the cancellation to the user.
func (jm *jobManager) cancelJob(to ReplyAddress, ref string) {
	j := jm.cluster.Job(ref)
	if j == nil {
		jm.cancelUntracked(to, ref)
		return
	}
	if j.Dependencies.Cancelled {
		jm.directory.replyTracked(to, j)
		return
	}
	switch j.State {
	case state.JobDone, state.JobCancelledLegacy, state.JobClosed:
		jm.directory.replyTracked(to, j)
	case state.JobCancelling, state.JobFinishing:
		jm.pendingCancels[ref] = append(jm.pendingCancels[ref], to)
	case state.JobActive, state.JobBlocked:
		jm.pendingCancels[ref] = append(jm.pendingCancels[ref], to)
		j.SetState(state.JobCancelling)
		j.Cancellation.RequestedWall = jm.now.Wall
		jm.log.Debug("cancellation requested", "ref", ref, "attempts", j.AttemptCount)
		jm.stopAttempts(j)
		jm.completeCancellation(j)
	}
	jm.after(cancelReplyTimeout, func() { jm.refusePendingCancel(to, j) })
}

// cancelUntracked cancels a job that this leader does not track: the job may be finished, or its
// record may not have been read yet.
func (jm *jobManager) cancelUntracked(to ReplyAddress, ref string) {
	jm.directory.findJob(priorityUser, ref, func(found jobLookup, err error) {
		switch {
		case errors.Is(err, errJobNotFound):
			jm.replyError(to, http.StatusNotFound, noSuchJob)
		case err != nil:
			jm.refuse(to, refusalStateService)
		case found.active == nil:
			jm.directory.replyFinishedJob(to, ref, found.finished)
		case jm.term != nil && jm.election.mayActAsLeader() && jm.term.cluster.Job(ref) != nil:
			jm.term.jobs.cancelJob(to, ref)
		default:
			jm.refuse(to, refusalNoLeader)
		}
	})
}

// refusePendingCancel refuses the request of a user whose cancellation was not confirmed in time.
func (jm *jobManager) refusePendingCancel(to ReplyAddress, j *state.Job) {
	ref := j.Spec.Ref
	i := slices.Index(jm.pendingCancels[ref], to)
	if i < 0 {
		return
	}
	jm.pendingCancels[ref] = slices.Delete(slices.Clone(jm.pendingCancels[ref]), i, i+1)
	// A controller that no longer leads in this term has no current information on tasks.
	if !jm.ended() && j.State == state.JobCancelling && !jm.noAttemptMayRun(j) {
		jm.refuse(to, refusalTasksStopping)
	} else {
		jm.refuse(to, refusalStateService)
	}
}

// confirmPendingCancels replies to the users who wait for the cancellation of a job.
func (jm *jobManager) confirmPendingCancels(ref string, body []byte) {
	for _, to := range jm.pendingCancels[ref] {
		jm.reply(to, http.StatusOK, body)
	}
	delete(jm.pendingCancels, ref)
}

// noAttemptMayRun reports whether no task of a job can be on a host: each known attempt is proven
// to have ended, and no attempt of an earlier leader can be unknown to this one.
func (jm *jobManager) noAttemptMayRun(j *state.Job) bool {
	return j.NoActiveAttempts() && (jm.reconciled || !jm.launchesUnrecorded)
}

// completeCancellation writes the final record of a job that is being cancelled, once none of its
// tasks can be on a host. The user gets the confirmation only after that, so that nothing is left
// to stop, whichever components fail or are partitioned afterwards. An earlier confirmation could
// not be honored by a later leader if a partition, an outage of the state service and the end of
// all controllers coincide.
func (jm *jobManager) completeCancellation(j *state.Job) {
	if j.State != state.JobCancelling || j.Dependencies.Cancelled || j.FinalWriteInFlight || j.Cancellation.WriteInFlight {
		return
	}
	if jm.noAttemptMayRun(j) {
		jm.dependencies.onFinalWriteStarted(j)
		jm.queueFinalRecord(j)
	}
}

// persistCancelRequest writes the request to cancel a job to the job's record, so that a new
// leader continues the cancellation even if the user no longer repeats the request.
func (jm *jobManager) persistCancelRequest(j *state.Job) {
	c := &j.Cancellation
	if c.Persisted || c.WriteInFlight || j.FinalWriteInFlight || j.Dependencies.Cancelled {
		return
	}
	if jm.now.Wall-c.RequestedWall < persistCancelAfter || jm.now.Steady < c.RetryAt {
		return
	}
	value := records.EncodeJob(j)
	if len(value) > jm.store.Accepted().MaxValueBytes {
		// The job was accepted under a larger limit, and the record can't be rewritten. The user
		// has no confirmation yet, and repeats the request to a new leader.
		c.Persisted = true
		return
	}
	c.WriteInFlight = true
	key := records.JobPrefix + j.Spec.Ref
	when := []protocol.Condition{{Key: key, Revision: j.Revision}}
	then := []protocol.Change{{Key: key, Value: value}}
	jm.election.transaction(priorityUser, when, then, func(revision uint64, err error) {
		c.WriteInFlight = false
		if err == nil {
			j.Revision, c.Persisted = revision, true
			jm.completeCancellation(j)
			return
		}
		c.RetryAt = jm.now.Steady + cancelWriteRetry
		if errors.Is(err, statestore.ErrOutcomeUnknown) || statestore.IsConflict(err) {
			jm.refreshJobRevision(j) // an earlier write may have been carried out late
		}
	})
}

// refreshJobRevision reads the revision of a job's record after a write that conflicted or whose
// outcome is unknown.
func (jm *jobManager) refreshJobRevision(j *state.Job) {
	j.Cancellation.WriteInFlight = true
	jm.store.Get(priorityUser, records.JobPrefix+j.Spec.Ref, func(e protocol.Entry, err error) {
		if jm.ended() {
			return
		}
		j.Cancellation.WriteInFlight = false
		if err == nil {
			j.Revision = e.Revision
		}
	})
}

// stopAttempts requests the stop of all attempts of a job that is being cancelled.
func (jm *jobManager) stopAttempts(j *state.Job) {
	for _, a := range j.ActiveAttempts() {
		jm.commands.requestStop(a, 0)
	}
	jm.cycleNeeded = true
}

// isJobCancelled reports whether an attempt belongs to a job that its user asked to cancel.
// Stopping such an attempt needs no valid lease: the worker accepts the stop only while it has seen
// no newer epoch, and until then no newer leader has reported to the user that the job continues.
// So the tasks of a cancelled job end even while no controller can reach the state service, and the
// user gets the confirmation as soon as it is available again.
func isJobCancelled(a *state.Attempt) bool {
	return a.Job != nil && (a.Job.State == state.JobCancelling || a.Job.State == state.JobCancelledLegacy)
}
