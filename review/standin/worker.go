package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is the worker of one machine, as the protocol page describes it.
type worker struct {
	w    *world
	m    *machine
	addr string
	l    net.Listener
	http *http.Client

	mu       sync.Mutex
	ended    bool
	tenure   uint64
	tick     uint64
	epoch    uint64
	began    time.Time // of the session
	answered time.Time // when the last answered report was sent
	tasks    map[attempt]*task
	order    []*task
	images   map[string]time.Time // when each image is there
	dirty    chan struct{}
	failing  bool          // every task that it starts fails
	hung     chan struct{} // not nil while the machine hangs; closed when it goes on
	sent     [][]byte      // its reports
	fetch    float64       // GB per second, within a third of the type's rate
	refused  int           // reports of the current session that got another status than 200 and 421
	expired  int           // sessions that ended
	lost     int           // tasks killed with them
	largest  int           // bytes of its largest report
}

type attempt struct {
	shard string
	try   uint64
}

type task struct {
	attempt
	job    *job
	phase  string
	why    string
	saved  bool
	killed bool
}

type order struct {
	Verb   string
	Shard  string
	Try    uint64
	DrainS float64
}

type orders struct {
	Epoch  *uint64
	Tenure *uint64
	Orders []order
}

func newWorker(w *world, m *machine) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	k := &worker{w: w, m: m, addr: l.Addr().String(), l: l, tenure: 1, began: time.Now(), tasks: map[attempt]*task{}, images: map[string]time.Time{},
		fetch: m.typ.fetch * w.set.fetchFactor, dirty: make(chan struct{}, 1), http: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
	go func() { _ = http.Serve(l, http.HandlerFunc(k.handle)) }()
	go k.reports()
	go k.watchLease()
	w.logf("worker %s: up at %s", m.name, k.addr)
	return k
}

func (k *worker) stop(why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return
	}
	k.ended = true
	k.killAll(why)
	k.l.Close()
}

// killAll ends and forgets all tasks.
func (k *worker) killAll(why string) {
	n := 0
	for _, t := range k.order {
		if t.phase != "exited" {
			n++
			k.w.taskEnds(k, t, "killed")
		}
		t.killed = true
	}
	k.lost += n
	k.tasks, k.order = map[attempt]*task{}, nil
	k.w.logf("worker %s: %s, %d tasks are killed", k.m.name, why, n)
}

func (k *worker) changed() {
	select {
	case k.dirty <- struct{}{}:
	default:
	}
}

// hang makes the machine hang: it executes nothing and answers nothing.
func (k *worker) hang() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hung = make(chan struct{})
	k.w.logf("TROUBLE machine %s hangs, tasks on it: %s", k.m.name, k.describe())
}

// goOn makes a hanging machine go on.
func (k *worker) goOn() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.hung)
	k.hung = nil
	k.w.logf("TROUBLE machine %s goes on, tasks on it: %s", k.m.name, k.describe())
}

// lastReport returns the last report that it sent in a session and that contains a text, or nil.
func (k *worker) lastReport(text string, tenure int) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := len(k.sent) - 1; i >= 0; i-- {
		if s := string(k.sent[i]); strings.Contains(s, text) && strings.Contains(s, fmt.Sprintf(`"tenure":%d,`, tenure)) {
			return k.sent[i]
		}
	}
	return nil
}

// setFetch sets the rate at which the machine fetches images, as a factor of its type's.
func (k *worker) setFetch(factor float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fetch = k.m.typ.fetch * factor
}

// runs reports whether a task runs on the machine.
func (k *worker) runs(shard string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range k.order {
		if t.shard == shard && t.phase == "running" {
			return true
		}
	}
	return false
}

// describe lists the tasks on the machine. The caller holds the lock.
func (k *worker) describe() string {
	text := fmt.Sprintf("session %d, token %d:", k.tenure, k.epoch)
	for _, t := range k.order {
		text += fmt.Sprintf(" %s try %d %s %s;", t.shard, t.try, t.phase, t.why)
	}
	return text
}

// awaitRunning returns with the lock held once the machine does not hang.
func (k *worker) awaitRunning() {
	for {
		k.mu.Lock()
		hung := k.hung
		if hung == nil || k.ended {
			return
		}
		k.mu.Unlock()
		<-hung
	}
}

