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

// ConnID identifies an inbound connection. It is not used again for a later connection.
type ConnID uint64

// Inbound is one message that was received on a connection: an HTTP request, or a frame from
// another controller.
type Inbound struct {
	Conn  ConnID
	HTTP  *Request // nil if the message is a frame
	Frame []byte
}

// FrameSplitter returns the complete frame at the start of buf and the number of bytes used, or 0
// while more are needed.
type FrameSplitter func(buf []byte) (frame []byte, used int, err error)

// connState is the state of a connection in the exchange of messages and answers. When a connection
// is woken again, evio replaces the output that is not written yet. So a connection handles one
// message at a time, and is closed after the answer if it received more bytes before that.
type connState uint8

const (
	connReading        connState = iota // receiving the bytes of a message
	connAwaitingAnswer                  // a message was delivered and its answer is not there yet
	connClosing                         // the connection is closed once its output is written
)

type serverConn struct {
	id           ConnID
	conn         evio.Conn
	fromCluster  bool // accepted on the address for controllers, not the one for clients
	state        connState
	buf          []byte        // received bytes of an incomplete message
	out          []byte        // answer to write when evio wakes the connection
	closing      bool          // close the connection after the next output
	lastActivity time.Time     // time of the last change of state, or of the first byte of a message
	idleElement  *list.Element // element of Server.idleConns, nil if the connection is not idle
}

// setState changes the state of a connection. No other function does.
func (s *Server) setState(c *serverConn, state connState) {
	c.state = state
	c.lastActivity = time.Now()
	if state == connReading {
		s.markIdle(c)
	} else {
		s.markActive(c)
	}
}

// markIdle adds a connection at the end of the list of idle connections.
func (s *Server) markIdle(c *serverConn) {
	s.markActive(c)
	c.idleElement = s.idleConns.PushBack(c)
}

