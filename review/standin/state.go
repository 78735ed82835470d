package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stateService is the state service of the protocol page: a key-value store with revisions,
// transactions, leases and watches. Each controller has an address of its own for it, so that a
// case can refuse one controller alone.
type stateService struct {
	mu      sync.Mutex
	rev     uint64
	keys    map[string]entry
	leases  map[uint64]*lease
	nextID  uint64
	log     []change
	changed chan struct{} // closed and replaced at each change
	set     settings
	reqs    bucket
	writes  bucket
	refuse  map[int]bool  // by controller: answer 503
	slow    time.Duration // by which transactions are answered after they were carried out
	outage  bool
}

type entry struct {
	data  json.RawMessage
	stamp uint64
	hold  uint64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type change struct {
	Set   string          `json:"set,omitempty"`
	Data  json.RawMessage `json:"data,omitempty"`
	Drop  string          `json:"drop,omitempty"`
	Stamp uint64          `json:"stamp"`
}

// bucket is a token bucket.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newStateService(set settings) *stateService {
	s := &stateService{
		rev: 100, keys: map[string]entry{}, leases: map[uint64]*lease{}, nextID: 6, changed: make(chan struct{}), set: set,
		reqs: bucket{rate: set.stateRPS, burst: set.stateRPS}, writes: bucket{rate: set.writeRPS, burst: set.writeRPS},
		refuse: map[int]bool{},
	}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// serve opens an address for one controller and returns it.
func (s *stateService) serve(node int) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(node, w, r) }))
	}()
	return l.Addr().String()
}

func (s *stateService) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	var drops []string
	for k, e := range s.keys {
		if e.hold == id {
			drops = append(drops, k)
		}
	}
	if len(drops) > 0 {
		s.rev++
		for _, k := range drops {
			delete(s.keys, k)
			s.log = append(s.log, change{Drop: k, Stamp: s.rev})
		}
		s.notify()
	}
}

func (s *stateService) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
	if len(s.log) > 10000 {
		s.log = s.log[len(s.log)-10000:]
	}
}

