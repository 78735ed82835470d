package records

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

const (
	// FormatVersion is the format of the records. A controller that knows only an earlier one
	// can't read the epoch's record, so it never leads without seeing what it can't read.
	FormatVersion = 2
	// FeatureFormatVersion is the format of the epoch's record and of the machine types' from
	// feature level 1 on. A controller of a version without levels can read neither, so it
	// neither leads nor accepts jobs; all other records stay as they are.
	FeatureFormatVersion = 3
)

// ErrFormat is that of a record in a format that this version does not know.
var ErrFormat = errors.New("record in an unknown format")

// FieldError says which field of a record is missing or invalid.
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

// parse reads JSON and hands it to read. It is good only until read returns.
func parse(value []byte, read func(v *fastjson.Value) error) error {
	p := protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	v, err := p.ParseBytes(value)
	if err != nil {
		return err
	}
	return read(v)
}

// parseVersioned reads a record of FormatVersion and hands it to read.
func parseVersioned(value []byte, read func(v *fastjson.Value) error) error {
	return parse(value, func(v *fastjson.Value) error {
		if v.Type() != fastjson.TypeObject || v.GetInt("form") != FormatVersion {
			return ErrFormat
		}
		return read(v)
	})
}

// begin begins a record of FormatVersion, up to the value of its first field.
func begin(field string) []byte {
	b := append(strconv.AppendInt([]byte(`{"form":`), FormatVersion, 10), `,"`...)
	return append(append(b, field...), `":`...)
}

// appendByRef writes the rest of a record that jobs share: a field with a member for each.
func appendByRef(field string, refs []string, value func(b []byte, ref string) []byte) []byte {
	b := append(begin(field), '{')
	for i, ref := range refs {
		if i > 0 {
			b = append(b, ',')
		}
		b = value(append(protocol.AppendQuoted(b, ref), ':'), ref)
	}
	return append(b, "}}"...)
}

// forEachRef reads a record that jobs share.
func forEachRef(value []byte, kind, field string, take func(ref string, v *fastjson.Value) error) error {
	return parseVersioned(value, func(v *fastjson.Value) error {
		members, err := protocol.Member(v, field).Object()
		if err != nil {
			return &FieldError{Record: kind, Field: field}
		}
		members.Visit(func(ref []byte, v *fastjson.Value) {
			if err == nil {
				err = take(string(ref), v)
			}
		})
		return err
	})
}
