package controller

import "mapleslip/internal/protocol"

// admission decides which submissions have their record written now, and tells the others
// when their turn comes. Turns are one after the other at the rate at which records are
// really written, which is less than the leader's part while other records wait as well.
// Whoever was told to come back has its turn then; one that comes back to find that others
// took it would try for a minute and give up. A turn that nobody uses is not waited for.
type admission struct {
	waiting int               // submissions whose records are on their way
	turn    micros            // the first one that nobody was promised
	turns   map[string]micros // promised ones, by job
	swept   micros            // when those that nobody came for were last taken out

	rate    float64 // records a second, lately; 0: not known yet
	from    micros  // what is counted since
	written int
	least   int // that waited at a time
}

const (
	// submitWait is how long a submission may wait for the state service's rate.
	submitWait = protocol.Second
	// spareWait is a wait so short that turns seem not to be used.
	spareWait = protocol.Second / 4
	// turnsKept is how long a promised turn is kept for who does not come, mostTurns how
	// many there are at most.
	turnsKept = 5 * protocol.Second
	mostTurns = 10_000
	// usersPatience is how long users go on trying.
	usersPatience = 60 * protocol.Second
	// rateOver is how long the rate is counted for.
	rateOver = protocol.Second / 2
)

// speed is how many records a second are written, full at most.
func (a *admission) speed(at micros, full float64) float64 {
	if span := at - a.from; span >= rateOver {
		now := full // hardly any wait: more would have what nobody else uses
		if a.written > 0 && float64(a.least) > spareWait.Seconds()*full/2 {
			now = min(full, float64(a.written)/span.Seconds())
		}
		if a.rate == 0 {
			a.rate = now
		}
		a.rate += (now - a.rate) / 4 // a burst of other records is over in a second or two
		a.from, a.written, a.least = at, 0, a.waiting
	}
	if a.rate == 0 {
		return full
	}
	return max(a.rate, 1)
}

// ask reports whether the record of a job can be written now, or after how long its turn
// comes. full is the rate of which a part may be had.
func (a *admission) ask(at micros, ref string, full float64) (after micros, ok bool) {
	each := 1 / a.speed(at, full)
	wait := protocol.FromSeconds(float64(a.waiting) * each)
	a.turn = max(a.turn, at+wait)
	promised, has := a.turns[ref]
	switch {
	case wait <= spareWait, has && at >= promised && wait <= 3*submitWait/2:
		delete(a.turns, ref)
		if !has {
			a.turn += protocol.FromSeconds(each)
		}
		return 0, true
	case has && at < promised:
		return promised - at, false
	case !has && a.turn-at <= submitWait:
		a.turn += protocol.FromSeconds(each)
		return 0, true
	}
	return a.promise(at, ref, full), false
}

// promise gives a job the next turn, and says how long that is away.
func (a *admission) promise(at micros, ref string, full float64) micros {
	each := 1 / a.speed(at, full)
	a.turn = max(a.turn, at+protocol.FromSeconds(float64(a.waiting)*each))
	if a.turn-at > usersPatience {
		// Its user will have given up by then, unless others do.
		return usersPatience / 2
	}
	a.sweep(at)
	promised := a.turn
	if len(a.turns) < mostTurns {
		if a.turns == nil {
			a.turns = make(map[string]micros)
		}
		a.turns[ref] = promised
		a.turn += protocol.FromSeconds(each)
	}
	return promised - at
}

// crowded reports whether there are jobs whose turn is still to come.
func (a *admission) crowded(at micros) bool { return a.turn-at > submitWait }

// began and ended count the records that are on their way.
func (a *admission) began() { a.waiting++ }

func (a *admission) ended(written bool) {
	a.waiting--
	if written {
		a.written++
	}
	a.least = min(a.least, a.waiting)
}

// sweep takes out the turns that nobody came for.
func (a *admission) sweep(at micros) {
	if at-a.swept < protocol.Second {
		return
	}
	a.swept = at
	for ref, turn := range a.turns {
		if at-turn > turnsKept {
			delete(a.turns, ref)
		}
	}
}
