package controller

import (
	"log/slog"
	"math/rand/v2"

	"mapleslip/internal/protocol"
)

// environment is what every component of a controller works with: the settings, the time of
// the event at hand, the effects that it leads to, and timers. Only Step changes the time;
// only the configuration manager changes the operators' settings.
type environment struct {
	platform *protocol.Platform
	operator protocol.OperatorSettings
	rng      *rand.Rand
	log      *slog.Logger
	tracing  bool // spans are emitted
	stats    Stats

	now       instant
	startedAt micros // when the process began

	// term is what this controller holds while it leads, nil otherwise. Only the election
	// ends a term, and only the recovery begins one.
	term *leaderTerm

	outbox
	timerQueue
	lagDetector

	damagedRecords map[string]uint64 // records that can't be read, with the revisions that were logged
}

// controllers is how many controllers the deployment has.
func (env *environment) controllers() int { return len(env.platform.Peers) + 1 }

// steadyTime turns a time of day into the steady clock's.
func (env *environment) steadyTime(wall micros) micros { return env.now.Steady + wall - env.now.Wall }

// wallTime turns the steady clock's time into a time of day.
func (env *environment) wallTime(steady micros) micros { return steady - env.now.Steady + env.now.Wall }

// maxClockDrift is how far apart steady clocks may be after a span, with a little for timers
// that fire late.
func maxClockDrift(span micros) micros { return span/1000 + 5*protocol.Millisecond }

// logMalformed notes an answer that does not follow the protocol. It is treated as no answer.
func (env *environment) logMalformed(from string, err error) {
	env.stats.Malformed++
	env.log.Info("malformed message", "from", from, "err", err, "count", env.stats.Malformed)
}

// logDamagedRecord reports a record that can't be read, once for each of its revisions. The
// record stays as it is.
func (env *environment) logDamagedRecord(e protocol.Entry, err error) {
	if logged, ok := env.damagedRecords[e.Key]; ok && logged == e.Revision {
		return
	}
	if env.damagedRecords == nil {
		env.damagedRecords = make(map[string]uint64)
	}
	env.damagedRecords[e.Key] = e.Revision
	env.log.Error("damaged record", "key", e.Key, "err", err)
}
