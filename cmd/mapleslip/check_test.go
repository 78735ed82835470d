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

// startInstance listens on a loopback address as an instance of a service, and calls serve for each
// connection. If serve is nil, it accepts no connection.
func startInstance(t *testing.T, serve func(net.Conn)) string {
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

// Guards against health checks that block or leak sockets: a check fails at its timeout however the
// instance hangs, its socket is released, and other checks run meanwhile.
func TestChecks(t *testing.T) {
	text := func(s string) func(net.Conn) {
		return func(c net.Conn) {
			_, _ = c.Read(make([]byte, 4096))
			_, _ = c.Write([]byte(s))
			c.Close()
		}
	}
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	hang := func(c net.Conn) { <-release; c.Close() }
	drip := func(c net.Conn) { // sends a byte at a time without end
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
	good := startInstance(t, text("HTTP/1.1 204 No Content\r\n\r\n"))
	cases := []struct {
		name, method, addr string
		status             int
		refused            bool
	}{
		{"passes", "GET", good, 204, false},
		{"fails", "GET", startInstance(t, text("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")), 500, false},
		{"not HTTP", "GET", startInstance(t, text("SSH-2.0\r\n\r\n")), 0, false},
		{"closes", "GET", startInstance(t, func(c net.Conn) { c.Close() }), 0, false},
		{"accepts and never answers", "GET", startInstance(t, hang), 0, false},
		{"answers a byte at a time", "GET", startInstance(t, drip), 0, false},
		{"answers without end", "GET", startInstance(t, flood), 0, false},
		{"never accepts", "GET", startInstance(t, nil), 0, false},
		{"no listener", "GET", closed.Addr().String(), 0, true},
		{"TCP", "", good, 200, false},
		{"TCP, no listener", "", closed.Addr().String(), 0, true},
	}
	// With only two sockets, a single socket that is not released makes later checks fail.
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
	var pending sync.WaitGroup
	began := make(chan struct{})
	hanging := startInstance(t, func(c net.Conn) { close(began); <-release; c.Close() })
	pending.Go(func() { run("GET", hanging) })
	<-began
	if got := run("GET", good); got.Status != 204 {
		t.Errorf("check during a hanging check: %+v", got)
	}
	pending.Wait()
	if done := (&driver{}).exchange(controller.Call{Target: controller.ToInstance}, good); !done.NotSent || done.ConnectionRefused {
		t.Errorf("check with roll-outs disabled: %+v", done)
	}
}
