package controller

import (
	"net/http"

	"mapleslip/internal/protocol"
)

const (
	// forwardTimeout is how long the leader has to answer a forwarded request before this
	// controller goes to the state service itself.
	forwardTimeout = 600 * protocol.Millisecond
	// A leader that was heard within leaderAliveWindow has liveLeaderTimeout for a submission or
	// a cancellation, which it may keep for a second and a half itself. With less, a leader with
	// a full second of submissions to write would count as dead, and users be sent to the state
	// service, which is what it waits for.
	leaderAliveWindow = 1500 * protocol.Millisecond
	liveLeaderTimeout = 1900 * protocol.Millisecond
	// leaderSuspectTime is how long a leader is not asked that did not answer.
	leaderSuspectTime = 2 * protocol.Second

	// MaxPeerCalls is how many calls to another controller a controller makes at once.
	MaxPeerCalls = 24
	// maxForwardedSubmits is how many of them may be submissions that can wait.
	maxForwardedSubmits = MaxPeerCalls / 2
	// connectionWait is how long what can't wait looks for a connection: those of users' queries
	// are free again at any moment.
	connectionWait  = 400 * protocol.Millisecond
	connectionRetry = connectionWait / 8
)

// forwardedRequest is a request on its way to the leader.
type forwardedRequest struct {
	UserRequest
	spec       *protocol.JobSpec // of a submission
	receivedAt micros            // when the request came in
	sentAt     micros
	epoch      uint64 // of the leader that it was sent to
	canWait    bool   // a submission that leaves connections for what can't wait
}

// forwardToLeader forwards a request that came in at an instant to the leader, or serves it
// from the state service where the leader can't be reached.
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
	if !sent {
		finished()
		g.serveWithoutLeader(e, spec)
	}
}

// leaderHeardAt is when the leader was last heard.
func (g *userGateway) leaderHeardAt() micros {
	return max(g.membership.leaderContactAt, g.membership.leaderAnsweredAt)
}

// forwardTimeout is how long the leader has to answer a request.
func (g *userGateway) forwardTimeout(e UserRequest) micros {
	heardAt := g.leaderHeardAt()
	if e.Op != protocol.OpQuery && heardAt > 0 && g.now.Steady-heardAt <= leaderAliveWindow {
		return liveLeaderTimeout
	}
	return forwardTimeout
}

// onForwardFailed goes on with a request that the leader did not serve.
func (g *userGateway) onForwardFailed(f forwardedRequest, r CallResult) {
	notAttempted := r.notAttempted()
	sameLeader := g.election.leader.Epoch == f.epoch
	if sameLeader && r.Status != http.StatusOK && !notAttempted && g.leaderHeardAt() < f.sentAt {
		g.election.leaderSuspectUntil = g.now.Steady + leaderSuspectTime
	}
	if g.election.mayActAsLeader() {
		g.onUserRequest(f.UserRequest) // this controller has come to lead meanwhile
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

// serveUnforwarded serves a request that the leader has not taken. A submission has to come
// again if the leader has answered this controller since an instant: it is there, and has more
// to write than it can. What would be written from here besides only has the state service
// refuse the leader's launches.
func (g *userGateway) serveUnforwarded(f forwardedRequest, since micros) {
	if f.Op == protocol.OpSubmit && g.membership.leaderAnsweredAt > since {
		g.refuse(f.Reply, refusalSubmitRate)
		return
	}
	g.serveWithoutLeader(f.UserRequest, f.spec)
}

// retryForward forwards a request again that found no connection to the leader.
func (g *userGateway) retryForward(f forwardedRequest) {
	if g.election.mayActAsLeader() {
		g.onUserRequest(f.UserRequest) // this controller has come to lead meanwhile
		return
	}
	g.forwardToLeader(f.UserRequest, f.spec, f.receivedAt)
}

// forwardLeaderOnly forwards a request that came in at an instant and that nobody else can
// serve: operators' requests about roll-outs and the configuration. It looks for a connection
// as what can't wait does: submissions may have all of them just then.
func (g *userGateway) forwardLeaderOnly(e UserRequest, timeout, receivedAt micros) {
	if g.election.mayActAsLeader() {
		g.onUserRequest(e) // this controller has come to lead meanwhile
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

// callLeader forwards a request to the leader, whose answer goes to whoever made the request,
// and reports whether there is a leader to forward to. finished is called when the call is
// over, and onFailed after it when the leader did not serve the request.
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
			g.replyAfter(e.Reply, int(m.Status), m.Body, m.RetryAfter)
			return
		}
		g.election.recheckLeader()
		onFailed(r)
	})
	return true
}
