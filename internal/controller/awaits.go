package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// What any controller can say of jobs that await others, from the state service alone: a
// job is cancelled as soon as one that it awaits is durably cancelled, directly or through
// others, also before its own final record is written.

// maxWalkedRecords bounds the records that one walk along a chain looks for.
const maxWalkedRecords = 128

// transferDecision is what the records say of the jobs that a job awaits.
type dependencyVerdict struct {
	cancelled    bool   // one of them, or one that they await, is durably cancelled
	undecided    bool   // something could not be read, or there is too much of it
	directUnread bool   // one that the job names itself could not be read
	missing      string // one that was never accepted, or a service
}

// dependencyWalk is a walk along a chain, from a job to all that it awaits.
type dependencyWalk struct {
	jobs          *jobDirectory
	prio          uint8
	verdict       dependencyVerdict
	visited       map[string]bool
	readsInFlight int
	done          func(dependencyVerdict)
}

// checkDependencies finds out how the jobs stand that a job awaits.
func (d *jobDirectory) checkDependencies(prio uint8, awaits []string, done func(dependencyVerdict)) {
	w := &dependencyWalk{jobs: d, prio: prio, visited: make(map[string]bool), done: done}
	w.readsInFlight++ // until all are asked for
	w.visit(awaits, true)
	w.finishRead()
}

// ask looks for jobs; named says that the job in question names them itself.
func (w *dependencyWalk) visit(refs []string, named bool) {
	for _, ref := range refs {
		if w.visited[ref] {
			continue
		}
		w.visited[ref] = true
		if f, over := w.jobs.finishedJobs.find(ref); over {
			w.verdict.cancelled = w.verdict.cancelled || f.phase == protocol.PhaseCancelled
			continue
		}
		if len(w.visited) > maxWalkedRecords {
			w.verdict.undecided = true
			return
		}
		w.readsInFlight++
		w.jobs.findJob(w.prio, ref, func(j *state.Job, f finishedJob, found, ok bool) {
			w.observe(ref, named, j, f, found, ok)
			w.finishRead()
		})
	}
}

// observeAttempt takes what was read of a job.
func (w *dependencyWalk) observe(ref string, named bool, j *state.Job, f finishedJob, found, ok bool) {
	v := &w.verdict
	switch {
	case !ok:
		v.undecided, v.directUnread = true, v.directUnread || named
	case !found && named:
		v.missing = ref
	case !found:
		v.undecided = true
	case j == nil:
		v.cancelled = v.cancelled || f.phase == protocol.PhaseCancelled
	case j.State == state.JobCancelledLegacy:
		v.cancelled = true
	case named && j.Spec.Kind == protocol.Service:
		v.missing = ref
	default:
		w.visit(j.Spec.DependsOn, false)
	}
}

// finishRead notes that a record was read. After the last one the walk is over.
func (w *dependencyWalk) finishRead() {
	if w.readsInFlight--; w.readsInFlight == 0 {
		w.done(w.verdict)
	}
}

// replyActiveJob answers for a job that is not over by its own records.
func (d *jobDirectory) replyActiveJob(to ReplyAddress, j *state.Job) {
	if mine := d.isTrackedByLeader(j); mine && !j.DependencyUncertain || len(j.Spec.DependsOn) == 0 || j.State == state.JobCancelledLegacy {
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
