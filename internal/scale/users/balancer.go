package users

// Settings of the load balancer as the protocol defines them; times are in microseconds.
const (
	probeInterval      = 1_000_000
	probeTimeout       = 1_000_000
	connectTimeout     = 500_000
	skipDuration       = 3_000_000
	minRemovalPause    = 3_000_000
	maxRemovalPause    = 60_000_000
	removalMemory      = 120_000_000
	resetAfter         = 5_000_000
	rampUpTime         = 10_000_000
	maxConnectAttempts = 3
)

// backend is the state of a controller in the load balancer of a region.
type backend struct {
	healthy, everHealthy bool
	probes               []bool  // outcomes of the last six probes at most, since changedAt
	changedAt            int64   // time at which it became healthy or unhealthy
	removalPause         int64   // minimum time after changedAt until it may be healthy again
	removals             []int64 // times at which it became unhealthy, within removalMemory
	openConns            int     // open connections of users
	failedConnects       int     // consecutive connection attempts that failed
	skipUntil            int64   // time before which it isn't picked
}

// balancer picks a controller for each new connection. It reads no clock and opens no
// connections: callers pass times and outcomes.
type balancer struct{ backends []*backend }

func newBalancer(n int) *balancer {
	b := &balancer{}
	for range n {
		b.backends = append(b.backends, &backend{})
	}
	return b
}

// recordProbe records the outcome of a health probe.
func (b *balancer) recordProbe(i int, ok bool, at int64) {
	be := b.backends[i]
	if be.probes = append(be.probes, ok); len(be.probes) > 6 {
		be.probes = be.probes[1:]
	}
	last := len(be.probes) - 1
	if !be.healthy {
		twoSuccesses := ok && last > 0 && be.probes[last-1]
		if ok && !be.everHealthy || twoSuccesses && at >= be.changedAt+be.removalPause {
			be.healthy, be.everHealthy, be.changedAt, be.probes = true, true, at, nil
		}
		return
	}
	failures := 0
	for _, p := range be.probes {
		if !p {
			failures++
		}
	}
	if !ok && last > 0 && !be.probes[last-1] || failures >= 3 {
		be.healthy, be.changedAt, be.probes = false, at, nil
		recent := be.removals[:0]
		for _, r := range be.removals {
			if at-r < removalMemory {
				recent = append(recent, r)
			}
		}
		be.removals = append(recent, at)
		be.removalPause = minRemovalPause
		for range len(be.removals) - 1 {
			be.removalPause = min(maxRemovalPause, be.removalPause*2)
		}
	}
}

// pick returns the index of the backend for a connection, other than those in tried, or -1 if
// there is none.
func (b *balancer) pick(tried []int, at int64) int {
	best, lowestLoad := -1, 0.0
next:
	for i, be := range b.backends {
		if !be.healthy || at < be.skipUntil {
			continue
		}
		for _, t := range tried {
			if t == i {
				continue next
			}
		}
		weight := max(0.05, min(1, float64(at-be.changedAt)/rampUpTime))
		if load := float64(be.openConns+1) / weight; best < 0 || load < lowestLoad {
			best, lowestLoad = i, load
		}
	}
	return best
}

// recordConnect records the outcome of a connection attempt.
func (b *balancer) recordConnect(i int, ok bool, at int64) {
	be := b.backends[i]
	if ok {
		be.openConns++
		be.failedConnects = 0
		return
	}
	if be.failedConnects++; be.failedConnects >= 3 {
		be.failedConnects, be.skipUntil = 0, at+skipDuration
	}
}

func (b *balancer) recordClose(i int) { b.backends[i].openConns-- }

// shouldReset reports whether the connections of a backend are to be reset.
func (b *balancer) shouldReset(i int, at int64) bool {
	be := b.backends[i]
	return be.everHealthy && !be.healthy && at-be.changedAt >= resetAfter
}
