// Package relay has the links between regions of a scale run: connections to a region's
// addresses go through its process, which delays them, holds them while a region is
// apart, and loses some, all on loopback.
package relay

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mapleslip/internal/scale/ipc"
	"mapleslip/internal/scale/wire"
)

const (
	// mostHeld is how many bytes a direction holds before it takes no more from its
	// sender: about what sockets hold behind a cut.
	mostHeld = 1 << 20
	dialFor  = 2 * time.Second
	block    = 32 << 10
)

// relay is a region's.
type relay struct {
	pipe   *ipc.Pipe
	region string
	delay  map[string]int64 // one way, microseconds, by the other region
	log    *slog.Logger

	mu        sync.Mutex
	of        map[string]string // IP to region
	listeners map[string]net.Listener
	targets   map[string]string // public address to listening one
	links     map[string]*link  // by the other region
	loss      float64
	jitter    float64
	r         *rand.Rand
	buffers   sync.Pool

	bytes, opened, lost, refused, unknown atomic.Int64
}

// link is between this region and another one.
type link struct {
	cutUntil  int64 // bytes are held until then
	slowUntil int64
	slow      float64
	lossUntil int64
	loss      float64
	conns     map[*splice]bool
}

// Run is the role of a region's links.
func Run(in io.Reader, out io.Writer, log *slog.Logger) error {
	p, err := ipc.Open(in, out)
	if err != nil {
		return err
	}
	c := p.Config.Links
	if c == nil {
		return p.Ready(fmt.Errorf("setup without links"))
	}
	r := &relay{
		pipe: p, region: c.Region, delay: c.Delay, log: log, of: make(map[string]string), listeners: make(map[string]net.Listener),
		targets: make(map[string]string), links: make(map[string]*link), loss: c.Loss, jitter: c.Jitter, r: rand.New(rand.NewPCG(p.Config.Seed, 0x11e)),
	}
	r.buffers.New = func() any { return new([block]byte) }
	for ip, region := range c.Of {
		r.of[ip] = region
	}
	for public, listen := range c.Listen {
		if err := r.listen(public, listen); err != nil {
			r.close()
			return p.Ready(err)
		}
	}
	if err := p.Ready(nil); err != nil {
		return err
	}
	over := make(chan struct{})
	go r.report(over)
	for m := range p.In {
		r.order(m)
	}
	close(over)
	r.close()
	return nil
}

// order takes one of the supervisor's: machines that come and go, and faults.
func (r *relay) order(m *wire.Message) {
	switch {
	case m.Kind == wire.Boot && m.Machine != nil:
		r.mu.Lock()
		r.of[m.Machine.Source] = m.Machine.Region
		r.mu.Unlock()
		if m.Machine.Region == r.region {
			if err := r.listen(m.Machine.Public, m.Machine.Listen); err != nil {
				r.pipe.Note("link to %s: %v", m.Machine.Name, err)
			}
		}
	case m.Kind == wire.Gone:
		for _, public := range m.Names {
			r.unlisten(public)
		}
	case m.Kind == wire.Fault:
		r.fault(m)
	}
}

// fault begins one. Each relay is told of all: it knows its end of the links.
func (r *relay) fault(m *wire.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := wire.Now() + m.For
	for other := range r.delay {
		if other == r.region || m.Region != r.region && m.Region != other {
			continue
		}
		l := r.link(other)
		switch m.Text {
		case wire.FaultCut:
			l.cutUntil = max(l.cutUntil, until)
		case wire.FaultDelay:
			l.slow, l.slowUntil = m.Factor, until
		case wire.FaultLoss:
			l.loss, l.lossUntil = m.Factor, until
			for s := range l.conns {
				if r.r.Float64() < m.Factor {
					r.lost.Add(1)
					s.reset()
				}
			}
		}
	}
}

// link is the one to a region; the lock is held.
func (r *relay) link(other string) *link {
	l := r.links[other]
	if l == nil {
		l = &link{conns: make(map[*splice]bool)}
		r.links[other] = l
	}
	return l
}

