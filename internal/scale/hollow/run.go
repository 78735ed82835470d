// Package hollow simulates workers without machines. The workers use the real protocol over
// real sockets, but their tasks only wait for timers and do no work.
//
// The supervisor sends the description of a launched task, its run time, whether its result
// is stored already, and whether a gang is complete or has lost a task, since only the
// supervisor receives messages from all processes.
package hollow

import (
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mapleslip/internal/duplicate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/httpconn"
	"mapleslip/internal/scale/ipc"
	"mapleslip/internal/scale/wire"
)

// Run runs the part with wire.RoleHollow: a process that simulates many workers.
func Run(in io.Reader, out io.Writer, _ *slog.Logger) error {
	runtime.GOMAXPROCS(2) // several of these processes share a machine
	p, err := ipc.Open(in, out)
	if err != nil {
		return err
	}
	return run(p)
}

// RunOne runs the part with wire.RoleWorker: a process that simulates a single worker and is
// limited to one CPU and little memory.
func RunOne(in io.Reader, out io.Writer, _ *slog.Logger) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(24 << 20)
	p, err := ipc.Open(in, out)
	if err != nil {
		return err
	}
	return run(p)
}

// process contains the state that the workers of a process share.
type process struct {
	config   *wire.Config
	platform *protocol.Platform
	types    map[string]*protocol.MachineType
	timers   *timers
	now      func() int64

	mu       sync.Mutex
	workers  map[string]*worker
	jobs     map[string]*job
	gangs    map[string]map[*task]bool // gang tasks on machines of this process, by gangKey
	out      []*wire.Message
	outReady chan struct{} // signals that out is not empty

	heartbeatTraffic, commandTraffic, statusTraffic httpconn.Traffic
	workersUp                                       atomic.Int64
	failedReports, redirects                        atomic.Int64 // counts of reports
	droppedAnswers                                  atomic.Int64 // of an old epoch or session
	leaseExpiries                                   atomic.Int64
	refusedCopies                                   atomic.Int64 // of direct commands
	maxReportLatency                                atomic.Int64 // since the last gauge, microseconds

	duplicates *duplicate.Sequence // nil for no copies
}

func run(pipe *ipc.Pipe) error {
	p := &process{
		config: pipe.Config, platform: pipe.Platform, types: make(map[string]*protocol.MachineType), timers: newTimers(), now: wire.Now,
		workers: make(map[string]*worker), jobs: make(map[string]*job), gangs: make(map[string]map[*task]bool), outReady: make(chan struct{}, 1),
		duplicates: &duplicate.Sequence{},
	}
	for _, t := range p.config.Types {
		p.types[t.Name] = t
	}
	if err := pipe.Ready(p.startMachines()); err != nil {
		p.removeAll()
		return err
	}
	stop, flushed := make(chan struct{}), make(chan struct{})
	go p.timers.run(stop)
	go func() {
		defer close(flushed)
		p.writeMessages(pipe.Out, stop)
	}()
	gauge := time.NewTicker(time.Second)
	defer gauge.Stop()
	for open := true; open; {
		select {
		case m, more := <-pipe.In:
			if open = more; open {
				p.handleMessage(m)
			}
		case <-gauge.C:
			p.send(p.gaugeMessage(p.now()))
		}
	}
	p.removeAll()
	close(stop)
	<-flushed
	return nil
}

// startMachines starts the workers of the machines that exist from the beginning of the run.
func (p *process) startMachines() error {
	if p.platform == nil || len(p.config.Controllers) == 0 {
		return fmt.Errorf("the platform's settings or the controllers are missing")
	}
	now := p.now()
	for i := range p.config.Machines {
		w, err := p.addMachine(p.config.Machines[i])
		if err == nil {
			err = w.start(now, true)
		}
		if err != nil {
			return fmt.Errorf("worker of %s: %w", p.config.Machines[i].Name, err)
		}
	}
	return nil
}

// removeAll removes all machines, which closes their sockets.
func (p *process) removeAll() {
	for _, w := range p.workersByName(nil) {
		w.remove(p.now(), "end of the run")
	}
}

