package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settings are the facts of a deployment.
type settings struct {
	zones                                     []string // one controller in each
	report, lease, gangWait, gangPeer, cancel float64
	stateRPS, writeRPS                        float64
	valueKB, txnOps                           int
	cloudRPS, listLag                         float64
	cpu, memoryMB                             float64
	connections                               int
	restart                                   float64 // seconds until an ended controller is back
	teams                                     string  // TOML
	fetchFactor                               float64 // of the machines' rate of fetching images
}

// node is one controller.
type node struct {
	name, zone, client, cluster, config string

	mu    sync.Mutex
	cmd   *exec.Cmd
	since time.Time
	ends  int
}

// job is a job that a user submits.
type job struct {
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
	Awaits         []string `json:"awaits,omitempty"`

	RunS float64 `json:"-"` // true run time of a task

	mu         sync.Mutex
	acceptedAt time.Time
	told       status // in the answer to the submission
	doneAt     time.Time
	begins     int             // starts of tasks
	completed  map[string]bool // tasks that have run to completion
	killed     int
	on         map[string]string // machine by task
}

// world is a deployment on loopback addresses.
type world struct {
	set   settings
	dir   string // temporary
	root  string // of the repository
	began time.Time
	state *stateService
	cloud *cloud
	nodes []*node
	jobs  sync.Map // by ref
	gangs struct {
		sync.Mutex
		members map[string][]member
		running map[string][]member
	}

	logMu sync.Mutex
	out   io.Writer
	fails []string // broken rules
	over  bool
	down  bool // the platform starts no ended controller
}

type member struct {
	k *worker
	t *task
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

func (w *world) logf(format string, a ...any) {
	w.logMu.Lock()
	defer w.logMu.Unlock()
	fmt.Fprintf(w.out, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, a...))
}

// broken records that a rule is broken.
func (w *world) broken(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	w.logf("BROKEN %s", text)
	w.logMu.Lock()
	w.fails = append(w.fails, text)
	w.logMu.Unlock()
}

func (w *world) brokenRules() int {
	w.logMu.Lock()
	defer w.logMu.Unlock()
	return len(w.fails)
}

// newWorld starts the stand-ins and the controllers.
func newWorld(set settings, types []*machineType, recordPath string) *world {
	f, err := os.Create(recordPath)
	check(err)
	root, err := os.Getwd()
	check(err)
	dir, err := os.MkdirTemp("", "review")
	check(err)
	w := &world{set: set, dir: dir, root: root, began: time.Now(), out: f}
	current.Store(w)
	w.set.fetchFactor = 1
	w.gangs.members, w.gangs.running = map[string][]member{}, map[string][]member{}
	w.state = newStateService(set)
	w.cloud = newCloud(w, types)
	cloudAddr := w.cloud.serve()
	for i, zone := range set.zones {
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("slipnode-%d", i), zone: zone, client: freeAddr(), cluster: freeAddr()})
	}
	for i, n := range w.nodes {
		n.config = filepath.Join(dir, n.name+".toml")
		check(os.WriteFile(n.config, []byte(w.settingsFile(n, w.state.serve(i), cloudAddr)), 0o600))
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	return w
}

func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer l.Close()
	return l.Addr().String()
}

func (w *world) settingsFile(n *node, stateAddr, cloudAddr string) string {
	s := w.set
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\narea = %q\nclient_listen = %q\ncluster_listen = %q\n\n", n.name, n.zone, n.client, n.cluster)
	for _, o := range w.nodes {
		if o != n {
			fmt.Fprintf(&b, "[[siblings]]\nnode_name = %q\narea = %q\naddress = %q\n\n", o.name, o.zone, o.cluster)
		}
	}
	fmt.Fprintf(&b, "[services]\ncloud = %q\nstate = %q\n\n[facts]\nnodes = %d\nzones = [\"%s\"]\nclock_off_ms = 250.0\n\n", cloudAddr, stateAddr, len(w.nodes), strings.Join(s.zones, `", "`))
	b.WriteString(s.teams)
	fmt.Fprintf(&b, "[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f\n\n", s.report, s.lease, s.gangWait, s.gangPeer, s.cancel)
	fmt.Fprintf(&b, "[facts.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %d.0\ntxn_ops = %d\n\n[facts.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n", s.stateRPS, s.writeRPS, s.valueKB, s.txnOps, s.cloudRPS, s.listLag)
	fmt.Fprintf(&b, "[facts.quota]\ncpu = %.2f\nmemory_mb = %.1f\nmax_connections = %d\n", s.cpu, s.memoryMB, s.connections)
	return b.String()
}

