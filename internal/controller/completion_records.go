package controller

import (
	"cmp"
	"errors"
	"slices"
	"strconv"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
	"mapleslip/internal/statestore"
)

const (
	// maxSharedCompletionTasks is the largest number of tasks of an array that shares completion
	// records with others. Larger arrays have records of their own, one for each chunk of tasks.
	maxSharedCompletionTasks = 2048
	// completionBatchDelay is how long completions are collected before they are written.
	completionBatchDelay = 700 * protocol.Millisecond
	chunkWritePause      = 500 * protocol.Millisecond
	chunkReadRetry       = 300 * protocol.Millisecond
)

// chunkWriter batches the completion records of large arrays. Each write depends on the record's
// revision: a write without an answer that is carried out after the next one would otherwise revert
// completions that are durable, and whose reports the workers have deleted at the leader's command.
type chunkWriter struct {
	dirty           map[chunkKey]bool
	revisionUnknown map[chunkKey]bool // chunks whose last write conflicted or has an unknown outcome
	inFlight        bool
	nextWrite       micros // no chunk is written before
}

// chunkKey is a chunk of an array.
type chunkKey struct {
	ref   string
	chunk int
}

// key is the key of the chunk's record.
func (k chunkKey) key() string { return records.ChunkPrefix + k.ref + "/" + strconv.Itoa(k.chunk) }

func (k chunkKey) compare(o chunkKey) int {
	return cmp.Or(cmp.Compare(k.ref, o.ref), cmp.Compare(k.chunk, o.chunk))
}

// completionRecordSize is the number of bytes that the completions of an array take in a shared
// record: a bit for each task, in base64.
func completionRecordSize(j *state.Job) int {
	const quotes = 2
	base64Size := (len(j.Tasks) + 23) / 24 * 4
	return len(j.Spec.Ref) + completionEntrySize + base64Size + quotes
}

// storedCompletionSize is the number of bytes that the completions of an array take in a shared
// record that was read.
func storedCompletionSize(ref string, chunk []byte) int {
	return len(ref) + len(chunk) + completionEntrySize
}

// recordCompletion queues the completion of a task of an array to be recorded.
func (rs *recordStore) recordCompletion(j *state.Job, index int) {
	if len(j.Tasks) <= maxSharedCompletionTasks {
		rs.completionShards.put(j.Spec.Ref, completionRecordSize(j), rs.shardCapacity(), rs.now.Steady+completionBatchDelay, true)
		return
	}
	w := &rs.chunkWriter
	if w.dirty == nil {
		w.dirty = make(map[chunkKey]bool)
	}
	if len(w.dirty) == 0 && w.nextWrite < rs.now.Steady {
		w.nextWrite = rs.now.Steady + completionBatchDelay
	}
	w.dirty[chunkKey{j.Spec.Ref, index / records.ChunkTasks}] = true
}

// encodeCompletions encodes the completion record that some arrays share.
func (rs *recordStore) encodeCompletions(refs []string) (value []byte, onCommit func()) {
	var jobs []*state.Job
	var completed [][]int
	for _, ref := range refs {
		j := rs.cluster.Job(ref)
		if j == nil || j.State != state.JobActive {
			rs.completionShards.drop(ref, protocol.Forever) // the final record covers it
			continue
		}
		jobs = append(jobs, j)
		completed = append(completed, j.CompletedNotDurable(0, len(j.Tasks)))
	}
	return records.EncodeCompletions(jobs), func() {
		for i, j := range jobs {
			markDurable(j, completed[i])
		}
	}
}

func markDurable(j *state.Job, tasks []int) {
	for _, index := range tasks {
		j.Tasks[index].Durable = true
	}
}

// chunkWrite is a chunk that is being written, with the completions that it makes durable.
type chunkWrite struct {
	key       chunkKey
	job       *state.Job
	completed []int
}

// writeCompletionChunks writes the completions of large arrays when they are due.
func (rs *recordStore) writeCompletionChunks() {
	w := &rs.chunkWriter
	if w.inFlight || len(w.dirty) == 0 || rs.now.Steady < w.nextWrite {
		return
	}
	batch, ready := rs.collectChunks()
	if !ready {
		return
	}
	var when []protocol.Condition
	var then []protocol.Change
	for _, cw := range batch {
		delete(w.dirty, cw.key)
		when = append(when, protocol.Condition{Key: records.JobPrefix + cw.key.ref, Revision: cw.job.Revision},
			protocol.Condition{Key: cw.key.key(), Revision: cw.job.ChunkRevisions[cw.key.chunk]})
		then = append(then, protocol.Change{Key: cw.key.key(), Value: records.EncodeChunk(cw.job, cw.key.chunk)})
	}
	if len(then) == 0 {
		return
	}
	w.inFlight = true
	rs.election.transaction(priorityUrgent, when, then, func(revision uint64, err error) {
		w.inFlight = false
		w.nextWrite = rs.now.Steady + chunkWritePause
		for _, cw := range batch {
			if err == nil {
				cw.job.SetChunkRevision(cw.key.chunk, revision)
				markDurable(cw.job, cw.completed)
			} else {
				w.onFailed(cw, err)
			}
		}
	})
}

// collectChunks selects the chunks for the next transaction. ready is false if the revision of one
// of them has to be read first.
func (rs *recordStore) collectChunks() (batch []chunkWrite, ready bool) {
	w := &rs.chunkWriter
	keys := make([]chunkKey, 0, len(w.dirty))
	for k := range w.dirty {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, chunkKey.compare)
	for _, k := range keys {
		j := rs.cluster.Job(k.ref)
		if j == nil || j.State != state.JobActive {
			delete(w.dirty, k) // the final record covers it
			continue
		}
		if len(batch) == rs.store.Target().MaxChanges {
			break
		}
		if w.revisionUnknown[k] {
			rs.refreshChunkRevision(j, k)
			return nil, false
		}
		completed := j.CompletedNotDurable(k.chunk*records.ChunkTasks, (k.chunk+1)*records.ChunkTasks)
		batch = append(batch, chunkWrite{k, j, completed})
	}
	return batch, true
}

// onFailed queues a chunk to be written again.
func (w *chunkWriter) onFailed(cw chunkWrite, err error) {
	if cw.job.State == state.JobActive {
		w.dirty[cw.key] = true
	}
	if errors.Is(err, statestore.ErrOutcomeUnknown) || statestore.ConflictsOn(err, cw.key.key()) {
		if w.revisionUnknown == nil {
			w.revisionUnknown = make(map[chunkKey]bool)
		}
		w.revisionUnknown[cw.key] = true
	}
}

// refreshChunkRevision reads the revision of a chunk's record after a write that conflicted or has
// an unknown outcome.
func (rs *recordStore) refreshChunkRevision(j *state.Job, k chunkKey) {
	w := &rs.chunkWriter
	w.inFlight = true
	rs.store.Get(priorityUrgent, k.key(), func(e protocol.Entry, err error) {
		if rs.ended() {
			return
		}
		w.inFlight = false
		if errors.Is(err, statestore.ErrUnavailable) {
			w.nextWrite = rs.now.Steady + chunkReadRetry
			return
		}
		delete(w.revisionUnknown, k)
		j.SetChunkRevision(k.chunk, e.Revision) // 0 if there is none
	})
}
