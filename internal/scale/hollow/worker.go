package hollow

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/httpconn"
	"mapleslip/internal/scale/wire"
	"mapleslip/internal/strictjson"
	"mapleslip/internal/transport"
)

const (
	reportTimeout        = int64(4 * protocol.Second) // for the answer to a report
	controllerRetryDelay = int64(protocol.Second)     // before a report to the next controller
	changeReportDelay    = int64(protocol.Second / 2) // from a report until a report of changes
	// hangNoticeDivisor: a gang notices that the machine of one of its tasks hangs after
	// gang_peer_s divided by this number.
	hangNoticeDivisor = 4
)

// worker simulates the worker of one machine. mu guards its state.
type worker struct {
	process     *process
	machine     wire.Machine
	machineType *protocol.MachineType

	mu          sync.Mutex
	up, removed bool
	session     uint64
	tick        uint64
	epoch       uint64
	leaseStart  int64 // start of the session, or time at which the last answered report was sent

	tasks             []*task
	usedResources     protocol.Resources // of tasks that have not exited
	images            imageCache
	reportPrefix      string // constant beginning of the reports
	encodedTasks      []byte // tasks as encoded in reports
	encodedTasksStale bool   // the tasks have changed since they were encoded

	hangStart, hangEnd int64         // 0 if the machine doesn't hang
	deferred           []func(int64) // calls that wait for the end of the hang
	resumed            chan struct{} // closed when the hang ends or the machine is removed

	controller     int   // index of the controller that receives the reports
	lastReport     int64 // time of the last report
	nextReport     int64 // time of the next report if nothing changes
	earliestReport int64 // time before which no report is sent
	hasChanges     bool  // since the last report
	epochChangeAt  int64 // time at which a higher epoch last counted as a change
	inFlight       bool
	reportTimerAt  int64 // time of the first timer that checks whether a report is due
	sendReport     chan struct{}
	body           []byte
	rng            *rand.Rand

	server *httpconn.Server
	client *httpconn.Client
}

// start starts the worker. With spread the first report is due at a random time within a
// heartbeat interval.
func (w *worker) start(now int64, spread bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.removed || w.up {
		return nil
	}
	server, err := httpconn.Listen(w.machine.Listen, nil, w.handleRequest)
	if err != nil {
		return err
	}
	w.up, w.server = true, server
	w.session, w.leaseStart, w.nextReport = 1, now, now
	if spread { // workers that start together don't all report at once
		w.nextReport += w.rng.Int64N(int64(w.process.platform.HeartbeatInterval) + 1)
	}
	w.earliestReport = w.nextReport
	w.encodedTasksStale = true
	w.process.workersUp.Add(1)
	w.scheduleLeaseCheck()
	w.scheduleReport(now)
	go w.sendReports()
	return nil
}

// remove permanently removes a worker with all tasks on its machine.
func (w *worker) remove(now int64, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.removed {
		return
	}
	w.killTasks(now, why)
	w.removed = true
	if w.resumed != nil {
		close(w.resumed)
		w.resumed = nil
	}
	close(w.sendReport)
	w.client.Abort()
	if w.up {
		w.server.Close()
		w.process.workersUp.Add(-1)
	}
}

// killTasks removes all tasks from the machine and drops them from the reports.
func (w *worker) killTasks(now int64, why string) {
	for _, t := range w.tasks {
		t.leave(now, why, false)
		t.generation++
		t.state = protocol.TaskExited
	}
	clear(w.tasks)
	w.tasks = w.tasks[:0]
	w.markChanged(now)
}

// startSession kills all tasks and begins a new session.
func (w *worker) startSession(now int64, why string) {
	w.killTasks(now, why)
	w.session++
	w.leaseStart = now
	w.scheduleLeaseCheck()
}

// restart simulates a restart of the worker: its tasks, images and epoch are lost. The session
// number still increases, since controllers take a report with a lower number for an older one.
func (w *worker) restart(now int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.removed {
		return
	}
	w.startSession(now, "restarted")
	w.images.byName, w.images.fetches = make(map[string]*image), nil
	w.epoch = 0
	w.client.Close()
	w.server.Drop()
}

// hang suspends the machine until a time.
func (w *worker) hang(now, until int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.removed || until <= now {
		return
	}
	if w.hangEnd == 0 {
		w.hangStart, w.resumed = now, make(chan struct{})
	}
	w.hangEnd = max(w.hangEnd, until)
	w.process.timers.schedule(w.hangEnd, w.resume)
	if noticeDelay := int64(w.process.platform.GangPeerTimeout) / hangNoticeDivisor; until-now > noticeDelay {
		hangStart := w.hangStart
		w.process.timers.schedule(now+noticeDelay, func(now int64) { w.reportHang(now, hangStart) })
	}
}