// addMachine creates the worker of a machine without starting it.
func (p *process) addMachine(m wire.Machine) (*worker, error) {
	typ := p.types[m.Type]
	if typ == nil {
		return nil, fmt.Errorf("unknown machine type %q", m.Type)
	}
	for _, c := range p.config.Controllers {
		if c.Public[m.Region] == "" {
			return nil, fmt.Errorf("no address of controller %s for region %q", c.Name, m.Region)
		}
	}
	h := fnv.New64a()
	h.Write([]byte(m.Name))
	w := &worker{
		process: p, machine: m, machineType: typ, reportPrefix: encodeReportPrefix(&m), sendReport: make(chan struct{}, 1),
		rng: rand.New(rand.NewPCG(p.config.Seed, h.Sum64())), client: &httpconn.Client{Source: m.Source, Traffic: &p.heartbeatTraffic},
	}
	w.images = imageCache{fetchRate: typ.FetchRate * (2 + 2*w.rng.Float64()) / 3, capacity: typ.CacheSize, byName: make(map[string]*image)}
	if w.images.fetchRate <= 0 {
		w.images.fetchRate = math.MaxInt32
	}
	w.controller = w.rng.IntN(len(p.config.Controllers))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.workers[m.Name] != nil {
		return nil, fmt.Errorf("there are two of that name")
	}
	p.workers[m.Name] = w
	return w, nil
}

// workersByName returns the workers of the named machines, or all workers if names is nil.
func (p *process) workersByName(names []string) (list []*worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if names == nil {
		for _, w := range p.workers {
			list = append(list, w)
		}
		return list
	}
	for _, n := range names {
		if w := p.workers[n]; w != nil {
			list = append(list, w)
		}
	}
	return list
}

// removeMachines permanently removes machines with their workers and tasks.
func (p *process) removeMachines(names []string, why string) {
	for _, w := range p.workersByName(names) {
		w.remove(p.now(), why)
		p.mu.Lock()
		delete(p.workers, w.machine.Name)
		p.mu.Unlock()
	}
}

// handleMessage executes a message from the supervisor.
func (p *process) handleMessage(m *wire.Message) {
	switch m.Kind {
	case wire.Boot:
		if m.Machine == nil {
			return
		}
		w, err := p.addMachine(*m.Machine)
		if err != nil {
			p.note("machine %s: %v", m.Machine.Name, err)
			return
		}
		p.timers.schedule(m.At, func(now int64) {
			if err := w.start(now, false); err != nil {
				p.note("worker of %s: %v", w.machine.Name, err)
			}
		})
	case wire.Gone:
		var found []string
		for _, w := range p.workersByName(m.Names) {
			found = append(found, w.machine.Name)
		}
		if len(found) > 0 {
			p.removeMachines(found, "released")
		}
		p.send(&wire.Message{Kind: wire.GoneDone, ID: m.ID, Names: found, At: p.now()})
	case wire.Jobs:
		for _, spec := range m.Specs {
			if s, err := protocol.ParseJob(spec); err == nil {
				p.mu.Lock()
				p.jobs[s.Ref] = &job{s, m.Run}
				p.mu.Unlock()
			}
		}
		for _, w := range p.workersByName([]string{m.Name}) {
			w.handleDescription(m)
		}
	case wire.Go:
		p.forEachGangTask(m.Task, func(t *task) func(int64) { return func(now int64) { t.handleGo(now, m) } })
	case wire.Peers:
		p.forEachGangTask(m.Task, func(t *task) func(int64) {
			return func(now int64) {
				if m.At <= now {
					t.handlePeerLoss(now) // a timer would run after other deferred calls
					return
				}
				t.worker.schedule(m.At, t.handlePeerLoss)
			}
		})
	case wire.Fault:
		p.injectFault(m)
	}
}

func (p *process) injectFault(m *wire.Message) {
	now := p.now()
	switch m.Text {
	case wire.FaultEnd:
		p.removeMachines(m.Names, "ended")
	case wire.FaultHang:
		for _, w := range p.workersByName(m.Names) {
			w.hang(now, now+m.For)
		}
	case wire.FaultRestart:
		for _, w := range p.workersByName(m.Names) {
			w.restart(now)
		}
	}
}

// handleGo handles a wire.Go message. Without a text it starts a task whose gang is complete,
// which runs until m.At. With the text `saved` all tasks of the gang have received the command
// to checkpoint, so that the checkpoint can complete.
func (t *task) handleGo(now int64, m *wire.Message) {
	switch {
	case m.Text == "saved" && t.state == protocol.TaskCheckpointing:
		t.schedule(max(now, m.At, t.checkpointStart+int64(t.job.spec.CheckpointDuration)), func(now int64) { t.exit(now, protocol.ExitStopped, true) })
	case m.Text == "" && t.state == protocol.TaskWaiting:
		t.startRunning(now, m.At)
	}
}

// handlePeerLoss ends a task whose gang has lost another task.
func (t *task) handlePeerLoss(now int64) {
	switch t.state {
	case protocol.TaskRunning:
		t.exit(now, protocol.ExitPeers, false)
	case protocol.TaskCheckpointing:
		t.exit(now, protocol.ExitStopped, false)
	case protocol.TaskFetching, protocol.TaskWaiting, protocol.TaskExited:
	}
}

