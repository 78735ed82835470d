package protocol

import (
	"bytes"
	"strconv"
	"strings"
	"unicode/utf16"
	"unicode/utf8"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/valyala/fastjson"
)

// AppendQuoted appends a JSON string (RFC 8259, section 7). Bytes that are not UTF-8 become U+FFFD.
func AppendQuoted(b []byte, s string) []byte {
	// The error reports bytes that are not UTF-8. They are replaced all the same.
	b, _ = jsontext.AppendQuote(b, s)
	return b
}

// IsJSON reports whether a text is JSON in UTF-8 (RFC 8259, section 8.1).
func IsJSON(text []byte) bool { return jsontext.Value(text).IsValid() }

// textOf returns the text of a JSON string, "" for another value. Bytes that are not UTF-8, which
// are in records of versions that let them in, become U+FFFD.
func textOf(v *fastjson.Value) string {
	s := v.GetStringBytes()
	if utf8.Valid(s) {
		return string(s)
	}
	return strings.ToValidUTF8(string(s), string(utf8.RuneError))
}

const (
	escapeLength = len(`\u0000`)
	replacement  = `\ufffd` // of an escaped surrogate without its other half
)

// replaceLoneSurrogates replaces each escaped surrogate without its other half by U+FFFD, as
// encoding/json does: UTF-8 has no form for it. body is valid JSON, and is not changed.
func replaceLoneSurrogates(body []byte) []byte {
	if !bytes.Contains(body, []byte(`\ud`)) && !bytes.Contains(body, []byte(`\uD`)) {
		return body
	}
	replaced := bytes.Clone(body)
	for i := 0; i < len(body); {
		switch first, ok := escapedUnit(body[i:]); {
		case body[i] != '\\':
			i++
		case !ok:
			i += 2 // another escape, or a backslash
		case !utf16.IsSurrogate(first):
			i += escapeLength
		default:
			second, _ := escapedUnit(body[i+escapeLength:])
			if utf16.DecodeRune(first, second) != utf8.RuneError {
				i += 2 * escapeLength
				continue
			}
			copy(replaced[i:], replacement)
			i += escapeLength
		}
	}
	return replaced
}

// escapedUnit returns the UTF-16 code unit that is escaped at the start of b, if one is.
func escapedUnit(b []byte) (unit rune, ok bool) {
	if len(b) < escapeLength || b[0] != '\\' || b[1] != 'u' {
		return 0, false
	}
	n, err := strconv.ParseUint(string(b[2:escapeLength]), 16, 16)
	return rune(n), err == nil
}
