package controller

import (
	"strings"

	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/slo"
	"mapleslip/internal/state"
)

// leaderTerm is what a leader knows and does during one epoch.
type leaderTerm struct {
	cluster      *state.Cluster
	epoch     uint64
	startedAt   micros
	recordsLoadedAt       micros      // when the records were read
	recoveryStages    []SpanStage // of the take-over, for tracing
	reconciled bool        // every recorded host has reported or is proven empty
	cycleNeeded     bool        // something changed that a round should look at
	lastCycle micros
	lastSweep micros
	attemptSeq  uint64 // counter for attempt numbers
	rentRequestSeq    uint64 // counter for claim names

	pendingSubmits            map[string][]ReplyAddress // submissions whose record is on its way
	submitLimiter, urgentSubmitLimiter submitLimiter            // lines of submissions: of most jobs, and of those that have to start at once
	pendingCancels            map[string][]ReplyAddress
	releasedHosts               map[string]micros // machines that are certainly gone, and since when
	autoscaler             autoscaler
	peers             map[string]peerStatus  // what the other controllers said of themselves
	peersQuiesced              bool              // each has said that it answers nobody under an earlier epoch
	partitionSeenAt            map[string]micros // when a zone last looked cut off
	classes            map[string]*classStats

	slotTable slottable.Table
	machines  map[*state.Host]*slottable.Machine
	cycle  *schedulingCycle // over the queue, cut short or not

	hostShards    *recordShards // records of hosts, bookings and completions
	bookingShards *recordShards
	completionShards    *recordShards
	launchShards  *recordShards
	launches     map[string]*state.Attempt // by task, those that a record names or will
	launchesWrittenAt micros                    // when a record of launches was last sent
	finals       finalWriter
	handover       handoverWriter
	transfers       []protocol.LeadershipTransfer   // leases that were given back lately
	transferInFlight     bool               // this one is being given back
	sloWindow       slo.Window         // which part of each class and team is served
	longestStartWait      map[string]micros  // for which a largest job has waited to begin, by class
	transferDecision      leadership.Decision // last found
	launchesUnrecorded     bool               // earlier launches may be in no record, see EncodeEpoch
	chunkWriter       chunkWriter

	commandQueue  []*state.Host // hosts that commands wait for
	commandsInFlight int           // direct commands on their way
	prober  prober

	dependencies dependencyGraph // jobs that await others

	orphanedKeys  []string // keys to be dropped
	droppingOrphans bool

	nextImageRecord micros

	rollouts rolloutTerm
	config   configTerm
	features   featureTerm

	lastCutLog, lastBudgetLog micros // when what they are about was last logged
}

// newLeaderTerm is what a leader of the seat's epoch knows before it has read anything.
func (c *Controller) newLeaderTerm() *leaderTerm {
	t := &leaderTerm{
		cluster: state.NewCluster(), epoch: c.lease.epoch, startedAt: c.now.Steady,
		pendingSubmits: make(map[string][]ReplyAddress), pendingCancels: make(map[string][]ReplyAddress), releasedHosts: make(map[string]micros),
		classes: make(map[string]*classStats), peers: make(map[string]peerStatus), partitionSeenAt: make(map[string]micros), machines: make(map[*state.Host]*slottable.Machine),
	}
	t.autoscaler.init()
	t.dependencies = newDependencyGraph()
	t.prober.init()
	t.hostShards = c.newRecordShards(state.HostShardPrefix, c.encodeHosts)
	t.bookingShards = c.newRecordShards(state.BookingShardPrefix, c.encodeBookings)
	t.completionShards = c.newRecordShards(state.CompletionShardPrefix, c.encodeCompletions)
	t.launchShards = c.newRecordShards(state.LaunchShardPrefix, c.encodeLaunches)
	t.longestStartWait = make(map[string]micros)
	t.launches = make(map[string]*state.Attempt)
	t.launchesUnrecorded, t.transfers = c.lease.launchesUnrecorded, c.lease.transfers
	c.initRolloutTerm(t)
	c.initConfigTerm(t)
	return t
}

// steadyTime turns a time of day into the steady clock's.
func (c *Controller) steadyTime(wall micros) micros { return c.now.Steady + wall - c.now.Wall }

