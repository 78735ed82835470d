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

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/ipc"
	"mapleslip/internal/scale/wire"
	"mapleslip/internal/transport"
)

// Times of users, microseconds, as the protocol has them.
const (
	second      = 1_000_000
	submitTry   = 5 * second
	pollTry     = 2 * second
	leastRetry  = 1 * second
	mostRetry   = 30 * second
	retryFor    = 60 * second
	keepIdle    = 10 * second
	mostOnConn  = 50 // requests on a connection
	laterPoll   = 15 * second
	crowdedWait = second / 20
)

// event is something that a user does at a time.
type event struct {
	due int64
	do  func(due int64)
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(a, b int) bool { return q[a].due < q[b].due }
func (q queue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }

// Push is part of heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is part of heap.Interface.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// load is the running part.
type load struct {
	pipe  *ipc.Pipe
	plan  *Plan
	log   *slog.Logger
	r     *rand.Rand
	wake  chan struct{}
	sites map[string]*site

	mu       sync.Mutex
	events   queue
	lag      []int64 // of this second's requests, microseconds
	counts   map[string]float64
	inFlight int
}

// site is a region's users: their load balancer and their connections.
type site struct {
	l        *load
	region   string
	source   net.IP
	nodes    []string // addresses
	mu       sync.Mutex
	balancer *balancer
	idle     []*conn
	open     map[*conn]bool
}

type conn struct {
	net.Conn
	node  int
	used  int
	since int64
}

// Run is the role of the load.
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
		pipe: p, plan: plan, log: log, r: rand.New(rand.NewPCG(p.Config.Seed, 0xbe7)), wake: make(chan struct{}, 1),
		sites: make(map[string]*site), counts: make(map[string]float64),
	}
	for _, region := range plan.Regions {
		s := &site{l: l, region: region, source: net.ParseIP(plan.Sources[region]), balancer: newBalancer(len(p.Config.Controllers)), open: make(map[*conn]bool)}
		for _, c := range p.Config.Controllers {
			s.nodes = append(s.nodes, c.Public[region])
		}
		l.sites[region] = s
	}
	return l.run()
}

func (l *load) run() error {
	d := newDrawer(l.plan, l.pipe.Config.Seed)
	jobs := d.jobs()
	for _, j := range jobs {
		l.at(j.due, func(due int64) { l.submit(j) })
	}
	if l.plan.Strangers > 0 {
		l.at(l.plan.BeginUS+second, l.stranger)
	}
	var changes []*change
	if l.plan.Operators != nil {
		changes = l.plan.changes(l.pipe.Config.Seed)
	}
	if err := l.pipe.Ready(nil); err != nil {
		return err
	}
	l.pipe.Note("load: %d jobs drawn", len(jobs))
	over := make(chan struct{})
	for _, s := range l.sites {
		for i := range s.nodes {
			go s.probe(i, over)
		}
		go s.sweep(over)
	}
	if len(changes) > 0 {
		l.operate(changes, over)
	}
	go l.pace(over)
	go l.report(over)
	for range l.pipe.In {
	}
	close(over)
	return nil
}

// at has something done at a time.
func (l *load) at(due int64, do func(due int64)) {
	l.mu.Lock()
	heap.Push(&l.events, event{due, do})
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// pace does what is due, each in a goroutine of its own, however long others take.
func (l *load) pace(over chan struct{}) {
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
		case <-over:
			t.Stop()
			return
		case <-l.wake:
			t.Stop()
		case <-t.C:
		}
	}
}

// count counts an event.
func (l *load) count(name string) {
	l.mu.Lock()
	l.counts[name]++
	l.mu.Unlock()
}

// report says once a second what was measured. The lag is how much later than due a
// request was written to its connection or given to the balancer.
func (l *load) report(over chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-over:
			return
		case <-tick.C:
		}
		l.mu.Lock()
		v := make(map[string]float64, len(l.counts)+3)
		for name, n := range l.counts {
			v[name] = n
		}
		slices.Sort(l.lag)
		if n := len(l.lag); n > 0 {
			v["lag_ms_max"] = float64(l.lag[n-1]) / 1000
			v["lag_ms_p99"] = float64(l.lag[n*99/100]) / 1000
		}
		l.lag = l.lag[:0]
		v["in_flight"] = float64(l.inFlight)
		l.mu.Unlock()
		healthy, open := 0, 0
		for _, s := range l.sites {
			s.mu.Lock()
			open += len(s.open)
			for _, n := range s.balancer.nodes {
				if n.healthy {
					healthy++
				}
			}
			s.mu.Unlock()
		}
		v["connections"], v["healthy"] = float64(open), float64(healthy)
		if l.pipe.Out.Send(&wire.Message{Kind: wire.Gauge, Name: l.pipe.Config.Part, At: wire.Now(), Values: v}) != nil {
			return
		}
	}
}

