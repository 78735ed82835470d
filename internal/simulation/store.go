// Package simulation has fakes for the state service, the cloud, workers
// and users, in simulated time, for tests.
package simulation

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

type micros = protocol.Micros

// store stands in for the state service.
type store struct {
	now      func() micros
	platform *protocol.Platform // its limits
	metered  func() bool        // the rate of changes is held
	strict   bool               // all published limits are held
	alarm    func(format string, args ...any)
	applied  func(changes []*fastjson.Value) // of a transaction; nil: nobody looks

	down     bool
	keys     map[string]*entry
	order    []string // the keys, sorted
	bytes    int      // of keys and values
	revision uint64
	leases   map[uint64]*lease
	nextID   uint64
	watches  []*follower
	changes  []change // by stamp
	forgot   uint64   // the last change that is not among them any more
	written  int      // puts and deletes
	commits  int      // transactions
	refused  int      // transactions beyond the rate
	conflict int      // transactions of which a condition did not hold
	served   int      // requests
	writes   allowance
	requests allowance
	fallen   *fallenLimits // nil: the limits are those of the platform's settings
}

type entry struct {
	value string
	stamp uint64
	lease uint64
}

type lease struct {
	ttl, ends micros
}

type change struct {
	key, value string // value "": dropped
	stamp      uint64
}

type follower struct {
	prefix string
	since  uint64
	ends   micros
	news   bool // a key with the prefix has changed since
	answer func(int, string)
}

// allowance is a bucket of some seconds' worth of a rate.
type allowance struct {
	room float64
	at   micros
}

func (a *allowance) take(now micros, rate, seconds, n float64) bool {
	a.room = min(rate*seconds, a.room+rate*(now-a.at).Seconds())
	a.at = now
	if a.room < n {
		return false
	}
	a.room -= n
	return true
}

func newStore(w *World) *store {
	return &store{
		now: func() micros { return w.now }, platform: &w.Platform, metered: func() bool { return w.limited }, alarm: w.broken, applied: w.committed,
		keys: make(map[string]*entry), leases: make(map[uint64]*lease), writes: allowance{room: math.Inf(1)},
	} // as after a while without any
}

// set puts a key.
func (s *store) set(key string, e *entry) {
	old := s.keys[key]
	if old == nil {
		i, _ := slices.BinarySearch(s.order, key)
		s.order = slices.Insert(s.order, i, key)
		s.bytes += len(key)
	} else {
		s.bytes -= len(old.value)
	}
	s.bytes += len(e.value)
	s.keys[key] = e
}

// drop deletes a key that is there.
func (s *store) drop(key string) {
	i, _ := slices.BinarySearch(s.order, key)
	s.order = slices.Delete(s.order, i, i+1)
	s.bytes -= len(key) + len(s.keys[key].value)
	delete(s.keys, key)
}

// note keeps a change, and marks whom it wakes.
func (s *store) note(c change) {
	s.changes = append(s.changes, c)
	for _, f := range s.watches {
		if !f.news && strings.HasPrefix(c.key, f.prefix) {
			f.news = true
		}
	}
}

// setDown begins or ends an outage. After one, leases get their full time.
func (s *store) setDown(down bool) {
	if s.down && !down {
		for _, l := range s.leases {
			l.ends = s.now() + l.ttl
		}
	}
	s.down = down
}

