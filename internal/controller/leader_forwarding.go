package controller

import (
	"net/http"

	"mapleslip/internal/protocol"
)

const (
	// forwardTimeout is how long the leader has to answer a forwarded request before this
	// controller serves the request from the state service.
	forwardTimeout = 600 * protocol.Millisecond
	// A leader that made contact within leaderAliveWindow has liveLeaderTimeout to answer a
	// submission or a cancellation, which it may hold for 1.5 s itself. With a shorter timeout, a
	// leader with a full second of submissions to write would count as dead, and this controller
	// would serve users from the state service, which is what that leader waits for.
	leaderAliveWindow = 1500 * protocol.Millisecond
	liveLeaderTimeout = 1900 * protocol.Millisecond
	// leaderSuspectTime is how long no requests are forwarded to a leader that did not answer.
	leaderSuspectTime = 2 * protocol.Second

	// MaxPeerCalls is the maximum number of concurrent calls from one controller to another.
	MaxPeerCalls = 24
	// maxForwardedSubmits is how many of these calls may be submissions that can wait.
	maxForwardedSubmits = MaxPeerCalls / 2
	// connectionWait is how long a request that can't wait is retried if no connection to the
	// leader is free. Connections used for users' queries become free again quickly.
	connectionWait  = 400 * protocol.Millisecond
	connectionRetry = connectionWait / 8
	// leaderKeyWait is how long a query waits for the first read of the leader key.
	// Users wait 2 s for the answer to a query.
	leaderKeyWait = protocol.Second
)

// forwardedRequest is a request that is being forwarded to the leader.
type forwardedRequest struct {
	UserRequest
	spec       *protocol.JobSpec // the job of a submission, nil for other requests
	receivedAt micros            // time at which the request arrived
	sentAt     micros
	epoch      uint64 // the epoch of the leader that it was sent to
	canWait    bool   // a submission that is not latency-critical, limited by maxForwardedSubmits
}

// forwardToLeader forwards a request that arrived at receivedAt to the leader, or serves it from
// the state service if the leader can't be reached.
func (g *userGateway) forwardToLeader(e UserRequest, spec *protocol.JobSpec, receivedAt micros) {
	f := forwardedRequest{
		UserRequest: e, spec: spec, receivedAt: receivedAt, sentAt: g.now.Steady, epoch: g.election.leader.Epoch,
		canWait: e.Op == protocol.OpSubmit && !g.submissions.isLatencyCritical(spec),
	}
	if f.canWait && g.forwardedSubmits >= maxForwardedSubmits {
		g.serveUnforwarded(f, f.sentAt-leaderAliveWindow)
		return
	}
	if f.canWait {
		g.forwardedSubmits++
	}
	finished := func() {
		if f.canWait {
			g.forwardedSubmits--
		}
	}
	sent := g.callLeader(e, g.forwardTimeout(e), finished, func(r CallResult) { g.onForwardFailed(f, r) })
	if sent {
		return
	}
	finished()
	if g.awaitsLeaderKey(f) {
		g.after(connectionRetry, func() { g.retryForward(f) })
		return
	}
	g.serveWithoutLeader(e, spec)
}

// awaitsLeaderKey reports whether a query waits because this controller has just started and doesn't
// know yet who leads: a job's record does not show whether its tasks run.
func (g *userGateway) awaitsLeaderKey(f forwardedRequest) bool {
	unknown := !g.election.leaderKeyRead && g.election.leader.Controller == ""
	return unknown && f.Op == protocol.OpQuery && g.now.Steady-f.receivedAt < leaderKeyWait
}

// lastLeaderContact returns when this controller last received a status request or an answer from
// the leader.
func (g *userGateway) lastLeaderContact() micros {
	return max(g.membership.leaderContactAt, g.membership.leaderAnsweredAt)
}

// forwardTimeout returns how long the leader has to answer a request.
func (g *userGateway) forwardTimeout(e UserRequest) micros {
	contactAt := g.lastLeaderContact()
	if e.Op != protocol.OpQuery && contactAt > 0 && g.now.Steady-contactAt <= leaderAliveWindow {
		return liveLeaderTimeout
	}
	return forwardTimeout
}