func (r *relay) listen(public, listen string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, there := r.listeners[public]; there {
		r.targets[public] = listen
		return nil
	}
	ln, err := net.Listen("tcp4", public)
	if err != nil {
		return err
	}
	r.listeners[public], r.targets[public] = ln, listen
	go r.serve(ln, public)
	return nil
}

func (r *relay) unlisten(public string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ln := r.listeners[public]; ln != nil {
		ln.Close()
		delete(r.listeners, public)
		delete(r.targets, public)
	}
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ln := range r.listeners {
		ln.Close()
	}
}

func (r *relay) serve(ln net.Listener, public string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go r.connect(c.(*net.TCPConn), public)
	}
}

// connect brings a connection to its target. Behind a cut it waits: whoever gives it up
// meanwhile is not heard of later.
func (r *relay) connect(c *net.TCPConn, public string) {
	from := c.RemoteAddr().(*net.TCPAddr).IP
	r.mu.Lock()
	other, known := r.of[from.String()]
	target := r.targets[public]
	loss := r.loss
	var l *link
	if known && other != r.region {
		l = r.link(other)
		if wire.Now() < l.lossUntil {
			loss = l.loss
		}
	} else {
		loss = 0
	}
	lost := loss > 0 && r.r.Float64() < loss
	r.mu.Unlock()
	if !known {
		r.unknown.Add(1)
	}
	r.opened.Add(1)
	if lost {
		r.lost.Add(1)
		_ = c.SetLinger(0)
		c.Close()
		return
	}
	s := &splice{r: r, l: l, delay: r.delay[other]}
	if l == nil {
		s.delay = 0
	}
	// The connection's own round trip.
	for at := wire.Now() + 2*s.span(); ; {
		if until := s.heldUntil(); until > at {
			at = until
		}
		wait := at - wire.Now()
		if wait <= 0 {
			break
		}
		if gone(c, time.Duration(min(wait, 100_000))*time.Microsecond) {
			c.Close()
			return
		}
	}
	by := net.Dialer{Timeout: dialFor, LocalAddr: &net.TCPAddr{IP: from}, Control: func(_, _ string, raw syscall.RawConn) error {
		// The port is chosen when the target is known: an IP may have as many
		// connections to each target as there are ports.
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
		})
	}}
	t, err := by.Dial("tcp4", target)
	if err != nil {
		r.refused.Add(1)
		_ = c.SetLinger(0)
		c.Close()
		return
	}
	s.a, s.b = c, t.(*net.TCPConn)
	if l != nil {
		r.mu.Lock()
		l.conns[s] = true
		r.mu.Unlock()
	}
	s.run()
}

// gone waits and reports whether the other side has closed the connection meanwhile.
// What it sent stays to be read.
func gone(c *net.TCPConn, wait time.Duration) bool {
	time.Sleep(wait)
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, _ := unix.Poll(fds, 0); n > 0 {
			closed = fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	})
	return closed || err != nil
}

// splice is a connection and the one that goes on from it.
type splice struct {
	r     *relay
	l     *link // nil: within the region
	delay int64
	a, b  *net.TCPConn
}

// span is how long a packet takes now.
func (s *splice) span() int64 {
	if s.l == nil {
		return 0
	}
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	d := float64(s.delay)
	if wire.Now() < s.l.slowUntil {
		d *= s.l.slow
	}
	return int64(d * (1 - s.r.jitter + 2*s.r.jitter*s.r.r.Float64()))
}

// heldUntil is when a packet that is sent now may be delivered, if the link is cut.
func (s *splice) heldUntil() int64 {
	if s.l == nil {
		return 0
	}
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	return s.l.cutUntil
}

func (s *splice) reset() {
	for _, c := range []*net.TCPConn{s.a, s.b} {
		_ = c.SetLinger(0)
		c.Close()
	}
}

func (s *splice) run() {
	var both sync.WaitGroup
	both.Go(func() { s.flow(s.a, s.b) })
	both.Go(func() { s.flow(s.b, s.a) })
	both.Wait()
	if s.l != nil {
		s.r.mu.Lock()
		delete(s.l.conns, s)
		s.r.mu.Unlock()
	}
	s.a.Close()
	s.b.Close()
}