// runCommand returns the command of the deploy file.
func runCommand(root string) []string {
	b, err := os.ReadFile(filepath.Join(root, "deploy/service.toml"))
	check(err)
	for _, line := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			s, err := strconv.Unquote(v)
			check(err)
			return strings.Fields(s)
		}
	}
	panic("no run command in deploy/service.toml")
}

// start starts a controller as the platform does, and starts it again when it has ended.
func (w *world) start(n *node) {
	args := append(runCommand(w.root), n.config)
	cmd := exec.Command(filepath.Join(w.root, args[0]), args[1:]...)
	log, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	check(err)
	cmd.Stderr, cmd.Stdout = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	started := make(chan struct{})
	go func() {
		err := cmd.Start()
		check(err)
		n.mu.Lock()
		n.cmd, n.since = cmd, time.Now()
		n.mu.Unlock()
		w.logf("platform: %s started, pid %d", n.name, cmd.Process.Pid)
		close(started)
		err = cmd.Wait()
		log.Close()
		n.mu.Lock()
		n.cmd, n.ends = nil, n.ends+1
		n.mu.Unlock()
		w.logMu.Lock()
		over := w.over
		w.logMu.Unlock()
		if over {
			return
		}
		w.logf("platform: %s ended (%v)", n.name, err)
		time.Sleep(time.Duration(w.set.restart * float64(time.Second)))
		for {
			w.logMu.Lock()
			over = w.over
			down := w.down
			w.logMu.Unlock()
			if over || !down {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if !over {
			w.start(n)
		}
	}()
	<-started
}

func logLevel() string {
	if l := os.Getenv("LOG_LEVEL"); l != "" {
		return l
	}
	return "info"
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// end ends all processes and removes the temporary folder. It returns the exit code.
func (w *world) end() int {
	w.logMu.Lock()
	w.over = true
	w.logMu.Unlock()
	for _, n := range w.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range w.nodes {
		for i := 0; i < 100; i++ {
			n.mu.Lock()
			gone := n.cmd == nil
			n.mu.Unlock()
			if gone {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
	if n := w.brokenRules(); n > 0 {
		w.logf("result: broken")
		fmt.Println("broken:", w.fails[0])
		return 1
	}
	w.logf("result: no rule broken")
	fmt.Println("no rule broken")
	return 0
}

func (w *world) job(shard string) *job {
	ref, _, _ := strings.Cut(shard, "/")
	if j, ok := w.jobs.Load(ref); ok {
		return j.(*job)
	}
	return nil
}

// taskBegins records that a task is on a machine from now on.
func (w *world) taskBegins(k *worker, t *task) {
	j := t.job
	j.mu.Lock()
	defer j.mu.Unlock()
	j.begins++
	if j.on == nil {
		j.on = map[string]string{}
	}
	if other, ok := j.on[t.shard]; ok && other != k.m.name {
		w.broken("ran_twice: %s starts on %s while it is on %s", t.shard, k.m.name, other)
	}
	j.on[t.shard] = k.m.name
	if j.Shards <= 20 {
		w.logf("worker %s: %s try %d begins", k.m.name, t.shard, t.try)
	}
}

func (w *world) taskEnds(k *worker, t *task, why string) {
	j := t.job
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.on[t.shard] == k.m.name {
		delete(j.on, t.shard)
	}
	switch why {
	case "done":
		if j.completed == nil {
			j.completed = map[string]bool{}
		}
		j.completed[t.shard] = true
	case "killed":
		j.killed++
	}
	if j.Shards <= 20 {
		w.logf("worker %s: %s try %d ends: %s", k.m.name, t.shard, t.try, why)
	}
	if j.Shape == "ensemble" && t.phase == "running" && why != "done" && why != "peers" {
		go w.tellPeers(fmt.Sprintf("%s#%d", j.Ref, t.try), t)
	}
}

// tellPeers makes the other tasks of a running gang exit, within gang_peer_s.
func (w *world) tellPeers(id string, gone *task) {
	w.gangs.Lock()
	list := w.gangs.running[id]
	w.gangs.Unlock()
	for _, m := range list {
		if m.t != gone {
			m.k.after(time.Duration(w.set.gangPeer/2*float64(time.Second)), m.t, func(t *task) {
				if t.phase == "running" {
					m.k.exit(t, "peers")
				}
			})
		}
	}
}

// gangMember registers a waiting task of a gang. The tasks start together once the last one waits.
func (w *world) gangMember(k *worker, t *task) {
	w.gangs.Lock()
	defer w.gangs.Unlock()
	id := fmt.Sprintf("%s#%d", t.job.Ref, t.try)
	list := append(w.gangs.members[id], member{k, t})
	waiting := map[string]bool{}
	var live []member
	for _, m := range list {
		m.k.mu.Lock()
		if m.t.phase == "waiting" && !m.t.killed {
			live = append(live, m)
			waiting[m.t.shard] = true
		}
		m.k.mu.Unlock()
	}
	w.gangs.members[id] = live
	if len(waiting) < t.job.Shards {
		return
	}
	w.logf("gang %s starts with %d tasks", id, len(waiting))
	for _, m := range live {
		m.k.mu.Lock()
		if m.t.phase == "waiting" && !m.t.killed {
			m.k.run(m.t)
		}
		m.k.mu.Unlock()
	}
	w.gangs.running[id] = live
	delete(w.gangs.members, id)
}

var userClient = &http.Client{Timeout: 5 * time.Second}

// call makes a user's request at a node.
func (w *world) call(n *node, method, path string, body []byte) (int, []byte) {
	timeout := 5 * time.Second
	if method == "GET" {
		timeout = 2 * time.Second
	}
	c := &http.Client{Timeout: timeout, Transport: userClient.Transport}
	r, err := http.NewRequest(method, "http://"+n.client+path, bytes.NewReader(body))
	check(err)
	resp, err := c.Do(r)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return resp.StatusCode, b
}

// pick returns a node that answers its health check, beginning with the given one.
func (w *world) pick(first int) *node {
	for i := range w.nodes {
		n := w.nodes[(first+i)%len(w.nodes)]
		if status, _ := w.call(n, "GET", "/healthz", nil); status == 200 {
			return n
		}
	}
	return w.nodes[first%len(w.nodes)]
}

// submit submits a job as a user does, with retries for 60 s. It reports whether it was accepted.
func (w *world) submit(j *job) bool {
	w.jobs.Store(j.Ref, j)
	body, err := json.Marshal(j)
	check(err)
	first := time.Now()
	for try := 0; time.Since(first) < 60*time.Second; try++ {
		n := w.pick(try)
		status, b := w.call(n, "POST", "/api/jobs", body)
		w.logf("user: POST /api/jobs %s (%s, %s of %d) at %s -> %d %s", j.Ref, j.Jobclass, j.Shape, j.Shards, n.name, status, short(b))
		switch status {
		case 200, 201:
			j.acceptedAt = time.Now()
			_ = json.Unmarshal(b, &j.told)
			return true
		case 400, 422:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// status is the answer to a question for a job.
type status struct {
	Ref     string
	Phase   string
	Done    int
	Running int
}

// ask asks for a job once. code is the HTTP status.
func (w *world) ask(n *node, ref string) (code int, s status) {
	code, b := w.call(n, "GET", "/api/jobs/"+ref, nil)
	_ = json.Unmarshal(b, &s)
	w.logf("user: GET %s at %s -> %d %s", ref, n.name, code, short(b))
	return code, s
}

func (w *world) cancel(n *node, ref string) (code int, s status) {
	code, b := w.call(n, "POST", "/api/jobs/"+ref+"/cancel", nil)
	_ = json.Unmarshal(b, &s)
	w.logf("user: POST %s/cancel at %s -> %d %s", ref, n.name, code, short(b))
	return code, s
}

// waitReady waits until the deployment accepts requests, and returns false if it doesn't.
func (w *world) waitReady() bool {
	for range 100 {
		time.Sleep(200 * time.Millisecond)
		ready := 0
		for _, n := range w.nodes {
			if code, _ := w.call(n, "GET", "/healthz", nil); code == 200 {
				ready++
			}
		}
		if ready == len(w.nodes) {
			return true
		}
	}
	return false
}

// setDown tells the platform whether ended controllers stay away.
func (w *world) setDown(down bool) {
	w.logMu.Lock()
	defer w.logMu.Unlock()
	w.down = down
}

// deliver delivers a copy of a worker's report to a controller.
func (w *world) deliver(n *node, body []byte) {
	status, b, err := post(&http.Client{Timeout: 4 * time.Second}, "http://"+n.client+"/hello", body)
	w.logf("TROUBLE late copy %s to %s -> %d %s %v", short(body), n.name, status, short(b), err)
}

// await waits until a condition holds, for at most some seconds.
func (w *world) await(what string, seconds float64, holds func() bool) bool {
	for end := time.Now().Add(time.Duration(seconds * float64(time.Second))); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	w.logf("await %s: not within %.0f s", what, seconds)
	return false
}

// leader returns the node whose log shows that it has begun to lead last, and how often one has.
func (w *world) leader() (last *node, count int) {
	var at string
	for _, n := range w.nodes {
		b, _ := os.ReadFile(filepath.Join(w.dir, n.name+".log"))
		for _, line := range strings.Split(string(b), "\n") {
			if strings.Contains(line, "msg=leading ") && len(line) > 30 {
				count++
				if line[:30] > at {
					at, last = line[:30], n
				}
			}
		}
	}
	return last, count
}

// cannotRun ends the case without a result.
func (w *world) cannotRun(why string) int {
	w.logf("the case could not run: %s", why)
	w.end()
	fmt.Println("the case could not run:", why)
	return 2
}

// workerOf returns the worker of the machine that a task is on, or nil.
func (w *world) workerOf(j *job, index int) *worker {
	j.mu.Lock()
	name := j.on[fmt.Sprintf("%s/%d", j.Ref, index)]
	j.mu.Unlock()
	return w.cloud.byName(name)
}

// allRun reports whether all tasks of a job run.
func (w *world) allRun(j *job) bool {
	for i := range j.Shards {
		k := w.workerOf(j, i)
		if k == nil || !k.runs(fmt.Sprintf("%s/%d", j.Ref, i)) {
			return false
		}
	}
	return true
}

func newCopy(j *job, ref string) *job {
	return &job{Ref: ref, Jobclass: j.Jobclass, Owner: j.Owner, Shape: j.Shape, Rank: j.Rank, Shards: j.Shards, Cores: j.Cores, Gpus: j.Gpus,
		MemoryGb: j.MemoryGb, Bundle: j.Bundle, SizeGb: j.SizeGb, ExpectS: j.ExpectS, RunS: j.RunS}
}

// allCompleted reports whether each task of an array has run to completion.
func (j *job) allCompleted() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.completed) == j.Shards
}

// begun returns how many tasks were started.
func (j *job) begun() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.begins
}

// setFailing makes every machine fail every task that it starts from now on, or ends that.
func (w *world) setFailing(on bool) {
	if on {
		w.logf("TROUBLE machines fail every task that they start")
	}
	w.cloud.each(func(k *worker) {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.failing && !on {
			w.logf("TROUBLE machine %s fails no tasks any more", k.m.name)
		}
		k.failing = on
	})
}

// hasRoom reports whether a machine has room for a task of a job.
func (w *world) hasRoom(j *job) bool {
	room := false
	w.cloud.each(func(k *worker) {
		k.mu.Lock()
		defer k.mu.Unlock()
		cores, gpus, memory := k.used()
		t := k.m.typ
		room = room || cores+j.Cores <= t.cores && gpus+j.Gpus <= t.gpus && memory+j.MemoryGb <= t.memory
	})
	return room
}

// roomFor returns for how many more tasks of a job the machines have room.
func (w *world) roomFor(j *job) int {
	room := 0
	w.cloud.each(func(k *worker) {
		k.mu.Lock()
		defer k.mu.Unlock()
		cores, gpus, memory := k.used()
		n := int((k.m.typ.cores - cores) / j.Cores)
		if j.Gpus > 0 {
			n = min(n, int((k.m.typ.gpus-gpus)/j.Gpus))
		}
		room += min(n, int((k.m.typ.memory-memory)/j.MemoryGb))
	})
	return room
}
