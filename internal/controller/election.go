package controller

import (
	"strconv"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
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

// setRole is the one place where the role changes.
func (el *election) setRole(r Role) {
	if el.role == r {
		return
	}
	el.log.Info("role", "from", el.role.String(), "to", r.String(), "epoch", el.lease.epoch, "after_ms", int64((el.now.Steady-el.roleSince)/protocol.Millisecond))
	was := el.role
	el.role, el.roleSince = r, el.now.Steady
	if isLeaderRole(was) != isLeaderRole(r) {
		el.emit(RateShare{Leads: isLeaderRole(r)})
	}
	if !isLeaderRole(r) && r != RoleRecovering {
		el.term = nil
	}
}

func isLeaderRole(r Role) bool {
	return r == RoleRecovering || r == RoleLeader || r == RoleLeaseUncertain
}

// becomeFollower reads the leader key and watches it.
func (el *election) becomeFollower() {
	el.setRole(RoleFollower)
	el.lease = leaderLease{epoch: el.lease.epoch}
	el.roleGeneration++
	gen := el.roleGeneration
	el.store.getKey(priorityLeadership, state.KeyLeader, func(e protocol.Entry, found, ok bool) {
		if gen != el.roleGeneration || el.role != RoleFollower {
			return
		}
		if !ok {
			el.after(400*protocol.Millisecond, func() {
				if gen == el.roleGeneration && el.role == RoleFollower {
					el.becomeFollower()
				}
			})
			return
		}
		first := !el.leaderKeyRead
		el.leaderKeyRead = true
		if !found {
			el.campaign(gen)
			return
		}
		el.observeLeaderRecord(e)
		if first && el.leader.Controller == el.platform.ControllerName {
			el.revokePreviousLease()
		}
		el.watchLeader(gen, e.Revision)
	})
}

// revokePreviousLease ends the lease of the process before this one, which led, as its successor
// finds at its first look. Nobody else has this process's address, so that one is no
// more; whatever of it is still on its way depends on the leader key's stamp, or on an
// unreachableEpoch that the next leader raises. Without this a leader that was back at once left
// the deployment without one until its own lease had ended.
func (el *election) revokePreviousLease() {
	el.log.Info("ending the lease of the process before this one", "epoch", el.leader.Epoch)
	el.revokeLease(el.leader.Lease)
}

// revokeLease ends a lease. If that does not get through it ends by itself.
func (el *election) revokeLease(id uint64) {
	el.call(ToState, priorityLeadership, "DELETE", "/leases/"+strconv.FormatUint(id, 10), nil, stateTimeout, 0, func(CallResult) {})
}

func (el *election) observeLeaderRecord(e protocol.Entry) {
	l, err := state.DecodeLeader(e.Value)
	if err != nil {
		el.logMalformed("state", err)
		return
	}
	if l.Epoch >= el.leader.Epoch {
		if l.Epoch > el.leader.Epoch {
			el.leaderSuspectUntil = 0
		}
		el.leader = l
	}
}

// recheckLeader reads the leader's record again when the node that is taken for the
// leader says that it does not lead, or does not answer: the watch that would
// tell may be slow or lost.
func (el *election) recheckLeader() {
	if el.role != RoleFollower || el.now.Steady-el.leaderRecheckedAt < 500*protocol.Millisecond {
		return
	}
	el.leaderRecheckedAt = el.now.Steady
	el.store.getKey(priorityLeadership, state.KeyLeader, func(e protocol.Entry, found, ok bool) {
		if found && el.role == RoleFollower {
			el.observeLeaderRecord(e)
		}
	})
}

func (el *election) watchLeader(gen uint64, rev uint64) {
	stop := func() bool { return gen != el.roleGeneration || el.role != RoleFollower }
	el.store.watchPrefix(priorityLeadership, state.KeyLeader, rev, stop, func(e protocol.Entry) {
		switch {
		case e.Key != state.KeyLeader:
		case e.Value != nil:
			el.observeLeaderRecord(e)
		default:
			el.campaign(gen)
		}
	}, func() {
		if !stop() {
			el.becomeFollower()
		}
	})
}

// campaign tries to take the leader key, after a little while that differs
// from node to node.
func (el *election) campaign(gen uint64) {
	wait := micros(el.rng.Int64N(int64(150 * protocol.Millisecond)))
	if el.leader.Controller == el.platform.ControllerName {
		// A node that just lost its lease is more likely in trouble.
		wait += 300 * protocol.Millisecond
	}
	if el.now.Steady < el.stepDownBackoffUntil {
		wait += 2 * protocol.Second
	}
	el.after(wait, func() {
		if gen != el.roleGeneration || el.role != RoleFollower {
			return
		}
		el.acquireLease()
	})
}

func (el *election) acquireLease() {
	if el.features.state != nil && !el.features.state.registered {
		el.followAfterJitter() // nobody leads whose version the roster does not have
		return
	}
	el.setRole(RoleAcquiringLease)
	sent := el.now.Steady
	el.lease.requestedAt = sent
	el.call(ToState, priorityLeadership, "POST", "/leases", protocol.LeaseBody(el.operator.LeaderLease), stateTimeout, 0, func(r CallResult) {
		if el.role != RoleAcquiringLease {
			return
		}
		id, err := uint64(0), error(nil)
		if r.Status == 200 {
			if id, err = protocol.ParseLease(r.Body); err != nil {
				el.logMalformed("state", err)
			}
		}
		if id == 0 {
			el.followAfterJitter()
			return
		}
		el.lease.id = id
		el.lease.validUntil = sent + el.operator.LeaderLease - maxClockDrift(el.operator.LeaderLease)
		el.lease.nextRenewal = sent + el.operator.LeaderLease/4
		el.claimLeadership()
	})
}

func (el *election) followAfterJitter() {
	el.followAfter(300*protocol.Millisecond + micros(el.rng.Int64N(int64(200*protocol.Millisecond))))
}

// followAfter follows again after a while.
func (el *election) followAfter(wait micros) {
	el.setRole(RoleFollower)
	el.roleGeneration++
	gen := el.roleGeneration
	el.after(wait, func() {
		if gen == el.roleGeneration && el.role == RoleFollower {
			el.becomeFollower()
		}
	})
}

// claim raises the epoch and takes the leader key in one transaction.
func (el *election) claimLeadership() {
	el.setRole(RoleClaiming)
	el.store.getKey(priorityLeadership, state.KeyEpoch, func(e protocol.Entry, found, ok bool) {
		if el.role != RoleClaiming {
			return
		}
		if !ok {
			el.followAfterJitter()
			return
		}
		var last uint64
		var level featuregate.Level
		if found {
			rec, err := state.DecodeEpoch(e.Value)
			if err == nil {
				err = el.features.checkLevelSupported(rec.Level)
			}
			if err != nil {
				// Records of a form that this program does not know: it must
				// not lead without seeing what they say.
				el.logDamagedRecord(e, err)
				el.followAfter(damagedRecordRetry)
				return
			}
			last, level = rec.Epoch, rec.Level
			el.lease.launchesUnrecorded, el.lease.transfers = rec.LaunchesUnrecorded, leadership.RecentTransfers(rec.Transfers, el.now.Wall)
			if leadership.ShouldDefer(el.platform.ControllerName, last, el.now.Wall, rec.Transfers) && el.deferredEpoch != last {
				// The lease was given back for another one to lead. It has its turn
				// first, once.
				el.deferredEpoch = last
				el.followAfter(leadership.DeferralTime)
				return
			}
		}
		epoch := last + 1
		lead := state.LeaderRecord{Controller: el.platform.ControllerName, Epoch: epoch, Lease: el.lease.id, HeartbeatGrace: el.operator.HeartbeatGrace}
		when := []protocol.Condition{{Key: state.KeyLeader}, {Key: state.KeyEpoch, Revision: e.Revision}}
		then := []protocol.Change{
			{Key: state.KeyEpoch, Value: state.EncodeEpoch(state.EpochRecord{Epoch: epoch, LaunchesUnrecorded: el.lease.launchesUnrecorded, Transfers: el.lease.transfers, Level: level})},
			{Key: state.KeyLeader, Value: state.EncodeLeader(lead), Lease: el.lease.id},
		}
		pred := el.leader
		el.store.compareAndSwap(priorityLeadership, when, then, func(o txnOutcome, r protocol.TxnResult) {
			if el.role != RoleClaiming {
				return
			}
			if o != txnCommitted {
				// Where the outcome is unknown, the key goes with the lease,
				// which nobody extends.
				el.followAfterJitter()
				return
			}
			el.lease.epoch, el.lease.keyRevision, el.lease.featureLevel = epoch, r.Revision, level
			el.leader = lead
			el.features.raiseActiveLevel(level)
			// The predecessor stops answering workers a recorded time after its
			// lease, which has ended by now. Without its record, ours is taken.
			answers := pred.HeartbeatGrace
			if answers == 0 {
				answers = el.operator.HeartbeatGrace
			}
			el.lease.predecessorAnswersUntil = el.now.Steady + answers + maxClockDrift(answers)
			if epoch == 1 {
				el.lease.predecessorAnswersUntil = el.now.Steady
			}
			el.recovery.startRecovery()
		})
	})
}

// holdsLease reports whether a node in this role has a lease to renew. The claim takes two
// round trips more, and the lease has to outlast them where the state service is slow.
func holdsLease(r Role) bool { return isLeaderRole(r) || r == RoleClaiming }

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
	el.store.getKey(priorityLeadership, state.KeyLeader, func(e protocol.Entry, found, ok bool) {
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
	when = append([]protocol.Condition{{Key: state.KeyLeader, Revision: el.lease.keyRevision}}, when...)
	el.store.compareAndSwap(prio, when, then, func(o txnOutcome, r protocol.TxnResult) {
		if el.term != term {
			return
		}
		if o == txnConflict {
			for _, k := range r.Conflicts {
				if k == state.KeyLeader {
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
