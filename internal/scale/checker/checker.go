// Package checker holds the supervisor's state of jobs and tasks in a scale run. It sends
// workers the description of a launched task, starts a gang when all its tasks wait, keeps
// saved progress and results, and checks the protocol's rules against the events that
// workers and users report. It does no I/O, has no clock and isn't safe for concurrent use.
//
// Gangs are handled as messages arrive; rules are checked later, in the order of the times
// that the messages carry.
package checker

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/wire"
)

// Violation is one breach of a rule of the protocol.
type Violation struct {
	Kind string // name of the rule in the protocol: ran_twice, quota, ...
	Text string
	At   int64 // time in microseconds, as from wire.Now
}

// Start is the start of a task, or of a gang once all its tasks are ready.
type Start struct {
	Spec  *protocol.JobSpec
	Task  string // REF/INDEX#TRY; for a gang, the task that became ready last
	Tasks int    // number of tasks: 1, or all tasks of a gang
	Again bool   // whether this task or gang had started before
	Due   int64  // time when its submission was due
	Asked int64  // time when the worker got the launch command; for a gang, the latest one
	At    int64  // time when the image was ready; for a gang, when its last task began to wait
	// Fetch is the time from the launch command until the image was ready, 0 if the machine
	// had it already; for a gang, the longest one.
	Fetch int64
}

// ClassCount counts the jobs and tasks of a job class.
type ClassCount struct {
	Jobs    int // submitted jobs
	Starts  int // started tasks
	Running int // tasks that are on machines now
	Done    int // completed tasks
}

// Counts has the totals of a run.
type Counts struct {
	Jobs    int // submitted jobs
	Starts  int // started tasks
	Running int // tasks that are on machines now
	Done    int // completed tasks
	Late    int // messages that arrived after the rules had been checked for their time
	Unknown int // messages about a machine or task that the checker has no record of
	// Leaves counts the tasks that left a machine, by reason: an exit reason of the protocol,
	// `lease`, `restarted`, `ended`, `released` or `lost`.
	Leaves  map[string]int
	Classes map[string]ClassCount // by class name
}

const (
	// lateWindow is the delay with which messages may arrive. Events older than that are checked.
	lateWindow = int64(2 * protocol.Second)
	// unknownJobWait is how long a worker's question about an unknown job is held back: the
	// message with the job's submission may still be on its way.
	unknownJobWait = int64(protocol.Second)
	maxViolations  = 100 // reported violations
)

// Hub tracks the jobs, tasks and machines of a run. Take passes it every message of the run's
// parts. Its cost per event doesn't depend on the number of jobs, tasks or machines.
type Hub struct {
	platform *protocol.Platform
	types    map[string]*protocol.MachineType
	send     func(part string, m *wire.Message)
	onStart  func(Start) // called for each start

	jobs                map[string]*job                // by ref
	machines            map[string]*machine            // by name
	usedByTeam          map[string]*protocol.Resources // resources in use as of judgedUntil, by team
	launchTimes         map[string]int64               // of tasks without an image yet, by name
	pendingDescriptions []descriptionRequest           // for jobs that haven't been submitted
	savingGangs         []*gangAttempt                 // until the save succeeds or fails

	events      eventHeap
	seq         uint64
	judgedUntil int64                   // events up to this time have been checked
	queries     map[string]*queryCounts // recent queries, by the region of the users
	violations  []Violation
	counts      Counts
	classes     map[string]*ClassCount
}

// machine is a machine that exists or has existed.
type machine struct {
	wire.Machine
	part      string
	tasks     map[string]placement // tasks on it as of Hub.judgedUntil, by name
	gangTasks map[string]bool      // tasks of gangs on it as of the latest message, by name
	// earlyLeaves has the tasks whose leave was checked before their enter, by name. This
	// happens when both have the same time.
	earlyLeaves map[string]earlyLeave
}

// placement is an attempt of a task on a machine.
type placement struct {
	job     *job
	index   int
	attempt uint64
	machine *machine
}

// job is a submitted job.
type job struct {
	ref           string
	spec          *protocol.JobSpec       // nil if the description is malformed
	raw           json.RawMessage         // description as submitted
	runTime       int64                   // run time of a task
	due           int64                   // time when its submission was due
	hasResult     taskSet                 // tasks with a stored result, as of the latest message
	remaining     map[int]int64           // run time left of tasks that have saved progress
	gangRemaining int64                   // run time left of a gang with saved progress, else 0
	attempts      map[uint64]*gangAttempt // gang attempts with a task on a machine, by number

	// The fields below are as of Hub.judgedUntil.

	placements        map[int]placement // tasks on machines, by index
	tasksByZone       map[string]int    // number of tasks on machines, by zone
	done              taskSet           // completed tasks
	started           taskSet           // tasks that have ever started; index Tasks: the whole gang
	acceptedAt        int64             // time of the first answer that accepted the job, 0 if none
	doneReportedAt    int64             // time of the first answer that it is done, 0 if none
	cancelReportedAt  int64             // time of the first answer that it is cancelled, 0 if none
	cancelRequestedAt int64             // time of the user's first cancellation request, 0 if none
	// unansweredSince is the due time of the first of the latest queries that all failed, 0 if the
	// last query was answered.
	unansweredSince int64
}

