package protocol

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/valyala/fastjson"
)

// Parsers is a pool of a few JSON parsers. The values that a parser returns are valid until the
// parser is put back; strings must be copied before that.
//
// A new leader reads several megabytes of records and a heartbeat from every host within a second.
// With a new parser for each of them, parsed values made up most of its allocations. sync.Pool
// helps little, because the garbage collector empties it and runs often at that time. The parsers
// of this pool are never freed; the memory that each retains is bounded by its longest input, a
// page of the machine list.
var Parsers = make(parserPool, 4)

type parserPool chan *fastjson.Parser

// Get takes a parser from the pool, or makes a new one if the pool is empty.
func (pool parserPool) Get() *fastjson.Parser {
	select {
	case p := <-pool:
		return p
	default:
		return new(fastjson.Parser)
	}
}

// Put returns a parser to the pool, or drops it if the pool is full.
func (pool parserPool) Put(p *fastjson.Parser) {
	select {
	case pool <- p:
	default:
	}
}

// raw is valid JSON that is scanned without being parsed: the values found are slices of it.
type raw []byte

// skipSpace returns the index of the first byte at or after i that is not white space.
func (b raw) skipSpace(i int) int {
	for i < len(b) && isSpace(b[i]) {
		i++
	}
	return i
}

// stringEnd returns the index after the string that begins at i.
func (b raw) stringEnd(i int) int {
	for i++; i < len(b) && b[i] != '"'; i++ {
		if b[i] == '\\' {
			i++
		}
	}
	return min(i+1, len(b))
}

// valueEnd returns the index after the value that begins at i.
func (b raw) valueEnd(i int) int {
	depth := 0
	for i < len(b) {
		switch b[i] {
		case '"':
			i = b.stringEnd(i)
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

// forEachMember calls visit for each member of an object and stops at the first error.
func (b raw) forEachMember(visit func(name string, value raw) error) error {
	i := b.skipSpace(0)
	if i >= len(b) || b[i] != '{' {
		return errors.New("not an object")
	}
	for i++; ; i++ {
		if i = b.skipSpace(i); i >= len(b) || b[i] == '}' {
			return nil
		}
		end := b.stringEnd(i)
		name := unquoteRaw(b[i:end])
		i = b.skipSpace(b.skipSpace(end) + 1) // the colon
		end = b.valueEnd(i)
		if err := visit(name, b[i:end]); err != nil {
			return err
		}
		if i = b.skipSpace(end); i >= len(b) || b[i] != ',' {
			return nil
		}
	}
}

// forEachItem calls visit for each item of an array and stops at the first error.
func (b raw) forEachItem(visit func(value raw) error) error {
	i := b.skipSpace(0)
	if i >= len(b) || b[i] != '[' {
		return errors.New("not an array")
	}
	for i++; ; i++ {
		if i = b.skipSpace(i); i >= len(b) || b[i] == ']' {
			return nil
		}
		end := b.valueEnd(i)
		if err := visit(b[i:end]); err != nil {
			return err
		}
		if i = b.skipSpace(end); i >= len(b) || b[i] != ',' {
			return nil
		}
	}
}

// unquoteRaw returns the decoded text of a JSON string.
func unquoteRaw(s raw) string {
	if len(s) < 2 {
		return ""
	}
	if bytes.IndexByte(s, '\\') < 0 {
		return string(s[1 : len(s)-1])
	}
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := ParseValue(p, s)
	if err != nil {
		return ""
	}
	return textOf(v)
}

// integer returns the value of a non-negative whole number, which may also be written like 16.0 or
// 1.6e1. ok is false for any other value.
func (b raw) integer() (uint64, bool) {
	if n, err := strconv.ParseUint(string(b), 10, 64); err == nil {
		return n, true
	}
	x, err := strconv.ParseFloat(string(b), 64)
	n, whole := integerValue(x)
	return n, whole && err == nil
}
