package controller

import (
	"maps"
	"slices"
	"strconv"

	"mapleslip/internal/protocol"
)

// maxTxnBytes is how much of a transaction records may take; its limit is 64 KiB.
const maxTxnBytes = 56 << 10

// maxDeferredShards is how many records a transaction carries that nothing waits for: each is
// kept from being written again for as long as that takes, which is long while others wait.
const maxDeferredShards = 3

// maxDeferral is how long records that nothing waits for are held back by those that
// something waits for.
const maxDeferral = 2 * protocol.Second

// writeDueShards writes the records that are due: those that work waits for, as many as one
// transaction takes, and besides some of those that it doesn't, if there are no others.
// Together they had machines that had just come up wait for seven seconds to be recorded,
// and the urgent tasks that were put on them with it, until the images of all others were.
func (rs *recordStore) writeDueShards(p *recordShards) {
	at := rs.now.Steady
	if p.readingRevision {
		return
	}
	// Before any is taken for the transaction: what was taken when a lost one was come
	// upon counted as being written for ever. After a single transaction without an answer
	// that carried two records, launches in the first were not recorded any more, so they
	// never left. Nor is any written before the lost one's stamp is known: carried out after
	// another that names the same task, it would be the newer of the two to a new leader.
	urgent, later := false, false
	for _, g := range p.shards {
		if g.due > at || g.writeState != shardIdle {
			continue
		}
		if g.revisionUnknown {
			if at >= p.notBefore[shardWritingUrgent] {
				rs.refreshShardRevision(p, g)
			}
			return
		}
		urgent, later = urgent || g.urgent, later || !g.urgent
	}
	if !later || !urgent || p.inFlight[shardWritingDeferred] {
		p.deferredSince = at
	}
	if urgent && !p.inFlight[shardWritingUrgent] && at >= p.notBefore[shardWritingUrgent] {
		rs.writeShards(p, shardWritingUrgent)
	}
	// Where something is urgent all the time the others get their turn now and then.
	if later && (!urgent || at-p.deferredSince >= maxDeferral) && !p.inFlight[shardWritingDeferred] && at >= p.notBefore[shardWritingDeferred] {
		rs.writeShards(p, shardWritingDeferred)
	}
}

// writeShards writes records that are due and of that urgency, in one transaction.
func (rs *recordStore) writeShards(p *recordShards, how shardWriteState) {
	at := rs.now.Steady
	prio, most := priorityUrgent, rs.store.limits.target.maxChanges
	if how == shardWritingDeferred {
		prio, most = priorityNormal, min(maxDeferredShards, most)
	}
	if p.isSplitting() {
		most = rs.store.limits.accepted.maxChanges // a record and its parts go together if they can
	}
	var when []protocol.Condition
	var then []protocol.Change
	var batch []*recordShard
	var applied []func()
	var sizes []int
	size := 0
	for _, g := range p.shards {
		if g.due > at || g.writeState != shardIdle || g.urgent != (how == shardWritingUrgent) {
			continue
		}
		if len(g.entries) == 0 && g.revision == 0 {
			g.due = protocol.Forever
			continue
		}
		if !g.replacementsWritten(batch) || g.writeAlone && len(then) > 0 {
			continue
		}
		// A record of which nothing is left is emptied and not dropped: a late copy of
		// the write that made it, which depends on there being none, would bring it back
		// as the newest of all.
		ch := protocol.Change{Key: g.key}
		var done func()
		ch.Value, done = p.encode(slices.Sorted(maps.Keys(g.entries)))
		if len(ch.Value) > rs.store.limits.target.maxValueBytes {
			rs.splitShard(p, g, len(ch.Value))
			continue
		}
		if size += len(ch.Value) + 100; size > maxTxnBytes && len(then) > 0 {
			break
		}
		when = append(when, protocol.Condition{Key: g.key, Revision: g.revision})
		then = append(then, ch)
		batch, applied = append(batch, g), append(applied, done)
		g.writeState, g.due, g.urgent = how, protocol.Forever, false
		sizes = append(sizes, len(ch.Value))
		if len(then) == most || g.writeAlone {
			break
		}
	}
	if len(then) == 0 {
		return
	}
	p.inFlight[how] = true
	if p == rs.launchShards {
		when = rs.config.withRevisionCondition(when)
		rs.launchesWrittenAt = at
	}
	rs.election.leaderTransaction(prio, when, then, func(o txnOutcome, r protocol.TxnResult) {
		p.inFlight[how] = false
		rs.config.handleRevisionConflict(o, r)
		for i, g := range batch {
			g.writeState = shardIdle
			if o == txnCommitted {
				g.revision, g.storedBytes, g.replacements, g.writeAlone = r.Revision, sizes[i], nil, false
				if applied[i] != nil {
					applied[i]()
				}
				continue
			}
			g.due, g.urgent = rs.now.Steady, g.urgent || how == shardWritingUrgent
			g.writeAlone = g.writeAlone || o == txnMalformed
			g.revisionUnknown = g.revisionUnknown || o == txnUnknown || o == txnConflict && slices.Contains(r.Conflicts, g.key)
		}
		if o == txnMalformed && len(batch) == 1 {
			batch[0].due = rs.now.Steady + unwritableRetry // it is told of, and holds up no others
			return
		}
		if o != txnCommitted {
			p.notBefore[how] = rs.now.Steady + 300*protocol.Millisecond
		}
	})
}

