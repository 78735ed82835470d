package protocol

import (
	"errors"
	"strconv"
)

// Entry is a key of the state service with its value.
type Entry struct {
	Key      string
	Value    []byte // JSON
	Revision uint64 // at which the key was last changed
}

// Condition requires in a transaction that a key has the given revision, or with revision 0 that it
// does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Change is a put in a transaction, or a delete if Value is nil.
type Change struct {
	Key   string
	Value []byte
	Lease uint64 // lease with which the key expires, 0 if none
}

// AppendTxn appends the body of a transaction, which makes all changes if all conditions hold.
func AppendTxn(b []byte, conditions []Condition, changes []Change) []byte {
	b = append(b, `{"when":[`...)
	for i, c := range conditions {
		if i > 0 {
			b = append(b, ',')
		}
		b = AppendQuoted(append(b, `{"path":`...), c.Key)
		b = strconv.AppendUint(append(b, `,"stamp":`...), c.Revision, 10)
		b = append(b, '}')
	}
	b = append(b, `],"then":[`...)
	for i, c := range changes {
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

// TxnResult is the state service's response to a transaction.
type TxnResult struct {
	Revision  uint64
	Conflicts []string // keys whose conditions failed
}

// ParseTxn parses the response to a transaction.
func ParseTxn(body []byte) (TxnResult, error) {
	var r TxnResult
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := ParseObject(p, body)
	if err != nil {
		return r, err
	}
	f := &fields{obj: v}
	r.Revision = f.integer("generation")
	for _, k := range v.GetArray("failed") {
		r.Conflicts = append(r.Conflicts, textOf(k))
	}
	return r, f.err
}

// ParseEntry parses the response to a read of one key. The entry's value is a slice of body.
func ParseEntry(body []byte) (Entry, error) {
	if !isSyntacticallyValid(body) {
		return Entry{}, ErrNotJSON
	}
	return parseEntry(body)
}

// Page is a page of a list of keys.
type Page struct {
	Entries  []Entry
	More     bool // further pages follow
	Revision uint64
}

// ParsePage parses a page of a list of keys. The values are slices of body and are only validated
// here, because the caller parses them.
func ParsePage(body []byte) (Page, error) {
	var p Page
	if !isSyntacticallyValid(body) {
		return p, ErrNotJSON
	}
	hasRevision, hasEntries := false, false
	err := raw(body).forEachMember(func(name string, value raw) error {
		switch name {
		case "generation":
			p.Revision, hasRevision = value.integer()
		case "truncated":
			p.More = string(value) == "true"
		case "entries":
			hasEntries = true
			return value.forEachItem(func(item raw) error {
				e, err := parseEntry(item)
				p.Entries = append(p.Entries, e)
				return err
			})
		}
		return nil
	})
	switch {
	case err != nil:
		return Page{}, err
	case !hasEntries:
		return Page{}, errors.New("entries: invalid")
	case !hasRevision:
		return Page{}, errors.New("generation: missing or invalid")
	}
	return p, nil
}

// parseEntry reads an entry, either a whole response or an item of a page.
func parseEntry(item raw) (Entry, error) {
	var e Entry
	err := item.forEachMember(func(name string, value raw) error {
		var err error
		switch name {
		case "path":
			if e.Key = unquoteRaw(value); !validText(e.Key) || value[0] != '"' {
				err = errors.New("path: invalid")
			}
		case "stamp":
			var ok bool
			if e.Revision, ok = value.integer(); !ok {
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

// ParseWatch parses the changes that a watch returns. The entry of a deleted key has a nil Value.
func ParseWatch(body []byte) (entries []Entry, revision uint64, err error) {
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := parseStored(p, body)
	if err != nil {
		return nil, 0, err
	}
	f := &fields{obj: v}
	revision = f.integer("generation")
	list, err := Member(v, "news").Array()
	if err != nil {
		return nil, 0, errors.New("news: invalid")
	}
	for _, item := range list {
		itemFields := &fields{obj: item}
		e := Entry{Revision: itemFields.integer("stamp")}
		if item.Exists("drop") {
			e.Key = itemFields.text("drop")
		} else {
			e.Key = itemFields.text("set")
			if data := item.Get("data"); data != nil {
				e.Value = data.MarshalTo(nil)
			} else {
				itemFields.fail("data", "missing")
			}
		}
		if itemFields.err != nil {
			return nil, 0, itemFields.err
		}
		entries = append(entries, e)
	}
	return entries, revision, f.err
}

// LeaseBody returns the body of a request for a lease of the state service.
func LeaseBody(ttl Micros) []byte {
	return append(strconv.AppendInt([]byte(`{"ttlMs":`), int64(ttl/Millisecond), 10), '}')
}

// ParseLease parses the id of a new lease.
func ParseLease(body []byte) (uint64, error) {
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := ParseObject(p, body)
	if err != nil {
		return 0, err
	}
	f := &fields{obj: v}
	id := f.integer("hold")
	if f.err == nil && id == 0 {
		f.fail("hold", "invalid")
	}
	return id, f.err
}
