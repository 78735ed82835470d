package simulation

import (
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
)

// deliverAcrossZones delivers a message from zone a to zone b, or holds it while one of them is cut
// off and the other isn't. The zone of components that are in none is "".
func (w *World) deliverAcrossZones(a, b string, deliver func()) {
	if slices.Contains(w.cutZones, a) != slices.Contains(w.cutZones, b) {
		w.heldMessages = append(w.heldMessages, deliver)
		return
	}
	deliver()
}

// heal reconnects the zones that were cut off and delivers the messages held at the boundary.
func (w *World) heal() {
	w.cutZones = nil
	messages := w.heldMessages
	w.heldMessages = nil
	for _, deliver := range messages {
		w.after(w.delay(), deliver)
	}
}

// outboundCall is a call of a controller on its way.
type outboundCall struct {
	controller.Call
	w    *World
	node *node
	// finish passes the result to the controller, if it is the first one and the controller's
	// process still runs.
	finish func(controller.CallResult)
}

// call delivers an outbound call of a controller to its target, subject to the faults that are set,
// and returns the answer, or none after the call's timeout, to the controller.
func (w *World) call(n *node, c controller.Call) {
	w.checkOutbound(n, c)
	w.triggerLeaderEnd(n, c)
	call := &outboundCall{Call: c, w: w, node: n}
	incarnation, answered := n.incarnation, false
	call.finish = func(d controller.CallResult) {
		if !answered && n.alive && n.incarnation == incarnation {
			answered = true
			d.ID = c.ID
			w.step(n, d)
		}
	}
	if c.Target == controller.ToPeer && w.maxPeerCalls > 0 {
		if n.peerCalls >= w.maxPeerCalls {
			w.after(0, func() { call.finish(controller.CallResult{NotSent: true}) })
			return
		}
		n.peerCalls++
		finishCall := call.finish
		call.finish = func(d controller.CallResult) {
			if !answered && n.incarnation == incarnation {
				n.peerCalls--
			}
			finishCall(d)
		}
	}
	w.after(c.Timeout, func() { call.finish(controller.CallResult{}) })
	if n.cut {
		return
	}
	w.copyCall(c)
	if copied, by := w.copiedCommands.next(hasOrders(c), string(c.Body)); copied {
		w.after(by, func() { w.deliverCopy(c) })
	}
	w.after(w.delay(), call.deliver)
}

// checkOutbound checks the rules for what controllers send.
func (w *World) checkOutbound(n *node, c controller.Call) {
	w.checkSends(n, c)
	switch {
	case c.Target == controller.ToWorker:
		if m := w.machines[strings.TrimSuffix(c.Addr, ":9000")]; m != nil {
			w.checkCommands(m, c.Body)
		}
		if c.Path == "/commands" && !hasOrders(c) {
			w.emptyCalls++
		}
	case w.changes != nil && c.Target == controller.ToCloud && c.Path == "/machines" && c.Method == "POST":
		w.checkRental(c.Body)
	}
}

// replyFrom returns the function that delivers the answer from a zone.
func (c *outboundCall) replyFrom(zone string) func(int, string) {
	return func(status int, body string) {
		c.w.after(c.w.delay(), func() {
			c.w.deliverAcrossZones(zone, c.node.zone, func() {
				if !c.node.cut {
					c.finish(controller.CallResult{Status: status, Body: []byte(body)})
				}
			})
		})
	}
}

// deliver delivers the call to its target.
func (c *outboundCall) deliver() {
	switch c.Target {
	case controller.ToState:
		c.deliverToState()
	case controller.ToCloud:
		c.deliverToCloud()
	case controller.ToPeer:
		for _, other := range c.w.nodes {
			if other.name == c.Addr && !c.node.unlinked && !other.unlinked {
				c.deliverToPeer(other)
			}
		}
	case controller.ToInstance:
		c.w.checkInstance(c.node, c.Call, c.replyFrom)
	case controller.ToWorker:
		c.deliverToWorker()
	}
}

func (c *outboundCall) deliverToState() {
	w, n := c.w, c.node
	if n.disconnected {
		n.heldMessages = append(n.heldMessages, func() { w.store.serve(c.Method, c.Path, c.Body, func(int, string) {}) })
		return
	}
	if n.denied {
		c.replyFrom("")(503, `{"error":"trouble"}`)
		return
	}
	if delayed, delay := w.lateWrites.next(c.Path == "/commit", string(c.Body)); delayed {
		if w.lateWrites.atOnce {
			delay = 0
		}
		w.note("a transaction of %s is held up", n.name)
		w.after(delay, func() {
			w.deliverAcrossZones(n.zone, "", func() { w.store.serveCopy(c.Method, c.Path, c.Body) })
		})
		return
	}
	w.deliverAcrossZones(n.zone, "", c.serveState)
}

