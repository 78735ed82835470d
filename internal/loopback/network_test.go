package loopback

import (
	"errors"
	"net"
	"testing"
)

// A reserved network is not reserved again before it is closed, whatever network the search
// starts from. Once all networks are reserved, reserve returns ErrNoFreeNetwork.
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
		t.Fatalf("%s was reserved twice", a.Prefix)
	}
	for _, n := range []*Network{a, b} {
		l, err := net.Listen("tcp4", n.Prefix+"0.1:7400")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
	}
	released := a.Prefix
	_ = a.Close()
	c, err := reserve(13)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if c.Prefix != released && c.Prefix == b.Prefix {
		t.Errorf("got %s, which is still reserved, after %s was closed", c.Prefix, released)
	}
	var held []*Network
	defer func() {
		for _, n := range held {
			_ = n.Close()
		}
	}()
	for range lastOctet - firstOctet + 2 {
		n, err := reserve(0)
		if errors.Is(err, ErrNoFreeNetwork) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, n)
	}
	t.Error("reserve returned more networks than there are")
}
