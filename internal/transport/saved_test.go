package transport

import (
	"slices"
	"testing"

	"mapleslip/internal/protocol"
)

// A few submissions that arrive together after a pause are sent before the waiting records of other
// classes. A flood of submissions gets only the share of its class.
func TestIdleCreditOfSubmissions(t *testing.T) {
	m := NewMeter(1000, 20, 1, 4)
	m.changes.tokens = 0
	var sent []Priority
	add := func(p Priority, changes, count int) {
		for range count {
			m.Add(Metered{Priority: p, Changes: changes, Expires: 1000 * protocol.Second, Send: func() { sent = append(sent, p) }, Expire: func() {}})
		}
	}
	at := protocol.Micros(0)
	run := func(seconds float64) []Priority {
		sent = nil
		for end := at + protocol.FromSeconds(seconds); at < end; {
			at += protocol.Second / 20
			m.Run(at)
		}
		return sent
	}
	add(Urgent, 4, 200)
	run(4) // no submissions arrive in this time
	add(User, 1, 5)
	if got := run(0.6); slices.Index(got, Urgent) >= 0 && slices.Index(got, Urgent) < 5 {
		t.Errorf("sent a record before the 5 submissions: %v", got)
	}
	add(User, 1, 500)
	got := run(14)
	submissions := 0
	for _, p := range got {
		if p == User {
			submissions++
		}
	}
	// Of 280 changes, the share of the class is 12 of 28.
	if submissions < 110 || submissions > 135 {
		t.Errorf("%d of %d calls are submissions, want 110 to 135", submissions, len(got))
	}
}
