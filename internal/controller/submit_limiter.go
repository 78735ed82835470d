package controller

import "mapleslip/internal/protocol"

// admission decides which submissions have their record written now, and tells the others
// when their turn comes. Turns are one after the other at the rate at which records are
// really written, which is less than the leader's part while other records wait as well.
// Whoever was told to come back has its turn then; one that comes back to find that others
// took it would try for a minute and give up. A turn that nobody uses is not waited for.
type submitLimiter struct {
	inFlight     int               // submissions whose records are on their way
	nextSlot     micros            // the first one that nobody was promised
	reservations map[string]micros // promised ones, by job
	sweptAt      micros            // when those that nobody came for were last taken out

	measuredRate  float64 // records a second, lately; 0: not known yet
	measuredSince micros  // what is counted since
	written       int
	minInFlight   int // that waited at a time
}

const (
	// maxSubmitDelay is how long a submission may wait for the state service's rate.
	maxSubmitDelay = protocol.Second
	// idleDelay is a wait so short that turns seem not to be used.
	idleDelay = protocol.Second / 4
	// reservationLifetime is how long a promised turn is kept for who does not come, maxReservations how
	// many there are at most.
	reservationLifetime = 5 * protocol.Second
	maxReservations     = 10_000
	// userRetryPeriod is how long users go on trying.
	userRetryPeriod = 60 * protocol.Second
	// rateMeasurementWindow is how long the rate is counted for.
	rateMeasurementWindow = protocol.Second / 2
)

// effectiveRate is how many records a second are written, full at most.
func (a *submitLimiter) effectiveRate(at micros, full float64) float64 {
	if span := at - a.measuredSince; span >= rateMeasurementWindow {
		now := full // hardly any wait: more would have what nobody else uses
		if a.written > 0 && float64(a.minInFlight) > idleDelay.Seconds()*full/2 {
			now = min(full, float64(a.written)/span.Seconds())
		}
		if a.measuredRate == 0 {
			a.measuredRate = now
		}
		a.measuredRate += (now - a.measuredRate) / 4 // a burst of other records is over in a second or two
		a.measuredSince, a.written, a.minInFlight = at, 0, a.inFlight
	}
	if a.measuredRate == 0 {
		return full
	}
	return max(a.measuredRate, 1)
}

// visit reports whether the record of a job can be written now, or after how long its turn
// comes. full is the rate of which a part may be had.
func (a *submitLimiter) admit(at micros, ref string, full float64) (after micros, ok bool) {
	each := 1 / a.effectiveRate(at, full)
	wait := protocol.FromSeconds(float64(a.inFlight) * each)
	a.nextSlot = max(a.nextSlot, at+wait)
	promised, has := a.reservations[ref]
	switch {
	case wait <= idleDelay, has && at >= promised && wait <= 3*maxSubmitDelay/2:
		delete(a.reservations, ref)
		if !has {
			a.nextSlot += protocol.FromSeconds(each)
		}
		return 0, true
	case has && at < promised:
		return promised - at, false
	case !has && a.nextSlot-at <= maxSubmitDelay:
		a.nextSlot += protocol.FromSeconds(each)
		return 0, true
	}
	return a.reserve(at, ref, full), false
}

// reserve gives a job the next turn, and says how long that is away.
func (a *submitLimiter) reserve(at micros, ref string, full float64) micros {
	each := 1 / a.effectiveRate(at, full)
	a.nextSlot = max(a.nextSlot, at+protocol.FromSeconds(float64(a.inFlight)*each))
	if a.nextSlot-at > userRetryPeriod {
		// Its user will have given up by then, unless others do.
		return userRetryPeriod / 2
	}
	a.sweep(at)
	promised := a.nextSlot
	if len(a.reservations) < maxReservations {
		if a.reservations == nil {
			a.reservations = make(map[string]micros)
		}
		a.reservations[ref] = promised
		a.nextSlot += protocol.FromSeconds(each)
	}
	return promised - at
}

// isOverloaded reports whether there are jobs whose turn is still to come.
func (a *submitLimiter) isOverloaded(at micros) bool { return a.nextSlot-at > maxSubmitDelay }

// began and ended count the records that are on their way.
func (a *submitLimiter) began() { a.inFlight++ }

func (a *submitLimiter) ended(written bool) {
	a.inFlight--
	if written {
		a.written++
	}
	a.minInFlight = min(a.minInFlight, a.inFlight)
}

// sweep takes out the turns that nobody came for.
func (a *submitLimiter) sweep(at micros) {
	if at-a.sweptAt < protocol.Second {
		return
	}
	a.sweptAt = at
	for ref, turn := range a.reservations {
		if at-turn > reservationLifetime {
			delete(a.reservations, ref)
		}
	}
}
