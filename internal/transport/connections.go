package transport

import (
	"container/list"
	"time"
)

// connState is the state of a connection in the exchange of messages and answers. A connection handles
// one message at a time: bytes after it wait until it is answered.
type connState uint8

const (
	connReading        connState = iota // receiving the bytes of a message
	connAwaitingAnswer                  // a message was delivered and its answer is not there yet
	connDraining                        // what is received is dropped until the client closes
	connClosing                         // the connection is closed once its output is written
)

type serverConn struct {
	id          ConnID
	socket      socket
	table       *connTable
	fromCluster bool // accepted on the address for controllers, not the one for clients
	state       connState
	request     requestReader // of a client's connection
	frame       []byte        // received bytes of an incomplete frame from a controller
	out         []byte        // answer to write when the connection is woken
	closing     bool          // close the connection after the next output
	evicted     bool          // closed for another connection; its goroutine may not know yet
	served      bool          // a complete message was received

	unfinishedSince time.Time // when it was opened, or its first request after others began
	messageAt       time.Time // of the first bytes of the message that it receives or drops
	lastActivity    time.Time // of the last change of state or the last bytes

	held        int           // memory that the incomplete message takes, in bytes
	idleElement *list.Element // of connTable.idle, nil if not there
	// Elements of connTable.bySilence and byStart, nil if the connection is not unfinished.
	silenceElement, startElement *list.Element
}

// hasPart reports whether a part of a message was received.
func (c *serverConn) hasPart() bool {
	return c.state == connReading && (len(c.frame) > 0 || c.request.started())
}

// read adds received bytes to the message of the connection. It sets the message and returns true
// once it is complete.
func (c *serverConn) read(in []byte, split FrameSplitter, msg *Inbound) (complete bool, err error) {
	if !c.fromCluster {
		msg.HTTP, err = c.request.add(in)
		complete = msg.HTTP != nil
		c.holdUnless(complete, c.request.held())
		return complete, err
	}
	c.frame = append(c.frame, in...)
	frame, used, err := split(c.frame)
	if err == nil && used > 0 {
		msg.Frame = frame
		c.frame = append([]byte(nil), c.frame[used:]...)
	}
	complete = msg.Frame != nil
	c.holdUnless(complete, cap(c.frame))
	return complete, err
}

// holdUnless notes how much memory the message takes, unless it is complete: the buffer that is kept
// for the next one does not count.
func (c *serverConn) holdUnless(complete bool, bytes int) {
	if complete {
		bytes = 0
	}
	c.table.hold(c, bytes)
}

// dropMessage frees the memory of an incomplete message.
func (c *serverConn) dropMessage() {
	c.request, c.frame = requestReader{}, nil
	c.table.hold(c, 0)
}

// connTable has the open connections of one address, and decides which of them is closed for a new
// one when there are as many as allowed.
//
// A connection is unfinished if it has sent nothing since it was opened, a part of a message, or a
// malformed one. It gives way to a new connection once it has been silent for unfinishedGrace, the
// one that has been silent for longest first, or else the one that began first. So connections that
// send nothing, or a message slowly, can't keep out others, and a sound message that is sent slowly
// is only cut off when no silent connection is left. A connection that was served gives way once it
// has been idle for the server's Quiet.
type connTable struct {
	quiet  time.Duration // time of idleness from which a connection that was served gives way
	memory *heldMemory

	conns     map[ConnID]*serverConn
	idle      list.List // served ones without bytes since the last answer, longest idle first
	bySilence list.List // unfinished ones by the time of their last bytes
	byStart   list.List // unfinished ones by the time at which they began
	evicting  int       // evicted ones whose socket is not closed yet

	counts ConnCounts // since the last log message
}

// heldMemory is the memory that the incomplete messages of all connections take together, in bytes.
type heldMemory struct{ bytes, limit int }

// ConnCounts counts what became of connections.
type ConnCounts struct {
	Refused           uint64 // new ones, at the limit
	EvictedIdle       uint64 // closed for a new one
	EvictedUnfinished uint64 // closed for a new one, or for memory
	TimedOut          uint64 // closed since their message took too long
	Malformed         uint64 // messages
}

func (c *ConnCounts) add(other ConnCounts) {
	c.Refused += other.Refused
	c.EvictedIdle += other.EvictedIdle
	c.EvictedUnfinished += other.EvictedUnfinished
	c.TimedOut += other.TimedOut
	c.Malformed += other.Malformed
}

// ByReason returns the counts by a reason for metrics.
func (c ConnCounts) ByReason() map[string]uint64 {
	return map[string]uint64{
		"refused": c.Refused, "idle gave way": c.EvictedIdle, "unfinished gave way": c.EvictedUnfinished,
		"message too slow": c.TimedOut, "malformed message": c.Malformed,
	}
}

const (
	// unfinishedGrace is how long a connection may be silent before it gives way.
	unfinishedGrace = 500 * time.Millisecond
	// messageTimeout limits the time for one message: users wait 5 s for an answer.
	messageTimeout = 6 * time.Second
	// drainTimeout is how long a client may take to read the answer to a malformed request.
	drainTimeout = 2 * time.Second
	// maxEvicting limits the evicted connections that are not closed yet. They still take
	// sockets, at most as many as the smallest reserve.
	maxEvicting = 8
)

