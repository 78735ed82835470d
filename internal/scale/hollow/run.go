// Package hollow has workers without machines: they speak the workers' protocol over real
// sockets, and their tasks run by a clock and do no work.
//
// What a launched task is, how long it runs, whether its result is kept already and when a
// gang is whole or has lost a task, the supervisor says: it alone sees all processes.
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

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/httpconn"
	"mapleslip/internal/scale/ipc"
	"mapleslip/internal/scale/wire"
)

// Run is the role of many workers in a process.
func Run(in io.Reader, out io.Writer, _ *slog.Logger) error {
	runtime.GOMAXPROCS(2) // a machine has several of these processes
	p, err := ipc.Open(in, out)
	if err != nil {
		return err
	}
	return run(p)
}

// RunOne is the role of a process that is one worker, which is kept small.
func RunOne(in io.Reader, out io.Writer, _ *slog.Logger) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(24 << 20)
	p, err := ipc.Open(in, out)
	if err != nil {
		return err
	}
	return run(p)
}

// process is what the workers of a process share.
type process struct {
	config   *wire.Config
	platform *protocol.Platform
	types    map[string]*protocol.MachineType
	timers   *timers
	now      func() int64

	mu      sync.Mutex
	workers map[string]*worker
	jobs    map[string]*job
	gangs   map[string]map[*task]bool // tasks that are on machines, by job and attempt
	out     []*wire.Message
	more    chan struct{} // something is in out

	hello, commands, status httpconn.Traffic
	up                      atomic.Int64
	failed, redirects       atomic.Int64 // reports
	dropped                 atomic.Int64 // answers
	expiries                atomic.Int64
	longest                 atomic.Int64 // wait for an answer to a report, microseconds
}

func run(pp *ipc.Pipe) error {
	p := &process{
		config: pp.Config, platform: pp.Platform, types: make(map[string]*protocol.MachineType), timers: newTimers(), now: wire.Now,
		workers: make(map[string]*worker), jobs: make(map[string]*job), gangs: make(map[string]map[*task]bool), more: make(chan struct{}, 1),
	}
	for _, t := range p.config.Types {
		p.types[t.Name] = t
	}
	if err := pp.Ready(p.begin()); err != nil {
		p.end()
		return err
	}
	stop, flushed := make(chan struct{}), make(chan struct{})
	go p.timers.run(stop)
	go func() {
		defer close(flushed)
		p.speak(pp.Out, stop)
	}()
	gauge := time.NewTicker(time.Second)
	defer gauge.Stop()
	for open := true; open; {
		select {
		case m, more := <-pp.In:
			if open = more; open {
				p.order(m)
			}
		case <-gauge.C:
			p.tell(p.gauge(p.now()))
		}
	}
	p.end()
	close(stop)
	<-flushed
	return nil
}

// begin brings up the machines that are there from the beginning.
func (p *process) begin() error {
	if p.platform == nil || len(p.config.Controllers) == 0 {
		return fmt.Errorf("the platform's settings or the controllers are missing")
	}
	now := p.now()
	for i := range p.config.Machines {
		w, err := p.add(p.config.Machines[i])
		if err == nil {
			err = w.starts(now, true)
		}
		if err != nil {
			return fmt.Errorf("worker of %s: %w", p.config.Machines[i].Name, err)
		}
	}
	return nil
}

// end closes all sockets.
func (p *process) end() {
	for _, w := range p.named(nil) {
		w.ends(p.now(), "end of the run")
	}
}

// add takes a machine in.
func (p *process) add(m wire.Machine) (*worker, error) {
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
		p: p, m: m, typ: typ, head: reportHead(&m), send: make(chan struct{}, 1),
		rng: rand.New(rand.NewPCG(p.config.Seed, h.Sum64())), client: &httpconn.Client{Source: m.Source, Traffic: &p.hello},
	}
	w.images = images{rate: typ.FetchRate * (2 + 2*w.rng.Float64()) / 3, cache: typ.CacheSize, list: make(map[string]*image)}
	if w.images.rate <= 0 {
		w.images.rate = math.MaxInt32
	}
	w.node = w.rng.IntN(len(p.config.Controllers))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.workers[m.Name] != nil {
		return nil, fmt.Errorf("there are two of that name")
	}
	p.workers[m.Name] = w
	return w, nil
}

