package controller

import (
	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

// Event is something that happened outside.
type Event interface{ event() }

// UserRequest is a user's or an operator's request, from a connection or forwarded by another
// controller.
type UserRequest struct {
	Reply ReplyAddress
	Op    protocol.UserOp
	Ref   string
	Body  []byte
}

// WorkerHeartbeat is a worker's heartbeat, from the worker or forwarded by another controller.
type WorkerHeartbeat struct {
	Reply ReplyAddress
	Body  []byte
	// ReturnedFromLeader: forwarded by a controller that had sent the worker here before.
	ReturnedFromLeader bool
}

// PeerStatusRequest is another controller's question for the status of this one.
type PeerStatusRequest struct {
	Reply ReplyAddress
	Epoch uint64 // under which the other one leads, 0: it does not
	From  string
	Body  []byte // a leader's handover state
}

// WorkerProbe is a leader's command to a worker, for this controller to send.
type WorkerProbe struct {
	Reply ReplyAddress
	Addr  string
	Body  []byte
}

// HealthCheckRequest is a leader's check of an instance, for this controller to make.
type HealthCheckRequest struct {
	Reply      ReplyAddress
	Kind       protocol.CheckKind
	Addr, Path string
	Timeout    micros
}

// FeatureRangeRequest is a leader's question for the feature levels that this controller
// serves.
type FeatureRangeRequest struct{ Reply ReplyAddress }

// ConfigGrantRequest is a leader's grant of a lease on a revision of the configuration.
type ConfigGrantRequest struct {
	Reply    ReplyAddress
	Grant    configuration.Grant
	Document []byte // nil: this controller has it
}

// HealthzRequest is the load balancer's question for this controller's health.
type HealthzRequest struct{ Reply ReplyAddress }

// CallResult is the end of a call. Status 0: there was no answer.
type CallResult struct {
	ID      uint64
	Status  int
	Body    []byte
	NotSent bool // certainly not executed
	// ConnectionRefused: the other side could not be connected to. A call that was not sent for
	// another reason says nothing of the other side.
	ConnectionRefused bool
}

// notAttempted reports whether a call was not made for want of a connection of this
// controller's own, or of room in a rate: it says nothing of the other side.
func (r CallResult) notAttempted() bool { return r.NotSent && !r.ConnectionRefused }

// Tick is the passing of time. Periodic work is done with ticks.
type Tick struct {
	Backlog int // events that wait
}

func (UserRequest) event()         {}
func (WorkerHeartbeat) event()     {}
func (PeerStatusRequest) event()   {}
func (WorkerProbe) event()         {}
func (HealthCheckRequest) event()  {}
func (FeatureRangeRequest) event() {}
func (ConfigGrantRequest) event()  {}
func (HealthzRequest) event()      {}
func (CallResult) event()          {}
func (Tick) event()                {}

// ReplyAddress is where an answer goes.
type ReplyAddress struct {
	Conn     uint64
	Peer     bool   // the other side is a controller
	internal uint64 // this controller itself, see callInternally
}

// PeerEvent is the event that a message of another controller is to this one, nil if it is
// none that is sent to ask.
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
		grant := configuration.Grant{Epoch: m.Epoch, Revision: m.Revision, Incarnation: m.Incarnation, HeardAt: m.At}
		return ConfigGrantRequest{Reply: to, Grant: grant, Document: m.Body}
	case protocol.PeerFeatureRequest:
		return FeatureRangeRequest{Reply: to}
	case protocol.PeerHealthCheck:
		return HealthCheckRequest{Reply: to, Kind: m.Check, Addr: m.Addr, Path: m.Path, Timeout: m.Timeout}
	case protocol.PeerResponse, protocol.PeerStatus, protocol.PeerConfigAck, protocol.PeerFeatureRange:
		return nil
	}
	return nil
}
