package transport

import "mapleslip/internal/protocol"

// Priority is the class of calls that wait for the same service.
type Priority uint8

// Leadership goes before everything: without it nothing else may be done. The others
// share what is left by weight, see fairQueue.
const (
	Leadership Priority = iota
	Pressing            // a user waits, for work that has to start at once
	User                // a user waits
	Urgent              // work waits
	Normal
	Ending // a job is over: Urgent's second lane, see flow
	priorities
)

// weights are the parts of a service that the classes have while all of them wait: of
// 35 changes a second 5, 12, 16 and 2. Where work waits it is records that hundreds of
// tasks share; a submission is one to itself. What one has no use for the others have.
var weights = [priorities]float64{Pressing: 5, User: 12, Urgent: 16, Normal: 2}

// saved is how much of its part a class of users may catch up on, as what each of its calls
// costs divided by its weight: a few submissions that come after a pause go before what
// other classes have waiting, and a flood of them gets the class's part and no more.
// Without it each waited for its turn behind the records of those before it, a quarter of
// a second where the rate is low.
var saved = [priorities]float64{Pressing: 0.6, User: 0.6}

// Metered is one call waiting for its turn.
type Metered struct {
	Priority Priority
	Changes  int // puts and deletes
	Expires  protocol.Micros
	Send     func()
	Expire   func()
}

// fairQueue is self-clocked fair queueing (Golestani, INFOCOM 1994) over the classes:
// each call is tagged with when its class would be through with it if it had its part of
// the service and no more, and the lowest tag is next. A class that has waited for nothing
// begins at the tag of what was sent last, or a little before (see saved), so hardly
// anything is saved up by not asking, and a small call of a class that asks for little
// passes the large ones of one that asks for much. Leadership has no tags and goes first.
type fairQueue struct {
	flows   [priorities]flow
	virtual float64 // highest tag of a call that was taken
	waiting int
}

// lanes is how many lines the calls of one class wait in.
const lanes = 2

// flow is what waits of a class. Its lanes have equal parts of what the class has, and one
// that is empty leaves its part to the other. Only Urgent has a second one. Where thousands
// of jobs of one task end, their records are most of what is written: in one line with them
// the records of launches came seconds later, expired, and began again at its end.
type flow struct {
	lanes  [lanes]lane
	finish float64 // tag of the class's last call that was taken, or where it begins
}

// lane is one line of calls, in order.
type lane struct {
	calls  []Metered
	served float64 // what its calls took, counted from the other lane's when it begins
}

// laneOf is where calls of a priority wait.
func laneOf(p Priority) (class Priority, lane int) {
	if p == Ending {
		return Urgent, 1
	}
	return p, 0
}

func (f *flow) empty() bool { return len(f.lanes[0].calls) == 0 && len(f.lanes[1].calls) == 0 }

// head is the lane whose turn it is. The flow is not empty.
func (f *flow) head() *lane {
	first, second := &f.lanes[0], &f.lanes[1]
	if len(first.calls) == 0 || len(second.calls) > 0 && second.served < first.served {
		return second
	}
	return first
}

func (q *fairQueue) add(c Metered) {
	class, n := laneOf(c.Priority)
	f := &q.flows[class]
	if f.empty() {
		f.finish = max(f.finish, q.virtual-saved[c.Priority])
	}
	l, other := &f.lanes[n], &f.lanes[lanes-1-n]
	if len(l.calls) == 0 {
		l.served = max(l.served, other.served)
	}
	l.calls = append(l.calls, c)
	q.waiting++
}

// cost is what a call takes of the service; one that only reads counts as one.
func cost(c *Metered) float64 { return max(1, float64(c.Changes)) }

func (f *flow) tag(p Priority) float64 { return f.finish + cost(&f.head().calls[0])/weights[p] }

// next is the class whose turn it is.
func (q *fairQueue) next() (Priority, bool) {
	if !q.flows[Leadership].empty() {
		return Leadership, true
	}
	best, found, tag := Leadership, false, 0.0
	for p := Leadership + 1; p < Ending; p++ {
		if f := &q.flows[p]; !f.empty() {
			if t := f.tag(p); !found || t < tag {
				best, found, tag = p, true, t
			}
		}
	}
	return best, found
}

