package controller

import (
	"net/http"
	"strconv"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
)

// checkBackoff is how long a controller is the last choice for checks after one of its checks was
// disputed.
const checkBackoff = 20 * protocol.Second

// Statuses of checks without an HTTP status. They are part of the protocol among controllers.
const (
	// statusNotChecked is the status of a check that the controller could not make.
	statusNotChecked = 0
	// statusNoAnswer is the status of a check that got no valid answer from the instance. The body
	// has the reason.
	statusNoAnswer = 599
)

// maxCheckReason limits the reason for a failed check, in bytes.
const maxCheckReason = 80

// Outcomes of checks, as labels of a metric.
const (
	checkPassed  = "passed"
	checkFailed  = "failed"
	checkNotMade = "unmade"
)

// checkInstance has another controller check an instance. The leader makes the check only if no
// other controller without a disputed check can: its time is needed for work that no other
// controller can do, and a delegated check costs it one frame.
func (rd *rolloutDriver) checkInstance(t *leaderTerm, e rollout.Check) {
	excluded := make(map[string]bool, len(e.Except))
	for _, name := range e.Except {
		excluded[name] = true
	}
	self := rd.platform.ControllerName
	if rd.delegateCheck(t, e, excluded, false) {
		return
	}
	if !excluded[self] {
		rd.sendCheck(e.Kind, e.Addr, e.Path, e.Timeout, func(status int, body []byte) { rd.onChecked(t, e.ID, self, status, body) })
		return
	}
	// The last choice are controllers whose checks were disputed.
	if !rd.delegateCheck(t, e, excluded, true) {
		rd.after(0, func() { rd.finishCheck(t, rollout.Checked{ID: e.ID}) })
	}
}

// delegateCheck has another controller make a check. A controller whose check was disputed within
// checkBackoff is used only if disputed is true. It returns false if no controller is available.
func (rd *rolloutDriver) delegateCheck(t *leaderTerm, e rollout.Check, excluded map[string]bool, disputed bool) bool {
	now := rd.now.Steady
	peers := rd.platform.Peers
	for i := range peers {
		p := peers[(t.rollouts.nextChecker+i)%len(peers)]
		if excluded[p.Name] || !t.peers.statuses[p.Name].isFresh(now) || !disputed && now < t.rollouts.checkBackoffUntil[p.Name] {
			continue
		}
		t.rollouts.nextChecker += i + 1
		m := &protocol.PeerMessage{Kind: protocol.PeerHealthCheck, Check: e.Kind, Addr: e.Addr, Path: e.Path, Timeout: e.Timeout}
		rd.sendPeer(p.Address, m, e.Timeout+protocol.Second, func(r CallResult) {
			status, body := statusNotChecked, []byte(nil)
			if response, ok := rd.membership.parsePeerResponse(r); ok {
				status, body = int(response.Status), response.Body
			}
			rd.onChecked(t, e.ID, p.Name, status, body)
		})
		return true
	}
	return false
}

// onChecked handles the result of a check that a controller made.
func (rd *rolloutDriver) onChecked(t *leaderTerm, id uint64, by string, status int, body []byte) {
	result := rollout.Checked{ID: id, Controller: by}
	switch {
	case status == statusNotChecked:
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		result.Made, result.OK = true, true
	case status == statusNoAnswer:
		result.Made, result.Failure = true, string(body[:min(len(body), maxCheckReason)])
	default:
		result.Made, result.Failure = true, "status "+strconv.Itoa(status)
	}
	rd.finishCheck(t, result)
}

func (rd *rolloutDriver) finishCheck(t *leaderTerm, result rollout.Checked) {
	outcome := checkNotMade
	switch {
	case result.Made && result.OK:
		outcome = checkPassed
	case result.Made:
		outcome = checkFailed
	}
	rd.stats.Checks[outcome]++
	if rd.term == t {
		rd.step(result)
	}
}

// sendCheck makes a check from this controller.
func (rd *rolloutDriver) sendCheck(kind protocol.CheckKind, addr, path string, timeout micros, done func(status int, body []byte)) {
	call := Call{Target: ToInstance, Method: http.MethodGet, Addr: addr, Path: path, Timeout: timeout}
	if kind == protocol.CheckTCP {
		call.Method = "" // only opens a connection
	}
	rd.send(call, func(r CallResult) {
		switch {
		case r.ConnectionRefused:
			done(statusNoAnswer, []byte("no connection"))
		case r.NotSent:
			done(statusNotChecked, nil)
		case r.Status == 0:
			done(statusNoAnswer, []byte("time-out, or no sound answer"))
		default:
			done(r.Status, nil)
		}
	})
}

// onHealthCheckRequest makes a check on behalf of the leader.
func (rd *rolloutDriver) onHealthCheckRequest(e HealthCheckRequest) {
	rd.sendCheck(e.Kind, e.Addr, e.Path, e.Timeout, func(status int, body []byte) { rd.reply(e.Reply, status, body) })
}
