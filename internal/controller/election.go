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
	id       uint64
	epoch       uint64
	keyRevision       uint64 // of the leader key: every write of a leader depends on it
	validUntil       micros // the lease certainly lasts until then
	renewalInFlight    bool   // a renewal was sent and may still be answered soon
	renewalsSent    uint64 // sent so far
	nextRenewal   micros
	unansweredRenewals  int               // renewals in a row that were made and got no answer
	predecessorAnswersUntil micros            // until then a predecessor may answer workers
	featureLevel       featuregate.Level // of the epoch's record, when the key was taken
	launchesUnrecorded    bool              // launches of earlier epochs may be in no record
	transfers      []protocol.LeadershipTransfer
	requestedAt       micros // when the lease was asked for
}

// setRole is the one place where the role changes.
func (c *Controller) setRole(r Role) {
	if c.role == r {
		return
	}
	c.log.Info("role", "from", c.role.String(), "to", r.String(), "epoch", c.lease.epoch, "after_ms", int64((c.now.Steady-c.roleSince)/protocol.Millisecond))
	was := c.role
	c.role, c.roleSince = r, c.now.Steady
	if isLeaderRole(was) != isLeaderRole(r) {
		c.emit(RateShare{Leads: isLeaderRole(r)})
	}
	if !isLeaderRole(r) && r != RoleRecovering {
		c.term = nil
	}
}

func isLeaderRole(r Role) bool { return r == RoleRecovering || r == RoleLeader || r == RoleLeaseUncertain }

// becomeFollower reads the leader key and watches it.
func (c *Controller) becomeFollower() {
	c.setRole(RoleFollower)
	c.lease = leaderLease{epoch: c.lease.epoch}
	c.roleGeneration++
	gen := c.roleGeneration
	c.getKey(priorityLeadership, state.KeyLeader, func(e protocol.Entry, found, ok bool) {
		if gen != c.roleGeneration || c.role != RoleFollower {
			return
		}
		if !ok {
			c.after(400*protocol.Millisecond, func() {
				if gen == c.roleGeneration && c.role == RoleFollower {
					c.becomeFollower()
				}
			})
			return
		}
		first := !c.leaderKeyRead
		c.leaderKeyRead = true
		if !found {
			c.campaign(gen)
			return
		}
		c.observeLeaderRecord(e)
		if first && c.leader.Controller == c.platform.ControllerName {
			c.revokePreviousLease()
		}
		c.watchLeader(gen, e.Revision)
	})
}

// revokePreviousLease ends the lease of the process before this one, which led, as its successor
// finds at its first look. Nobody else has this process's address, so that one is no
// more; whatever of it is still on its way depends on the leader key's stamp, or on an
// unreachableEpoch that the next leader raises. Without this a leader that was back at once left
// the deployment without one until its own lease had ended.
func (c *Controller) revokePreviousLease() {
	c.log.Info("ending the lease of the process before this one", "epoch", c.leader.Epoch)
	c.revokeLease(c.leader.Lease)
}

// revokeLease ends a lease. If that does not get through it ends by itself.
func (c *Controller) revokeLease(id uint64) {
	c.call(ToState, priorityLeadership, "DELETE", "/leases/"+strconv.FormatUint(id, 10), nil, stateTimeout, 0, func(CallResult) {})
}

func (c *Controller) observeLeaderRecord(e protocol.Entry) {
	l, err := state.DecodeLeader(e.Value)
	if err != nil {
		c.logMalformed("state", err)
		return
	}
	if l.Epoch >= c.leader.Epoch {
		if l.Epoch > c.leader.Epoch {
			c.leaderSuspectUntil = 0
		}
		c.leader = l
	}
}

// recheckLeader reads the leader's record again when the node that is taken for the
// leader says that it does not lead, or does not answer: the watch that would
// tell may be slow or lost.
func (c *Controller) recheckLeader() {
	if c.role != RoleFollower || c.now.Steady-c.leaderRecheckedAt < 500*protocol.Millisecond {
		return
	}
	c.leaderRecheckedAt = c.now.Steady
	c.getKey(priorityLeadership, state.KeyLeader, func(e protocol.Entry, found, ok bool) {
		if found && c.role == RoleFollower {
			c.observeLeaderRecord(e)
		}
	})
}

func (c *Controller) watchLeader(gen uint64, rev uint64) {
	stop := func() bool { return gen != c.roleGeneration || c.role != RoleFollower }
	c.watchPrefix(priorityLeadership, state.KeyLeader, rev, stop, func(e protocol.Entry) {
		switch {
		case e.Key != state.KeyLeader:
		case e.Value != nil:
			c.observeLeaderRecord(e)
		default:
			c.campaign(gen)
		}
	}, func() {
		if !stop() {
			c.becomeFollower()
		}
	})
}

// campaign tries to take the leader key, after a little while that differs
// from node to node.
func (c *Controller) campaign(gen uint64) {
	wait := micros(c.rng.Int64N(int64(150 * protocol.Millisecond)))
	if c.leader.Controller == c.platform.ControllerName {
		// A node that just lost its lease is more likely in trouble.
		wait += 300 * protocol.Millisecond
	}
	if c.now.Steady < c.stepDownBackoffUntil {
		wait += 2 * protocol.Second
	}
	c.after(wait, func() {
		if gen != c.roleGeneration || c.role != RoleFollower {
			return
		}
		c.acquireLease()
	})
}

