package scale

import (
	"bytes"
	"fmt"
	"io"
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

// roleController is the role of controllers. The roles of the parts are in package wire.
const roleController = "controller"

// process is a child process of the supervisor.
type process struct {
	name, role, region string
	cmd                *exec.Cmd
	pid                int
	exited             chan struct{} // closed once the process has been waited for
	err                error         // result of the wait, set before exited is closed

	mu    sync.Mutex
	queue []*wire.Message // messages to be sent; queued, so that a part that doesn't read can't block the others
	wake  chan struct{}
}

// inbound is a message from a part. m is nil once the output of the part has ended.
type inbound struct {
	from *process
	m    *wire.Message
}

// childAttributes makes a child end with the supervisor, however that ends, and gives it its own
// process group, so that Ctrl-C reaches the supervisor alone.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
}

// startPart starts a process of this program with the given role. Its messages are sent to in.
func startPart(executable, dir, name, role, region string, in chan<- inbound, stopped <-chan struct{}) (*process, error) {
	p := &process{name: name, role: role, region: region, exited: make(chan struct{}), wake: make(chan struct{}, 1)}
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(executable, "scale", "part", role)
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = childAttributes()
	stdin, err := p.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	// The pipe is not one of package exec, which Wait would close before all output has been
	// read: reading ends when the part closes its output.
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
	go p.readMessages(r, in, stopped)
	go p.writeMessages(stdin)
	go p.wait()
	return p, nil
}

// readMessages passes on the messages of a part until it closes its output, and then nil.
func (p *process) readMessages(r io.ReadCloser, in chan<- inbound, stopped <-chan struct{}) {
	defer r.Close()
	deliver := func(m *wire.Message) bool {
		select {
		case in <- inbound{p, m}:
			return true
		case <-stopped:
			return false
		}
	}
	if err := wire.Read(r, deliver); err != nil {
		deliver(&wire.Message{Kind: wire.Note, Text: p.name + ": " + err.Error()})
	}
	deliver(nil)
}

// writeMessages writes the queued messages to a part until it exits, or is told to stop.
func (p *process) writeMessages(stdin io.WriteCloser) {
	defer stdin.Close()
	writer := wire.NewWriter(stdin)
	for {
		select {
		case <-p.wake:
		case <-p.exited:
			return
		}
		p.mu.Lock()
		list := p.queue
		p.queue = nil
		p.mu.Unlock()
		for _, m := range list {
			if writer.Send(m) != nil || m.Kind == wire.Stop {
				return
			}
		}
	}
}

// startController starts a controller, which appends to the log of an earlier process.
func startController(binary, dir, name, region string, args ...string) (*process, error) {
	p := &process{name: name, role: roleController, region: region, exited: make(chan struct{})}
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(binary, args...)
	p.cmd.Stderr = log
	p.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	p.cmd.SysProcAttr = childAttributes()
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	p.pid = p.cmd.Process.Pid
	go p.wait()
	return p, nil
}

func (p *process) wait() {
	p.err = p.cmd.Wait()
	close(p.exited)
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// send queues a message to a part.
func (p *process) send(m *wire.Message) {
	p.mu.Lock()
	p.queue = append(p.queue, m)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// signal sends a signal to the process if it has not been waited for.
func (p *process) signal(s syscall.Signal) error {
	if p.hasExited() {
		return os.ErrProcessDone
	}
	return p.cmd.Process.Signal(s)
}

// lastLine returns the last line of the log of a process, cut to 300 bytes to be readable.
func lastLine(dir, name string) string {
	text, err := os.ReadFile(filepath.Join(dir, name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	last := lines[len(lines)-1]
	return last[:min(len(last), 300)]
}

// usage contains the resources that a process has used so far.
type usage struct {
	cpu     time.Duration // user and system time
	rss     int64         // bytes
	in, out int64         // bytes read and written, nearly all of them on sockets and pipes
	sockets int           // -1 if not counted
}

// clockTick is the unit of processor time in /proc, the same on every Linux system.
const clockTick = 10 * time.Millisecond

// readUsage reads the processor time, memory and transferred bytes of a process and, if sockets
// is true, counts its sockets.
func readUsage(pid int, sockets bool) (u usage, err error) {
	dir := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, err
	}
	// The process name in parentheses may contain spaces.
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
		return u, nil //nolint:nilerr // the process has just ended: the values read so far are valid
	}
	u.sockets = 0
	for _, fd := range fds {
		if to, err := os.Readlink(dir + "/fd/" + fd.Name()); err == nil && strings.HasPrefix(to, "socket:") {
			u.sockets++
		}
	}
	return u, nil
}

// machineMemory returns the total and the available memory of the machine in bytes.
func machineMemory() (total, available int64, err error) {
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

// machineCPUTime returns the processor time of the whole machine since its boot, without idle
// time and in total.
func machineCPUTime() (busy, all time.Duration) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0
	}
	line, _, _ := strings.Cut(string(text), "\n")
	for i, v := range strings.Fields(line) {
		n, _ := strconv.ParseInt(v, 10, 64)
		if i == 0 || i > 8 { // guest time is included in user time
			continue
		}
		all += time.Duration(n) * clockTick
		if i != 4 && i != 5 { // idle, iowait
			busy += time.Duration(n) * clockTick
		}
	}
	return busy, all
}
