// Package controller implements one controller of a deployment. The leader accepts jobs, plans,
// sends commands to workers and scales the deployment. The other controllers forward requests to
// the leader and, while the leader can't be reached, serve users from the state service.
//
// A Controller is an event loop without I/O: Step takes one event with its time, changes the
// state, and returns the effects that the driver has to carry out. All state belongs to the one
// goroutine that calls Step. The cost of Step does not grow with the number of hosts or jobs:
// work that visits all of them runs on ticks, in bounded steps.
//
// # Components
//
// The state is divided between components. Each component is a type in a file of its own, with
// fields for the other components that it uses. The components of Controller live as long as
// the process: the election, the membership, the gateways for users and workers, submissions,
// the configuration, feature levels and roll-outs. The components of leaderTerm live for one
// term of leadership, an epoch: the jobs, the hosts, the scheduler, the autoscaler and the
// records. A term is discarded when the lease on leadership is lost; its callbacks check ended
// before they change anything.
//
// docs/ARCHITECTURE.md shows how the components handle a request, a heartbeat, a failover and a
// change of the configuration.
package controller

import "mapleslip/internal/protocol"

type (
	micros  = protocol.Micros
	instant = protocol.Now
)
