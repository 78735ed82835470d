package controller

import (
	"strconv"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// seat is what a node holds of leadership.
type seat struct {
	lease       uint64
	epoch       uint64
	stamp       uint64 // of the leader key: every write of a leader depends on it
	until       micros // the lease certainly lasts until then
	renewing    bool   // a renewal was sent and may still be answered soon
	renewals    uint64 // sent so far
	nextRenew   micros
	unanswered  int               // renewals in a row that were made and got no answer
	predAnswers micros            // until then a predecessor may answer workers
	level       featuregate.Level // of the epoch's record, when the key was taken
	unlisted    bool              // launches of earlier epochs may be in no record
	yields      []protocol.LeadershipTransfer
	asked       micros // when the lease was asked for
}

// become is the one place where the role changes.
func (c *Controller) become(r Role) {
	if c.role == r {
		return
	}
	c.log.Info("role", "from", c.role.String(), "to", r.String(), "epoch", c.seat.epoch, "after_ms", int64((c.at.Steady-c.roleSince)/protocol.Millisecond))
	was := c.role
	c.role, c.roleSince = r, c.at.Steady
	if leads(was) != leads(r) {
		c.emit(Share{Leads: leads(r)})
	}
	if !leads(r) && r != Loading {
		c.term = nil
	}
}

func leads(r Role) bool { return r == Loading || r == Leading || r == Doubtful }

// follow reads the leader key and watches it.
func (c *Controller) follow() {
	c.become(Following)
	c.seat = seat{epoch: c.seat.epoch}
	c.callGen++
	gen := c.callGen
	c.get(prioLeadership, state.KeyLeader, func(e protocol.Entry, found, ok bool) {
		if gen != c.callGen || c.role != Following {
			return
		}
		if !ok {
			c.after(400*protocol.Millisecond, func() {
				if gen == c.callGen && c.role == Following {
					c.follow()
				}
			})
			return
		}
		first := !c.looked
		c.looked = true
		if !found {
			c.campaign(gen)
			return
		}
		c.sawLeader(e)
		if first && c.leader.Controller == c.platform.ControllerName {
			c.endPast()
		}
		c.watchLeader(gen, e.Revision)
	})
}

// endPast ends the lease of the process before this one, which led, as its successor
// finds at its first look. Nobody else has this process's address, so that one is no
// more; whatever of it is still on its way depends on the leader key's stamp, or on an
// epoch that the next leader raises. Without this a leader that was back at once left
// the deployment without one until its own lease had ended.
func (c *Controller) endPast() {
	c.log.Info("ending the lease of the process before this one", "epoch", c.leader.Epoch)
	c.endLease(c.leader.Lease)
}

// endLease ends a lease. If that does not get through it ends by itself.
func (c *Controller) endLease(id uint64) {
	c.call(ToState, prioLeadership, "DELETE", "/leases/"+strconv.FormatUint(id, 10), nil, stateTimeout, 0, func(CallDone) {})
}

func (c *Controller) sawLeader(e protocol.Entry) {
	l, err := state.DecodeLeader(e.Value)
	if err != nil {
		c.malformed("state", err)
		return
	}
	if l.Epoch >= c.leader.Epoch {
		if l.Epoch > c.leader.Epoch {
			c.suspect = 0
		}
		c.leader = l
	}
}

// recheck reads the leader's record again when the node that is taken for the
// leader says that it does not lead, or does not answer: the watch that would
// tell may be slow or lost.
func (c *Controller) recheck() {
	if c.role != Following || c.at.Steady-c.rechecked < 500*protocol.Millisecond {
		return
	}
	c.rechecked = c.at.Steady
	c.get(prioLeadership, state.KeyLeader, func(e protocol.Entry, found, ok bool) {
		if found && c.role == Following {
			c.sawLeader(e)
		}
	})
}

func (c *Controller) watchLeader(gen uint64, rev uint64) {
	stop := func() bool { return gen != c.callGen || c.role != Following }
	c.watch(prioLeadership, state.KeyLeader, rev, stop, func(e protocol.Entry) {
		switch {
		case e.Key != state.KeyLeader:
		case e.Value != nil:
			c.sawLeader(e)
		default:
			c.campaign(gen)
		}
	}, func() {
		if !stop() {
			c.follow()
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
	if c.at.Steady < c.shy {
		wait += 2 * protocol.Second
	}
	c.after(wait, func() {
		if gen != c.callGen || c.role != Following {
			return
		}
		c.lease()
	})
}

func (c *Controller) lease() {
	if c.levels != nil && !c.levels.listed {
		c.retryFollow() // nobody leads whose version the roster does not have
		return
	}
	c.become(Leasing)
	sent := c.at.Steady
	c.seat.asked = sent
	c.call(ToState, prioLeadership, "POST", "/leases", protocol.LeaseBody(c.operator.LeaderLease), stateTimeout, 0, func(r CallDone) {
		if c.role != Leasing {
			return
		}
		id, err := uint64(0), error(nil)
		if r.Status == 200 {
			if id, err = protocol.ParseLease(r.Body); err != nil {
				c.malformed("state", err)
			}
		}
		if id == 0 {
			c.retryFollow()
			return
		}
		c.seat.lease = id
		c.seat.until = sent + c.operator.LeaderLease - drift(c.operator.LeaderLease)
		c.seat.nextRenew = sent + c.operator.LeaderLease/4
		c.claim()
	})
}

func (c *Controller) retryFollow() {
	c.followIn(300*protocol.Millisecond + micros(c.rng.Int64N(int64(200*protocol.Millisecond))))
}

// followIn follows again after a while.
func (c *Controller) followIn(wait micros) {
	c.become(Following)
	c.callGen++
	gen := c.callGen
	c.after(wait, func() {
		if gen == c.callGen && c.role == Following {
			c.follow()
		}
	})
}

// claim raises the epoch and takes the leader key in one transaction.
func (c *Controller) claim() {
	c.become(Claiming)
	c.get(prioLeadership, state.KeyEpoch, func(e protocol.Entry, found, ok bool) {
		if c.role != Claiming {
			return
		}
		if !ok {
			c.retryFollow()
			return
		}
		var last uint64
		var level featuregate.Level
		if found {
			rec, err := state.DecodeEpoch(e.Value)
			if err == nil {
				err = c.servesLevel(rec.Level)
			}
			if err != nil {
				// Records of a form that this program does not know: it must
				// not lead without seeing what they say.
				c.damaged(e, err)
				c.followIn(unreadableAgain)
				return
			}
			last, level = rec.Epoch, rec.Level
			c.seat.unlisted, c.seat.yields = rec.LaunchesUnrecorded, leadership.RecentTransfers(rec.Transfers, c.at.Wall)
			if leadership.ShouldDefer(c.platform.ControllerName, last, c.at.Wall, rec.Transfers) && c.waited != last {
				// The lease was given back for another one to lead. It has its turn
				// first, once.
				c.waited = last
				c.followIn(leadership.DeferralTime)
				return
			}
		}
		epoch := last + 1
		lead := state.LeaderRecord{Controller: c.platform.ControllerName, Epoch: epoch, Lease: c.seat.lease, HeartbeatGrace: c.operator.HeartbeatGrace}
		when := []protocol.Condition{{Key: state.KeyLeader}, {Key: state.KeyEpoch, Revision: e.Revision}}
		then := []protocol.Change{
			{Key: state.KeyEpoch, Value: state.EncodeEpoch(state.EpochRecord{Epoch: epoch, LaunchesUnrecorded: c.seat.unlisted, Transfers: c.seat.yields, Level: level})},
			{Key: state.KeyLeader, Value: state.EncodeLeader(lead), Lease: c.seat.lease},
		}
		pred := c.leader
		c.txn(prioLeadership, when, then, func(o txnOutcome, r protocol.TxnResult) {
			if c.role != Claiming {
				return
			}
			if o != txnApplied {
				// Where the outcome is unknown, the key goes with the lease,
				// which nobody extends.
				c.retryFollow()
				return
			}
			c.seat.epoch, c.seat.stamp, c.seat.level = epoch, r.Revision, level
			c.leader = lead
			c.levelAtLeast(level)
			// The predecessor stops answering workers a recorded time after its
			// lease, which has ended by now. Without its record, ours is taken.
			answers := pred.HeartbeatGrace
			if answers == 0 {
				answers = c.operator.HeartbeatGrace
			}
			c.seat.predAnswers = c.at.Steady + answers + drift(answers)
			if epoch == 1 {
				c.seat.predAnswers = c.at.Steady
			}
			c.load()
		})
	})
}

// holdsLease reports whether a node in this role has a lease to renew. The claim takes two
// round trips more, and the lease has to outlast them where the state service is slow.
func holdsLease(r Role) bool { return leads(r) || r == Claiming }

// watchLease renews the lease and notices when it could have ended.
func (c *Controller) watchLease() {
	if !holdsLease(c.role) {
		return
	}
	t := c.at.Steady
	if !c.seat.renewing && t >= c.seat.nextRenew {
		c.renew()
	}
	switch {
	case c.role == Leading && t >= c.seat.until:
		c.become(Doubtful)
	case c.role == Loading && t >= c.seat.until:
		c.follow()
	case c.role == Doubtful && t >= c.seat.until+c.operator.HeartbeatGrace:
		c.log.Info("stepping down: the lease could not be renewed", "epoch", c.seat.epoch)
		c.follow()
	}
}

const (
	// resendsPerLease bounds how long a renewal is waited for before another one is sent:
	// a lease divided by it.
	resendsPerLease = 3
	renewalPause    = 150 * protocol.Millisecond
	// mostUnanswered is how many renewals in a row may get no answer, while reads do,
	// before a leader that is in doubt lets another one lead.
	mostUnanswered = 5
)

// renew extends the lease. A leader whose lease could have ended asks first who leads: a
// renewal that is carried out, and of which only the answer is lost, keeps everybody else
// from leading, for as long as this node goes on with it.
func (c *Controller) renew() {
	c.seat.renewing = true
	if c.role != Doubtful {
		c.extend()
		return
	}
	lease := c.seat.lease
	c.get(prioLeadership, state.KeyLeader, func(e protocol.Entry, found, ok bool) {
		switch {
		case !holdsLease(c.role) || c.seat.lease != lease:
		case !ok:
			c.seat.renewing, c.seat.nextRenew = false, c.at.Steady+renewalPause
		case !found || e.Revision != c.seat.stamp:
			c.deposed("the leader key is another's")
		default:
			c.extend()
		}
	})
}

// extend asks for another lease time. An answer counts for as long as it proves anything,
// which is a whole lease from when the question left; one that is not answered soon is
// followed by the next meanwhile. When it was given up after a third of the lease, a state
// service that answered later than that left the deployment without a leader.
func (c *Controller) extend() {
	c.seat.renewals++
	sent, lease, number := c.at.Steady, c.seat.lease, c.seat.renewals
	current := func() bool { return holdsLease(c.role) && c.seat.lease == lease }
	c.after(c.operator.LeaderLease/resendsPerLease, func() {
		if current() && c.seat.renewals == number {
			c.seat.renewing = false
		}
	})
	c.call(ToState, prioLeadership, "POST", "/leases/"+strconv.FormatUint(lease, 10)+"/extend", nil, c.operator.LeaderLease, 0, func(r CallDone) {
		if !current() {
			return
		}
		if c.seat.renewals == number {
			c.seat.renewing = false
		}
		switch r.Status {
		case 200:
			c.seat.unanswered = 0
			c.seat.until = max(c.seat.until, sent+c.operator.LeaderLease-drift(c.operator.LeaderLease))
			c.seat.nextRenew = max(c.seat.nextRenew, sent+c.operator.LeaderLease/4)
			if c.role == Doubtful && c.at.Steady < c.seat.until {
				// The key hangs on the lease, so nobody else has led meanwhile.
				c.become(Leading)
				c.term.dirty = true
			}
		case 404:
			c.log.Info("stepping down: the lease has ended", "epoch", c.seat.epoch)
			c.follow()
		default:
			if c.seat.renewals == number {
				c.seat.nextRenew = c.at.Steady + renewalPause
			}
			c.renewalLost(r)
		}
	})
}

// renewalLost notes a renewal without an answer. When that goes on while reads are
// answered, another controller should lead.
func (c *Controller) renewalLost(r CallDone) {
	if r.Status != 0 || r.unmade() {
		return
	}
	c.seat.unanswered++
	if c.role == Doubtful && c.seat.unanswered >= mostUnanswered {
		c.log.Info("stepping down: renewals get no answers, and reads do", "epoch", c.seat.epoch)
		c.shy = c.at.Steady + shyFor
		c.endLease(c.seat.lease)
		c.follow()
	}
}

// deposed is called when a newer epoch shows, or a condition on the leader
// key fails.
func (c *Controller) deposed(why string) {
	if leads(c.role) {
		c.log.Info("stepping down", "why", why, "epoch", c.seat.epoch)
		c.follow()
	}
}

// lead is a leader's transaction: it applies only while the key is ours.
func (c *Controller) lead(prio uint8, when []protocol.Condition, then []protocol.Change, done func(o txnOutcome, r protocol.TxnResult)) {
	term := c.term
	when = append([]protocol.Condition{{Key: state.KeyLeader, Revision: c.seat.stamp}}, when...)
	c.txn(prio, when, then, func(o txnOutcome, r protocol.TxnResult) {
		if c.term != term {
			return
		}
		if o == txnRefused {
			for _, k := range r.Conflicts {
				if k == state.KeyLeader {
					c.deposed("the leader key is another's")
					return
				}
			}
		}
		done(o, r)
	})
}

// mayStart reports whether the leader key is certainly this node's: the lease certainly
// holds, and no transaction is on its way that gives the key back. That one may have been
// carried out long before its answer comes, and then another node leads while the lease,
// without the key, lasts.
func (c *Controller) mayStart() bool {
	return c.role == Leading && c.at.Steady < c.seat.until && !c.term.yielding
}