// setOutage begins or ends an outage. After it all leases get their full time again.
func (s *stateService) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	if !on {
		for _, l := range s.leases {
			l.expires = time.Now().Add(l.ttl)
		}
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

type obj = map[string]any

func (s *stateService) handle(node int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(2 * time.Millisecond)
	if r.URL.Path == "/follow" {
		s.follow(node, w, r)
		return
	}
	s.mu.Lock()
	status, v := s.execute(node, r, body)
	slow := s.slow
	s.mu.Unlock()
	if r.URL.Path == "/commit" {
		time.Sleep(slow)
	}
	answer(w, status, v)
}

// setSlow sets by how much transactions are answered after they were carried out.
func (s *stateService) setSlow(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = by
}

func (s *stateService) execute(node int, r *http.Request, body []byte) (int, any) {
	if s.outage || s.refuse[node] {
		return 503, obj{"error": "unavailable"}
	}
	if !s.reqs.take(1) {
		return 429, obj{"error": "too many requests"}
	}
	q := r.URL.Query()
	switch {
	case r.Method == "GET" && strings.HasPrefix(r.URL.Path, "/store/"):
		e, ok := s.keys[strings.TrimPrefix(r.URL.Path, "/store/")]
		if !ok {
			return 404, obj{"generation": s.rev}
		}
		v := obj{"path": strings.TrimPrefix(r.URL.Path, "/store/"), "data": e.data, "stamp": e.stamp}
		if e.hold > 0 {
			v["hold"] = e.hold
		}
		return 200, v
	case r.Method == "GET" && r.URL.Path == "/store":
		return s.list(q.Get("under"), q.Get("since"), q.Get("page"))
	case r.Method == "POST" && r.URL.Path == "/commit":
		return s.commit(body)
	case r.Method == "POST" && r.URL.Path == "/leases":
		var in struct{ TTLMs int64 }
		if json.Unmarshal(body, &in) != nil || in.TTLMs < 100 || in.TTLMs > 600000 {
			return 400, obj{"error": "malformed"}
		}
		s.nextID++
		ttl := time.Duration(in.TTLMs) * time.Millisecond
		s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
		return 200, obj{"hold": s.nextID}
	case strings.HasPrefix(r.URL.Path, "/leases/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, "/leases/"), "/extend"), 10, 64)
		l := s.leases[id]
		if l == nil {
			return 404, obj{"error": "no such lease"}
		}
		if r.Method == "DELETE" {
			s.endLease(id)
		} else {
			l.expires = time.Now().Add(l.ttl)
		}
		return 200, obj{"hold": id}
	}
	return 400, obj{"error": "malformed"}
}

func (s *stateService) list(under, since, page string) (int, any) {
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, under) && k > since {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	limit, _ := strconv.Atoi(page)
	if limit < 1 || limit > 1000 {
		limit = 1000
	}
	entries, size := []obj{}, 0
	for _, k := range names {
		e := s.keys[k]
		if len(entries) == limit || size+len(e.data) > 500<<10 {
			return 200, obj{"entries": entries, "truncated": true, "generation": s.rev}
		}
		size += len(e.data) + len(k) + 60
		entries = append(entries, obj{"path": k, "data": e.data, "stamp": e.stamp})
	}
	return 200, obj{"entries": entries, "truncated": false, "generation": s.rev}
}

func (s *stateService) commit(body []byte) (int, any) {
	var in struct {
		When []struct {
			Path  string
			Stamp uint64
		}
		Then []struct {
			Set  *string
			Drop *string
			Data json.RawMessage
			Hold uint64
		}
	}
	if len(body) > 64<<10 || json.Unmarshal(body, &in) != nil || len(in.Then) > s.set.txnOps || len(in.When) > 4*s.set.txnOps {
		return 400, obj{"error": "malformed"}
	}
	for _, c := range in.Then {
		if (c.Set == nil) == (c.Drop == nil) || c.Set != nil && len(c.Data) == 0 || len(c.Data) > s.set.valueKB*1024 {
			return 400, obj{"error": "malformed"}
		}
		if c.Hold > 0 && s.leases[c.Hold] == nil {
			return 400, obj{"error": "no such lease"}
		}
	}
	if !s.writes.take(float64(len(in.Then))) {
		return 429, obj{"error": "too many changes"}
	}
	failed := []string{}
	for _, c := range in.When {
		if s.keys[c.Path].stamp != c.Stamp {
			failed = append(failed, c.Path)
		}
	}
	if len(failed) > 0 {
		return 409, obj{"failed": failed, "generation": s.rev}
	}
	if len(in.Then) == 0 {
		return 200, obj{"generation": s.rev}
	}
	s.rev++
	for _, c := range in.Then {
		if c.Set != nil {
			s.keys[*c.Set] = entry{c.Data, s.rev, c.Hold}
			s.log = append(s.log, change{Set: *c.Set, Data: c.Data, Stamp: s.rev})
		} else if _, ok := s.keys[*c.Drop]; ok {
			delete(s.keys, *c.Drop)
			s.log = append(s.log, change{Drop: *c.Drop, Stamp: s.rev})
		}
	}
	s.notify()
	return 200, obj{"generation": s.rev}
}

func (s *stateService) follow(node int, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	under := q.Get("under")
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("blockMs"))
	deadline := time.Now().Add(time.Duration(min(ms, 60000)) * time.Millisecond)
	first := true
	for {
		s.mu.Lock()
		down := s.outage || s.refuse[node]
		if first {
			if down {
				s.mu.Unlock()
				answer(w, 503, obj{"error": "unavailable"})
				return
			}
			if !s.reqs.take(1) {
				s.mu.Unlock()
				answer(w, 429, obj{"error": "too many requests"})
				return
			}
			first = false
		}
		var news []change
		if !down {
			if len(s.log) > 0 && s.log[0].Stamp > since+1 && len(s.log) >= 9000 {
				s.mu.Unlock()
				answer(w, 410, obj{"error": "too old"})
				return
			}
			i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Stamp > since })
			for _, c := range s.log[i:] {
				if strings.HasPrefix(c.Set, under) && c.Set != "" || strings.HasPrefix(c.Drop, under) && c.Drop != "" {
					news = append(news, c)
				}
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if !down && (len(news) > 0 || !time.Now().Before(deadline)) {
			if news == nil {
				news = []change{}
			}
			answer(w, 200, obj{"generation": rev, "news": news})
			return
		}
		wait := time.Until(deadline)
		if down || wait > time.Second {
			wait = 200 * time.Millisecond
		}
		select {
		case <-changed:
		case <-time.After(max(wait, time.Millisecond)):
		case <-r.Context().Done():
			return
		}
	}
}
