package controller

import (
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// Chained jobs, as the leader sees them. A job that awaits others is waiting until each of
// them is known to be durably done, and is no part of any plan until then. Once one of them
// is durably cancelled the job is doomed: whoever answers for it says cancelled, since every
// reader comes to the same conclusion from the same records, and its own final record
// follows when there is room for it. Nothing else has to be written, or to be written in
// time, for the promise to hold.

// maxDependencyLookups bounds the awaited jobs that are looked up at once, maxDependentFinalWrites the final
// records of doomed jobs on their way: others wait for the state service as well.
const (
	maxDependencyLookups    = 16
	maxDependentFinalWrites = 8
)

// linkDependencies takes a job that entered the book into the graph.
func (g *dependencyGraph) linkDependencies(j *state.Job) {
	j.EligibleAt = j.Submitted
	if len(j.UnmetDependencies) > 0 {
		g.resolveDependencies(j)
	}
	// Jobs that await it may have entered before.
	for _, d := range g.dependents[j.Spec.Ref] {
		g.inheritPriority(d, j)
		if j.DependencyCancelled || j.State == state.JobCancelledLegacy {
			g.cancelDependents(d)
		} else {
			g.updateDependencyUncertainty(d)
		}
	}
}

// resolveDependencies finds out how the jobs stand that a job awaits.
func (g *dependencyGraph) resolveDependencies(j *state.Job) {
	doomed := false
	j.UnmetDependencies = slices.DeleteFunc(j.UnmetDependencies, func(ref string) bool {
		f, over := g.directory.finishedJobs.find(ref)
		doomed = doomed || over && f.phase == protocol.PhaseCancelled
		return over && f.phase == protocol.PhaseDone
	})
	for _, ref := range j.UnmetDependencies {
		g.dependents[ref] = append(g.dependents[ref], j)
		o := g.cluster.Job(ref)
		switch {
		case o == nil:
			g.requestDependencyLookup(ref)
		case o.DependencyCancelled || o.State == state.JobCancelledLegacy:
			doomed = true
		default:
			g.inheritPriority(j, o)
		}
	}
	switch {
	case doomed:
		g.cancelDependents(j)
	case len(j.UnmetDependencies) == 0:
		g.makeEligible(j)
	default:
		g.updateDependencyUncertainty(j)
	}
}

// makeEligible lets a job start whose awaited jobs are all durably done.
func (g *dependencyGraph) makeEligible(j *state.Job) {
	if j.State != state.JobBlocked {
		return // its user asked to cancel it
	}
	j.SetState(state.JobActive)
	j.EligibleAt = g.now.Steady
	if g.recordsLoadedAt > 0 {
		g.workload.classStats(j.Spec.Class).onArrival(g.now.Steady, j)
	}
	g.cycleNeeded = true
	g.log.Debug("job is free to start", "ref", j.Spec.Ref)
}

// onTaskLaunched notes that a task of a job was launched, by an earlier leader if the job is still
// waiting here. No leader launches before it knows that all awaited jobs are durably done,
// and that never changes.
func (g *dependencyGraph) onTaskLaunched(j *state.Job) {
	if j.State != state.JobBlocked {
		return
	}
	j.SetState(state.JobActive)
	j.UnmetDependencies, j.DependencyUncertain = nil, false
	for _, d := range g.dependents[j.Spec.Ref] {
		g.updateDependencyUncertainty(d)
	}
}

// onDependencyFinished takes the durable end of a job to those that await it.
func (g *dependencyGraph) onDependencyFinished(ref string, p protocol.Phase) {
	list := g.dependents[ref]
	delete(g.dependents, ref)
	for _, j := range list {
		if p == protocol.PhaseCancelled {
			g.cancelDependents(j)
			continue
		}
		j.UnmetDependencies = slices.DeleteFunc(j.UnmetDependencies, func(r string) bool { return r == ref })
		if len(j.UnmetDependencies) == 0 {
			g.makeEligible(j)
		}
		g.updateDependencyUncertainty(j)
	}
}

// doom cancels a job of which an awaited one is durably cancelled, and all that await it.
func (g *dependencyGraph) cancelDependents(first *state.Job) {
	for work := []*state.Job{first}; len(work) > 0; {
		j := work[len(work)-1]
		work = work[:len(work)-1]
		if j.DependencyCancelled || j.State != state.JobBlocked && j.State != state.JobCancelling {
			continue
		}
		if j.State == state.JobBlocked {
			j.SetState(state.JobCancelling)
			j.CancelRequestedWall = g.now.Wall
		}
		j.DependencyCancelled, j.DependencyUncertain = true, false
		g.revokeInheritedPriority(j)
		if !j.FinalWriteInFlight {
			g.cancelledByDependency = append(g.cancelledByDependency, j)
		}
		ref := j.Spec.Ref
		for _, to := range g.jobs.pendingCancels[ref] {
			g.reply(to, 200, g.directory.jobStatusBody(j), 0)
		}
		delete(g.jobs.pendingCancels, ref)
		work = append(work, g.dependents[ref]...)
		delete(g.dependents, ref)
	}
}

// updateDependencyUncertainty finds out whether a waiting job may be durably cancelled without this leader
// knowing it, and the same for those that await it. It is so while the final record of a
// job before it is on its way, or is still to be read.
func (g *dependencyGraph) updateDependencyUncertainty(first *state.Job) {
	for work := []*state.Job{first}; len(work) > 0; {
		j := work[len(work)-1]
		work = work[:len(work)-1]
		unsure := !j.DependencyCancelled && slices.ContainsFunc(j.UnmetDependencies, g.mayBeCancelled)
		if unsure != j.DependencyUncertain {
			j.DependencyUncertain = unsure
			work = append(work, g.dependents[j.Spec.Ref]...)
		}
	}
}

// mayBeCancelled reports whether an awaited job may be durably cancelled without this
// leader knowing it.
func (g *dependencyGraph) mayBeCancelled(ref string) bool {
	o := g.cluster.Job(ref)
	return o == nil || o.FinalWriteInFlight || o.DependencyUncertain
}

// onFinalWriteStarted notes that the final record of a cancelled job is on its way.
func (g *dependencyGraph) onFinalWriteStarted(j *state.Job) {
	j.FinalWriteInFlight = true
	g.revokeInheritedPriority(j)
	for _, d := range g.dependents[j.Spec.Ref] {
		g.updateDependencyUncertainty(d)
	}
}

// requestDependencyLookup has an awaited job looked up that is not in the book.
func (g *dependencyGraph) requestDependencyLookup(ref string) {
	if !g.lookupRequested[ref] {
		g.lookupRequested[ref] = true
		g.pendingLookups = append(g.pendingLookups, ref)
	}
}

// dependencyLookupRetry is after how long a lookup is tried again that failed.
const dependencyLookupRetry = 500 * protocol.Millisecond

// advanceDependencies goes on with lookups and with the final records of doomed jobs.
func (g *dependencyGraph) advanceDependencies() {
	for g.lookupsInFlight < maxDependencyLookups && len(g.pendingLookups) > 0 {
		ref := g.pendingLookups[0]
		g.pendingLookups = g.pendingLookups[1:]
		g.lookUpDependency(ref)
	}
	for len(g.finalWritesInFlight) < maxDependentFinalWrites && len(g.cancelledByDependency) > 0 {
		j := g.cancelledByDependency[0]
		g.cancelledByDependency = g.cancelledByDependency[1:]
		if !j.FinalWriteInFlight && !j.CancelWriteInFlight && g.jobs.noAttemptMayRun(j) {
			g.finalWritesInFlight[j] = true
			j.FinalWriteInFlight = true
			g.jobs.queueFinalRecord(j)
		} else if !j.FinalWriteInFlight {
			g.cancelledByDependency = append(g.cancelledByDependency, j)
			return
		}
	}
}

// lookUpDependency reads how an awaited job stands that is not in the book.
func (g *dependencyGraph) lookUpDependency(ref string) {
	if len(g.dependents[ref]) == 0 || g.cluster.Job(ref) != nil {
		delete(g.lookupRequested, ref)
		return // it is known meanwhile
	}
	g.lookupsInFlight++
	g.directory.findJob(priorityUrgent, ref, func(_ *state.Job, _ finishedJob, found, ok bool) {
		if g.ended() {
			return
		}
		g.lookupsInFlight--
		if ok && found {
			delete(g.lookupRequested, ref) // finding it told those that await it
			return
		}
		if ok {
			g.log.Error("an awaited job has no record", "ref", ref)
		}
		g.after(dependencyLookupRetry, func() {
			if !g.ended() {
				g.pendingLookups = append(g.pendingLookups, ref)
			}
		})
	})
}

// inheritPriority has a job be served as one that needs it: with its rank, if that is higher, and so
// that it is done by when the other has to start to meet its deadline. So it goes back
// nextPeer the chain, to whatever can start now.
func (g *dependencyGraph) inheritPriority(from, to *state.Job) {
	neededBy := g.latestStart(from)
	rises := from.Priority < to.Priority
	hastens := neededBy > 0 && (to.InheritedDeadline == 0 || neededBy < to.InheritedDeadline)
	if !rises && !hastens {
		return
	}
	to.Priority = min(to.Priority, from.Priority)
	if hastens {
		to.InheritedDeadline = neededBy
	}
	g.requeueJob(to)
	for _, ref := range to.UnmetDependencies {
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
	for _, ref := range j.UnmetDependencies {
		o := g.cluster.Job(ref)
		if o == nil {
			continue
		}
		rank, neededBy := o.Priority, o.InheritedDeadline
		o.Priority, o.InheritedDeadline = o.Spec.Priority, 0
		for _, d := range g.dependents[ref] {
			if d.State == state.JobBlocked {
				g.inheritPriority(d, o)
			}
		}
		if o.Priority != rank || o.InheritedDeadline != neededBy {
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
	if j.InheritedDeadline > 0 && (due == 0 || j.InheritedDeadline < due) {
		due = j.InheritedDeadline
	}
	return due
}
