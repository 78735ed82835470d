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

// store is the state service: keys with revisions, leases, watches and transactions, as the page
// describes them. Every controller reaches it through an address of its own, so that a trouble can
// be limited to one of them.
type store struct {
	mu         sync.Mutex
	changed    *sync.Cond
	generation uint64
	keys       map[string]*storeKey
	history    []change
	leases     map[uint64]*storeLease
	nextLease  uint64
	reads      bucket
	writes     bucket
	txnOps     int
	valueBytes int

	// fault decides what happens to a request of a node. It is called without the lock held.
	fault func(node int, r *http.Request, body []byte) storeFault
}

type storeFault struct {
	refuse bool          // answer 503, execute nothing
	before time.Duration // wait before the request is executed
	after  time.Duration // wait before the answer is sent
	lose   bool          // execute, and send no answer
	late   time.Duration // send no answer, and execute after this time
}

type storeKey struct {
	data  json.RawMessage
	stamp uint64
	hold  uint64
}

type change struct {
	key   string
	data  json.RawMessage
	stamp uint64
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

const keptChanges = 10000

func newStore(rps, writeRPS float64, valueKB float64, txnOps int) *store {
	s := &store{
		keys: map[string]*storeKey{}, leases: map[uint64]*storeLease{}, nextLease: 6, generation: 400,
		reads: bucket{rate: rps, tokens: rps, at: time.Now()}, writes: bucket{rate: writeRPS, tokens: writeRPS, at: time.Now()},
		txnOps: txnOps, valueBytes: int(valueKB * 1024),
	}
	s.changed = sync.NewCond(&s.mu)
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.changed.Broadcast()
			s.mu.Unlock()
		}
	}()
	return s
}

// expire ends the leases that were not extended in time.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

// refreshLeases gives all leases their full time again, as after an outage.
func (s *store) refreshLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.until = time.Now().Add(l.ttl)
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for _, key := range sortedKeys(s.keys) {
		if s.keys[key].hold == id {
			s.generation++
			s.remove(key)
		}
	}
}

func (s *store) remove(key string) {
	delete(s.keys, key)
	s.record(change{key: key, stamp: s.generation})
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	if len(s.history) > keptChanges {
		s.history = s.history[len(s.history)-keptChanges:]
	}
	s.changed.Broadcast()
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// listen serves the store to a node and returns the address.
func (s *store) listen(node int) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	fatal(err)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(node, w, r) }))
	return l.Addr().String()
}

func (s *store) serve(node int, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var f storeFault
	if s.fault != nil {
		f = s.fault(node, r, body)
	}
	if f.refuse {
		answer(w, 503, map[string]any{"error": "trouble"})
		return
	}
	if f.late > 0 {
		path := r.URL.Path
		time.AfterFunc(f.late, func() {
			code, _ := s.handle(r, path, body)
			logf("store: a request of node %d that got no answer was carried out late: %s %d %s", node, path, code, body)
		})
		<-r.Context().Done()
		return
	}
	time.Sleep(f.before)
	code, result := s.handle(r, r.URL.Path, body)
	time.Sleep(f.after)
	if f.lose {
		logf("store: the answer %d to node %d is lost: %s %s", code, node, r.URL.Path, body)
		<-r.Context().Done()
		return
	}
	answer(w, code, result)
}

