package hollow

import (
	"bytes"
	"strconv"
	"strings"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/httpconn"
	"mapleslip/internal/scale/wire"
	"mapleslip/internal/strictjson"
	"mapleslip/internal/transport"
)

// raiseEpoch stores a higher epoch. It counts as a change at most once in half a lease.
func (w *worker) raiseEpoch(now int64, epoch uint64) {
	w.epoch = epoch
	if now-w.epochChangeAt >= int64(w.process.platform.WorkerLease)/2 {
		w.epochChangeAt = now
		w.hasChanges = true
	}
}

// execute executes a command from a controller.
func (w *worker) execute(now int64, verb, name string, attempt uint64, grace float64) {
	ref, indexText, _ := strings.Cut(name, "/")
	index, err := strconv.Atoi(indexText)
	if err != nil || index < 0 {
		return
	}
	var existing *task
	busy := false
	for _, t := range w.tasks {
		if t.index == index && t.ref == ref {
			if t.attempt == attempt {
				existing = t
			} else if t.state != protocol.TaskExited {
				busy = true
			}
		}
	}
	switch verb {
	case "launch":
		if existing == nil {
			w.launch(now, ref, index, attempt, busy)
		}
	case "stop":
		if existing != nil {
			existing.stop(now, protocol.FromSeconds(grace))
		}
	case "forget":
		if existing != nil && existing.state == protocol.TaskExited {
			for i, t := range w.tasks {
				if t == existing {
					w.tasks = append(w.tasks[:i], w.tasks[i+1:]...)
					break
				}
			}
			w.markChanged(now)
		}
	}
}

// launch adds a task and requests its description from the supervisor.
func (w *worker) launch(now int64, ref string, index int, attempt uint64, busy bool) {
	t := &task{worker: w, ref: ref, index: index, attempt: attempt, launchedAt: now}
	t.name = ref + "/" + strconv.Itoa(index) + "#" + strconv.FormatUint(attempt, 10)
	w.tasks = append(w.tasks, t)
	w.markChanged(now)
	if busy {
		t.exit(now, protocol.ExitBusy, false)
		return
	}
	j := w.process.job(ref)
	if j != nil && !w.admit(now, t, j) {
		return
	}
	request := &wire.Message{Kind: wire.Jobs, Task: t.name, Name: w.machine.Name, At: now}
	if j == nil {
		request.Ref = ref
	}
	w.process.send(request)
}

// admit reserves the resources of a task and fetches its image. It returns false if it has
// refused the task.
func (w *worker) admit(now int64, t *task, j *job) bool {
	if t.index >= j.spec.Tasks {
		t.exit(now, protocol.ExitUnknown, false)
		return false
	}
	used := w.usedResources.Add(j.spec.TaskResources, 1)
	if !w.machineType.Capacity.Covers(used) {
		t.exit(now, protocol.ExitFull, false)
		return false
	}
	w.usedResources, t.job, t.remaining = used, j, max(j.runTime, 0)
	t.image = w.images.getOrFetch(now, j.spec.Image, j.spec.ImageSize)
	t.image.waiters++
	w.scheduleFetchCheck()
	return true
}

// handleDescription handles the supervisor's description of a task.
func (w *worker) handleDescription(m *wire.Message) {
	w.runLocked(w.process.now(), func(now int64) {
		for _, t := range w.tasks {
			if t.name != m.Task || t.state != protocol.TaskFetching || t.described {
				continue
			}
			j := w.process.job(t.ref)
			if m.Status == 404 || j == nil {
				t.exit(now, protocol.ExitUnknown, false)
				return
			}
			if t.job == nil && !w.admit(now, t, j) {
				return
			}
			t.described, t.resultStored = true, m.Phase == "done"
			if m.For > 0 {
				t.remaining = m.For
			}
			t.reportedRemaining = t.remaining
			t.startIfReady(now)
			return
		}
	})
}

// scheduleFetchCheck sets a timer for the time at which the next fetch completes.
func (w *worker) scheduleFetchCheck() {
	due := w.images.nextCompletion()
	if due == 0 {
		return
	}
	w.schedule(due, func(now int64) {
		if next := w.images.nextCompletion(); next == 0 || next > now {
			return // the fetches have changed, and a later timer is set
		}
		fetched := w.images.completeFetches(now)
		for _, i := range fetched {
			for _, t := range w.tasks {
				if t.image == i && t.state == protocol.TaskFetching {
					t.fetchTime = now - t.launchedAt
					t.startIfReady(now)
				}
			}
		}
		w.scheduleFetchCheck()
	})
}

// handleRequest answers requests that controllers send to the worker.
func (w *worker) handleRequest(c *httpconn.Conn, r *transport.Request) (int, []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitWhileHung()
	if w.removed {
		return 0, nil
	}
	c.Traffic = &w.process.statusTraffic
	switch {
	case r.Method == "GET" && r.Path == "/status":
		return 200, w.append(nil)
	case r.Method == "POST" && r.Path == "/commands":
		c.Traffic = &w.process.commandTraffic
		if err := strictjson.CheckCommands(r.Body); err != nil {
			w.process.malformed("commands", err)
			return 400, []byte(`{"error":"malformed"}`)
		}
		now := w.process.now()
		w.receiveCopyLater(now, bytes.Clone(r.Body))
		return w.executeCommands(now, r.Body)
	}
	return 404, []byte(`{"error":"unknown"}`)
}

// executeCommands executes a direct command. The caller holds the lock.
func (w *worker) executeCommands(now int64, body []byte) (status int, answer []byte) {
	parser := protocol.Parsers.Get()
	defer protocol.Parsers.Put(parser)
	v, err := parser.ParseBytes(body)
	if err != nil || v.Get("epoch") == nil || v.Get("tenure") == nil {
		return 400, []byte(`{"error":"epoch and tenure are needed"}`)
	}
	epoch := v.GetUint64("epoch")
	if epoch < w.epoch || v.GetUint64("tenure") != w.session {
		return 409, w.append(nil)
	}
	if epoch > w.epoch {
		w.raiseEpoch(now, epoch)
		w.scheduleReport(now)
	}
	for _, c := range v.GetArray("orders") {
		w.execute(now, string(c.GetStringBytes("verb")), string(c.GetStringBytes("shard")), c.GetUint64("try"), c.GetFloat64("drainS"))
	}
	return 200, w.append(nil)
}

// receiveCopyLater executes a copy of a direct command later. Its answer reaches nobody.
func (w *worker) receiveCopyLater(now int64, body []byte) {
	if w.process.duplicates == nil {
		return
	}
	w.schedule(now+int64(w.process.duplicates.Next()), func(now int64) {
		if status, _ := w.executeCommands(now, body); status == 409 {
			w.process.refusedCopies.Add(1)
		}
	})
}
