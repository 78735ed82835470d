package transport

import "mapleslip/internal/protocol"

// Priority orders calls that wait for the same bucket.
type Priority uint8

// Leadership comes first: without it nothing else may be done.
const (
	Leadership Priority = iota
	Urgent
	Normal
	priorities
)

// Metered is one call waiting for its turn.
type Metered struct {
	Priority Priority
	Changes  int // puts and deletes
	Expires  protocol.Micros
	Send     func()
	Expire   func()
}

// bucket fills at rate per second up to one burst.
type bucket struct {
	rate, burst, level float64
	at                 protocol.Micros
}

func (b *bucket) fill(now protocol.Micros) {
	if now > b.at {
		b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// Meter keeps calls to a service within its published rates, which all
// controllers share: the leader takes most, the others a small part each.
type Meter struct {
	calls, changes bucket
	rate, writes   float64
	burst          float64
	queues         [priorities][]Metered
}

// NewMeter makes a meter; burst is how many seconds' worth may come at once.
func NewMeter(rate, writes, burst float64) *Meter {
	m := &Meter{rate: rate, writes: writes, burst: burst}
	m.SetShare(0.15)
	m.calls.level, m.changes.level = m.calls.burst, m.changes.burst
	return m
}

// SetShare sets the part of the published rates that this process may use.
func (m *Meter) SetShare(part float64) {
	m.calls.rate, m.calls.burst = m.rate*part, max(1, m.rate*part*m.burst)
	m.changes.rate, m.changes.burst = m.writes*part, max(12, m.writes*part*m.burst)
}

// Add queues a call.
func (m *Meter) Add(c Metered) { m.queues[c.Priority] = append(m.queues[c.Priority], c) }

// Run sends what the rates allow and reports whether calls still wait.
func (m *Meter) Run(now protocol.Micros) (waiting bool) {
	m.calls.fill(now)
	m.changes.fill(now)
	blocked := false
	for p := range m.queues {
		q := m.queues[p]
		i := 0
		for ; i < len(q); i++ {
			c := q[i]
			if now >= c.Expires {
				c.Expire()
				continue
			}
			if blocked || m.calls.level < 1 || (c.Changes > 0 && m.changes.level < float64(c.Changes)) {
				blocked = true
				break
			}
			m.calls.level--
			m.changes.level -= float64(c.Changes)
			c.Send()
		}
		m.queues[p] = append(q[:0], q[i:]...)
		waiting = waiting || len(m.queues[p]) > 0
	}
	return waiting
}
