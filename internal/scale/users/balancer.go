package users

// Times of the load balancer, microseconds, as the protocol has them.
const (
	probeEvery   = 1_000_000
	probeWithin  = 1_000_000
	acceptWithin = 500_000
	skipFor      = 3_000_000
	leastPause   = 3_000_000
	mostPause    = 60_000_000
	pauseMemory  = 120_000_000
	resetAfter   = 5_000_000
	raiseOver    = 10_000_000
	mostAttempts = 3
)

// node is a controller as a region's load balancer sees it.
type node struct {
	healthy, ever bool
	probes        []bool // the last six
	since         int64  // healthy, or not, since then
	pause         int64  // not healthy before since plus that
	removals      []int64
	open          int // connections of users
	failed        int // connections in a row that were not accepted
	skipUntil     int64
}

// balancer picks a controller for each new connection. It has no clock and makes no
// connections.
type balancer struct{ nodes []*node }

func newBalancer(n int) *balancer {
	b := &balancer{}
	for range n {
		b.nodes = append(b.nodes, &node{})
	}
	return b
}

// probed takes the outcome of a probe.
func (b *balancer) probed(i int, ok bool, at int64) {
	n := b.nodes[i]
	if n.probes = append(n.probes, ok); len(n.probes) > 6 {
		n.probes = n.probes[1:]
	}
	last := len(n.probes) - 1
	if !n.healthy {
		twice := ok && last > 0 && n.probes[last-1]
		if ok && !n.ever || twice && at >= n.since+n.pause {
			n.healthy, n.ever, n.since, n.probes = true, true, at, nil
		}
		return
	}
	bad := 0
	for _, p := range n.probes {
		if !p {
			bad++
		}
	}
	if !ok && last > 0 && !n.probes[last-1] || bad >= 3 {
		n.healthy, n.since, n.probes = false, at, nil
		recent := n.removals[:0]
		for _, r := range n.removals {
			if at-r < pauseMemory {
				recent = append(recent, r)
			}
		}
		n.removals = append(recent, at)
		n.pause = leastPause
		for range len(n.removals) - 1 {
			n.pause = min(mostPause, n.pause*2)
		}
	}
}

// pick chooses a node for a connection, other than those tried already; -1: none.
func (b *balancer) pick(tried []int, at int64) int {
	best, least := -1, 0.0
next:
	for i, n := range b.nodes {
		if !n.healthy || at < n.skipUntil {
			continue
		}
		for _, t := range tried {
			if t == i {
				continue next
			}
		}
		share := max(0.05, min(1, float64(at-n.since)/raiseOver))
		if load := float64(n.open+1) / share; best < 0 || load < least {
			best, least = i, load
		}
	}
	return best
}

// connected takes the outcome of a connection attempt.
func (b *balancer) connected(i int, ok bool, at int64) {
	n := b.nodes[i]
	if ok {
		n.open++
		n.failed = 0
		return
	}
	if n.failed++; n.failed >= 3 {
		n.failed, n.skipUntil = 0, at+skipFor
	}
}

func (b *balancer) closed(i int) { b.nodes[i].open-- }

// reset says whether connections of a node are reset.
func (b *balancer) reset(i int, at int64) bool {
	n := b.nodes[i]
	return n.ever && !n.healthy && at-n.since >= resetAfter
}
