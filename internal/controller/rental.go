package controller

import (
	"fmt"
	"math"
	"reflect"
	"sort"
	"strconv"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// machineKind is what the cloud may refuse by itself: a type, in a zone, spot or not.
type machineKind struct {
	machineType, zone string
	spot      bool
}

// claimLeadership is one rental request, repeated under its name until it is answered.
type rentRequest struct {
	name  string
	kind  machineKind
	count int
	tries int
}

// autoscaler is what a leader knows of renting.
type autoscaler struct {
	refusedUntil     map[machineKind]micros // no request before
	backoff     map[machineKind]micros
	requested        map[machineKind]int // machines asked for and not answered yet
	bootFactor  map[string]float64
	fetchFactor map[string]float64
	neededMachines      map[*slottable.Machine]bool // that the last plan counted on
	overloadedAt     micros                      // when there were last jobs that nobody has taken yet
	nextPlan        micros
	nextSpareRental   map[string]micros // by class: room to spare is not rented before
	nextFleetLog     micros
	releaseInFlight   bool
	cloudListAnswering   bool // the cloud answered the last request for its list
	nextRelease micros
}

func (r *autoscaler) init() {
	*r = autoscaler{
		refusedUntil: make(map[machineKind]micros), backoff: make(map[machineKind]micros), requested: make(map[machineKind]int),
		bootFactor: make(map[string]float64), fetchFactor: make(map[string]float64),
		neededMachines: make(map[*slottable.Machine]bool), nextSpareRental: make(map[string]micros),
	}
}

func (r *autoscaler) observeBoot(h *state.Host, at micros) {
	if h.Type == nil || h.Type.BootTime <= 0 {
		return
	}
	f := r.bootFactor[h.TypeName]
	if f == 0 {
		f = 1
	}
	x := max(0.3, min(2, float64(at-h.KnownSince)/float64(h.Type.BootTime)))
	r.bootFactor[h.TypeName] = f + (x-f)*0.2
}

func (c *Controller) bootTime(t *protocol.MachineType) micros {
	f := c.term.autoscaler.bootFactor[t.Name]
	if f == 0 {
		f = 1
	}
	return micros(float64(t.BootTime) * f)
}

// expectedBootEnd is when a booting host is expected to report.
func (c *Controller) expectedBootEnd(h *state.Host) micros {
	due := h.KnownSince + c.bootTime(h.Type)
	age := c.now.Steady - h.KnownSince
	return max(due, c.now.Steady+max(age/2, 2*protocol.Second))
}

// applyCloudMachineTypes takes machine types as the cloud tells them.
func (c *Controller) applyCloudMachineTypes(value []byte) {
	types, err := protocol.ParseMachineTypes(value)
	if err != nil {
		c.logMalformed("machine types", err)
		return
	}
	c.setMachineTypes(types)
}

// setMachineTypes goes by machine types from now on.
func (c *Controller) setMachineTypes(types []*protocol.MachineType) {
	for i, t := range types {
		// Mostly prices have moved and nothing else. Then the type stays the one
		// that hosts and rows know, and no row has to be made anew.
		if old := c.machineTypeByName[t.Name]; old != nil {
			same := *old
			same.Price, same.SpotPrice = t.Price, t.SpotPrice
			if reflect.DeepEqual(&same, t) {
				*old = same
				types[i] = old
			}
		}
		c.machineTypeByName[types[i].Name] = types[i]
	}
	c.machineTypes = types
	if c.term != nil {
		for _, h := range c.term.cluster.Hosts() {
			// Types stay what they are; only their prices move.
			if typ := c.machineTypeByName[h.TypeName]; typ != h.Type {
				h.Type, h.Stale = typ, true
				c.removeMachine(h)
			}
		}
	}
}

// pollMachineTypes asks for machine types and prices, and keeps the types so that
// jobs can be checked while the cloud is in trouble.
func (c *Controller) pollMachineTypes(t *leaderTerm) {
	if c.term != t {
		return
	}
	known := len(c.machineTypes)
	c.call(ToCloud, priorityUrgent, "GET", "/machine_types", nil, 4*protocol.Second, 0, func(r CallResult) {
		if c.term != t {
			return
		}
		wait := 60 * protocol.Second
		if r.Status == 200 {
			c.applyCloudMachineTypes(r.Body)
			if known == 0 && len(c.machineTypes) > 0 {
				c.persistMachineTypes(t)
				t.cycleNeeded = true
			}
		} else {
			wait = 2 * protocol.Second
		}
		c.after(wait, func() { c.pollMachineTypes(t) })
	})
}

// pollMachineList reads the cloud's list of machines.
func (c *Controller) pollMachineList(t *leaderTerm) {
	if c.term != t {
		return
	}
	listed := make(map[string]protocol.CloudMachine, len(t.cluster.Hosts()))
	var page func(since string)
	page = func(since string) {
		path := "/machines?page=500"
		if since != "" {
			path = "/machines?since=" + since + "&page=500"
		}
		c.call(ToCloud, priorityNormal, "GET", path, nil, 4*protocol.Second, 0, func(r CallResult) {
			if c.term != t {
				return
			}
			t.autoscaler.cloudListAnswering = r.Status == 200
			if r.Status == 200 {
				hosts, more, err := protocol.ParseMachines(r.Body)
				if err != nil {
					c.logMalformed("cloud", err)
				} else {
					for _, h := range hosts {
						listed[h.Name] = h
					}
					if more && len(hosts) > 0 {
						page(hosts[len(hosts)-1].Name)
						return
					}
					c.reconcileMachineList(listed)
				}
			}
			c.after(2*protocol.Second, func() { c.pollMachineList(t) })
		})
	}
	page("")
}

// reconcileMachineList compares the machine list with the book. The list lags and can go
// back, so it only ever leads to a release, which is safe to repeat.
func (c *Controller) reconcileMachineList(listed map[string]protocol.CloudMachine) {
	t := c.term
	at := c.now.Steady
	for name, l := range listed {
		if _, gone := t.releasedHosts[name]; gone {
			continue
		}
		h := t.cluster.Host(name)
		if h == nil {
			h = state.NewHost(at, name, l.Type, l.Zone, l.Spot)
			h.KnownSince = at - l.Age
			h.Type = c.machineTypeByName[l.Type]
			h.Addr = l.Addr
			t.cluster.AddHost(h)
			t.cycleNeeded = true
		}
		h.Listed, h.CloudState, h.UnlistedSince = true, l.State, 0
		if h.Addr == "" {
			h.Addr = l.Addr
		}
	}
	for _, h := range t.cluster.Hosts() {
		if h.Type == nil {
			h.Type, h.Stale = c.machineTypeByName[h.TypeName], true
		}
		_, here := listed[h.Name]
		if !here && h.UnlistedSince == 0 {
			h.UnlistedSince = at
		}
		silent := at-h.LastContact > c.silenceThreshold()+protocol.Second && !c.isLagging(c.silenceThreshold())
		// A list is at most twice the lag old, so a machine that had reported
		// before that and is not in it is gone.
		known := h.RecordedWall > 0 && c.now.Wall-h.RecordedWall > 2*c.platform.MachineListLag+2*protocol.Second
		switch {
		case h.State == state.HostReleasing || h.State == state.HostGone:
		case here && h.CloudState == protocol.CloudFailed:
			c.releaseHost(h, "failed")
		case !here && silent && known:
			c.releaseHost(h, "not listed any more")
		case !here && h.Listed && silent && at-h.UnlistedSince > 2*c.platform.MachineListLag+protocol.Second:
			c.releaseHost(h, "not listed any more")
		case h.State == state.HostBooting && !h.FromRecord && h.Type != nil && at-h.KnownSince > 3*h.Type.BootTime+10*protocol.Second:
			c.releaseHost(h, "does not come up")
		}
	}
}

// releaseHost gives a machine back. Nothing is put on it from now on; its tasks
// count until the cloud has answered.
func (c *Controller) releaseHost(h *state.Host, why string) {
	if h.State == state.HostReleasing || h.State == state.HostGone {
		return
	}
	c.log.Info("releasing machine", "host", h.Name, "type", h.TypeName, "why", why, "state", h.State.String())
	for _, a := range h.Attempts() {
		if a.State == state.AttemptAssigned {
			c.onAttemptLost(a)
		}
	}
	h.SetState(state.HostReleasing)
	h.ReleaseReason = why
	c.term.cycleNeeded = true
}

// sendReleases sends what rental has to send.
func (c *Controller) sendReleases() {
	t := c.term
	if c.now.Steady < t.autoscaler.nextRelease || t.autoscaler.releaseInFlight || !c.mayActAsLeader() {
		return
	}
	var names []string
	for _, h := range t.cluster.Hosts() {
		if h.State == state.HostReleasing && len(names) < 100 {
			names = append(names, h.Name)
		}
	}
	if len(names) == 0 {
		return
	}
	t.autoscaler.releaseInFlight = true
	c.call(ToCloud, priorityUrgent, "POST", "/machines/release", protocol.AppendMachineNames(nil, names), 5*protocol.Second, 0, func(r CallResult) {
		if c.term != t {
			return
		}
		t.autoscaler.releaseInFlight = false
		if r.Status != 200 {
			t.autoscaler.nextRelease = c.now.Steady + protocol.Second
			return
		}
		for _, name := range names {
			h := t.cluster.Host(name)
			if h == nil {
				continue
			}
			c.loseAllAttempts(h, "released: "+h.ReleaseReason)
			h.SetState(state.HostGone)
			h.Reconciled = true
			t.releasedHosts[name] = c.now.Steady
			t.cluster.RemoveHost(h)
			c.removeMachine(h)
			// A record left over would only make a successor release the name
			// once more, and wait for that.
			t.hostShards.drop(name, c.now.Steady+protocol.Second)
			if h.LegacyRecord {
				t.orphanedKeys = append(t.orphanedKeys, state.LegacyHostPrefix+name)
			}
		}
		t.cycleNeeded = true
	})
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
func (c *Controller) planScaling(list []*pendingJob) {
	t := c.term
	at := c.now.Steady
	r := &t.autoscaler
	if at < r.nextPlan {
		return
	}
	r.nextPlan = at + protocol.Second
	var requests []*slottable.Request
	booting := 0
	for _, h := range t.cluster.Hosts() {
		if h.State == state.HostBooting && !h.FromRecord {
			booting++
		}
	}
	for _, n := range r.requested {
		booting += n
	}
	var offers []*slottable.Offer
	var kinds []machineKind
	for _, typ := range c.machineTypes {
		for _, zone := range typ.Zones {
			for _, spot := range []bool{false, true} {
				k := machineKind{typ.Name, zone, spot}
				if at < r.refusedUntil[k] || r.requested[k] > 0 {
					continue
				}
				most := c.rentalAllowance(k, 0)
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
					Boot: c.bootTime(typ) + protocol.Second, Fetch: func(size int64) micros { return c.fetchTime(tt, size) }, Most: most,
				})
				kinds = append(kinds, k)
			}
		}
	}
	for _, w := range list {
		if w.request == nil || w.job.State != state.JobActive || w.job.Suspect {
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
		left.Limit = min(left.Tasks, c.quotaAllowance(t.cycle, w.job, protocol.Resources{}))
		if left.Tasks > 0 && left.Limit > 0 {
			requests = append(requests, &left)
		}
	}
	// As many as the cloud's calls of one second can ask for.
	most := int(max(1, c.platform.CloudRate)) * maxMachinesPerRequest
	clear(r.neededMachines)
	note := func(list []*slottable.Machine) {
		for _, m := range list {
			r.neededMachines[m] = true
		}
	}
	// A machine that a booking counts on is not idle, however long it waits for the
	// peers of its gang: given back, the booking is gone with it.
	for _, w := range list {
		for _, b := range w.result.Booked {
			r.neededMachines[b.Machine] = true
		}
	}
	rent, needed := t.slotTable.Rent(requests, offers, minRentalGain, most, rentalPlanSteps*c.maxStepWork())
	note(needed)
	// Classes seldom burst together: each looks for its spare room by itself,
	// so the same room may serve several.
	spares := make(map[int]int)
	for _, name := range c.classNames() {
		s := c.spareRequest(name)
		if s == nil {
			continue
		}
		more, needed := t.slotTable.Rent([]*slottable.Request{s}, offers, minRentalGain, most, c.maxStepWork()/4)
		note(needed)
		// What was rented to spare is of no use before it is up. Until then each
		// plan would find the same room missing, and rent it once more: it is paced.
		if at < r.nextSpareRental[name] {
			continue
		}
		for i, n := range more {
			spares[i] = max(spares[i], n)
			r.nextSpareRental[name] = max(r.nextSpareRental[name], at+offers[i].Boot/sparePacing)
		}
	}
	for i := range offers {
		if n := rent[i] + spares[i]; n > 0 {
			c.scaleOut(kinds[i], n)
		}
	}
	c.scaleIn()
	if at >= r.nextFleetLog {
		r.nextFleetLog = at + 20*protocol.Second
		c.logFleet(booting, len(list))
	}
}

// sparePacing is how many times in a boot time room to spare may be rented: more
// than once, since the queue takes some of what was rented before it is up.
const sparePacing = 8

// rentTimeout is how long the cloud has to answer a request for machines.
const rentTimeout = 5 * protocol.Second

// maxMachinesPerRequest is how many machines one request to the cloud may ask for.
const maxMachinesPerRequest = 50

// logFleet tells how the machines are used.
func (c *Controller) logFleet(booting, waiting int) {
	type sum struct{ hosts, empty, needed, gpus, used, yielding int64 }
	byType := make(map[string]*sum)
	var names []string
	for _, h := range c.term.cluster.Hosts() {
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
			anchored = anchored || a.State.HoldsResources() && a.Job != nil && !c.isPreemptible(a.Job)
		}
		if !anchored && !h.Empty() {
			k.yielding++
		}
		k.hosts++
		k.gpus += h.Type.Capacity.GPU / 1000
		k.used += h.Used().GPU / 1000
		if h.Empty() {
			k.empty++
			if c.term.autoscaler.neededMachines[c.term.machines[h]] {
				k.needed++
			}
		}
	}
	for _, n := range names {
		k := byType[n]
		c.log.Info("fleet", "type", n, "hosts", k.hosts, "empty", k.empty, "kept_spare", k.needed, "yielding", k.yielding, "gpus", k.gpus, "gpus_used", k.used, "booting", booting, "jobs_waiting", waiting)
	}
}

