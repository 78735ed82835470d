package controller

// Effect is something to be done outside.
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

// Reply answers a request.
type Reply struct {
	To         ReplyAddress
	Status     int
	Body       []byte
	RetryAfter micros
	Frame      bool // the body is a whole frame for another controller
}

// Call asks for an outbound call.
type Call struct {
	ID       uint64
	Target   Target
	Addr     string // of a peer or a worker
	Method   string
	Path     string
	Body     []byte
	Timeout  micros
	Priority uint8
	Changes  int
}

// RateShare tells whether this node leads, and so which part of the metered
// services' rates it may use.
type RateShare struct{ Leads bool }

// WriteRate tells that the state service takes another rate of changes, of all controllers
// together, than it did. Lowered: it has just refused some, so nothing is saved up.
type WriteRate struct {
	PerSecond float64
	Lowered   bool
}

// SetLogLevel sets the level of the log, "": as the process was started.
type SetLogLevel struct{ Level string }

// Priorities of metered calls: the first goes before all others, which share the rates.
const (
	priorityLeadership      uint8 = iota
	priorityLatencyCritical       // somebody waits for the answer, and for work that has to start at once
	priorityUser                  // somebody waits for the answer
	priorityUrgent                // work waits
	priorityNormal
	priorityFinalRecord // a job is over; beside what work waits for
)

func (Reply) effect() {}

func (Call) effect() {}

func (RateShare) effect() {}

func (WriteRate) effect() {}

func (SetLogLevel) effect() {}
