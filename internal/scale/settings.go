// Package scale runs a deployment of full size on one machine: real controllers, stand-ins
// of what is around them, a load of users, faults, and an observer of the protocol's rules.
// It measures what each process takes.
package scale

import (
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/users"
)

// File is a file of settings of a scale run, deploy/scale/*.toml. Times are in seconds
// from the moment at which the load begins, rates and sizes those of part 1.
type File struct {
	Name        string          `toml:"name"`
	Seed        uint64          `toml:"seed"`
	DurationS   float64         `toml:"duration_s"` // of the load
	SettleS     float64         `toml:"settle_s"`   // after it, without new jobs: polls go on
	WarmupS     float64         `toml:"warmup_s"`   // what was due before it counts for no percentile
	FillS       float64         `toml:"fill_s"`     // in which the initial jobs come
	Deployment  Deployment      `toml:"deployment"`
	Controllers Controllers     `toml:"controllers"`
	Workers     WorkerTimes     `toml:"workers"`
	State       State           `toml:"state"`
	Cloud       Cloud           `toml:"cloud"`
	Network     NetworkSettings `toml:"network"`
	Regions     []Region        `toml:"regions"`
	Links       []Link          `toml:"links"`
	Types       []MachineType   `toml:"types"`
	Teams       Teams           `toml:"teams"`
	Aims        []Aim           `toml:"aims"`
	Jobs        []users.Class   `toml:"jobs"`
	Load        []users.Change  `toml:"load"`
	Faults      []Fault         `toml:"faults"`
	Limits      Limits          `toml:"limits"`
	Users       UserSettings    `toml:"users"`
	// Changes of the configuration; nil: controllers run without --configuration.
	Changes *users.Operators `toml:"changes"`
}

// Deployment is how the processes that play workers are shared out.
type Deployment struct {
	RealWorkers int     `toml:"real_workers"` // machines with a process of their own
	PerProcess  int     `toml:"per_process"`  // machines to a hollow process
	SpareShare  float64 `toml:"spare_share"`  // machines that the cloud still has, of those that are there
	RackSize    int     `toml:"rack_size"`    // machines to a rack
}

// Controllers says what the controllers are given.
type Controllers struct {
	Zones          []string `toml:"zones"` // one controller each
	CPUShare       float64  `toml:"cpu_share"`
	MemoryMB       float64  `toml:"memory_mb"`
	MaxConnections int      `toml:"max_connections"`
	RestartDelayS  float64  `toml:"restart_delay_s"`
	ClockOffMS     float64  `toml:"clock_off_ms"`
	IdleReturnS    float64  `toml:"idle_return_s"` // the operators' setting
	CutKeepS       float64  `toml:"cut_keep_s"`    // the operators' setting
}

// WorkerTimes are those of the platform's file.
type WorkerTimes struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
}

// State is the state service.
type State struct {
	Region    string  `toml:"region"`
	RPS       float64 `toml:"rps"`
	WriteRPS  float64 `toml:"write_rps"`
	ValueKB   float64 `toml:"value_kb"`
	TxnOps    int     `toml:"txn_ops"`
	LatencyMS float64 `toml:"latency_ms"`
}

// Cloud is the cloud; it is in the region of the state service.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// NetworkSettings are those of all links between regions that [[links]] doesn't name.
type NetworkSettings struct {
	DelayMS float64 `toml:"delay_ms"` // one way
	Jitter  float64 `toml:"jitter"`   // share of the delay by which it varies
	Loss    float64 `toml:"loss"`     // share of the connections that are reset
}

// Link is one between two regions, both ways.
type Link struct {
	Between []string `toml:"between"`
	DelayMS float64  `toml:"delay_ms"`
}

// Region has zones.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
}

