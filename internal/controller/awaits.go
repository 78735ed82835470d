package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// What any controller can say of jobs that await others, from the state service alone: a
// job is cancelled as soon as one that it awaits is durably cancelled, directly or through
// others, also before its own final record is written.

// mostWalked bounds the records that one walk along a chain looks for.
const mostWalked = 128

// verdict is what the records say of the jobs that a job awaits.
type verdict struct {
	cancelled bool   // one of them, or one that they await, is durably cancelled
	undecided bool   // something could not be read, or there is too much of it
	unread    bool   // one that the job names itself could not be read
	missing   string // one that was never accepted, or a service
}

// walk is a walk along a chain, from a job to all that it awaits.
type walk struct {
	c       *Controller
	prio    uint8
	verdict verdict
	seen    map[string]bool
	reading int
	done    func(verdict)
}

// judge finds out how the jobs stand that a job awaits.
func (c *Controller) judge(prio uint8, awaits []string, done func(verdict)) {
	w := &walk{c: c, prio: prio, seen: make(map[string]bool), done: done}
	w.reading++ // until all are asked for
	w.ask(awaits, true)
	w.read()
}

// ask looks for jobs; named says that the job in question names them itself.
func (w *walk) ask(refs []string, named bool) {
	for _, ref := range refs {
		if w.seen[ref] {
			continue
		}
		w.seen[ref] = true
		if f, over := w.c.finals.find(ref); over {
			w.verdict.cancelled = w.verdict.cancelled || f.phase == protocol.PhaseCancelled
			continue
		}
		if len(w.seen) > mostWalked {
			w.verdict.undecided = true
			return
		}
		w.reading++
		w.c.find(w.prio, ref, func(j *state.Job, f final, found, ok bool) {
			w.found(ref, named, j, f, found, ok)
			w.read()
		})
	}
}

// found takes what was read of a job.
func (w *walk) found(ref string, named bool, j *state.Job, f final, found, ok bool) {
	v := &w.verdict
	switch {
	case !ok:
		v.undecided, v.unread = true, v.unread || named
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
		w.ask(j.Spec.DependsOn, false)
	}
}

// read notes that a record was read. After the last one the walk is over.
func (w *walk) read() {
	if w.reading--; w.reading == 0 {
		w.done(w.verdict)
	}
}

// answerLive answers for a job that is not over by its own records.
func (c *Controller) answerLive(to Address, j *state.Job) {
	if mine := c.knows(j); mine && !j.DependencyUncertain || len(j.Spec.DependsOn) == 0 || j.State == state.JobCancelledLegacy {
		c.reply(to, 200, c.liveAnswer(j), 0)
		return
	}
	c.judge(prioUrgent, j.Spec.DependsOn, func(v verdict) {
		switch {
		case v.cancelled:
			c.reply(to, 200, protocol.JobStatusBody(j.Spec.Ref, protocol.PhaseCancelled, 0, 0), 0)
		case v.undecided:
			c.unavailable(to, refusedState)
		default:
			c.reply(to, 200, c.liveAnswer(j), 0)
		}
	})
}

// knows reports whether this node leads and the job is the one of its book.
func (c *Controller) knows(j *state.Job) bool {
	return c.mayStart() && c.term.book.Job(j.Spec.Ref) == j
}

// liveAnswer says how a job stands, as its leader or its record has it.
func (c *Controller) liveAnswer(j *state.Job) []byte {
	switch {
	case c.knows(j):
		return c.jobAnswer(j)
	case j.State == state.JobCancelledLegacy:
		return protocol.JobStatusBody(j.Spec.Ref, protocol.PhaseCancelled, 0, 0)
	}
	return protocol.JobStatusBody(j.Spec.Ref, protocol.PhaseQueued, 0, 0)
}

// knowsAwaited reports whether this leader knows all jobs that a job awaits, and that none
// of them is a service.
func (c *Controller) knowsAwaited(s *protocol.JobSpec) bool {
	for _, ref := range s.DependsOn {
		if _, over := c.finals.find(ref); over {
			continue
		}
		if j := c.term.book.Job(ref); j == nil || j.Spec.Kind == protocol.Service {
			return false
		}
	}
	return true
}

// admitAwaits goes on with a submission if all jobs that it names were accepted. It is
// known before whether the job itself was: what became of those that it awaits is then of
// no matter.
func (c *Controller) admitAwaits(to Address, spec *protocol.JobSpec, over func(), admitted func(cancelled bool)) {
	c.find(prioUser, spec.Ref, func(j *state.Job, f final, found, ok bool) {
		if !ok || found {
			over()
		}
		switch {
		case !ok:
			c.unavailable(to, refusedState)
		case found:
			c.answerKnown(to, spec.Ref, j, f)
		default:
			c.judge(prioUser, spec.DependsOn, func(v verdict) {
				switch {
				case v.missing != "":
					over()
					c.refuseUnknown(to, spec, 422, "awaits: "+v.missing+" is no job that can be awaited")
				case v.unread || v.undecided && !v.cancelled:
					over()
					c.unavailable(to, refusedState)
				default:
					admitted(v.cancelled)
				}
			})
		}
	})
}
