package configuration

import (
	"errors"
	"fmt"
	"slices"
)

// Keys of the state service. The head contains the newest revision and the newest part of the
// history; the pages contain the older parts.
const (
	KeyHead    = "cfg/head"
	PagePrefix = "cfg/p/"
)

// Largest parts of the head's value, in percent, that the document and the entry of one change may
// take. The rest holds earlier entries. They move to a page only when the head is full, so a page
// contains as much history as the head had room for.
const (
	documentPercent = 60
	entryPercent    = 35
)

// Entry is one revision in the history.
type Entry struct {
	Revision uint64
	At       micros // time of day
	Who, Why string
	ID       string // identifies the request, so that a retry of it is recognized
	Changes  []Change
}

// Head is the record of the newest revision.
type Head struct {
	Revision  uint64
	Document  Document
	Entries   []Entry // newest part of the history, in ascending order
	FirstPage uint64  // oldest stored page; 0 if none was written, LastPage+1 after a repair
	LastPage  uint64  // newest page
	// FirstRevision is the first revision of the history: 1, or the revision with which an operator
	// repaired a head that could not be read.
	FirstRevision uint64
}

// RevisionWrite contains the writes of one change. They are made in one transaction, on the
// condition that the head's record is still the one from which the change was computed.
type RevisionWrite struct {
	Head *Head
	// Page is the key of a new page of history, to which the entries of a full head move. It is ""
	// for most changes, which write only the head.
	Page        string
	PageValue   []byte
	DroppedPage string // key of the oldest page, if it has to be deleted; "" if none
	// EntriesLeftOut is the number of the oldest entries of the head that did not fit into the
	// page. It is above 0 only if the head was written under a larger size limit.
	EntriesLeftOut int
}

// PageKey returns the key of a page of history.
func PageKey(n uint64) string { return fmt.Sprintf("%s%09d", PagePrefix, n) }

// ErrTooLong reports a change whose entry does not fit into a record.
var ErrTooLong = errors.New("changes: too many at once for one entry of the history")

// NextRevision computes the revision that follows the head. pages is the number of pages of history
// to keep.
func (h *Head) NextRevision(b *Baseline, e Entry, pages int) (*RevisionWrite, error) {
	if err := Validate(b, h.Document, e.Changes); err != nil {
		return nil, err
	}
	if len(appendEntry(nil, e)) > b.ValueBytes*entryPercent/100 {
		return nil, ErrTooLong
	}
	e.Revision = h.Revision + 1
	next := &Head{
		Revision: e.Revision, Document: h.Document.apply(e.Changes), Entries: append(slices.Clip(h.Entries), e),
		FirstPage: h.FirstPage, LastPage: h.LastPage, FirstRevision: max(h.FirstRevision, 1),
	}
	w := &RevisionWrite{Head: next}
	if len(next.Encode()) <= b.ValueBytes {
		return w, nil
	}
	// All entries but the new one move to a page. They fit, since they were part of the old head,
	// unless the size limit was reduced since then.
	next.LastPage++
	w.Page, w.PageValue, w.EntriesLeftOut = fitPage(b, next.LastPage, h.Entries)
	next.Entries = []Entry{e}
	if next.FirstPage == 0 {
		next.FirstPage = 1
	}
	if next.LastPage-next.FirstPage >= uint64(max(pages, 1)) {
		w.DroppedPage = PageKey(next.FirstPage)
		next.FirstPage++
	}
	if len(next.Encode()) > b.ValueBytes || len(w.PageValue) > b.ValueBytes {
		return nil, ErrTooLong
	}
	return w, nil
}

// Repair creates a head that replaces one that can't be read, based on the last known document. Its
// revision is above all that were ever used: each revision took one write of the state service, and
// lastWrite is the number of the last write.
func Repair(b *Baseline, lastKnown Document, e Entry, lastWrite uint64) (*RevisionWrite, error) {
	if err := Validate(b, lastKnown, e.Changes); err != nil {
		return nil, err
	}
	e.Revision = lastWrite + 1
	// The pages of the unreadable head are not known, so new pages get numbers that were never
	// used.
	return &RevisionWrite{Head: &Head{
		Revision: e.Revision, Document: lastKnown.apply(e.Changes), Entries: []Entry{e},
		LastPage: lastWrite, FirstPage: lastWrite + 1, FirstRevision: e.Revision,
	}}, nil
}

// FindRequest returns the entry of the request with an ID, if the head contains it.
func (h *Head) FindRequest(id string) (Entry, bool) {
	for _, e := range h.Entries {
		if id != "" && e.ID == id {
			return e, true
		}
	}
	return Entry{}, false
}

// DocumentAt returns the document of an earlier revision. It starts from the newest document and
// reverts the later entries of the history.
func (h *Head) DocumentAt(revision uint64, history []Entry) (Document, error) {
	switch {
	case revision > h.Revision:
		return nil, keyErrorf("to", "there is no revision %d", revision)
	case revision == 0:
		return Document{}, nil
	}
	d := h.Document
	current := h.Revision
	for _, e := range slices.Backward(history) {
		if e.Revision > current {
			continue
		}
		if current == revision {
			break
		}
		if e.Revision != current {
			return nil, keyErrorf("to", "the history from revision %d to %d is not kept", revision, current)
		}
		d = d.revert(e.Changes)
		current--
	}
	if current != revision || revision < h.FirstRevision {
		return nil, keyErrorf("to", "the history from revision %d on is not kept", revision)
	}
	return d, nil
}

// fitPage encodes a page with as many of the newest entries as fit into a value. It leaves out the
// oldest ones if the size limit is smaller than when the head was written.
func fitPage(b *Baseline, number uint64, entries []Entry) (key string, value []byte, leftOut int) {
	value = encodePage(entries)
	for len(value) > b.ValueBytes && leftOut < len(entries) {
		leftOut++
		value = encodePage(entries[leftOut:])
	}
	return PageKey(number), value, leftOut
}