func (c *Controller) acquireLease() {
	if c.features != nil && !c.features.registered {
		c.followAfterJitter() // nobody leads whose version the roster does not have
		return
	}
	c.setRole(RoleAcquiringLease)
	sent := c.now.Steady
	c.lease.requestedAt = sent
	c.call(ToState, priorityLeadership, "POST", "/leases", protocol.LeaseBody(c.operator.LeaderLease), stateTimeout, 0, func(r CallResult) {
		if c.role != RoleAcquiringLease {
			return
		}
		id, err := uint64(0), error(nil)
		if r.Status == 200 {
			if id, err = protocol.ParseLease(r.Body); err != nil {
				c.logMalformed("state", err)
			}
		}
		if id == 0 {
			c.followAfterJitter()
			return
		}
		c.lease.id = id
		c.lease.validUntil = sent + c.operator.LeaderLease - maxClockDrift(c.operator.LeaderLease)
		c.lease.nextRenewal = sent + c.operator.LeaderLease/4
		c.claimLeadership()
	})
}

func (c *Controller) followAfterJitter() {
	c.followAfter(300*protocol.Millisecond + micros(c.rng.Int64N(int64(200*protocol.Millisecond))))
}

// followAfter follows again after a while.
func (c *Controller) followAfter(wait micros) {
	c.setRole(RoleFollower)
	c.roleGeneration++
	gen := c.roleGeneration
	c.after(wait, func() {
		if gen == c.roleGeneration && c.role == RoleFollower {
			c.becomeFollower()
		}
	})
}

// claim raises the epoch and takes the leader key in one transaction.
func (c *Controller) claimLeadership() {
	c.setRole(RoleClaiming)
	c.getKey(priorityLeadership, state.KeyEpoch, func(e protocol.Entry, found, ok bool) {
		if c.role != RoleClaiming {
			return
		}
		if !ok {
			c.followAfterJitter()
			return
		}
		var last uint64
		var level featuregate.Level
		if found {
			rec, err := state.DecodeEpoch(e.Value)
			if err == nil {
				err = c.checkLevelSupported(rec.Level)
			}
			if err != nil {
				// Records of a form that this program does not know: it must
				// not lead without seeing what they say.
				c.logDamagedRecord(e, err)
				c.followAfter(damagedRecordRetry)
				return
			}
			last, level = rec.Epoch, rec.Level
			c.lease.launchesUnrecorded, c.lease.transfers = rec.LaunchesUnrecorded, leadership.RecentTransfers(rec.Transfers, c.now.Wall)
			if leadership.ShouldDefer(c.platform.ControllerName, last, c.now.Wall, rec.Transfers) && c.deferredEpoch != last {
				// The lease was given back for another one to lead. It has its turn
				// first, once.
				c.deferredEpoch = last
				c.followAfter(leadership.DeferralTime)
				return
			}
		}
		epoch := last + 1
		lead := state.LeaderRecord{Controller: c.platform.ControllerName, Epoch: epoch, Lease: c.lease.id, HeartbeatGrace: c.operator.HeartbeatGrace}
		when := []protocol.Condition{{Key: state.KeyLeader}, {Key: state.KeyEpoch, Revision: e.Revision}}
		then := []protocol.Change{
			{Key: state.KeyEpoch, Value: state.EncodeEpoch(state.EpochRecord{Epoch: epoch, LaunchesUnrecorded: c.lease.launchesUnrecorded, Transfers: c.lease.transfers, Level: level})},
			{Key: state.KeyLeader, Value: state.EncodeLeader(lead), Lease: c.lease.id},
		}
		pred := c.leader
		c.compareAndSwap(priorityLeadership, when, then, func(o txnOutcome, r protocol.TxnResult) {
			if c.role != RoleClaiming {
				return
			}
			if o != txnCommitted {
				// Where the outcome is unknown, the key goes with the lease,
				// which nobody extends.
				c.followAfterJitter()
				return
			}
			c.lease.epoch, c.lease.keyRevision, c.lease.featureLevel = epoch, r.Revision, level
			c.leader = lead
			c.raiseActiveLevel(level)
			// The predecessor stops answering workers a recorded time after its
			// lease, which has ended by now. Without its record, ours is taken.
			answers := pred.HeartbeatGrace
			if answers == 0 {
				answers = c.operator.HeartbeatGrace
			}
			c.lease.predecessorAnswersUntil = c.now.Steady + answers + maxClockDrift(answers)
			if epoch == 1 {
				c.lease.predecessorAnswersUntil = c.now.Steady
			}
			c.startRecovery()
		})
	})
}

// holdsLease reports whether a node in this role has a lease to renew. The claim takes two
// round trips more, and the lease has to outlast them where the state service is slow.
func holdsLease(r Role) bool { return isLeaderRole(r) || r == RoleClaiming }

