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
	JobLive       JobState = iota // accepted, tasks wait or run
	JobCancelling                 // its user asked to cancel; tasks are being stopped, nobody was told yet
	JobCancelled                  // an earlier version told its user while tasks may still be on hosts
	JobFinishing                  // all tasks are done, the record is on its way
	JobDone                       // durable and told
	JobClosed                     // cancelled and no task is left
	JobWaiting                    // accepted, awaits jobs that are not known to be done
)

func (s JobState) String() string {
	return [...]string{"live", "cancelling", "cancelled", "finishing", "done", "closed", "waiting"}[s]
}

var jobMoves = map[JobState][]JobState{
	JobLive:       {JobCancelling, JobFinishing, JobCancelled},
	JobCancelling: {JobClosed, JobDone},
	JobCancelled:  {JobClosed},
	JobFinishing:  {JobDone, JobCancelled},
	JobWaiting:    {JobLive, JobCancelling},
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
	Free          micros        // since when it may start: its submission, or the end of the last job that it awaits
	Rank          protocol.Rank // its own, or the highest of the jobs that need it
	NeededBy      micros        // when it has to be done for one that needs it to meet its deadline, 0: none has one
	Awaiting      []string      // jobs that it awaits and that are not known to be done
	Unsure        bool          // one of them, or one that they await, may be cancelled and durably so
	Doomed        bool          // one of them, or one that they await, is durably cancelled: so is this job
	CancelledWall micros        // time of day at which its user asked to cancel it, as recorded
	Tasks         []Task
	Done          int
	Queued        int // tasks that wait for a place
	Attempts      int // attempts that may be on some host, or are assigned
	Running       int
	GangAttempt   uint64         // the attempt of the gang being formed or running
	GangStarted   bool           // tasks of that attempt have run
	Booked        micros         // start of its booking, 0: none
	BookingKept   bool           // the booking is in the state service
	Failures      map[string]int // by host
	Suspect       bool           // fails wherever it is tried, nothing shows that it can run
	Strikes       int            // times it was held for that
	Closing       bool           // cancelled, its record is being moved
	Counted       bool           // as served in time or not
	BeginCounted  bool           // as begun in time or not, if it is one of its class's largest
	AskKept       bool           // that its user asked to cancel is in the state service
	Asking        bool           // or on its way there
	AskAgain      micros         // it is not tried before
	Held          micros         // not placed before, after failures
	Chunks        map[int]uint64 // stamps of its records of completions
	FirstStart    micros
	Rooms         []Room    // hosts on which room was made for it
	RoomUntil     micros    // some of it is kept for the job until then
	Places        []Booking // planned by the last pass
	Zone          string    // where a gang was last booked
	NoRoomUntil   micros    // no room could be made for it, found lately
	UnviableUntil micros    // no booking could meet its deadline, found lately
	Lowest        int       // no task before it waits for a place
	on            map[*Attempt]struct{}
}

// Booking is a place that a pass planned for later.
type Booking struct {
	Machine      string
	Begin, Ready micros
}

// Room is a host on which room was made for one task, and until when the task
// waits for it.
type Room struct {
	Host  *Host
	Until micros
}

// On lists the job's attempts that are not certainly gone, in their order.
func (j *Job) On() []*Attempt {
	list := make([]*Attempt, 0, len(j.on))
	for a := range j.on {
		list = append(list, a)
	}
	sort.Slice(list, func(x, y int) bool {
		return list[x].Name.Index < list[y].Name.Index || list[x].Name.Index == list[y].Name.Index && list[x].Name.Number < list[y].Name.Number
	})
	return list
}

// NewJob makes a job from its specification. It waits if it awaits others.
func NewJob(spec *protocol.JobSpec) *Job {
	j := &Job{Spec: spec, Rank: spec.Rank, Tasks: make([]Task, spec.Tasks), Queued: spec.Tasks}
	if len(spec.Awaits) > 0 {
		j.State = JobWaiting
		j.Awaiting = slices.Clone(spec.Awaits)
	}
	return j
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
	Recorded      bool   // its launch is in the state service; it does not leave before
	Seen          uint64 // the host's report that listed it last
}

// compare is the order in which a host's attempts are kept.
func (a *Attempt) compare(name protocol.AttemptName) int {
	return cmp.Or(cmp.Compare(a.Name.Index, name.Index), cmp.Compare(a.Name.Number, name.Number), strings.Compare(a.Name.Job, name.Job))
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
	Used    map[string]protocol.Resources // by team, all that may be on hosts
	jobs    map[string]*Job
	line    []*Job // by submission
	hosts   map[string]*Host
	order   []*Host               // by name
	unknown map[string][]*Attempt // of jobs that are not known, by job
}

// NewBook makes an empty book.
func NewBook() *Book {
	return &Book{
		jobs: make(map[string]*Job), hosts: make(map[string]*Host), Used: make(map[string]protocol.Resources),
		unknown: make(map[string][]*Attempt),
	}
}

// Job finds a job, or nil.
func (b *Book) Job(ref string) *Job { return b.jobs[ref] }

