package controller

import (
	"fmt"
	"testing"

	"mapleslip/internal/protocol"
)

// However many jobs are over, those that ended last are remembered, and no more than is
// bounded.
func TestFinishedJobCacheKeepsLatest(t *testing.T) {
	f := newFinishedJobCache()
	ref := func(i int) string { return fmt.Sprintf("req-%06d", i) }
	const all = 3*maxFinishedJobs + 17
	for i := range all {
		f.add(ref(i), finishedJob{protocol.PhaseDone, 1})
		if n := len(f.recent) + len(f.older); n > maxFinishedJobs {
			t.Fatalf("%d are remembered", n)
		}
		if i >= maxFinishedJobs/2 && i%97 == 0 {
			if _, ok := f.find(ref(i - maxFinishedJobs/2 + 1)); !ok {
				t.Fatalf("after %d, %d is forgotten", i, i-maxFinishedJobs/2+1)
			}
		}
	}
}

// A leader that reads which jobs are over does not forget for it what it ended itself.
func TestLoadingFinishedJobsKeepsLatest(t *testing.T) {
	f := newFinishedJobCache()
	f.add("req-900000", finishedJob{protocol.PhaseCancelled, 1})
	for i := 0; i < maxFinishedJobs && !f.full(); i++ {
		f.add(fmt.Sprintf("req-%06d", i), finishedJob{protocol.PhaseDone, 1})
	}
	f.add("req-900001", finishedJob{protocol.PhaseCancelled, 1})
	if _, ok := f.find("req-900000"); !ok || len(f.older) > 0 {
		t.Errorf("forgotten: %t, older %d", !ok, len(f.older))
	}
}
