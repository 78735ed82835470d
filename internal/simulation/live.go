package simulation

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// Live serves the stand-ins of a World on real connections, on loopback: the state
// service, the cloud, a worker for each machine on an address of its own, and an
// address for each instance of a service. The controllers are processes; how the
// stand-ins behave is the World's, as it is in simulated time.
type Live struct {
	mu      sync.Mutex // the World is its holder's
	w       *World
	began   time.Time
	names   []string // of the controllers
	clients []string // their addresses for workers
	network string
	calls   http.Client
	servers map[string]*http.Server // by address
	ips     map[string]string       // of machines
	failed  error
}

// LiveSettings say where a Live is.
type LiveSettings struct {
	State, Cloud string
	Names        []string // of the controllers
	Clients      []string // their addresses, as Names
	Network      string   // two bytes of the machines' addresses, "127.77."
	Platform     protocol.Platform
	Types        []*protocol.MachineType
}

// StartLive serves the stand-ins until the context ends. An address that can't be
// bound is an error, and nothing is left listening.
func StartLive(ctx context.Context, s LiveSettings) (*Live, error) {
	l := &Live{w: NewWorld(0), began: time.Now(), names: s.Names, clients: s.Clients, network: s.Network, calls: http.Client{Timeout: 4 * time.Second}, servers: make(map[string]*http.Server), ips: make(map[string]string)}
	l.w.Platform, l.w.Types, l.w.quiet, l.w.live = s.Platform, s.Types, true, l
	l.w.listLag = protocol.Second
	context.AfterFunc(ctx, l.close)
	for _, a := range []struct {
		what, addr string
		serve      func(method, target string, body []byte, answer func(int, string))
	}{{"state service", s.State, l.w.store.serve}, {"cloud", s.Cloud, func(method, target string, body []byte, answer func(int, string)) {
		answer(l.w.serveCloud(method, target, body))
	}}} {
		if err := l.listen(a.addr, l.handler(a.serve)); err != nil {
			l.close()
			return nil, fmt.Errorf("stand-in of the %s: %w", a.what, err)
		}
	}
	l.w.Start()
	go l.pump(ctx)
	return l, nil
}

// pump lets the World's time pass as the clock's.
func (l *Live) pump(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		l.w.Run(micros(time.Since(l.began) / time.Microsecond))
		l.workers()
		l.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// handler serves requests by a function of the World's.
func (l *Live) handler(serve func(method, target string, body []byte, answer func(int, string))) http.HandlerFunc {
	type result struct {
		status int
		body   string
	}
	return func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
		if err != nil {
			return
		}
		done := make(chan result, 1)
		l.mu.Lock()
		serve(r.Method, r.URL.RequestURI(), body, func(status int, text string) {
			select {
			case done <- result{status, text}:
			default:
			}
		})
		l.mu.Unlock()
		select {
		case a := <-done:
			rw.Header().Set("Content-Type", "application/json")
			rw.WriteHeader(a.status)
			_, _ = io.WriteString(rw, a.body)
		case <-r.Context().Done():
		}
	}
}

func (l *Live) listen(addr string, h http.Handler) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	l.servers[addr] = s
	go func() { _ = s.Serve(ln) }()
	return nil
}

func (l *Live) stop(addr string) {
	if s := l.servers[addr]; s != nil {
		delete(l.servers, addr)
		go s.Close()
	}
}

func (l *Live) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for addr, s := range l.servers {
		delete(l.servers, addr)
		s.Close()
	}
}

// ipOf gives each machine an address of its own.
func (l *Live) ipOf(m *machine) string {
	ip := l.ips[m.name]
	if ip == "" {
		n := len(l.ips) + 1
		ip = l.network + strconv.Itoa(n>>8) + "." + strconv.Itoa(n&255)
		l.ips[m.name] = ip
	}
	return ip
}

// workers opens and closes the addresses of workers as machines come and go.
func (l *Live) workers() {
	up := make(map[string]bool)
	for _, m := range l.w.sortedMachines() {
		addr := l.w.workerAddr(m)
		if m.phase != "running" {
			continue
		}
		up[addr] = true
		l.openWorker(m)
	}
	for addr := range l.servers {
		if strings.HasPrefix(addr, l.network) && strings.HasSuffix(addr, ":9000") && !up[addr] {
			l.stop(addr)
		}
	}
}

// openWorker opens a worker's address. It is open before the first report leaves, since
// whoever reads that may call it at once.
func (l *Live) openWorker(m *machine) {
	addr := l.w.workerAddr(m)
	if l.servers[addr] != nil {
		return
	}
	err := l.listen(addr, l.handler(func(method, target string, body []byte, answer func(int, string)) {
		l.w.callWorker(m, controller.Call{Path: target, Body: body}, answer)
	}))
	if err != nil && l.failed == nil {
		l.failed = fmt.Errorf("stand-in of worker %s: %w", m.name, err)
	}
}

// hello carries a worker's report to a controller.
func (l *Live) hello(node int, body string, answer func(int, []byte)) {
	addr := l.clients[node%len(l.clients)]
	go func() {
		status, resp := 0, []byte(nil)
		if got, err := l.calls.Post("http://"+addr+"/hello", "application/json", strings.NewReader(body)); err == nil {
			defer got.Body.Close()
			if resp, err = io.ReadAll(got.Body); err == nil {
				status = got.StatusCode
			}
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		answer(status, resp)
	}()
}

func (l *Live) instance(m *machine, t *runningTask) string {
	return l.ipOf(m) + ":" + strconv.Itoa(instancePort(t.job.spec.Ref, t.index))
}

// run has a service's instance answer its checks.
func (l *Live) run(m *machine, t *runningTask) {
	err := l.listen(l.instance(m, t), http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		status := l.w.answersCheck(t)
		l.mu.Unlock()
		if status == 0 {
			<-r.Context().Done() // it hangs
			return
		}
		rw.WriteHeader(status)
	}))
	if err != nil && l.failed == nil {
		l.failed = fmt.Errorf("stand-in of an instance: %w", err)
	}
}

func (l *Live) leave(m *machine, t *runningTask) {
	if t.job.spec.Kind == protocol.Service {
		l.stop(l.instance(m, t))
	}
}

// Err is what went wrong with the stand-ins themselves, or a rule that was broken.
func (l *Live) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed == nil && len(l.w.Broken) > 0 {
		return fmt.Errorf("rule broken: %s", l.w.Broken[0])
	}
	return l.failed
}

// Leader is the controller that the state service's record names, "": none.
func (l *Live) Leader() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.w.store.keys[records.KeyLeader]
	if e == nil {
		return ""
	}
	lead, err := records.DecodeLeader([]byte(e.value))
	if err != nil {
		return ""
	}
	return lead.Controller
}

// Behave says what the instances of an image do from now on: passes, fails, hangs,
// flaps or crashes, once they have run for so long.
func (l *Live) Behave(image, what string, after protocol.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.w.behaviours[image] = behaviour{what, after}
}

// Healthy counts the instances of images that run and would pass a check now.
func (l *Live) Healthy(images ...string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.w.sortedMachines() {
		for _, t := range m.sorted() {
			for _, image := range images {
				if t.on && t.state == "running" && t.job.spec.Image == image && l.w.answersCheck(t) == 200 {
					n++
				}
			}
		}
	}
	return n
}

// Machines counts the machines that are rented.
func (l *Live) Machines() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.w.machines)
}
