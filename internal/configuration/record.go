package configuration

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// Keys of the state service. The head has the last revision and the newest part of the
// history; pages have the older parts.
const (
	KeyHead    = "cfg/head"
	PagePrefix = "cfg/p/"
)

const form = 1

// Parts of a value, in percent: what a document and one change's entry may take of the
// head. The rest is history, and a page of it is moved out when the head is full: by
// then that much has come together.
const (
	documentShare = 60
	entryShare    = 35
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
	Log       []Entry // the newest, the last one last
	FirstPage uint64  // number of the oldest page of history that is kept, 0: none was ever written
	LastPage  uint64
	// Started: the first revision of the history. It is 1, or that with which an
	// operator mended a head that could not be read.
	Started uint64
}

// Write is what a change writes in one transaction, on the condition that the head's
// stamp is the one it was made from.
type Write struct {
	Head *Head
	// Page is the key of a page of history that became full, "": none. Most changes
	// write the head alone.
	Page      string
	PageValue []byte
	Drop      string // the oldest page, where there are more than are kept; "": none
	// LeftOut is how many of the oldest entries that the head had fit no page: it was
	// written under larger limits.
	LeftOut int
}

// PageKey is the key of a page of history.
func PageKey(n uint64) string { return fmt.Sprintf("%s%09d", PagePrefix, n) }

// ErrTooLong is an entry that does not fit.
var ErrTooLong = errors.New("changes: too many at once for one entry of the history")

// Next makes the revision after a head. pages is how many pages of history are kept.
func (h *Head) Next(b *Bounds, e Entry, pages int) (*Write, error) {
	if err := Validate(b, h.Document, e.Changes); err != nil {
		return nil, err
	}
	if len(appendEntry(nil, e)) > b.ValueBytes*entryShare/100 {
		return nil, ErrTooLong
	}
	e.Revision = h.Revision + 1
	n := &Head{Revision: e.Revision, Document: h.Document.with(e.Changes), Log: append(slices.Clip(h.Log), e), FirstPage: h.FirstPage, LastPage: h.LastPage, Started: max(h.Started, 1)}
	w := &Write{Head: n}
	if len(n.Encode()) <= b.ValueBytes {
		return w, nil
	}
	// All but the new entry go to a page: they take less than a value, as they did so far.
	n.LastPage++
	w.Page, w.PageValue, w.LeftOut = fitPage(b, n.LastPage, h.Log)
	n.Log = []Entry{e}
	if n.FirstPage == 0 {
		n.FirstPage = 1
	}
	if n.LastPage-n.FirstPage >= uint64(max(pages, 1)) {
		w.Drop = PageKey(n.FirstPage)
		n.FirstPage++
	}
	if len(n.Encode()) > b.ValueBytes || len(w.PageValue) > b.ValueBytes {
		return nil, ErrTooLong
	}
	return w, nil
}

// Mend makes a head in the place of one that can't be read, from the last document that
// is known. Its number is above any that was ever given out: each revision took a write
// of the state service, and stamp is the number of the last one.
func Mend(b *Bounds, known Document, e Entry, stamp uint64) (*Write, error) {
	if err := Validate(b, known, e.Changes); err != nil {
		return nil, err
	}
	e.Revision = stamp + 1
	// Its pages of history are not known; new ones get numbers that none had.
	return &Write{Head: &Head{Revision: e.Revision, Document: known.with(e.Changes), Log: []Entry{e}, LastPage: stamp, FirstPage: stamp + 1, Started: e.Revision}}, nil
}

// Request looks for the entry that a request made, by its id.
func (h *Head) Request(id string) (Entry, bool) {
	for _, e := range h.Log {
		if id != "" && e.ID == id {
			return e, true
		}
	}
	return Entry{}, false
}

// Back works out the document of an earlier revision, from the entries after it.
func (h *Head) Back(to uint64, history []Entry) (Document, error) {
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
		d = d.before(e.Changes)
		next--
	}
	if next != to || to < h.Started {
		return nil, keyErrorf("to", "the history from revision %d on is not kept", to)
	}
	return d, nil
}

// appendDocument writes a document, in the order of its keys.
func appendDocument(b []byte, d Document) []byte {
	b = append(b, '{')
	for i, key := range slices.Sorted(maps.Keys(d)) {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(protocol.AppendQuoted(b, key), ':'), d[key]...)
	}
	return append(b, '}')
}

// EncodeDocument writes a document as JSON.
func EncodeDocument(d Document) []byte { return appendDocument(nil, d) }

// DecodeDocument reads a document.
func DecodeDocument(value []byte) (Document, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := p.ParseBytes(value)
	if err != nil {
		return nil, errRecord
	}
	return documentOf(v)
}

func documentOf(v *fastjson.Value) (Document, error) {
	o, err := v.Object()
	if err != nil {
		return nil, errRecord
	}
	d := make(Document, o.Len())
	o.Visit(func(key []byte, v *fastjson.Value) {
		text, ok := canonical(v)
		if !ok || d[string(key)] != "" {
			err = errRecord
		}
		d[string(key)] = text
	})
	return d, err
}

// canonical is a value's text, the same for all ways to write it.
func canonical(v *fastjson.Value) (string, bool) {
	switch v.Type() {
	case fastjson.TypeString:
		s := string(v.GetStringBytes())
		return string(protocol.AppendQuoted(nil, s)), len(s) <= 200
	case fastjson.TypeTrue:
		return "true", true
	case fastjson.TypeFalse:
		return "false", true
	case fastjson.TypeNumber:
		n, err := v.Float64()
		return canonicalNumber(n), err == nil && n <= 1e12 && n >= -1e12
	default:
		return "", false
	}
}

