// Package rehearsal has stand-ins for the state service, the cloud, workers
// and users, in simulated time, for tests.
package rehearsal

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

type micros = protocol.Micros

// store stands in for the state service.
type store struct {
	w        *World
	down     bool
	keys     map[string]*entry
	revision uint64
	leases   map[uint64]*lease
	nextID   uint64
	watches  []*follower
	changes  []change
	forgot   uint64 // the last change that is not among them any more
	written  int    // puts and deletes
	refused  int    // transactions beyond the rate
	room     float64
	roomAt   micros
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
	answer func(int, string)
}

func newStore(w *World) *store {
	return &store{w: w, keys: make(map[string]*entry), leases: make(map[uint64]*lease)}
}

// setDown begins or ends an outage. After one, leases get their full time.
func (s *store) setDown(down bool) {
	if s.down && !down {
		for _, l := range s.leases {
			l.ends = s.w.now + l.ttl
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
		if s.leases[id].ends <= s.w.now {
			s.endLease(id)
		}
	}
	rest := s.watches[:0]
	for _, f := range s.watches {
		if news := s.news(f); len(news) > 0 || f.ends <= s.w.now {
			f.answer(200, fmt.Sprintf(`{"generation":%d,"news":[%s]}`, s.revision, strings.Join(news, ",")))
			continue
		}
		rest = append(rest, f)
	}
	s.watches = rest
	if n := len(s.changes) - keptChanges; n > keptChanges/10 {
		s.forgot = s.changes[n-1].stamp
		s.changes = append([]change(nil), s.changes[n:]...)
	}
}

// keptChanges is how many changes can be followed later.
const keptChanges = 10_000

func (s *store) news(f *follower) []string {
	var list []string
	for _, c := range s.changes {
		if c.stamp <= f.since || !strings.HasPrefix(c.key, f.prefix) {
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
		delete(s.keys, k)
		s.changes = append(s.changes, change{k, "", s.revision})
	}
}

// serve answers one request.
func (s *store) serve(method, target string, body []byte, answer func(int, string)) {
	if s.down {
		answer(503, `{"error":"outage"}`)
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
		var keys []string
		for k := range s.keys {
			if strings.HasPrefix(k, args["under"]) && k > args["since"] {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		page, _ := strconv.Atoi(args["page"])
		more := len(keys) > page
		if more {
			keys = keys[:page]
		}
		var items []string
		for _, k := range keys {
			items = append(items, fmt.Sprintf(`{"path":%q,"data":%s,"stamp":%d}`, k, s.keys[k].value, s.keys[k].stamp))
		}
		answer(200, fmt.Sprintf(`{"entries":[%s],"truncated":%t,"generation":%d}`, strings.Join(items, ","), more, s.revision))
	case method == "GET" && path == "/follow":
		if since < s.forgot {
			answer(410, `{"error":"too old"}`)
			return
		}
		block, _ := strconv.ParseInt(args["blockMs"], 10, 64)
		s.watches = append(s.watches, &follower{args["under"], since, s.w.now + micros(block)*protocol.Millisecond, answer})
	case path == "/commit":
		s.commit(body, answer)
	case path == "/leases":
		ttl := micros(fastjson.GetInt(body, "ttlMs")) * protocol.Millisecond
		s.nextID++
		s.leases[s.nextID] = &lease{ttl, s.w.now + ttl}
		answer(200, fmt.Sprintf(`{"hold":%d}`, s.nextID))
	case method == "DELETE":
		id, _ := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
		if s.leases[id] != nil {
			s.endLease(id)
		}
		answer(200, `{}`)
	case strings.HasSuffix(path, "/extend"):
		id, _ := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
		l := s.leases[id]
		if l == nil {
			answer(404, `{}`)
			return
		}
		l.ends = s.w.now + l.ttl
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
	if s.w.limited {
		// A bucket of one second's worth, which transactions that fail empty too.
		rate := s.w.Platform.StateWriteRate
		s.room = min(rate, s.room+rate*(s.w.now-s.roomAt).Seconds())
		s.roomAt = s.w.now
		if s.room < float64(len(then)) {
			s.refused++
			answer(429, `{}`)
			return
		}
		s.room -= float64(len(then))
	}
	s.written += len(then)
	if len(then) > s.w.Platform.TxnOps || len(v.GetArray("when")) > 4*s.w.Platform.TxnOps {
		s.w.broken("transaction too large: %d changes", len(then))
		answer(400, `{}`)
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
		answer(409, fmt.Sprintf(`{"failed":[%s],"generation":%d}`, strings.Join(failed, ","), s.revision))
		return
	}
	s.revision++
	for _, c := range then {
		if c.Exists("drop") {
			key := string(c.GetStringBytes("drop"))
			if s.keys[key] != nil {
				delete(s.keys, key)
				s.changes = append(s.changes, change{key, "", s.revision})
			}
			continue
		}
		key := string(c.GetStringBytes("set"))
		value := string(c.Get("data").MarshalTo(nil))
		s.keys[key] = &entry{value, s.revision, c.GetUint64("hold")}
		s.changes = append(s.changes, change{key, value, s.revision})
	}
	s.w.committed(then)
	answer(200, fmt.Sprintf(`{"generation":%d}`, s.revision))
}
