package users

import (
	"container/heap"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"mapleslip/internal/oddform"
	"mapleslip/internal/scale/ipc"
	"mapleslip/internal/scale/wire"
	"mapleslip/internal/strictjson"
)

// Settings of users as the protocol defines them; times are in microseconds.
const (
	second             = 1_000_000
	submitTimeout      = 5 * second
	pollTimeout        = 2 * second
	minRetryDelay      = 1 * second
	maxRetryDelay      = 30 * second
	retryLimit         = 60 * second // of all attempts of a request
	idleTimeout        = 10 * second
	maxRequestsPerConn = 50
	laterPollDelay     = 15 * second // of a poll after the job has ended
	connLimitDelay     = second / 20 // between checks while the maximum of connections is open
	costlyInterval     = second      // between two submissions with a costly body
	maxCostlyBytes     = 60_000      // of such a body
	halfCloseOneIn     = 16          // one in so many requests is followed by the end of the sending side
)

// event is an action of a user or operator at a time.
type event struct {
	due int64
	do  func(due int64)
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(a, b int) bool { return q[a].due < q[b].due }
func (q eventQueue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }

// Push is part of heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is part of heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// load is the state of the part.
type load struct {
	pipe    *ipc.Pipe
	plan    *Plan
	log     *slog.Logger
	rng     *rand.Rand
	wake    chan struct{}
	clients map[string]*regionClient

	mu       sync.Mutex
	events   eventQueue
	lags     []int64 // of the requests since the last gauge, microseconds
	counts   map[string]float64
	inFlight int
}

// Run runs the part with wire.RoleUsers: the load.
func Run(in io.Reader, out io.Writer, log *slog.Logger) error {
	p, err := ipc.Open(in, out)
	if err != nil {
		return err
	}
	plan, err := ParsePlan(p.Config.Load)
	if err != nil {
		return p.Ready(err)
	}
	l := &load{
		pipe: p, plan: plan, log: log, rng: rand.New(rand.NewPCG(p.Config.Seed, 0xbe7)), wake: make(chan struct{}, 1),
		clients: make(map[string]*regionClient), counts: make(map[string]float64),
	}
	for _, region := range plan.Regions {
		rc := &regionClient{load: l, region: region, source: net.ParseIP(plan.Sources[region]), balancer: newBalancer(len(p.Config.Controllers)), open: make(map[*conn]bool)}
		for _, c := range p.Config.Controllers {
			rc.addresses = append(rc.addresses, c.Public[region])
		}
		l.clients[region] = rc
	}
	return l.run()
}

func (l *load) run() error {
	g := newJobGenerator(l.plan, l.pipe.Config.Seed)
	jobs := g.jobs()
	for _, j := range jobs {
		l.schedule(j.due, func(due int64) { l.submit(j) })
	}
	if l.plan.Strangers > 0 {
		l.schedule(l.plan.BeginUS+second, l.queryUnknownJob)
	}
	l.schedule(l.plan.BeginUS+costlyInterval, l.submitCostlyBody)
	var changes []*change
	if l.plan.Operators != nil {
		changes = l.plan.drawChanges(l.pipe.Config.Seed)
	}
	if err := l.pipe.Ready(nil); err != nil {
		return err
	}
	l.pipe.Note("load: %d jobs drawn", len(jobs))
	stop := make(chan struct{})
	for _, rc := range l.clients {
		for i := range rc.addresses {
			go rc.probe(i, stop)
		}
		go rc.sweepConns(stop)
	}
	if len(changes) > 0 {
		l.runOperators(changes, stop)
	}
	go l.runEvents(stop)
	go l.sendGauges(stop)
	for range l.pipe.In {
	}
	close(stop)
	return nil
}

// schedule calls do at a time.
func (l *load) schedule(due int64, do func(due int64)) {
	l.mu.Lock()
	heap.Push(&l.events, event{due, do})
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// runEvents runs each event when it is due, in a goroutine of its own, however long others take.
func (l *load) runEvents(stop chan struct{}) {
	for {
		wait := time.Hour
		l.mu.Lock()
		for now := wire.Now(); len(l.events) > 0; {
			if e := l.events[0]; e.due <= now {
				heap.Pop(&l.events)
				go e.do(e.due)
				continue
			}
			wait = time.Duration(l.events[0].due-now) * time.Microsecond
			break
		}
		l.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-stop:
			t.Stop()
			return
		case <-l.wake:
			t.Stop()
		case <-t.C:
		}
	}
}

// form returns the number of the form, or of the way, of the next submission or request: every other
// one is usual.
func (l *load) form() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.rng.IntN(2*oddform.Forms)-oddform.Forms)
}

