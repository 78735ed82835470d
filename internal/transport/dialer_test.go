package transport

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"
)

// startServer starts a server that answers every request with status 200 and an empty object, and
// returns its address.
func startServer(t *testing.T) string {
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

func get(d *Dialer, addr string) (status int, err error) {
	err = d.Do(addr, AppendRequest(nil, "GET", addr, "/", nil), 10*time.Second, func(buf []byte, eof bool) (int, bool, error) {
		r, used, err := ParseResponse(buf, eof)
		if r != nil {
			status = r.Status
		}
		return used, true, err
	})
	return status, err
}

// A connection is kept between calls. At the limit of open connections, an idle connection to one
// address is closed for a call to another address.
func TestDialerSockets(t *testing.T) {
	a, b := startServer(t), startServer(t)
	d := &Dialer{MaxOpen: 1, MaxPer: 1, KeepIdle: time.Hour}
	for range 3 {
		if status, err := get(d, a); status != 200 || err != nil {
			t.Fatalf("status %d, %v", status, err)
		}
	}
	if d.openCount != 1 || len(d.idle[a]) != 1 {
		t.Fatalf("%d open, %d idle", d.openCount, len(d.idle[a]))
	}
	d.MaxPer = 0
	if _, err := get(d, b); !errors.Is(err, ErrSockets) {
		t.Fatalf("opened more connections to one address than MaxPer: %v", err)
	}
	d.MaxPer = 1
	if status, err := get(d, b); status != 200 || err != nil || d.openCount != 1 || len(d.idle[a]) != 0 {
		t.Fatalf("call at MaxOpen with an idle connection to another address: status %d, %v, %d open", status, err, d.openCount)
	}
	if status, err := get(d, a); status != 200 || err != nil {
		t.Fatalf("status %d, %v", status, err)
	}
	d.KeepIdle, d.lastSweep = 0, time.Time{}
	if status, err := get(d, b); status != 200 || err != nil {
		t.Fatalf("after the idle connection expired: status %d, %v", status, err)
	}
}

// The process at an address exits and another process listens there at once. The next call must use
// a new connection, not the idle connection to the old process.
func TestDialerAfterRestart(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	closeConn, connClosed := make(chan struct{}), make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1024))
			_, _ = c.Write(AppendResponse(nil, 200, []byte("{}"), 0, false))
			if n > 0 {
				defer c.Close()
				continue
			}
			<-closeConn
			c.Close()
			close(connClosed)
		}
	}()
	d := &Dialer{MaxOpen: 2, MaxPer: 2, KeepIdle: time.Hour}
	if status, err := get(d, ln.Addr().String()); status != 200 || err != nil {
		t.Fatalf("status %d, %v", status, err)
	}
	close(closeConn)
	<-connClosed
	for conn := d.idle[ln.Addr().String()][0].conn; isReusable(conn); {
		time.Sleep(time.Millisecond) // until the close arrives
	}
	if status, err := get(d, ln.Addr().String()); status != 200 || err != nil {
		t.Fatalf("after the restart: status %d, %v", status, err)
	}
	if d.openCount != 1 {
		t.Fatalf("%d open", d.openCount)
	}
}

// An idle connection is reused also after the deadline of its last call has passed.
func TestDialerKeepsPastDeadline(t *testing.T) {
	addr := startServer(t)
	d := &Dialer{MaxOpen: 2, MaxPer: 2, KeepIdle: time.Hour}
	if status, err := get(d, addr); status != 200 || err != nil {
		t.Fatalf("status %d, %v", status, err)
	}
	kept := d.idle[addr][0].conn
	_ = kept.SetDeadline(time.Now().Add(-time.Hour))
	if status, err := get(d, addr); status != 200 || err != nil {
		t.Fatalf("status %d, %v", status, err)
	}
	if len(d.idle[addr]) != 1 || d.idle[addr][0].conn != kept {
		t.Fatalf("a new connection was opened although one was idle")
	}
}

// All connections of a dialer use its source address, those of Probe too.
func TestDialerSource(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	d := &Dialer{MaxOpen: 2, MaxPer: 2, Source: netip.MustParseAddr("127.0.0.9")}
	sourceOf := func(call func()) string {
		go call()
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		return host
	}
	if got := sourceOf(func() { _ = d.Probe(ln.Addr().String(), 10*time.Second) }); got != "127.0.0.9" {
		t.Errorf("Probe connected from %s", got)
	}
	if got := sourceOf(func() { _, _ = get(d, ln.Addr().String()) }); got != "127.0.0.9" {
		t.Errorf("Do connected from %s", got)
	}
}
