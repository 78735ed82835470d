package controller

import (
	"maps"
	"slices"
	"strconv"

	"mapleslip/internal/protocol"
)

// recordShard is one record that many entries share.
type recordShard struct {
	key             string
	revision        uint64
	revisionUnknown bool           // a write of it may have been applied or not: its stamp has to be read
	entries         map[string]int // bytes that each may take
	size            int
	storedBytes     int            // of the record as the state service has it
	replacements    []*recordShard // that took entries of it, and have to be durable before it is written without them
	due             micros         // when it has to be written, Forever: it is as it should be
	urgent          bool           // work waits for that
	writeState      shardWriteState
	writeAlone      bool // a transaction with it was refused as malformed: it goes by itself
}

// finalWritesInFlight is whether a record is on its way to the state service.
type shardWriteState uint8

const (
	shardIdle shardWriteState = iota
	shardWritingUrgent
	shardWritingDeferred // may wait in line for a second or more
)

// pages spreads entries over records of limited size, and writes the records
// that changed: a few changes of the state service then carry what would
// otherwise be one each. A write depends on the record's own stamp, so that one
// that is applied late can't bring back what it said before.
type recordShards struct {
	prefix          string
	shards          []*recordShard
	shardOf         map[string]*recordShard
	inFlight        [shardWritingDeferred + 1]bool   // transactions that are on their way
	notBefore       [shardWritingDeferred + 1]micros // none before
	readingRevision bool                             // the stamp of a record that was lost is being read
	lastNumber      int                              // number of the newest record
	deferredSince   micros                           // since when records that nothing waits for wait for others
	// encode makes the record of some entries; applied is called once it is durable.
	encode func(names []string) (value []byte, applied func())
}

func newRecordShards(prefix string, value func([]string) ([]byte, func())) *recordShards {
	return &recordShards{prefix: prefix, shardOf: make(map[string]*recordShard), encode: value}
}

// skip leaves a record that can't be read as it is; nothing else gets its number.
func (p *recordShards) reserveNumber(key string) {
	if n, err := strconv.Atoi(key[len(p.prefix):]); err == nil {
		p.lastNumber = max(p.lastNumber, n)
	}
}

// startRecovery takes a record that was read.
func (p *recordShards) addStored(e protocol.Entry) *recordShard {
	p.reserveNumber(e.Key)
	g := &recordShard{key: e.Key, revision: e.Revision, storedBytes: len(e.Value), entries: make(map[string]int), due: protocol.Forever}
	p.shards = append(p.shards, g)
	return g
}

func (p *recordShards) assign(g *recordShard, name string, size int) {
	g.entries[name] = size
	g.size += size
	p.shardOf[name] = g
}

// adopt enters an entry of a record that was read. While a record is divided two name it:
// the one that was written last keeps it.
func (p *recordShards) assignStored(g *recordShard, name string, size int) {
	old := p.shardOf[name]
	if old != nil && old.revision > g.revision {
		return
	}
	if old != nil {
		old.size -= old.entries[name]
		delete(old.entries, name)
	}
	p.assign(g, name, size)
}

// placeJob is the record that a new entry comes into: one that has to be written anyway,
// before any of the others, so that a round's entries take as few changes as can be; nil:
// there is no room. A record on its way is no place where the entry would wait for it.
func (p *recordShards) chooseShard(size, room int, due micros) *recordShard {
	var best *recordShard
	for _, o := range p.shards {
		if o.size+size > room || o.writeState == shardWritingDeferred {
			continue
		}
		if o.due <= due && o.writeState == shardIdle && o.due < protocol.Forever {
			return o
		}
		if best == nil || o.writeState < best.writeState || o.writeState == best.writeState && o.size < best.size {
			best = o
		}
	}
	return best
}

// put says that an entry is new or has changed, and when it has to be written. A new one
// gets no place in a record that it would have to wait for.
func (p *recordShards) put(name string, size, room int, due micros, urgent bool) {
	g := p.shardOf[name]
	if g == nil {
		if g = p.chooseShard(size, room, due); g == nil {
			p.lastNumber++
			g = &recordShard{key: p.prefix + strconv.Itoa(p.lastNumber), entries: make(map[string]int), due: protocol.Forever}
			p.shards = append(p.shards, g)
		}
		p.assign(g, name, size)
	}
	g.due, g.urgent = min(g.due, due), g.urgent || urgent
}

// drop takes an entry out. Its record is written by due, Forever: when
// something else changes.
func (p *recordShards) drop(name string, due micros) {
	g := p.shardOf[name]
	if g == nil {
		return
	}
	g.size -= g.entries[name]
	delete(g.entries, name)
	delete(p.shardOf, name)
	g.due = min(g.due, due)
}

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

// isSplitting reports whether a record is being divided.
func (p *recordShards) isSplitting() bool {
	for _, g := range p.shards {
		if len(g.replacements) > 0 {
			return true
		}
	}
	return false
}

// replacementsWritten reports whether what was taken out of a record is durable elsewhere, or comes
// to be with it: else a successor would not find it. What a record waits for is as urgent
// as the record.
func (g *recordShard) replacementsWritten(batch []*recordShard) bool {
	kept := true
	for _, o := range g.replacements {
		if o.revision == 0 && len(o.entries) > 0 && !slices.Contains(batch, o) {
			kept = false
			o.urgent = o.urgent || g.urgent // it waits for them
		}
	}
	return kept
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
