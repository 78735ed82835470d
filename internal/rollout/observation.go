package rollout

// tally counts the instances of a version.
type tally struct {
	requested        int // instances of jobs that are not leaving
	present          int // requested, or possibly still on a host
	running          int
	unconfirmed      int // not known whether it runs, see Instance
	healthy          int
	certainlyHealthy int // healthy, and no failed check is being confirmed
	failing          int // running, and the last check failed
	checked          int // running, and passing, failing, or unknown beyond HealthTimeout
	byBatch          map[string]batchTally
}

// batchTally counts the running instances of a job.
type batchTally struct {
	healthy          int
	certainlyHealthy int // healthy, and no failed check is being confirmed
	possiblyHealthy  int // not certainly unhealthy
}

// observe reads the state of the jobs and counts their instances. It calls schedule for the running
// instances.
func (sv *service) observe(now micros, jobs JobSource, checkRoundTime micros, schedule func(*instance)) {
	sv.observationSeq++
	sv.oldTally = sv.observeVersion(now, jobs, &sv.record.Old, false, checkRoundTime, schedule)
	sv.newTally = sv.observeVersion(now, jobs, &sv.record.New, true, checkRoundTime, schedule)
	for s, i := range sv.instances {
		if i.lastObservation != sv.observationSeq {
			i.running = false // results of checks in flight are ignored
			delete(sv.instances, s)
		}
	}
}

// observation is one pass over the instances of a version.
type observation struct {
	*service
	now           micros
	version       *Version
	isNew         bool   // version is the new version
	passLifetime  micros // age up to which a passed check proves that an instance is healthy
	scheduleCheck func(*instance)
	tally         tally
}

// observeVersion counts the instances of a version and calls schedule for those that run.
func (sv *service) observeVersion(now micros, jobs JobSource, v *Version, isNew bool, checkRoundTime micros, schedule func(*instance)) tally {
	o := observation{service: sv, now: now, version: v, isNew: isNew, scheduleCheck: schedule, tally: tally{byBatch: make(map[string]batchTally, len(v.Batches))}}
	if v.Spec == nil {
		return o.tally
	}
	o.passLifetime = sv.passLifetime(v, checkRoundTime)
	for _, b := range v.Batches {
		o.observeBatch(jobs, b)
	}
	return o.tally
}

// observeBatch counts the instances of a job and records whether the job was accepted, cancelled or
// has left all hosts.
func (o *observation) observeBatch(jobs JobSource, b Batch) {
	var bt batchTally
	visit := func(in Instance) {
		if in.Index < b.Tasks {
			o.countInstance(b.Ref, in, &bt)
		}
	}
	if b.Leaving && o.cancelRequested[b.Ref] {
		visit = nil
	}
	job := jobs.Job(b.Ref, visit)
	if b.Leaving && job.State == JobCancelled {
		o.cancelRequested[b.Ref] = true // by an earlier leader or by a user
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
	gone := o.cancelConfirmed[b.Ref] && (job.State == JobAbsent || job.Settled)
	if !b.Leaving || !gone {
		t.present += b.Tasks
	} else {
		o.cleared[b.Ref] = true
	}
	t.healthy += bt.healthy
	t.certainlyHealthy += bt.certainlyHealthy
	t.byBatch[b.Ref] = bt
}

// countInstance adds an instance to the tallies of its version and of its job.
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
	if i.health != Unknown || o.now-max(i.stateSince, o.timeoutsFrom) > o.version.Spec.HealthTimeout {
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
	if !i.certainlyUnhealthy() {
		bt.possiblyHealthy++
	}
}

// instanceIn returns the instance in a slot. If it has started, stopped or been replaced by another
// attempt since the last observation, its earlier results are discarded.
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
	i.lastObservation = o.observationSeq
	return i
}
