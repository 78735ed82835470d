package controller

import (
	"errors"
	"slices"

	"mapleslip/internal/admission"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
	"mapleslip/internal/statestore"
)

// submissionQueue tracks the submissions whose records the leader is writing, and limits their
// rate.
type submissionQueue struct {
	pending       map[string][]ReplyAddress // users who submitted a job again, see takePendingUsers
	limiter       admission.Limiter         // for most jobs
	urgentLimiter admission.Limiter         // for latency-critical jobs
	lastLimitLog  micros
}

// isOverloaded reports whether submissions are refused with a time after which to retry.
func (q *submissionQueue) isOverloaded(now micros) bool {
	return q.limiter.IsOverloaded(now) || q.urgentLimiter.IsOverloaded(now)
}

const (
	// latencyCriticalObjective is the start objective below which a class is latency-critical.
	latencyCriticalObjective = 10 * protocol.Second
	limitLogInterval         = 5 * protocol.Second
)

// isLatencyCritical reports whether the start objective of a job's class is so short that the
// job's records are not queued behind those of other jobs.
func (sb *submissions) isLatencyCritical(s *protocol.JobSpec) bool {
	within := sb.startObjective(s.Class)
	return within > 0 && within < latencyCriticalObjective
}

// submit accepts or rejects a job as the leader.
func (sb *submissions) submit(to ReplyAddress, spec *protocol.JobSpec) {
	if j := sb.term.cluster.Job(spec.Ref); j != nil {
		if isOutcomeUncertain(j) {
			sb.directory.replyFromStateService(to, spec.Ref, func() {})
		} else {
			sb.directory.replyTracked(to, j)
		}
		return
	}
	if len(sb.catalog.types) == 0 {
		sb.refuse(to, refusalMachineTypes)
		return
	}
	if err := sb.validate(spec); err != nil {
		sb.reject(to, spec, err)
		return
	}
	if sb.dependenciesKnown(spec) {
		sb.admit(to, spec, acceptedPhase(sb.dependencyCancelled(spec)))
	} else {
		sb.admitAfterLookup(to, spec)
	}
}

// dependenciesKnown reports whether this leader has the state of all jobs that a job depends on,
// and none of them is a service.
func (sb *submissions) dependenciesKnown(s *protocol.JobSpec) bool {
	for _, ref := range s.DependsOn {
		if _, finished := sb.directory.finishedJobs.find(ref); finished {
			continue
		}
		if j := sb.term.cluster.Job(ref); j == nil || j.Spec.Kind == protocol.Service {
			return false
		}
	}
	return true
}

// admitAfterLookup accepts a job after a lookup of its dependencies, some of which this leader
// does not track.
func (sb *submissions) admitAfterLookup(to ReplyAddress, spec *protocol.JobSpec) {
	if sb.users.lookupLimitReached() {
		sb.refuse(to, refusalLookupLimit)
		return
	}
	sb.users.leaderLookups++
	term := sb.term
	s := submission{to: to, spec: spec, finished: func() { sb.users.leaderLookups-- }}
	sb.resolveDependencies(s, func(cancelled bool) {
		s.finished()
		if sb.term != term || !sb.election.mayActAsLeader() {
			sb.refuse(to, refusalNoLeader)
			return
		}
		if j := term.cluster.Job(spec.Ref); j != nil {
			sb.directory.replyActiveJob(to, j)
			return
		}
		sb.admit(to, spec, acceptedPhase(cancelled || sb.dependencyCancelled(spec)))
	})
}

// dependencyCancelled reports whether this leader knows that a job depends on a cancelled one.
func (sb *submissions) dependencyCancelled(s *protocol.JobSpec) bool {
	return slices.ContainsFunc(s.DependsOn, func(ref string) bool {
		if f, finished := sb.directory.finishedJobs.find(ref); finished {
			return f.phase == protocol.PhaseCancelled
		}
		j := sb.term.cluster.Job(ref)
		return j != nil && isDurablyCancelled(j)
	})
}

