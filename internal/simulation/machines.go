package simulation

import (
	"sort"

	"mapleslip/internal/protocol"
)

// machine is a rented machine with its worker.
type machine struct {
	name, typ, zone    string
	spot               bool
	rentedAt, bootEnds micros
	phase              string          // booting, running, failed, or gone once released
	answersLost        bool            // answers to its heartbeats and to direct commands are lost
	leaseRenewed       bool            // a controller outside the simulation renews the worker's lease
	hung               bool            // the worker does nothing; direct commands wait until it resumes
	inboundCut         bool            // heartbeats arrive; answers to them and direct commands are lost
	outboundCut        bool            // the worker can't connect to controllers; direct commands reach it
	failsTasks         bool            // every task on the machine fails
	unreachableNodes   map[string]bool // controllers that can't exchange messages with the worker
	holdReports        bool            // heartbeats are held on the way
	heldReports        []func()
	holdCalls          bool     // direct commands are held on the way
	heldCalls          []func() // direct commands that are delivered later
	nodeIndex          int      // controller that gets the next heartbeat
	session, reportSeq uint64
	epoch              uint64
	leaseStart         micros
	inFlight           bool // a heartbeat has been sent and is neither answered nor timed out
	nextReport         micros
	stateChanged       bool              // the next heartbeat is due early
	images             map[string]micros // time from which each image is on the machine
	tasks              map[string]*runningTask
	sortedTasks        []*runningTask // tasks, sorted by key; nil if they have to be sorted again
}

// runningTask is an attempt to run a task on a machine.
type runningTask struct {
	job               *userJob
	index             int
	attempt           uint64
	state, exitReason string
	checkpointed      bool
	imageReady, ends  micros
	started           micros
	onMachine         bool // the task occupies the machine: it has started and not exited
}

// sorted returns the tasks of a machine, sorted by key.
func (m *machine) sorted() []*runningTask {
	if len(m.sortedTasks) == len(m.tasks) {
		return m.sortedTasks
	}
	keys := make([]string, 0, len(m.tasks))
	for k := range m.tasks {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	list := make([]*runningTask, len(keys))
	for i, k := range keys {
		list[i] = m.tasks[k]
	}
	m.sortedTasks = list
	return list
}

func (w *World) typeOf(m *machine) *protocol.MachineType {
	for _, t := range w.Types {
		if t.Name == m.typ {
			return t
		}
	}
	return nil
}

// workerAddr returns the address of a machine's worker.
func (w *World) workerAddr(m *machine) string {
	if w.live != nil {
		return w.live.ipOf(m) + ":9000"
	}
	return m.name + ":9000"
}

// nodeNames lists the controllers that workers are configured with.
func (w *World) nodeNames() []string {
	if w.live != nil {
		return w.live.names
	}
	names := make([]string, len(w.nodes))
	for i, n := range w.nodes {
		names[i] = n.name
	}
	return names
}

// tickMachine advances a machine to the current time: it finishes booting, its worker drops all
// tasks once the lease has expired, the tasks proceed, and a heartbeat is sent if one is due.
func (w *World) tickMachine(m *machine) {
	if m.phase == "booting" && m.bootEnds <= w.now {
		m.phase, m.session, m.leaseStart = "running", 1, w.now
	}
	if m.phase != "running" {
		return
	}
	lease := w.Platform.WorkerLease
	if m.leaseRenewed {
		m.leaseStart = w.now
	}
	if w.now > m.leaseStart+lease { // also a machine that hangs loses its tasks
		w.endSession(m)
	}
	if m.hung {
		return
	}
	for _, t := range m.sorted() {
		w.tickTask(m, t)
	}
	if !m.inFlight && (w.now >= m.nextReport || m.stateChanged && w.now >= m.nextReport-w.Platform.HeartbeatInterval+protocol.Second/2) {
		w.sendReport(m)
	}
}

// endSession ends a worker's session: it kills and forgets all its tasks and begins the next one.
func (w *World) endSession(m *machine) {
	for _, t := range m.sorted() {
		w.taskStopped(m, t)
	}
	m.tasks, m.sortedTasks = map[string]*runningTask{}, nil
	m.session++
	m.reportSeq = 0
	m.leaseStart = w.now
}
