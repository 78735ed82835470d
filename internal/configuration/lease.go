package configuration

import (
	"slices"

	"mapleslip/internal/protocol"
)

// A follower may use a revision only while it holds a lease on it, which the leader's grants renew.
// A grant may be delayed on its way for any time, and the follower may be frozen, so the lease
// can't start when the grant arrives. It can't start at a time of the leader's clock either,
// because the follower can't compare that with its own. So each grant contains a time of the
// follower's own clock, and the lease starts then: the time at which the follower sent the last
// acknowledgement that the leader received. The leader received it before it sent the grant, so a
// lease expires at most its length after the leader sent the grant.

// Lease is how long a controller may use a revision without another grant. It is a constant, not a
// setting: controllers that were started with different values could each hold a lease that is
// valid by its own value, while one of them still uses a revision older than the one in force.
const Lease = 4 * protocol.Second

// certainLeaseExpiry is the time after which a lease has expired on any other clock. Clocks drift
// apart by up to a thousandth, and 10 ms are a margin for timers.
const certainLeaseExpiry = Lease + Lease/1000 + 10*protocol.Millisecond

// Grant renews a follower's lease on a revision. The leader sends it.
type Grant struct {
	Epoch    uint64
	Revision uint64
	// Incarnation and AcknowledgedAt identify the last acknowledgement that the leader received:
	// which incarnation of the follower's process sent it, and when by the follower's steady
	// clock.
	Incarnation    uint64
	AcknowledgedAt micros
}

// Holder is a follower's state of its lease.
type Holder struct {
	Incarnation uint64 // random number of this process, drawn when it starts
	Epoch       uint64
	Revision    uint64
	expiresAt   micros
}

// GrantResult is the result of applying a grant.
type GrantResult uint8

// Results of a grant.
const (
	GrantStale         GrantResult = iota // of an earlier leader or an earlier revision; ignored
	GrantRenewed                          // the lease is renewed as far as the grant allows
	GrantNeedsDocument                    // not renewed: the follower lacks the revision's document
	GrantAdopted                          // the document came with the grant and is now used
)

// ApplyGrant applies a grant. hasDocument is whether the document came with it.
func (h *Holder) ApplyGrant(now micros, g Grant, hasDocument bool) GrantResult {
	if g.Epoch < h.Epoch || g.Revision < h.Revision {
		return GrantStale
	}
	h.Epoch = g.Epoch
	result := GrantRenewed
	if g.Revision > h.Revision {
		if !hasDocument {
			return GrantNeedsDocument
		}
		result = GrantAdopted
		h.Revision = g.Revision
	}
	if g.Incarnation == h.Incarnation {
		h.expiresAt = max(h.expiresAt, min(g.AcknowledgedAt, now)+Lease)
	}
	return result
}

// Holds reports whether the follower may use its revision.
func (h *Holder) Holds(now micros) bool { return now < h.expiresAt }

// Granter is a leader's state of the leases that it grants to followers.
type Granter struct {
	// The granted revisions, each with the time since which no grant names an earlier one. The
	// first is the newest one for which leases on earlier revisions have certainly expired.
	revisions []grantedRevision
	acks      map[string]acknowledgement // by follower
}

type grantedRevision struct {
	revision uint64
	since    micros
}

type acknowledgement struct {
	incarnation uint64
	at          micros // when it was sent, by the follower's clock
	revision    uint64
	receivedAt  micros // by the leader's clock
}

// NewGranter returns the state of a leader that took the leader key at now. Until then, earlier
// leaders may have granted leases on older revisions.
func NewGranter(revision uint64, now micros) *Granter {
	return &Granter{revisions: []grantedRevision{{revision, now}}, acks: make(map[string]acknowledgement)}
}

// SetRevision records that the leader uses a newer revision from now on.
func (g *Granter) SetRevision(revision uint64, now micros) {
	if revision <= g.revision() {
		return
	}
	g.revisions = append(g.revisions, grantedRevision{revision, now})
	for len(g.revisions) > 1 && now-g.revisions[1].since >= certainLeaseExpiry {
		g.revisions = g.revisions[1:]
	}
}

func (g *Granter) revision() uint64 { return g.revisions[len(g.revisions)-1].revision }

// NextGrant returns the next grant for a follower, and whether the follower needs the document with
// it.
func (g *Granter) NextGrant(name string, epoch uint64) (grant Grant, needsDocument bool) {
	ack := g.acks[name]
	grant = Grant{Epoch: epoch, Revision: g.revision(), Incarnation: ack.incarnation, AcknowledgedAt: ack.at}
	return grant, ack.revision < g.revision()
}

// OnAck records an acknowledgement of a follower. at is by the follower's clock.
func (g *Granter) OnAck(name string, incarnation uint64, at micros, revision uint64, now micros) {
	previous := g.acks[name]
	if previous.incarnation == incarnation {
		if previous.at > at {
			return // an older acknowledgement that was delayed
		}
		revision = max(revision, previous.revision) // followers never return to an earlier one
	}
	g.acks[name] = acknowledgement{incarnation, at, revision, now}
}

// Acknowledged returns the revision that a follower has acknowledged, and when the leader last
// received an acknowledgement from it; both are 0 if it received none in this term.
func (g *Granter) Acknowledged(name string) (revision uint64, receivedAt protocol.Micros) {
	ack := g.acks[name]
	return ack.revision, ack.receivedAt
}

// InForce reports whether no follower uses a revision older than the given one. Either each
// follower has acknowledged it, or the leases on earlier revisions have certainly expired: the
// leader has granted no earlier revision for certainLeaseExpiry, and a lease starts before its
// grant is sent.
func (g *Granter) InForce(revision uint64, now micros, followers []string) bool {
	for _, granted := range g.revisions {
		if granted.revision >= revision && now-granted.since >= certainLeaseExpiry {
			return true
		}
	}
	if revision > g.revision() {
		return false
	}
	for _, name := range followers {
		if g.acks[name].revision < revision {
			return false
		}
	}
	return true
}

// NewestInForce returns the newest remembered revision that is in force on all followers, 0 if
// there is none yet.
func (g *Granter) NewestInForce(now micros, followers []string) uint64 {
	for _, granted := range slices.Backward(g.revisions) {
		if g.InForce(granted.revision, now, followers) {
			return granted.revision
		}
	}
	return 0
}
