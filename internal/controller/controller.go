// Package coordination is the controller itself: election, worker sessions,
// commands, placing and rental. All its state belongs to one goroutine, which
// calls Step; Step does no I/O, it returns effects.
package controller

import (
	"container/heap"
	"log/slog"
	"math/rand/v2"
	"strconv"

	"mapleslip/internal/configuration"
	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/state"
)

type (
	micros = protocol.Micros
	now    = protocol.Now
)

// Target is who a call goes to.
type Target uint8

// Targets of calls.
const (
	ToState Target = iota
	ToCloud
	ToPeer
	ToWorker
	ToInstance // a check of an instance of a service
)

// Event is something that happened outside.
type Event interface{ event() }

// UserCall is a user's request, from a connection or passed on by a node.
type UserCall struct {
	Reply Address
	Op    protocol.UserOp
	Ref   string
	Body  []byte
}

// WorkerReport is a worker's report, from the worker or passed on by a node.
type WorkerReport struct {
	Reply Address
	Body  []byte
	// Returned: passed on by a node that had sent the worker here before.
	Returned bool
}

// PeerQuestion is asked by a controller that leads under an epoch.
type PeerQuestion struct {
	Reply Address
	Epoch uint64
	From  string // the leader
	Body  []byte // what it has seen
}

// PeerEvent is the event that a message of another controller makes here, nil:
// it is none that is asked.
func PeerEvent(to Address, m *protocol.PeerMessage) Event {
	if m == nil {
		return nil
	}
	switch m.Kind {
	case protocol.PeerUserRequest:
		return UserCall{Reply: to, Op: m.Op, Ref: m.Ref, Body: m.Body}
	case protocol.PeerStatusRequest:
		return PeerQuestion{Reply: to, Epoch: m.Epoch, From: m.From, Body: m.Body}
	case protocol.PeerHeartbeat:
		return WorkerReport{Reply: to, Body: m.Body, Returned: m.ReturnedFromLeader}
	case protocol.PeerWorkerProbe:
		return WorkerCall{Reply: to, Addr: m.Addr, Body: m.Body}
	case protocol.PeerConfigGrant:
		return GrantQuestion{Reply: to, Grant: configuration.Grant{Epoch: m.Epoch, Revision: m.Revision, Life: m.Incarnation, Heard: m.At}, Document: m.Body}
	case protocol.PeerFeatureRequest:
		return LevelQuestion{Reply: to}
	case protocol.PeerHealthCheck:
		return CheckCall{Reply: to, Kind: m.Check, Addr: m.Addr, Path: m.Path, Timeout: m.Timeout}
	}
	return nil
}

// WorkerCall is a leader's call to a worker, for this node to make.
type WorkerCall struct {
	Reply Address
	Addr  string
	Body  []byte
}

// CheckCall is a leader's check of an instance, for this node to make.
type CheckCall struct {
	Reply      Address
	Kind       protocol.CheckKind
	Addr, Path string
	Timeout    micros
}

// LevelQuestion asks which feature levels this node serves.
type LevelQuestion struct{ Reply Address }

// HealthCall asks for the node's health.
type HealthCall struct{ Reply Address }

// CallDone is the end of a call. Status 0: no answer.
type CallDone struct {
	ID     uint64
	Status int
	Body   []byte
	Unsent bool // certainly not executed
	// Refused: the other side could not be connected to. An unsent call that was
	// not refused says nothing of the other side.
	Refused bool
}

// unmade reports whether a call was not made for want of a connection of this node's own,
// or of room in a rate: it says nothing of the other side.
func (d CallDone) unmade() bool { return d.Unsent && !d.Refused }

// Tick is the passing of time. What is periodic is done with ticks.
type Tick struct {
	Backlog int // events that wait
}

func (UserCall) event()      {}
func (WorkerReport) event()  {}
func (PeerQuestion) event()  {}
func (WorkerCall) event()    {}
func (CheckCall) event()     {}
func (LevelQuestion) event() {}
func (HealthCall) event()    {}
func (CallDone) event()      {}
func (Tick) event()          {}

// Address is where an answer goes.
type Address struct {
	Conn uint64
	Peer bool   // the other side is a controller
	own  uint64 // it is this one itself, see ownCall
}

// Effect is something to be done outside.
type Effect interface{ effect() }

// Reply answers a request.
type Reply struct {
	To         Address
	Status     int
	Body       []byte
	RetryAfter micros
	Frame      bool // the body is a whole frame for another controller
}

// Call asks for an outbound call.
type Call struct {
	ID       uint64
	Target   Target
	Addr     string // of a peer or a worker
	Method   string
	Path     string
	Body     []byte
	Timeout  micros
	Priority uint8
	Changes  int
}

// Share tells whether this node leads, and so which part of the metered
// services' rates it may use.
type Share struct{ Leads bool }

