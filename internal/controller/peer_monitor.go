package controller

import (
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// peerMonitor polls the other controllers for their status as the leader.
//
// A controller that is cut off together with a zone goes on answering that zone's workers,
// without commands, so that their leases don't expire and their tasks go on. A leader outside
// can then not tell by time that such tasks are gone: it counts on the expiry of leases only
// while the controllers that may answer a host's zone say that they don't.
type peerMonitor struct {
	*termContext
	handover   *handoverWriter
	membership *membership

	statuses map[string]peerStatus // by controller
	quiesced bool                  // each has said that it answers nobody under an earlier epoch
}

const (
	peerStatusInterval = protocol.Second
	// peerStatusLifetime is how long what a controller said of itself holds. It is shorter than
	// quorumIsolationThreshold, before which it does not begin to answer workers.
	peerStatusLifetime = 3 * protocol.Second
	// leaseExpiryMargin is added to leases for delays within hosts.
	leaseExpiryMargin = 100 * protocol.Millisecond
)

// peerStatus is what another controller last said of itself.
type peerStatus struct {
	requestedAt      micros                  // when it was asked, 0: it has not answered in this term
	workerAnsweredAt micros                  // when it last answered a worker
	reachability     leadership.Reachability // workers that come to it because they can't reach this controller
}

// isFresh reports whether a status still holds.
func (s peerStatus) isFresh(now micros) bool {
	return s.requestedAt > 0 && now-s.requestedAt <= peerStatusLifetime
}

// pollPeerStatus asks the other controllers whether they answer workers, as long as the term
// lasts. What this leader hands over goes with it, where the other side does not have it.
func (pm *peerMonitor) pollPeerStatus() {
	if pm.ended() {
		return
	}
	requestedAt := pm.now.Steady
	handover := pm.membership.handover
	without, with := pm.encodeStatusRequest(protocol.HandoverState{}), pm.encodeStatusRequest(handover)
	for _, p := range pm.platform.Peers {
		frame := without
		if pm.handover.needsSending(p.Name, handover) {
			frame = with
		}
		pm.sendFrame(p.Address, frame, peerStatusInterval, func(r CallResult) {
			if pm.ended() {
				return
			}
			m := pm.membership.parsePeerMessage(r, protocol.PeerStatus)
			if m == nil || m.AnswersWorkers {
				return
			}
			pm.observeStatus(p.Name, requestedAt, m)
			pm.handover.onSent(p.Name, handover)
			pm.checkPeersQuiesced()
		})
	}
	pm.after(peerStatusInterval, pm.pollPeerStatus)
}

// observeStatus takes a controller's status that was asked for at an instant.
func (pm *peerMonitor) observeStatus(name string, requestedAt micros, m *protocol.PeerMessage) {
	now := pm.now.Steady
	s := pm.statuses[name]
	// Between two answers that are this close it can't have taken itself for cut off, also if
	// it was started anew between them.
	unbroken := s.requestedAt > 0 && now-s.requestedAt < quorumIsolationThreshold-maxClockDrift(quorumIsolationThreshold)
	s.requestedAt, s.reachability = max(s.requestedAt, requestedAt), pm.parseReachability(m)
	if m.AnsweredAgo < protocol.Forever && !unbroken {
		s.workerAnsweredAt = max(s.workerAnsweredAt, now-m.AnsweredAgo)
	}
	pm.statuses[name] = s
}

// checkPeersQuiesced notes when each of the others has said that it does not answer workers
// under an earlier epoch. From then on leases tell when the tasks of hosts that were recorded
// before are gone.
func (pm *peerMonitor) checkPeersQuiesced() {
	if pm.quiesced {
		return
	}
	for _, p := range pm.platform.Peers {
		if !pm.statuses[p.Name].isFresh(pm.now.Steady) {
			return
		}
	}
	pm.quiesced = true
	pm.log.Info("no other controller answers workers", "epoch", pm.epoch)
	for _, h := range pm.cluster.Hosts() {
		if h.Record.FromEarlierEpoch && !h.Reconciled {
			h.Agent.LeaseRenewedAt = min(h.Agent.LeaseRenewedAt, pm.now.Steady)
		}
	}
}

// leaseExpired reports whether a worker's lease has certainly expired: nobody can have renewed
// it for that long.
func (pm *peerMonitor) leaseExpired(h *state.Host) bool {
	now, lease := pm.now.Steady, pm.platform.WorkerLease
	renewedAt := h.Agent.LeaseRenewedAt
	for _, p := range pm.platform.Peers {
		if !pm.membership.mayAnswerZone(p.Zone, h.Zone) {
			continue
		}
		s := pm.statuses[p.Name]
		if !s.isFresh(now) {
			return false
		}
		renewedAt = max(renewedAt, s.workerAnsweredAt)
	}
	return now > renewedAt+lease+maxClockDrift(lease)+leaseExpiryMargin
}

// encodeStatusRequest makes a leader's status request with a handover state, which is empty
// where the other side has it already.
func (pm *peerMonitor) encodeStatusRequest(h protocol.HandoverState) []byte {
	return protocol.AppendPeer(nil, &protocol.PeerMessage{
		Kind: protocol.PeerStatusRequest, Epoch: pm.epoch, From: pm.platform.ControllerName, Body: protocol.AppendHandoverState(nil, h),
	})
}

// parseReachability reads how many workers another controller hears that can't reach this one.
// One that doesn't tell zones apart counts all that came to it.
func (pm *peerMonitor) parseReachability(m *protocol.PeerMessage) leadership.Reachability {
	if len(m.Body) == 0 {
		return leadership.Reachability{"": int(m.RedirectedWorkers)}
	}
	reachable, err := protocol.ParseReachability(m.Body)
	if err != nil {
		pm.logMalformed("controller", err)
		return nil
	}
	return reachable
}
