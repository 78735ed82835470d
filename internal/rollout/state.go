// Package rollout replaces the instances of a service by those of a new version,
// in stages, and takes the new ones back when they fail their checks.
//
// It is a state machine without I/O: Step takes an event and returns effects. The
// leader of the cluster drives it (internal/controller). A version's instances
// are tasks of ordinary daemon jobs, and all that a roll-out does to them is to
// submit and to cancel jobs. Whatever it does is in its durable record before.
package rollout

import (
	"fmt"
	"slices"

	"mapleslip/internal/protocol"
)

type micros = protocol.Micros

// State is where a roll-out is.
type State uint8

// States of a roll-out.
const (
	Planned   State = iota // recorded; the instances there are get their first checks
	Staging                // instances of the new version are added, up to the stage's number
	Checking               // they have to pass their checks
	Soaking                // they passed, and have to stay healthy for the soak time
	Promoting              // as many of the old version are taken away
	Paused                 // nothing is added or taken away until an operator says so
	Reverting              // the old version's instances come back, the new ones go
	Done                   // all instances are the new version's
	Reverted               // all instances are the old version's again
	Failed                 // the service was cancelled by its user: there is nothing to go on with
	Idle                   // of a service: no roll-out
)

var stateNames = [...]string{"planned", "staging", "checking", "soaking", "promoting", "paused", "reverting", "done", "reverted", "failed", "idle"}

func (s State) String() string { return stateNames[s] }

// Ended reports whether nothing more is done in a state.
func (s State) Ended() bool { return s >= Done }

// forward reports whether a state leads to the new version.
func (s State) forward() bool { return s <= Promoting }

var transitions = map[State][]State{
	Planned:   {Staging, Paused, Reverting, Failed},
	Staging:   {Checking, Paused, Reverting, Failed},
	Checking:  {Soaking, Staging, Paused, Reverting, Failed},
	Soaking:   {Promoting, Checking, Paused, Reverting, Failed},
	Promoting: {Staging, Checking, Done, Paused, Reverting, Failed},
	Paused:    {Planned, Staging, Checking, Soaking, Promoting, Reverting, Failed},
	Reverting: {Reverted, Paused, Failed},
	Done:      {Planned},
	Reverted:  {Planned},
	Failed:    {Planned},
	Idle:      {Planned},
}

// setState is the one place where a roll-out changes its state.
func (r *Record) setState(s State, reason string) {
	if !slices.Contains(transitions[r.State], s) {
		panic(fmt.Sprintf("roll-out %s: no way from %v to %v", r.Service, r.State, s))
	}
	if s == Paused {
		r.PausedIn = r.State
	}
	r.State, r.Reason = s, reason
}

func stateNamed(name string) (State, bool) {
	i := slices.Index(stateNames[:], name)
	return State(max(i, 0)), i >= 0
}