func (Reply) effect() {}
func (Call) effect()  {}
func (Share) effect() {}

// Priorities of metered calls: the first goes before all others, which share the rates.
const (
	prioLeadership uint8 = iota
	prioPressing         // somebody waits for the answer, and for work that has to start at once
	prioUser             // somebody waits for the answer
	prioUrgent           // work waits
	prioNormal
	prioEnding // a job is over; beside what work waits for
)

// Role is the state of the election.
type Role uint8

// Roles of a node.
const (
	Following Role = iota // another node leads, or may
	Leasing               // asks for a state lease
	Claiming              // takes the leader key
	Loading               // leads, reads the records
	Leading               // leads
	Doubtful              // leads, but its lease could have ended
)

func (r Role) String() string {
	return [...]string{"following", "leasing", "claiming", "loading", "leading", "doubtful"}[r]
}

// Controller is one node.
type Controller struct {
	platform *protocol.Platform
	operator protocol.OperatorSettings
	rng      *rand.Rand
	log      *slog.Logger
	limits   stateLimits

	at       now
	effects  []Effect
	calls    map[uint64]openCall
	callSeq  uint64
	callGen  uint64 // raised when the role restarts, so that old answers are dropped
	timers   timers
	timerSeq uint64
	ticked   micros // when the last tick was handled
	lagged   micros // when this node was last found to fall behind
	lagLog   micros

	role          Role
	roleSince     micros
	seat          seat
	leader        state.LeaderRecord // as known from the state service
	suspect       micros           // the leader did not answer, until then it is not asked
	rechecked     micros           // when the leader's record was read again after that
	born          micros
	looked        bool              // the leader key was read since
	unread        map[string]uint64 // records that can't be read, with the stamps under which that was told
	asked         micros            // when a leader last asked this node
	answered      micros            // when this node last answered a worker without leading
	callers       map[string]caller // workers that came here while another node led
	relaying      int               // their reports that are on their way to the leader
	relayAfter    micros            // the leader did not answer one: none is passed on before
	shy           micros            // this node gave its lease back: until then others go first
	memory        protocol.HandoverState   // the newest that a leader told of
	leaderHeard   micros            // when the leader last answered a call that was passed on
	narrow        bool              // the last leader that asked knows only of controllers that answer their own zone
	waited        uint64            // the epoch after which another one was let go first
	stateHeard    micros            // when the state service last answered
	siblingHeard  micros            // when another controller was last heard
	felt          micros            // when the others were last asked whether they are there
	direct        int               // users' questions that are being served from the state service
	passing       int               // users' calls on their way to the leader, of those that can wait
	directSubmits int               // users' submissions that are being served from the state service
	looking       int               // questions to the leader that the state service is asked for
	finals        finals
	types         []*protocol.MachineType
	typeByName    map[string]*protocol.MachineType

	term *term // what a leader knows; nil unless it leads

	rollouts *rollout.Settings // nil: roll-outs are off
	ownCalls map[uint64]func(status int, body []byte)
	ownSeq   uint64
	asking   map[uint64]Address // operators who wait for an answer about a roll-out
	askSeq   uint64

	config *configState // nil: the configuration does not change while this runs

	levels *levelState // nil: this controller behaves as one that knows of no feature levels

	stats                  Stats
	observed               bool // spans are emitted
	stateReach, cloudReach reach
	refusalLog             micros
	refusalsTold           map[string]uint64
}

// openCall is a call that has not ended.
type openCall struct {
	target Target
	done   func(CallDone)
}

type timer struct {
	at  micros
	seq uint64
	fn  func()
}

// New makes a controller.
func New(p *protocol.Platform, o protocol.OperatorSettings, seed uint64, log *slog.Logger) *Controller {
	return &Controller{
		platform: p, operator: o, rng: rand.New(rand.NewPCG(seed, 0x6d61706c65)), log: log, limits: newStateLimits(p),
		calls: make(map[uint64]openCall), callers: make(map[string]caller), finals: newFinals(),
		typeByName: make(map[string]*protocol.MachineType), levels: &levelState{serves: featuregate.Build},
		stateReach: reach{name: "the state service"}, cloudReach: reach{name: "the cloud"},
	}
}

// Observe has the controller emit spans.
func (c *Controller) Observe() { c.observed = true }

// Role says what the node is.
func (c *Controller) Role() Role { return c.role }

// Start begins the controller's work.
func (c *Controller) Start(at now) []Effect {
	c.at, c.born = at, at.Steady
	c.follow()
	c.startLevels()
	return c.flush()
}