// forEachGangTask calls a function for each task of a gang attempt in this process, with the
// lock of the task's worker. name is the name of any task of the attempt.
func (p *process) forEachGangTask(name string, do func(*task) func(int64)) {
	var list []*task
	p.mu.Lock()
	for t := range p.gangs[gangKeyOf(name)] {
		list = append(list, t)
	}
	p.mu.Unlock()
	for _, t := range list {
		t.worker.runLocked(p.now(), do(t))
	}
}

// gangKeyOf returns the gangKey of a task from the task's name.
func gangKeyOf(task string) string {
	ref, rest, _ := strings.Cut(task, "/")
	_, attempt, _ := strings.Cut(rest, "#")
	return ref + "#" + attempt
}

// addGangTask records that a gang task is on a machine of this process.
func (p *process) addGangTask(t *task) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := t.gangKey()
	if p.gangs[g] == nil {
		p.gangs[g] = make(map[*task]bool)
	}
	p.gangs[g][t] = true
}

// removeGangTask records that a gang task has left its machine.
func (p *process) removeGangTask(t *task) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := t.gangKey()
	delete(p.gangs[g], t)
	if len(p.gangs[g]) == 0 {
		delete(p.gangs, g)
	}
}

// job returns a job, or nil if the supervisor has not described it to this process.
func (p *process) job(ref string) *job {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.jobs[ref]
}

// send queues a message to the supervisor. It doesn't block and keeps the order of messages.
func (p *process) send(m *wire.Message) {
	p.mu.Lock()
	p.out = append(p.out, m)
	p.mu.Unlock()
	select {
	case p.outReady <- struct{}{}:
	default:
	}
}

// writeMessages writes queued messages to the supervisor until stop is closed, and then those
// that are left in the queue.
func (p *process) writeMessages(to *wire.Writer, stop <-chan struct{}) {
	for stopped := false; ; {
		p.mu.Lock()
		list := p.out
		p.out = nil
		p.mu.Unlock()
		for _, m := range list {
			if to.Send(m) != nil {
				return
			}
		}
		if len(list) > 0 {
			continue
		}
		if stopped {
			return
		}
		select {
		case <-p.outReady:
		case <-stop:
			stopped = true
		}
	}
}

func (p *process) note(format string, args ...any) {
	p.send(&wire.Message{Kind: wire.Note, Name: p.config.Part, At: p.now(), Text: fmt.Sprintf(format, args...)})
}

// malformed tells of a message of a controller that does not follow the protocol.
func (p *process) malformed(what string, err error) {
	p.send(&wire.Message{Kind: wire.Broken, Name: wire.RuleMalformed, At: p.now(), Text: what + ": " + err.Error()})
}

// recordReport records the latency of an answered report, or a failure.
func (p *process) recordReport(took int64, failed bool) {
	if failed {
		p.failedReports.Add(1)
		return
	}
	for {
		previous := p.maxReportLatency.Load()
		if took <= previous || p.maxReportLatency.CompareAndSwap(previous, took) {
			return
		}
	}
}

// gaugeMessage returns the message that the supervisor receives each second. Its values are
// counts since the beginning, bytes of whole HTTP messages, and current numbers of workers and
// tasks. Values with the suffix `_max` are maxima of the last second.
func (p *process) gaugeMessage(now int64) *wire.Message {
	v := map[string]float64{
		"lag_ms_max":      float64(p.timers.takeMaxLag(now)) / 1000,
		"hello_ms_max":    float64(p.maxReportLatency.Swap(0)) / 1000,
		"workers":         float64(p.workersUp.Load()),
		"lease_expiries":  float64(p.leaseExpiries.Load()),
		"hello_failed":    float64(p.failedReports.Load()),
		"hello_redirects": float64(p.redirects.Load()),
		"hello_dropped":   float64(p.droppedAnswers.Load()),
		"copies_refused":  float64(p.refusedCopies.Load()),
	}
	for name, t := range map[string]*httpconn.Traffic{"hello": &p.heartbeatTraffic, "commands": &p.commandTraffic, "status": &p.statusTraffic} {
		v[name] = float64(t.Messages.Load())
		v[name+"_in_bytes"] = float64(t.In.Load())
		v[name+"_out_bytes"] = float64(t.Out.Load())
	}
	var reported, entered, running int
	for _, w := range p.workersByName(nil) {
		w.mu.Lock()
		reported += len(w.tasks)
		for _, t := range w.tasks {
			if t.entered {
				entered++
			}
			if t.state == protocol.TaskRunning {
				running++
			}
		}
		w.mu.Unlock()
	}
	v["tasks_reported"], v["tasks_on"], v["tasks_running"] = float64(reported), float64(entered), float64(running)
	return &wire.Message{Kind: wire.Gauge, Name: p.config.Part, At: now, Values: v}
}
