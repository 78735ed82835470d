package controller

import (
	"errors"
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// dependencyGraph tracks the dependencies between a leader's jobs. A job that depends on others is
// blocked until each of them is known to be durably done, and is not scheduled before. Once one of
// them is durably cancelled, so is the job: every reader of the records comes to the same
// conclusion, and the job's own final record is written later, when the write rate allows. No
// other write, and no deadline for one, is needed for this to hold.
type dependencyGraph struct {
	*termContext
	catalog   *machineCatalog
	directory *jobDirectory
	estimates *machineEstimates
	jobs      *jobManager
	workload  *workload

	dependents            map[string][]*state.Job // blocked jobs, by each of their unmet dependencies
	pendingLookups        []string                // dependencies whose lookup has not started
	lookupRequested       map[string]bool         // those, and the ones whose lookup has started
	lookupsInFlight       int
	cancelledByDependency []*state.Job        // jobs whose final records are not in flight yet
	finalWritesInFlight   map[*state.Job]bool // jobs whose final records are in flight
}

// Limits on concurrent lookups and writes, since other requests share the state service's rate.
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

// linkDependencies links a job that was added to the cluster state to its dependencies, and to the
// jobs that depend on it.
func (g *dependencyGraph) linkDependencies(j *state.Job) {
	j.EligibleAt = j.Submitted
	if len(j.Dependencies.Unmet) > 0 {
		g.resolveDependencies(j)
	}
	// Jobs that depend on j may have been added before j.
	for _, d := range g.dependents[j.Spec.Ref] {
		g.inheritPriority(d, j)
		if isDurablyCancelled(j) {
			g.cancelWithDependents(d)
		} else {
			g.updateUncertainty(d)
		}
	}
}

// isDurablyCancelled reports whether a job in the cluster state is known to be durably cancelled.
func isDurablyCancelled(j *state.Job) bool {
	return j.Dependencies.Cancelled || j.State == state.JobCancelledLegacy
}

// resolveDependencies determines the state of a job's dependencies: it makes the job eligible,
// cancels it, or leaves it blocked and requests the lookups that are needed.
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

// makeEligible unblocks a job whose dependencies are all durably done.
func (g *dependencyGraph) makeEligible(j *state.Job) {
	if j.State != state.JobBlocked {
		return // it is being cancelled
	}
	j.SetState(state.JobActive)
	j.EligibleAt = g.now.Steady
	if g.recordsLoadedAt > 0 {
		g.workload.classStats(j.Spec.Class).onArrival(g.now.Steady, j)
	}
	g.cycleNeeded = true
	g.log.Debug("job is eligible", "ref", j.Spec.Ref)
}

// onTaskLaunched unblocks a job of which a task was launched, by an earlier leader if the job is
// still blocked here. A leader launches a job only after all its dependencies are known to be
// durably done, and a job that is durably done remains so.
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

// onDependencyFinished updates the jobs that depend on a job whose final record is durable.
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

// cancelWithDependents cancels a job that has a durably cancelled dependency, and all jobs that
// depend on it.
func (g *dependencyGraph) cancelWithDependents(root *state.Job) {
	for pending := []*state.Job{root}; len(pending) > 0; {
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

// updateUncertainty determines whether a blocked job may be durably cancelled without this leader
// having the information, and does the same for the jobs that depend on it. This is the case while
// the final record of a direct or indirect dependency is being written or has not been read.
func (g *dependencyGraph) updateUncertainty(root *state.Job) {
	for pending := []*state.Job{root}; len(pending) > 0; {
		j := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		uncertain := !j.Dependencies.Cancelled && slices.ContainsFunc(j.Dependencies.Unmet, g.mayBeCancelled)
		if uncertain != j.Dependencies.Uncertain {
			j.Dependencies.Uncertain = uncertain
			pending = append(pending, g.dependents[j.Spec.Ref]...)
		}
	}
}

// mayBeCancelled reports whether a job may be durably cancelled without this leader having the
// information.
func (g *dependencyGraph) mayBeCancelled(ref string) bool {
	j := g.cluster.Job(ref)
	return j == nil || j.FinalWriteInFlight || j.Dependencies.Uncertain
}

// onFinalWriteStarted marks the final record of a cancelled job as being written, and updates the
// jobs that depend on it and the priorities of its dependencies.
func (g *dependencyGraph) onFinalWriteStarted(j *state.Job) {
	j.FinalWriteInFlight = true
	g.revokeInheritedPriority(j)
	for _, d := range g.dependents[j.Spec.Ref] {
		g.updateUncertainty(d)
	}
}

// requestLookup queues the lookup of a dependency that this leader does not track.
func (g *dependencyGraph) requestLookup(ref string) {
	if !g.lookupRequested[ref] {
		g.lookupRequested[ref] = true
		g.pendingLookups = append(g.pendingLookups, ref)
	}
}

// advance starts queued lookups, and the writes of final records of jobs that were cancelled with
// a dependency, up to their limits.
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

// lookUp reads the state of a dependency that this leader does not track.
func (g *dependencyGraph) lookUp(ref string) {
	if len(g.dependents[ref]) == 0 || g.cluster.Job(ref) != nil {
		delete(g.lookupRequested, ref)
		return // the leader tracks it by now, or no blocked job depends on it
	}
	g.lookupsInFlight++
	g.directory.findJob(priorityUrgent, ref, func(_ jobLookup, err error) {
		if g.ended() {
			return
		}
		g.lookupsInFlight--
		if err == nil {
			delete(g.lookupRequested, ref) // findJob has updated the jobs that depend on it
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
