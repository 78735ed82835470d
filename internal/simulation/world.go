package simulation

import (
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/transport"
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
	sticky         *node // where users' requests go, nil: to one after another
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

// node is one controller.
type node struct {
	name  string
	zone  string
	alive bool
	cut   bool // from everything
	// deaf: it and the workers can't reach each other.
	deaf bool
	// denied: the state service answers this node alone with 503.
	denied bool
	// unlinked: it and the other controllers can't reach each other.
	unlinked bool
	// frozen: it does nothing, and what comes waits until it goes on.
	frozen  bool
	waiting []controller.Event
	// away: it hears neither the state service nor the other controllers; workers and
	// users it does. What was sent is held until it is back.
	away bool
	held []func()
	balanced
	generation
	born  micros
	life  int
	calls int              // to other controllers, on their way
	meter *transport.Meter // of its calls to the state service
	ctl   *controller.Controller
	seed  uint64
}

// userJob is what a job's user knows and expects.
type userJob struct {
	spec          *protocol.JobSpec
	body          []byte
	run           micros
	fails         bool
	tries         int // launches of its tasks that a machine took
	results       []bool
	accepted      bool
	status        int // of the last submission
	phase         string
	done, running int
	asked         bool // to cancel
	askedAt       micros
	toldDone      bool
	toldAt        micros // when it was first told that the job is over
	toldCancelled micros
	via           *node  // where its user's connection is, see sticks
	answeredAt    micros // when a question about it was last answered
	waiting       waitBeside
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

func (w *World) startNode(n *node) {
	if n.alive {
		return
	}
	n.alive, n.born, n.calls = true, w.now, 0
	n.life++
	n.seed += 100
	p := w.Platform
	p.ControllerName, p.Zone = n.name, n.zone
	p.Peers = nil
	for _, o := range w.nodes {
		if o != n {
			p.Peers = append(p.Peers, protocol.Peer{Name: o.name, Zone: o.zone, Address: o.name})
		}
	}
	n.meter = transport.NewMeter(p.StateRequestRate, p.StateWriteRate, 1, p.MaxTxnChanges)
	w.share(n, false)
	n.ctl = controller.New(&p, w.Operator, n.seed, w.Logger.With("node", n.name))
	w.configure(n)
	if w.rollouts != nil {
		n.ctl.EnableRollouts(*w.rollouts)
	}
	if w.changes != nil {
		n.ctl.EnableConfiguration(w.changes.options)
		w.changes.level[n.name] = ""
	}
	life := n.life
	w.perform(n, n.ctl.Start(w.timeOf(n)))
	var tick func()
	tick = func() {
		if n.alive && n.life == life {
			w.step(n, controller.Tick{Backlog: w.backlog})
			n.meter.Run(w.now)
			w.after(50*protocol.Millisecond, tick)
		}
	}
	tick()
}

// end ends a node; it is there again after a while, 0: when the trace says so. What it
// has sent is still on its way.
func (w *World) end(n *node, back micros) {
	n.alive, n.frozen, n.waiting = false, false, nil
	if life := n.life; back > 0 {
		w.after(back, func() {
			if n.life == life {
				w.startNode(n)
			}
		})
	}
}

// share sets the parts of the state service's rates that a node keeps to.
func (w *World) share(n *node, leads bool) {
	nodes := len(w.nodes)
	n.meter.SetShare(controller.ReadShare(nodes, leads), controller.WriteShare(nodes, leads), controller.LargestChange(w.Platform.MaxTxnChanges, leads))
}

func (w *World) timeOf(n *node) protocol.Now {
	return protocol.Now{Steady: w.now - n.born + protocol.Second, Wall: w.now + 1_700_000_000*protocol.Second}
}

func (w *World) step(n *node, ev controller.Event) {
	if n.frozen {
		if _, tick := ev.(controller.Tick); !tick {
			n.waiting = append(n.waiting, ev)
		}
		return
	}
	was := n.ctl.Role()
	defer func() {
		w.decides(n)
		if role := n.ctl.Role(); role != was {
			w.roleChanged(role)
			if n.alive {
				w.roleBegins(role.String())
			}
		}
		w.checkVersion(n)
		if was == controller.RoleRecovering && n.alive && n.ctl.Role() == controller.RoleLeader {
			w.leaders++
			w.note("%s leads", n.name)
		}
	}()
	if w.stepped == nil {
		w.perform(n, n.ctl.Step(w.timeOf(n), ev))
	} else {
		began := time.Now()
		effects := n.ctl.Step(w.timeOf(n), ev)
		w.stepped(n, time.Since(began))
		w.perform(n, effects)
	}
	if role := w.endsRole; w.endsLoading > 0 && was != role && n.ctl.Role() == role {
		w.endsLoading--
		life := n.life
		w.after(w.endsAfter, func() {
			if n.life == life && n.alive && n.ctl.Role() == role {
				w.note("%s ends while it is %s", n.name, role)
				w.end(n, w.endsBack)
				w.endedLoading++
			}
		})
	}
}

// thaw lets a frozen node go on with what came meanwhile.
func (w *World) thaw(n *node) {
	n.frozen = false
	waiting := n.waiting
	n.waiting = nil
	for _, ev := range waiting {
		w.step(n, ev)
	}
}

func (w *World) perform(n *node, effects []controller.Effect) {
	for _, e := range effects {
		w.digest.add(w.now, n.name, e)
		switch e := e.(type) {
		case controller.Reply:
			fn := w.answers[e.To.Conn]
			delete(w.answers, e.To.Conn)
			if fn != nil && e.Frame {
				frame, _, _ := protocol.SplitPeer(e.Body)
				fn(-1, frame)
			} else if fn != nil {
				fn(e.Status, e.Body)
			}
		case controller.RateShare:
			w.share(n, e.Leads)
		case controller.WriteRate:
			n.meter.SetWrites(e.PerSecond, e.Lowered)
		case controller.SetLogLevel:
			w.changes.level[n.name] = e.Level
		case controller.Call:
			if w.limited && e.Target == controller.ToState {
				n.meter.Add(transport.Metered{
					Priority: transport.Priority(e.Priority), Changes: e.Changes, Expires: w.now + e.Timeout,
					Send: func() { w.call(n, e) }, Expire: func() { w.step(n, controller.CallResult{ID: e.ID, NotSent: true}) },
				})
				n.meter.Run(w.now)
				continue
			}
			w.call(n, e)
		}
	}
}

// userPatience is how long users wait for an answer.
var userPatience = map[string]micros{"submit": 5 * protocol.Second, "query": 2 * protocol.Second, "cancel": 5 * protocol.Second}

// request hands a request to a controller. Status 0: no answer came in time.
func (w *World) request(n *node, what, body string, answer func(int, []byte)) {
	answer = w.compared(n, what, body, answer)
	w.nextConn++
	conn := w.nextConn
	w.answers[conn] = answer
	if patience := userPatience[what]; patience > 0 && w.live == nil {
		w.after(patience, func() {
			if _, waits := w.answers[conn]; waits {
				delete(w.answers, conn) // what comes later is dropped
				answer(0, nil)
			}
		})
	}
	to := controller.ReplyAddress{Conn: conn}
	switch what {
	case "hello":
		w.step(n, controller.WorkerHeartbeat{Reply: to, Body: []byte(body)})
	case "submit":
		w.step(n, controller.UserRequest{Reply: to, Op: protocol.OpSubmit, Body: []byte(body)})
	case "query":
		w.step(n, controller.UserRequest{Reply: to, Op: protocol.OpQuery, Ref: body})
	case "health":
		w.step(n, controller.HealthzRequest{Reply: to})
	case "cancel":
		w.step(n, controller.UserRequest{Reply: to, Op: protocol.OpCancel, Ref: body})
	case "rollout":
		w.step(n, controller.UserRequest{Reply: to, Op: protocol.OpRollout, Body: []byte(body)})
	default: // about the roll-out of a service
		w.step(n, controller.UserRequest{Reply: to, Op: rolloutOps[what], Ref: body})
	}
}

// cross carries a message between zones ("": outside of all), or holds it.
func (w *World) cross(a, b string, deliver func()) {
	if slices.Contains(w.cutZones, a) != slices.Contains(w.cutZones, b) {
		w.mail = append(w.mail, deliver)
		return
	}
	deliver()
}

// heal ends the cut; what was held is delivered.
func (w *World) heal() {
	w.cutZones = nil
	mail := w.mail
	w.mail = nil
	for _, deliver := range mail {
		w.after(w.delay(), deliver)
	}
}

// call carries an outbound call of a controller.
func (w *World) call(n *node, c controller.Call) {
	w.checkSends(n, c)
	if c.Target == controller.ToWorker {
		if m := w.machines[strings.TrimSuffix(c.Addr, ":9000")]; m != nil {
			w.sends(m, c.Body)
		}
	}
	if w.changes != nil && c.Target == controller.ToCloud && c.Path == "/machines" && c.Method == "POST" {
		w.rents(c.Body)
	}
	if c.Target == controller.ToWorker && strings.Contains(string(c.Body), `"orders":[]`) {
		w.questions++
	}
	w.said(n, c)
	life, answered := n.life, false
	finish := func(d controller.CallResult) {
		if !answered && n.alive && n.life == life {
			answered = true
			d.ID = c.ID
			w.step(n, d)
		}
	}
	backFrom := func(zone string) func(int, string) {
		return func(status int, body string) {
			w.after(w.delay(), func() {
				w.cross(zone, n.zone, func() {
					if !n.cut {
						finish(controller.CallResult{Status: status, Body: []byte(body)})
					}
				})
			})
		}
	}
	if c.Target == controller.ToPeer && w.peerCalls > 0 {
		if n.calls >= w.peerCalls {
			w.after(0, func() { finish(controller.CallResult{NotSent: true}) })
			return
		}
		n.calls++
		inner := finish
		finish = func(d controller.CallResult) {
			if !answered && n.life == life {
				n.calls--
			}
			inner(d)
		}
	}
	w.after(c.Timeout, func() { finish(controller.CallResult{}) })
	if n.cut {
		return
	}
	if w.copies > 0 && c.Method != "GET" {
		// A copy of it comes late, whatever became of who sent it, and changes nothing
		// that was said since. Of commands to workers that holds for empty ones only:
		// the protocol has a worker begin anew what it was told to forget.
		late := func() { w.copyOf(c) }
		if c.Target != controller.ToWorker || strings.Contains(string(c.Body), `"orders":[]`) {
			w.after(w.copies, late)
		}
	}
	w.after(w.delay(), func() {
		switch c.Target {
		case controller.ToState:
			if n.away {
				n.held = append(n.held, func() { w.store.serve(c.Method, c.Path, c.Body, func(int, string) {}) })
				return
			}
			if n.denied {
				backFrom("")(503, `{"error":"trouble"}`)
				return
			}
			if late, by := w.lateWrites.next(c.Path == "/commit", string(c.Body)); late {
				if w.lateWrites.atOnce {
					by = 0
				}
				w.note("a transaction of %s is held up", n.name)
				w.after(by, func() {
					w.cross(n.zone, "", func() { w.store.serveCopy(c.Method, c.Path, c.Body) })
				})
				return
			}
			w.cross(n.zone, "", func() {
				answeredLater := w.answeredLater(c.Path, c.Body)
				w.store.serve(c.Method, c.Path, c.Body, func(status int, body string) {
					back := func() { backFrom("")(status, body) }
					if w.losesAnswer(n, c, status, back) {
						return
					}
					switch {
					case answeredLater > 0:
						w.after(answeredLater, back)
					case n.away: // an open watch, for one
						n.held = append(n.held, back)
					case w.stateSlow == 0:
						back()
					default:
						w.after(w.stateSlow, back)
					}
				})
			})
		case controller.ToCloud:
			w.cross(n.zone, "", func() {
				status, body := w.serveCloud(c.Method, c.Path, c.Body)
				slow := micros(0)
				if c.Path == "/machines" {
					slow = w.cloudSlow
				}
				w.after(slow, func() { backFrom("")(status, body) })
			})
		case controller.ToPeer:
			for _, o := range w.nodes {
				if o.name != c.Addr || n.unlinked || o.unlinked {
					continue
				}
				apart(n, o, func() {
					w.cross(n.zone, o.zone, func() {
						w.carryPeer(o, c, func(status int, body string) {
							apart(n, o, func() { backFrom(o.zone)(status, body) })
						}, finish)
					})
				})
			}
		case controller.ToInstance:
			w.checkInstance(n, c, backFrom)
		case controller.ToWorker:
			if m := w.machines[strings.TrimSuffix(c.Addr, ":9000")]; m != nil && !n.deaf && !m.deaf && !m.apart[n.name] && !w.holdCommand(n, m, c) {
				w.cross(n.zone, m.zone, func() { w.callWorker(m, c, backFrom(m.zone)) })
			}
		}
	})
}

// copyOf delivers a call once more. Nobody waits for the answer.
func (w *World) copyOf(c controller.Call) {
	nobody := func(int, string) {}
	switch c.Target {
	case controller.ToState:
		w.store.serveCopy(c.Method, c.Path, c.Body)
	case controller.ToCloud:
		w.serveCloud(c.Method, c.Path, c.Body)
	case controller.ToPeer:
		for _, o := range w.nodes {
			if o.name == c.Addr && o.alive {
				w.carryPeer(o, c, nobody, func(controller.CallResult) {})
			}
		}
	case controller.ToWorker:
		if m := w.machines[strings.TrimSuffix(c.Addr, ":9000")]; m != nil {
			w.callWorker(m, c, nobody)
		}
	case controller.ToInstance:
	}
}

func (w *World) carryPeer(o *node, c controller.Call, back func(int, string), finish func(controller.CallResult)) {
	if !o.alive {
		finish(controller.CallResult{NotSent: true, ConnectionRefused: true})
		return
	}
	if o.cut {
		return
	}
	frame, _, err := protocol.SplitPeer(c.Body)
	if err != nil {
		w.broken("malformed frame: %v", err)
		return
	}
	msg, err := protocol.ParsePeer(frame)
	if err != nil {
		w.broken("malformed frame: %v", err)
		return
	}
	w.nextConn++
	w.answers[w.nextConn] = func(status int, body []byte) {
		if status < 0 { // a whole frame
			back(200, string(body))
			return
		}
		if m := w.machines[fastjson.GetString(msg.Body, "host")]; msg.Kind == protocol.PeerHeartbeat && m != nil {
			w.sends(m, body)
		}
		out := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerResponse, Status: uint16(status), Body: body})
		frame, _, _ := protocol.SplitPeer(out)
		back(200, string(frame))
	}
	to := controller.ReplyAddress{Conn: w.nextConn, Peer: true}
	w.step(o, controller.PeerEvent(to, msg))
}