func answer(w http.ResponseWriter, code int, body any) {
	b, ok := body.(json.RawMessage)
	if !ok {
		b, _ = json.Marshal(body)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	w.Write(b)
}

func (s *store) handle(r *http.Request, path string, body []byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reads.take(1) {
		return 429, map[string]any{"error": "too many requests"}
	}
	s.expire()
	q := r.URL.Query()
	switch {
	case path == "/commit" && r.Method == "POST":
		return s.commit(body)
	case path == "/follow":
		return s.follow(r, q.Get("under"), q.Get("since"), q.Get("blockMs"))
	case path == "/store":
		return s.list(q.Get("under"), q.Get("since"), q.Get("page"))
	case strings.HasPrefix(path, "/store/"):
		k, ok := s.keys[strings.TrimPrefix(path, "/store/")]
		if !ok {
			return 404, map[string]any{"generation": s.generation}
		}
		e := map[string]any{"path": strings.TrimPrefix(path, "/store/"), "data": k.data, "stamp": k.stamp}
		if k.hold > 0 {
			e["hold"] = k.hold
		}
		return 200, e
	case path == "/leases" && r.Method == "POST":
		var in struct {
			TTL int64 `json:"ttlMs"`
		}
		if json.Unmarshal(body, &in) != nil || in.TTL < 100 || in.TTL > 600000 {
			return 400, map[string]any{"error": "malformed"}
		}
		s.nextLease++
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.leases[s.nextLease] = &storeLease{ttl, time.Now().Add(ttl)}
		return 200, map[string]any{"hold": s.nextLease}
	case strings.HasPrefix(path, "/leases/"):
		rest, extend := strings.CutSuffix(strings.TrimPrefix(path, "/leases/"), "/extend")
		id, _ := strconv.ParseUint(rest, 10, 64)
		l, ok := s.leases[id]
		if !ok {
			return 404, map[string]any{"error": "no such lease"}
		}
		if extend && r.Method == "POST" {
			l.until = time.Now().Add(l.ttl)
			return 200, map[string]any{"hold": id}
		}
		if r.Method == "DELETE" {
			s.endLease(id)
			return 200, map[string]any{}
		}
	}
	return 400, map[string]any{"error": "malformed"}
}

type txn struct {
	When []struct {
		Path  string `json:"path"`
		Stamp uint64 `json:"stamp"`
	} `json:"when"`
	Then []struct {
		Set  string          `json:"set"`
		Data json.RawMessage `json:"data"`
		Hold uint64          `json:"hold"`
		Drop string          `json:"drop"`
	} `json:"then"`
}

func (s *store) commit(body []byte) (int, any) {
	var t txn
	if len(body) > 64<<10 || json.Unmarshal(body, &t) != nil || len(t.Then) > s.txnOps || len(t.When) > 4*s.txnOps {
		return 400, map[string]any{"error": "malformed"}
	}
	for _, c := range t.Then {
		if len(c.Data) > s.valueBytes || (c.Set == "") == (c.Drop == "") {
			return 400, map[string]any{"error": "malformed"}
		}
		if c.Hold > 0 && s.leases[c.Hold] == nil {
			return 400, map[string]any{"error": "no such lease"}
		}
	}
	if !s.writes.take(float64(len(t.Then))) {
		return 429, map[string]any{"error": "too many changes"}
	}
	failed := []string{}
	for _, c := range t.When {
		var stamp uint64
		if k := s.keys[c.Path]; k != nil {
			stamp = k.stamp
		}
		if stamp != c.Stamp {
			failed = append(failed, c.Path)
		}
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "generation": s.generation}
	}
	if len(t.Then) > 0 {
		s.generation++
	}
	for _, c := range t.Then {
		if c.Drop != "" {
			if s.keys[c.Drop] != nil {
				s.remove(c.Drop)
			}
			continue
		}
		data := append(json.RawMessage(nil), c.Data...)
		s.keys[c.Set] = &storeKey{data, s.generation, c.Hold}
		s.record(change{c.Set, data, s.generation})
	}
	return 200, map[string]any{"generation": s.generation}
}

func (s *store) list(under, since, page string) (int, any) {
	limit := 1000
	if n, err := strconv.Atoi(page); err == nil && n > 0 {
		limit = min(limit, n)
	}
	entries, truncated, size := []any{}, false, 0
	for _, key := range sortedKeys(s.keys) {
		if !strings.HasPrefix(key, under) || since != "" && key <= since {
			continue
		}
		k := s.keys[key]
		if size += len(k.data) + len(key) + 40; len(entries) == limit || size > 512<<10 {
			truncated = true
			break
		}
		entries = append(entries, map[string]any{"path": key, "data": k.data, "stamp": k.stamp})
	}
	return 200, map[string]any{"entries": entries, "truncated": truncated, "generation": s.generation}
}

func (s *store) follow(r *http.Request, under, since, block string) (int, any) {
	from, _ := strconv.ParseUint(since, 10, 64)
	ms, _ := strconv.Atoi(block)
	deadline := time.Now().Add(time.Duration(min(ms, 60000)) * time.Millisecond)
	for {
		if len(s.history) == keptChanges && s.history[0].stamp > from+1 {
			return 410, map[string]any{"error": "too old"}
		}
		news := []any{}
		for _, c := range s.history[sort.Search(len(s.history), func(i int) bool { return s.history[i].stamp > from }):] {
			if !strings.HasPrefix(c.key, under) {
				continue
			}
			if c.data == nil {
				news = append(news, map[string]any{"drop": c.key, "stamp": c.stamp})
			} else {
				news = append(news, map[string]any{"set": c.key, "data": c.data, "stamp": c.stamp})
			}
		}
		if len(news) > 0 || time.Now().After(deadline) || r.Context().Err() != nil {
			return 200, map[string]any{"generation": s.generation, "news": news}
		}
		s.changed.Wait()
	}
}

// under returns the values of the keys with a prefix.
func (s *store) under(prefix string) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]string{}
	for k, v := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out[k] = string(v.data)
		}
	}
	return out
}
