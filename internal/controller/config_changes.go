package controller

import (
	"errors"
	"fmt"
	"net/http"
	"slices"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
	"mapleslip/internal/statestore"
)

// configChange is an operator's request to change the configuration.
type configChange struct {
	*configManager
	term  *leaderTerm
	reply operatorReply
	*configuration.Request
}

// changeConfig handles a request for a new revision. A request with an error is refused before
// anything is written.
func (cm *configManager) changeConfig(reply operatorReply, r *configuration.Request) {
	c := configChange{configManager: cm, term: cm.term, reply: reply, Request: r}
	s := cm.state
	if s.head != nil {
		if e, ok := s.head.FindRequest(r.ID); ok {
			c.replyMade(e.Revision, true) // already made: the first reply was lost
			return
		}
	}
	switch {
	case c.term.config.writing || !s.headKnown:
		reply.unavailable()
	case s.damaged && !r.Repair:
		c.reject(http.StatusConflict, "the record of the configuration can't be read, see the leader's log: "+
			"revision %d is gone by; mend puts a new record in its place", s.revision)
	case !s.damaged && r.Repair:
		c.reject(http.StatusConflict, "mend: the record of the configuration can be read")
	case r.Expected < s.revision && s.head != nil && r.Expected+1 < s.head.Entries[0].Revision:
		c.findInHistory()
	case r.Expected != s.revision:
		c.rejectUnexpected()
	case r.Rollback:
		c.rollBack()
	default:
		c.write(r.Changes(s.document))
	}
}

// reject replies with an error and the last revision. The change is not made.
func (c configChange) reject(status int, format string, args ...any) {
	text := protocol.AppendQuoted([]byte(`{"error":`), fmt.Sprintf(format, args...))
	c.reply(status, fmt.Appendf(text, `,"revision":%d}`, c.state.revision))
}

// rejectUnexpected replies that the last revision is not the one that the operator expected.
func (c configChange) rejectUnexpected() {
	c.reject(http.StatusConflict, "expected: the last revision is %d, not %d", c.state.revision, c.Expected)
}

// replyMade replies with the revision that a change made, or with the last one and changed false if
// there was nothing to change.
func (c configChange) replyMade(revision uint64, changed bool) {
	c.reply(http.StatusOK, fmt.Appendf(nil, `{"revision":%d,"changed":%t}`, revision, changed))
}

// findInHistory replies to a request that expects an old revision. It may be the repetition of a
// request that was carried out so long ago that its entry is in a page of the history.
func (c configChange) findInHistory() {
	c.readHistory(c.Expected+1, func(entries []configuration.Entry, err error) {
		i := slices.IndexFunc(entries, func(e configuration.Entry) bool { return e.ID == c.ID })
		switch {
		case i >= 0:
			c.replyMade(entries[i].Revision, true)
		case err != nil:
			c.reply.unavailable()
		default:
			c.rejectUnexpected()
		}
	})
}

// rollBack makes a revision with the document of an earlier one.
func (c configChange) rollBack() {
	s := c.state
	revision := s.revision
	c.readHistory(c.To+1, func(entries []configuration.Entry, err error) {
		switch {
		case c.term.ended() || !c.election.mayActAsLeader() || err != nil:
			c.reply.unavailable()
		case s.revision != revision:
			c.rejectUnexpected()
		case s.head == nil && c.To > 0:
			c.reject(http.StatusUnprocessableEntity, "to: there is no revision %d", c.To)
		case s.head == nil:
			c.replyMade(0, false)
		default:
			document, err := s.head.DocumentAt(c.To, entries)
			if err != nil {
				c.reject(http.StatusUnprocessableEntity, "%v", err)
				return
			}
			c.write(configuration.Diff(s.document, document))
		}
	})
}

// write makes a revision durable and then applies it. It is written in one transaction, with a
// condition on the revision of the head's record and, as in every transaction of a leader, on the
// leader key.
func (c configChange) write(changes []configuration.Change) {
	s := c.state
	if len(changes) == 0 && !c.Repair {
		c.replyMade(s.revision, false)
		return
	}
	if c.term.config.writing || !s.headKnown {
		c.reply.unavailable()
		return
	}
	w, err := c.nextRevision(changes)
	if err != nil {
		c.reject(http.StatusUnprocessableEntity, "%v", err)
		return
	}
	if w.EntriesLeftOut > 0 {
		c.log.Warn("the history of the configuration is too long for the state service", "entries_left_out", w.EntriesLeftOut)
	}
	conditions := []protocol.Condition{{Key: configuration.KeyHead, Revision: s.headRevision}}
	c.term.config.writing = true
	c.election.transaction(priorityLatencyCritical, conditions, revisionChanges(w), func(headRevision uint64, err error) {
		c.term.config.writing = false
		switch {
		case err == nil:
			c.onWritten(w.Head, headRevision)
		case errors.Is(err, statestore.ErrMalformed):
			c.reject(http.StatusBadRequest, "the state service does not take the change")
		case statestore.NotExecuted(err):
			c.reply.unavailable()
		default:
			c.findOutcome()
		}
	})
}

// nextRevision returns the records to write for a revision with some changes.
func (c configChange) nextRevision(changes []configuration.Change) (*configuration.RevisionWrite, error) {
	s := c.state
	e := configuration.Entry{At: c.now.Wall, Who: c.Who, Why: c.Why, ID: c.ID, Changes: changes}
	if c.Repair {
		return configuration.Repair(&s.bounds, s.document, e, max(s.headRevision, s.revision))
	}
	head := s.head
	if head == nil {
		head = &configuration.Head{}
	}
	return head.NextRevision(&s.bounds, e, s.options.HistoryPages)
}

// revisionChanges returns the changes of the transaction that writes a revision.
func revisionChanges(w *configuration.RevisionWrite) []protocol.Change {
	changes := []protocol.Change{{Key: configuration.KeyHead, Value: w.Head.Encode()}}
	if w.Page != "" {
		changes = append(changes, protocol.Change{Key: w.Page, Value: w.PageValue})
	}
	if w.DroppedPage != "" {
		changes = append(changes, protocol.Change{Key: w.DroppedPage})
	}
	return changes
}

// onWritten applies a revision that has been written.
func (c configChange) onWritten(head *configuration.Head, headRevision uint64) {
	s := c.state
	s.head, s.headRevision, s.headKnown, s.damaged = head, headRevision, true, false
	s.headChanges++
	c.stats.ConfigChanges++
	c.applyRevision(head.Revision, head.Document)
	c.replyMade(head.Revision, true)
}

// findOutcome determines whether a revision was made, by the request's id in the history. A write
// without an answer may have been executed, or may be executed later. If a condition of the write
// did not hold, an earlier write of this leader was executed.
func (c configChange) findOutcome() {
	s := c.state
	c.term.config.writeUncertainUntil = c.now.Steady + configWriteUncertainty
	c.term.config.nextReread = c.now.Steady + configRereadInterval
	c.readHead(priorityLatencyCritical, func(err error) {
		if err == nil && s.head != nil {
			if e, made := s.head.FindRequest(c.ID); made {
				c.replyMade(e.Revision, true)
				return
			}
		}
		c.reply.unavailable()
	})
}
