// Package simulation contains fakes for the state service, the cloud, workers and users, in
// simulated time, for tests of the controllers.
package simulation

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
	"mapleslip/internal/strictjson"
)

type micros = protocol.Micros

// store is the fake state service.
type store struct {
	now             func() micros
	platform        *protocol.Platform // its limits are enforced
	writesLimited   func() bool        // whether the rate of changes is enforced
	strict          bool               // all published limits are enforced
	reportViolation func(format string, args ...any)
	applied         func(changes []*fastjson.Value) // gets the changes of each transaction, may be nil

	down              bool
	keys              map[string]*entry
	sortedKeys        []string // the keys, sorted
	bytes             int      // size of all keys and values
	revision          uint64
	leases            map[uint64]*lease
	lastLeaseID       uint64
	watches           []*watch
	changes           []change // the latest changes, sorted by revision, see maxKeptChanges
	compactedRevision uint64   // revision of the last change that was removed from changes
	written           int      // puts and deletes of the transactions in commits
	commits           int      // transactions that no rate or lowered limit refused
	refused           int      // transactions refused because of the rate of changes
	conflicts         int      // transactions of which a condition was not met
	served            int      // requests
	writes            tokenBucket
	requests          tokenBucket
	loweredLimits     *loweredLimits // lowered limits, nil if those of platform apply
}

type entry struct {
	value    string
	revision uint64 // revision of the last change
	lease    uint64 // ID of the lease that the key is bound to, 0 for none
}

type lease struct {
	ttl, expires micros
}

type change struct {
	key, value string // value is "" if the key was deleted
	revision   uint64
}

type watch struct {
	prefix  string
	since   uint64 // revision after which changes are reported
	expires micros
	changed bool // a key with the prefix has changed since
	answer  func(int, string)
}

// tokenBucket limits a rate. It holds at most the tokens of some seconds.
type tokenBucket struct {
	tokens     float64
	refilledAt micros
}

// take adds the tokens for the time since the last call, up to those of the given seconds, and
// removes n tokens if there are that many.
func (b *tokenBucket) take(now micros, rate, seconds, n float64) bool {
	b.tokens = min(rate*seconds, b.tokens+rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// newStore returns the state service of a simulation. The bucket of its rate of changes starts
// full, as after a while without changes.
func newStore(w *World) *store {
	return &store{
		now: func() micros { return w.now }, platform: &w.Platform, writesLimited: func() bool { return w.limited }, reportViolation: w.reportViolation, applied: w.handleCommit,
		keys: make(map[string]*entry), leases: make(map[uint64]*lease), writes: tokenBucket{tokens: math.Inf(1)},
	}
}

// set stores an entry under a key.
func (s *store) set(key string, e *entry) {
	old := s.keys[key]
	if old == nil {
		i, _ := slices.BinarySearch(s.sortedKeys, key)
		s.sortedKeys = slices.Insert(s.sortedKeys, i, key)
		s.bytes += len(key)
	} else {
		s.bytes -= len(old.value)
	}
	s.bytes += len(e.value)
	s.keys[key] = e
}

// remove deletes a key, which must exist.
func (s *store) remove(key string) {
	i, _ := slices.BinarySearch(s.sortedKeys, key)
	s.sortedKeys = slices.Delete(s.sortedKeys, i, i+1)
	s.bytes -= len(key) + len(s.keys[key].value)
	delete(s.keys, key)
}

// recordChange appends a change to the latest changes and marks the watches that it concerns.
func (s *store) recordChange(c change) {
	s.changes = append(s.changes, c)
	for _, watch := range s.watches {
		if !watch.changed && strings.HasPrefix(c.key, watch.prefix) {
			watch.changed = true
		}
	}
}

// setDown begins or ends an outage. At the end of an outage, all leases get their full time again.
func (s *store) setDown(down bool) {
	if s.down && !down {
		for _, l := range s.leases {
			l.expires = s.now() + l.ttl
		}
	}
	s.down = down
}

// tick ends expired leases, answers watches and removes the oldest changes. It does nothing during
// an outage.
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
		if s.leases[id].expires <= s.now() {
			s.endLease(id)
		}
	}
	s.answerWatches()
	if n := len(s.changes) - maxKeptChanges; n > maxKeptChanges/10 {
		s.compactedRevision = s.changes[n-1].revision
		s.changes = append([]change(nil), s.changes[n:]...)
	}
}

// answerWatches answers watches that have changes to report or have expired.
func (s *store) answerWatches() {
	rest := s.watches[:0]
	for _, watch := range s.watches {
		if watch.changed || watch.expires <= s.now() {
			watch.answer(200, fmt.Sprintf(`{"generation":%d,"news":[%s]}`, s.revision, strings.Join(s.watchEvents(watch), ",")))
			continue
		}
		rest = append(rest, watch)
	}
	clear(s.watches[len(rest):])
	s.watches = rest
}