// onForwardFailed continues with a request that the leader did not serve: it serves the request
// in another way, or retries it.
func (g *userGateway) onForwardFailed(f forwardedRequest, r CallResult) {
	notAttempted := r.notAttempted()
	sameLeader := g.election.leader.Epoch == f.epoch
	if sameLeader && r.Status != http.StatusOK && !notAttempted && g.lastLeaderContact() < f.sentAt {
		g.election.leaderSuspectUntil = g.now.Steady + leaderSuspectTime
	}
	if g.election.mayActAsLeader() {
		g.onUserRequest(f.UserRequest) // this controller has become the leader meanwhile
		return
	}
	if notAttempted && !f.canWait && f.Op != protocol.OpQuery && g.now.Steady-f.receivedAt < connectionWait {
		g.after(connectionRetry, func() { g.retryForward(f) })
		return
	}
	if !sameLeader {
		g.serveWithoutLeader(f.UserRequest, f.spec)
		return
	}
	since := f.sentAt
	if notAttempted {
		since -= leaderAliveWindow
	}
	g.serveUnforwarded(f, since)
}

// serveUnforwarded serves a request that the leader has not accepted. A submission is refused, and
// the user has to repeat it, if the leader has answered this controller after since: the leader is
// alive and has more to write than its rate allows. Further writes by this controller would only
// make the state service refuse the leader's writes of launches.
func (g *userGateway) serveUnforwarded(f forwardedRequest, since micros) {
	if f.Op == protocol.OpSubmit && g.membership.leaderAnsweredAt > since {
		g.refuse(f.Reply, refusalSubmitRate)
		return
	}
	g.serveWithoutLeader(f.UserRequest, f.spec)
}

// retryForward forwards a request again for which no connection to the leader was free.
func (g *userGateway) retryForward(f forwardedRequest) {
	if g.election.mayActAsLeader() {
		g.onUserRequest(f.UserRequest) // this controller has become the leader meanwhile
		return
	}
	g.forwardToLeader(f.UserRequest, f.spec, f.receivedAt)
}

// forwardLeaderOnly forwards a request that arrived at receivedAt and that only the leader can
// serve: an operator's request about roll-outs or the configuration. If no connection is free, it
// retries for connectionWait, since submissions may use all connections at the moment.
func (g *userGateway) forwardLeaderOnly(e UserRequest, timeout, receivedAt micros) {
	if g.election.mayActAsLeader() {
		g.onUserRequest(e) // this controller has become the leader meanwhile
		return
	}
	onFailed := func(r CallResult) {
		if r.notAttempted() && g.now.Steady-receivedAt < connectionWait {
			g.after(connectionRetry, func() { g.forwardLeaderOnly(e, timeout, receivedAt) })
			return
		}
		g.refuse(e.Reply, refusalNoLeader)
	}
	if !g.callLeader(e, timeout, func() {}, onFailed) {
		onFailed(CallResult{})
	}
}

// callLeader forwards a request to the leader and sends the leader's answer to the user. It
// returns false if there is no leader to forward to. finished is called when the call has ended;
// if the leader did not serve the request, onFailed is called after it.
func (g *userGateway) callLeader(e UserRequest, timeout micros, finished func(), onFailed func(CallResult)) bool {
	addr := g.membership.peerAddress(g.election.leader.Controller)
	if addr == "" || g.now.Steady < g.election.leaderSuspectUntil || g.election.role.leads() {
		return false
	}
	m := &protocol.PeerMessage{Kind: protocol.PeerUserRequest, Op: e.Op, Ref: e.Ref, From: g.platform.ControllerName, Body: e.Body}
	g.sendPeer(addr, m, timeout, func(r CallResult) {
		finished()
		if m, ok := g.membership.parsePeerResponse(r); ok {
			g.membership.leaderAnsweredAt = g.now.Steady
			if e.Op == protocol.OpQuery && m.Status == http.StatusOK {
				g.directory.observeAnswer(e.Ref, answerFromLeader, m.Body)
			}
			g.replyAfter(e.Reply, int(m.Status), m.Body, m.RetryAfter)
			return
		}
		g.election.recheckLeader()
		onFailed(r)
	})
	return true
}
