package main

import "mapleslip/internal/controller"

// sockets is how the connections that a process may have are divided.
type sockets struct {
	inbound                               int // of users, workers, health checks and other controllers
	state, cloud, peers, perPeer, workers int // outbound, at the most
	instances                             int // of checks, 0 where roll-outs are off
	free                                  int // held back, so that accepting never meets the limit
}

// Needs of outbound calls. A leader keeps a bounded number of calls to workers on their
// way, however many there are; what is kept beyond that only saves it a handshake.
const (
	stateCalls = 64
	cloudCalls = 24                      // of seconds each, at a few a second
	peerCalls  = controller.MaxPeerCalls // to each other controller: users' calls and reports that are passed on
	checkCalls = 64
	sparePart  = 20 // one in so many is held back
)

// planSockets divides them: outbound calls get what they need, at most half of all
// together, and whatever is left is for those who come in. With a fourth for outbound
// calls, whatever they needed, a fleet half as large again as himal-members-fleet had
// 2,110 workers for 1,977 connections.
func planSockets(most, siblings int, rollouts bool) sockets {
	s := sockets{state: stateCalls, cloud: cloudCalls, perPeer: peerCalls, workers: controller.MaxWorkerCalls * 5 / 4}
	if rollouts {
		s.instances = checkCalls
	}
	s.peers = s.perPeer * min(max(1, siblings), 6)
	s.free = max(8, most/sparePart)
	if sum := s.outbound(); sum > (most-s.free)/2 {
		// Too few for that: each gets its part of a half.
		part := func(n int) int { return max(2, n*(most-s.free)/2/sum) }
		s.state, s.cloud, s.peers, s.workers = part(s.state), part(s.cloud), part(s.peers), part(s.workers)
		s.perPeer = min(s.perPeer, s.peers)
		if rollouts {
			s.instances = part(s.instances)
		}
	}
	s.inbound = max(8, most-s.free-s.outbound())
	return s
}

func (s *sockets) outbound() int { return s.state + s.cloud + s.peers + s.workers + s.instances }
