package simulation

import (
	"time"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
	"mapleslip/internal/transport"
)

// node is one controller.
type node struct {
	name  string
	zone  string
	alive bool
	cut   bool // all messages from and to the node are lost
	// workersUnreachable: heartbeats and commands between the node and the workers are lost.
	workersUnreachable bool
	// denied: the state service answers this node, and no other, with 503.
	denied bool
	// unlinked: calls between the node and the other controllers are lost.
	unlinked bool
	// frozen: the node handles no event. Ticks are dropped, other events go to heldEvents and
	// are handled when it thaws.
	frozen     bool
	heldEvents []controller.Event
	// disconnected: the node is cut off from the state service and the other controllers, but not
	// from workers, users and the cloud. Messages are held until it is back.
	disconnected bool
	heldMessages []func()
	balancerState
	nodeVersions
	startedAt   micros
	incarnation int              // number of starts; callbacks of an earlier start are ignored
	peerCalls   int              // calls to other controllers in flight
	meter       *transport.Meter // meter of the node's calls to the state service
	ctl         *controller.Controller
	seed        uint64
}

// startNode starts a node with a new controller, unless it is alive.
func (w *World) startNode(n *node) {
	if n.alive {
		return
	}
	n.alive, n.startedAt, n.peerCalls = true, w.now, 0
	n.incarnation++
	n.seed += 100
	p := w.Platform
	p.ControllerName, p.Zone = n.name, n.zone
	p.Peers = nil
	for _, other := range w.nodes {
		if other != n {
			p.Peers = append(p.Peers, protocol.Peer{Name: other.name, Zone: other.zone, Address: other.name})
		}
	}
	n.meter = transport.NewMeter(p.StateRequestRate, p.StateWriteRate, 1, p.MaxTxnChanges)
	w.setRateShare(n, false)
	n.ctl = controller.New(&p, w.Operator, n.seed, w.Logger.With("node", n.name))
	w.configure(n)
	if w.rollouts != nil {
		n.ctl.EnableRollouts(*w.rollouts)
	}
	if w.changes != nil {
		n.ctl.EnableConfiguration(w.changes.options)
		w.changes.logLevel[n.name] = ""
	}
	incarnation := n.incarnation
	w.perform(n, n.ctl.Start(w.timeOf(n)))
	var tick func()
	tick = func() {
		if n.alive && n.incarnation == incarnation {
			w.step(n, controller.Tick{Backlog: w.backlog})
			n.meter.Run(w.now)
			w.after(50*protocol.Millisecond, tick)
		}
	}
	tick()
}

// stopNode stops a node. It starts again after restartDelay or, if that is 0, when the trace starts
// it. Messages that it has sent are still delivered.
func (w *World) stopNode(n *node, restartDelay micros) {
	n.alive, n.frozen, n.heldEvents = false, false, nil
	if incarnation := n.incarnation; restartDelay > 0 {
		w.after(restartDelay, func() {
			if n.incarnation == incarnation {
				w.startNode(n)
			}
		})
	}
}

// setRateShare sets the node's part of the rates and sizes that the state service allows all
// controllers.
func (w *World) setRateShare(n *node, leads bool) {
	nodes := len(w.nodes)
	n.meter.SetShare(controller.ReadShare(nodes, leads), controller.WriteShare(nodes, leads), controller.MaxTxnChanges(w.Platform.MaxTxnChanges, leads))
}

// timeOf returns the clocks of a node. The steady clock is at 1 s when the node starts.
func (w *World) timeOf(n *node) protocol.Now {
	return protocol.Now{Steady: w.now - n.startedAt + protocol.Second, Wall: w.now + 1_700_000_000*protocol.Second}
}

// step delivers an event to a node, carries out the effects, and checks the rules for controllers.
func (w *World) step(n *node, ev controller.Event) {
	if n.frozen {
		if _, tick := ev.(controller.Tick); !tick {
			n.heldEvents = append(n.heldEvents, ev)
		}
		return
	}
	previous := n.ctl.Role()
	defer func() {
		w.checkRevision(n)
		if role := n.ctl.Role(); role != previous {
			w.deliverKeptReports(role)
			if n.alive {
				w.deliverOldReports(role.String())
			}
		}
		w.checkVersion(n)
		if previous == controller.RoleRecovering && n.alive && n.ctl.Role() == controller.RoleLeader {
			w.leaders++
			w.note("%s leads", n.name)
		}
	}()
	if w.stepped == nil {
		w.perform(n, n.ctl.Step(w.timeOf(n), ev))
	} else {
		start := time.Now()
		effects := n.ctl.Step(w.timeOf(n), ev)
		w.stepped(n, time.Since(start))
		w.perform(n, effects)
	}
	if role := w.nodeEndsRole; w.nodeEndsLeft > 0 && previous != role && n.ctl.Role() == role {
		w.nodeEndsLeft--
		incarnation := n.incarnation
		w.after(w.nodeEndsDelay, func() {
			if n.incarnation == incarnation && n.alive && n.ctl.Role() == role {
				w.note("%s ends while it is %s", n.name, role)
				w.stopNode(n, w.nodeEndsRestart)
				w.nodesEnded++
			}
		})
	}
}

// thaw resumes a frozen node, which handles the events that arrived meanwhile.
func (w *World) thaw(n *node) {
	n.frozen = false
	events := n.heldEvents
	n.heldEvents = nil
	for _, ev := range events {
		w.step(n, ev)
	}
}

// perform carries out the effects that a node's controller returned.
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
			w.setRateShare(n, e.Leads)
		case controller.WriteRate:
			n.meter.SetWrites(e.PerSecond, e.Lowered)
		case controller.SetLogLevel:
			w.changes.logLevel[n.name] = e.Level
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

// leader returns the node that leads, also while it is uncertain of its lease, or nil.
func (w *World) leader() *node {
	for _, n := range w.nodes {
		if r := n.ctl.Role().String(); n.alive && (r == "leading" || r == "doubtful") {
			return n
		}
	}
	return nil
}

// nodeNamed returns the node with a name, or the leader for "leader", or nil.
func (w *World) nodeNamed(name string) *node {
	if name == "leader" {
		return w.leader()
	}
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}
