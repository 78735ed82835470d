package controller

import (
	"maps"
	"slices"
	"strconv"

	"mapleslip/internal/protocol"
)

// shardWriteState indicates whether a record is being written to the state service, and how
// urgently.
type shardWriteState uint8

const (
	shardIdle shardWriteState = iota
	shardWritingUrgent
	shardWritingDeferred // the write may be queued for a second or more

	shardWriteStates = iota
)

// recordShard is one record of the state service that many entries share.
type recordShard struct {
	key         string
	revision    uint64         // 0 if the record is not in the state service
	entries     map[string]int // maximum size of each entry in bytes, by name
	size        int            // sum over the entries
	storedBytes int            // size of the record in the state service

	due             micros // when the record has to be written, Forever if it is up to date
	urgent          bool   // other work waits for the write
	writeState      shardWriteState
	writeAlone      bool // a transaction with it was rejected as malformed, so it gets one of its own
	revisionUnknown bool // the last write conflicted or has an unknown outcome

	// replacements are the records that received entries when this one was split. They have to be
	// durable before this one is written without those entries.
	replacements []*recordShard
}

func newRecordShard(key string, due micros) *recordShard {
	return &recordShard{key: key, entries: make(map[string]int), due: due}
}

// names lists the names of the entries in order.
func (s *recordShard) names() []string { return slices.Sorted(maps.Keys(s.entries)) }

// isDue reports whether the record has to be written, and no write of it is in flight.
func (s *recordShard) isDue(now micros) bool { return s.due <= now && s.writeState == shardIdle }

// replacementsWritten reports whether the entries that were split off a record are durable in other
// records, or are written in the same transaction. Otherwise a new leader would not find them. The
// replacements that still have to be written become urgent if the record is.
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

// recordShards distributes entries over records of limited size, so that they take a few changes in
// the state service instead of one each. Each write depends on the record's revision, so that a
// write that is carried out late can't restore older contents.
type recordShards struct {
	prefix     string
	shards     []*recordShard
	shardOf    map[string]*recordShard // by entry
	lastNumber int                     // of the newest record

	inFlight        [shardWriteStates]bool   // whether a transaction of this kind is in flight
	notBefore       [shardWriteStates]micros // no transaction of this kind is sent before
	readingRevision bool                     // the revision of a record is being read
	deferredSince   micros                   // since when deferred records wait behind urgent ones

	// encode encodes the record of some entries. onCommit, which may be nil, is called once the
	// record is durable.
	encode func(names []string) (value []byte, onCommit func())
}

func newRecordShards(prefix string, encode func([]string) ([]byte, func())) *recordShards {
	return &recordShards{prefix: prefix, shardOf: make(map[string]*recordShard), encode: encode}
}

// reserveNumber prevents new records from taking the key of a stored record, including one that
// can't be decoded.
func (s *recordShards) reserveNumber(key string) {
	if n, err := strconv.Atoi(key[len(s.prefix):]); err == nil {
		s.lastNumber = max(s.lastNumber, n)
	}
}

// nextKey returns the key for a new record.
func (s *recordShards) nextKey() string {
	s.lastNumber++
	return s.prefix + strconv.Itoa(s.lastNumber)
}

// addStored adds a record that was read from the state service. Its entries are added with
// assignStored.
func (s *recordShards) addStored(e protocol.Entry) *recordShard {
	s.reserveNumber(e.Key)
	shard := newRecordShard(e.Key, protocol.Forever)
	shard.revision, shard.storedBytes = e.Revision, len(e.Value)
	s.shards = append(s.shards, shard)
	return shard
}

// assign adds an entry to a record.
func (s *recordShards) assign(shard *recordShard, name string, size int) {
	shard.entries[name] = size
	shard.size += size
	s.shardOf[name] = shard
}

// unassign removes an entry from its record. The caller updates shardOf.
func (s *recordShards) unassign(shard *recordShard, name string) {
	shard.size -= shard.entries[name]
	delete(shard.entries, name)
}

// assignStored assigns an entry of a record that was read from the state service. While a record is
// being split, two records may contain the entry: the one that was written last keeps it.
func (s *recordShards) assignStored(shard *recordShard, name string, size int) {
	if other := s.shardOf[name]; other != nil {
		if other.revision > shard.revision {
			return
		}
		s.unassign(other, name)
	}
	s.assign(shard, name, size)
}

// chooseShard returns the record for a new entry, or nil if none has room. It prefers a record that
// has to be written anyway, so that the entries of a scheduling cycle take as few changes as
// possible. A record with a deferred write in flight is not chosen, since the entry would have to
// wait for that write.
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

// put adds or updates an entry, to be written at the instant due. urgent is true if other work
// waits for the write.
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

// drop removes an entry. Its record is written at the instant due. With Forever it is written only
// when another entry changes.
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

// split moves half of a record's entries to a new record, which is written before it or in the same
// transaction. It returns false if the record has fewer than two entries.
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
