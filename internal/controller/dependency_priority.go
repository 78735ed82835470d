package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// inheritPriority passes the priority and the deadline of a dependent to a job that it depends on:
// the job gets the dependent's priority if that is higher, and has to be done by the latest start
// at which the dependent meets its deadline. Both propagate along the dependencies, to the jobs
// that can start now.
func (g *dependencyGraph) inheritPriority(dependent, j *state.Job) {
	deadline := g.latestStart(dependent)
	raisesPriority := dependent.Priority < j.Priority
	tightensDeadline := deadline > 0 && (j.Dependencies.InheritedDeadline == 0 || deadline < j.Dependencies.InheritedDeadline)
	if !raisesPriority && !tightensDeadline {
		return
	}
	j.Priority = min(j.Priority, dependent.Priority)
	if tightensDeadline {
		j.Dependencies.InheritedDeadline = deadline
	}
	g.requeueJob(j)
	for _, ref := range j.Dependencies.Unmet {
		if dependency := g.cluster.Job(ref); dependency != nil {
			g.inheritPriority(j, dependency)
		}
	}
}

// requeueJob makes the next scheduling cycle use a job's new priority, also for the hosts on which
// its attempts run.
func (g *dependencyGraph) requeueJob(j *state.Job) {
	for _, a := range j.ActiveAttempts() {
		a.Host.Stale = true
	}
	g.cycleNeeded = true
}

// revokeInheritedPriority recomputes the priorities and deadlines that the dependencies of a job
// that is being cancelled inherit: only those of their other dependents remain.
func (g *dependencyGraph) revokeInheritedPriority(cancelled *state.Job) {
	for _, ref := range cancelled.Dependencies.Unmet {
		j := g.cluster.Job(ref)
		if j == nil {
			continue
		}
		priority, deadline := j.Priority, j.Dependencies.InheritedDeadline
		j.Priority, j.Dependencies.InheritedDeadline = j.Spec.Priority, 0
		for _, d := range g.dependents[ref] {
			if d.State == state.JobBlocked {
				g.inheritPriority(d, j)
			}
		}
		if j.Priority != priority || j.Dependencies.InheritedDeadline != deadline {
			g.requeueJob(j)
			g.revokeInheritedPriority(j)
		}
	}
}

// latestStart is the latest time at which a job has to become eligible for it and its dependents to
// meet their deadlines. It allows for the job's estimated runtime and a fetch of its image. It is
// 0 if none of them has a deadline.
func (g *dependencyGraph) latestStart(j *state.Job) micros {
	deadline := effectiveDeadline(j)
	if deadline == 0 || j.Spec.Kind == protocol.Service {
		return 0
	}
	runtime := g.workload.classStats(j.Spec.Class).estimatedRuntime(j.Spec)
	return max(1, deadline-runtime-g.estimates.longestFetch(j.Spec))
}

// effectiveDeadline is the time by which a job has to be done to meet its own deadline and those of
// the jobs that depend on it, 0 if there is none.
func effectiveDeadline(j *state.Job) micros {
	var deadline micros
	if j.Spec.Deadline > 0 {
		deadline = j.Submitted + j.Spec.Deadline
	}
	return earliestDeadline(deadline, j.Dependencies.InheritedDeadline)
}

// earliestDeadline is the earlier of two deadlines, where 0 means that there is none.
func earliestDeadline(a, b micros) micros {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}
