package controller

import (
	"errors"

	"mapleslip/internal/protocol"
	"mapleslip/internal/statestore"
)

const (
	// maxTxnBytes is how many bytes of a transaction the records may take. A transaction is limited
	// to 64 KiB.
	maxTxnBytes       = 56 << 10
	txnBytesPerRecord = 100 // besides the value
	// maxDeferredShards limits the records in a transaction that no work waits for. None of them can
	// be written again until the transaction ends, which takes long while other requests wait.
	maxDeferredShards = 3
	// maxDeferral limits how long urgent records delay those that no work waits for.
	maxDeferral     = 2 * protocol.Second
	shardWriteRetry = 300 * protocol.Millisecond
	// unwritableRetry is the delay before a record is tried again that can't be written: the state
	// service rejects it for a reason other than its limits, or a single entry is too long.
	unwritableRetry = 60 * protocol.Second
)

// writeDueShards writes the records that are due: the urgent ones, as many as one transaction
// takes, and in another transaction a few of the deferred ones. If all were written together, hosts
// that have just booted would not be recorded until the images of all other hosts were.
func (rs *recordStore) writeDueShards(s *recordShards) {
	now := rs.now.Steady
	if s.readingRevision {
		return
	}
	// No record is written while the revision of one is unknown. If the uncertain write were carried
	// out after that of another record with the same task, a new leader would take its contents for
	// the newer ones.
	urgent, deferred := false, false
	for _, shard := range s.shards {
		if !shard.isDue(now) {
			continue
		}
		if shard.revisionUnknown {
			if now >= s.notBefore[shardWritingUrgent] {
				rs.refreshShardRevision(s, shard)
			}
			return
		}
		urgent, deferred = urgent || shard.urgent, deferred || !shard.urgent
	}
	if !deferred || !urgent || s.inFlight[shardWritingDeferred] {
		s.deferredSince = now
	}
	mayWrite := func(writeState shardWriteState) bool {
		return !s.inFlight[writeState] && now >= s.notBefore[writeState]
	}
	if urgent && mayWrite(shardWritingUrgent) {
		rs.writeShards(s, shardWritingUrgent)
	}
	// If urgent records are due all the time, deferred ones are still written after maxDeferral.
	if deferred && (!urgent || now-s.deferredSince >= maxDeferral) && mayWrite(shardWritingDeferred) {
		rs.writeShards(s, shardWritingDeferred)
	}
}

// shardBatch holds the records of one transaction.
type shardBatch struct {
	writeState shardWriteState // shardWritingUrgent or shardWritingDeferred
	shards     []*recordShard
	when       []protocol.Condition
	then       []protocol.Change
	sizes      []int    // encoded size of each record in bytes
	onCommit   []func() // callback of each record, may be nil
}

func (b *shardBatch) add(shard *recordShard, value []byte, onCommit func()) {
	b.shards = append(b.shards, shard)
	b.when = append(b.when, protocol.Condition{Key: shard.key, Revision: shard.revision})
	b.then = append(b.then, protocol.Change{Key: shard.key, Value: value})
	b.sizes = append(b.sizes, len(value))
	b.onCommit = append(b.onCommit, onCommit)
	shard.writeState, shard.due, shard.urgent = b.writeState, protocol.Forever, false
}

// collectBatch selects the records of an urgency that are due, as many as one transaction carries.
// A record whose encoding is too long is split.
func (rs *recordStore) collectBatch(s *recordShards, writeState shardWriteState) *shardBatch {
	limit := rs.store.Target().MaxChanges
	if writeState == shardWritingDeferred {
		limit = min(maxDeferredShards, limit)
	}
	if s.isSplitting() {
		limit = rs.store.Accepted().MaxChanges // writes a record with its replacements if possible
	}
	b := &shardBatch{writeState: writeState}
	size := 0
	for _, shard := range s.shards {
		if !shard.isDue(rs.now.Steady) || shard.urgent != (writeState == shardWritingUrgent) {
			continue
		}
		if len(shard.entries) == 0 && shard.revision == 0 {
			shard.due = protocol.Forever
			continue
		}
		if !shard.replacementsWritten(b.shards) || shard.writeAlone && len(b.shards) > 0 {
			continue
		}
		// A record without entries is written empty instead of being deleted. A late copy of the
		// write that created it, which requires that there is none, would otherwise restore it as
		// the newest record.
		value, onCommit := s.encode(shard.names())
		if len(value) > rs.store.Target().MaxValueBytes {
			rs.splitShard(s, shard, len(value))
			continue
		}
		if size += len(value) + txnBytesPerRecord; size > maxTxnBytes && len(b.shards) > 0 {
			break
		}
		b.add(shard, value, onCommit)
		if len(b.shards) == limit || shard.writeAlone {
			break
		}
	}
	return b
}

