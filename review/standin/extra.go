package main

import (
	"fmt"
	"slices"
	"time"
)

func init() {
	cases["large-report"], cases["held-limit"] = largeReport, heldLimit
}

// largeReport: the controllers start so many small tasks on one machine that its report exceeds the
// limit for request bodies, and refuse the report.
func largeReport(record string, trouble bool) int {
	w := newWorld(members(), membersTypes(0, 1), record)
	if !w.waitReady() {
		return w.cannotRun("the controllers are not ready")
	}
	service := &job{Ref: "req-000398", Jobclass: "card-check", Owner: "club-desk", Shape: "daemon", Rank: "critical", Shards: 1,
		Cores: 5, Gpus: 1, MemoryGb: 38, Bundle: "img-03", SizeGb: 0.5}
	tasks := 400
	if trouble {
		tasks = 1600
		w.logf("TROUBLE the array has %d tasks", tasks)
	}
	j := &job{Ref: "req-000412", Jobclass: "photo-checks", Owner: "growth", Shape: "array", Rank: "standard", Shards: tasks,
		Cores: 0.05, MemoryGb: 0.4, Bundle: "img-07", SizeGb: 0.5, ExpectS: 30, RunS: 30}
	if !w.submit(service) || !w.await("the service runs", 20, func() bool { return w.allRun(service) }) || !w.submit(j) {
		return w.cannotRun("the deployment does not run")
	}
	submitted := time.Now()
	told := status{}
	for time.Since(submitted) < 100*time.Second && told.Phase != "done" {
		time.Sleep(5 * time.Second)
		_, told = w.ask(w.pick(1), j.Ref)
	}
	w.cloud.each(func(k *worker) {
		k.mu.Lock()
		w.logf("worker %s: largest report %d bytes, %d sessions expired, %d tasks lost with them", k.m.name, k.largest, k.expired, k.lost)
		k.mu.Unlock()
	})
	if n := service.timesKilled(); n > 0 || told.Phase != "done" {
		w.broken("%s is %q, done %d of %d, after %.0f s; its tasks were started %d times; the service beside it was killed %d times",
			j.Ref, told.Phase, told.Done, tasks, time.Since(submitted).Seconds(), j.begun(), n)
	}
	return w.end()
}

// heldLimit: a gang that does not fit beside its team's services keeps the team's other jobs waiting.
func heldLimit(record string, trouble bool) int {
	w := newWorld(foldrenges(), foldrengesTypes(6, 4), record)
	if !w.waitReady() {
		return w.cannotRun("the controllers are not ready")
	}
	make := func(ref, class, shape, rank string, tasks int, cores, gpus, memory float64) *job {
		return &job{Ref: ref, Jobclass: class, Owner: "duty-analysts-00", Shape: shape, Rank: rank, Shards: tasks, Cores: cores, Gpus: gpus,
			MemoryGb: memory, Bundle: "img-07", SizeGb: 0.2, ExpectS: 5, RunS: 5}
	}
	var services []*job
	for i := range 5 {
		services = append(services, make(fmt.Sprintf("req-00040%d", i), "live-picker", "daemon", "critical", min(2, 9-2*i), 4, 1, 14))
		if !w.submit(services[i]) {
			return w.cannotRun("a service is not accepted")
		}
	}
	allRun := func() bool { return !slices.ContainsFunc(services, func(j *job) bool { return !w.allRun(j) }) }
	if !w.await("the services run", 20, allRun) {
		return w.cannotRun("the services do not run")
	}
	if trouble {
		w.logf("TROUBLE a gang that does not fit beside the services")
		w.submit(make("req-000412", "locator-training", "ensemble", "high", 1, 28, 4, 100))
		time.Sleep(time.Second)
	}
	return w.mustRun(make("req-000413", "waveform-rerun", "array", "standard", 1, 5, 1, 18))
}

// mustRun submits a job, and checks that it does not wait for 90 s while there is room.
func (w *world) mustRun(j *job) int {
	if !w.submit(j) {
		return w.cannotRun("the job is not accepted")
	}
	submitted := time.Now()
	told := status{}
	for time.Since(submitted) < 91*time.Second && told.Phase != "done" {
		time.Sleep(5 * time.Second)
		_, told = w.ask(w.pick(1), j.Ref)
	}
	if told.Phase != "done" {
		w.broken("%s is %q %.0f s after it was accepted, %d tasks were started, a machine has room: %v", j.Ref, told.Phase,
			time.Since(submitted).Seconds(), j.begun(), w.hasRoom(j))
	}
	return w.end()
}

func (j *job) timesKilled() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.killed
}
