package controller

import (
	"bytes"

	"mapleslip/internal/protocol"
)

// ServiceState is whether a service outside answers.
type ServiceState uint8

// States of a service outside.
const (
	ServiceAnswering   ServiceState = iota
	ServiceFailing                  // the last calls failed, for too short a time to say so
	ServiceUnreachable              // told in the log
)

func (r ServiceState) String() string { return [...]string{"answering", "failing", "unreachable"}[r] }

// serviceHealth is what is known of a service outside.
type serviceHealth struct {
	name        string
	state       ServiceState
	since       micros
	failedCalls int
}

// A service counts as unreachable after that many calls have failed in a row,
// over at least that time: single answers are lost now and then.
const (
	unreachableAfterCalls = 3
	unreachableAfter      = protocol.Second
)

// redirectedEpoch is the one place where what is known of a service changes its state.
func (r *serviceHealth) setState(s ServiceState, at micros) {
	r.state, r.since, r.failedCalls = s, at, 0
}

// observeServiceCall takes the end of a call. A call that this node did not send says nothing.
func (env *environment) observeServiceCall(r *serviceHealth, d CallResult) {
	at := env.now.Steady
	if d.notAttempted() {
		return
	}
	why := ""
	switch {
	case d.ConnectionRefused:
		why = "refused"
	case d.Status == 0:
		why = "no answer"
	case d.Status == 503:
		why = "503"
	}
	if why == "" || why == "503" && r == &env.cloudHealth && isNoCapacity(d.Body) {
		if r.state == ServiceUnreachable {
			env.log.Info(r.name+" answers again", "after_ms", int64((at-r.since)/protocol.Millisecond))
		}
		r.setState(ServiceAnswering, at)
		return
	}
	switch r.state {
	case ServiceAnswering:
		r.setState(ServiceFailing, at)
		r.failedCalls = 1
	case ServiceFailing:
		if r.failedCalls++; r.failedCalls >= unreachableAfterCalls && at-r.since >= unreachableAfter {
			since := r.since
			r.setState(ServiceUnreachable, since)
			env.log.Warn(r.name+" can't be reached", "why", why, "calls", unreachableAfterCalls)
		}
	}
}

// isNoCapacity is the cloud's answer that it has no such machines left: it answers.
func isNoCapacity(body []byte) bool { return bytes.Contains(body, []byte("no capacity")) }
