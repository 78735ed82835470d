package controller

import (
	"math"
	"strconv"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// autoscaler rents machines as the queue needs them, and gives back those that are idle.
type autoscaler struct {
	*termContext
	catalog     *machineCatalog
	cloud       *cloudMonitor
	config      *configManager
	estimates   *machineEstimates
	scheduler   *scheduler
	submitQueue *submissionQueue
	workload    *workload

	refusedUntil    map[machineKind]micros // the cloud had none: no request before
	backoff         map[machineKind]micros
	requested       map[machineKind]int         // machines asked for and not answered yet
	neededMachines  map[*slottable.Machine]bool // that the last plan counted on
	overloadedAt    micros                      // when users were last told to submit again later
	nextPlan        micros
	nextSpareRental map[string]micros // by class: no spare capacity is rented before
	nextFleetLog    micros
	rentRequestSeq  uint64
}

func newAutoscaler(tc *termContext) *autoscaler {
	return &autoscaler{
		termContext: tc, refusedUntil: make(map[machineKind]micros), backoff: make(map[machineKind]micros),
		requested: make(map[machineKind]int), neededMachines: make(map[*slottable.Machine]bool), nextSpareRental: make(map[string]micros),
	}
}

// minRentalGain is how much sooner work has to be ready for a machine to be rented.
const minRentalGain = 3 * protocol.Second

// rentalPlanSteps bounds what a plan for rental looks at, in rounds' worth. It comes
// once a second and can't be carried on later: what is not looked at is rented a
// second later. A bound of one round had arrays wait for their machines when a
// deployment starts with none (himal-members-fleet restart 0.83/0.73).
const rentalPlanSteps = 4

// planScaling finds what to rent so that waiting work starts sooner, with room
// to spare for what arrives, and returns what is idle.
func (as *autoscaler) planScaling(list []*pendingJob) {
	at := as.now.Steady
	if at < as.nextPlan {
		return
	}
	as.nextPlan = at + protocol.Second
	var requests []*slottable.Request
	booting := 0
	for _, h := range as.cluster.Hosts() {
		if h.State == state.HostBooting && !h.Record.FromEarlierEpoch {
			booting++
		}
	}
	for _, n := range as.requested {
		booting += n
	}
	var offers []*slottable.Offer
	var kinds []machineKind
	for _, typ := range as.catalog.types {
		for _, zone := range typ.Zones {
			for _, spot := range []bool{false, true} {
				k := machineKind{typ.Name, zone, spot}
				if at < as.refusedUntil[k] || as.requested[k] > 0 {
					continue
				}
				most := as.rentalAllowance(k, 0)
				if most == 0 {
					continue
				}
				price := typ.Price
				if spot {
					price = typ.SpotPrice
				}
				tt := typ
				offers = append(offers, &slottable.Offer{
					Type: typ.Name, Zone: zone, Spot: spot, Resources: typ.Capacity, Price: price,
					Boot: as.estimates.bootTime(typ) + protocol.Second, Fetch: func(size int64) micros { return as.estimates.fetchTime(tt, size) }, Most: most,
				})
				kinds = append(kinds, k)
			}
		}
	}
	for _, w := range list {
		if w.request == nil || w.job.State != state.JobActive || w.job.Failures.Suspect {
			continue
		}
		left := *w.request
		left.Kept = nil
		// A job that has waited shows that plans come out too early: more work
		// arrives before its turn, tasks are lost, estimates err. Half of the time
		// that it has waited already is taken off what a machine rented now would be
		// ready at. Without this, in a burst that never lets the queue end, every
		// plan found a place within a boot time, and nothing was rented for 100 s
		// while 99 jobs waited and 300 machines could be had.
		left.Waited = (at - w.job.EligibleAt) / 2
		left.Tasks -= len(w.result.Start) + len(w.result.Booked)
		// A booking far away is as good as none, if a machine that is rented now
		// could be ready sooner.
		soonest := protocol.Forever
		for _, o := range offers {
			if o.Suits(&left) {
				soonest = min(soonest, at+o.Boot+o.Fetch(left.ImageSize)+minRentalGain)
			}
		}
		for _, b := range w.result.Booked {
			if b.Begin > at+10*protocol.Second && b.Ready > soonest-left.WaitedFor(b, at) {
				left.Tasks++
			}
		}
		left.Limit = min(left.Tasks, as.scheduler.quotaAllowance(as.scheduler.cycle, w.job, protocol.Resources{}))
		if left.Tasks > 0 && left.Limit > 0 {
			requests = append(requests, &left)
		}
	}
	// As many as the cloud's calls of one second can ask for.
	most := int(max(1, as.platform.CloudRate)) * maxMachinesPerRequest
	clear(as.neededMachines)
	note := func(list []*slottable.Machine) {
		for _, m := range list {
			as.neededMachines[m] = true
		}
	}
	// A machine that a booking counts on is not idle, however long it waits for the
	// peers of its gang: given back, the booking is gone with it.
	for _, w := range list {
		for _, b := range w.result.Booked {
			as.neededMachines[b.Machine] = true
		}
	}
	rent, needed := as.scheduler.slotTable.Rent(requests, offers, minRentalGain, most, rentalPlanSteps*as.scheduler.maxStepWork())
	note(needed)
	// Classes seldom burst together: each looks for its spare room by itself,
	// so the same room may serve several.
	spares := make(map[int]int)
	for _, name := range as.workload.classNames() {
		s := as.spareRequest(name)
		if s == nil {
			continue
		}
		more, needed := as.scheduler.slotTable.Rent([]*slottable.Request{s}, offers, minRentalGain, most, as.scheduler.maxStepWork()/4)
		note(needed)
		// What was rented to spare is of no use before it is up. Until then each
		// plan would find the same room missing, and rent it once more: it is paced.
		if at < as.nextSpareRental[name] {
			continue
		}
		for i, n := range more {
			spares[i] = max(spares[i], n)
			as.nextSpareRental[name] = max(as.nextSpareRental[name], at+offers[i].Boot/sparePacing)
		}
	}
	for i := range offers {
		if n := rent[i] + spares[i]; n > 0 {
			as.scaleOut(kinds[i], n)
		}
	}
	as.scaleIn()
	if at >= as.nextFleetLog {
		as.nextFleetLog = at + 20*protocol.Second
		as.logFleet(booting, len(list))
	}
}

// sparePacing is how many times in a boot time room to spare may be rented: more
// than once, since the queue takes some of what was rented before it is up.
const sparePacing = 8

// spareRequest is a request for room that is kept for what arrives of a class, or nil.
func (as *autoscaler) spareRequest(name string) *slottable.Request {
	k := as.workload.classes[name]
	if k.lastSpec == nil || as.startObjective(name) == 0 {
		return nil
	}
	s := k.lastSpec
	var boot micros
	for _, typ := range as.catalog.types {
		if typ.Capacity.Covers(s.TaskResources) && s.AllowsType(typ.Name) {
			if b := as.estimates.bootTime(typ) + as.estimates.fetchTime(typ, s.ImageSize); boot == 0 || b < boot {
				boot = b
			}
		}
	}
	n := int(math.Ceil(k.expectedArrivals(as.now.Steady, as.startedAt, boot) * as.operator.WarmSpare))
	if n == 0 {
		return nil
	}
	return &slottable.Request{
		Tasks: min(n, 8), Limit: min(n, 8), Need: s.TaskResources, Image: s.Image, ImageSize: s.ImageSize,
		Types: s.MachineTypes, Spot: s.AllowSpot, Length: 30 * protocol.Second, Spare: true,
		// Room is missing only if a job that came now would start too late:
		// a machine that is soon free does as well as an empty one.
		Patient: as.now.Steady + as.startObjective(name)*7/10,
	}
}

// scaleIn gives back machines that nothing is on and no plan counts on. While users are
// told to come back with their jobs, what those need is in no plan: 1,700 of 4,200 machines
// went back in a deployment's first seconds, and others were rented when the jobs were in.
func (as *autoscaler) scaleIn() {
	at := as.now.Steady
	if !as.cloud.listAnswering {
		// A release that is asked for and not answered leaves a machine that
		// can neither be used nor counted as gone.
		return
	}
	if as.submitQueue.limiter.isOverloaded(at) || as.submitQueue.urgentLimiter.isOverloaded(at) {
		as.overloadedAt = at
	}
	for _, h := range as.cluster.Hosts() {
		if h.State != state.HostReady || !h.Reconciled || as.scheduler.hasRetainingWork(h) || as.neededMachines[as.scheduler.machines[h]] {
			continue
		}
		if at-max(h.IdleSince, as.overloadedAt) <= as.operator.IdleScaleInDelay {
			continue
		}
		if !h.Empty() {
			as.scheduler.evictAll(h)
		} else {
			as.cloud.releaseHost(h, "idle for "+strconv.FormatInt(int64((at-h.IdleSince)/protocol.Second), 10)+" s")
		}
	}
}

// logFleet tells how the machines are used.
func (as *autoscaler) logFleet(booting, waiting int) {
	type sum struct{ hosts, empty, needed, gpus, used, yielding int64 }
	byType := make(map[string]*sum)
	var names []string
	for _, h := range as.cluster.Hosts() {
		if h.Type == nil || h.State != state.HostReady {
			continue
		}
		name := h.TypeName
		if h.Spot {
			name += ",spot"
		}
		k := byType[name]
		if k == nil {
			k = &sum{}
			byType[name] = k
			names = append(names, name)
		}
		anchored := false
		for _, a := range h.Attempts() {
			anchored = anchored || a.State.HoldsResources() && a.Job != nil && !as.scheduler.isPreemptible(a.Job)
		}
		if !anchored && !h.Empty() {
			k.yielding++
		}
		k.hosts++
		k.gpus += h.Type.Capacity.GPU / 1000
		k.used += h.Used().GPU / 1000
		if h.Empty() {
			k.empty++
			if as.neededMachines[as.scheduler.machines[h]] {
				k.needed++
			}
		}
	}
	for _, n := range names {
		k := byType[n]
		as.log.Info("fleet", "type", n, "hosts", k.hosts, "empty", k.empty, "kept_spare", k.needed, "yielding", k.yielding, "gpus", k.gpus, "gpus_used", k.used, "booting", booting, "jobs_waiting", waiting)
	}
}
