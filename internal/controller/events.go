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
	Reply   ReplyAddress
	Op      protocol.UserOp
	Ref     string
	Body    []byte // as it was received, to be forwarded
	content requestContent
}

// requestContent is what the body of a request says, by its operation.
type requestContent struct {
	job     *protocol.JobSpec      // OpSubmit
	rollout *protocol.RolloutSpec  // OpRollout
	change  *configuration.Request // OpConfigApply, OpConfigRollback
	err     error                  // why the body says nothing
}

// NewUserRequest returns a request whose body is parsed. It may be called by any goroutine, so that a
// body that takes long to parse does not hold up the event loop.
func NewUserRequest(to ReplyAddress, op protocol.UserOp, ref string, body []byte) UserRequest {
	e := UserRequest{Reply: to, Op: op, Ref: ref, Body: body}
	c := &e.content
	switch op {
	case protocol.OpSubmit:
		c.job, c.err = protocol.ParseJob(body)
	case protocol.OpRollout:
		c.rollout, c.err = protocol.ParseRollout(body)
	case protocol.OpConfigApply, protocol.OpConfigRollback:
		c.change, c.err = configuration.ParseRequest(body, op == protocol.OpConfigRollback)
	default: // has no body
	}
	return e
}

// WorkerHeartbeat is a worker's heartbeat, from the worker or forwarded by another controller.
type WorkerHeartbeat struct {
	Reply ReplyAddress
	Body  []byte // as it was received, to be forwarded
	// ReturnedFromLeader is set if another controller forwarded the heartbeat after it had
	// redirected the worker to this controller and the worker had returned to it.
	ReturnedFromLeader bool

	heartbeat *protocol.Heartbeat
	err       error // why the body is not a heartbeat
}

// NewWorkerHeartbeat returns a heartbeat whose body is parsed. It may be called by any goroutine.
func NewWorkerHeartbeat(to ReplyAddress, body []byte, returnedFromLeader bool) WorkerHeartbeat {
	e := WorkerHeartbeat{Reply: to, Body: body, ReturnedFromLeader: returnedFromLeader}
	e.heartbeat, e.err = protocol.ParseHeartbeat(body)
	return e
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
// that is not a request. It may be called by any goroutine.
func PeerEvent(to ReplyAddress, m *protocol.PeerMessage) Event {
	if m == nil {
		return nil
	}
	switch m.Kind {
	case protocol.PeerUserRequest:
		return NewUserRequest(to, m.Op, m.Ref, m.Body)
	case protocol.PeerStatusRequest:
		return PeerStatusRequest{Reply: to, Epoch: m.Epoch, From: m.From, Body: m.Body}
	case protocol.PeerHeartbeat:
		return NewWorkerHeartbeat(to, m.Body, m.ReturnedFromLeader)
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
