package transport

import "mapleslip/internal/protocol"

// Priority is the class of a call to a metered service.
type Priority uint8

// Leadership calls are sent before all others, because nothing else may be done without
// leadership. The other classes share the remaining rate by weight, see fairQueue.
const (
	Leadership      Priority = iota
	LatencyCritical          // a user waits for the answer, and a job must start at once
	User                     // a user waits for the answer
	Urgent                   // jobs or tasks wait for the result
	Normal
	FinalRecord // the record of a finished job: the second subqueue of Urgent, see flow
	numPriorities
)

// weights sets how the rate is divided while all classes have calls waiting: of 35 changes a
// second, the classes get 5, 12, 16 and 2. Hundreds of tasks share one record of class Urgent, but
// each submission takes a record of its own. A class that does not use its share leaves it to the
// others.
var weights = [numPriorities]float64{LatencyCritical: 5, User: 12, Urgent: 16, Normal: 2}

// idleCredit is how far behind the virtual time a class may begin after an idle period, in units
// of cost divided by weight. With it, a few submissions after a pause are sent before the waiting
// calls of other classes, while a flood of submissions gets only the share of its class. Without
// it, each submission waited behind the records of the submissions before it, for a quarter of a
// second where the rate is low.
var idleCredit = [numPriorities]float64{LatencyCritical: 0.6, User: 0.6}

// Metered is a call to a metered service, queued until the rates allow it.
type Metered struct {
	Priority Priority
	Changes  int             // number of puts and deletes
	Expires  protocol.Micros // time from which the call is no longer sent
	Send     func()          // sends the call
	Expire   func()          // called instead of Send once the call has expired
}

// fairQueue implements self-clocked fair queueing (Golestani, INFOCOM 1994) over the classes. The
// tag of a call is the virtual time at which its class would finish it if the class got exactly its
// share of the rate; the call with the lowest tag is sent next. A class that had no calls waiting
// begins at the highest tag that was sent, or slightly before it (see idleCredit). So a class
// accumulates almost no allowance while it is idle, and a small call of a class with little load is
// sent before large calls of a class with much load. Leadership calls have no tags and are sent
// first.
type fairQueue struct {
	flows       [numPriorities]flow
	virtualTime float64 // highest tag of a call that was removed for sending
	waiting     int     // number of calls in all flows
}

// numSubqueues is the number of subqueues of each class.
const numSubqueues = 2

// flow contains the waiting calls of a class. The subqueues share the rate of the class equally,
// and an empty subqueue leaves its share to the other. Only Urgent uses the second subqueue, for
// final records. When thousands of single-task jobs finish, most writes are their final records. In
// one queue with them, launch records were delayed by seconds, expired, and were queued again at
// the end.
type flow struct {
	subqueues [numSubqueues]subqueue
	finishTag float64 // tag of the last call removed for sending; after an idle period see add
}

// subqueue contains waiting calls in the order in which they were added.
type subqueue struct {
	calls []Metered
	// cost of the calls removed for sending; an empty subqueue that gets a call is first raised to
	// the value of the other subqueue
	servedCost float64
}

// subqueueOf returns the class, and the index of its subqueue, in which calls of a priority wait.
func subqueueOf(p Priority) (class Priority, index int) {
	if p == FinalRecord {
		return Urgent, 1
	}
	return p, 0
}

func (f *flow) empty() bool { return len(f.subqueues[0].calls) == 0 && len(f.subqueues[1].calls) == 0 }

// nextSubqueue returns the subqueue of the next call: the non-empty one with the lower cost so far.
// The flow must not be empty.
func (f *flow) nextSubqueue() *subqueue {
	first, second := &f.subqueues[0], &f.subqueues[1]
	if len(first.calls) == 0 || len(second.calls) > 0 && second.servedCost < first.servedCost {
		return second
	}
	return first
}

// add queues a call. A class that had no calls waiting begins at its last tag, or at the virtual
// time less its credit if that is higher.
func (q *fairQueue) add(c Metered) {
	class, n := subqueueOf(c.Priority)
	f := &q.flows[class]
	if f.empty() {
		f.finishTag = max(f.finishTag, q.virtualTime-idleCredit[c.Priority])
	}
	sub, other := &f.subqueues[n], &f.subqueues[numSubqueues-1-n]
	if len(sub.calls) == 0 {
		sub.servedCost = max(sub.servedCost, other.servedCost)
	}
	sub.calls = append(sub.calls, c)
	q.waiting++
}

// cost is the number of changes of a call; a call that only reads costs as much as one change.
func cost(c *Metered) float64 { return max(1, float64(c.Changes)) }

func (f *flow) tag(p Priority) float64 {
	return f.finishTag + cost(&f.nextSubqueue().calls[0])/weights[p]
}

// nextClass returns the class of the next call, or false if no call waits.
func (q *fairQueue) nextClass() (Priority, bool) {
	if !q.flows[Leadership].empty() {
		return Leadership, true
	}
	best, found, tag := Leadership, false, 0.0
	for p := Leadership + 1; p < FinalRecord; p++ {
		if f := &q.flows[p]; !f.empty() {
			if t := f.tag(p); !found || t < tag {
				best, found, tag = p, true, t
			}
		}
	}
	return best, found
}

// pop removes and returns the next call of a class, which must have one.
func (q *fairQueue) pop(p Priority) Metered {
	f := &q.flows[p]
	if p != Leadership {
		f.finishTag = f.tag(p)
		q.virtualTime = max(q.virtualTime, f.finishTag)
	}
	sub := f.nextSubqueue()
	c := sub.calls[0]
	sub.servedCost += cost(&c)
	sub.calls[0] = Metered{}
	sub.calls = sub.calls[1:]
	if q.waiting--; q.waiting == 0 {
		// The queue is empty: all classes begin again at 0 and without credit, so that the tags
		// stay small.
		q.virtualTime = 0
		for p := range q.flows {
			f := &q.flows[p]
			f.finishTag, f.subqueues[0].servedCost, f.subqueues[1].servedCost = 0, 0, 0
		}
	}
	return c
}

