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

// Options are those of a run.
type Options struct {
	File       *File
	Part       float64
	Seed       uint64 // 0: the file's
	Out        string // folder of the report, logs and settings
	Controller string // program of the controllers; "": this one
	Progress   io.Writer
}

// Exit codes of a run.
const (
	ExitGood   = 0
	ExitBroken = 1 // a rule of the protocol was broken, or nothing ran
	ExitFailed = 2 // the run could not be made, or reached a limit
	ExitVoid   = 3 // the machine, and not the deployment, is what was measured
)

// limitError is that of a run which a limit ended.
type limitError struct{ text string }

func (e *limitError) Error() string { return e.text }

// controllerAt is a controller of the run.
type controllerAt struct {
	name, zone, region string
	ip                 string
	args               []string
	proc               *process
	frozen             bool
	restarts           int
	restartAt          int64 // 0: it runs, or nobody starts it again
}

// machineAt is a machine that is there.
type machineAt struct {
	wire.Machine
	proc *process
}

// supervisor owns a run. Its loop alone touches what isn't behind a lock.
type supervisor struct {
	o       Options
	f       *File // of the run's size
	self    string
	network *loopback.Network
	rand    *rand.Rand
	over    chan struct{}
	in      chan inbound
	hub     *checker.Hub
	meter   *meter

	mu    sync.Mutex
	procs []*process // all that have been started and not been waited for

	parts       map[string]*process
	controllers []*controllerAt
	machines    map[string]*machineAt
	relays      []*process
	standins    *process
	users       *process
	hollow      map[string][]*process // by region
	releases    map[uint64]map[string]bool
	ready       map[string]bool
	silent      map[string]bool // parts whose output has ended
	faults      []Fault
	played      []Played
	notes       []string
	problem     error
	firstStart  int64
	until       int64 // hard end, wire time
}

// Played is a fault as it was played.
type Played struct {
	T     float64 `json:"t"` // seconds from the load's beginning
	Fault string  `json:"fault"`
	What  string  `json:"what"` // whom it hit
}

// Run plays a deployment. The error says why it could not be made or which limit it
// reached; the report is there as far as the run came, if it began at all.
func Run(ctx context.Context, o Options) (*Report, error) {
	f := o.File.Part(o.Part)
	if o.Seed != 0 {
		f.Seed = o.Seed
	}
	s := &supervisor{
		o: o, f: f, over: make(chan struct{}), in: make(chan inbound, 8192), rand: rand.New(rand.NewPCG(f.Seed, 0xfa017)),
		parts: make(map[string]*process), machines: make(map[string]*machineAt), hollow: make(map[string][]*process),
		releases: make(map[uint64]map[string]bool), ready: make(map[string]bool), silent: make(map[string]bool), meter: newMeter(f), faults: f.Faults,
	}
	if err := s.prepare(); err != nil {
		return nil, err
	}
	defer s.end()
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.Limits.MaxS*float64(time.Second)))
	defer cancel()
	s.until = wire.Now() + int64(protocol.FromSeconds(f.Limits.MaxS))
	err := s.play(ctx)
	s.end()
	r := s.report(began, err)
	return r, err
}

// prepare checks the machine and reserves what the run needs.
func (s *supervisor) prepare() (err error) {
	if s.self, err = os.Executable(); err != nil {
		return err
	}
	if s.o.Controller == "" {
		s.o.Controller = s.self
	}
	if n := s.processes(); n > s.f.Limits.Processes {
		return &limitError{fmt.Sprintf("%d processes, limits.processes is %d", n, s.f.Limits.Processes)}
	}
	if n := int(math.Ceil(float64(s.f.Machines()) * (1 + s.f.Deployment.SpareShare))); n > wire.MostMachines {
		return &limitError{fmt.Sprintf("%d machines with the spare ones, a network has addresses for %d", n, wire.MostMachines)}
	}
	total, available, err := memory()
	if err != nil {
		return err
	}
	// What processes of each kind were seen to take at least.
	need := int64(s.processes())*20<<20 + int64(s.f.Machines())*300<<10
	if need > available || float64(need) > s.f.Limits.Memory*float64(total) {
		return &limitError{fmt.Sprintf("about %d MB are needed at least, %d of %d are available, limits.memory is %g", need>>20, available>>20, total>>20, s.f.Limits.Memory)}
	}
	if err := os.MkdirAll(s.o.Out, 0o755); err != nil {
		return err
	}
	s.network, err = loopback.Reserve()
	return err
}

// hollowPerRegion is how many hollow processes a region with so many machines has.
func (s *supervisor) hollowPerRegion() int {
	n := (s.f.Machines() + len(s.f.Regions) - 1) / len(s.f.Regions)
	return max(1, (n+s.f.Deployment.PerProcess-1)/s.f.Deployment.PerProcess)
}

// processes counts the run's, the supervisor among them.
func (s *supervisor) processes() int {
	return 3 + len(s.f.Controllers.Zones) + len(s.f.Regions)*(1+s.hollowPerRegion()) + min(s.f.Deployment.RealWorkers, s.f.Machines())
}

func (s *supervisor) start(p *process, err error) (*process, error) {
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.procs = append(s.procs, p)
	s.mu.Unlock()
	return p, nil
}

func (s *supervisor) startPart(name, role, region string) (*process, error) {
	p, err := s.start(startPart(s.self, s.o.Out, name, role, region, s.in, s.over))
	if err == nil {
		s.parts[name] = p
	}
	return p, err
}

// end ends all processes, by their ids, and waits for them. It may be called twice.
func (s *supervisor) end() {
	select {
	case <-s.over:
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
	// Parts say their last words.
	patience := time.After(3 * time.Second)
	for waiting := true; waiting && len(s.silent) < len(s.parts); {
		select {
		case m := <-s.in:
			s.message(m)
		case <-patience:
			waiting = false
		}
	}
	close(s.over)
	s.mu.Lock()
	procs := slices.Clone(s.procs)
	s.mu.Unlock()
	for _, p := range procs {
		_ = p.signal(syscall.SIGKILL)
	}
	for _, p := range procs {
		<-p.ended
	}
	_ = s.network.Close()
}

// ParseFault reads a fault of the command line, at_s=95,kind=controller_end,controller=leader.
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
	var t Fault
	if err := protocol.DecodeStrict([]byte(b.String()), &t); err != nil {
		return t, fmt.Errorf("--fault: %w", protocol.OneLine(err))
	}
	c := &validator{}
	regions, zones := f.checkRegions(c)
	f.checkFault(c, "", &t, regions, zones)
	if c.first != nil {
		return t, fmt.Errorf("--fault: %w", c.first)
	}
	return t, nil
}
