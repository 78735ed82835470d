package controller

import (
	"net/http"

	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
)

// workerRouter handles workers' heartbeats. On the leader it passes them to the agents component;
// while another controller leads, it redirects workers to that one.
//
// Some workers can't reach a healthy leader because of a broken link or a packet filter. If such a
// worker were only redirected back and forth, its lease would expire and all its tasks would end.
// So the heartbeat of a worker that can't reach the leader is forwarded to the leader, and the
// leader's answer is returned to the worker. The follower only relays the messages; it does not
// answer such a heartbeat itself.
type workerRouter struct {
	*environment
	election   *election
	membership *membership

	workers               map[string]redirectedWorker // by host
	forwardedHeartbeats   int                         // heartbeats in flight to the leader
	forwardingPausedUntil micros                      // after an unanswered forwarded heartbeat
}

// redirectedWorker is a worker that contacted this controller while another one led.
type redirectedWorker struct {
	lastSeen            micros
	zone                string
	redirectedAt        micros // time of its last redirect to the leader
	redirectedEpoch     uint64 // the epoch of that leader
	forwardUntil        micros // time until which its heartbeats are forwarded without a redirect
	leaderUnreachableAt micros // time at which it was last unable to reach the leader
	unreachableEpoch    uint64 // the epoch of that leader

	// The agent epoch and sequence of its newest heartbeat to this controller.
	agentEpoch, sequence uint64
}

const (
	// redirectReturnWindow is the time within which a redirected worker that can't reach the
	// leader returns: after half a second and two unanswered tries.
	redirectReturnWindow    = 15 * protocol.Second
	heartbeatForwardTimeout = 1500 * protocol.Millisecond
	forwardingPause         = 3 * protocol.Second // after the leader did not answer
	maxForwardedHeartbeats  = 24
	forwardLeases           = 2 // leases for which a worker's heartbeats are forwarded
)

// onHeartbeat handles a worker's heartbeat. Only the leader, or an isolated controller whose answer
// the worker can accept, answers with 200: a worker that had to drop a 200 answer would stay at
// this controller until its lease expires.
func (wr *workerRouter) onHeartbeat(e WorkerHeartbeat) {
	r, err := e.heartbeat, e.err
	if err != nil {
		wr.logMalformed("worker", err)
		wr.replyError(e.Reply, http.StatusBadRequest, err.Error())
		return
	}
	switch wr.election.role {
	case RoleLeader, RoleLeaseUncertain:
		wr.term.agents.onHeartbeat(e, r)
	case RoleRecovering:
		wr.answerWhileRecovering(e, r)
	case RoleFollower, RoleAcquiringLease, RoleClaiming:
		switch {
		case e.Reply.Peer:
			wr.replyNotLeader(e.Reply)
		case wr.mayKeepAlive(r):
			// The worker's tasks continue under its current fencing token. It gets no commands.
			wr.membership.workerAnsweredAt = wr.now.Steady
			wr.replyCommands(e.Reply, r.SeenEpoch, nil)
		default:
			wr.redirectOrForward(e, r)
		}
	}
}

// answerWhileRecovering answers a heartbeat while this leader has not read all records yet. The
// answer contains no commands; it renews the worker's lease, and the worker's next heartbeat
// carries the new epoch.
func (wr *workerRouter) answerWhileRecovering(e WorkerHeartbeat, r *protocol.Heartbeat) {
	if r.SeenEpoch <= wr.election.lease.epoch && wr.now.Steady < wr.election.lease.validUntil {
		wr.replyCommands(e.Reply, leadership.TokensOf(wr.election.lease.epoch).First, nil)
		return
	}
	wr.refuse(e.Reply, refusalRecovering)
}

// mayKeepAlive reports whether this controller may renew a worker's lease because both are isolated
// from the quorum together.
func (wr *workerRouter) mayKeepAlive(r *protocol.Heartbeat) bool {
	if !wr.membership.isIsolatedFromQuorum() || r.SeenEpoch == 0 {
		return false
	}
	ownZone := wr.platform.Zone
	return r.Zone == ownZone || !wr.membership.leaderExpectsOwnZoneOnly && wr.membership.mayAnswerZone(ownZone, r.Zone)
}

