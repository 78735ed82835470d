package statestore

import (
	"hash/maphash"

	"mapleslip/internal/protocol"
)

// TxnLimits are the limits on one transaction of the state service.
type TxnLimits struct {
	MaxValueBytes int // size of the largest value
	MaxChanges    int // number of puts and deletes
}

// The write rate is lowered at once after a refusal and raised slowly, at an interval that doubles
// while higher rates lead to refusals.
const (
	rateDecrease     = 0.8
	rateIncrease     = 1.05
	minProbeInterval = protocol.Second
	maxProbeInterval = 60 * protocol.Second
	rateSettleTime   = protocol.Second // calls sent at the old rate may be refused within it
)

// maxRefusedBodies limits the number of refused transactions whose hashes are kept.
const maxRefusedBodies = 4096

// limits contains the limits of the state service: as published by the platform, as announced for
// later, and as its answers show.
type limits struct {
	announced *protocol.StateLimits // nil if no lower limits are announced

	// accepted contains the limits that the service may still accept: the published ones, lowered
	// according to its refusals. A job's description can't be split, so it is rejected only if it
	// exceeds these.
	accepted TxnLimits
	// target contains the limits for writing records: the smaller of the published and the
	// announced ones, lowered in large steps when the service refuses a transaction.
	target TxnLimits

	publishedRate float64 // changes a second
	writeRate     float64 // changes a second that the service seems to accept
	loweredAt     micros  // when the rate was last lowered, 0 if never
	probeAt       micros  // when a higher rate is tried next
	probeInterval micros

	hashSeed      maphash.Seed
	refusedBodies map[uint64]bool // hashes of the transactions that were refused as malformed
}

func newLimits(p *protocol.Platform) limits {
	accepted := TxnLimits{p.MaxValueBytes, p.MaxTxnChanges}
	l := limits{
		announced: p.AnnouncedStateLimits, accepted: accepted, target: accepted,
		publishedRate: p.StateWriteRate, writeRate: p.StateWriteRate, probeInterval: minProbeInterval,
		hashSeed: maphash.MakeSeed(), refusedBodies: make(map[uint64]bool),
	}
	if n := l.announced; n != nil {
		l.target = TxnLimits{min(n.MaxValueBytes, accepted.MaxValueBytes), min(n.MaxTxnChanges, accepted.MaxChanges)}
	}
	return l
}

// learnFromMalformed lowers the limits after the service refused a transaction as malformed. It
// reports whether the limits explain the refusal: if so, the same changes fit when they are split
// according to the lower limits.
func (l *limits) learnFromMalformed(changes, valueBytes int) bool {
	if changes > l.target.MaxChanges || valueBytes > l.target.MaxValueBytes {
		l.applyAnnounced(changes, valueBytes)
		l.accepted.MaxValueBytes = max(l.target.MaxValueBytes, l.acceptedBytes(changes, valueBytes))
		return true // encoded before the limits were lowered
	}
	switch {
	case changes > protocol.MinTxnChanges: // lower the number of changes before the value size
		l.target.MaxChanges = max(protocol.MinTxnChanges, changes/2)
		l.accepted.MaxChanges = l.target.MaxChanges
	case valueBytes > protocol.MinValueBytes:
		l.target.MaxValueBytes = max(protocol.MinValueBytes, valueBytes/2)
		l.accepted.MaxValueBytes = l.acceptedBytes(changes, valueBytes)
	default:
		return false
	}
	return true
}

// acceptedBytes returns the size of the largest value that the service may still accept after it
// refused a transaction.
func (l *limits) acceptedBytes(changes, valueBytes int) int {
	if changes > protocol.MinTxnChanges {
		return l.accepted.MaxValueBytes // the number of changes may be the reason
	}
	return min(l.accepted.MaxValueBytes, valueBytes-1)
}

// applyAnnounced lowers the accepted limits to the announced ones if those explain the refusal of a
// transaction, which shows that they are in force.
func (l *limits) applyAnnounced(changes, valueBytes int) {
	n := l.announced
	if n == nil || changes <= n.MaxTxnChanges && valueBytes <= n.MaxValueBytes {
		return
	}
	l.accepted = TxnLimits{min(l.accepted.MaxValueBytes, n.MaxValueBytes), min(l.accepted.MaxChanges, n.MaxTxnChanges)}
}

// learnFromRateLimit lowers the write rate after the service refused a transaction for its rate: to
// the announced rate if it was above that, otherwise by rateDecrease. It reports whether the rate
// has been lowered, which happens at most once within rateSettleTime.
func (l *limits) learnFromRateLimit(at micros) bool {
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

// tryHigherRate raises the write rate by a step, up to highest, if the next step is due: the other
// controllers may use less of the service's rate now, or a short burst of theirs may have led to
// the last refusal. A rate above highest is lowered to it. It reports whether the rate has changed.
func (l *limits) tryHigherRate(at micros, highest float64) bool {
	if l.writeRate > highest {
		l.writeRate = highest
		return true
	}
	if l.writeRate == highest || at < l.probeAt {
		return false
	}
	l.writeRate = min(highest, l.writeRate*rateIncrease)
	l.probeAt = at + l.probeInterval
	return true
}

// rememberRefused stores the hash of a transaction that was refused as malformed, so that it is not
// sent again.
func (l *limits) rememberRefused(body []byte) {
	if len(l.refusedBodies) >= maxRefusedBodies {
		clear(l.refusedBodies)
	}
	l.refusedBodies[maphash.Bytes(l.hashSeed, body)] = true
}

// wasRefused reports whether a transaction of the same bytes was refused as malformed before.
func (l *limits) wasRefused(body []byte) bool {
	return len(l.refusedBodies) > 0 && l.refusedBodies[maphash.Bytes(l.hashSeed, body)]
}
