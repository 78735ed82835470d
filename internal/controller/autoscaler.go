package controller

import (
	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// autoscaler rents machines for the queue, and releases idle ones.
type autoscaler struct {
	*termContext
	catalog     *machineCatalog
	cloud       *cloudMonitor
	config      *configManager
	estimates   *machineEstimates
	scheduler   *scheduler
	submitQueue *submissionQueue
	workload    *workload

	refusedUntil    map[machineKind]micros      // no request before, after an unfulfilled one
	backoff         map[machineKind]micros      // last pause after the cloud had no capacity
	requested       map[machineKind]int         // machines in requests without a response yet
	neededMachines  map[*slottable.Machine]bool // machines that the last plan needs
	overloadedAt    micros                      // when submissions were last refused in an overload
	nextPlan        micros                      // no plan is made before this time
	nextSpareRental map[string]micros           // by class: no spare capacity is rented before
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
	// planInterval is the time between two plans of what to rent and what to release.
	planInterval = protocol.Second
	// rentalPlanSteps bounds the work of a rental plan, in units of a scheduling step's work. A
	// plan can't be continued in a later step: requests beyond the bound are planned a second
	// later. The bound is more than one step because with one step the day "restart" of the
	// simulated deployment himal-members-fleet scored 0.73 instead of 0.83: arrays waited for their
	// machines when the deployment started with none.
	rentalPlanSteps = 4
	// farBookingThreshold is how far in the future a booking has to begin to count as far away.
	farBookingThreshold = 10 * protocol.Second
)

// machineOffers are the offers of machines that may be rented, and the kind of each.
type machineOffers struct {
	offers []*slottable.Offer
	kinds  []machineKind
}

// planScaling rents machines so that queued jobs start sooner, and as spare capacity for jobs that
// may arrive. It releases idle machines.
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

// availableOffers returns the offers of the machines that may be requested.
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

// planForQueue returns how many machines of each offer to rent for the queued jobs.
func (as *autoscaler) planForQueue(pending []*pendingJob, offers []*slottable.Offer) map[int]int {
	var requests []*slottable.Request
	for _, pj := range pending {
		if pj.request == nil || pj.job.State != state.JobActive || pj.job.Failures.Suspect {
			continue
		}
		if r := as.unservedRequest(pj, offers); r.Tasks > 0 && r.Limit > 0 {
			requests = append(requests, r)
		}
	}
	// A machine with a booking is not idle, however long it waits for the other machines of the
	// gang: if it were released, the booking would be lost.
	for _, pj := range pending {
		for _, b := range pj.result.Booked {
			as.neededMachines[b.Machine] = true
		}
	}
	return as.planRental(requests, offers, rentalPlanSteps*as.scheduler.maxStepWork())
}

// planRental returns how many machines of each offer to rent for some requests, and records which
// machines the plan needs. It looks at no more than maxWork rows of the slot table.
func (as *autoscaler) planRental(requests []*slottable.Request, offers []*slottable.Offer, maxWork int) map[int]int {
	// The number of machines that the cloud's request rate allows to rent in one second.
	limit := int(max(1, as.platform.CloudRate)) * maxMachinesPerRequest
	counts, needed := as.scheduler.slotTable.Rent(requests, offers, minRentalGain, limit, maxWork)
	for _, m := range needed {
		as.neededMachines[m] = true
	}
	return counts
}

// unservedRequest returns a request for the tasks of a job that the last scheduling cycle did not
// place.
func (as *autoscaler) unservedRequest(pj *pendingJob, offers []*slottable.Offer) *slottable.Request {
	now := as.now.Steady
	r := *pj.request
	r.Booking = nil
	// If a job has waited, the planned times are too early: other work arrives before its turn,
	// tasks are lost, and estimates are wrong. Half of the time that the job has waited is
	// subtracted from the time at which a machine rented now would be ready. Without this, when
	// the queue was never empty in a burst, every plan found a place within a boot time, and
	// nothing was rented for 100 s while 99 jobs waited and 300 machines were available.
	r.ReadyTimeMargin = (now - pj.job.EligibleAt) / 2
	r.Tasks -= len(pj.result.Start) + len(pj.result.Booked)
	// A task with a booking that is far away counts as unplaced if a machine that is rented now
	// could be ready sooner.
	soonest := protocol.Forever
	for _, o := range offers {
		if o.Suits(&r) {
			soonest = min(soonest, now+o.BootTime+o.FetchTime(r.ImageSize)+minRentalGain)
		}
	}
	for _, b := range pj.result.Booked {
		if b.Begin > now+farBookingThreshold && b.Ready > soonest-r.ReadyTimeMarginOn(b, now) {
			r.Tasks++
		}
	}
	r.Limit = min(r.Tasks, as.scheduler.quotaAllowance(as.scheduler.cycle, pj.job, protocol.Resources{}))
	return &r
}
