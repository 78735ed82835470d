package controller

import "mapleslip/internal/statestore"

// Effect is something to be done outside. The driver carries effects out in their order.
type Effect interface{ effect() }

// Target is who a call goes to.
type Target uint8

// Targets of calls.
const (
	ToState Target = iota
	ToCloud
	ToPeer
	ToWorker
	ToInstance // a check of an instance of a service
)

// Priority orders calls to the metered services: leadership goes before all others, which
// share the rates.
type Priority = statestore.Priority

// Priorities of calls.
const (
	priorityLeadership      Priority = iota
	priorityLatencyCritical          // somebody waits for the answer, and for work that has to start at once
	priorityUser                     // somebody waits for the answer
	priorityUrgent                   // work waits
	priorityNormal
	priorityFinalRecord // a job is over; beside what work waits for
)

// Reply answers a request.
type Reply struct {
	To         ReplyAddress
	Status     int
	Body       []byte
	RetryAfter micros
	Frame      bool // the body is a whole frame for another controller
}

// Call asks for an outbound call. The driver answers it with a CallResult of the same ID.
type Call struct {
	ID       uint64
	Target   Target
	Addr     string // of a peer, a worker or an instance
	Method   string
	Path     string
	Body     []byte
	Timeout  micros
	Priority Priority
	Changes  int // puts and deletes, of a call to the state service
}

// RateShare tells whether this controller leads, and so which part of the metered services'
// rates it may use.
type RateShare struct{ Leads bool }

// WriteRate tells that the state service takes another rate of changes, of all controllers
// together, than it did. Lowered: it has just refused some, so nothing is saved up.
type WriteRate struct {
	PerSecond float64
	Lowered   bool
}

// SetLogLevel sets the level of the log, "": as the process was started.
type SetLogLevel struct{ Level string }

func (Reply) effect()       {}
func (Call) effect()        {}
func (RateShare) effect()   {}
func (WriteRate) effect()   {}
func (SetLogLevel) effect() {}
func (Span) effect()        {}