// MachineType is one that the cloud rents, with Count that are there from the beginning,
// shared out evenly over regions and their zones.
type MachineType struct {
	Name        string  `toml:"name"`
	CPUs        float64 `toml:"cpus"`
	GPUs        float64 `toml:"gpus"`
	MemoryGB    float64 `toml:"memory_gb"`
	CacheGB     float64 `toml:"cache_gb"`
	FetchGBPerS float64 `toml:"fetch_gb_per_s"`
	Price       float64 `toml:"price"`
	SpotPrice   float64 `toml:"spot_price"`
	BootS       float64 `toml:"boot_s"`
	Count       int     `toml:"count"`
}

// Teams are alike: each has an equal part of all CPUs and GPUs, of which Guarantee and
// Limit are multiples. A limit is at least what the largest gang or service that can be
// drawn needs, so that all sizes of a deployment have the same jobs.
type Teams struct {
	Count     int     `toml:"count"`
	Guarantee float64 `toml:"guarantee"`
	Limit     float64 `toml:"limit"`
}

// Aim is an objective of the platform's file.
type Aim struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// UserSettings are those of the load that no class has for itself.
type UserSettings struct {
	PollS          float64 `toml:"poll_s"`
	MaxConnections int     `toml:"max_connections"`
}

// Limits end a run.
type Limits struct {
	MaxS      float64 `toml:"max_s"`      // the whole run, from its first process to its last
	LagMS     float64 `toml:"lag_ms"`     // of load and hollow workers, 99th percentile of seconds: above it the run is void
	CPUShare  float64 `toml:"cpu_share"`  // of the machine's processors, 95th percentile of seconds: above it the report says so
	Memory    float64 `toml:"memory"`     // share of the machine's memory, at most a half
	Processes int     `toml:"processes"`  // at most 300
	QuietS    float64 `toml:"liveness_s"` // the run fails if no task starts by then
}

// Faults that a file can have.
const (
	FaultControllerEnd    = "controller_end"    // a controller is killed; it starts again after restart_delay_s, or for_s if that is set
	FaultControllerFreeze = "controller_freeze" // a controller stands still for for_s
	FaultWorkerEnd        = "worker_end"        // machines end, with all on them
	FaultWorkerHang       = "worker_hang"       // machines stand still for for_s
	FaultWorkerRestart    = "worker_restart"    // workers start anew without their tasks
	FaultRegionCut        = "region_cut"        // a region is apart from the others for for_s
	FaultRegionLoss       = "region_loss"       // a share of the connections of a region with others is reset, for for_s
	FaultRegionDelay      = "region_delay"      // a region's delays times factor, for for_s
	FaultStateRefuse      = "state_refuse"      // the state service answers 503, to all or one controller, for for_s
	FaultStateSlow        = "state_slow"        // its latency times factor, for for_s
)

// Fault is played at a time.
type Fault struct {
	AtS        float64 `toml:"at_s" json:"at_s"`
	Kind       string  `toml:"kind" json:"kind"`
	ForS       float64 `toml:"for_s" json:"for_s,omitempty"`
	Factor     float64 `toml:"factor" json:"factor,omitempty"`
	Controller string  `toml:"controller" json:"controller,omitempty"` // its name, or leader, or all
	Count      int     `toml:"count" json:"count,omitempty"`           // of machines, of part 1; 0: all that the rest names
	Rack       bool    `toml:"rack" json:"rack,omitempty"`             // a whole rack, drawn
	Zone       string  `toml:"zone" json:"zone,omitempty"`
	Region     string  `toml:"region" json:"region,omitempty"`
}

func (f Fault) String() string {
	s := f.Kind
	for _, t := range []string{f.Controller, f.Zone, f.Region} {
		if t != "" {
			s += " " + t
		}
	}
	if f.Rack {
		s += " rack"
	}
	if f.Count > 0 {
		s += fmt.Sprintf(" %d", f.Count)
	}
	if f.Factor > 0 {
		s += fmt.Sprintf(" x%g", f.Factor)
	}
	if f.ForS > 0 {
		s += fmt.Sprintf(" for %g s", f.ForS)
	}
	return s
}

