package controller

import (
	"errors"
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// dependencyGraph is what a leader knows of jobs that depend on others. A job that depends on
// others is blocked until each of them is known to be durably done, and is no part of any plan
// until then. Once one of them is durably cancelled, so is the job: every reader of the records
// comes to the same conclusion, and its own final record follows when there is room for it.
// Nothing else has to be written, or to be written in time, for that to hold.
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

// Bounds of what the graph does at once: others wait for the state service as well.
const (
	maxDependencyLookups    = 16
	maxDependentFinalWrites = 8
	dependencyLookupRetry   = 500 * protocol.Millisecond
)

func newDependencyGraph(tc *termContext) *dependencyGraph {
	return &dependencyGraph{
		termContext: tc, dependents: make(map[string][]*state.Job), lookupRequested: make(map[string]bool),
		finalWritesInFlight: make(map[*state.Job]bool),
	}
}

// linkDependencies adds a job that was added to the cluster state.
func (g *dependencyGraph) linkDependencies(j *state.Job) {
	j.EligibleAt = j.Submitted
	if len(j.Dependencies.Unmet) > 0 {
		g.resolveDependencies(j)
	}
	// Jobs that depend on it may have been added before.
	for _, d := range g.dependents[j.Spec.Ref] {
		g.inheritPriority(d, j)
		if isDurablyCancelled(j) {
			g.cancelWithDependents(d)
		} else {
			g.updateUncertainty(d)
		}
	}
}

// isDurablyCancelled reports whether a job of the cluster state is known to be cancelled.
func isDurablyCancelled(j *state.Job) bool {
	return j.Dependencies.Cancelled || j.State == state.JobCancelledLegacy
}

// resolveDependencies finds out how the jobs stand that a job depends on.
func (g *dependencyGraph) resolveDependencies(j *state.Job) {
	cancelled := false
	j.Dependencies.Unmet = slices.DeleteFunc(j.Dependencies.Unmet, func(ref string) bool {
		f, finished := g.directory.finishedJobs.find(ref)
		cancelled = cancelled || finished && f.phase == protocol.PhaseCancelled
		return finished && f.phase == protocol.PhaseDone
	})
	for _, ref := range j.Dependencies.Unmet {
		g.dependents[ref] = append(g.dependents[ref], j)
		dependency := g.cluster.Job(ref)
		switch {
		case dependency == nil:
			g.requestLookup(ref)
		case isDurablyCancelled(dependency):
			cancelled = true
		default:
			g.inheritPriority(j, dependency)
		}
	}
	switch {
	case cancelled:
		g.cancelWithDependents(j)
	case len(j.Dependencies.Unmet) == 0:
		g.makeEligible(j)
	default:
		g.updateUncertainty(j)
	}
}

// makeEligible lets a job start whose dependencies are all durably done.
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
	g.log.Debug("job is eligible", "ref", j.Spec.Ref)
}

// onTaskLaunched notes that a task of a job was launched, by an earlier leader if the job is
// still blocked here. No leader launches before it knows that all dependencies are durably
// done, and that never changes.
func (g *dependencyGraph) onTaskLaunched(j *state.Job) {
	if j.State != state.JobBlocked {
		return
	}
	j.SetState(state.JobActive)
	j.Dependencies.Unmet, j.Dependencies.Uncertain = nil, false
	for _, d := range g.dependents[j.Spec.Ref] {
		g.updateUncertainty(d)
	}
}

// onDependencyFinished tells the jobs that depend on a job that it is durably over.
func (g *dependencyGraph) onDependencyFinished(ref string, phase protocol.Phase) {
	dependents := g.dependents[ref]
	delete(g.dependents, ref)
	for _, j := range dependents {
		if phase == protocol.PhaseCancelled {
			g.cancelWithDependents(j)
			continue
		}
		j.Dependencies.Unmet = slices.DeleteFunc(j.Dependencies.Unmet, func(r string) bool { return r == ref })
		if len(j.Dependencies.Unmet) == 0 {
			g.makeEligible(j)
		}
		g.updateUncertainty(j)
	}
}

