package scale

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mapleslip/internal/scale/wire"
)

// roleController is that of controllers; the parts' are package wire's.
const roleController = "controller"

// process is a child of the supervisor.
type process struct {
	name, role, region string
	cmd                *exec.Cmd
	pid                int
	ended              chan struct{} // closed once it was waited for
	err                error         // how it ended, once ended is closed

	mu   sync.Mutex
	out  []*wire.Message // to be sent: a part that doesn't read must not hold up the others
	wake chan struct{}
}

// inbound is a message of a part; without one, the part's output has ended.
type inbound struct {
	from *process
	m    *wire.Message
}

// attributes of a child: it ends with the supervisor, however that ends, and Ctrl-C is
// for the supervisor alone.
func attributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
}

// startPart starts a process of this program in a role. Its messages go to in.
func startPart(self, dir, name, role, region string, in chan<- inbound, over <-chan struct{}) (*process, error) {
	p := &process{name: name, role: role, region: region, ended: make(chan struct{}), wake: make(chan struct{}, 1)}
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(self, "scale", "part", role)
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = attributes()
	stdin, err := p.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	// The pipe is ours, so that its end is the part's and not that of Wait.
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout = w
	if err := p.cmd.Start(); err != nil {
		r.Close()
		w.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	w.Close()
	p.pid = p.cmd.Process.Pid
	go func() {
		defer r.Close()
		hand := func(m *wire.Message) bool {
			select {
			case in <- inbound{p, m}:
				return true
			case <-over:
				return false
			}
		}
		if err := wire.Read(r, hand); err != nil {
			hand(&wire.Message{Kind: wire.Note, Text: name + ": " + err.Error()})
		}
		hand(nil)
	}()
	go func() {
		defer stdin.Close()
		out := wire.NewWriter(stdin)
		for {
			select {
			case <-p.wake:
			case <-p.ended:
				return
			}
			p.mu.Lock()
			list := p.out
			p.out = nil
			p.mu.Unlock()
			for _, m := range list {
				if out.Send(m) != nil || m.Kind == wire.Stop {
					return
				}
			}
		}
	}()
	go p.wait()
	return p, nil
}

// startController starts a controller; its log goes on after an earlier process.
func startController(binary, dir, name, region string, args ...string) (*process, error) {
	p := &process{name: name, role: roleController, region: region, ended: make(chan struct{})}
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(binary, args...)
	p.cmd.Stderr = log
	p.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	p.cmd.SysProcAttr = attributes()
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	p.pid = p.cmd.Process.Pid
	go p.wait()
	return p, nil
}

func (p *process) wait() {
	p.err = p.cmd.Wait()
	close(p.ended)
}

func (p *process) over() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// send queues a message to a part.
func (p *process) send(m *wire.Message) {
	p.mu.Lock()
	p.out = append(p.out, m)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// signal sends a signal to the process, if it has not been waited for.
func (p *process) signal(s syscall.Signal) error {
	if p.over() {
		return os.ErrProcessDone
	}
	return p.cmd.Process.Signal(s)
}

// lastLine is the last line of a process's log, cut to a length that one can read.
func lastLine(dir, name string) string {
	text, err := os.ReadFile(filepath.Join(dir, name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	last := lines[len(lines)-1]
	return last[:min(len(last), 300)]
}

// usage is what a process has taken so far.
type usage struct {
	cpu     time.Duration // user and system
	rss     int64         // bytes
	in, out int64         // bytes that it read and wrote, nearly all of them on sockets and pipes
	sockets int           // -1: not counted
}

// clockTick is the unit of processor time in /proc, on every Linux.
const clockTick = 10 * time.Millisecond

// readUsage reads a process's processor time, memory and, if asked to, its sockets.
func readUsage(pid int, sockets bool) (u usage, err error) {
	dir := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, err
	}
	// The name in brackets may have spaces.
	f := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(f) < 22 {
		return u, fmt.Errorf("%s/stat: %d fields", dir, len(f))
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	pages, _ := strconv.ParseInt(f[21], 10, 64)
	u.cpu, u.rss, u.sockets = time.Duration(user+system)*clockTick, pages*int64(os.Getpagesize()), -1
	if text, err := os.ReadFile(dir + "/io"); err == nil {
		for line := range strings.Lines(string(text)) {
			name, v, _ := strings.Cut(strings.TrimSpace(line), ": ")
			n, _ := strconv.ParseInt(v, 10, 64)
			switch name {
			case "rchar":
				u.in = n
			case "wchar":
				u.out = n
			}
		}
	}
	if !sockets {
		return u, nil
	}
	fds, err := os.ReadDir(dir + "/fd")
	if err != nil {
		return u, nil //nolint:nilerr // the process has ended meanwhile: what was read before counts
	}
	u.sockets = 0
	for _, fd := range fds {
		if to, err := os.Readlink(dir + "/fd/" + fd.Name()); err == nil && strings.HasPrefix(to, "socket:") {
			u.sockets++
		}
	}
	return u, nil
}

// memory is the machine's in all and what is available, bytes.
func memory() (total, available int64, err error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.ParseInt(f[1], 10, 64)
		switch f[0] {
		case "MemTotal:":
			total = kb << 10
		case "MemAvailable:":
			available = kb << 10
		}
	}
	return total, available, nil
}

// machineTime is the processor time of the whole machine, busy and in all.
func machineTime() (busy, all time.Duration) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0
	}
	line, _, _ := strings.Cut(string(text), "\n")
	for i, v := range strings.Fields(line) {
		n, _ := strconv.ParseInt(v, 10, 64)
		if i == 0 || i > 8 { // guests' time is in that of users
			continue
		}
		all += time.Duration(n) * clockTick
		if i != 4 && i != 5 { // idle, waiting for disks
			busy += time.Duration(n) * clockTick
		}
	}
	return busy, all
}
