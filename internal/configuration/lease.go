package configuration

import (
	"slices"

	"mapleslip/internal/protocol"
)

// A follower goes by a revision only as long as it holds a lease on it, which the leader's grants
// renew. A grant may be held up on its way for any time, and the follower may be frozen, so the
// lease can't count from when the grant came; the leader's clock says nothing here. It counts from
// a time of the follower's own clock that the leader names: that of the last acknowledgement that
// it has heard. The leader heard it before it sent the grant, so a lease expires at most its length
// after the leader sent that.

// Lease is how long a controller goes by a revision without another grant. It is no setting: two
// controllers that were started with different ones could both be right, and a revision older than
// one that is in force still be gone by.
const Lease = 4 * protocol.Second

// certainLeaseExpiry is after how long a lease has expired by another clock: they drift apart by a
// part of a thousand, and a little is for timers.
const certainLeaseExpiry = Lease + Lease/1000 + 10*protocol.Millisecond

// Grant is what a leader grants a follower.
type Grant struct {
	Epoch    uint64
	Revision uint64
	// The last acknowledgement that the leader heard: which incarnation of the follower's process
	// sent it, and when by its steady clock.
	Incarnation uint64
	HeardAt     micros
}

// Holder is what a follower knows of its lease.
type Holder struct {
	Incarnation uint64 // drawn when the process begins
	Epoch       uint64
	Revision    uint64
	expiresAt   micros
}

// GrantResult is what a follower makes of a grant.
type GrantResult uint8

// Results of a grant.
const (
	GrantStale         GrantResult = iota // of an earlier leader, or with an earlier revision: it says nothing
	GrantRenewed                          // the lease is renewed as far as the grant allows
	GrantNeedsDocument                    // the revision is not known here
	GrantAdopted                          // it came with the document, which goes into force here
)

// ApplyGrant takes a grant, which may come with the document.
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
		h.expiresAt = max(h.expiresAt, min(g.HeardAt, now)+Lease)
	}
	return result
}

// Holds reports whether this controller may go by its revision.
func (h *Holder) Holds(now micros) bool { return now < h.expiresAt }

// Granter is what a leader knows of the followers' leases.
type Granter struct {
	// The revisions that it granted, and since when: no grant since names an earlier one. The
	// first is the newest for which leases on earlier ones have certainly expired.
	revisions []grantedRevision
	acks      map[string]acknowledgement // by follower
}

type grantedRevision struct {
	revision uint64
	since    micros
}

type acknowledgement struct {
	incarnation uint64
	at          micros // by the follower's clock
	revision    uint64
	receivedAt  micros // by this clock
}

// NewGranter is what a leader knows when it begins: earlier leaders may have granted leases until
// it took the leader key.
func NewGranter(revision uint64, now micros) *Granter {
	return &Granter{revisions: []grantedRevision{{revision, now}}, acks: make(map[string]acknowledgement)}
}

// SetRevision notes that the leader goes by another revision from now on.
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

// NextGrant is the next grant for a follower, and whether it needs the document.
func (g *Granter) NextGrant(name string, epoch uint64) (grant Grant, needsDocument bool) {
	ack := g.acks[name]
	grant = Grant{Epoch: epoch, Revision: g.revision(), Incarnation: ack.incarnation, HeardAt: ack.at}
	return grant, ack.revision < g.revision()
}

// OnAck notes a follower's acknowledgement. at is by its own clock.
func (g *Granter) OnAck(name string, incarnation uint64, at micros, revision uint64, now micros) {
	last := g.acks[name]
	if last.incarnation == incarnation {
		if last.at > at {
			return // an older one, late
		}
		revision = max(revision, last.revision) // it never goes back
	}
	g.acks[name] = acknowledgement{incarnation, at, revision, now}
}

// Acknowledged is the revision that a follower has acknowledged, and when that was last heard;
// 0: nothing was in this term.
func (g *Granter) Acknowledged(name string) (revision uint64, receivedAt protocol.Micros) {
	ack := g.acks[name]
	return ack.revision, ack.receivedAt
}

// InForce reports whether no follower goes by a revision older than one that the leader goes by:
// each has acknowledged it, or its lease on an earlier one has certainly expired, since that counts
// from before the last grant that named one.
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

// NewestInForce is the newest revision in force everywhere, among those that are remembered;
// 0: none yet.
func (g *Granter) NewestInForce(now micros, followers []string) uint64 {
	for _, granted := range slices.Backward(g.revisions) {
		if g.InForce(granted.revision, now, followers) {
			return granted.revision
		}
	}
	return 0
}
