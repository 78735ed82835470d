package users

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"mapleslip/internal/oddform"
	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/ipc"
	"mapleslip/internal/scale/wire"
	"mapleslip/internal/strictjson"
	"mapleslip/internal/transport"
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

// regionClient is the client of the users of a region, with their load balancer and connections.
type regionClient struct {
	load      *load
	region    string
	source    net.IP
	addresses []string // of the controllers
	mu        sync.Mutex
	balancer  *balancer
	idle      []*conn
	open      map[*conn]bool
}

type conn struct {
	net.Conn
	backend   int
	requests  int
	idleSince int64
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

func (l *load) submit(j *job) {
	body := protocol.AppendJob(nil, j.spec)
	_ = l.pipe.Out.Send(&wire.Message{Kind: wire.Submit, Ref: j.spec.Ref, Region: j.region, Due: j.due, At: wire.Now(), Run: j.run, Specs: []json.RawMessage{body}})
	var try func(due int64)
	try = func(due int64) {
		a := l.request(j.region, "submit", j.spec.Ref, due, "POST", "/api/jobs", oddform.Body(body, l.form()), submitTimeout)
		switch a.status {
		case 200, 201:
			l.followJob(j)
		case 400, 422:
			l.count("refused")
		default:
			if l.retry(a, j.due, try) {
				l.count("given_up_submit")
			}
		}
	}
	try(j.due)
}

// followJob polls a job and cancels it if its user does that.
func (l *load) followJob(j *job) {
	now := wire.Now()
	end := l.plan.BeginUS + l.plan.DurationUS + l.plan.SettleUS
	// The polls and the cancellation run concurrently and share these variables.
	var cancelling, finished bool
	var mu sync.Mutex
	var poll func(due int64)
	poll = func(due int64) {
		a := l.request(j.region, "query", j.spec.Ref, due, "GET", "/api/jobs/"+j.spec.Ref, nil, pollTimeout)
		if a.status == 200 && (a.phase == "done" || a.phase == "cancelled") {
			mu.Lock()
			firstTime := !finished
			finished = true
			mu.Unlock()
			// About half of the users poll once more, later.
			if l.jitter(100) < 100 && firstTime {
				l.schedule(wire.Now()+l.jitter(laterPollDelay), poll)
			}
			return
		}
		if next := wire.Now() + l.jitter(l.plan.PollUS); next < end {
			l.schedule(next, poll)
		}
	}
	l.schedule(now+l.jitter(l.plan.PollUS), poll)
	if j.cancelAt == 0 || max(now, j.due+j.cancelAt) >= l.plan.BeginUS+l.plan.DurationUS {
		return
	}
	cancelDue := max(now, j.due+j.cancelAt)
	var cancel func(due int64)
	cancel = func(due int64) {
		mu.Lock()
		skip := finished
		begin := !cancelling
		cancelling = true
		mu.Unlock()
		if skip {
			return
		}
		if begin {
			_ = l.pipe.Out.Send(&wire.Message{Kind: wire.Cancel, Ref: j.spec.Ref, Region: j.region, Due: due, At: wire.Now()})
		}
		a := l.request(j.region, "cancel", j.spec.Ref, due, "POST", "/api/jobs/"+j.spec.Ref+"/cancel", nil, submitTimeout)
		if a.status != 200 && l.retry(a, cancelDue, cancel) {
			l.count("given_up_cancel")
		}
	}
	l.schedule(cancelDue, cancel)
}

// queryUnknownJob queries a job that was never submitted: its name has twelve digits, those of
// submitted jobs have nine.
func (l *load) queryUnknownJob(due int64) {
	l.mu.Lock()
	ref := fmt.Sprintf("req-%012d", 1_000_000_000_0+l.rng.Int64N(1_000_000_000))
	region := l.plan.Regions[l.rng.IntN(len(l.plan.Regions))]
	wait := int64(l.rng.ExpFloat64() / l.plan.Strangers * second)
	l.mu.Unlock()
	if due+wait < l.plan.BeginUS+l.plan.DurationUS {
		l.schedule(due+wait, l.queryUnknownJob)
	}
	l.request(region, "query", ref, due, "GET", "/api/jobs/"+ref, nil, pollTimeout)
}

// acquire returns an idle connection, or opens one to a backend that the balancer picks. It
// returns nil if no backend accepts a connection, or at the deadline with too many open.
func (rc *regionClient) acquire(deadline int64) *conn {
	rc.mu.Lock()
	for n := len(rc.idle); n > 0; n = len(rc.idle) {
		c := rc.idle[n-1]
		rc.idle = rc.idle[:n-1]
		if wire.Now()-c.idleSince < idleTimeout && rc.open[c] {
			rc.mu.Unlock()
			return c
		}
		rc.closeConn(c)
	}
	rc.mu.Unlock()
	for {
		rc.mu.Lock()
		crowded := len(rc.open)*len(rc.load.clients) >= rc.load.plan.MaxConnections
		rc.mu.Unlock()
		if !crowded {
			break
		}
		rc.load.count("crowded")
		time.Sleep(connLimitDelay * time.Microsecond)
		if wire.Now() > deadline {
			return nil
		}
	}
	var tried []int
	for range maxConnectAttempts {
		rc.mu.Lock()
		i := rc.balancer.pick(tried, wire.Now())
		rc.mu.Unlock()
		if i < 0 {
			return nil
		}
		tried = append(tried, i)
		dialer := net.Dialer{Timeout: connectTimeout * time.Microsecond}
		if rc.source != nil {
			dialer.LocalAddr = &net.TCPAddr{IP: rc.source}
		}
		c, err := dialer.Dial("tcp4", rc.addresses[i])
		rc.mu.Lock()
		rc.balancer.recordConnect(i, err == nil, wire.Now())
		if err == nil {
			opened := &conn{Conn: c, backend: i}
			rc.open[opened] = true
			rc.mu.Unlock()
			return opened
		}
		rc.mu.Unlock()
	}
	return nil
}

// closeConn closes a connection. The caller holds the lock.
func (rc *regionClient) closeConn(c *conn) {
	if rc.open[c] {
		delete(rc.open, c)
		rc.balancer.recordClose(c.backend)
	}
	c.Close()
}

func (rc *regionClient) call(method, path string, body []byte, timeout int64) (a answer) {
	deadline := wire.Now() + timeout
	c := rc.acquire(deadline)
	if c == nil {
		return a
	}
	_ = c.SetDeadline(time.Now().Add(time.Duration(deadline-wire.Now()) * time.Microsecond))
	a, keep, in, out := roundTrip(c, oddform.Request(method, rc.addresses[c.backend], path, body, rc.load.form()))
	rc.load.mu.Lock()
	rc.load.counts["bytes_in"] += float64(in)
	rc.load.counts["bytes_out"] += float64(out)
	rc.load.mu.Unlock()
	c.requests++
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if !keep || c.requests >= maxRequestsPerConn || !rc.open[c] {
		rc.closeConn(c)
		return a
	}
	c.idleSince = wire.Now()
	rc.idle = append(rc.idle, c)
	return a
}

// roundTrip sends the parts of a request on a connection and reads the response.
func roundTrip(c net.Conn, parts [][]byte) (a answer, keep bool, in, out int) {
	for _, part := range parts {
		n, err := c.Write(part)
		if out += n; err != nil {
			return a, false, 0, out
		}
	}
	buf := make([]byte, 0, 1024)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, rerr := c.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		r, used, err := transport.ParseResponse(buf, rerr != nil)
		if err != nil || used == 0 && rerr != nil || len(buf) > transport.MaxBody*2 {
			return a, false, len(buf), out
		}
		if used == 0 {
			continue
		}
		a.status, a.body = r.Status, r.Body
		a.phase = fastjson.GetString(r.Body, "phase")
		a.retryAfter = retryAfter(buf[:used-len(r.Body)])
		return a, rerr == nil && used == len(buf) && !r.Close, len(buf), out
	}
}

