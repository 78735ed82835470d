package controller

import (
	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

// sendGrants tells the other controllers which revision the leader goes by, and so renews their
// leases on it. A leader that is not certain to lead renews none.
func (cm *configManager) sendGrants(t *leaderTerm) {
	if !cm.election.mayActAsLeader() {
		return
	}
	var document []byte
	for _, p := range cm.platform.Peers {
		grant, needsDocument := t.config.granter.NextGrant(p.Name, t.epoch)
		m := &protocol.PeerMessage{
			Kind: protocol.PeerConfigGrant, Epoch: grant.Epoch, From: cm.platform.ControllerName,
			Revision: grant.Revision, Incarnation: grant.Incarnation, At: grant.HeardAt,
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

// onConfigAck takes a controller's acknowledgement of a revision. If it knows a later one than
// this leader, the record is gone or can't be read, or a write of this leader without an answer
// was carried out: the record is read again.
func (cm *configManager) onConfigAck(t *leaderTerm, from string, ack *protocol.PeerMessage) {
	if ack.Revision > cm.state.revision && len(ack.Body) > 0 {
		if d, err := configuration.DecodeDocument(ack.Body); err == nil {
			cm.applyRevision(ack.Revision, d)
			cm.state.known = false
			cm.refreshHead()
		}
	}
	t.config.granter.OnAck(from, ack.Incarnation, ack.At, ack.Revision, cm.now.Steady)
	cm.answerWaiters(t)
}

// onConfigGrantRequest takes a leader's grant, and acknowledges the revision that is in force
// here.
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
		s.known = false // the revision of the head's record is not
		cm.applyRevision(e.Grant.Revision, document)
	}
	cm.updateLogLevel()
	ack := &protocol.PeerMessage{Kind: protocol.PeerConfigAck, Revision: s.holder.Revision, Incarnation: s.holder.Incarnation, At: cm.now.Steady}
	if e.Grant.Revision < s.revision {
		ack.Body = configuration.EncodeDocument(s.document) // in case the leader can't read the record
	}
	cm.replyFrame(e.Reply, ack)
}
