package protocol

import (
	"bytes"
	"errors"
	"unicode/utf8"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/valyala/fastjson"
)

// MaxDepth is how deep the values of a message may be nested; the outermost one has depth 1. It is the
// depth that all versions have accepted.
const MaxDepth = fastjson.MaxDepth

// Errors about the whole body of a message.
var (
	ErrNotJSON   = errors.New("not JSON")
	ErrNotUTF8   = errors.New("not JSON: not in UTF-8")
	ErrNotObject = errors.New("not an object")
	ErrTooDeep   = errors.New("nested too deep")
)

// ParseObject parses a message that is a JSON object in UTF-8. An escaped surrogate without its
// other half is read as U+FFFD.
func ParseObject(p *fastjson.Parser, body []byte) (*fastjson.Value, error) {
	v, err := parseStored(p, body)
	if err == nil && !utf8.Valid(body) {
		return nil, ErrNotUTF8
	}
	return v, err
}

// parseStored is ParseObject for JSON that may hold texts of versions that did not check for UTF-8.
func parseStored(p *fastjson.Parser, body []byte) (*fastjson.Value, error) {
	v, err := ParseValue(p, body)
	if err != nil {
		return nil, err
	}
	if v.Type() != fastjson.TypeObject {
		return nil, ErrNotObject
	}
	return v, nil
}

// ParseValue parses any JSON value. It does not check for UTF-8. Every text from another process or a
// file is parsed by it: its work is linear in the size of the text, also when it returns an error. The
// parser alone wraps an error once for each level, with the rest of its input.
func ParseValue(p *fastjson.Parser, text []byte) (*fastjson.Value, error) {
	if nestsDeeper(text, MaxDepth) {
		return nil, ErrTooDeep
	}
	if !isSyntacticallyValid(text) {
		return nil, ErrNotJSON
	}
	v, err := p.ParseBytes(replaceLoneSurrogates(text))
	if err != nil {
		return nil, ErrNotJSON
	}
	return v, nil
}

// TextMember returns the text of a member of an object, "" if the body is not an object with that text.
func TextMember(body []byte, name string) string {
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := parseStored(p, body)
	if err != nil {
		return ""
	}
	return textOf(Member(v, name))
}

// isSyntacticallyValid reports whether a text is JSON apart from its encoding. It takes values of up to
// 10,000 levels, the limit of jsontext.
func isSyntacticallyValid(text []byte) bool {
	return jsontext.Value(text).IsValid(jsontext.AllowInvalidUTF8(true), jsontext.AllowDuplicateNames(true))
}

// nestsDeeper reports whether a JSON text has a value at a depth above limit. For a text that is not
// valid it may report either.
func nestsDeeper(text raw, limit int) bool {
	if bytes.Count(text, []byte("["))+bytes.Count(text, []byte("{")) < limit {
		return false // the usual case: not even with all of them within one another
	}
	depth := 0
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case isSpace(c):
		case c == ']', c == '}':
			depth--
		case depth >= limit:
			return true
		case c == '"':
			i = text.stringEnd(i) - 1
		case c == '[', c == '{':
			depth++
		}
	}
	return false
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }
