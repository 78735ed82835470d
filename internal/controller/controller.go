// Package coordination is the controller itself: election, worker sessions,
// commands, placing and rental. All its state belongs to one goroutine, which
// calls Step; Step does no I/O, it returns effects.
package controller

import (
	"container/heap"
	"strconv"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

type (
	micros  = protocol.Micros
	instant = protocol.Now
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

// UserRequest is a user's request, from a connection or passed on by a node.
type UserRequest struct {
	Reply ReplyAddress
	Op    protocol.UserOp
	Ref   string
	Body  []byte
}

// WorkerHeartbeat is a worker's report, from the worker or passed on by a node.
type WorkerHeartbeat struct {
	Reply ReplyAddress
	Body  []byte
	// Returned: passed on by a node that had sent the worker here before.
	ReturnedFromLeader bool
}

// PeerStatusRequest is asked by a controller that leads under an epoch.
type PeerStatusRequest struct {
	Reply ReplyAddress
	Epoch uint64
	From  string // the leader
	Body  []byte // what it has seen
}

// PeerEvent is the event that a message of another controller makes here, nil:
// it is none that is asked.
func PeerEvent(to ReplyAddress, m *protocol.PeerMessage) Event {
	if m == nil {
		return nil
	}
	switch m.Kind {
	case protocol.PeerUserRequest:
		return UserRequest{Reply: to, Op: m.Op, Ref: m.Ref, Body: m.Body}
	case protocol.PeerStatusRequest:
		return PeerStatusRequest{Reply: to, Epoch: m.Epoch, From: m.From, Body: m.Body}
	case protocol.PeerHeartbeat:
		return WorkerHeartbeat{Reply: to, Body: m.Body, ReturnedFromLeader: m.ReturnedFromLeader}
	case protocol.PeerWorkerProbe:
		return WorkerProbe{Reply: to, Addr: m.Addr, Body: m.Body}
	case protocol.PeerConfigGrant:
		return ConfigGrantRequest{Reply: to, Grant: configuration.Grant{Epoch: m.Epoch, Revision: m.Revision, Life: m.Incarnation, Heard: m.At}, Document: m.Body}
	case protocol.PeerFeatureRequest:
		return FeatureRangeRequest{Reply: to}
	case protocol.PeerHealthCheck:
		return HealthCheckRequest{Reply: to, Kind: m.Check, Addr: m.Addr, Path: m.Path, Timeout: m.Timeout}
	}
	return nil
}

// WorkerProbe is a leader's call to a worker, for this node to make.
type WorkerProbe struct {
	Reply ReplyAddress
	Addr  string
	Body  []byte
}

// HealthCheckRequest is a leader's check of an instance, for this node to make.
type HealthCheckRequest struct {
	Reply      ReplyAddress
	Kind       protocol.CheckKind
	Addr, Path string
	Timeout    micros
}

// FeatureRangeRequest asks which feature levels this node serves.
type FeatureRangeRequest struct{ Reply ReplyAddress }

// HealthzRequest asks for the node's health.
type HealthzRequest struct{ Reply ReplyAddress }

// CallResult is the end of a call. Status 0: no answer.
type CallResult struct {
	ID      uint64
	Status  int
	Body    []byte
	NotSent bool // certainly not executed
	// Refused: the other side could not be connected to. An unsent call that was
	// not refused says nothing of the other side.
	ConnectionRefused bool
}

// notAttempted reports whether a call was not made for want of a connection of this node's own,
// or of room in a rate: it says nothing of the other side.
func (d CallResult) notAttempted() bool { return d.NotSent && !d.ConnectionRefused }

// Tick is the passing of time. What is periodic is done with ticks.
type Tick struct {
	Backlog int // events that wait
}

func (UserRequest) event()         {}
func (WorkerHeartbeat) event()     {}
func (PeerStatusRequest) event()   {}
func (WorkerProbe) event()         {}
func (HealthCheckRequest) event()  {}
func (FeatureRangeRequest) event() {}
func (HealthzRequest) event()      {}
func (CallResult) event()          {}
func (Tick) event()                {}

// ReplyAddress is where an answer goes.
type ReplyAddress struct {
	Conn     uint64
	Peer     bool   // the other side is a controller
	internal uint64 // it is this one itself, see callInternally
}

// Effect is something to be done outside.
type Effect interface{ effect() }

// Reply answers a request.
type Reply struct {
	To         ReplyAddress
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

// RateShare tells whether this node leads, and so which part of the metered
// services' rates it may use.
type RateShare struct{ Leads bool }

func (Reply) effect()     {}
func (Call) effect()      {}
func (RateShare) effect() {}

// Priorities of metered calls: the first goes before all others, which share the rates.
const (
	priorityLeadership      uint8 = iota
	priorityLatencyCritical       // somebody waits for the answer, and for work that has to start at once
	priorityUser                  // somebody waits for the answer
	priorityUrgent                // work waits
	priorityNormal
	priorityFinalRecord // a job is over; beside what work waits for
)

// Role is the state of the election.
type Role uint8

// Roles of a node.
const (
	RoleFollower       Role = iota // another node leads, or may
	RoleAcquiringLease             // asks for a state lease
	RoleClaiming                   // takes the leader key
	RoleRecovering                 // leads, reads the records
	RoleLeader                     // leads
	RoleLeaseUncertain             // leads, but its lease could have ended
)

func (r Role) String() string {
	return [...]string{"following", "leasing", "claiming", "loading", "leading", "doubtful"}[r]
}

type timer struct {
	at  micros
	seq uint64
	fn  func()
}

// EnableTracing has the controller emit spans.
func (c *Controller) EnableTracing() { c.tracing = true }

// Role says what the node is.
func (c *Controller) Role() Role { return c.election.role }

// Start begins the controller's work.
func (c *Controller) Start(at instant) []Effect {
	c.now, c.startedAt = at, at.Steady
	c.election.becomeFollower()
	c.features.startFeatureTracking()
	return c.flush()
}

// Step handles one event.
func (c *Controller) Step(at instant, ev Event) []Effect {
	if at.Steady < c.now.Steady {
		at.Steady = c.now.Steady
	}
	c.now = at
	// Before anything else: the process may have been frozen for longer than
	// the lease, and for longer than workers may be answered without one.
	c.election.checkLease()
	c.runTimers()
	switch e := ev.(type) {
	case UserRequest:
		c.users.onUserRequest(e)
	case WorkerHeartbeat:
		c.router.onHeartbeat(e)
	case HealthzRequest:
		c.membership.onHealth(e)
	case HealthCheckRequest:
		c.rollouts.onHealthCheckRequest(e)
	case PeerStatusRequest:
		c.membership.onPeerStatusRequest(e)
	case FeatureRangeRequest:
		c.features.onFeatureRangeRequest(e)
	case ConfigGrantRequest:
		c.config.onConfigGrantRequest(e)
	case WorkerProbe:
		c.router.onWorkerProbe(e)
	case CallResult:
		if o := c.calls[e.ID]; o.done != nil {
			delete(c.calls, e.ID)
			switch o.target {
			case ToState:
				c.observeServiceCall(&c.store.health, e)
			case ToCloud:
				c.observeServiceCall(&c.cloudHealth, e)
			case ToPeer:
				if e.Status == 200 {
					c.membership.peerContactAt = at.Steady
				}
			}
			if o.target == ToState && e.Status > 0 && e.Status != 503 {
				c.store.answeredAt = at.Steady
			}
			o.done(e)
		}
	case Tick:
		c.watchLag(e.Backlog)
		c.membership.checkLiveness()
		c.store.probeWriteRate()
		c.logRefusals()
	}
	c.election.checkLease()
	if _, tick := ev.(Tick); tick && c.term != nil {
		c.runPeriodicWork()
	}
	c.config.updateLogLevel()
	return c.flush()
}

func (env *environment) flush() []Effect {
	e := env.effects
	env.effects = nil
	return e
}

func (env *environment) emit(e Effect) { env.effects = append(env.effects, e) }

func (env *environment) reply(to ReplyAddress, status int, body []byte, retry micros) {
	if to.internal > 0 {
		env.onInternalReply(to, status, body)
		return
	}
	env.emit(Reply{To: to, Status: status, Body: body, RetryAfter: retry})
}

// retryLater is what users are told when a request can't be taken now.
const retryLater = protocol.Second

func (env *environment) replyUnavailable(to ReplyAddress, why string) {
	env.replyUnavailableAfter(to, why, retryLater)
}

func (env *environment) call(target Target, prio uint8, method, path string, body []byte, timeout micros, changes int, done func(CallResult)) {
	env.callSeq++
	env.calls[env.callSeq] = openCall{target, done}
	env.emit(Call{ID: env.callSeq, Target: target, Method: method, Path: path, Body: body, Timeout: timeout, Priority: prio, Changes: changes})
}

func (env *environment) callAddress(target Target, method, addr, path string, body []byte, timeout micros, done func(CallResult)) {
	env.callSeq++
	env.calls[env.callSeq] = openCall{target, done}
	env.emit(Call{ID: env.callSeq, Target: target, Addr: addr, Method: method, Path: path, Body: body, Timeout: timeout})
}

// after runs fn once the time has come, within the resolution of ticks.
func (env *environment) after(d micros, fn func()) {
	env.timerSeq++
	heap.Push(&env.timers, timer{env.now.Steady + d, env.timerSeq, fn})
}

func (env *environment) runTimers() {
	for last := env.timerSeq; len(env.timers) > 0 && env.timers[0].at <= env.now.Steady && env.timers[0].seq <= last; {
		heap.Pop(&env.timers).(timer).fn()
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
func (env *environment) watchLag(backlog int) {
	at := env.now.Steady
	if gap := at - env.lastTick; env.lastTick > 0 && gap > lagGap || backlog > lagBacklog {
		env.lastLag = at
		if at-env.lastLagLog > 5*protocol.Second {
			env.lastLagLog = at
			env.log.Info("falling behind", "not_run_ms", int64(gap/protocol.Millisecond), "events_waiting", backlog)
		}
	}
	env.lastTick = at
}

// isLagging reports whether this node fell behind within a span.
func (env *environment) isLagging(within micros) bool {
	return env.lastLag > 0 && env.now.Steady-env.lastLag < within
}

// logMalformed notes an answer that does not follow the protocol. It is treated
// as no answer.
func (env *environment) logMalformed(from string, err error) {
	env.stats.Malformed++
	env.log.Info("malformed message", "from", from, "err", err, "count", env.stats.Malformed)
}

// maxClockDrift is how far apart steady clocks may be after a span, with a little for
// timers that fire late.
func maxClockDrift(d micros) micros { return d/1000 + 5*protocol.Millisecond }

func (s *stateStore) getKey(prio uint8, key string, done func(e protocol.Entry, found, ok bool)) {
	s.call(ToState, prio, "GET", "/store/"+key, nil, stateTimeout, 0, func(r CallResult) {
		switch r.Status {
		case 200:
			e, err := protocol.ParseEntry(r.Body)
			if err != nil {
				s.logMalformed("state", err)
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
	txnCommitted   txnOutcome = iota
	txnConflict               // a condition did not hold
	txnNotExecuted            // certainly not executed
	txnTooLarge               // certainly not executed: beyond the limits, which are known to be lower now
	txnMalformed              // certainly not executed, and not for the limits: it is not sent again
	txnUnknown                // may have been executed, or may still be
)

// notExecuted reports whether a transaction was certainly not executed.
func (o txnOutcome) notExecuted() bool {
	return o == txnNotExecuted || o == txnTooLarge || o == txnMalformed
}

func (s *stateStore) compareAndSwap(prio uint8, when []protocol.Condition, then []protocol.Change, done func(o txnOutcome, r protocol.TxnResult)) {
	body := protocol.AppendTxn(nil, when, then)
	if s.limits.wasRefused(body) {
		s.after(0, func() { done(txnMalformed, protocol.TxnResult{}) })
		return
	}
	s.sendTransaction(prio, body, then, s.now.Steady+stateTimeout, done)
}

// sendTransaction sends a transaction. One that is refused for the rate was not executed and is sent
// again until a time: it would else be what a user waits for another second.
func (s *stateStore) sendTransaction(prio uint8, body []byte, then []protocol.Change, until micros, done func(o txnOutcome, r protocol.TxnResult)) {
	s.call(ToState, prio, "POST", "/commit", body, stateTimeout, len(then), func(r CallResult) {
		if r.NotSent {
			done(txnNotExecuted, protocol.TxnResult{})
			return
		}
		switch r.Status {
		case 200, 409:
			res, err := protocol.ParseTxn(r.Body)
			if err != nil {
				s.logMalformed("state", err)
				done(txnUnknown, res)
				return
			}
			if r.Status == 200 {
				done(txnCommitted, res)
			} else {
				done(txnConflict, res)
			}
		case 400:
			done(s.onMalformedTransaction(body, r.Body, then), protocol.TxnResult{})
		case 429:
			s.onRateLimited()
			if s.now.Steady+rateLimitedRetry >= until {
				done(txnNotExecuted, protocol.TxnResult{})
				return
			}
			s.after(rateLimitedRetry, func() { s.sendTransaction(prio, body, then, until, done) })
		case 503:
			done(txnNotExecuted, protocol.TxnResult{})
		default:
			done(txnUnknown, protocol.TxnResult{})
		}
	})
}

// listPrefix reads all keys with a prefix, page by page.
func (s *stateStore) listPrefix(prio uint8, prefix string, each func(protocol.Entry), done func(revision uint64, ok bool)) {
	var first uint64
	var page func(since string)
	page = func(since string) {
		path := "/store?under=" + prefix + "&page=500"
		if since != "" {
			path += "&since=" + since
		}
		s.call(ToState, prio, "GET", path, nil, 3*protocol.Second, 0, func(r CallResult) {
			if r.Status != 200 {
				done(0, false)
				return
			}
			p, err := protocol.ParsePage(r.Body)
			if err != nil {
				s.logMalformed("state", err)
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
func (s *stateStore) watchPrefix(prio uint8, prefix string, from uint64, stop func() bool, each func(protocol.Entry), lost func()) {
	var next func(rev uint64)
	next = func(rev uint64) {
		if stop() {
			return
		}
		path := "/follow?under=" + prefix + "&since=" + strconv.FormatUint(rev, 10) + "&blockMs=20000"
		s.call(ToState, prio, "GET", path, nil, 25*protocol.Second, 0, func(r CallResult) {
			if stop() {
				return
			}
			switch r.Status {
			case 200:
				entries, revision, err := protocol.ParseWatch(r.Body)
				if err != nil {
					s.logMalformed("state", err)
					s.after(protocol.Second, lost)
					return
				}
				for _, e := range entries {
					each(e)
				}
				// Changes that come together are read together.
				s.after(200*protocol.Millisecond, func() { next(max(rev, revision)) })
			case 410:
				lost()
			default:
				s.after(500*protocol.Millisecond, func() { next(rev) })
			}
		})
	}
	next(from)
}
