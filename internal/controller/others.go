package controller

import (
	"slices"

	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// A controller that is cut off together with a zone goes on answering that
// zone's workers, without commands, so that their leases don't end and their
// tasks go on. A leader outside can then not tell by time that such tasks are
// gone: it asks the other controllers all the time, and counts on time only
// while those of the host's zone say that they answer nobody.

// Spans of that. A node takes itself for cut off only after it has heard
// neither a leader nor the state service for isolatedAfter; what it said to a
// leader holds for standHolds, which is less.
const (
	askEvery      = protocol.Second
	standHolds    = 3 * protocol.Second
	isolatedAfter = 4 * protocol.Second
)

// stand is what another controller last said of itself.
type stand struct {
	asked    micros             // when it was asked; 0: it has not answered in this term
	answered micros             // when it last answered a worker
	hearing  leadership.Reachability // workers that come to it because they can't reach this node
}

// askOthers asks the other controllers whether they answer workers, as long as
// the term lasts.
func (c *Controller) askOthers(t *term) {
	if c.term != t {
		return
	}
	asked := c.at.Steady
	plain, full := c.question(protocol.HandoverState{}), c.question(c.memory)
	for _, s := range c.platform.Peers {
		frame, told := plain, c.memory.At
		if was := t.memory.told[s.Name]; was.made != told || asked-was.at >= tellAgain {
			frame = full
		}
		c.callAddr(ToPeer, "", s.Address, "", frame, askEvery, func(r CallDone) {
			if c.term != t || r.Status != 200 {
				return
			}
			m, err := protocol.ParsePeer(r.Body)
			if err != nil {
				c.malformed("controller", err)
				return
			}
			if m.Kind != protocol.PeerStatus || m.AnswersWorkers {
				return
			}
			o := t.others[s.Name]
			// Between two answers that are this close it can't have taken itself for cut
			// off, also if it was started anew between them.
			unbroken := o.asked > 0 && c.at.Steady-o.asked < isolatedAfter-drift(isolatedAfter)
			o.asked, o.hearing = max(o.asked, asked), c.hearingOf(m)
			t.memory.told[s.Name] = toldMemory{told, c.at.Steady}
			if m.AnsweredAgo < protocol.Forever && !unbroken {
				o.answered = max(o.answered, c.at.Steady-m.AnsweredAgo)
			}
			t.others[s.Name] = o
			c.allStand(t)
		})
	}
	c.after(askEvery, func() { c.askOthers(t) })
}

// allStand notes when each of the others has said that it does not answer
// workers under an earlier epoch. From then on leases tell when the tasks of
// hosts that were recorded before are gone.
func (c *Controller) allStand(t *term) {
	if t.stood {
		return
	}
	for _, s := range c.platform.Peers {
		if c.at.Steady-t.others[s.Name].asked > standHolds || t.others[s.Name].asked == 0 {
			return
		}
	}
	t.stood = true
	c.log.Info("no other controller answers workers", "epoch", t.epoch)
	for _, h := range t.book.Hosts() {
		if h.FromRecord && !h.Reconciled {
			h.LeaseRenewedAt = min(h.LeaseRenewedAt, c.at.Steady)
		}
	}
}

// expired reports whether a host's lease has certainly ended: nobody can have
// answered it for that long.
func (c *Controller) expired(h *state.Host) bool {
	at, lease := c.at.Steady, c.platform.WorkerLease
	answered := h.LeaseRenewedAt
	for _, s := range c.platform.Peers {
		if !c.keepsZone(s.Zone, h.Zone) {
			continue
		}
		o := c.term.others[s.Name]
		if o.asked == 0 || at-o.asked > standHolds {
			return false
		}
		answered = max(answered, o.answered)
	}
	return at > answered+lease+drift(lease)+100*protocol.Millisecond
}

// keepsZone reports whether a controller of one zone may answer the workers of
// another when it is cut off: of its own, and of a zone without a controller each of
// them. Otherwise those workers lost all that ran on them in any outage of the state
// service that the end of the leader fell into, because no other controller was theirs.
func (c *Controller) keepsZone(of, workers string) bool {
	if of == workers {
		return true
	}
	if c.platform.Zone == workers {
		return false
	}
	return !slices.ContainsFunc(c.platform.Peers, func(s protocol.Peer) bool { return s.Zone == workers })
}

// onAsk tells a leader whether this node answers workers. One that led under an
// earlier epoch stops.
func (c *Controller) onAsk(e PeerQuestion) {
	if leads(c.role) && e.Epoch > c.seat.epoch {
		c.deposed("another controller leads")
	}
	c.siblingHeard = c.at.Steady
	if e.Epoch > 0 {
		c.narrow = len(e.Body) == 0
	}
	m := &protocol.PeerMessage{Kind: protocol.PeerStatus, AnsweredAgo: protocol.Forever}
	if leads(c.role) || c.role == Claiming {
		m.AnswersWorkers = true
	} else if e.Epoch > 0 && e.Epoch >= c.leader.Epoch {
		c.asked = c.at.Steady
		if e.Epoch > c.leader.Epoch {
			// The state service would say the same; it may refuse this node.
			c.leader = state.LeaderRecord{Controller: e.From, Epoch: e.Epoch, HeartbeatGrace: c.leader.HeartbeatGrace}
			c.suspect = 0
		}
	}
	m.RedirectedWorkers, m.Body = c.countCallers()
	c.hearMemory(e.Body)
	// What the process before this one did, which may have ended a moment before, it
	// can't say: it counts as having answered until this one was born.
	m.AnsweredAgo = c.at.Steady - max(c.answered, c.born)
	c.emit(Reply{To: e.Reply, Status: 200, Body: protocol.AppendPeer(nil, m), Frame: true})
}

// isolated reports whether this node is cut off: it has heard neither a leader
// nor the state service for a while.
func (c *Controller) isolated() bool {
	at := c.at.Steady
	return !leads(c.role) && at-max(c.asked, c.born) > isolatedAfter && at-max(c.stateHeard, c.born) > isolatedAfter
}

// feelOthers asks the other controllers whether they are there, where this node has heard
// of none of them, nor of the state service, and asks them nothing else: see alone. The
// question names no epoch, so that nobody takes it for a leader's.
func (c *Controller) feelOthers() {
	at := c.at.Steady
	if leads(c.role) && c.role != Loading || at-c.felt < askEvery || at-max(c.stateHeard, c.siblingHeard) <= askEvery {
		return
	}
	c.felt = at
	frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerStatusRequest, From: c.platform.ControllerName, Body: protocol.AppendHandoverState(nil, protocol.HandoverState{})})
	for _, s := range c.platform.Peers {
		c.callAddr(ToPeer, "", s.Address, "", frame, askEvery, func(CallDone) {})
	}
}

// feel finds out whether the state service can be reached, where no leader is
// heard.
func (c *Controller) feel() {
	c.feelOthers()
	if !leads(c.role) && c.at.Steady-max(c.asked, c.stateHeard) > askEvery {
		c.recheck()
	}
}