// defaults are the settings that a file may leave out.
func defaults() *File {
	return &File{Seed: 1, WarmupS: 0, FillS: 1, SettleS: 5,
		Deployment:  Deployment{PerProcess: 700, SpareShare: 0, RackSize: 20},
		Controllers: Controllers{CPUShare: 1, MemoryMB: 512, MaxConnections: 8000, RestartDelayS: 4, ClockOffMS: 1000, IdleReturnS: 20},
		Cloud:       Cloud{RPS: 8, ListLagS: 5},
		Limits:      Limits{LagMS: 250, CPUShare: 0.9, Memory: 0.5, Processes: 300, QuietS: 60},
		Users:       UserSettings{PollS: 5, MaxConnections: 3000},
		Network:     NetworkSettings{Jitter: 0.25},
	}
}

// Load reads and checks a file. Errors are of one line that names file, line and key.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Parse reads and checks the text of a file.
func Parse(text []byte) (*File, error) {
	f := defaults()
	if err := protocol.DecodeStrict(text, f); err != nil {
		var key *protocol.KeyError
		if errors.As(err, &key) {
			return nil, atLine(text, key)
		}
		return nil, protocol.OneLine(err)
	}
	if err := f.check(); err != nil {
		return nil, atLine(text, err)
	}
	return f, nil
}

// atLine says where in a file the key of an error is. A key that the file doesn't have
// is looked for where its table begins.
func atLine(text []byte, e *protocol.KeyError) error {
	lines := keyLines(text)
	for key := e.Key; key != ""; {
		if n, ok := lines[key]; ok {
			return fmt.Errorf("line %d: %w", n, e)
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return fmt.Errorf("line 1: %w", e)
}

// keyLines finds the line of each key of a file, named as in jobs[2].run_s.median. The
// first of several keys of an unknown path without indexes is kept.
func keyLines(text []byte) map[string]int {
	lines := make(map[string]int)
	counts := make(map[string]int)
	var p unstable.Parser
	p.Reset(text)
	add := func(key string, at unstable.Range) {
		line := p.Shape(at).Start.Line
		plain := withoutIndexes(key)
		for _, k := range []string{key, plain} {
			if _, ok := lines[k]; !ok {
				lines[k] = line
			}
		}
	}
	// path joins a key's parts to a prefix, each array of tables with its last index.
	path := func(prefix string, keys unstable.Iterator) (string, unstable.Range) {
		var at unstable.Range
		for keys.Next() {
			if prefix != "" {
				prefix += "."
			}
			prefix += string(keys.Node().Data)
			at = keys.Node().Raw
			if n := counts[prefix]; n > 0 && !keys.IsLast() {
				prefix += fmt.Sprintf("[%d]", n-1)
			}
		}
		return prefix, at
	}
	var value func(prefix string, kv *unstable.Node)
	value = func(prefix string, kv *unstable.Node) {
		key, at := path(prefix, kv.Key())
		add(key, at)
		if v := kv.Value(); v.Kind == unstable.InlineTable {
			for it := v.Children(); it.Next(); {
				value(key, it.Node())
			}
		}
	}
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			var at unstable.Range
			table, at = path("", e.Key())
			add(table, at)
		case unstable.ArrayTable:
			name, at := path("", e.Key())
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			add(table, at)
		case unstable.KeyValue:
			value(table, e)
		}
	}
	return lines
}

// withoutIndexes turns jobs[2].run_s into jobs.run_s.
func withoutIndexes(key string) string {
	var b strings.Builder
	in := false
	for _, c := range key {
		switch {
		case c == '[':
			in = true
		case c == ']':
			in = false
		case !in:
			b.WriteRune(c)
		}
	}
	return b.String()
}

// MostProcesses is how many processes a run may have.
const MostProcesses = 300

