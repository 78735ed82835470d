package controller

import (
	"math"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
)

const (
	// sparePacing is how many times in a boot time spare capacity may be rented: more than once,
	// since the queue takes some of what was rented before it is up.
	sparePacing = 8
	// spareWorkDivisor bounds what a class's plan for spare capacity looks at: a scheduling
	// step's worth divided by it.
	spareWorkDivisor = 4
	maxSpareTasks    = 8
	spareRuntime     = 30 * protocol.Second
	// spareStartPercent is the part of the objective on starting within which a job that came
	// now would have to be ready.
	spareStartPercent = 70
)

// planSpareCapacity finds how many of each offer to rent for jobs that may arrive. Classes
// seldom burst together: each looks for its spare capacity by itself, so the same may serve
// several.
func (as *autoscaler) planSpareCapacity(offers []*slottable.Offer) map[int]int {
	spares := make(map[int]int)
	for _, class := range as.workload.classNames() {
		r := as.spareRequest(class)
		if r == nil {
			continue
		}
		counts := as.planRental([]*slottable.Request{r}, offers, as.scheduler.maxStepWork()/spareWorkDivisor)
		// What was rented is of no use before it is up. Until then each plan would find the same
		// capacity missing, and rent it once more: it is paced.
		if as.now.Steady < as.nextSpareRental[class] {
			continue
		}
		for i, n := range counts {
			spares[i] = max(spares[i], n)
			as.nextSpareRental[class] = max(as.nextSpareRental[class], as.now.Steady+offers[i].BootTime/sparePacing)
		}
	}
	return spares
}

// spareRequest is a request for the capacity that is kept for what arrives of a class, or nil.
func (as *autoscaler) spareRequest(class string) *slottable.Request {
	k := as.workload.classes[class]
	objective := as.startObjective(class)
	if k.lastSpec == nil || objective == 0 {
		return nil
	}
	s := k.lastSpec
	arrivals := k.expectedArrivals(as.now.Steady, as.startedAt, as.shortestBoot(s))
	tasks := int(math.Ceil(arrivals * as.operator.WarmSpare))
	if tasks == 0 {
		return nil
	}
	tasks = min(tasks, maxSpareTasks)
	return &slottable.Request{
		Tasks: tasks, Limit: tasks, Resources: s.TaskResources, Image: s.Image, ImageSize: s.ImageSize,
		Types: s.MachineTypes, AllowSpot: s.AllowSpot, Runtime: spareRuntime, Spare: true,
		// Capacity is missing only if a job that came now would start too late: a machine that
		// is soon free does as well as an empty one.
		ReadyBy: as.now.Steady + objective*spareStartPercent/100,
	}
}

// shortestBoot is how long it takes at least until a job's task can run on a machine that is
// rented now.
func (as *autoscaler) shortestBoot(s *protocol.JobSpec) micros {
	var shortest micros
	for _, t := range as.catalog.types {
		if !t.Capacity.Covers(s.TaskResources) || !s.AllowsType(t.Name) {
			continue
		}
		boot := as.estimates.bootTime(t) + as.estimates.fetchTime(t, s.ImageSize)
		if shortest == 0 || boot < shortest {
			shortest = boot
		}
	}
	return shortest
}
