package main

import "mapleslip/internal/controller"

// socketPlan divides the connections that a process may have open among their uses.
type socketPlan struct {
	// inbound connections come from users, workers, health checks and other controllers.
	inbound int
	// state, cloud, peers and workers are the maximum numbers of outbound connections of each kind,
	// perPeer is the maximum to each other controller.
	state, cloud, peers, perPeer, workers int
	// instances is the maximum for health checks of instances, 0 if roll-outs are disabled.
	instances int
	// reserved connections are assigned to no use, so that accepting one never reaches the limit.
	reserved int
}

// Numbers of connections for outbound calls. A leader has a bounded number of concurrent calls to
// workers, whatever the number of workers; connections beyond that only save handshakes.
const (
	maxStateCalls   = 64
	maxCloudCalls   = 24                      // a call takes seconds, and a few are made per second
	maxPeerCalls    = controller.MaxPeerCalls // per controller: forwarded requests and heartbeats
	maxCheckCalls   = 64
	reservedDivisor = 20 // one in this many connections is reserved
)

// planSockets divides maxConnections. Outbound calls get the connections that they need, at most
// half of those that are not reserved; all others are for inbound connections. When a quarter was
// set aside for outbound calls regardless of need, a fleet 1.5 times the size of
// himal-members-fleet had 2,110 workers but only 1,977 inbound connections.
func planSockets(maxConnections, peerCount int, rollouts bool) socketPlan {
	s := socketPlan{state: maxStateCalls, cloud: maxCloudCalls, perPeer: maxPeerCalls, workers: controller.MaxWorkerCalls * 5 / 4}
	if rollouts {
		s.instances = maxCheckCalls
	}
	s.peers = s.perPeer * min(max(1, peerCount), 6)
	s.reserved = max(8, maxConnections/reservedDivisor)
	if sum := s.outbound(); sum > (maxConnections-s.reserved)/2 {
		// The outbound calls need more than half: scale each down in proportion.
		scaled := func(n int) int { return max(2, n*(maxConnections-s.reserved)/2/sum) }
		s.state, s.cloud, s.peers, s.workers = scaled(s.state), scaled(s.cloud), scaled(s.peers), scaled(s.workers)
		s.perPeer = min(s.perPeer, s.peers)
		if rollouts {
			s.instances = scaled(s.instances)
		}
	}
	s.inbound = max(8, maxConnections-s.reserved-s.outbound())
	return s
}

func (s *socketPlan) outbound() int { return s.state + s.cloud + s.peers + s.workers + s.instances }
