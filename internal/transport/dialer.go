package transport

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Dialer makes outbound calls to one kind of peer. It keeps connections alive
// between calls, bounds the sockets in use, and gives every call a deadline.
type Dialer struct {
	MaxOpen  int // connections in all
	MaxPer   int // connections to one address
	KeepIdle time.Duration
	Source   netip.Addr // local address of connections; the zero value: the system's choice

	mu   sync.Mutex
	open int
	per  map[string]int
	idle map[string][]idleConn
	// when idle connections were last looked at
	swept time.Time
}

type idleConn struct {
	conn  net.Conn
	since time.Time
}

// Errors of a call that certainly was not sent.
var (
	ErrSockets = errors.New("no free socket")
	ErrRefused = errors.New("connection failed")
)

// ErrTooLong is that of an answer longer than its reader takes.
var ErrTooLong = errors.New("answer too large")

func (d *Dialer) take(addr string) (net.Conn, bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.per == nil {
		d.per, d.idle = make(map[string]int), make(map[string][]idleConn)
	}
	for list := d.idle[addr]; len(list) > 0; list = d.idle[addr] {
		c := list[len(list)-1]
		d.idle[addr] = list[:len(list)-1]
		if time.Since(c.since) < d.KeepIdle && open(c.conn) {
			return c.conn, true, nil
		}
		d.drop(addr, c.conn)
	}
	d.sweep()
	if d.open >= d.MaxOpen {
		d.evict()
	}
	if d.open >= d.MaxOpen || d.per[addr] >= d.MaxPer {
		return nil, false, ErrSockets
	}
	d.open++
	d.per[addr]++
	return nil, false, nil
}

// open reports whether the other side has neither closed an idle connection nor sent
// anything on it. A process that ended and was back at once has the same address, and a
// call that went to the one before it counted as made and not answered: a leader that
// was well was taken for dead.
func open(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	_ = c.SetDeadline(time.Time{}) // that of the call before has passed, and a read would fail by it
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN || err == syscall.EINTR
		return true // whatever came: it is not waited for
	})
	return err == nil && idle
}

// sweep closes connections that have been idle for long. Machines come and go:
// without this, connections to those that are gone would use up the sockets.
func (d *Dialer) sweep() {
	if time.Since(d.swept) < d.KeepIdle/2 {
		return
	}
	d.swept = time.Now()
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

// evict closes a connection that is idle: one that is only kept in case of
// another call must not bar a call that is to be made now.
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

func (d *Dialer) drop(addr string, c net.Conn) {
	if c != nil {
		c.Close()
	}
	d.open--
	if d.per[addr]--; d.per[addr] == 0 {
		delete(d.per, addr)
		delete(d.idle, addr)
	}
}

func (d *Dialer) release(addr string, c net.Conn, keep bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !keep {
		d.drop(addr, c)
		return
	}
	d.idle[addr] = append(d.idle[addr], idleConn{c, time.Now()})
}

// dial connects, from the source address if there is one.
func (d *Dialer) dial(addr string, timeout time.Duration) (net.Conn, error) {
	by := net.Dialer{Timeout: timeout}
	if d.Source.IsValid() {
		by.LocalAddr = &net.TCPAddr{IP: d.Source.AsSlice()}
	}
	return by.Dial("tcp4", addr)
}

// Probe connects, and closes the connection again.
func (d *Dialer) Probe(addr string, timeout time.Duration) error {
	if _, _, err := d.take(addr); err != nil {
		return err
	}
	conn, err := d.dial(addr, timeout)
	d.release(addr, conn, false)
	if err != nil {
		return ErrRefused
	}
	return nil
}

// Do sends payload and reads until parse has a whole answer. parse returns the
// bytes used (0: more are needed) and whether the connection may be kept.
func (d *Dialer) Do(addr string, payload []byte, timeout time.Duration, parse func(buf []byte, eof bool) (used int, keep bool, err error)) error {
	deadline := time.Now().Add(timeout)
	conn, reused, err := d.take(addr)
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
		n, rerr := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 || rerr != nil {
			used, ok, perr := parse(buf, rerr != nil)
			if perr != nil {
				return perr
			}
			if used > 0 {
				keep = ok && rerr == nil && used == len(buf)
				return nil
			}
		}
		if rerr != nil {
			return rerr
		}
		if len(buf) > MaxAnswer {
			return ErrTooLong
		}
	}
}
