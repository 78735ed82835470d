// Package admission limits the rate at which job submissions are admitted: it decides which
// submissions may have their records written now, and when the others may be submitted again.
package admission

import "mapleslip/internal/protocol"

type micros = protocol.Micros

const (
	// maxDelay is how long an admitted submission may wait until the state service's write rate
	// allows its record.
	maxDelay = protocol.Second
	// idleDelay is the backlog up to which everything is admitted: a backlog that short shows
	// that reserved slots go unused.
	idleDelay = protocol.Second / 4
	// reservationLifetime is how long a reservation is kept after its slot if the user does not
	// submit the job again.
	reservationLifetime = 5 * protocol.Second
	maxReservations     = 10_000
	sweepInterval       = protocol.Second
	// userRetryPeriod is how long users retry a submission before they give up.
	userRetryPeriod = 60 * protocol.Second
	// measurementWindow is how long records are counted for one measurement of the write rate.
	measurementWindow = protocol.Second / 2
	// rateSmoothing divides the difference between a new measurement and the smoothed rate
	// before it is added to that: a burst of records of other kinds lasts a second or two only.
	rateSmoothing = 4
)

// Limiter assigns slots to submissions. A slot is a time at which the record of one job may be
// written. Slots follow each other at the measured rate of written records, which is below the
// leader's share of the write rate while records of other kinds are written too.
//
// A submission that is not admitted at once gets a reserved slot, so that it is admitted when
// the user retries at that time. Without the reservation, other submissions could take the slot
// each time, and the user would give up after a minute. Unused slots delay no other submission.
//
// The zero value is ready to use.
type Limiter struct {
	inFlight     int               // admitted submissions whose records are being written
	nextSlot     micros            // the first slot that is not assigned yet
	reservations map[string]micros // reserved slots, by job
	sweptAt      micros            // when expired reservations were last removed

	measuredRate  float64 // smoothed rate of records a second, 0 before the first measurement
	measuredSince micros  // start of the current measurement
	written       int     // records written since then
	minInFlight   int     // lowest inFlight since then
}

// InFlight returns the number of admitted submissions whose records are being written.
func (l *Limiter) InFlight() int { return l.inFlight }

// MeasuredRate returns the smoothed rate of written records a second, 0 before the first
// measurement.
func (l *Limiter) MeasuredRate() float64 { return l.measuredRate }

// Admit reports whether the record of the job ref can be written now. If not, the job has a
// reserved slot where possible, and wait is the time until the user should submit it again.
// maxRate is the upper bound of the rate, in records a second.
func (l *Limiter) Admit(now micros, ref string, maxRate float64) (wait protocol.Micros, ok bool) {
	interval := protocol.FromSeconds(1 / l.rate(now, maxRate))
	backlog := l.backlog(now, maxRate)
	l.nextSlot = max(l.nextSlot, now+backlog)
	reserved, hasReservation := l.reservations[ref]
	due := hasReservation && now >= reserved && backlog <= 3*maxDelay/2
	switch {
	case backlog <= idleDelay, due:
		delete(l.reservations, ref)
		if !hasReservation {
			l.nextSlot += interval
		}
		return 0, true
	case hasReservation && now < reserved:
		return reserved - now, false
	case !hasReservation && l.nextSlot-now <= maxDelay:
		l.nextSlot += interval
		return 0, true
	}
	return l.Reserve(now, ref, maxRate), false
}

// Reserve reserves the next slot for the job ref and returns the time until that slot. If the
// slot comes after userRetryPeriod, nothing is reserved and half of that period is returned.
func (l *Limiter) Reserve(now micros, ref string, maxRate float64) protocol.Micros {
	interval := protocol.FromSeconds(1 / l.rate(now, maxRate))
	l.nextSlot = max(l.nextSlot, now+l.backlog(now, maxRate))
	if l.nextSlot-now > userRetryPeriod {
		// The user will have given up by then. If other users give up, there is room sooner.
		return userRetryPeriod / 2
	}
	l.sweep(now)
	slot := l.nextSlot
	if len(l.reservations) < maxReservations {
		if l.reservations == nil {
			l.reservations = make(map[string]micros)
		}
		l.reservations[ref] = slot
		l.nextSlot += interval
	}
	return slot - now
}

// IsOverloaded reports whether slots are assigned for longer than maxDelay ahead, so that new
// submissions have to be retried later.
func (l *Limiter) IsOverloaded(now micros) bool { return l.nextSlot-now > maxDelay }

// Begin counts a record whose write begins.
func (l *Limiter) Begin() { l.inFlight++ }

// End counts a record whose write has ended. written reports whether the state service processed
// it, so that it counts in the measured rate.
func (l *Limiter) End(written bool) {
	l.inFlight--
	if written {
		l.written++
	}
	l.minInFlight = min(l.minInFlight, l.inFlight)
}

// backlog returns the time that the records in flight take at the current rate.
func (l *Limiter) backlog(now micros, maxRate float64) micros {
	interval := 1 / l.rate(now, maxRate)
	return protocol.FromSeconds(float64(l.inFlight) * interval)
}

// rate returns the number of records that are written a second. Each measurement lasts for
// measurementWindow and is bounded by maxRate.
func (l *Limiter) rate(now micros, maxRate float64) float64 {
	if span := now - l.measuredSince; span >= measurementWindow {
		rate := maxRate // with hardly any backlog, other records leave the rest of it unused
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

// sweep removes the expired reservations, at most once every sweepInterval.
func (l *Limiter) sweep(now micros) {
	if now-l.sweptAt < sweepInterval {
		return
	}
	l.sweptAt = now
	for ref, slot := range l.reservations {
		if now-slot > reservationLifetime {
			delete(l.reservations, ref)
		}
	}
}
