// Package bookkeeping keeps jobs, tasks, hosts and the use of teams, and their
// durable records. It decides nothing.
package state

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strings"

	"mapleslip/internal/protocol"
)

type micros = protocol.Micros

// JobState is where a job is in its life.
type JobState uint8

// States of a job.
const (
	JobActive       JobState = iota // accepted, tasks wait or run
	JobCancelling                 // its user asked to cancel; tasks are being stopped, nobody was told yet
	JobCancelledLegacy                  // an earlier version told its user while tasks may still be on hosts
	JobFinishing                  // all tasks are done, the record is on its way
	JobDone                       // durable and told
	JobClosed                     // cancelled and no task is left
	JobBlocked                    // accepted, awaits jobs that are not known to be done
)

func (s JobState) String() string {
	return [...]string{"live", "cancelling", "cancelled", "finishing", "done", "closed", "waiting"}[s]
}

var jobTransitions = map[JobState][]JobState{
	JobActive:       {JobCancelling, JobFinishing, JobCancelledLegacy},
	JobCancelling: {JobClosed, JobDone},
	JobCancelledLegacy:  {JobClosed},
	JobFinishing:  {JobDone, JobCancelledLegacy},
	JobBlocked:    {JobActive, JobCancelling},
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
	ActiveAttempts      int32 // attempts that may be on some host
	NotBefore micros
}

// Job is an accepted job.
type Job struct {
	Spec          *protocol.JobSpec
	State         JobState
	LeaderEpoch         uint64 // of the leader that recorded it, 0 for another node
	Revision         uint64 // of its record
	SubmittedWall micros
	Submitted     micros
	EligibleAt          micros        // since when it may start: its submission, or the end of the last job that it awaits
	Priority          protocol.Priority // its own, or the highest of the jobs that need it
	InheritedDeadline      micros        // when it has to be done for one that needs it to meet its deadline, 0: none has one
	UnmetDependencies      []string      // jobs that it awaits and that are not known to be done
	DependencyUncertain        bool          // one of them, or one that they await, may be cancelled and durably so
	DependencyCancelled        bool          // one of them, or one that they await, is durably cancelled: so is this job
	CancelRequestedWall micros        // time of day at which its user asked to cancel it, as recorded
	Tasks         []Task
	CompletedTasks          int
	QueuedTasks        int // tasks that wait for a place
	AttemptCount      int // attempts that may be on some host, or are assigned
	RunningTasks       int
	GangAttempt   uint64         // the attempt of the gang being formed or running
	GangStarted   bool           // tasks of that attempt have run
	BookedStart        micros         // start of its booking, 0: none
	BookingPersisted   bool           // the booking is in the state service
	FailuresByHost      map[string]int // by host
	Suspect       bool           // fails wherever it is tried, nothing shows that it can run
	BackoffAttempts       int            // times it was held for that
	FinalWriteInFlight       bool           // cancelled, its record is being moved
	SLOCounted       bool           // as served in time or not
	StartSLOCounted  bool           // as begun in time or not, if it is one of its class's largest
	CancelPersisted       bool           // that its user asked to cancel is in the state service
	CancelWriteInFlight        bool           // or on its way there
	CancelRetryAt      micros         // it is not tried before
	BackoffUntil          micros         // not placed before, after failures
	ChunkRevisions        map[int]uint64 // stamps of its records of completions
	FirstStart    micros
	Reservations         []Reservation    // hosts on which room was made for it
	ReservedUntil     micros    // some of it is kept for the job until then
	Bookings        []Booking // planned by the last pass
	BookedZone          string    // where a gang was last booked
	PreemptionRetryAt   micros    // no room could be made for it, found lately
	BookingRetryAt micros    // no booking could meet its deadline, found lately
	FirstQueuedTask        int       // no task before it waits for a place
	activeAttempts            map[*Attempt]struct{}
}

// Booking is a place that a pass planned for later.
type Booking struct {
	Machine      string
	Begin, Ready micros
}

// Reservation is a host on which room was made for one task, and until when the task
// waits for it.
type Reservation struct {
	Host  *Host
	Until micros
}

// ActiveAttempts lists the job's attempts that are not certainly gone, in their order.
func (j *Job) ActiveAttempts() []*Attempt {
	list := make([]*Attempt, 0, len(j.activeAttempts))
	for a := range j.activeAttempts {
		list = append(list, a)
	}
	sort.Slice(list, func(x, y int) bool {
		return list[x].Name.Index < list[y].Name.Index || list[x].Name.Index == list[y].Name.Index && list[x].Name.Number < list[y].Name.Number
	})
	return list
}

// NewJob makes a job from its specification. It waits if it awaits others.
func NewJob(spec *protocol.JobSpec) *Job {
	j := &Job{Spec: spec, Priority: spec.Priority, Tasks: make([]Task, spec.Tasks), QueuedTasks: spec.Tasks}
	if len(spec.DependsOn) > 0 {
		j.State = JobBlocked
		j.UnmetDependencies = slices.Clone(spec.DependsOn)
	}
	return j
}