// Line lists the jobs in the order of their submission.
func (b *Book) Line() []*Job { return b.line }

// AddJob takes a job into the book.
func (b *Book) AddJob(j *Job) {
	b.jobs[j.Spec.Ref] = j
	i := sort.Search(len(b.line), func(i int) bool {
		o := b.line[i]
		return o.Submitted > j.Submitted || o.Submitted == j.Submitted && o.Spec.Ref > j.Spec.Ref
	})
	b.line = slices.Insert(b.line, i, j)
}

// RemoveJobs lets go of jobs. What hosts still report of them is of no job.
func (b *Book) RemoveJobs(list []*Job) {
	if len(list) == 0 {
		return
	}
	for _, j := range list {
		delete(b.jobs, j.Spec.Ref)
		for a := range j.on {
			a.Job = nil
			b.unknown[a.Name.Job] = append(b.unknown[a.Name.Job], a)
		}
		j.on = nil
	}
	b.line = slices.DeleteFunc(b.line, func(j *Job) bool { return b.jobs[j.Spec.Ref] != j })
}

// Host finds a host, or nil.
func (b *Book) Host(name string) *Host { return b.hosts[name] }

// Hosts lists the hosts in the order of their names.
func (b *Book) Hosts() []*Host { return b.order }

// AddHost takes a host into the book.
func (b *Book) AddHost(h *Host) {
	b.hosts[h.Name] = h
	i := sort.Search(len(b.order), func(i int) bool { return b.order[i].Name >= h.Name })
	b.order = slices.Insert(b.order, i, h)
}

// RemoveHost lets go of a host that is gone.
func (b *Book) RemoveHost(h *Host) {
	delete(b.hosts, h.Name)
	if i := slices.Index(b.order, h); i >= 0 {
		b.order = slices.Delete(b.order, i, i+1)
	}
}

// Attach makes an attempt of a task on a host. The job may be unknown.
func (b *Book) Attach(now micros, j *Job, h *Host, name protocol.AttemptName) *Attempt {
	a := &Attempt{Name: name, Job: j, Host: h, Since: now, Placed: now}
	h.attach(a)
	if j == nil {
		b.unknown[name.Job] = append(b.unknown[name.Job], a)
		return a
	}
	if j.on == nil {
		j.on = make(map[*Attempt]struct{})
	}
	j.on[a] = struct{}{}
	if t := a.Task(); t != nil && t.State == TaskQueued && t.Current == nil {
		t.Current = a
		t.State = TaskPlaced
		j.Queued--
	}
	return a
}

// Rebind gives attempts that were seen before their job was known to it.
func (b *Book) Rebind(now micros, j *Job) (bound []*Attempt) {
	list := b.unknown[j.Spec.Ref]
	delete(b.unknown, j.Spec.Ref)
	for _, a := range list {
		state := a.State
		if state.Occupies() {
			a.Host.occupied--
		}
		a.Host.detach(a)
		a.State = AttemptGone
		if state == AttemptExited || a.Name.Index >= len(j.Tasks) {
			continue // comes again with the next report
		}
		n := b.Attach(now, j, a.Host, a.Name)
		n.Adopted = true
		b.Move(now, n, state)
		bound = append(bound, n)
	}
	return bound
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
	a.Host.Changed = true
	d := int64(0)
	if was, is := from.Occupies(), to.Occupies(); was != is {
		d = -1
		if is {
			d = 1
		}
		a.Host.occupied += int(d)
	}
	if j := a.Job; j != nil {
		if d != 0 {
			b.Used[j.Spec.Team] = b.Used[j.Spec.Team].Add(j.Spec.Need, d)
			a.Host.used = a.Host.used.Add(j.Spec.Need, d)
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
					j.Lowest = min(j.Lowest, a.Name.Index)
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
		a.Host.detach(a)
		if a.Job != nil {
			delete(a.Job.on, a)
		} else if list := b.unknown[a.Name.Job]; len(list) > 0 {
			if list = slices.DeleteFunc(list, func(o *Attempt) bool { return o == a }); len(list) == 0 {
				delete(b.unknown, a.Name.Job)
			} else {
				b.unknown[a.Name.Job] = list
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
		j.Queued--
	}
	t.State = TaskDone
	t.Durable = durable
	j.Done++
}

// KeepChunk notes the stamp of a record of completions, 0: there is none.
func (j *Job) KeepChunk(chunk int, stamp uint64) {
	if j.Chunks == nil {
		j.Chunks = make(map[int]uint64)
	}
	j.Chunks[chunk] = stamp
}

// Undurable lists the completed tasks of a range that no record has yet.
func (j *Job) Undurable(from, to int) []int {
	var list []int
	for i := from; i < min(to, len(j.Tasks)); i++ {
		if j.Tasks[i].State == TaskDone && !j.Tasks[i].Durable {
			list = append(list, i)
		}
	}
	return list
}

// Settled reports whether no attempt of the job can be on a host.
func (j *Job) Settled() bool { return j.Attempts == 0 }
