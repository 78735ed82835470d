package controller

import (
	"errors"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// maxWalkedRecords bounds the records that one walk along dependencies looks for.
const maxWalkedRecords = 128

// dependencyVerdict is what the records say of the jobs that a job depends on.
type dependencyVerdict struct {
	cancelled    bool   // one of them, or of their own dependencies, is durably cancelled
	undecided    bool   // something could not be read, or there is too much of it
	directUnread bool   // one that the job names itself could not be read
	missing      string // one that was never accepted, or a service
}

// dependencyWalk follows dependencies from a job to all that it depends on, by the records of
// the state service alone: any controller can say that a job is cancelled as soon as a job that
// it depends on is durably cancelled, also before its own final record is written.
type dependencyWalk struct {
	directory     *jobDirectory
	priority      Priority
	verdict       dependencyVerdict
	visited       map[string]bool
	readsInFlight int
	done          func(dependencyVerdict)
}

// checkDependencies finds out how the jobs stand that a job depends on.
func (d *jobDirectory) checkDependencies(priority Priority, dependsOn []string, done func(dependencyVerdict)) {
	w := &dependencyWalk{directory: d, priority: priority, visited: make(map[string]bool), done: done}
	w.readsInFlight++ // until all are asked for
	w.visit(dependsOn, true)
	w.finishRead()
}

// visit looks for jobs. direct says that the job in question names them itself.
func (w *dependencyWalk) visit(refs []string, direct bool) {
	for _, ref := range refs {
		if w.visited[ref] {
			continue
		}
		w.visited[ref] = true
		if f, finished := w.directory.finishedJobs.find(ref); finished {
			w.verdict.cancelled = w.verdict.cancelled || f.phase == protocol.PhaseCancelled
			continue
		}
		if len(w.visited) > maxWalkedRecords {
			w.verdict.undecided = true
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
		w.verdict.undecided = true
		w.verdict.directUnread = w.verdict.directUnread || direct
	case direct:
		w.verdict.missing = ref
	default:
		w.verdict.undecided = true
	}
}

func (w *dependencyWalk) onFound(ref string, direct bool, found jobLookup) {
	j := found.active
	switch {
	case j == nil:
		w.verdict.cancelled = w.verdict.cancelled || found.finished.phase == protocol.PhaseCancelled
	case j.State == state.JobCancelledLegacy:
		w.verdict.cancelled = true
	case direct && j.Spec.Kind == protocol.Service:
		w.verdict.missing = ref
	default:
		w.visit(j.Spec.DependsOn, false)
	}
}

// finishRead notes that a record was read. After the last one the walk is over.
func (w *dependencyWalk) finishRead() {
	w.readsInFlight--
	if w.readsInFlight == 0 {
		w.done(w.verdict)
	}
}
