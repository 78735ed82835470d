package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"mapleslip/internal/protocol"
)

// overdue returns the instances of a version that have exceeded a timeout: the number of those that
// have not started within StartTimeout, and those that run but have not passed their checks within
// HealthTimeout. Of the latter, unconfirmed are those whose only results are failures that no other
// controller could confirm.
func (sv *service) overdue(now micros, isNew bool, s *protocol.RolloutSpec) (unplaced int, unhealthy, unconfirmed []*instance) {
	for _, i := range sv.instances {
		if i.isNew != isNew || i.lastObservation != sv.observationSeq {
			continue
		}
		waited := now - max(i.stateSince, sv.timeoutsFrom)
		switch {
		case !i.running && waited > s.StartTimeout:
			unplaced++
		case i.running && !i.hasPassed && waited > s.HealthTimeout && i.unconfirmedFailures > 0 && i.resultCount == 0:
			unconfirmed = append(unconfirmed, i)
		case i.running && !i.hasPassed && waited > s.HealthTimeout:
			unhealthy = append(unhealthy, i)
		}
	}
	bySlot := func(a, b *instance) int { return a.compare(b.slot) }
	slices.SortFunc(unhealthy, bySlot)
	slices.SortFunc(unconfirmed, bySlot)
	return unplaced, unhealthy, unconfirmed
}

// markFaulty records that a new instance is faulty. Only the first reason is kept.
func (sv *service) markFaulty(i *instance, reason string) {
	if i.isNew && sv.faults[i.slot] == "" {
		sv.faults[i.slot] = reason
	}
}

// findFaults marks new instances as faulty that fail their checks, or that have not passed them
// within HealthTimeout.
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
			sv.markFaulty(i, fmt.Sprintf("flaps, %d or more of its last 8 checks failed: %s", flapThreshold, i.lastFailure))
		}
	}
	_, unhealthy, _ := sv.overdue(now, true, s)
	for _, i := range unhealthy {
		failure := i.lastFailure
		if failure == "" {
			failure = "no check was made"
		}
		sv.markFaulty(i, fmt.Sprintf("did not pass within %g s: %s", s.HealthTimeout.Seconds(), failure))
	}
}

// describeFaults returns how many new instances are faulty, and the reason for the first of them.
func (sv *service) describeFaults() string {
	slots := slices.SortedFunc(maps.Keys(sv.faults), slot.compare)
	return fmt.Sprintf("%d of %d new instances faulty, %s %s", len(slots), sv.newTally.requested, slots[0], sv.faults[slots[0]])
}

// faultyAndUnhealthy counts the faulty instances that are not healthy. A roll-out that tolerates
// faulty instances (MaxFaulty) does not wait for them.
func (sv *service) faultyAndUnhealthy(now micros, checkRoundTime micros) (n int) {
	passLifetime := sv.passLifetime(&sv.record.New, checkRoundTime)
	for s := range sv.faults {
		if i := sv.instances[s]; i != nil && !i.healthy(now, passLifetime) {
			n++
		}
	}
	return n
}

// pauseIfRefused pauses the roll-out if the submission of one of its jobs was rejected.
func (sv *service) pauseIfRefused() *Record {
	for _, v := range []*Version{&sv.record.New, &sv.record.Old} {
		for _, b := range v.Batches {
			if reason := sv.refused[b.Ref]; reason != "" && !b.Leaving {
				return sv.pause("a job was refused: " + reason)
			}
		}
	}
	return nil
}

// revertIfFaulty starts reverting if more than MaxFaulty new instances are faulty.
func (sv *service) revertIfFaulty(now micros) *Record {
	if !sv.record.State.forward() {
		return nil
	}
	sv.findFaults(now)
	if len(sv.faults) <= sv.spec().MaxFaulty {
		return nil
	}
	// If most old instances fail as well, the new version is not the cause, and reverting would not
	// help.
	if old := sv.oldTally; 2*old.failing > old.running && old.running > 0 {
		return sv.pause(fmt.Sprintf("%s; %d of %d old ones fail as well: not reverted", sv.describeFaults(), old.failing, old.running))
	}
	next := sv.record.clone()
	next.setState(Reverting, truncateReason(sv.describeFaults()))
	return next
}

// handleUserCancellation removes jobs that a user cancelled from the record and pauses the
// roll-out. The roll-out fails if no instances remain.
func (sv *service) handleUserCancellation() *Record {
	var next *Record
	ref := ""
	dropCancelled := func(v *Version) {
		v.Batches = slices.DeleteFunc(v.Batches, func(b Batch) bool {
			if sv.cancelledByUser[b.Ref] && !b.Leaving {
				ref = b.Ref
				return true
			}
			return false
		})
	}
	if len(sv.cancelledByUser) > 0 {
		next = sv.record.clone()
		dropCancelled(&next.Old)
		dropCancelled(&next.New)
	}
	switch {
	case ref == "":
		return nil
	case next.Old.requestedInstances()+next.New.requestedInstances() == 0:
		next.setState(Failed, "the service was cancelled by its user")
	case next.State == Paused:
		next.Reason = fmt.Sprintf("%s was cancelled by its user; before: %s", ref, next.Reason)
		next.Reason = truncateReason(next.Reason)
	default:
		next.setState(Paused, ref+" was cancelled by its user: resume or revert replaces its instances")
	}
	return next
}

// maxReasonBytes bounds the length of the reason in a record.
const maxReasonBytes = 400

func truncateReason(reason string) string {
	return strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "")
}

func (sv *service) pause(reason string) *Record {
	next := sv.record.clone()
	next.setState(Paused, truncateReason(reason))
	return next
}

// pauseIfOverdue pauses the roll-out if instances are not placed in time or can't be checked, or if
// the old version fails its checks during a revert.
func (sv *service) pauseIfOverdue(now micros) *Record {
	r, s := sv.record, sv.spec()
	if r.State == Planned {
		return nil
	}
	isNew, version := true, "new"
	if r.State == Reverting {
		isNew, version = false, "old"
		if r.Old.Spec == nil {
			return nil
		}
	}
	unplaced, unhealthy, unconfirmed := sv.overdue(now, isNew, s)
	switch {
	case unplaced > 0:
		return sv.pause(fmt.Sprintf("no room: %d %s instances got no place within %g s", unplaced, version, s.StartTimeout.Seconds()))
	case len(unconfirmed) > 0:
		return sv.pause(fmt.Sprintf("%s does not answer here, and no other controller can be asked to check it", unconfirmed[0]))
	case r.State == Reverting && len(unhealthy) > 0 && sv.oldTally.healthy+sv.newTally.healthy < sv.minHealthy():
		return sv.pause(fmt.Sprintf("the old version fails as well: %s did not pass within %g s", unhealthy[0], s.HealthTimeout.Seconds()))
	}
	return nil
}

// keepUncancelled clears the leaving mark of jobs whose cancellation has not been requested. This
// happens if, while the record with the mark was being saved, other instances failed or the
// roll-out began to revert, so that the jobs may not be cancelled any more.
func (sv *service) keepUncancelled() *Record {
	next, changed := sv.record.clone(), false
	for _, v := range []*Version{&next.Old, &next.New} {
		for k, b := range v.Batches {
			if b.Leaving && sv.known[b.Ref] && !sv.cancelRequested[b.Ref] && !sv.cancelConfirmed[b.Ref] {
				v.Batches[k].Leaving, changed = false, true
			}
		}
	}
	if !changed {
		return nil
	}
	return next
}