// halfCloses reports whether the client closes its sending side after the next request.
func (l *load) halfCloses() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(halfCloseOneIn) == 0
}

// count increments a counter.
func (l *load) count(name string) {
	l.mu.Lock()
	l.counts[name]++
	l.mu.Unlock()
}

// sendGauges reports the measured values to the supervisor once a second. The lag of a request
// is the time from when it is due until the client begins to look for a connection for it.
func (l *load) sendGauges(stop chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		l.mu.Lock()
		v := make(map[string]float64, len(l.counts)+3)
		for name, n := range l.counts {
			v[name] = n
		}
		slices.Sort(l.lags)
		if n := len(l.lags); n > 0 {
			v["lag_ms_max"] = float64(l.lags[n-1]) / 1000
			v["lag_ms_p99"] = float64(l.lags[n*99/100]) / 1000
		}
		l.lags = l.lags[:0]
		v["in_flight"] = float64(l.inFlight)
		l.mu.Unlock()
		healthy, open := 0, 0
		for _, rc := range l.clients {
			rc.mu.Lock()
			open += len(rc.open)
			for _, n := range rc.balancer.backends {
				if n.healthy {
					healthy++
				}
			}
			rc.mu.Unlock()
		}
		v["connections"], v["healthy"] = float64(open), float64(healthy)
		if l.pipe.Out.Send(&wire.Message{Kind: wire.Gauge, Name: l.pipe.Config.Part, At: wire.Now(), Values: v}) != nil {
			return
		}
	}
}

// jitter returns a span that is changed randomly by up to a fifth of it.
func (l *load) jitter(span int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return span*4/5 + l.rng.Int64N(max(1, span*2/5))
}

// answer is the answer to a request. The status is 0 if there was none.
type answer struct {
	status     int
	phase      string
	retryAfter int64
	body       []byte
}

// request sends a request that is due and reports the answer to the supervisor.
func (l *load) request(region, op, ref string, due int64, method, path string, body []byte, timeout int64) answer {
	rc := l.clients[region]
	late := wire.Now() - due
	l.mu.Lock()
	l.lags = append(l.lags, late)
	l.inFlight++
	l.mu.Unlock()
	a := rc.call(method, path, body, timeout)
	if a.status != 0 {
		if err := strictjson.CheckJobAnswer(a.status, a.body); err != nil {
			l.pipe.Malformed("answer to %s: %v", op, err)
		}
	}
	l.mu.Lock()
	l.inFlight--
	l.counts["requests_"+op]++
	l.counts["status_"+op+"_"+strconv.Itoa(a.status)]++
	l.mu.Unlock()
	_ = l.pipe.Out.Send(&wire.Message{Kind: wire.Answer, Op: op, Ref: ref, Region: region, Status: a.status, Phase: a.phase, Due: due, At: wire.Now()})
	return a
}

// retry schedules another attempt of a request that failed, unless that attempt would start
// later than retryLimit after start. It reports whether the user gave up.
func (l *load) retry(a answer, start int64, try func(due int64)) (gaveUp bool) {
	// The factor keeps the jitter from shortening the delay below its minimum.
	wait := l.jitter(max(minRetryDelay, min(a.retryAfter, maxRetryDelay)) * 5 / 4)
	now := wire.Now()
	if now+wait > start+retryLimit {
		return true
	}
	l.schedule(now+wait, try)
	return false
}
