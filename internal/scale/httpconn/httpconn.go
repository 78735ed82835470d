// Package httpconn is the HTTP server and client, over TCP, of the parts of a scale run. It uses
// the parser of package transport, runs a goroutine for each incoming connection and counts bytes.
package httpconn

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mapleslip/internal/transport"
)

// Traffic counts HTTP messages and their bytes, including the request or status line and headers.
type Traffic struct {
	In, Out, Messages atomic.Int64
}

// Handler answers a request. It is called in the goroutine of the connection. Status 0 closes
// the connection without an answer.
type Handler func(c *Conn, r *transport.Request) (status int, body []byte)

// Conn is an incoming connection.
type Conn struct {
	net.Conn
	// Traffic counts the current request. It is nil, for not counted, unless the handler sets it.
	Traffic *Traffic
}

// Server is a listening socket with its open connections.
type Server struct {
	listener net.Listener
	handle   Handler

	mu        sync.Mutex
	open      map[net.Conn]bool // open connections, nil once the server is closed
	openCount *atomic.Int64     // open connections, maybe of several servers, or nil
}

// Listen serves an address until Close. If openCount isn't nil, the server adds the number of
// its open connections to it.
func Listen(addr string, openCount *atomic.Int64, handle Handler) (*Server, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, handle: handle, open: make(map[net.Conn]bool), openCount: openCount}
	go s.accept()
	return s, nil
}

// Close closes the listening socket and all connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Close()
	}
	s.open = nil
}

// Drop closes the open connections. The server keeps listening.
func (s *Server) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Close()
	}
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example too many open files
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
		if s.openCount != nil {
			s.openCount.Add(1)
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
		if s.openCount != nil {
			s.openCount.Add(-1)
		}
	}()
	conn := &Conn{Conn: c}
	buf, out := make([]byte, 0, 1024), []byte(nil)
	for {
		r, n, err := transport.ParseRequest(buf)
		if err != nil {
			_, _ = c.Write(transport.AppendResponse(nil, http.StatusBadRequest, nil, 0, true))
			return
		}
		if n == 0 {
			if buf, err = readMore(c, buf); err != nil {
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

// readMore appends what it reads to a buffer, which grows as needed.
func readMore(c net.Conn, buf []byte) ([]byte, error) {
	if cap(buf)-len(buf) < 512 {
		bigger := make([]byte, len(buf), max(1024, 2*cap(buf)))
		copy(bigger, buf)
		buf = bigger
	}
	n, err := c.Read(buf[len(buf):cap(buf)])
	return buf[:len(buf)+n], err
}

// Client has one persistent connection to one address at a time. It is used by one goroutine,
// except that another one may call Abort.
type Client struct {
	Source  string   // local IP address of the connections, "" for any
	Traffic *Traffic // counts the requests and answers

	mu      sync.Mutex
	conn    net.Conn
	addr    string
	aborted bool
	in, out []byte
}

// ErrAborted is returned by Post if Abort was called before the connection was open. A call that
// is aborted later fails with the error of the closed connection.
var ErrAborted = errors.New("aborted")

// Post sends a body and reads the answer. It fails at the deadline. After an error the
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
		c.in, err = readMore(conn, c.in)
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

// Close closes the connection; the next call of Post opens another.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Abort makes the current call and all later ones fail.
func (c *Client) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	if c.conn != nil {
		c.conn.Close()
	}
}
