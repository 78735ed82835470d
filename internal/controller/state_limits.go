package controller

import (
	"hash/maphash"

	"mapleslip/internal/protocol"
)

// transactionLimits bound one transaction of the state service.
type transactionLimits struct {
	maxValueBytes int // of a value
	maxChanges    int // puts and deletes
}

// stateLimits are the limits of the state service, which may shrink while this runs: as
// published, as announced, and as its answers show. Everything that is written goes by
// them.
type stateLimits struct {
	announced *protocol.StateLimits // nil: nothing is
	// accepted is what the service may still take: published, and lowered by what it
	// refused. What can't be divided, a job's description, is refused beyond that only.
	accepted transactionLimits
	// target is what records are written under: the smaller of what is allowed and what
	// is announced, lowered in large steps where the service refuses.
	target transactionLimits

	publishedRate float64 // changes a second
	writeRate     float64 // as far as the service takes them
	loweredAt     micros  // when the rate was last lowered; 0: never
	probeAt       micros  // when a higher rate is tried
	probeInterval micros

	seed          maphash.Seed
	refusedBodies map[uint64]bool // hashes of transactions that were refused as malformed
}

// How the rate follows the answers: down at once, up slowly, and ever more slowly while
// that leads to refusals.
const (
	rateDecrease     = 0.8
	rateIncrease     = 1.05
	minProbeInterval = protocol.Second
	maxProbeInterval = 60 * protocol.Second
	rateSettleTime   = protocol.Second // refusals within it are of what was sent before
	maxRefusedBodies = 4096
	rateLimitedRetry = 100 * protocol.Millisecond // until a transaction beyond the rate is sent again
	errNoSuchLease   = "no such lease"
)

func newStateLimits(p *protocol.Platform) stateLimits {
	allowed := transactionLimits{p.MaxValueBytes, p.MaxTxnChanges}
	l := stateLimits{
		announced: p.AnnouncedStateLimits, accepted: allowed, target: allowed, publishedRate: p.StateWriteRate, writeRate: p.StateWriteRate,
		probeInterval: minProbeInterval, seed: maphash.MakeSeed(), refusedBodies: make(map[uint64]bool),
	}
	if n := l.announced; n != nil {
		l.target = transactionLimits{min(n.MaxValueBytes, allowed.maxValueBytes), min(n.MaxTxnChanges, allowed.maxChanges)}
	}
	return l
}

// learnFromMalformed learns from a transaction that was refused as malformed. It reports whether
// the limits explain that: then the same changes fit once they are divided anew.
func (l *stateLimits) learnFromMalformed(changes, valueBytes int) bool {
	if changes > l.target.maxChanges || valueBytes > l.target.maxValueBytes {
		l.applyAnnounced(changes, valueBytes)
		l.accepted.maxValueBytes = max(l.target.maxValueBytes, l.acceptedBytes(changes, valueBytes))
		return true // it was made before the limits were known to be lower
	}
	switch {
	case changes > protocol.MinTxnChanges: // first the changes: with few of them it is the value
		l.target.maxChanges = max(protocol.MinTxnChanges, changes/2)
		l.accepted.maxChanges = l.target.maxChanges
	case valueBytes > protocol.MinValueBytes:
		l.target.maxValueBytes = max(protocol.MinValueBytes, valueBytes/2)
		l.accepted.maxValueBytes = l.acceptedBytes(changes, valueBytes)
	default:
		return false
	}
	return true
}

// acceptedBytes is the largest value that the service may still take after it refused one.
func (l *stateLimits) acceptedBytes(changes, valueBytes int) int {
	if changes > protocol.MinTxnChanges {
		return l.accepted.maxValueBytes // it may have been for the changes
	}
	return min(l.accepted.maxValueBytes, valueBytes-1)
}

// applyAnnounced takes the announced limits for those that hold, where one of them explains
// a refusal.
func (l *stateLimits) applyAnnounced(changes, valueBytes int) {
	n := l.announced
	if n == nil || changes <= n.MaxTxnChanges && valueBytes <= n.MaxValueBytes {
		return
	}
	l.accepted = transactionLimits{min(l.accepted.maxValueBytes, n.MaxValueBytes), min(l.accepted.maxChanges, n.MaxTxnChanges)}
}

// crowded learns that the service refused a transaction for its rate. It reports whether
// the rate is lower now.
func (l *stateLimits) learnFromRateLimit(at micros) bool {
	if l.loweredAt > 0 && at-l.loweredAt < rateSettleTime {
		return false
	}
	if at-l.loweredAt > maxProbeInterval {
		l.probeInterval = minProbeInterval
	}
	l.loweredAt = at
	if l.announced != nil && l.writeRate > l.announced.WriteRate {
		l.writeRate = l.announced.WriteRate
	} else {
		l.writeRate = max(protocol.MinWriteRate, l.writeRate*rateDecrease)
	}
	l.probeAt = at + l.probeInterval
	l.probeInterval = min(2*l.probeInterval, maxProbeInterval)
	return true
}

// probe tries a higher rate after a while: the other controllers may leave theirs, or the
// limit may have been another's burst. It reports whether it does.
//
// largestJob is the highest rate that is tried.
func (l *stateLimits) tryHigherRate(at micros, most float64) bool {
	if l.writeRate > most {
		l.writeRate = most
		return true
	}
	if l.writeRate == most || at < l.probeAt {
		return false
	}
	l.writeRate = min(most, l.writeRate*rateIncrease)
	l.probeAt = at + l.probeInterval
	return true
}

// wasRefused reports whether exactly this transaction was refused as malformed before.
func (l *stateLimits) wasRefused(body []byte) bool {
	return len(l.refusedBodies) > 0 && l.refusedBodies[maphash.Bytes(l.seed, body)]
}
