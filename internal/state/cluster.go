package state

import (
	"fmt"
	"slices"
	"sort"

	"mapleslip/internal/protocol"
)

// Cluster contains the jobs, hosts and attempts that a leader tracks.
type Cluster struct {
	// UsedByTeam contains the resources that the attempts of each team may hold on hosts.
	UsedByTeam map[string]protocol.Resources

	jobs            map[string]*Job // by ref
	jobsInOrder     []*Job          // sorted by submission time, then ref
	hosts           map[string]*Host
	hostsInOrder    []*Host               // sorted by name
	unboundAttempts map[string][]*Attempt // attempts of jobs that are not known, by job ref
}

// NewCluster returns an empty cluster.
func NewCluster() *Cluster {
	return &Cluster{
		UsedByTeam: make(map[string]protocol.Resources), jobs: make(map[string]*Job), hosts: make(map[string]*Host),
		unboundAttempts: make(map[string][]*Attempt),
	}
}

// Job returns the job of a ref, or nil.
func (c *Cluster) Job(ref string) *Job { return c.jobs[ref] }

// Jobs returns the jobs in the order of their submission.
func (c *Cluster) Jobs() []*Job { return c.jobsInOrder }

// AddJob adds a job.
func (c *Cluster) AddJob(j *Job) {
	c.jobs[j.Spec.Ref] = j
	i := sort.Search(len(c.jobsInOrder), func(i int) bool {
		o := c.jobsInOrder[i]
		return o.Submitted > j.Submitted || o.Submitted == j.Submitted && o.Spec.Ref > j.Spec.Ref
	})
	c.jobsInOrder = slices.Insert(c.jobsInOrder, i, j)
}

// RemoveJobs removes jobs. Their attempts stay on their hosts as attempts of unknown jobs.
func (c *Cluster) RemoveJobs(jobs []*Job) {
	if len(jobs) == 0 {
		return
	}
	for _, j := range jobs {
		delete(c.jobs, j.Spec.Ref)
		for a := range j.activeAttempts {
			a.Job = nil
			c.unboundAttempts[a.Name.Job] = append(c.unboundAttempts[a.Name.Job], a)
		}
		j.activeAttempts = nil
	}
	c.jobsInOrder = slices.DeleteFunc(c.jobsInOrder, func(j *Job) bool { return c.jobs[j.Spec.Ref] != j })
}

// Host returns the host of a name, or nil.
func (c *Cluster) Host(name string) *Host { return c.hosts[name] }

// Hosts returns the hosts in the order of their names.
func (c *Cluster) Hosts() []*Host { return c.hostsInOrder }

// AddHost adds a host.
func (c *Cluster) AddHost(h *Host) {
	c.hosts[h.Name] = h
	i := sort.Search(len(c.hostsInOrder), func(i int) bool { return c.hostsInOrder[i].Name >= h.Name })
	c.hostsInOrder = slices.Insert(c.hostsInOrder, i, h)
}

// RemoveHost removes a host whose machine has been released.
func (c *Cluster) RemoveHost(h *Host) {
	delete(c.hosts, h.Name)
	if i := slices.Index(c.hostsInOrder, h); i >= 0 {
		c.hostsInOrder = slices.Delete(c.hostsInOrder, i, i+1)
	}
}