// reportHang reports to the supervisor that the gangs with a task on this machine have noticed
// the hang that began at hangStart, if it lasts until now.
func (w *worker) reportHang(now, hangStart int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.removed || w.hangEnd == 0 || w.hangStart != hangStart {
		return
	}
	for _, t := range w.tasks {
		if t.entered && t.job.spec.Kind == protocol.Gang && (t.state == protocol.TaskRunning || t.state == protocol.TaskCheckpointing) {
			w.process.send(&wire.Message{Kind: wire.Peers, Task: t.name, Name: w.machine.Name, At: now})
		}
	}
}

// resume ends a hang and runs the deferred calls.
func (w *worker) resume(now int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.removed || w.hangEnd == 0 || now < w.hangEnd {
		return
	}
	for _, t := range w.tasks {
		t.extendRun(now - w.hangStart)
	}
	deferred, resumed := w.deferred, w.resumed
	w.hangStart, w.hangEnd, w.deferred, w.resumed = 0, 0, nil, nil
	for _, fn := range deferred {
		fn(now)
	}
	close(resumed)
	w.scheduleReport(now)
}

// schedule calls fn with the lock at a time. If the machine hangs then, the call is deferred until
// the hang ends.
func (w *worker) schedule(at int64, fn func(now int64)) {
	w.process.timers.schedule(at, func(now int64) { w.runLocked(now, fn) })
}

// runLocked calls fn with the lock. If the machine hangs, it defers the call until the hang ends.
func (w *worker) runLocked(now int64, fn func(now int64)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.removed:
	case w.hangEnd > 0:
		w.deferred = append(w.deferred, fn)
	default:
		fn(now)
	}
}

// scheduleLeaseCheck checks the lease at the time at which it may have expired. The lease also
// expires while the machine hangs.
func (w *worker) scheduleLeaseCheck() {
	session := w.session
	w.process.timers.schedule(w.leaseStart+int64(w.process.platform.WorkerLease)+1, func(now int64) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.removed || w.session != session {
			return
		}
		if now <= w.leaseStart+int64(w.process.platform.WorkerLease) {
			w.scheduleLeaseCheck()
			return
		}
		w.process.leaseExpiries.Add(1)
		w.startSession(now, "lease")
	})
}

// markChanged records that the next report contains changes, so that it is sent earlier.
func (w *worker) markChanged(now int64) {
	w.encodedTasksStale, w.hasChanges = true, true
	w.scheduleReport(now)
}

// reportDue returns the time at which the next report is due.
func (w *worker) reportDue() int64 {
	due := w.nextReport
	if w.hasChanges {
		due = min(due, w.lastReport+changeReportDelay)
	}
	return max(due, w.earliestReport)
}

// scheduleReport sets a timer for the next report unless an earlier one is set.
func (w *worker) scheduleReport(now int64) {
	if !w.up || w.removed || w.inFlight || w.hangEnd > 0 {
		return
	}
	due := w.reportDue()
	if w.reportTimerAt > now && w.reportTimerAt <= due {
		return
	}
	w.reportTimerAt = max(due, now)
	w.process.timers.schedule(w.reportTimerAt, func(now int64) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.removed || w.inFlight || w.hangEnd > 0 {
			return
		}
		if now < w.reportDue() {
			w.scheduleReport(now)
			return
		}
		w.inFlight = true
		w.sendReport <- struct{}{} // doesn't block, since only one report is in flight
	})
}

// sendReports sends a report for each signal of sendReport until that is closed. Now and then a copy
// of the report before arrives first.
func (w *worker) sendReports() {
	var earlier []byte
	perCopy := w.process.config.ReportsPerCopy
	sent := 0
	for range w.sendReport {
		if perCopy > 0 && sent > 0 && sent%perCopy == 0 {
			w.sendCopy(earlier)
		}
		if !w.sendNextReport() {
			return
		}
		sent++
		earlier = append(earlier[:0], w.body...)
	}
}

// sendNextReport sends a report and handles the answer. It returns false if the machine was removed.
func (w *worker) sendNextReport() bool {
	addr, sent, session := w.composeReport()
	if addr == "" {
		return false
	}
	r, err := w.post(addr, w.body)
	w.handleReportResult(sent, session, r, err)
	return true
}

// sendCopy sends a copy of an earlier report. Its answer has no effect.
func (w *worker) sendCopy(body []byte) {
	w.mu.Lock()
	addr := w.process.config.Controllers[w.controller].Public[w.machine.Region]
	w.mu.Unlock()
	if _, err := w.post(addr, body); err != nil {
		w.client.Close()
	}
}

func (w *worker) post(addr string, body []byte) (*transport.Response, error) {
	return w.client.Post(addr, "/hello", body, time.Now().Add(time.Duration(reportTimeout)*time.Microsecond))
}

// composeReport writes the next report and returns the address of the controller that receives
// it. The address is empty if the machine was removed.
func (w *worker) composeReport() (addr string, sent int64, session uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.removed {
		return "", 0, 0
	}
	sent = w.process.now()
	w.lastReport, w.hasChanges, w.reportTimerAt = sent, false, 0
	interval := int64(w.process.platform.HeartbeatInterval)
	w.nextReport = sent + interval*3/4 + w.rng.Int64N(interval/2+1)
	w.earliestReport = 0
	w.body = w.append(w.body[:0])
	return w.process.config.Controllers[w.controller].Public[w.machine.Region], sent, w.session
}

