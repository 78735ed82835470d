package controller

import (
	"net/http"

	"mapleslip/internal/protocol"
)

// outbox collects the effects of a step, and the callbacks of calls that have no result yet.
type outbox struct {
	effects []Effect
	calls   map[uint64]openCall
	callSeq uint64

	internalCalls   map[uint64]func(status int, body []byte)
	internalCallSeq uint64
}

// openCall is an outbound call without a result yet.
type openCall struct {
	target Target
	done   func(CallResult)
}

func newOutbox() outbox {
	return outbox{calls: make(map[uint64]openCall), internalCalls: make(map[uint64]func(int, []byte))}
}

// flush returns the collected effects and clears them.
func (o *outbox) flush() []Effect {
	effects := o.effects
	o.effects = nil
	return effects
}

func (o *outbox) emit(e Effect) { o.effects = append(o.effects, e) }

// send emits an outbound call. done is called with its result.
func (o *outbox) send(c Call, done func(CallResult)) {
	o.callSeq++
	c.ID = o.callSeq
	o.calls[c.ID] = openCall{c.Target, done}
	o.emit(c)
}

// sendPeer sends a frame to another controller.
func (o *outbox) sendPeer(addr string, m *protocol.PeerMessage, timeout micros, done func(CallResult)) {
	o.sendFrame(addr, protocol.AppendPeer(nil, m), timeout, done)
}

// sendFrame sends an encoded frame to another controller.
func (o *outbox) sendFrame(addr string, frame []byte, timeout micros, done func(CallResult)) {
	o.send(Call{Target: ToPeer, Addr: addr, Body: frame, Timeout: timeout}, done)
}

// sendToWorker sends commands to a worker directly.
func (o *outbox) sendToWorker(addr string, body []byte, timeout micros, done func(CallResult)) {
	o.send(Call{Target: ToWorker, Addr: addr, Method: http.MethodPost, Path: "/commands", Body: body, Timeout: timeout}, done)
}

// reply answers a request.
func (o *outbox) reply(to ReplyAddress, status int, body []byte) { o.replyAfter(to, status, body, 0) }

// replyAfter answers a request with the time after which the request may be repeated.
func (o *outbox) replyAfter(to ReplyAddress, status int, body []byte, retryAfter micros) {
	if to.internal > 0 {
		o.onInternalReply(to, status, body)
		return
	}
	o.emit(Reply{To: to, Status: status, Body: body, RetryAfter: retryAfter})
}

// replyError answers a request with an error.
func (o *outbox) replyError(to ReplyAddress, status int, message string) {
	o.reply(to, status, protocol.ErrorBody(message))
}

// replyNotLeader answers another controller that this one is not the leader and does not serve the
// request.
func (o *outbox) replyNotLeader(to ReplyAddress) { o.reply(to, 0, nil) }

// replyFrame answers another controller with a frame.
func (o *outbox) replyFrame(to ReplyAddress, m *protocol.PeerMessage) {
	o.emit(Reply{To: to, Status: http.StatusOK, Body: protocol.AppendPeer(nil, m), Frame: true})
}

// callInternally lets this controller make a user's request to itself. request is called with the
// address for the reply, and done with the reply.
func (o *outbox) callInternally(request func(to ReplyAddress), done func(status int, body []byte)) {
	o.internalCallSeq++
	o.internalCalls[o.internalCallSeq] = done
	request(ReplyAddress{internal: o.internalCallSeq})
}

func (o *outbox) onInternalReply(to ReplyAddress, status int, body []byte) {
	done := o.internalCalls[to.internal]
	delete(o.internalCalls, to.internal)
	if done != nil {
		done(status, body)
	}
}

// replyCommands answers a heartbeat with commands, under a fencing token.
func (o *outbox) replyCommands(to ReplyAddress, token uint64, commands []protocol.Command) {
	o.reply(to, http.StatusOK, protocol.AppendCommands(nil, token, 0, commands))
}
