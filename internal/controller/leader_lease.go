package controller

import (
	"errors"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/statestore"
)

// leaderLease is the lease of this controller on leadership, with the data of its epoch.
type leaderLease struct {
	id          uint64
	epoch       uint64 // the highest fencing token of this leader, see leadership.TokensOf
	keyRevision uint64 // the revision of the leader key, on which every write of a leader depends
	requestedAt micros
	validUntil  micros // time until which the lease certainly lasts

	renewalInFlight    bool // a renewal was sent recently and its answer is still awaited
	renewalsSent       uint64
	nextRenewal        micros
	unansweredRenewals int // consecutive renewals without an answer

	predecessorAnswersUntil micros // time until which the previous leader may answer workers

	// The content of the epoch's record when the leader key was acquired.
	featureLevel       featuregate.Level
	launchesUnrecorded bool
	transfers          []protocol.LeadershipTransfer
}

const (
	// resendsPerLease limits how long the answer to a renewal is awaited before another one is
	// sent: the duration of the lease divided by it.
	resendsPerLease = 3
	renewalRetry    = 150 * protocol.Millisecond
	// maxUnansweredRenewals is how many consecutive renewals may get no answer, while reads are
	// answered, before a leader whose lease is uncertain steps down.
	maxUnansweredRenewals = 5
)

// checkLease renews the lease when a renewal is due, and changes the role when the lease could
// have expired.
func (el *election) checkLease() {
	if !el.role.holdsLease() {
		return
	}
	now := el.now.Steady
	if !el.lease.renewalInFlight && now >= el.lease.nextRenewal {
		el.renewLease()
	}
	switch {
	case el.role == RoleLeader && now >= el.lease.validUntil:
		el.setRole(RoleLeaseUncertain)
	case el.role == RoleRecovering && now >= el.lease.validUntil:
		el.becomeFollower()
	case el.role == RoleLeaseUncertain && now >= el.lease.validUntil+el.operator.HeartbeatGrace:
		el.log.Info("stepping down: the lease could not be renewed", "epoch", el.lease.epoch)
		el.becomeFollower()
	}
}

// renewLease renews the lease. A leader whose lease could have expired reads the leader key first,
// and sends the renewal only if it still holds the key. Without this check, renewals that are
// executed but whose answers are lost would prevent all other controllers from leading for as long
// as this controller continues to send them.
func (el *election) renewLease() {
	el.lease.renewalInFlight = true
	if el.role != RoleLeaseUncertain {
		el.sendRenewal()
		return
	}
	id := el.lease.id
	el.store.Get(priorityLeadership, records.KeyLeader, func(e protocol.Entry, err error) {
		switch {
		case !el.role.holdsLease() || el.lease.id != id:
		case errors.Is(err, statestore.ErrUnavailable):
			el.lease.renewalInFlight, el.lease.nextRenewal = false, el.now.Steady+renewalRetry
		case err != nil || e.Revision != el.lease.keyRevision:
			el.stepDownSuperseded("another controller holds the leader key")
		default:
			el.sendRenewal()
		}
	})
}

// sendRenewal requests a renewal of the lease. A successful renewal extends the lease by its whole
// duration from the time of sending, so a late answer is still used. If a renewal is not answered
// soon, the next one is sent without waiting, since the state service may be slow.
func (el *election) sendRenewal() {
	el.lease.renewalsSent++
	sentAt, id, number := el.now.Steady, el.lease.id, el.lease.renewalsSent
	current := func() bool { return el.role.holdsLease() && el.lease.id == id }
	el.after(el.operator.LeaderLease/resendsPerLease, func() {
		if current() && el.lease.renewalsSent == number {
			el.lease.renewalInFlight = false
		}
	})
	el.store.RenewLease(priorityLeadership, id, el.operator.LeaderLease, func(err error) {
		if !current() {
			return
		}
		latest := el.lease.renewalsSent == number
		if latest {
			el.lease.renewalInFlight = false
		}
		switch {
		case err == nil:
			el.onRenewed(sentAt)
		case errors.Is(err, statestore.ErrLeaseExpired):
			el.log.Info("stepping down: the lease has expired", "epoch", el.lease.epoch)
			el.becomeFollower()
		default:
			if latest {
				el.lease.nextRenewal = el.now.Steady + renewalRetry
			}
			el.onRenewalFailed(err)
		}
	})
}

