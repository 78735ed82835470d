package controller

import (
	"strconv"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// election owns the role of this controller and its lease on leadership. Its methods are the
// only ones that change the role.
type election struct {
	*environment
	features *featureManager
	recovery *recovery
	store    *stateStore

	role           Role
	roleSince      micros
	roleGeneration uint64 // raised when the role starts over, so that older answers are dropped
	lease          leaderLease

	leader               records.Leader // as known from the state service
	leaderKeyRead        bool           // the leader key was read since the process began
	leaderSuspectUntil   micros         // the leader did not answer: it is not asked before
	leaderRecheckedAt    micros         // when the leader's record was last read again
	stepDownBackoffUntil micros         // this controller gave its lease back: until then others go first
	deferredEpoch        uint64         // the epoch after which another controller was let go first
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

// becomeFollower reads the leader key and watches it.
func (el *election) becomeFollower() {
	el.setRole(RoleFollower)
	el.lease = leaderLease{epoch: el.lease.epoch}
	el.roleGeneration++
	gen := el.roleGeneration
	el.store.getKey(priorityLeadership, records.KeyLeader, func(e protocol.Entry, found, ok bool) {
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
// epoch that the next leader raises. Without this a leader that was back at once left
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
	l, err := records.DecodeLeader(e.Value)
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
	el.store.getKey(priorityLeadership, records.KeyLeader, func(e protocol.Entry, found, ok bool) {
		if found && el.role == RoleFollower {
			el.observeLeaderRecord(e)
		}
	})
}

func (el *election) watchLeader(gen uint64, rev uint64) {
	stop := func() bool { return gen != el.roleGeneration || el.role != RoleFollower }
	el.store.watchPrefix(priorityLeadership, records.KeyLeader, rev, stop, func(e protocol.Entry) {
		switch {
		case e.Key != records.KeyLeader:
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
	el.store.getKey(priorityLeadership, records.KeyEpoch, func(e protocol.Entry, found, ok bool) {
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
			rec, err := records.DecodeEpoch(e.Value)
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
			last, level = rec.Number, rec.Level
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
		lead := records.Leader{Controller: el.platform.ControllerName, Epoch: epoch, Lease: el.lease.id, HeartbeatGrace: el.operator.HeartbeatGrace}
		when := []protocol.Condition{{Key: records.KeyLeader}, {Key: records.KeyEpoch, Revision: e.Revision}}
		then := []protocol.Change{
			{Key: records.KeyEpoch, Value: records.EncodeEpoch(records.Epoch{Number: epoch, LaunchesUnrecorded: el.lease.launchesUnrecorded, Transfers: el.lease.transfers, Level: level})},
			{Key: records.KeyLeader, Value: records.EncodeLeader(lead), Lease: el.lease.id},
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