// Step handles one event.
func (c *Controller) Step(at now, ev Event) []Effect {
	if at.Steady < c.at.Steady {
		at.Steady = c.at.Steady
	}
	c.at = at
	// Before anything else: the process may have been frozen for longer than
	// the lease, and for longer than workers may be answered without one.
	c.watchLease()
	c.runTimers()
	switch e := ev.(type) {
	case UserCall:
		c.onUser(e)
	case WorkerReport:
		c.onReport(e)
	case HealthCall:
		c.onHealth(e)
	case CheckCall:
		c.onCheckCall(e)
	case PeerQuestion:
		c.onAsk(e)
	case LevelQuestion:
		c.onLevelQuestion(e)
	case GrantQuestion:
		c.onGrant(e)
	case WorkerCall:
		c.onWorkerCall(e)
	case CallDone:
		if o := c.calls[e.ID]; o.done != nil {
			delete(c.calls, e.ID)
			switch o.target {
			case ToState:
				c.heard(&c.stateReach, e)
			case ToCloud:
				c.heard(&c.cloudReach, e)
			case ToPeer:
				if e.Status == 200 {
					c.siblingHeard = at.Steady
				}
			}
			if o.target == ToState && e.Status > 0 && e.Status != 503 {
				c.stateHeard = at.Steady
			}
			o.done(e)
		}
	case Tick:
		c.watchLag(e.Backlog)
		c.feel()
		c.probeRate()
		c.logRefusals()
	}
	c.watchLease()
	if _, tick := ev.(Tick); tick && c.term != nil {
		c.pulse()
	}
	c.setLevel()
	return c.flush()
}

func (c *Controller) flush() []Effect {
	e := c.effects
	c.effects = nil
	return e
}

func (c *Controller) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Controller) reply(to Address, status int, body []byte, retry micros) {
	if to.own > 0 {
		c.ownAnswer(to, status, body)
		return
	}
	c.emit(Reply{To: to, Status: status, Body: body, RetryAfter: retry})
}

// retryLater is what users are told when a request can't be taken now.
const retryLater = protocol.Second

func (c *Controller) unavailable(to Address, why string) { c.later(to, why, retryLater) }

func (c *Controller) call(target Target, prio uint8, method, path string, body []byte, timeout micros, changes int, done func(CallDone)) {
	c.callSeq++
	c.calls[c.callSeq] = openCall{target, done}
	c.emit(Call{ID: c.callSeq, Target: target, Method: method, Path: path, Body: body, Timeout: timeout, Priority: prio, Changes: changes})
}

func (c *Controller) callAddr(target Target, method, addr, path string, body []byte, timeout micros, done func(CallDone)) {
	c.callSeq++
	c.calls[c.callSeq] = openCall{target, done}
	c.emit(Call{ID: c.callSeq, Target: target, Addr: addr, Method: method, Path: path, Body: body, Timeout: timeout})
}

// after runs fn once the time has come, within the resolution of ticks.
func (c *Controller) after(d micros, fn func()) {
	c.timerSeq++
	heap.Push(&c.timers, timer{c.at.Steady + d, c.timerSeq, fn})
}

func (c *Controller) runTimers() {
	for last := c.timerSeq; len(c.timers) > 0 && c.timers[0].at <= c.at.Steady && c.timers[0].seq <= last; {
		heap.Pop(&c.timers).(timer).fn()
	}
}

// timers is a heap by time.
type timers []timer

func (h timers) Len() int { return len(h) }
func (h timers) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].seq < h[b].seq
}
func (h timers) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *timers) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timers) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// What shows that a node falls behind: it was not run for that long, or that
// many events wait.
const (
	lagGap     = 1 * protocol.Second
	lagBacklog = 256
)

// watchLag notices that this node falls behind. What it has not heard then may
// wait in its own queue, so for a while silence says nothing.
func (c *Controller) watchLag(backlog int) {
	at := c.at.Steady
	if gap := at - c.ticked; c.ticked > 0 && gap > lagGap || backlog > lagBacklog {
		c.lagged = at
		if at-c.lagLog > 5*protocol.Second {
			c.lagLog = at
			c.log.Info("falling behind", "not_run_ms", int64(gap/protocol.Millisecond), "events_waiting", backlog)
		}
	}
	c.ticked = at
}

// lagging reports whether this node fell behind within a span.
func (c *Controller) lagging(within micros) bool {
	return c.lagged > 0 && c.at.Steady-c.lagged < within
}

// malformed notes an answer that does not follow the protocol. It is treated
// as no answer.
func (c *Controller) malformed(from string, err error) {
	c.stats.Malformed++
	c.log.Info("malformed message", "from", from, "err", err, "count", c.stats.Malformed)
}

// drift is how far apart steady clocks may be after a span, with a little for
// timers that fire late.
func drift(d micros) micros { return d/1000 + 5*protocol.Millisecond }

