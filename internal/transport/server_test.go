package transport

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/evio"
)

// fakeConn stands in for evio's connection.
type fakeConn struct {
	ctx   any
	index int
	wakes int
}

func (c *fakeConn) Context() any         { return c.ctx }
func (c *fakeConn) SetContext(x any)     { c.ctx = x }
func (c *fakeConn) AddrIndex() int       { return c.index }
func (c *fakeConn) LocalAddr() net.Addr  { return nil }
func (c *fakeConn) RemoteAddr() net.Addr { return nil }
func (c *fakeConn) Wake()                { c.wakes++ }

func testServer(room bool) (*Server, *[]Inbound) {
	var got []Inbound
	s := &Server{
		MaxOpen: 2, Idle: time.Minute, Quiet: time.Minute, conns: make(map[ConnID]*serverConn),
		Split:   func(b []byte) ([]byte, int, error) { return b, len(b), nil },
		Deliver: func(m Inbound) bool { got = append(got, m); return room },
	}
	return s, &got
}

func answer(s *Server, id ConnID) {
	s.Answer(id, func(closing bool) []byte { return AppendResponse(nil, 200, nil, 0, closing) })
}

// A request in two parts is delivered once whole; the connection stays open.
func TestServerHalfSent(t *testing.T) {
	s, got := testServer(true)
	c := &fakeConn{}
	s.opened(c)
	s.data(c, []byte("GET /healthz HT"))
	if len(*got) != 0 {
		t.Fatal("delivered half a request")
	}
	s.data(c, []byte("TP/1.1\r\n\r\n"))
	if len(*got) != 1 || (*got)[0].HTTP.Path != "/healthz" {
		t.Fatalf("delivered %v", *got)
	}
	answer(s, (*got)[0].Conn)
	if out, act := s.data(c, nil); !strings.HasPrefix(string(out), "HTTP/1.1 200") || act != evio.None || c.wakes != 1 {
		t.Fatalf("%q, action %v, %d wakes", out, act, c.wakes)
	}
}

// Pipelining is not part of the protocol: the first request is answered, then
// the connection is closed, since evio would drop an answer that still waits.
func TestServerPipelined(t *testing.T) {
	s, got := testServer(true)
	c := &fakeConn{}
	s.opened(c)
	s.data(c, []byte("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"))
	s.data(c, []byte("GET /c HTTP/1.1\r\n\r\n"))
	if len(*got) != 1 {
		t.Fatalf("delivered %d requests", len(*got))
	}
	answer(s, (*got)[0].Conn)
	if out, act := s.data(c, nil); !strings.Contains(string(out), "Connection: close") || act != evio.Close {
		t.Fatalf("%q, action %v", out, act)
	}
}

// What can't be taken is answered at once; what is malformed is answered and
// the connection closed; connections over the bound are closed.
func TestServerRefuses(t *testing.T) {
	s, _ := testServer(false)
	c := &fakeConn{}
	s.opened(c)
	if out, act := s.data(c, []byte("GET /a HTTP/1.1\r\n\r\n")); !strings.HasPrefix(string(out), "HTTP/1.1 503") || !strings.Contains(string(out), "Retry-After: 1") || act != evio.None {
		t.Errorf("no room: %q, action %v", out, act)
	}
	if out, act := s.data(c, []byte("POST /a HTTP/1.1\r\nContent-Length: 70000\r\n\r\n")); !strings.HasPrefix(string(out), "HTTP/1.1 413") || act != evio.Close {
		t.Errorf("too large: %q, action %v", out, act)
	}
	s.opened(&fakeConn{})
	if _, _, act := s.opened(&fakeConn{}); act != evio.Close {
		t.Errorf("third connection of two: action %v", act)
	}
	s.closed(c, nil)
	if len(s.conns) != 1 {
		t.Errorf("%d connections are left", len(s.conns))
	}
}

// An answer for a connection that is gone, or that awaits none, goes nowhere.
func TestServerLateAnswer(t *testing.T) {
	s, got := testServer(true)
	c := &fakeConn{}
	s.opened(c)
	s.data(c, []byte("GET /a HTTP/1.1\r\n\r\n"))
	id := (*got)[0].Conn
	answer(s, id)
	answer(s, id)
	s.closed(c, nil)
	answer(s, id)
	if c.wakes != 1 {
		t.Errorf("woken %d times", c.wakes)
	}
}

// An address that can't be listened on is found before the loop starts, which
// would try it five times a second for ever.
func TestCanListen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := CanListen(l.Addr().String(), 0); err == nil {
		t.Error("an address in use is taken")
	}
	l.Close()
	if err := CanListen(l.Addr().String(), 0); err != nil {
		t.Errorf("a free address: %v", err)
	}
	if err := CanListen("203.0.113.1:1", time.Hour); err == nil {
		t.Error("an address of another machine is taken")
	}
}

// When there is no room, the connection that has been quiet for longest gives way to a
// new one, but only after a while: whoever reports or polls keeps its own.
func TestServerGivesWay(t *testing.T) {
	s, got := testServer(true)
	first, second, third, fourth := &fakeConn{}, &fakeConn{}, &fakeConn{}, &fakeConn{}
	s.opened(first)
	s.opened(second)
	if _, _, act := s.opened(third); act != evio.Close || s.refused != 1 {
		t.Fatalf("action %v, %d refused", act, s.refused)
	}
	s.Quiet = 0
	s.data(first, []byte("GET /healthz HTTP/1.1\r\n\r\n"))
	answer(s, (*got)[0].Conn) // the first is heard again: the second is the quiet one
	s.data(first, nil)
	if _, _, act := s.opened(third); act != evio.None || s.gaveWay != 1 || len(s.conns) != 2 {
		t.Fatalf("action %v, %d gave way, %d open", act, s.gaveWay, len(s.conns))
	}
	if _, act := s.data(second, nil); act != evio.Close {
		t.Errorf("the quiet connection is not closed: %v", act)
	}
	s.closed(second, nil)
	s.data(first, []byte("GET /healthz HTTP/1.1\r\n\r\n"))
	s.data(third, []byte("GET /heal"))
	if _, _, act := s.opened(fourth); act != evio.Close {
		t.Errorf("a connection with a message in hand gave way: %v", act)
	}
}
