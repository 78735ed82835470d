package controller

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// busyLeader returns the leader of a fleet on which nearly every GPU is in use, by services,
// short tasks and longer ones. Each machine has a few of 30 images. Jobs of four classes are
// pending, more than can be placed.
func busyLeader(tb testing.TB, machines, waiting int) *Controller {
	tb.Helper()
	const sec = protocol.Second
	rng := rand.New(rand.NewPCG(7, uint64(machines)))
	zones := []string{"a", "b", "c", "d"}
	small := &protocol.MachineType{
		Name: "small", Capacity: protocol.Resources{CPU: 12_000, GPU: 2000, Memory: 48_000}, CacheSize: 80_000, FetchRate: 0.0004,
		Price: 4, SpotPrice: 1.6, BootTime: 25 * sec, Zones: zones[:3],
	}
	large := &protocol.MachineType{
		Name: "large", Capacity: protocol.Resources{CPU: 32_000, GPU: 4000, Memory: 128_000}, CacheSize: 100_000, FetchRate: 0.0004,
		Price: 11, SpotPrice: 4.6, BootTime: 35 * sec, Zones: zones,
	}
	p := &protocol.Platform{
		ControllerName: "n0", Zone: "a", StateRequestRate: 180, StateWriteRate: 40, MaxTxnChanges: 12, MaxValueBytes: 8192, CloudRate: 5,
		CPUShare: 0.324, HeartbeatInterval: 5 * sec, WorkerLease: 24 * sec, CancelTimeout: 54 * sec, Teams: map[string]protocol.Team{},
	}
	p.Objectives = []protocol.Objective{
		{Kind: "wait", Class: "serve", Within: 12 * sec},
		{Kind: "deadline", Class: "rerun"},
		{Kind: "wait", Class: "small-train", Within: 25 * sec},
		{Kind: "finished", Class: "small-train", Within: 250 * sec},
		{Kind: "wait", Class: "large-train", Within: 50 * sec},
		{Kind: "finished", Class: "large-train", Within: 350 * sec},
	}
	for i := range 16 {
		p.Teams[fmt.Sprint("team-", i)] = protocol.Team{}
	}
	c := New(p, protocol.DefaultOperatorSettings(), 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	c.now = instant{Steady: 1000 * sec, Wall: 1000 * sec}
	c.election.role, c.election.lease.validUntil, c.election.lease.epoch = RoleLeader, protocol.Forever, 3
	c.catalog.types = []*protocol.MachineType{small, large}
	c.catalog.byName = map[string]*protocol.MachineType{"small": small, "large": large}
	c.term = c.newLeaderTerm()
	t := c.term
	t.reconciled = true
	next := 0
	job := func(spec protocol.JobSpec, age micros) *state.Job {
		next++
		spec.Ref = fmt.Sprintf("req-%06d", next)
		spec.Team = fmt.Sprint("team-", next%16)
		j := state.NewJob(&spec)
		j.SubmittedWall = c.now.Wall - age
		c.term.jobs.addJob(j)
		return j
	}
	// Running tasks belong to one large job of each class, so that they can be on any machine.
	running := map[string]*state.Job{}
	specs := map[string]protocol.JobSpec{
		"serve": {Class: "serve", Kind: protocol.Service, Priority: protocol.PriorityCritical, TaskResources: protocol.Resources{CPU: 4000, GPU: 1000, Memory: 14_000}},
		"rerun": {Class: "rerun", Kind: protocol.Array, Priority: protocol.PriorityStandard, TaskResources: protocol.Resources{CPU: 5000, GPU: 1000, Memory: 18_000}, EstimatedRuntime: 300 * sec, AllowSpot: true},
		"small-train": {
			Class: "small-train", Kind: protocol.Array, Priority: protocol.PriorityHigh, TaskResources: protocol.Resources{CPU: 5000, GPU: 1000, Memory: 19_000},
			EstimatedRuntime: 600 * sec,
		},
	}
	for _, name := range []string{"serve", "rerun", "small-train"} {
		s := specs[name]
		s.Tasks, s.Image = 4*machines, "img-0"
		running[name] = job(s, 300*sec)
	}
	used := map[string]int{}
	for i := range machines {
		typ := c.catalog.types[i%2]
		h := state.NewHost(c.now.Steady, fmt.Sprintf("n-%06d", i+1), typ.Name, typ.Zones[i/2%len(typ.Zones)], i%5 == 0)
		h.Type, h.Reconciled, h.Agent.LastContact, h.Record.Written = typ, true, c.now.Steady, true
		h.SetState(state.HostReady)
		t.cluster.AddHost(h)
		for range 8 {
			h.AddImage(c.now.Steady, fmt.Sprint("img-", rng.IntN(30)), 6000)
		}
		for range typ.Capacity.GPU / 1000 {
			name := []string{"serve", "rerun", "rerun", "rerun", "small-train"}[rng.IntN(5)]
			if rng.IntN(200) == 0 {
				continue // this GPU stays free
			}
			j := running[name]
			a := t.cluster.Attach(c.now.Steady, j, h, protocol.AttemptName{TaskName: protocol.TaskName{Job: j.Spec.Ref, Index: used[name]}, Number: 1})
			used[name]++
			a.Recorded = true
			t.cluster.SetAttemptState(c.now.Steady, a, state.AttemptLaunched)
			t.cluster.SetAttemptState(c.now.Steady, a, state.AttemptRunning)
			a.StartedAt = c.now.Steady - micros(rng.IntN(300_000))*protocol.Millisecond
		}
	}
	for _, j := range running {
		for i := range j.Tasks {
			if j.Tasks[i].State == state.TaskQueued {
				j.Complete(i, true)
			}
		}
	}
	for i := range waiting {
		s := protocol.JobSpec{Image: fmt.Sprint("img-", rng.IntN(30)), ImageSize: 6000, Tasks: 1}
		switch i % 10 {
		case 0:
			s.Class, s.Kind, s.Priority, s.SpreadZones = "serve", protocol.Service, protocol.PriorityCritical, true
			s.TaskResources, s.Tasks = specs["serve"].TaskResources, 2+rng.IntN(3)
		case 1, 2:
			s.Class, s.Kind, s.Priority, s.SingleZone, s.EstimatedRuntime = "large-train", protocol.Gang, protocol.PriorityHigh, true, 100*sec
			s.TaskResources, s.Tasks = protocol.Resources{CPU: 28_000, GPU: 4000, Memory: 100_000}, 1<<rng.IntN(5)
		case 3, 4, 5:
			s.Class, s.Kind, s.Priority, s.SingleZone, s.EstimatedRuntime = "small-train", protocol.Gang, protocol.PriorityHigh, true, 80*sec
			s.TaskResources, s.Tasks = specs["small-train"].TaskResources, 1<<rng.IntN(3)
			s.CheckpointInterval, s.CheckpointDuration = 30*sec, 5*sec
		default:
			s.Class, s.Kind, s.Priority, s.AllowSpot, s.EstimatedRuntime = "rerun", protocol.Array, protocol.PriorityStandard, true, micros(20+rng.IntN(40))*sec
			s.TaskResources, s.Tasks = protocol.Resources{CPU: int64(4000 + rng.IntN(2000)), GPU: 1000, Memory: 18_000}, 5+rng.IntN(60)
			s.Deadline = 3*s.EstimatedRuntime + micros(rng.IntN(300))*sec
		}
		job(s, micros(rng.IntN(60))*sec)
	}
	return c
}

// runCycle runs scheduling steps until a cycle over the whole queue is finished. It returns the
// number of rows examined and of steps.
func runCycle(c *Controller) (rows, steps int) {
	c.term.cycleNeeded = true
	for {
		steps++
		c.term.scheduler.runSchedulingStep()
		rows += c.term.scheduler.slotTable.Work
		if c.term.scheduler.cycle == nil {
			c.effects = nil
			return rows, steps
		}
		c.now.Steady += c.operator.MinCycleInterval
	}
}

// advanceTwoSeconds advances the time by two seconds: stopped attempts are gone, assigned attempts
// run, and the tasks of arrays end after their estimated run time.
func advanceTwoSeconds(c *Controller) {
	t := c.term
	c.now.Steady += 2 * protocol.Second
	c.now.Wall += 2 * protocol.Second
	for _, h := range t.cluster.Hosts() {
		h.Agent.LastContact = c.now.Steady
		for _, a := range h.Attempts() {
			switch {
			case a.StopRequested:
				t.cluster.SetAttemptState(c.now.Steady, a, state.AttemptGone)
			case a.State == state.AttemptAssigned:
				t.cluster.SetAttemptState(c.now.Steady, a, state.AttemptLaunched)
				t.cluster.SetAttemptState(c.now.Steady, a, state.AttemptRunning)
			case a.Job != nil && a.Job.Spec.Kind == protocol.Array && c.now.Steady-a.StartedAt >= a.Job.Spec.EstimatedRuntime:
				a.Job.Complete(a.Name.Index, true)
				t.cluster.SetAttemptState(c.now.Steady, a, state.AttemptGone)
			}
		}
	}
}

// BenchmarkSchedulingCycle measures a cycle over a queue that can't be served completely, on a
// fleet that is nearly full, two seconds after the previous cycle. rows/op counts the rows
// examined, rounds/op the scheduling steps. kind=first is the first cycle of a new leader, which
// examines every job for the first time.
func BenchmarkSchedulingCycle(b *testing.B) {
	for _, machines := range []int{1400, 14000} {
		for _, waiting := range []int{150, 1000} {
			for _, kind := range []string{"next", "first"} {
				b.Run(fmt.Sprintf("machines=%d/waiting=%d/kind=%s", machines, waiting, kind), func(b *testing.B) {
					rows, steps := 0, 0
					var c *Controller
					b.ReportAllocs()
					for i := range b.N {
						b.StopTimer()
						if c == nil || kind == "first" || i%5 == 0 {
							c = busyLeader(b, machines, waiting)
							if kind == "next" {
								runCycle(c)
								advanceTwoSeconds(c)
								runCycle(c)
							}
						}
						if kind == "next" {
							advanceTwoSeconds(c)
						}
						b.StartTimer()
						n, r := runCycle(c)
						rows, steps = rows+n, steps+r
					}
					b.ReportMetric(float64(rows)/float64(b.N), "rows/op")
					b.ReportMetric(float64(steps)/float64(b.N), "rounds/op")
				})
			}
		}
	}
}
