package controller

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

// configWaiter is an operator's request that waits until a revision is in force on all controllers.
type configWaiter struct {
	reply    operatorReply
	revision uint64
	until    micros
}

// operatorReply replies to an operator's request. Only its first call has an effect.
type operatorReply func(status int, body []byte)

// unavailable replies that the request can't be served now.
func (reply operatorReply) unavailable() { reply(http.StatusServiceUnavailable, nil) }

// configRequest is a parsed request about the configuration.
type configRequest struct {
	change   *configuration.Request // of a change or a rollback
	revision uint64                 // to wait for, or before which entries are requested
}

var (
	errBadWaitRevision   = errors.New("revision: must be a revision's number")
	errBadBeforeRevision = errors.New("before: must be a revision's number")
)

// parseConfigRequest parses a request about the configuration.
func parseConfigRequest(e UserRequest) (r configRequest, err error) {
	switch e.Op {
	case protocol.OpConfigApply, protocol.OpConfigRollback:
		r.change, err = e.content.change, e.content.err
	case protocol.OpConfigWait:
		r.revision, err = strconv.ParseUint(e.Ref, 10, 64)
		if err != nil {
			err = errBadWaitRevision
		}
	case protocol.OpConfigHistory:
		if e.Ref == "" {
			break
		}
		r.revision, err = strconv.ParseUint(e.Ref, 10, 64)
		if err != nil {
			err = errBadBeforeRevision
		}
	default: // no parameters
	}
	return r, err
}

// onConfigRequest handles an operator's request about the configuration, whether it comes from the
// operator or was forwarded by another controller.
func (cm *configManager) onConfigRequest(e UserRequest) {
	if cm.state == nil {
		cm.replyError(e.Reply, http.StatusNotFound, "changes of the configuration are off")
		return
	}
	r, err := parseConfigRequest(e)
	if err != nil {
		cm.replyError(e.Reply, http.StatusBadRequest, err.Error())
		return
	}
	switch {
	case cm.election.mayActAsLeader():
		cm.serveRequest(e, r)
	case e.Reply.Peer:
		cm.replyNotLeader(e.Reply)
	default:
		cm.users.forwardLeaderOnly(e, operatorTimeout+forwardMargin, cm.now.Steady)
	}
}

// serveRequest serves a request as the leader.
func (cm *configManager) serveRequest(e UserRequest, r configRequest) {
	switch e.Op {
	case protocol.OpConfig:
		cm.replyConfig(e.Reply)
	case protocol.OpConfigStatus:
		cm.replyConfigStatus(e.Reply)
	case protocol.OpConfigWait:
		cm.awaitRevision(e.Reply, r.revision)
	case protocol.OpConfigHistory:
		cm.replyHistory(cm.replyOnce(e.Reply, refusalStateService), r.revision)
	default:
		cm.changeConfig(cm.replyOnce(e.Reply, refusalStateService), r.change)
	}
}

// awaitRevision replies once a revision is in force on all controllers.
func (cm *configManager) awaitRevision(to ReplyAddress, revision uint64) {
	if revision > cm.state.revision {
		cm.replyError(to, http.StatusConflict, fmt.Sprintf("there is no revision %d, the last one is %d", revision, cm.state.revision))
		return
	}
	t := cm.term
	w := configWaiter{cm.replyOnce(to, refusalRevisionPending), revision, cm.now.Steady + operatorTimeout}
	t.config.waiters = append(t.config.waiters, w)
	cm.answerWaiters(t)
}

// answerWaiters replies to the operators whose revision is in force on all controllers. The leader
// does so only while its own lease certainly holds, because then no other controller acts as the
// leader.
func (cm *configManager) answerWaiters(t *leaderTerm) {
	waiters := t.config.waiters
	if len(waiters) == 0 {
		return
	}
	t.config.waiters = nil
	now := cm.now.Steady
	for _, w := range waiters {
		switch {
		case cm.election.mayActAsLeader() && w.revision <= cm.state.revision && t.config.granter.InForce(w.revision, now, cm.membership.peerNames()):
			w.reply(http.StatusOK, fmt.Appendf(nil, `{"revision":%d,"in_force":true}`, w.revision))
		case now >= w.until: // the timeout has replied already
		default:
			t.config.waiters = append(t.config.waiters, w)
		}
	}
}

// replyOnce returns the reply function for a request. Without a reply within operatorTimeout the
// request is refused with status 503 and the given reason.
func (cm *configManager) replyOnce(to ReplyAddress, reason refusal) operatorReply {
	replied := false
	cm.after(operatorTimeout, func() {
		if !replied {
			replied = true
			cm.refuse(to, reason)
		}
	})
	return func(status int, body []byte) {
		if replied {
			return
		}
		replied = true
		if status == http.StatusServiceUnavailable {
			cm.refuse(to, reason)
			return
		}
		cm.reply(to, status, body)
	}
}

// replyConfig replies with the last revision and its document.
func (cm *configManager) replyConfig(to ReplyAddress) {
	s := cm.state
	b := fmt.Appendf(nil, `{"revision":%d,"damaged":%t,"document":`, s.revision, s.damaged)
	b = append(b, configuration.EncodeDocument(s.document)...)
	if s.head != nil && s.head.Revision == s.revision {
		last := s.head.Entries[len(s.head.Entries)-1:]
		b = append(configuration.AppendEntries(append(b, `,"last":`...), last), '}')
	} else {
		b = append(b, '}')
	}
	cm.reply(to, http.StatusOK, b)
}

// replyConfigStatus replies with the revision of each controller and the one in force on all.
func (cm *configManager) replyConfigStatus(to ReplyAddress) {
	s, g := cm.state, cm.term.config.granter
	b := fmt.Appendf(nil, `{"revision":%d,"in_force":%d,"damaged":%t,"controllers":[{"name":%s,"revision":%d,"leads":true}`, s.revision,
		g.NewestInForce(cm.now.Steady, cm.membership.peerNames()), s.damaged, protocol.AppendQuoted(nil, cm.platform.ControllerName), s.revision)
	for _, peer := range cm.platform.Peers {
		revision, receivedAt := g.Acknowledged(peer.Name)
		b = append(protocol.AppendQuoted(append(b, `,{"name":`...), peer.Name), `,"leads":false`...)
		if receivedAt > 0 {
			b = fmt.Appendf(b, `,"revision":%d,"heard_s_ago":%.1f`, revision, (cm.now.Steady - receivedAt).Seconds())
		}
		b = append(b, '}')
	}
	cm.reply(to, http.StatusOK, append(b, "]}"...))
}
