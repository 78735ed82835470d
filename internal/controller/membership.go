package controller

import (
	"net/http"
	"slices"

	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// membership tracks this controller's contact with the rest of the deployment: when it was last in
// contact with the other controllers, with the leader and with the state service. It also keeps
// the handover state that leaders send.
type membership struct {
	*environment
	election *election
	router   *workerRouter

	stateServiceHealth serviceHealth
	cloudHealth        serviceHealth

	stateServiceContactAt micros // time at which the state service last answered
	leaderContactAt       micros // time of a leader's last status request
	leaderAnsweredAt      micros // time at which the leader last answered a forwarded call
	peerContactAt         micros // time of the last request or answer from any other controller
	workerAnsweredAt      micros // time of the last answer to a worker as a follower
	livenessCheckedAt     micros // time of the last liveness check of other controllers
	// leaderExpectsOwnZoneOnly is set if the last leader sent no handover state: its version
	// assumes that isolated controllers answer only the workers of their own zone.
	leaderExpectsOwnZoneOnly bool
	handover                 protocol.HandoverState
}

const (
	// isolationThreshold is how long a controller must be without contact to the state service
	// and to all other controllers to count as isolated from all. The load balancer sends a health
	// check each second and needs two failed ones to react; users retry for a minute.
	isolationThreshold = 4 * protocol.Second
	// quorumIsolationThreshold is how long a controller must be without contact to a leader and
	// to the state service to count as isolated from the quorum. It is longer than
	// peerStatusLifetime, for which the leader relies on a status of this controller.
	quorumIsolationThreshold = 4 * protocol.Second
	// livenessCheckInterval is the time without contact after which the liveness of others is
	// checked, and the interval of these checks.
	livenessCheckInterval = protocol.Second
)

// observeCallResult updates the contact times and the health of services from the result of a
// call.
func (mb *membership) observeCallResult(target Target, r CallResult) {
	switch target {
	case ToState:
		mb.observeServiceCall(&mb.stateServiceHealth, r)
		if r.Status > 0 && r.Status != http.StatusServiceUnavailable {
			mb.stateServiceContactAt = mb.now.Steady
		}
	case ToCloud:
		mb.observeServiceCall(&mb.cloudHealth, r)
	case ToPeer:
		if r.Status == http.StatusOK {
			mb.peerContactAt = mb.now.Steady
		}
	case ToWorker, ToInstance:
	}
}

// onHealthzRequest answers the load balancer whether this controller can serve users. A controller
// without contact to the state service and to any other controller can't serve users, while other
// controllers may be able to. If it stayed in rotation, users would keep their connections to it,
// each request would be answered with 503, and a job whose queries all arrive here would count as
// lost. During an outage of the state service the controllers are still in contact with each
// other, so the outage removes no controller from the load balancer.
func (mb *membership) onHealthzRequest(e HealthzRequest) {
	if mb.isIsolatedFromAll() {
		mb.refuse(e.Reply, refusalIsolated)
		return
	}
	mb.reply(e.Reply, http.StatusOK, []byte(`{}`))
}

// silentFor returns the time since the last contact, or since the start of the process if that is
// shorter.
func (mb *membership) silentFor(lastContact micros) micros {
	return mb.now.Steady - max(lastContact, mb.startedAt)
}

// isIsolatedFromAll reports whether this controller has been without contact to the state service
// and to all other controllers for isolationThreshold.
func (mb *membership) isIsolatedFromAll() bool {
	return len(mb.platform.Peers) > 0 && mb.silentFor(mb.stateServiceContactAt) > isolationThreshold &&
		mb.silentFor(mb.peerContactAt) > isolationThreshold
}

// isIsolatedFromQuorum reports whether this controller does not lead and has been without contact
// to a leader and to the state service for quorumIsolationThreshold.
func (mb *membership) isIsolatedFromQuorum() bool {
	return !mb.election.role.leads() && mb.silentFor(mb.leaderContactAt) > quorumIsolationThreshold &&
		mb.silentFor(mb.stateServiceContactAt) > quorumIsolationThreshold
}

// checkLiveness checks whether the other controllers and the state service can be reached, if there
// was no contact with them recently.
func (mb *membership) checkLiveness() {
	mb.checkPeerLiveness()
	if !mb.election.role.leads() && mb.now.Steady-max(mb.leaderContactAt, mb.stateServiceContactAt) > livenessCheckInterval {
		mb.election.recheckLeader()
	}
}

// checkPeerLiveness sends status requests to the other controllers if this one had no recent
// contact with them or with the state service, and does not poll their status as the leader. The
// request contains no epoch, so that the receivers don't mistake the sender for a leader.
func (mb *membership) checkPeerLiveness() {
	now, role := mb.now.Steady, mb.election.role
	leads := role.leads() && role != RoleRecovering // a leader polls its peers anyway
	if leads || now-mb.livenessCheckedAt < livenessCheckInterval || now-max(mb.stateServiceContactAt, mb.peerContactAt) <= livenessCheckInterval {
		return
	}
	mb.livenessCheckedAt = now
	empty := protocol.AppendHandoverState(nil, protocol.HandoverState{})
	frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerStatusRequest, From: mb.platform.ControllerName, Body: empty})
	for _, p := range mb.platform.Peers {
		mb.sendFrame(p.Address, frame, livenessCheckInterval, func(CallResult) {})
	}
}

