package controller

import (
	"fmt"
	"net/http"
	"slices"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

// maxHistoryBytes limits the entries in a reply, in bytes.
const maxHistoryBytes = 40 << 10

// hasPages reports whether older entries of the history are stored in pages.
func hasPages(h *configuration.Head) bool { return h.LastPage >= h.FirstPage && h.LastPage > 0 }

// readHistory reads the entries of the history from a revision on, or more. If the entries of the
// head don't go back that far, it reads the pages as well. With an error, done gets the entries
// that could be read.
func (cm *configManager) readHistory(from uint64, done func(entries []configuration.Entry, err error)) {
	h := cm.state.head
	if h == nil {
		done(nil, nil)
		return
	}
	if !hasPages(h) || h.Entries[0].Revision <= from {
		done(h.Entries, nil)
		return
	}
	var entries []configuration.Entry
	first, last := configuration.PageKey(h.FirstPage), configuration.PageKey(h.LastPage)
	cm.store.List(priorityNormal, configuration.PagePrefix, func(e protocol.Entry) {
		if e.Key < first || e.Key > last {
			return // a page from before the head was repaired
		}
		page, err := configuration.DecodePage(e.Value)
		if err != nil {
			cm.logDamagedRecord(e, err)
			return
		}
		entries = append(entries, page...)
	}, func(_ uint64, err error) { done(append(entries, h.Entries...), err) })
}

// replyHistory replies with the entries before a revision, or the newest ones if before is 0. The
// last entry comes first.
func (cm *configManager) replyHistory(reply operatorReply, before uint64) {
	if h := cm.state.head; h != nil && before == 0 {
		// An operator who needs older entries sends another request.
		reply(http.StatusOK, historyBody(h.Entries, 0, hasPages(h)))
		return
	}
	cm.readHistory(0, func(entries []configuration.Entry, err error) {
		if err != nil {
			reply.unavailable()
			return
		}
		reply(http.StatusOK, historyBody(entries, before, false))
	})
}

// historyBody returns a reply with the entries before a revision, or all if before is 0. The
// reply's field "more" is true if the argument is, or if maxHistoryBytes leaves some of them out.
func historyBody(entries []configuration.Entry, before uint64, more bool) []byte {
	b := []byte(`{"history":[`)
	for i, e := range slices.Backward(entries) {
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
		list := configuration.AppendEntries(nil, entries[i:i+1])
		b = append(b, list[1:len(list)-1]...)
	}
	return fmt.Appendf(b, `],"more":%t}`, more)
}