// unwritableRetry is how long a record is left alone that the state service refuses for
// another reason than its limits.
const unwritableRetry = 60 * protocol.Second

// refreshShardRevision finds out which stamp a record has after a write without an answer.
func (rs *recordStore) refreshShardRevision(p *recordShards, g *recordShard) {
	p.readingRevision = true
	rs.store.getKey(priorityUrgent, g.key, func(e protocol.Entry, found, ok bool) {
		if rs.ended() {
			return
		}
		p.readingRevision = false
		if !ok {
			p.notBefore[shardWritingUrgent] = rs.now.Steady + 300*protocol.Millisecond
			return
		}
		g.revisionUnknown, g.revision = false, e.Revision // 0 where there is none
	})
}

// splitLargeShards brings records that are stored above what is written now under it, one of
// each kind at a time and after everything else, so that nothing has to be divided when
// the state service takes no larger ones any more.
func (rs *recordStore) splitLargeShards() {
	for _, p := range []*recordShards{rs.launchShards, rs.hostShards, rs.completionShards, rs.bookingShards} {
		var large *recordShard
		left := 0
		for _, g := range p.shards {
			if g.storedBytes <= rs.store.limits.target.maxValueBytes {
				continue
			}
			if left++; g.due < protocol.Forever || g.writeState != shardIdle || len(g.replacements) > 0 {
				large = nil
				break
			}
			if large == nil {
				large = g
			}
		}
		if large != nil {
			large.due = rs.now.Steady
			rs.log.Info("dividing a record", "key", large.key, "bytes", large.storedBytes, "most", rs.store.limits.target.maxValueBytes, "left", left)
		}
	}
}

// split moves half of a record that came out too long to another one. Both are
// written; the one that takes them first, in case only one gets through.
func (rs *recordStore) splitShard(p *recordShards, g *recordShard, size int) {
	names := slices.Sorted(maps.Keys(g.entries))
	if len(names) < 2 {
		rs.log.Error("record too long", "key", g.key, "bytes", size)
		g.due = rs.now.Steady + 60*protocol.Second
		return
	}
	p.lastNumber++
	o := &recordShard{key: p.prefix + strconv.Itoa(p.lastNumber), entries: make(map[string]int), due: rs.now.Steady, urgent: g.urgent}
	p.shards = append([]*recordShard{o}, p.shards...)
	g.replacements = append(g.replacements, o)
	for _, name := range names[len(names)/2:] {
		size := g.entries[name]
		g.size -= size
		delete(g.entries, name)
		p.assign(o, name, size)
	}
	g.due = rs.now.Steady // in the same transaction, or later
}
