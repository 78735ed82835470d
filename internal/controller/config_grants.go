package controller

import (
	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

// sendGrants tells the others which revision the leader goes by, and so renews their
// leases on it. A leader that is not certain to lead renews none.
func (cm *configManager) sendGrants(t *leaderTerm) {
	if !cm.election.mayActAsLeader() {
		return
	}
	s := cm.state
	var document []byte
	for _, o := range cm.platform.Peers {
		q, needs := t.config.granter.Ask(o.Name, t.epoch)
		m := &protocol.PeerMessage{Kind: protocol.PeerConfigGrant, Epoch: q.Epoch, From: cm.platform.ControllerName, Revision: q.Revision, Incarnation: q.Life, At: q.Heard}
		if needs {
			if document == nil {
				document = configuration.EncodeDocument(s.document)
			}
			m.Body = document
		}
		cm.callAddress(ToPeer, "", o.Address, "", protocol.AppendPeer(nil, m), grantInterval, func(r CallResult) {
			if cm.term != t || r.Status != 200 {
				return
			}
			a, err := protocol.ParsePeer(r.Body)
			if err != nil {
				cm.logMalformed("controller", err)
				return
			}
			if a.Kind != protocol.PeerConfigAck {
				return
			}
			if a.Revision > s.revision && len(a.Body) > 0 {
				// It knows a later one than this leader: the record is gone or can't be read,
				// or a write of this leader without an answer was applied. To be read again.
				if d, err := configuration.DecodeDocument(a.Body); err == nil {
					cm.applyRevision(a.Revision, d)
					s.known = false
					cm.refreshHead()
				}
			}
			t.config.granter.Answered(o.Name, a.Incarnation, a.At, a.Revision, cm.now.Steady)
			cm.answerWaiters(t)
		})
	}
}

// onConfigGrantRequest answers a leader's question about the configuration.
func (cm *configManager) onConfigGrantRequest(e ConfigGrantRequest) {
	s := cm.state
	if s == nil || isLeaderRole(cm.election.role) || cm.election.role == RoleClaiming {
		cm.reply(e.Reply, 0, nil, 0)
		return
	}
	var d configuration.Document
	if len(e.Document) > 0 {
		var err error
		if d, err = configuration.DecodeDocument(e.Document); err != nil {
			cm.logMalformed("controller", err)
		}
	}
	if s.holder.Take(cm.now.Steady, e.Grant, d != nil) == configuration.Adopting {
		s.known = false // its stamp is not
		cm.applyRevision(e.Grant.Revision, d)
	}
	cm.updateLogLevel()
	m := &protocol.PeerMessage{Kind: protocol.PeerConfigAck, Revision: s.holder.Revision, Incarnation: s.holder.Life, At: cm.now.Steady}
	if e.Grant.Revision < s.revision {
		m.Body = configuration.EncodeDocument(s.document) // in case the leader can't read the record
	}
	cm.emit(Reply{To: e.Reply, Status: 200, Frame: true, Body: protocol.AppendPeer(nil, m)})
}
