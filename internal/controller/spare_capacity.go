package controller

import (
	"math"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
)

const (
	// spareRentalsPerBoot is how often a class's spare capacity may be rented in a boot time: more
	// than once, since the queue uses some of the rented machines before they are up.
	spareRentalsPerBoot = 8
	// spareWorkDivisor bounds the work of a class's plan for spare capacity: it is a scheduling
	// step's work divided by this number.
	spareWorkDivisor = 4
	maxSpareTasks    = 8                    // per class
	spareRuntime     = 30 * protocol.Second // assumed run time of a spare task
	// spareStartPercent is the percentage of the start objective within which a job that arrived
	// now would have to be ready.
	spareStartPercent = 70
)

// planSpareCapacity returns how many machines of each offer to rent for jobs that may arrive.
// Classes seldom have bursts at the same time, so each class is planned separately, and the same
// machines may be spare capacity for several classes.
func (as *autoscaler) planSpareCapacity(offers []*slottable.Offer) map[int]int {
	spareCounts := make(map[int]int)
	for _, class := range as.workload.classNames() {
		r := as.spareRequest(class)
		if r == nil {
			continue
		}
		counts := as.planRental([]*slottable.Request{r}, offers, as.scheduler.maxStepWork()/spareWorkDivisor)
		// Rented machines can't be used before they are up. Until then each plan would find the
		// same capacity missing and rent it again, so the rate of rentals is limited.
		if as.now.Steady < as.nextSpareRental[class] {
			continue
		}
		for i, n := range counts {
			spareCounts[i] = max(spareCounts[i], n)
			as.nextSpareRental[class] = max(as.nextSpareRental[class], as.now.Steady+offers[i].BootTime/spareRentalsPerBoot)
		}
	}
	return spareCounts
}

// spareRequest returns a request for the spare capacity of a class, or nil if it needs none.
func (as *autoscaler) spareRequest(class string) *slottable.Request {
	stats := as.workload.classes[class]
	objective := as.startObjective(class)
	if stats.lastSpec == nil || objective == 0 {
		return nil
	}
	s := stats.lastSpec
	arrivals := stats.expectedArrivals(as.now.Steady, as.startedAt, as.shortestBoot(s))
	tasks := int(math.Ceil(arrivals * as.operator.WarmSpare))
	if tasks == 0 {
		return nil
	}
	tasks = min(tasks, maxSpareTasks)
	return &slottable.Request{
		Tasks: tasks, Limit: tasks, Resources: s.TaskResources, Image: s.Image, ImageSize: s.ImageSize,
		Types: s.MachineTypes, AllowSpot: s.AllowSpot, Runtime: spareRuntime, Spare: true,
		// Capacity is missing only if a job that arrived now would start too late: a machine that
		// becomes free soon is as good as an empty one.
		ReadyBy: as.now.Steady + objective*spareStartPercent/100,
	}
}

// shortestBoot returns the shortest time after which a job's task could run on a machine that is
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