// taskSet is a set of task indexes of a job.
type taskSet struct {
	words []uint64
	n     int
}

func (s *taskSet) has(i int) bool { return i/64 < len(s.words) && s.words[i/64]&(1<<(i%64)) != 0 }

// add adds a task and reports whether the set didn't contain it before.
func (s *taskSet) add(i int) bool {
	if s.has(i) {
		return false
	}
	for len(s.words) <= i/64 {
		s.words = append(s.words, 0)
	}
	s.words[i/64] |= 1 << (i % 64)
	s.n++
	return true
}

// descriptionRequest is a worker's request for the description of a launched task.
type descriptionRequest struct {
	part string
	m    *wire.Message
}

// New returns a Hub. send sends a message to a part; it must not call methods of the Hub.
func New(platform *protocol.Platform, types []*protocol.MachineType, send func(part string, m *wire.Message)) *Hub {
	h := &Hub{
		platform: platform, types: make(map[string]*protocol.MachineType), send: send, onStart: func(Start) {},
		jobs: make(map[string]*job), queries: make(map[string]*queryCounts), machines: make(map[string]*machine), usedByTeam: make(map[string]*protocol.Resources),
		launchTimes: make(map[string]int64), classes: make(map[string]*ClassCount),
	}
	h.counts.Leaves = make(map[string]int)
	for _, t := range types {
		h.types[t.Name] = t
	}
	return h
}

// Take handles a message of a part. It uses the kinds Submit, Cancel, Answer, Jobs, Enter,
// Leave, Waiting, Peers, Progress, Ended and Broken and ignores all others. Rules are checked
// later, by Tick, since messages of several parts arrive out of order.
//
// Due of an Answer is the time when its request was due or sent; Status is 0 if no answer
// came in time. Every request gets an Answer message, failed ones too, because a cancellation
// without an answer still counts as requested.
func (h *Hub) Take(part string, m *wire.Message) {
	switch m.Kind {
	case wire.Submit:
		h.addJobs(m)
	case wire.Jobs:
		h.launchTimes[m.Task] = m.At
		h.describe(part, m)
	case wire.Cancel:
		h.schedule(m.At, orderAnswer, func() {
			if j := h.jobs[m.Ref]; j != nil {
				j.noteCancelRequest(m.Due)
			}
		})
	case wire.Broken:
		h.schedule(m.At, orderAnswer, func() { h.addViolation(m.At, m.Name, "%s", m.Text) })
	case wire.Answer:
		h.schedule(m.At, orderAnswer, func() { h.judgeAnswer(m) })
	case wire.Enter, wire.Leave, wire.Waiting, wire.Peers, wire.Progress, wire.Ended:
		j, index, attempt := h.parseTask(m.Task)
		if j == nil || index >= j.spec.Tasks {
			h.counts.Unknown++
			return
		}
		h.handleGangMessage(j, index, attempt, m)
		switch m.Kind {
		case wire.Progress:
			if left := j.remaining[index]; left == 0 || m.Run < left {
				if j.remaining == nil {
					j.remaining = make(map[int]int64)
				}
				j.remaining[index] = max(1, m.Run)
			}
		case wire.Ended:
			j.hasResult.add(index)
			h.schedule(m.At, orderLeave, func() { h.markDone(j, index) })
		case wire.Enter:
			launched := h.launchTimes[m.Task]
			delete(h.launchTimes, m.Task)
			h.schedule(m.At, orderEnter, func() { h.judgeEnter(j, index, attempt, m, launched) })
		case wire.Leave:
			h.schedule(m.At, orderLeave, func() { h.judgeLeave(j, index, attempt, m.Name, m.Text, m.At) })
		}
	}
}

// Machine adds a machine that is up or booting, with the part that simulates it. A second call
// for the same name replaces its data.
func (h *Hub) Machine(m wire.Machine, part string) {
	if old := h.machines[m.Name]; old != nil {
		old.Machine, old.part = m, part
		return
	}
	h.machines[m.Name] = &machine{Machine: m, part: part, tasks: make(map[string]placement), gangTasks: make(map[string]bool)}
}

// MachineGone records that a machine and all tasks on it are gone since at. It may also be
// called if the machine's part has already reported that the tasks left.
func (h *Hub) MachineGone(name string, at int64) {
	m := h.machines[name]
	if m == nil {
		return
	}
	for task := range m.gangTasks {
		if j, index, attempt := h.parseTask(task); j != nil {
			h.handleGangMessage(j, index, attempt, &wire.Message{Kind: wire.Leave, Task: task, Name: name, At: at, Text: "lost"})
		}
	}
	h.schedule(at, orderLeave, func() {
		for task, p := range m.tasks {
			h.judgeLeave(p.job, p.index, p.attempt, name, "lost", at)
			delete(m.tasks, task)
		}
	})
}

