package controller

import (
	"fmt"
	"testing"

	"mapleslip/internal/protocol"
)

// The cache keeps the jobs that finished last and never exceeds its limit.
func TestFinishedJobCacheKeepsLatest(t *testing.T) {
	cache := newFinishedJobCache()
	ref := func(i int) string { return fmt.Sprintf("req-%06d", i) }
	const total = 3*maxFinishedJobs + 17
	for i := range total {
		cache.add(ref(i), finishedJob{protocol.PhaseDone, 1})
		if n := len(cache.recent) + len(cache.older); n > maxFinishedJobs {
			t.Fatalf("%d jobs are cached", n)
		}
		if i >= maxFinishedJobs/2 && i%97 == 0 {
			if _, ok := cache.find(ref(i - maxFinishedJobs/2 + 1)); !ok {
				t.Fatalf("after job %d, job %d is no longer cached", i, i-maxFinishedJobs/2+1)
			}
		}
	}
}

// Loading the finished jobs from the state service does not discard those that the leader finished
// itself.
func TestLoadingFinishedJobsKeepsLatest(t *testing.T) {
	cache := newFinishedJobCache()
	cache.add("req-900000", finishedJob{protocol.PhaseCancelled, 1})
	for i := 0; i < maxFinishedJobs && !cache.full(); i++ {
		cache.add(fmt.Sprintf("req-%06d", i), finishedJob{protocol.PhaseDone, 1})
	}
	cache.add("req-900001", finishedJob{protocol.PhaseCancelled, 1})
	if _, ok := cache.find("req-900000"); !ok || len(cache.older) > 0 {
		t.Errorf("first job discarded: %t, older entries: %d", !ok, len(cache.older))
	}
}
