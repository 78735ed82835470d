package controller

import (
	"slices"

	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// A controller that is cut off together with a zone goes on answering that
// zone's workers, without commands, so that their leases don't end and their
// tasks go on. A leader outside can then not tell by time that such tasks are
// gone: it asks the other controllers all the time, and counts on time only
// while those of the host's zone say that they answer nobody.

// Spans of that. A node takes itself for cut off only after it has heard
// neither a leader nor the state service for quorumIsolationThreshold; what it said to a
// leader holds for peerStatusLifetime, which is less.
const (
	peerStatusInterval      = protocol.Second
	peerStatusLifetime    = 3 * protocol.Second
	quorumIsolationThreshold = 4 * protocol.Second
)

// peerStatus is what another controller last said of itself.
type peerStatus struct {
	statusAt    micros             // when it was asked; 0: it has not answered in this term
	workerAnsweredAt micros             // when it last answered a worker
	reachability  leadership.Reachability // workers that come to it because they can't reach this node
}

// pollPeerStatus asks the other controllers whether they answer workers, as long as
// the term lasts.
func (c *Controller) pollPeerStatus(t *leaderTerm) {
	if c.term != t {
		return
	}
	asked := c.now.Steady
	plain, full := c.encodeStatusRequest(protocol.HandoverState{}), c.encodeStatusRequest(c.handover)
	for _, s := range c.platform.Peers {
		frame, told := plain, c.handover.At
		if was := t.handover.sentToPeers[s.Name]; was.stateAt != told || asked-was.acknowledgedAt >= handoverResendInterval {
			frame = full
		}
		c.callAddress(ToPeer, "", s.Address, "", frame, peerStatusInterval, func(r CallResult) {
			if c.term != t || r.Status != 200 {
				return
			}
			m, err := protocol.ParsePeer(r.Body)
			if err != nil {
				c.logMalformed("controller", err)
				return
			}
			if m.Kind != protocol.PeerStatus || m.AnswersWorkers {
				return
			}
			o := t.peers[s.Name]
			// Between two answers that are this close it can't have taken itself for cut
			// off, also if it was started anew between them.
			unbroken := o.statusAt > 0 && c.now.Steady-o.statusAt < quorumIsolationThreshold-maxClockDrift(quorumIsolationThreshold)
			o.statusAt, o.reachability = max(o.statusAt, asked), c.parseReachability(m)
			t.handover.sentToPeers[s.Name] = sentHandover{told, c.now.Steady}
			if m.AnsweredAgo < protocol.Forever && !unbroken {
				o.workerAnsweredAt = max(o.workerAnsweredAt, c.now.Steady-m.AnsweredAgo)
			}
			t.peers[s.Name] = o
			c.checkPeersQuiesced(t)
		})
	}
	c.after(peerStatusInterval, func() { c.pollPeerStatus(t) })
}

// checkPeersQuiesced notes when each of the others has said that it does not answer
// workers under an earlier epoch. From then on leases tell when the tasks of
// hosts that were recorded before are gone.
func (c *Controller) checkPeersQuiesced(t *leaderTerm) {
	if t.peersQuiesced {
		return
	}
	for _, s := range c.platform.Peers {
		if c.now.Steady-t.peers[s.Name].statusAt > peerStatusLifetime || t.peers[s.Name].statusAt == 0 {
			return
		}
	}
	t.peersQuiesced = true
	c.log.Info("no other controller answers workers", "epoch", t.epoch)
	for _, h := range t.cluster.Hosts() {
		if h.FromRecord && !h.Reconciled {
			h.LeaseRenewedAt = min(h.LeaseRenewedAt, c.now.Steady)
		}
	}
}

// leaseExpired reports whether a host's lease has certainly ended: nobody can have
// answered it for that long.
func (c *Controller) leaseExpired(h *state.Host) bool {
	at, lease := c.now.Steady, c.platform.WorkerLease
	answered := h.LeaseRenewedAt
	for _, s := range c.platform.Peers {
		if !c.mayAnswerZone(s.Zone, h.Zone) {
			continue
		}
		o := c.term.peers[s.Name]
		if o.statusAt == 0 || at-o.statusAt > peerStatusLifetime {
			return false
		}
		answered = max(answered, o.workerAnsweredAt)
	}
	return at > answered+lease+maxClockDrift(lease)+100*protocol.Millisecond
}

// mayAnswerZone reports whether a controller of one zone may answer the workers of
// another when it is cut off: of its own, and of a zone without a controller each of
// them. Otherwise those workers lost all that ran on them in any outage of the state
// service that the end of the leader fell into, because no other controller was theirs.
func (c *Controller) mayAnswerZone(of, workers string) bool {
	if of == workers {
		return true
	}
	if c.platform.Zone == workers {
		return false
	}
	return !slices.ContainsFunc(c.platform.Peers, func(s protocol.Peer) bool { return s.Zone == workers })
}

// onPeerStatusRequest tells a leader whether this node answers workers. One that led under an
// earlier epoch stops.
func (c *Controller) onPeerStatusRequest(e PeerStatusRequest) {
	if isLeaderRole(c.role) && e.Epoch > c.lease.epoch {
		c.stepDownSuperseded("another controller leads")
	}
	c.peerContactAt = c.now.Steady
	if e.Epoch > 0 {
		c.leaderExpectsOwnZoneOnly = len(e.Body) == 0
	}
	m := &protocol.PeerMessage{Kind: protocol.PeerStatus, AnsweredAgo: protocol.Forever}
	if isLeaderRole(c.role) || c.role == RoleClaiming {
		m.AnswersWorkers = true
	} else if e.Epoch > 0 && e.Epoch >= c.leader.Epoch {
		c.leaderContactAt = c.now.Steady
		if e.Epoch > c.leader.Epoch {
			// The state service would say the same; it may refuse this node.
			c.leader = state.LeaderRecord{Controller: e.From, Epoch: e.Epoch, HeartbeatGrace: c.leader.HeartbeatGrace}
			c.leaderSuspectUntil = 0
		}
	}
	m.RedirectedWorkers, m.Body = c.summarizeRedirectedWorkers()
	c.mergeHandover(e.Body)
	// What the process before this one did, which may have ended a moment before, it
	// can't say: it counts as having answered until this one was born.
	m.AnsweredAgo = c.now.Steady - max(c.workerAnsweredAt, c.startedAt)
	c.emit(Reply{To: e.Reply, Status: 200, Body: protocol.AppendPeer(nil, m), Frame: true})
}

// isIsolatedFromQuorum reports whether this node is cut off: it has heard neither a leader
// nor the state service for a while.
func (c *Controller) isIsolatedFromQuorum() bool {
	at := c.now.Steady
	return !isLeaderRole(c.role) && at-max(c.leaderContactAt, c.startedAt) > quorumIsolationThreshold && at-max(c.stateServiceAnsweredAt, c.startedAt) > quorumIsolationThreshold
}

// checkPeerLiveness asks the other controllers whether they are there, where this node has heard
// of none of them, nor of the state service, and asks them nothing else: see alone. The
// question names no epoch, so that nobody takes it for a leader's.
func (c *Controller) checkPeerLiveness() {
	at := c.now.Steady
	if isLeaderRole(c.role) && c.role != RoleRecovering || at-c.livenessCheckedAt < peerStatusInterval || at-max(c.stateServiceAnsweredAt, c.peerContactAt) <= peerStatusInterval {
		return
	}
	c.livenessCheckedAt = at
	frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerStatusRequest, From: c.platform.ControllerName, Body: protocol.AppendHandoverState(nil, protocol.HandoverState{})})
	for _, s := range c.platform.Peers {
		c.callAddress(ToPeer, "", s.Address, "", frame, peerStatusInterval, func(CallResult) {})
	}
}

// checkLiveness finds out whether the state service can be reached, where no leader is
// heard.
func (c *Controller) checkLiveness() {
	c.checkPeerLiveness()
	if !isLeaderRole(c.role) && c.now.Steady-max(c.leaderContactAt, c.stateServiceAnsweredAt) > peerStatusInterval {
		c.recheckLeader()
	}
}
