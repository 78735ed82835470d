package simulation

import (
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"time"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
)

// World is a whole deployment in simulated time. It is deterministic: nothing in it depends on
// the system clock or on unseeded random numbers.
type World struct {
	Platform protocol.Platform
	Operator protocol.OperatorSettings
	Types    []*protocol.MachineType
	Log      []string // events, as lines that people read
	Broken   []string // violations of the protocol's rules
	Logger   *slog.Logger

	now          micros
	seq          int
	events       eventHeap
	nodes        []*node
	store        *store
	machines     map[string]*machine
	sortedByName []*machine // machines, sorted by name; nil if it has to be built again
	jobs         map[string]*userJob
	claims       map[string]string
	cloudDown    bool
	cloudDelay   micros // additional delay of the cloud's answers to rental requests
	stateDelay   micros // additional delay of the state service's answers

	// nodeEndsLeft is the number of nodes that still have to end after entering the role
	// nodeEndsRole, which is RoleRecovering by default.
	nodeEndsLeft      int
	nodeEndsRole      controller.Role
	nodeEndsDelay     micros   // time from entering the role to the end
	nodeEndsRestart   micros   // time from the end to the restart, 0 for no automatic restart
	nodesEnded        int      // number of nodes that ended in this way
	copies            copies   // copies of messages that were delivered
	bootFactor        float64  // factor on boot times; 0 if machines never finish booting
	listLag           micros   // age below which the cloud doesn't list a machine
	lastAnswer        string   // status and phase of the answer to the last query-at
	unansweredQueries int      // queries of query bursts that got neither 200 nor 404
	cutZones          []string // zones cut off from all others, but not from each other
	heldMessages      []func() // messages held at the boundary of cutZones, in order
	quiet             bool     // Log is not written
	// limited: controllers meter their calls as the program does, and the state service enforces
	// its rate of changes.
	limited                           bool
	maxPeerCalls                      int            // calls in flight from a node to other controllers, 0 for any number
	capacity                          map[string]int // machines that the cloud has left, by kind; nil for any number
	emptyCalls                        int            // direct calls to workers that carry no command
	writtenAtCount, emptyCallsAtCount int            // store.written and emptyCalls when the trace began to count
	leaders, leadersAtCount           int            // how often a node became leader, and that when counting began
	backlog                           int            // waiting events that every tick reports to its node
	noCapacity                        bool
	largestReport                     int // bytes of the largest heartbeat
	released                          int
	rented                            int
	started                           int
	submissions                       int   // submissions sent, see submission
	nodeCursor                        int   // position in the round-robin choice of nodes for users' requests
	userNode                          *node // node that gets all users' requests, nil for round-robin
	nextConn                          uint64
	answers                           map[uint64]func(int, []byte)

	faults
	endsOn      endsOn
	lateWrites  lateness         // transactions that get no answer and are carried out later
	lateReports lateness         // workers' heartbeats of which a copy arrives later
	stickyUsers bool             // users keep their connection to a node, see nodeForUser
	unanswered  micros           // longest time for which no query about one job was answered
	comparison  answerComparison // states reported to users, and settings of the follow-up requests
	lateAnswers []lateAnswers    // requests that the state service carries out at once and answers late
	whenChanged []whenChanged    // lines of the trace that run once a key has changed
	// cancelLongest is the longest time that a user of cancel-at waited for the answer.
	cancelLongest micros
	lost          lostAnswers
	recorded      recordedPages
	oldReports    oldReports

	described  map[string]*userJob        // jobs from the state service that no user submitted
	behaviours map[string]behaviour       // behaviour of services, by image
	rollouts   *rollout.Settings          // nil if roll-outs are off
	rolloutBy  map[string][]byte          // last answer about a service's roll-out, by service
	versions   versions                   // versions of the controllers that run side by side
	changes    *changes                   // checks of configuration changes, nil if these are off
	live       *Live                      // real connections, nil if all is simulated
	stepped    func(*node, time.Duration) // gets each step's duration, for measurements
	digest     *effectDigest              // digest of the controllers' effects, nil for none
}

// event is a function that runs at a time. Events at the same time run in the order of their seq.
type event struct {
	at  micros
	seq int
	fn  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].seq < h[b].seq
}

func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// NewWorld returns a deployment of n controllers, which Start starts.
func NewWorld(n int) *World {
	w := &World{
		Operator: protocol.DefaultOperatorSettings(), machines: make(map[string]*machine), jobs: make(map[string]*userJob),
		claims: make(map[string]string), answers: make(map[uint64]func(int, []byte)),
		described: make(map[string]*userJob), behaviours: make(map[string]behaviour), rolloutBy: make(map[string][]byte),
		comparison: answerComparison{jobs: make(map[string]*reportedState)}, bootFactor: 1, nodeEndsRole: controller.RoleRecovering,
	}
	w.Logger = slog.New(logChecker{slog.NewTextHandler(io.Discard, nil), w})
	w.Platform = protocol.Platform{
		Zones: []string{"a", "b", "c"}, Teams: map[string]protocol.Team{},
		HeartbeatInterval: 3 * protocol.Second, WorkerLease: 20 * protocol.Second, GangWaitTimeout: 40 * protocol.Second, GangPeerTimeout: 6 * protocol.Second,
		CancelTimeout: 50 * protocol.Second, StateRequestRate: 200, StateWriteRate: 50, MaxValueBytes: 8192, MaxTxnChanges: 12, CloudRate: 5,
		MachineListLag: 3 * protocol.Second, CPUShare: 1, MemoryBytes: 1 << 28, MaxConnections: 1000,
	}
	w.Operator.IdleScaleInDelay = 60 * protocol.Second
	w.store = newStore(w)
	w.recorded.init()
	w.nodes = make([]*node, 0, n)
	for i := 0; i < n; i++ {
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("node-%d", i), seed: uint64(i + 1)})
	}
	return w
}

// note adds a line to Log, unless quiet is set.
func (w *World) note(format string, args ...any) {
	if w.quiet {
		return
	}
	w.Log = append(w.Log, fmt.Sprintf("%8.2f ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

// reportViolation reports a violation of a rule of the protocol.
func (w *World) reportViolation(format string, args ...any) {
	w.note("BROKEN "+format, args...)
	w.Broken = append(w.Broken, fmt.Sprintf("%.2f: ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

// after schedules fn to run when the time d has passed.
func (w *World) after(d micros, fn func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, fn})
}

// delay returns the transit time of the next message, from 2.0 to 3.5 ms. It varies with the
// number of events scheduled so far, so it is the same in every run.
func (w *World) delay() micros { return micros(2000 + (w.seq*37)%1500) }

// Start starts all controllers, the 50 ms tick of the state service and the machines, and the
// users' requests once a second.
func (w *World) Start() {
	for _, n := range w.nodes {
		w.startNode(n)
	}
	var tick func()
	tick = func() {
		w.store.tick()
		for _, m := range w.sortedMachines() {
			w.tickMachine(m)
		}
		w.checkCancelled()
		w.after(50*protocol.Millisecond, tick)
	}
	tick()
	var poll func()
	poll = func() {
		w.checkNodeHealth()
		w.pollJobs()
		w.watchWaiting()
		w.sendOddRequests()
		w.sendCostlyBody()
		w.after(protocol.Second, poll)
	}
	poll()
}

// Run carries out all events up to the given time, in order, and sets the clock to that time.
func (w *World) Run(until micros) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.fn()
	}
	w.now = until
}
