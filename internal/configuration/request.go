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

// ParseRequest reads a request's body. An unknown key, one that is there twice, and a
// value of the wrong kind are errors that name it.
func ParseRequest(body []byte, rollback bool) (*Request, error) {
	if err := fastjson.ValidateBytes(body); err != nil {
		return nil, errors.New("not JSON")
	}
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := p.ParseBytes(body)
	if err != nil {
		return nil, errors.New("not JSON")
	}
	o, err := v.Object()
	if err != nil {
		return nil, errors.New("not an object")
	}
	r := &Request{Rollback: rollback}
	seen := make(map[string]bool)
	fail := func(key, format string, args ...any) {
		if err == nil {
			err = keyErrorf(key, format, args...)
		}
	}
	text := func(key string, v *fastjson.Value, most int) string {
		s := string(v.GetStringBytes())
		if v.Type() != fastjson.TypeString || len(s) > most || strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == '\x7f' || r == '\uFFFD' }) {
			fail(key, "must be a text of at most %d bytes in one line", most)
		}
		return s
	}
	count := func(key string, v *fastjson.Value) uint64 {
		n, e := v.Uint64()
		if v.Type() != fastjson.TypeNumber || e != nil {
			fail(key, "must be a revision's number")
		}
		return n
	}
	o.Visit(func(name []byte, v *fastjson.Value) {
		key := string(name)
		if seen[key] {
			fail(key, "is there twice")
		}
		seen[key] = true
		switch {
		case key == "expected":
			r.Expected = count(key, v)
		case key == "who":
			r.Who = text(key, v, mostWho)
		case key == "why":
			r.Why = text(key, v, mostWhy)
		case key == "id":
			r.ID = text(key, v, mostID)
		case key == "to" && rollback:
			r.To = count(key, v)
		case key == "mend" && !rollback:
			if r.Mend = v.Type() == fastjson.TypeTrue; !r.Mend && v.Type() != fastjson.TypeFalse {
				fail(key, "must be true or false")
			}
		case key == "set" && !rollback:
			r.Set = make(map[string]string)
			if e := flatten(r.Set, "", v); e != nil && err == nil {
				err = e
			}
		default:
			fail(key, "unknown key")
		}
	})
	for _, key := range []string{"expected", "who", "id"} {
		if !seen[key] {
			fail(key, "missing")
		}
	}
	switch {
	case rollback && !seen["to"]:
		fail("to", "missing")
	case !rollback && !seen["set"]:
		fail("set", "missing")
	case err == nil && r.Who == "":
		fail("who", "missing")
	case err == nil && r.ID == "":
		fail("id", "missing")
	}
	if err != nil {
		return nil, err
	}
	return r, nil
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