// onPeerStatusRequest reports to another controller whether this one answers workers. If this
// controller leads under an earlier epoch than the sender, it steps down.
func (mb *membership) onPeerStatusRequest(e PeerStatusRequest) {
	if mb.election.role.leads() && e.Epoch > mb.election.lease.epoch {
		mb.election.stepDownSuperseded("another controller leads")
	}
	mb.peerContactAt = mb.now.Steady
	if e.Epoch > 0 {
		mb.leaderExpectsOwnZoneOnly = len(e.Body) == 0
	}
	m := &protocol.PeerMessage{Kind: protocol.PeerStatus, AnswersWorkers: mb.election.role.holdsLease()}
	if !m.AnswersWorkers && e.Epoch > 0 && e.Epoch >= mb.election.leader.Epoch {
		mb.observeLeaderContact(e)
	}
	m.RedirectedWorkers, m.Body = mb.router.summarizeRedirectedWorkers()
	mb.mergeHandover(e.Body)
	// The previous process of this controller may have ended just before this one started, and
	// may have answered workers until then. So the reported time of the last answer is the start
	// of this process or later.
	m.AnsweredAgo = mb.silentFor(mb.workerAnsweredAt)
	mb.replyFrame(e.Reply, m)
}

// observeLeaderContact records that a leader has requested this controller's status.
func (mb *membership) observeLeaderContact(e PeerStatusRequest) {
	mb.leaderContactAt = mb.now.Steady
	leader := &mb.election.leader
	if e.Epoch > leader.Epoch {
		// The leader key contains the same, but the state service may refuse this
		// controller's reads.
		*leader = records.Leader{Controller: e.From, Epoch: e.Epoch, HeartbeatGrace: leader.HeartbeatGrace}
		mb.election.leaderSuspectUntil = 0
		mb.election.logLeader(*leader, "status request", 0)
	}
}

// mergeHandover stores the handover state that a leader sends, unless a newer one is known.
func (mb *membership) mergeHandover(body []byte) {
	if len(body) == 0 || mb.election.role.leads() {
		return
	}
	h, err := protocol.ParseHandoverState(body)
	if err != nil {
		mb.logMalformed("controller", err)
		return
	}
	mb.handover = leadership.Newest(mb.handover, h)
}

// mayAnswerZone reports whether an isolated controller in one zone may answer the workers of a
// zone. It may answer those of its own zone, and those of any zone without a controller: no
// controller would be responsible for the latter otherwise, and they would lose all their tasks if
// the leader ended during an outage of the state service.
func (mb *membership) mayAnswerZone(controllerZone, workerZone string) bool {
	if controllerZone == workerZone {
		return true
	}
	if mb.platform.Zone == workerZone {
		return false
	}
	return !slices.ContainsFunc(mb.platform.Peers, func(p protocol.Peer) bool { return p.Zone == workerZone })
}

// parsePeerResponse decodes another controller's response to a forwarded call. ok is false if
// there is no valid response, or if the other controller does not lead.
func (mb *membership) parsePeerResponse(r CallResult) (response *protocol.PeerMessage, ok bool) {
	m := mb.parsePeerMessage(r, protocol.PeerResponse)
	return m, m != nil && m.Status != 0
}

// parsePeerMessage decodes a message of the given kind from the result of a call to another
// controller. It returns nil if there is no such message.
func (mb *membership) parsePeerMessage(r CallResult, kind protocol.PeerKind) *protocol.PeerMessage {
	if r.Status != http.StatusOK {
		return nil
	}
	m, err := protocol.ParsePeer(r.Body)
	if err != nil {
		mb.logMalformed("controller", err)
		return nil
	}
	if m.Kind != kind {
		return nil
	}
	return m
}

// peerAddress returns the address of another controller, or "" if the name is unknown or is this
// controller's.
func (mb *membership) peerAddress(name string) string {
	for _, p := range mb.platform.Peers {
		if p.Name == name {
			return p.Address
		}
	}
	return ""
}

// peerNames returns the names of the other controllers.
func (mb *membership) peerNames() []string {
	names := make([]string, len(mb.platform.Peers))
	for i, p := range mb.platform.Peers {
		names[i] = p.Name
	}
	return names
}

// controllerNames returns the names of all controllers, this one first.
func (mb *membership) controllerNames() []string {
	return append([]string{mb.platform.ControllerName}, mb.peerNames()...)
}
