// Package fakes serves fakes of the state service and of the cloud over HTTP, on
// real sockets, with the limits that the platform's settings publish.
package fakes

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/httpconn"
	"mapleslip/internal/scale/ipc"
	"mapleslip/internal/scale/wire"
	"mapleslip/internal/simulation"
	"mapleslip/internal/transport"
)

// Run is the role of the stand-ins. Config.State and Config.Cloud are listening addresses,
// each may be several with commas between them.
func Run(in io.Reader, out io.Writer, log *slog.Logger) error {
	p, err := ipc.Open(in, out)
	if err != nil {
		return err
	}
	if p.Platform == nil {
		return p.Ready(errors.New("the platform's settings are missing"))
	}
	s := newState(p.Config, p.Platform, p.Note)
	c := newCloud(p.Config, p.Platform, wire.Now, func(m *wire.Message) { _ = p.Out.Send(m) })
	defer s.close()
	defer c.close()
	if err := p.Ready(errors.Join(s.listen(p.Config.State), c.listen(p.Config.Cloud))); err != nil {
		return err
	}
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	gauge := time.NewTicker(time.Second)
	defer gauge.Stop()
	due := wire.Now()
	var lag int64
	for {
		select {
		case m, open := <-p.In:
			if !open {
				return nil
			}
			s.order(m)
			c.order(m)
		case <-tick.C:
			now := wire.Now()
			lag = max(lag, now-due)
			due = now + 50_000
			s.tick()
			c.tick(now)
		case <-gauge.C:
			v := s.gauge()
			maps.Copy(v, c.gauge())
			v["lag_ms_max"] = float64(max(lag, wire.Now()-due)) / 1000
			lag = 0
			if err := p.Out.Send(&wire.Message{Kind: wire.Gauge, Name: p.Config.Part, At: wire.Now(), Values: v}); err != nil {
				return err
			}
		}
	}
}

// endpoint is a service's sockets and what it counts.
type endpoint struct {
	servers []*httpconn.Server
	open    atomic.Int64
	traffic httpconn.Traffic
	watch   httpconn.Traffic

	mu       sync.Mutex // of the service's state too
	requests map[string]int
}

func (e *endpoint) listen(addrs string, h httpconn.Handler) error {
	for addr := range strings.SplitSeq(addrs, ",") {
		server, err := httpconn.Listen(strings.TrimSpace(addr), &e.open, h)
		if err != nil {
			return err
		}
		e.servers = append(e.servers, server)
	}
	return nil
}

func (e *endpoint) close() {
	for _, s := range e.servers {
		s.Close()
	}
}

// counted notes an answer.
func (e *endpoint) counted(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests["status_"+strconv.Itoa(status)]++
}

func (e *endpoint) fill(v map[string]float64, name string) {
	for k, n := range e.requests {
		v[name+"_"+k] = float64(n)
	}
	v[name+"_requests"] = float64(e.traffic.Messages.Load() + e.watch.Messages.Load())
	v[name+"_in_bytes"] = float64(e.traffic.In.Load() + e.watch.In.Load())
	v[name+"_out_bytes"] = float64(e.traffic.Out.Load() + e.watch.Out.Load())
	v[name+"_connections"] = float64(e.open.Load())
}

// latency is how long a service takes for an answer: half of the nominal value to one and
// a half of it; one answer in a thousand takes twenty times as long.
func latency(nominal int64) time.Duration {
	d := time.Duration(float64(nominal)*(0.5+rand.Float64())) * time.Microsecond
	if rand.IntN(1000) == 0 {
		d *= 20
	}
	return d
}

// state serves the state service.
type state struct {
	endpoint
	store   *simulation.StateService
	latency int64
	refused map[string]int64 // until when who is answered 503, by address; "": all
	slow    float64
	slowTo  int64
}

func newState(c *wire.Config, p *protocol.Platform, note func(string, ...any)) *state {
	s := &state{latency: c.LatencyUS, refused: make(map[string]int64), slow: 1}
	s.requests = make(map[string]int)
	s.store = simulation.NewStateService(p, func() protocol.Micros { return protocol.Micros(wire.Now()) }, note)
	return s
}

func (s *state) listen(addrs string) error {
	if err := s.endpoint.listen(addrs, s.handle); err != nil {
		return fmt.Errorf("state service: %w", err)
	}
	return nil
}

// handle answers a request. It is carried out after half of the latency.
func (s *state) handle(c *httpconn.Conn, r *transport.Request) (int, []byte) {
	c.Traffic = &s.traffic
	target := r.Path
	if r.Query != "" {
		target += "?" + r.Query
	}
	follow := r.Path == "/follow"
	if follow {
		c.Traffic = &s.watch
	}
	s.mu.Lock()
	wait := latency(s.latency)
	if s.slow != 1 && wire.Now() < s.slowTo {
		wait = time.Duration(float64(wait) * s.slow)
	}
	s.mu.Unlock()
	time.Sleep(wait / 2)
	type result struct {
		status int
		body   string
	}
	done := make(chan result, 1)
	s.mu.Lock()
	if s.refuses(c) {
		done <- result{503, `{"error":"trouble"}`}
	} else {
		s.store.Serve(r.Method, target, r.Body, func(status int, body string) { done <- result{status, body} })
	}
	s.mu.Unlock()
	a := <-done
	for follow && a.status == 200 && s.holds(c) {
		time.Sleep(20 * time.Millisecond) // an open watch waits as in an outage
	}
	time.Sleep(wait / 2)
	s.counted(a.status)
	return a.status, []byte(a.body)
}

// refuses reports whether a connection is answered 503 now.
func (s *state) refuses(c net.Conn) bool {
	now := wire.Now()
	remote, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return now < s.refused[remote] || now < s.refused[c.LocalAddr().String()]
}

func (s *state) holds(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuses(c)
}

func (s *state) order(m *wire.Message) {
	if m.Kind != wire.Fault {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	until := wire.Now() + m.For
	switch m.Text {
	case wire.FaultRefuse:
		if len(m.Names) == 0 {
			s.refused[""] = until
			s.store.SetDown(true)
		}
		for _, n := range m.Names {
			s.refused[n] = until
		}
	case wire.FaultSlow:
		s.slow, s.slowTo = m.Factor, until
	}
}

func (s *state) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until, down := s.refused[""]; down && wire.Now() >= until {
		delete(s.refused, "")
		s.store.SetDown(false)
	}
	s.store.Tick()
}

func (s *state) gauge() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.store.Size()
	v := map[string]float64{
		"state_keys": float64(n.Keys), "state_bytes": float64(n.Bytes), "state_leases": float64(n.Leases),
		"state_watches": float64(n.Watches), "state_writes": float64(n.Written), "state_revision": float64(n.Revision),
	}
	s.fill(v, "state")
	v["state_watch_in_bytes"], v["state_watch_out_bytes"] = float64(s.watch.In.Load()), float64(s.watch.Out.Load())
	return v
}
