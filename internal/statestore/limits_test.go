package statestore

import (
	"testing"

	"mapleslip/internal/protocol"
)

// What is learned from transactions that are refused as malformed: first that there are too
// many changes, then that a value is too large, and nothing where neither can be.
func TestLimitsFromRefusals(t *testing.T) {
	announced := &protocol.StateLimits{WriteRate: 24, MaxValueBytes: 3072, MaxTxnChanges: 6}
	for _, c := range []struct {
		name             string
		announced        *protocol.StateLimits
		refused          [][2]int // changes, bytes of the largest value
		explained        bool     // the last one
		target, accepted TxnLimits
	}{
		{"many changes", nil, [][2]int{{12, 8000}}, true, TxnLimits{8192, 6}, TxnLimits{8192, 6}},
		{"still too many", nil, [][2]int{{12, 8000}, {6, 8000}}, true, TxnLimits{8192, 4}, TxnLimits{8192, 4}},
		{"then the value", nil, [][2]int{{12, 8000}, {6, 8000}, {4, 8000}}, true, TxnLimits{4000, 4}, TxnLimits{7999, 4}},
		{"the smallest value", nil, [][2]int{{2, 3000}}, true, TxnLimits{2048, 12}, TxnLimits{2999, 12}},
		{"sent before that was known", nil, [][2]int{{12, 100}, {12, 100}}, true, TxnLimits{8192, 6}, TxnLimits{8192, 6}},
		{"neither can be", nil, [][2]int{{4, 2048}}, false, TxnLimits{8192, 12}, TxnLimits{8192, 12}},
		{"announced, a division at once", announced, [][2]int{{7, 3000}}, true, TxnLimits{3072, 6}, TxnLimits{3072, 6}},
		{"announced, a description", announced, [][2]int{{1, 5000}}, true, TxnLimits{3072, 6}, TxnLimits{3072, 6}},
		{"lower than announced", announced, [][2]int{{1, 3072}}, true, TxnLimits{2048, 6}, TxnLimits{3071, 12}},
	} {
		l := newLimits(&protocol.Platform{MaxValueBytes: 8192, MaxTxnChanges: 12, StateWriteRate: 35, AnnouncedStateLimits: c.announced})
		explained := false
		for _, r := range c.refused {
			explained = l.learnFromMalformed(r[0], r[1])
		}
		if explained != c.explained || l.target != c.target || l.accepted != c.accepted {
			t.Errorf("%s: explained %v, target %+v, accepted %+v", c.name, explained, l.target, l.accepted)
		}
	}
}

// The rate falls at once and rises slowly, each time more slowly, and never beyond what is
// published.
func TestWriteRateFromRefusals(t *testing.T) {
	l := newLimits(&protocol.Platform{MaxValueBytes: 8192, MaxTxnChanges: 12, StateWriteRate: 35, AnnouncedStateLimits: &protocol.StateLimits{WriteRate: 24, MaxValueBytes: 2048, MaxTxnChanges: 4}})
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
