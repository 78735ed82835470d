package controller

import (
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// peerMonitor polls the other controllers for their status as the leader. A leader counts on
// the expiry of leases only while the controllers that may answer a host's zone say that they
// don't.
type peerMonitor struct {
	*termContext
	handover   *handoverWriter
	membership *membership

	statuses map[string]peerStatus // by controller
	quiesced bool                  // each has said that it answers nobody under an earlier epoch
}

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
		if h.Record.FromEarlierEpoch && !h.Reconciled {
			h.Agent.LeaseRenewedAt = min(h.Agent.LeaseRenewedAt, pm.now.Steady)
		}
	}
}

// leaseExpired reports whether a host's lease has certainly ended: nobody can have
// answered it for that long.
func (pm *peerMonitor) leaseExpired(h *state.Host) bool {
	at, lease := pm.now.Steady, pm.platform.WorkerLease
	answered := h.Agent.LeaseRenewedAt
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

// encodeStatusRequest makes a leader's question, with what it has seen. That is empty where the
// other side has it already.
func (pm *peerMonitor) encodeStatusRequest(m protocol.HandoverState) []byte {
	return protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerStatusRequest, Epoch: pm.epoch, From: pm.platform.ControllerName, Body: protocol.AppendHandoverState(nil, m)})
}

// parseReachability reads how many workers another controller hears that can't reach this
// one. One that doesn't tell zones apart counts all that came to it.
func (pm *peerMonitor) parseReachability(m *protocol.PeerMessage) leadership.Reachability {
	if len(m.Body) == 0 {
		return leadership.Reachability{"": int(m.RedirectedWorkers)}
	}
	heard, err := protocol.ParseReachability(m.Body)
	if err != nil {
		pm.logMalformed("controller", err)
		return nil
	}
	return heard
}
