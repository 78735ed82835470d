package controller

import (
	"slices"

	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// membership is what this controller knows of the others: when it was last in contact with
// them and with the leader, and the handover state that leaders pass on.
type membership struct {
	*environment
	election *election
	router   *workerRouter
	store    *stateStore

	leaderContactAt          micros // when a leader last asked for this controller's status
	leaderAnsweredAt         micros // when the leader last answered a forwarded call
	peerContactAt            micros // when any other controller was last heard
	workerAnsweredAt         micros // when this controller last answered a worker without leading
	livenessCheckedAt        micros // when the others were last asked whether they are there
	leaderExpectsOwnZoneOnly bool   // the last leader knows only of controllers that answer their own zone
	handover                 protocol.HandoverState
}

// onHealth tells the load balancer whether users should come here. A node that hears
// neither the state service nor any other controller can serve nobody, while others may:
// users keep their connections to it, each question is answered 503, and a job of which
// all questions end here is forgotten by that. While the state service is down for all
// the controllers hear each other, so an outage takes no node away from the balancer.
func (mb *membership) onHealth(e HealthzRequest) {
	if mb.isIsolatedFromAll() {
		mb.replyUnavailable(e.Reply, refusalIsolated)
		return
	}
	mb.reply(e.Reply, 200, []byte(`{}`), 0)
}

// isolationThreshold is how long a node has to hear nobody to be alone. Health checks come once
// a second and it takes two; users' patience is a minute.
const isolationThreshold = 4 * protocol.Second

func (mb *membership) isIsolatedFromAll() bool {
	at := mb.now.Steady
	return len(mb.platform.Peers) > 0 && at-max(mb.store.answeredAt, mb.startedAt) > isolationThreshold && at-max(mb.peerContactAt, mb.startedAt) > isolationThreshold
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
			mb.election.leader = records.Leader{Controller: e.From, Epoch: e.Epoch, HeartbeatGrace: mb.election.leader.HeartbeatGrace}
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

// mergeHandover keeps what a leader tells.
func (mb *membership) mergeHandover(body []byte) {
	if len(body) == 0 || isLeaderRole(mb.election.role) {
		return
	}
	m, err := protocol.ParseHandoverState(body)
	if err != nil {
		mb.logMalformed("controller", err)
		return
	}
	mb.handover = leadership.Newest(mb.handover, m)
}

// controllerNames are the names of all controllers of the settings.
func (mb *membership) controllerNames() []string {
	names := []string{mb.platform.ControllerName}
	for _, s := range mb.platform.Peers {
		names = append(names, s.Name)
	}
	return names
}

func (mb *membership) peerNames() []string {
	names := make([]string, len(mb.platform.Peers))
	for i, s := range mb.platform.Peers {
		names[i] = s.Name
	}
	return names
}