// Attach adds a new attempt of a task to a host and to its job. j is nil if the job is not known.
// The attempt becomes the current one of its task if the task is queued.
func (c *Cluster) Attach(now micros, j *Job, h *Host, name protocol.AttemptName) *Attempt {
	a := &Attempt{Name: name, Job: j, Host: h, StateSince: now, PlacedAt: now}
	h.attach(a)
	if j == nil {
		c.unboundAttempts[name.Job] = append(c.unboundAttempts[name.Job], a)
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

// BindAttempts binds to a job that has become known the attempts that heartbeats reported before,
// and returns them. Each is replaced by a new attempt in the same state. Attempts that have exited
// or belong to no task of the job are dropped.
func (c *Cluster) BindAttempts(now micros, j *Job) []*Attempt {
	var bound []*Attempt
	unbound := c.unboundAttempts[j.Spec.Ref]
	delete(c.unboundAttempts, j.Spec.Ref)
	for _, a := range unbound {
		previous := a.State
		if previous.HoldsResources() {
			a.Host.holdingAttempts--
		}
		a.Host.detach(a)
		a.State = AttemptGone
		if previous == AttemptExited || a.Name.Index >= len(j.Tasks) {
			continue // the next heartbeat reports it again
		}
		adopted := c.Attach(now, j, a.Host, a.Name)
		adopted.Adopted = true
		c.SetAttemptState(now, adopted, previous)
		bound = append(bound, adopted)
	}
	return bound
}

// SetAttemptState changes the state of an attempt and updates the counts of its task, job, host
// and team. The state of an attempt on a host must not be changed in any other way.
func (c *Cluster) SetAttemptState(now micros, a *Attempt, to AttemptState) {
	from := a.State
	if from == to {
		return
	}
	if from == AttemptGone || from == AttemptExited && to != AttemptGone {
		panic(fmt.Sprintf("attempt %v: no transition from %v to %v", a.Name, from, to))
	}
	a.State, a.StateSince = to, now
	a.Host.Stale = true
	c.countResources(a, from, to)
	if a.Job != nil {
		updateTask(a, from, to)
		countRunning(now, a, from, to)
	}
	if to == AttemptGone {
		a.Host.detach(a)
		c.unlink(a)
	}
}

// countResources updates the resources in use when an attempt begins or ceases to hold some.
func (c *Cluster) countResources(a *Attempt, from, to AttemptState) {
	held, holds := from.HoldsResources(), to.HoldsResources()
	if held == holds {
		return
	}
	change := int64(-1)
	if holds {
		change = 1
	}
	a.Host.holdingAttempts += int(change)
	if j := a.Job; j != nil {
		c.UsedByTeam[j.Spec.Team] = c.UsedByTeam[j.Spec.Team].Add(j.Spec.TaskResources, change)
		a.Host.used = a.Host.used.Add(j.Spec.TaskResources, change)
		j.AttemptCount += int(change)
	}
}

// updateTask updates the attempt count, the current attempt and the state of an attempt's task. A
// task whose current attempt has ended is queued again, unless it is done.
func updateTask(a *Attempt, from, to AttemptState) {
	t := a.Task()
	if t == nil {
		return
	}
	if couldRun, mayRun := from.MayRun(), to.MayRun(); couldRun != mayRun {
		if mayRun {
			t.ActiveAttempts++
		} else {
			t.ActiveAttempts--
		}
	}
	if t.Current != a || to.HoldsResources() {
		return
	}
	t.Current = nil
	if t.State == TaskPlaced {
		t.State = TaskQueued
		a.Job.QueuedTasks++
		a.Job.FirstQueuedTask = min(a.Job.FirstQueuedTask, a.Name.Index)
	}
}

// countRunning updates the number of running tasks, and the start times of a job and an attempt.
func countRunning(now micros, a *Attempt, from, to AttemptState) {
	j := a.Job
	if from == AttemptRunning {
		j.RunningTasks--
	}
	if to != AttemptRunning {
		return
	}
	j.RunningTasks++
	if a.StartedAt == 0 {
		a.StartedAt = now
	}
	if j.FirstStart == 0 {
		j.FirstStart = now
	}
}

// unlink removes an attempt that is gone from its job, or from the unbound attempts.
func (c *Cluster) unlink(a *Attempt) {
	if a.Job != nil {
		delete(a.Job.activeAttempts, a)
		return
	}
	unbound := slices.DeleteFunc(c.unboundAttempts[a.Name.Job], func(o *Attempt) bool { return o == a })
	if len(unbound) == 0 {
		delete(c.unboundAttempts, a.Name.Job)
	} else {
		c.unboundAttempts[a.Name.Job] = unbound
	}
}
