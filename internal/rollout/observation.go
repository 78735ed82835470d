package rollout

// tally counts the instances of a version.
type tally struct {
	requested        int // asked for
	present          int // asked for, or still on a machine
	running          int
	unconfirmed      int // not known to run or not: see Instance
	healthy          int
	certainlyHealthy int // healthy, and no check failed that others are asked about now
	failing          int // running, and their last check failed
	checked          int // running, and known to pass or to fail, or unknown for too long
	byBatch          map[string]batchTally
}

type batchTally struct {
	healthy          int
	certainlyHealthy int // healthy, and no check failed that others are asked about now
	possiblyHealthy  int // that can't be taken for unhealthy
}

// observe takes in how the jobs stand, and counts their instances.
func (sv *service) observe(now micros, jobs JobSource, checkRoundTime micros, due func(*instance)) {
	sv.observations++
	sv.oldTally = sv.observeVersion(now, jobs, &sv.record.Old, false, checkRoundTime, due)
	sv.newTally = sv.observeVersion(now, jobs, &sv.record.New, true, checkRoundTime, due)
	for s, i := range sv.instances {
		if i.lastObservation != sv.observations {
			i.running = false // a result that still comes is nobody's
			delete(sv.instances, s)
		}
	}
}

// observation is a look at the instances of a version.
type observation struct {
	*service
	now           micros
	version       *Version
	isNew         bool   // it is the new version
	passLifetime  micros // how old a check may be that still says that an instance is healthy
	scheduleCheck func(*instance)
	tally         tally
}

// observeVersion counts the instances of a version, and has due called for those that run.
func (sv *service) observeVersion(now micros, jobs JobSource, v *Version, isNew bool, checkRoundTime micros, due func(*instance)) tally {
	o := observation{service: sv, now: now, version: v, isNew: isNew, scheduleCheck: due, tally: tally{byBatch: make(map[string]batchTally, len(v.Batches))}}
	if v.Spec == nil {
		return o.tally
	}
	o.passLifetime = sv.passLifetime(v, checkRoundTime)
	for _, b := range v.Batches {
		o.observeBatch(jobs, b)
	}
	return o.tally
}

// observeBatch counts the instances of a job.
func (o *observation) observeBatch(jobs JobSource, b Batch) {
	var bt batchTally
	each := func(in Instance) {
		if in.Index < b.Tasks {
			o.countInstance(b.Ref, in, &bt)
		}
	}
	if b.Leaving && o.cancelRequested[b.Ref] {
		each = nil
	}
	job := jobs.Job(b.Ref, each)
	if b.Leaving && job.State == JobCancelled {
		o.cancelRequested[b.Ref] = true // by the leader before, or by its user
	}
	switch {
	case job.State == JobLive:
		o.known[b.Ref] = true
	case b.Leaving:
	case job.State == JobCancelled || o.known[b.Ref]:
		o.cancelledByUser[b.Ref] = true
	}
	t := &o.tally
	if !b.Leaving {
		t.requested += b.Tasks
	}
	left := o.cancelConfirmed[b.Ref] && (job.State == JobAbsent || job.Settled)
	if !b.Leaving || !left {
		t.present += b.Tasks
	} else {
		o.cleared[b.Ref] = true
	}
	t.healthy += bt.healthy
	t.certainlyHealthy += bt.certainlyHealthy
	t.byBatch[b.Ref] = bt
}

// countInstance counts an instance.
func (o *observation) countInstance(ref string, in Instance, bt *batchTally) {
	i := o.instanceIn(slot{ref, in.Index}, in)
	t := &o.tally
	if in.Unconfirmed {
		t.unconfirmed++
	}
	if !in.Running {
		return
	}
	t.running++
	o.scheduleCheck(i)
	if i.health != Unknown || o.now-max(i.since, o.timeoutsFrom) > o.version.Spec.HealthTimeout {
		t.checked++
	}
	if i.streak < 0 {
		t.failing++
	}
	if i.healthy(o.now, o.passLifetime) {
		bt.healthy++
		if !i.confirming {
			bt.certainlyHealthy++
		}
	}
	if !i.unhealthy() {
		bt.possiblyHealthy++
	}
}

// instanceIn is the instance in a slot. One that runs anew begins anew.
func (o *observation) instanceIn(s slot, in Instance) *instance {
	i := o.instances[s]
	switch {
	case i == nil:
		i = &instance{slot: s, service: o.service, isNew: o.isNew, heapIndex: -1}
		o.instances[s] = i
		i.restart(o.now, in)
	case i.running != in.Running || in.Running && i.attempt != in.Attempt:
		i.restart(o.now, in)
	}
	i.lastObservation = o.observations
	return i
}
