package controller

import "mapleslip/internal/statestore"

// Effect is an action outside of the controller. The driver carries effects out in order.
type Effect interface{ effect() }

// Target is the kind of the service that a call goes to.
type Target uint8

// Targets of calls.
const (
	ToState Target = iota
	ToCloud
	ToPeer
	ToWorker
	ToInstance // a health check of an instance of a service
)

// Priority orders calls to the rate-limited services. Calls for leadership precede all others,
// which share the rates.
type Priority = statestore.Priority

// Priorities of calls.
const (
	priorityLeadership      Priority = iota
	priorityLatencyCritical          // a user waits for the answer, and a job must start at once
	priorityUser                     // a user waits for the answer
	priorityUrgent                   // jobs or tasks wait for the result
	priorityNormal
	priorityFinalRecord // the record of a finished job; no job or task waits for it
)

// Reply answers a request.
type Reply struct {
	To         ReplyAddress
	Status     int
	Body       []byte
	RetryAfter micros
	Frame      bool // the body is a complete frame for another controller
}

// Call requests an outbound call. The driver reports its outcome as a CallResult with the same
// ID.
type Call struct {
	ID       uint64
	Target   Target
	Addr     string // the address of a peer, a worker or an instance
	Method   string
	Path     string
	Body     []byte
	Timeout  micros
	Priority Priority
	Changes  int // the number of puts and deletes, in a call to the state service
}

// RateShare reports to the driver whether this controller leads, which determines the share of
// the rates of the rate-limited services that it may use.
type RateShare struct{ Leads bool }

// WriteRate reports to the driver that the rate of changes which the state service accepts, for
// all controllers together, has changed.
type WriteRate struct {
	PerSecond float64
	Lowered   bool // the service has just refused changes, so no burst allowance may be kept
}

// SetLogLevel sets the log level. An empty level restores the level of the process's start.
type SetLogLevel struct{ Level string }

func (Reply) effect()       {}
func (Call) effect()        {}
func (RateShare) effect()   {}
func (WriteRate) effect()   {}
func (SetLogLevel) effect() {}
func (Span) effect()        {}
