package transport

import (
	"net"
	"strings"
	"testing"
	"time"
)

// fakeSocket is the socket of a connection in tests. It counts how often it is woken and cut.
type fakeSocket struct{ wakes, cuts int }

func (c *fakeSocket) wake() { c.wakes++ }
func (c *fakeSocket) cut()  { c.cuts++ }

func testServer(accept bool) (*Server, *[]Inbound) {
	var got []Inbound
	s := &Server{
		MaxOpen: 2, MaxCluster: 2, MaxHeld: 1 << 20, Idle: time.Minute, Quiet: time.Minute,
		Split:   func(b []byte) ([]byte, int, error) { return b, len(b), nil },
		Deliver: func(m Inbound) bool { got = append(got, m); return accept },
	}
	s.reset()
	return s, &got
}

func answer(s *Server, id ConnID) {
	s.Answer(id, func(closing bool) []byte { return AppendResponse(nil, 200, nil, 0, closing) })
}

// A request that arrives in two parts is delivered once it is complete, and the connection stays
// open.
func TestServerHalfSent(t *testing.T) {
	s, got := testServer(true)
	c := s.opened(new(fakeSocket), false)
	s.data(c, []byte("GET /healthz HT"))
	if len(*got) != 0 {
		t.Fatal("delivered an incomplete request")
	}
	s.data(c, []byte("TP/1.1\r\n\r\n"))
	if len(*got) != 1 || (*got)[0].HTTP.Path != "/healthz" {
		t.Fatalf("delivered %v", *got)
	}
	answer(s, (*got)[0].Conn)
	if out, act := s.woken(c); !strings.HasPrefix(string(out), "HTTP/1.1 200") || act != actNext || c.socket.(*fakeSocket).wakes != 1 {
		t.Fatalf("%q, action %v, %d wakes", out, act, c.socket.(*fakeSocket).wakes)
	}
}

// Requests that arrive before the first is answered are delivered one after the other, each once the
// one before it is answered, and the connection stays open.
func TestServerPipelined(t *testing.T) {
	s, got := testServer(true)
	c := s.opened(new(fakeSocket), false)
	s.data(c, []byte("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /c HTTP/1.1\r\n\r\n"))
	for i, path := range []string{"/a", "/b", "/c"} {
		if len(*got) != i+1 || (*got)[i].HTTP.Path != path {
			t.Fatalf("delivered %d requests, the last before %s is answered", len(*got), path)
		}
		if out, act := s.data(c, nil); len(out) > 0 || act != actAwait || len(*got) != i+1 {
			t.Fatalf("before the answer to %s: %q, action %v", path, out, act)
		}
		answer(s, (*got)[i].Conn)
		if out, act := s.woken(c); !strings.HasPrefix(string(out), "HTTP/1.1 200") || act != actNext {
			t.Fatalf("%s: %q, action %v", path, out, act)
		}
		if _, act := s.data(c, nil); act != map[bool]action{true: actAwait, false: actRead}[i < 2] {
			t.Fatalf("after %s: action %v", path, act)
		}
	}
}

// A request that Deliver does not accept is answered at once. A malformed request is answered and
// its connection closed. Connections above the limit are closed.
func TestServerRefuses(t *testing.T) {
	s, _ := testServer(false)
	c := s.opened(new(fakeSocket), false)
	if out, act := s.data(c, []byte("GET /a HTTP/1.1\r\n\r\n")); !strings.HasPrefix(string(out), "HTTP/1.1 503") || !strings.Contains(string(out), "Retry-After: 1") || act != actNext {
		t.Errorf("not accepted: %q, action %v", out, act)
	}
	if out, act := s.data(c, []byte("POST /a HTTP/1.1\r\nContent-Length: 70000\r\n\r\n")); !strings.HasPrefix(string(out), "HTTP/1.1 400") || !strings.Contains(string(out), "Connection: close") || act != actRead {
		t.Errorf("body too large: %q, action %v", out, act)
	}
	// The body is read and dropped, so that the client gets the answer, and the connection closed.
	if out, act := s.data(c, []byte("GET /a HTTP/1.1\r\n\r\n")); len(out) > 0 || act != actRead {
		t.Errorf("after the refused request: %q, action %v", out, act)
	}
	s.now = func() time.Time { return time.Now().Add(drainTimeout + time.Second) }
	s.tick()
	if _, act := s.woken(c); act != actClose {
		t.Errorf("a client that does not close: action %v", act)
	}
	s.now = time.Now
	s.opened(new(fakeSocket), false)
	if s.opened(new(fakeSocket), false) != nil {
		t.Error("third connection at a limit of two is accepted")
	}
	s.closed(c)
	if len(s.clients.conns) != 1 {
		t.Errorf("%d connections are left", len(s.clients.conns))
	}
}

// An answer for a connection that is closed, or that awaits no answer, is dropped.
func TestServerLateAnswer(t *testing.T) {
	s, got := testServer(true)
	c := s.opened(new(fakeSocket), false)
	s.data(c, []byte("GET /a HTTP/1.1\r\n\r\n"))
	id := (*got)[0].Conn
	answer(s, id)
	answer(s, id)
	s.closed(c)
	answer(s, id)
	if c.socket.(*fakeSocket).wakes != 1 {
		t.Errorf("woken %d times, want once", c.socket.(*fakeSocket).wakes)
	}
}

// An address that the process can't listen on is found before the server loop starts, which would
// fail on it five times a second without end.
func TestCanListen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := CanListen(l.Addr().String(), 0); err == nil {
		t.Error("an address in use was accepted")
	}
	l.Close()
	if err := CanListen(l.Addr().String(), 0); err != nil {
		t.Errorf("a free address: %v", err)
	}
	if err := CanListen("203.0.113.1:1", time.Hour); err == nil {
		t.Error("an address of another machine was accepted")
	}
}

// At the limit of open connections, the connection that has been idle for longest is closed for a
// new one, but only after Quiet: a client that reports or polls keeps its connection.
func TestServerEvictsIdleConnection(t *testing.T) {
	s, got := testServer(true)
	first, second := s.opened(new(fakeSocket), false), s.opened(new(fakeSocket), false)
	if s.opened(new(fakeSocket), false) != nil || s.clients.counts.Refused != 1 {
		t.Fatalf("accepted, %d refused", s.clients.counts.Refused)
	}
	s.clients.quiet = 0
	s.data(first, []byte("GET /healthz HTTP/1.1\r\n\r\n"))
	answer(s, (*got)[0].Conn) // the first sent a request, so the second is idle for longest
	s.woken(first)
	third := s.opened(new(fakeSocket), false)
	if third == nil || s.clients.counts.EvictedIdle+s.clients.counts.EvictedUnfinished != 1 || len(s.clients.conns) != 2 {
		t.Fatalf("accepted: %v, %d evicted, %d open", third != nil, s.clients.counts.EvictedIdle+s.clients.counts.EvictedUnfinished, len(s.clients.conns))
	}
	if _, act := s.woken(second); act != actClose || second.socket.(*fakeSocket).cuts != 1 {
		t.Errorf("the idle connection is not closed: action %v", act)
	}
	s.closed(second)
	s.data(first, []byte("GET /healthz HTTP/1.1\r\n\r\n"))
	s.data(third, []byte("GET /heal"))
	if s.opened(new(fakeSocket), false) != nil {
		t.Error("a connection with a pending message was evicted")
	}
}
