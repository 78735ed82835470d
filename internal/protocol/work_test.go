package protocol

import (
	"testing"

	"mapleslip/internal/worktest"
)

// parsers are the functions that read a message of another process, by the message, with the limit of
// its size in bytes and the members in which costly values are tried. Answers may be larger (64 MiB)
// than the sizes that are tried.
var parsers = map[string]struct {
	limit   int
	members []string
	parse   func(body []byte) error
}{
	"submission": {64 << 10, []string{"ref", "awaits", "flavors", "cores"}, func(b []byte) error { _, err := ParseJob(b); return err }},
	"heartbeat":  {128 << 10, []string{"host", "shards", "tick"}, func(b []byte) error { _, err := ParseHeartbeat(b); return err }},
	"roll-out":   {64 << 10, []string{"job", "stages", "adopt", "check"}, func(b []byte) error { _, err := ParseRollout(b); return err }},
	"types":      {256 << 10, []string{"flavors"}, func(b []byte) error { _, err := ParseMachineTypes(b); return err }},
	"machines":   {256 << 10, []string{"hosts"}, func(b []byte) error { _, _, err := ParseMachines(b); return err }},
	"names":      {256 << 10, []string{"hosts"}, func(b []byte) error { _, err := ParseMachineNames(b); return err }},
	"commit":     {256 << 10, []string{"generation", "failed"}, func(b []byte) error { _, err := ParseTxn(b); return err }},
	"entry":      {256 << 10, []string{"path", "data"}, func(b []byte) error { _, err := ParseEntry(b); return err }},
	"page":       {256 << 10, []string{"entries", "generation"}, func(b []byte) error { _, err := ParsePage(b); return err }},
	"watch":      {256 << 10, []string{"news", "generation"}, func(b []byte) error { _, _, err := ParseWatch(b); return err }},
	"lease":      {256 << 10, []string{"hold"}, func(b []byte) error { _, err := ParseLease(b); return err }},
	"text":       {256 << 10, []string{"error"}, func(b []byte) error { TextMember(b, "error"); return nil }},
	"status":     {256 << 10, []string{"new", "stages"}, func(b []byte) error { _, err := ParseRolloutStatus(b); return err }},
}

// A message costs no more work than its size allows, whatever it holds and at each size up to the
// limit: 60,000 brackets kept a controller from answering for minutes.
func TestOneMessageCausesBoundedWork(t *testing.T) {
	for name, parser := range parsers {
		t.Run(name, func(t *testing.T) {
			for _, excess := range worktest.FindExcesses(parser.limit, parser.members, func(b []byte) { _ = parser.parse(b) }) {
				t.Error(excess)
			}
		})
	}
}
