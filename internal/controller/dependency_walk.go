package controller

import (
	"errors"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// maxWalkedRecords limits how many jobs one walk along dependencies looks up.
const maxWalkedRecords = 128

// dependencyStatus is the state of a job's dependencies according to the records.
type dependencyStatus struct {
	cancelled          bool   // a direct or indirect dependency is durably cancelled
	inconclusive       bool   // a record could not be read, or there are more than maxWalkedRecords
	directLookupFailed bool   // a direct dependency could not be read
	invalid            string // a direct dependency that was never accepted, or is a service
}

// dependencyWalk follows the direct and indirect dependencies of a job through the records of the
// state service alone: any controller can report a job as cancelled as soon as one of its
// dependencies is durably cancelled, even before the job's own final record is written.
type dependencyWalk struct {
	directory     *jobDirectory
	priority      Priority
	status        dependencyStatus
	visited       map[string]bool
	readsInFlight int
	done          func(dependencyStatus)
}

// checkDependencies determines the state of a job's dependencies from the records.
func (d *jobDirectory) checkDependencies(priority Priority, dependsOn []string, done func(dependencyStatus)) {
	w := &dependencyWalk{directory: d, priority: priority, visited: make(map[string]bool), done: done}
	w.readsInFlight++ // released once all direct dependencies are requested
	w.visit(dependsOn, true)
	w.finishRead()
}

// visit looks up jobs and their dependencies. direct is true for the dependencies that the job
// itself lists.
func (w *dependencyWalk) visit(refs []string, direct bool) {
	for _, ref := range refs {
		if w.visited[ref] {
			continue
		}
		w.visited[ref] = true
		if f, finished := w.directory.finishedJobs.find(ref); finished {
			w.status.cancelled = w.status.cancelled || f.phase == protocol.PhaseCancelled
			continue
		}
		if len(w.visited) > maxWalkedRecords {
			w.status.inconclusive = true
			return
		}
		w.readsInFlight++
		w.directory.findJob(w.priority, ref, func(found jobLookup, err error) {
			if err != nil {
				w.onLookupFailed(ref, direct, err)
			} else {
				w.onFound(ref, direct, found)
			}
			w.finishRead()
		})
	}
}

func (w *dependencyWalk) onLookupFailed(ref string, direct bool, err error) {
	switch {
	case !errors.Is(err, errJobNotFound):
		w.status.inconclusive = true
		w.status.directLookupFailed = w.status.directLookupFailed || direct
	case direct:
		w.status.invalid = ref
	default:
		w.status.inconclusive = true
	}
}

func (w *dependencyWalk) onFound(ref string, direct bool, found jobLookup) {
	j := found.active
	switch {
	case j == nil:
		w.status.cancelled = w.status.cancelled || found.finished.phase == protocol.PhaseCancelled
	case j.State == state.JobCancelledLegacy:
		w.status.cancelled = true
	case direct && j.Spec.Kind == protocol.Service:
		w.status.invalid = ref
	default:
		w.visit(j.Spec.DependsOn, false)
	}
}

// finishRead counts a completed lookup, and reports the result after the last one.
func (w *dependencyWalk) finishRead() {
	w.readsInFlight--
	if w.readsInFlight == 0 {
		w.done(w.status)
	}
}