func canonicalNumber(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

// AppendEntry writes an entry of the history.
func appendEntry(b []byte, e Entry) []byte {
	b = fmt.Appendf(b, `{"revision":%d,"at_us":%d,"who":`, e.Revision, int64(e.At))
	b = append(protocol.AppendQuoted(b, e.Who), `,"why":`...)
	b = append(protocol.AppendQuoted(b, e.Why), `,"id":`...)
	b = append(protocol.AppendQuoted(b, e.ID), `,"changes":`...)
	return append(AppendChanges(b, e.Changes), '}')
}

// AppendChanges writes changes, each as a list of key, old and new value, null where
// there is none.
func AppendChanges(b []byte, changes []Change) []byte {
	b = append(b, '[')
	for i, c := range changes {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(protocol.AppendQuoted(append(b, '['), c.Key), ',')
		b = append(append(b, orNull(c.Old)...), ',')
		b = append(append(b, orNull(c.New)...), ']')
	}
	return append(b, ']')
}

func orNull(value string) string {
	if value == "" {
		return "null"
	}
	return value
}

// AppendEntries writes a list of entries.
func AppendEntries(b []byte, list []Entry) []byte {
	b = append(b, '[')
	for i, e := range list {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendEntry(b, e)
	}
	return append(b, ']')
}

// Encode writes the head.
func (h *Head) Encode() []byte {
	b := fmt.Appendf(nil, `{"form":%d,"revision":%d,"started":%d,"first":%d,"last":%d,"document":`, form, h.Revision, h.Started, h.FirstPage, h.LastPage)
	b = append(appendDocument(b, h.Document), `,"log":`...)
	return append(AppendEntries(b, h.Log), '}')
}

func encodePage(list []Entry) []byte {
	return append(AppendEntries(fmt.Appendf(nil, `{"form":%d,"log":`, form), list), '}')
}

var errRecord = errors.New("malformed record of the configuration")

func formed(value []byte, p *fastjson.Parser) (*fastjson.Value, error) {
	v, err := p.ParseBytes(value)
	switch {
	case err != nil || v.Type() != fastjson.TypeObject:
		return nil, errRecord
	case v.GetInt("form") > form:
		return nil, fmt.Errorf("the record of the configuration is of form %d, and this program knows %d", v.GetInt("form"), form)
	case v.GetInt("form") != form:
		return nil, errRecord
	}
	return v, nil
}

// DecodeHead reads a head. An entry out of order, or one that is missing, makes it
// unreadable as a whole.
func DecodeHead(value []byte) (*Head, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := formed(value, p)
	if err != nil {
		return nil, err
	}
	h := &Head{Revision: v.GetUint64("revision"), Started: v.GetUint64("started"), FirstPage: v.GetUint64("first"), LastPage: v.GetUint64("last")}
	if h.Document, err = documentOf(protocol.Member(v, "document")); err != nil {
		return nil, err
	}
	if h.Log, err = entriesOf(v); err != nil {
		return nil, err
	}
	n := len(h.Log)
	if h.Revision == 0 || n == 0 || h.Log[n-1].Revision != h.Revision || h.Started == 0 || h.Started > h.Log[0].Revision {
		return nil, errRecord
	}
	return h, nil
}

// DecodePage reads a page of history.
func DecodePage(value []byte) ([]Entry, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := formed(value, p)
	if err != nil {
		return nil, err
	}
	return entriesOf(v)
}

// entriesOf reads entries that follow each other without a gap.
func entriesOf(v *fastjson.Value) ([]Entry, error) {
	items, err := protocol.Member(v, "log").Array()
	if err != nil {
		return nil, errRecord
	}
	list := make([]Entry, 0, len(items))
	for i, it := range items {
		e, err := DecodeEntry(it)
		if err != nil || i > 0 && e.Revision != list[i-1].Revision+1 {
			return nil, errRecord
		}
		list = append(list, e)
	}
	return list, nil
}

// DecodeEntry reads an entry of the history.
func DecodeEntry(it *fastjson.Value) (Entry, error) {
	e := Entry{
		Revision: it.GetUint64("revision"), At: micros(it.GetInt64("at_us")), Who: string(it.GetStringBytes("who")),
		Why: string(it.GetStringBytes("why")), ID: string(it.GetStringBytes("id")),
	}
	for _, c := range it.GetArray("changes") {
		part := c.GetArray()
		if len(part) != 3 {
			return e, errRecord
		}
		ch := Change{Key: string(part[0].GetStringBytes())}
		ok := [2]bool{true, true}
		if part[1].Type() != fastjson.TypeNull {
			ch.Old, ok[0] = canonical(part[1])
		}
		if part[2].Type() != fastjson.TypeNull {
			ch.New, ok[1] = canonical(part[2])
		}
		if ch.Key == "" || !ok[0] || !ok[1] {
			return e, errRecord
		}
		e.Changes = append(e.Changes, ch)
	}
	if e.Revision == 0 {
		return e, errRecord
	}
	return e, nil
}

// fitPage makes a page of the log's newest entries, as many as a value takes. Under
// smaller limits than those of its head it leaves the oldest out.
func fitPage(b *Bounds, number uint64, log []Entry) (key string, value []byte, leftOut int) {
	value = encodePage(log)
	for len(value) > b.ValueBytes && leftOut < len(log) {
		leftOut++
		value = encodePage(log[leftOut:])
	}
	return PageKey(number), value, leftOut
}
