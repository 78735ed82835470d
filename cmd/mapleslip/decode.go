package main

import (
	"errors"
	"net/http"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
	"mapleslip/internal/stepwatch"
	"mapleslip/internal/transport"
)

// errNotRequest is the error for a frame that is a message and asks for nothing.
var errNotRequest = errors.New("not a request")

// decoded is a message that was converted into an event, or that is answered without one.
type decoded struct {
	event     controller.Event // nil if there is only the reply
	kind      string           // of the event, for metrics
	reply     controller.Reply
	malformed error // why a frame is no message
	about     stepwatch.Event
}

// decode converts a message into an event. It may be called by any goroutine.
func decode(m transport.Inbound) decoded {
	if m.HTTP == nil {
		return decodeFrame(m)
	}
	to := controller.ReplyAddress{Conn: uint64(m.Conn)}
	d := decoded{about: describe(m)}
	route := routeOf(m.HTTP)
	switch {
	case route == nil:
		d.reply = controller.Reply{To: to, Status: http.StatusNotFound, Body: protocol.ErrorBody("no such path")}
	case route.method != m.HTTP.Method:
		d.reply = controller.Reply{To: to, Status: http.StatusMethodNotAllowed, Body: protocol.ErrorBody("method not allowed")}
	default:
		d.event, d.kind = route.event(to), route.kind
	}
	return d
}

// decodeFrame converts a frame of another controller into an event.
func decodeFrame(m transport.Inbound) decoded {
	to := controller.ReplyAddress{Conn: uint64(m.Conn), Peer: true}
	d := decoded{kind: "controller", reply: controller.Reply{To: to}, about: describe(m)}
	message, err := protocol.ParsePeer(m.Frame)
	if err != nil {
		d.malformed = err
		return d
	}
	if d.event = controller.PeerEvent(to, message); d.event == nil {
		d.malformed = errNotRequest
	}
	return d
}

// describe describes an entry of the event queue to those who look for the cause of a long step.
func describe(m any) stepwatch.Event {
	switch e := m.(type) {
	case decoded:
		return e.about
	case answered:
		return stepwatch.Event{Kind: "answer", From: targetNames[e.target], What: e.call, Bytes: len(e.Body)}
	case transport.Inbound:
		if e.HTTP != nil {
			return stepwatch.Event{Kind: "request", From: "client", What: e.HTTP.Method + " " + e.HTTP.Path, Bytes: len(e.HTTP.Body)}
		}
		return stepwatch.Event{Kind: "controller", From: "controller", What: protocol.FrameKind(e.Frame).String(), Bytes: len(e.Frame)}
	}
	return stepwatch.Event{Kind: "other"}
}

const (
	// decodersPerQueue is how many messages of a queue are decoded at once. A message that takes
	// unforeseen time leaves room for another.
	decodersPerQueue = 2
	// decodeQueueLength limits the messages that wait to be decoded, in each queue. Their bodies take
	// at most 64 KiB each.
	decodeQueueLength = 512
)

// decoders decode messages that have a body outside the event loop: whatever one of them costs, the
// loop goes on, and so do the messages without a body, such as health checks and queries. Heartbeats
// and users' requests have queues of their own. The order of messages on a connection is kept, since a
// connection has one at a time.
type decoders struct {
	heartbeats, requests chan transport.Inbound
}

// startDecoders starts decoders that pass what they have decoded to done, which may wait.
func startDecoders(done func(decoded)) *decoders {
	return startDecodersWith(decode, done)
}

// startDecodersWith is startDecoders with another function to decode, for tests.
func startDecodersWith(decode func(transport.Inbound) decoded, done func(decoded)) *decoders {
	d := &decoders{make(chan transport.Inbound, decodeQueueLength), make(chan transport.Inbound, decodeQueueLength)}
	for _, queue := range []chan transport.Inbound{d.heartbeats, d.requests} {
		for range decodersPerQueue {
			go func() {
				for m := range queue {
					done(decode(m))
				}
			}()
		}
	}
	return d
}

// queueOf returns the queue of a message, or nil if it has no body to decode.
func (d *decoders) queueOf(m transport.Inbound) chan transport.Inbound {
	switch {
	case m.HTTP == nil:
		return d.queueOfFrame(m.Frame)
	case len(m.HTTP.Body) == 0:
		return nil
	case m.HTTP.Path == heartbeatPath:
		return d.heartbeats
	}
	return d.requests
}

func (d *decoders) queueOfFrame(frame []byte) chan transport.Inbound {
	switch protocol.FrameKind(frame) {
	case protocol.PeerHeartbeat:
		return d.heartbeats
	case protocol.PeerUserRequest:
		return d.requests
	default: // its fields are binary
		return nil
	}
}

// waiting returns the number of messages that wait to be decoded.
func (d *decoders) waiting() int { return len(d.heartbeats) + len(d.requests) }

// deliver queues a message for the decoders, or for the event loop if it has no body to decode. It
// returns false if the queue is full.
func (d *driver) deliver(m transport.Inbound) bool {
	if queue := d.decoders.queueOf(m); queue != nil {
		select {
		case queue <- m:
			return true
		default:
			return false
		}
	}
	select {
	case d.events <- m:
		return true
	default:
		return false
	}
}
