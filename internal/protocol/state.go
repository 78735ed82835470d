package protocol

import (
	"errors"
	"strconv"

	"github.com/valyala/fastjson"
)

// Entry is one key of the state service.
type Entry struct {
	Key      string
	Value    []byte // JSON
	Revision uint64
}

// Condition asks that a key has a stamp (0: that it does not exist).
type Condition struct {
	Key      string
	Revision uint64
}

// Change is one put, or a delete where Value is nil.
type Change struct {
	Key   string
	Value []byte
	Lease uint64
}

// AppendTxn writes a transaction.
func AppendTxn(b []byte, when []Condition, then []Change) []byte {
	b = append(b, `{"when":[`...)
	for i, c := range when {
		if i > 0 {
			b = append(b, ',')
		}
		b = AppendQuoted(append(b, `{"path":`...), c.Key)
		b = strconv.AppendUint(append(b, `,"stamp":`...), c.Revision, 10)
		b = append(b, '}')
	}
	b = append(b, `],"then":[`...)
	for i, c := range then {
		if i > 0 {
			b = append(b, ',')
		}
		if c.Value == nil {
			b = AppendQuoted(append(b, `{"drop":`...), c.Key)
		} else {
			b = AppendQuoted(append(b, `{"set":`...), c.Key)
			b = append(append(b, `,"data":`...), c.Value...)
			if c.Lease > 0 {
				b = strconv.AppendUint(append(b, `,"hold":`...), c.Lease, 10)
			}
		}
		b = append(b, '}')
	}
	return append(b, "]}"...)
}

// TxnResult is the answer to a transaction.
type TxnResult struct {
	Revision  uint64
	Conflicts []string
}

// ParseTxn reads the answer to a transaction.
func ParseTxn(body []byte) (TxnResult, error) {
	var r TxnResult
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := parseObject(p, body)
	if err != nil {
		return r, err
	}
	f := &fields{obj: v}
	r.Revision = f.count("generation")
	for _, k := range v.GetArray("failed") {
		r.Conflicts = append(r.Conflicts, string(k.GetStringBytes()))
	}
	return r, f.err
}

// ParseEntry reads one key. The value is a slice of body.
func ParseEntry(body []byte) (Entry, error) {
	if err := fastjson.ValidateBytes(body); err != nil {
		return Entry{}, errors.New("not JSON")
	}
	return entryOf(body)
}

// Page is a page of keys.
type Page struct {
	Entries  []Entry
	More     bool
	Revision uint64
}

// ParsePage reads a page of keys. The values are slices of body: they are not
// parsed here, since who takes them does.
func ParsePage(body []byte) (Page, error) {
	var p Page
	if err := fastjson.ValidateBytes(body); err != nil {
		return p, errors.New("not JSON")
	}
	numbered, listed := false, false
	err := raw(body).members(func(name string, value raw) error {
		switch name {
		case "generation":
			p.Revision, numbered = value.count()
		case "truncated":
			p.More = string(value) == "true"
		case "entries":
			listed = true
			return value.items(func(item raw) error {
				e, err := entryOf(item)
				p.Entries = append(p.Entries, e)
				return err
			})
		}
		return nil
	})
	switch {
	case err != nil:
		return Page{}, err
	case !listed:
		return Page{}, errors.New("entries: invalid")
	case !numbered:
		return Page{}, errors.New("generation: missing or invalid")
	}
	return p, nil
}

// entryOf reads one key, by itself or of a page.
func entryOf(item raw) (Entry, error) {
	var e Entry
	err := item.members(func(name string, value raw) error {
		var err error
		switch name {
		case "path":
			if e.Key = unquoteRaw(value); !validText(e.Key) || value[0] != '"' {
				err = errors.New("path: invalid")
			}
		case "stamp":
			var ok bool
			if e.Revision, ok = value.count(); !ok {
				err = errors.New("stamp: invalid")
			}
		case "data":
			e.Value = value
		}
		return err
	})
	switch {
	case err != nil:
	case e.Key == "":
		err = errors.New("path: missing")
	case e.Revision == 0:
		err = errors.New("stamp: missing")
	case e.Value == nil:
		err = errors.New("data: missing")
	}
	return e, err
}

// ParseWatch reads the changes of a watch; a dropped key has a nil Value.
func ParseWatch(body []byte) (entries []Entry, revision uint64, err error) {
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := parseObject(p, body)
	if err != nil {
		return nil, 0, err
	}
	f := &fields{obj: v}
	revision = f.count("generation")
	list, err := Member(v, "news").Array()
	if err != nil {
		return nil, 0, errors.New("news: invalid")
	}
	for _, it := range list {
		nf := &fields{obj: it}
		e := Entry{Revision: nf.count("stamp")}
		if it.Exists("drop") {
			e.Key = nf.text("drop")
		} else {
			e.Key = nf.text("set")
			if data := it.Get("data"); data != nil {
				e.Value = data.MarshalTo(nil)
			} else {
				nf.fail("data", "missing")
			}
		}
		if nf.err != nil {
			return nil, 0, nf.err
		}
		entries = append(entries, e)
	}
	return entries, revision, f.err
}

// LeaseBody asks for a lease.
func LeaseBody(ttl Micros) []byte {
	return append(strconv.AppendInt([]byte(`{"ttlMs":`), int64(ttl/Millisecond), 10), '}')
}

// ParseLease reads the id of a new lease.
func ParseLease(body []byte) (uint64, error) {
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := parseObject(p, body)
	if err != nil {
		return 0, err
	}
	f := &fields{obj: v}
	id := f.count("hold")
	if f.err == nil && id == 0 {
		f.fail("hold", "invalid")
	}
	return id, f.err
}
