package controller

import (
	"errors"

	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/statestore"
)

// election owns the role of this controller and its lease on leadership. Only its methods change
// the role.
type election struct {
	*environment
	features *featureManager
	recovery *recovery
	store    *statestore.Client

	role           Role
	roleSince      micros
	roleGeneration uint64 // incremented by resetToFollower to invalidate earlier callbacks
	lease          leaderLease

	leader               records.Leader // the last known leader's record
	leaderKeyRead        bool           // the leader key was read since the process started
	leaderSuspectUntil   micros         // the leader did not answer; no forwarding before
	leaderRecheckedAt    micros         // time at which the leader's record was last read again
	stepDownBackoffUntil micros         // campaigns are delayed until then, after a step-down
	deferredEpoch        uint64         // the epoch after which this controller has deferred
}

// Delays of the election. The jitter is random, so that the controllers don't all campaign at the
// same time.
const (
	leaderReadRetry      = 400 * protocol.Millisecond
	leaderRecheckPause   = 500 * protocol.Millisecond
	maxCampaignJitter    = 150 * protocol.Millisecond
	formerLeaderDelay    = 300 * protocol.Millisecond // former leaders are likelier to be faulty
	stepDownDelay        = 2 * protocol.Second
	minRetryDelay        = 300 * protocol.Millisecond
	maxRetryJitter       = 200 * protocol.Millisecond
	renewalsPerLeaseTime = 4 // a lease is renewed after its duration divided by this
)

// setRole changes the role. No other function assigns it.
func (el *election) setRole(r Role) {
	if el.role == r {
		return
	}
	el.log.Info("role", "from", el.role.String(), "to", r.String(), "epoch", el.lease.epoch,
		"after_ms", int64((el.now.Steady-el.roleSince)/protocol.Millisecond))
	previous := el.role
	el.role, el.roleSince = r, el.now.Steady
	if previous.leads() != r.leads() {
		el.emit(RateShare{Leads: r.leads()})
	}
	if !r.leads() {
		el.term = nil
	}
}

// resetToFollower makes this controller a follower and invalidates the callbacks of earlier calls.
// It returns a function that reports whether the controller has been a follower since then.
func (el *election) resetToFollower() (following func() bool) {
	el.setRole(RoleFollower)
	el.roleGeneration++
	generation := el.roleGeneration
	return func() bool { return generation == el.roleGeneration && el.role == RoleFollower }
}

// becomeFollower makes this controller a follower that reads the leader key and watches it.
func (el *election) becomeFollower() {
	following := el.resetToFollower()
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
		firstRead := !el.leaderKeyRead
		el.leaderKeyRead = true
		if err != nil {
			el.campaign(following)
			return
		}
		el.observeLeaderRecord(e)
		if firstRead && el.leader.Controller == el.platform.ControllerName {
			el.revokePreviousLease()
		}
		el.watchLeader(following, e.Revision)
	})
}

// revokePreviousLease revokes the lease of this controller's previous process. It is called when
// the first read of the leader key shows that the previous process was the leader. That process
// has ended, because this one has its address. Requests that it may have left in flight are
// harmless: they depend on the revision of the leader key, or carry an epoch that the next leader
// supersedes. Without the revocation, a leader that restarts at once would leave the deployment
// without a leader until its own lease expires.
func (el *election) revokePreviousLease() {
	el.log.Info("revoking the lease of the previous process", "epoch", el.leader.Epoch)
	el.store.RevokeLease(priorityLeadership, el.leader.Lease)
}

// observeLeaderRecord stores the leader's record, unless a leader of a later epoch is known.
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
		el.logLeader(l, "leader key", e.Revision)
	}
	el.leader = l
}

// logLeader logs a leader that this controller did not know before. revision is that of the leader
// key, 0 if the leader itself showed that it leads.
func (el *election) logLeader(l records.Leader, source string, revision uint64) {
	el.log.Info("leader observed", "leader", l.Controller, "epoch", l.Epoch, "first_token", leadership.TokensOf(l.Epoch).First,
		"source", source, "key_revision", revision, "lease", l.Lease, "role", el.role.String())
}

// recheckLeader reads the leader's record again. It is called when the known leader reports that
// it does not lead, or does not answer, since the watch of the leader key may be slow or lost.
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

