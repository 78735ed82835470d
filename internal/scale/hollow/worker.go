package hollow

import (
	"math/rand/v2"
	"sync"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/httpconn"
	"mapleslip/internal/scale/wire"
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
