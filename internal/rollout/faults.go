package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"mapleslip/internal/protocol"
)

// overdue lists what of a version waits for longer than it may: instances without a
// place, and instances that run and have not passed.
func (sv *service) overdue(now micros, isNew bool, s *protocol.RolloutSpec) (unplaced int, unhealthy, unconfirmed []*instance) {
	for _, i := range sv.instances {
		if i.isNew != isNew || i.lastObservation != sv.observations {
			continue
		}
		waited := now - max(i.since, sv.timeoutsFrom)
		switch {
		case !i.running && waited > s.StartTimeout:
			unplaced++
		case i.running && !i.hasPassed && waited > s.HealthTimeout && i.unconfirmedFailures > 0 && i.results == 0:
			unconfirmed = append(unconfirmed, i)
		case i.running && !i.hasPassed && waited > s.HealthTimeout:
			unhealthy = append(unhealthy, i)
		}
	}
	order := func(a, b *instance) int { return a.compare(b.slot) }
	slices.SortFunc(unhealthy, order)
	slices.SortFunc(unconfirmed, order)
	return unplaced, unhealthy, unconfirmed
}

// markFaulty notes new instances that are faulty.
func (sv *service) markFaulty(i *instance, why string) {
	if i.isNew && sv.faults[i.slot] == "" {
		sv.faults[i.slot] = why
	}
}

// findFaults looks for new instances that are faulty by their checks.
func (sv *service) findFaults(now micros) {
	s := sv.spec()
	for _, i := range sv.instances {
		if !i.isNew || !i.running {
			continue
		}
		switch {
		case i.hasPassed && i.health == Failing:
			sv.markFaulty(i, fmt.Sprintf("failed %d checks in a row: %s", -i.streak, i.lastFailure))
		case i.hasPassed && i.isFlapping():
			sv.markFaulty(i, fmt.Sprintf("flaps, %d or more of its last 8 checks failed: %s", maxWindowFailures, i.lastFailure))
		}
	}
	_, unhealthy, _ := sv.overdue(now, true, s)
	for _, i := range unhealthy {
		why := i.lastFailure
		if why == "" {
			why = "no check was made"
		}
		sv.markFaulty(i, fmt.Sprintf("did not pass within %g s: %s", s.HealthTimeout.Seconds(), why))
	}
}

// describeFaults says which new instances are.
func (sv *service) describeFaults() string {
	keys := slices.SortedFunc(maps.Keys(sv.faults), slot.compare)
	return fmt.Sprintf("%d of %d new instances faulty, %s %s", len(keys), sv.newTally.requested, keys[0], sv.faults[keys[0]])
}

// faultyAndUnhealthy counts the faulty instances that are not healthy: a roll-out that bears
// some goes on without them.
func (sv *service) faultyAndUnhealthy(now micros, checkRoundTime micros) (n int) {
	good := sv.passLifetime(&sv.record.New, checkRoundTime)
	for s := range sv.faults {
		if i := sv.instances[s]; i != nil && !i.healthy(now, good) {
			n++
		}
	}
	return n
}

// pauseIfRefused pauses a roll-out of which a job was refused.
func (sv *service) pauseIfRefused() *Record {
	for _, v := range []*Version{&sv.record.New, &sv.record.Old} {
		for _, b := range v.Batches {
			if why := sv.refused[b.Ref]; why != "" && !b.Leaving {
				return sv.pause("a job was refused: " + why)
			}
		}
	}
	return nil
}

// revertIfFaulty turns back if too many new instances are faulty.
func (sv *service) revertIfFaulty(now micros) *Record {
	if !sv.record.State.forward() {
		return nil
	}
	sv.findFaults(now)
	if len(sv.faults) <= sv.spec().MaxFaulty {
		return nil
	}
	// Where the old ones fail as well it is not the version: nothing would be better without the
	// new ones.
	if o := sv.oldTally; 2*o.failing > o.running && o.running > 0 {
		return sv.pause(fmt.Sprintf("%s; %d of %d old ones fail as well: not reverted", sv.describeFaults(), o.failing, o.running))
	}
	n := sv.record.clone()
	n.setState(Reverting, shorten(sv.describeFaults()))
	return n
}

// handleUserCancellation takes out of the record what its user cancelled, and pauses.
func (sv *service) handleUserCancellation() *Record {
	var n *Record
	ref := ""
	drop := func(v *Version) {
		v.Batches = slices.DeleteFunc(v.Batches, func(b Batch) bool {
			if sv.cancelledByUser[b.Ref] && !b.Leaving {
				ref = b.Ref
				return true
			}
			return false
		})
	}
	if len(sv.cancelledByUser) > 0 {
		n = sv.record.clone()
		drop(&n.Old)
		drop(&n.New)
	}
	switch {
	case ref == "":
		return nil
	case n.Old.requestedInstances()+n.New.requestedInstances() == 0:
		n.setState(Failed, "the service was cancelled by its user")
	case n.State == Paused:
		n.Reason = fmt.Sprintf("%s was cancelled by its user; before: %s", ref, n.Reason)
		n.Reason = shorten(n.Reason)
	default:
		n.setState(Paused, ref+" was cancelled by its user: resume or revert replaces its instances")
	}
	return n
}

// maxReasonBytes bounds what is kept of why.
const maxReasonBytes = 400

func shorten(why string) string { return strings.ToValidUTF8(why[:min(len(why), maxReasonBytes)], "") }

func (sv *service) pause(why string) *Record {
	n := sv.record.clone()
	n.setState(Paused, shorten(why))
	return n
}

// pauseIfOverdue pauses where instances don't get places, or can't be checked.
func (sv *service) pauseIfOverdue(now micros) *Record {
	r, s := sv.record, sv.spec()
	if r.State == Planned {
		return nil
	}
	isNew, which := true, "new"
	if r.State == Reverting {
		isNew, which = false, "old"
		if r.Old.Spec == nil {
			return nil
		}
	}
	unplaced, unhealthy, unconfirmed := sv.overdue(now, isNew, s)
	switch {
	case unplaced > 0:
		return sv.pause(fmt.Sprintf("no room: %d %s instances got no place within %g s", unplaced, which, s.StartTimeout.Seconds()))
	case len(unconfirmed) > 0:
		return sv.pause(fmt.Sprintf("%s does not answer here, and no other controller can be asked to check it", unconfirmed[0]))
	case r.State == Reverting && len(unhealthy) > 0 && sv.oldTally.healthy+sv.newTally.healthy < sv.minHealthy():
		return sv.pause(fmt.Sprintf("the old version fails as well: %s did not pass within %g s", unhealthy[0], s.HealthTimeout.Seconds()))
	}
	return nil
}

// keepUncancelled keeps jobs that were to go and may not any more: while the record was on
// its way others have failed, or the roll-out turned back.
func (sv *service) keepUncancelled() *Record {
	n, changed := sv.record.clone(), false
	for _, v := range []*Version{&n.Old, &n.New} {
		for k, b := range v.Batches {
			if b.Leaving && sv.known[b.Ref] && !sv.cancelRequested[b.Ref] && !sv.cancelConfirmed[b.Ref] {
				v.Batches[k].Leaving, changed = false, true
			}
		}
	}
	if !changed {
		return nil
	}
	return n
}
