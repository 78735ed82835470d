package main

import "time"

func init() { cases["large-gang"] = largeGang }

// largeGang: a gang of more than 256 tasks is accepted and never started.
func largeGang(record string, trouble bool) int {
	w := newWorld(members(), membersTypes(0, 4), record)
	if !w.waitReady() {
		return w.cannotRun("the controllers are not ready")
	}
	// A service with a replica on each of the four machines keeps them up.
	service := &job{Ref: "req-000398", Jobclass: "card-check", Owner: "club-desk", Shape: "daemon", Rank: "critical", Shards: 4,
		Cores: 5, Gpus: 8, MemoryGb: 38, Bundle: "img-03", SizeGb: 0.5}
	if !w.submit(service) || !w.await("the service runs", 20, func() bool { return w.allRun(service) }) {
		return w.cannotRun("the service does not run")
	}
	tasks := 256
	if trouble {
		tasks = 257
		w.logf("TROUBLE the gang has %d tasks", tasks)
	}
	j := &job{Ref: "req-000412", Jobclass: "churn-train", Owner: "growth", Shape: "ensemble", Rank: "high", Shards: tasks,
		Cores: 1, MemoryGb: 1, Bundle: "img-07", SizeGb: 0.5, ExpectS: 5, RunS: 5}
	if !w.submit(j) {
		return w.cannotRun("the gang is not accepted")
	}
	submitted := time.Now()
	told := status{}
	for time.Since(submitted) < 91*time.Second && told.Phase != "done" {
		time.Sleep(5 * time.Second)
		_, told = w.ask(w.pick(1), j.Ref)
		room := w.roomFor(j)
		w.logf("the machines have room for %d tasks of %s besides those that run", room, j.Ref)
		if j.begun() == 0 && room < tasks {
			return w.cannotRun("the machines have no room")
		}
	}
	if told.Phase != "done" {
		w.broken("%s is %q %.0f s after it was accepted, %d tasks were started, the machines have room for %d of its %d tasks", j.Ref,
			told.Phase, time.Since(submitted).Seconds(), j.begun(), w.roomFor(j), tasks)
	}
	return w.end()
}
