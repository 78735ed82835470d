package scale

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"mapleslip/internal/loopback"
	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/checker"
	"mapleslip/internal/scale/wire"
)

// Options are the options of a run.
type Options struct {
	File       *File
	Part       float64
	Seed       uint64 // 0: the seed of the settings file
	Out        string // folder for the report, logs and settings
	Controller string // program of the controllers; "": this program
	Progress   io.Writer
}

// Exit codes of a run.
const (
	ExitGood   = 0
	ExitBroken = 1 // a rule of the protocol was broken, or no task started
	ExitFailed = 2 // the run could not be set up or completed, or reached a limit
	ExitVoid   = 3 // the tool lagged too much: the run measured this machine, not the deployment
)

// limitError is the error of a run that a limit ended.
type limitError struct{ text string }

func (e *limitError) Error() string { return e.text }

// controllerState is a controller of the run and the state of its process.
type controllerState struct {
	name, zone, region string
	ip                 string
	args               []string
	proc               *process
	frozen             bool
	restarts           int
	restartAt          int64 // time of its next start; 0: it runs, or no start is planned
}

// machineState is a machine that currently exists, with the process that runs its worker.
type machineState struct {
	wire.Machine
	proc *process
}

// supervisor runs a deployment. Only its event loop changes the fields that mu doesn't guard.
type supervisor struct {
	options    Options
	file       *File // settings, scaled to the size of the run
	executable string
	network    *loopback.Network
	rand       *rand.Rand
	stopped    chan struct{}
	in         chan inbound
	hub        *checker.Hub
	meter      *meter

	mu    sync.Mutex
	procs []*process // all processes that were started and not yet waited for

	parts        map[string]*process
	controllers  []*controllerState
	machines     map[string]*machineState
	relays       []*process
	standins     *process
	users        *process
	hollow       map[string][]*process // by region
	releases     map[uint64]map[string]bool
	ready        map[string]bool
	outputClosed map[string]bool // parts whose output has ended
	faults       []Fault
	injected     []Played
	notes        []string
	partErr      error
	firstStart   int64
	deadline     int64 // latest end of the run, wire time
}

// Played is a fault that was injected.
type Played struct {
	T     float64 `json:"t"` // seconds since the start of the load
	Fault string  `json:"fault"`
	What  string  `json:"what"` // controllers, machines or region that the fault was applied to
}

// Run runs a deployment. The error is the reason why the run failed, or the limit that
// it reached. The report covers the run up to that point, and is nil if the preparation failed.
func Run(ctx context.Context, o Options) (*Report, error) {
	f := o.File.Part(o.Part)
	if o.Seed != 0 {
		f.Seed = o.Seed
	}
	s := &supervisor{
		options: o, file: f, stopped: make(chan struct{}), in: make(chan inbound, 8192), rand: rand.New(rand.NewPCG(f.Seed, 0xfa017)),
		parts: make(map[string]*process), machines: make(map[string]*machineState), hollow: make(map[string][]*process),
		releases: make(map[uint64]map[string]bool), ready: make(map[string]bool), outputClosed: make(map[string]bool), meter: newMeter(f), faults: f.Faults,
	}
	if err := s.prepare(); err != nil {
		return nil, err
	}
	defer s.stop()
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.Limits.MaxS*float64(time.Second)))
	defer cancel()
	s.deadline = wire.Now() + int64(protocol.FromSeconds(f.Limits.MaxS))
	err := s.run(ctx)
	s.stop()
	r := s.report(began, err)
	return r, err
}