func (k *worker) watchLease() {
	for range time.Tick(50 * time.Millisecond) {
		k.awaitRunning()
		if k.ended {
			k.mu.Unlock()
			return
		}
		last := k.began
		if k.answered.After(last) {
			last = k.answered
		}
		if time.Since(last).Seconds() > k.w.set.lease {
			k.expired++
			k.killAll(fmt.Sprintf("lease of session %d has expired after %.0f s (%d reports were refused with a status other than 421)", k.tenure, k.w.set.lease, k.refused))
			k.tenure++
			k.refused = 0
			k.began = time.Now()
			k.changed()
		}
		k.mu.Unlock()
	}
}

// report makes a report with all tasks. The caller holds the lock.
func (k *worker) report() []byte {
	k.tick++
	shards := make([]obj, 0, len(k.order))
	for _, t := range k.order {
		o := obj{"shard": t.shard, "try": t.try, "phase": t.phase}
		if t.phase == "exited" {
			o["exitReason"] = t.why
			if t.saved {
				o["saved"] = true
			}
		}
		shards = append(shards, o)
	}
	b, _ := json.Marshal(obj{"host": k.m.name, "addr": k.addr, "flavor": k.m.typ.label, "region": k.m.zone, "reclaimable": k.m.spot,
		"tenure": k.tenure, "tick": k.tick, "epoch": k.epoch, "reclaimInS": nil, "shards": shards})
	k.largest = max(k.largest, len(b))
	return b
}

