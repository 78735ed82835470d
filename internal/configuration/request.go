package configuration

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// Request is a request for a new revision.
type Request struct {
	Expected uint64 // revision that the requester has seen; refused if another is current
	Who, Why string
	ID       string // identifies the request, so that a retry of it is recognized
	// Set contains the values by key; "" removes the key. Together they make one revision.
	Set map[string]string
	// Repair replaces a record that can't be read.
	Repair bool
	// Rollback requests the document of the earlier revision To. Set is then empty.
	Rollback bool
	To       uint64
}

// Changes returns what the request changes in a document. Keys that already have the requested
// value are left out.
func (r *Request) Changes(d Document) []Change {
	var list []Change
	for key, v := range r.Set {
		if d[key] != v {
			list = append(list, Change{key, d[key], v})
		}
	}
	slices.SortFunc(list, func(a, b Change) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// ParseRequest parses the body of a request. If a key is unknown, duplicate or has a value of the
// wrong type, the error names it.
func ParseRequest(body []byte, rollback bool) (*Request, error) {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := protocol.ParseObject(p, body)
	if err != nil {
		return nil, err
	}
	o, err := v.Object()
	if err != nil {
		return nil, err
	}
	r := requestReader{Request: &Request{Rollback: rollback}, seen: make(map[string]bool)}
	o.Visit(r.readField)
	r.checkComplete()
	if r.err != nil {
		return nil, r.err
	}
	return r.Request, nil
}

// requestReader reads the fields of a request and keeps the first error.
type requestReader struct {
	*Request
	seen map[string]bool
	err  error
}

func (r *requestReader) fail(key, format string, args ...any) {
	if r.err == nil {
		r.err = keyErrorf(key, format, args...)
	}
}

func (r *requestReader) readField(name []byte, v *fastjson.Value) {
	key := string(name)
	if r.seen[key] {
		r.fail(key, "is there twice")
	}
	r.seen[key] = true
	switch {
	case key == "expected":
		r.Expected = r.count(key, v)
	case key == "who":
		r.Who = r.text(key, v, maxWhoBytes)
	case key == "why":
		r.Why = r.text(key, v, maxWhyBytes)
	case key == "id":
		r.ID = r.text(key, v, maxIDBytes)
	case key == "to" && r.Rollback:
		r.To = r.count(key, v)
	case key == "mend" && !r.Rollback:
		r.Repair = r.flag(key, v)
	case key == "set" && !r.Rollback:
		r.Set = make(map[string]string)
		if err := flatten(r.Set, "", v); err != nil && r.err == nil {
			r.err = err
		}
	default:
		r.fail(key, "unknown key")
	}
}

func (r *requestReader) text(key string, v *fastjson.Value, maxBytes int) string {
	s := string(v.GetStringBytes())
	isControl := func(c rune) bool { return c < ' ' || c == '\x7f' || c == '\uFFFD' }
	if v.Type() != fastjson.TypeString || len(s) > maxBytes || strings.ContainsFunc(s, isControl) {
		r.fail(key, "must be a text of at most %d bytes in one line", maxBytes)
	}
	return s
}

func (r *requestReader) count(key string, v *fastjson.Value) uint64 {
	n, err := v.Uint64()
	if v.Type() != fastjson.TypeNumber || err != nil {
		r.fail(key, "must be a revision's number")
	}
	return n
}

func (r *requestReader) flag(key string, v *fastjson.Value) bool {
	set := v.Type() == fastjson.TypeTrue
	if !set && v.Type() != fastjson.TypeFalse {
		r.fail(key, "must be true or false")
	}
	return set
}

// checkComplete checks that no required field is missing.
func (r *requestReader) checkComplete() {
	required := []string{"expected", "who", "id", "set"}
	if r.Rollback {
		required[3] = "to"
	}
	for _, key := range required {
		if !r.seen[key] {
			r.fail(key, "missing")
		}
	}
	if r.Who == "" {
		r.fail("who", "missing")
	}
	if r.ID == "" {
		r.fail("id", "missing")
	}
}

// flatten adds the values of an object and of its nested objects by their paths:
// {"team":{"vision":{"gpus_max":40}}} becomes {"team/vision/gpus_max":40}. null removes a key.
func flatten(values map[string]string, path string, v *fastjson.Value) error {
	if o, e := v.Object(); e == nil {
		var err error
		if path != "" && o.Len() == 0 {
			return keyErrorf(path, "has no keys")
		}
		o.Visit(func(name []byte, v *fastjson.Value) {
			if err != nil {
				return
			}
			var key string
			if key, err = joinKey(path, string(name)); err == nil {
				err = flatten(values, key, v)
			}
		})
		return err
	}
	if path == "" {
		return keyErrorf("set", "must be an object")
	}
	if _, duplicate := values[path]; duplicate {
		return keyErrorf(path, "is there twice")
	}
	if v.Type() == fastjson.TypeNull {
		values[path] = ""
		return nil
	}
	text, ok := canonicalJSON(v)
	if !ok {
		return keyErrorf(path, "must be a number, a text, true, false, or null to take it out")
	}
	values[path] = text
	return nil
}

// AppendRequest appends the body of a request as JSON.
func AppendRequest(b []byte, r *Request) []byte {
	b = fmt.Appendf(b, `{"expected":%d,"who":`, r.Expected)
	b = append(protocol.AppendQuoted(b, r.Who), `,"why":`...)
	b = append(protocol.AppendQuoted(b, r.Why), `,"id":`...)
	b = protocol.AppendQuoted(b, r.ID)
	if r.Rollback {
		return fmt.Appendf(b, `,"to":%d}`, r.To)
	}
	if r.Repair {
		b = append(b, `,"mend":true`...)
	}
	b = append(b, `,"set":{`...)
	for i, key := range slices.Sorted(maps.Keys(r.Set)) {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(protocol.AppendQuoted(b, key), ':'), orNull(r.Set[key])...)
	}
	return append(b, "}}"...)
}
