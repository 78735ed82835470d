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
	lastSeen   micros // when it last came
	redirectedAt   micros // when it was last sent to the leader, of epoch to
	redirectedEpoch     uint64
	forwardUntil micros // until then its reports are passed on without asking it to try
	leaderUnreachableAt micros // when it last showed that it can't reach the leader of epoch
	unreachableEpoch  uint64
	zone   string
	// The newest report of it that came here.
	agentEpoch, sequence uint64
}

// Spans of that. A worker that can't reach the leader comes back within
// redirectReturnWindow: after half a second and two tries that nobody answers.
const (
	redirectReturnWindow    = 15 * protocol.Second
	heartbeatForwardTimeout = 1500 * protocol.Millisecond
	forwardingPause   = 3 * protocol.Second
	maxForwardedHeartbeats  = 24
)

// cannotReachLeader reports whether a worker seems unable to reach the leader: it was
// sent there and came back, or it has served under this leader before and tries
// other nodes now.
func (c *Controller) cannotReachLeader(r *protocol.Heartbeat) (yes, returned bool) {
	at := c.now.Steady
	k, known := c.redirectedWorkers[r.Host]
	switch {
	case k.redirectedEpoch > 0 && k.redirectedEpoch != c.leader.Epoch:
		// It was sent to another leader, and not to this one yet. Workers that had been sent to one that
		// had ended counted as out of reach of the next, which gave its lease back for that.
	case k.redirectedAt > 0 && at-k.redirectedAt < redirectReturnWindow && r.Token <= c.leader.Epoch:
		returned = true
		k.forwardUntil = at + 2*c.platform.WorkerLease
	case at < k.forwardUntil:
		returned = true
	}
	first := !known || at-k.lastSeen >= redirectReturnWindow
	yes = returned || first && r.Token > 0 && r.Token == c.leader.Epoch
	k.lastSeen, k.redirectedAt, k.zone, k.agentEpoch, k.sequence = at, 0, r.Zone, r.AgentEpoch, r.Sequence
	if yes {
		k.leaderUnreachableAt, k.unreachableEpoch = at, c.leader.Epoch
	}
	c.redirectedWorkers[r.Host] = k
	return yes, returned
}

// redirectOrForward sends a worker to the leader, or its report where the worker can't go.
func (c *Controller) redirectOrForward(e WorkerHeartbeat, r *protocol.Heartbeat) {
	if k, known := c.redirectedWorkers[r.Host]; known && !r.NewerThan(k.agentEpoch, k.sequence) {
		// A late copy: it shows nothing of whom the worker reaches now. Counted as the
		// worker's coming back it was passed on, and the leader counted as out of reach.
		c.replyLeader(e)
		return
	}
	yes, returned := c.cannotReachLeader(r)
	addr := c.peerAddress(c.leader.Controller)
	if !yes || addr == "" || c.now.Steady < c.forwardingPausedUntil || c.forwardedHeartbeats >= maxForwardedHeartbeats {
		c.redirectWorker(e, r.Host)
		return
	}
	c.forwardedHeartbeats++
	frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerHeartbeat, ReturnedFromLeader: returned, Body: e.Body})
	c.callAddress(ToPeer, "", addr, "", frame, heartbeatForwardTimeout, func(d CallResult) {
		c.forwardedHeartbeats--
		if m := c.parsePeerResponse(d); m != nil && m.Status != 0 {
			c.reply(e.Reply, int(m.Status), m.Body, m.RetryAfter)
			return
		}
		// It does not lead any more, or can't be reached from here either.
		c.forwardingPausedUntil = c.now.Steady + forwardingPause
		c.recheckLeader()
		c.redirectWorker(e, r.Host)
	})
}

// redirectWorker sends a worker to whoever leads.
func (c *Controller) redirectWorker(e WorkerHeartbeat, host string) {
	k := c.redirectedWorkers[host]
	k.lastSeen, k.redirectedAt, k.redirectedEpoch = c.now.Steady, c.now.Steady, c.leader.Epoch
	c.redirectedWorkers[host] = k
	c.replyLeader(e)
}

// replyLeader answers a report with who leads, as far as known.
func (c *Controller) replyLeader(e WorkerHeartbeat) {
	leader := c.leader.Controller
	if leader == c.platform.ControllerName {
		leader = ""
	}
	c.reply(e.Reply, 421, protocol.LeaderBody(leader), 0)
}

// summarizeRedirectedWorkers counts the workers that came here lately, and forgets the others. The
// body tells, zone by zone, how many of them can't reach the leader: workers that come
// by and are sent on to it are no sign that it can't be reached. After the end of all
// controllers each worker comes by, so that a leader which missed a zone behind a cut
// took all the others for out of its reach.
func (c *Controller) summarizeRedirectedWorkers() (uint32, []byte) {
	n := uint32(0)
	astray := make(map[string]int)
	for host, k := range c.redirectedWorkers {
		switch age := c.now.Steady - k.lastSeen; {
		case age <= redirectReturnWindow:
			n++
			if k.leaderUnreachableAt > 0 && c.now.Steady-k.leaderUnreachableAt <= redirectReturnWindow && k.unreachableEpoch == c.leader.Epoch {
				astray[k.zone]++
			}
		case c.now.Steady >= k.forwardUntil:
			delete(c.redirectedWorkers, host)
		}
	}
	return n, protocol.AppendReachability(nil, astray)
}

// parsePeerResponse reads what another controller answered to a call, a report or a
// probe, nil: nothing that can be used. Status 0 says that it did not serve it.
func (c *Controller) parsePeerResponse(d CallResult) *protocol.PeerMessage {
	if d.Status != 200 {
		return nil
	}
	m, err := protocol.ParsePeer(d.Body)
	if err != nil {
		c.logMalformed("controller", err)
		return nil
	}
	if m.Kind != protocol.PeerResponse {
		return nil
	}
	return m
}

// peerAddress finds a controller's address, "" if it is unknown or this node.
func (c *Controller) peerAddress(node string) string {
	for _, s := range c.platform.Peers {
		if s.Name == node {
			return s.Address
		}
	}
	return ""
}

// onWorkerProbe makes a call to a worker for the leader. Whether the command has
// any effect is for the worker to say, by the token and session that it names.
func (c *Controller) onWorkerProbe(e WorkerProbe) {
	c.callAddress(ToWorker, "POST", e.Addr, "/commands", e.Body, commandTimeout*3/4, func(r CallResult) {
		c.reply(e.Reply, r.Status, r.Body, 0)
	})
}

// probeViaPeer asks a silent worker by way of another node: the link from here
// may be what is lost, and to release the machine would end all that runs on it.
// It reports whether there is a node to ask.
func (c *Controller) probeViaPeer(h *state.Host, body []byte, done func(CallResult)) bool {
	t := c.term
	for i := range c.platform.Peers {
		s := c.platform.Peers[(t.prober.nextPeer+i)%len(c.platform.Peers)]
		if o := t.peers[s.Name]; o.statusAt == 0 || c.now.Steady-o.statusAt > peerStatusLifetime {
			continue // it can hardly be reached itself
		}
		t.prober.nextPeer += i + 1
		frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerWorkerProbe, Addr: h.Addr, Body: body})
		c.callAddress(ToPeer, "", s.Address, "", frame, commandTimeout, func(d CallResult) {
			if m := c.parsePeerResponse(d); m != nil {
				done(CallResult{Status: int(m.Status), Body: m.Body})
				return
			}
			done(CallResult{})
		})
		return true
	}
	return false
}
