package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["5"] = heldLimit }

// Run times in seconds, as estimated too. The pages' classes have medians of 80 (picker-training, 250 at
// the 95th percentile) and 50 (locator-training).
const (
	firstRuns   = 150
	lastRuns    = 80
	locatorRuns = 50
)

// heldLimit: a team has 12 GPUs at most, of which it uses 9. A training that needs 4 has to wait. A
// further training that needs 1 must not be left waiting for 90 s beside machines with room.
func heldLimit(repo, dir string, trouble bool) int {
	w, f := hsos()
	d := newDeployment(w, f, repo, dir)
	d.startAll()
	if w.waitLeader(10*time.Second) < 0 {
		logf("no controller leads")
		return 2
	}
	training := func(ref, class string, cores, gpus, memory, runS float64) *spec {
		s := array(ref, class, "duty-analysts-00", 1, cores, gpus, memory, runS, runS)
		s.Shape, s.Rank, s.SamePlace, s.Reclaimable = "ensemble", "high", true, false
		s.SnapshotEveryS, s.SnapshotS = 30, 5
		return s
	}
	var users sync.WaitGroup
	const first = 9
	for i := range first {
		users.Go(func() {
			w.submit(training(fmt.Sprintf("req-%06d", 100+i), "picker-training", 5, 1, 19, firstRuns), w.anyNode)
		})
	}
	users.Wait()
	running := func() int {
		n := 0
		for i := range first {
			n += len(w.machinesOf(fmt.Sprintf("req-%06d", 100+i)))
		}
		return n
	}
	if !w.await(15*time.Second, func() bool { return running() == first }) {
		logf("the first trainings do not run")
		return 2
	}
	if trouble && !w.submit(training("req-000200", "locator-training", 28, 4, 100, locatorRuns), w.anyNode) {
		return 2
	}
	time.Sleep(2 * time.Second)
	last := training("req-000300", "picker-training", 5, 1, 19, lastRuns)
	if !w.submit(last, w.anyNode) {
		return 2
	}
	code := w.judgeWait(last)
	w.mu.Lock()
	n := running()
	w.mu.Unlock()
	if code == 1 && n < first {
		logf("only %d of the first trainings run at the end", n)
		return 2
	}
	logf("the team uses %d of 12 GPUs", n)
	return code
}
