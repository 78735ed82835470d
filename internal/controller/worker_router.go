package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// workerRouter sends workers to the leader while another controller leads, and forwards the
// heartbeats of those that can't reach it.
type workerRouter struct {
	*environment
	catalog    *machineCatalog
	election   *election
	membership *membership

	workers               map[string]redirectedWorker // that came here while another controller led, by host
	forwardedHeartbeats   int                         // on their way to the leader
	forwardingPausedUntil micros                      // the leader did not answer one
}

// redirectedWorker is a worker that came here while another node led.
type redirectedWorker struct {
	lastSeen            micros // when it last came
	redirectedAt        micros // when it was last sent to the leader, of epoch to
	redirectedEpoch     uint64
	forwardUntil        micros // until then its reports are passed on without asking it to try
	leaderUnreachableAt micros // when it last showed that it can't reach the leader of epoch
	unreachableEpoch    uint64
	zone                string
	// The newest report of it that came here.
	agentEpoch, sequence uint64
}

// Spans of that. A worker that can't reach the leader comes back within
// redirectReturnWindow: after half a second and two tries that nobody answers.
const (
	redirectReturnWindow    = 15 * protocol.Second
	heartbeatForwardTimeout = 1500 * protocol.Millisecond
	forwardingPause         = 3 * protocol.Second
	maxForwardedHeartbeats  = 24
)

// onHeartbeat handles a worker's report. Only the leader answers with 200: a
// worker that gets a 200 it has to drop stays while its lease runs out.
func (wr *workerRouter) onHeartbeat(e WorkerHeartbeat) {
	r, err := protocol.ParseHeartbeat(e.Body)
	if err != nil {
		wr.logMalformed("worker", err)
		wr.reply(e.Reply, 400, protocol.ErrorBody(err.Error()), 0)
		return
	}
	switch wr.election.role {
	case RoleRecovering:
		// The epoch is ours already. The records are not read yet, so there
		// are no commands; the worker's lease is renewed and its next report
		// comes under the new epoch.
		if r.Token <= wr.election.lease.epoch && wr.now.Steady < wr.election.lease.validUntil {
			wr.reply(e.Reply, 200, protocol.AppendCommands(nil, wr.election.lease.epoch, 0, nil), 0)
			return
		}
		wr.replyUnavailable(e.Reply, refusalRecovering)
		return
	case RoleLeader, RoleLeaseUncertain:
	default:
		if e.Reply.Peer {
			wr.reply(e.Reply, 0, nil, 0) // this node does not lead
			return
		}
		if wr.membership.isIsolatedFromQuorum() && (r.Zone == wr.platform.Zone || !wr.membership.leaderExpectsOwnZoneOnly && wr.membership.mayAnswerZone(wr.platform.Zone, r.Zone)) && r.Token > 0 {
			// Cut off together with the worker: under the token that it knows its
			// tasks go on. It gets no commands.
			wr.membership.workerAnsweredAt = wr.now.Steady
			wr.reply(e.Reply, 200, protocol.AppendCommands(nil, r.Token, 0, nil), 0)
			return
		}
		wr.redirectOrForward(e, r)
		return
	}
	t := wr.term
	if r.Token > t.epoch {
		wr.election.stepDownSuperseded("a worker has seen a newer epoch")
		wr.reply(e.Reply, 421, protocol.LeaderBody(""), 0)
		return
	}
	if _, gone := t.releasedHosts[r.Host]; gone {
		wr.replyUnavailable(e.Reply, refusalHostReleased)
		return
	}
	h := t.cluster.Host(r.Host)
	if h == nil {
		h = state.NewHost(wr.now.Steady, r.Host, r.Type, r.Zone, r.Spot)
		h.Type = wr.catalog.byName[r.Type]
		h.Unverified, h.Addr = r.Token != t.epoch, r.Addr
		t.cluster.AddHost(h)
		wr.term.prober.queueProbe(h)
		wr.log.Debug("machine reports that was not rented in this term", "host", r.Host)
	}
	if h.IsStale(r) {
		// What it says is older than what is known: it was held up on the way,
		// or crossed the answer to a direct command. In the second case the
		// worker still waits, so it is answered, but the book stays as it is.
		// A worker's lease runs from when it sent what is answered, and that was before
		// the newer message was heard: a copy that comes again and again proves no more.
		if r.AgentEpoch == h.Agent.Epoch {
			h.Agent.LeaseRenewedAt = max(h.Agent.LeaseRenewedAt, h.Agent.LastContact)
		}
		wr.reply(e.Reply, 200, protocol.AppendCommands(nil, t.epoch, 0, nil), 0)
		return
	}
	if !e.Reply.Peer {
		h.Agent.LeaderUnreachableAt, h.Agent.ForwardedAt = 0, 0
	} else {
		h.Agent.ForwardedAt = wr.now.Steady
		if e.ReturnedFromLeader {
			h.Agent.LeaderUnreachableAt = wr.now.Steady
		}
	}
	wr.term.agents.applyHeartbeat(h, r, false)
	cmds := wr.term.commands.heartbeatCommands(h)
	h.Agent.LeaseRenewedAt = max(h.Agent.LeaseRenewedAt, wr.now.Steady)
	h.Agent.RepliedAt = wr.now.Steady
	wr.reply(e.Reply, 200, protocol.AppendCommands(nil, t.epoch, 0, cmds), 0)
}

