package protocol

import (
	"testing"

	"mapleslip/internal/costlyform"
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
	"types":      {1 << 20, []string{"flavors"}, func(b []byte) error { _, err := ParseMachineTypes(b); return err }},
	"machines":   {1 << 20, []string{"hosts"}, func(b []byte) error { _, _, err := ParseMachines(b); return err }},
	"names":      {1 << 20, []string{"hosts"}, func(b []byte) error { _, err := ParseMachineNames(b); return err }},
	"commit":     {1 << 20, []string{"generation", "failed"}, func(b []byte) error { _, err := ParseTxn(b); return err }},
	"entry":      {1 << 20, []string{"path", "data"}, func(b []byte) error { _, err := ParseEntry(b); return err }},
	"page":       {1 << 20, []string{"entries", "generation"}, func(b []byte) error { _, err := ParsePage(b); return err }},
	"watch":      {1 << 20, []string{"news", "generation"}, func(b []byte) error { _, _, err := ParseWatch(b); return err }},
	"lease":      {1 << 20, []string{"hold"}, func(b []byte) error { _, err := ParseLease(b); return err }},
	"status":     {1 << 20, []string{"new", "stages"}, func(b []byte) error { _, err := ParseRolloutStatus(b); return err }},
}

// A message costs no more work than its size allows, whatever it holds and at each size up to the
// limit: 60,000 brackets kept a controller from answering for minutes.
func TestOneMessageCausesBoundedWork(t *testing.T) {
	for name, parser := range parsers {
		t.Run(name, func(t *testing.T) {
			exceeded := make(map[string]bool)
			for size := 1 << 10; size <= parser.limit; size *= 2 {
				for _, body := range costlyform.Bodies(size, parser.members...) {
					if exceeded[body.Name] {
						continue // a larger one may take minutes
					}
					work := costlyform.Work(func() { _ = parser.parse(body.Text) })
					if allowed := costlyform.AllowedWork(len(body.Text)); work > allowed {
						exceeded[body.Name] = true
						t.Errorf("%s, %d bytes: allocated %d bytes, at most %d are allowed", body.Name, len(body.Text), work, allowed)
					}
				}
			}
		})
	}
}
