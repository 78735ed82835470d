// Package scale runs a deployment of full size on one machine: real controllers, stand-ins for
// the services around them, simulated users, injected faults, and a checker of the protocol's
// rules. It measures the resources that each process uses.
package scale

import (
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"sort"
	"strconv"

	"github.com/pelletier/go-toml/v2"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/users"
)

// File contains the settings of a scale run, deploy/scale/*.toml. Times are seconds since the
// start of the load. Rates and sizes are those of part 1, the full size.
type File struct {
	Name        string          `toml:"name"`
	Seed        uint64          `toml:"seed"`
	DurationS   float64         `toml:"duration_s"` // length of the load
	SettleS     float64         `toml:"settle_s"`   // time after the load without new jobs, in which users go on polling
	WarmupS     float64         `toml:"warmup_s"`   // actions that were due before this time count for no percentile
	FillS       float64         `toml:"fill_s"`     // time in which the initial jobs are submitted
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
	// Changes of the configuration; if nil, controllers run without --configuration.
	Changes *users.Operators `toml:"changes"`
}

// Deployment is the distribution of machines over worker processes and racks.
type Deployment struct {
	RealWorkers int     `toml:"real_workers"` // machines with a worker process of their own
	PerProcess  int     `toml:"per_process"`  // machines for each hollow process
	SpareShare  float64 `toml:"spare_share"`  // machines that the cloud can still rent out, as a share of those at the start
	RackSize    int     `toml:"rack_size"`    // machines in each rack
}

// Controllers contains the settings of the controllers.
type Controllers struct {
	Zones          []string `toml:"zones"` // zone of each controller
	CPUShare       float64  `toml:"cpu_share"`
	MemoryMB       float64  `toml:"memory_mb"`
	MaxConnections int      `toml:"max_connections"`
	RestartDelayS  float64  `toml:"restart_delay_s"`
	ClockOffMS     float64  `toml:"clock_off_ms"`
	IdleReturnS    float64  `toml:"idle_return_s"` // written to the operator settings
	CutKeepS       float64  `toml:"cut_keep_s"`    // written to the operator settings
}

// WorkerTimes contains the intervals and timeouts of workers in the platform settings.
type WorkerTimes struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
	// ReportsPerCopy is how many reports a worker sends for each copy of one that arrives late.
	ReportsPerCopy int `toml:"reports_per_copy"`
}

// State contains the settings of the state service.
type State struct {
	Region    string  `toml:"region"`
	RPS       float64 `toml:"rps"`
	WriteRPS  float64 `toml:"write_rps"`
	ValueKB   float64 `toml:"value_kb"`
	TxnOps    int     `toml:"txn_ops"`
	LatencyMS float64 `toml:"latency_ms"`
}

// Cloud contains the settings of the cloud, which is in the region of the state service.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// NetworkSettings apply to the links between regions. [[links]] can set another delay for a link.
type NetworkSettings struct {
	DelayMS float64 `toml:"delay_ms"` // one way
	Jitter  float64 `toml:"jitter"`   // variation, as a share of the delay
	Loss    float64 `toml:"loss"`     // share of the connections that are reset
}

// Link sets the delay between two regions, in both directions.
type Link struct {
	Between []string `toml:"between"`
	DelayMS float64  `toml:"delay_ms"`
}

// Region is a region with its zones.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
}

// MachineType is a machine type that the cloud rents out. Count machines of it exist at the
// start, spread evenly over the regions and their zones.
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

// Teams contains the settings of the teams, which are all alike. Guarantee and Limit are
// multiples of an equal share of all CPUs and GPUs. A limit is at least what the largest gang
// or service that can be drawn needs, so that deployments of all sizes have the same jobs.
type Teams struct {
	Count     int     `toml:"count"`
	Guarantee float64 `toml:"guarantee"`
	Limit     float64 `toml:"limit"`
}

// Aim is an objective of the platform settings.
type Aim struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// UserSettings contains the settings of the load that are the same for all job classes.
type UserSettings struct {
	PollS          float64 `toml:"poll_s"`
	MaxConnections int     `toml:"max_connections"`
}

// Limits contains the limits of a run.
type Limits struct {
	MaxS      float64 `toml:"max_s"`      // duration of the whole run, from its first process to its last
	LagMS     float64 `toml:"lag_ms"`     // lag of the tool's parts, 99th percentile over seconds; above it the run is void
	CPUShare  float64 `toml:"cpu_share"`  // busy share of the machine's processors, 95th percentile over seconds; above it the report has a note
	Memory    float64 `toml:"memory"`     // share of the machine's memory, at most a half
	Processes int     `toml:"processes"`  // at most 300
	QuietS    float64 `toml:"liveness_s"` // the run fails if no task starts within this time
}

// Kinds of faults in a settings file.
const (
	FaultControllerEnd    = "controller_end"    // kills a controller, which restarts after for_s if that is set, else after restart_delay_s
	FaultControllerFreeze = "controller_freeze" // suspends a controller for for_s
	FaultWorkerEnd        = "worker_end"        // ends machines and everything on them
	FaultWorkerHang       = "worker_hang"       // suspends machines for for_s
	FaultWorkerRestart    = "worker_restart"    // restarts workers without their tasks
	FaultRegionCut        = "region_cut"        // cuts a region off from the others for for_s
	FaultRegionLoss       = "region_loss"       // resets a share of the connections between a region and others for for_s
	FaultRegionDelay      = "region_delay"      // multiplies the delays of a region by factor for for_s
	FaultStateRefuse      = "state_refuse"      // makes the state service answer 503 to all controllers or one for for_s
	FaultStateSlow        = "state_slow"        // multiplies the latency of the state service by factor for for_s
)

