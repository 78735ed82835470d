package controller

import (
	"errors"
	"net/http"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
	"mapleslip/internal/statestore"
)

// jobDirectory looks up jobs, those that a leader tracks and those that are only in the state
// service, and replies to queries for their status.
type jobDirectory struct {
	*environment
	election *election
	store    *statestore.Client

	finishedJobs finishedJobCache
}

// noSuchJob is the text of the error reply for a job that was never accepted.
const noSuchJob = "no such job"

// errJobNotFound is the error of a lookup of a job that was never accepted. All other errors of
// lookups are statestore.ErrUnavailable.
var errJobNotFound = errors.New(noSuchJob)

// jobLookup is the result of a lookup that found a job.
type jobLookup struct {
	active   *state.Job  // nil if the job is finished
	finished finishedJob // set if active is nil
}

// findJob looks up a job in the state service. It reads the active record first, so that a job
// that ends between the two reads is found among the finished ones. A leader adds the active job
// to its cluster state if it sent the read in the current term. An answer to a read from before,
// when another controller led, may predate the end of a job that the other controller finished.
// Jobs that this controller finished itself are in the cache of finished jobs.
func (d *jobDirectory) findJob(priority Priority, ref string, done func(found jobLookup, err error)) {
	term := d.term
	d.store.Get(priority, records.JobPrefix+ref, func(e protocol.Entry, err error) {
		switch {
		case errors.Is(err, statestore.ErrKeyNotFound):
			d.findFinishedJob(priority, ref, done)
			return
		case err != nil:
			done(jobLookup{}, err)
			return
		}
		j, err := records.DecodeJob(e.Value)
		if err != nil {
			d.logMalformed("state", err)
			done(jobLookup{}, statestore.ErrUnavailable)
			return
		}
		j.Revision = e.Revision
		if d.election.mayActAsLeader() && d.term == term {
			if tracked := d.term.jobs.observeJobRecord(e); tracked != nil {
				j = tracked
			}
		}
		done(jobLookup{active: j}, nil)
	})
}

// findFinishedJob looks up the final record of a job in the state service.
func (d *jobDirectory) findFinishedJob(priority Priority, ref string, done func(found jobLookup, err error)) {
	d.store.Get(priority, records.FinalPrefix+ref, func(e protocol.Entry, err error) {
		switch {
		case errors.Is(err, statestore.ErrKeyNotFound):
			done(jobLookup{}, errJobNotFound)
			return
		case err != nil:
			done(jobLookup{}, err)
			return
		}
		phase, tasks, err := records.DecodeFinal(e.Value)
		if err != nil {
			d.logMalformed("state", err)
			done(jobLookup{}, statestore.ErrUnavailable)
			return
		}
		f := finishedJob{phase, tasks}
		d.cacheFinishedJob(ref, f)
		done(jobLookup{finished: f}, nil)
	})
}

// cacheFinishedJob caches the last phase of a job whose final record is durable, and updates the
// jobs that depend on it.
func (d *jobDirectory) cacheFinishedJob(ref string, f finishedJob) {
	d.finishedJobs.add(ref, f)
	if d.term != nil {
		d.term.dependencies.onDependencyFinished(ref, f.phase)
	}
}

// replyFromStateService replies to a status query from the state service. lookupDone is called
// when the lookup has ended.
func (d *jobDirectory) replyFromStateService(to ReplyAddress, ref string, lookupDone func()) {
	// Urgent, because users poll at short intervals and wait for the reply to a submission.
	d.findJob(priorityUrgent, ref, func(found jobLookup, err error) {
		lookupDone()
		switch {
		case errors.Is(err, errJobNotFound):
			d.replyError(to, http.StatusNotFound, noSuchJob)
		case err != nil:
			d.refuse(to, refusalStateService)
		default:
			d.replyFound(to, ref, found)
		}
	})
}

// replyFound replies with the status of a job that a lookup found.
func (d *jobDirectory) replyFound(to ReplyAddress, ref string, found jobLookup) {
	if found.active != nil {
		d.replyActiveJob(to, found.active)
		return
	}
	d.replyFinishedJob(to, ref, found.finished)
}

