package transport

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"
)

// serveOne answers every request on its connections with an empty 200.
func serveOne(t *testing.T) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 1024)
				for {
					if _, err := c.Read(buf); err != nil {
						return
					}
					_, _ = c.Write(AppendResponse(nil, 200, []byte("{}"), 0, false))
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func ask(d *Dialer, addr string) (status int, err error) {
	err = d.Do(addr, AppendRequest(nil, "GET", addr, "/", nil), 10*time.Second, func(buf []byte, eof bool) (int, bool, error) {
		r, used, err := ParseResponse(buf, eof)
		if r != nil {
			status = r.Status
		}
		return used, true, err
	})
	return status, err
}

// A connection is kept between calls, and what is kept for one address does
// not bar another for ever.
func TestDialerSockets(t *testing.T) {
	a, b := serveOne(t), serveOne(t)
	d := &Dialer{MaxOpen: 1, MaxPer: 1, KeepIdle: time.Hour}
	for range 3 {
		if status, err := ask(d, a); status != 200 || err != nil {
			t.Fatalf("status %d, %v", status, err)
		}
	}
	if d.open != 1 || len(d.idle[a]) != 1 {
		t.Fatalf("%d open, %d idle", d.open, len(d.idle[a]))
	}
	d.MaxPer = 0
	if _, err := ask(d, b); !errors.Is(err, ErrSockets) {
		t.Fatalf("more connections to one address than allowed: %v", err)
	}
	d.MaxPer = 1
	if status, err := ask(d, b); status != 200 || err != nil || d.open != 1 || len(d.idle[a]) != 0 {
		t.Fatalf("a call gives way to a connection that is only kept: status %d, %v, %d open", status, err, d.open)
	}
	if status, err := ask(d, a); status != 200 || err != nil {
		t.Fatalf("status %d, %v", status, err)
	}
	d.KeepIdle, d.swept = 0, time.Time{}
	if status, err := ask(d, b); status != 200 || err != nil {
		t.Fatalf("after the first was idle for long: status %d, %v", status, err)
	}
}

// The process at an address ends and another one is there at once: the next call goes to
// that one, and not out on the connection to the one before.
func TestDialerAfterRestart(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		for life := 0; ; life++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1024))
			_, _ = c.Write(AppendResponse(nil, 200, []byte("{}"), 0, false))
			if life > 0 {
				defer c.Close()
				continue
			}
			<-end
			c.Close()
			close(ended)
		}
	}()
	d := &Dialer{MaxOpen: 2, MaxPer: 2, KeepIdle: time.Hour}
	if status, err := ask(d, ln.Addr().String()); status != 200 || err != nil {
		t.Fatalf("status %d, %v", status, err)
	}
	close(end)
	<-ended
	for kept := d.idle[ln.Addr().String()][0].conn; open(kept); {
		time.Sleep(time.Millisecond) // until the end has come over
	}
	if status, err := ask(d, ln.Addr().String()); status != 200 || err != nil {
		t.Fatalf("after the restart: status %d, %v", status, err)
	}
	if d.open != 1 {
		t.Fatalf("%d open", d.open)
	}
}

// A connection that has been idle for longer than its last call was allowed to take is
// used again all the same.
func TestDialerKeepsPastDeadline(t *testing.T) {
	addr := serveOne(t)
	d := &Dialer{MaxOpen: 2, MaxPer: 2, KeepIdle: time.Hour}
	if status, err := ask(d, addr); status != 200 || err != nil {
		t.Fatalf("status %d, %v", status, err)
	}
	kept := d.idle[addr][0].conn
	_ = kept.SetDeadline(time.Now().Add(-time.Hour))
	if status, err := ask(d, addr); status != 200 || err != nil {
		t.Fatalf("status %d, %v", status, err)
	}
	if len(d.idle[addr]) != 1 || d.idle[addr][0].conn != kept {
		t.Fatalf("another connection was made, though one was idle")
	}
}

// All connections of a dialer come from its source address, checks too.
func TestDialerSource(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	d := &Dialer{MaxOpen: 2, MaxPer: 2, Source: netip.MustParseAddr("127.0.0.9")}
	from := func(call func()) string {
		go call()
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		return host
	}
	if got := from(func() { _ = d.Probe(ln.Addr().String(), 10*time.Second) }); got != "127.0.0.9" {
		t.Errorf("a check came from %s", got)
	}
	if got := from(func() { _, _ = ask(d, ln.Addr().String()) }); got != "127.0.0.9" {
		t.Errorf("a call came from %s", got)
	}
}