// cannotReachLeader reports whether a worker seems unable to reach the leader: it was
// sent there and came back, or it has served under this leader before and tries
// other nodes now.
func (wr *workerRouter) cannotReachLeader(r *protocol.Heartbeat) (yes, returned bool) {
	at := wr.now.Steady
	k, known := wr.workers[r.Host]
	switch {
	case k.redirectedEpoch > 0 && k.redirectedEpoch != wr.election.leader.Epoch:
		// It was sent to another leader, and not to this one yet. Workers that had been sent to one that
		// had ended counted as out of reach of the next, which gave its lease back for that.
	case k.redirectedAt > 0 && at-k.redirectedAt < redirectReturnWindow && r.Token <= wr.election.leader.Epoch:
		returned = true
		k.forwardUntil = at + 2*wr.platform.WorkerLease
	case at < k.forwardUntil:
		returned = true
	}
	first := !known || at-k.lastSeen >= redirectReturnWindow
	yes = returned || first && r.Token > 0 && r.Token == wr.election.leader.Epoch
	k.lastSeen, k.redirectedAt, k.zone, k.agentEpoch, k.sequence = at, 0, r.Zone, r.AgentEpoch, r.Sequence
	if yes {
		k.leaderUnreachableAt, k.unreachableEpoch = at, wr.election.leader.Epoch
	}
	wr.workers[r.Host] = k
	return yes, returned
}

// redirectOrForward sends a worker to the leader, or its report where the worker can't go.
func (wr *workerRouter) redirectOrForward(e WorkerHeartbeat, r *protocol.Heartbeat) {
	if k, known := wr.workers[r.Host]; known && !r.NewerThan(k.agentEpoch, k.sequence) {
		// A late copy: it shows nothing of whom the worker reaches now. Counted as the
		// worker's coming back it was passed on, and the leader counted as out of reach.
		wr.replyLeader(e)
		return
	}
	yes, returned := wr.cannotReachLeader(r)
	addr := wr.membership.peerAddress(wr.election.leader.Controller)
	if !yes || addr == "" || wr.now.Steady < wr.forwardingPausedUntil || wr.forwardedHeartbeats >= maxForwardedHeartbeats {
		wr.redirectWorker(e, r.Host)
		return
	}
	wr.forwardedHeartbeats++
	frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerHeartbeat, ReturnedFromLeader: returned, Body: e.Body})
	wr.callAddress(ToPeer, "", addr, "", frame, heartbeatForwardTimeout, func(d CallResult) {
		wr.forwardedHeartbeats--
		if m := wr.membership.parsePeerResponse(d); m != nil && m.Status != 0 {
			wr.reply(e.Reply, int(m.Status), m.Body, m.RetryAfter)
			return
		}
		// It does not lead any more, or can't be reached from here either.
		wr.forwardingPausedUntil = wr.now.Steady + forwardingPause
		wr.election.recheckLeader()
		wr.redirectWorker(e, r.Host)
	})
}

// redirectWorker sends a worker to whoever leads.
func (wr *workerRouter) redirectWorker(e WorkerHeartbeat, host string) {
	k := wr.workers[host]
	k.lastSeen, k.redirectedAt, k.redirectedEpoch = wr.now.Steady, wr.now.Steady, wr.election.leader.Epoch
	wr.workers[host] = k
	wr.replyLeader(e)
}

// replyLeader answers a report with who leads, as far as known.
func (wr *workerRouter) replyLeader(e WorkerHeartbeat) {
	leader := wr.election.leader.Controller
	if leader == wr.platform.ControllerName {
		leader = ""
	}
	wr.reply(e.Reply, 421, protocol.LeaderBody(leader), 0)
}

// summarizeRedirectedWorkers counts the workers that came here lately, and forgets the others. The
// body tells, zone by zone, how many of them can't reach the leader: workers that come
// by and are sent on to it are no sign that it can't be reached. After the end of all
// controllers each worker comes by, so that a leader which missed a zone behind a cut
// took all the others for out of its reach.
func (wr *workerRouter) summarizeRedirectedWorkers() (uint32, []byte) {
	n := uint32(0)
	astray := make(map[string]int)
	for host, k := range wr.workers {
		switch age := wr.now.Steady - k.lastSeen; {
		case age <= redirectReturnWindow:
			n++
			if k.leaderUnreachableAt > 0 && wr.now.Steady-k.leaderUnreachableAt <= redirectReturnWindow && k.unreachableEpoch == wr.election.leader.Epoch {
				astray[k.zone]++
			}
		case wr.now.Steady >= k.forwardUntil:
			delete(wr.workers, host)
		}
	}
	return n, protocol.AppendReachability(nil, astray)
}

// onWorkerProbe makes a call to a worker for the leader. Whether the command has
// any effect is for the worker to say, by the token and session that it names.
func (wr *workerRouter) onWorkerProbe(e WorkerProbe) {
	wr.callAddress(ToWorker, "POST", e.Addr, "/commands", e.Body, commandTimeout*3/4, func(r CallResult) {
		wr.reply(e.Reply, r.Status, r.Body, 0)
	})
}
