package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
)

// jobDirectory finds jobs, those that a leader tracks and those that only the state service
// has, and answers how they stand.
type jobDirectory struct {
	*environment
	election *election
	store    *stateStore

	finishedJobs finishedJobCache
}

// find looks for a job in the state service. What it finds live a leader takes into its
// book, if it was read in this term: an answer that was on its way while another node led
// says nothing of what that one ended. What this node ended itself observeJobRecord knows.
func (d *jobDirectory) findJob(prio uint8, ref string, done func(j *state.Job, f finishedJob, found, ok bool)) {
	t := d.term
	d.store.getKey(prio, records.JobPrefix+ref, func(e protocol.Entry, found, ok bool) {
		if !ok {
			done(nil, finishedJob{}, false, false)
			return
		}
		if found {
			j, err := records.DecodeJob(e.Value)
			if err != nil {
				d.logMalformed("state", err)
				done(nil, finishedJob{}, false, false)
				return
			}
			j.Revision = e.Revision
			if d.election.mayActAsLeader() && d.term == t {
				if known := d.term.jobs.observeJobRecord(e); known != nil {
					j = known
				}
			}
			done(j, finishedJob{}, true, true)
			return
		}
		d.store.getKey(prio, records.FinalPrefix+ref, func(e protocol.Entry, found, ok bool) {
			if !ok || !found {
				done(nil, finishedJob{}, false, ok)
				return
			}
			p, n, err := records.DecodeFinal(e.Value)
			if err != nil {
				d.logMalformed("state", err)
				done(nil, finishedJob{}, false, false)
				return
			}
			f := finishedJob{p, n}
			d.cacheFinishedJob(ref, f)
			done(nil, f, true, true)
		})
	})
}

// replyFromStateService answers a query from the state service. The live record is read
// first: a job that ends meanwhile is then found among the final ones.
func (d *jobDirectory) replyFromStateService(to ReplyAddress, ref string, over func()) {
	// Users poll again soon, and wait for a submission.
	d.findJob(priorityUrgent, ref, func(j *state.Job, f finishedJob, found, ok bool) {
		over()
		switch {
		case !ok:
			d.replyUnavailable(to, refusalStateService)
		case !found:
			d.reply(to, 404, protocol.ErrorBody("no such job"), 0)
		case j != nil:
			d.replyActiveJob(to, j)
		default:
			d.replyFinishedJob(to, ref, f)
		}
	})
}

func (d *jobDirectory) replyKnownJob(to ReplyAddress, ref string, j *state.Job, f finishedJob) {
	if j != nil {
		d.replyActiveJob(to, j)
		return
	}
	d.replyFinishedJob(to, ref, f)
}

func (d *jobDirectory) replyFinishedJob(to ReplyAddress, ref string, f finishedJob) {
	done := 0
	if f.phase == protocol.PhaseDone {
		done = f.tasks
	}
	d.reply(to, 200, protocol.JobStatusBody(ref, f.phase, done, 0), 0)
}

// replyActiveJob answers for a job that is not over by its own records.
func (d *jobDirectory) replyActiveJob(to ReplyAddress, j *state.Job) {
	if mine := d.isTrackedByLeader(j); mine && !j.Dependencies.Uncertain || len(j.Spec.DependsOn) == 0 || j.State == state.JobCancelledLegacy {
		d.reply(to, 200, d.activeJobStatus(j), 0)
		return
	}
	d.checkDependencies(priorityUrgent, j.Spec.DependsOn, func(v dependencyVerdict) {
		switch {
		case v.cancelled:
			d.reply(to, 200, protocol.JobStatusBody(j.Spec.Ref, protocol.PhaseCancelled, 0, 0), 0)
		case v.undecided:
			d.replyUnavailable(to, refusalStateService)
		default:
			d.reply(to, 200, d.activeJobStatus(j), 0)
		}
	})
}

// isTrackedByLeader reports whether this node leads and the job is the one of its book.
func (d *jobDirectory) isTrackedByLeader(j *state.Job) bool {
	return d.election.mayActAsLeader() && d.term.cluster.Job(j.Spec.Ref) == j
}

// activeJobStatus says how a job stands, as its leader or its record has it.
func (d *jobDirectory) activeJobStatus(j *state.Job) []byte {
	switch {
	case d.isTrackedByLeader(j):
		return d.jobStatusBody(j)
	case j.State == state.JobCancelledLegacy:
		return protocol.JobStatusBody(j.Spec.Ref, protocol.PhaseCancelled, 0, 0)
	}
	return protocol.JobStatusBody(j.Spec.Ref, protocol.PhaseQueued, 0, 0)
}

// jobStatusBody says how a job of the book stands.
func (d *jobDirectory) jobStatusBody(j *state.Job) []byte {
	phase := protocol.PhaseQueued
	running := j.RunningTasks
	switch {
	case j.Dependencies.Cancelled:
		return protocol.JobStatusBody(j.Spec.Ref, protocol.PhaseCancelled, 0, 0)
	case j.State == state.JobBlocked:
		return protocol.WaitingJobStatusBody(j.Spec.Ref, j.Dependencies.Unmet)
	}
	switch j.State {
	case state.JobDone:
		phase, running = protocol.PhaseDone, 0
	case state.JobCancelledLegacy, state.JobClosed:
		phase, running = protocol.PhaseCancelled, 0
	default:
		if running > 0 || j.State == state.JobFinishing {
			phase = protocol.PhaseRunning
		}
	}
	return protocol.JobStatusBody(j.Spec.Ref, phase, j.CompletedTasks, running)
}

// isOutcomeUncertain reports whether a job's final record is on its way. It may be durable before its
// writer knows, for seconds if the answer is lost and the write is carried out late; a node
// that finds it then tells its user, who must not be told something older by the leader.
// So until the outcome is known the leader, too, answers from the state service.
// It is the same for a job that awaits others while one of their records is on its way, or
// not read yet. A doomed job is cancelled whatever becomes of its own record.
func isOutcomeUncertain(j *state.Job) bool {
	return !j.Dependencies.Cancelled && (j.State == state.JobFinishing || j.FinalWriteInFlight || j.Dependencies.Uncertain)
}

// cacheFinishedJob keeps the last phase of a job that is durably over, and takes it to the jobs
// that await it.
func (d *jobDirectory) cacheFinishedJob(ref string, f finishedJob) {
	d.finishedJobs.add(ref, f)
	if d.term != nil {
		d.term.dependencies.onDependencyFinished(ref, f.phase)
	}
}