// check finds the first value that is impossible.
func (f *File) check() *protocol.KeyError {
	c := &checker{}
	if f.Name == "" || strings.ContainsAny(f.Name, "/ ") {
		c.fail("name", "must be a word without a slash")
	}
	c.number("duration_s", f.DurationS, 1, 86400)
	c.number("settle_s", f.SettleS, 0, 3600)
	c.number("warmup_s", f.WarmupS, 0, f.DurationS)
	c.number("fill_s", f.FillS, 0, f.DurationS)
	c.number("deployment.real_workers", float64(f.Deployment.RealWorkers), 0, 100)
	c.number("deployment.per_process", float64(f.Deployment.PerProcess), 1, 4000)
	c.number("deployment.spare_share", f.Deployment.SpareShare, 0, 10)
	c.number("deployment.rack_size", float64(f.Deployment.RackSize), 1, 1e6)
	c.number("controllers.cpu_share", f.Controllers.CPUShare, 0.01, 64)
	c.number("controllers.memory_mb", f.Controllers.MemoryMB, 16, 1e6)
	c.number("controllers.max_connections", float64(f.Controllers.MaxConnections), 64, 19000)
	c.number("controllers.restart_delay_s", f.Controllers.RestartDelayS, 0, 3600)
	c.number("controllers.clock_off_ms", f.Controllers.ClockOffMS, 0, 1e6)
	c.number("controllers.idle_return_s", f.Controllers.IdleReturnS, 1, 86400)
	c.number("controllers.cut_keep_s", f.Controllers.CutKeepS, 0, 86400)
	c.number("workers.report_s", f.Workers.ReportS, 0.1, 3600)
	c.number("workers.lease_s", f.Workers.LeaseS, 1, 86400)
	c.number("workers.gang_wait_s", f.Workers.GangWaitS, 0.1, 86400)
	c.number("workers.gang_peer_s", f.Workers.GangPeerS, 0.1, 86400)
	c.number("workers.cancel_s", f.Workers.CancelS, 1, 86400)
	c.number("state.rps", f.State.RPS, 8, 1e6)
	c.number("state.write_rps", f.State.WriteRPS, 2, 1e6)
	c.number("state.value_kb", f.State.ValueKB, 2, 60)
	c.number("state.txn_ops", float64(f.State.TxnOps), 6, 1000)
	c.number("state.latency_ms", f.State.LatencyMS, 0, 10000)
	c.number("cloud.rps", f.Cloud.RPS, 0.1, 1e6)
	c.number("cloud.list_lag_s", f.Cloud.ListLagS, 0, 3600)
	c.number("network.delay_ms", f.Network.DelayMS, 0, 5000)
	c.number("network.jitter", f.Network.Jitter, 0, 1)
	c.number("network.loss", f.Network.Loss, 0, 1)
	regions, zones := f.checkRegions(c)
	if !slices.Contains(regions, f.State.Region) {
		c.fail("state.region", "must name a region")
	}
	if n := len(f.Controllers.Zones); n < 1 || n > 8 {
		c.fail("controllers.zones", "must have from 1 to 8 zones, one for each controller")
	}
	for _, z := range f.Controllers.Zones {
		if !slices.Contains(zones, z) {
			c.fail("controllers.zones", fmt.Sprintf("%q is no zone of a region", z))
		}
	}
	for i, l := range f.Links {
		key := fmt.Sprintf("links[%d].", i)
		if len(l.Between) != 2 || l.Between[0] == l.Between[1] || !slices.Contains(regions, l.Between[0]) || !slices.Contains(regions, l.Between[1]) {
			c.fail(key+"between", "must name two regions")
		}
		c.number(key+"delay_ms", l.DelayMS, 0, 5000)
	}
	var types []string
	for i, t := range f.Types {
		key := fmt.Sprintf("types[%d].", i)
		if t.Name == "" || slices.Contains(types, t.Name) {
			c.fail(key+"name", "must be there, and once only")
		}
		types = append(types, t.Name)
		c.number(key+"cpus", t.CPUs, 0.001, 1e5)
		c.number(key+"gpus", t.GPUs, 0, 1e4)
		c.number(key+"memory_gb", t.MemoryGB, 0.001, 1e6)
		c.number(key+"cache_gb", t.CacheGB, 0.001, 1e6)
		c.number(key+"fetch_gb_per_s", t.FetchGBPerS, 0.001, 1e4)
		c.number(key+"price", t.Price, 0, 1e6)
		c.number(key+"spot_price", t.SpotPrice, 0, 1e6)
		c.number(key+"boot_s", t.BootS, 0, 3600)
		c.number(key+"count", float64(t.Count), 0, 20000)
	}
	if len(types) == 0 {
		c.fail("types", "missing")
	}
	c.number("teams.count", float64(f.Teams.Count), 1, 10000)
	c.number("teams.guarantee", f.Teams.Guarantee, 0, 1000)
	c.number("teams.limit", f.Teams.Limit, 0, 1000)
	var classes []string
	for i, j := range f.Jobs {
		key := fmt.Sprintf("jobs[%d].", i)
		if slices.Contains(classes, j.Name) {
			c.fail(key+"name", "must be there once only")
		}
		classes = append(classes, j.Name)
		if e := j.Check(types); e != nil {
			c.fail(key+e.Key, e.Problem)
		}
	}
	if len(classes) == 0 {
		c.fail("jobs", "missing")
	}
	for i, a := range f.Aims {
		key := fmt.Sprintf("aims[%d].", i)
		if a.Kind != "wait" && a.Kind != "finished" {
			c.fail(key+"kind", "must be wait or finished")
		}
		if !slices.Contains(classes, a.Class) {
			c.fail(key+"class", "must name a class of jobs")
		}
		c.number(key+"within_s", a.WithinS, 0.001, 1e6)
		c.number(key+"share", a.Share, 0, 1)
	}
	for i, l := range f.Load {
		key := fmt.Sprintf("load[%d].", i)
		c.number(key+"at_s", l.AtS, 0, f.DurationS)
		c.number(key+"for_s", l.ForS, 0.001, 86400)
		c.number(key+"factor", l.Factor, 0, 1000)
		for _, n := range l.Classes {
			if !slices.Contains(classes, n) {
				c.fail(key+"classes", fmt.Sprintf("%q is no class of jobs", n))
			}
		}
	}
	for i := range f.Faults {
		f.checkFault(c, fmt.Sprintf("faults[%d].", i), &f.Faults[i], regions, zones)
	}
	if f.Changes != nil {
		if e := f.Changes.Check(); e != nil {
			c.fail("changes."+e.Key, e.Problem)
		}
	}
	least := f.DurationS + f.SettleS
	c.number("limits.max_s", f.Limits.MaxS, least, 86400)
	c.number("limits.lag_ms", f.Limits.LagMS, 1, 60000)
	c.number("limits.cpu_share", f.Limits.CPUShare, 0.01, 1)
	c.number("limits.memory", f.Limits.Memory, 0.01, 0.5)
	c.number("limits.processes", float64(f.Limits.Processes), 1, MostProcesses)
	c.number("limits.liveness_s", f.Limits.QuietS, 1, 86400)
	c.number("users.poll_s", f.Users.PollS, 0.1, 3600)
	c.number("users.max_connections", float64(f.Users.MaxConnections), 8, 15000)
	return c.first
}

