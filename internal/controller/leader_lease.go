package controller

import (
	"errors"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/statestore"
)

// leaderLease is what a controller holds of leadership.
type leaderLease struct {
	id          uint64
	epoch       uint64 // the fencing token: workers drop commands of lower ones
	keyRevision uint64 // of the leader key: every write of a leader depends on it
	requestedAt micros
	validUntil  micros // the lease certainly lasts until then

	renewalInFlight    bool // a renewal was sent and may still be answered soon
	renewalsSent       uint64
	nextRenewal        micros
	unansweredRenewals int // in a row that were sent and got no answer

	predecessorAnswersUntil micros // until then a predecessor may answer workers

	// What the epoch's record said when the leader key was taken.
	featureLevel       featuregate.Level
	launchesUnrecorded bool
	transfers          []protocol.LeadershipTransfer
}

const (
	// resendsPerLease bounds how long a renewal is waited for before another one is sent: a
	// lease divided by it.
	resendsPerLease = 3
	renewalRetry    = 150 * protocol.Millisecond
	// maxUnansweredRenewals is how many renewals in a row may get no answer, while reads do,
	// before a leader whose lease is uncertain lets another one lead.
	maxUnansweredRenewals = 5
)

// checkLease renews the lease and notices when it could have expired.
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

// renewLease renews the lease. A leader whose lease could have expired asks first who leads: a
// renewal that is carried out, and of which only the answer is lost, keeps everybody else from
// leading, for as long as this controller goes on with it.
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

// sendRenewal asks for another lease time. An answer counts for as long as it proves anything,
// which is a whole lease from when the renewal was sent; one that is not answered soon is
// followed by the next meanwhile, since a state service may be slower than that.
func (el *election) sendRenewal() {
	el.lease.renewalsSent++
	sent, id, number := el.now.Steady, el.lease.id, el.lease.renewalsSent
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
			el.onRenewed(sent)
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

// onRenewed notes a renewal that was sent at an instant and carried out.
func (el *election) onRenewed(sent micros) {
	ttl := el.operator.LeaderLease
	el.lease.unansweredRenewals = 0
	el.lease.validUntil = max(el.lease.validUntil, sent+ttl-maxClockDrift(ttl))
	el.lease.nextRenewal = max(el.lease.nextRenewal, sent+ttl/renewalsPerLeaseTime)
	if el.role == RoleLeaseUncertain && el.now.Steady < el.lease.validUntil {
		// The key is attached to the lease, so nobody else has led meanwhile.
		el.setRole(RoleLeader)
		el.term.cycleNeeded = true
	}
}

// onRenewalFailed notes a renewal that failed. When renewals get no answers while reads do,
// another controller should lead.
func (el *election) onRenewalFailed(err error) {
	if !errors.Is(err, statestore.ErrOutcomeUnknown) {
		return
	}
	el.lease.unansweredRenewals++
	if el.role == RoleLeaseUncertain && el.lease.unansweredRenewals >= maxUnansweredRenewals {
		el.log.Info("stepping down: renewals get no answers, and reads do", "epoch", el.lease.epoch)
		el.stepDown()
	}
}

// stepDown gives the lease back, and lets other controllers lead first for a while.
func (el *election) stepDown() {
	el.stepDownBackoffUntil = el.now.Steady + stepDownBackoff
	el.store.RevokeLease(priorityLeadership, el.lease.id)
	el.becomeFollower()
}

// stepDownSuperseded is called when a newer epoch shows, or a condition on the leader key does
// not hold.
func (el *election) stepDownSuperseded(reason string) {
	if el.role.leads() {
		el.log.Info("stepping down", "reason", reason, "epoch", el.lease.epoch)
		el.becomeFollower()
	}
}

// transaction executes a leader's transaction: it commits only while this controller holds the
// leader key. done is not called once the term has ended.
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

// leaderKeyHeld is the condition that this controller holds the leader key.
func (el *election) leaderKeyHeld() protocol.Condition {
	return protocol.Condition{Key: records.KeyLeader, Revision: el.lease.keyRevision}
}

// mayActAsLeader reports whether this controller certainly holds the leader key: the lease
// certainly lasts, and no transaction is on its way that gives the key back. That one may have
// been carried out long before its answer comes, and then another controller leads while the
// lease, without the key, lasts.
func (el *election) mayActAsLeader() bool {
	return el.role == RoleLeader && el.now.Steady < el.lease.validUntil && !el.term.transfer.inFlight
}

// leaderWriteRate is how many changes a second the leader may make.
func (el *election) leaderWriteRate() float64 {
	return max(1, el.store.WriteRate()*WriteShare(el.controllers(), true))
}
