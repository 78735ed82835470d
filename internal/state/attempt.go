package state

import (
	"cmp"
	"strings"

	"mapleslip/internal/protocol"
)

// AttemptState is the state of an attempt as the leader tracks it.
type AttemptState uint8

// States of an attempt.
const (
	AttemptNew           AttemptState = iota
	AttemptAssigned                   // assigned to a host, no launch has been sent
	AttemptLaunched                   // a launch has been sent, the worker may have received it
	AttemptFetching                   // the host fetches its image
	AttemptWaiting                    // waits for the other tasks of its gang
	AttemptRunning                    // makes progress
	AttemptCheckpointing              // is being stopped and saves its progress
	AttemptExited                     // has ended, its worker still reports it
	AttemptGone                       // is certainly on no host
)

func (s AttemptState) String() string {
	return [...]string{"new", "assigned", "launched", "fetching", "waiting", "running", "checkpointing", "exited", "gone"}[s]
}

// HoldsResources reports whether an attempt in this state takes resources of its host.
func (s AttemptState) HoldsResources() bool { return s >= AttemptAssigned && s <= AttemptCheckpointing }

// MayRun reports whether an attempt in this state may be on its host: a launch has been sent, and
// no end of the attempt is known.
func (s AttemptState) MayRun() bool { return s >= AttemptLaunched && s <= AttemptCheckpointing }

// Attempt is one start of a task on a host.
type Attempt struct {
	Name       protocol.AttemptName
	Job        *Job // nil if the job is not known
	Host       *Host
	State      AttemptState
	StateSince micros
	PlacedAt   micros
	StartedAt  micros // time of the first heartbeat that reported it as running, 0 before

	ExpectedReady micros // when its image should be in the host's cache

	// Epoch and sequence number of the worker's heartbeat that was answered with the launch, or
	// of the last one before a direct launch was sent. 0 if an earlier leader sent the launch
	// and no heartbeat has shown the agent epoch.
	LaunchAgentEpoch    uint64
	LaunchSequence      uint64
	LaunchedByHeartbeat bool   // the launch was sent in the answer to a heartbeat
	LaunchUncertain     bool   // a direct launch is unanswered and may be executed at any time
	Recorded            bool   // its launch is in the state service; the launch is not sent before
	Adopted             bool   // an earlier leader launched it
	LastHeartbeat       uint64 // Agent.HeartbeatCount of the host's last heartbeat that listed it

	StopRequested bool
	StopGrace     micros // time to save its progress after the stop
	StopSentAt    micros // when the stop was first sent, 0 before
	ExitReason    protocol.ExitReason
}

// Task returns the attempt's task, or nil if the job is not known or has no task of that index.
func (a *Attempt) Task() *Task {
	if a.Job == nil || a.Name.Index >= len(a.Job.Tasks) {
		return nil
	}
	return &a.Job.Tasks[a.Name.Index]
}

// IsLaunchedOnce reports whether the attempt's name stands for one launch only, so that any
// heartbeat that lists the name describes this attempt, however old it is.
func (a *Attempt) IsLaunchedOnce() bool {
	return a.Job.LaunchesNamesOnce()
}

// compareName compares the attempt's name with another one. Lists of attempts are sorted by task
// index, attempt number and job.
func (a *Attempt) compareName(name protocol.AttemptName) int {
	return cmp.Or(
		cmp.Compare(a.Name.Index, name.Index),
		cmp.Compare(a.Name.Number, name.Number),
		strings.Compare(a.Name.Job, name.Job),
	)
}
