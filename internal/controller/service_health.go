package controller

import (
	"bytes"
	"net/http"

	"mapleslip/internal/protocol"
)

// ServiceState is the availability of an external service.
type ServiceState uint8

// States of an external service.
const (
	ServiceAnswering   ServiceState = iota
	ServiceFailing                  // calls failed, but too few or too briefly to be logged
	ServiceUnreachable              // logged as unreachable
)

func (s ServiceState) String() string { return [...]string{"answering", "failing", "unreachable"}[s] }

// serviceHealth tracks the availability of an external service.
type serviceHealth struct {
	name        string
	state       ServiceState
	since       micros
	failedCalls int
	isAnswer    func(r CallResult) bool // whether a 503 counts as an answer; nil if none does
}

// A service counts as unreachable after this number of consecutive failed calls over at least this
// time, since single answers are lost occasionally.
const (
	unreachableAfterCalls = 3
	unreachableAfter      = protocol.Second
)

// setState changes the state of a service. No other function assigns it.
func (h *serviceHealth) setState(s ServiceState, since micros) {
	h.state, h.since, h.failedCalls = s, since, 0
}

// observeServiceCall updates the health of a service from the result of a call. A call that was
// not attempted gives no information.
func (env *environment) observeServiceCall(h *serviceHealth, r CallResult) {
	if r.notAttempted() {
		return
	}
	now := env.now.Steady
	failure := callFailure(r)
	if failure == "" || h.isAnswer != nil && h.isAnswer(r) {
		if h.state == ServiceUnreachable {
			env.log.Info(h.name+" answers again", "after_ms", int64((now-h.since)/protocol.Millisecond))
		}
		h.setState(ServiceAnswering, now)
		return
	}
	switch h.state {
	case ServiceAnswering:
		h.setState(ServiceFailing, now)
		h.failedCalls = 1
	case ServiceFailing:
		h.failedCalls++
		if h.failedCalls >= unreachableAfterCalls && now-h.since >= unreachableAfter {
			h.setState(ServiceUnreachable, h.since)
			env.log.Warn(h.name+" is unreachable", "err", failure, "calls", unreachableAfterCalls)
		}
	case ServiceUnreachable:
	}
}

// callFailure describes how a call failed. It returns "" if the call did not fail.
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

// isNoCapacity reports whether the cloud answered that it has no capacity for the requested
// machines.
func isNoCapacity(r CallResult) bool {
	return r.Status == http.StatusServiceUnavailable && !r.ConnectionRefused && bytes.Contains(r.Body, []byte("no capacity"))
}
