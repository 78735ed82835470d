package controller

import (
	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

// Event is an input of the controller: a request, a heartbeat, the result of a call, or a tick.
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
	// ReturnedFromLeader is set if another controller forwarded the heartbeat after it had
	// redirected the worker to this controller and the worker had returned to it.
	ReturnedFromLeader bool
}

// PeerStatusRequest is another controller's request for the status of this one.
type PeerStatusRequest struct {
	Reply ReplyAddress
	Epoch uint64 // the epoch under which the sender leads, 0 if it does not lead
	From  string
	Body  []byte // the handover state of a leader
}

// WorkerProbe is a request of the leader to send a command to a worker on its behalf.
type WorkerProbe struct {
	Reply ReplyAddress
	Addr  string
	Body  []byte
}

// HealthCheckRequest is a request of the leader to check an instance of a service on its behalf.
type HealthCheckRequest struct {
	Reply      ReplyAddress
	Kind       protocol.CheckKind
	Addr, Path string
	Timeout    micros
}

// FeatureRangeRequest is a leader's request for the range of feature levels that this controller
// supports.
type FeatureRangeRequest struct{ Reply ReplyAddress }

// ConfigGrantRequest is a leader's grant of a lease on a revision of the configuration.
type ConfigGrantRequest struct {
	Reply    ReplyAddress
	Grant    configuration.Grant
	Document []byte // the configuration document, nil if this controller has it already
}

// HealthzRequest is the load balancer's health check of this controller.
type HealthzRequest struct{ Reply ReplyAddress }

// CallResult is the outcome of a call.
type CallResult struct {
	ID      uint64
	Status  int // 0 if there was no answer
	Body    []byte
	NotSent bool // the request was certainly not executed
	// ConnectionRefused is set if no connection to the other side could be opened. A call that
	// was not sent for another reason gives no information about the other side.
	ConnectionRefused bool
}

// notAttempted reports whether a call was not made because this controller had no free
// connection or had used up a rate. Such a result gives no information about the other side.
func (r CallResult) notAttempted() bool { return r.NotSent && !r.ConnectionRefused }

// Tick is a periodic event that drives periodic work.
type Tick struct {
	Backlog int // the number of events that wait in the driver's queue
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

// ReplyAddress identifies the recipient of a reply.
type ReplyAddress struct {
	Conn     uint64
	Peer     bool   // the recipient is another controller
	internal uint64 // the ID of an internal call, see callInternally; 0 for an external recipient
}

// PeerEvent converts a message of another controller into an event. It returns nil for a message
// that is not a request.
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
		grant := configuration.Grant{Epoch: m.Epoch, Revision: m.Revision, Incarnation: m.Incarnation, AcknowledgedAt: m.At}
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
