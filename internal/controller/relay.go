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

// caller is a worker that came here while another node led.
type caller struct {
	last   micros // when it last came
	sent   micros // when it was last sent to the leader, of epoch to
	to     uint64
	relays micros // until then its reports are passed on without asking it to try
	astray micros // when it last showed that it can't reach the leader of epoch
	epoch  uint64
	zone   string
	// The newest report of it that came here.
	session, tick uint64
}

// Spans of that. A worker that can't reach the leader comes back within
// returnsIn: after half a second and two tries that nobody answers.
const (
	returnsIn    = 15 * protocol.Second
	relayTimeout = 1500 * protocol.Millisecond
	relayAgain   = 3 * protocol.Second
	maxRelaying  = 24
)

// outOfReach reports whether a worker seems unable to reach the leader: it was
// sent there and came back, or it has served under this leader before and tries
// other nodes now.
func (c *Controller) outOfReach(r *protocol.Heartbeat) (yes, returned bool) {
	at := c.at.Steady
	k, known := c.callers[r.Host]
	switch {
	case k.to > 0 && k.to != c.leader.Epoch:
		// It was sent to another leader, and not to this one yet. Workers that had been sent to one that
		// had ended counted as out of reach of the next, which gave its lease back for that.
	case k.sent > 0 && at-k.sent < returnsIn && r.Token <= c.leader.Epoch:
		returned = true
		k.relays = at + 2*c.platform.WorkerLease
	case at < k.relays:
		returned = true
	}
	first := !known || at-k.last >= returnsIn
	yes = returned || first && r.Token > 0 && r.Token == c.leader.Epoch
	k.last, k.sent, k.zone, k.session, k.tick = at, 0, r.Zone, r.AgentEpoch, r.Sequence
	if yes {
		k.astray, k.epoch = at, c.leader.Epoch
	}
	c.callers[r.Host] = k
	return yes, returned
}

// sendOn sends a worker to the leader, or its report where the worker can't go.
func (c *Controller) sendOn(e WorkerReport, r *protocol.Heartbeat) {
	if k, known := c.callers[r.Host]; known && !r.NewerThan(k.session, k.tick) {
		// A late copy: it shows nothing of whom the worker reaches now. Counted as the
		// worker's coming back it was passed on, and the leader counted as out of reach.
		c.tellLeader(e)
		return
	}
	yes, returned := c.outOfReach(r)
	addr := c.addressOf(c.leader.Controller)
	if !yes || addr == "" || c.at.Steady < c.relayAfter || c.relaying >= maxRelaying {
		c.sendAway(e, r.Host)
		return
	}
	c.relaying++
	frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerHeartbeat, ReturnedFromLeader: returned, Body: e.Body})
	c.callAddr(ToPeer, "", addr, "", frame, relayTimeout, func(d CallDone) {
		c.relaying--
		if m := c.peerAnswer(d); m != nil && m.Status != 0 {
			c.reply(e.Reply, int(m.Status), m.Body, m.RetryAfter)
			return
		}
		// It does not lead any more, or can't be reached from here either.
		c.relayAfter = c.at.Steady + relayAgain
		c.recheck()
		c.sendAway(e, r.Host)
	})
}

// sendAway sends a worker to whoever leads.
func (c *Controller) sendAway(e WorkerReport, host string) {
	k := c.callers[host]
	k.last, k.sent, k.to = c.at.Steady, c.at.Steady, c.leader.Epoch
	c.callers[host] = k
	c.tellLeader(e)
}

// tellLeader answers a report with who leads, as far as known.
func (c *Controller) tellLeader(e WorkerReport) {
	leader := c.leader.Controller
	if leader == c.platform.ControllerName {
		leader = ""
	}
	c.reply(e.Reply, 421, protocol.LeaderBody(leader), 0)
}

// countCallers counts the workers that came here lately, and forgets the others. The
// body tells, zone by zone, how many of them can't reach the leader: workers that come
// by and are sent on to it are no sign that it can't be reached. After the end of all
// controllers each worker comes by, so that a leader which missed a zone behind a cut
// took all the others for out of its reach.
func (c *Controller) countCallers() (uint32, []byte) {
	n := uint32(0)
	astray := make(map[string]int)
	for host, k := range c.callers {
		switch age := c.at.Steady - k.last; {
		case age <= returnsIn:
			n++
			if k.astray > 0 && c.at.Steady-k.astray <= returnsIn && k.epoch == c.leader.Epoch {
				astray[k.zone]++
			}
		case c.at.Steady >= k.relays:
			delete(c.callers, host)
		}
	}
	return n, protocol.AppendReachability(nil, astray)
}

// peerAnswer reads what another controller answered to a call, a report or a
// probe, nil: nothing that can be used. Status 0 says that it did not serve it.
func (c *Controller) peerAnswer(d CallDone) *protocol.PeerMessage {
	if d.Status != 200 {
		return nil
	}
	m, err := protocol.ParsePeer(d.Body)
	if err != nil {
		c.malformed("controller", err)
		return nil
	}
	if m.Kind != protocol.PeerResponse {
		return nil
	}
	return m
}

// addressOf finds a controller's address, "" if it is unknown or this node.
func (c *Controller) addressOf(node string) string {
	for _, s := range c.platform.Peers {
		if s.Name == node {
			return s.Address
		}
	}
	return ""
}

// onWorkerCall makes a call to a worker for the leader. Whether the command has
// any effect is for the worker to say, by the token and session that it names.
func (c *Controller) onWorkerCall(e WorkerCall) {
	c.callAddr(ToWorker, "POST", e.Addr, "/commands", e.Body, callTimeout*3/4, func(r CallDone) {
		c.reply(e.Reply, r.Status, r.Body, 0)
	})
}

// probeThrough asks a silent worker by way of another node: the link from here
// may be what is lost, and to release the machine would end all that runs on it.
// It reports whether there is a node to ask.
func (c *Controller) probeThrough(h *state.Host, body []byte, done func(CallDone)) bool {
	t := c.term
	for i := range c.platform.Peers {
		s := c.platform.Peers[(t.probes.through+i)%len(c.platform.Peers)]
		if o := t.others[s.Name]; o.asked == 0 || c.at.Steady-o.asked > standHolds {
			continue // it can hardly be reached itself
		}
		t.probes.through += i + 1
		frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerWorkerProbe, Addr: h.Addr, Body: body})
		c.callAddr(ToPeer, "", s.Address, "", frame, callTimeout, func(d CallDone) {
			if m := c.peerAnswer(d); m != nil {
				done(CallDone{Status: int(m.Status), Body: m.Body})
				return
			}
			done(CallDone{})
		})
		return true
	}
	return false
}
