package simulation

import (
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
)

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
