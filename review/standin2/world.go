package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

var began = time.Now()

var record struct {
	mu   sync.Mutex
	file *os.File
}

// logf writes a line to record.txt, with the seconds since the start.
func logf(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	if record.file != nil {
		record.file.WriteString(line)
	}
	if os.Getenv("VERBOSE") != "" {
		os.Stderr.WriteString(line)
	}
}

// fatal ends the case as one that couldn't run.
func fatal(err error) {
	if err != nil {
		logf("couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "couldn't run:", err)
		killAll()
		os.Exit(2)
	}
}

// spec is a submission.
type spec struct {
	Ref            string   `json:"ref"`
	Jobclass       string   `json:"jobclass"`
	Owner          string   `json:"owner"`
	Shape          string   `json:"shape"`
	Rank           string   `json:"rank"`
	Shards         int      `json:"shards"`
	Cores          float64  `json:"cores"`
	Gpus           float64  `json:"gpus"`
	MemoryGb       float64  `json:"memoryGb"`
	Bundle         string   `json:"bundle"`
	SizeGb         float64  `json:"sizeGb"`
	Flavors        []string `json:"flavors"`
	Region         *string  `json:"region"`
	SamePlace      bool     `json:"samePlace"`
	Apart          bool     `json:"apart"`
	Reclaimable    bool     `json:"reclaimable"`
	ExpectS        float64  `json:"expectS"`
	SnapshotEveryS float64  `json:"snapshotEveryS"`
	SnapshotS      float64  `json:"snapshotS"`
	DueS           *float64 `json:"dueS"`

	runS  float64          // how long a task really runs
	fails func(n int) bool // whether the n-th start of a task fails
}

// job is what the users and the checker know about a job.
type job struct {
	spec      *spec
	accepted  time.Time
	cancelled time.Time        // when the user was told
	asked     time.Time        // when the user first asked to cancel it
	done      time.Time        // when the user was told
	complete  map[int]bool     // tasks whose result is kept
	on        map[int][]string // workers that have the task, by task
	starts    int
	failures  int
	running   map[int]string
	gang      map[uint64]*gang
}

type gang struct {
	ready   map[int]*task
	started time.Time
	broken  time.Time
}

type machineType struct {
	name         string
	cores, gpus  float64
	memory       float64
	cache, fetch float64
	price, spot  float64
	bootS        float64
	zones        []string
	realBoot     time.Duration
}

type team struct {
	name          string
	cpus, cpusMax float64
	gpus, gpusMax float64
}

// world is the deployment: the stand-ins, the controllers and what the checker has seen.
type world struct {
	mu        sync.Mutex
	zones     []string
	types     []*machineType
	capacity  func(machineType, zone string, spot bool) int
	teams     []team
	workers   map[string]*worker
	claims    map[string][]string
	rented    map[string]int
	nextHost  int
	jobs      map[string]*job
	breaks    []string
	nodes     []*node
	store     *store
	cloudDown bool
	failAfter time.Duration // run time after which a task with a mistake fails

	reportS, leaseS, gangWaitS, gangPeerS, cancelS float64
	listLagS                                       float64
	lists                                          []listAt
}

type listAt struct {
	at    time.Time
	hosts []map[string]any
}

func (w *world) broke(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.breaks = append(w.breaks, text)
	logf("RULE BROKEN %s", text)
}

// started checks a start of a task on a worker. w.mu is held.
func (w *world) started(wk *worker, t *task) {
	j := w.jobs[t.job]
	j.starts++
	logf("run: %s try %d starts on %s (%s, %s)", t.name(), t.try, wk.name, wk.typ.name, wk.zone)
	if others := j.on[t.index]; len(others) > 0 {
		w.broke("ran_twice", "%s starts on %s while it is on %v", t.name(), wk.name, others)
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled).Seconds() > w.cancelS {
		w.broke("ran_cancelled", "%s starts on %s %.1f s after its user was told", t.name(), wk.name, time.Since(j.cancelled).Seconds())
	}
	j.on[t.index] = append(j.on[t.index], wk.name)
	s := j.spec
	if s.Region != nil && *s.Region != wk.zone || wk.spot && !s.Reclaimable || s.Flavors != nil && !contains(s.Flavors, wk.typ.name) {
		w.broke("wrong_place", "%s starts on %s (%s, %s, spot %v)", t.name(), wk.name, wk.typ.name, wk.zone, wk.spot)
	}
	zones, total := map[string]int{}, 0
	for _, names := range j.on {
		for _, n := range names {
			if o := w.workers[n]; o != nil {
				zones[o.zone]++
				total++
			}
		}
	}
	if s.SamePlace && len(zones) > 1 {
		w.broke("wrong_place", "tasks of %s are in several zones: %v", s.Ref, zones)
	}
	if s.Apart && zones[wk.zone] > (s.Shards+1)/2 {
		w.broke("wrong_place", "too many tasks of %s are in %s", s.Ref, wk.zone)
	}
	used := map[string][2]float64{}
	for _, o := range w.jobs {
		n := 0
		for _, names := range o.on {
			n += len(names)
		}
		u := used[o.spec.Owner]
		used[o.spec.Owner] = [2]float64{u[0] + float64(n)*o.spec.Cores, u[1] + float64(n)*o.spec.Gpus}
	}
	for _, tm := range w.teams {
		u := used[tm.name]
		if tm.cpusMax > 0 && u[0] > tm.cpusMax+1e-9 || tm.gpusMax > 0 && u[1] > tm.gpusMax+1e-9 {
			w.broke("quota", "the tasks of %s use %v CPUs and %v GPUs", tm.name, u[0], u[1])
		}
	}
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// ended notes that a task is no longer on a worker. w.mu is held.
func (w *world) ended(wk *worker, t *task, why string) {
	j := w.jobs[t.job]
	for i, n := range j.on[t.index] {
		if n == wk.name {
			j.on[t.index] = append(j.on[t.index][:i], j.on[t.index][i+1:]...)
			logf("run: %s try %d ends on %s: %s", t.name(), t.try, wk.name, why)
			if !j.cancelled.IsZero() && time.Since(j.cancelled).Seconds() > w.cancelS {
				w.broke("ran_cancelled", "%s was on %s until %.1f s after its user was told", t.name(), wk.name, time.Since(j.cancelled).Seconds())
			}
			return
		}
	}
}

// cloud.

func (w *world) serveCloud() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	fatal(err)
	go func() {
		for range time.Tick(200 * time.Millisecond) {
			w.mu.Lock()
			w.lists = append(w.lists, listAt{time.Now(), w.listNow()})
			if len(w.lists) > 400 {
				w.lists = w.lists[1:]
			}
			w.mu.Unlock()
		}
	}()
	go http.Serve(l, http.HandlerFunc(w.cloud))
	return l.Addr().String()
}

func (w *world) listNow() []map[string]any {
	hosts := []map[string]any{}
	for _, name := range sortedKeys(w.workers) {
		k := w.workers[name]
		if k.gone {
			continue
		}
		phase := "booting"
		if k.up {
			phase = "running"
		}
		hosts = append(hosts, map[string]any{"ref": name, "addr": k.addr, "flavor": k.typ.name, "region": k.zone, "reclaimable": k.spot, "phase": phase, "heldS": time.Since(k.rentedAt).Seconds()})
	}
	return hosts
}

func (w *world) cloud(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(100 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cloudDown {
		answer(rw, 503, map[string]any{"error": "trouble"})
		return
	}
	switch {
	case r.URL.Path == "/machine_types":
		list := []any{}
		for _, t := range w.types {
			list = append(list, map[string]any{"label": t.name, "cores": t.cores, "gpus": t.gpus, "memoryGb": t.memory, "cacheGb": t.cache, "fetchGbPerS": t.fetch, "hourly": t.price, "spotPrice": t.spot, "readyS": t.bootS, "regions": t.zones})
		}
		answer(rw, 200, map[string]any{"flavors": list})
	case r.URL.Path == "/machines" && r.Method == "POST":
		var in struct {
			Claim, Flavor, Region string
			Reclaimable           bool
			Count                 int
		}
		json.Unmarshal(body, &in)
		if names, ok := w.claims[in.Claim]; ok {
			answer(rw, 200, map[string]any{"hosts": names})
			return
		}
		names := w.rent(in.Flavor, in.Region, in.Reclaimable, in.Count)
		if len(names) == 0 {
			answer(rw, 503, map[string]any{"error": "no capacity"})
			return
		}
		w.claims[in.Claim] = names
		logf("cloud: %s rents %v (%s, %s, spot %v)", in.Claim, names, in.Flavor, in.Region, in.Reclaimable)
		answer(rw, 200, map[string]any{"hosts": names})
	case r.URL.Path == "/machines/release":
		var in struct{ Hosts []string }
		json.Unmarshal(body, &in)
		for _, name := range in.Hosts {
			w.takeAway(name, "released")
		}
		answer(rw, 200, map[string]any{})
	case r.URL.Path == "/machines":
		q := r.URL.Query()
		at := time.Now().Add(-time.Duration(w.listLagS * float64(time.Second)))
		hosts := []map[string]any{}
		for _, l := range w.lists {
			if l.at.Before(at) {
				hosts = l.hosts
			}
		}
		page := []map[string]any{}
		for _, h := range hosts {
			if since := q.Get("since"); since != "" && h["ref"].(string) <= since {
				continue
			}
			if k := w.workers[h["ref"].(string)]; k != nil && k.deleted {
				continue
			}
			page = append(page, h)
		}
		answer(rw, 200, map[string]any{"hosts": page[:min(len(page), 500)], "truncated": len(page) > 500})
	default:
		answer(rw, 400, map[string]any{"error": "malformed"})
	}
}

// rent creates machines. w.mu is held.
func (w *world) rent(typ, zone string, spot bool, count int) []string {
	var t *machineType
	for _, x := range w.types {
		if x.name == typ {
			t = x
		}
	}
	if t == nil || !contains(t.zones, zone) {
		return nil
	}
	kind := fmt.Sprint(typ, zone, spot)
	n := min(count, w.capacity(typ, zone, spot)-w.rented[kind])
	var names []string
	for range max(0, n) {
		w.nextHost++
		k := newWorker(w, fmt.Sprintf("n-%06d", w.nextHost), t, zone, spot)
		k.kind = kind
		w.rented[kind]++
		w.workers[k.name] = k
		names = append(names, k.name)
		go k.boot()
	}
	return names
}

// takeAway ends a machine with all that is on it. w.mu is held.
func (w *world) takeAway(name, why string) {
	k := w.workers[name]
	if k == nil || k.gone {
		return
	}
	logf("cloud: %s is gone: %s", name, why)
	k.gone, k.deleted = true, true
	w.rented[k.kind]--
	for _, t := range k.tasks {
		if t.onMachine() {
			w.ended(k, t, "the machine is gone")
		}
	}
	k.tasks = map[string]*task{}
	if k.listener != nil {
		k.listener.Close()
	}
}

// users.

type client struct {
	http *http.Client
	w    *world
}

func (w *world) newClient() *client {
	return &client{&http.Client{Transport: &http.Transport{DisableCompression: true}}, w}
}

// call sends a request to a node and returns the status, 0 without an answer.
func (c *client) call(n int, timeout time.Duration, method, path string, body any) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body)
	}
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+c.w.nodes[n].client+path, bytes.NewReader(b))
	res, err := c.http.Do(r)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	var out map[string]any
	json.Unmarshal(text, &out)
	return res.StatusCode, out
}