// take takes a class's first call.
func (q *fairQueue) take(p Priority) Metered {
	f := &q.flows[p]
	if p != Leadership {
		f.finish = f.tag(p)
		q.virtual = max(q.virtual, f.finish)
	}
	l := f.head()
	c := l.calls[0]
	l.served += cost(&c)
	l.calls[0] = Metered{}
	l.calls = l.calls[1:]
	if q.waiting--; q.waiting == 0 {
		// Whoever comes next begins anew, as the tags say anyway: they stay small.
		q.virtual = 0
		for p := range q.flows {
			f := &q.flows[p]
			f.finish, f.lanes[0].served, f.lanes[1].served = 0, 0, 0
		}
	}
	return c
}

// expired takes out what has waited for too long.
func (q *fairQueue) expired(now protocol.Micros, to []Metered) []Metered {
	for p := range q.flows {
		for n := range q.flows[p].lanes {
			l := &q.flows[p].lanes[n]
			waiting := len(l.calls)
			to = l.expired(now, to)
			q.waiting -= waiting - len(l.calls)
		}
	}
	return to
}

// expired takes out what has waited for too long.
func (l *lane) expired(now protocol.Micros, to []Metered) []Metered {
	rest := l.calls[:0]
	for _, c := range l.calls {
		if now >= c.Expires {
			to = append(to, c)
		} else {
			rest = append(rest, c)
		}
	}
	clear(l.calls[len(rest):])
	l.calls = rest
	return to
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
	shareOfCalls   float64 // parts of the rates that this process may use
	shareOfChanges float64
	largestOwn     int // changes of its largest call
	burst          float64
	largest        float64   // changes of the largest call
	reads          fairQueue // calls without changes, which don't wait for the rate of changes
	edits          fairQueue // calls with changes
	editNext       bool      // which of the two is next where the rate of calls is short
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
	m.shareOfCalls, m.shareOfChanges, m.largestOwn = calls, changes, largest
	m.calls.rate, m.calls.burst = m.rate*calls, max(1, m.rate*calls*m.burst)
	m.changes.rate, m.changes.burst = m.writes*changes, max(min(m.largest, float64(largest)), m.writes*changes*m.burst)
	m.calls.level, m.changes.level = min(m.calls.level, m.calls.burst), min(m.changes.level, m.changes.burst)
}

// SetWrites sets the rate of changes that all processes share. Where the service has just
// refused some nothing is saved up.
func (m *Meter) SetWrites(perSecond float64, refused bool) {
	m.writes = perSecond
	m.SetShare(m.shareOfCalls, m.shareOfChanges, m.largestOwn)
	if refused {
		m.changes.level = min(m.changes.level, 0)
	}
}

// Waiting is how many calls wait for their turn.
func (m *Meter) Waiting() int { return m.reads.waiting + m.edits.waiting }

// Add queues a call.
func (m *Meter) Add(c Metered) {
	if c.Changes > 0 {
		m.edits.add(c)
	} else {
		m.reads.add(c)
	}
}

// Run sends what the rates allow and reports whether calls still wait.
func (m *Meter) Run(now protocol.Micros) (waiting bool) {
	for _, c := range m.edits.expired(now, m.reads.expired(now, nil)) {
		c.Expire()
	}
	m.calls.fill(now)
	m.changes.fill(now)
	for m.calls.level >= 1 {
		q, p, ok := m.next()
		if !ok {
			break
		}
		c := q.take(p)
		m.calls.level--
		m.changes.level -= float64(c.Changes)
		c.Send()
	}
	return m.Waiting() > 0
}

// next is the call whose turn it is. Where the changes of the one with changes are not
// there yet it waits, and smaller ones behind it with it: else it would wait for ever.
func (m *Meter) next() (*fairQueue, Priority, bool) {
	r, read := m.reads.next()
	e, edit := m.edits.next()
	edit = edit && m.changes.level >= float64(m.edits.flows[e].head().calls[0].Changes)
	switch {
	case read && edit:
		if r != Leadership && (e == Leadership || m.editNext) {
			m.editNext = false
			return &m.edits, e, true
		}
		m.editNext = true
		return &m.reads, r, true
	case edit:
		return &m.edits, e, true
	}
	return &m.reads, r, read
}