// tick ends leases and watches whose time has come.
func (s *store) tick() {
	if s.down {
		return
	}
	ids := make([]uint64, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	for _, id := range ids {
		if s.leases[id].ends <= s.now() {
			s.endLease(id)
		}
	}
	s.wake()
	if n := len(s.changes) - keptChanges; n > keptChanges/10 {
		s.forgot = s.changes[n-1].stamp
		s.changes = append([]change(nil), s.changes[n:]...)
	}
}

// wake answers watches that have news or whose time is over.
func (s *store) wake() {
	rest := s.watches[:0]
	for _, f := range s.watches {
		if f.news || f.ends <= s.now() {
			f.answer(200, fmt.Sprintf(`{"generation":%d,"news":[%s]}`, s.revision, strings.Join(s.news(f), ",")))
			continue
		}
		rest = append(rest, f)
	}
	clear(s.watches[len(rest):])
	s.watches = rest
}

// keptChanges is how many changes can be followed later.
const keptChanges = 10_000

// since is the first kept change after a revision.
func (s *store) since(revision uint64) int {
	return sort.Search(len(s.changes), func(i int) bool { return s.changes[i].stamp > revision })
}

func (s *store) news(f *follower) []string {
	var list []string
	for _, c := range s.changes[s.since(f.since):] {
		if !strings.HasPrefix(c.key, f.prefix) {
			continue
		}
		if c.value == "" {
			list = append(list, fmt.Sprintf(`{"drop":%q,"stamp":%d}`, c.key, c.stamp))
		} else {
			list = append(list, fmt.Sprintf(`{"set":%q,"data":%s,"stamp":%d}`, c.key, c.value, c.stamp))
		}
	}
	return list
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	keys := make([]string, 0)
	for k, e := range s.keys {
		if e.lease == id {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		s.revision++
		s.drop(k)
		s.note(change{k, "", s.revision})
	}
}

// serve answers one request.
func (s *store) serve(method, target string, body []byte, answer func(int, string)) {
	s.served++
	if s.down {
		answer(503, `{"error":"outage"}`)
		return
	}
	if s.strict && !s.requests.take(s.now(), s.platform.StateRequestRate, 1, 1) {
		answer(429, `{"error":"too many requests"}`)
		return
	}
	path, query, _ := strings.Cut(target, "?")
	args := map[string]string{}
	for _, kv := range strings.Split(query, "&") {
		k, v, _ := strings.Cut(kv, "=")
		args[k] = v
	}
	since, _ := strconv.ParseUint(args["since"], 10, 64)
	switch {
	case method == "GET" && strings.HasPrefix(path, "/store/"):
		key := strings.TrimPrefix(path, "/store/")
		e := s.keys[key]
		if e == nil {
			answer(404, fmt.Sprintf(`{"generation":%d}`, s.revision))
			return
		}
		answer(200, fmt.Sprintf(`{"path":%q,"data":%s,"stamp":%d,"hold":%d}`, key, e.value, e.stamp, e.lease))
	case method == "GET" && path == "/store":
		page, _ := strconv.Atoi(args["page"])
		answer(200, s.list(args["under"], args["since"], page))
	case method == "GET" && path == "/follow":
		if since < s.forgot {
			answer(410, `{"error":"too old"}`)
			return
		}
		block, _ := strconv.ParseInt(args["blockMs"], 10, 64)
		f := &follower{prefix: args["under"], since: since, ends: s.now() + micros(min(block, 60_000))*protocol.Millisecond, answer: answer}
		f.news = slices.ContainsFunc(s.changes[s.since(since):], func(c change) bool { return strings.HasPrefix(c.key, f.prefix) })
		s.watches = append(s.watches, f)
	case path == "/commit":
		s.commit(body, answer)
	case path == "/leases":
		ttl := micros(fastjson.GetInt(body, "ttlMs")) * protocol.Millisecond
		if s.strict && (ttl < 100*protocol.Millisecond || ttl > 600*protocol.Second) {
			answer(400, `{"error":"ttlMs"}`)
			return
		}
		s.nextID++
		s.leases[s.nextID] = &lease{ttl, s.now() + ttl}
		answer(200, fmt.Sprintf(`{"hold":%d}`, s.nextID))
	case method == "DELETE" && strings.HasPrefix(path, "/leases/"):
		id, _ := strconv.ParseUint(path[len("/leases/"):], 10, 64)
		if s.leases[id] != nil {
			s.endLease(id)
		}
		answer(200, `{}`)
	case strings.HasPrefix(path, "/leases/") && strings.HasSuffix(path, "/extend"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(path[len("/leases/"):], "/extend"), 10, 64)
		l := s.leases[id]
		if l == nil {
			answer(404, `{}`)
			return
		}
		l.ends = s.now() + l.ttl
		answer(200, `{}`)
	default:
		answer(400, `{"error":"unknown"}`)
	}
}

func (s *store) commit(body []byte, answer func(int, string)) {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		answer(400, `{}`)
		return
	}
	then := v.GetArray("then")
	if s.metered() && !s.writes.take(s.now(), s.writeRate(), 1, float64(len(then))) {
		s.refused++
		answer(429, `{}`)
		return
	}
	if s.fallen != nil {
		if problem := s.fallen.refuses(body, then); problem != "" {
			answer(400, fmt.Sprintf(`{"error":%q}`, problem))
			return
		}
	}
	s.written += len(then)
	s.commits++
	if len(then) > s.platform.MaxTxnChanges || len(v.GetArray("when")) > 4*s.platform.MaxTxnChanges {
		s.alarm("transaction too large: %d changes", len(then))
		answer(400, `{}`)
		return
	}
	if problem := s.malformed(then); s.strict && problem != "" {
		s.alarm("transaction: %s", problem)
		answer(400, fmt.Sprintf(`{"error":%q}`, problem))
		return
	}
	var failed []string
	for _, c := range v.GetArray("when") {
		key := string(c.GetStringBytes("path"))
		var stamp uint64
		if e := s.keys[key]; e != nil {
			stamp = e.stamp
		}
		if stamp != c.GetUint64("stamp") {
			failed = append(failed, strconv.Quote(key))
		}
	}
	for _, c := range then {
		if id := c.GetUint64("hold"); id != 0 && s.leases[id] == nil {
			answer(400, `{"error":"no such lease"}`)
			return
		}
	}
	if len(failed) > 0 {
		s.conflict++
		answer(409, fmt.Sprintf(`{"failed":[%s],"generation":%d}`, strings.Join(failed, ","), s.revision))
		return
	}
	s.revision++
	for _, c := range then {
		if c.Exists("drop") {
			key := string(c.GetStringBytes("drop"))
			if s.keys[key] != nil {
				s.drop(key)
				s.note(change{key, "", s.revision})
			}
			continue
		}
		key := string(c.GetStringBytes("set"))
		value := string(c.Get("data").MarshalTo(nil))
		s.set(key, &entry{value, s.revision, c.GetUint64("hold")})
		s.note(change{key, value, s.revision})
	}
	if s.applied != nil {
		s.applied(then)
	}
	answer(200, fmt.Sprintf(`{"generation":%d}`, s.revision))
}

// Most of a page of keys.
const (
	maxPage      = 1000
	maxPageBytes = 512 << 10
)

// list is a page of the keys with a prefix, after one of them; page 0: as many as can be.
func (s *store) list(prefix, after string, page int) string {
	if page <= 0 || page > maxPage {
		page = maxPage
	}
	i, _ := slices.BinarySearch(s.order, prefix)
	if after >= prefix {
		var there bool
		if i, there = slices.BinarySearch(s.order, after); there {
			i++
		}
	}
	var items strings.Builder
	more := false
	for n := 0; i < len(s.order) && strings.HasPrefix(s.order[i], prefix); n, i = n+1, i+1 {
		k, e := s.order[i], s.keys[s.order[i]]
		if n == page || n > 0 && items.Len()+len(k)+len(e.value)+64 > maxPageBytes {
			more = true
			break
		}
		if n > 0 {
			items.WriteByte(',')
		}
		fmt.Fprintf(&items, `{"path":%q,"data":%s,"stamp":%d}`, k, e.value, e.stamp)
	}
	return fmt.Sprintf(`{"entries":[%s],"truncated":%t,"generation":%d}`, items.String(), more, s.revision)
}

// malformed says what is wrong with changes.
func (s *store) malformed(then []*fastjson.Value) string {
	for _, c := range then {
		key, put := c.GetStringBytes("drop"), false
		if key == nil {
			key, put = c.GetStringBytes("set"), true
		}
		if len(key) < 1 || len(key) > 200 || strings.ContainsRune(string(key), ' ') {
			return "a key of 1 to 200 bytes without spaces is needed"
		}
		if !put {
			continue
		}
		if data := c.Get("data"); data == nil {
			return "data is missing"
		} else if n := len(data.MarshalTo(nil)); n > s.platform.MaxValueBytes {
			return fmt.Sprintf("the value of %s takes %d bytes of %d", key, n, s.platform.MaxValueBytes)
		}
	}
	return ""
}