// maxKeptChanges is the number of latest changes that a watch can start from. tick removes older
// changes once there are a tenth more.
const maxKeptChanges = 10_000

// firstChangeAfter returns the index in changes of the first change after a revision.
func (s *store) firstChangeAfter(revision uint64) int {
	return sort.Search(len(s.changes), func(i int) bool { return s.changes[i].revision > revision })
}

// watchEvents returns the changes that a watch has to report.
func (s *store) watchEvents(watch *watch) []string {
	var list []string
	for _, c := range s.changes[s.firstChangeAfter(watch.since):] {
		if !strings.HasPrefix(c.key, watch.prefix) {
			continue
		}
		if c.value == "" {
			list = append(list, fmt.Sprintf(`{"drop":%q,"stamp":%d}`, c.key, c.revision))
		} else {
			list = append(list, fmt.Sprintf(`{"set":%q,"data":%s,"stamp":%d}`, c.key, c.value, c.revision))
		}
	}
	return list
}

// endLease removes a lease and deletes the keys that are bound to it.
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
		s.remove(k)
		s.recordChange(change{k, "", s.revision})
	}
}

// serve carries out one request.
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
	args := queryArguments(query)
	switch {
	case method == http.MethodGet && strings.HasPrefix(path, "/store/"):
		s.get(strings.TrimPrefix(path, "/store/"), answer)
	case method == http.MethodGet && path == "/store":
		page, _ := strconv.Atoi(args["page"])
		answer(200, s.list(args["under"], args["since"], page))
	case method == http.MethodGet && path == "/follow":
		s.follow(args, answer)
	case path == "/commit":
		s.commit(body, answer)
	case path == "/leases":
		s.grantLease(body, answer)
	case strings.HasPrefix(path, "/leases/"):
		s.changeLease(method, strings.TrimPrefix(path, "/leases/"), answer)
	default:
		answer(400, `{"error":"unknown"}`)
	}
}

// queryArguments returns the arguments of a URL query, by name.
func queryArguments(query string) map[string]string {
	args := map[string]string{}
	for _, kv := range strings.Split(query, "&") {
		k, v, _ := strings.Cut(kv, "=")
		args[k] = v
	}
	return args
}

// get reads a key.
func (s *store) get(key string, answer func(int, string)) {
	e := s.keys[key]
	if e == nil {
		answer(404, fmt.Sprintf(`{"generation":%d}`, s.revision))
		return
	}
	answer(200, fmt.Sprintf(`{"path":%q,"data":%s,"stamp":%d,"hold":%d}`, key, e.value, e.revision, e.lease))
}

// follow opens a watch.
func (s *store) follow(args map[string]string, answer func(int, string)) {
	since, _ := strconv.ParseUint(args["since"], 10, 64)
	if since < s.compactedRevision {
		answer(410, `{"error":"too old"}`)
		return
	}
	block, _ := strconv.ParseInt(args["blockMs"], 10, 64)
	added := &watch{prefix: args["under"], since: since, expires: s.now() + micros(min(block, 60_000))*protocol.Millisecond, answer: answer}
	added.changed = slices.ContainsFunc(s.changes[s.firstChangeAfter(since):], func(c change) bool { return strings.HasPrefix(c.key, added.prefix) })
	s.watches = append(s.watches, added)
}

// grantLease grants a new lease.
func (s *store) grantLease(body []byte, answer func(int, string)) {
	if err := strictjson.CheckLease(body); err != nil {
		s.reportViolation("lease: %v", err)
		answer(400, `{"error":"malformed"}`)
		return
	}
	ttl := micros(fastjson.GetInt(body, "ttlMs")) * protocol.Millisecond
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl, s.now() + ttl}
	answer(200, fmt.Sprintf(`{"hold":%d}`, s.lastLeaseID))
}

// changeLease renews a lease, or ends it. path is what follows "/leases/".
func (s *store) changeLease(method, path string, answer func(int, string)) {
	idText, renew := strings.CutSuffix(path, "/extend")
	id, _ := strconv.ParseUint(idText, 10, 64)
	l := s.leases[id]
	switch {
	case renew && l == nil:
		answer(404, `{}`)
	case renew:
		l.expires = s.now() + l.ttl
		answer(200, `{}`)
	case method == http.MethodDelete:
		if l != nil {
			s.endLease(id)
		}
		answer(200, `{}`)
	default:
		answer(400, `{"error":"unknown"}`)
	}
}

