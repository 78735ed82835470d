// Package state is a leader's view of the cluster: jobs with their tasks and attempts, hosts,
// and what each team uses. It keeps these consistent with each other and decides nothing.
//
// Jobs, hosts and attempts are state machines. Job.SetState, Host.SetState and
// Cluster.SetAttemptState are the only places where their states change; a transition that
// does not exist is a fault of the program and panics.
//
// All of it belongs to the goroutine that calls controller.Step. Instants are microseconds of
// the steady clock, unless a name ends with Wall: those are times of day.
package state

import "mapleslip/internal/protocol"

type micros = protocol.Micros
