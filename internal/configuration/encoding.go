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

// formatVersion is the version of the format of the records in the state service.
const formatVersion = 1

// appendDocument appends a document as JSON, sorted by key.
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

// EncodeDocument encodes a document as JSON.
func EncodeDocument(d Document) []byte { return appendDocument(nil, d) }

// DecodeDocument decodes a document from JSON.
func DecodeDocument(value []byte) (Document, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := protocol.ParseValue(p, value)
	if err != nil {
		return nil, errMalformedRecord
	}
	return decodeDocument(v)
}

func decodeDocument(v *fastjson.Value) (Document, error) {
	o, err := v.Object()
	if err != nil {
		return nil, errMalformedRecord
	}
	d := make(Document, o.Len())
	o.Visit(func(key []byte, v *fastjson.Value) {
		text, ok := canonicalJSON(v)
		if !ok || d[string(key)] != "" {
			err = errMalformedRecord
		}
		d[string(key)] = text
	})
	return d, err
}

// canonicalJSON returns the canonical text of a value, which does not depend on how the JSON was
// written, and whether the value is valid: a number, a string, true or false within the limits.
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

// appendEntry appends an entry of the history as JSON.
func appendEntry(b []byte, e Entry) []byte {
	b = fmt.Appendf(b, `{"revision":%d,"at_us":%d,"who":`, e.Revision, int64(e.At))
	b = append(protocol.AppendQuoted(b, e.Who), `,"why":`...)
	b = append(protocol.AppendQuoted(b, e.Why), `,"id":`...)
	b = append(protocol.AppendQuoted(b, e.ID), `,"changes":`...)
	return append(AppendChanges(b, e.Changes), '}')
}

// AppendChanges appends changes as JSON. Each change is an array of the key, the old and the new
// value; null means that the key is not set.
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

// AppendEntries appends a list of entries as JSON.
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

// Encode encodes the head as JSON.
func (h *Head) Encode() []byte {
	b := fmt.Appendf(nil, `{"form":%d,"revision":%d,"started":%d,"first":%d,"last":%d,"document":`, formatVersion, h.Revision, h.FirstRevision, h.FirstPage, h.LastPage)
	b = append(appendDocument(b, h.Document), `,"log":`...)
	return append(AppendEntries(b, h.Entries), '}')
}

func encodePage(list []Entry) []byte {
	return append(AppendEntries(fmt.Appendf(nil, `{"form":%d,"log":`, formatVersion), list), '}')
}

var errMalformedRecord = errors.New("malformed record of the configuration")

func parseRecord(value []byte, p *fastjson.Parser) (*fastjson.Value, error) {
	v, err := protocol.ParseValue(p, value)
	switch {
	case err != nil || v.Type() != fastjson.TypeObject:
		return nil, errMalformedRecord
	case v.GetInt("form") > formatVersion:
		return nil, fmt.Errorf("the record of the configuration is of form %d, and this program knows %d", v.GetInt("form"), formatVersion)
	case v.GetInt("form") != formatVersion:
		return nil, errMalformedRecord
	}
	return v, nil
}

// DecodeHead decodes a head. It returns an error if any entry is missing or out of order.
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
		return nil, errMalformedRecord
	}
	return h, nil
}

// DecodePage decodes a page of the history.
func DecodePage(value []byte) ([]Entry, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := parseRecord(value, p)
	if err != nil {
		return nil, err
	}
	return decodeEntries(v)
}

// decodeEntries decodes entries and checks that their revisions are consecutive.
func decodeEntries(v *fastjson.Value) ([]Entry, error) {
	items, err := protocol.Member(v, "log").Array()
	if err != nil {
		return nil, errMalformedRecord
	}
	list := make([]Entry, 0, len(items))
	for i, item := range items {
		e, err := DecodeEntry(item)
		if err != nil || i > 0 && e.Revision != list[i-1].Revision+1 {
			return nil, errMalformedRecord
		}
		list = append(list, e)
	}
	return list, nil
}

// DecodeEntry decodes an entry of the history.
func DecodeEntry(item *fastjson.Value) (Entry, error) {
	e := Entry{
		Revision: item.GetUint64("revision"), At: micros(item.GetInt64("at_us")), Who: string(item.GetStringBytes("who")),
		Why: string(item.GetStringBytes("why")), ID: string(item.GetStringBytes("id")),
	}
	for _, c := range item.GetArray("changes") {
		fields := c.GetArray()
		if len(fields) != 3 {
			return e, errMalformedRecord
		}
		change := Change{Key: string(fields[0].GetStringBytes())}
		ok := [2]bool{true, true}
		if fields[1].Type() != fastjson.TypeNull {
			change.Old, ok[0] = canonicalJSON(fields[1])
		}
		if fields[2].Type() != fastjson.TypeNull {
			change.New, ok[1] = canonicalJSON(fields[2])
		}
		if change.Key == "" || !ok[0] || !ok[1] {
			return e, errMalformedRecord
		}
		e.Changes = append(e.Changes, change)
	}
	if e.Revision == 0 {
		return e, errMalformedRecord
	}
	return e, nil
}
