package controller

import (
	"sort"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
)

const (
	// maxLaunchRecordDelay is how long a launch waits for others to share its record.
	maxLaunchRecordDelay = protocol.Second
	// finalWriteRecency is how long what the last final record took says anything.
	finalWriteRecency = 3 * protocol.Second
)

// finalWriter has the final records written in the order in which the jobs ended. Few are
// on their way at a time: of more some would not get their turn before they expire, and
// begin again behind those of jobs that ended later.
type finalWriter struct {
	queue          []queuedFinal
	inFlight       int
	lastLatency    micros // what the last one took, which is mostly its wait in line
	lastFinishedAt micros // when that was
}

type queuedFinal struct {
	job      *state.Job
	queuedAt micros
}

// finished counts a final record that is not on its way any more.
func (w *finalWriter) finished(at, since micros) {
	w.inFlight--
	w.lastLatency, w.lastFinishedAt = at-since, at
}

// maxFinalWrites is how many final records are on their way at a time: what the leader
// may write in half a second, and as many as keep a small rate in use.
func (jm *jobManager) maxFinalWrites() int { return max(4, int(jm.store.writeRate()/4)) }

// writeQueuedFinals writes the final records whose turn it is.
func (jm *jobManager) writeQueuedFinals() {
	w := &jm.finals
	for jm.election.role == RoleLeader && len(w.queue) > 0 && w.inFlight < jm.maxFinalWrites() {
		next := w.queue[0]
		w.queue[0] = queuedFinal{}
		w.queue = w.queue[1:]
		w.inFlight++
		jm.writeFinalRecord(next.job, next.queuedAt)
	}
}

// finishIfComplete writes the final record of a job whose tasks are all done.
// Only after it is durable are users told.
func (jm *jobManager) finishIfComplete(j *state.Job) {
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
	jm.queueFinalRecord(j)
}

// finish moves a job's record to where jobs that are over are kept.
func (jm *jobManager) queueFinalRecord(j *state.Job) {
	if jm.election.role != RoleLeader {
		// It would be refused: the state service is not there, or this node's lease.
		jm.after(400*protocol.Millisecond, func() { jm.requeueFinalRecord(j) })
		return
	}
	jm.finals.queue = append(jm.finals.queue, queuedFinal{j, jm.now.Steady})
	jm.writeQueuedFinals()
}

// writeFinalRecord writes a job's final record, in its turn.
func (jm *jobManager) writeFinalRecord(j *state.Job, since micros) {
	ref := j.Spec.Ref
	phase := protocol.PhaseDone
	if j.State == state.JobCancelledLegacy || j.State == state.JobCancelling {
		phase = protocol.PhaseCancelled
	}
	then := []protocol.Change{
		{Key: records.JobPrefix + ref},
		{Key: records.FinalPrefix + ref, Value: records.EncodeFinal(phase, len(j.Tasks))},
	}
	jm.records.bookingShards.drop(ref, protocol.Forever)
	chunks := make([]int, 0, len(j.ChunkRevisions))
	for k := range j.ChunkRevisions {
		chunks = append(chunks, k)
	}
	sort.Ints(chunks)
	var rest []string // dropped once the job is over
	for _, k := range chunks {
		if key := (chunkKey{ref, k}).key(); len(then) < jm.store.limits.target.maxChanges {
			then = append(then, protocol.Change{Key: key})
		} else {
			rest = append(rest, key)
		}
	}
	when := []protocol.Condition{{Key: records.JobPrefix + ref, Revision: j.Revision}}
	jm.election.leaderTransaction(priorityFinalRecord, when, then, func(o txnOutcome, r protocol.TxnResult) {
		jm.finals.finished(jm.now.Steady, since)
		jm.writeQueuedFinals()
		switch o {
		case txnCommitted:
			jm.records.orphanedKeys = append(jm.records.orphanedKeys, rest...)
			jm.onJobFinished(j, phase)
		case txnConflict:
			// Our own earlier try may have been applied late.
			jm.store.getKey(priorityUrgent, records.FinalPrefix+ref, func(e protocol.Entry, found, ok bool) {
				if jm.ended() {
					return
				}
				if found {
					if p, _, err := records.DecodeFinal(e.Value); err == nil {
						jm.onJobFinished(j, p)
						return
					}
				}
				// Or a write to the job's record was: its stamp is another.
				jm.store.getKey(priorityUrgent, records.JobPrefix+ref, func(e protocol.Entry, found, ok bool) {
					if jm.ended() {
						return
					}
					if found {
						j.Revision = e.Revision
					}
					jm.after(500*protocol.Millisecond, func() { jm.requeueFinalRecord(j) })
				})
			})
		default:
			jm.after(400*protocol.Millisecond, func() { jm.requeueFinalRecord(j) })
		}
	})
}

func (jm *jobManager) requeueFinalRecord(j *state.Job) {
	if !jm.ended() && (j.State == state.JobFinishing || j.State == state.JobCancelledLegacy || j.State == state.JobCancelling) {
		jm.queueFinalRecord(j)
	}
}

// onJobFinished notes that a job's final record is durable.
func (jm *jobManager) onJobFinished(j *state.Job, p protocol.Phase) {
	jm.directory.cacheFinishedJob(j.Spec.Ref, finishedJob{p, len(j.Tasks)})
	if p == protocol.PhaseDone {
		if j.State == state.JobFinishing {
			j.SetState(state.JobDone)
		}
	} else if j.State == state.JobCancelledLegacy || j.State == state.JobCancelling {
		j.SetState(state.JobClosed)
		jm.log.Debug("cancelled", "ref", j.Spec.Ref, "asked_ms_ago", int64((jm.now.Wall-j.Cancellation.RequestedWall)/protocol.Millisecond), "told", len(jm.pendingCancels[j.Spec.Ref]))
	}
	delete(jm.dependencies.finalWritesInFlight, j)
	for i := range j.Tasks {
		j.Tasks[i].Durable = true
	}
	for _, a := range jm.pendingCancels[j.Spec.Ref] {
		jm.reply(a, 200, protocol.JobStatusBody(j.Spec.Ref, p, j.CompletedTasks, 0), 0)
	}
	delete(jm.pendingCancels, j.Spec.Ref)
	jm.cycleNeeded = true
}