func (f *File) checkRegions(c *checker) (regions, zones []string) {
	for i, r := range f.Regions {
		key := fmt.Sprintf("regions[%d].", i)
		if r.Name == "" || slices.Contains(regions, r.Name) {
			c.fail(key+"name", "must be there, and once only")
		}
		regions = append(regions, r.Name)
		if len(r.Zones) == 0 {
			c.fail(key+"zones", "missing")
		}
		for _, z := range r.Zones {
			if z == "" || slices.Contains(zones, z) {
				c.fail(key+"zones", fmt.Sprintf("%q must be in one region only", z))
			}
			zones = append(zones, z)
		}
	}
	if len(regions) == 0 || len(regions) > 32 {
		c.fail("regions", "must be from 1 to 32")
	}
	return regions, zones
}

func (f *File) checkFault(c *checker, key string, t *Fault, regions, zones []string) {
	c.number(key+"at_s", t.AtS, 0, f.DurationS+f.SettleS)
	c.number(key+"for_s", t.ForS, 0, 86400)
	c.number(key+"factor", t.Factor, 0, 10000)
	c.number(key+"count", float64(t.Count), 0, 20000)
	if t.Zone != "" && !slices.Contains(zones, t.Zone) {
		c.fail(key+"zone", "must name a zone")
	}
	if t.Region != "" && !slices.Contains(regions, t.Region) {
		c.fail(key+"region", "must name a region")
	}
	names := append(f.controllerNames(), "", "leader", "all")
	if !slices.Contains(names, t.Controller) {
		c.fail(key+"controller", "must be leader, all, or one of "+strings.Join(f.controllerNames(), ", "))
	}
	need := func(name string, ok bool) {
		if !ok {
			c.fail(key+name, "missing: "+t.Kind+" needs it")
		}
	}
	switch t.Kind {
	case FaultControllerEnd:
		need("controller", t.Controller != "")
	case FaultControllerFreeze:
		need("controller", t.Controller != "")
		need("for_s", t.ForS > 0)
	case FaultWorkerEnd, FaultWorkerRestart:
		need("count", t.Count > 0 || t.Rack || t.Zone != "" || t.Region != "")
	case FaultWorkerHang:
		need("count", t.Count > 0 || t.Rack || t.Zone != "" || t.Region != "")
		need("for_s", t.ForS > 0)
	case FaultRegionCut:
		need("region", t.Region != "")
		need("for_s", t.ForS > 0)
	case FaultRegionLoss, FaultRegionDelay:
		need("region", t.Region != "")
		need("for_s", t.ForS > 0)
		need("factor", t.Factor > 0)
	case FaultStateRefuse:
		need("for_s", t.ForS > 0)
	case FaultStateSlow:
		need("for_s", t.ForS > 0)
		need("factor", t.Factor > 0)
	default:
		c.fail(key+"kind", "unknown fault")
	}
}

