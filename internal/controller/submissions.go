package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
)

// submissions decides which jobs are accepted, and makes their records.
type submissions struct {
	*environment
	catalog   *machineCatalog
	config    *configManager
	directory *jobDirectory
	election  *election
	features  *featureManager
	store     *stateStore
	users     *userGateway
}

// submitWithoutLeader creates a job's record without the leader, which notices it.
func (sb *submissions) submitWithoutLeader(to ReplyAddress, spec *protocol.JobSpec, over func()) {
	if len(sb.catalog.types) == 0 {
		sb.store.getKey(priorityUser, records.KeyMachineTypes, func(e protocol.Entry, found, ok bool) {
			if found {
				sb.catalog.applyMachineTypesRecord(e.Value)
			}
			if len(sb.catalog.types) == 0 {
				over()
				sb.replyUnavailable(to, refusalMachineTypes)
				return
			}
			sb.submitWithoutLeader(to, spec, over)
		})
		return
	}
	if sb.config.state != nil && !sb.config.state.known {
		sb.config.readHead(priorityUser, func(ok bool) {
			if !ok {
				over()
				sb.replyUnavailable(to, refusalStateService)
				return
			}
			sb.submitWithoutLeader(to, spec, over)
		})
		return
	}
	if sb.features.state != nil && !sb.features.state.known {
		sb.features.readLevel(priorityUser, func(ok bool) {
			if !ok || !sb.features.state.known {
				over()
				sb.replyUnavailable(to, refusalStateService)
				return
			}
			sb.submitWithoutLeader(to, spec, over)
		})
		return
	}
	if sb.features.state != nil && !sb.features.state.serves.Serves(sb.features.state.active) {
		over()
		sb.replyUnavailable(to, refusalFeatureLevel)
		return
	}
	if why := sb.validateRunnable(spec); why != "" {
		over()
		sb.rejectSubmission(to, spec, why)
		return
	}
	if len(spec.DependsOn) == 0 {
		sb.createWithoutLeader(to, spec, protocol.PhaseQueued, over)
		return
	}
	sb.admitWithDependencies(to, spec, over, func(cancelled bool) {
		phase := protocol.PhaseQueued
		if cancelled {
			phase = protocol.PhaseCancelled
		}
		sb.createWithoutLeader(to, spec, phase, over)
	})
}

// createWithoutLeader creates a job's record without the leader. phase is what its user is told.
func (sb *submissions) createWithoutLeader(to ReplyAddress, spec *protocol.JobSpec, phase protocol.Phase, over func()) {
	j := state.NewJob(spec)
	j.SubmittedWall = sb.now.Wall
	sb.createJobRecord(to, j, phase, func(when []protocol.Condition, then []protocol.Change, done func(txnOutcome, protocol.TxnResult)) {
		sb.store.compareAndSwap(priorityUser, sb.features.withLevelCondition(sb.config.withRevisionCondition(when)), then, func(o txnOutcome, r protocol.TxnResult) {
			over()
			if outdated, other := sb.config.handleRevisionConflict(o, r), sb.features.handleLevelConflict(o, r); outdated || other {
				o = txnNotExecuted
			}
			done(o, r)
		})
	}, over)
}

// refuse answers 422, unless the job was accepted before: machine types may
// have been others then.
func (sb *submissions) rejectSubmission(to ReplyAddress, spec *protocol.JobSpec, why string) {
	if sb.config.state != nil && !sb.election.mayActAsLeader() {
		// The revision that this node knows may be an old one, and what it refuses
		// depends on nothing that would show it.
		sb.config.readHead(priorityUser, func(ok bool) {
			if why = sb.validateRunnable(spec); !ok || why == "" {
				sb.replyUnavailable(to, refusalStateService)
				return
			}
			sb.rejectUnlessAccepted(to, spec, 422, why)
		})
		return
	}
	sb.rejectUnlessAccepted(to, spec, 422, why)
}