// submit submits a job as the page says and reports whether it was accepted.
func (w *world) submit(s *spec, pick func() int) bool {
	w.mu.Lock()
	if w.jobs[s.Ref] == nil {
		w.jobs[s.Ref] = &job{spec: s, complete: map[int]bool{}, on: map[int][]string{}, running: map[int]string{}, gang: map[uint64]*gang{}}
	}
	w.mu.Unlock()
	c := w.newClient()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		n := pick()
		code, out := c.call(n, 5*time.Second, "POST", "/api/jobs", s)
		logf("user: submit %s to node %d: %d %v", s.Ref, n, code, out)
		switch code {
		case 200, 201:
			w.mu.Lock()
			w.jobs[s.Ref].accepted = time.Now()
			w.mu.Unlock()
			return true
		case 400, 422:
			return false
		}
	}
	return false
}

// cancel cancels a job as the page says.
func (w *world) cancel(ref string, pick func() int) bool {
	c := w.newClient()
	w.mu.Lock()
	w.jobs[ref].asked = time.Now()
	w.mu.Unlock()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		n := pick()
		code, out := c.call(n, 5*time.Second, "POST", "/api/jobs/"+ref+"/cancel", nil)
		logf("user: cancel %s at node %d: %d %v", ref, n, code, out)
		if code == 200 {
			w.saw(ref, n, out)
			return true
		}
	}
	return false
}

