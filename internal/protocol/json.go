package protocol

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/valyala/fastjson"
)

// Parsers keeps a few parsers of JSON for use again. What a parser returns is
// good until the parser is put back: strings have to be copied before. A new
// leader reads some megabytes of records and a report of every machine in a
// second; with a parser for each of them most of what it allocated was parsed
// values. A pool that the collector empties (sync.Pool) saves little then, since
// the collector runs often: these stay. The longest text that one of them has
// seen is a page of the machine list.
var Parsers = make(parsers, 4)

type parsers chan *fastjson.Parser

// Get takes a parser, or makes one.
func (l parsers) Get() *fastjson.Parser {
	select {
	case p := <-l:
		return p
	default:
		return new(fastjson.Parser)
	}
}

// Put gives a parser back.
func (l parsers) Put(p *fastjson.Parser) {
	select {
	case l <- p:
	default:
	}
}

func parseObject(p *fastjson.Parser, body []byte) (*fastjson.Value, error) {
	if err := fastjson.ValidateBytes(body); err != nil {
		return nil, errors.New("not JSON")
	}
	v, err := p.ParseBytes(body)
	if err != nil {
		return nil, errors.New("not JSON")
	}
	if v.Type() != fastjson.TypeObject {
		return nil, errors.New("not an object")
	}
	return v, nil
}

// raw walks over valid JSON without parsing it: values are slices of it.
type raw []byte

// space skips white space.
func (b raw) space(i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\t' || b[i] == '\n' || b[i] == '\r') {
		i++
	}
	return i
}

// str is the end of the string that begins at i.
func (b raw) str(i int) int {
	for i++; i < len(b) && b[i] != '"'; i++ {
		if b[i] == '\\' {
			i++
		}
	}
	return min(i+1, len(b))
}

// value is the end of the value that begins at i.
func (b raw) value(i int) int {
	depth := 0
	for i < len(b) {
		switch b[i] {
		case '"':
			i = b.str(i)
			if depth == 0 {
				return i
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
			if depth < 0 {
				return i
			}
			if depth == 0 {
				return i + 1
			}
		case ',', ' ', '\t', '\n', '\r':
			if depth == 0 {
				return i
			}
		}
		i++
	}
	return i
}

// members calls take for each member of an object, until it reports an error.
func (b raw) members(take func(name string, value raw) error) error {
	i := b.space(0)
	if i >= len(b) || b[i] != '{' {
		return errors.New("not an object")
	}
	for i++; ; i++ {
		if i = b.space(i); i >= len(b) || b[i] == '}' {
			return nil
		}
		end := b.str(i)
		name := unquoteRaw(b[i:end])
		i = b.space(b.space(end) + 1) // the colon
		end = b.value(i)
		if err := take(name, b[i:end]); err != nil {
			return err
		}
		if i = b.space(end); i >= len(b) || b[i] != ',' {
			return nil
		}
	}
}

// items calls take for each item of an array, until it reports an error.
func (b raw) items(take func(value raw) error) error {
	i := b.space(0)
	if i >= len(b) || b[i] != '[' {
		return errors.New("not an array")
	}
	for i++; ; i++ {
		if i = b.space(i); i >= len(b) || b[i] == ']' {
			return nil
		}
		end := b.value(i)
		if err := take(b[i:end]); err != nil {
			return err
		}
		if i = b.space(end); i >= len(b) || b[i] != ',' {
			return nil
		}
	}
}

// unquoteRaw is the text of a string.
func unquoteRaw(s raw) string {
	if len(s) < 2 {
		return ""
	}
	if bytes.IndexByte(s, '\\') < 0 {
		return string(s[1 : len(s)-1])
	}
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := p.ParseBytes(s)
	if err != nil {
		return ""
	}
	return string(v.GetStringBytes())
}

// count is a whole number, which may be written as 16.0 as well.
func (b raw) count() (uint64, bool) {
	if n, err := strconv.ParseUint(string(b), 10, 64); err == nil {
		return n, true
	}
	x, err := strconv.ParseFloat(string(b), 64)
	n, whole := integerValue(x)
	return n, whole && err == nil
}
