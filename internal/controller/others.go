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
	peerStatusInterval       = protocol.Second
	peerStatusLifetime       = 3 * protocol.Second
	quorumIsolationThreshold = 4 * protocol.Second
)

// peerStatus is what another controller last said of itself.
type peerStatus struct {
	statusAt         micros                  // when it was asked; 0: it has not answered in this term
	workerAnsweredAt micros                  // when it last answered a worker
	reachability     leadership.Reachability // workers that come to it because they can't reach this node
}

// pollPeerStatus asks the other controllers whether they answer workers, as long as
// the term lasts.
func (pm *peerMonitor) pollPeerStatus() {
	if pm.ended() {
		return
	}
	asked := pm.now.Steady
	plain, full := pm.encodeStatusRequest(protocol.HandoverState{}), pm.encodeStatusRequest(pm.membership.handover)
	for _, s := range pm.platform.Peers {
		frame, told := plain, pm.membership.handover.At
		if was := pm.handover.sentToPeers[s.Name]; was.stateAt != told || asked-was.acknowledgedAt >= handoverResendInterval {
			frame = full
		}
		pm.callAddress(ToPeer, "", s.Address, "", frame, peerStatusInterval, func(r CallResult) {
			if pm.ended() || r.Status != 200 {
				return
			}
			m, err := protocol.ParsePeer(r.Body)
			if err != nil {
				pm.logMalformed("controller", err)
				return
			}
			if m.Kind != protocol.PeerStatus || m.AnswersWorkers {
				return
			}
			o := pm.statuses[s.Name]
			// Between two answers that are this close it can't have taken itself for cut
			// off, also if it was started anew between them.
			unbroken := o.statusAt > 0 && pm.now.Steady-o.statusAt < quorumIsolationThreshold-maxClockDrift(quorumIsolationThreshold)
			o.statusAt, o.reachability = max(o.statusAt, asked), pm.parseReachability(m)
			pm.handover.sentToPeers[s.Name] = sentHandover{told, pm.now.Steady}
			if m.AnsweredAgo < protocol.Forever && !unbroken {
				o.workerAnsweredAt = max(o.workerAnsweredAt, pm.now.Steady-m.AnsweredAgo)
			}
			pm.statuses[s.Name] = o
			pm.checkPeersQuiesced()
		})
	}
	pm.after(peerStatusInterval, func() { pm.pollPeerStatus() })
}

// checkPeersQuiesced notes when each of the others has said that it does not answer
// workers under an earlier epoch. From then on leases tell when the tasks of
// hosts that were recorded before are gone.
func (pm *peerMonitor) checkPeersQuiesced() {
	if pm.quiesced {
		return
	}
	for _, s := range pm.platform.Peers {
		if pm.now.Steady-pm.statuses[s.Name].statusAt > peerStatusLifetime || pm.statuses[s.Name].statusAt == 0 {
			return
		}
	}
	pm.quiesced = true
	pm.log.Info("no other controller answers workers", "epoch", pm.epoch)
	for _, h := range pm.cluster.Hosts() {
		if h.FromRecord && !h.Reconciled {
			h.LeaseRenewedAt = min(h.LeaseRenewedAt, pm.now.Steady)
		}
	}
}

// leaseExpired reports whether a host's lease has certainly ended: nobody can have
// answered it for that long.
func (pm *peerMonitor) leaseExpired(h *state.Host) bool {
	at, lease := pm.now.Steady, pm.platform.WorkerLease
	answered := h.LeaseRenewedAt
	for _, s := range pm.platform.Peers {
		if !pm.membership.mayAnswerZone(s.Zone, h.Zone) {
			continue
		}
		o := pm.statuses[s.Name]
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
func (mb *membership) mayAnswerZone(of, workers string) bool {
	if of == workers {
		return true
	}
	if mb.platform.Zone == workers {
		return false
	}
	return !slices.ContainsFunc(mb.platform.Peers, func(s protocol.Peer) bool { return s.Zone == workers })
}

// onPeerStatusRequest tells a leader whether this node answers workers. One that led under an
// earlier epoch stops.
func (mb *membership) onPeerStatusRequest(e PeerStatusRequest) {
	if isLeaderRole(mb.election.role) && e.Epoch > mb.election.lease.epoch {
		mb.election.stepDownSuperseded("another controller leads")
	}
	mb.peerContactAt = mb.now.Steady
	if e.Epoch > 0 {
		mb.leaderExpectsOwnZoneOnly = len(e.Body) == 0
	}
	m := &protocol.PeerMessage{Kind: protocol.PeerStatus, AnsweredAgo: protocol.Forever}
	if isLeaderRole(mb.election.role) || mb.election.role == RoleClaiming {
		m.AnswersWorkers = true
	} else if e.Epoch > 0 && e.Epoch >= mb.election.leader.Epoch {
		mb.leaderContactAt = mb.now.Steady
		if e.Epoch > mb.election.leader.Epoch {
			// The state service would say the same; it may refuse this node.
			mb.election.leader = state.LeaderRecord{Controller: e.From, Epoch: e.Epoch, HeartbeatGrace: mb.election.leader.HeartbeatGrace}
			mb.election.leaderSuspectUntil = 0
		}
	}
	m.RedirectedWorkers, m.Body = mb.router.summarizeRedirectedWorkers()
	mb.mergeHandover(e.Body)
	// What the process before this one did, which may have ended a moment before, it
	// can't say: it counts as having answered until this one was born.
	m.AnsweredAgo = mb.now.Steady - max(mb.workerAnsweredAt, mb.startedAt)
	mb.emit(Reply{To: e.Reply, Status: 200, Body: protocol.AppendPeer(nil, m), Frame: true})
}

// isIsolatedFromQuorum reports whether this node is cut off: it has heard neither a leader
// nor the state service for a while.
func (mb *membership) isIsolatedFromQuorum() bool {
	at := mb.now.Steady
	return !isLeaderRole(mb.election.role) && at-max(mb.leaderContactAt, mb.startedAt) > quorumIsolationThreshold && at-max(mb.store.answeredAt, mb.startedAt) > quorumIsolationThreshold
}

// checkPeerLiveness asks the other controllers whether they are there, where this node has heard
// of none of them, nor of the state service, and asks them nothing else: see alone. The
// question names no epoch, so that nobody takes it for a leader's.
func (mb *membership) checkPeerLiveness() {
	at := mb.now.Steady
	if isLeaderRole(mb.election.role) && mb.election.role != RoleRecovering || at-mb.livenessCheckedAt < peerStatusInterval || at-max(mb.store.answeredAt, mb.peerContactAt) <= peerStatusInterval {
		return
	}
	mb.livenessCheckedAt = at
	frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerStatusRequest, From: mb.platform.ControllerName, Body: protocol.AppendHandoverState(nil, protocol.HandoverState{})})
	for _, s := range mb.platform.Peers {
		mb.callAddress(ToPeer, "", s.Address, "", frame, peerStatusInterval, func(CallResult) {})
	}
}

// checkLiveness finds out whether the state service can be reached, where no leader is
// heard.
func (mb *membership) checkLiveness() {
	mb.checkPeerLiveness()
	if !isLeaderRole(mb.election.role) && mb.now.Steady-max(mb.leaderContactAt, mb.store.answeredAt) > peerStatusInterval {
		mb.election.recheckLeader()
	}
}
