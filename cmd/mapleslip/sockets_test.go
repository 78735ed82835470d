package main

import (
	"testing"

	"mapleslip/internal/controller"
)

// Half as many machines again as the deployments have find room beside a few hundred
// connections of users; all together stay under the limit, with some held back; and
// whatever the limit is, each kind of call has some.
func TestSockets(t *testing.T) {
	for _, c := range []struct{ most, siblings, workers, users int }{
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
			s := planSockets(c.most, c.siblings, rollouts)
			if s.inbound < c.workers+c.users {
				t.Errorf("%d of %d for %d workers and %d users", s.inbound, c.most, c.workers, c.users)
			}
			if sum := s.inbound + s.outbound(); sum > c.most || c.most-sum < s.free && c.most > 64 {
				t.Errorf("%d of %d in all, %d to be held back", sum, c.most, s.free)
			}
			for _, n := range []int{s.state, s.cloud, s.peers, s.perPeer, s.workers} {
				if n < 2 {
					t.Errorf("%d connections: %+v", c.most, s)
				}
			}
			if c.most > 1000 && s.workers < controller.MaxWorkerCalls {
				t.Errorf("%d for calls to workers", s.workers)
			}
			if rollouts != (s.instances > 0) {
				t.Errorf("%d for checks", s.instances)
			}
		}
	}
}
