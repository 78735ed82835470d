package simulation

import (
	"fmt"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// fallenLimits are those that the state service holds from some moment on, below what the
// platform's settings say.
type fallenLimits struct {
	protocol.StateLimits
	alarm   func(format string, args ...any)
	refused map[string]bool // transactions that got 400
	copied  bool            // what comes now the network copied or held up: it was not sent now
	count   int
}

// refuses says what is wrong with a transaction under the limits. One that was refused is
// not to come again as it is.
func (l *fallenLimits) refuses(body []byte, then []*fastjson.Value) string {
	problem := ""
	if len(then) > l.MaxTxnChanges {
		problem = "too many changes"
	}
	for _, c := range then {
		if data := c.Get("data"); data != nil && len(data.MarshalTo(nil)) > l.MaxValueBytes {
			problem = "a value is too large"
		}
	}
	if problem == "" || l.copied {
		return problem
	}
	if l.refused[string(body)] {
		l.alarm("a transaction that was refused (%s) comes again as it was", problem)
	}
	l.refused[string(body)] = true
	l.count++
	return problem
}

// serveCopy carries out a request that the network copied or held up: what was refused since
// may come so. Whether it is sent again is judged when it is sent, see checkSends.
func (s *store) serveCopy(method, path string, body []byte) {
	if s.fallen != nil {
		s.fallen.copied = true
		defer func() { s.fallen.copied = false }()
	}
	s.serve(method, path, body, func(int, string) {})
}

// writeRate is how many changes a second are taken.
func (s *store) writeRate() float64 {
	if s.fallen != nil {
		return s.fallen.WriteRate
	}
	return s.platform.StateWriteRate
}

// limitsFrom reads limits of the state service: value=2048 ops=4 changes=24.
func limitsFrom(words []string) protocol.StateLimits {
	o := options(words)
	return protocol.StateLimits{MaxValueBytes: int(number(o, "value", 2048)), MaxTxnChanges: int(number(o, "ops", 4)), WriteRate: number(o, "changes", 24)}
}

// sceneNext announces limits of the state service in the settings: next value=2048 ops=4 changes=24.
func (w *World) sceneNext(words []string) error {
	l := limitsFrom(words)
	w.Platform.AnnouncedStateLimits = &l
	return nil
}

// actLimitsFall has the state service hold lower limits from now on, without notice:
// limits-fall value=2048 ops=4 changes=24.
func (w *World) actLimitsFall(words []string) error {
	w.limited = true
	w.store.fallen = &fallenLimits{StateLimits: limitsFrom(words), alarm: w.broken, refused: make(map[string]bool)}
	w.store.writes.room = min(w.store.writes.room, w.store.fallen.WriteRate)
	return nil
}

// expectLimits checks how records and transactions stand to the limits: "fits BYTES" that no
// record that leaders write takes more, "unfit COUNT" that at most so many transactions were
// refused for their size since the limits fell.
func (w *World) expectLimits(words []string) error {
	most := int(number(options([]string{"x=" + words[1]}), "x", 0))
	if words[0] == "unfit" {
		if w.store.fallen == nil || w.store.fallen.count > most {
			return fmt.Errorf("%d were refused", w.store.fallen.count)
		}
		return nil
	}
	for _, key := range w.store.order {
		if strings.HasPrefix(key, records.JobPrefix) {
			continue // as their users wrote them
		}
		if n := len(w.store.keys[key].value); n > most {
			return fmt.Errorf("%s takes %d bytes", key, n)
		}
	}
	return nil
}
