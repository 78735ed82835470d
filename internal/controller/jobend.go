package controller

import (
	"sort"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// The end of jobs: their final records, and who is told.

const (
	// mostLaunchWait is how long a launch waits for others to share its record.
	mostLaunchWait = protocol.Second
	// endingsLately is how long what the last final record took says anything.
	endingsLately = 3 * protocol.Second
)

// finalWriter has the final records written in the order in which the jobs ended. Few are
// on their way at a time: of more some would not get their turn before they expire, and
// begin again behind those of jobs that ended later.
type finalWriter struct {
	line    []waitingFinal
	writing int
	took    micros // what the last one took, which is mostly its wait in line
	at      micros // when that was
}

type waitingFinal struct {
	job   *state.Job
	since micros
}

// mostFinalsWritten is how many final records are on their way at a time: what the leader
// may write in half a second, and as many as keep a small rate in use.
func (c *Controller) mostFinalsWritten() int { return max(4, int(c.writeRate()/4)) }

// wrote counts a final record that is not on its way any more.
func (w *finalWriter) wrote(at, since micros) {
	w.writing--
	w.took, w.at = at-since, at
}

// writeFinals writes the final records whose turn it is.
func (c *Controller) writeFinals() {
	w := &c.term.finals
	for c.role == Leading && len(w.line) > 0 && w.writing < c.mostFinalsWritten() {
		next := w.line[0]
		w.line[0] = waitingFinal{}
		w.line = w.line[1:]
		w.writing++
		c.writeFinal(next.job, next.since)
	}
}

// checkFinished writes the final record of a job whose tasks are all done.
// Only after it is durable are users told.
func (c *Controller) checkFinished(j *state.Job) {
	if j.State != state.JobActive || j.CompletedTasks < len(j.Tasks) {
		return
	}
	if j.Spec.Kind == protocol.Gang && !j.NoActiveAttempts() {
		// A gang is complete with its first task that is, and a machine of another one may
		// hang with its room taken. A new leader would find the job among those that are
		// over and not count it: its team came above the limit.
		return
	}
	j.SetState(state.JobFinishing)
	c.finish(j)
}

// finish moves a job's record to where jobs that are over are kept.
func (c *Controller) finish(j *state.Job) {
	t := c.term
	if c.role != Leading {
		// It would be refused: the state service is not there, or this node's lease.
		c.after(400*protocol.Millisecond, func() { c.finishAgain(t, j) })
		return
	}
	t.finals.line = append(t.finals.line, waitingFinal{j, c.at.Steady})
	c.writeFinals()
}

// writeFinal writes a job's final record, in its turn.
func (c *Controller) writeFinal(j *state.Job, since micros) {
	t := c.term
	ref := j.Spec.Ref
	phase := protocol.PhaseDone
	if j.State == state.JobCancelledLegacy || j.State == state.JobCancelling {
		phase = protocol.PhaseCancelled
	}
	then := []protocol.Change{
		{Key: state.JobPrefix + ref},
		{Key: state.FinalPrefix + ref, Value: state.EncodeFinal(phase, len(j.Tasks))},
	}
	t.bookingPages.drop(ref, protocol.Forever)
	chunks := make([]int, 0, len(j.ChunkRevisions))
	for k := range j.ChunkRevisions {
		chunks = append(chunks, k)
	}
	sort.Ints(chunks)
	var rest []string // dropped once the job is over
	for _, k := range chunks {
		if key := (chunkKey{ref, k}).record(); len(then) < c.limits.target.changes {
			then = append(then, protocol.Change{Key: key})
		} else {
			rest = append(rest, key)
		}
	}
	when := []protocol.Condition{{Key: state.JobPrefix + ref, Revision: j.Revision}}
	c.lead(prioEnding, when, then, func(o txnOutcome, r protocol.TxnResult) {
		t.finals.wrote(c.at.Steady, since)
		c.writeFinals()
		switch o {
		case txnApplied:
			t.orphans = append(t.orphans, rest...)
			c.over(j, phase)
		case txnRefused:
			// Our own earlier try may have been applied late.
			c.get(prioUrgent, state.FinalPrefix+ref, func(e protocol.Entry, found, ok bool) {
				if c.term != t {
					return
				}
				if found {
					if p, _, err := state.DecodeFinal(e.Value); err == nil {
						c.over(j, p)
						return
					}
				}
				// Or a write to the job's record was: its stamp is another.
				c.get(prioUrgent, state.JobPrefix+ref, func(e protocol.Entry, found, ok bool) {
					if c.term != t {
						return
					}
					if found {
						j.Revision = e.Revision
					}
					c.after(500*protocol.Millisecond, func() { c.finishAgain(t, j) })
				})
			})
		default:
			c.after(400*protocol.Millisecond, func() { c.finishAgain(t, j) })
		}
	})
}

func (c *Controller) finishAgain(t *term, j *state.Job) {
	if c.term == t && (j.State == state.JobFinishing || j.State == state.JobCancelledLegacy || j.State == state.JobCancelling) {
		c.finish(j)
	}
}

// over notes that a job's final record is durable.
func (c *Controller) over(j *state.Job, p protocol.Phase) {
	t := c.term
	c.remember(j.Spec.Ref, final{p, len(j.Tasks)})
	if p == protocol.PhaseDone {
		if j.State == state.JobFinishing {
			j.SetState(state.JobDone)
		}
	} else if j.State == state.JobCancelledLegacy || j.State == state.JobCancelling {
		j.SetState(state.JobClosed)
		c.log.Debug("cancelled", "ref", j.Spec.Ref, "asked_ms_ago", int64((c.at.Wall-j.CancelRequestedWall)/protocol.Millisecond), "told", len(t.cancels[j.Spec.Ref]))
	}
	delete(t.chains.writing, j)
	for i := range j.Tasks {
		j.Tasks[i].Durable = true
	}
	for _, a := range t.cancels[j.Spec.Ref] {
		c.reply(a, 200, protocol.JobStatusBody(j.Spec.Ref, p, j.CompletedTasks, 0), 0)
	}
	delete(t.cancels, j.Spec.Ref)
	t.dirty = true
}

// remember keeps the last phase of a job that is durably over, and takes it to the jobs
// that await it.
func (c *Controller) remember(ref string, f final) {
	c.finals.keep(ref, f)
	c.awaitedOver(ref, f.phase)
}

// closeJobs lets go of jobs that are over and of which no attempt is left.
func (c *Controller) closeJobs() {
	t := c.term
	var over []*state.Job
	for _, j := range t.book.Jobs() {
		c.countServed(j)
		c.countBegun(j)
		switch j.State {
		case state.JobDone, state.JobClosed:
			if j.NoActiveAttempts() {
				over = append(over, j)
			}
		case state.JobCancelling:
			c.endCancelled(j)
			c.keepAsk(j)
		case state.JobCancelledLegacy: // by an earlier version
			if j.NoActiveAttempts() && t.recovered && !j.FinalWriteInFlight && len(t.cancels[j.Spec.Ref]) == 0 {
				c.closing(j)
				c.finish(j)
			}
		}
	}
	t.book.RemoveJobs(over)
}
