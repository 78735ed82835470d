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

// submissions decides which jobs are accepted, and makes their records: as the leader, see
// job_admission.go, or without it.
type submissions struct {
	*environment
	catalog    *machineCatalog
	config     *configManager
	directory  *jobDirectory
	election   *election
	features   *featureManager
	membership *membership
	store      *statestore.Client
	users      *userGateway
}

// submission is a job that a user submits.
type submission struct {
	to   ReplyAddress
	spec *protocol.JobSpec
	// finished is called once the submission takes no part of its limit any more.
	finished func()
}

// Reasons for which a job can never run. Their texts are part of the answer.
var (
	errUnknownTeam   = errors.New("unknown team")
	errTeamRetired   = errors.New("the team takes no new jobs")
	errNoMachineType = errors.New("a task fits no allowed machine type")
	errOverQuota     = errors.New("the job needs more than the team's limit")
)

const descriptionTooLong = "description too long"

// validate returns an error if a job can never run.
func (sb *submissions) validate(s *protocol.JobSpec) error {
	team, ok := sb.config.team(s.Team)
	if !ok {
		return errUnknownTeam
	}
	if team.Retired {
		return errTeamRetired
	}
	if !slices.ContainsFunc(sb.catalog.types, func(t *protocol.MachineType) bool { return fitsMachineType(s, t) }) {
		return errNoMachineType
	}
	tasks := int64(s.Tasks)
	if s.Kind == protocol.Array {
		tasks = 1
	}
	if !withinLimit(team.Limit, protocol.Resources{}.Add(s.TaskResources, tasks)) {
		return errOverQuota
	}
	return nil
}

// fitsMachineType reports whether a task can run on machines of a type.
func fitsMachineType(s *protocol.JobSpec, t *protocol.MachineType) bool {
	return t.Capacity.Covers(s.TaskResources) && s.AllowsType(t.Name) && (s.Zone == "" || slices.Contains(t.Zones, s.Zone))
}

// withinLimit checks an amount against a limit, of which 0 means none.
func withinLimit(limit, amount protocol.Resources) bool {
	return (limit.CPU == 0 || amount.CPU <= limit.CPU) && (limit.GPU == 0 || amount.GPU <= limit.GPU)
}

// submitWithoutLeader creates a job's record without the leader, which notices it. What this
// controller does not know yet it reads first.
func (sb *submissions) submitWithoutLeader(s submission) {
	resume := func(ok bool, why refusal) {
		if !ok {
			s.finished()
			sb.refuse(s.to, why)
			return
		}
		sb.submitWithoutLeader(s)
	}
	config, features := sb.config.state, sb.features.state
	switch {
	case len(sb.catalog.types) == 0:
		sb.store.Get(priorityUser, records.KeyMachineTypes, func(e protocol.Entry, err error) {
			if err == nil {
				sb.catalog.applyMachineTypesRecord(e.Value)
			}
			resume(len(sb.catalog.types) > 0, refusalMachineTypes)
		})
	case config != nil && !config.known:
		sb.config.readHead(priorityUser, func(err error) { resume(err == nil, refusalStateService) })
	case features != nil && !features.known:
		sb.features.readLevel(priorityUser, func(err error) { resume(err == nil && features.known, refusalStateService) })
	case features != nil && !features.serves.Serves(features.active):
		resume(false, refusalFeatureLevel)
	default:
		sb.createWithoutLeader(s)
	}
}

// createWithoutLeader accepts a job, or rejects it, by what this controller knows.
func (sb *submissions) createWithoutLeader(s submission) {
	if err := sb.validate(s.spec); err != nil {
		s.finished()
		sb.reject(s.to, s.spec, err)
		return
	}
	if len(s.spec.DependsOn) == 0 {
		sb.recordWithoutLeader(s, protocol.PhaseQueued)
		return
	}
	sb.resolveDependencies(s, func(cancelled bool) {
		phase := protocol.PhaseQueued
		if cancelled {
			phase = protocol.PhaseCancelled
		}
		sb.recordWithoutLeader(s, phase)
	})
}

// recordWithoutLeader creates a job's record. phase is what the user is told.
func (sb *submissions) recordWithoutLeader(s submission, phase protocol.Phase) {
	j := state.NewJob(s.spec)
	j.SubmittedWall = sb.now.Wall
	write := func(when []protocol.Condition, then []protocol.Change, done func(uint64, error)) {
		when = sb.features.withLevelCondition(sb.config.withRevisionCondition(when))
		sb.store.CompareAndSwap(priorityUser, when, then, func(revision uint64, err error) {
			s.finished()
			revisionConflict, levelConflict := sb.config.handleRevisionConflict(err), sb.features.handleLevelConflict(err)
			if revisionConflict || levelConflict {
				err = statestore.ErrNotExecuted
			}
			done(revision, err)
		})
	}
	sb.createRecord(jobCreation{to: s.to, job: j, phase: phase, write: write, notWritten: s.finished})
}

