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

// call delivers an outbound call of a controller to its target, subject to the faults that are set,
// and returns the answer, or none after the call's timeout, to the controller.
func (w *World) call(n *node, c controller.Call) {
	w.checkSends(n, c)
	if c.Target == controller.ToWorker {
		if m := w.machines[strings.TrimSuffix(c.Addr, ":9000")]; m != nil {
			w.checkCommands(m, c.Body)
		}
	}
	if w.changes != nil && c.Target == controller.ToCloud && c.Path == "/machines" && c.Method == "POST" {
		w.checkRental(c.Body)
	}
	if c.Target == controller.ToWorker && c.Path == "/commands" && !hasOrders(c) {
		w.emptyCalls++
	}
	w.triggerLeaderEnd(n, c)
	incarnation, answered := n.incarnation, false
	finish := func(d controller.CallResult) {
		if !answered && n.alive && n.incarnation == incarnation {
			answered = true
			d.ID = c.ID
			w.step(n, d)
		}
	}
	replyFrom := func(zone string) func(int, string) {
		return func(status int, body string) {
			w.after(w.delay(), func() {
				w.deliverAcrossZones(zone, n.zone, func() {
					if !n.cut {
						finish(controller.CallResult{Status: status, Body: []byte(body)})
					}
				})
			})
		}
	}
	if c.Target == controller.ToPeer && w.maxPeerCalls > 0 {
		if n.peerCalls >= w.maxPeerCalls {
			w.after(0, func() { finish(controller.CallResult{NotSent: true}) })
			return
		}
		n.peerCalls++
		finishCall := finish
		finish = func(d controller.CallResult) {
			if !answered && n.incarnation == incarnation {
				n.peerCalls--
			}
			finishCall(d)
		}
	}
	w.after(c.Timeout, func() { finish(controller.CallResult{}) })
	if n.cut {
		return
	}
	w.copyCall(c)
	if copied, by := w.copiedCommands.next(hasOrders(c), string(c.Body)); copied {
		w.after(by, func() { w.deliverCopy(c) })
	}
	w.after(w.delay(), func() {
		switch c.Target {
		case controller.ToState:
			if n.disconnected {
				n.heldMessages = append(n.heldMessages, func() { w.store.serve(c.Method, c.Path, c.Body, func(int, string) {}) })
				return
			}
			if n.denied {
				replyFrom("")(503, `{"error":"trouble"}`)
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
			w.deliverAcrossZones(n.zone, "", func() {
				answerDelay := w.answerDelay(c.Path, c.Body)
				w.store.serve(c.Method, c.Path, c.Body, func(status int, body string) {
					reply := func() { replyFrom("")(status, body) }
					if w.losesAnswer(n, c, status, reply) {
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
			})
		case controller.ToCloud:
			if w.delaysCloudRequest(n, c) {
				return
			}
			w.deliverAcrossZones(n.zone, "", func() {
				status, body := w.serveCloud(c.Method, c.Path, c.Body)
				extra := micros(0)
				if c.Path == "/machines" {
					extra = w.cloudDelay
				}
				w.after(extra, func() { replyFrom("")(status, body) })
			})
		case controller.ToPeer:
			for _, other := range w.nodes {
				if other.name != c.Addr || n.unlinked || other.unlinked {
					continue
				}
				deliverOrHold(n, other, func() {
					w.deliverAcrossZones(n.zone, other.zone, func() {
						w.deliverPeerCall(other, c, func(status int, body string) {
							deliverOrHold(n, other, func() { replyFrom(other.zone)(status, body) })
						}, finish)
					})
				})
			}
		case controller.ToInstance:
			w.checkInstance(n, c, replyFrom)
		case controller.ToWorker:
			if m := w.machines[strings.TrimSuffix(c.Addr, ":9000")]; m != nil && !n.workersUnreachable && !m.inboundCut && !m.unreachableNodes[n.name] && !w.holdCommand(n, m, c) {
				w.deliverAcrossZones(n.zone, m.zone, func() { w.callWorker(m, c, replyFrom(m.zone)) })
			}
		}
	})
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
