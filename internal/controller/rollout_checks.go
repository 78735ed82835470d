package controller

import (
	"strconv"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
)

// checkBackoff is how long a controller makes no checks after one was disputed.
const checkBackoff = 20 * protocol.Second

// statusNoAnswer is the status of an instance that gives none; the body says why. 0 is that
// of a check that this node could not make.
const statusNoAnswer = 599

// checkInstance has an instance checked. The leader is asked last: its turns are for
// what nobody else can do, and a check by another node costs it a frame.
func (rd *rolloutDriver) checkInstance(t *leaderTerm, e rollout.Check) {
	end := func(made, ok bool, by, why string) {
		outcome := "unmade"
		switch {
		case made && ok:
			outcome = "passed"
		case made:
			outcome = "failed"
		}
		rd.stats.Checks[outcome]++
		if rd.term == t {
			rd.stepRollouts(rollout.Checked{ID: e.ID, Made: made, OK: ok, By: by, Why: why})
		}
	}
	judge := func(by string, status int, body []byte) {
		switch {
		case status == 0:
			end(false, false, by, "") // it could not be made: nothing was learnt
		case status >= 200 && status < 300:
			end(true, true, by, "")
		case status == statusNoAnswer:
			end(true, false, by, string(body[:min(len(body), 80)]))
		default:
			end(true, false, by, "status "+strconv.Itoa(status))
		}
	}
	at := rd.now.Steady
	not := make(map[string]bool, len(e.Not))
	for _, n := range e.Not {
		not[n] = true
	}
	siblings := rd.platform.Peers
	for _, bold := range []bool{false, true} { // those that others disputed come after this node
		if bold && !not[rd.platform.ControllerName] {
			break
		}
		for i := range siblings {
			s := siblings[(t.rollouts.nextChecker+i)%len(siblings)]
			if o := t.peers.statuses[s.Name]; not[s.Name] || o.statusAt == 0 || at-o.statusAt > peerStatusLifetime || !bold && at < t.rollouts.checkBackoffUntil[s.Name] {
				continue
			}
			t.rollouts.nextChecker += i + 1
			frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerHealthCheck, Check: e.Kind, Addr: e.Addr, Path: e.Path, Timeout: e.Timeout})
			rd.callAddress(ToPeer, "", s.Address, "", frame, e.Timeout+protocol.Second, func(d CallResult) {
				if m := rd.membership.parsePeerResponse(d); m != nil {
					judge(s.Name, int(m.Status), m.Body)
					return
				}
				judge(s.Name, 0, nil)
			})
			return
		}
	}
	if not[rd.platform.ControllerName] {
		rd.after(0, func() { end(false, false, "", "") })
		return
	}
	rd.sendCheck(e.Kind, e.Addr, e.Path, e.Timeout, func(status int, body []byte) { judge(rd.platform.ControllerName, status, body) })
}

// sendCheck makes a check from this node.
func (rd *rolloutDriver) sendCheck(kind protocol.CheckKind, addr, path string, timeout micros, done func(status int, body []byte)) {
	method := "GET"
	if kind == protocol.CheckTCP {
		method = "" // a connection, and nothing more
	}
	rd.callAddress(ToInstance, method, addr, path, nil, timeout, func(d CallResult) {
		switch {
		case d.ConnectionRefused:
			done(statusNoAnswer, []byte("no connection"))
		case d.NotSent:
			done(0, nil)
		case d.Status == 0:
			done(statusNoAnswer, []byte("time-out, or no sound answer"))
		default:
			done(d.Status, nil)
		}
	})
}

// onHealthCheckRequest makes a check for the leader.
func (rd *rolloutDriver) onHealthCheckRequest(e HealthCheckRequest) {
	rd.sendCheck(e.Kind, e.Addr, e.Path, e.Timeout, func(status int, body []byte) {
		rd.reply(e.Reply, status, body, 0)
	})
}