// admit accepts a job as the leader, in a phase and within the submission rate limit. If writing the
// job's record would take longer than users should wait, the submission is refused at once, with the
// time after which to retry.
func (sb *submissions) admit(to ReplyAddress, spec *protocol.JobSpec, phase protocol.Phase) {
	q, ref := sb.term.submitQueue, spec.Ref
	if waiting, ok := q.pending[ref]; ok {
		q.pending[ref] = append(waiting, to)
		return
	}
	priority, limiter := priorityUser, &q.limiter
	if sb.isLatencyCritical(spec) {
		priority, limiter = priorityLatencyCritical, &q.urgentLimiter
	}
	if wait, ok := limiter.Admit(sb.now.Steady, ref, sb.election.leaderWriteRate()); !ok {
		sb.logSubmitLimit(q, limiter, wait)
		sb.refuseUntil(to, refusalSubmitRate, wait)
		return
	}
	q.pending[ref] = nil
	limiter.Begin()
	j := state.NewJob(spec)
	j.SubmittedWall, j.LeaderEpoch = sb.now.Wall, sb.term.epoch
	admitted := &admissionWrite{submissions: sb, term: sb.term, to: to, ref: ref, priority: priority, limiter: limiter}
	sb.createRecord(jobCreation{to: to, job: j, phase: phase, write: admitted.write, writeSkipped: admitted.abandon})
}

func (sb *submissions) logSubmitLimit(q *submissionQueue, limiter *admission.Limiter, wait micros) {
	if sb.now.Steady-q.lastLimitLog <= limitLogInterval {
		return
	}
	q.lastLimitLog = sb.now.Steady
	sb.log.Info("submission rate limit reached", "in_flight", limiter.InFlight(), "a_second", int64(limiter.MeasuredRate()),
		"delay_ms", int64(wait/protocol.Millisecond))
}

// admissionWrite writes the record of one job that the leader accepts.
type admissionWrite struct {
	*submissions
	term     *leaderTerm
	to       ReplyAddress
	ref      string
	priority Priority
	limiter  *admission.Limiter
}

// write writes the record, in a transaction that commits only while this controller holds the
// leader key.
func (w *admissionWrite) write(when []protocol.Condition, then []protocol.Change, done func(revision uint64, err error)) {
	when = append([]protocol.Condition{w.election.leaderKeyHeld()}, when...)
	w.store.CompareAndSwap(w.priority, w.config.withRevisionCondition(when), then, func(revision uint64, err error) {
		users := w.takePendingUsers()
		revisionConflict := w.config.handleRevisionConflict(err)
		w.limiter.End(err == nil || statestore.IsConflict(err))
		if errors.Is(err, statestore.ErrNotExecuted) && w.leadsInTerm() && w.membership.stateServiceHealth.state == ServiceAnswering {
			// Other records used up the write rate, or more of it than the limiter had assumed.
			wait := w.limiter.Reserve(w.now.Steady, w.ref, w.election.leaderWriteRate())
			for _, to := range append(users, w.to) {
				w.refuseUntil(to, refusalSubmitRate, wait)
			}
			return
		}
		if statestore.ConflictsOn(err, records.KeyLeader) {
			err = statestore.ErrNotExecuted
			if !w.term.ended() {
				w.election.stepDownSuperseded("another controller holds the leader key")
			}
		}
		if revisionConflict {
			err = statestore.ErrNotExecuted
		}
		done(revision, err)
		w.replyToPendingUsers(users)
	})
}

// leadsInTerm reports whether this controller still leads in the term that admitted the job.
func (w *admissionWrite) leadsInTerm() bool { return !w.term.ended() && w.election.mayActAsLeader() }

// abandon ends the admission without a write of the record.
func (w *admissionWrite) abandon() {
	w.takePendingUsers()
	w.limiter.End(false)
}

// takePendingUsers removes and returns the users who submitted the job again while its record was
// being written.
func (w *admissionWrite) takePendingUsers() []ReplyAddress {
	users := w.term.submitQueue.pending[w.ref]
	delete(w.term.submitQueue.pending, w.ref)
	return users
}

// replyToPendingUsers replies to the users who submitted the job again while its record was being
// written.
func (w *admissionWrite) replyToPendingUsers(users []ReplyAddress) {
	for _, to := range users {
		if j := w.term.cluster.Job(w.ref); j != nil && !isOutcomeUncertain(j) && !w.term.ended() {
			w.directory.replyTracked(to, j)
		} else {
			w.refuse(to, refusalStateService)
		}
	}
}
