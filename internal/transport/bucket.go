package transport

import "mapleslip/internal/protocol"

// Priority orders calls that wait for the same bucket.
type Priority uint8

// Leadership comes first: without it nothing else may be done.
const (
	Leadership Priority = iota
	User
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
	largest        float64 // changes of the largest call
	queues         [priorities][]Metered
}

// NewMeter makes a meter; burst is how many seconds' worth may come at once,
// largest how many changes one call may carry.
func NewMeter(rate, writes, burst float64, largest int) *Meter {
	m := &Meter{rate: rate, writes: writes, burst: burst, largest: float64(largest)}
	m.SetShare(1, 1, largest)
	m.calls.level, m.changes.level = m.calls.burst, m.changes.burst
	return m
}

// SetShare sets the parts of the published rates that this process may use, and how many
// changes its largest call carries, at most what the meter was made for. What it has
// saved up beyond that is gone: a process that is back at once, again and again, or seven
// of them together, would else come with a full burst each time.
func (m *Meter) SetShare(calls, changes float64, largest int) {
	m.calls.rate, m.calls.burst = m.rate*calls, max(1, m.rate*calls*m.burst)
	m.changes.rate, m.changes.burst = m.writes*changes, max(min(m.largest, float64(largest)), m.writes*changes*m.burst)
	m.calls.level, m.changes.level = min(m.calls.level, m.calls.burst), min(m.changes.level, m.changes.burst)
}

// Waiting is how many calls wait for their turn.
func (m *Meter) Waiting() int {
	n := 0
	for p := range m.queues {
		n += len(m.queues[p])
	}
	return n
}

// Add queues a call.
func (m *Meter) Add(c Metered) { m.queues[c.Priority] = append(m.queues[c.Priority], c) }

// Run sends what the rates allow and reports whether calls still wait. A call
// that only reads does not wait for the rate of changes.
func (m *Meter) Run(now protocol.Micros) (waiting bool) {
	m.calls.fill(now)
	m.changes.fill(now)
	noChanges := false
	for p := range m.queues {
		q := m.queues[p]
		rest := q[:0]
		for _, c := range q {
			noChanges = noChanges || c.Changes > 0 && m.changes.level < float64(c.Changes)
			switch {
			case now >= c.Expires:
				c.Expire()
			case m.calls.level < 1 || c.Changes > 0 && noChanges:
				rest = append(rest, c)
			default:
				m.calls.level--
				m.changes.level -= float64(c.Changes)
				c.Send()
			}
		}
		clear(q[len(rest):])
		m.queues[p] = rest
		waiting = waiting || len(rest) > 0
	}
	return waiting
}
