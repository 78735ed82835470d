package controller

import (
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// dependencyGraph is what a leader knows of jobs that depend on others. A job that depends on
// others is blocked until each of them is known to be durably done, and is no part of any plan
// until then. Once one of them is durably cancelled, so is the job: every reader of the records
// comes to the same conclusion, and its own final record follows when there is room for it.
type dependencyGraph struct {
	*termContext
	catalog   *machineCatalog
	directory *jobDirectory
	estimates *machineEstimates
	jobs      *jobManager
	workload  *workload

	dependents            map[string][]*state.Job // blocked jobs, by each of their unmet dependencies
	pendingLookups        []string                // dependencies that this leader has to look up
	lookupRequested       map[string]bool         // those, and the ones that are being looked up
	lookupsInFlight       int
	cancelledByDependency []*state.Job        // whose final records are not on their way yet
	finalWritesInFlight   map[*state.Job]bool // jobs cancelled by a dependency whose final records are
}

// maxDependencyLookups bounds the awaited jobs that are looked up at once, maxDependentFinalWrites the final
// records of doomed jobs on their way: others wait for the state service as well.
const (
	maxDependencyLookups    = 16
	maxDependentFinalWrites = 8
)

func newDependencyGraph(tc *termContext) *dependencyGraph {
	return &dependencyGraph{
		termContext: tc, dependents: make(map[string][]*state.Job), lookupRequested: make(map[string]bool),
		finalWritesInFlight: make(map[*state.Job]bool),
	}
}

// linkDependencies takes a job that entered the book into the graph.
func (g *dependencyGraph) linkDependencies(j *state.Job) {
	j.EligibleAt = j.Submitted
	if len(j.Dependencies.Unmet) > 0 {
		g.resolveDependencies(j)
	}
	// Jobs that await it may have entered before.
	for _, d := range g.dependents[j.Spec.Ref] {
		g.inheritPriority(d, j)
		if j.Dependencies.Cancelled || j.State == state.JobCancelledLegacy {
			g.cancelDependents(d)
		} else {
			g.updateDependencyUncertainty(d)
		}
	}
}

// resolveDependencies finds out how the jobs stand that a job awaits.
func (g *dependencyGraph) resolveDependencies(j *state.Job) {
	doomed := false
	j.Dependencies.Unmet = slices.DeleteFunc(j.Dependencies.Unmet, func(ref string) bool {
		f, over := g.directory.finishedJobs.find(ref)
		doomed = doomed || over && f.phase == protocol.PhaseCancelled
		return over && f.phase == protocol.PhaseDone
	})
	for _, ref := range j.Dependencies.Unmet {
		g.dependents[ref] = append(g.dependents[ref], j)
		o := g.cluster.Job(ref)
		switch {
		case o == nil:
			g.requestDependencyLookup(ref)
		case o.Dependencies.Cancelled || o.State == state.JobCancelledLegacy:
			doomed = true
		default:
			g.inheritPriority(j, o)
		}
	}
	switch {
	case doomed:
		g.cancelDependents(j)
	case len(j.Dependencies.Unmet) == 0:
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
	j.Dependencies.Unmet, j.Dependencies.Uncertain = nil, false
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
		j.Dependencies.Unmet = slices.DeleteFunc(j.Dependencies.Unmet, func(r string) bool { return r == ref })
		if len(j.Dependencies.Unmet) == 0 {
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
		if j.Dependencies.Cancelled || j.State != state.JobBlocked && j.State != state.JobCancelling {
			continue
		}
		if j.State == state.JobBlocked {
			j.SetState(state.JobCancelling)
			j.Cancellation.RequestedWall = g.now.Wall
		}
		j.Dependencies.Cancelled, j.Dependencies.Uncertain = true, false
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
		unsure := !j.Dependencies.Cancelled && slices.ContainsFunc(j.Dependencies.Unmet, g.mayBeCancelled)
		if unsure != j.Dependencies.Uncertain {
			j.Dependencies.Uncertain = unsure
			work = append(work, g.dependents[j.Spec.Ref]...)
		}
	}
}

// mayBeCancelled reports whether an awaited job may be durably cancelled without this
// leader knowing it.
func (g *dependencyGraph) mayBeCancelled(ref string) bool {
	o := g.cluster.Job(ref)
	return o == nil || o.FinalWriteInFlight || o.Dependencies.Uncertain
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
		if !j.FinalWriteInFlight && !j.Cancellation.WriteInFlight && g.jobs.noAttemptMayRun(j) {
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
