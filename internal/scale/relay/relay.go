// Package relay simulates the links between regions in a scale run. Connections to the
// addresses of a region pass through the region's process, which delays their data, holds it
// while a link is cut, and resets some connections. All connections use loopback addresses.
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
	// maxBuffered is how many bytes a direction buffers before it reads no more from the
	// sender: about what socket buffers contain while a link is cut.
	maxBuffered = 1 << 20
	dialTimeout = 2 * time.Second
	bufferSize  = 32 << 10
)

// relay contains the links of a region to the others.
type relay struct {
	pipe   *ipc.Pipe
	region string
	delay  map[string]int64 // one-way delay by the other region, microseconds
	log    *slog.Logger

	mu         sync.Mutex
	regionByIP map[string]string // region by source IP
	listeners  map[string]net.Listener
	targets    map[string]string // listening address by public address
	links      map[string]*link  // by the other region
	lossShare  float64
	jitter     float64
	rng        *rand.Rand
	buffers    sync.Pool

	bytes, opened, lost, refused, unknown atomic.Int64
}

// link is the link between this region and another one.
type link struct {
	cutUntil    int64 // data is held until this time
	delayUntil  int64 // delays are multiplied by delayFactor until this time
	delayFactor float64
	lossUntil   int64 // lossShare of the connections is reset until this time
	lossShare   float64
	conns       map[*splice]bool
}

// Run runs the part with wire.RoleRelay: the links of a region.
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
		pipe: p, region: c.Region, delay: c.Delay, log: log, regionByIP: make(map[string]string), listeners: make(map[string]net.Listener),
		targets: make(map[string]string), links: make(map[string]*link), lossShare: c.Loss, jitter: c.Jitter, rng: rand.New(rand.NewPCG(p.Config.Seed, 0x11e)),
	}
	r.buffers.New = func() any { return new([bufferSize]byte) }
	for ip, region := range c.Of {
		r.regionByIP[ip] = region
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
	stop := make(chan struct{})
	go r.sendGauges(stop)
	for m := range p.In {
		r.handleMessage(m)
	}
	close(stop)
	r.close()
	return nil
}

// handleMessage handles a message from the supervisor: a machine is added, machines are
// removed, or a fault begins.
func (r *relay) handleMessage(m *wire.Message) {
	switch {
	case m.Kind == wire.Boot && m.Machine != nil:
		r.mu.Lock()
		r.regionByIP[m.Machine.Source] = m.Machine.Region
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
		r.injectFault(m)
	}
}

// injectFault begins a fault. The supervisor sends each fault to all relays, and each relay
// applies it to its own links.
func (r *relay) injectFault(m *wire.Message) {
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
			l.delayFactor, l.delayUntil = m.Factor, until
		case wire.FaultLoss:
			l.lossShare, l.lossUntil = m.Factor, until
			for s := range l.conns {
				if r.rng.Float64() < m.Factor {
					r.lost.Add(1)
					s.reset()
				}
			}
		}
	}
}

// link returns the link to a region and creates it if needed. The caller holds the lock.
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
	if _, exists := r.listeners[public]; exists {
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

// connect connects an accepted connection to its target. While the link is cut it waits. If the
// client closes the connection meanwhile, no connection to the target is made.
func (r *relay) connect(c *net.TCPConn, public string) {
	s, target, lost := r.newSplice(c, public)
	r.opened.Add(1)
	if lost {
		r.lost.Add(1)
		reset(c)
		return
	}
	if !s.awaitHandshake(c) {
		c.Close()
		return
	}
	from := c.RemoteAddr().(*net.TCPAddr).IP
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: from}, Control: bindWithoutPort}
	targetConn, err := dialer.Dial("tcp4", target)
	if err != nil {
		r.refused.Add(1)
		reset(c)
		return
	}
	s.client, s.target = c, targetConn.(*net.TCPConn)
	if s.link != nil {
		r.mu.Lock()
		s.link.conns[s] = true
		r.mu.Unlock()
	}
	s.run()
}

// newSplice returns the splice for an accepted connection, the address of its target, and whether
// the connection is lost on its link.
func (r *relay) newSplice(c *net.TCPConn, public string) (s *splice, target string, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	other, known := r.regionByIP[c.RemoteAddr().(*net.TCPAddr).IP.String()]
	s = &splice{relay: r}
	if !known {
		r.unknown.Add(1)
	}
	if !known || other == r.region {
		return s, r.targets[public], false
	}
	s.link, s.delay = r.link(other), r.delay[other]
	lossShare := r.lossShare
	if wire.Now() < s.link.lossUntil {
		lossShare = s.link.lossShare
	}
	return s, r.targets[public], lossShare > 0 && r.rng.Float64() < lossShare
}

// awaitHandshake delays a connection by one round trip, as a handshake over the link would, and while
// the link is cut. It reports whether the client has kept the connection open.
func (s *splice) awaitHandshake(c *net.TCPConn) bool {
	for at := wire.Now() + 2*s.packetDelay(); ; {
		at = max(at, s.heldUntil())
		wait := at - wire.Now()
		if wait <= 0 {
			return true
		}
		if closedAfter(c, time.Duration(min(wait, 100_000))*time.Microsecond) {
			return false
		}
	}
}