// replyFinishedJob replies with the status of a finished job.
func (d *jobDirectory) replyFinishedJob(to ReplyAddress, ref string, f finishedJob) {
	done := 0
	if f.phase == protocol.PhaseDone {
		done = f.tasks
	}
	d.replyStatus(to, ref, answerFinalRecord, protocol.JobStatusBody(ref, f.phase, done, 0))
}

// replyActiveJob replies with the status of a job that has no final record. Unless this leader
// tracks the job and its outcome is certain, it checks first whether a dependency is cancelled.
func (d *jobDirectory) replyActiveJob(to ReplyAddress, j *state.Job) {
	certain := d.isTrackedByLeader(j) && !j.Dependencies.Uncertain
	if certain || len(j.Spec.DependsOn) == 0 || j.State == state.JobCancelledLegacy {
		d.replyActiveStatus(to, j)
		return
	}
	d.checkDependencies(priorityUrgent, j.Spec.DependsOn, func(status dependencyStatus) {
		switch {
		case status.cancelled:
			d.replyStatus(to, j.Spec.Ref, answerFinalRecord, protocol.JobStatusBody(j.Spec.Ref, protocol.PhaseCancelled, 0, 0))
		case status.inconclusive:
			d.refuse(to, refusalStateService)
		default:
			d.replyActiveStatus(to, j)
		}
	})
}

// isTrackedByLeader reports whether this controller leads, and j is the job in its cluster state.
func (d *jobDirectory) isTrackedByLeader(j *state.Job) bool {
	return d.election.mayActAsLeader() && d.term.cluster.Job(j.Spec.Ref) == j
}

// replyActiveStatus replies with the status of an active job by the leader's cluster state if this
// controller leads, and by the job's record otherwise.
func (d *jobDirectory) replyActiveStatus(to ReplyAddress, j *state.Job) {
	ref := j.Spec.Ref
	switch {
	case d.isTrackedByLeader(j):
		d.replyTracked(to, j)
	case j.State == state.JobCancelledLegacy:
		d.replyStatus(to, ref, answerRecord, protocol.JobStatusBody(ref, protocol.PhaseCancelled, 0, 0))
	default:
		d.replyStatus(to, ref, answerRecord, protocol.JobStatusBody(ref, protocol.PhaseQueued, 0, 0))
	}
}

// trackedJobStatus returns the status of a job in the cluster state.
func (d *jobDirectory) trackedJobStatus(j *state.Job) []byte {
	ref := j.Spec.Ref
	if j.Dependencies.Cancelled {
		return protocol.JobStatusBody(ref, protocol.PhaseCancelled, 0, 0)
	}
	switch j.State {
	case state.JobBlocked:
		return protocol.WaitingJobStatusBody(ref, j.Dependencies.Unmet)
	case state.JobDone:
		return protocol.JobStatusBody(ref, protocol.PhaseDone, j.CompletedTasks, 0)
	case state.JobCancelledLegacy, state.JobClosed:
		return protocol.JobStatusBody(ref, protocol.PhaseCancelled, j.CompletedTasks, 0)
	case state.JobActive, state.JobCancelling, state.JobFinishing:
	}
	phase := protocol.PhaseQueued
	if j.RunningTasks > 0 || j.State == state.JobFinishing {
		phase = protocol.PhaseRunning
	}
	return protocol.JobStatusBody(ref, phase, j.CompletedTasks, j.RunningTasks)
}

// isOutcomeUncertain reports whether a job's final record is being written. The record may be
// durable before the leader gets the answer, for seconds if the answer is lost and the write is
// carried out late. Another controller that reads the record replies with the final status, after
// which the leader must not reply with an older one. So until the outcome is known, the leader
// also replies from the state service. The same applies to a job with dependencies while the
// final record of one of them is being written or has not been read. A job with a cancelled
// dependency is cancelled regardless of its own record.
func isOutcomeUncertain(j *state.Job) bool {
	return !j.Dependencies.Cancelled && (j.State == state.JobFinishing || j.FinalWriteInFlight || j.Dependencies.Uncertain)
}
