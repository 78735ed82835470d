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
	n.meter.SetShare(controller.ReadShare(nodes, leads), controller.WriteShare(nodes, leads), controller.MaxTxnChanges(w.Platform.MaxTxnChanges, leads))
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

func (w *World) leader() *node {
	for _, n := range w.nodes {
		if r := n.ctl.Role().String(); n.alive && (r == "leading" || r == "doubtful") {
			return n
		}
	}
	return nil
}

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
