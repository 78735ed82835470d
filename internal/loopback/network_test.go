package loopback

import (
	"errors"
	"net"
	"testing"
)

// Whoever holds a network keeps others out of it, wherever they begin to look, and lets
// them in again when it is over; all of them together are bounded.
func TestReserve(t *testing.T) {
	a, err := reserve(13)
	if err != nil {
		t.Fatal(err)
	}
	b, err := reserve(13)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = b.Close() }()
	if a.Prefix == b.Prefix {
		t.Fatalf("%s was given out twice", a.Prefix)
	}
	for _, n := range []*Network{a, b} {
		l, err := net.Listen("tcp4", n.Prefix+"0.1:7400")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
	}
	was := a.Prefix
	_ = a.Close()
	again, err := reserve(13)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = again.Close() }()
	if again.Prefix != was && again.Prefix == b.Prefix {
		t.Errorf("%s after %s was free", again.Prefix, was)
	}
	var held []*Network
	defer func() {
		for _, n := range held {
			_ = n.Close()
		}
	}()
	for range last - first + 2 {
		n, err := reserve(0)
		if errors.Is(err, ErrNone) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, n)
	}
	t.Error("there is always one more")
}