// commit carries out a transaction if all its conditions are met.
func (s *store) commit(body []byte, answer func(int, string)) {
	if err := strictjson.CheckTransaction(body); err != nil {
		s.reportViolation("transaction: %v", err)
		answer(400, `{"error":"malformed"}`)
		return
	}
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		answer(400, `{}`)
		return
	}
	then := v.GetArray("then")
	if s.writesLimited() && !s.writes.take(s.now(), s.writeRate(), 1, float64(len(then))) {
		s.refused++
		answer(429, `{}`)
		return
	}
	if problem := s.exceedsLimits(body, v); problem != "" {
		answer(400, fmt.Sprintf(`{"error":%q}`, problem))
		return
	}
	failed := s.failedConditions(v.GetArray("when"))
	for _, c := range then {
		if id := c.GetUint64("hold"); id != 0 && s.leases[id] == nil {
			answer(400, `{"error":"no such lease"}`)
			return
		}
	}
	if len(failed) > 0 {
		s.conflicts++
		answer(409, fmt.Sprintf(`{"failed":[%s],"generation":%d}`, strings.Join(failed, ","), s.revision))
		return
	}
	s.apply(then)
	answer(200, fmt.Sprintf(`{"generation":%d}`, s.revision))
}

// exceedsLimits returns which limit a transaction exceeds, "" if none. It counts the transaction, if
// no lowered limit refuses it, and reports one that exceeds a published limit.
func (s *store) exceedsLimits(body []byte, v *fastjson.Value) string {
	then := v.GetArray("then")
	if s.loweredLimits != nil {
		if problem := s.loweredLimits.refuses(body, then); problem != "" {
			return problem
		}
	}
	s.written += len(then)
	s.commits++
	if len(then) > s.platform.MaxTxnChanges || len(v.GetArray("when")) > 4*s.platform.MaxTxnChanges {
		s.reportViolation("transaction too large: %d changes", len(then))
		return "too many changes"
	}
	if !s.strict {
		return ""
	}
	problem := s.findTooLargeValue(then)
	if problem != "" {
		s.reportViolation("transaction: %s", problem)
	}
	return problem
}

// failedConditions returns the keys, as JSON, of the conditions that are not met.
func (s *store) failedConditions(when []*fastjson.Value) (failed []string) {
	for _, c := range when {
		key := string(c.GetStringBytes("path"))
		var revision uint64
		if e := s.keys[key]; e != nil {
			revision = e.revision
		}
		if revision != c.GetUint64("stamp") {
			failed = append(failed, strconv.Quote(key))
		}
	}
	return failed
}

// apply makes the changes of a transaction.
func (s *store) apply(then []*fastjson.Value) {
	s.revision++
	for _, c := range then {
		if c.Exists("drop") {
			key := string(c.GetStringBytes("drop"))
			if s.keys[key] != nil {
				s.remove(key)
				s.recordChange(change{key, "", s.revision})
			}
			continue
		}
		key := string(c.GetStringBytes("set"))
		value := string(c.Get("data").MarshalTo(nil))
		s.set(key, &entry{value, s.revision, c.GetUint64("hold")})
		s.recordChange(change{key, value, s.revision})
	}
	if s.applied != nil {
		s.applied(then)
	}
}

// Limits of a page of keys.
const (
	maxPageKeys  = 1000
	maxPageBytes = 512 << 10
)

// list returns a page of the keys with a prefix that follow the key after, at most page of them, or
// maxPageKeys if page is 0.
func (s *store) list(prefix, after string, page int) string {
	if page <= 0 || page > maxPageKeys {
		page = maxPageKeys
	}
	i, _ := slices.BinarySearch(s.sortedKeys, prefix)
	if after >= prefix {
		var found bool
		if i, found = slices.BinarySearch(s.sortedKeys, after); found {
			i++
		}
	}
	var items strings.Builder
	more := false
	for n := 0; i < len(s.sortedKeys) && strings.HasPrefix(s.sortedKeys[i], prefix); n, i = n+1, i+1 {
		k, e := s.sortedKeys[i], s.keys[s.sortedKeys[i]]
		if n == page || n > 0 && items.Len()+len(k)+len(e.value)+64 > maxPageBytes {
			more = true
			break
		}
		if n > 0 {
			items.WriteByte(',')
		}
		fmt.Fprintf(&items, `{"path":%q,"data":%s,"stamp":%d}`, k, e.value, e.revision)
	}
	return fmt.Sprintf(`{"entries":[%s],"truncated":%t,"generation":%d}`, items.String(), more, s.revision)
}

// findTooLargeValue returns which value exceeds the limit of the platform, "" if none does.
func (s *store) findTooLargeValue(then []*fastjson.Value) string {
	for _, c := range then {
		if data := c.Get("data"); data != nil {
			if n := len(data.MarshalTo(nil)); n > s.platform.MaxValueBytes {
				return fmt.Sprintf("the value of %s takes %d bytes of %d", c.GetStringBytes("set"), n, s.platform.MaxValueBytes)
			}
		}
	}
	return ""
}
