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

// World is a whole deployment in simulated time: nothing in it depends on the
// clock or on luck.
type World struct {
	Platform protocol.Platform
	Operator protocol.OperatorSettings
	Types    []*protocol.MachineType
	Log      []string // what happened, for people
	Broken   []string // rules that were broken
	Logger   *slog.Logger

	now            micros
	seq            int
	events         eventHeap
	nodes          []*node
	store          *store
	machines       map[string]*machine
	byName         []*machine // in order, nil: to be made anew
	jobs           map[string]*userJob
	claims         map[string]string
	cloudDown      bool
	cloudSlow      micros // how much later the cloud answers rental requests
	stateSlow      micros // how much later the state service answers
	endsLoading    int    // nodes that are to end in a role, Loading if nothing else was said
	endsRole       controller.Role
	endsAfter      micros         // how long after they came into it
	endsBack       micros         // how long after that they are there again, 0: not by themselves
	endedLoading   int            // that did
	copies         micros         // how long after a request was carried out a copy of it comes, 0: never
	boots          float64        // boot times are so many times as long, 0: machines never come up
	listLag        micros         // machines younger than that are not listed
	inVain         int            // questions of a storm that got neither 200 nor 404
	cutZones       []string       // are cut off together from everything outside; inside, all goes on
	mail           []func()       // messages held at the cut, in order
	quiet          bool           // no log is kept
	limited        bool           // calls are metered as the program does, and the limits are held
	peerCalls      int            // to other controllers that a node may have on their way, 0: any number
	capacity       map[string]int // machines that the cloud still has, by kind; nil: any number
	questions      int            // direct calls to workers that carry no command
	written, asked int            // when a trace began to count
	leaders, led   int            // how often a node came to lead, and when a trace began to count
	backlog        int            // events that wait at every node
	noCapacity     bool
	removed        int
	rented         int
	started        int
	poller         int
	userNode       *node // where users' requests go, nil: to one after another
	nextConn       uint64
	answers        map[uint64]func(int, []byte)

	troubles
	endsOn      endsOn
	lateWrites  lateness // transactions that get no answer and are carried out later
	lateReports lateness // copies of workers' reports that arrive again
	sticks      bool     // users keep to a node for as long as the balancer has it
	unanswered  micros   // the longest time for which no question about one job was answered
	looks       closeLooks
	lateAnswers []lateAnswers // of the state service
	whenChanged []whenChanged
	// cancelLongest is the longest that a user of cancel-at waited for the answer.
	cancelLongest micros
	lost          lostAnswers
	recorded      recordedPages
	oldReports    oldReports

	described  map[string]*userJob        // jobs that no user of the trace submitted, by the state service
	behaviours map[string]behaviour       // of services, by image
	rollouts   *rollout.Settings          // nil: they are off
	rolloutBy  map[string][]byte          // the last answer about a service's roll-out
	versions   versions                   // of controllers, side by side
	changes    *changes                   // of the configuration, nil: they are off
	live       *Live                      // real connections, nil: all is simulated
	stepped    func(*node, time.Duration) // what a controller's step took, for measurements
	digest     *effectDigest              // of what the controllers emit, nil: none is kept
}

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

// Push is part of heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop is part of heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// NewWorld makes a deployment of n controllers.
func NewWorld(n int) *World {
	w := &World{
		Operator: protocol.DefaultOperatorSettings(), machines: make(map[string]*machine), jobs: make(map[string]*userJob),
		claims: make(map[string]string), answers: make(map[uint64]func(int, []byte)),
		described: make(map[string]*userJob), behaviours: make(map[string]behaviour), rolloutBy: make(map[string][]byte),
		looks: closeLooks{jobs: make(map[string]*told)}, boots: 1, endsRole: controller.RoleRecovering,
	}
	w.Logger = slog.New(alarm{slog.NewTextHandler(io.Discard, nil), w})
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

func (w *World) note(format string, args ...any) {
	if w.quiet {
		return
	}
	w.Log = append(w.Log, fmt.Sprintf("%8.2f ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

func (w *World) broken(format string, args ...any) {
	w.note("BROKEN "+format, args...)
	w.Broken = append(w.Broken, fmt.Sprintf("%.2f: ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

func (w *World) after(d micros, fn func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, fn})
}

// delay is how long a message travels; it differs from message to message,
// the same way in every run.
func (w *World) delay() micros { return micros(2000 + (w.seq*37)%1500) }

// Start brings all controllers up.
func (w *World) Start() {
	for _, n := range w.nodes {
		w.startNode(n)
	}
	var beat func()
	beat = func() {
		w.store.tick()
		for _, m := range w.sortedMachines() {
			w.tickMachine(m)
		}
		w.checkCancelled()
		w.after(50*protocol.Millisecond, beat)
	}
	beat()
	var poll func()
	poll = func() {
		w.balance()
		w.poll()
		w.watchWaiting()
		w.beOdd()
		w.after(protocol.Second, poll)
	}
	poll()
}

// Run lets time pass until the given instant.
func (w *World) Run(until micros) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.fn()
	}
	w.now = until
}
