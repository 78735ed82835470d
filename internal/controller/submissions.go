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

// submissions accepts or rejects jobs, and creates their records, with or without the leader. For
// the leader's part see job_admission.go.
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
	// finished is called when the submission no longer counts against the limit on lookups or
	// submissions without the leader.
	finished func()
}

// Reasons why a job can never run, or is malformed. Their texts are part of the reply.
var (
	errUnknownTeam   = errors.New("unknown team")
	errTeamRetired   = errors.New("the team takes no new jobs")
	errNoMachineType = errors.New("a task fits no allowed machine type")
	errOverQuota     = errors.New("the job needs more than the team's limit")
)

// validate returns an error if a job can never run, or can't be accepted any more.
func (sb *submissions) validate(s *protocol.JobSpec) error {
	if s.NotUTF8 {
		return protocol.ErrNotUTF8
	}
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

// withinLimit reports whether an amount is within a limit, in which 0 means unlimited.
func withinLimit(limit, amount protocol.Resources) bool {
	return (limit.CPU == 0 || amount.CPU <= limit.CPU) && (limit.GPU == 0 || amount.GPU <= limit.GPU)
}

// submitWithoutLeader creates a job's record without the leader, which detects the job by its
// watch on job records. It first reads the machine types, the configuration and the feature level
// if this controller does not have them.
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
	case config != nil && !config.headKnown:
		sb.config.readHead(priorityUser, func(err error) { resume(err == nil, refusalStateService) })
	case features != nil && !features.known:
		sb.features.readLevel(priorityUser, func(err error) { resume(err == nil && features.known, refusalStateService) })
	case features != nil && !features.serves.Serves(features.active):
		resume(false, refusalFeatureLevel)
	default:
		sb.createWithoutLeader(s)
	}
}

// createWithoutLeader accepts or rejects a job by the state that this controller has.
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
		sb.recordWithoutLeader(s, acceptedPhase(cancelled))
	})
}

// acceptedPhase returns the phase in which a job is accepted. It is cancelled if one of the jobs
// that it depends on is.
func acceptedPhase(dependencyCancelled bool) protocol.Phase {
	if dependencyCancelled {
		return protocol.PhaseCancelled
	}
	return protocol.PhaseQueued
}

// recordWithoutLeader creates a job's record. phase is the one in the reply to the user.
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
	sb.createRecord(jobCreation{to: s.to, job: j, phase: phase, write: write, writeSkipped: s.finished})
}

