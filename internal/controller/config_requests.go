package controller

import (
	"fmt"
	"slices"
	"strconv"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

// configWaiter is an operator who waits until a revision is in force everywhere.
type configWaiter struct {
	answer   operatorReply
	revision uint64
	until    micros
}

// answerer answers an operator's call, the first time that it is called.
type operatorReply func(status int, body []byte)

// answerWaiters answers the operators whose revision is in force everywhere. Only a leader whose lease certainly holds
// says so: nobody else decides what it does.
func (cm *configManager) answerWaiters(t *leaderTerm) {
	waits := t.config.waiters
	if len(waits) == 0 {
		return
	}
	t.config.waiters = nil
	for _, w := range waits {
		switch {
		case cm.election.mayActAsLeader() && w.revision <= cm.state.revision && t.config.granter.InForce(w.revision, cm.now.Steady, cm.membership.peerNames()):
			w.answer(200, fmt.Appendf(nil, `{"revision":%d,"in_force":true}`, w.revision))
		case cm.now.Steady >= w.until: // it has been answered
		default:
			t.config.waiters = append(t.config.waiters, w)
		}
	}
}

// onConfigRequest handles an operator's call about the configuration, wherever it came in.
func (cm *configManager) onConfigRequest(e UserRequest) {
	if cm.state == nil {
		cm.reply(e.Reply, 404, protocol.ErrorBody("changes of the configuration are off"), 0)
		return
	}
	var r *configuration.Request
	var revision uint64
	var err error
	switch e.Op {
	case protocol.OpConfigApply, protocol.OpConfigRollback:
		r, err = configuration.ParseRequest(e.Body, e.Op == protocol.OpConfigRollback)
	case protocol.OpConfigWait:
		if revision, err = strconv.ParseUint(e.Ref, 10, 64); err != nil {
			err = fmt.Errorf("revision: must be a revision's number")
		}
	case protocol.OpConfigHistory:
		if revision, err = strconv.ParseUint(e.Ref, 10, 64); err != nil && e.Ref != "" {
			err = fmt.Errorf("before: must be a revision's number")
		} else {
			err = nil
		}
	}
	if err != nil {
		cm.reply(e.Reply, 400, protocol.ErrorBody(err.Error()), 0)
		return
	}
	if !cm.election.mayActAsLeader() {
		if e.Reply.Peer {
			cm.reply(e.Reply, 0, nil, 0)
			return
		}
		cm.users.forwardLeaderOnly(e, operatorTimeout+500*protocol.Millisecond, cm.now.Steady)
		return
	}
	switch e.Op {
	case protocol.OpConfig:
		cm.replyConfig(e.Reply)
	case protocol.OpConfigStatus:
		cm.replyConfigStatus(e.Reply)
	case protocol.OpConfigWait:
		if revision > cm.state.revision {
			cm.reply(e.Reply, 409, protocol.ErrorBody(fmt.Sprintf("there is no revision %d, the last one is %d", revision, cm.state.revision)), 0)
			return
		}
		t := cm.term
		t.config.waiters = append(t.config.waiters, configWaiter{cm.replyOnce(e.Reply, refusalRevisionPending), revision, cm.now.Steady + operatorTimeout})
		cm.answerWaiters(t)
	case protocol.OpConfigHistory:
		cm.replyHistory(cm.replyOnce(e.Reply, refusalStateService), revision)
	default:
		cm.changeConfig(cm.replyOnce(e.Reply, refusalStateService), r)
	}
}

// replyOnce makes an answerer, which answers 503 by itself when the operator has waited for as
// long as one is kept; why is the reason.
func (cm *configManager) replyOnce(to ReplyAddress, why string) operatorReply {
	answered := false
	cm.after(operatorTimeout, func() {
		if !answered {
			answered = true
			cm.replyUnavailable(to, why)
		}
	})
	return func(status int, body []byte) {
		switch {
		case answered:
			return
		case status == 503:
			cm.replyUnavailable(to, why)
		default:
			cm.reply(to, status, body, 0)
		}
		answered = true
	}
}

// replyConfig answers with the last revision.
func (cm *configManager) replyConfig(to ReplyAddress) {
	s := cm.state
	b := fmt.Appendf(nil, `{"revision":%d,"damaged":%t,"document":`, s.revision, s.damaged)
	b = append(b, configuration.EncodeDocument(s.document)...)
	if s.head != nil && s.head.Revision == s.revision {
		last := s.head.Log[len(s.head.Log)-1:]
		b = append(configuration.AppendEntries(append(b, `,"last":`...), last), '}')
	} else {
		b = append(b, '}')
	}
	cm.reply(to, 200, b, 0)
}

// replyConfigStatus answers where the revisions are in force.
func (cm *configManager) replyConfigStatus(to ReplyAddress) {
	s, g := cm.state, cm.term.config.granter
	b := fmt.Appendf(nil, `{"revision":%d,"in_force":%d,"damaged":%t,"controllers":[{"name":%s,"revision":%d,"leads":true}`, s.revision,
		g.Newest(cm.now.Steady, cm.membership.peerNames()), s.damaged, protocol.AppendQuoted(nil, cm.platform.ControllerName), s.revision)
	for _, o := range cm.platform.Peers {
		r, when := g.Acknowledged(o.Name)
		b = append(protocol.AppendQuoted(append(b, `,{"name":`...), o.Name), `,"leads":false`...)
		if when > 0 {
			b = fmt.Appendf(b, `,"revision":%d,"heard_s_ago":%.1f`, r, (cm.now.Steady - when).Seconds())
		}
		b = append(b, '}')
	}
	cm.reply(to, 200, append(b, "]}"...), 0)
}

// maxHistoryBytes bounds the entries of an answer, in bytes.
const maxHistoryBytes = 40 << 10

// readHistory reads the history that is kept, from a revision on at least: the pages
// before the head's part where that does not go back so far.
func (cm *configManager) readHistory(from uint64, done func(list []configuration.Entry, ok bool)) {
	h := cm.state.head
	if h == nil {
		done(nil, true)
		return
	}
	var list []configuration.Entry
	first, last := configuration.PageKey(h.FirstPage), configuration.PageKey(h.LastPage)
	if h.LastPage < h.FirstPage || h.LastPage == 0 || h.Log[0].Revision <= from {
		done(h.Log, true)
		return
	}
	cm.store.listPrefix(priorityNormal, configuration.PagePrefix, func(e protocol.Entry) {
		if e.Key < first || e.Key > last {
			return // left by what was before the record was mended
		}
		page, err := configuration.DecodePage(e.Value)
		if err != nil {
			cm.logDamagedRecord(e, err)
			return
		}
		list = append(list, page...)
	}, func(_ uint64, ok bool) { done(append(list, h.Log...), ok) })
}

// history answers with the entries before a revision (0: the newest), the last one first.
func (cm *configManager) replyHistory(answer operatorReply, before uint64) {
	send := func(list []configuration.Entry, more bool) {
		b := []byte(`{"history":[`)
		for i, e := range slices.Backward(list) {
			if before > 0 && e.Revision >= before {
				continue
			}
			if len(b) > maxHistoryBytes {
				more = true
				break
			}
			if b[len(b)-1] != '[' {
				b = append(b, ',')
			}
			one := configuration.AppendEntries(nil, list[i:i+1])
			b = append(b, one[1:len(one)-1]...)
		}
		answer(200, fmt.Appendf(b, `],"more":%t}`, more))
	}
	if h := cm.state.head; h != nil && before == 0 {
		send(h.Log, h.LastPage >= h.FirstPage && h.LastPage > 0) // the older ones are asked for if they are wanted
		return
	}
	cm.readHistory(0, func(list []configuration.Entry, ok bool) {
		if !ok {
			answer(503, nil)
			return
		}
		send(list, false)
	})
}