// controllerNames are the names of the controllers.
func (f *File) controllerNames() []string {
	var names []string
	for i := range f.Controllers.Zones {
		names = append(names, "node-"+strconv.Itoa(i))
	}
	return names
}

// checker keeps the first problem.
type checker struct{ first *protocol.KeyError }

func (c *checker) fail(key, problem string) {
	if c.first == nil {
		c.first = &protocol.KeyError{Key: key, Problem: problem}
	}
}

func (c *checker) number(key string, v, low, high float64) {
	if !(v >= low && v <= high) { // also what is no number
		c.fail(key, fmt.Sprintf("must be from %g to %g", low, high))
	}
}

// Part is the same deployment of another size: machines, initial jobs, rates and counts
// of faults times part, and the teams' quotas with the machines. Regions, zones, teams,
// controllers, gangs and times stay.
func (f *File) Part(part float64) *File {
	g := *f
	scaled := func(n int) int {
		if n == 0 {
			return 0
		}
		return max(1, int(math.Round(float64(n)*part)))
	}
	g.Types = slices.Clone(f.Types)
	for i := range g.Types {
		g.Types[i].Count = scaled(g.Types[i].Count)
	}
	g.Jobs = slices.Clone(f.Jobs)
	for i := range g.Jobs {
		g.Jobs[i].Initial = scaled(g.Jobs[i].Initial)
		g.Jobs[i].Rate *= part
	}
	g.Faults = slices.Clone(f.Faults)
	for i := range g.Faults {
		g.Faults[i].Count = scaled(g.Faults[i].Count)
	}
	sort.SliceStable(g.Faults, func(a, b int) bool { return g.Faults[a].AtS < g.Faults[b].AtS })
	return &g
}

