package state

import (
	"fmt"
	"slices"

	"mapleslip/internal/protocol"
)

// JobState is the state of a job in its life cycle.
type JobState uint8

// States of a job.
const (
	JobActive          JobState = iota // accepted, its tasks are queued or running
	JobCancelling                      // cancel requested, not confirmed until no task is left
	JobCancelledLegacy                 // an earlier version confirmed it, tasks may be on hosts
	JobFinishing                       // all tasks are done, the final record is being written
	JobDone                            // the final record is durable
	JobClosed                          // cancelled, and no task is on any host
	JobBlocked                         // accepted, depends on jobs that are not known to be done
)

func (s JobState) String() string {
	return [...]string{"active", "cancelling", "cancelled by an earlier version", "finishing", "done", "closed", "blocked"}[s]
}

var jobTransitions = map[JobState][]JobState{
	JobActive:          {JobCancelling, JobFinishing, JobCancelledLegacy},
	JobCancelling:      {JobClosed, JobDone},
	JobCancelledLegacy: {JobClosed},
	JobFinishing:       {JobDone, JobCancelledLegacy},
	JobBlocked:         {JobActive, JobCancelling},
}

// TaskState is the state of a task, apart from the states of its attempts.
type TaskState uint8

// States of a task.
const (
	TaskQueued TaskState = iota // waits to be placed on a host
	TaskPlaced                  // has a current attempt
	TaskDone                    // completed
)

// Task is one task of a job.
type Task struct {
	State          TaskState
	Durable        bool     // its completion is in the state service, or needs no record
	Current        *Attempt // the attempt that the task is placed with, nil if it is not placed
	ActiveAttempts int32    // number of its attempts that may be on a host
	NotBefore      micros   // the task is not placed before
}

// Job is an accepted job.
type Job struct {
	Spec     *protocol.JobSpec
	State    JobState
	Priority protocol.Priority // the highest of its own and those of the jobs that depend on it

	LeaderEpoch uint64 // epoch of the leader that recorded the job, 0 if a follower recorded it
	Revision    uint64 // revision of its record

	SubmittedWall micros // time of day
	Submitted     micros
	EligibleAt    micros // time of its submission, or of the end of its last dependency
	FirstStart    micros // when a task was first seen running, 0 if none was

	Tasks           []Task
	CompletedTasks  int
	QueuedTasks     int // number of tasks in state TaskQueued
	FirstQueuedTask int // no task of a lower index is queued
	RunningTasks    int
	AttemptCount    int // attempts that are assigned to a host or may be on one

	Gang         Gang
	Dependencies Dependencies
	Cancellation Cancellation
	Booking      Booking
	Preemption   Preemption
	Failures     Failures
	Objectives   Objectives

	FinalWriteInFlight bool           // cancelled, and its final record is being written
	ChunkRevisions     map[int]uint64 // revisions of its completion records, by chunk

	activeAttempts map[*Attempt]struct{}
}

// Gang is the current attempt of a gang, whose tasks start together. All of them have the same
// attempt number, by which they find each other.
type Gang struct {
	Attempt uint64 // attempt number, 0 if the gang has no attempt
	Started bool   // tasks of this attempt have run
}

// Dependencies is the state of the jobs that a job depends on.
type Dependencies struct {
	Unmet             []string // refs of the dependencies that are not known to be done
	Uncertain         bool     // a dependency may be durably cancelled, unknown to this leader
	Cancelled         bool     // a dependency is durably cancelled, which cancels this job too
	InheritedDeadline micros   // latest end for dependent jobs to meet their deadlines, 0 if none
}

// Cancellation is the state of a user's request to cancel a job.
type Cancellation struct {
	RequestedWall micros // time of day of the request, as recorded
	Persisted     bool   // the request is in the state service, or can't be written
	WriteInFlight bool   // the request is being written, or the revision of the job's record read
	RetryAt       micros // the request is not written before
}

// Booking contains the places and the time at which a job was last planned to start.
type Booking struct {
	Start     micros // 0 if the job has never been booked
	Persisted bool   // the start is in the state service, or is being written
	Places    []BookedPlace
	Zone      string // zone of the last booking, preferred for single-zone gangs
	RetryAt   micros // no booking is tried before, as the last one was too late
}

