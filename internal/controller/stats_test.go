package controller

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"mapleslip/internal/protocol"
)

// newLoggedController makes a follower, and the buffer that it logs to.
func newLoggedController() (*Controller, *bytes.Buffer) {
	var log bytes.Buffer
	p := &protocol.Platform{ControllerName: "n0", Peers: []protocol.Peer{{Name: "n1", Address: "n1"}}, StateRequestRate: 100, StateWriteRate: 20}
	return New(p, protocol.DefaultOperatorSettings(), 1, slog.New(slog.NewTextHandler(&log, nil))), &log
}

// A service that can't be reached has one warning when that begins and one line
// when it ends, however long it lasts. The log once said nothing of it. An answer
// lost now and then is no reason, nor is a cloud that has no machines left: its 503
// is an answer, and was taken for an outage at first.
func TestUnreachableServiceIsLoggedOnce(t *testing.T) {
	c, log := newLoggedController()
	end := func(r *serviceHealth, after micros, d CallResult) {
		c.now.Steady += after
		c.observeServiceCall(r, d)
	}
	for range 5 {
		end(&c.membership.stateServiceHealth, protocol.Second, CallResult{})
		end(&c.membership.stateServiceHealth, protocol.Second, CallResult{Status: 200})
		end(&c.membership.cloudHealth, protocol.Second, CallResult{Status: 503, Body: []byte(`{"error":"no capacity"}`)})
		end(&c.membership.stateServiceHealth, 0, CallResult{NotSent: true}) // of its rate: says nothing
	}
	// Many failures at one moment are one lost connection, not an outage.
	for range 10 {
		end(&c.membership.stateServiceHealth, 0, CallResult{})
	}
	if log.Len() > 0 {
		t.Errorf("logged without reason: %s", log)
	}
	end(&c.membership.stateServiceHealth, 0, CallResult{Status: 404})
	for range 100 {
		end(&c.membership.stateServiceHealth, protocol.Second/2, CallResult{Status: 503})
		end(&c.membership.cloudHealth, protocol.Second/2, CallResult{ConnectionRefused: true, NotSent: true})
	}
	end(&c.membership.stateServiceHealth, 0, CallResult{Status: 200})
	end(&c.membership.cloudHealth, 0, CallResult{Status: 200})
	text := log.String()
	for _, line := range []string{
		`level=WARN msg="the state service is unreachable" err="service unavailable"`, `level=WARN msg="the cloud is unreachable" err="connection refused"`,
		`level=INFO msg="the state service answers again" after_ms=`, `level=INFO msg="the cloud answers again" after_ms=`,
	} {
		if strings.Count(text, line) != 1 {
			t.Errorf("%d times: %s", strings.Count(text, line), line)
		}
	}
	if n := strings.Count(text, "\n"); n != 4 {
		t.Errorf("%d lines:\n%s", n, text)
	}
}

// What is refused is answered at once, counted by reason, and told of every few
// seconds while there is any.
func TestRefusalsAreCounted(t *testing.T) {
	c, log := newLoggedController()
	c.Start(instant{})
	body := []byte(`{"ref":"req-000001","jobclass":"x","owner":"t","shape":"array","rank":"high","shards":1,"cores":1,"gpus":0,"memoryGb":1,"bundle":"i","sizeGb":1,` +
		`"flavors":null,"region":null,"samePlace":false,"apart":false,"reclaimable":false,"expectS":5,"snapshotEveryS":0,"snapshotS":0,"dueS":null}`)
	answered := 0
	var note func(effects []Effect)
	note = func(effects []Effect) {
		for _, e := range effects {
			switch e := e.(type) {
			case Reply:
				if e.Status == 503 && e.RetryAfter > 0 {
					answered++
				}
			case Call:
				if strings.HasPrefix(e.Path, "/store/types") {
					note(c.Step(c.now, CallResult{ID: e.ID, Status: 404, Body: []byte(`{"generation":1}`)}))
				}
			}
		}
	}
	for i := range 3 {
		note(c.Step(instant{Steady: protocol.Second + micros(i)}, UserRequest{Op: protocol.OpSubmit, Body: body}))
		note(c.Step(instant{Steady: protocol.Second + micros(i)}, UserRequest{Op: protocol.OpCancel, Ref: "req-000002"}))
	}
	s := c.Snapshot()
	if answered != 6 || s.Refused[string(refusalMachineTypes)] != 3 || s.Refused[string(refusalNoLeader)] != 3 || s.Hosts != nil {
		t.Errorf("%d answered, %v", answered, s.Refused)
	}
	c.Step(instant{Steady: 2 * protocol.Second}, Tick{})
	c.Step(instant{Steady: 30 * protocol.Second}, Tick{})
	if n := strings.Count(log.String(), "requests refused"); n != 2 {
		t.Errorf("logged %d times:\n%s", n, log)
	}
}
