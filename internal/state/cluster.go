package state

import (
	"fmt"
	"slices"
	"sort"

	"mapleslip/internal/protocol"
)

// Cluster is all that a leader knows of jobs, hosts and attempts.
type Cluster struct {
	// UsedByTeam is what a team's attempts may use on hosts, by team.
	UsedByTeam map[string]protocol.Resources

	jobs            map[string]*Job
	jobsInOrder     []*Job // by submission
	hosts           map[string]*Host
	hostsInOrder    []*Host               // by name
	unboundAttempts map[string][]*Attempt // of jobs that are not known, by job
}

// NewCluster makes an empty cluster.
func NewCluster() *Cluster {
	return &Cluster{
		UsedByTeam: make(map[string]protocol.Resources), jobs: make(map[string]*Job), hosts: make(map[string]*Host),
		unboundAttempts: make(map[string][]*Attempt),
	}
}

// Job finds a job, or nil.
func (c *Cluster) Job(ref string) *Job { return c.jobs[ref] }

// Jobs lists the jobs in the order of their submission.
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

// RemoveJobs removes jobs. Their attempts stay on their hosts, as attempts of unknown jobs.
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

// Host finds a host, or nil.
func (c *Cluster) Host(name string) *Host { return c.hosts[name] }

// Hosts lists the hosts in the order of their names.
func (c *Cluster) Hosts() []*Host { return c.hostsInOrder }

// AddHost adds a host.
func (c *Cluster) AddHost(h *Host) {
	c.hosts[h.Name] = h
	i := sort.Search(len(c.hostsInOrder), func(i int) bool { return c.hostsInOrder[i].Name >= h.Name })
	c.hostsInOrder = slices.Insert(c.hostsInOrder, i, h)
}

// RemoveHost removes a host that is gone.
func (c *Cluster) RemoveHost(h *Host) {
	delete(c.hosts, h.Name)
	if i := slices.Index(c.hostsInOrder, h); i >= 0 {
		c.hostsInOrder = slices.Delete(c.hostsInOrder, i, i+1)
	}
}

// Attach makes an attempt of a task on a host. j is nil if the job is not known.
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

// BindAttempts gives a job that has become known the attempts that were seen of it before,
// and returns them.
func (c *Cluster) BindAttempts(now micros, j *Job) []*Attempt {
	var bound []*Attempt
	unbound := c.unboundAttempts[j.Spec.Ref]
	delete(c.unboundAttempts, j.Spec.Ref)
	for _, a := range unbound {
		was := a.State
		if was.HoldsResources() {
			a.Host.holdingAttempts--
		}
		a.Host.detach(a)
		a.State = AttemptGone
		if was == AttemptExited || a.Name.Index >= len(j.Tasks) {
			continue // the next heartbeat reports it again
		}
		b := c.Attach(now, j, a.Host, a.Name)
		b.Adopted = true
		c.SetAttemptState(now, b, was)
		bound = append(bound, b)
	}
	return bound
}

// SetAttemptState is the one place where an attempt changes its state. It keeps the counts of
// the task, job, host and team.
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

// countResources keeps the counts of what attempts use.
func (c *Cluster) countResources(a *Attempt, from, to AttemptState) {
	was, is := from.HoldsResources(), to.HoldsResources()
	if was == is {
		return
	}
	change := int64(-1)
	if is {
		change = 1
	}
	a.Host.holdingAttempts += int(change)
	if j := a.Job; j != nil {
		c.UsedByTeam[j.Spec.Team] = c.UsedByTeam[j.Spec.Team].Add(j.Spec.TaskResources, change)
		a.Host.used = a.Host.used.Add(j.Spec.TaskResources, change)
		j.AttemptCount += int(change)
	}
}

// updateTask keeps what an attempt's task knows of its attempts.
func updateTask(a *Attempt, from, to AttemptState) {
	t := a.Task()
	if t == nil {
		return
	}
	if was, is := from.MayRun(), to.MayRun(); was != is {
		if is {
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

// countRunning keeps the count of running tasks, and when a job and its attempts started.
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

// unlink removes an attempt that is gone from its job, or from the unbound ones.
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
