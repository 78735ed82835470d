package controller

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"

	"mapleslip/internal/protocol"
)

// follower is a node that knows that n1 leads under epoch 3.
func follower(t *testing.T) *Controller {
	t.Helper()
	p := &protocol.Platform{
		ControllerName: "n0", Zone: "y", Peers: []protocol.Peer{{Name: "n1", Zone: "z", Address: "n1:1"}}, StateRequestRate: 100, StateWriteRate: 20,
		WorkerLease: 24 * protocol.Second,
	}
	c := New(p, protocol.DefaultOperatorSettings(), 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	first := c.Start(instant{})
	c.Step(instant{Steady: 1000}, CallResult{
		ID: first[0].(Call).ID, Status: 200,
		Body: []byte(`{"path":"lead","data":{"node":"n1","epoch":3,"lease":1,"answer_on":1},"stamp":9,"hold":1}`),
	})
	return c
}

// report is what a worker says to it, and what it does then: it calls the leader,
// or answers. Later reports have higher ticks, as the protocol has it.
func report(c *Controller, at micros, host string, epoch int) (call *Call, answer *Reply) {
	return reportAgain(c, at, host, epoch, int(at))
}

// reportAgain is report with a tick that may have come before.
func reportAgain(c *Controller, at micros, host string, epoch, tick int) (call *Call, answer *Reply) {
	body := fmt.Sprintf(`{"host":%q,"addr":"w:9","flavor":"f","region":"z","reclaimable":false,"tenure":1,"tick":%d,"epoch":%d,"shards":[]}`, host, tick, epoch)
	for _, e := range c.Step(instant{Steady: at}, WorkerHeartbeat{Body: []byte(body)}) {
		switch e := e.(type) {
		case Call:
			if e.Target == ToPeer {
				call = &e
			}
		case Reply:
			answer = &e
		}
	}
	return call, answer
}

func peerFrame(m *protocol.PeerMessage) []byte {
	frame, _, _ := protocol.SplitPeer(protocol.AppendPeer(nil, m))
	return frame
}

// A worker that is new to the leader is sent there. One that has served under it
// has lost it, and its report is passed on; so is that of one that was sent there
// and comes back. The leader's answer goes back as it is.
func TestHeartbeatsAreForwarded(t *testing.T) {
	c := follower(t)
	sec := protocol.Second
	if call, answer := report(c, sec, "new", 2); call != nil || answer == nil || answer.Status != 421 {
		t.Errorf("a worker of an earlier epoch: %+v %+v", call, answer)
	}
	call, answer := report(c, sec, "lost", 3)
	if call == nil || answer != nil {
		t.Fatalf("a worker that lost the leader: %+v %+v", call, answer)
	}
	var got *Reply
	for _, e := range c.Step(instant{Steady: sec + 1}, CallResult{
		ID: call.ID, Status: 200,
		Body: peerFrame(&protocol.PeerMessage{Kind: protocol.PeerResponse, Status: 200, Body: []byte(`{"epoch":3,"orders":[]}`)}),
	}) {
		if r, ok := e.(Reply); ok {
			got = &r
		}
	}
	if got == nil || got.Status != 200 || string(got.Body) != `{"epoch":3,"orders":[]}` {
		t.Errorf("%+v", got)
	}
	// It is asked to try the leader next, and passed on again if it comes back.
	if call, answer := report(c, 6*sec, "lost", 3); call != nil || answer == nil || answer.Status != 421 {
		t.Errorf("%+v %+v", call, answer)
	}
	if call, _ := report(c, 11*sec, "lost", 3); call == nil {
		t.Error("a worker that came back is sent away once more")
	}
	if call, _ := report(c, 11*sec, "new", 2); call == nil {
		t.Error("a worker that never reached the leader is sent away once more")
	}
}

// A late copy of a report shows nothing of whom the worker reaches: it is neither passed
// on nor counted, whether the worker comes here or not.
func TestDuplicateHeartbeatsAreIgnored(t *testing.T) {
	c := follower(t)
	sec := protocol.Second
	if _, answer := reportAgain(c, sec, "w", 2, 7); answer == nil || answer.Status != 421 {
		t.Fatalf("%+v", answer)
	}
	n, _ := c.router.summarizeRedirectedWorkers()
	for tick := 7; tick > 4; tick-- {
		if call, answer := reportAgain(c, 5*sec, "w", 2, tick); call != nil || answer == nil || answer.Status != 421 {
			t.Errorf("a copy with tick %d: %+v %+v", tick, call, answer)
		}
	}
	if got, _ := c.router.summarizeRedirectedWorkers(); n != 1 || got != 1 {
		t.Errorf("%d, then %d callers", n, got)
	}
	c.Step(instant{Steady: 20 * sec}, Tick{})
	if got, _ := c.router.summarizeRedirectedWorkers(); got != 0 {
		t.Errorf("a copy kept its worker counted: %d", got)
	}
	if call, _ := reportAgain(c, 21*sec, "w", 3, 8); call == nil {
		t.Error("a worker that lost the leader is not passed on")
	}
}

// A controller of the version before knows no reports from others: it answers as
// to any message that it does not know. The worker is then sent to it as before,
// and for a while no others are passed on.
func TestHeartbeatsAreNotForwardedToOlderController(t *testing.T) {
	c := follower(t)
	call, _ := report(c, protocol.Second, "lost", 3)
	if call == nil {
		t.Fatal("not passed on")
	}
	var got *Reply
	for _, e := range c.Step(instant{Steady: protocol.Second + 1}, CallResult{ID: call.ID, Status: 200, Body: peerFrame(&protocol.PeerMessage{Kind: protocol.PeerResponse})}) {
		if r, ok := e.(Reply); ok {
			got = &r
		}
	}
	if got == nil || got.Status != 421 || !strings.Contains(string(got.Body), "n1") {
		t.Errorf("%+v", got)
	}
	if call, answer := report(c, 2*protocol.Second, "other", 3); call != nil || answer == nil || answer.Status != 421 {
		t.Errorf("%+v %+v", call, answer)
	}
}

// A leader may keep a submission or a cancellation for longer than a question. A node
// that heard it a moment ago waits for that long, and does not take it for dead if it
// was heard meanwhile.
func TestLiveLeaderIsWaitedFor(t *testing.T) {
	c := follower(t)
	sec := protocol.Second
	ask := func(at micros) {
		c.Step(instant{Steady: at}, PeerStatusRequest{Epoch: 3, From: "n1", Body: protocol.AppendHandoverState(nil, protocol.HandoverState{})})
	}
	cancel := func(at micros) *Call {
		for _, e := range c.Step(instant{Steady: at}, UserRequest{Op: protocol.OpCancel, Ref: "req-000001"}) {
			if call, ok := e.(Call); ok && call.Target == ToPeer {
				return &call
			}
		}
		return nil
	}
	if call := cancel(sec); call == nil || call.Timeout != forwardTimeout {
		t.Fatalf("to a leader that was not heard: %+v", call)
	}
	ask(9 * sec)
	call := cancel(10 * sec)
	if call == nil || call.Timeout != liveLeaderTimeout {
		t.Fatalf("to a leader that was heard a second ago: %+v", call)
	}
	ask(11 * sec)
	c.Step(instant{Steady: 12 * sec}, CallResult{ID: call.ID})
	call = cancel(12*sec + 1)
	if call == nil {
		t.Fatal("a leader that asked meanwhile counts as dead")
	}
	c.Step(instant{Steady: 15 * sec}, CallResult{ID: call.ID})
	if cancel(15*sec+1) != nil {
		t.Error("a leader that said nothing since is still called")
	}
}
