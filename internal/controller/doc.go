// Package controller is one controller of a deployment. The leader accepts jobs, plans, sends
// commands to workers and scales the deployment; the other controllers forward to it and serve
// users from the state service while it can't be reached.
//
// A Controller is an event loop without I/O: Step takes one event with its time, changes the
// state, and returns the effects to be carried out. All state belongs to the one goroutine
// that calls Step. Step's cost does not grow with the number of hosts or jobs; what needs a
// look at all of them is done on ticks, in bounded steps.
//
// # Components
//
// The state is divided between components, each a type in a file of its own that says which
// others it works with. Those of Controller live as long as the process: the election, the
// membership, the gateways for users and workers, submissions, the configuration, feature
// levels and roll-outs. Those of leaderTerm live for one term of leadership, an epoch: the
// jobs, the hosts, the scheduler, the autoscaler and the records. A term is dropped when the
// lease on leadership is lost, and its callbacks check ended before they change anything.
//
// docs/ARCHITECTURE.md shows how a request, a heartbeat, a failover and a change of the
// configuration go through them.
package controller

import "mapleslip/internal/protocol"

type (
	micros  = protocol.Micros
	instant = protocol.Now
)
