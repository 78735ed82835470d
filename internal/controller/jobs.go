package controller

import (
	"strings"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
)

// jobManager owns the life of the jobs that a leader tracks: it takes them into the cluster
// state, cancels them, and writes their final records.
type jobManager struct {
	*termContext
	commands     *commandSender
	dependencies *dependencyGraph
	directory    *jobDirectory
	election     *election
	objectives   *objectiveTracker
	records      *recordStore
	store        *stateStore
	workload     *workload

	pendingCancels map[string][]ReplyAddress // users who wait for a cancellation, by job
	finals         finalWriter
}

// watchJobs notices the jobs that other nodes took while this one could not
// be reached. After changes were missed it reads them all again.
func (jm *jobManager) watchJobs(rev uint64) {
	gone := func() bool { return jm.ended() }
	take := func(e protocol.Entry) {
		if e.Value != nil && !gone() {
			jm.observeJobRecord(e)
		}
	}
	var reread func()
	reread = func() {
		if gone() {
			return
		}
		jm.store.listPrefix(priorityUrgent, records.JobPrefix, take, func(rev uint64, ok bool) {
			switch {
			case gone():
			case ok:
				jm.watchJobs(rev)
			default:
				jm.after(protocol.Second, reread)
			}
		})
	}
	jm.store.watchPrefix(priorityUrgent, records.JobPrefix, rev, gone, take, reread)
}

// observeJobRecord takes a job's record into the book, unless it is there.
func (jm *jobManager) observeJobRecord(e protocol.Entry) *state.Job {
	ref := strings.TrimPrefix(e.Key, records.JobPrefix)
	if j := jm.cluster.Job(ref); j != nil {
		return j
	}
	if _, over := jm.directory.finishedJobs.find(ref); over {
		return nil
	}
	j, err := records.DecodeJob(e.Value)
	if err != nil || j.Spec.Ref != ref {
		jm.logDamagedRecord(e, err)
		return nil
	}
	j.Revision = e.Revision
	jm.addJob(j)
	return j
}

// addJob puts a job into the book.
func (jm *jobManager) addJob(j *state.Job) {
	j.Submitted = min(jm.now.Steady, jm.steadyTime(j.SubmittedWall))
	jm.cluster.AddJob(j)
	jm.dependencies.linkDependencies(j)
	// An attempt of a job that was not known yet may have been reported.
	for _, a := range jm.cluster.BindAttempts(jm.now.Steady, j) {
		jm.dependencies.onTaskLaunched(j)
		jm.records.recordLaunch(a, jm.now.Steady)
	}
	if len(j.Spec.DependsOn) == 0 {
		jm.workload.classStats(j.Spec.Class).onArrival(jm.now.Steady, j)
	}
	jm.log.Debug("job", "ref", j.Spec.Ref, "class", j.Spec.Class, "team", j.Spec.Team, "tasks", j.Spec.Tasks, "rank", int(j.Spec.Priority),
		"cpus", float64(j.Spec.TaskResources.CPU)/1000, "gpus", float64(j.Spec.TaskResources.GPU)/1000, "mem_gb", float64(j.Spec.TaskResources.Memory)/1000, "saves", j.Spec.CanCheckpoint(), "estimate_ms", int64(j.Spec.EstimatedRuntime/protocol.Millisecond))
	jm.cycleNeeded = true
}

// reviewJobs lets go of jobs that are over and of which no attempt is left.
func (jm *jobManager) reviewJobs() {
	var over []*state.Job
	for _, j := range jm.cluster.Jobs() {
		jm.objectives.countObjective(j)
		jm.objectives.countLargeJobStart(j)
		switch j.State {
		case state.JobDone, state.JobClosed:
			if j.NoActiveAttempts() {
				over = append(over, j)
			}
		case state.JobCancelling:
			jm.completeCancellation(j)
			jm.persistCancelRequest(j)
		case state.JobCancelledLegacy: // by an earlier version
			if j.NoActiveAttempts() && jm.reconciled && !j.FinalWriteInFlight && len(jm.pendingCancels[j.Spec.Ref]) == 0 {
				jm.dependencies.onFinalWriteStarted(j)
				jm.queueFinalRecord(j)
			}
		}
	}
	jm.cluster.RemoveJobs(over)
}
