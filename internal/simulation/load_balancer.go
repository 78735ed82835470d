package simulation

import (
	"mapleslip/internal/protocol"
)

// The load balancer between users and controllers, and users who keep their connection to one
// controller. On real machines, rules were broken when these occurred together with other faults.

// balancerState is the state that the load balancer keeps for a node. It takes the node out after
// two failed checks in a row, and puts it back after two passed ones in a row, at the earliest 3 s
// after it took it out. Connections of users to the node are closed once it has been out for 5 s.
type balancerState struct {
	failed, passed int // latest checks in a row
	outOfRotation  bool
	outSince       micros
}

// checkNodeHealth carries out the load balancer's health check of each node, once a second if
// stickyUsers is set.
func (w *World) checkNodeHealth() {
	if !w.stickyUsers {
		return
	}
	for _, n := range w.nodes {
		status := 0
		if w.reachable(n) && !n.frozen {
			w.request(n, "health", "", func(code int, _ []byte) { status = code })
		}
		if status == 200 {
			n.passed, n.failed = n.passed+1, 0
		} else {
			n.passed, n.failed = 0, n.failed+1
		}
		switch {
		case !n.outOfRotation && n.failed >= 2:
			n.outOfRotation, n.outSince = true, w.now
		case n.outOfRotation && n.passed >= 2 && w.now-n.outSince >= 3*protocol.Second:
			n.outOfRotation = false
		}
	}
}

// nodeForUser returns the node for the next query of a job's user: by round-robin or, with
// stickyUsers, the node that the user is connected to while the connection lasts.
func (w *World) nodeForUser(j *userJob) *node {
	if !w.stickyUsers {
		return w.nextReachableNode()
	}
	if n := j.connectedNode; n != nil && w.reachable(n) && (!n.outOfRotation || w.now-n.outSince < 5*protocol.Second) {
		return n
	}
	j.connectedNode = w.nextReachableNode()
	return j.connectedNode
}