// checkLease renews the lease and notices when it could have ended.
func (c *Controller) checkLease() {
	if !holdsLease(c.role) {
		return
	}
	t := c.now.Steady
	if !c.lease.renewalInFlight && t >= c.lease.nextRenewal {
		c.renewLease()
	}
	switch {
	case c.role == RoleLeader && t >= c.lease.validUntil:
		c.setRole(RoleLeaseUncertain)
	case c.role == RoleRecovering && t >= c.lease.validUntil:
		c.becomeFollower()
	case c.role == RoleLeaseUncertain && t >= c.lease.validUntil+c.operator.HeartbeatGrace:
		c.log.Info("stepping down: the lease could not be renewed", "epoch", c.lease.epoch)
		c.becomeFollower()
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
func (c *Controller) renewLease() {
	c.lease.renewalInFlight = true
	if c.role != RoleLeaseUncertain {
		c.sendRenewal()
		return
	}
	lease := c.lease.id
	c.getKey(priorityLeadership, state.KeyLeader, func(e protocol.Entry, found, ok bool) {
		switch {
		case !holdsLease(c.role) || c.lease.id != lease:
		case !ok:
			c.lease.renewalInFlight, c.lease.nextRenewal = false, c.now.Steady+renewalPause
		case !found || e.Revision != c.lease.keyRevision:
			c.stepDownSuperseded("the leader key is another's")
		default:
			c.sendRenewal()
		}
	})
}

// sendRenewal asks for another lease time. An answer counts for as long as it proves anything,
// which is a whole lease from when the question left; one that is not answered soon is
// followed by the next meanwhile. When it was given up after a third of the lease, a state
// service that answered later than that left the deployment without a leader.
func (c *Controller) sendRenewal() {
	c.lease.renewalsSent++
	sent, lease, number := c.now.Steady, c.lease.id, c.lease.renewalsSent
	current := func() bool { return holdsLease(c.role) && c.lease.id == lease }
	c.after(c.operator.LeaderLease/resendsPerLease, func() {
		if current() && c.lease.renewalsSent == number {
			c.lease.renewalInFlight = false
		}
	})
	c.call(ToState, priorityLeadership, "POST", "/leases/"+strconv.FormatUint(lease, 10)+"/extend", nil, c.operator.LeaderLease, 0, func(r CallResult) {
		if !current() {
			return
		}
		if c.lease.renewalsSent == number {
			c.lease.renewalInFlight = false
		}
		switch r.Status {
		case 200:
			c.lease.unansweredRenewals = 0
			c.lease.validUntil = max(c.lease.validUntil, sent+c.operator.LeaderLease-maxClockDrift(c.operator.LeaderLease))
			c.lease.nextRenewal = max(c.lease.nextRenewal, sent+c.operator.LeaderLease/4)
			if c.role == RoleLeaseUncertain && c.now.Steady < c.lease.validUntil {
				// The key hangs on the lease, so nobody else has led meanwhile.
				c.setRole(RoleLeader)
				c.term.cycleNeeded = true
			}
		case 404:
			c.log.Info("stepping down: the lease has ended", "epoch", c.lease.epoch)
			c.becomeFollower()
		default:
			if c.lease.renewalsSent == number {
				c.lease.nextRenewal = c.now.Steady + renewalPause
			}
			c.onUnansweredRenewal(r)
		}
	})
}

// onUnansweredRenewal notes a renewal without an answer. When that goes on while reads are
// answered, another controller should lead.
func (c *Controller) onUnansweredRenewal(r CallResult) {
	if r.Status != 0 || r.notAttempted() {
		return
	}
	c.lease.unansweredRenewals++
	if c.role == RoleLeaseUncertain && c.lease.unansweredRenewals >= maxUnansweredRenewals {
		c.log.Info("stepping down: renewals get no answers, and reads do", "epoch", c.lease.epoch)
		c.stepDownBackoffUntil = c.now.Steady + stepDownBackoff
		c.revokeLease(c.lease.id)
		c.becomeFollower()
	}
}

// stepDownSuperseded is called when a newer epoch shows, or a condition on the leader
// key fails.
func (c *Controller) stepDownSuperseded(why string) {
	if isLeaderRole(c.role) {
		c.log.Info("stepping down", "why", why, "epoch", c.lease.epoch)
		c.becomeFollower()
	}
}

// leaderTransaction is a leader's transaction: it applies only while the key is ours.
func (c *Controller) leaderTransaction(prio uint8, when []protocol.Condition, then []protocol.Change, done func(o txnOutcome, r protocol.TxnResult)) {
	term := c.term
	when = append([]protocol.Condition{{Key: state.KeyLeader, Revision: c.lease.keyRevision}}, when...)
	c.compareAndSwap(prio, when, then, func(o txnOutcome, r protocol.TxnResult) {
		if c.term != term {
			return
		}
		if o == txnConflict {
			for _, k := range r.Conflicts {
				if k == state.KeyLeader {
					c.stepDownSuperseded("the leader key is another's")
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
func (c *Controller) mayActAsLeader() bool {
	return c.role == RoleLeader && c.now.Steady < c.lease.validUntil && !c.term.transferInFlight
}
