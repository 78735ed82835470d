package rollout

import (
	"testing"

	"mapleslip/internal/worktest"
)

// A record of a roll-out costs no more work than its size allows, whatever it holds.
func TestOneRecordCausesBoundedWork(t *testing.T) {
	for name, parser := range map[string]struct {
		limit   int // of the size, in bytes
		members []string
		parse   func(body []byte)
	}{
		"record": {128 << 10, []string{"new", "old", "state"}, func(b []byte) { _, _ = Decode(b) }},
	} {
		for _, excess := range worktest.FindExcesses(parser.limit, parser.members, parser.parse) {
			t.Errorf("%s: %v", name, excess)
		}
	}
}
