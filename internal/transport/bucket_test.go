package transport

import (
	"testing"

	"mapleslip/internal/protocol"
)

// Calls beyond the rate wait, leadership passes the others, and what waits too
// long is told so.
func TestMeter(t *testing.T) {
	m := NewMeter(100, 20, 1)
	m.SetShare(0.05) // five calls a second, bursts of five
	var sent []string
	expired := 0
	add := func(name string, p Priority, expires protocol.Micros) {
		m.Add(Metered{Priority: p, Expires: expires, Send: func() { sent = append(sent, name) }, Expire: func() { expired++ }})
	}
	m.calls.level = 0
	for range 3 {
		add("normal", Normal, 10*protocol.Second)
	}
	add("impatient", Normal, protocol.Second/10)
	add("renewal", Leadership, 10*protocol.Second)
	if m.Run(0); len(sent) != 0 {
		t.Fatalf("sent %v without tokens", sent)
	}
	if m.Run(protocol.Second / 5); len(sent) != 1 || sent[0] != "renewal" {
		t.Fatalf("sent %v, want the renewal first", sent)
	}
	if waiting := m.Run(2 * protocol.Second); waiting || len(sent) != 4 || expired != 1 {
		t.Fatalf("sent %v, %d expired", sent, expired)
	}
}
