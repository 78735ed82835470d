// Package checker is what the supervisor of a scale run knows of jobs and tasks: it tells
// workers what a launched task is, brings the tasks of a gang together, keeps saved
// progress and results, and judges the protocol's rules from what the workers and the
// users have seen. It does no I/O, has no clock and isn't safe for concurrent use.
//
// Gangs are brought together as messages come; rules are judged later, in the order of
// the times that the messages carry.
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

// Violation is a rule of the protocol that was broken.
type Violation struct {
	Kind string // as the protocol calls it: ran_twice, quota, ...
	Text string
	At   int64 // microseconds, as wire.Now
}

// Start is a task that was started, or a gang that runs whole.
type Start struct {
	Spec  *protocol.JobSpec
	Task  string // REF/INDEX#TRY; of a gang, its last task
	Tasks int    // 1, of a gang all
	Again bool   // not the first start of this task, or gang
	Due   int64  // when its submission was due
	Asked int64  // when its worker got the command, of a gang the last one's
	At    int64  // when it had its image, of a gang the last one
	Fetch int64  // how long its image took from the command on, 0: it was there; of a gang the longest
}

// ClassCount counts a class of jobs.
type ClassCount struct {
	Jobs    int // submitted
	Starts  int
	Running int // tasks on machines now
	Done    int // tasks
}

// Counts says how much has happened.
type Counts struct {
	Jobs    int // submitted
	Starts  int
	Running int // tasks on machines now
	Done    int
	Late    int            // messages that came after their time had been judged
	Unknown int            // messages that name a machine or task that nobody has spoken of
	Leaves  map[string]int // by reason: those of the protocol, `lease`, `restarted`, `ended`, `released`, `lost`
	Classes map[string]ClassCount
}

const (
	// window is how late messages may come. What is older is judged.
	window = int64(2 * protocol.Second)
	// unknownJob is how long a worker waits for a job that its user may be about to submit.
	unknownJob = int64(protocol.Second)
	maxBroken  = 100
)

// Hub is told everything by Take. Its cost per event doesn't depend on how many jobs,
// tasks or machines there are.
type Hub struct {
	platform *protocol.Platform
	types    map[string]*protocol.MachineType
	send     func(part string, m *wire.Message)
	starts   func(Start)

	jobs     map[string]*job
	machines map[string]*machine
	teams    map[string]*protocol.Resources // used by judged tasks
	asked    map[string]int64               // when an attempt was launched, until it starts
	asks     []ask                          // about jobs that nobody has submitted
	saving   []*attempt                     // gangs that were told to save, until that has gone one way

	events  eventHeap
	seq     uint64
	judged  int64             // all until then is
	polls   map[string]*polls // by the region that users asked from
	broken  []Violation
	counts  Counts
	classes map[string]*ClassCount
}

// machine is one that there is or was.
type machine struct {
	wire.Machine
	part  string
	on    map[string]place // judged: attempts that are on it
	gang  map[string]bool  // attempts of gangs that are on it, as of now
	early map[string]early // judged: those that left at the moment at which they came
}

// place is a task that is on a machine.
type place struct {
	job     *job
	index   int
	try     uint64
	machine *machine
}

// job is one that a user has submitted.
type job struct {
	ref   string
	spec  *protocol.JobSpec // nil: malformed
	raw   json.RawMessage
	run   int64 // of a task
	due   int64
	kept  bits // results, as of now
	left  map[int]int64
	gang  int64 // what is left of a gang's run
	tries map[uint64]*attempt

	// Judged.
	on        map[int]place
	zones     map[string]int // tasks that are on machines
	done      bits
	started   bits
	accepted  int64 // when its user was first told so; 0: never
	toldDone  int64
	cancelled int64 // when its user was told so
	asked     int64 // when its user asked for that; 0: never
	failing   int64 // since when all questions have failed; 0: they haven't
}

// bits are the tasks of a job that have something.
type bits struct {
	words []uint64
	n     int
}

func (b *bits) has(i int) bool { return i/64 < len(b.words) && b.words[i/64]&(1<<(i%64)) != 0 }

