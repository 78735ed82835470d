package statestore

import (
	"testing"

	"mapleslip/internal/protocol"
)

// After a refusal as malformed, the limit on changes must be lowered first, then the limit on the
// size of a value. A transaction that is within the smallest limits must lower neither.
func TestLimitsFromRefusals(t *testing.T) {
	announced := &protocol.StateLimits{WriteRate: 24, MaxValueBytes: 3072, MaxTxnChanges: 6}
	for _, c := range []struct {
		name             string
		announced        *protocol.StateLimits
		refused          [][2]int // number of changes and bytes of the largest value
		explained        bool     // whether the limits explain the last refusal
		target, accepted TxnLimits
	}{
		{"too many changes", nil, [][2]int{{12, 8000}}, true, TxnLimits{8192, 6}, TxnLimits{8192, 6}},
		{"still too many changes", nil, [][2]int{{12, 8000}, {6, 8000}}, true, TxnLimits{8192, 4}, TxnLimits{8192, 4}},
		{"value too large", nil, [][2]int{{12, 8000}, {6, 8000}, {4, 8000}}, true, TxnLimits{4000, 4}, TxnLimits{7999, 4}},
		{"smallest value limit", nil, [][2]int{{2, 3000}}, true, TxnLimits{2048, 12}, TxnLimits{2999, 12}},
		{"encoded before the limit was lowered", nil, [][2]int{{12, 100}, {12, 100}}, true, TxnLimits{8192, 6}, TxnLimits{8192, 6}},
		{"within the smallest limits", nil, [][2]int{{4, 2048}}, false, TxnLimits{8192, 12}, TxnLimits{8192, 12}},
		{"announced limit of changes", announced, [][2]int{{7, 3000}}, true, TxnLimits{3072, 6}, TxnLimits{3072, 6}},
		{"announced limit of value size", announced, [][2]int{{1, 5000}}, true, TxnLimits{3072, 6}, TxnLimits{3072, 6}},
		{"value limit below the announced one", announced, [][2]int{{1, 3072}}, true, TxnLimits{2048, 6}, TxnLimits{3071, 12}},
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

// The write rate must be lowered at the first refusal, but not by refusals of calls that were sent
// before. It must be raised slowly, at longer intervals after each refusal, and not above the
// published rate.
func TestWriteRateFromRefusals(t *testing.T) {
	l := newLimits(&protocol.Platform{MaxValueBytes: 8192, MaxTxnChanges: 12, StateWriteRate: 35, AnnouncedStateLimits: &protocol.StateLimits{WriteRate: 24, MaxValueBytes: 2048, MaxTxnChanges: 4}})
	at := 100 * protocol.Second
	if l.writeRate != 35 {
		t.Fatalf("rate %g before any refusal, want the published rate", l.writeRate)
	}
	if !l.learnFromRateLimit(at) || l.writeRate != 24 {
		t.Fatalf("rate %g after the first refusal, want the announced rate", l.writeRate)
	}
	if l.learnFromRateLimit(at+protocol.Second/2) || l.writeRate != 24 {
		t.Fatalf("rate %g after a refusal of a call that was sent before the rate was lowered", l.writeRate)
	}
	if l.tryHigherRate(at+protocol.Second/2, 35); l.writeRate != 24 {
		t.Fatalf("rate %g: raised too soon", l.writeRate)
	}
	if !l.tryHigherRate(at+2*protocol.Second, 35) || l.writeRate <= 24 || l.writeRate > 26 {
		t.Fatalf("rate %g after the first increase", l.writeRate)
	}
	previousInterval := l.probeInterval
	if !l.learnFromRateLimit(at+3*protocol.Second) || l.writeRate != 24 || l.probeInterval <= previousInterval {
		t.Fatalf("rate %g after the refused increase, probe interval %d", l.writeRate, l.probeInterval)
	}
	if !l.learnFromRateLimit(at+5*protocol.Second) || l.writeRate >= 24 {
		t.Fatalf("rate %g after a further refusal, want less than announced", l.writeRate)
	}
	for s := micros(6); s < 2000; s++ {
		l.tryHigherRate(at+s*protocol.Second, 35)
	}
	if l.writeRate != 35 {
		t.Fatalf("rate %g after half an hour, want the published rate", l.writeRate)
	}
}
