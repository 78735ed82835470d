package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// worker is a machine with its worker, as the page describes it. Its state is guarded by world.mu.
type worker struct {
	w        *world
	name     string
	typ      *machineType
	zone     string
	spot     bool
	kind     string
	addr     string
	listener net.Listener
	rentedAt time.Time
	up, gone bool
	deleted  bool
	hung     bool

	tenure, tick, epoch uint64
	renewedAt           time.Time // when the last answered report was sent, or the session began
	node                int
	tasks               map[string]*task
	images              map[string]bool
	changed             bool
	failing             bool // the machine fails every task that it starts

	// deafTo and muteTo: answers of these nodes are lost, or the worker can't reach them.
	deafTo, muteTo map[int]bool
	// hold holds a direct command up before it is executed; it gets no answer then.
	hold func(body []byte) time.Duration
	wake chan struct{}
}

type task struct {
	job        string
	index      int
	try        uint64
	phase      string
	reason     string
	saved      bool
	imageAt    time.Time
	waitSince  time.Time
	runAt      time.Time
	stopAt     time.Time // when a stop lets it exit
	fails      bool
	doneBefore bool
}

func (t *task) name() string { return t.job + "/" + strconv.Itoa(t.index) }
func (t *task) key() string  { return t.name() + "#" + strconv.FormatUint(t.try, 10) }
func (t *task) onMachine() bool {
	return t.phase == "waiting" || t.phase == "running" || t.phase == "saving"
}

func newWorker(w *world, name string, t *machineType, zone string, spot bool) *worker {
	return &worker{
		w: w, name: name, typ: t, zone: zone, spot: spot, rentedAt: time.Now(), tenure: 1, node: rand.Intn(len(w.nodes)),
		tasks: map[string]*task{}, images: map[string]bool{}, deafTo: map[int]bool{}, muteTo: map[int]bool{}, wake: make(chan struct{}, 1),
	}
}

func (k *worker) boot() {
	time.Sleep(k.typ.realBoot)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	fatal(err)
	k.w.mu.Lock()
	if k.gone {
		k.w.mu.Unlock()
		l.Close()
		return
	}
	k.listener, k.addr, k.up, k.renewedAt = l, l.Addr().String(), true, time.Now()
	k.w.mu.Unlock()
	go http.Serve(l, http.HandlerFunc(k.serve))
	go k.run()
	k.reports()
}

// run advances the tasks and checks the lease.
func (k *worker) run() {
	for range time.Tick(20 * time.Millisecond) {
		k.w.mu.Lock()
		if k.gone {
			k.w.mu.Unlock()
			return
		}
		if !k.hung {
			k.advance()
		}
		k.w.mu.Unlock()
	}
}

func (k *worker) advance() {
	now, w := time.Now(), k.w
	if now.Sub(k.renewedAt).Seconds() > w.leaseS {
		for _, t := range k.tasks {
			if t.onMachine() {
				w.ended(k, t, "the lease expired")
			}
		}
		k.tasks = map[string]*task{}
		k.tenure++
		k.tick = 0
		k.renewedAt = now
		logf("worker %s: lease expired, session %d begins", k.name, k.tenure)
		k.change()
	}
	for _, t := range k.tasks {
		k.advanceTask(t, now)
	}
}

func (k *worker) advanceTask(t *task, now time.Time) {
	w := k.w
	j := w.jobs[t.job]
	s := j.spec
	switch t.phase {
	case "fetching":
		if now.After(t.imageAt) {
			k.images[s.Bundle] = true
			if s.Shape == "ensemble" && s.Shards > 1 {
				t.phase, t.waitSince = "waiting", now
				g := j.gang[t.try]
				if g == nil {
					g = &gang{ready: map[int]*task{}}
					j.gang[t.try] = g
				}
				g.ready[t.index] = t
			} else {
				t.phase, t.runAt = "running", now
			}
			w.started(k, t)
			k.change()
		}
	case "waiting":
		g := j.gang[t.try]
		n := 0
		for _, o := range g.ready {
			if o.phase == "waiting" || o.phase == "running" {
				n++
			}
		}
		if n == s.Shards || !g.started.IsZero() {
			if g.started.IsZero() {
				g.started = now
			}
			t.phase, t.runAt = "running", now
			k.change()
		} else if now.Sub(t.waitSince).Seconds() > w.gangWaitS {
			k.exit(t, "incomplete")
		}
	case "running":
		if (t.fails || k.failing) && now.Sub(t.runAt) > max(w.failAfter, 200*time.Millisecond) {
			j.failures++
			k.exit(t, "error")
			return
		}
		if s.Shape != "daemon" && (now.Sub(t.runAt).Seconds() >= s.runS || t.doneBefore) {
			j.complete[t.index] = true
			if s.Shape == "ensemble" {
				for i := range s.Shards {
					j.complete[i] = true
				}
			}
			k.exit(t, "done")
		}
	case "saving":
		if now.After(t.stopAt) {
			t.saved = true
			k.exit(t, "stopped")
		}
	}
}

