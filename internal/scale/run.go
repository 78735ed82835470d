package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"mapleslip/internal/loopback"
	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/hub"
	"mapleslip/internal/scale/users"
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
	hub     *hub.Hub
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
	s := &supervisor{o: o, f: f, over: make(chan struct{}), in: make(chan inbound, 8192), rand: rand.New(rand.NewPCG(f.Seed, 0xfa017)),
		parts: make(map[string]*process), machines: make(map[string]*machineAt), hollow: make(map[string][]*process),
		releases: make(map[uint64]map[string]bool), ready: make(map[string]bool), silent: make(map[string]bool), meter: newMeter(f), faults: f.Faults}
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
			c.proc.signal(syscall.SIGKILL)
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
		p.signal(syscall.SIGKILL)
	}
	for _, p := range procs {
		<-p.ended
	}
	s.network.Close()
}

// Addresses of the run, but those of machines, which package wire has. Each IP has one
// that its process listens on and one, in the relay, that other regions know.
func (s *supervisor) ip(rest string) string { return s.network.Prefix + rest }

func (s *supervisor) stateAddr(private bool) string { return s.ip("0.10:") + port(private, 7100) }
func (s *supervisor) cloudAddr(private bool) string { return s.ip("0.11:") + port(private, 7101) }

func port(private bool, n int) string {
	if !private {
		n += 1000
	}
	return fmt.Sprint(n)
}

func (c *controllerAt) client(private bool) string  { return c.ip + ":" + port(private, 7000) }
func (c *controllerAt) cluster(private bool) string { return c.ip + ":" + port(private, 7001) }
func (c *controllerAt) telemetry() string           { return c.ip + ":9464" }

// play starts everything in its order, and runs the load.
func (s *supervisor) play(ctx context.Context) error {
	for i, z := range s.f.Controllers.Zones {
		s.controllers = append(s.controllers, &controllerAt{name: s.f.controllerNames()[i], zone: z, region: s.f.regionOf(z), ip: s.ip(fmt.Sprintf("1.%d", 10+i))})
	}
	platform, err := s.settings()
	if err != nil {
		return err
	}
	machines := s.drawMachines()
	config := func(role, part string) *wire.Config {
		return &wire.Config{Role: role, Part: part, Seed: s.f.Seed, Platform: platform, Types: s.f.machineTypes(), Network: s.network.Prefix, EndsUS: s.until + 10*int64(protocol.Second)}
	}
	p, err := protocol.ParsePlatform([]byte(platform))
	if err != nil {
		return err
	}
	s.hub = hub.New(p, s.f.machineTypes(), func(part string, m *wire.Message) {
		if p := s.parts[part]; p != nil {
			p.send(m)
		}
	})
	s.hub.Starts(func(st hub.Start) {
		if s.firstStart == 0 {
			s.firstStart = st.At
		}
		s.meter.start(st)
	})

	s.say("starting %d machines in %d zones of %d regions, %d controllers, %d processes", len(machines), len(p.Zones), len(s.f.Regions), len(s.controllers), s.processes())
	if s.standins, err = s.startPart("standins", wire.RoleStandins, s.f.State.Region); err != nil {
		return err
	}
	c := config(wire.RoleStandins, "standins")
	c.Machines, c.State, c.Cloud, c.LatencyUS, c.Spare = machines, s.stateAddr(true), s.cloudAddr(true), int64(s.f.State.LatencyMS*1000), s.spare()
	s.standins.send(&wire.Message{Kind: wire.Setup, Setup: c})
	of := s.regionsOf(machines)
	for _, r := range s.f.Regions {
		name := "relay-" + r.Name
		relay, err := s.startPart(name, wire.RoleRelay, r.Name)
		if err != nil {
			return err
		}
		c := config(wire.RoleRelay, name)
		c.Types = nil
		c.Links = &wire.Links{Region: r.Name, Listen: s.listen(r.Name, machines), Of: of, Delay: s.delays(r.Name), Loss: s.f.Network.Loss, Jitter: s.f.Network.Jitter}
		relay.send(&wire.Message{Kind: wire.Setup, Setup: c})
		s.relays = append(s.relays, relay)
	}
	if err := s.allReady(ctx); err != nil {
		return err
	}
	for _, c := range s.controllers {
		if err := s.startController(c); err != nil {
			return err
		}
	}
	if err := s.startWorkers(machines, config); err != nil {
		return err
	}
	if err := s.allReady(ctx); err != nil {
		return err
	}
	s.say("machines report")
	if err := s.awaitLeader(ctx); err != nil {
		return err
	}

	if s.users, err = s.startPart("users", wire.RoleUsers, ""); err != nil {
		return err
	}
	c = config(wire.RoleUsers, "users")
	c.Types = nil
	c.Controllers = s.known()
	begin := wire.Now() + 3*int64(protocol.Second)
	if c.Load, err = json.Marshal(s.plan(begin)); err != nil {
		return err
	}
	s.users.send(&wire.Message{Kind: wire.Setup, Setup: c})
	if err := s.allReady(ctx); err != nil {
		return err
	}
	s.meter.begin(begin, s.f)
	return s.loop(ctx, begin)
}

