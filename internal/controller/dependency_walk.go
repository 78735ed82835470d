package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

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