// serveState has the state service carry out the call, and returns its answer.
func (c *outboundCall) serveState() {
	w, n := c.w, c.node
	answerDelay := w.answerDelay(c.Path, c.Body)
	w.store.serve(c.Method, c.Path, c.Body, func(status int, body string) {
		reply := func() { c.replyFrom("")(status, body) }
		if w.losesAnswer(n, c.Call, status, reply) {
			return
		}
		switch {
		case answerDelay > 0:
			w.after(answerDelay, reply)
		case n.disconnected: // the answer to an open watch, for example
			n.heldMessages = append(n.heldMessages, reply)
		case w.stateDelay == 0:
			reply()
		default:
			w.after(w.stateDelay, reply)
		}
	})
}

func (c *outboundCall) deliverToCloud() {
	w := c.w
	if w.delaysCloudRequest(c.node, c.Call) {
		return
	}
	w.deliverAcrossZones(c.node.zone, "", func() {
		status, body := w.serveCloud(c.Method, c.Path, c.Body)
		extra := micros(0)
		if c.Path == "/machines" {
			extra = w.cloudDelay
		}
		w.after(extra, func() { c.replyFrom("")(status, body) })
	})
}

func (c *outboundCall) deliverToPeer(other *node) {
	w, n := c.w, c.node
	deliverOrHold(n, other, func() {
		w.deliverAcrossZones(n.zone, other.zone, func() {
			w.deliverPeerCall(other, c.Call, func(status int, body string) {
				deliverOrHold(n, other, func() { c.replyFrom(other.zone)(status, body) })
			}, c.finish)
		})
	})
}

func (c *outboundCall) deliverToWorker() {
	w, n := c.w, c.node
	m := w.machines[strings.TrimSuffix(c.Addr, ":9000")]
	if m == nil || n.workersUnreachable || m.inboundCut || m.unreachableNodes[n.name] || w.holdCommand(n, m, c.Call) {
		return
	}
	w.deliverAcrossZones(n.zone, m.zone, func() { w.callWorker(m, c.Call, c.replyFrom(m.zone)) })
}

// deliverCopy delivers a call once more and discards the answer.
func (w *World) deliverCopy(c controller.Call) {
	discard := func(int, string) {}
	switch c.Target {
	case controller.ToState:
		w.store.serveCopy(c.Method, c.Path, c.Body)
	case controller.ToCloud:
		w.serveCloud(c.Method, c.Path, c.Body)
	case controller.ToPeer:
		for _, other := range w.nodes {
			if other.name == c.Addr && other.alive {
				w.deliverPeerCall(other, c, discard, func(controller.CallResult) {})
			}
		}
	case controller.ToWorker:
		if m := w.machines[strings.TrimSuffix(c.Addr, ":9000")]; m != nil {
			w.callWorker(m, c, discard)
		}
	case controller.ToInstance:
	}
}

// deliverPeerCall delivers a call from one controller to the controller target. A call to a stopped
// node ends as a refused connection.
func (w *World) deliverPeerCall(target *node, c controller.Call, reply func(int, string), finish func(controller.CallResult)) {
	if !target.alive {
		finish(controller.CallResult{NotSent: true, ConnectionRefused: true})
		return
	}
	if target.cut {
		return
	}
	frame, _, err := protocol.SplitPeer(c.Body)
	if err != nil {
		w.reportViolation("malformed frame: %v", err)
		return
	}
	msg, err := protocol.ParsePeer(frame)
	if err != nil {
		w.reportViolation("malformed frame: %v", err)
		return
	}
	w.nextConn++
	w.answers[w.nextConn] = func(status int, body []byte) {
		if status < 0 { // the body is a complete frame
			reply(200, string(body))
			return
		}
		if m := w.machines[fastjson.GetString(msg.Body, "host")]; msg.Kind == protocol.PeerHeartbeat && m != nil {
			w.checkCommands(m, body)
		}
		out := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerResponse, Status: uint16(status), Body: body})
		frame, _, _ := protocol.SplitPeer(out)
		reply(200, string(frame))
	}
	to := controller.ReplyAddress{Conn: w.nextConn, Peer: true}
	w.step(target, controller.PeerEvent(to, msg))
}
