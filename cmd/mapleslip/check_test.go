package main

import (
	"net"
	"sync"
	"testing"
	"time"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
	"mapleslip/internal/transport"
)

// instance is a service's instance on loopback that does what it is told with each
// connection.
func instance(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	if serve != nil {
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go serve(c)
			}
		}()
	}
	return l.Addr().String()
}

// A check that hangs fails at its time-out, however the instance hangs; its socket is
// given back, and other checks go on meanwhile.
func TestChecks(t *testing.T) {
	text := func(s string) func(net.Conn) {
		return func(c net.Conn) {
			_, _ = c.Read(make([]byte, 4096))
			_, _ = c.Write([]byte(s))
			c.Close()
		}
	}
	until := make(chan struct{})
	t.Cleanup(func() { close(until) })
	hang := func(c net.Conn) { <-until; c.Close() }
	drip := func(c net.Conn) { // a byte at a time, for ever
		for {
			if _, err := c.Write([]byte("H")); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	flood := func(c net.Conn) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"))
		for block := make([]byte, 1<<16); ; {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	}
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	good := instance(t, text("HTTP/1.1 204 No Content\r\n\r\n"))
	cases := []struct {
		name, method, addr string
		status             int
		refused            bool
	}{
		{"passes", "GET", good, 204, false},
		{"fails", "GET", instance(t, text("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")), 500, false},
		{"not HTTP", "GET", instance(t, text("SSH-2.0\r\n\r\n")), 0, false},
		{"closes", "GET", instance(t, func(c net.Conn) { c.Close() }), 0, false},
		{"accepts and never answers", "GET", instance(t, hang), 0, false},
		{"answers a byte at a time", "GET", instance(t, drip), 0, false},
		{"answers without end", "GET", instance(t, flood), 0, false},
		{"never accepts", "GET", instance(t, nil), 0, false},
		{"nobody listens", "GET", closed.Addr().String(), 0, true},
		{"TCP", "", good, 200, false},
		{"TCP, nobody listens", "", closed.Addr().String(), 0, true},
	}
	// Two sockets in all: a single one that is kept would show.
	d := &driver{dialers: map[controller.Target]*transport.Dialer{controller.ToInstance: {MaxOpen: 2, MaxPer: 2}}}
	run := func(method, addr string) controller.CallResult {
		return d.exchange(controller.Call{Target: controller.ToInstance, Method: method, Path: "/healthz", Timeout: 60 * protocol.Millisecond}, addr)
	}
	for range 3 {
		for _, c := range cases {
			if got := run(c.method, c.addr); got.Status != c.status || got.ConnectionRefused != c.refused {
				t.Errorf("%s: %+v", c.name, got)
			}
		}
	}
	var slow sync.WaitGroup
	began := make(chan struct{})
	stuck := instance(t, func(c net.Conn) { close(began); <-until; c.Close() })
	slow.Go(func() { run("GET", stuck) })
	<-began
	if got := run("GET", good); got.Status != 204 {
		t.Errorf("beside one that hangs: %+v", got)
	}
	slow.Wait()
	if done := (&driver{}).exchange(controller.Call{Target: controller.ToInstance}, good); !done.NotSent || done.ConnectionRefused {
		t.Errorf("off: %+v", done)
	}
}
