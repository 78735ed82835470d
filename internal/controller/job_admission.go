package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
)

// submissionQueue is the submissions whose records a leader has on their way, and the limit
// on how many that may be.
type submissionQueue struct {
	pending                map[string][]ReplyAddress // further users who wait for the same record, by job
	limiter, urgentLimiter submitLimiter             // of most jobs, and of those that have to start at once
	lastBudgetLog          micros
}

// submit accepts a job as the leader.
func (sb *submissions) submitJob(to ReplyAddress, spec *protocol.JobSpec) {
	t := sb.term
	ref := spec.Ref
	if j := t.cluster.Job(ref); j != nil && isOutcomeUncertain(j) {
		sb.directory.replyFromStateService(to, ref, func() {})
		return
	} else if j != nil {
		sb.reply(to, 200, sb.directory.jobStatusBody(j), 0)
		return
	}
	if len(sb.catalog.types) == 0 {
		sb.replyUnavailable(to, refusalMachineTypes)
		return
	}
	if why := sb.validateRunnable(spec); why != "" {
		sb.rejectSubmission(to, spec, why)
		return
	}
	if !sb.knowsDependencies(spec) {
		sb.admitAfterLookup(to, spec)
		return
	}
	sb.admitJob(to, spec)
}

// admitAfterLookup accepts a job as the leader of which it has to look up what it awaits.
func (sb *submissions) admitAfterLookup(to ReplyAddress, spec *protocol.JobSpec) {
	if sb.users.lookupLimitReached() {
		sb.replyUnavailable(to, refusalLookupLimit)
		return
	}
	sb.users.leaderLookups++
	t := sb.term
	over := func() { sb.users.leaderLookups-- }
	sb.admitWithDependencies(to, spec, over, func(bool) {
		over()
		if sb.term != t || !sb.election.mayActAsLeader() {
			sb.replyUnavailable(to, refusalNoLeader)
			return
		}
		if j := t.cluster.Job(spec.Ref); j != nil {
			sb.directory.replyActiveJob(to, j)
			return
		}
		sb.admitJob(to, spec)
	})
}

// admit accepts a job as the leader, in its turn.
func (sb *submissions) admitJob(to ReplyAddress, spec *protocol.JobSpec) {
	t := sb.term
	ref := spec.Ref
	if waiting, ok := t.submitQueue.pending[ref]; ok {
		t.submitQueue.pending[ref] = append(waiting, to)
		return
	}
	// What would have to wait for its record for longer than users should is
	// refused at once: they are told when its turn comes.
	prio, line := priorityUser, &t.submitQueue.limiter
	if sb.isLatencyCritical(spec) {
		prio, line = priorityLatencyCritical, &t.submitQueue.urgentLimiter
	}
	if wait, ok := line.admit(sb.now.Steady, ref, sb.store.writeRate()); !ok {
		if at := sb.now.Steady; at-t.submitQueue.lastBudgetLog > 5*protocol.Second {
			t.submitQueue.lastBudgetLog = at
			sb.log.Info("state budget used up", "waiting", line.inFlight, "a_second", int64(line.measuredRate), "delay_ms", int64(wait/protocol.Millisecond))
		}
		sb.replyUnavailableAfter(to, refusalSubmitRate, wait)
		return
	}
	t.submitQueue.pending[ref] = nil
	line.began()
	j := state.NewJob(spec)
	j.SubmittedWall, j.LeaderEpoch = sb.now.Wall, t.epoch
	sb.createJobRecord(to, j, protocol.PhaseQueued, func(when []protocol.Condition, then []protocol.Change, done func(txnOutcome, protocol.TxnResult)) {
		when = append([]protocol.Condition{{Key: records.KeyLeader, Revision: sb.election.lease.keyRevision}}, when...)
		sb.store.compareAndSwap(prio, sb.config.withRevisionCondition(when), then, func(o txnOutcome, r protocol.TxnResult) {
			others := t.submitQueue.pending[ref]
			delete(t.submitQueue.pending, ref)
			outdated := sb.config.handleRevisionConflict(o, r)
			line.ended(o == txnCommitted || o == txnConflict)
			if o == txnNotExecuted && sb.term == t && sb.election.mayActAsLeader() && sb.store.health.state == ServiceAnswering {
				// Other records left it no room, or less than it seemed.
				wait := line.reserve(sb.now.Steady, ref, sb.store.writeRate())
				for _, a := range append(others, to) {
					sb.replyUnavailableAfter(a, refusalSubmitRate, wait)
				}
				return
			}
			if o == txnConflict {
				for _, k := range r.Conflicts {
					if k == records.KeyLeader {
						o = txnNotExecuted
						if sb.term == t {
							sb.election.stepDownSuperseded("the leader key is another's")
						}
					}
				}
			}
			if outdated {
				o = txnNotExecuted
			}
			done(o, r)
			for _, a := range others {
				if j := t.cluster.Job(ref); j != nil && !isOutcomeUncertain(j) && sb.term == t {
					sb.reply(a, 200, sb.directory.jobStatusBody(j), 0)
				} else {
					sb.replyUnavailable(a, refusalStateService)
				}
			}
		})
	}, func() {
		delete(t.submitQueue.pending, ref)
		line.ended(false)
	})
}

// knowsDependencies reports whether this leader knows all jobs that a job awaits, and that none
// of them is a service.
func (sb *submissions) knowsDependencies(s *protocol.JobSpec) bool {
	for _, ref := range s.DependsOn {
		if _, over := sb.directory.finishedJobs.find(ref); over {
			continue
		}
		if j := sb.term.cluster.Job(ref); j == nil || j.Spec.Kind == protocol.Service {
			return false
		}
	}
	return true
}

// admitWithDependencies goes on with a submission if all jobs that it names were accepted. It is
// known before whether the job itself was: what became of those that it awaits is then of
// no matter.
func (sb *submissions) admitWithDependencies(to ReplyAddress, spec *protocol.JobSpec, over func(), admitted func(cancelled bool)) {
	sb.directory.findJob(priorityUser, spec.Ref, func(j *state.Job, f finishedJob, found, ok bool) {
		if !ok || found {
			over()
		}
		switch {
		case !ok:
			sb.replyUnavailable(to, refusalStateService)
		case found:
			sb.directory.replyKnownJob(to, spec.Ref, j, f)
		default:
			sb.directory.checkDependencies(priorityUser, spec.DependsOn, func(v dependencyVerdict) {
				switch {
				case v.missing != "":
					over()
					sb.rejectUnlessAccepted(to, spec, 422, "awaits: "+v.missing+" is no job that can be awaited")
				case v.directUnread || v.undecided && !v.cancelled:
					over()
					sb.replyUnavailable(to, refusalStateService)
				default:
					admitted(v.cancelled)
				}
			})
		}
	})
}

// latencyCriticalWithin is the aim on starting below which a class is pressing.
const latencyCriticalWithin = 10 * protocol.Second

// urgentSubmitLimiter reports whether a job has to start so soon that its records don't wait in line
// with those of others.
func (sb *submissions) isLatencyCritical(s *protocol.JobSpec) bool {
	within := sb.startObjective(s.Class)
	return within > 0 && within < latencyCriticalWithin
}
