package controller

import (
	"math"
	"testing"

	"mapleslip/internal/protocol"
)

// A leader probes up to the whole published write rate, since the followers mostly write nothing. A
// controller that no longer leads goes back to its share.
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
		t.Errorf("the leader uses %g changes a second, want %g", got, published)
	}
	c.effects = nil
	c.election.role = RoleFollower
	c.probeWriteRate()
	if c.store.WriteRate() != published || len(c.effects) != 1 {
		t.Errorf("after leading: write rate %g, want %g; effects %v", c.store.WriteRate(), published, c.effects)
	}
}
