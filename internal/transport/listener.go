package transport

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// readBytes is the size of the buffers for reading, and keptBuffers how many are kept. A connection
	// takes one only while it reads bytes that are there, so idle ones need none.
	readBytes   = 64 << 10
	keptBuffers = 4
	// acceptPause is the time after a connection could not be accepted, for want of sockets.
	acceptPause = 50 * time.Millisecond
	// listenPause is the time between two attempts to listen, and listenLogInterval between log lines.
	listenPause       = 200 * time.Millisecond
	listenLogInterval = 10 * time.Second
	// tickInterval is the time between two checks for connections that take too long.
	tickInterval = 2 * time.Second
)

// Run serves connections until the process exits.
func (s *Server) Run(client, cluster string) {
	s.reset()
	var listeners sync.WaitGroup
	listeners.Go(func() { s.accept(listen(client), false) })
	listeners.Go(func() { s.accept(listen(cluster), true) })
	for range time.Tick(tickInterval) {
		s.tick()
	}
}

// listen listens on an address, and tries again until that is possible.
func listen(address string) net.Listener {
	config := net.ListenConfig{KeepAlive: -1}
	config.SetMultipathTCP(false)
	var logged time.Time
	for {
		l, err := config.Listen(context.Background(), "tcp4", address)
		if err == nil {
			return l
		}
		if time.Since(logged) > listenLogInterval {
			logged = time.Now()
			slog.Error("can't listen", "address", address, "err", err)
		}
		time.Sleep(listenPause)
	}
}

// accept serves the connections of a listener, each in a goroutine of its own. Whether there is room for
// one is decided before the next is accepted, so that there are never more sockets than allowed.
func (s *Server) accept(l net.Listener, fromCluster bool) {
	var logged time.Time
	for {
		conn, err := l.Accept()
		if err != nil {
			if time.Since(logged) > listenLogInterval {
				logged = time.Now()
				slog.Error("can't accept connections", "err", err)
			}
			time.Sleep(acceptPause)
			continue
		}
		s.start(conn, fromCluster)
	}
}

// start begins to serve a connection, or closes it if there is no room.
func (s *Server) start(conn net.Conn, fromCluster bool) {
	socket, err := newNetSocket(conn)
	if err != nil {
		conn.Close()
		return
	}
	c := s.opened(socket, fromCluster)
	if c == nil {
		conn.Close()
		return
	}
	go s.serve(c, socket)
}

// serve handles a connection until it ends. A client may close its sending side after a request (RFC
// 9112, section 9.6): it is only noticed once the request is answered.
func (s *Server) serve(c *serverConn, socket *netSocket) {
	defer s.closed(c)
	defer socket.conn.Close()
	for {
		var out []byte
		var next action
		if err := socket.read(func(in []byte) { out, next = s.data(c, in) }); err != nil {
			return
		}
		if s.respond(c, socket, out, next) != nil {
			return
		}
	}
}

// errConnEnds ends a connection whose last output is written.
var errConnEnds = errors.New("the connection ends")

// respond writes the output of a connection, and its answers to all messages that are complete, until
// it needs more bytes.
func (s *Server) respond(c *serverConn, socket *netSocket, out []byte, next action) error {
	for {
		if len(out) > 0 {
			if _, err := socket.conn.Write(out); err != nil {
				return err
			}
		}
		switch next {
		case actClose:
			return errConnEnds
		case actAwait:
			<-socket.wakeups
			out, next = s.woken(c)
		case actNext:
			out, next = s.data(c, nil)
		case actRead:
			return nil
		}
	}
}

// socket is what a connection needs of its operating system's socket. Its methods do not wait.
type socket interface {
	wake() // makes the goroutine of the connection go on that awaits an answer
	cut()  // ends the connection, also while it reads or writes
}

// netSocket is a socket of the operating system.
type netSocket struct {
	conn    net.Conn
	raw     syscall.RawConn
	wakeups chan struct{}
}

func newNetSocket(conn net.Conn) (*netSocket, error) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	return &netSocket{conn, raw, make(chan struct{}, 1)}, err
}

func (n *netSocket) wake() {
	select {
	case n.wakeups <- struct{}{}:
	default: // was woken already
	}
}

func (n *netSocket) cut() {
	_ = n.conn.SetDeadline(time.Unix(1, 0)) // the connection ends, whatever the error
	n.wake()
}

// read waits for bytes and passes them to handle. They are valid until handle returns. The error is
// io.EOF if the other side has closed its sending side.
func (n *netSocket) read(handle func(in []byte)) error {
	var readErr error
	err := n.raw.Read(func(fd uintptr) bool {
		buffer := readBuffers.get()
		defer readBuffers.put(buffer)
		var count int
		for {
			count, readErr = syscall.Read(int(fd), buffer)
			if readErr != syscall.EINTR {
				break
			}
		}
		switch {
		case readErr == syscall.EAGAIN:
			return false // wait until the socket is readable
		case readErr != nil:
		case count == 0:
			readErr = io.EOF
		default:
			handle(buffer[:count])
		}
		return true
	})
	if err != nil {
		return err
	}
	if readErr == nil || errors.Is(readErr, io.EOF) {
		return readErr
	}
	return os.NewSyscallError("read", readErr)
}

// readBuffers is a pool of buffers for reading.
var readBuffers = make(bufferPool, keptBuffers)

type bufferPool chan []byte

func (pool bufferPool) get() []byte {
	select {
	case b := <-pool:
		return b
	default:
		return make([]byte, readBytes)
	}
}

func (pool bufferPool) put(b []byte) {
	select {
	case pool <- b:
	default:
	}
}