// historyPages is how much history controllers keep, as in deploy/configuration.toml.
const historyPages = 256

// settings writes the controllers' files, and returns the text of the first one.
func (s *supervisor) settings() (string, error) {
	first := ""
	write := func(name, text string) (string, error) {
		path := filepath.Join(s.o.Out, name)
		return path, os.WriteFile(path, []byte(text), 0o644)
	}
	for i, c := range s.controllers {
		p := s.f.platform()
		home := c.region == s.f.State.Region
		p.Node, p.Zone, p.ClientListen, p.ClusterListen = c.name, c.zone, c.client(true), c.cluster(true)
		p.StateAddr, p.CloudAddr = s.stateAddr(home), s.cloudAddr(home)
		for _, o := range s.controllers {
			if o != c {
				p.Siblings = append(p.Siblings, protocol.Sibling{Name: o.name, Zone: o.zone, Address: o.cluster(o.region == c.region)})
			}
		}
		text, err := protocol.SettingsFile(&p)
		if err != nil {
			return "", err
		}
		if i == 0 {
			first = string(text)
		}
		for _, file := range []struct{ flag, name, text string }{
			{"--config", c.name + ".toml", string(text)},
			{"--operator", c.name + "-operator.toml", fmt.Sprintf("source_address = %q\nidle_return_s = %g\ncut_keep_s = %g\n", c.ip, s.f.Controllers.IdleReturnS, s.f.Controllers.CutKeepS)},
			{"--telemetry", c.name + "-telemetry.toml", fmt.Sprintf("listen = %q\nsnapshot_s = 1.0\n", c.telemetry())},
		} {
			path, err := write(file.name, file.text)
			if err != nil {
				return "", err
			}
			c.args = append(c.args, file.flag, path)
		}
	}
	if s.f.Changes != nil {
		path, err := write("configuration.toml", fmt.Sprintf("history_pages = %d\n", historyPages))
		if err != nil {
			return "", err
		}
		for _, c := range s.controllers {
			c.args = append(c.args, "--configuration", path)
		}
	}
	text, err := s.f.Text()
	if err != nil {
		return "", err
	}
	_, err = write("settings.toml", string(text))
	return first, err
}

// drawMachines places the machines that are there from the beginning: each type evenly
// over regions, and within a region over its zones.
func (s *supervisor) drawMachines() []wire.Machine {
	var all []wire.Machine
	inZone := make(map[string]int)
	next := 0 // region of the next machine
	turns := make(map[string]int)
	for _, t := range s.f.Types {
		for range t.Count {
			r := s.f.Regions[next%len(s.f.Regions)]
			next++
			zone := r.Zones[turns[r.Name]%len(r.Zones)]
			turns[r.Name]++
			m := wire.Machine{Name: fmt.Sprintf("n-%06d", len(all)+1), Type: t.Name, Zone: zone, Region: r.Name,
				Rack: fmt.Sprintf("%s-%d", zone, inZone[zone]/s.f.Deployment.RackSize)}
			inZone[zone]++
			m.Public, m.Listen, m.Source = wire.Addresses(s.network.Prefix, len(all))
			all = append(all, m)
		}
	}
	// Real ones are spread over all.
	if n := min(s.f.Deployment.RealWorkers, len(all)); n > 0 {
		for i := range n {
			all[i*len(all)/n].Real = true
		}
	}
	return all
}

