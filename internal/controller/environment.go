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

func (env *environment) flush() []Effect {
	e := env.effects
	env.effects = nil
	return e
}

func (env *environment) emit(e Effect) { env.effects = append(env.effects, e) }

func (env *environment) reply(to ReplyAddress, status int, body []byte, retry micros) {
	if to.internal > 0 {
		env.onInternalReply(to, status, body)
		return
	}
	env.emit(Reply{To: to, Status: status, Body: body, RetryAfter: retry})
}

// retryLater is what users are told when a request can't be taken now.
const retryLater = protocol.Second

func (env *environment) replyUnavailable(to ReplyAddress, why string) {
	env.replyUnavailableAfter(to, why, retryLater)
}

func (env *environment) call(target Target, prio uint8, method, path string, body []byte, timeout micros, changes int, done func(CallResult)) {
	env.callSeq++
	env.calls[env.callSeq] = openCall{target, done}
	env.emit(Call{ID: env.callSeq, Target: target, Method: method, Path: path, Body: body, Timeout: timeout, Priority: prio, Changes: changes})
}

func (env *environment) callAddress(target Target, method, addr, path string, body []byte, timeout micros, done func(CallResult)) {
	env.callSeq++
	env.calls[env.callSeq] = openCall{target, done}
	env.emit(Call{ID: env.callSeq, Target: target, Addr: addr, Method: method, Path: path, Body: body, Timeout: timeout})
}

// callInternally makes a call as a user would, to this node.
func (env *environment) callInternally(make func(to ReplyAddress), done func(status int, body []byte)) {
	env.internalCallSeq++
	env.internalCalls[env.internalCallSeq] = done
	make(ReplyAddress{internal: env.internalCallSeq})
}

func (env *environment) onInternalReply(to ReplyAddress, status int, body []byte) {
	done := env.internalCalls[to.internal]
	delete(env.internalCalls, to.internal)
	if done != nil {
		done(status, body)
	}
}

// logMalformed notes an answer that does not follow the protocol. It is treated
// as no answer.
func (env *environment) logMalformed(from string, err error) {
	env.stats.Malformed++
	env.log.Info("malformed message", "from", from, "err", err, "count", env.stats.Malformed)
}

// logDamagedRecord reports a record that can't be read, once as it stands. It is kept.
func (env *environment) logDamagedRecord(e protocol.Entry, err error) {
	if env.damagedRecords == nil {
		env.damagedRecords = make(map[string]uint64)
	}
	if was, told := env.damagedRecords[e.Key]; told && was == e.Revision {
		return
	}
	env.damagedRecords[e.Key] = e.Revision
	env.log.Error("damaged record", "key", e.Key, "err", err)
}

// steadyTime turns a time of day into the steady clock's.
func (env *environment) steadyTime(wall micros) micros { return env.now.Steady + wall - env.now.Wall }

// wallTime turns the steady clock's time into a time of day.
func (env *environment) wallTime(steady micros) micros { return steady - env.now.Steady + env.now.Wall }

// maxClockDrift is how far apart steady clocks may be after a span, with a little for
// timers that fire late.
func maxClockDrift(d micros) micros { return d/1000 + 5*protocol.Millisecond }
