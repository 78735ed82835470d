package simulation

import (
	"fmt"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// loweredLimits are limits that the state service enforces from some moment on. They are lower than
// those in the platform's settings.
type loweredLimits struct {
	protocol.StateLimits
	reportViolation func(format string, args ...any)
	refused         map[string]bool // bodies of the transactions that got 400
	fromCopy        bool            // the current request is a copy or was delayed by the network
	refusedCount    int             // transactions that were refused
	since           uint64          // revision at which the limits were lowered
}

// refuses returns why a transaction exceeds the limits, or "". A controller that sends a refused
// transaction again unchanged violates a rule.
func (l *loweredLimits) refuses(body []byte, writes []*fastjson.Value) string {
	problem := ""
	if len(writes) > l.MaxTxnChanges {
		problem = "too many changes"
	}
	for _, c := range writes {
		if data := c.Get("data"); data != nil && len(data.MarshalTo(nil)) > l.MaxValueBytes {
			problem = "a value is too large"
		}
	}
	if problem == "" || l.fromCopy {
		return problem
	}
	if l.refused[string(body)] {
		l.reportViolation("a transaction that was refused (%s) comes again as it was", problem)
	}
	l.refused[string(body)] = true
	l.refusedCount++
	return problem
}

// serveCopy carries out a request that the network copied or delayed. It may be a transaction that
// was refused in the meantime; that a controller sends none of those is checked when it sends,
// see checkSends.
func (s *store) serveCopy(method, path string, body []byte) {
	if s.loweredLimits != nil {
		s.loweredLimits.fromCopy = true
		defer func() { s.loweredLimits.fromCopy = false }()
	}
	s.serve(method, path, body, func(int, string) {})
}

// writeRate is the number of changes per second that the state service accepts.
func (s *store) writeRate() float64 {
	if s.loweredLimits != nil {
		return s.loweredLimits.WriteRate
	}
	return s.platform.StateWriteRate
}

// parseLimits reads limits of the state service from options: value=2048 ops=4 changes=24.
func parseLimits(words []string) protocol.StateLimits {
	o := options(words)
	return protocol.StateLimits{MaxValueBytes: int(number(o, "value", 2048)), MaxTxnChanges: int(number(o, "ops", 4)), WriteRate: number(o, "changes", 24)}
}

// setupAnnouncedLimits carries out next value=2048 ops=4 changes=24: the platform's settings
// announce these future limits of the state service.
func (w *World) setupAnnouncedLimits(words []string) error {
	l := parseLimits(words)
	w.Platform.AnnouncedStateLimits = &l
	return nil
}

// actLimitsFall carries out lower-limits value=2048 ops=4 changes=24: the state service enforces
// these lower limits from now on, without notice.
func (w *World) actLimitsFall(words []string) error {
	w.limited = true
	w.store.loweredLimits = &loweredLimits{StateLimits: parseLimits(words), reportViolation: w.reportViolation, refused: make(map[string]bool), since: w.store.revision}
	w.store.writes.tokens = min(w.store.writes.tokens, w.store.loweredLimits.WriteRate)
	return nil
}

// expectLimits checks fits BYTES, that no record written by leaders takes more bytes, and
// unfit COUNT, that at most COUNT transactions were refused for their size since the limits
// were lowered. A record that was written before may be larger if the limits were not announced and
// no transaction of the leader's process was refused for its size: nothing shows it the limit, and
// stored values stay readable.
func (w *World) expectLimits(words []string) error {
	limit := int(number(options([]string{"x=" + words[1]}), "x", 0))
	if words[0] == "unfit" {
		if w.store.loweredLimits == nil || w.store.loweredLimits.refusedCount > limit {
			return fmt.Errorf("%d were refused", w.store.loweredLimits.refusedCount)
		}
		return nil
	}
	leader := w.leader()
	limitUnknown := w.store.loweredLimits != nil && leader != nil && leader.ctl.MaxRecordBytes() > limit
	for _, key := range w.store.sortedKeys {
		if strings.HasPrefix(key, records.JobPrefix) {
			continue // its size depends on what its user submitted
		}
		e := w.store.keys[key]
		if limitUnknown && e.revision <= w.store.loweredLimits.since {
			continue
		}
		if n := len(e.value); n > limit {
			return fmt.Errorf("%s takes %d bytes", key, n)
		}
	}
	return nil
}