func (k *worker) exit(t *task, reason string) {
	if t.onMachine() {
		k.w.ended(k, t, reason)
	}
	t.phase, t.reason = "exited", reason
	k.change()
}

func (k *worker) change() {
	k.changed = true
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// report returns the worker's report. It raises the tick.
func (k *worker) report() []byte {
	k.tick++
	list := []any{}
	for _, key := range sortedKeys(k.tasks) {
		t := k.tasks[key]
		e := map[string]any{"shard": t.name(), "try": t.try, "phase": t.phase}
		if t.phase == "exited" {
			e["exitReason"] = t.reason
			if t.saved {
				e["saved"] = true
			}
		}
		list = append(list, e)
	}
	b, _ := json.Marshal(map[string]any{"host": k.name, "addr": k.addr, "flavor": k.typ.name, "region": k.zone, "reclaimable": k.spot,
		"tenure": k.tenure, "tick": k.tick, "epoch": k.epoch, "reclaimInS": nil, "shards": list})
	return b
}

// reports sends reports to one node at a time.
func (k *worker) reports() {
	w := k.w
	transports := map[int]*http.Client{}
	var last time.Time
	next := time.Now()
	for {
		select {
		case <-k.wake:
			if at := last.Add(500 * time.Millisecond); at.Before(next) {
				next = at
			}
			time.Sleep(10 * time.Millisecond)
		case <-time.After(time.Until(next)):
		}
		if time.Now().Before(next) {
			continue
		}
		w.mu.Lock()
		if k.gone {
			w.mu.Unlock()
			return
		}
		if k.hung {
			w.mu.Unlock()
			next = time.Now().Add(100 * time.Millisecond)
			continue
		}
		body, tenure, sentAt, n := k.report(), k.tenure, time.Now(), k.node
		mute, deaf := k.muteTo[n], k.deafTo[n]
		k.changed = false
		w.mu.Unlock()
		last = sentAt
		next = sentAt.Add(time.Duration(w.reportS * (0.75 + rand.Float64()/2) * float64(time.Second)))
		code, out := 0, []byte(nil)
		if mute {
			time.Sleep(time.Second)
		} else {
			c := transports[n]
			if c == nil {
				c = &http.Client{Transport: &http.Transport{}}
				transports[n] = c
			}
			code, out = k.send(c, n, body)
		}
		w.mu.Lock()
		for k.hung && !k.gone {
			w.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			w.mu.Lock()
		}
		if deaf || time.Since(sentAt) > 4*time.Second {
			code = 0
		}
		switch {
		case code == 200:
			if k.tenure == tenure {
				k.execute(out, sentAt, true)
			}
		case code == 421:
			var in struct{ Leader string }
			json.Unmarshal(out, &in)
			to := -1
			for i, nd := range w.nodes {
				if nd.name == in.Leader {
					to = i
				}
			}
			if to >= 0 && to != n {
				k.node = to
				next = time.Now().Add(time.Duration(rand.Intn(500)) * time.Millisecond)
			} else {
				k.node = (n + 1) % len(w.nodes)
				next = time.Now().Add(time.Second)
			}
		default:
			k.node = (n + 1) % len(w.nodes)
			next = time.Now().Add(time.Second)
		}
		w.mu.Unlock()
	}
}

func (k *worker) send(c *http.Client, n int, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, "POST", "http://"+k.w.nodes[n].worker+"/hello", bytes.NewReader(body))
	res, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	out, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, out
}

type orders struct {
	Epoch  *uint64 `json:"epoch"`
	Tenure *uint64 `json:"tenure"`
	Orders []struct {
		Verb   string  `json:"verb"`
		Shard  string  `json:"shard"`
		Try    uint64  `json:"try"`
		DrainS float64 `json:"drainS"`
	} `json:"orders"`
}

