package controller

import (
	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

// Event is something that happened outside.
type Event interface{ event() }

// UserRequest is a user's request, from a connection or passed on by a node.
type UserRequest struct {
	Reply ReplyAddress
	Op    protocol.UserOp
	Ref   string
	Body  []byte
}

// WorkerHeartbeat is a worker's report, from the worker or passed on by a node.
type WorkerHeartbeat struct {
	Reply ReplyAddress
	Body  []byte
	// Returned: passed on by a node that had sent the worker here before.
	ReturnedFromLeader bool
}

// PeerStatusRequest is asked by a controller that leads under an epoch.
type PeerStatusRequest struct {
	Reply ReplyAddress
	Epoch uint64
	From  string // the leader
	Body  []byte // what it has seen
}

// WorkerProbe is a leader's call to a worker, for this node to make.
type WorkerProbe struct {
	Reply ReplyAddress
	Addr  string
	Body  []byte
}

// HealthCheckRequest is a leader's check of an instance, for this node to make.
type HealthCheckRequest struct {
	Reply      ReplyAddress
	Kind       protocol.CheckKind
	Addr, Path string
	Timeout    micros
}

// FeatureRangeRequest asks which feature levels this node serves.
type FeatureRangeRequest struct{ Reply ReplyAddress }

// ConfigGrantRequest is a leader's question about the revision that this node goes by.
type ConfigGrantRequest struct {
	Reply    ReplyAddress
	Grant    configuration.Grant
	Document []byte // nil: this node has it
}

// HealthzRequest asks for the node's health.
type HealthzRequest struct{ Reply ReplyAddress }

// CallResult is the end of a call. Status 0: no answer.
type CallResult struct {
	ID      uint64
	Status  int
	Body    []byte
	NotSent bool // certainly not executed
	// Refused: the other side could not be connected to. An unsent call that was
	// not refused says nothing of the other side.
	ConnectionRefused bool
}

// notAttempted reports whether a call was not made for want of a connection of this node's own,
// or of room in a rate: it says nothing of the other side.
func (d CallResult) notAttempted() bool { return d.NotSent && !d.ConnectionRefused }

// Tick is the passing of time. What is periodic is done with ticks.
type Tick struct {
	Backlog int // events that wait
}

// ReplyAddress is where an answer goes.
type ReplyAddress struct {
	Conn     uint64
	Peer     bool   // the other side is a controller
	internal uint64 // it is this one itself, see callInternally
}

func (UserRequest) event() {}

func (WorkerHeartbeat) event() {}

func (PeerStatusRequest) event() {}

func (WorkerProbe) event() {}

func (HealthCheckRequest) event() {}

func (FeatureRangeRequest) event() {}

func (ConfigGrantRequest) event() {}

func (HealthzRequest) event() {}

func (CallResult) event() {}

func (Tick) event() {}

// PeerEvent is the event that a message of another controller makes here, nil:
// it is none that is asked.
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
		return ConfigGrantRequest{Reply: to, Grant: configuration.Grant{Epoch: m.Epoch, Revision: m.Revision, Life: m.Incarnation, Heard: m.At}, Document: m.Body}
	case protocol.PeerFeatureRequest:
		return FeatureRangeRequest{Reply: to}
	case protocol.PeerHealthCheck:
		return HealthCheckRequest{Reply: to, Kind: m.Check, Addr: m.Addr, Path: m.Path, Timeout: m.Timeout}
	}
	return nil
}
