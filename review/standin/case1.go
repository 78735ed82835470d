package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["old-report"] = oldReport }

// oldReport: a task of a gang exits while it waits, and is started on the same machine again under
// the same attempt number. An old report of the exit makes a new leader start the task on another
// machine as well.
func oldReport(record string, trouble bool) int {
	w := newWorld(members(), membersTypes(0, 3), record)
	w.set.fetchFactor = 1.3 // the machines fetch faster than their type by a third
	if !w.waitReady() {
		return w.cannotRun("the controllers are not ready")
	}
	whole := func(ref, bundle string, size, expect, run float64) *job {
		return &job{Ref: ref, Jobclass: "fraud-train", Owner: "payments", Shape: "array", Rank: "high", Shards: 1,
			Cores: 86, Gpus: 8, MemoryGb: 610, Bundle: bundle, SizeGb: size, ExpectS: expect, RunS: run}
	}
	// One machine has the gang's image and is free, one has it and is busy until the gang runs, and
	// one is free but has to fetch it.
	short, long, other := whole("req-000401", "img-07", 18, 300, 2), whole("req-000402", "img-07", 18, 300, 46), whole("req-000403", "img-02", 0.5, 30, 28)
	for _, j := range []*job{short, long, other} {
		if !w.submit(j) {
			return w.cannotRun("a job is not accepted")
		}
	}
	if !w.await("the other jobs run", 45, func() bool { return w.allRun(short) && w.allRun(long) && other.begun() > 0 }) {
		return w.cannotRun("the other jobs do not run")
	}
	free, busy := w.workerOf(short, 0), w.workerOf(long, 0)
	w.cloud.each(func(k *worker) {
		if k != free && k != busy {
			k.setFetch(0.9)
		}
	})
	if !w.await("two machines are free", 10, func() bool { return short.allCompleted() && other.allCompleted() }) {
		return w.cannotRun("the other jobs do not end")
	}
	time.Sleep(time.Second)
	j := whole("req-000412", "img-07", 18, 300, 300)
	j.Shape, j.Shards = "ensemble", 2
	if !w.submit(j) || !w.await("the gang runs", 60, func() bool { return w.allRun(j) }) {
		return w.cannotRun("the gang does not run")
	}
	if !w.await("the busy machine is free", 15, func() bool { return long.allCompleted() }) {
		return w.cannotRun("the long job does not end")
	}
	time.Sleep(2 * time.Second)
	if !trouble {
		for range 5 {
			time.Sleep(3 * time.Second)
			w.ask(w.pick(0), j.Ref)
		}
		if !w.allRun(j) {
			w.broken("the gang does not run any more")
		}
		return w.end()
	}

	var machines []*worker
	var old []byte
	for i := range j.Shards {
		k := w.workerOf(j, i)
		machines = append(machines, k)
		if r := k.lastReport(`"exitReason":"incomplete"`, 1); r != nil {
			old = r
			w.logf("the report that will arrive again: %s", r)
		}
	}
	if old == nil {
		return w.cannotRun("no task has exited while it waited")
	}
	for _, k := range machines {
		k.hang()
	}
	leader, count := w.leader()
	w.logf("TROUBLE the leader %s ends", leader.name)
	leader.signal(syscall.SIGKILL)
	w.await("there is a new leader", 15, func() bool { _, n := w.leader(); return n > count })
	time.Sleep(300 * time.Millisecond)
	for _, n := range w.nodes {
		if n != leader {
			w.deliver(n, old)
		}
	}
	time.Sleep(5 * time.Second)
	for _, k := range machines {
		k.goOn()
	}
	time.Sleep(4 * time.Second)
	w.cloud.each(func(k *worker) {
		k.mu.Lock()
		w.logf("at the end on %s: %s", k.m.name, k.describe())
		k.mu.Unlock()
	})
	w.ask(w.pick(0), fmt.Sprint(j.Ref))
	return w.end()
}
