package rollout

import "mapleslip/internal/protocol"

// Event is something that happened outside.
type Event interface{ event() }

// Tick is the passing of time.
type Tick struct{}

// Saved says that a service's record is durable as it was last asked for.
type Saved struct{ Service string }

// Submitted is the answer to a job's submission.
type Submitted struct {
	Ref     string
	Status  int
	Phase   protocol.Phase // of a job that was accepted
	Refusal string         // it was refused for good
}

// CancelDone is the answer to a job's cancellation; 404: there is no such job.
type CancelDone struct {
	Ref    string
	Status int
}

// Checked is the end of a check.
type Checked struct {
	ID         uint64
	Made       bool // false: nobody could make it
	OK         bool
	Controller string // the controller that made it
	Failure    string // it failed
}

// TaskFailed says that a task of a job ended with an error.
type TaskFailed struct {
	Ref   string
	Index int
}

// Op is what an operator asks.
type Op uint8

// What operators ask.
const (
	Start Op = iota
	Show
	List
	Pause
	Resume
	Revert
)

// Request is an operator's.
type Request struct {
	To      uint64 // the answer names it
	Op      Op
	Service string
	Spec    *protocol.RolloutSpec // of Start
}

// Effect is something to be done outside.
type Effect interface{ effect() }

// Save asks for a service's record to be made durable, under the leader's stamp.
// It is tried until it is, or until the leader is another.
type Save struct {
	Service string
	Value   []byte
}

// Submit asks for a job to be submitted as a user's would be.
type Submit struct{ Job *protocol.JobSpec }

// Cancel asks for a job to be cancelled as its user would.
type Cancel struct{ Ref string }

// Check asks for an instance to be checked by some controller that is not in Not.
type Check struct {
	ID         uint64
	Kind       protocol.CheckKind
	Addr, Path string
	Timeout    micros
	Except     []string
}

// Reply answers a request.
type Reply struct {
	To     uint64
	Status int
	Body   []byte
}

// StateChanged tells of a change of state, once it is durable.
type StateChanged struct {
	Service, ID string
	From, To    State
	Reason      string
	Text        string // as the operators' template has it
}

// CheckDisputed tells that a controller found an instance failing that another one
// found well: its own links are more likely at fault.
type CheckDisputed struct{ By, Against string }

func (Tick) event() {}

func (Saved) event() {}

func (Submitted) event() {}

func (CancelDone) event() {}

func (Checked) event() {}

func (TaskFailed) event() {}

func (Request) event() {}

func (Save) effect() {}

func (Submit) effect() {}

func (Cancel) effect() {}

func (Check) effect() {}

func (Reply) effect() {}

func (StateChanged) effect() {}

func (CheckDisputed) effect() {}
