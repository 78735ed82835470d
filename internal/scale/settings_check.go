package scale

import (
	"fmt"
	"slices"
	"strings"

	"mapleslip/internal/protocol"
)

// Checks of a settings file. The first invalid value is reported.

// check returns an error for the first invalid value, or nil.
func (f *File) check() *protocol.KeyError {
	c := &validator{}
	f.checkTimes(c)
	f.checkDeployment(c)
	f.checkServices(c)
	regions, zones := f.checkRegions(c)
	f.checkPlaces(c, regions, zones)
	types := f.checkTypes(c)
	f.checkTeams(c)
	classes := f.checkJobs(c, types)
	f.checkAims(c, classes)
	f.checkLoad(c, classes)
	for i := range f.Faults {
		f.checkFault(c, fmt.Sprintf("faults[%d].", i), &f.Faults[i], regions, zones)
	}
	if f.Changes != nil {
		if e := f.Changes.Check(); e != nil {
			c.fail("changes."+e.Key, e.Problem)
		}
	}
	f.checkLimits(c)
	return c.first
}

// checkTimes checks the name of the run and its times.
func (f *File) checkTimes(c *validator) {
	if f.Name == "" || strings.ContainsAny(f.Name, "/ ") {
		c.fail("name", "must be a word without a slash")
	}
	c.number("duration_s", f.DurationS, 1, 86400)
	c.number("settle_s", f.SettleS, 0, 3600)
	c.number("warmup_s", f.WarmupS, 0, f.DurationS)
	c.number("fill_s", f.FillS, 0, f.DurationS)
}

// checkDeployment checks the settings of workers and controllers.
func (f *File) checkDeployment(c *validator) {
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
	c.number("workers.reports_per_copy", float64(f.Workers.ReportsPerCopy), 1, 1e6)
}

// checkServices checks the state service, the cloud and the network.
func (f *File) checkServices(c *validator) {
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
}

// checkRegions checks regions and their zones, and returns the names of both.
func (f *File) checkRegions(c *validator) (regions, zones []string) {
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

// checkPlaces checks the locations of the state service, the controllers and the links.
func (f *File) checkPlaces(c *validator, regions, zones []string) {
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
}

// checkTypes checks machine types and returns their names.
func (f *File) checkTypes(c *validator) (types []string) {
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
	return types
}

// checkTeams checks the settings of the teams.
func (f *File) checkTeams(c *validator) {
	c.number("teams.count", float64(f.Teams.Count), 1, 10000)
	c.number("teams.guarantee", f.Teams.Guarantee, 0, 1000)
	c.number("teams.limit", f.Teams.Limit, 0, 1000)
}

// checkJobs checks the job classes and returns their names.
func (f *File) checkJobs(c *validator, types []string) (classes []string) {
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
	return classes
}

// checkAims checks the objectives.
func (f *File) checkAims(c *validator, classes []string) {
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
}

// checkLoad checks the changes of the load.
func (f *File) checkLoad(c *validator, classes []string) {
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
}

// checkLimits checks the limits of the run and the settings of its users.
func (f *File) checkLimits(c *validator) {
	minimum := f.DurationS + f.SettleS
	c.number("limits.max_s", f.Limits.MaxS, minimum, 86400)
	c.number("limits.lag_ms", f.Limits.LagMS, 1, 60000)
	c.number("limits.cpu_share", f.Limits.CPUShare, 0.01, 1)
	c.number("limits.memory", f.Limits.Memory, 0.01, 0.5)
	c.number("limits.processes", float64(f.Limits.Processes), 1, MaxProcesses)
	c.number("limits.liveness_s", f.Limits.QuietS, 1, 86400)
	c.number("users.poll_s", f.Users.PollS, 0.1, 3600)
	c.number("users.max_connections", float64(f.Users.MaxConnections), 8, 15000)
}

// checkFault checks a fault. key is the prefix of its keys in errors.
func (f *File) checkFault(c *validator, key string, fault *Fault, regions, zones []string) {
	c.number(key+"at_s", fault.AtS, 0, f.DurationS+f.SettleS)
	c.number(key+"for_s", fault.ForS, 0, 86400)
	c.number(key+"factor", fault.Factor, 0, 10000)
	c.number(key+"count", float64(fault.Count), 0, 20000)
	if fault.Zone != "" && !slices.Contains(zones, fault.Zone) {
		c.fail(key+"zone", "must name a zone")
	}
	if fault.Region != "" && !slices.Contains(regions, fault.Region) {
		c.fail(key+"region", "must name a region")
	}
	names := append(f.controllerNames(), "", "leader", "all")
	if !slices.Contains(names, fault.Controller) {
		c.fail(key+"controller", "must be leader, all, or one of "+strings.Join(f.controllerNames(), ", "))
	}
	need := func(name string, ok bool) {
		if !ok {
			c.fail(key+name, "missing: "+fault.Kind+" needs it")
		}
	}
	switch fault.Kind {
	case FaultControllerEnd:
		need("controller", fault.Controller != "")
	case FaultControllerFreeze:
		need("controller", fault.Controller != "")
		need("for_s", fault.ForS > 0)
	case FaultWorkerEnd, FaultWorkerRestart:
		need("count", fault.Count > 0 || fault.Rack || fault.Zone != "" || fault.Region != "")
	case FaultWorkerHang:
		need("count", fault.Count > 0 || fault.Rack || fault.Zone != "" || fault.Region != "")
		need("for_s", fault.ForS > 0)
	case FaultRegionCut:
		need("region", fault.Region != "")
		need("for_s", fault.ForS > 0)
	case FaultRegionLoss, FaultRegionDelay:
		need("region", fault.Region != "")
		need("for_s", fault.ForS > 0)
		need("factor", fault.Factor > 0)
	case FaultStateRefuse:
		need("for_s", fault.ForS > 0)
	case FaultStateSlow:
		need("for_s", fault.ForS > 0)
		need("factor", fault.Factor > 0)
	default:
		c.fail(key+"kind", "unknown fault")
	}
}

// validator keeps the first error.
type validator struct{ first *protocol.KeyError }

func (c *validator) fail(key, problem string) {
	if c.first == nil {
		c.first = &protocol.KeyError{Key: key, Problem: problem}
	}
}

func (c *validator) number(key string, v, low, high float64) {
	if !(v >= low && v <= high) { // also rejects NaN
		c.fail(key, fmt.Sprintf("must be from %g to %g", low, high))
	}
}
