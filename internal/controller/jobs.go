package controller

import (
	"strings"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
	"mapleslip/internal/statestore"
)

// jobManager manages the jobs that a leader tracks: it adds them to the cluster state, cancels
// them, and writes their final records.
type jobManager struct {
	*termContext
	commands     *commandSender
	dependencies *dependencyGraph
	directory    *jobDirectory
	election     *election
	objectives   *objectiveTracker
	records      *recordStore
	store        *statestore.Client
	workload     *workload

	pendingCancels map[string][]ReplyAddress // users who wait for a cancellation, by job
	finals         finalWriter
}

// jobListRetry is the delay before the list of jobs is read again after a failed read.
const jobListRetry = protocol.Second

// watchJobs watches the job records, to detect the jobs that other controllers accept while this
// leader can't be reached. If the watch missed changes, all job records are read again.
func (jm *jobManager) watchJobs(revision uint64) {
	jm.store.Watch(priorityUrgent, records.JobPrefix, revision, jm.ended, jm.onJobChanged, jm.rereadJobs)
}

func (jm *jobManager) onJobChanged(e protocol.Entry) {
	if e.Value != nil && !jm.ended() {
		jm.observeJobRecord(e)
	}
}

func (jm *jobManager) rereadJobs() {
	if jm.ended() {
		return
	}
	jm.store.List(priorityUrgent, records.JobPrefix, jm.onJobChanged, func(revision uint64, err error) {
		switch {
		case jm.ended():
		case err == nil:
			jm.watchJobs(revision)
		default:
			jm.after(jobListRetry, jm.rereadJobs)
		}
	})
}

// observeJobRecord adds the job of a record to the cluster state, unless the leader tracks it
// already, and returns the job. It returns nil if the job is finished, or if its record can't be
// decoded.
func (jm *jobManager) observeJobRecord(e protocol.Entry) *state.Job {
	ref := strings.TrimPrefix(e.Key, records.JobPrefix)
	if j := jm.cluster.Job(ref); j != nil {
		return j
	}
	if _, finished := jm.directory.finishedJobs.find(ref); finished {
		return nil
	}
	j, err := records.DecodeJob(e.Value)
	if err == nil && j.Spec.Ref != ref {
		err = &records.FieldError{Record: "job", Field: "ref"}
	}
	if err != nil {
		jm.logDamagedRecord(e, err)
		return nil
	}
	j.Revision = e.Revision
	jm.addJob(j)
	return j
}

// addJob adds a job to the cluster state, and links it to its dependencies and its attempts.
func (jm *jobManager) addJob(j *state.Job) {
	j.Submitted = min(jm.now.Steady, jm.steadyTime(j.SubmittedWall))
	jm.cluster.AddJob(j)
	jm.dependencies.linkDependencies(j)
	// Workers may have reported attempts of the job before its record was read.
	for _, a := range jm.cluster.BindAttempts(jm.now.Steady, j) {
		jm.dependencies.onTaskLaunched(j)
		jm.records.recordLaunch(a, jm.now.Steady)
	}
	s := j.Spec
	if len(s.DependsOn) == 0 {
		jm.workload.classStats(s.Class).onArrival(jm.now.Steady, j)
	}
	need := s.TaskResources
	jm.log.Debug("job added", "ref", s.Ref, "class", s.Class, "team", s.Team, "tasks", s.Tasks, "priority", int(s.Priority),
		"cpus", float64(need.CPU)/1000, "gpus", float64(need.GPU)/1000, "memory_gb", float64(need.Memory)/1000,
		"checkpoints", s.CanCheckpoint(), "estimate_ms", int64(s.EstimatedRuntime/protocol.Millisecond))
	jm.cycleNeeded = true
}

// reviewJobs checks all jobs: it counts those whose objectives are due, continues cancellations,
// and removes finished jobs that have no active attempt.
func (jm *jobManager) reviewJobs() {
	var finished []*state.Job
	for _, j := range jm.cluster.Jobs() {
		jm.objectives.countObjective(j)
		jm.objectives.countLargeJobStart(j)
		switch j.State {
		case state.JobDone, state.JobClosed:
			if j.NoActiveAttempts() {
				finished = append(finished, j)
			}
		case state.JobCancelling:
			jm.completeCancellation(j)
			jm.persistCancelRequest(j)
		case state.JobCancelledLegacy:
			if j.NoActiveAttempts() && jm.reconciled && !j.FinalWriteInFlight && len(jm.pendingCancels[j.Spec.Ref]) == 0 {
				jm.dependencies.onFinalWriteStarted(j)
				jm.queueFinalRecord(j)
			}
		case state.JobActive, state.JobBlocked, state.JobFinishing:
		}
	}
	jm.cluster.RemoveJobs(finished)
}
