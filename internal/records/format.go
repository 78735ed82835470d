package records

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

const (
	// FormatVersion is the format of the records. A controller that supports only an earlier
	// format can't read the epoch record either, so it can't become the leader and overlook the
	// records that it can't read.
	FormatVersion = 2
	// FeatureFormatVersion is the format of the epoch record and the machine types record from
	// feature level 1 on. A controller of a version without feature levels can read neither, so
	// it can neither lead nor accept jobs. All other records keep FormatVersion.
	FeatureFormatVersion = 3
)

// ErrFormat is returned for a record in a format that this version does not support.
var ErrFormat = errors.New("record in an unknown format")

// FieldError is returned for a record in which a field is missing or invalid.
type FieldError struct {
	Record string // the kind of record
	Field  string
	Err    error // the cause, or nil
}

func (e *FieldError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s record: field %q is missing or invalid", e.Record, e.Field)
	}
	return fmt.Sprintf("%s record: field %q: %v", e.Record, e.Field, e.Err)
}

func (e *FieldError) Unwrap() error { return e.Err }

// parse parses JSON and passes the result to decode. The parsed value is valid only until decode
// returns, because the parser is reused.
func parse(value []byte, decode func(v *fastjson.Value) error) error {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := protocol.ParseValue(p, value)
	if err != nil {
		return err
	}
	return decode(v)
}

// parseVersioned parses a record of FormatVersion and passes it to decode, as parse does.
func parseVersioned(value []byte, decode func(v *fastjson.Value) error) error {
	return parse(value, func(v *fastjson.Value) error {
		if v.Type() != fastjson.TypeObject || v.GetInt("form") != FormatVersion {
			return ErrFormat
		}
		return decode(v)
	})
}

// beginRecord encodes the beginning of a record of FormatVersion, up to the value of its first
// field.
func beginRecord(field string) []byte {
	b := append(strconv.AppendInt([]byte(`{"form":`), FormatVersion, 10), `,"`...)
	return append(append(b, field...), `":`...)
}

// encodeByRef encodes a record that jobs share: one field, an object with a member for each job
// ref. appendValue appends the value of a member.
func encodeByRef(field string, refs []string, appendValue func(b []byte, ref string) []byte) []byte {
	b := append(beginRecord(field), '{')
	for i, ref := range refs {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendValue(append(protocol.AppendQuoted(b, ref), ':'), ref)
	}
	return append(b, "}}"...)
}

// forEachRef parses a record that jobs share and calls decode for each member, up to the first
// error. kind is the kind of record in errors.
func forEachRef(value []byte, kind, field string, decode func(ref string, v *fastjson.Value) error) error {
	return parseVersioned(value, func(v *fastjson.Value) error {
		members, err := protocol.Member(v, field).Object()
		if err != nil {
			return &FieldError{Record: kind, Field: field}
		}
		members.Visit(func(ref []byte, v *fastjson.Value) {
			if err == nil {
				err = decode(string(ref), v)
			}
		})
		return err
	})
}
