package main

import (
	"time"
)

// Not a case: it takes longer than 120 s. It shows when a large gang starts on a deployment without
// machines, whose cloud has enough of them.

func init() { cases["large-gang"] = largeGang }

const beginWithin = 240 * time.Second // "the largest ones too have to begin within four minutes"

// largeGang: a gang of 1,300 tasks of 1 CPU has room on the machines that the cloud has. With TROUBLE=0
// it has 64 tasks.
func largeGang(repo, dir string, trouble bool) int {
	w, f := himal()
	d := newDeployment(w, f, repo, dir)
	d.startAll()
	if w.waitLeader(10*time.Second) < 0 {
		return 2
	}
	s := array("req-000001", "fraud-train", "partners", 64, 1, 0, 1, 20, 10)
	if trouble {
		s.Shards = 1300
	}
	s.Shape, s.Rank, s.Reclaimable = "ensemble", "high", false
	if !w.submit(s, w.anyNode) {
		return 2
	}
	submitted, c := time.Now(), w.newClient()
	for time.Since(submitted) < beginWithin+time.Second {
		time.Sleep(5 * time.Second)
		w.query(c, s.Ref, w.anyNode())
		w.mu.Lock()
		starts, rented := w.jobs[s.Ref].starts, w.nextHost
		w.mu.Unlock()
		logf("after %.0f s: %d tasks started, %d machines rented so far", time.Since(submitted).Seconds(), starts, rented)
		if starts == s.Shards {
			return 0
		}
	}
	w.mu.Lock()
	w.broke("not_begun", "%s has not begun after four minutes", s.Ref)
	w.mu.Unlock()
	return 1
}