// SetState is the one place where a job changes its state.
func (j *Job) SetState(s JobState) {
	for _, ok := range jobTransitions[j.State] {
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
	AttemptCheckpointing
	AttemptExited // ended, the host still reports it
	AttemptGone   // certainly on no host
)

func (s AttemptState) String() string {
	return [...]string{"new", "assigned", "launched", "fetching", "waiting", "running", "saving", "exited", "gone"}[s]
}

// HoldsResources reports whether the attempt takes room on its host.
func (s AttemptState) HoldsResources() bool { return s >= AttemptAssigned && s <= AttemptCheckpointing }

// MayRun reports whether the attempt may be on its host.
func (s AttemptState) MayRun() bool { return s >= AttemptLaunched && s <= AttemptCheckpointing }

// Attempt is one start of a task on a host.
type Attempt struct {
	Name          protocol.AttemptName
	Job           *Job // nil: of no job known
	Host          *Host
	State         AttemptState
	LaunchAgentEpoch   uint64 // the report answered with the launch
	LaunchSequence      uint64
	StateSince         micros // of the state
	PlacedAt        micros
	StartedAt       micros // when it was first seen running
	StopRequested          bool
	StopGrace     micros
	StopSentAt        micros // when the stop first left
	ExitReason        protocol.ExitReason
	LaunchUncertain         bool // a direct launch was not answered: it may be executed at any time
	LaunchedByHeartbeat     bool // the launch left with the answer to a report
	Adopted       bool
	ExpectedReady micros
	Recorded      bool   // its launch is in the state service; it does not leave before
	LastHeartbeat          uint64 // the host's report that listed it last
}

// compareName is the order in which a host's attempts are kept.
func (a *Attempt) compareName(name protocol.AttemptName) int {
	return cmp.Or(cmp.Compare(a.Name.Index, name.Index), cmp.Compare(a.Name.Number, name.Number), strings.Compare(a.Name.Job, name.Job))
}

// Task is the attempt's task, or nil.
func (a *Attempt) Task() *Task {
	if a.Job == nil || a.Name.Index >= len(a.Job.Tasks) {
		return nil
	}
	return &a.Job.Tasks[a.Name.Index]
}

// Cluster is all that a leader knows of jobs, hosts and teams.
type Cluster struct {
	UsedByTeam    map[string]protocol.Resources // by team, all that may be on hosts
	jobs    map[string]*Job
	jobsInOrder    []*Job // by submission
	hosts   map[string]*Host
	hostsInOrder   []*Host               // by name
	unboundAttempts map[string][]*Attempt // of jobs that are not known, by job
}

// NewCluster makes an empty book.
func NewCluster() *Cluster {
	return &Cluster{
		jobs: make(map[string]*Job), hosts: make(map[string]*Host), UsedByTeam: make(map[string]protocol.Resources),
		unboundAttempts: make(map[string][]*Attempt),
	}
}

// Job finds a job, or nil.
func (b *Cluster) Job(ref string) *Job { return b.jobs[ref] }

// Jobs lists the jobs in the order of their submission.
func (b *Cluster) Jobs() []*Job { return b.jobsInOrder }

// AddJob takes a job into the book.
func (b *Cluster) AddJob(j *Job) {
	b.jobs[j.Spec.Ref] = j
	i := sort.Search(len(b.jobsInOrder), func(i int) bool {
		o := b.jobsInOrder[i]
		return o.Submitted > j.Submitted || o.Submitted == j.Submitted && o.Spec.Ref > j.Spec.Ref
	})
	b.jobsInOrder = slices.Insert(b.jobsInOrder, i, j)
}

// RemoveJobs lets go of jobs. What hosts still report of them is of no job.
func (b *Cluster) RemoveJobs(list []*Job) {
	if len(list) == 0 {
		return
	}
	for _, j := range list {
		delete(b.jobs, j.Spec.Ref)
		for a := range j.activeAttempts {
			a.Job = nil
			b.unboundAttempts[a.Name.Job] = append(b.unboundAttempts[a.Name.Job], a)
		}
		j.activeAttempts = nil
	}
	b.jobsInOrder = slices.DeleteFunc(b.jobsInOrder, func(j *Job) bool { return b.jobs[j.Spec.Ref] != j })
}

// Host finds a host, or nil.
func (b *Cluster) Host(name string) *Host { return b.hosts[name] }

// Hosts lists the hosts in the order of their names.
func (b *Cluster) Hosts() []*Host { return b.hostsInOrder }

// AddHost takes a host into the book.
func (b *Cluster) AddHost(h *Host) {
	b.hosts[h.Name] = h
	i := sort.Search(len(b.hostsInOrder), func(i int) bool { return b.hostsInOrder[i].Name >= h.Name })
	b.hostsInOrder = slices.Insert(b.hostsInOrder, i, h)
}

// RemoveHost lets go of a host that is gone.
func (b *Cluster) RemoveHost(h *Host) {
	delete(b.hosts, h.Name)
	if i := slices.Index(b.hostsInOrder, h); i >= 0 {
		b.hostsInOrder = slices.Delete(b.hostsInOrder, i, i+1)
	}
}

// Attach makes an attempt of a task on a host. The job may be unknown.
func (b *Cluster) Attach(now micros, j *Job, h *Host, name protocol.AttemptName) *Attempt {
	a := &Attempt{Name: name, Job: j, Host: h, StateSince: now, PlacedAt: now}
	h.attach(a)
	if j == nil {
		b.unboundAttempts[name.Job] = append(b.unboundAttempts[name.Job], a)
		return a
	}
	if j.activeAttempts == nil {
		j.activeAttempts = make(map[*Attempt]struct{})
	}
	j.activeAttempts[a] = struct{}{}
	if t := a.Task(); t != nil && t.State == TaskQueued && t.Current == nil {
		t.Current = a
		t.State = TaskPlaced
		j.QueuedTasks--
	}
	return a
}

// BindAttempts gives attempts that were seen before their job was known to it.
func (b *Cluster) BindAttempts(now micros, j *Job) (bound []*Attempt) {
	list := b.unboundAttempts[j.Spec.Ref]
	delete(b.unboundAttempts, j.Spec.Ref)
	for _, a := range list {
		state := a.State
		if state.HoldsResources() {
			a.Host.holdingAttempts--
		}
		a.Host.detach(a)
		a.State = AttemptGone
		if state == AttemptExited || a.Name.Index >= len(j.Tasks) {
			continue // comes again with the next report
		}
		n := b.Attach(now, j, a.Host, a.Name)
		n.Adopted = true
		b.SetAttemptState(now, n, state)
		bound = append(bound, n)
	}
	return bound
}

// SetAttemptState is the one place where an attempt changes its state. It keeps the
// counts of its task, job and team.
func (b *Cluster) SetAttemptState(now micros, a *Attempt, to AttemptState) {
	from := a.State
	if from == to {
		return
	}
	if from == AttemptGone || (from == AttemptExited && to != AttemptGone) {
		panic(fmt.Sprintf("attempt %v: no way from %v to %v", a.Name, from, to))
	}
	a.State, a.StateSince = to, now
	a.Host.Stale = true
	d := int64(0)
	if was, is := from.HoldsResources(), to.HoldsResources(); was != is {
		d = -1
		if is {
			d = 1
		}
		a.Host.holdingAttempts += int(d)
	}
	if j := a.Job; j != nil {
		if d != 0 {
			b.UsedByTeam[j.Spec.Team] = b.UsedByTeam[j.Spec.Team].Add(j.Spec.TaskResources, d)
			a.Host.used = a.Host.used.Add(j.Spec.TaskResources, d)
			j.AttemptCount += int(d)
		}
		if t := a.Task(); t != nil {
			if was, is := from.MayRun(), to.MayRun(); was != is {
				if is {
					t.ActiveAttempts++
				} else {
					t.ActiveAttempts--
				}
			}
			if t.Current == a && !to.HoldsResources() {
				t.Current = nil
				if t.State == TaskPlaced {
					t.State = TaskQueued
					j.QueuedTasks++
					j.FirstQueuedTask = min(j.FirstQueuedTask, a.Name.Index)
				}
			}
		}
		if from == AttemptRunning {
			j.RunningTasks--
		}
		if to == AttemptRunning {
			j.RunningTasks++
			if a.StartedAt == 0 {
				a.StartedAt = now
			}
			if j.FirstStart == 0 {
				j.FirstStart = now
			}
		}
	}
	if to == AttemptGone {
		a.Host.detach(a)
		if a.Job != nil {
			delete(a.Job.activeAttempts, a)
		} else if list := b.unboundAttempts[a.Name.Job]; len(list) > 0 {
			if list = slices.DeleteFunc(list, func(o *Attempt) bool { return o == a }); len(list) == 0 {
				delete(b.unboundAttempts, a.Name.Job)
			} else {
				b.unboundAttempts[a.Name.Job] = list
			}
		}
	}
}

// Complete marks a task as done.
func (j *Job) Complete(i int, durable bool) {
	t := &j.Tasks[i]
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

// SetChunkRevision notes the stamp of a record of completions, 0: there is none.
func (j *Job) SetChunkRevision(chunk int, stamp uint64) {
	if j.ChunkRevisions == nil {
		j.ChunkRevisions = make(map[int]uint64)
	}
	j.ChunkRevisions[chunk] = stamp
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

// NoActiveAttempts reports whether no attempt of the job can be on a host.
func (j *Job) NoActiveAttempts() bool { return j.AttemptCount == 0 }