// reset closes a connection so that its client sees a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}

// bindWithoutPort makes the kernel choose the source port when the target is known. An IP can then
// have as many connections to each target as there are ports.
func bindWithoutPort(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
}

// closedAfter waits and reports whether the peer has closed the connection by then. It does not
// read what the peer has sent.
func closedAfter(c *net.TCPConn, wait time.Duration) bool {
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

// splice is an accepted connection of a client and the connection to its target.
type splice struct {
	relay          *relay
	link           *link // nil within the region
	delay          int64
	client, target *net.TCPConn
}

// packetDelay returns the delay of a packet that is sent now, in microseconds.
func (s *splice) packetDelay() int64 {
	if s.link == nil {
		return 0
	}
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	d := float64(s.delay)
	if wire.Now() < s.link.delayUntil {
		d *= s.link.delayFactor
	}
	return int64(d * (1 - s.relay.jitter + 2*s.relay.jitter*s.relay.rng.Float64()))
}

// heldUntil returns the time until which a cut of the link holds packets.
func (s *splice) heldUntil() int64 {
	if s.link == nil {
		return 0
	}
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	return s.link.cutUntil
}

func (s *splice) reset() {
	for _, c := range []*net.TCPConn{s.client, s.target} {
		_ = c.SetLinger(0)
		c.Close()
	}
}

func (s *splice) run() {
	var directions sync.WaitGroup
	directions.Go(func() { s.forward(s.client, s.target) })
	directions.Go(func() { s.forward(s.target, s.client) })
	directions.Wait()
	if s.link != nil {
		s.relay.mu.Lock()
		delete(s.link.conns, s)
		s.relay.mu.Unlock()
	}
	s.client.Close()
	s.target.Close()
}

// chunk is the data of one read. A chunk without data marks the end of the stream.
type chunk struct {
	deliverAt int64
	data      []byte
}

// direction is one direction of a splice. It delivers chunks in order, each at its time, or
// when a cut ends.
type direction struct {
	s             *splice
	to            *net.TCPConn
	mu            sync.Mutex
	spaceFreed    *sync.Cond
	queue         []chunk
	buffered      int
	delivering    bool // a goroutine runs deliver
	lastDeliverAt int64
	closed        bool
	done          chan struct{}
}

// forward copies bytes from one connection to the other. It returns when the end of the stream
// has been delivered or a write has failed.
func (s *splice) forward(from, to *net.TCPConn) {
	d := &direction{s: s, to: to, done: make(chan struct{})}
	d.spaceFreed = sync.NewCond(&d.mu)
	raw, err := from.SyscallConn()
	if err != nil {
		return
	}
	for {
		var data []byte
		var rerr error
		// A buffer is taken for each read only, so that idle connections have none.
		err := raw.Read(func(fd uintptr) bool {
			buf := s.relay.buffers.Get().(*[bufferSize]byte)
			n, e := unix.Read(int(fd), buf[:])
			for e == unix.EINTR {
				n, e = unix.Read(int(fd), buf[:])
			}
			if n > 0 {
				data = append([]byte(nil), buf[:n]...)
			}
			s.relay.buffers.Put(buf)
			if e == unix.EAGAIN {
				return false
			}
			rerr = e
			return true
		})
		if err != nil || rerr != nil {
			// The connection was reset. The data on its way is delivered before the end of
			// the stream.
			d.enqueue(nil)
			break
		}
		s.relay.bytes.Add(int64(len(data)))
		if !d.enqueue(data) || len(data) == 0 {
			break
		}
	}
	<-d.done
}

// enqueue queues a chunk. It waits while too many bytes are buffered, and reports whether the
// receiver still accepts data.
func (d *direction) enqueue(data []byte) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.buffered > maxBuffered && !d.closed {
		d.spaceFreed.Wait()
	}
	if d.closed {
		return false
	}
	d.lastDeliverAt = max(d.lastDeliverAt, wire.Now()+d.s.packetDelay())
	d.queue = append(d.queue, chunk{d.lastDeliverAt, data})
	d.buffered += len(data)
	if !d.delivering {
		d.delivering = true
		go d.deliver()
	}
	return true
}

// deliver writes queued chunks to the receiver until the queue is empty.
func (d *direction) deliver() {
	for {
		d.mu.Lock()
		if len(d.queue) == 0 {
			d.delivering = false
			d.queue = nil
			d.mu.Unlock()
			return
		}
		c := d.queue[0]
		d.mu.Unlock()
		for {
			until := max(c.deliverAt, d.s.heldUntil())
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
		d.buffered -= len(c.data)
		ended := len(c.data) == 0 || err != nil
		if ended {
			d.closed, d.queue, d.delivering = true, nil, false
			close(d.done)
		}
		d.spaceFreed.Broadcast()
		d.mu.Unlock()
		if ended {
			if err != nil {
				d.s.reset() // the receiver is gone, so the sender's connection is reset
			}
			return
		}
	}
}

// sendGauges reports the traffic to the supervisor once a second.
func (r *relay) sendGauges(stop chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		tickStart := time.Now()
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		late := max(0, time.Since(tickStart)-time.Second)
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