// resolveDependencies goes on with a submission if all jobs that it depends on were accepted.
// Whether the job itself was accepted is found out before: what became of its dependencies is
// then of no matter.
func (sb *submissions) resolveDependencies(s submission, resolved func(cancelled bool)) {
	sb.directory.findJob(priorityUser, s.spec.Ref, func(found jobLookup, err error) {
		switch {
		case errors.Is(err, errJobNotFound):
			sb.directory.checkDependencies(priorityUser, s.spec.DependsOn, func(v dependencyVerdict) {
				switch {
				case v.missing != "":
					s.finished()
					sb.rejectUnlessAccepted(s.to, s.spec, http.StatusUnprocessableEntity, "awaits: "+v.missing+" is no job that can be awaited")
				case v.directUnread || v.undecided && !v.cancelled:
					s.finished()
					sb.refuse(s.to, refusalStateService)
				default:
					resolved(v.cancelled)
				}
			})
		case err != nil:
			s.finished()
			sb.refuse(s.to, refusalStateService)
		default:
			s.finished()
			sb.directory.replyFound(s.to, s.spec.Ref, found)
		}
	})
}

// reject answers that a job can never run, unless it was accepted before: machine types may
// have been others then.
func (sb *submissions) reject(to ReplyAddress, spec *protocol.JobSpec, reason error) {
	if sb.config.state == nil || sb.election.mayActAsLeader() {
		sb.rejectUnlessAccepted(to, spec, http.StatusUnprocessableEntity, reason.Error())
		return
	}
	// The revision that this controller knows may be an old one, and what it rejects depends on
	// nothing that would show it.
	sb.config.readHead(priorityUser, func(err error) {
		reason := sb.validate(spec)
		if err != nil || reason == nil {
			sb.refuse(to, refusalStateService)
			return
		}
		sb.rejectUnlessAccepted(to, spec, http.StatusUnprocessableEntity, reason.Error())
	})
}

// rejectUnlessAccepted rejects a job with a status unless it was accepted before.
func (sb *submissions) rejectUnlessAccepted(to ReplyAddress, spec *protocol.JobSpec, status int, reason string) {
	sb.directory.findJob(priorityUser, spec.Ref, func(found jobLookup, err error) {
		switch {
		case errors.Is(err, errJobNotFound):
			sb.replyError(to, status, reason)
		case err != nil:
			sb.refuse(to, refusalStateService)
		default:
			sb.directory.replyFound(to, spec.Ref, found)
		}
	})
}

// jobCreation is the creation of a job's record.
type jobCreation struct {
	to    ReplyAddress
	job   *state.Job
	phase protocol.Phase // that the user is told, unless this controller leads and knows better
	// write writes the record. notWritten is called instead if that is not tried.
	write      func(when []protocol.Condition, then []protocol.Change, done func(revision uint64, err error))
	notWritten func()
}

// createRecord records a job if it is not there yet, and answers once it is durable.
func (sb *submissions) createRecord(c jobCreation) {
	ref, term := c.job.Spec.Ref, sb.term
	value := records.EncodeJob(c.job)
	if len(value) > sb.store.Accepted().MaxValueBytes {
		c.notWritten()
		sb.rejectTooLong(c)
		return
	}
	when := []protocol.Condition{{Key: records.JobPrefix + ref}, {Key: records.FinalPrefix + ref}}
	then := []protocol.Change{{Key: records.JobPrefix + ref, Value: value}}
	c.write(when, then, func(revision uint64, err error) {
		tooLarge := errors.Is(err, statestore.ErrTooLarge) || errors.Is(err, statestore.ErrMalformed)
		switch {
		case err == nil:
			c.job.Revision = revision
			sb.onRecordCreated(c, term)
		case statestore.IsConflict(err):
			sb.replyIfFound(c.to, ref)
		case tooLarge && len(value) > sb.store.Accepted().MaxValueBytes:
			sb.rejectTooLong(c)
		default:
			sb.refuse(c.to, refusalStateService)
		}
	})
}

// rejectTooLong rejects a job whose record does not fit. It may have been accepted before under
// a larger limit, and the record may have been shorter: it names an epoch.
func (sb *submissions) rejectTooLong(c jobCreation) {
	sb.rejectUnlessAccepted(c.to, c.job.Spec, http.StatusBadRequest, descriptionTooLong)
}

// onRecordCreated answers that a job is accepted. A leader adds it to its cluster state only if
// the record was written in this term, and the job is not over already: the leader may have
// noticed it long before the answer comes, or another leader may have, and ended it. A job
// that is not added here it notices as those that other controllers accept.
func (sb *submissions) onRecordCreated(c jobCreation, term *leaderTerm) {
	ref := c.job.Spec.Ref
	if f, finished := sb.directory.finishedJobs.find(ref); finished {
		sb.directory.replyFinishedJob(c.to, ref, f)
		return
	}
	if sb.election.mayActAsLeader() && sb.term == term && term.cluster.Job(ref) == nil {
		term.jobs.addJob(c.job)
	}
	body := protocol.JobStatusBody(ref, c.phase, 0, 0)
	if len(c.job.Spec.DependsOn) > 0 && sb.directory.isTrackedByLeader(c.job) {
		body = sb.directory.trackedJobStatus(c.job)
	}
	sb.reply(c.to, http.StatusCreated, body)
}

// replyIfFound answers how a job stands whose record exists already.
func (sb *submissions) replyIfFound(to ReplyAddress, ref string) {
	sb.directory.findJob(priorityUser, ref, func(found jobLookup, err error) {
		if err != nil {
			sb.refuse(to, refusalStateService)
			return
		}
		sb.directory.replyFound(to, ref, found)
	})
}
