package controller

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"

	"mapleslip/internal/protocol"
)

// newFollower returns a follower of the leader n1 with epoch 3.
func newFollower(t *testing.T) *Controller {
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

// sendHeartbeat sends a worker's heartbeat to the controller. It returns the controller's call to
// the leader, or its answer. As the protocol requires, later heartbeats have higher sequence
// numbers.
func sendHeartbeat(c *Controller, at micros, host string, epoch int) (call *Call, answer *Reply) {
	return sendHeartbeatWithSequence(c, at, host, epoch, int(at))
}

// sendHeartbeatWithSequence is sendHeartbeat with a given sequence number.
func sendHeartbeatWithSequence(c *Controller, at micros, host string, epoch, sequence int) (call *Call, answer *Reply) {
	body := fmt.Sprintf(`{"host":%q,"addr":"w:9","flavor":"f","region":"z","reclaimable":false,"tenure":1,"tick":%d,"epoch":%d,"shards":[]}`, host, sequence, epoch)
	for _, e := range c.Step(instant{Steady: at}, NewWorkerHeartbeat(ReplyAddress{}, []byte(body), false)) {
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

// peerFrame encodes a message between controllers.
func peerFrame(m *protocol.PeerMessage) []byte {
	frame, _, _ := protocol.SplitPeer(protocol.AppendPeer(nil, m))
	return frame
}

// A worker that has not worked under the current leader must be redirected to it. A worker that has
// can't reach the leader any more, so its heartbeat must be forwarded; the same holds for a worker
// that was redirected and returns. The leader's answer must be returned unchanged.
func TestHeartbeatsAreForwarded(t *testing.T) {
	c := newFollower(t)
	sec := protocol.Second
	if call, answer := sendHeartbeat(c, sec, "new", 2); call != nil || answer == nil || answer.Status != 421 {
		t.Errorf("a worker of an earlier epoch was not redirected: call %+v, answer %+v", call, answer)
	}
	call, answer := sendHeartbeat(c, sec, "lost", 3)
	if call == nil || answer != nil {
		t.Fatalf("the heartbeat of a worker that lost the leader was not forwarded: call %+v, answer %+v", call, answer)
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
		t.Errorf("the leader's answer was not returned unchanged: %+v", got)
	}
	// The worker is then redirected to the leader. If it returns, its heartbeat is forwarded again.
	if call, answer := sendHeartbeat(c, 6*sec, "lost", 3); call != nil || answer == nil || answer.Status != 421 {
		t.Errorf("the worker was not redirected again: call %+v, answer %+v", call, answer)
	}
	if call, _ := sendHeartbeat(c, 11*sec, "lost", 3); call == nil {
		t.Error("the heartbeat of a worker that returned was not forwarded")
	}
	if call, _ := sendHeartbeat(c, 11*sec, "new", 2); call == nil {
		t.Error("the heartbeat of a worker that never reached the leader was not forwarded")
	}
}

// A late copy of a heartbeat does not show whom the worker can reach. It must be neither forwarded
// nor counted as a contact of the worker, whether or not the worker still contacts this controller.
func TestDuplicateHeartbeatsAreIgnored(t *testing.T) {
	c := newFollower(t)
	sec := protocol.Second
	if _, answer := sendHeartbeatWithSequence(c, sec, "w", 2, 7); answer == nil || answer.Status != 421 {
		t.Fatalf("the worker was not redirected: %+v", answer)
	}
	n, _ := c.router.summarizeRedirectedWorkers()
	for sequence := 7; sequence > 4; sequence-- {
		if call, answer := sendHeartbeatWithSequence(c, 5*sec, "w", 2, sequence); call != nil || answer == nil || answer.Status != 421 {
			t.Errorf("a copy with sequence %d was not redirected: call %+v, answer %+v", sequence, call, answer)
		}
	}
	if got, _ := c.router.summarizeRedirectedWorkers(); n != 1 || got != 1 {
		t.Errorf("%d redirected workers before the copies and %d after, want 1 and 1", n, got)
	}
	c.Step(instant{Steady: 20 * sec}, Tick{})
	if got, _ := c.router.summarizeRedirectedWorkers(); got != 0 {
		t.Errorf("copies counted as contacts of their worker: %d redirected workers", got)
	}
	if call, _ := sendHeartbeatWithSequence(c, 21*sec, "w", 3, 8); call == nil {
		t.Error("the heartbeat of a worker that lost the leader was not forwarded")
	}
}

// A controller of the previous version does not support forwarded heartbeats, and answers them like
// any unknown message. The worker must then be redirected to it, and no other heartbeats may be
// forwarded for a while.
func TestHeartbeatsAreNotForwardedToOlderController(t *testing.T) {
	c := newFollower(t)
	call, _ := sendHeartbeat(c, protocol.Second, "lost", 3)
	if call == nil {
		t.Fatal("the heartbeat was not forwarded")
	}
	var got *Reply
	for _, e := range c.Step(instant{Steady: protocol.Second + 1}, CallResult{ID: call.ID, Status: 200, Body: peerFrame(&protocol.PeerMessage{Kind: protocol.PeerResponse})}) {
		if r, ok := e.(Reply); ok {
			got = &r
		}
	}
	if got == nil || got.Status != 421 || !strings.Contains(string(got.Body), "n1") {
		t.Errorf("the worker was not redirected to n1: %+v", got)
	}
	if call, answer := sendHeartbeat(c, 2*protocol.Second, "other", 3); call != nil || answer == nil || answer.Status != 421 {
		t.Errorf("another worker was not redirected: call %+v, answer %+v", call, answer)
	}
}

// A leader may hold a submission or a cancellation for longer than a query. A controller that was
// in contact with the leader recently must wait that long, and must not consider the leader dead
// if there was contact meanwhile.
func TestLiveLeaderIsWaitedFor(t *testing.T) {
	c := newFollower(t)
	sec := protocol.Second
	sendStatusRequest := func(at micros) {
		c.Step(instant{Steady: at}, PeerStatusRequest{Epoch: 3, From: "n1", Body: protocol.AppendHandoverState(nil, protocol.HandoverState{})})
	}
	cancel := func(at micros) *Call {
		for _, e := range c.Step(instant{Steady: at}, NewUserRequest(ReplyAddress{}, protocol.OpCancel, "req-000001", nil)) {
			if call, ok := e.(Call); ok && call.Target == ToPeer {
				return &call
			}
		}
		return nil
	}
	if call := cancel(sec); call == nil || call.Timeout != forwardTimeout {
		t.Fatalf("call to a leader without contact lacks forwardTimeout: %+v", call)
	}
	sendStatusRequest(9 * sec)
	call := cancel(10 * sec)
	if call == nil || call.Timeout != liveLeaderTimeout {
		t.Fatalf("call to a leader with contact a second ago lacks liveLeaderTimeout: %+v", call)
	}
	sendStatusRequest(11 * sec)
	c.Step(instant{Steady: 12 * sec}, CallResult{ID: call.ID})
	call = cancel(12*sec + 1)
	if call == nil {
		t.Fatal("a leader that sent a status request meanwhile counts as dead")
	}
	c.Step(instant{Steady: 15 * sec}, CallResult{ID: call.ID})
	if cancel(15*sec+1) != nil {
		t.Error("a request was forwarded to a leader without contact since its unanswered call")
	}
}