// query asks about a job and checks the answer.
func (w *world) query(c *client, ref string, n int) (int, string) {
	w.mu.Lock()
	j := w.jobs[ref]
	wasAccepted, wasDone, wasCancelled := false, false, false
	if j != nil {
		wasAccepted, wasDone, wasCancelled = !j.accepted.IsZero(), !j.done.IsZero(), !j.cancelled.IsZero()
	}
	w.mu.Unlock()
	code, out := c.call(n, 2*time.Second, "GET", "/api/jobs/"+ref, nil)
	phase, _ := out["phase"].(string)
	logf("user: ask node %d about %s: %d %v", n, ref, code, out)
	w.mu.Lock()
	switch {
	case code == 200 && j == nil:
		w.broke("invented", "%s: %v", ref, out)
	case code == 404 && wasAccepted:
		w.broke("forgotten", "node %d answers 404 for %s", n, ref)
	case code == 200 && wasDone && phase != "done", code == 200 && wasCancelled && phase != "cancelled":
		w.broke("went_back", "node %d calls %s %s", n, ref, phase)
	}
	w.mu.Unlock()
	if code == 200 {
		w.saw(ref, n, out)
	}
	return code, phase
}

// saw notes what a user was told.
func (w *world) saw(ref string, n int, out map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[ref]
	if j == nil {
		return
	}
	switch out["phase"] {
	case "done":
		if j.done.IsZero() {
			j.done = time.Now()
		}
		if len(j.complete) < j.spec.Shards {
			w.broke("not_done", "node %d calls %s done: %d of %d tasks are", n, ref, len(j.complete), j.spec.Shards)
		}
		if !j.cancelled.IsZero() {
			w.broke("went_back", "node %d calls %s done, which was cancelled", n, ref)
		}
	case "cancelled":
		if j.asked.IsZero() {
			w.broke("went_back", "node %d calls %s cancelled, which nobody cancelled", n, ref)
		}
		if j.cancelled.IsZero() {
			j.cancelled = time.Now()
		}
	}
}

