package controller

import (
	"errors"
	"net/http"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
	"mapleslip/internal/statestore"
)

// jobDirectory finds jobs, those that a leader tracks and those that only the state service
// has, and answers how they stand.
type jobDirectory struct {
	*environment
	election *election
	store    *statestore.Client

	finishedJobs finishedJobCache
}

// noSuchJob is the error that users get for a job that was never accepted.
const noSuchJob = "no such job"

// errJobNotFound is that of a lookup of a job that was never accepted. Other errors of lookups
// are statestore.ErrUnavailable.
var errJobNotFound = errors.New(noSuchJob)

// jobLookup is a job that was found.
type jobLookup struct {
	active   *state.Job  // nil: the job is finished
	finished finishedJob // if it is
}

// findJob looks for a job in the state service. The active record is read first: a job that
// ends meanwhile is then found among the finished ones. A leader adds the active job that it
// finds to its cluster state, if it was read in this term: an answer that was on its way while
// another controller led says nothing of what that one ended. What this controller ended
// itself it knows.
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

// findFinishedJob looks for a job among the finished ones.
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

// cacheFinishedJob keeps the last phase of a job that is durably over, and tells the jobs that
// depend on it.
func (d *jobDirectory) cacheFinishedJob(ref string, f finishedJob) {
	d.finishedJobs.add(ref, f)
	if d.term != nil {
		d.term.dependencies.onDependencyFinished(ref, f.phase)
	}
}

// replyFromStateService answers a query from the state service. looked is called once the job
// was looked up.
func (d *jobDirectory) replyFromStateService(to ReplyAddress, ref string, looked func()) {
	// Users poll again soon, and wait for a submission.
	d.findJob(priorityUrgent, ref, func(found jobLookup, err error) {
		looked()
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

// replyFound answers how a job stands that was looked up.
func (d *jobDirectory) replyFound(to ReplyAddress, ref string, found jobLookup) {
	if found.active != nil {
		d.replyActiveJob(to, found.active)
		return
	}
	d.replyFinishedJob(to, ref, found.finished)
}

// replyFinishedJob answers how a job ended.
func (d *jobDirectory) replyFinishedJob(to ReplyAddress, ref string, f finishedJob) {
	done := 0
	if f.phase == protocol.PhaseDone {
		done = f.tasks
	}
	d.reply(to, http.StatusOK, protocol.JobStatusBody(ref, f.phase, done, 0))
}

// replyActiveJob answers for a job that is not over by its own records.
func (d *jobDirectory) replyActiveJob(to ReplyAddress, j *state.Job) {
	certain := d.isTrackedByLeader(j) && !j.Dependencies.Uncertain
	if certain || len(j.Spec.DependsOn) == 0 || j.State == state.JobCancelledLegacy {
		d.reply(to, http.StatusOK, d.activeJobStatus(j))
		return
	}
	d.checkDependencies(priorityUrgent, j.Spec.DependsOn, func(v dependencyVerdict) {
		switch {
		case v.cancelled:
			d.reply(to, http.StatusOK, protocol.JobStatusBody(j.Spec.Ref, protocol.PhaseCancelled, 0, 0))
		case v.undecided:
			d.refuse(to, refusalStateService)
		default:
			d.reply(to, http.StatusOK, d.activeJobStatus(j))
		}
	})
}

// isTrackedByLeader reports whether this controller leads and the job is the one of its cluster
// state.
func (d *jobDirectory) isTrackedByLeader(j *state.Job) bool {
	return d.election.mayActAsLeader() && d.term.cluster.Job(j.Spec.Ref) == j
}

// activeJobStatus says how a job stands, as its leader or its record has it.
func (d *jobDirectory) activeJobStatus(j *state.Job) []byte {
	switch {
	case d.isTrackedByLeader(j):
		return d.trackedJobStatus(j)
	case j.State == state.JobCancelledLegacy:
		return protocol.JobStatusBody(j.Spec.Ref, protocol.PhaseCancelled, 0, 0)
	}
	return protocol.JobStatusBody(j.Spec.Ref, protocol.PhaseQueued, 0, 0)
}

// trackedJobStatus says how a job of the cluster state stands.
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

// isOutcomeUncertain reports whether a job's final record is on its way. It may be durable
// before its writer knows, for seconds if the answer is lost and the write is carried out late;
// a controller that finds it then tells its user, who must not be told something older by the
// leader. So until the outcome is known the leader, too, answers from the state service. It is
// the same for a job that depends on others while one of their records is on its way, or not
// read yet. A job with a cancelled dependency is cancelled whatever becomes of its own record.
func isOutcomeUncertain(j *state.Job) bool {
	return !j.Dependencies.Cancelled && (j.State == state.JobFinishing || j.FinalWriteInFlight || j.Dependencies.Uncertain)
}
