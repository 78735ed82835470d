package controller

import (
	"strings"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/state"
)

// steadyTime turns a time of day into the steady clock's.
func (env *environment) steadyTime(wall micros) micros { return env.now.Steady + wall - env.now.Wall }

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
		jm.store.listPrefix(priorityUrgent, state.JobPrefix, take, func(rev uint64, ok bool) {
			switch {
			case gone():
			case ok:
				jm.watchJobs(rev)
			default:
				jm.after(protocol.Second, reread)
			}
		})
	}
	jm.store.watchPrefix(priorityUrgent, state.JobPrefix, rev, gone, take, reread)
}

// observeJobRecord takes a job's record into the book, unless it is there.
func (jm *jobManager) observeJobRecord(e protocol.Entry) *state.Job {
	ref := strings.TrimPrefix(e.Key, state.JobPrefix)
	if j := jm.cluster.Job(ref); j != nil {
		return j
	}
	if _, over := jm.directory.finishedJobs.find(ref); over {
		return nil
	}
	j, err := state.DecodeJob(e.Value)
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

// sweepEvery is how often everything is looked at that only time changes.
const sweepEvery = 200 * protocol.Millisecond

// runPeriodicWork does what is due while this node leads. It comes with ticks only, so
// that an event costs what it is about and nothing else.
func (c *Controller) runPeriodicWork() {
	t := c.term
	if c.election.role != RoleLeader && c.election.role != RoleLeaseUncertain {
		return
	}
	sweep := c.now.Steady-t.lastSweep >= sweepEvery
	if sweep {
		t.lastSweep = c.now.Steady
		c.term.hosts.checkHosts()
		if c.term != t {
			return // it resigned
		}
	}
	c.term.prober.runProbes()
	if c.election.role != RoleLeader {
		c.term.commands.sendQueuedCommands()
		return
	}
	c.config.runConfigWork(t)
	c.features.checkRegistry(t)
	c.term.dependencies.advanceDependencies()
	if sweep {
		c.config.enforceRevision()
		c.term.records.recordImages()
		c.term.jobs.reviewJobs()
		c.term.records.deleteOrphanedRecords()
		c.term.records.splitLargeShards()
	}
	c.term.records.writeDueShards(t.records.hostShards)
	c.term.records.writeDueShards(t.records.launchShards)
	c.term.records.writeDueShards(t.records.completionShards)
	c.term.records.writeCompletionChunks()
	c.term.jobs.writeQueuedFinals() // of jobs that ended while the lease was in doubt
	c.term.records.writeDueShards(t.records.bookingShards)
	since := c.now.Steady - t.scheduler.lastCycle
	if t.scheduler.cycle != nil || since >= c.operator.MaxCycleInterval || (t.cycleNeeded && since >= c.operator.MinCycleInterval) {
		c.term.scheduler.runSchedulingStep()
	}
	if c.term == t && c.election.mayActAsLeader() {
		c.term.commands.sendQueuedCommands()
		c.term.cloud.sendReleases()
		c.rollouts.stepRollouts(rollout.Tick{})
	}
}
