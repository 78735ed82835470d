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
	// cancelReplyTimeout is how long a user is kept waiting for a cancellation. What can't be
	// confirmed by then is asked again.
	cancelReplyTimeout = 1500 * protocol.Millisecond
	// persistCancelAfter is how long the tasks of a job that is being cancelled may take to end
	// before the request is recorded. Mostly they end before.
	persistCancelAfter = 400 * protocol.Millisecond
	cancelWriteRetry   = 500 * protocol.Millisecond
)

// cancelJob cancels a job: its tasks are stopped until none is left, then the cancellation is
// made durable, and then the user is told.
func (jm *jobManager) cancelJob(to ReplyAddress, ref string) {
	j := jm.cluster.Job(ref)
	if j == nil {
		jm.cancelUntracked(to, ref)
		return
	}
	if j.Dependencies.Cancelled {
		jm.reply(to, http.StatusOK, jm.directory.trackedJobStatus(j))
		return
	}
	switch j.State {
	case state.JobDone, state.JobCancelledLegacy, state.JobClosed:
		jm.reply(to, http.StatusOK, jm.directory.trackedJobStatus(j))
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

// cancelUntracked cancels a job that this leader does not track: it may be over, or its record
// not read yet.
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

// refusePendingCancel answers a user who still waits for a cancellation.
func (jm *jobManager) refusePendingCancel(to ReplyAddress, j *state.Job) {
	ref := j.Spec.Ref
	i := slices.Index(jm.pendingCancels[ref], to)
	if i < 0 {
		return
	}
	jm.pendingCancels[ref] = slices.Delete(slices.Clone(jm.pendingCancels[ref]), i, i+1)
	// A controller that leads no more knows of no tasks.
	if !jm.ended() && j.State == state.JobCancelling && !jm.noAttemptMayRun(j) {
		jm.refuse(to, refusalTasksStopping)
	} else {
		jm.refuse(to, refusalStateService)
	}
}

// confirmPendingCancels answers the users who wait for the cancellation of a job.
func (jm *jobManager) confirmPendingCancels(ref string, body []byte) {
	for _, to := range jm.pendingCancels[ref] {
		jm.reply(to, http.StatusOK, body)
	}
	delete(jm.pendingCancels, ref)
}

// noAttemptMayRun reports whether no task of a job is on a host, nor can be any more: each
// attempt is proven gone, and none of an earlier leader is unheard of.
func (jm *jobManager) noAttemptMayRun(j *state.Job) bool {
	return j.NoActiveAttempts() && (jm.reconciled || !jm.launchesUnrecorded)
}

// completeCancellation writes the final record of a job that its user asked to cancel, once
// none of its tasks can be anywhere. Only after that the user is told: so whatever is cut off,
// down or ends afterwards, there is nothing left to stop. Told before, it would be a promise
// that no later leader can keep when a partition, an outage of the state service and the end
// of all controllers come together.
func (jm *jobManager) completeCancellation(j *state.Job) {
	if j.State != state.JobCancelling || j.Dependencies.Cancelled || j.FinalWriteInFlight || j.Cancellation.WriteInFlight {
		return
	}
	if jm.noAttemptMayRun(j) {
		jm.dependencies.onFinalWriteStarted(j)
		jm.queueFinalRecord(j)
	}
}

// persistCancelRequest records that the user asked to cancel a job, so that a new leader goes
// on with it also if the user has given up asking.
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
		// It was accepted under a larger limit. Its user was told nothing yet, and asks a new
		// leader again.
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

// refreshJobRevision reads the revision of a job's record after a write without an answer.
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

// stopAttempts stops all attempts of a job that nobody has any use for.
func (jm *jobManager) stopAttempts(j *state.Job) {
	for _, a := range j.ActiveAttempts() {
		jm.commands.requestStop(a, 0)
	}
	jm.cycleNeeded = true
}

// isCancelled reports whether nobody has any use for an attempt: its user asked to cancel the
// job. To stop it needs no lease: the worker heeds a stop only as long as it has seen no newer
// epoch, and then the user has not been told that the job goes on either. So the tasks of a
// cancelled job end also while the state service is down for everybody, and the user is told as
// soon as it is back.
func isCancelled(a *state.Attempt) bool {
	return a.Job != nil && (a.Job.State == state.JobCancelling || a.Job.State == state.JobCancelledLegacy)
}
