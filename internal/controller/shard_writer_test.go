package controller

import (
	"strconv"
	"strings"
	"testing"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/statestore"
)

// The write of a launch record got no answer and may be carried out late, after one of its tasks
// was launched again and recorded in another record. A new leader would then take the late record
// for the newer one, and expect the task on the previous host. So the revision of the uncertain
// record is read before any other launch record is written, and the record is then written again.
func TestUncertainWriteIsResolvedFirst(t *testing.T) {
	c := busyLeader(t, 8, 0)
	c.election.role, c.election.lease.validUntil = RoleLeader, c.now.Steady+protocol.Second
	shards := newRecordShards(records.LaunchShardPrefix, func(names []string) ([]byte, func()) { return []byte(`"` + names[0] + `"`), nil })
	capacity := c.term.records.shardCapacity()
	shards.put("req-900001/0", capacity-100, capacity, c.now.Steady, true)
	shards.put("req-900002/0", capacity-100, capacity, c.now.Steady, true)
	uncertain := shards.shards[0]
	uncertain.revisionUnknown = true
	calls := func() (made []Call) {
		for _, e := range c.flush() {
			if call, ok := e.(Call); ok && call.Target == ToState {
				made = append(made, call)
			}
		}
		return made
	}
	calls()
	c.term.records.writeDueShards(shards)
	reads := calls()
	if len(reads) != 1 || reads[0].Method != "GET" || reads[0].Path != "/store/"+uncertain.key {
		t.Fatalf("calls %+v, want one read of the uncertain record", reads)
	}
	c.term.records.writeDueShards(shards)
	if more := calls(); len(more) > 0 {
		t.Fatalf("calls before the revision is known: %+v", more)
	}
	c.Step(c.now, CallResult{ID: reads[0].ID, Status: 404, Body: []byte(`{"generation":1}`)})
	calls()
	c.term.records.writeDueShards(shards)
	if writes := calls(); len(writes) != 1 || writes[0].Method != "POST" || writes[0].Changes != 2 {
		t.Fatalf("calls %+v, want one transaction with both records", writes)
	}
}

// useStateLimits replaces the limits of the state service that a controller works with.
func useStateLimits(c *Controller, maxValueBytes, maxChanges int) {
	p := &protocol.Platform{MaxValueBytes: maxValueBytes, MaxTxnChanges: maxChanges, StateWriteRate: c.platform.StateWriteRate}
	*c.store = *statestore.New(p, storeEnvironment{c.environment}, storeObserver{c}, c.log)
}

// stateCalls returns the calls to the state service that a controller has made since its effects
// were last flushed.
func stateCalls(c *Controller) (made []Call) {
	for _, e := range c.flush() {
		if call, ok := e.(Call); ok && call.Target == ToState {
			made = append(made, call)
		}
	}
	return made
}

// A record is too long, and so is the half that is split off. The remaining half fits, but must not
// be written before the entries of the other half are, in the same transaction or an earlier one.
// Otherwise some entries would be in no record for a while, and a new leader would have no
// information on where their tasks are.
func TestSplitShardIsWrittenAfterItsReplacement(t *testing.T) {
	c := busyLeader(t, 8, 0)
	c.election.role, c.election.lease.validUntil = RoleLeader, c.now.Steady+protocol.Second
	useStateLimits(c, 2048, 4)
	bytes := map[string]int{"a": 100, "b": 100, "c": 100, "d": 1500, "e": 1500, "f": 1500}
	shards := newRecordShards("xp/", func(names []string) ([]byte, func()) {
		n := 2
		for _, name := range names {
			n += bytes[name]
		}
		return []byte(`"` + strings.Repeat("x", n-2) + `"`), nil
	})
	shard := shards.addStored(protocol.Entry{Key: "xp/1", Revision: 5, Value: make([]byte, 4802)})
	for name, n := range bytes {
		shards.assignStored(shard, name, n)
	}
	shard.due = c.now.Steady
	stateCalls(c)
	durable := make(map[string]bool)
	for step := 0; step < 10 && shard.revision == 5; step++ {
		c.term.records.writeDueShards(shards)
		for _, call := range stateCalls(c) {
			written := string(call.Body)
			for _, o := range shards.shards {
				if strings.Contains(written, `"set":"`+o.key+`"`) {
					for name := range o.entries {
						durable[name] = true
					}
				}
			}
			if strings.Contains(written, `"set":"xp/1"`) && len(durable) < len(bytes) {
				t.Fatalf("the split record is written when only the entries %v are durable or written with it", durable)
			}
			c.Step(c.now, CallResult{ID: call.ID, Status: 200, Body: []byte(`{"generation":9}`)})
			c.effects = nil
		}
	}
	if shard.revision != 9 || len(shards.shards) != 4 {
		t.Fatalf("%d records, the first one with revision %d", len(shards.shards), shard.revision)
	}
}

// The entries of a scheduling cycle take as few changes as possible: if many records have a little
// room, new entries go to one of them until it is full.
func TestNewEntriesShareShard(t *testing.T) {
	c := busyLeader(t, 8, 0)
	shards := newRecordShards("xp/", func([]string) ([]byte, func()) { return nil, nil })
	for i := range 10 {
		shard := shards.addStored(protocol.Entry{Key: shards.prefix + strconv.Itoa(i+1), Revision: uint64(i + 1)})
		shards.assignStored(shard, "old-"+strconv.Itoa(i), 1000+100*i)
	}
	at := c.now.Steady
	for i := range 20 {
		shards.put("new-"+strconv.Itoa(i), 40, 1900, at, true)
	}
	due := 0
	for _, shard := range shards.shards {
		if shard.due <= at {
			due++
		}
	}
	if due != 1 || len(shards.shards) != 10 {
		t.Errorf("%d of %d records have to be written, want 1 of 10", due, len(shards.shards))
	}
}

// Images are recorded no more often than their share of the write rate allows.
func TestImageRecordDelay(t *testing.T) {
	for _, c := range []struct {
		records int
		rate    float64
		delay   micros
	}{{20, 26, 10 * protocol.Second}, {100, 20, 50 * protocol.Second}, {0, 18, 10 * protocol.Second}} {
		if got := imageRecordDelay(c.records, c.rate); got != c.delay {
			t.Errorf("%d records at %g changes a second: delay %d", c.records, c.rate, got)
		}
	}
}
