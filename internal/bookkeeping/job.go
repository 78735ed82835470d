// Package bookkeeping keeps jobs, tasks, hosts and the use of teams, and their
// durable records. It decides nothing.
package bookkeeping

import (
	"fmt"

	"mapleslip/internal/protocol"
)

type micros = protocol.Micros

// JobState is where a job is in its life.
type JobState uint8

// States of a job.
const (
	JobLive       JobState = iota // accepted, tasks wait or run
	JobCancelling                 // its user asked to cancel, the record is on its way
	JobCancelled                  // durable and told, tasks may still be on hosts
	JobFinishing                  // all tasks are done, the record is on its way
	JobDone                       // durable and told
	JobClosed                     // cancelled and no task is left
)

func (s JobState) String() string {
	return [...]string{"live", "cancelling", "cancelled", "finishing", "done", "closed"}[s]
}

var jobMoves = map[JobState][]JobState{
	JobLive:       {JobCancelling, JobFinishing, JobCancelled},
	JobCancelling: {JobCancelled},
	JobCancelled:  {JobClosed},
	JobFinishing:  {JobDone, JobCancelled},
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
	State     TaskState
	Durable   bool // completion is in the state service, or needs no record
	Current   *Attempt
	Live      int32 // attempts that may be on some host
	NotBefore micros
}

// Job is an accepted job.
type Job struct {
	Spec          *protocol.JobSpec
	State         JobState
	Epoch         uint64 // of the leader that recorded it, 0 for another node
	Stamp         uint64 // of its record
	SubmittedWall micros
	Submitted     micros
	Tasks         []Task
	Done          int
	Queued        int // tasks that wait for a place
	Attempts      int // attempts that may be on some host, or are assigned
	Running       int
	GangAttempt   uint64 // the attempt of the gang being formed or running
	GangStarted   bool   // tasks of that attempt have run
	Booked        micros // start of its booking, 0: none
	BookingKept   bool   // the booking is in the state service
	Failures      map[string]int
	Held          micros // not placed before, after failures
	Chunks        map[int]bool
	FirstStart    micros
	RoomOn        string // host on which room was made for it
	RoomUntil     micros
}

// NewJob makes a job from its specification.
func NewJob(spec *protocol.JobSpec) *Job {
	return &Job{Spec: spec, Tasks: make([]Task, spec.Tasks), Queued: spec.Tasks}
}

// To is the one place where a job changes its state.
func (j *Job) To(s JobState) {
	for _, ok := range jobMoves[j.State] {
		if ok == s {
			j.State = s
			return
		}
	}
	panic(fmt.Sprintf("job %s: no way from %v to %v", j.Spec.Ref, j.State, s))
}

// AttemptState is where an attempt is.
type AttemptState uint8

// States of an attempt.
const (
	AttemptNew      AttemptState = iota
	AttemptAssigned              // has a place, no launch has left
	AttemptLaunched              // a launch has left, the host may have it
	AttemptFetching
	AttemptWaiting
	AttemptRunning
	AttemptSaving
	AttemptExited // ended, the host still reports it
	AttemptGone   // certainly on no host
)

func (s AttemptState) String() string {
	return [...]string{"new", "assigned", "launched", "fetching", "waiting", "running", "saving", "exited", "gone"}[s]
}

// Occupies reports whether the attempt takes room on its host.
func (s AttemptState) Occupies() bool { return s >= AttemptAssigned && s <= AttemptSaving }

// MayRun reports whether the attempt may be on its host.
func (s AttemptState) MayRun() bool { return s >= AttemptLaunched && s <= AttemptSaving }

// Attempt is one start of a task on a host.
type Attempt struct {
	Name          protocol.AttemptName
	Job           *Job // nil: of no job known
	Host          *Host
	State         AttemptState
	SentSession   uint64 // the report answered with the launch
	SentTick      uint64
	Since         micros // of the state
	Placed        micros
	Started       micros // when it was first seen running
	Stop          bool
	StopGrace     micros
	StopAt        micros // when the stop first left
	Reason        protocol.ExitReason
	Doubt         bool // a direct launch was not answered: it may be executed at any time
	ViaReport     bool // the launch left with the answer to a report
	Adopted       bool
	ExpectedReady micros
}

// Task is the attempt's task, or nil.
func (a *Attempt) Task() *Task {
	if a.Job == nil || a.Name.Index >= len(a.Job.Tasks) {
		return nil
	}
	return &a.Job.Tasks[a.Name.Index]
}

// Book is all that a leader knows of jobs, hosts and teams.
type Book struct {
	Jobs  map[string]*Job
	Hosts map[string]*Host
	Used  map[string]protocol.Resources // by team, all that may be on hosts
}

// NewBook makes an empty book.
func NewBook() *Book {
	return &Book{Jobs: make(map[string]*Job), Hosts: make(map[string]*Host), Used: make(map[string]protocol.Resources)}
}

// Attach makes an attempt of a task on a host. The job may be unknown.
func (b *Book) Attach(now micros, j *Job, h *Host, name protocol.AttemptName) *Attempt {
	a := &Attempt{Name: name, Job: j, Host: h, Since: now, Placed: now}
	h.Attempts[name] = a
	if t := a.Task(); t != nil && t.State == TaskQueued && t.Current == nil {
		t.Current = a
		t.State = TaskPlaced
		j.Queued--
	}
	return a
}

// Move is the one place where an attempt changes its state. It keeps the
// counts of its task, job and team.
func (b *Book) Move(now micros, a *Attempt, to AttemptState) {
	from := a.State
	if from == to {
		return
	}
	if from == AttemptGone || (from == AttemptExited && to != AttemptGone) {
		panic(fmt.Sprintf("attempt %v: no way from %v to %v", a.Name, from, to))
	}
	a.State, a.Since = to, now
	if j := a.Job; j != nil {
		if was, is := from.Occupies(), to.Occupies(); was != is {
			d := int64(-1)
			if is {
				d = 1
			}
			b.Used[j.Spec.Team] = b.Used[j.Spec.Team].Add(j.Spec.Need, d)
			j.Attempts += int(d)
		}
		if t := a.Task(); t != nil {
			if was, is := from.MayRun(), to.MayRun(); was != is {
				if is {
					t.Live++
				} else {
					t.Live--
				}
			}
			if t.Current == a && !to.Occupies() {
				t.Current = nil
				if t.State == TaskPlaced {
					t.State = TaskQueued
					j.Queued++
				}
			}
		}
		if from == AttemptRunning {
			j.Running--
		}
		if to == AttemptRunning {
			j.Running++
			if a.Started == 0 {
				a.Started = now
			}
			if j.FirstStart == 0 {
				j.FirstStart = now
			}
		}
	}
	if to == AttemptGone {
		delete(a.Host.Attempts, a.Name)
	}
}

// Complete marks a task as done.
func (j *Job) Complete(i int, durable bool) {
	t := &j.Tasks[i]
	if t.State == TaskDone {
		return
	}
	if t.State == TaskQueued {
		j.Queued--
	}
	t.State = TaskDone
	t.Durable = durable
	j.Done++
}

// Settled reports whether no attempt of the job can be on a host.
func (j *Job) Settled() bool { return j.Attempts == 0 }
