package controller

import (
	"fmt"
	"testing"

	"mapleslip/internal/protocol"
)

// However many jobs are over, those that ended last are remembered, and no more than is
// bounded.
func TestLatestFinalsAreRemembered(t *testing.T) {
	f := newFinals()
	ref := func(i int) string { return fmt.Sprintf("req-%06d", i) }
	const all = 3*mostFinals + 17
	for i := range all {
		f.keep(ref(i), final{protocol.PhaseDone, 1})
		if n := len(f.recent) + len(f.older); n > mostFinals {
			t.Fatalf("%d are remembered", n)
		}
		if i >= mostFinals/2 && i%97 == 0 {
			if _, ok := f.find(ref(i - mostFinals/2 + 1)); !ok {
				t.Fatalf("after %d, %d is forgotten", i, i-mostFinals/2+1)
			}
		}
	}
}

// A leader that reads which jobs are over does not forget for it what it ended itself.
func TestReadingFinalsForgetsNoLatest(t *testing.T) {
	f := newFinals()
	f.keep("req-900000", final{protocol.PhaseCancelled, 1})
	for i := 0; i < mostFinals && !f.full(); i++ {
		f.keep(fmt.Sprintf("req-%06d", i), final{protocol.PhaseDone, 1})
	}
	f.keep("req-900001", final{protocol.PhaseCancelled, 1})
	if _, ok := f.find("req-900000"); !ok || len(f.older) > 0 {
		t.Errorf("forgotten: %t, older %d", !ok, len(f.older))
	}
}
