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

// A follower learns of a new leader from its watch of the leader key. If the watch waited behind
// users' reads, as it once did, the follower would refuse all users after a failover and would not
// learn of the new leader, because refusing them would keep it busy.
func TestLeaderWatchHasHighestPriority(t *testing.T) {
	p := &protocol.Platform{ControllerName: "n0", Peers: []protocol.Peer{{Name: "n1", Address: "n1"}}, StateRequestRate: 100, StateWriteRate: 20}
	c := New(p, protocol.DefaultOperatorSettings(), 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	first := c.Start(instant{})
	if read, ok := first[0].(Call); !ok || read.Path != "/store/lead" || read.Priority != priorityLeadership {
		t.Fatalf("first effect is not a read of the leader key with leadership priority: %v", first)
	}
	var watch, userRead *Call
	collect := func(effects []Effect) {
		for _, e := range effects {
			if call, ok := e.(Call); ok && strings.HasPrefix(call.Path, "/follow?under=lead") {
				watch = &call
			} else if ok && strings.HasPrefix(call.Path, "/store/j/") {
				userRead = &call
			}
		}
	}
	collect(c.Step(instant{Steady: 1000}, CallResult{
		ID: first[0].(Call).ID, Status: 200,
		Body: []byte(`{"path":"lead","data":{"node":"gone","epoch":3,"lease":1,"answer_on":1},"stamp":9,"hold":1}`),
	}))
	collect(c.Step(instant{Steady: 2000}, NewUserRequest(ReplyAddress{}, protocol.OpQuery, "req-000001", nil)))
	if watch == nil || userRead == nil || watch.Priority >= userRead.Priority {
		t.Errorf("watch of the leader key does not precede the user's read: watch %+v, read %+v", watch, userRead)
	}
	// Requests above the state service's rate are refused at once.
	refused := 0
	for range 100 {
		for _, e := range c.Step(instant{Steady: 3000}, NewUserRequest(ReplyAddress{}, protocol.OpQuery, "req-000002", nil)) {
			if r, ok := e.(Reply); ok && r.Status == 503 && r.RetryAfter > 0 {
				refused++
			}
		}
	}
	if refused < 80 {
		t.Errorf("%d of 100 queries were refused at once, want at least 80", refused)
	}
}

// The records that a new leader reads may arrive after its lease has expired, if the state service
// is slow or the process was suspended. They must be ignored, and must not stop the controller.
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
		t.Fatalf("%d requests list records, want at least 5", len(lists))
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
		t.Errorf("records were applied after the lease had expired: term %v, revision %d", c.term, c.config.state.revision)
	}
}
