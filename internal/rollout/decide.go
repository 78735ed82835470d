package rollout

import (
	"cmp"
	"fmt"
	"slices"
)

// decide works out the next change of the record, nil: none now. observe came before.
func (sv *service) decide(now, checkRoundTime micros) *Record {
	r := sv.record
	if r.State.Ended() {
		// One that failed may have jobs that are still being taken away. Until they are
		// out of its record no other roll-out of the service can begin.
		if n := sv.dropClearedBatches(r.clone()); len(n.Old.Batches)+len(n.New.Batches) < len(r.Old.Batches)+len(r.New.Batches) {
			return n
		}
		return nil
	}
	sv.blocked = ""
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
	var n *Record
	switch r.State {
	case Planned:
		n = sv.plan()
	case Staging:
		n = sv.stage()
	case Checking:
		n = sv.awaitHealthy(allHealthy)
	case Soaking:
		n = sv.awaitSoak(now, allHealthy)
	case Promoting:
		n = sv.promote()
	case Reverting:
		n = sv.revert()
	case Paused, Done, Reverted, Failed, Idle:
	}
	if n != nil {
		// One instance that fails now and then would have checking and soaking
		// follow each other for ever: only what was not reached before counts.
		if at := n.Stage*int(Idle) + int(n.State); at > sv.furthest || n.JobsMade > r.JobsMade || n.leavingJobs() > r.leavingJobs() {
			sv.furthest, sv.progressAt = max(at, sv.furthest), now
		}
	}
	if s := sv.spec(); now-sv.progressAt > s.StartTimeout+s.HealthTimeout+2*s.SoakTime {
		return sv.pause("nothing went on for too long: " + cmp.Or(sv.blocked, "checks are missing"))
	}
	return n
}

// plan waits for the first checks of what is there.
func (sv *service) plan() *Record {
	r, o := sv.record, sv.oldTally
	if o.unconfirmed > 0 {
		// A new leader that had not heard of the machines yet took all instances for down,
		// and paused for somebody to look.
		sv.blocked = fmt.Sprintf("%d of %d old instances are not heard of yet", o.unconfirmed, o.requested)
		return nil
	}
	if o.checked < o.running {
		sv.blocked = fmt.Sprintf("%d of %d old instances are checked", o.checked, o.running)
		return nil
	}
	if o.healthy < sv.minHealthy() && !r.IgnoreUnhealthyStart {
		return sv.pause(fmt.Sprintf("%d of %d instances are healthy before anything is done, fewer than the floor of %d; resume goes on all the same", o.healthy, o.requested, sv.minHealthy()))
	}
	n := r.clone()
	n.setState(Staging, "")
	return n
}

// addBatches makes jobs for so many instances of a version.
func (r *Record) addBatches(v *Version, count int) {
	for most := batchSize(r.New.Spec); count > 0; {
		n := min(count, most)
		r.JobsMade++
		v.Batches = append(v.Batches, Batch{Ref: jobRef(r.Service, r.New.Spec.ID, r.JobsMade), Tasks: n})
		count -= n
	}
}

// oldInstancesToKeep is how many old instances are left once so many new ones are there.
func (sv *service) oldInstancesToKeep(isNew int) int {
	s := sv.spec()
	return (sv.record.OldCount*(s.Count-isNew) + s.Count - 1) / s.Count
}

// markLeaving takes jobs of a version away, those first with which the fewest healthy
// instances go, as long as the floor holds and so many instances are left; over:
// one job may take more with it. It reports whether it took any.
func (sv *service) markLeaving(v *Version, t tally, left int, over bool) bool {
	sure := sv.oldTally.certainlyHealthy + sv.newTally.certainlyHealthy
	order := make([]int, 0, len(v.Batches))
	for k, b := range v.Batches {
		if !b.Leaving {
			order = append(order, k)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(t.byBatch[v.Batches[a].Ref].healthy, t.byBatch[v.Batches[b].Ref].healthy)
	})
	live, changed := v.requestedInstances(), false
	for _, k := range order {
		b := &v.Batches[k]
		bt := t.byBatch[b.Ref]
		if live <= left || live-b.Tasks < left && !over {
			continue
		}
		if !sv.mayCancel(sure, bt) {
			sv.blocked = fmt.Sprintf("%d instances are healthy, to take %s away would leave %d of at least %d", sure, b.Ref, sure-bt.certainlyHealthy, sv.minHealthy())
			continue
		}
		b.Leaving = true
		sure -= bt.certainlyHealthy
		live -= b.Tasks
		changed = true
	}
	return changed
}

