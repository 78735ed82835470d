package rollout

import (
	"cmp"
	"fmt"
	"math/bits"

	"mapleslip/internal/protocol"
)

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
	service             *service
	isNew               bool // of the new version
	lastObservation     uint64
	running             bool
	attempt             uint64
	ip                  string
	since               micros // that it runs, or that it does not
	health              Health
	streak              int       // results of the same kind in a row; below 0: fails
	results             int       // of this attempt
	window              uint8     // the last eight, a bit for each fail
	disputes            [8]string // of the last eight, the controller whose fail another one did not see
	lastPassAt          micros    // when the last check that passed began, 0: none
	unconfirmedFailures int       // fails in a row that no other controller could confirm
	confirming          bool      // a check failed, and others are being asked
	hasPassed           bool      // it has been Passing in this attempt
	lastFailure         string    // of the last fail

	nextCheckAt   micros
	heapIndex     int // in the heap of due checks, -1: not there
	checkInFlight bool
}

// restart begins with a new attempt, or with none.
func (i *instance) restart(now micros, in Instance) {
	*i = instance{slot: i.slot, service: i.service, isNew: i.isNew, lastObservation: i.lastObservation, running: in.Running, attempt: in.Attempt, ip: in.IP, since: now, heapIndex: i.heapIndex, checkInFlight: i.checkInFlight}
}

// healthy reports whether an instance counts: it passed lately, and last. While a
// fail is being confirmed it still does, but nothing is taken away relying on it.
func (i *instance) healthy(now, good micros) bool {
	return i.running && i.health == Passing && i.streak > 0 && i.unconfirmedFailures == 0 && now-i.lastPassAt <= good
}

// unhealthy reports whether it certainly does not count, so that nothing is lost
// with it. One that is not known well enough is neither.
func (i *instance) unhealthy() bool {
	if i.isNew && i.service.record.State == Reverting {
		// Its version is found faulty already: one fail that others confirmed will do.
		return !i.running || i.streak < 0
	}
	return !i.running || i.health == Failing
}

// isFlapping reports whether too many of the last checks failed, in a row or not. Fails
// that another controller did not see count where more than one controller saw such:
// of an instance that fails every other time most fails are seen once only, and one
// controller whose own links are cut is a single one.
func (i *instance) isFlapping() bool {
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
	return fails >= maxWindowFailures
}

// maxWindowFailures is how many of the last eight checks may not fail.
const maxWindowFailures = 4

// addResult notes a result: a pass, or a fail that another controller has confirmed.
// disputed: the controller that had found it failing before it passed.
func (i *instance) addResult(began micros, ok bool, disputed, why string, h *protocol.HealthCheck) {
	i.confirming = false
	i.disputes[i.results%len(i.disputes)] = disputed
	if disputed != "" {
		i.lastFailure = why
	}
	i.results++
	i.unconfirmedFailures = 0
	i.window <<= 1
	if ok {
		i.streak = max(i.streak, 0) + 1
		i.lastPassAt = began
		if i.streak >= h.SuccessThreshold {
			i.health, i.hasPassed = Passing, true
		}
		return
	}
	i.window |= 1
	i.lastFailure = why
	if i.streak = min(i.streak, 0) - 1; -i.streak >= h.FailureThreshold {
		i.health = Failing
	}
}
