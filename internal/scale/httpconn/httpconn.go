// Package httpconn carries the HTTP messages of the scale run's parts over TCP, with the
// parser of package transport: a goroutine for each connection, bytes are counted.
package httpconn

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mapleslip/internal/transport"
)

// Traffic counts the bytes of HTTP messages, heads included, and the messages.
type Traffic struct {
	In, Out, Messages atomic.Int64
}

// Handler answers a request, from its connection's own goroutine. Status 0 closes the
// connection without an answer.
type Handler func(c *Conn, r *transport.Request) (status int, body []byte)

// Conn is a connection that came in.
type Conn struct {
	net.Conn
	// Traffic is where the request at hand is counted; the handler may set it.
	Traffic *Traffic
}

// Server has a listening socket and its connections.
type Server struct {
	l      net.Listener
	handle Handler

	mu    sync.Mutex
	open  map[net.Conn]bool // nil: closed
	count *atomic.Int64     // open connections, of many servers together; nil: not counted
}

// Listen serves an address until Close. count, if not nil, has the number of open connections.
func Listen(addr string, count *atomic.Int64, handle Handler) (*Server, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{l: l, handle: handle, open: make(map[net.Conn]bool), count: count}
	go s.accept()
	return s, nil
}

// Close ends the server and all its connections.
func (s *Server) Close() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Close()
	}
	s.open = nil
}

// Drop closes the connections that are open.
func (s *Server) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Close()
	}
}

func (s *Server) accept() {
	for {
		c, err := s.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // too many open files, for one
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		closed := s.open == nil
		if !closed {
			s.open[c] = true
		}
		s.mu.Unlock()
		if closed {
			c.Close()
			return
		}
		if s.count != nil {
			s.count.Add(1)
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
		if s.count != nil {
			s.count.Add(-1)
		}
	}()
	conn := &Conn{Conn: c}
	buf, out := make([]byte, 0, 1024), []byte(nil)
	for {
		r, n, err := transport.ParseRequest(buf)
		if err != nil {
			status := 400
			var p *transport.ParseError
			if errors.As(err, &p) {
				status = p.Status
			}
			_, _ = c.Write(transport.AppendResponse(nil, status, nil, 0, true))
			return
		}
		if n == 0 {
			if buf, err = more(c, buf); err != nil {
				return
			}
			continue
		}
		conn.Traffic = nil
		status, body := s.handle(conn, r)
		if status == 0 {
			return
		}
		out = transport.AppendResponse(out[:0], status, body, 0, r.Close)
		if t := conn.Traffic; t != nil {
			t.In.Add(int64(n))
			t.Out.Add(int64(len(out)))
			t.Messages.Add(1)
		}
		if _, err := c.Write(out); err != nil || r.Close {
			return
		}
		buf = buf[:copy(buf, buf[n:])]
	}
}

// more reads on into a buffer, which grows as needed.
func more(c net.Conn, buf []byte) ([]byte, error) {
	if cap(buf)-len(buf) < 512 {
		bigger := make([]byte, len(buf), max(1024, 2*cap(buf)))
		copy(bigger, buf)
		buf = bigger
	}
	n, err := c.Read(buf[len(buf):cap(buf)])
	return buf[:len(buf)+n], err
}

// Client has one persistent connection to one address at a time. It is used by one
// goroutine; Abort may come from another.
type Client struct {
	Source  string // address that calls come from, "": any
	Traffic *Traffic

	mu      sync.Mutex
	conn    net.Conn
	addr    string
	aborted bool
	in, out []byte
}

// ErrAborted is that of a call that Abort has ended.
var ErrAborted = errors.New("aborted")

// Post sends a body and reads the answer. At the deadline it gives up. After an error the
// connection is closed.
func (c *Client) Post(addr, target string, body []byte, deadline time.Time) (*transport.Response, error) {
	if c.addr != addr {
		c.Close()
	}
	if c.conn == nil {
		d := net.Dialer{Deadline: deadline}
		if c.Source != "" {
			d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.Source)}
		}
		conn, err := d.Dial("tcp4", addr)
		if err != nil {
			return nil, err
		}
		c.mu.Lock()
		c.conn, c.addr = conn, addr
		aborted := c.aborted
		c.mu.Unlock()
		if aborted {
			c.Close()
			return nil, ErrAborted
		}
	}
	r, err := c.exchange(addr, target, body, deadline)
	if err != nil || r.Close {
		c.Close()
	}
	return r, err
}

func (c *Client) exchange(addr, target string, body []byte, deadline time.Time) (*transport.Response, error) {
	conn := c.conn
	_ = conn.SetDeadline(deadline)
	c.out = transport.AppendRequest(c.out[:0], "POST", addr, target, body)
	if _, err := conn.Write(c.out); err != nil {
		return nil, err
	}
	c.Traffic.Out.Add(int64(len(c.out)))
	c.Traffic.Messages.Add(1)
	c.in = c.in[:0]
	for {
		var err error
		c.in, err = more(conn, c.in)
		r, n, perr := transport.ParseResponse(c.in, err != nil)
		if perr != nil {
			return nil, perr
		}
		if n > 0 {
			c.Traffic.In.Add(int64(n))
			return r, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Close closes the connection; the next call opens another.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Abort ends the call that is under way, and all later ones.
func (c *Client) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	if c.conn != nil {
		c.conn.Close()
	}
}
