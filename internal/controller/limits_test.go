package controller

import (
	"math"
	"testing"

	"mapleslip/internal/protocol"
)

// What is learnt from transactions that are refused as malformed: first that there are too
// many changes, then that a value is too large, and nothing where neither can be.
func TestLimitsFromRefusals(t *testing.T) {
	announced := &protocol.StateLimits{WriteRate: 24, MaxValueBytes: 3072, MaxTxnChanges: 6}
	for _, c := range []struct {
		name           string
		announced      *protocol.StateLimits
		refused        [][2]int // changes, bytes of the largest value
		explained      bool     // the last one
		target, allows transactionLimits
	}{
		{"many changes", nil, [][2]int{{12, 8000}}, true, transactionLimits{8192, 6}, transactionLimits{8192, 6}},
		{"still too many", nil, [][2]int{{12, 8000}, {6, 8000}}, true, transactionLimits{8192, 4}, transactionLimits{8192, 4}},
		{"then the value", nil, [][2]int{{12, 8000}, {6, 8000}, {4, 8000}}, true, transactionLimits{4000, 4}, transactionLimits{7999, 4}},
		{"the smallest value", nil, [][2]int{{2, 3000}}, true, transactionLimits{2048, 12}, transactionLimits{2999, 12}},
		{"sent before that was known", nil, [][2]int{{12, 100}, {12, 100}}, true, transactionLimits{8192, 6}, transactionLimits{8192, 6}},
		{"neither can be", nil, [][2]int{{4, 2048}}, false, transactionLimits{8192, 12}, transactionLimits{8192, 12}},
		{"announced, a division at once", announced, [][2]int{{7, 3000}}, true, transactionLimits{3072, 6}, transactionLimits{3072, 6}},
		{"announced, a description", announced, [][2]int{{1, 5000}}, true, transactionLimits{3072, 6}, transactionLimits{3072, 6}},
		{"lower than announced", announced, [][2]int{{1, 3072}}, true, transactionLimits{2048, 6}, transactionLimits{3071, 12}},
	} {
		l := newStateLimits(&protocol.Platform{MaxValueBytes: 8192, MaxTxnChanges: 12, StateWriteRate: 35, AnnouncedStateLimits: c.announced})
		explained := false
		for _, r := range c.refused {
			explained = l.learnFromMalformed(r[0], r[1])
		}
		if explained != c.explained || l.target != c.target || l.accepted != c.allows {
			t.Errorf("%s: explained %v, target %+v, allowed %+v", c.name, explained, l.target, l.accepted)
		}
	}
}

// The rate falls at once and rises slowly, each time more slowly, and never beyond what is
// published.
func TestRateFromRefusals(t *testing.T) {
	l := newStateLimits(&protocol.Platform{MaxValueBytes: 8192, MaxTxnChanges: 12, StateWriteRate: 35, AnnouncedStateLimits: &protocol.StateLimits{WriteRate: 24, MaxValueBytes: 2048, MaxTxnChanges: 4}})
	at := 100 * protocol.Second
	if l.writeRate != 35 {
		t.Fatalf("%g before anything was refused", l.writeRate)
	}
	if !l.learnFromRateLimit(at) || l.writeRate != 24 {
		t.Fatalf("%g: the announced rate holds", l.writeRate)
	}
	if l.learnFromRateLimit(at+protocol.Second/2) || l.writeRate != 24 {
		t.Fatalf("%g: it was sent before the rate was lowered", l.writeRate)
	}
	if l.tryHigherRate(at+protocol.Second/2, 35); l.writeRate != 24 {
		t.Fatalf("%g: tried too soon", l.writeRate)
	}
	if !l.tryHigherRate(at+2*protocol.Second, 35) || l.writeRate <= 24 || l.writeRate > 26 {
		t.Fatalf("%g tried", l.writeRate)
	}
	was := l.probeInterval
	if !l.learnFromRateLimit(at+3*protocol.Second) || l.writeRate != 24 || l.probeInterval <= was {
		t.Fatalf("%g, tried every %d", l.writeRate, l.probeInterval)
	}
	if !l.learnFromRateLimit(at+5*protocol.Second) || l.writeRate >= 24 {
		t.Fatalf("%g: less than announced", l.writeRate)
	}
	for s := micros(6); s < 2000; s++ {
		l.tryHigherRate(at+s*protocol.Second, 35)
	}
	if l.writeRate != 35 {
		t.Fatalf("%g after half an hour", l.writeRate)
	}
}