func (k *worker) reports() {
	node := rand.IntN(len(k.w.nodes))
	for {
		k.awaitRunning()
		if k.ended {
			k.mu.Unlock()
			return
		}
		tenure, sent := k.tenure, time.Now()
		select {
		case <-k.dirty:
		default:
		}
		body := k.report()
		k.sent = append(k.sent, body)
		n := len(k.order)
		k.mu.Unlock()
		status, answer, err := post(k.http, "http://"+k.w.nodes[node].client+"/hello", body)
		next := -1
		pause := time.Second
		switch {
		case err == nil && status == 200:
			k.onAnswer(tenure, sent, answer)
			next = node
		case err == nil && status == 421:
			var in struct{ Leader string }
			_ = json.Unmarshal(answer, &in)
			for i, nd := range k.w.nodes {
				if nd.name == in.Leader && i != node {
					next, pause = i, time.Duration(rand.IntN(500))*time.Millisecond
				}
			}
			k.http.CloseIdleConnections()
		default:
			if err == nil {
				k.mu.Lock()
				k.refused++
				k.mu.Unlock()
			}
		}
		k.w.logf("worker %s: report to %s, %d bytes, %d tasks%s -> %s", k.m.name, k.w.nodes[node].name, len(body), n, fewTasks(body, n), outcome(status, answer, err))
		if next < 0 {
			node = (node + 1) % len(k.w.nodes)
		} else {
			node = next
		}
		if err == nil && status == 200 {
			wait := time.Duration(k.w.set.report * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
			time.Sleep(max(0, 500*time.Millisecond-time.Since(sent)))
			select {
			case <-k.dirty:
			case <-time.After(max(0, wait-time.Since(sent))):
			}
			continue
		}
		time.Sleep(pause)
	}
}

func (k *worker) onAnswer(tenure uint64, sent time.Time, answer []byte) {
	var in orders
	k.awaitRunning()
	defer k.mu.Unlock()
	if json.Unmarshal(answer, &in) != nil || in.Epoch == nil || *in.Epoch < k.epoch || tenure != k.tenure || time.Since(sent) > 4*time.Second {
		return
	}
	if sent.After(k.answered) {
		k.answered = sent
	}
	k.adopt(*in.Epoch)
	k.execute(in.Orders)
}

func (k *worker) adopt(epoch uint64) {
	if epoch > k.epoch {
		k.epoch = epoch
		k.changed()
	}
}

func (k *worker) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	k.awaitRunning()
	defer k.mu.Unlock()
	if k.ended {
		return
	}
	status := 200
	if r.URL.Path == "/commands" {
		var in orders
		switch {
		case json.Unmarshal(body, &in) != nil || in.Epoch == nil || in.Tenure == nil:
			answer(w, 400, obj{"error": "malformed"})
			return
		case *in.Epoch < k.epoch || *in.Tenure != k.tenure:
			status = 409
		default:
			k.adopt(*in.Epoch)
			k.execute(in.Orders)
		}
	}
	b := k.report()
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (k *worker) execute(list []order) {
	for i, o := range list {
		if len(list) <= 20 || i == 0 {
			k.w.logf("worker %s: command %s %s try %d (session %d, token %d)", k.m.name, o.Verb, o.Shard, o.Try, k.tenure, k.epoch)
		}
		if len(list) > 20 && i == 0 {
			k.w.logf("worker %s: and %d more commands", k.m.name, len(list)-1)
		}
		id := attempt{o.Shard, o.Try}
		t := k.tasks[id]
		switch o.Verb {
		case "launch":
			if t == nil {
				k.launch(id)
			}
		case "stop":
			if t != nil && t.phase != "exited" {
				k.exit(t, "stopped")
			}
		case "forget":
			if t != nil && t.phase == "exited" {
				delete(k.tasks, id)
				for i, other := range k.order {
					if other == t {
						k.order = append(k.order[:i:i], k.order[i+1:]...)
						break
					}
				}
				k.changed()
			}
		}
	}
}

func (k *worker) exit(t *task, why string) {
	k.w.taskEnds(k, t, why)
	t.phase, t.why = "exited", why
	k.changed()
}

func (k *worker) launch(id attempt) {
	t := &task{attempt: id, phase: "fetching", job: k.w.job(id.shard)}
	k.tasks[id] = t
	busy := false
	for _, o := range k.order {
		busy = busy || o.phase != "exited" && o.shard == id.shard
	}
	cores, gpus, memory := k.used()
	k.order = append(k.order, t)
	k.changed()
	const slack = 1e-6
	switch j := t.job; {
	case j == nil:
		t.phase, t.why = "exited", "no_such"
	case busy:
		t.phase, t.why = "exited", "busy"
	case cores+j.Cores > k.m.typ.cores+slack || gpus+j.Gpus > k.m.typ.gpus+slack || memory+j.MemoryGb > k.m.typ.memory+slack:
		t.phase, t.why = "exited", "full"
	default:
		ready, ok := k.images[j.Bundle]
		if !ok {
			ready = time.Now().Add(time.Duration(j.SizeGb / k.fetch * float64(time.Second)))
			k.images[j.Bundle] = ready
		}
		k.after(time.Until(ready), t, k.begin)
	}
}

// used returns the resources that tasks take. The caller holds the lock.
func (k *worker) used() (cores, gpus, memory float64) {
	for _, o := range k.order {
		if o.phase != "exited" {
			cores, gpus, memory = cores+o.job.Cores, gpus+o.job.Gpus, memory+o.job.MemoryGb
		}
	}
	return cores, gpus, memory
}

// after calls f with the lock held unless the task has ended by then.
func (k *worker) after(d time.Duration, t *task, f func(*task)) {
	time.AfterFunc(d, func() {
		k.awaitRunning()
		defer k.mu.Unlock()
		if !t.killed && t.phase != "exited" {
			f(t)
		}
	})
}

// begin is called when the image of a task is there.
func (k *worker) begin(t *task) {
	k.w.taskBegins(k, t)
	if k.failing {
		k.exit(t, "error")
		return
	}
	if t.job.Shape == "ensemble" {
		t.phase = "waiting"
		k.changed()
		k.after(time.Duration(k.w.set.gangWait*float64(time.Second)), t, func(t *task) {
			if t.phase == "waiting" {
				k.exit(t, "incomplete")
			}
		})
		go k.w.gangMember(k, t)
		return
	}
	k.run(t)
}

func (k *worker) run(t *task) {
	t.phase = "running"
	k.changed()
	if t.job.Shape == "daemon" {
		return
	}
	k.after(time.Duration(t.job.RunS*float64(time.Second)), t, func(t *task) { k.exit(t, "done") })
}

// post sends a request and reads the answer.
func post(c *http.Client, url string, body []byte) (int, []byte, error) {
	r, err := c.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return r.StatusCode, b, err
}

func short(b []byte) string {
	if len(b) > 160 {
		b = b[:160]
	}
	return string(b)
}

// fewTasks is the list of tasks of a report with at most three tasks.
func fewTasks(body []byte, n int) string {
	if n == 0 || n > 3 {
		return ""
	}
	return " " + string(body)
}

func outcome(status int, answer []byte, err error) string {
	if err != nil {
		return "no answer"
	}
	return fmt.Sprintf("%d %s", status, short(answer))
}
