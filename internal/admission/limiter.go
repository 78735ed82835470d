// Package admission decides which submissions have their record written now, and tells the
// others when their turn comes.
package admission

import "mapleslip/internal/protocol"

type micros = protocol.Micros

const (
	// maxDelay is how long a submission may wait for the state service's rate.
	maxDelay = protocol.Second
	// idleDelay is a wait so short that turns seem not to be used.
	idleDelay = protocol.Second / 4
	// reservationLifetime is how long a turn is kept for a user who does not come back for it.
	reservationLifetime = 5 * protocol.Second
	maxReservations     = 10_000
	sweepInterval       = protocol.Second
	// userRetryPeriod is how long users go on trying.
	userRetryPeriod = 60 * protocol.Second
	// measurementWindow is how long the rate is measured for.
	measurementWindow = protocol.Second / 2
	// rateSmoothing is the weight of a new measurement against what is known, as a divisor: a
	// burst of other records is over in a second or two.
	rateSmoothing = 4
)

// Limiter gives submissions turns, one after the other at the rate at which records are really
// written, which is less than the leader's part while other records wait as well. A user who
// was told to come back has its turn then; one that came back to find that others took it would
// try for a minute and give up. A turn that nobody uses is not waited for.
//
// The zero value is ready to use.
type Limiter struct {
	inFlight     int               // submissions whose records are on their way
	nextTurn     micros            // the first one that nobody was promised
	reservations map[string]micros // promised turns, by job
	sweptAt      micros            // when those that nobody came for were last taken out

	measuredRate  float64 // records a second, lately; 0: not known yet
	measuredSince micros
	written       int // since then
	minInFlight   int // since then
}

// InFlight is how many submissions have their records on their way.
func (l *Limiter) InFlight() int { return l.inFlight }

// MeasuredRate is how many records a second were written lately, 0: not known yet.
func (l *Limiter) MeasuredRate() float64 { return l.measuredRate }

// Admit reports whether the record of a job can be written now. Otherwise wait is after how
// long its turn comes. maxRate is the write rate of which a part may be had.
func (l *Limiter) Admit(now micros, ref string, maxRate float64) (wait protocol.Micros, ok bool) {
	interval := protocol.FromSeconds(1 / l.rate(now, maxRate))
	backlog := l.backlog(now, maxRate)
	l.nextTurn = max(l.nextTurn, now+backlog)
	reserved, hasReservation := l.reservations[ref]
	due := hasReservation && now >= reserved && backlog <= 3*maxDelay/2
	switch {
	case backlog <= idleDelay, due:
		delete(l.reservations, ref)
		if !hasReservation {
			l.nextTurn += interval
		}
		return 0, true
	case hasReservation && now < reserved:
		return reserved - now, false
	case !hasReservation && l.nextTurn-now <= maxDelay:
		l.nextTurn += interval
		return 0, true
	}
	return l.Reserve(now, ref, maxRate), false
}

// Reserve gives a job the next turn, and returns after how long that comes.
func (l *Limiter) Reserve(now micros, ref string, maxRate float64) protocol.Micros {
	interval := protocol.FromSeconds(1 / l.rate(now, maxRate))
	l.nextTurn = max(l.nextTurn, now+l.backlog(now, maxRate))
	if l.nextTurn-now > userRetryPeriod {
		// The user will have given up by then, unless others do.
		return userRetryPeriod / 2
	}
	l.sweep(now)
	turn := l.nextTurn
	if len(l.reservations) < maxReservations {
		if l.reservations == nil {
			l.reservations = make(map[string]micros)
		}
		l.reservations[ref] = turn
		l.nextTurn += interval
	}
	return turn - now
}

// IsOverloaded reports whether there are jobs whose turn is still to come.
func (l *Limiter) IsOverloaded(now micros) bool { return l.nextTurn-now > maxDelay }

// Begin counts a record that is on its way.
func (l *Limiter) Begin() { l.inFlight++ }

// End counts a record that is not on its way any more.
func (l *Limiter) End(written bool) {
	l.inFlight--
	if written {
		l.written++
	}
	l.minInFlight = min(l.minInFlight, l.inFlight)
}

// backlog is how long the records that are on their way take.
func (l *Limiter) backlog(now micros, maxRate float64) micros {
	interval := 1 / l.rate(now, maxRate)
	return protocol.FromSeconds(float64(l.inFlight) * interval)
}

// rate is how many records a second are written, maxRate at most.
func (l *Limiter) rate(now micros, maxRate float64) float64 {
	if span := now - l.measuredSince; span >= measurementWindow {
		rate := maxRate // hardly any wait: more would have what nobody else uses
		if l.written > 0 && float64(l.minInFlight) > idleDelay.Seconds()*maxRate/2 {
			rate = min(maxRate, float64(l.written)/span.Seconds())
		}
		if l.measuredRate == 0 {
			l.measuredRate = rate
		}
		l.measuredRate += (rate - l.measuredRate) / rateSmoothing
		l.measuredSince, l.written, l.minInFlight = now, 0, l.inFlight
	}
	if l.measuredRate == 0 {
		return maxRate
	}
	return max(l.measuredRate, 1)
}

// sweep takes out the turns that nobody came for.
func (l *Limiter) sweep(now micros) {
	if now-l.sweptAt < sweepInterval {
		return
	}
	l.sweptAt = now
	for ref, turn := range l.reservations {
		if now-turn > reservationLifetime {
			delete(l.reservations, ref)
		}
	}
}
