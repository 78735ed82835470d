package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// A worker that comes to a node that does not lead is sent to the leader. Some
// can't get there, though the leader is well: a link or a filter is between them
// and it. Sent back and forth, such a worker would lose its lease and all that
// runs on it. So a report of a worker that the leader seems out of reach for is
// passed on to the leader, and the leader's own answer goes back. Nobody but the
// leader answers: the detour changes who carries the message, nothing else.

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

// parsePeerResponse reads what another controller answered to a call, a report or a
// probe, nil: nothing that can be used. Status 0 says that it did not serve it.
func (mb *membership) parsePeerResponse(d CallResult) *protocol.PeerMessage {
	if d.Status != 200 {
		return nil
	}
	m, err := protocol.ParsePeer(d.Body)
	if err != nil {
		mb.logMalformed("controller", err)
		return nil
	}
	if m.Kind != protocol.PeerResponse {
		return nil
	}
	return m
}

// peerAddress finds a controller's address, "" if it is unknown or this node.
func (mb *membership) peerAddress(node string) string {
	for _, s := range mb.platform.Peers {
		if s.Name == node {
			return s.Address
		}
	}
	return ""
}

// onWorkerProbe makes a call to a worker for the leader. Whether the command has
// any effect is for the worker to say, by the token and session that it names.
func (wr *workerRouter) onWorkerProbe(e WorkerProbe) {
	wr.callAddress(ToWorker, "POST", e.Addr, "/commands", e.Body, commandTimeout*3/4, func(r CallResult) {
		wr.reply(e.Reply, r.Status, r.Body, 0)
	})
}

// probeViaPeer asks a silent worker by way of another node: the link from here
// may be what is lost, and to release the machine would end all that runs on it.
// It reports whether there is a node to ask.
func (p *prober) probeViaPeer(h *state.Host, body []byte, done func(CallResult)) bool {
	for i := range p.platform.Peers {
		s := p.platform.Peers[(p.nextPeer+i)%len(p.platform.Peers)]
		if o := p.peers.statuses[s.Name]; o.statusAt == 0 || p.now.Steady-o.statusAt > peerStatusLifetime {
			continue // it can hardly be reached itself
		}
		p.nextPeer += i + 1
		frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerWorkerProbe, Addr: h.Addr, Body: body})
		p.callAddress(ToPeer, "", s.Address, "", frame, commandTimeout, func(d CallResult) {
			if m := p.membership.parsePeerResponse(d); m != nil {
				done(CallResult{Status: int(m.Status), Body: m.Body})
				return
			}
			done(CallResult{})
		})
		return true
	}
	return false
}
