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

// Live serves the fakes of a World over real connections on loopback: the state service, the
// cloud, a worker for each machine on an address of its own, and an address for each instance
// of a service. The controllers are processes. The fakes behave as in simulated time, because
// the World's code answers for them.
type Live struct {
	mu         sync.Mutex // held while the World is used
	w          *World
	startTime  time.Time
	names      []string // of the controllers
	clients    []string // addresses of the controllers for workers, as names
	network    string   // prefix of the machines' addresses, see LiveSettings
	httpClient http.Client
	servers    map[string]*http.Server // by address
	machineIPs map[string]string       // by machine
	firstErr   error                   // the first address that could not be opened
}

// LiveSettings has the addresses, the platform's settings and the machine types of a Live.
type LiveSettings struct {
	State, Cloud string   // addresses of the state service and the cloud
	Names        []string // names of the controllers
	Clients      []string // addresses of the controllers for workers, in the order of Names
	Network      string   // first two bytes of the machines' addresses, such as "127.77."
	Platform     protocol.Platform
	Types        []*protocol.MachineType
}

// StartLive serves the fakes until the context ends. If an address can't be bound, it returns an
// error and closes all listeners.
func StartLive(ctx context.Context, s LiveSettings) (*Live, error) {
	l := &Live{w: NewWorld(0), startTime: time.Now(), names: s.Names, clients: s.Clients, network: s.Network, httpClient: http.Client{Timeout: 4 * time.Second}, servers: make(map[string]*http.Server), machineIPs: make(map[string]string)}
	l.w.Platform, l.w.Types, l.w.quiet, l.w.live = s.Platform, s.Types, true, l
	l.w.listLag = protocol.Second
	l.w.copies.mixed = true
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
	go l.advanceTime(ctx)
	return l, nil
}

// advanceTime runs the World in step with the real clock until the context ends.
func (l *Live) advanceTime(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		l.w.Run(micros(time.Since(l.startTime) / time.Microsecond))
		l.updateWorkers()
		l.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// handler answers HTTP requests with a function of the World.
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
		if r.Method != http.MethodGet {
			l.copyRequest(func() { serve(r.Method, r.URL.RequestURI(), body, func(int, string) {}) })
		}
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

// copyRequest carries out a copy of a request later. The caller holds the lock, as does the World
// when it carries out the copy.
func (l *Live) copyRequest(serve func()) {
	if delay, ok := l.w.copies.next(); ok {
		l.w.after(delay, serve)
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

// ipOf returns the machine's IP address. Each machine gets one of its own at the first call.
func (l *Live) ipOf(m *machine) string {
	ip := l.machineIPs[m.name]
	if ip == "" {
		n := len(l.machineIPs) + 1
		ip = l.network + strconv.Itoa(n>>8) + "." + strconv.Itoa(n&255)
		l.machineIPs[m.name] = ip
	}
	return ip
}

// updateWorkers opens the addresses of workers on running machines and closes those of others.
func (l *Live) updateWorkers() {
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

// openWorker opens a worker's address. This is done before the first report is sent, since a
// controller that gets the report may call the worker at once.
func (l *Live) openWorker(m *machine) {
	addr := l.w.workerAddr(m)
	if l.servers[addr] != nil {
		return
	}
	err := l.listen(addr, l.handler(func(method, target string, body []byte, answer func(int, string)) {
		l.w.callWorker(m, controller.Call{Path: target, Body: body}, answer)
	}))
	if err != nil && l.firstErr == nil {
		l.firstErr = fmt.Errorf("stand-in of worker %s: %w", m.name, err)
	}
}

// sendHeartbeat sends a worker's heartbeat to a controller. answer gets status 0 if there is no
// answer.
func (l *Live) sendHeartbeat(node int, body string, answer func(int, []byte)) {
	addr := l.clients[node%len(l.clients)]
	go func() {
		status, resp := 0, []byte(nil)
		if got, err := l.httpClient.Post("http://"+addr+"/hello", "application/json", strings.NewReader(body)); err == nil {
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

// startInstance opens the address at which a service's instance answers health checks.
func (l *Live) startInstance(m *machine, t *runningTask) {
	err := l.listen(l.instance(m, t), http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		status := l.w.healthStatus(t)
		l.mu.Unlock()
		if status == 0 {
			<-r.Context().Done() // the instance hangs: no answer
			return
		}
		rw.WriteHeader(status)
	}))
	if err != nil && l.firstErr == nil {
		l.firstErr = fmt.Errorf("stand-in of an instance: %w", err)
	}
}

func (l *Live) stopInstance(m *machine, t *runningTask) {
	if t.job.spec.Kind == protocol.Service {
		l.stop(l.instance(m, t))
	}
}

// Err returns the first error of the fakes themselves, or else the first broken rule, or nil.
func (l *Live) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstErr == nil && len(l.w.Broken) > 0 {
		return fmt.Errorf("rule broken: %s", l.w.Broken[0])
	}
	return l.firstErr
}

// Leader returns the name of the leader in the state service's record, or "" if there is none.
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

// Behave sets what the instances of an image do from now on, once they have run for the time
// after: what is passes, fails, hangs, flaps or crashes.
func (l *Live) Behave(image, what string, after protocol.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.w.behaviours[image] = behaviour{what, after}
}

// Healthy counts the running instances of the images that would pass a health check now.
func (l *Live) Healthy(images ...string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.w.sortedMachines() {
		for _, t := range m.sorted() {
			for _, image := range images {
				if t.onMachine && t.state == "running" && t.job.spec.Image == image && l.w.healthStatus(t) == 200 {
					n++
				}
			}
		}
	}
	return n
}

// Machines counts the rented machines.
func (l *Live) Machines() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.w.machines)
}
