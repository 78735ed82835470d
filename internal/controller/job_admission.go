package controller

import (
	"errors"
	"net/http"

	"mapleslip/internal/admission"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
	"mapleslip/internal/statestore"
)

// submissionQueue is the submissions whose records a leader has on their way, and the limit on
// how many that may be.
type submissionQueue struct {
	pending       map[string][]ReplyAddress // further users who wait for the same record, by job
	limiter       admission.Limiter         // of most jobs
	urgentLimiter admission.Limiter         // of those that have to start at once
	lastLimitLog  micros
}

// isOverloaded reports whether users are told to submit again later.
func (q *submissionQueue) isOverloaded(now micros) bool {
	return q.limiter.IsOverloaded(now) || q.urgentLimiter.IsOverloaded(now)
}

const (
	// latencyCriticalWithin is the objective on starting below which a class is latency-critical.
	latencyCriticalWithin = 10 * protocol.Second
	limitLogInterval      = 5 * protocol.Second
)

// isLatencyCritical reports whether a job has to start so soon that its records don't wait in
// line with those of others.
func (sb *submissions) isLatencyCritical(s *protocol.JobSpec) bool {
	within := sb.startObjective(s.Class)
	return within > 0 && within < latencyCriticalWithin
}

// submit accepts or rejects a job as the leader.
func (sb *submissions) submit(to ReplyAddress, spec *protocol.JobSpec) {
	if j := sb.term.cluster.Job(spec.Ref); j != nil {
		if isOutcomeUncertain(j) {
			sb.directory.replyFromStateService(to, spec.Ref, func() {})
		} else {
			sb.reply(to, http.StatusOK, sb.directory.trackedJobStatus(j))
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
	if sb.knowsDependencies(spec) {
		sb.admit(to, spec)
	} else {
		sb.admitAfterLookup(to, spec)
	}
}

// knowsDependencies reports whether this leader knows all jobs that a job depends on, and that
// none of them is a service.
func (sb *submissions) knowsDependencies(s *protocol.JobSpec) bool {
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

// admitAfterLookup accepts a job of which this leader has to look up what it depends on.
func (sb *submissions) admitAfterLookup(to ReplyAddress, spec *protocol.JobSpec) {
	if sb.users.lookupLimitReached() {
		sb.refuse(to, refusalLookupLimit)
		return
	}
	sb.users.leaderLookups++
	term := sb.term
	s := submission{to: to, spec: spec, finished: func() { sb.users.leaderLookups-- }}
	sb.resolveDependencies(s, func(bool) {
		s.finished()
		if sb.term != term || !sb.election.mayActAsLeader() {
			sb.refuse(to, refusalNoLeader)
			return
		}
		if j := term.cluster.Job(spec.Ref); j != nil {
			sb.directory.replyActiveJob(to, j)
			return
		}
		sb.admit(to, spec)
	})
}

// admit accepts a job as the leader, in its turn. What would have to wait for its record for
// longer than users should is refused at once: they are told when its turn comes.
func (sb *submissions) admit(to ReplyAddress, spec *protocol.JobSpec) {
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
	ac := &admissionWrite{submissions: sb, term: sb.term, to: to, ref: ref, priority: priority, limiter: limiter}
	sb.createRecord(jobCreation{to: to, job: j, phase: protocol.PhaseQueued, write: ac.write, notWritten: ac.abandon})
}

func (sb *submissions) logSubmitLimit(q *submissionQueue, limiter *admission.Limiter, wait micros) {
	if sb.now.Steady-q.lastLimitLog <= limitLogInterval {
		return
	}
	q.lastLimitLog = sb.now.Steady
	sb.log.Info("submission rate limit reached", "in_flight", limiter.InFlight(), "a_second", int64(limiter.MeasuredRate()),
		"delay_ms", int64(wait/protocol.Millisecond))
}

// admissionWrite is the write of a record of a job that the leader accepts.
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
		others := w.takeOthers()
		outdated := w.config.handleRevisionConflict(err)
		w.limiter.End(err == nil || statestore.IsConflict(err))
		if errors.Is(err, statestore.ErrNotExecuted) && w.leads() && w.membership.stateServiceHealth.state == ServiceAnswering {
			// Other records left it no room, or less than it seemed.
			wait := w.limiter.Reserve(w.now.Steady, w.ref, w.election.leaderWriteRate())
			for _, to := range append(others, w.to) {
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
		if outdated {
			err = statestore.ErrNotExecuted
		}
		done(revision, err)
		w.replyOthers(others)
	})
}

// leads reports whether this controller leads as when the job was admitted.
func (w *admissionWrite) leads() bool { return !w.term.ended() && w.election.mayActAsLeader() }

// abandon notes that the record is not written.
func (w *admissionWrite) abandon() {
	w.takeOthers()
	w.limiter.End(false)
}

// takeOthers takes the further users who wait for the record.
func (w *admissionWrite) takeOthers() []ReplyAddress {
	others := w.term.submitQueue.pending[w.ref]
	delete(w.term.submitQueue.pending, w.ref)
	return others
}

// replyOthers answers the further users who waited for the record.
func (w *admissionWrite) replyOthers(others []ReplyAddress) {
	for _, to := range others {
		if j := w.term.cluster.Job(w.ref); j != nil && !isOutcomeUncertain(j) && !w.term.ended() {
			w.reply(to, http.StatusOK, w.directory.trackedJobStatus(j))
		} else {
			w.refuse(to, refusalStateService)
		}
	}
}
