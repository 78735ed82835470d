package statestore

import (
	"hash/maphash"

	"mapleslip/internal/protocol"
)

// TxnLimits bound one transaction of the state service.
type TxnLimits struct {
	MaxValueBytes int // of a value
	MaxChanges    int // puts and deletes
}

// How the write rate follows the answers: down at once, up slowly, and ever more slowly while
// that leads to refusals.
const (
	rateDecrease     = 0.8
	rateIncrease     = 1.05
	minProbeInterval = protocol.Second
	maxProbeInterval = 60 * protocol.Second
	rateSettleTime   = protocol.Second // refusals within it are of what was sent before
)

// maxRefusedBodies bounds the refused transactions that are remembered.
const maxRefusedBodies = 4096

// limits are those of the state service: as published, as announced, and as its answers show.
type limits struct {
	announced *protocol.StateLimits // nil: no lower ones are announced

	// accepted is what the service may still take: published, and lowered by what it refused.
	// What can't be divided, a job's description, is refused beyond that only.
	accepted TxnLimits
	// target is what records are written under: the smaller of what is accepted and what is
	// announced, lowered in large steps where the service refuses.
	target TxnLimits

	publishedRate float64 // changes a second
	writeRate     float64 // as far as the service takes them
	loweredAt     micros  // when the rate was last lowered, 0: never
	probeAt       micros  // when a higher rate is tried
	probeInterval micros

	hashSeed      maphash.Seed
	refusedBodies map[uint64]bool // hashes of transactions that were refused as malformed
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

// learnFromMalformed learns from a transaction that was refused as malformed. It reports
// whether the limits explain that: then the same changes fit once they are divided anew.
func (l *limits) learnFromMalformed(changes, valueBytes int) bool {
	if changes > l.target.MaxChanges || valueBytes > l.target.MaxValueBytes {
		l.applyAnnounced(changes, valueBytes)
		l.accepted.MaxValueBytes = max(l.target.MaxValueBytes, l.acceptedBytes(changes, valueBytes))
		return true // it was made before the limits were known to be lower
	}
	switch {
	case changes > protocol.MinTxnChanges: // first the changes: with few of them it is the value
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

// acceptedBytes is the largest value that the service may still take after it refused one.
func (l *limits) acceptedBytes(changes, valueBytes int) int {
	if changes > protocol.MinTxnChanges {
		return l.accepted.MaxValueBytes // it may have been for the changes
	}
	return min(l.accepted.MaxValueBytes, valueBytes-1)
}

// applyAnnounced takes the announced limits for those in force, where one of them explains a
// refusal.
func (l *limits) applyAnnounced(changes, valueBytes int) {
	n := l.announced
	if n == nil || changes <= n.MaxTxnChanges && valueBytes <= n.MaxValueBytes {
		return
	}
	l.accepted = TxnLimits{min(l.accepted.MaxValueBytes, n.MaxValueBytes), min(l.accepted.MaxChanges, n.MaxTxnChanges)}
}

// learnFromRateLimit learns that the service refused a transaction for its rate. It reports
// whether the rate is lower now.
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

// tryHigherRate tries a higher rate after a while, up to a highest one: the other controllers
// may leave theirs, or the limit may have been another's burst. It reports whether the rate
// has changed.
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

// rememberRefused notes a transaction that was refused as malformed.
func (l *limits) rememberRefused(body []byte) {
	if len(l.refusedBodies) >= maxRefusedBodies {
		clear(l.refusedBodies)
	}
	l.refusedBodies[maphash.Bytes(l.hashSeed, body)] = true
}

// wasRefused reports whether exactly this transaction was refused as malformed before.
func (l *limits) wasRefused(body []byte) bool {
	return len(l.refusedBodies) > 0 && l.refusedBodies[maphash.Bytes(l.hashSeed, body)]
}