// writeShards writes records of an urgency that are due, in one transaction.
func (rs *recordStore) writeShards(s *recordShards, writeState shardWriteState) {
	b := rs.collectBatch(s, writeState)
	if len(b.shards) == 0 {
		return
	}
	priority := priorityUrgent
	if writeState == shardWritingDeferred {
		priority = priorityNormal
	}
	s.inFlight[writeState] = true
	if s == rs.launchShards {
		b.when = rs.config.withRevisionCondition(b.when)
		rs.launchesWrittenAt = rs.now.Steady
	}
	rs.election.transaction(priority, b.when, b.then, func(revision uint64, err error) {
		s.inFlight[writeState] = false
		rs.config.handleRevisionConflict(err)
		if err == nil {
			b.onCommitted(revision)
			return
		}
		b.onFailed(err, rs.now.Steady)
		if errors.Is(err, statestore.ErrMalformed) && len(b.shards) == 1 {
			// The client has logged the refusal. Other records are not delayed.
			b.shards[0].due = rs.now.Steady + unwritableRetry
			return
		}
		s.notBefore[writeState] = rs.now.Steady + shardWriteRetry
	})
}

// onCommitted updates the records of a batch that is durable.
func (b *shardBatch) onCommitted(revision uint64) {
	for i, shard := range b.shards {
		shard.writeState = shardIdle
		shard.revision, shard.storedBytes = revision, b.sizes[i]
		shard.replacements, shard.writeAlone = nil, false
		if b.onCommit[i] != nil {
			b.onCommit[i]()
		}
	}
}

// onFailed queues the records of a batch to be written again.
func (b *shardBatch) onFailed(err error, now micros) {
	for _, shard := range b.shards {
		shard.writeState = shardIdle
		shard.due, shard.urgent = now, shard.urgent || b.writeState == shardWritingUrgent
		shard.writeAlone = shard.writeAlone || errors.Is(err, statestore.ErrMalformed)
		shard.revisionUnknown = shard.revisionUnknown || errors.Is(err, statestore.ErrOutcomeUnknown) || statestore.ConflictsOn(err, shard.key)
	}
}

// refreshShardRevision reads the revision of a record after a write that conflicted or has an
// unknown outcome.
func (rs *recordStore) refreshShardRevision(s *recordShards, shard *recordShard) {
	s.readingRevision = true
	rs.store.Get(priorityUrgent, shard.key, func(e protocol.Entry, err error) {
		if rs.ended() {
			return
		}
		s.readingRevision = false
		if errors.Is(err, statestore.ErrUnavailable) {
			s.notBefore[shardWritingUrgent] = rs.now.Steady + shardWriteRetry
			return
		}
		shard.revisionUnknown, shard.revision = false, e.Revision // 0 if there is none
	})
}

// splitShard splits a record whose encoding is too long. A record with a single entry can't be
// split: it is logged, and tried again after unwritableRetry.
func (rs *recordStore) splitShard(s *recordShards, shard *recordShard, size int) {
	if !s.split(shard, rs.now.Steady) {
		rs.log.Error("record too long", "key", shard.key, "bytes", size)
		shard.due = rs.now.Steady + unwritableRetry
	}
}

// splitLargeShards rewrites, and thereby splits, records whose stored size exceeds the size that is
// written now: one of each kind at a time, and not urgent, so that no record has to be split when
// the state service stops accepting larger ones.
func (rs *recordStore) splitLargeShards() {
	maxBytes := rs.store.Target().MaxValueBytes
	for _, s := range []*recordShards{rs.launchShards, rs.hostShards, rs.completionShards, rs.bookingShards} {
		large, count := s.nextLarge(maxBytes)
		if large != nil {
			large.due = rs.now.Steady
			rs.log.Info("splitting a record", "key", large.key, "bytes", large.storedBytes, "max_bytes", maxBytes, "left", count)
		}
	}
}

// nextLarge returns the first record whose stored size exceeds maxBytes, or nil while one of these
// is being written or split. With a record, count is the number of such records.
func (s *recordShards) nextLarge(maxBytes int) (next *recordShard, count int) {
	for _, shard := range s.shards {
		if shard.storedBytes <= maxBytes {
			continue
		}
		count++
		if shard.due < protocol.Forever || shard.writeState != shardIdle || len(shard.replacements) > 0 {
			return nil, count
		}
		if next == nil {
			next = shard
		}
	}
	return next, count
}
