package main

import (
	"testing"
	"time"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
	"mapleslip/internal/transport"
)

// decodeTimeout is how long a test waits for a message to be decoded, in place of hanging.
const decodeTimeout = 10 * time.Second

// post returns a request with a body.
func post(path, body string) transport.Inbound {
	return transport.Inbound{HTTP: &transport.Request{Method: "POST", Path: path, Body: []byte(body)}}
}

// frameOf returns a message of another controller.
func frameOf(t *testing.T, m *protocol.PeerMessage) transport.Inbound {
	frame, _, err := protocol.SplitPeer(protocol.AppendPeer(nil, m))
	if err != nil {
		t.Fatal(err)
	}
	return transport.Inbound{Frame: frame}
}

// While the body of one submission is being decoded without an end, other submissions, heartbeats and
// frames are decoded, and messages without a body need no decoder.
func TestBodyOfUnknownCostHoldsUpNoOther(t *testing.T) {
	const harmful = "harmful"
	release, results := make(chan struct{}), make(chan decoded)
	d := startDecodersWith(func(m transport.Inbound) decoded {
		if m.HTTP != nil && string(m.HTTP.Body) == harmful {
			<-release
		}
		return decode(m)
	}, func(m decoded) { results <- m })
	defer close(release)
	receive := func(what string) decoded {
		select {
		case m := <-results:
			return m
		case <-time.After(decodeTimeout):
			t.Fatalf("%s is not decoded", what)
			return decoded{}
		}
	}
	harmfulSubmission := post("/api/jobs", harmful)
	d.queueOf(harmfulSubmission) <- harmfulSubmission
	for what, m := range map[string]transport.Inbound{
		"submission": post("/api/jobs", "{}"), "heartbeat": post("/hello", "{}"), "configuration": post("/api/config", "{}"),
		"forwarded submission": frameOf(t, &protocol.PeerMessage{Kind: protocol.PeerUserRequest, Op: protocol.OpSubmit, Body: []byte("{}")}),
		"forwarded heartbeat":  frameOf(t, &protocol.PeerMessage{Kind: protocol.PeerHeartbeat, Body: []byte("{}")}),
	} {
		queue := d.queueOf(m)
		if queue == nil {
			t.Fatalf("%s is decoded by the event loop", what)
		}
		queue <- m
		if got := receive(what); got.event == nil || got.about.Bytes == 0 {
			t.Errorf("%s: %+v", what, got)
		}
	}
	for what, m := range map[string]transport.Inbound{
		"health check":   {HTTP: &transport.Request{Method: "GET", Path: "/healthz"}},
		"query":          {HTTP: &transport.Request{Method: "GET", Path: "/api/jobs/req-000001"}},
		"cancellation":   {HTTP: &transport.Request{Method: "POST", Path: "/api/jobs/req-000001/cancel"}},
		"status request": frameOf(t, &protocol.PeerMessage{Kind: protocol.PeerStatusRequest, Epoch: 1, From: "n1"}),
	} {
		if d.queueOf(m) != nil {
			t.Errorf("%s waits for a decoder", what)
		}
	}
}

// Each request becomes the event of its path, or a reply that it is none.
func TestRoutes(t *testing.T) {
	for _, c := range []struct {
		method, path string
		kind         string
		op           protocol.UserOp
		ref          string
		status       int
	}{
		{"GET", "/healthz", "health", 0, "", 0},
		{"POST", "/healthz", "", 0, "", 405},
		{"POST", "/hello", "report", 0, "", 0},
		{"GET", "/hello", "", 0, "", 405},
		{"POST", "/api/jobs", "user", protocol.OpSubmit, "", 0},
		{"GET", "/api/jobs", "", 0, "", 405},
		{"GET", "/api/jobs/req-000001", "user", protocol.OpQuery, "req-000001", 0},
		{"POST", "/api/jobs/req-000001", "", 0, "", 405},
		{"POST", "/api/jobs/req-000001/cancel", "user", protocol.OpCancel, "req-000001", 0},
		{"GET", "/api/config", "user", protocol.OpConfig, "", 0},
		{"POST", "/api/config", "user", protocol.OpConfigApply, "", 0},
		{"GET", "/api/config/wait?revision=7", "user", protocol.OpConfigWait, "7", 0},
		{"GET", "/api/rollouts", "user", protocol.OpRollouts, "", 0},
		{"POST", "/api/rollouts", "user", protocol.OpRollout, "", 0},
		{"GET", "/api/rollouts/picker", "user", protocol.OpRolloutShow, "picker", 0},
		{"POST", "/api/rollouts/picker/revert", "user", protocol.OpRolloutRevert, "picker", 0},
		{"POST", "/api/rollouts/picker/other", "", 0, "", 404},
		{"GET", "/", "", 0, "", 404},
	} {
		r, _, err := transport.ParseRequest([]byte(c.method + " " + c.path + " HTTP/1.1\r\n\r\n"))
		if err != nil {
			t.Fatal(err)
		}
		got := decode(transport.Inbound{Conn: 3, HTTP: r})
		if got.kind != c.kind || got.reply.Status != c.status || (got.event == nil) != (c.status > 0) {
			t.Errorf("%s %s: kind %q, status %d", c.method, c.path, got.kind, got.reply.Status)
		}
		if e, ok := got.event.(controller.UserRequest); ok && (e.Op != c.op || e.Ref != c.ref || e.Reply.Conn != 3) {
			t.Errorf("%s %s: %+v", c.method, c.path, e)
		}
	}
}