// removeExpired removes the calls that have expired and appends them to removed.
func (q *fairQueue) removeExpired(now protocol.Micros, removed []Metered) []Metered {
	for p := range q.flows {
		for n := range q.flows[p].subqueues {
			sub := &q.flows[p].subqueues[n]
			before := len(sub.calls)
			removed = sub.removeExpired(now, removed)
			q.waiting -= before - len(sub.calls)
		}
	}
	return removed
}

// removeExpired removes the calls that have expired and appends them to removed.
func (s *subqueue) removeExpired(now protocol.Micros, removed []Metered) []Metered {
	kept := s.calls[:0]
	for _, c := range s.calls {
		if now >= c.Expires {
			removed = append(removed, c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(s.calls[len(kept):])
	s.calls = kept
	return removed
}

// tokenBucket gains rate tokens per second, up to burst tokens.
type tokenBucket struct {
	rate, burst, tokens float64
	filledAt            protocol.Micros
}

func (b *tokenBucket) fill(now protocol.Micros) {
	if now > b.filledAt {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.filledAt).Seconds())
		b.filledAt = now
	}
}

// Meter keeps the calls of this process to a service within the service's published rates of calls
// and changes. All controllers share these rates: the leader uses most, each follower a small part.
type Meter struct {
	calls, changes       tokenBucket
	callRate, changeRate float64   // per second, for all processes together
	callShare            float64   // part of callRate that this process may use
	changeShare          float64   // part of changeRate that this process may use
	largestOwnCall       int       // changes in the largest call of this process
	burstSeconds         float64   // a burst is the allowance of this many seconds
	largestCall          float64   // changes in the largest call of any process
	reads                fairQueue // calls without changes, which don't wait for the rate of changes
	writes               fairQueue // calls with changes
	writeNext            bool      // reads and writes alternate while both may be sent
}

// NewMeter returns a meter for the given rates per second. A burst may use the allowance of
// burstSeconds, and one call may carry largestCall changes.
func NewMeter(callRate, changeRate, burstSeconds float64, largestCall int) *Meter {
	m := &Meter{callRate: callRate, changeRate: changeRate, burstSeconds: burstSeconds, largestCall: float64(largestCall)}
	m.SetShare(1, 1, largestCall)
	m.calls.tokens, m.changes.tokens = m.calls.burst, m.changes.burst
	return m
}

// SetShare sets the parts of the published rates that this process may use, and the number of
// changes in its largest call, which is limited to that given to NewMeter. Unused allowance above
// the new burst is discarded: otherwise a process that restarts repeatedly, or seven processes that
// start together, would each begin with the full burst of all processes.
func (m *Meter) SetShare(callShare, changeShare float64, largestCall int) {
	m.callShare, m.changeShare, m.largestOwnCall = callShare, changeShare, largestCall
	m.calls.rate, m.calls.burst = m.callRate*callShare, max(1, m.callRate*callShare*m.burstSeconds)
	m.changes.rate, m.changes.burst = m.changeRate*changeShare, max(min(m.largestCall, float64(largestCall)), m.changeRate*changeShare*m.burstSeconds)
	m.calls.tokens, m.changes.tokens = min(m.calls.tokens, m.calls.burst), min(m.changes.tokens, m.changes.burst)
}

// SetWrites sets the rate of changes that all processes share. If the service has just refused
// changes, the unused allowance for changes is discarded.
func (m *Meter) SetWrites(perSecond float64, refused bool) {
	m.changeRate = perSecond
	m.SetShare(m.callShare, m.changeShare, m.largestOwnCall)
	if refused {
		m.changes.tokens = min(m.changes.tokens, 0)
	}
}

// Waiting returns the number of queued calls.
func (m *Meter) Waiting() int { return m.reads.waiting + m.writes.waiting }

// Add queues a call.
func (m *Meter) Add(c Metered) {
	if c.Changes > 0 {
		m.writes.add(c)
	} else {
		m.reads.add(c)
	}
}

// Run removes expired calls, sends the calls that the rates allow and reports whether calls still
// wait.
func (m *Meter) Run(now protocol.Micros) (waiting bool) {
	for _, c := range m.writes.removeExpired(now, m.reads.removeExpired(now, nil)) {
		c.Expire()
	}
	m.calls.fill(now)
	m.changes.fill(now)
	for m.calls.tokens >= 1 {
		q, p, ok := m.next()
		if !ok {
			break
		}
		c := q.pop(p)
		m.calls.tokens--
		m.changes.tokens -= float64(c.Changes)
		c.Send()
	}
	return m.Waiting() > 0
}

// next returns the queue and the class of the call to send, or false if there is none. While the
// first write needs more changes than the rate allows yet, smaller writes behind it wait too:
// otherwise they could delay it forever.
func (m *Meter) next() (*fairQueue, Priority, bool) {
	readClass, canRead := m.reads.nextClass()
	writeClass, canWrite := m.writes.nextClass()
	canWrite = canWrite && m.changes.tokens >= float64(m.writes.flows[writeClass].nextSubqueue().calls[0].Changes)
	switch {
	case canRead && canWrite:
		if readClass != Leadership && (writeClass == Leadership || m.writeNext) {
			m.writeNext = false
			return &m.writes, writeClass, true
		}
		m.writeNext = true
		return &m.reads, readClass, true
	case canWrite:
		return &m.writes, writeClass, true
	}
	return &m.reads, readClass, canRead
}
