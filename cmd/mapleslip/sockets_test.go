package main

import (
	"testing"

	"mapleslip/internal/controller"
)

// Guards against a division that refuses connections of workers: 1.5 times as many workers as the
// deployments have get inbound connections beside a few hundred connections of users. The total
// stays below the limit by the reserve, and each kind of call gets connections under any limit.
func TestSockets(t *testing.T) {
	for _, c := range []struct{ maxConnections, peers, workers, users int }{
		{1500, 6, 885, 60},
		{3260, 2, 1950, 400},
		{3039, 4, 2110, 300},
		{3000, 2, 1785, 400},
		{1800, 4, 1224, 60},
		{64, 2, 0, 0},
		{200, 6, 0, 0},
		{100_000, 99, 60_000, 10_000},
	} {
		for _, rollouts := range []bool{false, true} {
			s := planSockets(c.maxConnections, c.peers, rollouts)
			if s.inbound < c.workers+c.users {
				t.Errorf("%d inbound of %d connections for %d workers and %d users", s.inbound, c.maxConnections, c.workers, c.users)
			}
			if sum := s.inbound + s.outbound(); sum > c.maxConnections || c.maxConnections-sum < s.reserved && c.maxConnections > 64 {
				t.Errorf("%d of %d connections assigned, %d must stay unassigned", sum, c.maxConnections, s.reserved)
			}
			for _, n := range []int{s.state, s.cloud, s.peers, s.perPeer, s.workers} {
				if n < 2 {
					t.Errorf("limit of %d connections leaves fewer than 2 for a kind of call: %+v", c.maxConnections, s)
				}
			}
			if c.maxConnections > 1000 && s.workers < controller.MaxWorkerCalls {
				t.Errorf("%d connections for calls to workers", s.workers)
			}
			if rollouts != (s.instances > 0) {
				t.Errorf("%d connections for health checks", s.instances)
			}
		}
	}
}