// markActive removes a connection from the list of idle connections.
func (s *Server) markActive(c *serverConn) {
	if c.idleElement != nil {
		s.idleConns.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// evictIdle closes the connection that has been idle for longest, if it has been idle for at least
// Quiet, and reports whether it closed one. Machines that fail leave their connections open: two
// hundred of them and the machines rented to replace them used up the connection limit of a leader,
// new connections were refused, and workers that could not connect lost their leases.
func (s *Server) evictIdle(now time.Time) bool {
	e := s.idleConns.Front()
	if e == nil {
		return false
	}
	c := e.Value.(*serverConn)
	if now.Sub(c.lastActivity) < s.Quiet {
		return false
	}
	s.markActive(c)
	c.closing = true
	delete(s.conns, c.id)
	s.evicted++
	c.conn.Wake()
	return true
}

// Server listens for users, workers and health checks on one address and for the other controllers
// on another. evio handles inbound connections only: outbound calls use Dialer.
type Server struct {
	Split FrameSplitter
	// Deliver returns false if it has no room for a message. The server then answers a request with
	// 503 at once, and closes the connection of a frame.
	Deliver func(Inbound) bool
	MaxOpen int           // limit of open connections
	Idle    time.Duration // a connection without activity for longer than this is closed
	Quiet   time.Duration // at MaxOpen, a connection that is idle for this long may be evicted

	mu        sync.Mutex
	nextID    ConnID
	conns     map[ConnID]*serverConn
	idleConns list.List // of *serverConn without bytes since the last answer, longest idle first
	evicted   uint64    // connections evicted since the last log message about them
	refused   uint64    // connections refused since then
}

// CanListen returns the reason why the process can't listen on an address, or nil if it can. While
// the address is in use, it retries for the given time. Without this check a wrong address showed
// only as an error of the server loop, which failed five times a second without end.
func CanListen(address string, wait time.Duration) error {
	for deadline := time.Now().Add(wait); ; time.Sleep(20 * time.Millisecond) {
		l, err := net.Listen("tcp", address)
		if err == nil {
			return l.Close()
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return err
		}
	}
}

// Run serves connections until the process exits. An error on accept ends evio's loop and closes
// all connections; Run then starts the loop again.
func (s *Server) Run(client, cluster string) {
	var lastLogged time.Time
	for {
		s.mu.Lock()
		s.conns = make(map[ConnID]*serverConn)
		s.idleConns.Init()
		s.mu.Unlock()
		ev := evio.Events{NumLoops: 1, Opened: s.opened, Closed: s.closed, Data: s.data, Tick: s.tick}
		err := evio.Serve(ev, "tcp://"+client, "tcp://"+cluster)
		if time.Since(lastLogged) > 10*time.Second {
			lastLogged = time.Now()
			slog.Error("server loop ended, starting it again", "err", err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// opened handles a new connection. At MaxOpen connections, it refuses the connection unless it can
// evict an idle one.
func (s *Server) opened(ec evio.Conn) ([]byte, evio.Options, evio.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	opts := evio.Options{ReuseInputBuffer: true}
	now := time.Now()
	if len(s.conns) >= s.MaxOpen && !s.evictIdle(now) {
		s.refused++
		// Without a limit, connections would use the sockets that outbound calls need. At the
		// socket limit of the process, accept fails and ends evio's loop.
		return nil, opts, evio.Close
	}
	s.nextID++
	c := &serverConn{id: s.nextID, conn: ec, fromCluster: ec.AddrIndex() == 1, lastActivity: now}
	s.conns[c.id] = c
	s.markIdle(c)
	ec.SetContext(c)
	return nil, opts, evio.None
}

func (s *Server) closed(ec evio.Conn, _ error) evio.Action {
	if c, ok := ec.Context().(*serverConn); ok {
		s.mu.Lock()
		delete(s.conns, c.id)
		s.markActive(c)
		s.mu.Unlock()
	}
	return evio.None
}

// data handles bytes that a connection received. If in is nil, evio has woken the connection to
// write its output or to close it.
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
			s.setState(c, connClosing)
			return out, evio.Close
		}
		return out, evio.None
	}
	switch c.state {
	case connClosing:
		return nil, evio.Close
	case connAwaitingAnswer:
		// Pipelining is not part of the protocol: the current message is answered, then the
		// connection is closed.
		c.closing = true
		return nil, evio.None
	case connReading:
	}
	if len(c.buf) == 0 {
		c.lastActivity = time.Now()
		s.markActive(c)
	}
	c.buf = append(c.buf, in...)
	return s.process(c)
}

// process delivers the message in the buffer of a connection if it is complete. A malformed message
// closes the connection.
func (s *Server) process(c *serverConn) ([]byte, evio.Action) {
	var msg Inbound
	var used int
	var err error
	msg.Conn = c.id
	if c.fromCluster {
		msg.Frame, used, err = s.Split(c.buf)
		if err != nil {
			slog.Info("malformed frame from a controller", "err", err)
			s.setState(c, connClosing)
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
			s.setState(c, connClosing)
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
	s.setState(c, connAwaitingAnswer)
	if s.Deliver(msg) {
		return nil, evio.None
	}
	if c.fromCluster {
		s.setState(c, connClosing)
		return nil, evio.Close
	}
	s.setState(c, connReading)
	out := AppendResponse(nil, 503, []byte(`{"error":"busy"}`), 1, c.closing)
	if c.closing {
		s.setState(c, connClosing)
		return out, evio.Close
	}
	return out, evio.None
}

// tick closes connections whose message is incomplete 10 seconds after its first bytes, and
// connections without activity for longer than Idle.
func (s *Server) tick() (time.Duration, evio.Action) {
	s.mu.Lock()
	var stale []*serverConn
	now := time.Now()
	for _, c := range s.conns {
		limit := s.Idle
		if len(c.buf) > 0 && c.state == connReading {
			limit = 10 * time.Second
		}
		if now.Sub(c.lastActivity) > limit {
			c.closing = true
			stale = append(stale, c)
		}
	}
	refused, evicted := s.refused, s.evicted
	s.refused, s.evicted = 0, 0
	open := len(s.conns)
	s.mu.Unlock()
	if refused+evicted > 0 {
		slog.Info("connection limit reached", "open", open, "refused", refused, "gave_way", evicted)
	}
	for _, c := range stale {
		c.conn.Wake()
	}
	return 2 * time.Second, evio.None
}

// Answer sends the answer to the current message of a connection, if the connection is still open
// and awaits one.
func (s *Server) Answer(id ConnID, encode func(closing bool) []byte) {
	s.mu.Lock()
	c := s.conns[id]
	if c == nil || c.state != connAwaitingAnswer {
		s.mu.Unlock()
		return
	}
	c.out = encode(c.closing)
	s.setState(c, connReading)
	conn := c.conn
	s.mu.Unlock()
	conn.Wake()
}
