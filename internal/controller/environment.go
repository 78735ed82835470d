package controller

import (
	"log/slog"
	"math/rand/v2"

	"mapleslip/internal/protocol"
)

// environment contains what all components of a controller share: the settings, the time of the
// current event, the effects of the current step, and the timers. Only Step changes the time;
// only the configuration manager changes the operators' settings.
type environment struct {
	platform *protocol.Platform
	operator protocol.OperatorSettings
	rng      *rand.Rand
	log      *slog.Logger
	tracing  bool // spans are emitted
	stats    Stats

	now       instant
	startedAt micros // time at which the process started

	// term is the current term of leadership, nil while this controller does not lead. Only the
	// election ends a term, and only the recovery begins one.
	term *leaderTerm

	outbox
	timerQueue
	lagDetector

	damagedRecords map[string]uint64 // logged revisions of undecodable records, by key
}

// controllers returns the number of controllers in the deployment.
func (env *environment) controllers() int { return len(env.platform.Peers) + 1 }

// steadyTime converts a time of day into a time of the steady clock.
func (env *environment) steadyTime(wall micros) micros { return env.now.Steady + wall - env.now.Wall }

// wallTime converts a time of the steady clock into a time of day.
func (env *environment) wallTime(steady micros) micros { return steady - env.now.Steady + env.now.Wall }

// maxClockDrift returns by how much the steady clocks of two hosts may differ after a span: 1 in
// 1000, plus 5 ms for timers that fire late.
func maxClockDrift(span micros) micros { return span/1000 + 5*protocol.Millisecond }

// logMalformed logs and counts a message that does not follow the protocol. A malformed answer
// is handled like a missing one.
func (env *environment) logMalformed(from string, err error) {
	env.stats.Malformed++
	env.log.Info("malformed message", "from", from, "err", err, "count", env.stats.Malformed)
}

// logDamagedRecord logs a record that can't be decoded, once for each of its revisions. The
// record is left unchanged in the state service.
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
