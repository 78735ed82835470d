package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is a controller: a process of the project's own program.
type node struct {
	i               int
	name, zone      string
	client, cluster string // addresses that it listens on
	worker          string // address at which workers reach it
	state, cloud    string
	settings        string
	dir             string
	cmd             *exec.Cmd
	exited          chan struct{}
	log             *os.File
	stopped         bool // by the test
}

var allNodes []*node

func killAll() {
	for _, n := range allNodes {
		n.kill()
	}
}

func freeAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	fatal(err)
	defer l.Close()
	return l.Addr().String()
}

// start starts the process with the command of the deploy file.
func (n *node) start(run []string) {
	args := append(append([]string{}, run[1:]...), n.settings)
	n.cmd = exec.Command(run[0], args...)
	n.cmd.Stderr = n.log
	n.cmd.Env = append(os.Environ(), "LOG_LEVEL="+levelOr("info"))
	fatal(n.cmd.Start())
	n.stopped = false
	cmd, exited := n.cmd, make(chan struct{})
	n.exited = exited
	logf("platform: %s starts, process %d", n.name, n.cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		logf("platform: %s ended: %v", n.name, err)
		close(exited)
	}()
}

func levelOr(l string) string {
	if v := os.Getenv("LOG_LEVEL"); v != "" {
		return v
	}
	return l
}

func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	n.stopped = true
	n.cmd.Process.Kill()
	<-n.exited
	n.cmd = nil
}

func (n *node) freeze() {
	logf("platform: %s is stopped", n.name)
	n.cmd.Process.Signal(syscall.SIGSTOP)
}
func (n *node) thaw() { logf("platform: %s goes on", n.name); n.cmd.Process.Signal(syscall.SIGCONT) }

func (n *node) ended() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// link is a proxy of the test on the way from one process to another.
type link struct {
	mu    sync.Mutex
	mode  string // "", "refuse", "hold", "drop"
	to    string
	addr  string
	conns map[net.Conn]bool
	l     net.Listener
}

func newLink(to string) *link {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	fatal(err)
	k := &link{to: to, addr: l.Addr().String(), conns: map[net.Conn]bool{}, l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k
}

func (k *link) set(mode string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = mode
	if mode == "refuse" {
		for c := range k.conns {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}

func (k *link) held() bool { k.mu.Lock(); defer k.mu.Unlock(); return k.mode == "hold" }

func (k *link) serve(c net.Conn) {
	defer c.Close()
	k.mu.Lock()
	mode := k.mode
	k.conns[c] = true
	k.mu.Unlock()
	defer func() { k.mu.Lock(); delete(k.conns, c); k.mu.Unlock() }()
	if mode == "refuse" {
		c.(*net.TCPConn).SetLinger(0)
		return
	}
	for k.held() {
		time.Sleep(20 * time.Millisecond)
	}
	d, err := net.DialTimeout("tcp4", k.to, 2*time.Second)
	if err != nil {
		c.(*net.TCPConn).SetLinger(0)
		return
	}
	defer d.Close()
	done := make(chan bool, 2)
	pipe := func(to, from net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			for k.held() {
				time.Sleep(20 * time.Millisecond)
			}
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- true
	}
	go pipe(d, c)
	go pipe(c, d)
	<-done
}

// deployment.

type deployment struct {
	*world
	run       []string
	dir       string
	peers     map[[2]int]*link
	cloudAddr string
}

type siteFacts struct {
	nodeZones              []string
	zones                  []string
	rps, writeRPS, valueKB float64
	txnOps                 int
	cloudRPS               float64
	cpu, memoryMB          float64
	connections            int
	clockOffMS             float64
	objectives             string
}

func deployCommand(file string) []string {
	text, err := os.ReadFile(file)
	fatal(err)
	for _, line := range strings.Split(string(text), "\n") {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(v, `"`))
		}
	}
	fatal(fmt.Errorf("no run command in %s", file))
	return nil
}

// newDeployment makes the stand-ins and the settings of the controllers; nothing is started yet.
func newDeployment(w *world, f siteFacts, repo, dir string) *deployment {
	d := &deployment{world: w, run: deployCommand(filepath.Join(repo, "deploy/service.toml")), dir: dir, peers: map[[2]int]*link{}}
	if !filepath.IsAbs(d.run[0]) {
		d.run[0] = filepath.Join(repo, d.run[0])
	}
	w.workers, w.claims, w.rented, w.jobs = map[string]*worker{}, map[string][]string{}, map[string]int{}, map[string]*job{}
	w.zones = f.zones
	w.store = newStore(f.rps, f.writeRPS, f.valueKB, f.txnOps)
	d.cloudAddr = w.serveCloud()
	for i, zone := range f.nodeZones {
		n := &node{i: i, name: fmt.Sprintf("slipnode-%d", i), zone: zone, client: freeAddress(), cluster: freeAddress(), dir: dir}
		n.worker = n.client
		n.state, n.cloud = w.store.listen(i), d.cloudAddr
		w.nodes = append(w.nodes, n)
	}
	for i, n := range w.nodes {
		var b bytes.Buffer
		fmt.Fprintf(&b, "node_name = %q\narea = %q\nclient_listen = %q\ncluster_listen = %q\n", n.name, n.zone, n.client, n.cluster)
		for j, p := range w.nodes {
			if i == j {
				continue
			}
			k := newLink(p.cluster)
			d.peers[[2]int{i, j}] = k
			fmt.Fprintf(&b, "\n[[siblings]]\nnode_name = %q\narea = %q\naddress = %q\n", p.name, p.zone, k.addr)
		}
		fmt.Fprintf(&b, "\n[services]\ncloud = %q\nstate = %q\n\n[facts]\nnodes = %d\nzones = [", n.cloud, n.state, len(w.nodes))
		for z, zone := range f.zones {
			if z > 0 {
				b.WriteString(", ")
			}
			fmt.Fprintf(&b, "%q", zone)
		}
		fmt.Fprintf(&b, "]\nclock_off_ms = %.1f\n", f.clockOffMS)
		for _, t := range w.teams {
			fmt.Fprintf(&b, "\n[[facts.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = %.1f\ngpus_max = %.1f\n", t.name, t.cpus, t.cpusMax, t.gpus, t.gpusMax)
		}
		b.WriteString(f.objectives)
		fmt.Fprintf(&b, "\n[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f\n", w.reportS, w.leaseS, w.gangWaitS, w.gangPeerS, w.cancelS)
		fmt.Fprintf(&b, "\n[facts.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", f.rps, f.writeRPS, f.valueKB, f.txnOps)
		fmt.Fprintf(&b, "\n[facts.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n[facts.quota]\ncpu = %.2f\nmemory_mb = %.1f\nmax_connections = %d\n", f.cloudRPS, w.listLagS, f.cpu, f.memoryMB, f.connections)
		n.settings = filepath.Join(dir, n.name+".toml")
		fatal(os.WriteFile(n.settings, b.Bytes(), 0o600))
		log, err := os.Create(filepath.Join(dir, n.name+".log"))
		fatal(err)
		n.log = log
	}
	allNodes = w.nodes
	return d
}

func (d *deployment) startAll() {
	for _, n := range d.nodes {
		n.start(d.run)
	}
}

// setPeers sets the mode of all links between controllers.
func (d *deployment) setPeers(mode string) {
	for _, k := range d.peers {
		k.set(mode)
	}
}
