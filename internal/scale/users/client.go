package users

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"mapleslip/internal/oddform"
	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/wire"
	"mapleslip/internal/transport"
)

// regionClient is the client of the users of a region, with their load balancer and connections.
type regionClient struct {
	load      *load
	region    string
	source    net.IP
	addresses []string // of the controllers
	mu        sync.Mutex
	balancer  *balancer
	idle      []*conn
	open      map[*conn]bool
}

type conn struct {
	net.Conn
	backend   int
	requests  int
	idleSince int64
}

// acquire returns an idle connection, or opens one to a backend that the balancer picks. It
// returns nil if no backend accepts a connection, or at the deadline with too many open.
func (rc *regionClient) acquire(deadline int64) *conn {
	rc.mu.Lock()
	for n := len(rc.idle); n > 0; n = len(rc.idle) {
		c := rc.idle[n-1]
		rc.idle = rc.idle[:n-1]
		if wire.Now()-c.idleSince < idleTimeout && rc.open[c] {
			rc.mu.Unlock()
			return c
		}
		rc.closeConn(c)
	}
	rc.mu.Unlock()
	for {
		rc.mu.Lock()
		crowded := len(rc.open)*len(rc.load.clients) >= rc.load.plan.MaxConnections
		rc.mu.Unlock()
		if !crowded {
			break
		}
		rc.load.count("crowded")
		time.Sleep(connLimitDelay * time.Microsecond)
		if wire.Now() > deadline {
			return nil
		}
	}
	var tried []int
	for range maxConnectAttempts {
		rc.mu.Lock()
		i := rc.balancer.pick(tried, wire.Now())
		rc.mu.Unlock()
		if i < 0 {
			return nil
		}
		tried = append(tried, i)
		dialer := net.Dialer{Timeout: connectTimeout * time.Microsecond}
		if rc.source != nil {
			dialer.LocalAddr = &net.TCPAddr{IP: rc.source}
		}
		c, err := dialer.Dial("tcp4", rc.addresses[i])
		rc.mu.Lock()
		rc.balancer.recordConnect(i, err == nil, wire.Now())
		if err == nil {
			opened := &conn{Conn: c, backend: i}
			rc.open[opened] = true
			rc.mu.Unlock()
			return opened
		}
		rc.mu.Unlock()
	}
	return nil
}

// closeConn closes a connection. The caller holds the lock.
func (rc *regionClient) closeConn(c *conn) {
	if rc.open[c] {
		delete(rc.open, c)
		rc.balancer.recordClose(c.backend)
	}
	c.Close()
}

func (rc *regionClient) call(method, path string, body []byte, timeout int64) (a answer) {
	deadline := wire.Now() + timeout
	c := rc.acquire(deadline)
	if c == nil {
		return a
	}
	_ = c.SetDeadline(time.Now().Add(time.Duration(deadline-wire.Now()) * time.Microsecond))
	parts := oddform.Request(method, rc.addresses[c.backend], path, body, rc.load.form())
	a, keep, in, out := roundTrip(c, parts, rc.load.halfCloses())
	rc.load.mu.Lock()
	rc.load.counts["bytes_in"] += float64(in)
	rc.load.counts["bytes_out"] += float64(out)
	rc.load.mu.Unlock()
	c.requests++
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if !keep || c.requests >= maxRequestsPerConn || !rc.open[c] {
		rc.closeConn(c)
		return a
	}
	c.idleSince = wire.Now()
	rc.idle = append(rc.idle, c)
	return a
}

// roundTrip sends the parts of a request on a connection and reads the response. With halfClose, it closes
// the sending side before it reads.
func roundTrip(c *conn, parts [][]byte, halfClose bool) (a answer, keep bool, in, out int) {
	for _, part := range parts {
		n, err := c.Write(part)
		if out += n; err != nil {
			return a, false, 0, out
		}
	}
	if halfClose {
		if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
			return a, false, 0, out
		}
	}
	buf := make([]byte, 0, 1024)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, rerr := c.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		r, used, err := transport.ParseResponse(buf, rerr != nil)
		if err != nil || used == 0 && rerr != nil || len(buf) > transport.MaxBody*2 {
			return a, false, len(buf), out
		}
		if used == 0 {
			continue
		}
		a.status, a.body = r.Status, r.Body
		a.phase = protocol.TextMember(r.Body, "phase")
		a.retryAfter = retryAfter(buf[:used-len(r.Body)])
		return a, rerr == nil && used == len(buf) && !r.Close && !halfClose, len(buf), out
	}
}

// retryAfter returns the delay in the Retry-After header of a response, microseconds. It is at
// most an hour.
func retryAfter(head []byte) int64 {
	for line := range strings.SplitSeq(string(head), "\r\n") {
		if name, v, ok := strings.Cut(line, ":"); ok && strings.EqualFold(name, "Retry-After") {
			n, _ := strconv.ParseInt(strings.TrimSpace(v), 10, 64)
			return max(0, min(n, 3600)) * second
		}
	}
	return 0
}

// probe checks the health of a controller about once a second.
func (rc *regionClient) probe(i int, stop chan struct{}) {
	dialer := transport.Dialer{MaxOpen: 1, MaxPer: 1}
	if a, ok := sourceAddr(rc.source); ok {
		dialer.Source = a
	}
	payload := transport.AppendRequest(nil, "GET", rc.addresses[i], "/healthz", nil)
	for {
		status := 0
		start := wire.Now()
		err := dialer.Do(rc.addresses[i], payload, probeTimeout*time.Microsecond, func(buf []byte, eof bool) (int, bool, error) {
			r, used, err := transport.ParseResponse(buf, eof)
			if err != nil || used == 0 {
				return 0, false, err
			}
			status = r.Status
			return used, false, nil
		})
		rc.mu.Lock()
		rc.balancer.recordProbe(i, err == nil && status == 200, wire.Now())
		rc.mu.Unlock()
		rc.load.count("probes")
		wait := time.Duration(max(second/10, start+rc.load.jitter(probeInterval)-wire.Now())) * time.Microsecond
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
	}
}

// sweepConns closes connections of backends that have been unhealthy for long, and those that
// have been idle for long.
func (rc *regionClient) sweepConns(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		rc.mu.Lock()
		now := wire.Now()
		for c := range rc.open {
			if rc.balancer.shouldReset(c.backend, now) {
				rc.closeConn(c) // a request on it fails at once
			}
		}
		kept := rc.idle[:0]
		for _, c := range rc.idle {
			switch {
			case !rc.open[c]:
			case now-c.idleSince >= idleTimeout:
				rc.closeConn(c)
			default:
				kept = append(kept, c)
			}
		}
		rc.idle = kept
		rc.mu.Unlock()
	}
}

func sourceAddr(ip net.IP) (netip.Addr, bool) {
	a, ok := netip.AddrFromSlice(ip.To4())
	return a, ok
}
