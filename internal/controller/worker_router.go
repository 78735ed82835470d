package controller

import (
	"net/http"

	"mapleslip/internal/protocol"
)

// workerRouter takes workers' heartbeats. The leader's are handled by its agents; while another
// controller leads, workers are redirected to it.
//
// Some workers can't get there, though the leader is well: a link or a filter is between them
// and it. Sent back and forth, such a worker would lose its lease and all that runs on it. So
// the heartbeat of a worker that can't reach the leader is forwarded, and the leader's own
// answer goes back. Only who carries the message changes: nobody but the leader answers.
type workerRouter struct {
	*environment
	election   *election
	membership *membership

	workers               map[string]redirectedWorker // that came here while another controller led, by host
	forwardedHeartbeats   int                         // on their way to the leader
	forwardingPausedUntil micros                      // the leader did not answer one
}

// redirectedWorker is a worker that came here while another controller led.
type redirectedWorker struct {
	lastSeen            micros
	zone                string
	redirectedAt        micros // when it was last sent to the leader of redirectedEpoch
	redirectedEpoch     uint64
	forwardUntil        micros // until then its heartbeats are forwarded without redirecting it first
	leaderUnreachableAt micros // when it last showed that it can't reach the leader of unreachableEpoch
	unreachableEpoch    uint64

	// The newest of its heartbeats that came here.
	agentEpoch, sequence uint64
}

const (
	// redirectReturnWindow is how soon a worker that can't reach the leader comes back: after
	// half a second and two tries that nobody answers.
	redirectReturnWindow    = 15 * protocol.Second
	heartbeatForwardTimeout = 1500 * protocol.Millisecond
	forwardingPause         = 3 * protocol.Second // after the leader did not answer
	maxForwardedHeartbeats  = 24
	forwardLeases           = 2 // for how many leases the heartbeats of such a worker are forwarded
)

// onHeartbeat handles a worker's heartbeat. Only the leader answers with 200: a worker that
// gets a 200 which it has to drop stays here while its lease runs out.
func (wr *workerRouter) onHeartbeat(e WorkerHeartbeat) {
	r, err := protocol.ParseHeartbeat(e.Body)
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
			// The tasks go on under the token that the worker knows. It gets no commands.
			wr.membership.workerAnsweredAt = wr.now.Steady
			wr.replyCommands(e.Reply, r.Token, nil)
		default:
			wr.redirectOrForward(e, r)
		}
	}
}

// answerWhileRecovering answers a heartbeat to a leader that has not read the records yet. It
// has no commands; the worker's lease is renewed, and its next heartbeat comes under the new
// epoch.
func (wr *workerRouter) answerWhileRecovering(e WorkerHeartbeat, r *protocol.Heartbeat) {
	if r.Token <= wr.election.lease.epoch && wr.now.Steady < wr.election.lease.validUntil {
		wr.replyCommands(e.Reply, wr.election.lease.epoch, nil)
		return
	}
	wr.refuse(e.Reply, refusalRecovering)
}

// mayKeepAlive reports whether this controller and a worker are cut off together.
func (wr *workerRouter) mayKeepAlive(r *protocol.Heartbeat) bool {
	if !wr.membership.isIsolatedFromQuorum() || r.Token == 0 {
		return false
	}
	own := wr.platform.Zone
	return r.Zone == own || !wr.membership.leaderExpectsOwnZoneOnly && wr.membership.mayAnswerZone(own, r.Zone)
}

// cannotReachLeader reports whether a worker seems unable to reach the leader: it was sent
// there and came back, or it has served under this leader before and tries other controllers
// now.
func (wr *workerRouter) cannotReachLeader(r *protocol.Heartbeat) (unreachable, returned bool) {
	now, epoch := wr.now.Steady, wr.election.leader.Epoch
	w, known := wr.workers[r.Host]
	switch {
	case w.redirectedEpoch > 0 && w.redirectedEpoch != epoch:
		// It was sent to another leader, and not to this one yet. Counted as a return, workers
		// that were sent to a leader that has ended make the next one give its lease back.
	case w.redirectedAt > 0 && now-w.redirectedAt < redirectReturnWindow && r.Token <= epoch:
		returned = true
		w.forwardUntil = now + forwardLeases*wr.platform.WorkerLease
	case now < w.forwardUntil:
		returned = true
	}
	first := !known || now-w.lastSeen >= redirectReturnWindow
	unreachable = returned || first && r.Token > 0 && r.Token == epoch
	w.lastSeen, w.redirectedAt, w.zone, w.agentEpoch, w.sequence = now, 0, r.Zone, r.AgentEpoch, r.Sequence
	if unreachable {
		w.leaderUnreachableAt, w.unreachableEpoch = now, epoch
	}
	wr.workers[r.Host] = w
	return unreachable, returned
}

// redirectOrForward sends a worker to the leader, or its heartbeat where the worker can't go.
func (wr *workerRouter) redirectOrForward(e WorkerHeartbeat, r *protocol.Heartbeat) {
	if w, known := wr.workers[r.Host]; known && !r.NewerThan(w.agentEpoch, w.sequence) {
		// A late copy: it says nothing of whom the worker reaches now.
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
		// It does not lead any more, or can't be reached from here either.
		wr.forwardingPausedUntil = wr.now.Steady + forwardingPause
		wr.election.recheckLeader()
		wr.redirect(e, r.Host)
	})
}

// redirect sends a worker to whoever leads.
func (wr *workerRouter) redirect(e WorkerHeartbeat, host string) {
	w := wr.workers[host]
	w.lastSeen, w.redirectedAt, w.redirectedEpoch = wr.now.Steady, wr.now.Steady, wr.election.leader.Epoch
	wr.workers[host] = w
	wr.replyLeader(e)
}

// replyLeader answers a heartbeat with who leads, as far as known.
func (wr *workerRouter) replyLeader(e WorkerHeartbeat) {
	leader := wr.election.leader.Controller
	if leader == wr.platform.ControllerName {
		leader = ""
	}
	wr.reply(e.Reply, http.StatusMisdirectedRequest, protocol.LeaderBody(leader))
}

// summarizeRedirectedWorkers counts the workers that came here lately, and forgets the others.
// The body tells, zone by zone, how many of them can't reach the leader: workers that come by
// and are redirected are no sign of that. After a restart of all controllers each worker comes
// by.
func (wr *workerRouter) summarizeRedirectedWorkers() (count uint32, body []byte) {
	now := wr.now.Steady
	unreachable := make(map[string]int)
	for host, w := range wr.workers {
		switch {
		case now-w.lastSeen <= redirectReturnWindow:
			count++
			lately := w.leaderUnreachableAt > 0 && now-w.leaderUnreachableAt <= redirectReturnWindow
			if lately && w.unreachableEpoch == wr.election.leader.Epoch {
				unreachable[w.zone]++
			}
		case now >= w.forwardUntil:
			delete(wr.workers, host)
		}
	}
	return count, protocol.AppendReachability(nil, unreachable)
}

// onWorkerProbe sends a command to a worker for the leader. Whether the command has any effect
// is for the worker to say, by the fencing token and agent epoch that it names.
func (wr *workerRouter) onWorkerProbe(e WorkerProbe) {
	wr.sendToWorker(e.Addr, e.Body, commandTimeout*3/4, func(r CallResult) {
		wr.reply(e.Reply, r.Status, r.Body)
	})
}