// handleReportResult handles the answer to a report, or the error instead of one.
func (w *worker) handleReportResult(sent int64, session uint64, r *transport.Response, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitWhileHung()
	if w.removed {
		return
	}
	now := w.process.now()
	w.inFlight = false
	if err == nil && now-sent > reportTimeout {
		err = errors.New("too late")
		w.client.Close()
	}
	w.process.recordReport(now-sent, err != nil || r.Status != 200 && r.Status != 421)
	if err != nil {
		w.selectNextController(now)
	} else {
		w.handleAnswer(now, sent, session, r)
	}
	w.scheduleReport(now)
}

// waitWhileHung waits until the machine doesn't hang. It releases the lock while it waits.
func (w *worker) waitWhileHung() {
	for w.hangEnd > 0 && !w.removed {
		resumed := w.resumed
		w.mu.Unlock()
		<-resumed
		w.mu.Lock()
	}
}

// selectNextController makes the next controller receive the reports, after a delay.
func (w *worker) selectNextController(now int64) {
	w.controller = (w.controller + 1) % len(w.process.config.Controllers)
	w.nextReport = now + controllerRetryDelay
	w.earliestReport = w.nextReport
}

// handleAnswer handles the answer to a report.
func (w *worker) handleAnswer(now, sent int64, session uint64, r *transport.Response) {
	if err := strictjson.CheckReportAnswer(r.Status, r.Body); err != nil {
		w.process.malformed("answer to a report", err)
	}
	if r.Status != 200 && r.Status != 421 {
		w.selectNextController(now)
		return
	}
	parser := protocol.Parsers.Get()
	defer protocol.Parsers.Put(parser)
	v, err := parser.ParseBytes(r.Body)
	if err != nil {
		w.selectNextController(now)
		return
	}
	if r.Status == 421 {
		w.process.redirects.Add(1)
		leader := string(v.GetStringBytes("leader"))
		for i, c := range w.process.config.Controllers {
			if c.Name == leader && i != w.controller {
				w.client.Close()
				w.controller = i
				w.nextReport = now + w.rng.Int64N(int64(protocol.Second/2))
				w.earliestReport = w.nextReport
				return
			}
		}
		w.selectNextController(now)
		return
	}
	if epoch := v.GetUint64("epoch"); epoch == 0 || epoch < w.epoch || session != w.session {
		w.process.droppedAnswers.Add(1)
		return
	} else if epoch > w.epoch {
		w.raiseEpoch(now, epoch)
	}
	w.leaseStart = sent
	for _, c := range v.GetArray("orders") {
		w.execute(now, string(c.GetStringBytes("verb")), string(c.GetStringBytes("shard")), c.GetUint64("try"), c.GetFloat64("drainS"))
	}
}

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

// append appends a report to b. It encodes the tasks again only if they have changed.
func (w *worker) append(b []byte) []byte {
	w.tick++
	if w.encodedTasksStale {
		w.encodedTasksStale = false
		w.encodedTasks = appendTasks(w.encodedTasks[:0], w.tasks)
	}
	b = append(b, w.reportPrefix...)
	b = strconv.AppendUint(b, w.session, 10)
	b = strconv.AppendUint(append(b, `,"tick":`...), w.tick, 10)
	b = strconv.AppendUint(append(b, `,"epoch":`...), w.epoch, 10)
	b = append(b, `,"reclaimInS":null,"shards":[`...)
	b = append(b, w.encodedTasks...)
	return append(b, "]}"...)
}

// encodeReportPrefix returns the constant beginning of the reports of a machine.
func encodeReportPrefix(m *wire.Machine) string {
	b := protocol.AppendQuoted([]byte(`{"host":`), m.Name)
	b = protocol.AppendQuoted(append(b, `,"addr":`...), m.Public)
	b = protocol.AppendQuoted(append(b, `,"flavor":`...), m.Type)
	b = protocol.AppendQuoted(append(b, `,"region":`...), m.Zone)
	b = strconv.AppendBool(append(b, `,"reclaimable":`...), m.Spot)
	return string(append(b, `,"tenure":`...))
}

var stateNames = [...]string{protocol.TaskFetching: "fetching", protocol.TaskWaiting: "waiting", protocol.TaskRunning: "running", protocol.TaskCheckpointing: "saving", protocol.TaskExited: "exited"}

func appendTasks(b []byte, tasks []*task) []byte {
	for i, t := range tasks {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(append(b, `{"shard":"`...), t.ref...), '/')
		b = strconv.AppendInt(b, int64(t.index), 10)
		b = strconv.AppendUint(append(b, `","try":`...), t.attempt, 10)
		b = append(append(append(b, `,"phase":"`...), stateNames[t.state]...), '"')
		if t.state == protocol.TaskExited {
			b = append(append(append(b, `,"exitReason":"`...), t.reason...), '"')
			if t.saved {
				b = append(b, `,"saved":true`...)
			}
		}
		b = append(b, '}')
	}
	return b
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
