package main

import (
	"syscall"
	"time"
)

func init() { cases["earlier-session"] = earlierSession }

// earlierSession: an old report of an earlier session makes a new leader start a task of a gang that is
// still on its machine.
func earlierSession(record string, trouble bool) int {
	w := newWorld(members(), membersTypes(0, 4), record)
	if !w.waitReady() {
		return w.cannotRun("the controllers are not ready")
	}
	j := &job{Ref: "req-000412", Jobclass: "fraud-train", Owner: "payments", Shape: "ensemble", Rank: "high", Shards: 2,
		Cores: 86, Gpus: 8, MemoryGb: 610, Bundle: "img-07", SizeGb: 1, ExpectS: 300, RunS: 300}
	if !w.submit(j) || !w.await("the gang runs", 30, func() bool { return w.allRun(j) }) {
		return w.cannotRun("the gang does not run")
	}
	time.Sleep(4 * time.Second)
	if !trouble {
		for range 10 {
			time.Sleep(5 * time.Second)
			w.ask(w.nodes[0], j.Ref)
		}
		if !w.allRun(j) {
			w.broken("the gang does not run any more")
		}
		return w.end()
	}
	first, second := w.workerOf(j, 0), w.workerOf(j, 1)
	early := first.lastReport(`"fetching"`, 1)

	w.logf("TROUBLE all controllers are away for longer than lease_s")
	w.setDown(true)
	for _, n := range w.nodes {
		n.signal(syscall.SIGKILL)
	}
	time.Sleep(2 * time.Second)
	second.stop("TROUBLE the machine stops with all that is on it")
	time.Sleep(time.Duration((w.set.lease + 1) * float64(time.Second)))
	w.setDown(false)
	if !w.await("the gang runs again", 40, func() bool { return w.allRun(j) }) {
		return w.cannotRun("the gang does not run again")
	}
	time.Sleep(4 * time.Second)
	if w.workerOf(j, 0) != first {
		return w.cannotRun("the task was started again on another machine")
	}
	late := first.lastReport(`"running"`, 2)
	if early == nil || late == nil {
		return w.cannotRun("no report to copy")
	}

	third := w.workerOf(j, 1)
	first.hang()
	third.hang()
	old, count := w.leader()
	w.logf("TROUBLE the leader %s ends", old.name)
	old.signal(syscall.SIGKILL)
	w.await("there is a new leader", 15, func() bool { _, n := w.leader(); return n > count })
	for _, report := range [][]byte{early, late} {
		time.Sleep(300 * time.Millisecond)
		for _, n := range w.nodes {
			if n != old {
				w.deliver(n, report)
			}
		}
	}
	time.Sleep(8 * time.Second)
	first.goOn()
	third.goOn()
	time.Sleep(6 * time.Second)
	w.ask(w.nodes[0], j.Ref)
	return w.end()
}
