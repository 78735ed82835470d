package controller

import (
	"math"
	"testing"

	"mapleslip/internal/protocol"
)

// A leader tries for all of the published rate, of which its share is the larger one, since the
// others mostly write nothing; one that does not lead any more keeps to its share.
func TestLeaderTriesForWholeWriteRate(t *testing.T) {
	c := busyLeader(t, 8, 0)
	c.election.role, c.election.lease.validUntil = RoleLeader, c.now.Steady+1000*protocol.Second
	c.platform.Peers = make([]protocol.Peer, 2)
	published := c.platform.StateWriteRate
	for range 60 {
		c.now.Steady += 2 * protocol.Second
		c.probeWriteRate()
	}
	if got := c.store.WriteRate() * WriteShare(3, true); math.Abs(got-published) > 1e-6 {
		t.Errorf("%g a second of %g", got, published)
	}
	c.effects = nil
	c.election.role = RoleFollower
	c.probeWriteRate()
	if c.store.WriteRate() != published || len(c.effects) != 1 {
		t.Errorf("%g of %g, then %v", c.store.WriteRate(), published, c.effects)
	}
}