// jitter is a span give or take a fifth.
func (l *load) jitter(span int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return span*4/5 + l.r.Int64N(max(1, span*2/5))
}

// answer is what came back for a request; status 0: nothing.
type answer struct {
	status     int
	phase      string
	retryAfter int64
	body       []byte
}

// request makes a request when it is due and tells the supervisor how it went.
func (l *load) request(region, op, ref string, due int64, method, path string, body []byte, within int64) answer {
	s := l.sites[region]
	late := wire.Now() - due
	l.mu.Lock()
	l.lag = append(l.lag, late)
	l.inFlight++
	l.mu.Unlock()
	a := s.call(method, path, body, within)
	l.mu.Lock()
	l.inFlight--
	l.counts["requests_"+op]++
	l.counts["status_"+op+"_"+strconv.Itoa(a.status)]++
	l.mu.Unlock()
	_ = l.pipe.Out.Send(&wire.Message{Kind: wire.Answer, Op: op, Ref: ref, Region: region, Status: a.status, Phase: a.phase, Due: due, At: wire.Now()})
	return a
}

// retry has a request made again after an answer that is none, for as long as users do
// that. It reports whether the user gave up.
func (l *load) retry(a answer, first int64, again func(due int64)) (gaveUp bool) {
	wait := l.jitter(max(leastRetry, min(a.retryAfter, mostRetry)) * 5 / 4) // from the least on
	now := wire.Now()
	if now+wait > first+retryFor {
		return true
	}
	l.at(now+wait, again)
	return false
}

