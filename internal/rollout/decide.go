package rollout

import (
	"cmp"
	"fmt"
	"slices"
)

// decide returns the next change of the record, or nil if there is none now. observe must be called
// before.
func (sv *service) decide(now, checkRoundTime micros) *Record {
	r := sv.record
	if r.State.Ended() {
		// Jobs of a failed roll-out may still be leaving. No other roll-out of the service can
		// start until they have been removed from the record.
		if n := sv.dropClearedBatches(r.clone()); len(n.Old.Batches)+len(n.New.Batches) < len(r.Old.Batches)+len(r.New.Batches) {
			return n
		}
		return nil
	}
	sv.blockedOn = ""
	if n := sv.handleUserCancellation(); n != nil {
		return n
	}
	if r.State == Paused {
		return nil
	}
	if n := sv.keepUncancelled(); n != nil {
		return n
	}
	if n := sv.pauseIfRefused(); n != nil {
		return n
	}
	if n := sv.revertIfFaulty(now); n != nil {
		return n
	}
	if n := sv.pauseIfOverdue(now); n != nil {
		return n
	}
	allHealthy := sv.newTally.healthy+sv.faultyAndUnhealthy(now, checkRoundTime) >= sv.newTally.requested
	var next *Record
	switch r.State {
	case Planned:
		next = sv.plan()
	case Staging:
		next = sv.stage()
	case Checking:
		next = sv.awaitHealthy(allHealthy)
	case Soaking:
		next = sv.awaitSoak(now, allHealthy)
	case Promoting:
		next = sv.promote()
	case Reverting:
		next = sv.revert()
	case Paused, Done, Reverted, Failed, Idle:
	}
	if next != nil {
		// With an instance that fails intermittently, the roll-out could alternate between
		// checking and soaking forever. Only steps not reached before count as progress.
		if step := next.Stage*int(Idle) + int(next.State); step > sv.furthestStep || next.JobsMade > r.JobsMade || next.leavingJobs() > r.leavingJobs() {
			sv.furthestStep, sv.progressAt = max(step, sv.furthestStep), now
		}
	}
	if s := sv.spec(); now-sv.progressAt > s.StartTimeout+s.HealthTimeout+2*s.SoakTime {
		return sv.pause("nothing went on for too long: " + cmp.Or(sv.blockedOn, "checks are missing"))
	}
	return next
}

// plan waits until the instances that exist before the roll-out have been checked once.
func (sv *service) plan() *Record {
	r, old := sv.record, sv.oldTally
	if old.unconfirmed > 0 {
		// Without this, a new leader that had received no heartbeats from the hosts yet considered
		// all instances down, and paused the roll-out until an operator intervened.
		sv.blockedOn = fmt.Sprintf("%d of %d old instances are not heard of yet", old.unconfirmed, old.requested)
		return nil
	}
	if old.checked < old.running {
		sv.blockedOn = fmt.Sprintf("%d of %d old instances are checked", old.checked, old.running)
		return nil
	}
	if old.healthy < sv.minHealthy() && !r.IgnoreUnhealthyStart {
		return sv.pause(fmt.Sprintf("%d of %d instances are healthy before anything is done, fewer than the floor of %d; resume goes on all the same", old.healthy, old.requested, sv.minHealthy()))
	}
	next := r.clone()
	next.setState(Staging, "")
	return next
}

// addBatches adds new jobs with count instances in total to a version.
func (r *Record) addBatches(v *Version, count int) {
	for maxTasks := batchSize(r.New.Spec); count > 0; {
		n := min(count, maxTasks)
		r.JobsMade++
		v.Batches = append(v.Batches, Batch{Ref: jobRef(r.Service, r.New.Spec.ID, r.JobsMade), Tasks: n})
		count -= n
	}
}

// oldInstancesToKeep returns how many old instances remain once there are newInstances new ones:
// the share of OldCount that corresponds to the new instances still missing, rounded up.
func (sv *service) oldInstancesToKeep(newInstances int) int {
	s := sv.spec()
	return (sv.record.OldCount*(s.Count-newInstances) + s.Count - 1) / s.Count
}

// markLeaving marks jobs of a version as leaving until keep instances remain, and reports whether
// it marked any. Jobs with the fewest healthy instances come first. It skips jobs without which
// too few instances would be healthy and, unless allowFewer is set, jobs without which fewer than
// keep instances would remain.
func (sv *service) markLeaving(v *Version, t tally, keep int, allowFewer bool) bool {
	certainlyHealthy := sv.oldTally.certainlyHealthy + sv.newTally.certainlyHealthy
	order := make([]int, 0, len(v.Batches))
	for k, b := range v.Batches {
		if !b.Leaving {
			order = append(order, k)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(t.byBatch[v.Batches[a].Ref].healthy, t.byBatch[v.Batches[b].Ref].healthy)
	})
	remaining, changed := v.requestedInstances(), false
	for _, k := range order {
		b := &v.Batches[k]
		bt := t.byBatch[b.Ref]
		if remaining <= keep || remaining-b.Tasks < keep && !allowFewer {
			continue
		}
		if !sv.mayCancel(certainlyHealthy, bt) {
			sv.blockedOn = fmt.Sprintf("%d instances are healthy, to take %s away would leave %d of at least %d", certainlyHealthy, b.Ref, certainlyHealthy-bt.certainlyHealthy, sv.minHealthy())
			continue
		}
		b.Leaving = true
		certainlyHealthy -= bt.certainlyHealthy
		remaining -= b.Tasks
		changed = true
	}
	return changed
}