// stage adds instances of the new version up to the stage's number.
func (sv *service) stage() *Record {
	r := sv.record
	want := sv.spec().Stages[r.Stage]
	n := r.clone()
	if sv.newTally.requested >= want {
		n.setState(Checking, "")
		return n
	}
	if room := sv.maxInstances() - sv.newTally.present - sv.oldTally.present; room > 0 {
		n.addBatches(&n.New, min(room, want-sv.newTally.requested))
		return n
	}
	sv.blocked = "instances that were taken away are still there"
	if left := sv.oldInstancesToKeep(want); sv.markLeaving(&n.Old, sv.oldTally, left, false) || sv.oldTally.requested == sv.oldTally.present && sv.markLeaving(&n.Old, sv.oldTally, left, true) {
		return n
	}
	return nil
}

// awaitHealthy waits until all new instances are healthy.
func (sv *service) awaitHealthy(allHealthy bool) *Record {
	t := sv.newTally
	n := sv.record.clone()
	switch {
	case t.requested < sv.spec().Stages[sv.record.Stage]:
		n.setState(Staging, "") // some were cancelled by their user
	case allHealthy:
		n.setState(Soaking, "")
	default:
		sv.blocked = fmt.Sprintf("%d of %d new instances are healthy", t.healthy, t.requested)
		return nil
	}
	return n
}

// awaitSoak waits until they have been healthy for the soak time. Nobody knows what
// was before this node led: then it begins anew.
func (sv *service) awaitSoak(now micros, allHealthy bool) *Record {
	t := sv.newTally
	n := sv.record.clone()
	switch {
	case !allHealthy || t.requested < sv.spec().Stages[sv.record.Stage]:
		sv.healthySince = 0
		sv.blocked = "new instances don't stay healthy for the soak time"
		n.setState(Checking, "")
	case sv.healthySince == 0:
		sv.healthySince = now
		return nil
	case now-sv.healthySince >= sv.spec().SoakTime:
		sv.healthySince = 0
		n.setState(Promoting, "")
	default:
		return nil
	}
	return n
}

// promote takes as many old instances away as the stage says.
func (sv *service) promote() *Record {
	r, s := sv.record, sv.spec()
	n := r.clone()
	last := r.Stage == len(s.Stages)-1
	left := sv.oldInstancesToKeep(s.Stages[r.Stage])
	if sv.newTally.requested < s.Stages[r.Stage] {
		n.setState(Checking, "")
		return n
	}
	if sv.markLeaving(&n.Old, sv.oldTally, left, last) {
		return n
	}
	for _, b := range r.Old.Batches {
		if !b.Leaving && (last || sv.oldTally.requested-b.Tasks >= left) {
			return nil // the floor forbids it now
		}
	}
	switch {
	case !last:
		n.Stage++
		n.setState(Staging, "")
	case sv.oldTally.present > 0:
		sv.blocked = "old instances are still there"
		return nil
	default:
		n.Old, n.New.Batches = n.New, nil
		n.setState(Done, "")
	}
	return n
}

// revert brings the old instances back and takes the new ones away. What fails
// goes at once; a healthy new one goes when the floor holds without it.
func (sv *service) revert() *Record {
	r := sv.record
	n := r.clone()
	changed := sv.markLeaving(&n.New, sv.newTally, 0, true)
	if r.OldCount > 0 {
		if room := min(sv.maxInstances()-sv.newTally.present-sv.oldTally.present, r.OldCount-sv.oldTally.requested); room > 0 {
			n.addBatches(&n.Old, room)
			changed = true
		}
	}
	if changed {
		return n
	}
	switch {
	case sv.newTally.present > 0:
		sv.blocked = cmp.Or(sv.blocked, "new instances are still there")
	case sv.oldTally.present > sv.oldTally.requested:
		sv.blocked = "old instances that were taken away are still there"
	case sv.oldTally.requested < r.OldCount:
		sv.blocked = "there is no room for the old instances"
	case sv.oldTally.healthy < sv.minHealthy():
		sv.blocked = fmt.Sprintf("%d of %d old instances are healthy, fewer than the floor of %d", sv.oldTally.healthy, sv.oldTally.requested, sv.minHealthy())
	default:
		n.New.Batches = nil
		n.setState(Reverted, r.Reason)
		return n
	}
	return nil
}
