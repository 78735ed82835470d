package simulation

import (
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
)

// report returns the body of the next heartbeat of a worker.
func (w *World) report(m *machine) string {
	m.reportSeq++
	b := make([]byte, 0, 200+90*len(m.tasks))
	text := func(name, value string) { b = append(append(append(append(b, name...), '"'), value...), '"') }
	text(`{"host":`, m.name)
	text(`,"addr":`, w.workerAddr(m))
	text(`,"flavor":`, m.typ)
	text(`,"region":`, m.zone)
	b = strconv.AppendBool(append(b, `,"reclaimable":`...), m.spot)
	b = strconv.AppendUint(append(b, `,"tenure":`...), m.session, 10)
	b = strconv.AppendUint(append(b, `,"tick":`...), m.reportSeq, 10)
	b = strconv.AppendUint(append(b, `,"epoch":`...), m.epoch, 10)
	b = append(b, `,"reclaimInS":null,"shards":[`...)
	for i, t := range m.sorted() {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(append(b, `{"shard":"`...), t.job.spec.Ref...), '/')
		b = strconv.AppendInt(b, int64(t.index), 10)
		b = strconv.AppendUint(append(b, `","try":`...), t.attempt, 10)
		text(`,"phase":`, t.state)
		if t.state == "exited" {
			text(`,"exitReason":`, t.exitReason)
			b = strconv.AppendBool(append(b, `,"saved":`...), t.checkpointed)
		}
		b = append(b, '}')
	}
	w.largestReport = max(w.largestReport, len(b)+len("]}"))
	return string(append(b, "]}"...))
}

const (
	heartbeatTimeout     = 4 * protocol.Second // after which a worker drops the answer
	heartbeatRetryDelay  = protocol.Second     // before the next controller gets one
	redirectedRetryDelay = protocol.Second / 10
)

// heartbeat is a heartbeat that a worker has sent and that may not be answered yet.
type heartbeat struct {
	w       *World
	m       *machine
	body    string
	session uint64
	sentAt  micros
	over    bool // answered or timed out
}

// sendReport sends a heartbeat to the controller at nodeIndex. If no answer arrives in time, the
// worker tries the next controller.
func (w *World) sendReport(m *machine) {
	m.inFlight, m.stateChanged = true, false
	m.nextReport = w.now + w.Platform.HeartbeatInterval
	h := &heartbeat{w: w, m: m, body: w.report(m), session: m.session, sentAt: w.now}
	w.keepReport(h.body)
	switch {
	case w.live != nil: // the controllers are real processes
		h.sendLive(w.live)
	case m.outboundCut:
		w.failToConnect(m)
	default:
		h.send(w.nodes[m.nodeIndex%len(w.nodes)])
	}
}

// sendLive sends the heartbeat over a real connection.
func (h *heartbeat) sendLive(l *Live) {
	l.openWorker(h.m)
	l.sendHeartbeat(h.m.nodeIndex, h.body, func(status int, answer []byte) {
		if status != 0 {
			h.w.checkMessage("answer to hello", checkAnswer("hello", status, answer))
		}
		if !h.m.answersLost && !h.m.hung {
			h.onAnswer(status, answer)
		}
	})
	l.copyRequest(func() { l.sendHeartbeat(h.m.nodeIndex, h.body, func(int, []byte) {}) })
	h.w.after(heartbeatTimeout, h.fail)
}

// send sends the heartbeat to a simulated controller, and copies of it if there are any.
func (h *heartbeat) send(n *node) {
	w, m := h.w, h.m
	send := func() { w.deliverAcrossZones(m.zone, n.zone, func() { h.deliver(n) }) }
	if copied, delay := w.lateReports.next(true, h.body); copied && w.lateReports.forNext {
		w.keepForNext(h.body)
	} else if copied {
		toLeader := w.lateReports.toLeader
		w.after(delay, func() { w.copyReport(n, toLeader, h.body) })
	}
	w.copyHeartbeat(n, h.body)
	if m.holdReports {
		m.heldReports = append(m.heldReports, send)
	} else {
		w.after(w.delay(), send)
	}
	w.after(heartbeatTimeout, h.fail)
}

// deliver delivers the heartbeat to a controller.
func (h *heartbeat) deliver(n *node) {
	w, m := h.w, h.m
	if n.workersUnreachable || m.unreachableNodes[n.name] {
		return
	}
	if !n.alive || n.cut {
		w.after(w.delay(), h.fail)
		return
	}
	w.request(n, "hello", h.body, func(status int, answer []byte) {
		// An answer that another node passes on is checked at the leader that made it.
		if n.ctl.Role() == controller.RoleLeader {
			w.checkCommands(m, answer)
		}
		if m.answersLost || m.hung || m.inboundCut {
			return // the answer is lost
		}
		w.after(w.delay(), func() {
			w.deliverAcrossZones(n.zone, m.zone, func() { h.onAnswer(status, answer) })
		})
	})
}

// onAnswer handles the answer to the heartbeat.
func (h *heartbeat) onAnswer(status int, answer []byte) {
	if h.over || h.m.phase != "running" {
		return
	}
	h.over = true
	h.m.inFlight = false
	h.w.handleHeartbeatReply(h.m, h.session, h.sentAt, status, answer)
}

// fail ends the heartbeat without an answer.
func (h *heartbeat) fail() {
	if h.over {
		return
	}
	h.over = true
	h.m.inFlight = false
	h.m.nodeIndex++
	h.m.nextReport = h.w.now + heartbeatRetryDelay
}

// handleHeartbeatReply handles the answer to a heartbeat: it turns to the leader that a redirect
// names, or to the next controller on failure, or renews the lease and executes the commands.
func (w *World) handleHeartbeatReply(m *machine, session uint64, sent micros, status int, resp []byte) {
	if status == 421 {
		leader := fastjson.GetString(resp, "leader")
		names := w.nodeNames()
		for i, name := range names {
			if name == leader && i != m.nodeIndex%len(names) {
				m.nodeIndex = i
				m.nextReport = w.now + redirectedRetryDelay
				return
			}
		}
	}
	if status != 200 {
		m.nodeIndex++
		m.nextReport = w.now + heartbeatRetryDelay
		return
	}
	epoch := uint64(fastjson.GetInt(resp, "epoch"))
	if epoch < m.epoch || epoch == 0 || session != m.session {
		return
	}
	if epoch > m.epoch {
		m.epoch = epoch
		m.stateChanged = true
	}
	m.leaseStart = sent
	w.executeCommands(m, resp)
}
