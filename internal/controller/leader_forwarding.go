package controller

import "mapleslip/internal/protocol"

// forwardTimeout is how long the leader has to answer a passed-on call before
// the node goes to the state service itself.
const forwardTimeout = 600 * protocol.Millisecond

// A leader that was heard within leaderAliveWindow has liveLeaderTimeout for a submission or a
// cancellation, which it may keep for a second and a half itself. With less, a leader
// with a full second of submissions to write counted as dead: users were sent to the
// state service, which was what it waited for.
const (
	leaderAliveWindow = 1500 * protocol.Millisecond
	liveLeaderTimeout = 1900 * protocol.Millisecond
)

// MaxPeerCalls is how many calls to another controller a node makes at once, maxForwardedSubmits how
// many of them may be submissions that can wait. What can't looks for a connection for
// connectionWait: those of users' questions are free again at any moment.
const (
	MaxPeerCalls        = 24
	maxForwardedSubmits = MaxPeerCalls / 2
	connectionWait      = 400 * protocol.Millisecond
)

// forwardToLeader gives a user's call to the leader, or goes to the state service
// where it can't be reached.
func (g *userGateway) forwardToLeader(e UserRequest, spec *protocol.JobSpec) {
	g.forwardToLeaderSince(e, spec, g.now.Steady)
}

// forwardToLeaderSince does so for a call that came in at that time.
func (g *userGateway) forwardToLeaderSince(e UserRequest, spec *protocol.JobSpec, came micros) {
	epoch, began := g.election.leader.Epoch, g.now.Steady
	timeout := forwardTimeout
	if heard := max(g.membership.leaderContactAt, g.membership.leaderAnsweredAt); e.Op != protocol.OpQuery && heard > 0 && began-heard <= leaderAliveWindow {
		timeout = liveLeaderTimeout
	}
	// Most submissions leave connections for what can't wait.
	waits := e.Op == protocol.OpSubmit && !g.submissions.isLatencyCritical(spec)
	if waits && g.forwardedSubmits >= maxForwardedSubmits {
		g.onForwardFailed(e, spec, began-leaderAliveWindow)
		return
	}
	if waits {
		g.forwardedSubmits++
	}
	over := func() {
		if waits {
			g.forwardedSubmits--
		}
	}
	sent := g.callLeader(e, timeout, over, func(r CallResult) {
		unmade := r.notAttempted()
		if g.election.leader.Epoch == epoch && r.Status != 200 && !unmade && max(g.membership.leaderContactAt, g.membership.leaderAnsweredAt) < began {
			g.election.leaderSuspectUntil = g.now.Steady + 2*protocol.Second
		}
		if g.election.mayActAsLeader() {
			g.onUserRequest(e) // this node has come to lead meanwhile
			return
		}
		if unmade && !waits && e.Op != protocol.OpQuery && g.now.Steady-came < connectionWait {
			g.after(connectionWait/8, func() { g.retryForward(e, spec, came) })
			return
		}
		if since := began; g.election.leader.Epoch == epoch {
			if unmade {
				since -= leaderAliveWindow
			}
			g.onForwardFailed(e, spec, since)
			return
		}
		g.serveWithoutLeader(e, spec)
	})
	if !sent {
		over()
		g.serveWithoutLeader(e, spec)
	}
}

// onForwardFailed serves a call that the leader has not taken. A submission has to come again
// if the leader has answered this node since: it is there, and has more to write than it can.
// What would be written from here besides only has the state service refuse the leader's
// launches.
func (g *userGateway) onForwardFailed(e UserRequest, spec *protocol.JobSpec, since micros) {
	if e.Op == protocol.OpSubmit && g.membership.leaderAnsweredAt > since {
		g.replyUnavailable(e.Reply, refusalSubmitRate)
		return
	}
	g.serveWithoutLeader(e, spec)
}

// retryForward tries a call once more that found no connection to the leader.
func (g *userGateway) retryForward(e UserRequest, spec *protocol.JobSpec, came micros) {
	if g.election.mayActAsLeader() {
		g.onUserRequest(e) // this node has come to lead meanwhile
		return
	}
	g.forwardToLeaderSince(e, spec, came)
}

// forwardLeaderOnly gives a call to the leader that came at a time and that nobody else can serve:
// operators' calls, about roll-outs and the configuration. It looks for a connection as what
// is pressing does: submissions may have all of them just then.
func (g *userGateway) forwardLeaderOnly(e UserRequest, timeout, came micros) {
	if g.election.mayActAsLeader() {
		g.onUserRequest(e) // this node has come to lead meanwhile
		return
	}
	refuse := func(r CallResult) {
		if r.notAttempted() && g.now.Steady-came < connectionWait {
			g.after(connectionWait/8, func() { g.forwardLeaderOnly(e, timeout, came) })
			return
		}
		g.replyUnavailable(e.Reply, refusalNoLeader)
	}
	if !g.callLeader(e, timeout, func() {}, refuse) {
		refuse(CallResult{})
	}
}

// callLeader gives a call to the leader, whose answer goes to whoever made the call, and
// reports whether there is a leader to give it to. over is called when the call is over,
// otherwise after it when the leader did not serve it.
func (g *userGateway) callLeader(e UserRequest, timeout micros, over func(), otherwise func(CallResult)) bool {
	addr := g.membership.peerAddress(g.election.leader.Controller)
	if addr == "" || g.now.Steady < g.election.leaderSuspectUntil || isLeaderRole(g.election.role) {
		return false
	}
	frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerUserRequest, Op: e.Op, Ref: e.Ref, From: g.platform.ControllerName, Body: e.Body})
	g.callAddress(ToPeer, "", addr, "", frame, timeout, func(r CallResult) {
		over()
		if m := g.membership.parsePeerResponse(r); m != nil && m.Status != 0 {
			g.membership.leaderAnsweredAt = g.now.Steady
			g.reply(e.Reply, int(m.Status), m.Body, m.RetryAfter)
			return
		}
		g.election.recheckLeader()
		otherwise(r)
	})
	return true
}
