package state

import (
	"fmt"
	"slices"

	"mapleslip/internal/protocol"
)

// JobState is where a job is in its life.
type JobState uint8

// States of a job.
const (
	JobActive          JobState = iota // accepted, tasks wait or run
	JobCancelling                      // its user asked to cancel; tasks are being stopped, nobody was told yet
	JobCancelledLegacy                 // an earlier version told its user while tasks may still be on hosts
	JobFinishing                       // all tasks are done, the final record is on its way
	JobDone                            // the final record is durable
	JobClosed                          // cancelled and no task is left
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

// TaskState is where a task is, apart from its attempts.
type TaskState uint8

// States of a task.
const (
	TaskQueued TaskState = iota // waits for a place
	TaskPlaced                  // has an attempt
	TaskDone                    // completed
)

// Task is one task of a job.
type Task struct {
	State          TaskState
	Durable        bool     // its completion is in the state service, or needs no record
	Current        *Attempt // that it is placed with, or nil
	ActiveAttempts int32    // attempts that may be on some host
	NotBefore      micros   // it is not placed before
}

// Job is an accepted job.
type Job struct {
	Spec     *protocol.JobSpec
	State    JobState
	Priority protocol.Priority // its own, or the highest of the jobs that depend on it

	LeaderEpoch uint64 // of the leader that recorded it, 0: another controller did
	Revision    uint64 // of its record

	SubmittedWall micros // time of day
	Submitted     micros
	EligibleAt    micros // since when it may start: its submission, or the end of its last dependency
	FirstStart    micros

	Tasks           []Task
	CompletedTasks  int
	QueuedTasks     int // that wait for a place
	FirstQueuedTask int // no task before it waits for a place
	RunningTasks    int
	AttemptCount    int // attempts that may be on some host, or are assigned

	Gang         Gang
	Dependencies Dependencies
	Cancellation Cancellation
	Booking      Booking
	Preemption   Preemption
	Failures     Failures
	Objectives   Objectives

	FinalWriteInFlight bool           // cancelled, and its final record is on its way
	ChunkRevisions     map[int]uint64 // revisions of its records of completions

	activeAttempts map[*Attempt]struct{}
}

// Gang is the attempt of a gang that is forming or running. Its tasks find each other by its
// number.
type Gang struct {
	Attempt uint64 // 0: there is none
	Started bool   // tasks of it have run
}

// Dependencies is how the jobs stand that a job depends on.
type Dependencies struct {
	Unmet             []string // those that are not known to be done
	Uncertain         bool     // one of them may be durably cancelled without this leader knowing it
	Cancelled         bool     // one of them is durably cancelled: so is this job
	InheritedDeadline micros   // when the job has to be done for a dependent one to meet its deadline, 0: none
}

// Cancellation is how the cancellation of a job stands.
type Cancellation struct {
	RequestedWall micros // time of day of the user's request, as recorded
	Persisted     bool   // the request is in the state service
	WriteInFlight bool   // or on its way there
	RetryAt       micros // it is not written before
}

// Booking is where and when a job was last planned to start.
type Booking struct {
	Start     micros // 0: none
	Persisted bool   // in the state service
	Places    []BookedPlace
	Zone      string // where a gang was last booked
	RetryAt   micros // no booking could meet the deadline: none is tried before
}

// BookedPlace is a place that a scheduling cycle planned for later.
type BookedPlace struct {
	Machine      string
	Begin, Ready micros
}

// Preemption is the room that was made for a job by preempting others.
type Preemption struct {
	Reservations  []Reservation
	ReservedUntil micros // some of the room is kept for the job until then
	RetryAt       micros // no room could be made: it is not tried before
}

// Reservation is a host on which room was made for one task, and until when the task waits
// for it.
type Reservation struct {
	Host  *Host
	Until micros
}

// Failures is what a job's failed attempts say of it.
type Failures struct {
	ByHost       map[string]int
	Suspect      bool   // it fails wherever it is tried, and nothing shows that it can run
	Backoffs     int    // how often it was held back for that
	BackoffUntil micros // nothing of it is placed before
}

// Objectives tells which service-level objectives a job has been counted for.
type Objectives struct {
	Counted      bool
	StartCounted bool // that of the largest jobs of a class
}

// NewJob makes a job from its specification. It is blocked if it depends on others.
func NewJob(spec *protocol.JobSpec) *Job {
	j := &Job{Spec: spec, Priority: spec.Priority, Tasks: make([]Task, spec.Tasks), QueuedTasks: spec.Tasks}
	if len(spec.DependsOn) > 0 {
		j.State = JobBlocked
		j.Dependencies.Unmet = slices.Clone(spec.DependsOn)
	}
	return j
}

// SetState is the one place where a job changes its state.
func (j *Job) SetState(s JobState) {
	if !slices.Contains(jobTransitions[j.State], s) {
		panic(fmt.Sprintf("job %s: no transition from %v to %v", j.Spec.Ref, j.State, s))
	}
	j.State = s
}

// ActiveAttempts lists the attempts that are not certainly gone, in their order.
func (j *Job) ActiveAttempts() []*Attempt {
	list := make([]*Attempt, 0, len(j.activeAttempts))
	for a := range j.activeAttempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *Attempt) int { return a.compareName(b.Name) })
	return list
}

// NoActiveAttempts reports whether no attempt of the job can be on a host.
func (j *Job) NoActiveAttempts() bool { return j.AttemptCount == 0 }

// Complete marks a task as done. durable tells that its completion is recorded already.
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

// CompletedNotDurable lists the completed tasks of a range that no record has yet.
func (j *Job) CompletedNotDurable(from, to int) []int {
	var list []int
	for i := from; i < min(to, len(j.Tasks)); i++ {
		if j.Tasks[i].State == TaskDone && !j.Tasks[i].Durable {
			list = append(list, i)
		}
	}
	return list
}

// SetChunkRevision notes the revision of a record of completions, 0: there is none.
func (j *Job) SetChunkRevision(chunk int, revision uint64) {
	if j.ChunkRevisions == nil {
		j.ChunkRevisions = make(map[int]uint64)
	}
	j.ChunkRevisions[chunk] = revision
}