func (w *World) sortedMachines() []*machine {
	if w.byName == nil {
		for _, m := range w.machines {
			w.byName = append(w.byName, m)
		}
		sort.Slice(w.byName, func(a, b int) bool { return w.byName[a].name < w.byName[b].name })
	}
	return w.byName
}

func (w *World) addMachine(name, typ, zone string, spot bool) *machine {
	m := &machine{
		name: name, typ: typ, zone: zone, spot: spot, rented: w.now, phase: "running", session: 1, leaseFrom: w.now,
		images: map[string]micros{}, tasks: map[string]*runningTask{}, node: len(w.machines),
	}
	w.machines[name], w.byName = m, nil
	return m
}

func (w *World) upNode() *node {
	if w.sticky != nil {
		return w.sticky
	}
	for range w.nodes {
		w.poller++
		if n := w.nodes[w.poller%len(w.nodes)]; w.reachable(n) && !n.out {
			return n
		}
	}
	return nil
}

// reachable reports whether users, who are in no zone, reach a node.
func (w *World) reachable(n *node) bool {
	return n.alive && !n.cut && !slices.Contains(w.cutZones, n.zone)
}

// insist sends a request as a user would, to one node after another until
// taken says that the answer is final.
func (w *World) insist(what, body string, taken func(status int, body []byte) bool) {
	var try func(left int)
	try = func(left int) {
		again := func() {
			if left > 0 {
				w.after(protocol.Second, func() { try(left - 1) })
			}
		}
		n := w.upNode()
		if n == nil {
			again()
			return
		}
		w.request(n, what, body, func(status int, answer []byte) {
			if !taken(status, answer) {
				again()
			}
		})
	}
	try(60)
}

