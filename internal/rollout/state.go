// Package rollout replaces the instances of a service by those of a new version in stages, and
// reverts to the old version if the new instances fail their checks.
//
// It is a state machine without I/O: Manager.Step takes an event and returns effects, which the
// leader of the cluster carries out (internal/controller). The instances of a version are tasks of
// ordinary daemon jobs, and a roll-out only submits and cancels such jobs. Each step of a roll-out
// is in its durable record before it is carried out.
package rollout

import (
	"fmt"
	"slices"

	"mapleslip/internal/protocol"
)

type micros = protocol.Micros

// State is the state of a roll-out.
type State uint8

// States of a roll-out.
const (
	Planned   State = iota // recorded; the existing instances get their first checks
	Staging                // instances of the new version are added, up to the number of the stage
	Checking               // the new instances have to pass their checks
	Soaking                // the new instances passed, and have to stay healthy for the soak time
	Promoting              // the old instances that the stage replaces are removed
	Paused                 // nothing is added or removed until an operator resumes or reverts
	Reverting              // the old instances are restored, the new ones are removed
	Done                   // all instances are of the new version
	Reverted               // all instances are of the old version again
	Failed                 // a user cancelled all jobs of the service
	Idle                   // the service has had no roll-out
)

var stateNames = [...]string{"planned", "staging", "checking", "soaking", "promoting", "paused", "reverting", "done", "reverted", "failed", "idle"}

func (s State) String() string { return stateNames[s] }

// Ended reports whether a roll-out in this state has ended.
func (s State) Ended() bool { return s >= Done }

// forward reports whether a roll-out in this state proceeds to the new version.
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

// setState is the only place where the state of a roll-out changes. It panics if there is no such
// transition.
func (r *Record) setState(s State, reason string) {
	if !slices.Contains(transitions[r.State], s) {
		panic(fmt.Sprintf("roll-out %s: no way from %v to %v", r.Service, r.State, s))
	}
	if s == Paused {
		r.PausedIn = r.State
	}
	r.State, r.Reason = s, reason
}

func parseState(name string) (State, bool) {
	i := slices.Index(stateNames[:], name)
	return State(max(i, 0)), i >= 0
}