// cannotReachLeader reports whether a worker appears to be unable to reach the leader: it was
// redirected to the leader and returned, or it has worked under this leader before and now contacts
// another controller. returned is true in the first case, and for the next forwardLeases leases.
func (wr *workerRouter) cannotReachLeader(r *protocol.Heartbeat) (unreachable, returned bool) {
	now, epoch := wr.now.Steady, wr.election.leader.Epoch
	w, known := wr.workers[r.Host]
	switch {
	case w.redirectedEpoch > 0 && w.redirectedEpoch != epoch:
		// The worker was redirected to an earlier leader, but not to the current one yet. If this
		// counted as a return, workers that were redirected to a failed leader would make the
		// next leader transfer leadership.
	case w.redirectedAt > 0 && now-w.redirectedAt < redirectReturnWindow && r.SeenEpoch <= epoch:
		returned = true
		w.forwardUntil = now + forwardLeases*wr.platform.WorkerLease
	case now < w.forwardUntil:
		returned = true
	}
	first := !known || now-w.lastSeen >= redirectReturnWindow
	unreachable = returned || first && r.SeenEpoch > 0 && leadership.TokensOf(epoch).Contains(r.SeenEpoch)
	w.lastSeen, w.redirectedAt, w.zone, w.agentEpoch, w.sequence = now, 0, r.Zone, r.AgentEpoch, r.Sequence
	if unreachable {
		w.leaderUnreachableAt, w.unreachableEpoch = now, epoch
	}
	wr.workers[r.Host] = w
	return unreachable, returned
}

// redirectOrForward redirects a worker to the leader, or forwards its heartbeat if the worker
// appears to be unable to reach the leader.
func (wr *workerRouter) redirectOrForward(e WorkerHeartbeat, r *protocol.Heartbeat) {
	if w, known := wr.workers[r.Host]; known && !r.NewerThan(w.agentEpoch, w.sequence) {
		// A late or duplicate message gives no information on whom the worker can reach now.
		wr.replyLeader(e)
		return
	}
	unreachable, returned := wr.cannotReachLeader(r)
	addr := wr.membership.peerAddress(wr.election.leader.Controller)
	if !unreachable || addr == "" || wr.now.Steady < wr.forwardingPausedUntil || wr.forwardedHeartbeats >= maxForwardedHeartbeats {
		wr.redirect(e, r.Host)
		return
	}
	wr.forwardedHeartbeats++
	m := &protocol.PeerMessage{Kind: protocol.PeerHeartbeat, ReturnedFromLeader: returned, Body: e.Body}
	wr.sendPeer(addr, m, heartbeatForwardTimeout, func(result CallResult) {
		wr.forwardedHeartbeats--
		if m, ok := wr.membership.parsePeerResponse(result); ok {
			wr.replyAfter(e.Reply, int(m.Status), m.Body, m.RetryAfter)
			return
		}
		// That controller does not lead any more, or can't be reached from this one either.
		wr.forwardingPausedUntil = wr.now.Steady + forwardingPause
		wr.election.recheckLeader()
		wr.redirect(e, r.Host)
	})
}

// redirect answers a heartbeat with a redirect to the current leader, and records the redirect.
func (wr *workerRouter) redirect(e WorkerHeartbeat, host string) {
	w := wr.workers[host]
	w.lastSeen, w.redirectedAt, w.redirectedEpoch = wr.now.Steady, wr.now.Steady, wr.election.leader.Epoch
	wr.workers[host] = w
	wr.replyLeader(e)
}

// replyLeader answers a heartbeat with the name of the leader, "" if no other controller is known
// to lead.
func (wr *workerRouter) replyLeader(e WorkerHeartbeat) {
	leader := wr.election.leader.Controller
	if leader == wr.platform.ControllerName {
		leader = ""
	}
	wr.reply(e.Reply, http.StatusMisdirectedRequest, protocol.LeaderBody(leader))
}

// summarizeRedirectedWorkers counts the workers that contacted this controller recently, and
// removes old entries. The body contains, by zone, how many of them appear to be unable to reach
// the leader. A contact and a redirect alone are no sign of that: after a restart of all
// controllers, every worker contacts some controller and may be redirected.
func (wr *workerRouter) summarizeRedirectedWorkers() (count uint32, body []byte) {
	now := wr.now.Steady
	unreachable := make(map[string]int)
	for host, w := range wr.workers {
		switch {
		case now-w.lastSeen <= redirectReturnWindow:
			count++
			recent := w.leaderUnreachableAt > 0 && now-w.leaderUnreachableAt <= redirectReturnWindow
			if recent && w.unreachableEpoch == wr.election.leader.Epoch {
				unreachable[w.zone]++
			}
		case now >= w.forwardUntil:
			delete(wr.workers, host)
		}
	}
	return count, protocol.AppendReachability(nil, unreachable)
}

// onWorkerProbe sends a command to a worker on behalf of the leader. The worker decides from the
// fencing token and the agent epoch in the command whether it takes effect.
func (wr *workerRouter) onWorkerProbe(e WorkerProbe) {
	wr.sendToWorker(e.Addr, e.Body, commandTimeout*3/4, func(r CallResult) {
		wr.reply(e.Reply, r.Status, r.Body)
	})
}
