package configuration

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// Request asks for a revision.
type Request struct {
	Expected uint64 // the revision that whoever asks has seen: on another one it is refused
	Who, Why string
	ID       string // names the request, so that it is known when it is repeated
	// Set has the values by key, "": the key is taken out. All of them make one revision.
	Set map[string]string
	// Mend puts the change in the place of a record that can't be read.
	Mend bool
	// Rollback: the document of an earlier revision is what is asked for, and Set is empty.
	Rollback bool
	To       uint64
}

// Changes is what a request changes in a document: what is so already is left out.
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

// Errors of a request's body as a whole.
var (
	errNotJSON   = errors.New("not JSON")
	errNotObject = errors.New("not an object")
)

// ParseRequest reads a request's body. An unknown key, one that is there twice, and a value of
// the wrong kind are errors that name it.
func ParseRequest(body []byte, rollback bool) (*Request, error) {
	if err := fastjson.ValidateBytes(body); err != nil {
		return nil, errNotJSON
	}
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := p.ParseBytes(body)
	if err != nil {
		return nil, errNotJSON
	}
	o, err := v.Object()
	if err != nil {
		return nil, errNotObject
	}
	r := requestReader{Request: &Request{Rollback: rollback}, seen: make(map[string]bool)}
	o.Visit(r.readField)
	r.checkComplete()
	if r.err != nil {
		return nil, r.err
	}
	return r.Request, nil
}

// requestReader reads the fields of a request, and keeps the first error.
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
		r.Who = r.text(key, v, mostWho)
	case key == "why":
		r.Why = r.text(key, v, mostWhy)
	case key == "id":
		r.ID = r.text(key, v, mostID)
	case key == "to" && r.Rollback:
		r.To = r.count(key, v)
	case key == "mend" && !r.Rollback:
		r.Mend = r.flag(key, v)
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

// checkComplete checks that nothing is missing.
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

// flatten takes the values of an object, and of the objects in it, by their paths:
// {"team":{"vision":{"gpus_max":40}}} is {"team/vision/gpus_max":40}. null takes a key out.
func flatten(to map[string]string, path string, v *fastjson.Value) error {
	if o, e := v.Object(); e == nil {
		var err error
		if path != "" && o.Len() == 0 {
			return keyErrorf(path, "has no keys")
		}
		o.Visit(func(name []byte, v *fastjson.Value) {
			key := string(name)
			if path != "" {
				key = path + "/" + key
			}
			if err == nil {
				err = flatten(to, key, v)
			}
		})
		return err
	}
	if path == "" {
		return keyErrorf("set", "must be an object")
	}
	if _, twice := to[path]; twice {
		return keyErrorf(path, "is there twice")
	}
	if v.Type() == fastjson.TypeNull {
		to[path] = ""
		return nil
	}
	text, ok := canonical(v)
	if !ok {
		return keyErrorf(path, "must be a number, a text, true, false, or null to take it out")
	}
	to[path] = text
	return nil
}

// AppendRequest writes a request's body.
func AppendRequest(b []byte, r *Request) []byte {
	b = fmt.Appendf(b, `{"expected":%d,"who":`, r.Expected)
	b = append(protocol.AppendQuoted(b, r.Who), `,"why":`...)
	b = append(protocol.AppendQuoted(b, r.Why), `,"id":`...)
	b = protocol.AppendQuoted(b, r.ID)
	if r.Rollback {
		return fmt.Appendf(b, `,"to":%d}`, r.To)
	}
	if r.Mend {
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

// ParseFile reads the changes of a file, JSON if it begins with a brace, else TOML. In
// TOML, unset = ["key", ...] takes keys out.
func ParseFile(text []byte) (map[string]string, error) {
	set := make(map[string]string)
	if trimmed := bytes.TrimSpace(text); len(trimmed) > 0 && trimmed[0] == '{' {
		if err := fastjson.ValidateBytes(trimmed); err != nil {
			return nil, fmt.Errorf("not JSON: %w", err)
		}
		var p fastjson.Parser
		v, err := p.ParseBytes(trimmed)
		if err != nil {
			return nil, err
		}
		return set, flatten(set, "", v)
	}
	var f map[string]any
	if err := toml.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	if list, ok := f["unset"]; ok {
		keys, ok := list.([]any)
		if !ok {
			return nil, keyErrorf("unset", "must be a list of keys")
		}
		for _, k := range keys {
			key, ok := k.(string)
			if _, twice := set[key]; !ok || twice || key == "" {
				return nil, keyErrorf("unset", "must be a list of keys, each once")
			}
			set[key] = ""
		}
		delete(f, "unset")
	}
	return set, flattenTOML(set, "", f)
}

func flattenTOML(to map[string]string, path string, v any) error {
	switch v := v.(type) {
	case map[string]any:
		if path != "" && len(v) == 0 {
			return keyErrorf(path, "has no keys")
		}
		for name, x := range v {
			key := name
			if path != "" {
				key = path + "/" + name
			}
			if err := flattenTOML(to, key, x); err != nil {
				return err
			}
		}
		return nil
	case string:
		return put(to, path, string(protocol.AppendQuoted(nil, v)))
	case bool:
		return put(to, path, fmt.Sprint(v))
	case int64:
		return put(to, path, canonicalNumber(float64(v)))
	case float64:
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return keyErrorf(path, "must be a finite number")
		}
		return put(to, path, canonicalNumber(v))
	}
	return keyErrorf(path, "must be a number, a text, true or false")
}

func put(to map[string]string, key, value string) error {
	if _, twice := to[key]; twice {
		return keyErrorf(key, "is there twice")
	}
	to[key] = value
	return nil
}

// ParseSet reads KEY=VALUE of a command. VALUE is a number, true, false or a text; "-"
// takes the key out.
func ParseSet(word string) (key, value string, err error) {
	key, text, ok := strings.Cut(word, "=")
	switch {
	case !ok || key == "" || text == "":
		return "", "", fmt.Errorf("%q is not KEY=VALUE", word)
	case text == "-":
		return key, "", nil
	}
	if v, err := fastjson.Parse(text); err == nil && v.Type() != fastjson.TypeObject && v.Type() != fastjson.TypeArray {
		if c, ok := canonical(v); ok {
			return key, c, nil
		}
		return "", "", keyErrorf(key, "invalid value")
	}
	return key, string(protocol.AppendQuoted(nil, text)), nil
}

// Line finds the line of a TOML file in which a key of the document is set; 0: nowhere.
func Line(text []byte, key string) int {
	table := ""
	for n, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			table = path(strings.Trim(strings.SplitN(line, "#", 2)[0], "[] \t"))
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		full := path(strings.TrimSpace(name))
		if table != "" {
			full = table + "/" + full
		}
		if ok && full == key {
			return n + 1
		}
	}
	return 0
}

// path turns a dotted key of TOML into one of the document.
func path(dotted string) string {
	var b strings.Builder
	quote := rune(0)
	for _, r := range dotted {
		switch {
		case quote == 0 && (r == '"' || r == '\''):
			quote = r
		case r == quote:
			quote = 0
		case quote == 0 && r == '.':
			b.WriteByte('/')
		case quote == 0 && (r == ' ' || r == '\t'):
		default:
			b.WriteRune(r)
		}
	}
	return b.String()
}
