package simulation

import "mapleslip/internal/protocol"

// StateService is the stand-in of the state service by itself, with all its published
// limits, for whoever serves it on real connections. It isn't safe for concurrent use.
type StateService struct{ s *store }

// StateSize says how much a state service holds.
type StateSize struct {
	Keys, Bytes     int // Bytes: of keys and values
	Leases, Watches int
	Written         int // puts and deletes so far
	Refused         int // transactions beyond the rate of changes so far
	Revision        uint64
}

// NewStateService makes one with a platform's limits. now is the clock; alarm is told of
// requests beyond what the service takes at all.
func NewStateService(p *protocol.Platform, now func() protocol.Micros, alarm func(format string, args ...any)) *StateService {
	s := &store{
		now: now, platform: p, metered: func() bool { return true }, strict: true, alarm: alarm,
		keys: make(map[string]*entry), leases: make(map[uint64]*lease),
	}
	s.requests = allowance{p.StateRequestRate, now()}
	s.writes = allowance{p.StateWriteRate, now()}
	return &StateService{s}
}

// Serve carries out a request. Watches are answered later, from Serve or Tick.
func (s *StateService) Serve(method, target string, body []byte, answer func(status int, body string)) {
	s.s.serve(method, target, body, answer)
	if !s.s.down {
		s.s.wake()
	}
}

// Tick ends leases and watches whose time has come; it is due every 50 ms.
func (s *StateService) Tick() { s.s.tick() }

// SetDown begins or ends an outage.
func (s *StateService) SetDown(down bool) { s.s.setDown(down) }

// Size says how much there is.
func (s *StateService) Size() StateSize {
	return StateSize{
		Keys: len(s.s.keys), Bytes: s.s.bytes, Leases: len(s.s.leases), Watches: len(s.s.watches), Written: s.s.written, Refused: s.s.refused,
		Revision: s.s.revision,
	}
}
