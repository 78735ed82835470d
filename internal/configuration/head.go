package configuration

import (
	"errors"
	"fmt"
	"slices"
)

// Keys of the state service. The head has the last revision and the newest part of the history;
// pages have the older parts.
const (
	KeyHead    = "cfg/head"
	PagePrefix = "cfg/p/"
)

// Parts of a value, in percent: what a document and one change's entry may take of the
// head. The rest is history, and a page of it is moved out when the head is full: by
// then that much has come together.
const (
	documentPercent = 60
	entryPercent    = 35
)

// Entry is one revision in the history.
type Entry struct {
	Revision uint64
	At       micros // time of day
	Who, Why string
	ID       string // of the request, so that one that is repeated is known
	Changes  []Change
}

// Head is the last revision.
type Head struct {
	Revision  uint64
	Document  Document
	Entries   []Entry // the newest, the last one last
	FirstPage uint64  // number of the oldest page of history that is kept, 0: none was ever written
	LastPage  uint64
	// FirstRevision of the history is 1, or that with which an operator repaired a head that
	// could not be read.
	FirstRevision uint64
}

// RevisionWrite is what a change writes in one transaction, on the condition that the head's
// record has the revision that it was made from.
type RevisionWrite struct {
	Head *Head
	// Page is the key of a page of history that became full, "": none. Most changes
	// write the head alone.
	Page        string
	PageValue   []byte
	DroppedPage string // the oldest page, where there are more than are kept; "": none
	// EntriesLeftOut is how many of the oldest entries that the head had fit no page: it was
	// written under larger limits.
	EntriesLeftOut int
}

// PageKey is the key of a page of history.
func PageKey(n uint64) string { return fmt.Sprintf("%s%09d", PagePrefix, n) }

// ErrTooLong is an entry that does not fit.
var ErrTooLong = errors.New("changes: too many at once for one entry of the history")

// NextRevision makes the revision after a head. pages is how many pages of history are kept.
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
	// All but the new entry go to a page: they take less than a value, as they did so far.
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

// Repair makes a head in the place of one that can't be read, from the last document that is known.
// Its number is above any that was ever given out: each revision took a write of the state service,
// and lastWrite is the number of the last one.
func Repair(b *Baseline, known Document, e Entry, lastWrite uint64) (*RevisionWrite, error) {
	if err := Validate(b, known, e.Changes); err != nil {
		return nil, err
	}
	e.Revision = lastWrite + 1
	// Its pages of history are not known; new ones get numbers that none had.
	return &RevisionWrite{Head: &Head{
		Revision: e.Revision, Document: known.apply(e.Changes), Entries: []Entry{e},
		LastPage: lastWrite, FirstPage: lastWrite + 1, FirstRevision: e.Revision,
	}}, nil
}

// FindRequest looks for the entry that a request made, by its id.
func (h *Head) FindRequest(id string) (Entry, bool) {
	for _, e := range h.Entries {
		if id != "" && e.ID == id {
			return e, true
		}
	}
	return Entry{}, false
}

// DocumentAt is the document of an earlier revision, worked out from the entries after it.
func (h *Head) DocumentAt(to uint64, history []Entry) (Document, error) {
	switch {
	case to > h.Revision:
		return nil, keyErrorf("to", "there is no revision %d", to)
	case to == 0:
		return Document{}, nil
	}
	d := h.Document
	next := h.Revision
	for _, e := range slices.Backward(history) {
		if e.Revision > next {
			continue
		}
		if next == to {
			break
		}
		if e.Revision != next {
			return nil, keyErrorf("to", "the history from revision %d to %d is not kept", to, next)
		}
		d = d.revert(e.Changes)
		next--
	}
	if next != to || to < h.FirstRevision {
		return nil, keyErrorf("to", "the history from revision %d on is not kept", to)
	}
	return d, nil
}

// fitPage makes a page of the newest entries, as many as a value takes. Under smaller limits than
// those of its head it leaves the oldest out.
func fitPage(b *Baseline, number uint64, entries []Entry) (key string, value []byte, leftOut int) {
	value = encodePage(entries)
	for len(value) > b.ValueBytes && leftOut < len(entries) {
		leftOut++
		value = encodePage(entries[leftOut:])
	}
	return PageKey(number), value, leftOut
}