func newConnTable(quiet time.Duration, memory *heldMemory) *connTable {
	return &connTable{quiet: quiet, memory: memory, conns: make(map[ConnID]*serverConn)}
}

// admit adds a new connection. At a limit of connections, it first evicts another one, and returns
// false if none may give way.
func (t *connTable) admit(c *serverConn, limit int, now time.Time) bool {
	if len(t.conns) >= limit && !t.evictOne(now) {
		t.counts.Refused++
		return false
	}
	c.table = t
	t.conns[c.id] = c
	t.setState(c, connReading, now)
	return true
}

// setState changes the state of a connection. No other function does.
func (t *connTable) setState(c *serverConn, state connState, now time.Time) {
	if c.evicted {
		return
	}
	c.state = state
	c.messageAt, c.lastActivity = now, now
	if state == connDraining && c.silenceElement != nil {
		return // a malformed message does not make an unfinished connection younger
	}
	t.unlist(c)
	switch {
	case state == connReading && c.served:
		c.idleElement = t.idle.PushBack(c)
	case state == connReading, state == connDraining:
		t.listUnfinished(c, now)
	}
}

// received notes that bytes of a message have arrived. An unfinished connection keeps its place by
// start, whatever it sends.
func (t *connTable) received(c *serverConn, now time.Time) {
	if !c.hasPart() {
		c.messageAt = now
	}
	c.lastActivity = now
	if c.silenceElement != nil {
		t.bySilence.MoveToBack(c.silenceElement)
		return
	}
	t.unlist(c)
	t.listUnfinished(c, now)
}

func (t *connTable) listUnfinished(c *serverConn, now time.Time) {
	c.unfinishedSince = now
	c.silenceElement = t.bySilence.PushBack(c)
	c.startElement = t.byStart.PushBack(c)
}

// unlist removes a connection from the lists of idle and unfinished ones.
func (t *connTable) unlist(c *serverConn) {
	if c.idleElement != nil {
		t.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
	if c.silenceElement != nil {
		t.bySilence.Remove(c.silenceElement)
		t.byStart.Remove(c.startElement)
		c.silenceElement, c.startElement = nil, nil
	}
}

// evictOne closes the connection that gives way first, and reports whether there is one.
func (t *connTable) evictOne(now time.Time) bool {
	if t.evicting >= maxEvicting {
		return false
	}
	if c := front(&t.bySilence); c != nil && now.Sub(c.lastActivity) >= t.grace(c) {
		t.counts.EvictedUnfinished++
		t.evict(c)
		return true
	}
	// Machines that fail leave their connections open: two hundred of them and the machines rented
	// to replace them used up the connection limit of a leader.
	if c := front(&t.idle); c != nil && now.Sub(c.lastActivity) >= t.quiet {
		t.counts.EvictedIdle++
		t.evict(c)
		return true
	}
	if c := front(&t.byStart); c != nil && now.Sub(c.unfinishedSince) >= unfinishedGrace {
		t.counts.EvictedUnfinished++
		t.evict(c)
		return true
	}
	return false
}

// grace returns how long an unfinished connection may be silent before it gives way. One that has sent
// nothing yet is idle too.
func (t *connTable) grace(c *serverConn) time.Duration {
	if c.hasPart() {
		return unfinishedGrace
	}
	return min(unfinishedGrace, t.quiet)
}

// hold notes how much memory the incomplete message of a connection takes, in bytes.
func (t *connTable) hold(c *serverConn, bytes int) {
	t.memory.bytes += bytes - c.held
	c.held = bytes
}

// limitMemory closes connections with incomplete messages until these take no more memory than
// allowed. current is the connection that has just received bytes.
func (t *connTable) limitMemory(current *serverConn) {
	for t.memory.bytes > t.memory.limit && t.evictHolder(current) {
	}
}

// evictHolder closes the connection that has been silent for longest of those that hold part of a
// message, except for one, and reports whether there is one.
func (t *connTable) evictHolder(except *serverConn) bool {
	for e := t.bySilence.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*serverConn); c != except && c.held > 0 {
			t.counts.EvictedUnfinished++
			t.evict(c)
			return true
		}
	}
	return false
}

func front(l *list.List) *serverConn {
	if e := l.Front(); e != nil {
		return e.Value.(*serverConn)
	}
	return nil
}

// evict closes a connection. Its memory is free at once, its socket once its goroutine has closed it.
func (t *connTable) evict(c *serverConn) {
	t.unlist(c)
	delete(t.conns, c.id)
	t.evicting++
	c.evicted, c.closing, c.state = true, true, connClosing
	c.dropMessage()
	c.socket.cut()
}

// remove removes a connection that is closed.
func (t *connTable) remove(c *serverConn) {
	c.dropMessage()
	if c.evicted {
		t.evicting--
		return
	}
	t.unlist(c)
	delete(t.conns, c.id)
}

// overdue returns the connections whose message, or whose reading of an answer, has taken too long,
// and those without activity for longer than idle.
func (t *connTable) overdue(now time.Time, idle time.Duration) (stale []*serverConn) {
	for _, c := range t.conns {
		switch {
		case c.hasPart() && now.Sub(c.messageAt) > messageTimeout, c.state == connDraining && now.Sub(c.messageAt) > drainTimeout:
			t.counts.TimedOut++
			stale = append(stale, c)
		case now.Sub(c.lastActivity) > idle:
			stale = append(stale, c)
		}
	}
	return stale
}
