package controller

import (
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