// spare is what the cloud still has, by type and zone.
func (s *supervisor) spare() map[string]int {
	out := make(map[string]int)
	zones := 0
	for _, r := range s.f.Regions {
		zones += len(r.Zones)
	}
	for _, t := range s.f.Types {
		n := int(math.Round(float64(t.Count) * s.f.Deployment.SpareShare))
		i := 0
		for _, r := range s.f.Regions {
			for _, z := range r.Zones {
				if c := n/zones + btoi(i < n%zones); c > 0 {
					out[t.Name+"/"+z] = c
				}
				i++
			}
		}
	}
	return out
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// regionsOf says in which region each IP is.
func (s *supervisor) regionsOf(machines []wire.Machine) map[string]string {
	of := make(map[string]string)
	for _, m := range machines {
		of[m.Source] = m.Region
	}
	for _, c := range s.controllers {
		of[c.ip] = c.region
	}
	for _, r := range s.f.Regions {
		of[s.userIP(r.Name)] = r.Name
	}
	return of
}

func (s *supervisor) userIP(region string) string {
	return s.ip(fmt.Sprintf("2.%d", 1+slices.IndexFunc(s.f.Regions, func(r Region) bool { return r.Name == region })))
}

// listen is what a region's relay listens on, and where it goes.
func (s *supervisor) listen(region string, machines []wire.Machine) map[string]string {
	out := make(map[string]string)
	for _, c := range s.controllers {
		if c.region == region {
			out[c.client(false)], out[c.cluster(false)] = c.client(true), c.cluster(true)
		}
	}
	if region == s.f.State.Region {
		out[s.stateAddr(false)], out[s.cloudAddr(false)] = s.stateAddr(true), s.cloudAddr(true)
	}
	for _, m := range machines {
		if m.Region == region {
			out[m.Public] = m.Listen
		}
	}
	return out
}

// delays are those from other regions to one, one way, microseconds.
func (s *supervisor) delays(region string) map[string]int64 {
	out := make(map[string]int64)
	for _, r := range s.f.Regions {
		if r.Name != region {
			out[r.Name] = int64(s.f.Network.DelayMS * 1000)
		}
	}
	for _, l := range s.f.Links {
		for i := range 2 {
			if l.Between[i] == region {
				out[l.Between[1-i]] = int64(l.DelayMS * 1000)
			}
		}
	}
	return out
}

// known are the controllers as workers and users know them.
func (s *supervisor) known() []wire.Controller {
	var out []wire.Controller
	for _, c := range s.controllers {
		k := wire.Controller{Name: c.name, Zone: c.zone, Region: c.region, Public: make(map[string]string)}
		for _, r := range s.f.Regions {
			k.Public[r.Name] = c.client(r.Name == c.region)
		}
		out = append(out, k)
	}
	return out
}

// plan is what the users are told.
func (s *supervisor) plan(begin int64) *users.Plan {
	us := func(v float64) int64 { return int64(protocol.FromSeconds(v)) }
	p := &users.Plan{BeginUS: begin, DurationUS: us(s.f.DurationS), SettleUS: us(s.f.SettleS), FillUS: us(s.f.FillS), PollUS: us(s.f.Users.PollS),
		MaxConnections: s.f.Users.MaxConnections, Teams: s.f.teamNames(), Classes: s.f.Jobs, Changes: s.f.Load, Sources: make(map[string]string), Strangers: 0.5}
	for _, r := range s.f.Regions {
		p.Regions = append(p.Regions, r.Name)
		p.Sources[r.Name] = s.userIP(r.Name)
	}
	if s.f.Changes == nil {
		return p
	}
	p.Operators = s.f.Changes
	platform := s.f.platform()
	for _, name := range s.f.teamNames() {
		p.Bounds.Teams = append(p.Bounds.Teams, platform.Teams[name])
	}
	p.Bounds.Machines = slices.Sorted(maps.Keys(s.machines))
	p.Bounds.Ceilings = make(map[string]int)
	for _, m := range s.machines {
		p.Bounds.Ceilings[m.Type+"/"+m.Zone]++
	}
	return p
}

// startWorkers starts the hollow processes and the real workers.
func (s *supervisor) startWorkers(machines []wire.Machine, config func(role, part string) *wire.Config) error {
	shares := make(map[string][]wire.Machine)
	per := s.hollowPerRegion()
	for _, r := range s.f.Regions {
		for i := range per {
			name := fmt.Sprintf("hollow-%s-%d", r.Name, i)
			p, err := s.startPart(name, wire.RoleHollow, r.Name)
			if err != nil {
				return err
			}
			s.hollow[r.Name] = append(s.hollow[r.Name], p)
		}
	}
	n := make(map[string]int)
	for _, m := range machines {
		var p *process
		if m.Real {
			var err error
			if p, err = s.startPart("worker-"+m.Name, wire.RoleWorker, m.Region); err != nil {
				return err
			}
		} else {
			p = s.hollow[m.Region][n[m.Region]%per]
			n[m.Region]++
		}
		shares[p.name] = append(shares[p.name], m)
		s.machines[m.Name] = &machineAt{m, p}
		s.hub.Machine(m, p.name)
	}
	for name, p := range s.parts {
		if p.role == wire.RoleHollow || p.role == wire.RoleWorker {
			c := config(p.role, name)
			c.Machines, c.Controllers = shares[name], s.known()
			p.send(&wire.Message{Kind: wire.Setup, Setup: c})
		}
	}
	return nil
}

func (s *supervisor) startController(c *controllerAt) error {
	p, err := s.start(startController(s.o.Controller, s.o.Out, c.name, c.region, c.args...))
	if err != nil {
		return err
	}
	c.proc, c.restartAt, c.frozen = p, 0, false
	return nil
}

// allReady waits until every part has said that it listens.
func (s *supervisor) allReady(ctx context.Context) error {
	late := time.After(60 * time.Second)
	for {
		missing := ""
		for _, name := range slices.Sorted(maps.Keys(s.parts)) {
			if !s.ready[name] {
				missing = name
				break
			}
		}
		if missing == "" || s.problem != nil {
			return s.problem
		}
		select {
		case m := <-s.in:
			s.message(m)
		case <-ctx.Done():
			return s.ended(ctx)
		case <-late:
			return fmt.Errorf("%s is not ready after 60 s", missing)
		}
	}
}

// ended is why a context is over.
func (s *supervisor) ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &limitError{fmt.Sprintf("not over after limits.max_s = %g s", s.f.Limits.MaxS)}
	}
	return errors.New("interrupted")
}