func (w *World) submit(j *userJob) {
	w.jobs[j.spec.Ref] = j
	nameable := w.nameable(j)
	w.insist("submit", string(j.body), func(status int, body []byte) bool {
		j.status = status
		w.checkChained(j, nameable, status, body)
		switch status {
		case 200, 201:
			if w.copies > 0 && !j.accepted {
				w.after(w.copies, func() { w.submit(j) }) // the request comes once more
			}
			w.checkAccepted(j)
			j.accepted = true
		case 400, 422:
			if j.accepted {
				w.broken("forgotten: %s got %d", j.spec.Ref, status)
			}
		default:
			return false
		}
		return true
	})
}

func (w *World) cancel(j *userJob) {
	j.asked = true
	w.insist("cancel", j.spec.Ref, func(status int, body []byte) bool {
		if status != 200 {
			return false
		}
		w.heard(j, fastjson.GetString(body, "phase"))
		return true
	})
}

// poll asks for every job, from a node that differs from time to time.
func (w *World) poll() {
	refs := make([]string, 0, len(w.jobs))
	for r := range w.jobs {
		refs = append(refs, r)
	}
	sort.Strings(refs)
	for _, r := range refs {
		j := w.jobs[r]
		if !j.accepted {
			continue
		}
		if j.answeredAt == 0 {
			j.answeredAt = w.now
		}
		w.unanswered = max(w.unanswered, w.now-j.answeredAt)
		n := w.nodeOf(j)
		if n == nil {
			continue
		}
		asked := w.now
		w.request(n, "query", r, func(status int, body []byte) {
			if status == 200 {
				j.answeredAt = w.now
			}
			if status == 404 {
				w.broken("forgotten: %s", r)
			}
			if status == 200 && j.toldAt <= asked { // otherwise the two answers crossed
				j.done, j.running = fastjson.GetInt(body, "done"), fastjson.GetInt(body, "running")
				w.heard(j, fastjson.GetString(body, "phase"))
			}
		})
	}
}

