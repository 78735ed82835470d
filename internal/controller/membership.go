package controller

import (
	"net/http"
	"slices"

	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// membership is what this controller knows of the others: when it was last in contact with
// them, with the leader and with the state service, and the handover state that leaders pass
// on.
type membership struct {
	*environment
	election *election
	router   *workerRouter

	stateServiceHealth serviceHealth
	cloudHealth        serviceHealth

	stateServiceContactAt    micros // when the state service last answered
	leaderContactAt          micros // when a leader last asked for this controller's status
	leaderAnsweredAt         micros // when the leader last answered a forwarded call
	peerContactAt            micros // when any other controller was last heard
	workerAnsweredAt         micros // when this controller last answered a worker without leading
	livenessCheckedAt        micros // when the others were last asked whether they are there
	leaderExpectsOwnZoneOnly bool   // the last leader knows only of controllers that answer their own zone
	handover                 protocol.HandoverState
}

const (
	// isolationThreshold is how long a controller has to hear nobody to count as isolated from
	// all. Health checks come once a second and it takes two; users try for a minute.
	isolationThreshold = 4 * protocol.Second
	// quorumIsolationThreshold is how long a controller has to hear neither a leader nor the
	// state service to count as isolated from the quorum. It is longer than peerStatusLifetime,
	// for which what it said to a leader holds.
	quorumIsolationThreshold = 4 * protocol.Second
	// livenessCheckInterval is after how long without contact others are asked whether they
	// are there.
	livenessCheckInterval = protocol.Second
)

// observeCallResult notes what the result of a call says of the other side.
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

// onHealthzRequest tells the load balancer whether users should come here. A controller that
// hears neither the state service nor any other controller can serve nobody, while others may:
// users keep their connections to it, each request is answered 503, and a job of which all
// queries end here counts as forgotten. While the state service is down for all, the
// controllers hear each other, so an outage takes no controller away from the balancer.
func (mb *membership) onHealthzRequest(e HealthzRequest) {
	if mb.isIsolatedFromAll() {
		mb.refuse(e.Reply, refusalIsolated)
		return
	}
	mb.reply(e.Reply, http.StatusOK, []byte(`{}`))
}

// silentFor is how long nothing was heard, counted from the start of the process at most.
func (mb *membership) silentFor(lastContact micros) micros {
	return mb.now.Steady - max(lastContact, mb.startedAt)
}

func (mb *membership) isIsolatedFromAll() bool {
	return len(mb.platform.Peers) > 0 && mb.silentFor(mb.stateServiceContactAt) > isolationThreshold &&
		mb.silentFor(mb.peerContactAt) > isolationThreshold
}

// isIsolatedFromQuorum reports whether this controller is cut off: it has heard neither a
// leader nor the state service for a while.
func (mb *membership) isIsolatedFromQuorum() bool {
	return !mb.election.role.leads() && mb.silentFor(mb.leaderContactAt) > quorumIsolationThreshold &&
		mb.silentFor(mb.stateServiceContactAt) > quorumIsolationThreshold
}

// checkLiveness finds out whether the other controllers and the state service can be reached,
// where nothing is heard of them.
func (mb *membership) checkLiveness() {
	mb.checkPeerLiveness()
	if !mb.election.role.leads() && mb.now.Steady-max(mb.leaderContactAt, mb.stateServiceContactAt) > livenessCheckInterval {
		mb.election.recheckLeader()
	}
}

// checkPeerLiveness asks the other controllers whether they are there, where this one has
// heard neither of them nor of the state service and asks them nothing else. The question
// names no epoch, so that nobody takes it for a leader's.
func (mb *membership) checkPeerLiveness() {
	now, role := mb.now.Steady, mb.election.role
	leads := role.leads() && role != RoleRecovering // then it polls their status anyway
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

// onPeerStatusRequest tells another controller whether this one answers workers. One that led
// under an earlier epoch steps down.
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
	// What the process before this one did, which may have ended a moment before, this one
	// can't say: it counts as having answered until this one began.
	m.AnsweredAgo = mb.silentFor(mb.workerAnsweredAt)
	mb.replyFrame(e.Reply, m)
}

// observeLeaderContact notes that a leader has asked for this controller's status.
func (mb *membership) observeLeaderContact(e PeerStatusRequest) {
	mb.leaderContactAt = mb.now.Steady
	leader := &mb.election.leader
	if e.Epoch > leader.Epoch {
		// The state service would say the same; it may refuse this controller.
		*leader = records.Leader{Controller: e.From, Epoch: e.Epoch, HeartbeatGrace: leader.HeartbeatGrace}
		mb.election.leaderSuspectUntil = 0
	}
}

// mergeHandover keeps the handover state that a leader passes on.
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

// mayAnswerZone reports whether a controller of one zone may answer the workers of another
// when it is cut off: of its own, and of a zone without a controller each of them. Otherwise
// those workers lose all that runs on them when the leader ends during an outage of the state
// service, because no other controller is theirs.
func (mb *membership) mayAnswerZone(controllerZone, workerZone string) bool {
	if controllerZone == workerZone {
		return true
	}
	if mb.platform.Zone == workerZone {
		return false
	}
	return !slices.ContainsFunc(mb.platform.Peers, func(p protocol.Peer) bool { return p.Zone == workerZone })
}

// parsePeerResponse reads another controller's response to a forwarded call. ok is false if
// there is none that can be used, or if the other controller does not lead.
func (mb *membership) parsePeerResponse(r CallResult) (response *protocol.PeerMessage, ok bool) {
	m := mb.parsePeerMessage(r, protocol.PeerResponse)
	return m, m != nil && m.Status != 0
}

// parsePeerMessage reads a message of a kind from the result of a call to another controller,
// nil if there is none.
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

// peerAddress finds another controller's address, "" if it is unknown or this controller.
func (mb *membership) peerAddress(name string) string {
	for _, p := range mb.platform.Peers {
		if p.Name == name {
			return p.Address
		}
	}
	return ""
}

// peerNames are the names of the other controllers.
func (mb *membership) peerNames() []string {
	names := make([]string, len(mb.platform.Peers))
	for i, p := range mb.platform.Peers {
		names[i] = p.Name
	}
	return names
}

// controllerNames are the names of all controllers.
func (mb *membership) controllerNames() []string {
	return append([]string{mb.platform.ControllerName}, mb.peerNames()...)
}
