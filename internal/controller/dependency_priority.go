package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// inheritPriority has a job be served as one that needs it: with its rank, if that is higher, and so
// that it is done by when the other has to start to meet its deadline. So it goes back
// nextPeer the chain, to whatever can start now.
func (g *dependencyGraph) inheritPriority(from, to *state.Job) {
	neededBy := g.latestStart(from)
	rises := from.Priority < to.Priority
	hastens := neededBy > 0 && (to.Dependencies.InheritedDeadline == 0 || neededBy < to.Dependencies.InheritedDeadline)
	if !rises && !hastens {
		return
	}
	to.Priority = min(to.Priority, from.Priority)
	if hastens {
		to.Dependencies.InheritedDeadline = neededBy
	}
	g.requeueJob(to)
	for _, ref := range to.Dependencies.Unmet {
		if o := g.cluster.Job(ref); o != nil {
			g.inheritPriority(to, o)
		}
	}
}

// requeueJob has the next round plan with a job's new rank, and around what runs of it.
func (g *dependencyGraph) requeueJob(j *state.Job) {
	for _, a := range j.ActiveAttempts() {
		a.Host.Stale = true
	}
	g.cycleNeeded = true
}

// revokeInheritedPriority ends what a job lends that is being cancelled: those that it awaits are served by
// the others that need them.
func (g *dependencyGraph) revokeInheritedPriority(j *state.Job) {
	for _, ref := range j.Dependencies.Unmet {
		o := g.cluster.Job(ref)
		if o == nil {
			continue
		}
		rank, neededBy := o.Priority, o.Dependencies.InheritedDeadline
		o.Priority, o.Dependencies.InheritedDeadline = o.Spec.Priority, 0
		for _, d := range g.dependents[ref] {
			if d.State == state.JobBlocked {
				g.inheritPriority(d, o)
			}
		}
		if o.Priority != rank || o.Dependencies.InheritedDeadline != neededBy {
			g.requeueJob(o)
			g.revokeInheritedPriority(o)
		}
	}
}

// latestStart is when a job has to be free to start for it, and those that need it, to meet
// their deadlines: by its estimate, and a fetch of its image. 0: nobody has a deadline.
func (g *dependencyGraph) latestStart(j *state.Job) micros {
	due := effectiveDeadline(j)
	if due == 0 || j.Spec.Kind == protocol.Service {
		return 0
	}
	var fetch micros
	for _, t := range g.catalog.types {
		if j.Spec.AllowsType(t.Name) {
			fetch = max(fetch, g.estimates.fetchTime(t, j.Spec.ImageSize))
		}
	}
	return max(1, due-g.workload.classStats(j.Spec.Class).estimatedRuntime(j.Spec)-fetch)
}

// effectiveDeadline is when a job has to be done by its own deadline and those of the jobs that
// need it, 0: there is none.
func effectiveDeadline(j *state.Job) micros {
	var due micros
	if j.Spec.Deadline > 0 {
		due = j.Submitted + j.Spec.Deadline
	}
	if j.Dependencies.InheritedDeadline > 0 && (due == 0 || j.Dependencies.InheritedDeadline < due) {
		due = j.Dependencies.InheritedDeadline
	}
	return due
}