func (l *load) submit(j *job) {
	body := protocol.AppendJob(nil, j.spec)
	_ = l.pipe.Out.Send(&wire.Message{Kind: wire.Submit, Ref: j.spec.Ref, Region: j.region, Due: j.due, At: wire.Now(), Run: j.run, Specs: []json.RawMessage{body}})
	var try func(due int64)
	try = func(due int64) {
		a := l.request(j.region, "submit", j.spec.Ref, due, "POST", "/api/jobs", body, submitTry)
		switch a.status {
		case 200, 201:
			l.accepted(j)
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

// accepted has a user ask after a job, and perhaps cancel it.
func (l *load) accepted(j *job) {
	now := wire.Now()
	ends := l.plan.BeginUS + l.plan.DurationUS + l.plan.SettleUS
	var cancelling, over bool // each job's events come one after the other but for these
	var mu sync.Mutex
	var poll func(due int64)
	poll = func(due int64) {
		a := l.request(j.region, "query", j.spec.Ref, due, "GET", "/api/jobs/"+j.spec.Ref, nil, pollTry)
		if a.status == 200 && (a.phase == "done" || a.phase == "cancelled") {
			mu.Lock()
			first := !over
			over = true
			mu.Unlock()
			// Some ask again later.
			if l.jitter(100) < 100 && first {
				l.at(wire.Now()+l.jitter(laterPoll), poll)
			}
			return
		}
		if next := wire.Now() + l.jitter(l.plan.PollUS); next < ends {
			l.at(next, poll)
		}
	}
	l.at(now+l.jitter(l.plan.PollUS), poll)
	if j.cancelAt == 0 || max(now, j.due+j.cancelAt) >= l.plan.BeginUS+l.plan.DurationUS {
		return
	}
	first := max(now, j.due+j.cancelAt)
	var cancel func(due int64)
	cancel = func(due int64) {
		mu.Lock()
		skip := over
		begin := !cancelling
		cancelling = true
		mu.Unlock()
		if skip {
			return
		}
		if begin {
			_ = l.pipe.Out.Send(&wire.Message{Kind: wire.Cancel, Ref: j.spec.Ref, Region: j.region, Due: due, At: wire.Now()})
		}
		a := l.request(j.region, "cancel", j.spec.Ref, due, "POST", "/api/jobs/"+j.spec.Ref+"/cancel", nil, submitTry)
		if a.status != 200 && l.retry(a, first, cancel) {
			l.count("given_up_cancel")
		}
	}
	l.at(first, cancel)
}

// stranger asks about a job that nobody submitted; names of the load have nine digits.
func (l *load) stranger(due int64) {
	l.mu.Lock()
	ref := fmt.Sprintf("req-%012d", 1_000_000_000_0+l.r.Int64N(1_000_000_000))
	region := l.plan.Regions[l.r.IntN(len(l.plan.Regions))]
	wait := int64(l.r.ExpFloat64() / l.plan.Strangers * second)
	l.mu.Unlock()
	if due+wait < l.plan.BeginUS+l.plan.DurationUS {
		l.at(due+wait, l.stranger)
	}
	l.request(region, "query", ref, due, "GET", "/api/jobs/"+ref, nil, pollTry)
}

// take finds an idle connection, or makes one to a node that the balancer picks.
func (s *site) take(deadline int64) *conn {
	s.mu.Lock()
	for n := len(s.idle); n > 0; n = len(s.idle) {
		c := s.idle[n-1]
		s.idle = s.idle[:n-1]
		if wire.Now()-c.since < keepIdle && s.open[c] {
			s.mu.Unlock()
			return c
		}
		s.drop(c)
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		crowded := len(s.open)*len(s.l.sites) >= s.l.plan.MaxConnections
		s.mu.Unlock()
		if !crowded {
			break
		}
		s.l.count("crowded")
		time.Sleep(crowdedWait * time.Microsecond)
		if wire.Now() > deadline {
			return nil
		}
	}
	var tried []int
	for range mostAttempts {
		s.mu.Lock()
		i := s.balancer.pick(tried, wire.Now())
		s.mu.Unlock()
		if i < 0 {
			return nil
		}
		tried = append(tried, i)
		by := net.Dialer{Timeout: acceptWithin * time.Microsecond}
		if s.source != nil {
			by.LocalAddr = &net.TCPAddr{IP: s.source}
		}
		c, err := by.Dial("tcp4", s.nodes[i])
		s.mu.Lock()
		s.balancer.connected(i, err == nil, wire.Now())
		if err == nil {
			k := &conn{Conn: c, node: i}
			s.open[k] = true
			s.mu.Unlock()
			return k
		}
		s.mu.Unlock()
	}
	return nil
}

// drop closes a connection; the lock is held.
func (s *site) drop(c *conn) {
	if s.open[c] {
		delete(s.open, c)
		s.balancer.closed(c.node)
	}
	c.Close()
}

func (s *site) call(method, path string, body []byte, within int64) (a answer) {
	deadline := wire.Now() + within
	c := s.take(deadline)
	if c == nil {
		return a
	}
	_ = c.SetDeadline(time.Now().Add(time.Duration(deadline-wire.Now()) * time.Microsecond))
	a, keep, in, out := exchange(c, method, s.nodes[c.node], path, body)
	s.l.mu.Lock()
	s.l.counts["bytes_in"] += float64(in)
	s.l.counts["bytes_out"] += float64(out)
	s.l.mu.Unlock()
	c.used++
	s.mu.Lock()
	defer s.mu.Unlock()
	if !keep || c.used >= mostOnConn || !s.open[c] {
		s.drop(c)
		return a
	}
	c.since = wire.Now()
	s.idle = append(s.idle, c)
	return a
}

// exchange makes a request on a connection.
func exchange(c net.Conn, method, host, path string, body []byte) (a answer, keep bool, in, out int) {
	payload := transport.AppendRequest(nil, method, host, path, body)
	n, err := c.Write(payload)
	if out = n; err != nil {
		return a, false, 0, out
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

// retryAfter is what a response's head says of when to come back, microseconds.
func retryAfter(head []byte) int64 {
	for line := range strings.SplitSeq(string(head), "\r\n") {
		if name, v, ok := strings.Cut(line, ":"); ok && strings.EqualFold(name, "Retry-After") {
			n, _ := strconv.ParseInt(strings.TrimSpace(v), 10, 64)
			return max(0, min(n, 3600)) * second
		}
	}
	return 0
}

// probe asks a node about once a second whether it is well.
func (s *site) probe(i int, over chan struct{}) {
	by := transport.Dialer{MaxOpen: 1, MaxPer: 1}
	if a, ok := addrOf(s.source); ok {
		by.Source = a
	}
	payload := transport.AppendRequest(nil, "GET", s.nodes[i], "/healthz", nil)
	for {
		status := 0
		began := wire.Now()
		err := by.Do(s.nodes[i], payload, probeWithin*time.Microsecond, func(buf []byte, eof bool) (int, bool, error) {
			r, used, err := transport.ParseResponse(buf, eof)
			if err != nil || used == 0 {
				return 0, false, err
			}
			status = r.Status
			return used, false, nil
		})
		s.mu.Lock()
		s.balancer.probed(i, err == nil && status == 200, wire.Now())
		s.mu.Unlock()
		s.l.count("probes")
		wait := time.Duration(max(second/10, began+s.l.jitter(probeEvery)-wire.Now())) * time.Microsecond
		select {
		case <-over:
			return
		case <-time.After(wait):
		}
	}
}

// sweep resets connections of nodes that have been unhealthy for long, and closes idle ones.
func (s *site) sweep(over chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(time.Second):
		}
		s.mu.Lock()
		now := wire.Now()
		for c := range s.open {
			if s.balancer.reset(c.node, now) {
				s.drop(c) // a call on it fails at once
			}
		}
		kept := s.idle[:0]
		for _, c := range s.idle {
			switch {
			case !s.open[c]:
			case now-c.since >= keepIdle:
				s.drop(c)
			default:
				kept = append(kept, c)
			}
		}
		s.idle = kept
		s.mu.Unlock()
	}
}

func addrOf(ip net.IP) (netip.Addr, bool) {
	a, ok := netip.AddrFromSlice(ip.To4())
	return a, ok
}
