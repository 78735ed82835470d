package transport

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"
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

// Server listens for users, workers and health checks on one address and for the other controllers
// on another. Outbound calls use Dialer.
type Server struct {
	Split FrameSplitter
	// Deliver returns false if it has no room for a message. The server then answers a request with
	// 503 at once, and closes the connection of a frame. It must neither wait nor call the server.
	Deliver func(Inbound) bool
	MaxOpen int           // limit of open connections
	Idle    time.Duration // a connection without activity for longer than this is closed
	Quiet   time.Duration // at the limit, a connection that is idle for this long may be evicted
	// MaxCluster is the limit of open connections of controllers. A part of it is kept for them, see
	// clusterReserve.
	MaxCluster int
	// MaxHeld is the limit of the memory that incomplete messages take together, in bytes.
	MaxHeld int

	now func() time.Time // time.Now, another clock in tests

	mu       sync.Mutex
	nextID   ConnID
	clients  *connTable
	cluster  *connTable
	reported ConnCounts // counts since the start, up to the last log message
}

// reset makes the server ready for connections, without any.
func (s *Server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now == nil {
		s.now = time.Now
	}
	if s.clients != nil {
		s.takeCounts()
	}
	memory := &heldMemory{limit: s.MaxHeld}
	s.clients, s.cluster = newConnTable(s.Quiet, memory), newConnTable(s.Quiet, memory)
}

// Connections returns the numbers of open connections of clients and of controllers, and what
// became of connections since the start.
func (s *Server) Connections() (clients, cluster int, counts ConnCounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clients == nil {
		return 0, 0, s.reported
	}
	counts = s.reported
	counts.add(s.clients.counts)
	counts.add(s.cluster.counts)
	return len(s.clients.conns), len(s.cluster.conns), counts
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

// action is what the goroutine of a connection does next, after it has written its output.
type action uint8

const (
	actRead  action = iota // wait for more bytes
	actNext                // a message was answered: go on with the bytes that came with it
	actAwait               // wait until woken: a message was delivered
	actClose
)

// opened adds a new connection and returns nil if it is refused. At the limit, it is refused unless
// another one gives way: without a limit, connections would use the sockets that outbound calls need.
func (s *Server) opened(socket socket, fromCluster bool) *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	c := &serverConn{id: s.nextID, socket: socket, fromCluster: fromCluster}
	if !s.admit(c, s.now()) {
		return nil
	}
	return c
}

// clusterReserve returns how many connections of controllers are always possible.
func (s *Server) clusterReserve() int { return s.MaxCluster / 4 }

// admit adds a new connection and reports whether there is room for it. A connection of a controller
// may take the place of a client's, but not the other way round.
func (s *Server) admit(c *serverConn, now time.Time) bool {
	open := len(s.cluster.conns)
	if !c.fromCluster {
		return s.clients.admit(c, s.MaxOpen-max(open, s.clusterReserve()), now)
	}
	if open < s.MaxCluster && len(s.clients.conns)+open >= s.MaxOpen && !s.clients.evictOne(now) {
		s.cluster.counts.Refused++
		return false
	}
	return s.cluster.admit(c, s.MaxCluster, now)
}

// closed removes a connection whose socket is closed.
func (s *Server) closed(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.table.remove(c)
}

// data handles bytes that a connection received. Without any, it goes on with those that came with the
// message before: clients need not wait for an answer before they send the next request (RFC 9112,
// section 9.3.2).
func (s *Server) data(c *serverConn, in []byte) ([]byte, action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch c.state {
	case connClosing:
		return nil, actClose
	case connDraining:
		return nil, actRead
	case connAwaitingAnswer:
		return nil, actAwait
	case connReading:
		if len(in) == 0 && c.request.buffered()+len(c.frame) == 0 {
			return nil, actRead
		}
	}
	c.table.received(c, s.now())
	return s.process(c, in)
}

// woken returns the output of a connection that was woken.
func (s *Server) woken(c *serverConn) ([]byte, action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := c.out
	c.out = nil
	switch {
	case c.closing, c.state == connClosing:
		s.setState(c, connClosing)
		return out, actClose
	case c.state == connAwaitingAnswer:
		return nil, actAwait
	}
	return out, actNext
}

