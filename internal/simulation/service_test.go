package simulation

import (
	"fmt"
	"strings"
	"testing"

	"mapleslip/internal/protocol"
)

// The simulated state service enforces its limits, by a clock that the test sets.
func TestStateServiceKeepsItsLimits(t *testing.T) {
	now := protocol.Second
	p := &protocol.Platform{StateRequestRate: 20, StateWriteRate: 4, MaxValueBytes: 64, MaxTxnChanges: 4}
	var alarms []string
	s := NewStateService(p, func() protocol.Micros { return now }, func(format string, args ...any) { alarms = append(alarms, fmt.Sprintf(format, args...)) })
	ask := func(method, target, body string) (status int, answer string) {
		s.Serve(method, target, []byte(body), func(code int, text string) { status, answer = code, text })
		return status, answer
	}
	expect := func(want int, text, method, target, body string) {
		t.Helper()
		if status, answer := ask(method, target, body); status != want || !strings.Contains(answer, text) {
			t.Fatalf("%s %s %s: %d %s, want %d with %s", method, target, body, status, answer, want, text)
		}
	}
	set := func(key string) string { return `{"when":[],"then":[{"set":"` + key + `","data":1}]}` }
	expect(200, `"hold":1`, "POST", "/leases", `{"ttlMs":1000}`)
	expect(200, `"generation":1`, "POST", "/commit", `{"when":[],"then":[{"set":"b/1","data":1,"hold":1}]}`)
	expect(409, `"failed":["b/1"]`, "POST", "/commit", `{"when":[{"path":"b/1","stamp":0}],"then":[{"set":"b/1","data":2}]}`)
	expect(400, "bytes of 64", "POST", "/commit", `{"then":[{"set":"b/2","data":"`+strings.Repeat("x", 70)+`"}]}`)
	// Failed and malformed transactions have also used up part of the four changes a second.
	expect(200, `"generation":2`, "POST", "/commit", set("b/2"))
	expect(429, "", "POST", "/commit", set("b/3"))
	now += protocol.Second / 2
	expect(200, `"generation":3`, "POST", "/commit", `{"then":[{"set":"a","data":1},{"set":"c","data":1}]}`)
	expect(200, `{"path":"b/2","data":1,"stamp":2}],"truncated":false`, "GET", "/store?under=b/&since=b/1&page=1", "")
	expect(200, `{"path":"b/1","data":1,"stamp":1}],"truncated":true`, "GET", "/store?under=b/&page=1", "")
	expect(200, `"news":[{"set":"b/2","data":1,"stamp":2}]`, "GET", "/follow?under=b/&since=1&blockMs=0", "")

	// A watch waits for a change below its prefix. It survives an outage, after which leases
	// are valid for their whole time again.
	var woken string
	s.Serve("GET", "/follow?under=b/&since=3&blockMs=60000", nil, func(_ int, text string) { woken = text })
	now += protocol.Second / 4
	expect(200, "", "POST", "/commit", set("c"))
	s.Tick()
	if woken != "" {
		t.Fatalf("the watch was woken by another prefix: %s", woken)
	}
	s.SetDown(true)
	expect(503, "", "GET", "/store/a", "")
	now += 5 * protocol.Second
	s.Tick()
	s.SetDown(false)
	now += 900 * protocol.Millisecond
	s.Tick()
	expect(200, `"hold":1`, "GET", "/store/b/1", "")
	now += 200 * protocol.Millisecond
	s.Tick()
	if woken != `{"generation":5,"news":[{"drop":"b/1","stamp":5}]}` {
		t.Fatalf("the watch was woken by %q", woken)
	}
	expect(404, "", "POST", "/leases/1/extend", "")

	// Requests have a separate rate limit, with a burst of one second's requests.
	now += 10 * protocol.Second
	for range 20 {
		expect(404, "", "GET", "/store/none", "")
	}
	expect(429, "", "GET", "/store/none", "")
	if size := s.Size(); size.Keys != 3 || size.Bytes != len("a")+len("b/2")+len("c")+3 || size.Refused != 1 {
		t.Errorf("size %+v", size)
	}
	if len(alarms) != 1 {
		t.Errorf("alarms %q", alarms)
	}
}

// The state service keeps the last 10,000 changes for watches, and refuses to go further back.
func TestStateServiceForgetsOldChanges(t *testing.T) {
	now := protocol.Second
	p := &protocol.Platform{StateRequestRate: 1e6, StateWriteRate: 1e6, MaxValueBytes: 64, MaxTxnChanges: 4}
	s := NewStateService(p, func() protocol.Micros { return now }, t.Errorf)
	for range 12_000 {
		s.Serve("POST", "/commit", []byte(`{"then":[{"set":"k","data":1}]}`), func(int, string) {})
	}
	s.Tick()
	for since, want := range map[int]int{1999: 410, 2000: 200} {
		var got int
		s.Serve("GET", fmt.Sprintf("/follow?under=k&since=%d", since), nil, func(status int, _ string) { got = status })
		if got != want {
			t.Errorf("since %d: got status %d", since, got)
		}
	}
}