// named lists workers by their machines' names, nil: all.
func (p *process) named(names []string) (list []*worker) {
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

// remove takes machines away for good.
func (p *process) remove(names []string, why string) {
	for _, w := range p.named(names) {
		w.ends(p.now(), why)
		p.mu.Lock()
		delete(p.workers, w.m.Name)
		p.mu.Unlock()
	}
}

// order carries out what the supervisor says.
func (p *process) order(m *wire.Message) {
	switch m.Kind {
	case wire.Boot:
		if m.Machine == nil {
			return
		}
		w, err := p.add(*m.Machine)
		if err != nil {
			p.note("machine %s: %v", m.Machine.Name, err)
			return
		}
		p.timers.at(m.At, func(now int64) {
			if err := w.starts(now, false); err != nil {
				p.note("worker of %s: %v", w.m.Name, err)
			}
		})
	case wire.Gone:
		var had []string
		for _, w := range p.named(m.Names) {
			had = append(had, w.m.Name)
		}
		if len(had) > 0 {
			p.remove(had, "released")
		}
		p.tell(&wire.Message{Kind: wire.GoneDone, ID: m.ID, Names: had, At: p.now()})
	case wire.Jobs:
		for _, spec := range m.Specs {
			if s, err := protocol.ParseJob(spec); err == nil {
				p.mu.Lock()
				p.jobs[s.Ref] = &job{s, m.Run}
				p.mu.Unlock()
			}
		}
		for _, w := range p.named([]string{m.Name}) {
			w.described(m)
		}
	case wire.Go:
		p.each(m.Task, func(t *task) func(int64) { return func(now int64) { t.goes(now, m) } })
	case wire.Peers:
		p.each(m.Task, func(t *task) func(int64) {
			return func(now int64) {
				if m.At <= now {
					t.alone(now) // before what else was held while the machine hung
					return
				}
				t.w.later(m.At, t.alone)
			}
		})
	case wire.Fault:
		p.fault(m)
	}
}

func (p *process) fault(m *wire.Message) {
	now := p.now()
	switch m.Text {
	case wire.FaultEnd:
		p.remove(m.Names, "ended")
	case wire.FaultHang:
		for _, w := range p.named(m.Names) {
			w.hangs(now, now+m.For)
		}
	case wire.FaultRestart:
		for _, w := range p.named(m.Names) {
			w.restarts(now)
		}
	}
}

// goes takes word that the gang is whole, or that all its tasks were told to save.
func (t *task) goes(now int64, m *wire.Message) {
	switch {
	case m.Text == "saved" && t.state == protocol.TaskCheckpointing:
		t.later(max(now, m.At, t.first+int64(t.job.spec.CheckpointDuration)), func(now int64) { t.exit(now, protocol.ExitStopped, true) })
	case m.Text == "" && t.state == protocol.TaskWaiting:
		t.runs(now, m.At)
	}
}

// alone ends a task whose gang has lost another one.
func (t *task) alone(now int64) {
	switch t.state {
	case protocol.TaskRunning:
		t.exit(now, protocol.ExitPeers, false)
	case protocol.TaskCheckpointing:
		t.exit(now, protocol.ExitStopped, false)
	case protocol.TaskFetching, protocol.TaskWaiting, protocol.TaskExited:
	}
}

// each has something done for each task here of a gang's attempt, with its worker's lock.
func (p *process) each(name string, do func(*task) func(int64)) {
	var list []*task
	p.mu.Lock()
	for t := range p.gangs[gangOf(name)] {
		list = append(list, t)
	}
	p.mu.Unlock()
	for _, t := range list {
		t.w.locked(p.now(), do(t))
	}
}

// gangOf is what the tasks of an attempt have in common, of one of their names.
func gangOf(task string) string {
	ref, rest, _ := strings.Cut(task, "/")
	_, try, _ := strings.Cut(rest, "#")
	return ref + "#" + try
}

// joins notes that a gang's task is on a machine here.
func (p *process) joins(t *task) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := t.gang()
	if p.gangs[g] == nil {
		p.gangs[g] = make(map[*task]bool)
	}
	p.gangs[g][t] = true
}

// leaves notes that it is there no more.
func (p *process) leaves(t *task) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := t.gang()
	delete(p.gangs[g], t)
	if len(p.gangs[g]) == 0 {
		delete(p.gangs, g)
	}
}

// job is what is known of a job here, or nil.
func (p *process) job(ref string) *job {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.jobs[ref]
}

// tell says something to the supervisor, in order, without waiting for it.
func (p *process) tell(m *wire.Message) {
	p.mu.Lock()
	p.out = append(p.out, m)
	p.mu.Unlock()
	select {
	case p.more <- struct{}{}:
	default:
	}
}

// speak writes what there is to say until stop, and then the rest of it.
func (p *process) speak(to *wire.Writer, stop <-chan struct{}) {
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
		case <-p.more:
		case <-stop:
			stopped = true
		}
	}
}

func (p *process) note(format string, args ...any) {
	p.tell(&wire.Message{Kind: wire.Note, Name: p.config.Part, At: p.now(), Text: fmt.Sprintf(format, args...)})
}

// answered notes how a report went.
func (p *process) answered(took int64, failed bool) {
	if failed {
		p.failed.Add(1)
		return
	}
	for {
		longest := p.longest.Load()
		if took <= longest || p.longest.CompareAndSwap(longest, took) {
			return
		}
	}
}

// gauge is what the supervisor is told each second: counts since the beginning, bytes of
// whole HTTP messages, and what is there now. `_max`: the longest of the last second.
func (p *process) gauge(now int64) *wire.Message {
	v := map[string]float64{
		"lag_ms_max":      float64(p.timers.longest(now)) / 1000,
		"hello_ms_max":    float64(p.longest.Swap(0)) / 1000,
		"workers":         float64(p.up.Load()),
		"lease_expiries":  float64(p.expiries.Load()),
		"hello_failed":    float64(p.failed.Load()),
		"hello_redirects": float64(p.redirects.Load()),
		"hello_dropped":   float64(p.dropped.Load()),
	}
	for name, t := range map[string]*httpconn.Traffic{"hello": &p.hello, "commands": &p.commands, "status": &p.status} {
		v[name] = float64(t.Messages.Load())
		v[name+"_in_bytes"] = float64(t.In.Load())
		v[name+"_out_bytes"] = float64(t.Out.Load())
	}
	var held, on, running int
	for _, w := range p.named(nil) {
		w.mu.Lock()
		held += len(w.tasks)
		for _, t := range w.tasks {
			if t.on {
				on++
			}
			if t.state == protocol.TaskRunning {
				running++
			}
		}
		w.mu.Unlock()
	}
	v["tasks_reported"], v["tasks_on"], v["tasks_running"] = float64(held), float64(on), float64(running)
	return &wire.Message{Kind: wire.Gauge, Name: p.config.Part, At: now, Values: v}
}
