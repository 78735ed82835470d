package rollout

import (
	"cmp"
	"fmt"
	"math/bits"

	"mapleslip/internal/protocol"
)

// Life is how a job stands.
type Life uint8

// How a job stands.
const (
	Absent    Life = iota // not known: not accepted yet, or over and gone
	Live                  // accepted
	Cancelled             // cancelled; tasks may still be on machines
)

// Job is what the leader knows of a job.
type Job struct {
	Life    Life
	Settled bool // none of its tasks can be on a machine
	Service bool // it is a daemon job
	Spec    *protocol.JobSpec
}

// Instance is a task of a job as the leader knows it.
type Instance struct {
	Index   int
	Running bool
	Unheard bool // an earlier leader launched it, and its machine has not been heard of since
	Attempt uint64
	IP      string // of its machine
}

// JobSource is what the leader knows of jobs. each, if it is not nil, is called for
// every task of a job that is known.
type JobSource interface {
	Job(ref string, each func(Instance)) Job
}

// Health is what the checks of an instance say.
type Health uint8

// What the checks of an instance say.
const (
	Unknown Health = iota // not enough checks since it runs, or since this node leads
	Passing               // as many passes in a row as asked for, and no row of fails since
	Failing               // as many fails in a row as asked for
)

// slot is a place of a version that an attempt fills.
type slot struct {
	ref   string
	index int
}

func (s slot) compare(o slot) int {
	return cmp.Or(cmp.Compare(s.ref, o.ref), cmp.Compare(s.index, o.index))
}

func (s slot) String() string { return fmt.Sprintf("%s/%d", s.ref, s.index) }

// instance is what this leader has seen of a slot. A new leader begins with
// nothing: what was checked under another one is checked anew.
type instance struct {
	slot
	m        *machine
	fresh    bool // of the new version
	seen     uint64
	running  bool
	attempt  uint64
	ip       string
	since    micros // that it runs, or that it does not
	health   Health
	row      int       // results of the same kind in a row; below 0: fails
	results  int       // of this attempt
	window   uint8     // the last eight, a bit for each fail
	disputes [8]string // of the last eight, the controller whose fail another one did not see
	passed   micros    // when the last check that passed began, 0: none
	doubted  int       // fails in a row that no other controller could confirm
	suspect  bool      // a check failed, and others are being asked
	passing  bool      // it has been Passing in this attempt
	why      string    // of the last fail

	due   micros
	place int // in the heap of due checks, -1: not there
	busy  bool
}

// restart begins with a new attempt, or with none.
func (i *instance) restart(now micros, in Instance) {
	*i = instance{slot: i.slot, m: i.m, fresh: i.fresh, seen: i.seen, running: in.Running, attempt: in.Attempt, ip: in.IP, since: now, place: i.place, busy: i.busy}
}

// healthy reports whether an instance counts: it passed lately, and last. While a
// fail is being confirmed it still does, but nothing is taken away relying on it.
func (i *instance) healthy(now, good micros) bool {
	return i.running && i.health == Passing && i.row > 0 && i.doubted == 0 && now-i.passed <= good
}

// unhealthy reports whether it certainly does not count, so that nothing is lost
// with it. One that is not known well enough is neither.
func (i *instance) unhealthy() bool {
	if i.fresh && i.m.rec.State == Reverting {
		// Its version is found faulty already: one fail that others confirmed will do.
		return !i.running || i.row < 0
	}
	return !i.running || i.health == Failing
}

// flaps reports whether too many of the last checks failed, in a row or not. Fails
// that another controller did not see count where more than one controller saw such:
// of an instance that fails every other time most fails are seen once only, and one
// controller whose own links are cut is a single one.
func (i *instance) flaps() bool {
	fails, first, several := bits.OnesCount8(i.window), "", false
	disputed := 0
	for _, by := range i.disputes {
		if by != "" {
			disputed++
			several = several || first != "" && by != first
			first = by
		}
	}
	if several {
		fails += disputed
	}
	return fails >= mostFlaps
}

// mostFlaps is how many of the last eight checks may not fail.
const mostFlaps = 4

// took notes a result: a pass, or a fail that another controller has confirmed.
// disputed: the controller that had found it failing before it passed.
func (i *instance) took(began micros, ok bool, disputed, why string, h *protocol.HealthCheck) {
	i.suspect = false
	i.disputes[i.results%len(i.disputes)] = disputed
	if disputed != "" {
		i.why = why
	}
	i.results++
	i.doubted = 0
	i.window <<= 1
	if ok {
		i.row = max(i.row, 0) + 1
		i.passed = began
		if i.row >= h.SuccessThreshold {
			i.health, i.passing = Passing, true
		}
		return
	}
	i.window |= 1
	i.why = why
	if i.row = min(i.row, 0) - 1; -i.row >= h.FailureThreshold {
		i.health = Failing
	}
}

// due checks are a heap by time.
type dueHeap []*instance

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(a, b int) bool { return h[a].due < h[b].due }
func (h dueHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].place, h[b].place = a, b
}

// Push is part of heap.Interface.
func (h *dueHeap) Push(x any) {
	i := x.(*instance)
	i.place = len(*h)
	*h = append(*h, i)
}

// Pop is part of heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	i := old[len(old)-1]
	i.place = -1
	*h = old[:len(old)-1]
	return i
}
