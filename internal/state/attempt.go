package state

import (
	"cmp"
	"strings"

	"mapleslip/internal/protocol"
)

// AttemptState is where an attempt is.
type AttemptState uint8

// States of an attempt.
const (
	AttemptNew           AttemptState = iota
	AttemptAssigned                   // has a place, no launch has been sent
	AttemptLaunched                   // a launch has been sent, the host may have it
	AttemptFetching                   // waits for its image
	AttemptWaiting                    // waits for the other tasks of its gang
	AttemptRunning                    // makes progress
	AttemptCheckpointing              // was told to stop and saves its progress
	AttemptExited                     // ended, the host still reports it
	AttemptGone                       // certainly on no host
)

func (s AttemptState) String() string {
	return [...]string{"new", "assigned", "launched", "fetching", "waiting", "running", "checkpointing", "exited", "gone"}[s]
}

// HoldsResources reports whether the attempt takes resources of its host.
func (s AttemptState) HoldsResources() bool { return s >= AttemptAssigned && s <= AttemptCheckpointing }

// MayRun reports whether the attempt may be on its host.
func (s AttemptState) MayRun() bool { return s >= AttemptLaunched && s <= AttemptCheckpointing }

// Attempt is one start of a task on a host.
type Attempt struct {
	Name       protocol.AttemptName
	Job        *Job // nil: the job is not known
	Host       *Host
	State      AttemptState
	StateSince micros
	PlacedAt   micros
	StartedAt  micros // when it was first seen running

	ExpectedReady micros // when its image should be there

	// The heartbeat that was answered with the launch, or after which it was sent.
	LaunchAgentEpoch    uint64
	LaunchSequence      uint64
	LaunchedByHeartbeat bool   // the launch left with the answer to a heartbeat
	LaunchUncertain     bool   // a direct launch was not answered: it may be executed at any time
	Recorded            bool   // its launch is in the state service; it is not sent before
	Adopted             bool   // an earlier leader started it
	LastHeartbeat       uint64 // the host's heartbeat that listed it last

	StopRequested bool
	StopGrace     micros
	StopSentAt    micros // when the stop was first sent
	ExitReason    protocol.ExitReason
}

// Task is the attempt's task, or nil if its job is not known.
func (a *Attempt) Task() *Task {
	if a.Job == nil || a.Name.Index >= len(a.Job.Tasks) {
		return nil
	}
	return &a.Job.Tasks[a.Name.Index]
}

// compareName is the order in which attempts are kept.
func (a *Attempt) compareName(name protocol.AttemptName) int {
	return cmp.Or(
		cmp.Compare(a.Name.Index, name.Index),
		cmp.Compare(a.Name.Number, name.Number),
		strings.Compare(a.Name.Job, name.Job),
	)
}