func (s *Server) setState(c *serverConn, state connState) { c.table.setState(c, state, s.now()) }

// process adds received bytes to the message of a connection, and delivers the message if it is
// complete. A malformed one is answered, if it is a request, and its connection closed.
func (s *Server) process(c *serverConn, in []byte) ([]byte, action) {
	msg := Inbound{Conn: c.id}
	complete, err := c.read(in, s.Split, &msg)
	if err != nil {
		return s.refuseMalformed(c, err)
	}
	if !complete {
		s.clients.limitMemory(c)
		s.cluster.limitMemory(c)
		if c.request.wantsContinue() {
			return []byte(continueResponse), actRead
		}
		return nil, actRead
	}
	c.served = true
	c.closing = msg.HTTP != nil && msg.HTTP.Close
	s.setState(c, connAwaitingAnswer)
	if s.Deliver(msg) {
		return nil, actAwait
	}
	if c.fromCluster {
		s.setState(c, connClosing)
		return nil, actClose
	}
	out := AppendResponse(nil, 503, []byte(`{"error":"busy"}`), 1, c.closing)
	if c.closing {
		s.setState(c, connClosing)
		return out, actClose
	}
	s.setState(c, connReading)
	return out, actNext
}

// refuseMalformed answers a malformed request. What the client has sent beyond it is read and
// dropped, since closing the connection before that would take the answer away from the client. A
// controller's connection is closed.
func (s *Server) refuseMalformed(c *serverConn, err error) ([]byte, action) {
	c.table.counts.Malformed++
	slog.Debug("malformed message", "from_controller", c.fromCluster, "conn", uint64(c.id), "err", err)
	c.dropMessage()
	if c.fromCluster {
		s.setState(c, connClosing)
		return nil, actClose
	}
	s.setState(c, connDraining)
	return AppendResponse(nil, 400, malformedBody(err), 0, true), actRead
}

// malformedBody returns the body of the answer to a malformed request. The texts of parse errors
// need no escapes.
func malformedBody(err error) []byte {
	return []byte(`{"error":"malformed request: ` + err.Error() + `"}`)
}

// tick closes connections whose message takes too long, and those without activity for longer than
// Idle, and logs what became of connections.
func (s *Server) tick() {
	s.mu.Lock()
	now := s.now()
	stale := append(s.clients.overdue(now, s.Idle), s.cluster.overdue(now, s.Idle)...)
	for _, c := range stale {
		c.closing = true
	}
	counts := s.takeCounts()
	clients, cluster, held := len(s.clients.conns), len(s.cluster.conns), s.clients.memory.bytes
	s.mu.Unlock()
	if counts.Refused+counts.EvictedIdle+counts.EvictedUnfinished > 0 {
		slog.Info("connection limit reached", "open", clients, "open_from_controllers", cluster, "refused", counts.Refused,
			"gave_way", counts.EvictedIdle, "unfinished_gave_way", counts.EvictedUnfinished, "unfinished_bytes", held)
	}
	if counts.TimedOut+counts.Malformed > 0 {
		slog.Info("malformed or slow messages", "malformed", counts.Malformed, "too_slow", counts.TimedOut)
	}
	for _, c := range stale {
		c.socket.cut()
	}
}

// takeCounts returns what became of connections since the last call, and adds it to the total.
func (s *Server) takeCounts() ConnCounts {
	counts := s.clients.counts
	counts.add(s.cluster.counts)
	s.clients.counts, s.cluster.counts = ConnCounts{}, ConnCounts{}
	s.reported.add(counts)
	return counts
}

// Answer sends the answer to the current message of a connection, if the connection is still open
// and awaits one.
func (s *Server) Answer(id ConnID, encode func(closing bool) []byte) {
	s.mu.Lock()
	c := s.find(id)
	if c == nil || c.state != connAwaitingAnswer {
		s.mu.Unlock()
		return
	}
	c.out = encode(c.closing)
	s.setState(c, connReading)
	s.mu.Unlock()
	c.socket.wake()
}

// find returns an open connection, or nil.
func (s *Server) find(id ConnID) *serverConn {
	if s.clients == nil {
		return nil
	}
	if c := s.clients.conns[id]; c != nil {
		return c
	}
	return s.cluster.conns[id]
}
