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
// on another. evio handles inbound connections only: outbound calls use Dialer.
type Server struct {
	Split FrameSplitter
	// Deliver returns false if it has no room for a message. The server then answers a request with
	// 503 at once, and closes the connection of a frame.
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

// Run serves connections until the process exits. An error on accept ends evio's loop and closes
// all connections; Run then starts the loop again.
func (s *Server) Run(client, cluster string) {
	var lastLogged time.Time
	for {
		s.reset()
		ev := evio.Events{NumLoops: 1, Opened: s.opened, Closed: s.closed, Data: s.data, Tick: s.tick}
		err := evio.Serve(ev, "tcp://"+client, "tcp://"+cluster)
		if time.Since(lastLogged) > 10*time.Second {
			lastLogged = time.Now()
			slog.Error("server loop ended, starting it again", "err", err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// opened handles a new connection. At the limit, it refuses the connection unless another one gives
// way: without a limit, connections would use the sockets that outbound calls need, and at the
// socket limit of the process accept fails and ends evio's loop.
func (s *Server) opened(ec evio.Conn) ([]byte, evio.Options, evio.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	opts := evio.Options{ReuseInputBuffer: true}
	s.nextID++
	c := &serverConn{id: s.nextID, conn: ec, fromCluster: ec.AddrIndex() == 1}
	if !s.admit(c, s.now()) {
		return nil, opts, evio.Close
	}
	ec.SetContext(c)
	return nil, opts, evio.None
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

func (s *Server) closed(ec evio.Conn, _ error) evio.Action {
	if c, ok := ec.Context().(*serverConn); ok {
		s.mu.Lock()
		c.table.remove(c)
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
		return s.woken(c)
	}
	switch c.state {
	case connClosing:
		return nil, evio.Close
	case connAwaitingAnswer:
		// Pipelining is not part of the protocol: the current message is answered, then the
		// connection is closed.
		c.closing = true
		return nil, evio.None
	case connDraining:
		return nil, evio.None
	case connReading:
	}
	c.table.received(c, s.now())
	return s.process(c, in)
}

// woken returns the output of a connection that evio has woken.
func (s *Server) woken(c *serverConn) ([]byte, evio.Action) {
	out := c.out
	c.out = nil
	if c.closing || c.state == connClosing {
		s.setState(c, connClosing)
		return out, evio.Close
	}
	return out, evio.None
}

func (s *Server) setState(c *serverConn, state connState) { c.table.setState(c, state, s.now()) }

// process adds received bytes to the message of a connection, and delivers the message if it is
// complete. A malformed one is answered, if it is a request, and its connection closed.
func (s *Server) process(c *serverConn, in []byte) ([]byte, evio.Action) {
	msg := Inbound{Conn: c.id}
	complete, err := c.read(in, s.Split, &msg)
	if err != nil {
		return s.refuseMalformed(c, err)
	}
	if !complete {
		s.clients.limitMemory(c)
		s.cluster.limitMemory(c)
		if c.request.wantsContinue() {
			return []byte(continueResponse), evio.None
		}
		return nil, evio.None
	}
	c.served = true
	if c.request.buffered()+len(c.frame) > 0 || msg.HTTP != nil && msg.HTTP.Close {
		c.closing = true
	}
	s.setState(c, connAwaitingAnswer)
	if s.Deliver(msg) {
		return nil, evio.None
	}
	if c.fromCluster {
		s.setState(c, connClosing)
		return nil, evio.Close
	}
	out := AppendResponse(nil, 503, []byte(`{"error":"busy"}`), 1, c.closing)
	if c.closing {
		s.setState(c, connClosing)
		return out, evio.Close
	}
	s.setState(c, connReading)
	return out, evio.None
}

// refuseMalformed answers a malformed request. What the client has sent beyond it is read and
// dropped, since closing the connection before that would take the answer away from the client. A
// controller's connection is closed.
func (s *Server) refuseMalformed(c *serverConn, err error) ([]byte, evio.Action) {
	c.table.counts.Malformed++
	slog.Debug("malformed message", "from_controller", c.fromCluster, "conn", uint64(c.id), "err", err)
	c.dropMessage()
	if c.fromCluster {
		s.setState(c, connClosing)
		return nil, evio.Close
	}
	s.setState(c, connDraining)
	return AppendResponse(nil, 400, malformedBody(err), 0, true), evio.None
}

// malformedBody returns the body of the answer to a malformed request. The texts of parse errors
// need no escapes.
func malformedBody(err error) []byte {
	return []byte(`{"error":"malformed request: ` + err.Error() + `"}`)
}

// tick closes connections whose message takes too long, and those without activity for longer than
// Idle, and logs what became of connections.
func (s *Server) tick() (time.Duration, evio.Action) {
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
		c.conn.Wake()
	}
	return 2 * time.Second, evio.None
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
	conn := c.conn
	s.mu.Unlock()
	conn.Wake()
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