func (s *supervisor) telemetry() map[string]string {
	out := make(map[string]string)
	for _, c := range s.controllers {
		if c.proc != nil && !c.proc.over() && !c.frozen {
			out[c.name] = c.telemetry()
		}
	}
	return out
}

// awaitLeader waits until a controller leads.
func (s *supervisor) awaitLeader(ctx context.Context) error {
	look := sampler{}
	late := time.After(60 * time.Second)
	tick := time.NewTicker(300 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case m := <-s.in:
			s.message(m)
			if s.problem != nil {
				return s.problem
			}
		case <-tick.C:
			if err := s.watch(); err != nil {
				return err
			}
			if l := leaderOf(look.take(nil, s.telemetry()).scraped); l != "" {
				s.say("%s leads", l)
				return nil
			}
		case <-ctx.Done():
			return s.ended(ctx)
		case <-late:
			return errors.New("no controller leads after 60 s")
		}
	}
}

// watch looks whether all processes are there. A controller that ended by itself starts
// again as one that was ended does, and is noted.
func (s *supervisor) watch() error {
	for _, c := range s.controllers {
		if c.proc != nil && c.proc.over() && c.restartAt == 0 {
			s.note("%s ended by itself: %v: %s", c.name, c.proc.err, lastLine(s.o.Out, c.name))
			c.restartAt = wire.Now() + int64(protocol.FromSeconds(s.f.Controllers.RestartDelayS))
			if c.restarts++; c.restarts > 20 || s.meter.began == 0 {
				return fmt.Errorf("%s: %s", c.name, lastLine(s.o.Out, c.name))
			}
		}
		if c.restartAt > 0 && wire.Now() >= c.restartAt {
			if err := s.startController(c); err != nil {
				return err
			}
		}
	}
	for name, p := range s.parts {
		if p.over() {
			return fmt.Errorf("%s ended by itself: %v: %s", name, p.err, lastLine(s.o.Out, name))
		}
	}
	return nil
}

