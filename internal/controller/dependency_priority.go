package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// inheritPriority has a job be served as one that depends on it: with its priority, if that is
// higher, and so that it is done by when the dependent has to start to meet its deadline. So it
// goes back along the dependencies, to whatever can start now.
func (g *dependencyGraph) inheritPriority(dependent, j *state.Job) {
	deadline := g.latestStart(dependent)
	rises := dependent.Priority < j.Priority
	hastens := deadline > 0 && (j.Dependencies.InheritedDeadline == 0 || deadline < j.Dependencies.InheritedDeadline)
	if !rises && !hastens {
		return
	}
	j.Priority = min(j.Priority, dependent.Priority)
	if hastens {
		j.Dependencies.InheritedDeadline = deadline
	}
	g.requeueJob(j)
	for _, ref := range j.Dependencies.Unmet {
		if dependency := g.cluster.Job(ref); dependency != nil {
			g.inheritPriority(j, dependency)
		}
	}
}

// requeueJob has the next scheduling cycle plan with a job's new priority, and around what runs
// of it.
func (g *dependencyGraph) requeueJob(j *state.Job) {
	for _, a := range j.ActiveAttempts() {
		a.Host.Stale = true
	}
	g.cycleNeeded = true
}

// revokeInheritedPriority takes back what jobs have inherited from a job that is being
// cancelled: they are served as the others that depend on them.
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

// latestStart is when a job has to be eligible for it, and those that depend on it, to meet
// their deadlines: by its estimate, and a fetch of its image. 0: nobody has a deadline.
func (g *dependencyGraph) latestStart(j *state.Job) micros {
	deadline := effectiveDeadline(j)
	if deadline == 0 || j.Spec.Kind == protocol.Service {
		return 0
	}
	runtime := g.workload.classStats(j.Spec.Class).estimatedRuntime(j.Spec)
	return max(1, deadline-runtime-g.estimates.longestFetch(j.Spec))
}

// effectiveDeadline is when a job has to be done by its own deadline and those of the jobs that
// depend on it, 0: there is none.
func effectiveDeadline(j *state.Job) micros {
	var deadline micros
	if j.Spec.Deadline > 0 {
		deadline = j.Submitted + j.Spec.Deadline
	}
	return earliestDeadline(deadline, j.Dependencies.InheritedDeadline)
}

// earliestDeadline is the earlier of two deadlines, of which 0 means none.
func earliestDeadline(a, b micros) micros {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}
