package transport

import (
	"container/list"
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
	quiet   *list.Element // its place among those that nothing was heard on since the last answer
}

// to is the one place where a connection changes its state.
func (s *Server) to(c *serverConn, state connState) {
	c.state = state
	c.since = time.Now()
	if state == connReading {
		s.rest(c)
	} else {
		s.stir(c)
	}
}

// rest puts a connection last among the quiet ones, stir takes it out.
func (s *Server) rest(c *serverConn) {
	s.stir(c)
	c.quiet = s.quiet.PushBack(c)
}

func (s *Server) stir(c *serverConn) {
	if c.quiet != nil {
		s.quiet.Remove(c.quiet)
		c.quiet = nil
	}
}

// giveWay closes the connection that has been quiet for longest, if that is long, and
// reports whether it did. Machines that die leave theirs open: two hundred of them and
// those that were rented in their place filled a leader's connections, new ones were
// refused, and workers that could not come in lost their leases.
func (s *Server) giveWay(now time.Time) bool {
	e := s.quiet.Front()
	if e == nil {
		return false
	}
	c := e.Value.(*serverConn)
	if now.Sub(c.since) < s.Quiet {
		return false
	}
	s.stir(c)
	c.closing = true
	delete(s.conns, c.id)
	s.gaveWay++
	c.conn.Wake()
	return true
}

// Server listens for users, workers and health checks on one address and for
// the other controllers on another. evio only serves: outbound calls go
// through Dialer.
type Server struct {
	Split   FrameSplitter
	Deliver func(Inbound) bool // false: no room, answered 503 at once
	MaxOpen int
	Idle    time.Duration
	Quiet   time.Duration // after that a connection gives way to a new one, if there are MaxOpen

	mu      sync.Mutex
	next    ConnID
	conns   map[ConnID]*serverConn
	quiet   list.List // of serverConn, the one that has been quiet for longest first
	gaveWay uint64    // since that was last told
	refused uint64
}

// CanListen reports why an address can't be listened on, after it was tried for a
// while. Without it a wrong address only showed as an error of the loop, five
// times a second for ever.
func CanListen(address string, wait time.Duration) error {
	for until := time.Now().Add(wait); ; time.Sleep(20 * time.Millisecond) {
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
		s.quiet.Init()
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
	now := time.Now()
	if len(s.conns) >= s.MaxOpen && !s.giveWay(now) {
		s.refused++
		// Accepting without end would take the sockets that outbound calls
		// need, and at the limit accept fails and ends the loop.
		return nil, opts, evio.Close
	}
	s.next++
	c := &serverConn{id: s.next, conn: ec, cluster: ec.AddrIndex() == 1, since: now}
	s.conns[c.id] = c
	s.rest(c)
	ec.SetContext(c)
	return nil, opts, evio.None
}

func (s *Server) closed(ec evio.Conn, _ error) evio.Action {
	if c, ok := ec.Context().(*serverConn); ok {
		s.mu.Lock()
		delete(s.conns, c.id)
		s.stir(c)
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
			s.to(c, connClosing)
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
	case connReading:
	}
	if len(c.buf) == 0 {
		c.since = time.Now()
		s.stir(c)
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
			s.to(c, connClosing)
			return nil, evio.Close
		}
	} else {
		msg.HTTP, used, err = ParseRequest(c.buf)
		if err != nil {
			status := 400
			var parseError *ParseError
			if errors.As(err, &parseError) {
				status = parseError.Status
			}
			s.to(c, connClosing)
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
	s.to(c, connAnswering)
	if s.Deliver(msg) {
		return nil, evio.None
	}
	if c.cluster {
		s.to(c, connClosing)
		return nil, evio.Close
	}
	s.to(c, connReading)
	out := AppendResponse(nil, 503, []byte(`{"error":"busy"}`), 1, c.closing)
	if c.closing {
		s.to(c, connClosing)
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
	refused, gaveWay := s.refused, s.gaveWay
	s.refused, s.gaveWay = 0, 0
	open := len(s.conns)
	s.mu.Unlock()
	if refused+gaveWay > 0 {
		slog.Info("no room for connections", "open", open, "refused", refused, "gave_way", gaveWay)
	}
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
	s.to(c, connReading)
	conn := c.conn
	s.mu.Unlock()
	conn.Wake()
}