// prepare checks the resources of the machine and reserves a loopback network for the run.
func (s *supervisor) prepare() (err error) {
	if s.executable, err = os.Executable(); err != nil {
		return err
	}
	if s.options.Controller == "" {
		s.options.Controller = s.executable
	}
	if n := s.processes(); n > s.file.Limits.Processes {
		return &limitError{fmt.Sprintf("%d processes, limits.processes is %d", n, s.file.Limits.Processes)}
	}
	if n := int(math.Ceil(float64(s.file.Machines()) * (1 + s.file.Deployment.SpareShare))); n > wire.MostMachines {
		return &limitError{fmt.Sprintf("%d machines with the spare ones, a network has addresses for %d", n, wire.MostMachines)}
	}
	total, available, err := machineMemory()
	if err != nil {
		return err
	}
	// 20 MiB for each process and 300 KiB for each machine are lower bounds of their memory.
	need := int64(s.processes())*20<<20 + int64(s.file.Machines())*300<<10
	if need > available || float64(need) > s.file.Limits.Memory*float64(total) {
		return &limitError{fmt.Sprintf("about %d MB are needed at least, %d of %d are available, limits.memory is %g", need>>20, available>>20, total>>20, s.file.Limits.Memory)}
	}
	if err := os.MkdirAll(s.options.Out, 0o755); err != nil {
		return err
	}
	s.network, err = loopback.Reserve()
	return err
}

// hollowPerRegion returns how many hollow processes each region needs, so that none has more
// machines than deployment.per_process at the start.
func (s *supervisor) hollowPerRegion() int {
	n := (s.file.Machines() + len(s.file.Regions) - 1) / len(s.file.Regions)
	return max(1, (n+s.file.Deployment.PerProcess-1)/s.file.Deployment.PerProcess)
}

// processes returns the number of processes of the run, including the supervisor.
func (s *supervisor) processes() int {
	return 3 + len(s.file.Controllers.Zones) + len(s.file.Regions)*(1+s.hollowPerRegion()) + min(s.file.Deployment.RealWorkers, s.file.Machines())
}

// track adds a started process to those that stop ends.
func (s *supervisor) track(p *process, err error) (*process, error) {
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.procs = append(s.procs, p)
	s.mu.Unlock()
	return p, nil
}

func (s *supervisor) startPart(name, role, region string) (*process, error) {
	p, err := s.track(startPart(s.executable, s.options.Out, name, role, region, s.in, s.stopped))
	if err == nil {
		s.parts[name] = p
	}
	return p, err
}

// stop ends all processes, by their process IDs, and waits for them. A second call does nothing.
func (s *supervisor) stop() {
	select {
	case <-s.stopped:
		return
	default:
	}
	for _, p := range s.parts {
		p.send(&wire.Message{Kind: wire.Stop})
	}
	for _, c := range s.controllers {
		if c.proc != nil {
			_ = c.proc.signal(syscall.SIGKILL)
		}
	}
	// Receive the last messages of the parts, for at most 3 s.
	timeout := time.After(3 * time.Second)
	for waiting := true; waiting && len(s.outputClosed) < len(s.parts); {
		select {
		case m := <-s.in:
			s.handleMessage(m)
		case <-timeout:
			waiting = false
		}
	}
	close(s.stopped)
	s.mu.Lock()
	procs := slices.Clone(s.procs)
	s.mu.Unlock()
	for _, p := range procs {
		_ = p.signal(syscall.SIGKILL)
	}
	for _, p := range procs {
		<-p.exited
	}
	_ = s.network.Close()
}

// ParseFault parses a fault from the command line: at_s=95,kind=controller_end,controller=leader.
func ParseFault(f *File, text string) (Fault, error) {
	var b strings.Builder
	for _, field := range strings.Split(text, ",") {
		k, v, ok := strings.Cut(field, "=")
		if !ok {
			return Fault{}, fmt.Errorf("--fault: %q is not key=value", field)
		}
		switch k = strings.TrimSpace(k); k {
		case "kind", "controller", "zone", "region":
			v = fmt.Sprintf("%q", strings.TrimSpace(v))
		}
		fmt.Fprintf(&b, "%s = %s\n", k, v)
	}
	var fault Fault
	if err := protocol.DecodeStrict([]byte(b.String()), &fault); err != nil {
		return fault, fmt.Errorf("--fault: %w", protocol.OneLine(err))
	}
	c := &validator{}
	regions, zones := f.checkRegions(c)
	f.checkFault(c, "", &fault, regions, zones)
	if c.first != nil {
		return fault, fmt.Errorf("--fault: %w", c.first)
	}
	return fault, nil
}