// watchJobs notices the jobs that other nodes took while this one could not
// be reached. After changes were missed it reads them all again.
func (c *Controller) watchJobs(t *leaderTerm, rev uint64) {
	gone := func() bool { return c.term != t }
	take := func(e protocol.Entry) {
		if e.Value != nil && !gone() {
			c.observeJobRecord(e)
		}
	}
	var reread func()
	reread = func() {
		if gone() {
			return
		}
		c.listPrefix(priorityUrgent, state.JobPrefix, take, func(rev uint64, ok bool) {
			switch {
			case gone():
			case ok:
				c.watchJobs(t, rev)
			default:
				c.after(protocol.Second, reread)
			}
		})
	}
	c.watchPrefix(priorityUrgent, state.JobPrefix, rev, gone, take, reread)
}

// observeJobRecord takes a job's record into the book, unless it is there.
func (c *Controller) observeJobRecord(e protocol.Entry) *state.Job {
	t := c.term
	ref := strings.TrimPrefix(e.Key, state.JobPrefix)
	if j := t.cluster.Job(ref); j != nil {
		return j
	}
	if _, over := c.finishedJobs.find(ref); over {
		return nil
	}
	j, err := state.DecodeJob(e.Value)
	if err != nil || j.Spec.Ref != ref {
		c.logDamagedRecord(e, err)
		return nil
	}
	j.Revision = e.Revision
	c.addJob(j)
	return j
}

// addJob puts a job into the book.
func (c *Controller) addJob(j *state.Job) {
	t := c.term
	j.Submitted = min(c.now.Steady, c.steadyTime(j.SubmittedWall))
	t.cluster.AddJob(j)
	c.linkDependencies(j)
	// An attempt of a job that was not known yet may have been reported.
	for _, a := range t.cluster.BindAttempts(c.now.Steady, j) {
		c.onTaskLaunched(j)
		c.recordLaunch(a, c.now.Steady)
	}
	if len(j.Spec.DependsOn) == 0 {
		c.classStats(j.Spec.Class).onArrival(c.now.Steady, j)
	}
	c.log.Debug("job", "ref", j.Spec.Ref, "class", j.Spec.Class, "team", j.Spec.Team, "tasks", j.Spec.Tasks, "rank", int(j.Spec.Priority),
		"cpus", float64(j.Spec.TaskResources.CPU)/1000, "gpus", float64(j.Spec.TaskResources.GPU)/1000, "mem_gb", float64(j.Spec.TaskResources.Memory)/1000, "saves", j.Spec.CanCheckpoint(), "estimate_ms", int64(j.Spec.EstimatedRuntime/protocol.Millisecond))
	t.cycleNeeded = true
}

// sweepEvery is how often everything is looked at that only time changes.
const sweepEvery = 200 * protocol.Millisecond

// runPeriodicWork does what is due while this node leads. It comes with ticks only, so
// that an event costs what it is about and nothing else.
func (c *Controller) runPeriodicWork() {
	t := c.term
	if c.role != RoleLeader && c.role != RoleLeaseUncertain {
		return
	}
	sweep := c.now.Steady-t.lastSweep >= sweepEvery
	if sweep {
		t.lastSweep = c.now.Steady
		c.checkHosts()
		if c.term != t {
			return // it resigned
		}
	}
	c.runProbes()
	if c.role != RoleLeader {
		c.sendQueuedCommands()
		return
	}
	c.runConfigWork(t)
	c.checkRegistry(t)
	c.advanceDependencies()
	if sweep {
		c.enforceRevision()
		c.recordImages()
		c.reviewJobs()
		c.deleteOrphanedRecords()
		c.splitLargeShards()
	}
	c.writeDueShards(t.hostShards)
	c.writeDueShards(t.launchShards)
	c.writeDueShards(t.completionShards)
	c.writeCompletionChunks()
	c.writeQueuedFinals() // of jobs that ended while the lease was in doubt
	c.writeDueShards(t.bookingShards)
	since := c.now.Steady - t.lastCycle
	if t.cycle != nil || since >= c.operator.MaxCycleInterval || (t.cycleNeeded && since >= c.operator.MinCycleInterval) {
		c.runSchedulingStep()
	}
	if c.term == t && c.mayActAsLeader() {
		c.sendQueuedCommands()
		c.sendReleases()
		c.stepRollouts(rollout.Tick{})
	}
}
