package transport

import (
	"slices"
	"testing"

	"mapleslip/internal/protocol"
)

// A few submissions that come together after a pause go before the records that other
// classes have waiting; a flood of them gets the part of its class.
func TestAFewSubmissionsGoFirst(t *testing.T) {
	m := NewMeter(1000, 20, 1, 4)
	m.changes.level = 0
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
	run(4) // submissions have asked for nothing meanwhile
	add(User, 1, 5)
	if got := run(0.6); slices.Index(got, Urgent) >= 0 && slices.Index(got, Urgent) < 5 {
		t.Errorf("sent %v", got)
	}
	add(User, 1, 500)
	got := run(14)
	users := 0
	for _, p := range got {
		if p == User {
			users++
		}
	}
	// 280 changes, of which the class's part is 12 of 28.
	if users < 110 || users > 135 {
		t.Errorf("%d submissions of %d calls", users, len(got))
	}
}
