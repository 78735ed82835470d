// Package hub is what the supervisor of a scale run knows of jobs and tasks: it tells
// workers what a launched task is, brings the tasks of a gang together, keeps saved
// progress and results, and judges the protocol's rules from what the workers and the
// users have seen. It does no I/O, has no clock and isn't safe for concurrent use.
package hub

import (
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
	Fetch int64  // how long its image took, 0: it was there; of a gang the longest
}

// ClassCount counts a class of jobs.
type ClassCount struct {
	Jobs    int // submitted
	Starts  int
	Running int // on machines now
	Done    int // tasks
}

// Counts says how much has happened.
type Counts struct {
	Jobs    int
	Starts  int
	Running int // tasks on machines now
	Done    int
	Leaves  map[string]int // by reason; `lost`: with its machine
	Classes map[string]ClassCount
}

// Hub is told everything by Take. Its cost per event doesn't depend on how many jobs,
// tasks or machines there are.
type Hub struct {
	platform *protocol.Platform
	send     func(part string, m *wire.Message)
	starts   func(Start)
}

// New makes a hub. send hands a message to a part; it must not call the hub.
func New(platform *protocol.Platform, types []*protocol.MachineType, send func(part string, m *wire.Message)) *Hub {
	return &Hub{platform: platform, send: send}
}

// Take takes a message of a part: those of kind Submit, Answer, Jobs, Enter, Leave,
// Waiting, Peers, Progress and Ended matter, others are let pass. Rules are judged later,
// by Tick, since messages of several parts come out of order.
func (h *Hub) Take(part string, m *wire.Message) {}

// Machine says that there is a machine, or that it is booting, and which part plays it.
func (h *Hub) Machine(m wire.Machine, part string) {}

// MachineGone says that a machine and all tasks on it are gone since at. It may be
// called also if its part has said so of the tasks.
func (h *Hub) MachineGone(name string, at int64) {}

// Tick judges all that happened up to a second before at. It is called some times a
// second, and at the end of a run with a time at least two seconds after the last event.
func (h *Hub) Tick(at int64) {}

// Broken lists the rules that were broken, the first 100 of them.
func (h *Hub) Broken() []Violation { return nil }

// Counts says how much has happened so far, as judged.
func (h *Hub) Counts() Counts { return Counts{} }

// Starts has take called for each start, from within Tick.
func (h *Hub) Starts(take func(Start)) { h.starts = take }
