package controller

import (
	"fmt"
	"net/http"
	"slices"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
)

// maxHistoryBytes bounds the entries of an answer, in bytes.
const maxHistoryBytes = 40 << 10

// hasPages reports whether older entries of the history are in pages.
func hasPages(h *configuration.Head) bool { return h.LastPage >= h.FirstPage && h.LastPage > 0 }

// readHistory reads the history that is kept, from a revision on at least: the pages before
// the head's part where that does not go back so far. With an error comes the part that was
// read.
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
			return // left by what was before the record was mended
		}
		page, err := configuration.DecodePage(e.Value)
		if err != nil {
			cm.logDamagedRecord(e, err)
			return
		}
		entries = append(entries, page...)
	}, func(_ uint64, err error) { done(append(entries, h.Entries...), err) })
}

// replyHistory answers with the entries before a revision (0: the newest), the last one first.
func (cm *configManager) replyHistory(reply operatorReply, before uint64) {
	if h := cm.state.head; h != nil && before == 0 {
		// The older ones are asked for if they are wanted.
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

// historyBody is an answer with the entries before a revision (0: all). more says that there
// are older ones; so does the answer where it does not have all of them.
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