func (w *world) anyNode() int { return rand.Intn(len(w.nodes)) }

// waitLeader waits until a controller leads, and returns its index.
func (w *world) waitLeader(timeout time.Duration) int {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n := w.leader(); n >= 0 {
			return n
		}
	}
	return -1
}

// leader returns the index of the controller that the leader key names, -1 if there is none.
func (w *world) leader() int {
	for _, v := range w.store.under("") {
		var l struct {
			Node  string `json:"node"`
			Epoch uint64 `json:"epoch"`
			Lease uint64 `json:"lease"`
		}
		if json.Unmarshal([]byte(v), &l) == nil && l.Node != "" && l.Lease > 0 && strings.Contains(v, "answer_on") {
			for i, n := range w.nodes {
				if n.name == l.Node {
					return i
				}
			}
		}
	}
	return -1
}

// summary writes what became of the jobs.
func (w *world) summary() {
	w.mu.Lock()
	defer w.mu.Unlock()
	refs := sortedKeys(w.jobs)
	sort.Strings(refs)
	for _, ref := range refs {
		j := w.jobs[ref]
		on := 0
		for _, l := range j.on {
			on += len(l)
		}
		logf("end: %s accepted=%v done=%v cancelled=%v tasks done %d of %d, on machines %d, starts %d", ref, !j.accepted.IsZero(), !j.done.IsZero(), !j.cancelled.IsZero(), len(j.complete), j.spec.Shards, on, j.starts)
	}
}

// machinesOf returns the machines that have tasks of a job. w.mu is held.
func (w *world) machinesOf(ref string) map[string]bool {
	on := map[string]bool{}
	for _, names := range w.jobs[ref].on {
		for _, n := range names {
			on[n] = true
		}
	}
	return on
}

// await waits until a condition holds, which is called with w.mu held.
func (w *world) await(timeout time.Duration, holds func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		w.mu.Lock()
		ok := holds()
		w.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}