// message takes one of a part's.
func (s *supervisor) message(i inbound) {
	m, p := i.m, i.from
	if m == nil {
		s.silent[p.name] = true
		return
	}
	switch m.Kind {
	case wire.Ready:
		s.ready[p.name] = true
		if m.Text != "" && s.problem == nil {
			s.problem = fmt.Errorf("%s: %s", p.name, m.Text)
		}
	case wire.Note:
		s.note("%s: %s", p.name, m.Text)
	case wire.Boot:
		if m.Machine != nil {
			s.boot(m)
		}
	case wire.Gone:
		s.gone(m)
	case wire.GoneDone:
		s.goneDone(p, m.ID)
	case wire.Gauge:
		s.meter.take(p, m)
	default:
		s.hub.Take(p.name, m)
		s.meter.take(p, m)
	}
}

// boot hands a machine that the cloud rented out to the hollow process of its region
// that has the fewest.
func (s *supervisor) boot(m *wire.Message) {
	mc := *m.Machine
	if mc.Region == "" {
		mc.Region = s.f.regionOf(mc.Zone)
	}
	counts := make(map[*process]int)
	for _, at := range s.machines {
		counts[at.proc]++
	}
	var p *process
	for _, h := range s.hollow[mc.Region] {
		if p == nil || counts[h] < counts[p] {
			p = h
		}
	}
	if p == nil {
		s.note("machine %s in zone %s has no region", mc.Name, mc.Zone)
		return
	}
	s.machines[mc.Name] = &machineAt{mc, p}
	s.hub.Machine(mc, p.name)
	out := &wire.Message{Kind: wire.Boot, At: m.At, Machine: &mc}
	for _, r := range s.relays {
		r.send(out)
	}
	p.send(out)
}

// gone has machines end that were released; the stand-in of the cloud answers only when
// their workers' processes have said that they are gone.
func (s *supervisor) gone(m *wire.Message) {
	by := make(map[*process][]string)
	var public []string
	for _, name := range m.Names {
		if at := s.machines[name]; at != nil {
			by[at.proc] = append(by[at.proc], name)
			public = append(public, at.Public)
		}
	}
	waiting := make(map[string]bool)
	for p, names := range by {
		waiting[p.name] = true
		p.send(&wire.Message{Kind: wire.Gone, ID: m.ID, Names: names, At: m.At})
	}
	for _, r := range s.relays {
		r.send(&wire.Message{Kind: wire.Gone, Names: public})
	}
	s.releases[m.ID] = waiting
	for _, name := range m.Names {
		delete(s.machines, name)
	}
	if len(waiting) == 0 {
		s.goneDone(nil, m.ID)
	}
}

func (s *supervisor) goneDone(p *process, id uint64) {
	waiting := s.releases[id]
	if p != nil {
		delete(waiting, p.name)
	}
	if len(waiting) == 0 {
		delete(s.releases, id)
		s.standins.send(&wire.Message{Kind: wire.GoneDone, ID: id})
	}
}

func (s *supervisor) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if len(s.notes) < 200 {
		s.notes = append(s.notes, text)
	}
	s.say("note: %s", text)
}

func (s *supervisor) say(format string, args ...any) {
	if s.o.Progress == nil {
		return
	}
	t := "      "
	if s.meter.began > 0 {
		t = fmt.Sprintf("%5.0fs", float64(wire.Now()-s.meter.began)/1e6)
	}
	fmt.Fprintf(s.o.Progress, "%s  %s\n", t, fmt.Sprintf(format, args...))
}

// judgeLate is how long the hub waits, beyond its second, for messages of parts that are
// on their way while this machine is busy, microseconds.
const judgeLate = 2_000_000