// spareRequest is a request for room that is kept for what arrives of a class, or nil.
func (c *Controller) spareRequest(name string) *slottable.Request {
	t := c.term
	k := t.classes[name]
	if k.lastSpec == nil || c.startObjective(name) == 0 {
		return nil
	}
	s := k.lastSpec
	var boot micros
	for _, typ := range c.machineTypes {
		if typ.Capacity.Covers(s.TaskResources) && s.AllowsType(typ.Name) {
			if b := c.bootTime(typ) + c.fetchTime(typ, s.ImageSize); boot == 0 || b < boot {
				boot = b
			}
		}
	}
	n := int(math.Ceil(k.expectedArrivals(c.now.Steady, t.startedAt, boot) * c.operator.WarmSpare))
	if n == 0 {
		return nil
	}
	return &slottable.Request{
		Tasks: min(n, 8), Limit: min(n, 8), Need: s.TaskResources, Image: s.Image, ImageSize: s.ImageSize,
		Types: s.MachineTypes, Spot: s.AllowSpot, Length: 30 * protocol.Second, Spare: true,
		// Room is missing only if a job that came now would start too late:
		// a machine that is soon free does as well as an empty one.
		Patient: c.now.Steady + c.startObjective(name)*7/10,
	}
}

func (c *Controller) classNames() []string {
	names := make([]string, 0, len(c.term.classes))
	for n := range c.term.classes {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// startDeadline is until when a job may become ready without an aim being missed,
// where the only aim of its class is on finishing. Half of the time is left to
// errors of the estimates.
func (c *Controller) startDeadline(j *state.Job) micros {
	var within micros
	for _, o := range c.platform.Objectives {
		if o.Class != j.Spec.Class {
			continue
		}
		if o.Kind != "finished" {
			return 0
		}
		if within == 0 || o.Within < within {
			within = o.Within
		}
	}
	if within == 0 || j.Spec.Kind == protocol.Service {
		return 0
	}
	return j.EligibleAt + within*7/10 - c.classStats(j.Spec.Class).estimatedRuntime(j.Spec)
}

// startObjective is the shortest time that an aim gives a class to start, or 0.
func (c *Controller) startObjective(class string) micros {
	var within micros
	for _, o := range c.platform.Objectives {
		if o.Kind == "wait" && o.Class == class && (within == 0 || o.Within < within) {
			within = o.Within
		}
	}
	return within
}

// scaleOut asks the cloud for machines. The name of a request is never used again.
func (c *Controller) scaleOut(k machineKind, count int) {
	t := c.term
	if count = min(count, c.rentalAllowance(k, 0)); count == 0 {
		return // the offers of a type, spot and not, share a ceiling
	}
	t.rentRequestSeq++
	cl := &rentRequest{name: fmt.Sprintf("r-%d-%d", t.epoch, t.rentRequestSeq), kind: k, count: min(count, maxMachinesPerRequest)}
	t.autoscaler.requested[k] += cl.count
	c.sendRentRequest(t, cl)
}

func (c *Controller) sendRentRequest(t *leaderTerm, cl *rentRequest) {
	cl.tries++
	k := cl.kind
	r := &t.autoscaler
	body := protocol.AppendRentRequest(nil, cl.name, k.machineType, k.zone, k.spot, cl.count)
	asked := c.now.Steady
	c.call(ToCloud, priorityUrgent, "POST", "/machines", body, rentTimeout, 0, func(res CallResult) {
		if c.term != t {
			return
		}
		at := c.now.Steady
		switch res.Status {
		case 200:
			names, err := protocol.ParseMachineNames(res.Body)
			if err != nil {
				c.logMalformed("cloud", err)
				break
			}
			r.requested[k] -= cl.count
			r.backoff[k] = 0
			c.log.Info("rented", "claim", cl.name, "type", k.machineType, "zone", k.zone, "spot", k.spot, "asked", cl.count, "got", len(names))
			if len(names) < cl.count {
				r.refusedUntil[k] = at + 10*protocol.Second
			}
			for _, name := range names {
				if _, gone := t.releasedHosts[name]; t.cluster.Host(name) == nil && !gone {
					h := state.NewHost(asked, name, k.machineType, k.zone, k.spot)
					h.Type, h.Rented = c.machineTypeByName[k.machineType], true
					h.LastContact = at
					t.cluster.AddHost(h)
				}
			}
			t.cycleNeeded = true
			return
		case 503:
			r.requested[k] -= cl.count
			r.backoff[k] = min(max(2*r.backoff[k], 8*protocol.Second), 40*protocol.Second)
			r.refusedUntil[k] = at + r.backoff[k]
			r.nextPlan = at // another kind may have some
			t.cycleNeeded = true
			c.log.Debug("rental refused", "claim", cl.name, "type", k.machineType, "zone", k.zone, "spot", k.spot)
			return
		case 400:
			r.requested[k] -= cl.count
			r.refusedUntil[k] = at + 60*protocol.Second
			c.log.Error("rental refused as malformed", "claim", cl.name, "body", string(body))
			return
		}
		// Not answered: repeated under the same name, it rents nothing twice.
		if cl.tries >= 10 {
			r.requested[k] -= cl.count
			r.refusedUntil[k] = at + 20*protocol.Second
			return
		}
		c.after(protocol.Second, func() {
			switch {
			case c.term != t:
			case c.rentalAllowance(k, cl.count) < cl.count: // its ceiling was lowered
				r.requested[k] -= cl.count
				r.refusedUntil[k] = c.now.Steady + 20*protocol.Second
			default:
				c.sendRentRequest(t, cl)
			}
		})
	})
}

// scaleIn gives back machines that nothing is on and no plan counts on. While users are
// told to come back with their jobs, what those need is in no plan: 1,700 of 4,200 machines
// went back in a deployment's first seconds, and others were rented when the jobs were in.
func (c *Controller) scaleIn() {
	t := c.term
	at := c.now.Steady
	if !t.autoscaler.cloudListAnswering {
		// A release that is asked for and not answered leaves a machine that
		// can neither be used nor counted as gone.
		return
	}
	if t.submitLimiter.isOverloaded(at) || t.urgentSubmitLimiter.isOverloaded(at) {
		t.autoscaler.overloadedAt = at
	}
	for _, h := range t.cluster.Hosts() {
		if h.State != state.HostReady || !h.Reconciled || c.hasRetainingWork(h) || t.autoscaler.neededMachines[t.machines[h]] {
			continue
		}
		if at-max(h.IdleSince, t.autoscaler.overloadedAt) <= c.operator.IdleScaleInDelay {
			continue
		}
		if !h.Empty() {
			c.evictAll(h)
		} else {
			c.releaseHost(h, "idle for "+strconv.FormatInt(int64((at-h.IdleSince)/protocol.Second), 10)+" s")
		}
	}
}