// A transaction that is refused as malformed is never sent again as it is; one beyond the
// rate is, after a pause, and the rate is lower from then on.
func TestRefusedTransactions(t *testing.T) {
	c := busyLeader(t, 8, 0)
	c.election.role, c.election.lease.validUntil = RoleLeader, c.now.Steady+100*protocol.Second
	stateCalls(c)
	var ended []txnOutcome
	write := func(value string) []Call {
		c.store.compareAndSwap(priorityUrgent, nil, []protocol.Change{{Key: "k", Value: []byte(value)}}, func(o txnOutcome, _ protocol.TxnResult) { ended = append(ended, o) })
		return stateCalls(c)
	}
	answer := func(call Call, status int, body string) {
		c.Step(c.now, CallResult{ID: call.ID, Status: status, Body: []byte(body)})
		c.effects = nil
	}
	later := func(d micros) (made []Call) {
		c.now.Steady += d
		c.runTimers()
		for _, call := range stateCalls(c) {
			if call.Path == "/commit" {
				made = append(made, call)
			}
		}
		return made
	}
	sent := write(`"a"`)
	answer(sent[0], 400, `{}`)
	if again := append(write(`"a"`), later(protocol.Second/20)...); len(again) > 0 || len(ended) != 2 || ended[1] != txnMalformed {
		t.Fatalf("sent again: %+v, ended %v", again, ended)
	}
	sent = write(`"b"`)
	answer(sent[0], 400, `{"error":"no such lease"}`)
	if sent = write(`"b"`); len(sent) != 1 || ended[2] != txnNotExecuted {
		t.Fatalf("sent %+v, ended %v: the lease may be another one", sent, ended)
	}
	rate := c.store.limits.writeRate
	answer(sent[0], 429, `{}`)
	again := later(rateLimitedRetry)
	if len(again) != 1 || string(again[0].Body) != string(sent[0].Body) || len(ended) != 3 || c.store.limits.writeRate >= rate {
		t.Fatalf("sent again: %+v, ended %v, rate %g", again, ended, c.store.limits.writeRate)
	}
	answer(again[0], 200, `{"generation":3}`)
	if len(ended) != 4 || ended[3] != txnCommitted {
		t.Fatalf("ended %v", ended)
	}
}

// A leader tries for all of the published rate, of which its part is the larger one, since
// the others mostly write nothing; one that leads no more keeps to its part.
func TestLeaderTriesForAllOfTheRate(t *testing.T) {
	c := busyLeader(t, 8, 0)
	c.election.role, c.election.lease.validUntil = RoleLeader, c.now.Steady+1000*protocol.Second
	c.platform.Peers = make([]protocol.Peer, 2)
	part := WriteShare(3, true)
	for range 60 {
		c.now.Steady += 2 * protocol.Second
		c.store.probeWriteRate()
	}
	if got := c.store.limits.writeRate * part; math.Abs(got-c.store.limits.publishedRate) > 1e-6 {
		t.Errorf("%g a second of %g", got, c.store.limits.publishedRate)
	}
	c.effects = nil
	c.election.role = RoleFollower
	c.store.probeWriteRate()
	if c.store.limits.writeRate != c.store.limits.publishedRate || len(c.effects) != 1 {
		t.Errorf("%g of %g, then %v", c.store.limits.writeRate, c.store.limits.publishedRate, c.effects)
	}
}