// resolveDependencies continues a submission if all jobs that it depends on were accepted. It first
// checks whether the job itself was accepted before: in that case the state of its dependencies
// does not matter.
func (sb *submissions) resolveDependencies(s submission, resolved func(cancelled bool)) {
	sb.directory.findJob(priorityUser, s.spec.Ref, func(found jobLookup, err error) {
		switch {
		case errors.Is(err, errJobNotFound):
			sb.directory.checkDependencies(priorityUser, s.spec.DependsOn, func(status dependencyStatus) {
				switch {
				case status.invalid != "":
					s.finished()
					text := "awaits: " + status.invalid + " is no job that can be awaited"
					sb.rejectUnlessAccepted(s.to, s.spec.Ref, rejection{http.StatusUnprocessableEntity, rejectedDependency, text})
				case status.directLookupFailed || status.inconclusive && !status.cancelled:
					s.finished()
					sb.refuse(s.to, refusalStateService)
				default:
					resolved(status.cancelled)
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

// reject replies that a job can never run, unless it was accepted before, when the machine types
// may have been different.
func (sb *submissions) reject(to ReplyAddress, spec *protocol.JobSpec, reason error) {
	if sb.config.state == nil || sb.election.mayActAsLeader() {
		sb.rejectUnlessAccepted(to, spec.Ref, rejectionFor(reason))
		return
	}
	// This controller's revision of the configuration may be outdated, and a rejection involves no
	// transaction that would detect that.
	sb.config.readHead(priorityUser, func(err error) {
		reason := sb.validate(spec)
		if err != nil || reason == nil {
			sb.refuse(to, refusalStateService)
			return
		}
		sb.rejectUnlessAccepted(to, spec.Ref, rejectionFor(reason))
	})
}

// rejectUnlessAccepted rejects a job unless it was accepted before.
func (sb *submissions) rejectUnlessAccepted(to ReplyAddress, ref string, r rejection) {
	sb.directory.findJob(priorityUser, ref, func(found jobLookup, err error) {
		switch {
		case errors.Is(err, errJobNotFound):
			sb.rejectSubmission(to, ref, r)
		case err != nil:
			sb.refuse(to, refusalStateService)
		default:
			sb.directory.replyFound(to, ref, found)
		}
	})
}

// jobCreation is the creation of a job's record.
type jobCreation struct {
	to    ReplyAddress
	job   *state.Job
	phase protocol.Phase // in the reply, unless this controller leads and has a more recent one
	// write writes the record. writeSkipped is called instead if no write is attempted.
	write        func(when []protocol.Condition, then []protocol.Change, done func(revision uint64, err error))
	writeSkipped func()
}

// createRecord creates a job's record if there is none, and replies once the record is durable.
func (sb *submissions) createRecord(c jobCreation) {
	ref, term := c.job.Spec.Ref, sb.term
	value := records.EncodeJob(c.job)
	if len(value) > sb.store.Accepted().MaxValueBytes {
		c.writeSkipped()
		sb.rejectTooLong(c)
		return
	}
	when := []protocol.Condition{{Key: records.JobPrefix + ref}, {Key: records.FinalPrefix + ref}}
	then := []protocol.Change{{Key: records.JobPrefix + ref, Value: value}}
	c.write(when, then, func(revision uint64, err error) {
		tooLarge, malformed := errors.Is(err, statestore.ErrTooLarge), errors.Is(err, statestore.ErrMalformed)
		switch {
		case err == nil:
			c.job.Revision = revision
			sb.onRecordCreated(c, term)
		case statestore.IsConflict(err):
			sb.replyIfFound(c.to, ref)
		case (tooLarge || malformed) && len(value) > sb.store.Accepted().MaxValueBytes:
			sb.rejectTooLong(c)
		case malformed:
			sb.rejectUnlessAccepted(c.to, ref, rejectionNotStored)
		default:
			sb.refuse(c.to, refusalStateService)
		}
	})
}

// rejectTooLong rejects a job whose record exceeds the size limit of a value. The job may have been
// accepted before, under a larger limit or with a shorter record: the record contains an epoch.
func (sb *submissions) rejectTooLong(c jobCreation) {
	sb.rejectUnlessAccepted(c.to, c.job.Spec.Ref, rejectionTooLong)
}

// onRecordCreated replies that a job is accepted. A leader adds the job to its cluster state only
// if the record was written in this term and the job is not finished yet: this leader, or another
// one, may have detected the job long before the answer to the write arrives, and finished it. A
// job that is not added here is detected by the watch, like those that other controllers accept.
func (sb *submissions) onRecordCreated(c jobCreation, term *leaderTerm) {
	ref := c.job.Spec.Ref
	if f, finished := sb.directory.finishedJobs.find(ref); finished {
		sb.directory.replyFinishedJob(c.to, ref, f)
		return
	}
	if sb.election.mayActAsLeader() && sb.term == term && term.cluster.Job(ref) == nil {
		term.jobs.addJob(c.job)
	}
	status := sb.createdJobStatus(c)
	sb.directory.observeAnswer(ref, answerNewRecord, status)
	sb.reply(c.to, http.StatusCreated, status)
}

// createdJobStatus returns the status of a job whose record was created. If the job depends on
// others, a leader has a more recent one than that with which the creation began. The job that it
// tracks may be another object: the watch may have shown the record before the write was answered.
func (sb *submissions) createdJobStatus(c jobCreation) []byte {
	ref := c.job.Spec.Ref
	if len(c.job.Spec.DependsOn) > 0 && c.phase != protocol.PhaseCancelled && sb.election.mayActAsLeader() {
		if j := sb.term.cluster.Job(ref); j != nil {
			return sb.directory.trackedJobStatus(j)
		}
	}
	return protocol.JobStatusBody(ref, c.phase, 0, 0)
}

// replyIfFound replies with the status of a job whose record exists already.
func (sb *submissions) replyIfFound(to ReplyAddress, ref string) {
	sb.directory.findJob(priorityUser, ref, func(found jobLookup, err error) {
		if err != nil {
			sb.refuse(to, refusalStateService)
			return
		}
		sb.directory.replyFound(to, ref, found)
	})
}