// execute executes a message with orders and reports whether it was accepted. w.mu is held.
func (k *worker) execute(body []byte, sentAt time.Time, renews bool) bool {
	var in orders
	if json.Unmarshal(body, &in) != nil || in.Epoch == nil || *in.Epoch < k.epoch {
		return false
	}
	if *in.Epoch > k.epoch {
		k.epoch = *in.Epoch
		k.change()
	}
	if renews && sentAt.After(k.renewedAt) {
		k.renewedAt = sentAt
	}
	for _, o := range in.Orders {
		logf("worker %s: %s %s try %d (token %d, direct %v)", k.name, o.Verb, o.Shard, o.Try, *in.Epoch, !renews)
		ref, index, _ := strings.Cut(o.Shard, "/")
		n, _ := strconv.Atoi(index)
		key := o.Shard + "#" + strconv.FormatUint(o.Try, 10)
		t := k.tasks[key]
		switch o.Verb {
		case "launch":
			if t == nil {
				k.launch(ref, n, o.Try)
			}
		case "stop":
			if t != nil && t.phase != "exited" {
				s := k.w.jobs[ref].spec
				if t.phase == "running" && s.SnapshotEveryS > 0 && o.DrainS >= s.SnapshotS {
					t.phase, t.stopAt = "saving", time.Now().Add(time.Duration(s.SnapshotS*float64(time.Second)))
					k.change()
				} else if t.phase != "saving" || o.DrainS == 0 {
					k.exit(t, "stopped")
				}
			}
		case "forget":
			if t != nil && t.phase == "exited" {
				delete(k.tasks, key)
				k.change()
			}
		}
	}
	return true
}

func (k *worker) launch(ref string, index int, try uint64) {
	w := k.w
	t := &task{job: ref, index: index, try: try, phase: "fetching"}
	k.tasks[t.key()] = t
	k.change()
	j := w.jobs[ref]
	if j == nil || index >= j.spec.Shards {
		t.phase, t.reason = "exited", "no_such"
		return
	}
	s := j.spec
	free := [3]float64{k.typ.cores, k.typ.gpus, k.typ.memory}
	for _, o := range k.tasks {
		if o == t || o.phase == "exited" {
			continue
		}
		if o.name() == t.name() {
			t.phase, t.reason = "exited", "busy"
			return
		}
		os := w.jobs[o.job].spec
		free = [3]float64{free[0] - os.Cores, free[1] - os.Gpus, free[2] - os.MemoryGb}
	}
	if s.Cores > free[0]+1e-9 || s.Gpus > free[1]+1e-9 || s.MemoryGb > free[2]+1e-9 {
		t.phase, t.reason = "exited", "full"
		return
	}
	fetch := time.Duration(0)
	if !k.images[s.Bundle] {
		fetch = time.Duration(s.SizeGb / k.typ.fetch * float64(time.Second))
	}
	t.imageAt = time.Now().Add(fetch)
	t.doneBefore = j.complete[index]
	if s.fails != nil {
		t.fails = s.fails(j.starts)
	}
}

// serve handles direct commands.
func (k *worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	k.w.mu.Lock()
	hold := k.hold
	k.w.mu.Unlock()
	if hold != nil && r.URL.Path == "/commands" {
		if d := hold(body); d > 0 {
			logf("network: a direct command to %s is held up for %v: %s", k.name, d, body)
			time.AfterFunc(d, func() {
				k.w.mu.Lock()
				defer k.w.mu.Unlock()
				if !k.gone {
					logf("network: the held command arrives at %s: %v", k.name, k.command(body))
				}
			})
			<-r.Context().Done()
			return
		}
	}
	k.w.mu.Lock()
	for k.hung && !k.gone {
		k.w.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		k.w.mu.Lock()
	}
	defer k.w.mu.Unlock()
	if k.gone {
		return
	}
	if r.URL.Path == "/status" {
		answer(rw, 200, json.RawMessage(k.report()))
		return
	}
	answer(rw, k.command(body), json.RawMessage(k.report()))
}

// command executes a direct command and returns the status. w.mu is held.
func (k *worker) command(body []byte) int {
	var in orders
	if json.Unmarshal(body, &in) != nil || in.Epoch == nil || in.Tenure == nil {
		return 400
	}
	if *in.Epoch < k.epoch || *in.Tenure != k.tenure || !k.execute(body, time.Time{}, false) {
		return 409
	}
	return 200
}

// fits reports whether a machine has room for a task of a job. w.mu is held.
func (k *worker) fits(s *spec) bool {
	free := [3]float64{k.typ.cores, k.typ.gpus, k.typ.memory}
	for _, t := range k.tasks {
		if t.phase != "exited" {
			o := k.w.jobs[t.job].spec
			free = [3]float64{free[0] - o.Cores, free[1] - o.Gpus, free[2] - o.MemoryGb}
		}
	}
	return s.Cores <= free[0] && s.Gpus <= free[1] && s.MemoryGb <= free[2]
}