// stage adds instances of the new version up to the number of the stage. If there is no room for
// them, it marks old jobs as leaving.
func (sv *service) stage() *Record {
	r := sv.record
	want := sv.spec().Stages[r.Stage]
	next := r.clone()
	if sv.newTally.requested >= want {
		next.setState(Checking, "")
		return next
	}
	if room := sv.maxInstances() - sv.newTally.present - sv.oldTally.present; room > 0 {
		next.addBatches(&next.New, min(room, want-sv.newTally.requested))
		return next
	}
	sv.blockedOn = "instances that were taken away are still there"
	if keep := sv.oldInstancesToKeep(want); sv.markLeaving(&next.Old, sv.oldTally, keep, false) || sv.oldTally.requested == sv.oldTally.present && sv.markLeaving(&next.Old, sv.oldTally, keep, true) {
		return next
	}
	return nil
}

// awaitHealthy waits until all new instances of the stage are healthy.
func (sv *service) awaitHealthy(allHealthy bool) *Record {
	t := sv.newTally
	next := sv.record.clone()
	switch {
	case t.requested < sv.spec().Stages[sv.record.Stage]:
		next.setState(Staging, "") // a user cancelled some of the jobs
	case allHealthy:
		next.setState(Soaking, "")
	default:
		sv.blockedOn = fmt.Sprintf("%d of %d new instances are healthy", t.healthy, t.requested)
		return nil
	}
	return next
}

// awaitSoak waits until the new instances have been healthy for the soak time. A new leader starts
// the soak time again, because it does not know the results of checks made under earlier leaders.
func (sv *service) awaitSoak(now micros, allHealthy bool) *Record {
	t := sv.newTally
	next := sv.record.clone()
	switch {
	case !allHealthy || t.requested < sv.spec().Stages[sv.record.Stage]:
		sv.healthySince = 0
		sv.blockedOn = "new instances don't stay healthy for the soak time"
		next.setState(Checking, "")
	case sv.healthySince == 0:
		sv.healthySince = now
		return nil
	case now-sv.healthySince >= sv.spec().SoakTime:
		sv.healthySince = 0
		next.setState(Promoting, "")
	default:
		return nil
	}
	return next
}

// promote marks old jobs as leaving until only as many old instances remain as the stage requires.
func (sv *service) promote() *Record {
	r, s := sv.record, sv.spec()
	next := r.clone()
	lastStage := r.Stage == len(s.Stages)-1
	keep := sv.oldInstancesToKeep(s.Stages[r.Stage])
	if sv.newTally.requested < s.Stages[r.Stage] {
		next.setState(Checking, "")
		return next
	}
	if sv.markLeaving(&next.Old, sv.oldTally, keep, lastStage) {
		return next
	}
	for _, b := range r.Old.Batches {
		if !b.Leaving && (lastStage || sv.oldTally.requested-b.Tasks >= keep) {
			return nil // removing more would leave too few healthy instances at present
		}
	}
	switch {
	case !lastStage:
		next.Stage++
		next.setState(Staging, "")
	case sv.oldTally.present > 0:
		sv.blockedOn = "old instances are still there"
		return nil
	default:
		next.Old, next.New.Batches = next.New, nil
		next.setState(Done, "")
	}
	return next
}

// revert restores the old instances and removes the new ones. Failing new instances are removed at
// once, healthy ones as soon as enough other instances are healthy.
func (sv *service) revert() *Record {
	r := sv.record
	next := r.clone()
	changed := sv.markLeaving(&next.New, sv.newTally, 0, true)
	if r.OldCount > 0 {
		if room := min(sv.maxInstances()-sv.newTally.present-sv.oldTally.present, r.OldCount-sv.oldTally.requested); room > 0 {
			next.addBatches(&next.Old, room)
			changed = true
		}
	}
	if changed {
		return next
	}
	switch {
	case sv.newTally.present > 0:
		sv.blockedOn = cmp.Or(sv.blockedOn, "new instances are still there")
	case sv.oldTally.present > sv.oldTally.requested:
		sv.blockedOn = "old instances that were taken away are still there"
	case sv.oldTally.requested < r.OldCount:
		sv.blockedOn = "there is no room for the old instances"
	case sv.oldTally.healthy < sv.minHealthy():
		sv.blockedOn = fmt.Sprintf("%d of %d old instances are healthy, fewer than the floor of %d", sv.oldTally.healthy, sv.oldTally.requested, sv.minHealthy())
	default:
		next.New.Batches = nil
		next.setState(Reverted, r.Reason)
		return next
	}
	return nil
}
