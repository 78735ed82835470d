package main

import "time"

func init() { cases["awaits-cancelled"] = awaitsCancelled }

// awaitsCancelled: a job that names a cancelled job is called queued when its submission is
// answered, if the state service answers the transaction late.
func awaitsCancelled(record string, trouble bool) int {
	w := newWorld(members(), membersTypes(2, 1), record)
	if !w.waitReady() {
		return w.cannotRun("the controllers are not ready")
	}
	array := func(ref, class string, run float64) *job {
		return &job{Ref: ref, Jobclass: class, Owner: "records", Shape: "array", Rank: "low", Shards: 2,
			Cores: 1, MemoryGb: 8, Bundle: "img-07", SizeGb: 0.5, ExpectS: run, RunS: run}
	}
	before := array("req-000398", "ledger-pull", 100)
	if !w.submit(before) {
		return w.cannotRun("the first job is not accepted")
	}
	var cancelled time.Time
	for cancelled.IsZero() {
		code, s := w.cancel(w.pick(0), before.Ref)
		switch {
		case code == 200 && s.Phase == "cancelled":
			cancelled = time.Now()
		case time.Since(w.began) > 40*time.Second:
			return w.cannotRun("the first job is not cancelled")
		default:
			time.Sleep(time.Second)
		}
	}
	time.Sleep(time.Duration((w.set.cancel + 1) * float64(time.Second)))
	w.ask(w.pick(0), before.Ref)
	if trouble {
		const by = 400 * time.Millisecond
		w.logf("TROUBLE the state service carries transactions out at once and answers them %v later", by)
		w.state.setSlow(by)
	}
	after := array("req-000412", "roster-clean", 10)
	after.Awaits = []string{before.Ref}
	if !w.submit(after) {
		return w.cannotRun("the second job is not accepted")
	}
	if p := after.told.Phase; p == "queued" || p == "running" {
		w.broken("orphaned: %s is called %s %.1f s after its user was told that %s, which it awaits, is cancelled", after.Ref, p,
			time.Since(cancelled).Seconds(), before.Ref)
	}
	w.state.setSlow(0)
	for i := range w.nodes {
		time.Sleep(time.Second)
		if _, s := w.ask(w.nodes[i], after.Ref); s.Phase == "queued" || s.Phase == "running" {
			w.broken("orphaned: %s is still called %s", after.Ref, s.Phase)
		}
	}
	return w.end()
}
