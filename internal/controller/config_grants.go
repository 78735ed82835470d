package controller

import (
	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

// sendGrants sends the leader's revision to the other controllers, which renews their leases on it.
// A leader whose own lease may have expired renews none.
func (cm *configManager) sendGrants(t *leaderTerm) {
	if !cm.election.mayActAsLeader() {
		return
	}
	var document []byte
	for _, p := range cm.platform.Peers {
		grant, needsDocument := t.config.granter.NextGrant(p.Name, t.epoch)
		m := &protocol.PeerMessage{
			Kind: protocol.PeerConfigGrant, Epoch: grant.Epoch, From: cm.platform.ControllerName,
			Revision: grant.Revision, Incarnation: grant.Incarnation, At: grant.AcknowledgedAt,
		}
		if needsDocument {
			if document == nil {
				document = configuration.EncodeDocument(cm.state.document)
			}
			m.Body = document
		}
		cm.sendPeer(p.Address, m, grantInterval, func(r CallResult) {
			if t.ended() {
				return
			}
			if ack := cm.membership.parsePeerMessage(r, protocol.PeerConfigAck); ack != nil {
				cm.onConfigAck(t, p.Name, ack)
			}
		})
	}
}

// onConfigAck handles a controller's acknowledgement of a revision. If the controller has a later
// revision than this leader, the head's record is missing or can't be read, or a write of this
// leader that got no answer was executed. The leader applies that revision and reads the record
// again.
func (cm *configManager) onConfigAck(t *leaderTerm, from string, ack *protocol.PeerMessage) {
	if ack.Revision > cm.state.revision && len(ack.Body) > 0 {
		if d, err := configuration.DecodeDocument(ack.Body); err == nil {
			cm.applyRevision(ack.Revision, d)
			cm.state.headKnown = false
			cm.refreshHead()
		}
	}
	t.config.granter.OnAck(from, ack.Incarnation, ack.At, ack.Revision, cm.now.Steady)
	cm.answerWaiters(t)
}

// onConfigGrantRequest applies a grant from the leader, and acknowledges the revision that is in
// force on this controller.
func (cm *configManager) onConfigGrantRequest(e ConfigGrantRequest) {
	s := cm.state
	if s == nil || cm.election.role.holdsLease() {
		cm.replyNotLeader(e.Reply)
		return
	}
	var document configuration.Document
	if len(e.Document) > 0 {
		var err error
		document, err = configuration.DecodeDocument(e.Document)
		if err != nil {
			cm.logMalformed("controller", err)
		}
	}
	if s.holder.ApplyGrant(cm.now.Steady, e.Grant, document != nil) == configuration.GrantAdopted {
		s.headKnown = false // a grant does not contain the revision of the head's record
		cm.applyRevision(e.Grant.Revision, document)
	}
	cm.updateLogLevel()
	ack := &protocol.PeerMessage{Kind: protocol.PeerConfigAck, Revision: s.holder.Revision, Incarnation: s.holder.Incarnation, At: cm.now.Steady}
	if e.Grant.Revision < s.revision {
		ack.Body = configuration.EncodeDocument(s.document) // in case the leader can't read the record
	}
	cm.replyFrame(e.Reply, ack)
}