func (c *Controller) get(prio uint8, key string, done func(e protocol.Entry, found, ok bool)) {
	c.call(ToState, prio, "GET", "/store/"+key, nil, stateTimeout, 0, func(r CallDone) {
		switch r.Status {
		case 200:
			e, err := protocol.ParseEntry(r.Body)
			if err != nil {
				c.malformed("state", err)
				done(e, false, false)
				return
			}
			done(e, true, true)
		case 404:
			done(protocol.Entry{}, false, true)
		default:
			done(protocol.Entry{}, false, false)
		}
	})
}

const stateTimeout = 1500 * protocol.Millisecond

// txnOutcome is how a transaction ended.
type txnOutcome uint8

const (
	txnApplied   txnOutcome = iota
	txnRefused              // a condition did not hold
	txnRejected             // certainly not executed
	txnTooLarge             // certainly not executed: beyond the limits, which are known to be lower now
	txnMalformed            // certainly not executed, and not for the limits: it is not sent again
	txnUnknown              // may have been executed, or may still be
)

// undone reports whether a transaction was certainly not executed.
func (o txnOutcome) undone() bool {
	return o == txnRejected || o == txnTooLarge || o == txnMalformed
}

func (c *Controller) txn(prio uint8, when []protocol.Condition, then []protocol.Change, done func(o txnOutcome, r protocol.TxnResult)) {
	body := protocol.AppendTxn(nil, when, then)
	if c.limits.wasRefused(body) {
		c.after(0, func() { done(txnMalformed, protocol.TxnResult{}) })
		return
	}
	c.commit(prio, body, then, c.at.Steady+stateTimeout, done)
}

// commit sends a transaction. One that is refused for the rate was not executed and is sent
// again until a time: it would else be what a user waits for another second.
func (c *Controller) commit(prio uint8, body []byte, then []protocol.Change, until micros, done func(o txnOutcome, r protocol.TxnResult)) {
	c.call(ToState, prio, "POST", "/commit", body, stateTimeout, len(then), func(r CallDone) {
		if r.Unsent {
			done(txnRejected, protocol.TxnResult{})
			return
		}
		switch r.Status {
		case 200, 409:
			res, err := protocol.ParseTxn(r.Body)
			if err != nil {
				c.malformed("state", err)
				done(txnUnknown, res)
				return
			}
			if r.Status == 200 {
				done(txnApplied, res)
			} else {
				done(txnRefused, res)
			}
		case 400:
			done(c.transactionRefused(body, r.Body, then), protocol.TxnResult{})
		case 429:
			c.lowerRate()
			if c.at.Steady+crowdedPause >= until {
				done(txnRejected, protocol.TxnResult{})
				return
			}
			c.after(crowdedPause, func() { c.commit(prio, body, then, until, done) })
		case 503:
			done(txnRejected, protocol.TxnResult{})
		default:
			done(txnUnknown, protocol.TxnResult{})
		}
	})
}

// list reads all keys with a prefix, page by page.
func (c *Controller) list(prio uint8, prefix string, each func(protocol.Entry), done func(revision uint64, ok bool)) {
	var first uint64
	var page func(since string)
	page = func(since string) {
		path := "/store?under=" + prefix + "&page=500"
		if since != "" {
			path += "&since=" + since
		}
		c.call(ToState, prio, "GET", path, nil, 3*protocol.Second, 0, func(r CallDone) {
			if r.Status != 200 {
				done(0, false)
				return
			}
			p, err := protocol.ParsePage(r.Body)
			if err != nil {
				c.malformed("state", err)
				done(0, false)
				return
			}
			if first == 0 {
				first = p.Revision
			}
			for _, e := range p.Entries {
				each(e)
			}
			if p.More && len(p.Entries) > 0 {
				page(p.Entries[len(p.Entries)-1].Key)
				return
			}
			done(first, true)
		})
	}
	page("")
}

// watch follows a prefix from a revision until stop says so. lost is called
// when changes were missed and the keys have to be read again.
func (c *Controller) watch(prio uint8, prefix string, from uint64, stop func() bool, each func(protocol.Entry), lost func()) {
	var next func(rev uint64)
	next = func(rev uint64) {
		if stop() {
			return
		}
		path := "/follow?under=" + prefix + "&since=" + strconv.FormatUint(rev, 10) + "&blockMs=20000"
		c.call(ToState, prio, "GET", path, nil, 25*protocol.Second, 0, func(r CallDone) {
			if stop() {
				return
			}
			switch r.Status {
			case 200:
				entries, revision, err := protocol.ParseWatch(r.Body)
				if err != nil {
					c.malformed("state", err)
					c.after(protocol.Second, lost)
					return
				}
				for _, e := range entries {
					each(e)
				}
				// Changes that come together are read together.
				c.after(200*protocol.Millisecond, func() { next(max(rev, revision)) })
			case 410:
				lost()
			default:
				c.after(500*protocol.Millisecond, func() { next(rev) })
			}
		})
	}
	next(from)
}