// BookedPlace is a place on a machine that a scheduling cycle booked for a later start.
type BookedPlace struct {
	Machine      string
	Begin, Ready micros // when the place is taken, and when the task's image is there
}

// Preemption is the room that was made for a job by preempting tasks of other jobs.
type Preemption struct {
	Reservations  []Reservation
	ReservedUntil micros // the room is reserved for the job until then
	RetryAt       micros // preemption is not tried before, since it could not make room
}

// Reservation is a host on which tasks were preempted to make room for one task, which waits
// for that room until a time.
type Reservation struct {
	Host  *Host
	Until micros
}

// Failures summarizes the failed attempts of a job.
type Failures struct {
	ByHost       map[string]HostFailures
	Suspect      bool   // it has failed on several hosts, and nothing shows that it can run
	Backoffs     int    // number of backoffs since it became suspect
	BackoffUntil micros // no task of the job is placed before
}

// HostFailures summarizes the failed attempts of a job on one host.
type HostFailures struct {
	Count         int
	ExcludedUntil micros // no task of the job is placed on the host before
}

// Objectives contains the service-level objectives for which a job has been counted, or need not
// be.
type Objectives struct {
	Counted      bool // the objective of its class, and its team's
	StartCounted bool // the objective on the start of the largest jobs of a class
}

// NewJob returns a job of a specification. It is blocked if it depends on other jobs.
func NewJob(spec *protocol.JobSpec) *Job {
	j := &Job{Spec: spec, Priority: spec.Priority, Tasks: make([]Task, spec.Tasks), QueuedTasks: spec.Tasks}
	if len(spec.DependsOn) > 0 {
		j.State = JobBlocked
		j.Dependencies.Unmet = slices.Clone(spec.DependsOn)
	}
	return j
}

// SetState changes the state of a job. It panics if that transition does not exist.
func (j *Job) SetState(s JobState) {
	if !slices.Contains(jobTransitions[j.State], s) {
		panic(fmt.Sprintf("job %s: no transition from %v to %v", j.Spec.Ref, j.State, s))
	}
	j.State = s
}

// ActiveAttempts returns the sorted attempts that are not known to be gone.
func (j *Job) ActiveAttempts() []*Attempt {
	list := make([]*Attempt, 0, len(j.activeAttempts))
	for a := range j.activeAttempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *Attempt) int { return a.compareName(b.Name) })
	return list
}

// NoActiveAttempts reports whether no attempt of the job is assigned to a host or may be on one.
func (j *Job) NoActiveAttempts() bool { return j.AttemptCount == 0 }

// LaunchesNamesOnce reports whether each attempt name of the job is used for one launch only. The
// tasks of a gang share a number, and a task that ends before the gang is complete is launched again
// under the same name. It returns false if the job is nil, that is, not known.
func (j *Job) LaunchesNamesOnce() bool { return j != nil && j.Spec.Kind != protocol.Gang }

// Complete marks a task as done. durable reports whether its completion is recorded already.
func (j *Job) Complete(index int, durable bool) {
	t := &j.Tasks[index]
	if t.State == TaskDone {
		return
	}
	if t.State == TaskQueued {
		j.QueuedTasks--
	}
	t.State = TaskDone
	t.Durable = durable
	j.CompletedTasks++
}

// CompletedNotDurable returns the indices in [from, to) of the completed tasks whose completions
// are not durable yet.
func (j *Job) CompletedNotDurable(from, to int) []int {
	var list []int
	for i := from; i < min(to, len(j.Tasks)); i++ {
		if j.Tasks[i].State == TaskDone && !j.Tasks[i].Durable {
			list = append(list, i)
		}
	}
	return list
}

// SetChunkRevision stores the revision of the completion record of a chunk, 0 if there is no
// record.
func (j *Job) SetChunkRevision(chunk int, revision uint64) {
	if j.ChunkRevisions == nil {
		j.ChunkRevisions = make(map[int]uint64)
	}
	j.ChunkRevisions[chunk] = revision
}