// set reports whether it wasn't there before.
func (b *bits) set(i int) bool {
	if b.has(i) {
		return false
	}
	for len(b.words) <= i/64 {
		b.words = append(b.words, 0)
	}
	b.words[i/64] |= 1 << (i % 64)
	b.n++
	return true
}

type ask struct {
	part string
	m    *wire.Message
}

// New makes a hub. send hands a message to a part; it must not call the hub.
func New(platform *protocol.Platform, types []*protocol.MachineType, send func(part string, m *wire.Message)) *Hub {
	h := &Hub{
		platform: platform, types: make(map[string]*protocol.MachineType), send: send, starts: func(Start) {},
		jobs: make(map[string]*job), polls: make(map[string]*polls), machines: make(map[string]*machine), teams: make(map[string]*protocol.Resources),
		asked: make(map[string]int64), classes: make(map[string]*ClassCount),
	}
	h.counts.Leaves = make(map[string]int)
	for _, t := range types {
		h.types[t.Name] = t
	}
	return h
}

// Take takes a message of a part: those of kind Submit, Answer, Jobs, Enter, Leave,
// Waiting, Peers, Progress, Ended and Broken matter, others are let pass. Rules are judged later,
// by Tick, since messages of several parts come out of order.
//
// An Answer's Due is when its request was due, or sent; Status is 0 where no answer came in
// time. Each request that was made gets one, failed ones too: a cancellation that was never
// answered has been asked for all the same.
func (h *Hub) Take(part string, m *wire.Message) {
	switch m.Kind {
	case wire.Submit:
		h.submitted(m)
	case wire.Jobs:
		h.asked[m.Task] = m.At
		h.describe(part, m)
	case wire.Cancel:
		h.push(m.At, byAnswer, func() {
			if j := h.jobs[m.Ref]; j != nil {
				j.ask(m.Due)
			}
		})
	case wire.Broken:
		h.push(m.At, byAnswer, func() { h.violated(m.At, m.Name, "%s", m.Text) })
	case wire.Answer:
		h.push(m.At, byAnswer, func() { h.answered(m) })
	case wire.Enter, wire.Leave, wire.Waiting, wire.Peers, wire.Progress, wire.Ended:
		j, index, try := h.task(m.Task)
		if j == nil || index >= j.spec.Tasks {
			h.counts.Unknown++
			return
		}
		h.gangTakes(j, index, try, m)
		switch m.Kind {
		case wire.Progress:
			if left := j.left[index]; left == 0 || m.Run < left {
				if j.left == nil {
					j.left = make(map[int]int64)
				}
				j.left[index] = max(1, m.Run)
			}
		case wire.Ended:
			j.kept.set(index)
			h.push(m.At, byLeave, func() { h.finished(j, index) })
		case wire.Enter:
			asked := h.asked[m.Task]
			delete(h.asked, m.Task)
			h.push(m.At, byEnter, func() { h.enters(j, index, try, m, asked) })
		case wire.Leave:
			h.push(m.At, byLeave, func() { h.leaves(j, index, try, m.Name, m.Text, m.At) })
		}
	}
}

// Machine says that there is a machine, or that it is booting, and which part plays it.
func (h *Hub) Machine(m wire.Machine, part string) {
	if old := h.machines[m.Name]; old != nil { // said again
		old.Machine, old.part = m, part
		return
	}
	h.machines[m.Name] = &machine{Machine: m, part: part, on: make(map[string]place), gang: make(map[string]bool)}
}

// MachineGone says that a machine and all tasks on it are gone since at. It may be
// called also if its part has said so of the tasks.
func (h *Hub) MachineGone(name string, at int64) {
	m := h.machines[name]
	if m == nil {
		return
	}
	for task := range m.gang {
		if j, index, try := h.task(task); j != nil {
			h.gangTakes(j, index, try, &wire.Message{Kind: wire.Leave, Task: task, Name: name, At: at, Text: "lost"})
		}
	}
	h.push(at, byLeave, func() {
		for task, p := range m.on {
			h.leaves(p.job, p.index, p.try, name, "lost", at)
			delete(m.on, task)
		}
	})
}

