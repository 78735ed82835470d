package configuration

import (
	"testing"

	"mapleslip/internal/worktest"
)

// A request, a file or a record of the configuration costs no more work than its size allows, whatever
// it holds.
func TestOneChangeCausesBoundedWork(t *testing.T) {
	for name, parser := range map[string]struct {
		limit   int // of the size, in bytes
		members []string
		parse   func(body []byte)
	}{
		"request":  {64 << 10, []string{"set", "who", "expected"}, func(b []byte) { _, _ = ParseRequest(b, false) }},
		"rollback": {64 << 10, []string{"to", "who"}, func(b []byte) { _, _ = ParseRequest(b, true) }},
		"file":     {64 << 10, []string{"team"}, func(b []byte) { _, _ = ParseFile(b) }},
		"argument": {64 << 10, nil, func(b []byte) { _, _, _ = ParseSet("team/red/gpus=" + string(b)) }},
		"document": {128 << 10, nil, func(b []byte) { _, _ = DecodeDocument(b) }},
		"head":     {128 << 10, []string{"document", "log", "form"}, func(b []byte) { _, _ = DecodeHead(b) }},
		"page":     {128 << 10, []string{"log"}, func(b []byte) { _, _ = DecodePage(b) }},
	} {
		for _, excess := range worktest.FindExcesses(parser.limit, parser.members, parser.parse) {
			t.Errorf("%s: %v", name, excess)
		}
	}
}
