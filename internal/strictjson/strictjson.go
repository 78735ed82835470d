// Package strictjson checks messages by RFC 8259 for the stand-ins of the state service, the cloud,
// the workers and the users. Its parser shares no code with those that the controllers use.
package strictjson

import (
	"bytes"
	"fmt"

	"github.com/go-json-experiment/json/jsontext"
)

// MaxBody is the limit of a request's body, in bytes (protocol, first section).
const MaxBody = 64 << 10

// Check returns why a text is not JSON in UTF-8, or nil. Member names have to be unique, and a
// surrogate may only be escaped as a part of a pair.
func Check(text []byte) error {
	decoder := jsontext.NewDecoder(bytes.NewReader(text))
	if _, err := decoder.ReadValue(); err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	if rest := bytes.TrimLeft(text[decoder.InputOffset():], " \t\r\n"); len(rest) > 0 {
		return fmt.Errorf("not JSON: %d bytes after the value", len(rest))
	}
	return nil
}

// CheckRequest returns why a text can't be the body of a request, or nil.
func CheckRequest(body []byte) error {
	if len(body) > MaxBody {
		return fmt.Errorf("a body of %d bytes", len(body))
	}
	return Check(body)
}
