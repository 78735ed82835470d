package controller

import (
	"maps"
	"slices"
	"strconv"

	"mapleslip/internal/protocol"
)

// shardWriteState is whether a record is on its way to the state service.
type shardWriteState uint8

const (
	shardIdle shardWriteState = iota
	shardWritingUrgent
	shardWritingDeferred // may wait in line for a second or more

	shardWriteStates = iota
)

// recordShard is one record that many entries share.
type recordShard struct {
	key         string
	revision    uint64         // 0: it is not in the state service
	entries     map[string]int // bytes that each may take, by name
	size        int            // of all entries
	storedBytes int            // of the record as the state service has it

	due             micros // when it has to be written, Forever: it is up to date
	urgent          bool   // work waits for that
	writeState      shardWriteState
	writeAlone      bool // a transaction with it was refused as malformed: it goes by itself
	revisionUnknown bool // a write of it may have been carried out or not

	// replacements took entries of it when it was split. They have to be durable before it is
	// written without those.
	replacements []*recordShard
}

func newRecordShard(key string, due micros) *recordShard {
	return &recordShard{key: key, entries: make(map[string]int), due: due}
}

// names lists the entries in order.
func (s *recordShard) names() []string { return slices.Sorted(maps.Keys(s.entries)) }

// isDue reports whether the record can and has to be written.
func (s *recordShard) isDue(now micros) bool { return s.due <= now && s.writeState == shardIdle }

// replacementsWritten reports whether what was taken out of a record is durable elsewhere, or
// comes to be with it: else a successor would not find it. What a record waits for is as urgent
// as the record.
func (s *recordShard) replacementsWritten(batch []*recordShard) bool {
	written := true
	for _, r := range s.replacements {
		if r.revision == 0 && len(r.entries) > 0 && !slices.Contains(batch, r) {
			written = false
			r.urgent = r.urgent || s.urgent
		}
	}
	return written
}

// recordShards spreads entries over records of limited size: a few changes of the state service
// then carry what would otherwise be one each. A write depends on the record's own revision,
// so that one that is carried out late can't bring back what it said before.
type recordShards struct {
	prefix     string
	shards     []*recordShard
	shardOf    map[string]*recordShard // by entry
	lastNumber int                     // of the newest record

	inFlight        [shardWriteStates]bool   // transactions that are on their way
	notBefore       [shardWriteStates]micros // none is sent before
	readingRevision bool                     // of a record whose revision is unknown
	deferredSince   micros                   // since when records that nothing waits for wait for others

	// encode makes the record of some entries. onCommit, which may be nil, is called once the
	// record is durable.
	encode func(names []string) (value []byte, onCommit func())
}

func newRecordShards(prefix string, encode func([]string) ([]byte, func())) *recordShards {
	return &recordShards{prefix: prefix, shardOf: make(map[string]*recordShard), encode: encode}
}

// reserveNumber has no new record take the key of one that can't be read.
func (s *recordShards) reserveNumber(key string) {
	if n, err := strconv.Atoi(key[len(s.prefix):]); err == nil {
		s.lastNumber = max(s.lastNumber, n)
	}
}

// nextKey is the key of a new record.
func (s *recordShards) nextKey() string {
	s.lastNumber++
	return s.prefix + strconv.Itoa(s.lastNumber)
}

// addStored adds a record that was read. Its entries are assigned with assignStored.
func (s *recordShards) addStored(e protocol.Entry) *recordShard {
	s.reserveNumber(e.Key)
	shard := newRecordShard(e.Key, protocol.Forever)
	shard.revision, shard.storedBytes = e.Revision, len(e.Value)
	s.shards = append(s.shards, shard)
	return shard
}

// assign puts an entry into a record.
func (s *recordShards) assign(shard *recordShard, name string, size int) {
	shard.entries[name] = size
	shard.size += size
	s.shardOf[name] = shard
}

// unassign takes an entry out of its record.
func (s *recordShards) unassign(shard *recordShard, name string) {
	shard.size -= shard.entries[name]
	delete(shard.entries, name)
}

// assignStored assigns an entry of a record that was read. While a record is split two name it:
// the one that was written last keeps it.
func (s *recordShards) assignStored(shard *recordShard, name string, size int) {
	if other := s.shardOf[name]; other != nil {
		if other.revision > shard.revision {
			return
		}
		s.unassign(other, name)
	}
	s.assign(shard, name, size)
}

// chooseShard is the record that a new entry comes into, nil if none has room: one that has to
// be written anyway, before any of the others, so that the entries of a cycle take as few
// changes as can be. A record on its way is no place where the entry would wait for it.
func (s *recordShards) chooseShard(size, capacity int, due micros) *recordShard {
	var best *recordShard
	for _, o := range s.shards {
		if o.size+size > capacity || o.writeState == shardWritingDeferred {
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

// put says that an entry is new or has changed, and by when it has to be written.
func (s *recordShards) put(name string, size, capacity int, due micros, urgent bool) {
	shard := s.shardOf[name]
	if shard == nil {
		shard = s.chooseShard(size, capacity, due)
		if shard == nil {
			shard = newRecordShard(s.nextKey(), protocol.Forever)
			s.shards = append(s.shards, shard)
		}
		s.assign(shard, name, size)
	}
	shard.due, shard.urgent = min(shard.due, due), shard.urgent || urgent
}

// drop takes an entry out. Its record is written by due, Forever: when something else changes.
func (s *recordShards) drop(name string, due micros) {
	shard := s.shardOf[name]
	if shard == nil {
		return
	}
	s.unassign(shard, name)
	delete(s.shardOf, name)
	shard.due = min(shard.due, due)
}

// isSplitting reports whether a record is being split.
func (s *recordShards) isSplitting() bool {
	return slices.ContainsFunc(s.shards, func(shard *recordShard) bool { return len(shard.replacements) > 0 })
}

// split moves half of a record to another one, which is written first, or with it. It reports
// false if the record has one entry only.
func (s *recordShards) split(shard *recordShard, now micros) bool {
	names := shard.names()
	if len(names) < 2 {
		return false
	}
	replacement := newRecordShard(s.nextKey(), now)
	replacement.urgent = shard.urgent
	s.shards = append([]*recordShard{replacement}, s.shards...)
	shard.replacements = append(shard.replacements, replacement)
	for _, name := range names[len(names)/2:] {
		size := shard.entries[name]
		s.unassign(shard, name)
		s.assign(replacement, name, size)
	}
	shard.due = now
	return true
}