// chunk is what was read at once. Without bytes it is the end of the stream.
type chunk struct {
	at   int64
	data []byte
}

// direction is a half of a connection: chunks in order, each delivered at its time, or
// when the cut is over.
type direction struct {
	s     *splice
	to    *net.TCPConn
	mu    sync.Mutex
	room  *sync.Cond
	queue []chunk
	held  int
	busy  bool // somebody delivers
	last  int64
	over  bool
	done  chan struct{}
}

// flow carries bytes from one connection to the other until both ends of it are over.
func (s *splice) flow(from, to *net.TCPConn) {
	d := &direction{s: s, to: to, done: make(chan struct{})}
	d.room = sync.NewCond(&d.mu)
	raw, err := from.SyscallConn()
	if err != nil {
		return
	}
	for {
		var data []byte
		var rerr error
		// The buffer is taken only once there is something to read.
		err := raw.Read(func(fd uintptr) bool {
			buf := s.r.buffers.Get().(*[block]byte)
			n, e := unix.Read(int(fd), buf[:])
			for e == unix.EINTR {
				n, e = unix.Read(int(fd), buf[:])
			}
			if n > 0 {
				data = append([]byte(nil), buf[:n]...)
			}
			s.r.buffers.Put(buf)
			if e == unix.EAGAIN {
				return false
			}
			rerr = e
			return true
		})
		if err != nil || rerr != nil {
			// It was reset: so is the other side, but not before what was on its way.
			d.put(nil)
			break
		}
		s.r.bytes.Add(int64(len(data)))
		if !d.put(data) || len(data) == 0 {
			break
		}
	}
	<-d.done
}

// put queues a chunk, and waits while too much is held. It reports whether the other
// side still takes anything.
func (d *direction) put(data []byte) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.held > mostHeld && !d.over {
		d.room.Wait()
	}
	if d.over {
		return false
	}
	d.last = max(d.last, wire.Now()+d.s.span())
	d.queue = append(d.queue, chunk{d.last, data})
	d.held += len(data)
	if !d.busy {
		d.busy = true
		go d.deliver()
	}
	return true
}

// deliver hands chunks on until there are none.
func (d *direction) deliver() {
	for {
		d.mu.Lock()
		if len(d.queue) == 0 {
			d.busy = false
			d.queue = nil
			d.mu.Unlock()
			return
		}
		c := d.queue[0]
		d.mu.Unlock()
		for {
			until := max(c.at, d.s.heldUntil())
			wait := until - wire.Now()
			if wait <= 0 {
				break
			}
			time.Sleep(time.Duration(min(wait, 200_000)) * time.Microsecond)
		}
		var err error
		if len(c.data) == 0 {
			_ = d.to.CloseWrite()
		} else {
			_, err = d.to.Write(c.data)
		}
		d.mu.Lock()
		d.queue = d.queue[1:]
		d.held -= len(c.data)
		ended := len(c.data) == 0 || err != nil
		if ended {
			d.over, d.queue, d.busy = true, nil, false
			close(d.done)
		}
		d.room.Broadcast()
		d.mu.Unlock()
		if ended {
			if err != nil {
				d.s.reset() // nobody is there any more: the sender hears of it
			}
			return
		}
	}
}

// report says once a second what was carried.
func (r *relay) report(over chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		began := time.Now()
		select {
		case <-over:
			return
		case <-tick.C:
		}
		late := max(0, time.Since(began)-time.Second)
		r.mu.Lock()
		open := 0
		for _, l := range r.links {
			open += len(l.conns)
		}
		v := map[string]float64{
			"listeners": float64(len(r.listeners)), "links_open": float64(open), "bytes": float64(r.bytes.Load()), "opened": float64(r.opened.Load()),
			"lost": float64(r.lost.Load()), "refused": float64(r.refused.Load()), "unknown": float64(r.unknown.Load()), "lag_ms_max": late.Seconds() * 1000,
		}
		r.mu.Unlock()
		if r.pipe.Out.Send(&wire.Message{Kind: wire.Gauge, Name: r.pipe.Config.Part, At: wire.Now(), Values: v}) != nil {
			return
		}
	}
}
