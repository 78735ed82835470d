package simulation

import (
	"mapleslip/internal/protocol"
)

// What the stand-ins know of messages that come late, and of users who keep to one
// controller: on real machines rules broke where such troubles met others.

// balanced is what the load balancer knows of a node: it takes it out after two checks
// in a row that failed, and back in after two that did not and three seconds. Its users'
// connections are closed after it was out for five.
type balanced struct {
	failed, passed int
	out            bool
	since          micros
}

// balance has the load balancer check all nodes.
func (w *World) balance() {
	if !w.sticks {
		return
	}
	for _, n := range w.nodes {
		status := 0
		if w.reachable(n) && !n.frozen {
			w.request(n, "health", "", func(s int, _ []byte) { status = s })
		}
		if status == 200 {
			n.passed, n.failed = n.passed+1, 0
		} else {
			n.passed, n.failed = 0, n.failed+1
		}
		switch {
		case !n.out && n.failed >= 2:
			n.out, n.since = true, w.now
		case n.out && n.passed >= 2 && w.now-n.since >= 3*protocol.Second:
			n.out = false
		}
	}
}

// nodeOf is where a job's user asks: at one node after another, or where the connection
// is.
func (w *World) nodeOf(j *userJob) *node {
	if !w.sticks {
		return w.upNode()
	}
	if n := j.via; n != nil && w.reachable(n) && (!n.out || w.now-n.since < 5*protocol.Second) {
		return n
	}
	j.via = w.upNode()
	return j.via
}
