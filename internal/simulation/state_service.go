package simulation

import "mapleslip/internal/protocol"

// StateService is the fake state service without the rest of the simulation, for programs that
// serve it on real connections. It enforces all published limits of the state service. It isn't
// safe for concurrent use.
type StateService struct{ store *store }

// StateSize contains the sizes and counters of a state service.
type StateSize struct {
	Keys, Bytes     int // number of keys, and bytes of all keys and values
	Leases, Watches int
	Written         int // puts and deletes so far, of all transactions within the rate of changes
	Refused         int // transactions refused so far because of the rate of changes
	Revision        uint64
}

// NewStateService returns a state service with the limits of a platform. now is its clock. It calls
// reportViolation for transactions that it refuses at any rate: with too many changes or
// conditions, an invalid key, or a missing or too large value.
func NewStateService(p *protocol.Platform, now func() protocol.Micros, reportViolation func(format string, args ...any)) *StateService {
	s := &store{
		now: now, platform: p, writesLimited: func() bool { return true }, strict: true, reportViolation: reportViolation,
		keys: make(map[string]*entry), leases: make(map[uint64]*lease),
	}
	s.requests = tokenBucket{p.StateRequestRate, now()}
	s.writes = tokenBucket{p.StateWriteRate, now()}
	return &StateService{s}
}

// Serve carries out a request. A watch is answered by a later call to Serve or Tick.
func (s *StateService) Serve(method, target string, body []byte, answer func(status int, body string)) {
	s.store.serve(method, target, body, answer)
	if !s.store.down {
		s.store.answerWatches()
	}
}

// ServeCopy carries out a request again that the network copied. The copy does not count against the
// rates, which are measured with the load of the original requests.
func (s *StateService) ServeCopy(method, target string, body []byte) {
	requests, writes := s.store.requests, s.store.writes
	s.Serve(method, target, body, func(int, string) {})
	s.store.requests, s.store.writes = requests, writes
}

// Tick ends expired leases and watches. It has to be called every 50 ms.
func (s *StateService) Tick() { s.store.tick() }

// SetDown begins or ends an outage. At the end of an outage, all leases get their full time again.
func (s *StateService) SetDown(down bool) { s.store.setDown(down) }

// Size returns the current sizes and counters.
func (s *StateService) Size() StateSize {
	return StateSize{
		Keys: len(s.store.keys), Bytes: s.store.bytes, Leases: len(s.store.leases), Watches: len(s.store.watches), Written: s.store.written, Refused: s.store.refused,
		Revision: s.store.revision,
	}
}
