package controller

import (
	"slices"
	"sort"
	"strconv"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
)

// chunkWriter batches the records of arrays' completed tasks. Each write depends on the
// record's own stamp: one that got no answer and is carried out after the next one would
// take back completions that are durable, and that their workers were told to forget.
type chunkWriter struct {
	dirty           map[chunkKey]bool
	unknownRevision map[chunkKey]bool // a write of it may have been applied or not: its stamp has to be read
	writing         bool
	next            micros
}

type chunkKey struct {
	ref   string
	chunk int
}

// key is the key of the record.
func (k chunkKey) key() string {
	return records.ChunkPrefix + k.ref + "/" + strconv.Itoa(k.chunk)
}

// Completions of arrays up to this size share records; larger ones have some
// for themselves. They are let come together for a while.
const (
	maxSharedCompletionTasks = 2048
	completionBatchDelay     = 700 * protocol.Millisecond
)

func (rs *recordStore) recordCompletion(j *state.Job, index int) {
	if len(j.Tasks) <= maxSharedCompletionTasks {
		size := len(j.Spec.Ref) + 8 + (len(j.Tasks)+23)/24*4 + 2
		rs.completionShards.put(j.Spec.Ref, size, rs.shardCapacity(), rs.now.Steady+completionBatchDelay, true)
		return
	}
	w := &rs.chunkWriter
	if w.dirty == nil {
		w.dirty = make(map[chunkKey]bool)
	}
	if len(w.dirty) == 0 && w.next < rs.now.Steady {
		w.next = rs.now.Steady + 700*protocol.Millisecond // let some more come together
	}
	w.dirty[chunkKey{j.Spec.Ref, index / records.ChunkTasks}] = true
}

func (rs *recordStore) writeCompletionChunks() {
	w := &rs.chunkWriter
	if w.writing || len(w.dirty) == 0 || rs.now.Steady < w.next {
		return
	}
	keys := make([]chunkKey, 0, len(w.dirty))
	for k := range w.dirty {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(a, b int) bool {
		return keys[a].ref < keys[b].ref || keys[a].ref == keys[b].ref && keys[a].chunk < keys[b].chunk
	})
	var when []protocol.Condition
	var then []protocol.Change
	type covered struct {
		j     *state.Job
		chunk int
		tasks []int
	}
	var batch []covered
	for _, k := range keys {
		j := rs.cluster.Job(k.ref)
		if j == nil || j.State != state.JobActive {
			delete(w.dirty, k) // its final record covers it
			continue
		}
		if len(then) == rs.store.limits.target.maxChanges {
			break
		}
		if w.unknownRevision[k] {
			rs.refreshChunkRevision(j, k)
			return
		}
		cv := covered{j: j, chunk: k.chunk, tasks: j.CompletedNotDurable(k.chunk*records.ChunkTasks, (k.chunk+1)*records.ChunkTasks)}
		batch = append(batch, cv)
		when = append(when, protocol.Condition{Key: records.JobPrefix + k.ref, Revision: j.Revision}, protocol.Condition{Key: k.key(), Revision: j.ChunkRevisions[k.chunk]})
		then = append(then, protocol.Change{Key: k.key(), Value: records.EncodeChunk(j, k.chunk)})
	}
	for _, cv := range batch {
		delete(w.dirty, chunkKey{cv.j.Spec.Ref, cv.chunk})
	}
	if len(then) == 0 {
		return
	}
	w.writing = true
	rs.election.leaderTransaction(priorityUrgent, when, then, func(o txnOutcome, r protocol.TxnResult) {
		w.writing = false
		w.next = rs.now.Steady + 500*protocol.Millisecond
		for _, cv := range batch {
			if o == txnCommitted {
				cv.j.SetChunkRevision(cv.chunk, r.Revision)
				for _, i := range cv.tasks {
					cv.j.Tasks[i].Durable = true
				}
				continue
			}
			k := chunkKey{cv.j.Spec.Ref, cv.chunk}
			if cv.j.State == state.JobActive {
				w.dirty[k] = true
			}
			if o == txnUnknown || o == txnConflict && slices.Contains(r.Conflicts, k.key()) {
				if w.unknownRevision == nil {
					w.unknownRevision = make(map[chunkKey]bool)
				}
				w.unknownRevision[k] = true
			}
		}
	})
}

// refreshChunkRevision reads the stamp of a record of completions after a write without an answer.
func (rs *recordStore) refreshChunkRevision(j *state.Job, k chunkKey) {
	rs.chunkWriter.writing = true
	rs.store.getKey(priorityUrgent, k.key(), func(e protocol.Entry, found, ok bool) {
		if rs.ended() {
			return
		}
		rs.chunkWriter.writing = false
		if !ok {
			rs.chunkWriter.next = rs.now.Steady + 300*protocol.Millisecond
			return
		}
		delete(rs.chunkWriter.unknownRevision, k)
		j.SetChunkRevision(k.chunk, e.Revision) // 0 where there is none
	})
}
