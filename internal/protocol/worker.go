package protocol

import (
	"errors"
	"strconv"
	"strings"
)

// TaskState is a task's state on a machine, as its worker reports it.
type TaskState uint8

// States of a task on a machine.
const (
	TaskFetching TaskState = iota
	TaskWaiting
	TaskRunning
	TaskCheckpointing
	TaskExited
)

var taskStates = map[string]TaskState{"fetching": TaskFetching, "waiting": TaskWaiting, "running": TaskRunning, "saving": TaskCheckpointing, "exited": TaskExited}

// ExitReason says why a task ended.
type ExitReason string

// Reasons for an exit.
const (
	ExitDone       ExitReason = "done"
	ExitStopped    ExitReason = "stopped"
	ExitPeers      ExitReason = "peers"
	ExitIncomplete ExitReason = "incomplete"
	ExitError      ExitReason = "error"
	ExitFull       ExitReason = "full"
	ExitBusy       ExitReason = "busy"
	ExitUnknown    ExitReason = "no_such"
)

// TaskName is a task of a job.
type TaskName struct {
	Job   string
	Index int
}

func (t TaskName) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// AttemptName is one start of a task.
type AttemptName struct {
	TaskName
	Number uint64
}

// TaskStatus is one task of a report.
type TaskStatus struct {
	AttemptName
	State        TaskState
	Reason       ExitReason
	Checkpointed bool
}

// Heartbeat is what a worker says of its machine.
type Heartbeat struct {
	Host, Addr, Type, Zone      string
	Spot                        bool
	AgentEpoch, Sequence, Token uint64
	Interrupted                 bool
	InterruptedIn               Micros
	Tasks                       []TaskStatus
}

// NewerThan reports whether r is newer than the message (session, tick).
func (r *Heartbeat) NewerThan(agentEpoch, sequence uint64) bool {
	return r.AgentEpoch > agentEpoch || (r.AgentEpoch == agentEpoch && r.Sequence > sequence)
}

// ParseHeartbeat checks a worker's report.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := parseObject(p, body)
	if err != nil {
		return nil, err
	}
	f := &fields{obj: v}
	r := &Heartbeat{
		Host: f.text("host"), Addr: f.text("addr"), Type: f.text("flavor"), Zone: f.text("region"),
		Spot: f.flag("reclaimable"), AgentEpoch: f.count("tenure"), Sequence: f.count("tick"), Token: f.count("epoch"),
	}
	if f.optional("reclaimInS") != nil {
		r.Interrupted, r.InterruptedIn = true, FromSeconds(f.number("reclaimInS"))
	}
	list := v.Get("shards")
	if list == nil {
		return nil, errors.New("shards: missing")
	}
	items, err := list.Array()
	if err != nil {
		return nil, errors.New("shards: invalid")
	}
	r.Tasks = make([]TaskStatus, 0, len(items))
	for _, it := range items {
		tf := &fields{obj: it}
		name, ok := parseTaskName(tf.text("shard"))
		state, known := taskStates[tf.text("phase")]
		t := TaskStatus{AttemptName: AttemptName{name, tf.count("try")}, State: state}
		if v := it.Get("saved"); v != nil {
			t.Checkpointed = v.GetBool()
		}
		if state == TaskExited && tf.optional("exitReason") != nil {
			t.Reason = ExitReason(tf.text("exitReason"))
		}
		if tf.err != nil || !ok || !known {
			return nil, errors.New("shards: invalid")
		}
		r.Tasks = append(r.Tasks, t)
	}
	return r, f.err
}

func parseTaskName(s string) (TaskName, bool) {
	job, index, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(index)
	return TaskName{job, n}, ok && err == nil && n >= 0 && n < MaxTasks && job != ""
}

// Verb is what a command asks of a worker.
type Verb uint8

// Commands to workers.
const (
	VerbLaunch Verb = iota
	VerbStop
	VerbForget
)

// Command is one command to a worker.
type Command struct {
	Verb  Verb
	Name  AttemptName
	Grace Micros
}

// AppendCommands writes the answer to a report. The line limit is 64 KiB, so
// commands beyond it wait for the next report: Fits says how many go.
func AppendCommands(b []byte, token uint64, agentEpoch uint64, cmds []Command) []byte {
	b = append(b, `{"epoch":`...)
	b = strconv.AppendUint(b, token, 10)
	if agentEpoch > 0 {
		b = append(b, `,"tenure":`...)
		b = strconv.AppendUint(b, agentEpoch, 10)
	}
	b = append(b, `,"orders":[`...)
	for i, c := range cmds {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, [...]string{`{"verb":"launch","shard":`, `{"verb":"stop","shard":`, `{"verb":"forget","shard":`}[c.Verb]...)
		b = AppendQuoted(b, c.Name.String())
		b = append(b, `,"try":`...)
		b = strconv.AppendUint(b, c.Name.Number, 10)
		if c.Verb == VerbStop {
			b = append(b, `,"drainS":`...)
			b = appendSeconds(b, c.Grace)
		}
		b = append(b, '}')
	}
	return append(b, "]}"...)
}

// MaxCommands is how many commands fit into one line of 64 KiB.
const MaxCommands = 500