// watchLeader watches the leader key from a revision on, and campaigns when the key is deleted.
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

// campaign tries to become the leader after a short random delay.
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

// jitter returns a random delay below a limit.
func (el *election) jitter(limit micros) micros { return micros(el.rng.Int64N(int64(limit))) }

// acquireLease requests a lease from the state service. A controller whose feature levels are not
// in the registry yet must not lead, and retries later.
func (el *election) acquireLease() {
	if el.features.state != nil && !el.features.state.registered {
		el.retryLater()
		return
	}
	el.setRole(RoleAcquiringLease)
	sentAt := el.now.Steady
	el.lease.requestedAt = sentAt
	el.store.CreateLease(priorityLeadership, el.operator.LeaderLease, func(id uint64, err error) {
		if el.role != RoleAcquiringLease {
			return
		}
		if err != nil {
			el.retryLater()
			return
		}
		el.lease.id = id
		el.lease.validUntil = sentAt + el.operator.LeaderLease - maxClockDrift(el.operator.LeaderLease)
		el.lease.nextRenewal = sentAt + el.operator.LeaderLease/renewalsPerLeaseTime
		el.claimLeadership()
	})
}

// retryLater makes this controller a follower that reads the leader key again after a short
// random delay.
func (el *election) retryLater() { el.followAfter(minRetryDelay + el.jitter(maxRetryJitter)) }

// followAfter makes this controller a follower that reads the leader key again after a delay.
func (el *election) followAfter(delay micros) {
	following := el.resetToFollower()
	el.after(delay, func() {
		if following() {
			el.becomeFollower()
		}
	})
}

// claimLeadership reads the record of the last epoch and claims the next epoch.
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
				// The records are damaged or of a format that this build does not support. A
				// controller that can't read them must not lead.
				el.logDamagedRecord(e, err)
				el.followAfter(damagedRecordRetry)
				return
			}
			if el.shouldDeferCampaign(last) {
				el.followAfter(leadership.DeferralTime)
				return
			}
		}
		el.claimEpoch(last, e.Revision)
	})
}

// shouldDeferCampaign reports whether this controller has to defer to another one, to which the
// leader of the last epoch transferred leadership. It defers only once after an epoch.
func (el *election) shouldDeferCampaign(last records.Epoch) bool {
	el.lease.launchesUnrecorded = last.LaunchesUnrecorded
	el.lease.transfers = leadership.RecentTransfers(last.Transfers, el.now.Wall)
	if !leadership.ShouldDefer(el.platform.ControllerName, last.Number, el.now.Wall, last.Transfers) || el.deferredEpoch == last.Number {
		return false
	}
	el.deferredEpoch = last.Number
	return true
}

// claimEpoch raises the epoch and acquires the leader key in one transaction.
func (el *election) claimEpoch(last records.Epoch, revision uint64) {
	next := records.Epoch{
		Number: el.nextEpoch(last.Number), LaunchesUnrecorded: el.lease.launchesUnrecorded, Transfers: el.lease.transfers, Level: last.Level,
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
			// If the transaction was executed after all, the key expires with the lease, which
			// is not renewed.
			el.retryLater()
			return
		}
		el.lease.epoch, el.lease.keyRevision, el.lease.featureLevel = next.Number, keyRevision, next.Level
		el.leader = leader
		el.features.raiseActiveLevel(next.Level)
		el.lease.predecessorAnswersUntil = el.predecessorAnswersUntil(predecessor, last.Number == 0)
		el.recovery.start()
	})
}

// nextEpoch returns the number of the epoch after the last one. A version without feature levels
// numbers epochs one by one.
func (el *election) nextEpoch(last uint64) uint64 {
	if el.features.state == nil {
		return last + 1
	}
	return leadership.NextEpoch(last)
}

// predecessorAnswersUntil returns the time until which the previous leader may answer workers: its
// recorded heartbeat grace after the end of its lease, which has expired by now. If its record is
// not known, this controller's own heartbeat grace is used. first is true if there was no leader
// before.
func (el *election) predecessorAnswersUntil(predecessor records.Leader, first bool) micros {
	if first {
		return el.now.Steady
	}
	grace := predecessor.HeartbeatGrace
	if grace == 0 {
		grace = el.operator.HeartbeatGrace
	}
	return el.now.Steady + grace + maxClockDrift(grace)
}
