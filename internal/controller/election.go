package controller

import (
	"errors"

	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/statestore"
)

// election owns the role of this controller and its lease on leadership. Its methods are the
// only ones that change the role.
type election struct {
	*environment
	features *featureManager
	recovery *recovery
	store    *statestore.Client

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

// Pauses of the election. The random ones differ from controller to controller, so that not
// all of them try at once.
const (
	leaderReadRetry      = 400 * protocol.Millisecond
	leaderRecheckPause   = 500 * protocol.Millisecond
	maxCampaignJitter    = 150 * protocol.Millisecond
	formerLeaderDelay    = 300 * protocol.Millisecond // one that just lost its lease is more likely in trouble
	stepDownDelay        = 2 * protocol.Second
	minRetryDelay        = 300 * protocol.Millisecond
	maxRetryJitter       = 200 * protocol.Millisecond
	renewalsPerLeaseTime = 4 // a lease is renewed after its time divided by this
)

// setRole is the one place where the role changes.
func (el *election) setRole(r Role) {
	if el.role == r {
		return
	}
	el.log.Info("role", "from", el.role.String(), "to", r.String(), "epoch", el.lease.epoch,
		"after_ms", int64((el.now.Steady-el.roleSince)/protocol.Millisecond))
	was := el.role
	el.role, el.roleSince = r, el.now.Steady
	if was.leads() != r.leads() {
		el.emit(RateShare{Leads: r.leads()})
	}
	if !r.leads() {
		el.term = nil
	}
}

// startOver returns a function that reports whether this controller has followed ever since.
func (el *election) startOver() (following func() bool) {
	el.setRole(RoleFollower)
	el.roleGeneration++
	generation := el.roleGeneration
	return func() bool { return generation == el.roleGeneration && el.role == RoleFollower }
}

// becomeFollower reads the leader key and watches it.
func (el *election) becomeFollower() {
	following := el.startOver()
	el.lease = leaderLease{epoch: el.lease.epoch}
	el.store.Get(priorityLeadership, records.KeyLeader, func(e protocol.Entry, err error) {
		if !following() {
			return
		}
		if errors.Is(err, statestore.ErrUnavailable) {
			el.after(leaderReadRetry, func() {
				if following() {
					el.becomeFollower()
				}
			})
			return
		}
		first := !el.leaderKeyRead
		el.leaderKeyRead = true
		if err != nil {
			el.campaign(following)
			return
		}
		el.observeLeaderRecord(e)
		if first && el.leader.Controller == el.platform.ControllerName {
			el.revokePreviousLease()
		}
		el.watchLeader(following, e.Revision)
	})
}

// revokePreviousLease ends the lease of the process before this one, which led, as its
// successor finds when it first reads the leader key. Nobody else has this process's address,
// so that one is no more; whatever of it is still on its way depends on the leader key's
// revision, or on an epoch that the next leader raises. Otherwise a leader that is back at
// once leaves the deployment without one until its own lease has expired.
func (el *election) revokePreviousLease() {
	el.log.Info("revoking the lease of the previous process", "epoch", el.leader.Epoch)
	el.store.RevokeLease(priorityLeadership, el.leader.Lease)
}

// observeLeaderRecord goes by the leader's record, unless a later leader is known.
func (el *election) observeLeaderRecord(e protocol.Entry) {
	l, err := records.DecodeLeader(e.Value)
	if err != nil {
		el.logMalformed("state", err)
		return
	}
	if l.Epoch < el.leader.Epoch {
		return
	}
	if l.Epoch > el.leader.Epoch {
		el.leaderSuspectUntil = 0
	}
	el.leader = l
}

// recheckLeader reads the leader's record again when the controller that is taken for the
// leader says that it does not lead, or does not answer: the watch that would tell may be slow
// or lost.
func (el *election) recheckLeader() {
	if el.role != RoleFollower || el.now.Steady-el.leaderRecheckedAt < leaderRecheckPause {
		return
	}
	el.leaderRecheckedAt = el.now.Steady
	el.store.Get(priorityLeadership, records.KeyLeader, func(e protocol.Entry, err error) {
		if err == nil && el.role == RoleFollower {
			el.observeLeaderRecord(e)
		}
	})
}

// watchLeader follows the leader key from a revision on, and campaigns once it is gone.
func (el *election) watchLeader(following func() bool, revision uint64) {
	stop := func() bool { return !following() }
	el.store.Watch(priorityLeadership, records.KeyLeader, revision, stop, func(e protocol.Entry) {
		switch {
		case e.Key != records.KeyLeader:
		case e.Value != nil:
			el.observeLeaderRecord(e)
		default:
			el.campaign(following)
		}
	}, func() {
		if following() {
			el.becomeFollower()
		}
	})
}

// campaign tries to take the leader key, after a short delay.
func (el *election) campaign(following func() bool) {
	delay := el.jitter(maxCampaignJitter)
	if el.leader.Controller == el.platform.ControllerName {
		delay += formerLeaderDelay
	}
	if el.now.Steady < el.stepDownBackoffUntil {
		delay += stepDownDelay
	}
	el.after(delay, func() {
		if following() {
			el.acquireLease()
		}
	})
}

func (el *election) jitter(below micros) micros { return micros(el.rng.Int64N(int64(below))) }

// acquireLease asks for a lease. Nobody leads whose version the registry does not have.
func (el *election) acquireLease() {
	if el.features.state != nil && !el.features.state.registered {
		el.retryLater()
		return
	}
	el.setRole(RoleAcquiringLease)
	sent := el.now.Steady
	el.lease.requestedAt = sent
	el.store.CreateLease(priorityLeadership, el.operator.LeaderLease, func(id uint64, err error) {
		if el.role != RoleAcquiringLease {
			return
		}
		if err != nil {
			el.retryLater()
			return
		}
		el.lease.id = id
		el.lease.validUntil = sent + el.operator.LeaderLease - maxClockDrift(el.operator.LeaderLease)
		el.lease.nextRenewal = sent + el.operator.LeaderLease/renewalsPerLeaseTime
		el.claimLeadership()
	})
}

// retryLater follows, and looks for a leader again after a short random delay.
func (el *election) retryLater() { el.followAfter(minRetryDelay + el.jitter(maxRetryJitter)) }

// followAfter follows, and looks for a leader again after a delay.
func (el *election) followAfter(delay micros) {
	following := el.startOver()
	el.after(delay, func() {
		if following() {
			el.becomeFollower()
		}
	})
}

// claimLeadership reads the last epoch and claims the next one.
func (el *election) claimLeadership() {
	el.setRole(RoleClaiming)
	el.store.Get(priorityLeadership, records.KeyEpoch, func(e protocol.Entry, err error) {
		if el.role != RoleClaiming {
			return
		}
		if errors.Is(err, statestore.ErrUnavailable) {
			el.retryLater()
			return
		}
		var last records.Epoch
		if err == nil {
			last, err = records.DecodeEpoch(e.Value)
			if err == nil {
				err = el.features.checkLevelSupported(last.Level)
			}
			if err != nil {
				// Records in a format that this program does not know: it must not lead
				// without seeing what they say.
				el.logDamagedRecord(e, err)
				el.followAfter(damagedRecordRetry)
				return
			}
			if el.defersAfter(last) {
				el.followAfter(leadership.DeferralTime)
				return
			}
		}
		el.claimEpoch(last, e.Revision)
	})
}

// defersAfter reports whether another controller goes first after an epoch, which gave its
// lease back for that. It has its turn once.
func (el *election) defersAfter(last records.Epoch) bool {
	el.lease.launchesUnrecorded = last.LaunchesUnrecorded
	el.lease.transfers = leadership.RecentTransfers(last.Transfers, el.now.Wall)
	if !leadership.ShouldDefer(el.platform.ControllerName, last.Number, el.now.Wall, last.Transfers) || el.deferredEpoch == last.Number {
		return false
	}
	el.deferredEpoch = last.Number
	return true
}

// claimEpoch raises the epoch and takes the leader key in one transaction.
func (el *election) claimEpoch(last records.Epoch, revision uint64) {
	next := records.Epoch{
		Number: last.Number + 1, LaunchesUnrecorded: el.lease.launchesUnrecorded, Transfers: el.lease.transfers, Level: last.Level,
	}
	leader := records.Leader{
		Controller: el.platform.ControllerName, Epoch: next.Number, Lease: el.lease.id, HeartbeatGrace: el.operator.HeartbeatGrace,
	}
	when := []protocol.Condition{{Key: records.KeyLeader}, {Key: records.KeyEpoch, Revision: revision}}
	then := []protocol.Change{
		{Key: records.KeyEpoch, Value: records.EncodeEpoch(next)},
		{Key: records.KeyLeader, Value: records.EncodeLeader(leader), Lease: el.lease.id},
	}
	predecessor := el.leader
	el.store.CompareAndSwap(priorityLeadership, when, then, func(keyRevision uint64, err error) {
		if el.role != RoleClaiming {
			return
		}
		if err != nil {
			// Where the outcome is unknown, the key goes with the lease, which nobody renews.
			el.retryLater()
			return
		}
		el.lease.epoch, el.lease.keyRevision, el.lease.featureLevel = next.Number, keyRevision, next.Level
		el.leader = leader
		el.features.raiseActiveLevel(next.Level)
		el.lease.predecessorAnswersUntil = el.predecessorAnswersUntil(predecessor, next.Number)
		el.recovery.start()
	})
}

// predecessorAnswersUntil is until when the predecessor may answer workers: a recorded time
// after its lease, which has expired by now. Without its record, this controller's own time is
// taken.
func (el *election) predecessorAnswersUntil(predecessor records.Leader, epoch uint64) micros {
	if epoch == 1 {
		return el.now.Steady // there was none
	}
	grace := predecessor.HeartbeatGrace
	if grace == 0 {
		grace = el.operator.HeartbeatGrace
	}
	return el.now.Steady + grace + maxClockDrift(grace)
}