// retryAfter returns the delay in the Retry-After header of a response, microseconds. It is at
// most an hour.
func retryAfter(head []byte) int64 {
	for line := range strings.SplitSeq(string(head), "\r\n") {
		if name, v, ok := strings.Cut(line, ":"); ok && strings.EqualFold(name, "Retry-After") {
			n, _ := strconv.ParseInt(strings.TrimSpace(v), 10, 64)
			return max(0, min(n, 3600)) * second
		}
	}
	return 0
}

// probe checks the health of a controller about once a second.
func (rc *regionClient) probe(i int, stop chan struct{}) {
	dialer := transport.Dialer{MaxOpen: 1, MaxPer: 1}
	if a, ok := sourceAddr(rc.source); ok {
		dialer.Source = a
	}
	payload := transport.AppendRequest(nil, "GET", rc.addresses[i], "/healthz", nil)
	for {
		status := 0
		start := wire.Now()
		err := dialer.Do(rc.addresses[i], payload, probeTimeout*time.Microsecond, func(buf []byte, eof bool) (int, bool, error) {
			r, used, err := transport.ParseResponse(buf, eof)
			if err != nil || used == 0 {
				return 0, false, err
			}
			status = r.Status
			return used, false, nil
		})
		rc.mu.Lock()
		rc.balancer.recordProbe(i, err == nil && status == 200, wire.Now())
		rc.mu.Unlock()
		rc.load.count("probes")
		wait := time.Duration(max(second/10, start+rc.load.jitter(probeInterval)-wire.Now())) * time.Microsecond
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
	}
}

// sweepConns closes connections of backends that have been unhealthy for long, and those that
// have been idle for long.
func (rc *regionClient) sweepConns(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		rc.mu.Lock()
		now := wire.Now()
		for c := range rc.open {
			if rc.balancer.shouldReset(c.backend, now) {
				rc.closeConn(c) // a request on it fails at once
			}
		}
		kept := rc.idle[:0]
		for _, c := range rc.idle {
			switch {
			case !rc.open[c]:
			case now-c.idleSince >= idleTimeout:
				rc.closeConn(c)
			default:
				kept = append(kept, c)
			}
		}
		rc.idle = kept
		rc.mu.Unlock()
	}
}

func sourceAddr(ip net.IP) (netip.Addr, bool) {
	a, ok := netip.AddrFromSlice(ip.To4())
	return a, ok
}