// rejectUnlessAccepted refuses a job with a status unless it was accepted before.
func (sb *submissions) rejectUnlessAccepted(to ReplyAddress, spec *protocol.JobSpec, status int, why string) {
	sb.directory.findJob(priorityUser, spec.Ref, func(j *state.Job, f finishedJob, found, ok bool) {
		switch {
		case !ok:
			sb.replyUnavailable(to, refusalStateService)
		case found:
			sb.directory.replyKnownJob(to, spec.Ref, j, f)
		default:
			sb.reply(to, status, protocol.ErrorBody(why), 0)
		}
	})
}

type jobRecordWriter func(when []protocol.Condition, then []protocol.Change, done func(txnOutcome, protocol.TxnResult))

// create records a job if it is not there yet, and answers once it is durable, with the
// phase given unless this node leads and knows better. A leader takes it into its book only
// if it was written in this term, and is not over already: it may have noticed the job long
// before the answer comes, or another leader may have, and ended it. One that it does not
// take here it notices as those that other nodes write.
func (sb *submissions) createJobRecord(to ReplyAddress, j *state.Job, phase protocol.Phase, write jobRecordWriter, refused func()) {
	ref, t := j.Spec.Ref, sb.term
	value := records.EncodeJob(j)
	// An earlier submission of it may have been accepted under a larger limit.
	tooLong := func() { sb.rejectUnlessAccepted(to, j.Spec, 400, "description too long") }
	if len(value) > sb.store.limits.accepted.maxValueBytes {
		refused()
		// The record that it was accepted with may have been shorter: it names an epoch.
		tooLong()
		return
	}
	when := []protocol.Condition{{Key: records.JobPrefix + ref}, {Key: records.FinalPrefix + ref}}
	then := []protocol.Change{{Key: records.JobPrefix + ref, Value: value}}
	write(when, then, func(o txnOutcome, r protocol.TxnResult) {
		switch o {
		case txnCommitted:
			if f, over := sb.directory.finishedJobs.find(ref); over {
				sb.directory.replyFinishedJob(to, ref, f)
				return
			}
			j.Revision = r.Revision
			if sb.election.mayActAsLeader() && sb.term == t && t.cluster.Job(ref) == nil {
				sb.term.jobs.addJob(j)
			}
			body := protocol.JobStatusBody(ref, phase, 0, 0)
			if len(j.Spec.DependsOn) > 0 && sb.directory.isTrackedByLeader(j) {
				body = sb.directory.jobStatusBody(j)
			}
			sb.reply(to, 201, body, 0)
		case txnConflict:
			sb.directory.findJob(priorityUser, ref, func(j *state.Job, f finishedJob, found, ok bool) {
				if !ok || !found {
					sb.replyUnavailable(to, refusalStateService)
					return
				}
				sb.directory.replyKnownJob(to, ref, j, f)
			})
		case txnTooLarge, txnMalformed:
			if len(value) > sb.store.limits.accepted.maxValueBytes {
				tooLong()
				return
			}
			sb.replyUnavailable(to, refusalStateService)
		default:
			sb.replyUnavailable(to, refusalStateService)
		}
	})
}

// validateRunnable says why a job can never run, or nothing.
func (sb *submissions) validateRunnable(s *protocol.JobSpec) string {
	team, ok := sb.config.team(s.Team)
	if !ok {
		return "unknown team"
	}
	if team.Retired {
		return "the team takes no new jobs"
	}
	fits := false
	for _, t := range sb.catalog.types {
		if !t.Capacity.Covers(s.TaskResources) || !s.AllowsType(t.Name) {
			continue
		}
		if s.Zone == "" {
			fits = true
		}
		for _, z := range t.Zones {
			fits = fits || z == s.Zone
		}
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	n := int64(s.Tasks)
	if s.Kind == protocol.Array {
		n = 1
	}
	var none protocol.Resources
	if !withinLimit(team.Limit, none.Add(s.TaskResources, n)) {
		return "the job needs more than the team's limit"
	}
	return ""
}

// withinLimit checks an amount against a limit, of which 0 means none.
func withinLimit(limit, amount protocol.Resources) bool {
	return (limit.CPU == 0 || amount.CPU <= limit.CPU) && (limit.GPU == 0 || amount.GPU <= limit.GPU)
}
