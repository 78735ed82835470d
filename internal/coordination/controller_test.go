package coordination

import (
	"io"
	"log/slog"
	"strings"
	"testing"

	"mapleslip/internal/protocol"
)

// A node that does not lead learns who does from its watch. If that had to wait
// behind users' reads, as it once did, the node would send every user away
// after a change of leaders, and be too busy with that to learn of it.
func TestWatchOfTheLeaderGoesFirst(t *testing.T) {
	p := &protocol.Platform{Node: "n0", Siblings: []protocol.Sibling{{Name: "n1", Address: "n1"}}, StateRate: 100, StateWriteRate: 20}
	c := New(p, protocol.DefaultOperator(), 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	first := c.Start(now{})
	if len(first) != 1 {
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
	note(c.Step(now{Steady: 1000}, CallDone{ID: first[0].(Call).ID, Status: 200,
		Body: []byte(`{"path":"lead","data":{"node":"gone","epoch":3,"lease":1,"answer_on":1},"stamp":9,"hold":1}`)}))
	note(c.Step(now{Steady: 2000}, UserCall{Op: protocol.OpQuery, Ref: "req-000001"}))
	if watch == nil || poll == nil || watch.Priority >= poll.Priority {
		t.Errorf("watch %+v, poll %+v", watch, poll)
	}
	// What the state service's rate has no room for is refused at once.
	refused := 0
	for range 100 {
		for _, e := range c.Step(now{Steady: 3000}, UserCall{Op: protocol.OpQuery, Ref: "req-000002"}) {
			if r, ok := e.(Reply); ok && r.Status == 503 && r.RetryAfter > 0 {
				refused++
			}
		}
	}
	if refused < 80 {
		t.Errorf("%d of 100 were refused at once", refused)
	}
}
