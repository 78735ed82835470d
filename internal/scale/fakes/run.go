// Package fakes serves fakes of the state service and of the cloud over HTTP, on real
// sockets, with the limits from the platform's settings.
package fakes

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mapleslip/internal/duplicate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/httpconn"
	"mapleslip/internal/scale/ipc"
	"mapleslip/internal/scale/wire"
	"mapleslip/internal/simulation"
	"mapleslip/internal/transport"
)

// Run runs the part that serves the fake state service and cloud (wire.RoleStandins).
// Config.State and Config.Cloud are lists of listening addresses, separated by commas.
func Run(in io.Reader, out io.Writer, log *slog.Logger) error {
	p, err := ipc.Open(in, out)
	if err != nil {
		return err
	}
	if p.Platform == nil {
		return p.Ready(errors.New("the platform's settings are missing"))
	}
	s := newState(p.Config, p.Platform, p.Malformed)
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
			s.handleMessage(m)
			c.handleMessage(m)
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

// endpoint has the sockets and counters of a service.
type endpoint struct {
	servers      []*httpconn.Server
	open         atomic.Int64     // open connections
	traffic      httpconn.Traffic // of all requests but watches
	watchTraffic httpconn.Traffic // of watch requests

	mu       sync.Mutex     // also guards the state of the service
	requests map[string]int // number of answers, by "status_" and the status
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

// countAnswer counts an answer by its status.
func (e *endpoint) countAnswer(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests["status_"+strconv.Itoa(status)]++
}

// addGauges adds the values of the endpoint to v. The caller holds the lock.
func (e *endpoint) addGauges(v map[string]float64, name string) {
	for k, n := range e.requests {
		v[name+"_"+k] = float64(n)
	}
	v[name+"_requests"] = float64(e.traffic.Messages.Load() + e.watchTraffic.Messages.Load())
	v[name+"_in_bytes"] = float64(e.traffic.In.Load() + e.watchTraffic.In.Load())
	v[name+"_out_bytes"] = float64(e.traffic.Out.Load() + e.watchTraffic.Out.Load())
	v[name+"_connections"] = float64(e.open.Load())
}

// latency returns a random response time: 0.5 to 1.5 times the nominal value, for one answer
// in a thousand twenty times as long. The nominal value is in microseconds.
func latency(nominal int64) time.Duration {
	d := time.Duration(float64(nominal)*(0.5+rand.Float64())) * time.Microsecond
	if rand.IntN(1000) == 0 {
		d *= 20
	}
	return d
}

// state is a fake of the state service.
type state struct {
	endpoint
	store   *simulation.StateService
	latency int64 // nominal response time, microseconds
	// refusedUntil is the time until which requests get 503, by IP of the client or address of the
	// server; "" is for all requests.
	refusedUntil map[string]int64
	duplicates   duplicate.Sequence
	slowFactor   float64 // factor of the latency until slowUntil
	slowUntil    int64
}

func newState(c *wire.Config, p *protocol.Platform, malformed func(string, ...any)) *state {
	s := &state{latency: c.LatencyUS, refusedUntil: make(map[string]int64), slowFactor: 1}
	s.requests = make(map[string]int)
	s.store = simulation.NewStateService(p, func() protocol.Micros { return protocol.Micros(wire.Now()) }, malformed)
	return s
}

func (s *state) listen(addrs string) error {
	if err := s.endpoint.listen(addrs, s.handle); err != nil {
		return fmt.Errorf("state service: %w", err)
	}
	return nil
}

// handle answers a request. The store executes it after half of the latency; the answer is
// sent after the other half.
func (s *state) handle(c *httpconn.Conn, r *transport.Request) (int, []byte) {
	c.Traffic = &s.traffic
	target := r.Path
	if r.Query != "" {
		target += "?" + r.Query
	}
	isWatch := r.Path == "/follow"
	if isWatch {
		c.Traffic = &s.watchTraffic
	}
	s.mu.Lock()
	wait := latency(s.latency)
	if s.slowFactor != 1 && wire.Now() < s.slowUntil {
		wait = time.Duration(float64(wait) * s.slowFactor)
	}
	s.mu.Unlock()
	time.Sleep(wait / 2)
	type result struct {
		status int
		body   string
	}
	done := make(chan result, 1)
	s.mu.Lock()
	if s.refusesLocked(c) {
		done <- result{503, `{"error":"trouble"}`}
	} else {
		s.store.Serve(r.Method, target, r.Body, func(status int, body string) { done <- result{status, body} })
	}
	s.mu.Unlock()
	if r.Method != http.MethodGet {
		s.receiveCopyLater(c, r.Method, target, bytes.Clone(r.Body))
	}
	a := <-done
	for isWatch && a.status == 200 && s.refuses(c) {
		time.Sleep(20 * time.Millisecond) // during an outage, an open watch isn't answered
	}
	time.Sleep(wait / 2)
	s.countAnswer(a.status)
	return a.status, []byte(a.body)
}

// receiveCopyLater carries out a copy of a request later, unless the sender is refused then.
func (s *state) receiveCopyLater(c net.Conn, method, target string, body []byte) {
	time.AfterFunc(time.Duration(s.duplicates.Next())*time.Microsecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.refusesLocked(c) {
			s.store.ServeCopy(method, target, body)
		}
	})
}

// refusesLocked reports whether requests of a connection get 503 now. The caller holds the lock.
func (s *state) refusesLocked(c net.Conn) bool {
	now := wire.Now()
	remote, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return now < s.refusedUntil[remote] || now < s.refusedUntil[c.LocalAddr().String()]
}

// refuses is refusesLocked for callers that don't hold the lock.
func (s *state) refuses(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusesLocked(c)
}

// handleMessage handles a message of the supervisor.
func (s *state) handleMessage(m *wire.Message) {
	if m.Kind != wire.Fault {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	until := wire.Now() + m.For
	switch m.Text {
	case wire.FaultRefuse:
		if len(m.Names) == 0 {
			s.refusedUntil[""] = until
			s.store.SetDown(true)
		}
		for _, n := range m.Names {
			s.refusedUntil[n] = until
		}
	case wire.FaultSlow:
		s.slowFactor, s.slowUntil = m.Factor, until
	}
}

func (s *state) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until, down := s.refusedUntil[""]; down && wire.Now() >= until {
		delete(s.refusedUntil, "")
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
	s.addGauges(v, "state")
	v["state_watch_in_bytes"], v["state_watch_out_bytes"] = float64(s.watchTraffic.In.Load()), float64(s.watchTraffic.Out.Load())
	return v
}
