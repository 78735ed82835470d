// Package state contains a leader's view of the cluster: jobs with their tasks and attempts,
// hosts, and the resources that each team uses. It keeps these consistent with each other and
// makes no decisions.
//
// Jobs, hosts and attempts are state machines. Only Job.SetState, Host.SetState and
// Cluster.SetAttemptState change their states; they panic on a transition that does not exist,
// since that is a bug in the program.
//
// All state belongs to the goroutine that calls controller.Step. Times are microseconds of the
// steady clock, except those whose names end with Wall, which are times of day.
package state

import "mapleslip/internal/protocol"

type micros = protocol.Micros
