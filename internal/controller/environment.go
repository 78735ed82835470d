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

	now       instant
	startedAt micros // when the process began

	// term is what this controller holds while it leads, nil otherwise. Only the election
	// ends a term, and only the recovery begins one.
	term *leaderTerm

	effects []Effect
	calls   map[uint64]openCall
	callSeq uint64

	internalCalls   map[uint64]func(status int, body []byte)
	internalCallSeq uint64

	timers   timers
	timerSeq uint64

	lastTick   micros // when the last tick was handled
	lastLag    micros // when this controller was last found to fall behind
	lastLagLog micros

	damagedRecords map[string]uint64 // records that can't be read, with the revisions that were logged

	stats          Stats
	cloudHealth    serviceHealth
	nextRefusalLog micros
	refusalsLogged map[string]uint64
}

// openCall is an outbound call whose result has not come yet.
type openCall struct {
	target Target
	done   func(CallResult)
}
