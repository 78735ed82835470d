package controller

import (
	"strconv"
	"strings"
	"testing"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/statestore"
)

// The write of a record of launches got no answer and may still be carried out. A task that
// it names is launched anew meanwhile, under another record. Were that one written first, the
// late write would be the newer of the two, and a new leader would look for the task on the
// machine where it was before. So the stamp of the lost record is read before anything else
// of its kind is written, and the lost one goes with the next.
func TestUncertainWriteIsResolvedFirst(t *testing.T) {
	c := busyLeader(t, 8, 0)
	c.election.role, c.election.lease.validUntil = RoleLeader, c.now.Steady+protocol.Second
	p := newRecordShards(records.LaunchShardPrefix, func(names []string) ([]byte, func()) { return []byte(`"` + names[0] + `"`), nil })
	room := c.term.records.shardCapacity()
	p.put("req-900001/0", room-100, room, c.now.Steady, true)
	p.put("req-900002/0", room-100, room, c.now.Steady, true)
	lost := p.shards[0]
	lost.revisionUnknown = true
	calls := func() (made []Call) {
		for _, e := range c.flush() {
			if call, ok := e.(Call); ok && call.Target == ToState {
				made = append(made, call)
			}
		}
		return made
	}
	calls()
	c.term.records.writeDueShards(p)
	asked := calls()
	if len(asked) != 1 || asked[0].Method != "GET" || asked[0].Path != "/store/"+lost.key {
		t.Fatalf("asked %+v", asked)
	}
	c.term.records.writeDueShards(p)
	if more := calls(); len(more) > 0 {
		t.Fatalf("before the stamp is known: %+v", more)
	}
	c.Step(c.now, CallResult{ID: asked[0].ID, Status: 404, Body: []byte(`{"generation":1}`)})
	calls()
	c.term.records.writeDueShards(p)
	if made := calls(); len(made) != 1 || made[0].Method != "POST" || made[0].Changes != 2 {
		t.Fatalf("then %+v", made)
	}
}

// useStateLimits has a controller write under other limits of the state service.
func useStateLimits(c *Controller, maxValueBytes, maxChanges int) {
	p := &protocol.Platform{MaxValueBytes: maxValueBytes, MaxTxnChanges: maxChanges, StateWriteRate: c.platform.StateWriteRate}
	*c.store = *statestore.New(p, storeEnvironment{c.environment}, storeObserver{c}, c.log)
}

// stateCalls are the calls to the state service that a controller has made since it was
// last asked.
func stateCalls(c *Controller) (made []Call) {
	for _, e := range c.flush() {
		if call, ok := e.(Call); ok && call.Target == ToState {
			made = append(made, call)
		}
	}
	return made
}

// A record comes out too long, and so does the half that is taken out of it: what is left
// of it would fit, but is not written before that half is, in parts, in the same
// transaction or another. Else its entries were in no record for a while, and a successor
// would not know where tasks are.
func TestSplitShardIsWrittenAfterItsReplacement(t *testing.T) {
	c := busyLeader(t, 8, 0)
	c.election.role, c.election.lease.validUntil = RoleLeader, c.now.Steady+protocol.Second
	useStateLimits(c, 2048, 4)
	bytes := map[string]int{"a": 100, "b": 100, "c": 100, "d": 1500, "e": 1500, "f": 1500}
	p := newRecordShards("xp/", func(names []string) ([]byte, func()) {
		n := 2
		for _, name := range names {
			n += bytes[name]
		}
		return []byte(`"` + strings.Repeat("x", n-2) + `"`), nil
	})
	g := p.addStored(protocol.Entry{Key: "xp/1", Revision: 5, Value: make([]byte, 4802)})
	for name, n := range bytes {
		p.assignStored(g, name, n)
	}
	g.due = c.now.Steady
	stateCalls(c)
	durable := make(map[string]bool)
	for step := 0; step < 10 && g.revision == 5; step++ {
		c.term.records.writeDueShards(p)
		for _, call := range stateCalls(c) {
			written := string(call.Body)
			for _, o := range p.shards {
				if strings.Contains(written, `"set":"`+o.key+`"`) {
					for name := range o.entries {
						durable[name] = true
					}
				}
			}
			if strings.Contains(written, `"set":"xp/1"`) && len(durable) < len(bytes) {
				t.Fatalf("only %v are in what was written", durable)
			}
			c.Step(c.now, CallResult{ID: call.ID, Status: 200, Body: []byte(`{"generation":9}`)})
			c.effects = nil
		}
	}
	if g.revision != 9 || len(p.shards) != 4 {
		t.Fatalf("%d records, the first one with stamp %d", len(p.shards), g.revision)
	}
}

// The entries of a round take as few changes as can be: many records have a little room,
// and those that are new come into one of them as long as it has.
func TestNewEntriesShareShard(t *testing.T) {
	c := busyLeader(t, 8, 0)
	p := newRecordShards("xp/", func([]string) ([]byte, func()) { return nil, nil })
	for i := range 10 {
		g := p.addStored(protocol.Entry{Key: p.prefix + strconv.Itoa(i+1), Revision: uint64(i + 1)})
		p.assignStored(g, "old-"+strconv.Itoa(i), 1000+100*i)
	}
	at := c.now.Steady
	for i := range 20 {
		p.put("new-"+strconv.Itoa(i), 40, 1900, at, true)
	}
	due := 0
	for _, g := range p.shards {
		if g.due <= at {
			due++
		}
	}
	if due != 1 || len(p.shards) != 10 {
		t.Errorf("%d of %d records have to be written", due, len(p.shards))
	}
}

// Images are recorded as often as their part of the rate of changes allows, at most.
func TestImageRecordDelay(t *testing.T) {
	for _, c := range []struct {
		records int
		rate    float64
		after   micros
	}{{20, 26, 10 * protocol.Second}, {100, 20, 50 * protocol.Second}, {0, 18, 10 * protocol.Second}} {
		if got := imageRecordDelay(c.records, c.rate); got != c.after {
			t.Errorf("%d records at %g a second: after %d", c.records, c.rate, got)
		}
	}
}
