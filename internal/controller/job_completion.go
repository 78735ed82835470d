package controller

import (
	"maps"
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
	"mapleslip/internal/statestore"
)

const (
	finalWriteRetry    = 400 * protocol.Millisecond
	finalConflictRetry = 500 * protocol.Millisecond
	minFinalWrites     = 4
)

// finalWriter has the final records written in the order in which the jobs ended. Few are on
// their way at a time: of more some would not get their turn before they expire, and begin
// again behind those of jobs that ended later.
type finalWriter struct {
	queue          []queuedFinal
	inFlight       int
	lastLatency    micros // of the last one, which is mostly its wait in line
	lastFinishedAt micros
}

// queuedFinal is a job whose final record waits to be written.
type queuedFinal struct {
	job      *state.Job
	queuedAt micros
}

// onFinished counts a final record that is not on its way any more.
func (w *finalWriter) onFinished(now, queuedAt micros) {
	w.inFlight--
	w.lastLatency, w.lastFinishedAt = now-queuedAt, now
}

// maxFinalWrites is how many final records are on their way at a time: what the leader may
// write in half a second, and as many as keep a small rate in use.
func (jm *jobManager) maxFinalWrites() int {
	return max(minFinalWrites, int(jm.election.leaderWriteRate()/4))
}

// writeQueuedFinals writes the final records whose turn it is.
func (jm *jobManager) writeQueuedFinals() {
	w := &jm.finals
	for jm.election.role == RoleLeader && len(w.queue) > 0 && w.inFlight < jm.maxFinalWrites() {
		next := w.queue[0]
		w.queue[0] = queuedFinal{}
		w.queue = w.queue[1:]
		w.inFlight++
		jm.writeFinalRecord(next)
	}
}

// finishIfComplete writes the final record of a job whose tasks are all done. Users are told
// only after it is durable.
func (jm *jobManager) finishIfComplete(j *state.Job) {
	if j.State != state.JobActive || j.CompletedTasks < len(j.Tasks) {
		return
	}
	if j.Spec.Kind == protocol.Gang && !j.NoActiveAttempts() {
		// A gang is complete with its first task that is, and the host of another one may hang
		// with its resources taken. A new leader would find the job among those that are over
		// and not count it: its team would come above its quota.
		return
	}
	j.SetState(state.JobFinishing)
	jm.queueFinalRecord(j)
}

// queueFinalRecord has a job's record moved to where finished jobs are kept.
func (jm *jobManager) queueFinalRecord(j *state.Job) {
	if jm.election.role != RoleLeader {
		// It would be refused: the state service is down, or this controller's lease expired.
		jm.requeueAfter(j, finalWriteRetry)
		return
	}
	jm.finals.queue = append(jm.finals.queue, queuedFinal{j, jm.now.Steady})
	jm.writeQueuedFinals()
}

// requeueAfter queues a job's final record again after a delay.
func (jm *jobManager) requeueAfter(j *state.Job, delay micros) {
	jm.after(delay, func() {
		if !jm.ended() && (j.State == state.JobFinishing || j.State == state.JobCancelledLegacy || j.State == state.JobCancelling) {
			jm.queueFinalRecord(j)
		}
	})
}

// writeFinalRecord writes a job's final record, in its turn.
func (jm *jobManager) writeFinalRecord(q queuedFinal) {
	j, ref := q.job, q.job.Spec.Ref
	phase := protocol.PhaseDone
	if j.State == state.JobCancelledLegacy || j.State == state.JobCancelling {
		phase = protocol.PhaseCancelled
	}
	then := []protocol.Change{
		{Key: records.JobPrefix + ref},
		{Key: records.FinalPrefix + ref, Value: records.EncodeFinal(phase, len(j.Tasks))},
	}
	jm.records.bookingShards.drop(ref, protocol.Forever)
	var leftOver []string // deleted once the job is over
	for _, chunk := range slices.Sorted(maps.Keys(j.ChunkRevisions)) {
		if key := (chunkKey{ref, chunk}).key(); len(then) < jm.store.Target().MaxChanges {
			then = append(then, protocol.Change{Key: key})
		} else {
			leftOver = append(leftOver, key)
		}
	}
	when := []protocol.Condition{{Key: records.JobPrefix + ref, Revision: j.Revision}}
	jm.election.transaction(priorityFinalRecord, when, then, func(_ uint64, err error) {
		jm.finals.onFinished(jm.now.Steady, q.queuedAt)
		jm.writeQueuedFinals()
		switch {
		case err == nil:
			jm.records.orphanedKeys = append(jm.records.orphanedKeys, leftOver...)
			jm.onJobFinished(j, phase)
		case statestore.IsConflict(err):
			jm.resolveFinalConflict(j)
		default:
			jm.requeueAfter(j, finalWriteRetry)
		}
	})
}

// resolveFinalConflict finds out why a final record could not be written: an earlier write of
// it was carried out late, or one of the job's record was.
func (jm *jobManager) resolveFinalConflict(j *state.Job) {
	ref := j.Spec.Ref
	jm.store.Get(priorityUrgent, records.FinalPrefix+ref, func(e protocol.Entry, err error) {
		if jm.ended() {
			return
		}
		if err == nil {
			if phase, _, err := records.DecodeFinal(e.Value); err == nil {
				jm.onJobFinished(j, phase)
				return
			}
		}
		jm.store.Get(priorityUrgent, records.JobPrefix+ref, func(e protocol.Entry, err error) {
			if jm.ended() {
				return
			}
			if err == nil {
				j.Revision = e.Revision
			}
			jm.requeueAfter(j, finalConflictRetry)
		})
	})
}

// onJobFinished notes that a job's final record is durable.
func (jm *jobManager) onJobFinished(j *state.Job, phase protocol.Phase) {
	ref := j.Spec.Ref
	jm.directory.cacheFinishedJob(ref, finishedJob{phase, len(j.Tasks)})
	switch {
	case phase == protocol.PhaseDone:
		if j.State == state.JobFinishing {
			j.SetState(state.JobDone)
		}
	case j.State == state.JobCancelledLegacy || j.State == state.JobCancelling:
		j.SetState(state.JobClosed)
		jm.log.Debug("job cancelled", "ref", ref, "requested_ms_ago", int64((jm.now.Wall-j.Cancellation.RequestedWall)/protocol.Millisecond),
			"waiting_users", len(jm.pendingCancels[ref]))
	}
	delete(jm.dependencies.finalWritesInFlight, j)
	for i := range j.Tasks {
		j.Tasks[i].Durable = true
	}
	jm.confirmPendingCancels(ref, protocol.JobStatusBody(ref, phase, j.CompletedTasks, 0))
	jm.cycleNeeded = true
}
