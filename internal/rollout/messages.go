package rollout

import "mapleslip/internal/protocol"

// Event is an external event that Manager.Step handles.
type Event interface{ event() }

// Tick signals that time has passed.
type Tick struct{}

// Saved reports that the record of a service in the last Save is durable.
type Saved struct{ Service string }

// Submitted is the answer to the submission of a job.
type Submitted struct {
	Ref     string
	Status  int
	Phase   protocol.Phase // phase of an accepted job
	Refusal string         // reason for a permanent rejection
}

// CancelDone is the answer to the cancellation of a job. Status 404 means that the job does not
// exist.
type CancelDone struct {
	Ref    string
	Status int
}

// Checked is the result of a check.
type Checked struct {
	ID         uint64
	Made       bool // false if no controller could make the check
	OK         bool
	Controller string // controller that made the check
	Failure    string // reason for a failure
}

// TaskFailed reports that a task of a job ended with an error.
type TaskFailed struct {
	Ref   string
	Index int
}

// Op is the operation that an operator requests.
type Op uint8

// Operations.
const (
	Start Op = iota
	Show
	List
	Pause
	Resume
	Revert
)

// Request is a request by an operator.
type Request struct {
	To      uint64 // identifies the request in its Reply
	Op      Op
	Service string
	Spec    *protocol.RolloutSpec // set for Start only
}

// Effect is an action that the caller of Manager.Step has to carry out.
type Effect interface{ effect() }

// Save requests that the record of a service be written on condition that this controller is still
// the leader. The caller retries until the record is durable or another controller leads.
type Save struct {
	Service string
	Value   []byte
}

// Submit requests that a job be submitted in the same way as by a user.
type Submit struct{ Job *protocol.JobSpec }

// Cancel requests that a job be cancelled in the same way as by its user.
type Cancel struct{ Ref string }

// Check requests that an instance be checked by any controller that is not in Except.
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

// StateChanged reports a change of state that is durable.
type StateChanged struct {
	Service, ID string
	From, To    State
	Reason      string
	Text        string // message made from the operators' template, "" without one
}

// CheckDisputed reports that controller Against found an instance failing that controller By then
// found healthy. The cause is more likely in the links of Against.
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