// onRenewed extends the lease after a successful renewal that was sent at sentAt.
func (el *election) onRenewed(sentAt micros) {
	ttl := el.operator.LeaderLease
	el.lease.unansweredRenewals = 0
	el.lease.validUntil = max(el.lease.validUntil, sentAt+ttl-maxClockDrift(ttl))
	el.lease.nextRenewal = max(el.lease.nextRenewal, sentAt+ttl/renewalsPerLeaseTime)
	if el.role == RoleLeaseUncertain && el.now.Steady < el.lease.validUntil {
		// The leader key is attached to the lease, so no other controller has led meanwhile.
		el.setRole(RoleLeader)
		el.term.cycleNeeded = true
	}
}

// onRenewalFailed handles a failed renewal. If renewals get no answers while reads do, this
// controller steps down so that another one can lead.
func (el *election) onRenewalFailed(err error) {
	if !errors.Is(err, statestore.ErrOutcomeUnknown) {
		return
	}
	el.lease.unansweredRenewals++
	if el.role == RoleLeaseUncertain && el.lease.unansweredRenewals >= maxUnansweredRenewals {
		el.log.Info("stepping down: renewals get no answers while reads do", "epoch", el.lease.epoch)
		el.stepDown()
	}
}

// stepDown returns the lease. For stepDownBackoff, this controller's campaigns are delayed, so that
// other controllers can lead first.
func (el *election) stepDown() {
	el.stepDownBackoffUntil = el.now.Steady + stepDownBackoff
	el.store.RevokeLease(priorityLeadership, el.lease.id)
	el.becomeFollower()
}

// stepDownSuperseded steps down because a newer epoch was observed, or because a condition on the
// leader key failed.
func (el *election) stepDownSuperseded(reason string) {
	if el.role.leads() {
		el.log.Info("stepping down", "reason", reason, "epoch", el.lease.epoch)
		el.becomeFollower()
	}
}

// transaction executes a transaction of the leader, which commits only if this controller holds
// the leader key. done is not called after the term has ended.
func (el *election) transaction(priority Priority, when []protocol.Condition, then []protocol.Change, done func(revision uint64, err error)) {
	term := el.term
	el.store.CompareAndSwap(priority, append([]protocol.Condition{el.leaderKeyHeld()}, when...), then, func(revision uint64, err error) {
		if el.term != term {
			return
		}
		if statestore.ConflictsOn(err, records.KeyLeader) {
			el.stepDownSuperseded("another controller holds the leader key")
			return
		}
		done(revision, err)
	})
}

// leaderKeyHeld returns the condition that this controller holds the leader key.
func (el *election) leaderKeyHeld() protocol.Condition {
	return protocol.Condition{Key: records.KeyLeader, Revision: el.lease.keyRevision}
}

// mayActAsLeader reports whether this controller certainly holds the leader key: the lease is
// certainly valid, and no transaction that deletes the key is in flight. Such a transaction may
// have been executed long before its answer arrives; another controller may then lead although
// this controller's lease, which no longer has the key, is still valid.
func (el *election) mayActAsLeader() bool {
	return el.role == RoleLeader && el.now.Steady < el.lease.validUntil && !el.term.transfer.inFlight
}

// leaderWriteRate returns how many changes per second the leader may make in the state service.
func (el *election) leaderWriteRate() float64 {
	return max(1, el.store.WriteRate()*WriteShare(el.controllers(), true))
}
