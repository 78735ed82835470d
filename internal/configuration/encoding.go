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

const formatVersion = 1

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
	return decodeDocument(v)
}

func decodeDocument(v *fastjson.Value) (Document, error) {
	o, err := v.Object()
	if err != nil {
		return nil, errRecord
	}
	d := make(Document, o.Len())
	o.Visit(func(key []byte, v *fastjson.Value) {
		text, ok := canonicalJSON(v)
		if !ok || d[string(key)] != "" {
			err = errRecord
		}
		d[string(key)] = text
	})
	return d, err
}

// canonicalJSON is a value's text, the same for all ways to write it.
func canonicalJSON(v *fastjson.Value) (string, bool) {
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
	b := fmt.Appendf(nil, `{"form":%d,"revision":%d,"started":%d,"first":%d,"last":%d,"document":`, formatVersion, h.Revision, h.FirstRevision, h.FirstPage, h.LastPage)
	b = append(appendDocument(b, h.Document), `,"log":`...)
	return append(AppendEntries(b, h.Entries), '}')
}

func encodePage(list []Entry) []byte {
	return append(AppendEntries(fmt.Appendf(nil, `{"form":%d,"log":`, formatVersion), list), '}')
}

var errRecord = errors.New("malformed record of the configuration")

func parseRecord(value []byte, p *fastjson.Parser) (*fastjson.Value, error) {
	v, err := p.ParseBytes(value)
	switch {
	case err != nil || v.Type() != fastjson.TypeObject:
		return nil, errRecord
	case v.GetInt("form") > formatVersion:
		return nil, fmt.Errorf("the record of the configuration is of form %d, and this program knows %d", v.GetInt("form"), formatVersion)
	case v.GetInt("form") != formatVersion:
		return nil, errRecord
	}
	return v, nil
}

// DecodeHead reads a head. An entry out of order, or one that is missing, makes it
// unreadable as a whole.
func DecodeHead(value []byte) (*Head, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := parseRecord(value, p)
	if err != nil {
		return nil, err
	}
	h := &Head{Revision: v.GetUint64("revision"), FirstRevision: v.GetUint64("started"), FirstPage: v.GetUint64("first"), LastPage: v.GetUint64("last")}
	if h.Document, err = decodeDocument(protocol.Member(v, "document")); err != nil {
		return nil, err
	}
	if h.Entries, err = decodeEntries(v); err != nil {
		return nil, err
	}
	n := len(h.Entries)
	if h.Revision == 0 || n == 0 || h.Entries[n-1].Revision != h.Revision || h.FirstRevision == 0 || h.FirstRevision > h.Entries[0].Revision {
		return nil, errRecord
	}
	return h, nil
}

// DecodePage reads a page of history.
func DecodePage(value []byte) ([]Entry, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := parseRecord(value, p)
	if err != nil {
		return nil, err
	}
	return decodeEntries(v)
}

// decodeEntries reads entries that follow each other without a gap.
func decodeEntries(v *fastjson.Value) ([]Entry, error) {
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
			ch.Old, ok[0] = canonicalJSON(part[1])
		}
		if part[2].Type() != fastjson.TypeNull {
			ch.New, ok[1] = canonicalJSON(part[2])
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
