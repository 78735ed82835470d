package controller

import (
	"errors"

	"mapleslip/internal/protocol"
	"mapleslip/internal/statestore"
)

const (
	// maxTxnBytes is how much of a transaction records may take; its limit is 64 KiB.
	maxTxnBytes       = 56 << 10
	txnBytesPerRecord = 100 // besides the value
	// maxDeferredShards is how many records a transaction carries that nothing waits for: each
	// is kept from being written again for as long as that takes, which is long while others
	// wait.
	maxDeferredShards = 3
	// maxDeferral is how long records that nothing waits for are held back by those that
	// something waits for.
	maxDeferral     = 2 * protocol.Second
	shardWriteRetry = 300 * protocol.Millisecond
	// unwritableRetry is how long a record is left alone that can't be written: the state
	// service refuses it for another reason than its limits, or one entry alone is too long.
	unwritableRetry = 60 * protocol.Second
)

// writeDueShards writes the records that are due: those that work waits for, as many as one
// transaction takes, and besides some of those that nothing waits for. Together these would
// have hosts that have just come up wait to be recorded until the images of all others were.
func (rs *recordStore) writeDueShards(s *recordShards) {
	now := rs.now.Steady
	if s.readingRevision {
		return
	}
	// No record is written before an unknown revision is known: carried out after another that
	// names the same task, the uncertain write would be the newer of the two to a new leader.
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
	mayWrite := func(how shardWriteState) bool { return !s.inFlight[how] && now >= s.notBefore[how] }
	if urgent && mayWrite(shardWritingUrgent) {
		rs.writeShards(s, shardWritingUrgent)
	}
	// Where something is urgent all the time the others get their turn now and then.
	if deferred && (!urgent || now-s.deferredSince >= maxDeferral) && mayWrite(shardWritingDeferred) {
		rs.writeShards(s, shardWritingDeferred)
	}
}

// shardBatch is the records of one transaction.
type shardBatch struct {
	how      shardWriteState
	shards   []*recordShard
	when     []protocol.Condition
	then     []protocol.Change
	sizes    []int    // of the records
	onCommit []func() // of the records, may be nil
}

func (b *shardBatch) add(shard *recordShard, value []byte, onCommit func()) {
	b.shards = append(b.shards, shard)
	b.when = append(b.when, protocol.Condition{Key: shard.key, Revision: shard.revision})
	b.then = append(b.then, protocol.Change{Key: shard.key, Value: value})
	b.sizes = append(b.sizes, len(value))
	b.onCommit = append(b.onCommit, onCommit)
	shard.writeState, shard.due, shard.urgent = b.how, protocol.Forever, false
}

// collectBatch takes the records that are due and of an urgency, as many as one transaction
// carries. Those that come out too long are split.
func (rs *recordStore) collectBatch(s *recordShards, how shardWriteState) *shardBatch {
	limit := rs.store.Target().MaxChanges
	if how == shardWritingDeferred {
		limit = min(maxDeferredShards, limit)
	}
	if s.isSplitting() {
		limit = rs.store.Accepted().MaxChanges // a record and its parts go together if they can
	}
	b := &shardBatch{how: how}
	size := 0
	for _, shard := range s.shards {
		if !shard.isDue(rs.now.Steady) || shard.urgent != (how == shardWritingUrgent) {
			continue
		}
		if len(shard.entries) == 0 && shard.revision == 0 {
			shard.due = protocol.Forever
			continue
		}
		if !shard.replacementsWritten(b.shards) || shard.writeAlone && len(b.shards) > 0 {
			continue
		}
		// A record of which nothing is left is emptied and not deleted: a late copy of the write
		// that made it, which depends on there being none, would bring it back as the newest.
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

// writeShards writes records that are due and of an urgency, in one transaction.
func (rs *recordStore) writeShards(s *recordShards, how shardWriteState) {
	b := rs.collectBatch(s, how)
	if len(b.shards) == 0 {
		return
	}
	priority := priorityUrgent
	if how == shardWritingDeferred {
		priority = priorityNormal
	}
	s.inFlight[how] = true
	if s == rs.launchShards {
		b.when = rs.config.withRevisionCondition(b.when)
		rs.launchesWrittenAt = rs.now.Steady
	}
	rs.election.transaction(priority, b.when, b.then, func(revision uint64, err error) {
		s.inFlight[how] = false
		rs.config.handleRevisionConflict(err)
		if err == nil {
			b.onCommitted(revision)
			return
		}
		b.onFailed(err, rs.now.Steady)
		if errors.Is(err, statestore.ErrMalformed) && len(b.shards) == 1 {
			b.shards[0].due = rs.now.Steady + unwritableRetry // it is logged, and holds up no others
			return
		}
		s.notBefore[how] = rs.now.Steady + shardWriteRetry
	})
}

// onCommitted notes that the records are durable.
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

// onFailed has the records written again.
func (b *shardBatch) onFailed(err error, now micros) {
	for _, shard := range b.shards {
		shard.writeState = shardIdle
		shard.due, shard.urgent = now, shard.urgent || b.how == shardWritingUrgent
		shard.writeAlone = shard.writeAlone || errors.Is(err, statestore.ErrMalformed)
		shard.revisionUnknown = shard.revisionUnknown || errors.Is(err, statestore.ErrOutcomeUnknown) || statestore.ConflictsOn(err, shard.key)
	}
}

// refreshShardRevision reads the revision of a record after a write without an answer.
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

// splitShard splits a record that came out too long.
func (rs *recordStore) splitShard(s *recordShards, shard *recordShard, size int) {
	if !s.split(shard, rs.now.Steady) {
		rs.log.Error("record too long", "key", shard.key, "bytes", size)
		shard.due = rs.now.Steady + unwritableRetry
	}
}

// splitLargeShards has records that are stored above what is written now written again, and
// split by that: one of each kind at a time and after everything else, so that nothing has to
// be split when the state service takes no larger ones any more.
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

// nextLarge is the first record that is stored above a size, and how many there are; nil while
// one of them is being written.
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
