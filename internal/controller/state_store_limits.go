package controller

import (
	"hash/maphash"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// propagateLimits hands the limits on to those that keep them for themselves.
func (s *stateStore) propagateLimits() {
	if s.config.state != nil {
		s.config.state.bounds.ValueBytes = s.limits.target.maxValueBytes
	}
	if s.rollouts.settings != nil {
		s.rollouts.settings.ValueBytes = s.limits.target.maxValueBytes
		if s.term != nil && s.term.rollouts.manager != nil {
			s.term.rollouts.manager.SetValueBytes(s.limits.target.maxValueBytes)
		}
	}
}

// onMalformedTransaction handles a transaction that was refused as malformed. It is never sent
// again as it is: either the limits are lower now and it is divided, or it stays undone.
func (s *stateStore) onMalformedTransaction(body, answer []byte, then []protocol.Change) txnOutcome {
	if fastjson.GetString(answer, "error") == errNoSuchLease {
		return txnNotExecuted
	}
	l := &s.limits
	if len(l.refusedBodies) >= maxRefusedBodies {
		clear(l.refusedBodies)
	}
	l.refusedBodies[maphash.Bytes(l.seed, body)] = true
	largest := 0
	for _, ch := range then {
		largest = max(largest, len(ch.Value))
	}
	was := *l
	if !l.learnFromMalformed(len(then), largest) {
		s.log.Error("the state service refused a transaction as malformed", "body", string(body))
		return txnMalformed
	}
	if was.target != l.target || was.accepted != l.accepted {
		s.log.Warn("the state service's limits are lower", "refused_changes", len(then), "refused_bytes", largest,
			"changes", l.target.maxChanges, "value_bytes", l.target.maxValueBytes, "longest_description", l.accepted.maxValueBytes)
		s.propagateLimits()
	}
	return txnTooLarge
}

// onRateLimited handles a transaction that was refused for the rate.
func (s *stateStore) onRateLimited() {
	if s.limits.learnFromRateLimit(s.now.Steady) {
		s.log.Warn("the state service takes fewer changes", "a_second", s.limits.writeRate, "published", s.limits.publishedRate)
		s.emit(WriteRate{PerSecond: s.limits.writeRate, Lowered: true})
	}
}

// probeWriteRate tries a higher rate where it is time for that.
func (s *stateStore) probeWriteRate() {
	most := s.limits.publishedRate
	if isLeaderRole(s.election.role) {
		// Its part of that is all there is: the others mostly write nothing.
		most /= WriteShare(len(s.platform.Peers)+1, true)
	}
	if s.limits.tryHigherRate(s.now.Steady, most) {
		s.log.Debug("more changes are tried", "a_second", s.limits.writeRate)
		s.emit(WriteRate{PerSecond: s.limits.writeRate})
	}
}

// writeRate is how many changes a second the leader may make.
func (s *stateStore) writeRate() float64 {
	return max(1, s.limits.writeRate*WriteShare(len(s.platform.Peers)+1, true))
}
