package controller

import (
	"bytes"
	"net/http"

	"mapleslip/internal/protocol"
)

// ServiceState is whether an outside service answers.
type ServiceState uint8

// States of an outside service.
const (
	ServiceAnswering   ServiceState = iota
	ServiceFailing                  // the last calls failed, for too short a time to say so
	ServiceUnreachable              // logged as unreachable
)

func (s ServiceState) String() string { return [...]string{"answering", "failing", "unreachable"}[s] }

// serviceHealth is what is known of an outside service.
type serviceHealth struct {
	name        string
	state       ServiceState
	since       micros
	failedCalls int
	isAnswer    func(r CallResult) bool // whether a 503 is an answer all the same, nil: none is
}

// A service counts as unreachable after that many calls have failed in a row, over at least
// that time: single answers are lost now and then.
const (
	unreachableAfterCalls = 3
	unreachableAfter      = protocol.Second
)

// setState is the one place where what is known of a service changes its state.
func (h *serviceHealth) setState(s ServiceState, since micros) {
	h.state, h.since, h.failedCalls = s, since, 0
}

// observeServiceCall takes the result of a call. A call that was not sent from here says
// nothing.
func (env *environment) observeServiceCall(h *serviceHealth, r CallResult) {
	if r.notAttempted() {
		return
	}
	at := env.now.Steady
	failure := callFailure(r)
	if failure == "" || h.isAnswer != nil && h.isAnswer(r) {
		if h.state == ServiceUnreachable {
			env.log.Info(h.name+" answers again", "after_ms", int64((at-h.since)/protocol.Millisecond))
		}
		h.setState(ServiceAnswering, at)
		return
	}
	switch h.state {
	case ServiceAnswering:
		h.setState(ServiceFailing, at)
		h.failedCalls = 1
	case ServiceFailing:
		h.failedCalls++
		if h.failedCalls >= unreachableAfterCalls && at-h.since >= unreachableAfter {
			h.setState(ServiceUnreachable, h.since)
			env.log.Warn(h.name+" is unreachable", "err", failure, "calls", unreachableAfterCalls)
		}
	case ServiceUnreachable:
	}
}

// callFailure says how a call failed, "" if it did not.
func callFailure(r CallResult) string {
	switch {
	case r.ConnectionRefused:
		return "connection refused"
	case r.Status == 0:
		return "no answer"
	case r.Status == http.StatusServiceUnavailable:
		return "service unavailable"
	}
	return ""
}

// isNoCapacity reports whether the cloud answered that it has no such machines left.
func isNoCapacity(r CallResult) bool {
	return r.Status == http.StatusServiceUnavailable && !r.ConnectionRefused && bytes.Contains(r.Body, []byte("no capacity"))
}