// storm asks many questions at once.
func (w *World) storm(count int) {
	refs := make([]string, 0, len(w.jobs))
	for r := range w.jobs {
		refs = append(refs, r)
	}
	sort.Strings(refs)
	for i := range count {
		n := w.upNode()
		if n == nil {
			return
		}
		ref := fmt.Sprintf("req-%06d", 900000+i)
		known := i%2 == 0 && len(refs) > 0
		if known {
			ref = refs[i/2%len(refs)]
		}
		asked := w.now
		w.request(n, "query", ref, func(status int, body []byte) {
			switch {
			case status == 200 && known && w.jobs[ref].toldAt > asked: // the two answers crossed
			case status == 200 && known:
				w.heard(w.jobs[ref], fastjson.GetString(body, "phase"))
			case status == 200:
				w.broken("invented: %s", ref)
			case status == 404 && known && w.jobs[ref].accepted:
				w.broken("forgotten: %s", ref)
			case status != 404:
				w.inVain++
			}
		})
	}
}

// heard checks what a user is told.
func (w *World) heard(j *userJob, phase string) {
	ref := j.spec.Ref
	if j.toldDone && phase != "done" || j.toldCancelled > 0 && phase != "cancelled" {
		w.broken("went_back: %s is %s", ref, phase)
	}
	if phase != j.phase {
		w.note("%s is %s", ref, phase)
	}
	w.checkOrphaned(j, phase)
	j.phase = phase
	if j.toldAt == 0 && (phase == "done" || phase == "cancelled") {
		j.toldAt = w.now
	}
	switch phase {
	case "done":
		j.toldDone = true
		for i, ok := range j.results {
			if !ok {
				w.broken("not_done: %s/%d", ref, i)
			}
		}
	case "cancelled":
		if !w.askedToCancel(j) {
			w.broken("went_back: nobody cancelled %s", ref)
		}
		if j.toldCancelled == 0 {
			j.toldCancelled = w.now
		}
	}
}

func (w *World) checkCancelled() {
	for _, m := range w.sortedMachines() {
		for _, t := range m.sorted() {
			if t.on && t.job.toldCancelled > 0 && w.now > t.job.toldCancelled+w.Platform.CancelTimeout {
				t.job.toldCancelled = w.now // once
				w.broken("ran_cancelled: %s/%d", t.job.spec.Ref, t.index)
			}
		}
	}
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

// hostsOf names the machines that a task is on.
func (w *World) hostsOf(task string) string {
	var list []string
	for _, m := range w.sortedMachines() {
		for _, t := range m.sorted() {
			if t.on && fmt.Sprintf("%s/%d", t.job.spec.Ref, t.index) == task {
				list = append(list, m.name)
			}
		}
	}
	if len(list) == 0 {
		return "nowhere"
	}
	return strings.Join(list, ",")
}
