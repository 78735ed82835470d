package controller

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

// A follower learns who leads from its watch. If that had to wait behind users' reads, as it
// once did, the follower would refuse every user after a failover, and be too busy with that to
// learn of it.
func TestLeaderWatchHasHighestPriority(t *testing.T) {
	p := &protocol.Platform{ControllerName: "n0", Peers: []protocol.Peer{{Name: "n1", Address: "n1"}}, StateRequestRate: 100, StateWriteRate: 20}
	c := New(p, protocol.DefaultOperatorSettings(), 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	first := c.Start(instant{})
	if read, ok := first[0].(Call); !ok || read.Path != "/store/lead" || read.Priority != priorityLeadership {
		t.Fatalf("%v", first)
	}
	var watch, poll *Call
	note := func(effects []Effect) {
		for _, e := range effects {
			if call, ok := e.(Call); ok && strings.HasPrefix(call.Path, "/follow?under=lead") {
				watch = &call
			} else if ok && strings.HasPrefix(call.Path, "/store/j/") {
				poll = &call
			}
		}
	}
	note(c.Step(instant{Steady: 1000}, CallResult{
		ID: first[0].(Call).ID, Status: 200,
		Body: []byte(`{"path":"lead","data":{"node":"gone","epoch":3,"lease":1,"answer_on":1},"stamp":9,"hold":1}`),
	}))
	note(c.Step(instant{Steady: 2000}, UserRequest{Op: protocol.OpQuery, Ref: "req-000001"}))
	if watch == nil || poll == nil || watch.Priority >= poll.Priority {
		t.Errorf("watch %+v, poll %+v", watch, poll)
	}
	// What the state service's rate has no room for is refused at once.
	refused := 0
	for range 100 {
		for _, e := range c.Step(instant{Steady: 3000}, UserRequest{Op: protocol.OpQuery, Ref: "req-000002"}) {
			if r, ok := e.(Reply); ok && r.Status == 503 && r.RetryAfter > 0 {
				refused++
			}
		}
	}
	if refused < 80 {
		t.Errorf("%d of 100 were refused at once", refused)
	}
}

// A new leader's records may come when its lease has expired meanwhile, from a slow state
// service or to a process that was frozen: they are ignored then, and stop nothing.
func TestRecordsAfterLeaseExpiry(t *testing.T) {
	p := &protocol.Platform{ControllerName: "n0", StateRequestRate: 100, StateWriteRate: 20, MaxValueBytes: 8 << 10, HeartbeatInterval: protocol.Second, WorkerLease: 30 * protocol.Second}
	c := New(p, protocol.DefaultOperatorSettings(), 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	c.EnableConfiguration(configuration.Options{HistoryPages: 4})
	c.Start(instant{})
	c.recovery.start()
	var lists []Call
	for _, e := range c.Step(instant{Steady: 1000}, Tick{}) {
		if call, ok := e.(Call); ok && strings.HasPrefix(call.Path, "/store?under=") {
			lists = append(lists, call)
		}
	}
	if len(lists) < 5 {
		t.Fatalf("%d lists of records", len(lists))
	}
	c.election.followAfter(protocol.Second)
	for _, call := range lists {
		prefix := strings.TrimSuffix(strings.TrimPrefix(call.Path, "/store?under="), "&page=500")
		key, value := prefix+"x", `{}`
		if prefix == configuration.KeyHead {
			key, value = prefix, string((&configuration.Head{Revision: 1, Entries: []configuration.Entry{{Revision: 1, ID: "a", Who: "b"}}, FirstRevision: 1}).Encode())
		}
		body := fmt.Sprintf(`{"entries":[{"path":%q,"data":%s,"stamp":9}],"generation":9,"truncated":false}`, key, value)
		c.Step(instant{Steady: 2000}, CallResult{ID: call.ID, Status: 200, Body: []byte(body)})
	}
	if c.term != nil || c.config.state.revision != 0 {
		t.Errorf("term %v, revision %d", c.term, c.config.state.revision)
	}
}