// Machines counts those that are there from the beginning.
func (f *File) Machines() (n int) {
	for _, t := range f.Types {
		n += t.Count
	}
	return n
}

// regionOf is the region of a zone.
func (f *File) regionOf(zone string) string {
	for _, r := range f.Regions {
		if slices.Contains(r.Zones, zone) {
			return r.Name
		}
	}
	return ""
}

// platform is the controllers' file, but for names and addresses.
func (f *File) platform() protocol.Platform {
	s := protocol.FromSeconds
	p := protocol.Platform{Teams: make(map[string]protocol.Team),
		ReportEvery: s(f.Workers.ReportS), WorkerLease: s(f.Workers.LeaseS), GangWait: s(f.Workers.GangWaitS), GangPeer: s(f.Workers.GangPeerS), Cancel: s(f.Workers.CancelS),
		StateRate: f.State.RPS, StateWriteRate: f.State.WriteRPS, ValueBytes: int(f.State.ValueKB * 1024), TxnOps: f.State.TxnOps,
		CloudRate: f.Cloud.RPS, ListLag: s(f.Cloud.ListLagS), ClockOff: s(f.Controllers.ClockOffMS / 1000),
		CPUShare: f.Controllers.CPUShare, MemoryBytes: int64(f.Controllers.MemoryMB * 1e6), MaxConnections: f.Controllers.MaxConnections}
	for _, r := range f.Regions {
		p.Zones = append(p.Zones, r.Zones...)
	}
	var all protocol.Resources
	for _, t := range f.Types {
		all = all.Add(offer(t), int64(t.Count))
	}
	n := float64(f.Teams.Count)
	amount := func(times float64) protocol.Resources {
		whole := func(v int64) int64 { return int64(math.Ceil(float64(v)/1000*times/n)) * 1000 }
		return protocol.Resources{CPU: whole(all.CPU), GPU: whole(all.GPU)}
	}
	limit := amount(f.Teams.Limit)
	for _, j := range f.Jobs {
		tasks := int64(j.Tasks.Largest())
		if j.Kind == "array" {
			tasks = 1
		}
		limit.CPU, limit.GPU = max(limit.CPU, tasks*int64(j.CPUs*1000)), max(limit.GPU, tasks*int64(j.GPUs*1000))
	}
	for _, name := range f.teamNames() {
		p.Teams[name] = protocol.Team{Name: name, Guarantee: amount(f.Teams.Guarantee), Limit: limit}
	}
	for _, a := range f.Aims {
		p.Objectives = append(p.Objectives, protocol.Objective{Kind: a.Kind, Class: a.Class, Within: s(a.WithinS), Share: a.Share})
	}
	return p
}

func (f *File) teamNames() []string {
	var names []string
	for i := range f.Teams.Count {
		names = append(names, fmt.Sprintf("team-%02d", i))
	}
	return names
}

func offer(t MachineType) protocol.Resources {
	v := func(x float64) int64 { return int64(math.Round(x * 1000)) }
	return protocol.Resources{CPU: v(t.CPUs), GPU: v(t.GPUs), Mem: v(t.MemoryGB)}
}

// machineTypes are the cloud's.
func (f *File) machineTypes() []*protocol.MachineType {
	var all []string
	for _, r := range f.Regions {
		all = append(all, r.Zones...)
	}
	var types []*protocol.MachineType
	for _, t := range f.Types {
		types = append(types, &protocol.MachineType{Name: t.Name, Offer: offer(t), Cache: int64(t.CacheGB * 1000),
			FetchRate: t.FetchGBPerS * 1000 / float64(protocol.Second), Price: t.Price, SpotPrice: t.SpotPrice,
			Boot: protocol.FromSeconds(t.BootS), Zones: all})
	}
	return types
}

// Text writes a file's settings as TOML, for the run's folder.
func (f *File) Text() ([]byte, error) { return toml.Marshal(f) }
