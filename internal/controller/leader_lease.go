package controller

import (
	"strconv"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// id is what a node holds of leadership.
type leaderLease struct {
	id                      uint64
	epoch                   uint64
	keyRevision             uint64 // of the leader key: every write of a leader depends on it
	validUntil              micros // the lease certainly lasts until then
	renewalInFlight         bool   // a renewal was sent and may still be answered soon
	renewalsSent            uint64 // sent so far
	nextRenewal             micros
	unansweredRenewals      int               // renewals in a row that were made and got no answer
	predecessorAnswersUntil micros            // until then a predecessor may answer workers
	featureLevel            featuregate.Level // of the epoch's record, when the key was taken
	launchesUnrecorded      bool              // launches of earlier epochs may be in no record
	transfers               []protocol.LeadershipTransfer
	requestedAt             micros // when the lease was asked for
}

// checkLease renews the lease and notices when it could have ended.
func (el *election) checkLease() {
	if !holdsLease(el.role) {
		return
	}
	t := el.now.Steady
	if !el.lease.renewalInFlight && t >= el.lease.nextRenewal {
		el.renewLease()
	}
	switch {
	case el.role == RoleLeader && t >= el.lease.validUntil:
		el.setRole(RoleLeaseUncertain)
	case el.role == RoleRecovering && t >= el.lease.validUntil:
		el.becomeFollower()
	case el.role == RoleLeaseUncertain && t >= el.lease.validUntil+el.operator.HeartbeatGrace:
		el.log.Info("stepping down: the lease could not be renewed", "epoch", el.lease.epoch)
		el.becomeFollower()
	}
}

const (
	// resendsPerLease bounds how long a renewal is waited for before another one is sent:
	// a lease divided by it.
	resendsPerLease = 3
	renewalPause    = 150 * protocol.Millisecond
	// maxUnansweredRenewals is how many renewals in a row may get no answer, while reads do,
	// before a leader that is in doubt lets another one lead.
	maxUnansweredRenewals = 5
)

// renew extends the lease. A leader whose lease could have ended asks first who leads: a
// renewal that is carried out, and of which only the answer is lost, keeps everybody else
// from leading, for as long as this node goes on with it.
func (el *election) renewLease() {
	el.lease.renewalInFlight = true
	if el.role != RoleLeaseUncertain {
		el.sendRenewal()
		return
	}
	lease := el.lease.id
	el.store.getKey(priorityLeadership, records.KeyLeader, func(e protocol.Entry, found, ok bool) {
		switch {
		case !holdsLease(el.role) || el.lease.id != lease:
		case !ok:
			el.lease.renewalInFlight, el.lease.nextRenewal = false, el.now.Steady+renewalPause
		case !found || e.Revision != el.lease.keyRevision:
			el.stepDownSuperseded("the leader key is another's")
		default:
			el.sendRenewal()
		}
	})
}

// sendRenewal asks for another lease time. An answer counts for as long as it proves anything,
// which is a whole lease from when the question left; one that is not answered soon is
// followed by the next meanwhile. When it was given up after a third of the lease, a state
// service that answered later than that left the deployment without a leader.
func (el *election) sendRenewal() {
	el.lease.renewalsSent++
	sent, lease, number := el.now.Steady, el.lease.id, el.lease.renewalsSent
	current := func() bool { return holdsLease(el.role) && el.lease.id == lease }
	el.after(el.operator.LeaderLease/resendsPerLease, func() {
		if current() && el.lease.renewalsSent == number {
			el.lease.renewalInFlight = false
		}
	})
	el.call(ToState, priorityLeadership, "POST", "/leases/"+strconv.FormatUint(lease, 10)+"/extend", nil, el.operator.LeaderLease, 0, func(r CallResult) {
		if !current() {
			return
		}
		if el.lease.renewalsSent == number {
			el.lease.renewalInFlight = false
		}
		switch r.Status {
		case 200:
			el.lease.unansweredRenewals = 0
			el.lease.validUntil = max(el.lease.validUntil, sent+el.operator.LeaderLease-maxClockDrift(el.operator.LeaderLease))
			el.lease.nextRenewal = max(el.lease.nextRenewal, sent+el.operator.LeaderLease/4)
			if el.role == RoleLeaseUncertain && el.now.Steady < el.lease.validUntil {
				// The key hangs on the lease, so nobody else has led meanwhile.
				el.setRole(RoleLeader)
				el.term.cycleNeeded = true
			}
		case 404:
			el.log.Info("stepping down: the lease has ended", "epoch", el.lease.epoch)
			el.becomeFollower()
		default:
			if el.lease.renewalsSent == number {
				el.lease.nextRenewal = el.now.Steady + renewalPause
			}
			el.onUnansweredRenewal(r)
		}
	})
}

// onUnansweredRenewal notes a renewal without an answer. When that goes on while reads are
// answered, another controller should lead.
func (el *election) onUnansweredRenewal(r CallResult) {
	if r.Status != 0 || r.notAttempted() {
		return
	}
	el.lease.unansweredRenewals++
	if el.role == RoleLeaseUncertain && el.lease.unansweredRenewals >= maxUnansweredRenewals {
		el.log.Info("stepping down: renewals get no answers, and reads do", "epoch", el.lease.epoch)
		el.stepDownBackoffUntil = el.now.Steady + stepDownBackoff
		el.revokeLease(el.lease.id)
		el.becomeFollower()
	}
}

// stepDownSuperseded is called when a newer epoch shows, or a condition on the leader
// key fails.
func (el *election) stepDownSuperseded(why string) {
	if isLeaderRole(el.role) {
		el.log.Info("stepping down", "why", why, "epoch", el.lease.epoch)
		el.becomeFollower()
	}
}

// leaderTransaction is a leader's transaction: it applies only while the key is ours.
func (el *election) leaderTransaction(prio uint8, when []protocol.Condition, then []protocol.Change, done func(o txnOutcome, r protocol.TxnResult)) {
	term := el.term
	when = append([]protocol.Condition{{Key: records.KeyLeader, Revision: el.lease.keyRevision}}, when...)
	el.store.compareAndSwap(prio, when, then, func(o txnOutcome, r protocol.TxnResult) {
		if el.term != term {
			return
		}
		if o == txnConflict {
			for _, k := range r.Conflicts {
				if k == records.KeyLeader {
					el.stepDownSuperseded("the leader key is another's")
					return
				}
			}
		}
		done(o, r)
	})
}

// mayActAsLeader reports whether the leader key is certainly this node's: the lease certainly
// holds, and no transaction is on its way that gives the key back. That one may have been
// carried out long before its answer comes, and then another node leads while the lease,
// without the key, lasts.
func (el *election) mayActAsLeader() bool {
	return el.role == RoleLeader && el.now.Steady < el.lease.validUntil && !el.term.transfer.inFlight
}