// Tick checks the rules for all events up to two seconds before at. It is called several times
// a second, and at the end of a run with a time at least two seconds after the last event.
func (h *Hub) Tick(at int64) {
	rest := h.pendingDescriptions[:0]
	for _, a := range h.pendingDescriptions {
		if a.m.At+unknownJobWait > at {
			rest = append(rest, a)
			continue
		}
		delete(h.launchTimes, a.m.Task)
		h.send(a.part, &wire.Message{Kind: wire.Jobs, Task: a.m.Task, Name: a.m.Name, Status: 404})
	}
	h.pendingDescriptions = rest
	h.expireSaves(at)
	until := at - lateWindow
	for len(h.events) > 0 && h.events[0].at <= until {
		heap.Pop(&h.events).(event).judge()
	}
	h.judgedUntil = max(h.judgedUntil, until)
}

// Broken lists the first 100 violations.
func (h *Hub) Broken() []Violation { return h.violations }

// Counts returns the totals of the events that have been checked so far; Jobs, Late and Unknown
// are counted as messages arrive. The caller owns the maps.
func (h *Hub) Counts() Counts {
	c := h.counts
	c.Leaves = make(map[string]int, len(h.counts.Leaves))
	for k, n := range h.counts.Leaves {
		c.Leaves[k] = n
	}
	c.Classes = make(map[string]ClassCount, len(h.classes))
	for k, n := range h.classes {
		c.Classes[k] = *n
	}
	return c
}

// Starts sets the function that is called for each start, from within Tick.
func (h *Hub) Starts(take func(Start)) { h.onStart = take }

// parseTask parses a task name, REF/INDEX#TRY. The job is nil if the name is malformed or if no
// such job with a valid description was submitted.
func (h *Hub) parseTask(name string) (j *job, index int, attempt uint64) {
	ref, rest, ok := strings.Cut(name, "/")
	indexText, attemptText, ok2 := strings.Cut(rest, "#")
	index, err := strconv.Atoi(indexText)
	attempt, err2 := strconv.ParseUint(attemptText, 10, 64)
	if j = h.jobs[ref]; !ok || !ok2 || err != nil || err2 != nil || index < 0 || j == nil || j.spec == nil {
		return nil, 0, 0
	}
	return j, index, attempt
}

// addJobs records the descriptions that users are about to submit.
func (h *Hub) addJobs(m *wire.Message) {
	for _, raw := range m.Specs {
		ref := fastjson.GetString(raw, "ref")
		if h.jobs[ref] != nil {
			continue // a retry of the submission
		}
		j := &job{ref: ref, raw: raw, runTime: m.Run, due: m.Due, placements: make(map[int]placement), tasksByZone: make(map[string]int)}
		if j.due == 0 {
			j.due = m.At
		}
		if spec, err := protocol.ParseJob(raw); err == nil {
			j.spec = spec
			h.classCount(spec.Class).Jobs++
		}
		h.jobs[ref] = j
		h.counts.Jobs++
	}
	requests := h.pendingDescriptions
	h.pendingDescriptions = nil
	for _, a := range requests {
		h.describe(a.part, a.m)
	}
}

// describe sends a worker the description of a task that it has to launch.
func (h *Hub) describe(part string, m *wire.Message) {
	j, index, _ := h.parseTask(m.Task)
	if j == nil {
		h.pendingDescriptions = append(h.pendingDescriptions, descriptionRequest{part, m})
		return
	}
	a := &wire.Message{Kind: wire.Jobs, Task: m.Task, Name: m.Name, Status: 200, Run: j.runTime, For: j.remaining[index]}
	if m.Ref != "" {
		a.Specs = []json.RawMessage{j.raw}
	}
	if j.hasResult.has(index) {
		a.Phase = "done"
	}
	h.send(part, a)
}

// classCount returns the counters of a class, which it creates if needed.
func (h *Hub) classCount(name string) *ClassCount {
	c := h.classes[name]
	if c == nil {
		c = new(ClassCount)
		h.classes[name] = c
	}
	return c
}

func (h *Hub) addViolation(at int64, kind, format string, args ...any) {
	if len(h.violations) < maxViolations {
		h.violations = append(h.violations, Violation{kind, fmt.Sprintf(format, args...), at})
	}
}

// Order in which events of the same time are checked.
const (
	orderLeave = iota
	orderEnter
	orderAnswer
	orderDeadline
)

// event is a check that is due once Tick reaches its time.
type event struct {
	at    int64
	order int
	seq   uint64
	judge func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	if h[a].at != h[b].at {
		return h[a].at < h[b].at
	}
	if h[a].order != h[b].order {
		return h[a].order < h[b].order
	}
	return h[a].seq < h[b].seq
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push is part of heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop is part of heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// schedule queues a check for Tick. A time that has been passed already counts as late.
func (h *Hub) schedule(at int64, order int, judge func()) {
	if at <= h.judgedUntil {
		h.counts.Late++
	}
	h.seq++
	heap.Push(&h.events, event{at, order, h.seq, judge})
}
