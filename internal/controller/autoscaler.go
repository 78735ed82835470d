package controller

import (
	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// autoscaler rents machines as the queue needs them, and releases those that are idle.
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

const (
	// minRentalGain is how much sooner work has to be ready for a machine to be rented.
	minRentalGain = 3 * protocol.Second
	// planInterval is how often it is planned what to rent and what to release.
	planInterval = protocol.Second
	// rentalPlanSteps bounds what a plan for rental looks at, in scheduling steps' worth. It
	// can't be carried on later: what is not looked at is rented a second later. With a bound of
	// one step, arrays waited for their machines when a deployment started with none
	// (himal-members-fleet restart 0.83/0.73).
	rentalPlanSteps = 4
	// farBooking is how far away a booking is that may be as good as none.
	farBooking = 10 * protocol.Second
)

// machineOffers are machines that could be rented, with their kinds.
type machineOffers struct {
	offers []*slottable.Offer
	kinds  []machineKind
}

// planScaling finds what to rent so that waiting work starts sooner, with spare capacity for
// what arrives, and releases what is idle.
func (as *autoscaler) planScaling(pending []*pendingJob) {
	now := as.now.Steady
	if now < as.nextPlan {
		return
	}
	as.nextPlan = now + planInterval
	booting := as.bootingMachines()
	available := as.availableOffers()
	clear(as.neededMachines)
	counts := as.planForQueue(pending, available.offers)
	for i, n := range as.planSpareCapacity(available.offers) {
		counts[i] += n
	}
	for i, kind := range available.kinds {
		if counts[i] > 0 {
			as.scaleOut(kind, counts[i])
		}
	}
	as.scaleIn()
	as.logFleet(booting, len(pending))
}

// availableOffers are the machines that may be asked for.
func (as *autoscaler) availableOffers() machineOffers {
	var available machineOffers
	for _, t := range as.catalog.types {
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				k := machineKind{t.Name, zone, spot}
				if as.now.Steady < as.refusedUntil[k] || as.requested[k] > 0 {
					continue
				}
				if limit := as.rentalAllowance(k, 0); limit > 0 {
					available.offers = append(available.offers, as.makeOffer(t, k, limit))
					available.kinds = append(available.kinds, k)
				}
			}
		}
	}
	return available
}

func (as *autoscaler) makeOffer(t *protocol.MachineType, k machineKind, limit int) *slottable.Offer {
	price := t.Price
	if k.spot {
		price = t.SpotPrice
	}
	return &slottable.Offer{
		Type: k.machineType, Zone: k.zone, Spot: k.spot, Resources: t.Capacity, Price: price,
		BootTime:  as.estimates.bootTime(t) + protocol.Second,
		FetchTime: func(size int64) micros { return as.estimates.fetchTime(t, size) }, Limit: limit,
	}
}

// planForQueue finds how many of each offer to rent for the waiting jobs.
func (as *autoscaler) planForQueue(pending []*pendingJob, offers []*slottable.Offer) map[int]int {
	var requests []*slottable.Request
	for _, w := range pending {
		if w.request == nil || w.job.State != state.JobActive || w.job.Failures.Suspect {
			continue
		}
		if r := as.unservedRequest(w, offers); r.Tasks > 0 && r.Limit > 0 {
			requests = append(requests, r)
		}
	}
	// A machine that a booking counts on is not idle, however long it waits for the others of
	// its gang: once it is released, the booking is gone with it.
	for _, w := range pending {
		for _, b := range w.result.Booked {
			as.neededMachines[b.Machine] = true
		}
	}
	return as.planRental(requests, offers, rentalPlanSteps*as.scheduler.maxStepWork())
}

// planRental finds how many of each offer to rent for some requests, and notes the machines
// that the plan counts on. It looks at so many rows of the slot table at most.
func (as *autoscaler) planRental(requests []*slottable.Request, offers []*slottable.Offer, maxWork int) map[int]int {
	// As many as the cloud's calls of one second can ask for.
	limit := int(max(1, as.platform.CloudRate)) * maxMachinesPerRequest
	counts, needed := as.scheduler.slotTable.Rent(requests, offers, minRentalGain, limit, maxWork)
	for _, m := range needed {
		as.neededMachines[m] = true
	}
	return counts
}

// unservedRequest is what a job still needs after a scheduling cycle.
func (as *autoscaler) unservedRequest(w *pendingJob, offers []*slottable.Offer) *slottable.Request {
	now := as.now.Steady
	r := *w.request
	r.Booking = nil
	// A job that has waited shows that plans come out too early: more work arrives before its
	// turn, tasks are lost, estimates err. Half of the time that it has waited already is taken
	// off what a machine rented now would be ready at. Without this, in a burst that never lets
	// the queue end, every plan found a place within a boot time, and nothing was rented for
	// 100 s while 99 jobs waited and 300 machines could be had.
	r.Waited = (now - w.job.EligibleAt) / 2
	r.Tasks -= len(w.result.Start) + len(w.result.Booked)
	// A booking far away is as good as none, if a machine that is rented now could be ready
	// sooner.
	soonest := protocol.Forever
	for _, o := range offers {
		if o.Suits(&r) {
			soonest = min(soonest, now+o.BootTime+o.FetchTime(r.ImageSize)+minRentalGain)
		}
	}
	for _, b := range w.result.Booked {
		if b.Begin > now+farBooking && b.Ready > soonest-r.WaitedFor(b, now) {
			r.Tasks++
		}
	}
	r.Limit = min(r.Tasks, as.scheduler.quotaAllowance(as.scheduler.cycle, w.job, protocol.Resources{}))
	return &r
}