// Tick judges all that happened up to two seconds before at. It is called some times a
// second, and at the end of a run with a time at least two seconds after the last event.
func (h *Hub) Tick(at int64) {
	rest := h.asks[:0]
	for _, a := range h.asks {
		if a.m.At+unknownJob > at {
			rest = append(rest, a)
			continue
		}
		delete(h.asked, a.m.Task)
		h.send(a.part, &wire.Message{Kind: wire.Jobs, Task: a.m.Task, Name: a.m.Name, Status: 404})
	}
	h.asks = rest
	h.lateSavers(at)
	until := at - window
	for len(h.events) > 0 && h.events[0].at <= until {
		heap.Pop(&h.events).(event).judge()
	}
	h.judged = max(h.judged, until)
}

// Broken lists the rules that were broken, the first 100 of them.
func (h *Hub) Broken() []Violation { return h.broken }

// Counts says how much has happened so far, as judged. The maps are the caller's.
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

// Starts has take called for each start, from within Tick.
func (h *Hub) Starts(take func(Start)) { h.starts = take }

// task finds what REF/INDEX#TRY names; nil: there is no such job.
func (h *Hub) task(name string) (j *job, index int, try uint64) {
	ref, rest, ok := strings.Cut(name, "/")
	number, attempt, ok2 := strings.Cut(rest, "#")
	index, err := strconv.Atoi(number)
	try, err2 := strconv.ParseUint(attempt, 10, 64)
	if j = h.jobs[ref]; !ok || !ok2 || err != nil || err2 != nil || index < 0 || j == nil || j.spec == nil {
		return nil, 0, 0
	}
	return j, index, try
}

// submitted takes descriptions in, before their users send them.
func (h *Hub) submitted(m *wire.Message) {
	for _, raw := range m.Specs {
		ref := fastjson.GetString(raw, "ref")
		if h.jobs[ref] != nil {
			continue // a retry
		}
		j := &job{ref: ref, raw: raw, run: m.Run, due: m.Due, on: make(map[int]place), zones: make(map[string]int)}
		if j.due == 0 {
			j.due = m.At
		}
		if spec, err := protocol.ParseJob(raw); err == nil {
			j.spec = spec
			h.class(spec.Class).Jobs++
		}
		h.jobs[ref] = j
		h.counts.Jobs++
	}
	asks := h.asks
	h.asks = nil
	for _, a := range asks {
		h.describe(a.part, a.m)
	}
}

// describe tells a worker what a task is that it was told to launch.
func (h *Hub) describe(part string, m *wire.Message) {
	j, index, _ := h.task(m.Task)
	if j == nil {
		h.asks = append(h.asks, ask{part, m})
		return
	}
	a := &wire.Message{Kind: wire.Jobs, Task: m.Task, Name: m.Name, Status: 200, Run: j.run, For: j.left[index]}
	if m.Ref != "" {
		a.Specs = []json.RawMessage{j.raw}
	}
	if j.kept.has(index) {
		a.Phase = "done"
	}
	h.send(part, a)
}

func (h *Hub) class(name string) *ClassCount {
	c := h.classes[name]
	if c == nil {
		c = new(ClassCount)
		h.classes[name] = c
	}
	return c
}

func (h *Hub) violated(at int64, kind, format string, args ...any) {
	if len(h.broken) < maxBroken {
		h.broken = append(h.broken, Violation{kind, fmt.Sprintf(format, args...), at})
	}
}

// What happened at the same time is judged in this order.
const (
	byLeave = iota
	byEnter
	byAnswer
	byDeadline
)

// event waits until it is judged.
type event struct {
	at    int64
	class int
	seq   uint64
	judge func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	if h[a].at != h[b].at {
		return h[a].at < h[b].at
	}
	if h[a].class != h[b].class {
		return h[a].class < h[b].class
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

func (h *Hub) push(at int64, class int, judge func()) {
	if at <= h.judged {
		h.counts.Late++
	}
	h.seq++
	heap.Push(&h.events, event{at, class, h.seq, judge})
}
