package controller

import (
	"fmt"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

// changeConfig makes a revision. Whatever is wrong with it is said before anything is written.
func (cm *configManager) changeConfig(answer operatorReply, r *configuration.Request) {
	t, s := cm.term, cm.state
	refuse := func(status int, format string, args ...any) {
		text := protocol.AppendQuoted([]byte(`{"error":`), fmt.Sprintf(format, args...))
		answer(status, fmt.Appendf(text, `,"revision":%d}`, s.revision))
	}
	made := func(revision uint64, changed bool) {
		answer(200, fmt.Appendf(nil, `{"revision":%d,"changed":%t}`, revision, changed))
	}
	if s.head != nil {
		if e, ok := s.head.Request(r.ID); ok {
			made(e.Revision, true) // it was made before, and its answer got lost
			return
		}
	}
	switch {
	case t.config.writing || !s.known:
		answer(503, nil)
		return
	case s.damaged && !r.Mend:
		refuse(409, "the record of the configuration can't be read, see the leader's log: revision %d is gone by; mend puts a new record in its place", s.revision)
		return
	case !s.damaged && r.Mend:
		refuse(409, "mend: the record of the configuration can be read")
		return
	case r.Expected < s.revision && s.head != nil && r.Expected+1 < s.head.Log[0].Revision:
		// It may be one that was made so long ago that its entry is in a page.
		cm.readHistory(r.Expected+1, func(list []configuration.Entry, ok bool) {
			for _, e := range list {
				if e.ID == r.ID {
					made(e.Revision, true)
					return
				}
			}
			if !ok {
				answer(503, nil)
				return
			}
			refuse(409, "expected: the last revision is %d, not %d", s.revision, r.Expected)
		})
		return
	case r.Expected != s.revision:
		refuse(409, "expected: the last revision is %d, not %d", s.revision, r.Expected)
		return
	}
	if r.Rollback {
		revision := s.revision
		cm.readHistory(r.To+1, func(list []configuration.Entry, ok bool) {
			switch {
			case cm.term != t || !cm.election.mayActAsLeader() || !ok:
				answer(503, nil)
			case s.revision != revision:
				refuse(409, "expected: the last revision is %d, not %d", s.revision, r.Expected)
			case s.head == nil && r.To > 0:
				refuse(422, "to: there is no revision %d", r.To)
			case s.head == nil:
				made(0, false)
			default:
				d, err := s.head.Back(r.To, list)
				if err != nil {
					refuse(422, "%v", err)
					return
				}
				cm.writeRevision(answer, r, configuration.Diff(s.document, d), refuse, made)
			}
		})
		return
	}
	cm.writeRevision(answer, r, r.Changes(s.document), refuse, made)
}

// writeRevision makes a revision durable, and then takes it into force: one transaction on the
// head's stamp, and on the leader's key like each of a leader's.
func (cm *configManager) writeRevision(answer operatorReply, r *configuration.Request, changes []configuration.Change, refuse func(int, string, ...any), made func(uint64, bool)) {
	t, s := cm.term, cm.state
	if len(changes) == 0 && !r.Mend {
		made(s.revision, false)
		return
	}
	if t.config.writing || !s.known {
		answer(503, nil)
		return
	}
	e := configuration.Entry{At: cm.now.Wall, Who: r.Who, Why: r.Why, ID: r.ID, Changes: changes}
	var w *configuration.Write
	var err error
	if r.Mend {
		w, err = configuration.Mend(&s.bounds, s.document, e, max(s.headRevision, s.revision))
	} else {
		h := s.head
		if h == nil {
			h = &configuration.Head{}
		}
		w, err = h.Next(&s.bounds, e, s.options.Pages)
	}
	if err != nil {
		refuse(422, "%v", err)
		return
	}
	then := []protocol.Change{{Key: configuration.KeyHead, Value: w.Head.Encode()}}
	if w.Page != "" {
		then = append(then, protocol.Change{Key: w.Page, Value: w.PageValue})
	}
	if w.LeftOut > 0 {
		cm.log.Warn("the history of the configuration is too long for the state service", "entries_left_out", w.LeftOut)
	}
	if w.Drop != "" {
		then = append(then, protocol.Change{Key: w.Drop})
	}
	when := []protocol.Condition{{Key: configuration.KeyHead, Revision: s.headRevision}}
	t.config.writing = true
	cm.election.leaderTransaction(priorityLatencyCritical, when, then, func(o txnOutcome, res protocol.TxnResult) {
		t.config.writing = false
		if o == txnCommitted {
			s.head, s.headRevision, s.known, s.damaged = w.Head, res.Revision, true, false
			s.headChanges++
			cm.stats.ConfigChanges++
			cm.applyRevision(w.Head.Revision, w.Head.Document)
			made(w.Head.Revision, true)
			return
		}
		if o.notExecuted() {
			answer(503, nil)
			return
		}
		// Without an answer it may have been applied, or may still be; refused, an earlier
		// one of ours was. Its request's id says which.
		t.config.writeUncertainUntil = cm.now.Steady + configWriteUncertainty
		t.config.nextReread = cm.now.Steady + configRereadInterval
		cm.readHead(priorityLatencyCritical, func(ok bool) {
			if ok && s.head != nil {
				if e, here := s.head.Request(r.ID); here {
					made(e.Revision, true)
					return
				}
			}
			answer(503, nil)
		})
	})
}