// cancelWithDependents cancels a job of which a dependency is durably cancelled, and all that
// depend on it.
func (g *dependencyGraph) cancelWithDependents(first *state.Job) {
	for pending := []*state.Job{first}; len(pending) > 0; {
		j := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
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
		g.jobs.confirmPendingCancels(ref, g.directory.trackedJobStatus(j))
		pending = append(pending, g.dependents[ref]...)
		delete(g.dependents, ref)
	}
}

// updateUncertainty finds out whether a blocked job may be durably cancelled without this
// leader knowing it, and the same for those that depend on it. It is so while the final record
// of a job before it is on its way, or is still to be read.
func (g *dependencyGraph) updateUncertainty(first *state.Job) {
	for pending := []*state.Job{first}; len(pending) > 0; {
		j := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		uncertain := !j.Dependencies.Cancelled && slices.ContainsFunc(j.Dependencies.Unmet, g.mayBeCancelled)
		if uncertain != j.Dependencies.Uncertain {
			j.Dependencies.Uncertain = uncertain
			pending = append(pending, g.dependents[j.Spec.Ref]...)
		}
	}
}

// mayBeCancelled reports whether a job may be durably cancelled without this leader knowing it.
func (g *dependencyGraph) mayBeCancelled(ref string) bool {
	j := g.cluster.Job(ref)
	return j == nil || j.FinalWriteInFlight || j.Dependencies.Uncertain
}

// onFinalWriteStarted notes that the final record of a cancelled job is on its way.
func (g *dependencyGraph) onFinalWriteStarted(j *state.Job) {
	j.FinalWriteInFlight = true
	g.revokeInheritedPriority(j)
	for _, d := range g.dependents[j.Spec.Ref] {
		g.updateUncertainty(d)
	}
}

// requestLookup has a job looked up that this leader does not know.
func (g *dependencyGraph) requestLookup(ref string) {
	if !g.lookupRequested[ref] {
		g.lookupRequested[ref] = true
		g.pendingLookups = append(g.pendingLookups, ref)
	}
}

// advance goes on with lookups, and with the final records of jobs that were cancelled with a
// dependency.
func (g *dependencyGraph) advance() {
	for g.lookupsInFlight < maxDependencyLookups && len(g.pendingLookups) > 0 {
		ref := g.pendingLookups[0]
		g.pendingLookups = g.pendingLookups[1:]
		g.lookUp(ref)
	}
	for len(g.finalWritesInFlight) < maxDependentFinalWrites && len(g.cancelledByDependency) > 0 {
		j := g.cancelledByDependency[0]
		g.cancelledByDependency = g.cancelledByDependency[1:]
		switch {
		case j.FinalWriteInFlight:
		case j.Cancellation.WriteInFlight || !g.jobs.noAttemptMayRun(j):
			g.cancelledByDependency = append(g.cancelledByDependency, j)
			return
		default:
			g.finalWritesInFlight[j] = true
			j.FinalWriteInFlight = true
			g.jobs.queueFinalRecord(j)
		}
	}
}

// lookUp reads how a job stands that this leader does not know.
func (g *dependencyGraph) lookUp(ref string) {
	if len(g.dependents[ref]) == 0 || g.cluster.Job(ref) != nil {
		delete(g.lookupRequested, ref)
		return // it is known meanwhile
	}
	g.lookupsInFlight++
	g.directory.findJob(priorityUrgent, ref, func(_ jobLookup, err error) {
		if g.ended() {
			return
		}
		g.lookupsInFlight--
		if err == nil {
			delete(g.lookupRequested, ref) // finding it told those that depend on it
			return
		}
		if errors.Is(err, errJobNotFound) {
			g.log.Error("a dependency has no record", "ref", ref)
		}
		g.after(dependencyLookupRetry, func() {
			if !g.ended() {
				g.pendingLookups = append(g.pendingLookups, ref)
			}
		})
	})
}
