package transport

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Dialer makes outbound calls to one kind of peer. It keeps connections alive between calls, bounds
// the sockets in use, and gives every call a deadline.
type Dialer struct {
	MaxOpen  int           // limit of open connections
	MaxPer   int           // limit of open connections to one address
	KeepIdle time.Duration // how long an idle connection is kept for reuse
	Source   netip.Addr    // local address of connections; the zero value lets the system choose

	mu          sync.Mutex
	openCount   int                   // open connections, and those being opened
	openPerAddr map[string]int        // the same, by address
	idle        map[string][]idleConn // by address, the longest idle first
	// time at which sweep last closed expired idle connections
	lastSweep time.Time
}

type idleConn struct {
	conn  net.Conn
	since time.Time
}

// Errors of a call that was certainly not sent.
var (
	ErrSockets = errors.New("no free socket")
	ErrRefused = errors.New("connection failed")
)

// ErrTooLong reports an answer that is longer than the caller accepts.
var ErrTooLong = errors.New("answer too large")

// acquire returns an idle connection to addr and true, or reserves a socket for a new connection
// that the caller dials. The caller must call release in both cases.
func (d *Dialer) acquire(addr string) (net.Conn, bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.openPerAddr == nil {
		d.openPerAddr, d.idle = make(map[string]int), make(map[string][]idleConn)
	}
	for list := d.idle[addr]; len(list) > 0; list = d.idle[addr] {
		c := list[len(list)-1]
		d.idle[addr] = list[:len(list)-1]
		if time.Since(c.since) < d.KeepIdle && isReusable(c.conn) {
			return c.conn, true, nil
		}
		d.drop(addr, c.conn)
	}
	d.sweep()
	if d.openCount >= d.MaxOpen {
		d.evict()
	}
	if d.openCount >= d.MaxOpen || d.openPerAddr[addr] >= d.MaxPer {
		return nil, false, ErrSockets
	}
	d.openCount++
	d.openPerAddr[addr]++
	return nil, false, nil
}

// isReusable reports whether the peer has neither closed an idle connection nor sent anything on
// it. A process that restarts keeps its address, and a call on the connection to the old process
// counted as sent but not answered: a healthy leader was considered dead.
func isReusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	_ = c.SetDeadline(time.Time{}) // an expired deadline of the previous call would fail the read
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN || err == syscall.EINTR
		return true // don't wait for the connection to become readable
	})
	return err == nil && idle
}

// sweep closes connections that have been idle for KeepIdle. Otherwise connections to machines that
// no longer exist would use up the sockets.
func (d *Dialer) sweep() {
	if time.Since(d.lastSweep) < d.KeepIdle/2 {
		return
	}
	d.lastSweep = time.Now()
	for addr, list := range d.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.since) < d.KeepIdle {
				kept = append(kept, c)
			} else {
				defer d.drop(addr, c.conn)
			}
		}
		d.idle[addr] = kept
	}
}

// evict closes one idle connection, to any address: a connection that is kept for a possible later
// call must not prevent a call that is due now.
func (d *Dialer) evict() {
	for addr, list := range d.idle {
		if len(list) > 0 {
			c := list[0]
			d.idle[addr] = list[1:]
			d.drop(addr, c.conn)
			return
		}
	}
}

// drop closes a connection, if there is one, and frees its socket for other calls.
func (d *Dialer) drop(addr string, c net.Conn) {
	if c != nil {
		c.Close()
	}
	d.openCount--
	if d.openPerAddr[addr]--; d.openPerAddr[addr] == 0 {
		delete(d.openPerAddr, addr)
		delete(d.idle, addr)
	}
}

// release keeps a connection for the next call, or drops it. The connection may be nil if dialing
// it failed.
func (d *Dialer) release(addr string, c net.Conn, keep bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !keep {
		d.drop(addr, c)
		return
	}
	d.idle[addr] = append(d.idle[addr], idleConn{c, time.Now()})
}

// dial opens a connection, from the source address if one is set.
func (d *Dialer) dial(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	if d.Source.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: d.Source.AsSlice()}
	}
	return dialer.Dial("tcp4", addr)
}

// Probe checks that addr accepts a connection, and closes the connection.
func (d *Dialer) Probe(addr string, timeout time.Duration) error {
	if _, _, err := d.acquire(addr); err != nil {
		return err
	}
	conn, err := d.dial(addr, timeout)
	d.release(addr, conn, false)
	if err != nil {
		return ErrRefused
	}
	return nil
}

// Do sends payload and reads until parse accepts a complete answer. parse returns the number of
// bytes of the answer, or 0 while more bytes are needed, and whether the connection may be kept.
func (d *Dialer) Do(addr string, payload []byte, timeout time.Duration, parse func(buf []byte, eof bool) (used int, keep bool, err error)) error {
	deadline := time.Now().Add(timeout)
	conn, reused, err := d.acquire(addr)
	if err != nil {
		return err
	}
	if !reused {
		conn, err = d.dial(addr, min(timeout, 2*time.Second))
		if err != nil {
			d.release(addr, nil, false)
			return ErrRefused
		}
	}
	_ = conn.SetDeadline(deadline)
	keep := false
	defer func() { d.release(addr, conn, keep) }()
	if _, err := conn.Write(payload); err != nil {
		return err
	}
	buf := make([]byte, 0, 2048)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, readErr := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 || readErr != nil {
			used, reuse, parseErr := parse(buf, readErr != nil)
			if parseErr != nil {
				return parseErr
			}
			if used > 0 {
				keep = reuse && readErr == nil && used == len(buf)
				return nil
			}
		}
		if readErr != nil {
			return readErr
		}
		if len(buf) > MaxAnswer {
			return ErrTooLong
		}
	}
}
