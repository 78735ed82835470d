package main

import (
	"strings"
	"testing"

	"mapleslip/internal/protocol"
)

// Checks that the printed status of a job includes the jobs that it waits for.
func TestPrintJobShowsWhatItWaitsFor(t *testing.T) {
	for _, c := range []struct {
		answer []byte
		want   string
	}{
		{protocol.JobStatusBody("req-000001", protocol.PhaseRunning, 3, 2), "req-000001 running, 3 done, 2 running\n"},
		{protocol.WaitingJobStatusBody("req-000009", []string{"req-000001", "req-000002"}), "req-000009 queued, 0 done, 0 running, waits for req-000001, req-000002\n"},
	} {
		var out strings.Builder
		if err := new(userCommands).printJob(&out, c.answer); err != nil || out.String() != c.want {
			t.Errorf("%q %v, want %q", out.String(), err, c.want)
		}
	}
}
