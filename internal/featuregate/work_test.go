package featuregate

import (
	"testing"

	"mapleslip/internal/worktest"
)

// A record of the feature levels costs no more work than its size allows, whatever it holds.
func TestOneRecordCausesBoundedWork(t *testing.T) {
	for name, parser := range map[string]struct {
		limit   int // of the size, in bytes
		members []string
		parse   func(body []byte)
	}{
		"entry": {128 << 10, []string{"form"}, func(b []byte) { _, _ = DecodeEntry(b) }},
		"level": {128 << 10, []string{"form", "level"}, func(b []byte) { _, _ = DecodeLevel(b) }},
	} {
		for _, excess := range worktest.FindExcesses(parser.limit, parser.members, parser.parse) {
			t.Errorf("%s: %v", name, excess)
		}
	}
}
