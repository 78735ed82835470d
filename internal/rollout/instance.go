package rollout

import (
	"cmp"
	"fmt"
	"math/bits"

	"mapleslip/internal/protocol"
)

// Health is the state of an instance according to its checks.
type Health uint8

// Health states of an instance.
const (
	// Unknown means that there are too few results since the attempt started, or since this
	// controller became leader.
	Unknown Health = iota
	// Passing means SuccessThreshold passes in a row, and since then not FailureThreshold failures
	// in a row.
	Passing
	// Failing means FailureThreshold failures in a row.
	Failing
)

// slot identifies a task of a job. The attempts of the task fill the slot one after another.
type slot struct {
	ref   string
	index int
}

func (s slot) compare(o slot) int {
	return cmp.Or(cmp.Compare(s.ref, o.ref), cmp.Compare(s.index, o.index))
}

func (s slot) String() string { return fmt.Sprintf("%s/%d", s.ref, s.index) }

// instance is what this leader has observed of a slot. A new leader starts without results and
// repeats the checks that were made under earlier leaders.
type instance struct {
	slot
	service             *service
	isNew               bool   // belongs to the new version
	lastObservation     uint64 // observationSeq of the service when the instance was last observed
	running             bool
	attempt             uint64
	ip                  string
	stateSince          micros // time since which it has been running, or not running
	health              Health
	streak              int       // number of equal results in a row, negative for failures
	resultCount         int       // number of results of this attempt
	recentFailures      uint8     // the last eight results, with a bit set for each failure
	recentDisputes      [8]string // by result: controller whose failure this pass contradicted, or ""
	lastPassAt          micros    // start of the last check that passed, 0 if none has
	unconfirmedFailures int       // failures in a row that no other controller could confirm
	confirming          bool      // a check failed, and other controllers are repeating it
	hasPassed           bool      // has been Passing during this attempt
	lastFailure         string    // reason for the last failure

	nextCheckAt   micros
	heapIndex     int // index in the heap of due checks, -1 if not in it
	checkInFlight bool
}

// restart discards all results, for a new attempt or because no attempt runs.
func (i *instance) restart(now micros, observed Instance) {
	*i = instance{slot: i.slot, service: i.service, isNew: i.isNew, lastObservation: i.lastObservation, running: observed.Running, attempt: observed.Attempt, ip: observed.IP, stateSince: now, heapIndex: i.heapIndex, checkInFlight: i.checkInFlight}
}

// healthy reports whether an instance counts as healthy: it is Passing, and its last result is a
// pass not older than passLifetime. It still counts while a failure is being confirmed, but is
// then not relied on when other instances are removed.
func (i *instance) healthy(now, passLifetime micros) bool {
	return i.running && i.health == Passing && i.streak > 0 && i.unconfirmedFailures == 0 && now-i.lastPassAt <= passLifetime
}

// certainlyUnhealthy reports whether an instance is certainly not healthy, so that no healthy
// instance is lost if it is removed. An instance with too few results is neither healthy nor
// certainly unhealthy.
func (i *instance) certainlyUnhealthy() bool {
	if i.isNew && i.service.record.State == Reverting {
		// The new version has already been found faulty, so one confirmed failure suffices.
		return !i.running || i.streak < 0
	}
	return !i.running || i.health == Failing
}

// isFlapping reports whether at least flapThreshold of the last eight checks failed, in a row or
// not. Failures that another controller did not confirm count only if several controllers
// reported such failures: most failures of an instance that fails every other check are seen only
// once, while a controller whose own links are cut is the only one to report failures.
func (i *instance) isFlapping() bool {
	failures, lastReporter, severalReporters := bits.OnesCount8(i.recentFailures), "", false
	disputed := 0
	for _, controller := range i.recentDisputes {
		if controller != "" {
			disputed++
			severalReporters = severalReporters || lastReporter != "" && controller != lastReporter
			lastReporter = controller
		}
	}
	if severalReporters {
		failures += disputed
	}
	return failures >= flapThreshold
}

// flapThreshold is the number of failures among the last eight checks at which an instance counts
// as flapping.
const flapThreshold = 4

// addResult records a result: a pass, or a failure that other controllers have confirmed. If the
// pass contradicts a failure reported by another controller, disputed is that controller and
// failure the reason that it reported.
func (i *instance) addResult(startedAt micros, passed bool, disputed, failure string, h *protocol.HealthCheck) {
	i.confirming = false
	i.recentDisputes[i.resultCount%len(i.recentDisputes)] = disputed
	if disputed != "" {
		i.lastFailure = failure
	}
	i.resultCount++
	i.unconfirmedFailures = 0
	i.recentFailures <<= 1
	if passed {
		i.streak = max(i.streak, 0) + 1
		i.lastPassAt = startedAt
		if i.streak >= h.SuccessThreshold {
			i.health, i.hasPassed = Passing, true
		}
		return
	}
	i.recentFailures |= 1
	i.lastFailure = failure
	if i.streak = min(i.streak, 0) - 1; -i.streak >= h.FailureThreshold {
		i.health = Failing
	}
}
