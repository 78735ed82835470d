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
	minFinalWrites     = 4 // enough to use up a small write rate
)

// finalWriter queues the final records, which are written in the order in which the jobs ended.
// Only a few writes are in flight at a time: with more, some would expire before the write rate
// admits them, and would be queued again behind the records of jobs that ended later.
type finalWriter struct {
	queue          []queuedFinal
	inFlight       int
	lastLatency    micros // from queueing to completion of the last write, mostly time in the queue
	lastFinishedAt micros
}

// queuedFinal is a job whose final record waits to be written.
type queuedFinal struct {
	job      *state.Job
	queuedAt micros
}

// onFinished updates the counters after the write of a final record has succeeded or failed.
func (w *finalWriter) onFinished(now, queuedAt micros) {
	w.inFlight--
	w.lastLatency, w.lastFinishedAt = now-queuedAt, now
}

// maxFinalWrites is how many final records may be in flight: as many as the leader may write in
// half a second, at two changes each, but at least minFinalWrites.
func (jm *jobManager) maxFinalWrites() int {
	return max(minFinalWrites, int(jm.election.leaderWriteRate()/4))
}

// writeQueuedFinals starts the writes of queued final records, up to the limit in flight.
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

// finishIfComplete queues the final record of a job whose tasks are all done. Users see the job as
// done only after that record is durable.
func (jm *jobManager) finishIfComplete(j *state.Job) {
	if j.State != state.JobActive || j.CompletedTasks < len(j.Tasks) {
		return
	}
	if j.Spec.Kind == protocol.Gang && !j.NoActiveAttempts() {
		// A gang is complete as soon as its first task is, while the host of another task may hang
		// with its resources still in use. A new leader would treat the job as finished and not
		// count those resources, and the team would exceed its quota.
		return
	}
	j.SetState(state.JobFinishing)
	jm.queueFinalRecord(j)
}

// queueFinalRecord queues the write that replaces a job's active record by its final record.
func (jm *jobManager) queueFinalRecord(j *state.Job) {
	if jm.election.role != RoleLeader {
		// The write would be refused: the state service is down, or this controller's lease expired.
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

// writeFinalRecord writes a job's final record, and deletes the job's other records.
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
	var excessKeys []string // of chunks beyond the limit of changes, deleted after the transaction
	for _, chunk := range slices.Sorted(maps.Keys(j.ChunkRevisions)) {
		if key := (chunkKey{ref, chunk}).key(); len(then) < jm.store.Target().MaxChanges {
			then = append(then, protocol.Change{Key: key})
		} else {
			excessKeys = append(excessKeys, key)
		}
	}
	when := []protocol.Condition{{Key: records.JobPrefix + ref, Revision: j.Revision}}
	jm.election.transaction(priorityFinalRecord, when, then, func(_ uint64, err error) {
		jm.finals.onFinished(jm.now.Steady, q.queuedAt)
		jm.writeQueuedFinals()
		switch {
		case err == nil:
			jm.records.orphanedKeys = append(jm.records.orphanedKeys, excessKeys...)
			jm.onJobFinished(j, phase)
		case statestore.IsConflict(err):
			jm.resolveFinalConflict(j)
		default:
			jm.requeueAfter(j, finalWriteRetry)
		}
	})
}

// resolveFinalConflict determines why the write of a final record conflicted: an earlier write of
// the final record, or of the job's active record, was carried out late.
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

// onJobFinished updates a job whose final record is durable, and confirms pending cancellations.
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
