package controller

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"mapleslip/internal/protocol"
)

// newLoggedController returns a follower and the buffer that contains its log.
func newLoggedController() (*Controller, *bytes.Buffer) {
	var log bytes.Buffer
	p := &protocol.Platform{ControllerName: "n0", Peers: []protocol.Peer{{Name: "n1", Address: "n1"}}, StateRequestRate: 100, StateWriteRate: 20}
	return New(p, protocol.DefaultOperatorSettings(), 1, slog.New(slog.NewTextHandler(&log, nil))), &log
}

// An unreachable service must be logged with one warning when the outage begins and one line when
// it ends, regardless of its duration; earlier, outages were not logged. Occasional lost answers
// are no outage, and neither is a cloud without capacity: its 503 is an answer, and must not count
// as a failed call, as it first did.
func TestUnreachableServiceIsLoggedOnce(t *testing.T) {
	c, log := newLoggedController()
	observe := func(h *serviceHealth, after micros, r CallResult) {
		c.now.Steady += after
		c.observeServiceCall(h, r)
	}
	for range 5 {
		observe(&c.membership.stateServiceHealth, protocol.Second, CallResult{})
		observe(&c.membership.stateServiceHealth, protocol.Second, CallResult{Status: 200})
		observe(&c.membership.cloudHealth, protocol.Second, CallResult{Status: 503, Body: []byte(`{"error":"no capacity"}`)})
		observe(&c.membership.stateServiceHealth, 0, CallResult{NotSent: true}) // no failure
	}
	// Many failures at the same time are one lost connection, not an outage.
	for range 10 {
		observe(&c.membership.stateServiceHealth, 0, CallResult{})
	}
	if log.Len() > 0 {
		t.Errorf("an outage was logged without one: %s", log)
	}
	observe(&c.membership.stateServiceHealth, 0, CallResult{Status: 404})
	for range 100 {
		observe(&c.membership.stateServiceHealth, protocol.Second/2, CallResult{Status: 503})
		observe(&c.membership.cloudHealth, protocol.Second/2, CallResult{ConnectionRefused: true, NotSent: true})
	}
	observe(&c.membership.stateServiceHealth, 0, CallResult{Status: 200})
	observe(&c.membership.cloudHealth, 0, CallResult{Status: 200})
	text := log.String()
	for _, line := range []string{
		`level=WARN msg="the state service is unreachable" err="service unavailable"`, `level=WARN msg="the cloud is unreachable" err="connection refused"`,
		`level=INFO msg="the state service answers again" after_ms=`, `level=INFO msg="the cloud answers again" after_ms=`,
	} {
		if strings.Count(text, line) != 1 {
			t.Errorf("logged %d times, want once: %s", strings.Count(text, line), line)
		}
	}
	if n := strings.Count(text, "\n"); n != 4 {
		t.Errorf("%d lines in the log, want 4:\n%s", n, text)
	}
}

// Refused requests must be answered at once, counted by reason, and logged every few seconds while
// there are new ones.
func TestRefusalsAreCounted(t *testing.T) {
	c, log := newLoggedController()
	c.Start(instant{})
	body := []byte(`{"ref":"req-000001","jobclass":"x","owner":"t","shape":"array","rank":"high","shards":1,"cores":1,"gpus":0,"memoryGb":1,"bundle":"i","sizeGb":1,` +
		`"flavors":null,"region":null,"samePlace":false,"apart":false,"reclaimable":false,"expectS":5,"snapshotEveryS":0,"snapshotS":0,"dueS":null}`)
	answered := 0
	var collect func(effects []Effect)
	collect = func(effects []Effect) {
		for _, e := range effects {
			switch e := e.(type) {
			case Reply:
				if e.Status == 503 && e.RetryAfter > 0 {
					answered++
				}
			case Call:
				if strings.HasPrefix(e.Path, "/store/types") {
					collect(c.Step(c.now, CallResult{ID: e.ID, Status: 404, Body: []byte(`{"generation":1}`)}))
				}
			}
		}
	}
	for i := range 3 {
		collect(c.Step(instant{Steady: protocol.Second + micros(i)}, NewUserRequest(ReplyAddress{}, protocol.OpSubmit, "", body)))
		collect(c.Step(instant{Steady: protocol.Second + micros(i)}, NewUserRequest(ReplyAddress{}, protocol.OpCancel, "req-000002", nil)))
	}
	s := c.Snapshot()
	if answered != 6 || s.Refused[string(refusalMachineTypes)] != 3 || s.Refused[string(refusalNoLeader)] != 3 || s.Hosts != nil {
		t.Errorf("%d of 6 requests were refused, counts %v", answered, s.Refused)
	}
	c.Step(instant{Steady: 2 * protocol.Second}, Tick{})
	c.Step(instant{Steady: 30 * protocol.Second}, Tick{})
	if n := strings.Count(log.String(), "requests refused"); n != 2 {
		t.Errorf("refusals were logged %d times, want 2:\n%s", n, log)
	}
}
