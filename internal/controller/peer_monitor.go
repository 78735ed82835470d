package controller

import (
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// peerMonitor polls the status of the other controllers while this controller leads.
//
// A controller that is isolated together with a zone continues to answer that zone's workers,
// without commands, so that their leases don't expire and their tasks continue to run. A leader
// outside of the zone can't conclude from the elapsed time that such tasks have ended. It relies on
// the expiry of leases only while all controllers that may answer the host's zone report that they
// don't answer workers.
type peerMonitor struct {
	*termContext
	election   *election
	handover   *handoverWriter
	membership *membership

	statuses map[string]peerStatus // by controller
	// quiescedAt is the time at which every other controller had reported that it does not answer
	// workers under an earlier epoch, 0 before.
	quiescedAt micros
}

const (
	peerStatusInterval = protocol.Second
	// peerStatusLifetime is how long the status of a controller is valid. It is shorter than
	// quorumIsolationThreshold, the time after which an isolated controller begins to answer
	// workers.
	peerStatusLifetime = 3 * protocol.Second
	// leaseExpiryMargin is added to workers' leases for delays within hosts.
	leaseExpiryMargin = 100 * protocol.Millisecond
)

// peerStatus is the last reported status of another controller.
type peerStatus struct {
	requestedAt      micros // time of the request, 0 if there was no answer in this term
	workerAnsweredAt micros // time at which the controller last answered a worker
	// reachability counts the workers that contact the controller because they can't reach this
	// one, by zone.
	reachability leadership.Reachability
}

// isFresh reports whether a status is still valid.
func (s peerStatus) isFresh(now micros) bool {
	return s.requestedAt > 0 && now-s.requestedAt <= peerStatusLifetime
}

// pollPeerStatus requests periodically, until the term ends, whether the other controllers answer
// workers. The request contains this leader's handover state if the receiver does not have it.
func (pm *peerMonitor) pollPeerStatus() {
	if pm.ended() {
		return
	}
	requestedAt := pm.now.Steady
	handover := pm.membership.handover
	withoutHandover, withHandover := pm.encodeStatusRequest(protocol.HandoverState{}), pm.encodeStatusRequest(handover)
	for _, p := range pm.platform.Peers {
		frame := withoutHandover
		if pm.handover.needsSending(p.Name, handover) {
			frame = withHandover
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

// observeStatus stores a controller's status that was requested at requestedAt.
func (pm *peerMonitor) observeStatus(name string, requestedAt micros, m *protocol.PeerMessage) {
	now := pm.now.Steady
	s := pm.statuses[name]
	// Less time has passed since the previous request than a controller needs to consider itself
	// isolated, even if it restarted meanwhile.
	neverIsolated := s.requestedAt > 0 && now-s.requestedAt < quorumIsolationThreshold-maxClockDrift(quorumIsolationThreshold)
	s.requestedAt, s.reachability = max(s.requestedAt, requestedAt), pm.parseReachability(m)
	if m.AnsweredAgo < protocol.Forever && !neverIsolated {
		s.workerAnsweredAt = max(s.workerAnsweredAt, now-m.AnsweredAgo)
	}
	pm.statuses[name] = s
}

// checkPeersQuiesced checks whether every other controller has reported that it does not answer
// workers under an earlier epoch. From then on the expiry of leases proves that the tasks of hosts
// that were recorded under earlier epochs have ended.
func (pm *peerMonitor) checkPeersQuiesced() {
	if pm.quiescedAt > 0 {
		return
	}
	for _, p := range pm.platform.Peers {
		if !pm.statuses[p.Name].isFresh(pm.now.Steady) {
			return
		}
	}
	pm.quiescedAt = pm.now.Steady
	pm.log.Info("no other controller answers workers", "epoch", pm.epoch)
	for _, h := range pm.cluster.Hosts() {
		if h.Record.FromEarlierEpoch && !h.Reconciled {
			h.Agent.LeaseRenewedAt = min(h.Agent.LeaseRenewedAt, pm.now.Steady)
		}
	}
}

// leaseExpired reports whether a worker's lease has certainly expired: no controller can have
// renewed it within its duration.
func (pm *peerMonitor) leaseExpired(h *state.Host) bool {
	return pm.notRenewedSince(h, h.Agent.LeaseRenewedAt)
}

// earlierLeaseExpired reports whether the lease that a worker had at the beginning of this term has
// certainly expired, unless this leader has renewed it.
func (pm *peerMonitor) earlierLeaseExpired(h *state.Host) bool {
	renewedAt := pm.quiescedAt
	if renewedAt == 0 {
		renewedAt = pm.election.lease.predecessorAnswersUntil
	}
	// While it read the records, this controller answered workers without keeping their state.
	return pm.notRenewedSince(h, max(renewedAt, pm.recordsLoadedAt))
}

// notRenewedSince reports whether a worker's lease has certainly expired if this leader and its
// predecessors have not renewed it since a time: no other controller has either.
func (pm *peerMonitor) notRenewedSince(h *state.Host, renewedAt micros) bool {
	now, lease := pm.now.Steady, pm.platform.WorkerLease
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

// encodeStatusRequest encodes a leader's status request with a handover state, which is empty if
// the receiver already has the current one.
func (pm *peerMonitor) encodeStatusRequest(h protocol.HandoverState) []byte {
	return protocol.AppendPeer(nil, &protocol.PeerMessage{
		Kind: protocol.PeerStatusRequest, Epoch: pm.epoch, From: pm.platform.ControllerName, Body: protocol.AppendHandoverState(nil, h),
	})
}

// parseReachability decodes how many workers contact another controller because they can't reach
// this one. A controller that reports no zones counts all workers that contacted it.
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
