package controller

import (
	"hash/maphash"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// transactionLimits bound one transaction of the state service.
type transactionLimits struct {
	valueBytes int // of a value
	changes    int // puts and deletes
}

// stateLimits are the limits of the state service, which may shrink while this runs: as
// published, as announced, and as its answers show. Everything that is written goes by
// them.
type stateLimits struct {
	announced *protocol.StateLimits // nil: nothing is
	// allowed is what the service may still take: published, and lowered by what it
	// refused. What can't be divided, a job's description, is refused beyond that only.
	allowed transactionLimits
	// target is what records are written under: the smaller of what is allowed and what
	// is announced, lowered in large steps where the service refuses.
	target transactionLimits

	published  float64 // changes a second
	rate       float64 // as far as the service takes them
	lowered    micros  // when the rate was last lowered; 0: never
	probeAt    micros  // when a higher rate is tried
	probeEvery micros

	seed    maphash.Seed
	refused map[uint64]bool // hashes of transactions that were refused as malformed
}

// How the rate follows the answers: down at once, up slowly, and ever more slowly while
// that leads to refusals.
const (
	rateDown       = 0.8
	rateUp         = 1.05
	firstProbe     = protocol.Second
	slowestProbe   = 60 * protocol.Second
	rateSettles    = protocol.Second // refusals within it are of what was sent before
	mostRefused    = 4096
	crowdedPause   = 100 * protocol.Millisecond // until a transaction beyond the rate is sent again
	errNoSuchLease = "no such lease"
)

func newStateLimits(p *protocol.Platform) stateLimits {
	allowed := transactionLimits{p.MaxValueBytes, p.MaxTxnChanges}
	l := stateLimits{
		announced: p.AnnouncedStateLimits, allowed: allowed, target: allowed, published: p.StateWriteRate, rate: p.StateWriteRate,
		probeEvery: firstProbe, seed: maphash.MakeSeed(), refused: make(map[uint64]bool),
	}
	if n := l.announced; n != nil {
		l.target = transactionLimits{min(n.MaxValueBytes, allowed.valueBytes), min(n.MaxTxnChanges, allowed.changes)}
	}
	return l
}

// tooLarge learns from a transaction that was refused as malformed. It reports whether
// the limits explain that: then the same changes fit once they are divided anew.
func (l *stateLimits) tooLarge(changes, valueBytes int) bool {
	if changes > l.target.changes || valueBytes > l.target.valueBytes {
		l.fitAnnounced(changes, valueBytes)
		l.allowed.valueBytes = max(l.target.valueBytes, l.allowedBytes(changes, valueBytes))
		return true // it was made before the limits were known to be lower
	}
	switch {
	case changes > protocol.MinTxnChanges: // first the changes: with few of them it is the value
		l.target.changes = max(protocol.MinTxnChanges, changes/2)
		l.allowed.changes = l.target.changes
	case valueBytes > protocol.MinValueBytes:
		l.target.valueBytes = max(protocol.MinValueBytes, valueBytes/2)
		l.allowed.valueBytes = l.allowedBytes(changes, valueBytes)
	default:
		return false
	}
	return true
}

// allowedBytes is the largest value that the service may still take after it refused one.
func (l *stateLimits) allowedBytes(changes, valueBytes int) int {
	if changes > protocol.MinTxnChanges {
		return l.allowed.valueBytes // it may have been for the changes
	}
	return min(l.allowed.valueBytes, valueBytes-1)
}

// fitAnnounced takes the announced limits for those that hold, where one of them explains
// a refusal.
func (l *stateLimits) fitAnnounced(changes, valueBytes int) {
	n := l.announced
	if n == nil || changes <= n.MaxTxnChanges && valueBytes <= n.MaxValueBytes {
		return
	}
	l.allowed = transactionLimits{min(l.allowed.valueBytes, n.MaxValueBytes), min(l.allowed.changes, n.MaxTxnChanges)}
}

// crowded learns that the service refused a transaction for its rate. It reports whether
// the rate is lower now.
func (l *stateLimits) crowded(at micros) bool {
	if l.lowered > 0 && at-l.lowered < rateSettles {
		return false
	}
	if at-l.lowered > slowestProbe {
		l.probeEvery = firstProbe
	}
	l.lowered = at
	if l.announced != nil && l.rate > l.announced.WriteRate {
		l.rate = l.announced.WriteRate
	} else {
		l.rate = max(protocol.MinWriteRate, l.rate*rateDown)
	}
	l.probeAt = at + l.probeEvery
	l.probeEvery = min(2*l.probeEvery, slowestProbe)
	return true
}

// probe tries a higher rate after a while: the other controllers may leave theirs, or the
// limit may have been another's burst. It reports whether it does.
//
// most is the highest rate that is tried.
func (l *stateLimits) probe(at micros, most float64) bool {
	if l.rate > most {
		l.rate = most
		return true
	}
	if l.rate == most || at < l.probeAt {
		return false
	}
	l.rate = min(most, l.rate*rateUp)
	l.probeAt = at + l.probeEvery
	return true
}

// WriteRate tells that the state service takes another rate of changes, of all controllers
// together, than it did. Lowered: it has just refused some, so nothing is saved up.
type WriteRate struct {
	PerSecond float64
	Lowered   bool
}

func (WriteRate) effect() {}

// limitsChanged hands the limits on to those that keep them for themselves.
func (c *Controller) limitsChanged() {
	if c.config != nil {
		c.config.bounds.ValueBytes = c.limits.target.valueBytes
	}
	if c.rollouts != nil {
		c.rollouts.ValueBytes = c.limits.target.valueBytes
		if c.term != nil && c.term.rollouts.manager != nil {
			c.term.rollouts.manager.SetValueBytes(c.limits.target.valueBytes)
		}
	}
}

// transactionRefused handles a transaction that was refused as malformed. It is never sent
// again as it is: either the limits are lower now and it is divided, or it stays undone.
func (c *Controller) transactionRefused(body, answer []byte, then []protocol.Change) txnOutcome {
	if fastjson.GetString(answer, "error") == errNoSuchLease {
		return txnRejected
	}
	l := &c.limits
	if len(l.refused) >= mostRefused {
		clear(l.refused)
	}
	l.refused[maphash.Bytes(l.seed, body)] = true
	largest := 0
	for _, ch := range then {
		largest = max(largest, len(ch.Value))
	}
	was := *l
	if !l.tooLarge(len(then), largest) {
		c.log.Error("the state service refused a transaction as malformed", "body", string(body))
		return txnMalformed
	}
	if was.target != l.target || was.allowed != l.allowed {
		c.log.Warn("the state service's limits are lower", "refused_changes", len(then), "refused_bytes", largest,
			"changes", l.target.changes, "value_bytes", l.target.valueBytes, "longest_description", l.allowed.valueBytes)
		c.limitsChanged()
	}
	return txnTooLarge
}

// wasRefused reports whether exactly this transaction was refused as malformed before.
func (l *stateLimits) wasRefused(body []byte) bool {
	return len(l.refused) > 0 && l.refused[maphash.Bytes(l.seed, body)]
}

// lowerRate handles a transaction that was refused for the rate.
func (c *Controller) lowerRate() {
	if c.limits.crowded(c.at.Steady) {
		c.log.Warn("the state service takes fewer changes", "a_second", c.limits.rate, "published", c.limits.published)
		c.emit(WriteRate{PerSecond: c.limits.rate, Lowered: true})
	}
}

// probeRate tries a higher rate where it is time for that.
func (c *Controller) probeRate() {
	most := c.limits.published
	if leads(c.role) {
		// Its part of that is all there is: the others mostly write nothing.
		most /= WriteShare(len(c.platform.Peers)+1, true)
	}
	if c.limits.probe(c.at.Steady, most) {
		c.log.Debug("more changes are tried", "a_second", c.limits.rate)
		c.emit(WriteRate{PerSecond: c.limits.rate})
	}
}
