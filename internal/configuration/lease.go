package configuration

import "mapleslip/internal/protocol"

// A controller that does not lead goes by a revision only as long as it holds a lease on
// it, which the leader's questions renew. A question may be held up on its way for any
// time, and this controller may be frozen, so the lease can't count from when a question
// came; the leader's clock says nothing here. It counts from a time of this controller's
// own clock that the leader names: that of the last answer it has heard. The leader
// heard it before it asked, so a lease ends at most its length after the leader asked.

// Grant is what the leader says with a question.
type Grant struct {
	Epoch    uint64
	Revision uint64
	// The last answer that the leader heard: which life of the controller gave it (a
	// process that is back at once has another one), and when by its steady clock.
	Life  uint64
	Heard micros
}

// Holder is what a controller that does not lead knows of its lease.
type Holder struct {
	Life     uint64 // drawn when the process begins
	Epoch    uint64
	Revision uint64
	until    micros
}

// Verdict is what a holder makes of a question.
type Verdict uint8

// Verdicts.
const (
	Stale    Verdict = iota // of an earlier leader, or with an earlier revision: it says nothing
	Renewed                 // the lease is renewed as far as the question allows
	Unknown                 // the revision is not known here: the document is needed first
	Adopting                // it came with the document, which goes into force here
)

// Take handles a question. has tells that it brings the document.
func (h *Holder) Take(now micros, g Grant, has bool) Verdict {
	if g.Epoch < h.Epoch || g.Revision < h.Revision {
		return Stale
	}
	h.Epoch = g.Epoch
	v := Renewed
	if g.Revision > h.Revision {
		if !has {
			return Unknown
		}
		v = Adopting
		h.Revision = g.Revision
	}
	if g.Life == h.Life {
		h.until = max(h.until, min(g.Heard, now)+Lease)
	}
	return v
}

// Holds reports whether this controller may go by its revision.
func (h *Holder) Holds(now micros) bool { return now < h.until }

// Lease is how long a controller goes by a revision that it has not heard of again. It
// is no setting: two controllers that were started with different ones could both be
// right, and a revision older than one that is in force still be gone by.
const Lease = 4 * protocol.Second

// leaseCertainly is when a lease has ended by another clock: they drift apart by a part
// of a thousand, and a little is for timers.
const leaseCertainly = Lease + Lease/1000 + 10*protocol.Millisecond

// Granter is what a leader knows of the others' leases.
type Granter struct {
	// The revisions that it went by, and since when: no question since names an earlier
	// one. The first is the newest whose time has long come.
	went  []went
	heard map[string]heard
}

type went struct {
	revision uint64
	since    micros
}

type heard struct {
	life     uint64
	at       micros // by its own clock
	revision uint64
	when     micros // by this clock
}

// NewGranter is what a leader knows when it begins: earlier leaders may have asked until
// it had taken the lead.
func NewGranter(revision uint64, now micros) *Granter {
	return &Granter{went: []went{{revision, now}}, heard: make(map[string]heard)}
}

// Goes notes that the leader goes by another revision from now on.
func (g *Granter) Goes(revision uint64, now micros) {
	if revision <= g.revision() {
		return
	}
	g.went = append(g.went, went{revision, now})
	for len(g.went) > 1 && now-g.went[1].since >= leaseCertainly {
		g.went = g.went[1:]
	}
}

func (g *Granter) revision() uint64 { return g.went[len(g.went)-1].revision }

// Ask is what to ask a controller, and whether it needs the document.
func (g *Granter) Ask(name string, epoch uint64) (q Grant, document bool) {
	o := g.heard[name]
	return Grant{Epoch: epoch, Revision: g.revision(), Life: o.life, Heard: o.at}, o.revision < g.revision()
}

// Answered notes a controller's answer. at is by its own clock.
func (g *Granter) Answered(name string, life uint64, at micros, revision uint64, now micros) {
	o := g.heard[name]
	if o.life == life {
		if o.at > at {
			return // an older one, late
		}
		revision = max(revision, o.revision) // it goes back on none
	}
	g.heard[name] = heard{life, at, revision, now}
}

// Acknowledged is the revision that a controller has said it goes by, and when it last
// answered; 0: it has not in this epoch.
func (g *Granter) Acknowledged(name string) (revision uint64, when protocol.Micros) {
	o := g.heard[name]
	return o.revision, o.when
}

// InForce reports whether no other controller goes by a revision older than one that
// the leader goes by: each has acknowledged it, or its lease on an earlier one has
// certainly ended, since that counts from before the last question that named one.
func (g *Granter) InForce(revision uint64, now micros, others []string) bool {
	for _, w := range g.went {
		if w.revision >= revision && now-w.since >= leaseCertainly {
			return true
		}
	}
	if revision > g.revision() {
		return false
	}
	for _, name := range others {
		if g.heard[name].revision < revision {
			return false
		}
	}
	return true
}

// Newest is the newest revision in force everywhere, among those that are remembered;
// 0: none yet.
func (g *Granter) Newest(now micros, others []string) uint64 {
	for i := len(g.went) - 1; i >= 0; i-- {
		if r := g.went[i].revision; g.InForce(r, now, others) {
			return r
		}
	}
	return 0
}
