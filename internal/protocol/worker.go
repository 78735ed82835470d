package protocol

import (
	"errors"
	"strconv"
	"strings"
)

// TaskState is the state of a task on a host, as reported by the host's worker.
type TaskState uint8

// States of a task on a host.
const (
	TaskFetching TaskState = iota
	TaskWaiting
	TaskRunning
	TaskCheckpointing
	TaskExited
)

var taskStates = map[string]TaskState{"fetching": TaskFetching, "waiting": TaskWaiting, "running": TaskRunning, "saving": TaskCheckpointing, "exited": TaskExited}

// ExitReason is the reason that a worker reports for the exit of a task.
type ExitReason string

// Reasons for the exit of a task.
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

// TaskName identifies a task by its job and its index in the job.
type TaskName struct {
	Job   string
	Index int
}

func (t TaskName) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// AttemptName identifies one attempt to run a task.
type AttemptName struct {
	TaskName
	Number uint64
}

// TaskStatus is the status of one attempt in a heartbeat.
type TaskStatus struct {
	AttemptName
	State        TaskState
	Reason       ExitReason
	Checkpointed bool
}

// Heartbeat is a worker's report on its host and the tasks there. AgentEpoch increases each time
// the worker's lease expires, and Sequence numbers the messages within an agent epoch. SeenEpoch is
// the newest leader epoch that the worker has received; it is the worker's fencing token.
// Interrupted is set once the cloud has announced that it will reclaim the spot machine, after the
// time InterruptedIn.
type Heartbeat struct {
	Host, Addr, Type, Zone          string
	Spot                            bool
	AgentEpoch, Sequence, SeenEpoch uint64
	Interrupted                     bool
	InterruptedIn                   Micros
	Tasks                           []TaskStatus
}

// NewerThan reports whether h is newer than the worker's message with the given agent epoch and
// sequence number.
func (h *Heartbeat) NewerThan(agentEpoch, sequence uint64) bool {
	return h.AgentEpoch > agentEpoch || (h.AgentEpoch == agentEpoch && h.Sequence > sequence)
}

// ParseHeartbeat parses and validates a worker's heartbeat.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := ParseObject(p, body)
	if err != nil {
		return nil, err
	}
	f := &fields{obj: v}
	h := &Heartbeat{
		Host: f.text("host"), Addr: f.text("addr"), Type: f.text("flavor"), Zone: f.text("region"),
		Spot: f.flag("reclaimable"), AgentEpoch: f.integer("tenure"), Sequence: f.integer("tick"), SeenEpoch: f.integer("epoch"),
	}
	if f.optional("reclaimInS") != nil {
		h.Interrupted, h.InterruptedIn = true, FromSeconds(f.number("reclaimInS"))
	}
	list := v.Get("shards")
	if list == nil {
		return nil, errors.New("shards: missing")
	}
	items, err := list.Array()
	if err != nil {
		return nil, errors.New("shards: invalid")
	}
	h.Tasks = make([]TaskStatus, 0, len(items))
	for _, item := range items {
		taskFields := &fields{obj: item}
		name, ok := parseTaskName(taskFields.text("shard"))
		state, known := taskStates[taskFields.text("phase")]
		t := TaskStatus{AttemptName: AttemptName{name, taskFields.integer("try")}, State: state}
		if v := item.Get("saved"); v != nil {
			t.Checkpointed = v.GetBool()
		}
		if state == TaskExited && taskFields.optional("exitReason") != nil {
			t.Reason = ExitReason(taskFields.text("exitReason"))
		}
		if taskFields.err != nil || !ok || !known {
			return nil, errors.New("shards: invalid")
		}
		h.Tasks = append(h.Tasks, t)
	}
	return h, f.err
}

func parseTaskName(s string) (TaskName, bool) {
	job, index, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(index)
	return TaskName{job, n}, ok && err == nil && n >= 0 && n < MaxTasks && job != ""
}

// Verb is the action that a command requests from a worker.
type Verb uint8

// Actions of commands.
const (
	VerbLaunch Verb = iota
	VerbStop
	VerbForget
)

func (v Verb) String() string { return [...]string{"launch", "stop", "forget"}[v] }

// Command is a command to a worker about one attempt.
type Command struct {
	Verb  Verb
	Name  AttemptName
	Grace Micros // of VerbStop: time that the task gets to save a checkpoint
}

// AppendCommands appends the commands for a worker under a fencing token, as the response to a
// heartbeat or as the body of a request to the worker. agentEpoch is the agent epoch to which the
// worker must belong to accept a request; a response, with agentEpoch 0, leaves it out. A message
// is limited to 64 KiB: callers pass at most MaxCommands and send the rest with the response to
// the next heartbeat.
func AppendCommands(b []byte, token uint64, agentEpoch uint64, commands []Command) []byte {
	b = append(b, `{"epoch":`...)
	b = strconv.AppendUint(b, token, 10)
	if agentEpoch > 0 {
		b = append(b, `,"tenure":`...)
		b = strconv.AppendUint(b, agentEpoch, 10)
	}
	b = append(b, `,"orders":[`...)
	for i, c := range commands {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(b, `{"verb":"`...), c.Verb.String()...)
		b = AppendQuoted(append(b, `","shard":`...), c.Name.String())
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

// MaxCommands is the number of commands that fit into one message of 64 KiB.
const MaxCommands = 500

// MaxHeartbeatTasks is the number of tasks that fit into one heartbeat of 64 KiB, exited ones
// included. A controller refuses a larger heartbeat, and the worker's lease would expire.
const MaxHeartbeatTasks = 550
