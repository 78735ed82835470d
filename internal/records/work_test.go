package records

import (
	"testing"

	"mapleslip/internal/worktest"
)

// A record costs no more work than its size allows, whatever it holds.
func TestOneRecordCausesBoundedWork(t *testing.T) {
	for name, parser := range map[string]struct {
		limit   int // of the size, in bytes
		members []string
		parse   func(body []byte)
	}{
		"job":         {256 << 10, []string{"ref", "flavors", "form"}, func(b []byte) { _, _ = DecodeJob(b) }},
		"final":       {256 << 10, []string{"form"}, func(b []byte) { _, _, _ = DecodeFinal(b) }},
		"hosts":       {256 << 10, []string{"hosts", "form"}, func(b []byte) { _, _ = DecodeHosts(0, b) }},
		"legacy host": {256 << 10, []string{"images"}, func(b []byte) { _, _ = DecodeLegacyHost(0, "n-1", b) }},
		"launches":    {256 << 10, []string{"on", "form"}, func(b []byte) { _, _ = DecodeLaunches(b) }},
		"bookings":    {256 << 10, []string{"at", "form"}, func(b []byte) { _, _ = DecodeBookings(b) }},
		"completions": {256 << 10, []string{"done", "form"}, func(b []byte) { _, _ = DecodeCompletions(b) }},
		"epoch":       {256 << 10, []string{"form"}, func(b []byte) { _, _ = DecodeEpoch(b) }},
		"leader":      {256 << 10, []string{"form"}, func(b []byte) { _, _ = DecodeLeader(b) }},
		"handover":    {256 << 10, []string{"form"}, func(b []byte) { _, _ = DecodeHandover(b) }},
		"types":       {256 << 10, []string{"types", "flavors"}, func(b []byte) { _, _, _ = DecodeMachineTypes(b) }},
	} {
		for _, excess := range worktest.FindExcesses(parser.limit, parser.members, parser.parse) {
			t.Errorf("%s: %v", name, excess)
		}
	}
}
