package transport

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/evio"
)

// ConnID names an inbound connection for its whole life.
type ConnID uint64

// Inbound is one message that a connection delivered: an HTTP request, or a
// frame from another controller.
type Inbound struct {
	Conn  ConnID
	HTTP  *Request
	Frame []byte
}

// FrameSplitter finds a whole frame at the start of buf: the bytes used, or 0
// while more are needed.
type FrameSplitter func(buf []byte) (frame []byte, used int, err error)

// connState is where a connection is between bytes and answers. evio replaces
// what is still unwritten when a connection is woken again, so a connection
// has one message in hand at a time, and closes after an answer if more came.
type connState uint8

const (
	connReading   connState = iota // collecting bytes of a message
	connAnswering                  // a message was handed up, its answer is awaited
	connClosing                    // the last answer is on its way out
)

type serverConn struct {
	id      ConnID
	conn    evio.Conn
	cluster bool
	state   connState
	buf     []byte
	out     []byte
	closing bool
	since   time.Time
}

func (c *serverConn) to(s connState) {
	c.state = s
	c.since = time.Now()
}

// Server listens for users, workers and health checks on one address and for
// the other controllers on another. evio only serves: outbound calls go
// through Dialer.
type Server struct {
	Split   FrameSplitter
	Deliver func(Inbound) bool // false: no room, answered 503 at once
	MaxOpen int
	Idle    time.Duration

	mu    sync.Mutex
	next  ConnID
	conns map[ConnID]*serverConn
}

// CanListen reports why an address can't be listened on, after it was tried for a
// while. Without it a wrong address only showed as an error of the loop, five
// times a second for ever.
func CanListen(address string, wait time.Duration) error {
	for until := time.Now().Add(wait); ; time.Sleep(100 * time.Millisecond) {
		l, err := net.Listen("tcp", address)
		if err == nil {
			return l.Close()
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return err
		}
	}
}

// Run serves until the process ends. An accept error ends evio's loop, and
// with it every connection; the server then starts again.
func (s *Server) Run(client, cluster string) {
	var told time.Time
	for {
		s.mu.Lock()
		s.conns = make(map[ConnID]*serverConn)
		s.mu.Unlock()
		ev := evio.Events{NumLoops: 1, Opened: s.opened, Closed: s.closed, Data: s.data, Tick: s.tick}
		err := evio.Serve(ev, "tcp://"+client, "tcp://"+cluster)
		if time.Since(told) > 10*time.Second {
			told = time.Now()
			slog.Error("server loop ended, starting it again", "err", err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (s *Server) opened(ec evio.Conn) ([]byte, evio.Options, evio.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	opts := evio.Options{ReuseInputBuffer: true}
	if len(s.conns) >= s.MaxOpen {
		// Accepting without end would take the sockets that outbound calls
		// need, and at the limit accept fails and ends the loop.
		return nil, opts, evio.Close
	}
	s.next++
	c := &serverConn{id: s.next, conn: ec, cluster: ec.AddrIndex() == 1, since: time.Now()}
	s.conns[c.id] = c
	ec.SetContext(c)
	return nil, opts, evio.None
}

func (s *Server) closed(ec evio.Conn, _ error) evio.Action {
	if c, ok := ec.Context().(*serverConn); ok {
		s.mu.Lock()
		delete(s.conns, c.id)
		s.mu.Unlock()
	}
	return evio.None
}

func (s *Server) data(ec evio.Conn, in []byte) ([]byte, evio.Action) {
	c, ok := ec.Context().(*serverConn)
	if !ok {
		return nil, evio.Close
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if in == nil {
		out := c.out
		c.out = nil
		if c.closing || c.state == connClosing {
			c.to(connClosing)
			return out, evio.Close
		}
		return out, evio.None
	}
	switch c.state {
	case connClosing:
		return nil, evio.Close
	case connAnswering:
		// Pipelining is not part of the protocol: the message in hand is
		// answered, then the connection is closed.
		c.closing = true
		return nil, evio.None
	}
	if len(c.buf) == 0 {
		c.since = time.Now()
	}
	c.buf = append(c.buf, in...)
	return s.take(c)
}

func (s *Server) take(c *serverConn) ([]byte, evio.Action) {
	var msg Inbound
	var used int
	var err error
	msg.Conn = c.id
	if c.cluster {
		msg.Frame, used, err = s.Split(c.buf)
		if err != nil {
			slog.Info("malformed frame from a controller", "err", err)
			c.to(connClosing)
			return nil, evio.Close
		}
	} else {
		msg.HTTP, used, err = ParseRequest(c.buf)
		if err != nil {
			status := 400
			if pe, ok := err.(*ParseError); ok {
				status = pe.Status
			}
			c.to(connClosing)
			return AppendResponse(nil, status, []byte(`{"error":"malformed request"}`), 0, true), evio.Close
		}
	}
	if used == 0 {
		return nil, evio.None
	}
	if used < len(c.buf) {
		c.closing = true
	}
	if msg.HTTP != nil && msg.HTTP.Close {
		c.closing = true
	}
	if cap(c.buf) > 8192 {
		c.buf = nil
	} else {
		c.buf = c.buf[:0]
	}
	c.to(connAnswering)
	if s.Deliver(msg) {
		return nil, evio.None
	}
	if c.cluster {
		c.to(connClosing)
		return nil, evio.Close
	}
	c.to(connReading)
	out := AppendResponse(nil, 503, []byte(`{"error":"busy"}`), 1, c.closing)
	if c.closing {
		c.to(connClosing)
		return out, evio.Close
	}
	return out, evio.None
}

// tick closes connections that sent half a message and then nothing.
func (s *Server) tick() (time.Duration, evio.Action) {
	s.mu.Lock()
	var stale []*serverConn
	now := time.Now()
	for _, c := range s.conns {
		limit := s.Idle
		if len(c.buf) > 0 && c.state == connReading {
			limit = 10 * time.Second
		}
		if now.Sub(c.since) > limit {
			c.closing = true
			stale = append(stale, c)
		}
	}
	s.mu.Unlock()
	for _, c := range stale {
		c.conn.Wake()
	}
	return 2 * time.Second, evio.None
}

// Answer sends an answer to the message in hand, if the connection is open.
func (s *Server) Answer(id ConnID, encode func(closing bool) []byte) {
	s.mu.Lock()
	c := s.conns[id]
	if c == nil || c.state != connAnswering {
		s.mu.Unlock()
		return
	}
	c.out = encode(c.closing)
	c.to(connReading)
	conn := c.conn
	s.mu.Unlock()
	conn.Wake()
}