// loop plays the load and the faults until the time is over.
func (s *supervisor) loop(ctx context.Context, begin int64) error {
	end := begin + int64(protocol.FromSeconds(s.f.DurationS+s.f.SettleS))
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	samples := make(chan *sample, 1)
	go s.sample(samples)
	progress := begin
	var resume []func(now int64) bool // false: not yet
	for {
		select {
		case m := <-s.in:
			s.message(m)
			for n := 0; n < 4096 && len(s.in) > 0; n++ {
				s.message(<-s.in)
			}
			if s.problem != nil {
				return s.problem
			}
		case sm := <-samples:
			rss := s.meter.sampled(sm, s.hub.Counts().Running)
			if n := len(sm.usage); n > s.f.Limits.Processes {
				return &limitError{fmt.Sprintf("%d processes, limits.processes is %d", n, s.f.Limits.Processes)}
			}
			if total, _, err := memory(); err == nil && float64(rss) > s.f.Limits.Memory*float64(total) {
				return &limitError{fmt.Sprintf("processes take %d MB, more than limits.memory = %g of %d MB", rss>>20, s.f.Limits.Memory, total>>20)}
			}
		case <-tick.C:
			now := wire.Now()
			s.hub.Tick(now - judgeLate)
			if b := s.hub.Broken(); len(b) > 0 {
				return fmt.Errorf("rule broken: %s: %s", b[0].Kind, b[0].Text)
			}
			if err := s.watch(); err != nil {
				return err
			}
			for len(s.faults) > 0 && now >= begin+int64(protocol.FromSeconds(s.faults[0].AtS)) {
				t := s.faults[0]
				s.faults = s.faults[1:]
				more, err := s.play1(t)
				if err != nil {
					return err
				}
				resume = append(resume, more...)
			}
			kept := resume[:0]
			for _, r := range resume {
				if !r(now) {
					kept = append(kept, r)
				}
			}
			resume = kept
			if s.firstStart == 0 && now > begin+int64(protocol.FromSeconds(s.f.Limits.QuietS)) {
				return fmt.Errorf("rule broken: nothing_ran: no task started within limits.liveness_s = %g s", s.f.Limits.QuietS)
			}
			if now >= progress+5*int64(protocol.Second) {
				progress = now
				s.progress()
			}
			if now >= end {
				return nil
			}
		case <-ctx.Done():
			return s.ended(ctx)
		}
	}
}

// sample looks at the processes once a second until the run ends.
func (s *supervisor) sample(to chan<- *sample) {
	look := sampler{}
	next := time.Now()
	self := &process{name: "supervisor", role: "supervisor", pid: os.Getpid(), ended: make(chan struct{})}
	for {
		if d := time.Until(next); d > 0 {
			select {
			case <-time.After(d):
			case <-s.over:
				return
			}
		}
		next = time.Now().Add(time.Second).Truncate(time.Second)
		s.mu.Lock()
		kept := s.procs[:0]
		for _, p := range s.procs {
			if !p.over() {
				kept = append(kept, p)
			}
		}
		s.procs = kept
		procs := append(slices.Clone(kept), self)
		s.mu.Unlock()
		telemetry := make(map[string]string)
		for _, p := range procs {
			if i := slices.Index(s.f.controllerNames(), p.name); i >= 0 {
				telemetry[p.name] = s.controllers[i].telemetry()
			}
		}
		select {
		case to <- look.take(procs, telemetry):
		case <-s.over:
			return
		}
	}
}

// progress prints a line of how it goes.
func (s *supervisor) progress() {
	n := len(s.meter.seconds)
	if n < 5 {
		return
	}
	last := s.meter.seconds[n-2]
	for i := n - 3; i >= 0 && last.CPU == nil; i-- { // the sampler is behind
		last = s.meter.seconds[i]
	}
	starts := 0 // in five seconds that are judged
	for _, sec := range s.meter.seconds[max(0, n-9) : n-4] {
		starts += sec.Starts
	}
	cpu, rss := 0.0, 0.0
	for _, v := range last.CPU {
		cpu += v
	}
	for _, v := range last.RSS {
		rss += v
	}
	c := s.hub.Counts()
	s.say("leader %s, %d jobs, %d tasks running, %.0f starts/s, submit p99 %s, lag %.0f ms, %.1f cores (machine %.0f%%), %.0f MB", orNone(last.Leader), c.Jobs, c.Running,
		float64(starts)/5, milliseconds(s.meter.latency("submit").all.ValueAtQuantile(99)), last.LagMS, cpu, last.Busy*100, rss)
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func milliseconds(us int64) string {
	switch ms := float64(us) / 1000; {
	case us == 0:
		return "-"
	case ms < 10:
		return fmt.Sprintf("%.1f ms", ms)
	case ms < 10_000:
		return fmt.Sprintf("%.0f ms", ms)
	default:
		return fmt.Sprintf("%.1f s", ms/1000)
	}
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
	c := &checker{}
	regions, zones := f.checkRegions(c)
	f.checkFault(c, "", &t, regions, zones)
	if c.first != nil {
		return t, fmt.Errorf("--fault: %w", c.first)
	}
	return t, nil
}
