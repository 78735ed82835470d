package main

import "time"

func init() { cases["failed-once"] = failedOnce }

// failedOnce: a job whose task failed once, on a machine that has recovered, is never started there
// again.
func failedOnce(record string, trouble bool) int {
	w := newWorld(wing(), wingTypes(2), record)
	if !w.waitReady() {
		return w.cannotRun("the controllers are not ready")
	}
	service := &job{Ref: "req-000398", Jobclass: "array-beamform", Owner: "infrasound-desk", Shape: "daemon", Rank: "critical", Shards: 3,
		Cores: 4, Gpus: 1, MemoryGb: 14, Bundle: "img-03", SizeGb: 0.2}
	if !w.submit(service) || !w.await("the service runs", 30, func() bool { return w.allRun(service) }) {
		return w.cannotRun("the service does not run")
	}
	w.setFailing(trouble)
	j := &job{Ref: "req-000412", Jobclass: "barograph-rerun", Owner: "infrasound-desk", Shape: "array", Rank: "standard", Shards: 1,
		Cores: 5, Gpus: 1, MemoryGb: 18, Bundle: "img-07", SizeGb: 0.2, ExpectS: 2, RunS: 2}
	if !w.submit(j) || !w.await("the task has begun", 10, func() bool { return j.begun() > 0 }) {
		return w.cannotRun("the task does not begin")
	}
	time.Sleep(time.Second)
	w.setFailing(false)

	// Another job of the same kind shows that the machine works again.
	after := *newCopy(j, "req-000413")
	if !w.submit(&after) || !w.await("the other job has completed", 20, func() bool { return after.allCompleted() }) {
		return w.cannotRun("the other job does not complete")
	}
	waiting := time.Now()
	told := status{}
	for time.Since(waiting) < 90*time.Second && told.Phase != "done" {
		time.Sleep(5 * time.Second)
		_, told = w.ask(w.pick(1), j.Ref)
		if !w.hasRoom(j) && told.Phase != "done" && told.Phase != "running" {
			return w.cannotRun("no machine has room")
		}
	}
	if told.Phase != "done" {
		w.broken("%s has waited for %.0f s while a machine that fits has room", j.Ref, time.Since(waiting).Seconds())
	}
	return w.end()
}
