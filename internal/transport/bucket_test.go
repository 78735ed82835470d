package transport

import (
	"testing"

	"mapleslip/internal/protocol"
)

// Calls above the rate wait, a leadership call is sent before the others, and a call that waits
// past its deadline expires.
func TestMeter(t *testing.T) {
	m := NewMeter(100, 20, 1, 12)
	m.SetShare(0.05, 0.05, 12) // five calls per second, bursts of five
	var sent []string
	expired := 0
	add := func(name string, p Priority, expires protocol.Micros) {
		m.Add(Metered{Priority: p, Expires: expires, Send: func() { sent = append(sent, name) }, Expire: func() { expired++ }})
	}
	m.calls.tokens = 0
	for range 3 {
		add("normal", Normal, 10*protocol.Second)
	}
	add("short deadline", Normal, protocol.Second/10)
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

// While no tokens for changes are left, reads are still sent, and the next tokens go to urgent
// writes before normal ones. Small writes must not starve a large write of a class with a higher
// weight.
func TestMeterChanges(t *testing.T) {
	m := NewMeter(1000, 10, 1, 4)
	var sent []string
	add := func(name string, p Priority, changes int) {
		m.Add(Metered{Priority: p, Changes: changes, Expires: 100 * protocol.Second, Send: func() { sent = append(sent, name) }, Expire: func() {}})
	}
	m.changes.tokens = 0
	add("images", Normal, 1)
	add("record", Urgent, 4)
	add("submission", User, 1)
	add("read", Normal, 0)
	if m.Run(0); len(sent) != 1 || sent[0] != "read" {
		t.Fatalf("sent %v without tokens for changes", sent)
	}
	if m.Run(protocol.Second / 10); len(sent) != 2 || sent[1] != "submission" {
		t.Fatalf("sent %v", sent)
	}
	if m.Run(protocol.Second / 2); len(sent) != 3 || sent[2] != "record" {
		t.Fatalf("sent %v: a small write must not starve a large write of a class with a higher weight", sent)
	}
	if waiting := m.Run(protocol.Second); waiting || len(sent) != 4 {
		t.Fatalf("sent %v", sent)
	}
}

// A process that has just started begins with the burst of its own share. The burst of a follower
// allows the largest call of a follower, not that of the leader.
func TestMeterShareAtStart(t *testing.T) {
	m := NewMeter(80, 20, 1, 12)
	m.SetShare(0.1, 0.08, 2)
	changes := 0
	for range 12 {
		m.Add(Metered{Changes: 1, Expires: 100 * protocol.Second, Send: func() { changes++ }, Expire: func() {}})
	}
	if m.Run(0); changes != 2 {
		t.Fatalf("%d changes sent at once, want 2", changes)
	}
	m.SetShare(0.4, 0.75, 12)
	if m.Run(protocol.Second); changes != 12 {
		t.Fatalf("%d changes sent after a second with the leader's share, want 12", changes)
	}
}