// Fault is a fault that is injected at a given time.
type Fault struct {
	AtS        float64 `toml:"at_s" json:"at_s"`
	Kind       string  `toml:"kind" json:"kind"`
	ForS       float64 `toml:"for_s" json:"for_s,omitempty"`
	Factor     float64 `toml:"factor" json:"factor,omitempty"`
	Controller string  `toml:"controller" json:"controller,omitempty"` // name of a controller, leader, or all
	Count      int     `toml:"count" json:"count,omitempty"`           // number of machines at part 1; 0: all that match the other fields
	Rack       bool    `toml:"rack" json:"rack,omitempty"`             // one whole rack, chosen at random
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

// defaults returns the values of settings that a file may omit.
func defaults() *File {
	return &File{
		Seed: 1, WarmupS: 0, FillS: 1, SettleS: 5,
		Deployment:  Deployment{PerProcess: 700, SpareShare: 0, RackSize: 20},
		Controllers: Controllers{CPUShare: 1, MemoryMB: 512, MaxConnections: 8000, RestartDelayS: 4, ClockOffMS: 1000, IdleReturnS: 20},
		Workers:     WorkerTimes{ReportsPerCopy: 1},
		Cloud:       Cloud{RPS: 8, ListLagS: 5},
		Limits:      Limits{LagMS: 250, CPUShare: 0.9, Memory: 0.5, Processes: 300, QuietS: 60},
		Users:       UserSettings{PollS: 5, MaxConnections: 3000},
		Network:     NetworkSettings{Jitter: 0.25},
	}
}

// Load reads and checks a settings file. Errors are one line that names file, line and key.
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

// Parse parses and checks the text of a settings file.
func Parse(text []byte) (*File, error) {
	f := defaults()
	if err := protocol.DecodeStrict(text, f); err != nil {
		var key *protocol.KeyError
		if errors.As(err, &key) {
			return nil, withLine(text, key)
		}
		return nil, protocol.OneLine(err)
	}
	if err := f.check(); err != nil {
		return nil, withLine(text, err)
	}
	return f, nil
}

// MaxProcesses is the highest value of limits.processes.
const MaxProcesses = 300

// controllerNames returns the names of the controllers.
func (f *File) controllerNames() []string {
	var names []string
	for i := range f.Controllers.Zones {
		names = append(names, "node-"+strconv.Itoa(i))
	}
	return names
}

// Part returns the settings of the same deployment in another size. Machines, initial jobs,
// rates and the counts of faults are multiplied by part, and the teams' quotas follow the
// machines. Regions, zones, teams, controllers, gangs and times stay the same.
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

// Machines returns the number of machines that exist at the start.
func (f *File) Machines() (n int) {
	for _, t := range f.Types {
		n += t.Count
	}
	return n
}

// regionOf returns the region of a zone, or "" if no region has it.
func (f *File) regionOf(zone string) string {
	for _, r := range f.Regions {
		if slices.Contains(r.Zones, zone) {
			return r.Name
		}
	}
	return ""
}

// platform returns the platform settings of the controllers, without names and addresses.
func (f *File) platform() protocol.Platform {
	s := protocol.FromSeconds
	p := protocol.Platform{
		Teams:             make(map[string]protocol.Team),
		HeartbeatInterval: s(f.Workers.ReportS), WorkerLease: s(f.Workers.LeaseS), GangWaitTimeout: s(f.Workers.GangWaitS), GangPeerTimeout: s(f.Workers.GangPeerS), CancelTimeout: s(f.Workers.CancelS),
		StateRequestRate: f.State.RPS, StateWriteRate: f.State.WriteRPS, MaxValueBytes: int(f.State.ValueKB * 1024), MaxTxnChanges: f.State.TxnOps,
		CloudRate: f.Cloud.RPS, MachineListLag: s(f.Cloud.ListLagS), MaxClockOffset: s(f.Controllers.ClockOffMS / 1000),
		CPUShare: f.Controllers.CPUShare, MemoryBytes: int64(f.Controllers.MemoryMB * 1e6), MaxConnections: f.Controllers.MaxConnections,
	}
	for _, r := range f.Regions {
		p.Zones = append(p.Zones, r.Zones...)
	}
	var all protocol.Resources
	for _, t := range f.Types {
		all = all.Add(capacity(t), int64(t.Count))
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

func capacity(t MachineType) protocol.Resources {
	v := func(x float64) int64 { return int64(math.Round(x * 1000)) }
	return protocol.Resources{CPU: v(t.CPUs), GPU: v(t.GPUs), Memory: v(t.MemoryGB)}
}

// machineTypes returns the machine types of the cloud.
func (f *File) machineTypes() []*protocol.MachineType {
	var all []string
	for _, r := range f.Regions {
		all = append(all, r.Zones...)
	}
	var types []*protocol.MachineType
	for _, t := range f.Types {
		types = append(types, &protocol.MachineType{
			Name: t.Name, Capacity: capacity(t), CacheSize: int64(t.CacheGB * 1000),
			FetchRate: t.FetchGBPerS * 1000 / float64(protocol.Second), Price: t.Price, SpotPrice: t.SpotPrice,
			BootTime: protocol.FromSeconds(t.BootS), Zones: all,
		})
	}
	return types
}

// Text returns the settings as TOML. A run writes them to its output folder.
func (f *File) Text() ([]byte, error) { return toml.Marshal(f) }

// zoneCount returns the number of zones of all regions.
func (f *File) zoneCount() (n int) {
	for _, r := range f.Regions {
		n += len(r.Zones)
	}
	return n
}
