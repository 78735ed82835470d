package controller

import (
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/slo"
	"mapleslip/internal/state"
)

// termContext contains what all components of a leader's term share.
type termContext struct {
	*environment
	owner *leaderTerm

	cluster            *state.Cluster
	epoch              uint64
	tokens             leadership.Tokens // fencing tokens of the epoch
	startedAt          micros
	recordsLoadedAt    micros            // time at which all records had been read
	recoveryStages     []SpanStage       // stages of the failover, for tracing
	reconciled         bool              // every recorded host has sent a heartbeat or is proven empty
	launchesUnrecorded bool              // earlier launches may lack records, see records.Epoch
	cycleNeeded        bool              // a change requires a scheduling cycle
	releasedHosts      map[string]micros // since when released hosts are gone, by host
}

// hasSeenTerm reports whether a worker had received a message of this leader when it sent a
// heartbeat.
func (tc *termContext) hasSeenTerm(hb *protocol.Heartbeat) bool {
	return tc.tokens.Contains(hb.SeenEpoch)
}

// ended reports whether this controller no longer leads in this term. Callbacks check it
// before they change anything.
func (tc *termContext) ended() bool { return tc.term != tc.owner }

// leaderTerm contains the components and the state of a leader during one epoch. It is discarded
// when leadership is lost.
type leaderTerm struct {
	*termContext

	submitQueue  *submissionQueue
	jobs         *jobManager
	dependencies *dependencyGraph
	agents       *agents
	commands     *commandSender
	prober       *prober
	hosts        *hostMonitor
	peers        *peerMonitor
	transfer     *transferController
	handover     *handoverWriter
	faults       *faultTracker
	scheduler    *scheduler
	objectives   *objectiveTracker
	workload     *workload
	estimates    *machineEstimates
	autoscaler   *autoscaler
	cloud        *cloudMonitor
	records      *recordStore

	config   configTerm
	features featureTerm
	rollouts rolloutTerm

	lastSweep micros // time of the last sweep over all jobs and hosts
}

// newLeaderTerm creates the term for the epoch of this controller's lease, before any record has
// been read.
func (c *Controller) newLeaderTerm() *leaderTerm {
	tc := &termContext{
		environment: c.environment, cluster: state.NewCluster(), epoch: c.election.lease.epoch, startedAt: c.now.Steady,
		tokens:             leadership.TokensOf(c.election.lease.epoch),
		launchesUnrecorded: c.election.lease.launchesUnrecorded, releasedHosts: make(map[string]micros),
	}
	t := &leaderTerm{
		termContext:  tc,
		submitQueue:  &submissionQueue{pending: make(map[string][]ReplyAddress)},
		jobs:         &jobManager{termContext: tc, pendingCancels: make(map[string][]ReplyAddress)},
		dependencies: newDependencyGraph(tc),
		agents:       &agents{termContext: tc},
		commands:     &commandSender{termContext: tc},
		prober:       &prober{termContext: tc, inFlightByZone: make(map[string]int)},
		hosts:        &hostMonitor{termContext: tc, partitionSeenAt: make(map[string]micros)},
		peers:        &peerMonitor{termContext: tc, statuses: make(map[string]peerStatus)},
		transfer:     &transferController{termContext: tc, recent: c.election.lease.transfers},
		handover:     &handoverWriter{termContext: tc},
		faults:       &faultTracker{termContext: tc},
		scheduler:    newScheduler(tc),
		objectives:   &objectiveTracker{termContext: tc, window: slo.Window{}, longestStartWait: make(map[string]micros)},
		workload:     &workload{termContext: tc, classes: make(map[string]*classStats)},
		estimates:    &machineEstimates{termContext: tc, bootFactor: make(estimateFactors), fetchFactor: make(estimateFactors)},
		autoscaler:   newAutoscaler(tc),
		cloud:        &cloudMonitor{termContext: tc},
		records:      newRecordStore(tc),
	}
	tc.owner = t
	c.connectTerm(t)
	c.rollouts.startTerm(t)
	c.config.startTerm(t)
	return t
}

// connectTerm sets the references between the components of a term.
func (c *Controller) connectTerm(t *leaderTerm) {
	t.connectJobs(c)
	t.connectHosts(c)
	t.connectScheduling(c)
	t.connectRecords(c)
}

func (t *leaderTerm) connectJobs(c *Controller) {
	t.jobs.commands, t.jobs.dependencies, t.jobs.objectives = t.commands, t.dependencies, t.objectives
	t.jobs.records, t.jobs.workload = t.records, t.workload
	t.jobs.directory, t.jobs.election, t.jobs.store = c.directory, c.election, c.store

	t.dependencies.jobs, t.dependencies.estimates, t.dependencies.workload = t.jobs, t.estimates, t.workload
	t.dependencies.catalog, t.dependencies.directory = c.catalog, c.directory

	t.objectives.workload, t.estimates.catalog = t.workload, c.catalog
	t.faults.rollouts = c.rollouts
}

func (t *leaderTerm) connectHosts(c *Controller) {
	t.agents.commands, t.agents.dependencies, t.agents.estimates = t.commands, t.dependencies, t.estimates
	t.agents.faults, t.agents.jobs, t.agents.records = t.faults, t.jobs, t.records
	t.agents.scheduler, t.agents.workload, t.agents.catalog = t.scheduler, t.workload, c.catalog
	t.agents.election, t.agents.peers, t.agents.prober = c.election, t.peers, t.prober

	t.commands.agents, t.commands.hosts, t.commands.scheduler, t.commands.election = t.agents, t.hosts, t.scheduler, c.election
	t.prober.commands, t.prober.peers, t.prober.membership = t.commands, t.peers, c.membership

	t.hosts.agents, t.hosts.cloud, t.hosts.commands, t.hosts.handover = t.agents, t.cloud, t.commands, t.handover
	t.hosts.peers, t.hosts.prober, t.hosts.transfer = t.peers, t.prober, t.transfer
	t.hosts.election, t.hosts.recovery = c.election, c.recovery

	t.peers.handover, t.peers.election, t.peers.membership = t.handover, c.election, c.membership
	t.transfer.hosts, t.transfer.peers = t.hosts, t.peers
	t.transfer.election, t.transfer.features = c.election, c.features
	t.handover.hosts, t.handover.records = t.hosts, t.records
	t.handover.election, t.handover.membership = c.election, c.membership
}

func (t *leaderTerm) connectScheduling(c *Controller) {
	t.scheduler.agents, t.scheduler.autoscaler, t.scheduler.commands = t.agents, t.autoscaler, t.commands
	t.scheduler.estimates, t.scheduler.faults, t.scheduler.hosts = t.estimates, t.faults, t.hosts
	t.scheduler.objectives, t.scheduler.records, t.scheduler.workload = t.objectives, t.records, t.workload
	t.scheduler.catalog, t.scheduler.config, t.scheduler.election = c.catalog, c.config, c.election

	t.autoscaler.cloud, t.autoscaler.estimates, t.autoscaler.scheduler = t.cloud, t.estimates, t.scheduler
	t.autoscaler.submitQueue, t.autoscaler.workload = t.submitQueue, t.workload
	t.autoscaler.catalog, t.autoscaler.config = c.catalog, c.config

	t.cloud.agents, t.cloud.hosts, t.cloud.records, t.cloud.scheduler = t.agents, t.hosts, t.records, t.scheduler
	t.cloud.catalog, t.cloud.election, t.cloud.features = c.catalog, c.election, c.features
}

func (t *leaderTerm) connectRecords(c *Controller) {
	t.records.commands, t.records.jobs = t.commands, t.jobs
	t.records.config, t.records.election, t.records.store = c.config, c.election, c.store
}

// sweepInterval is how often the leader checks all state that can change by the passing of time
// alone.
const sweepInterval = 200 * protocol.Millisecond

// runPeriodicWork does the work that is due while this controller leads. It runs on ticks only, so
// that the cost of any other event depends on that event alone.
func (c *Controller) runPeriodicWork() {
	t := c.term
	if c.election.role != RoleLeader && c.election.role != RoleLeaseUncertain {
		return
	}
	sweep := c.now.Steady-t.lastSweep >= sweepInterval
	if sweep {
		t.lastSweep = c.now.Steady
		t.hosts.checkHosts()
		if t.ended() {
			return // this controller has stepped down
		}
	}
	t.commands.checkTokens()
	if t.ended() {
		return
	}
	t.prober.runProbes()
	if c.election.role != RoleLeader {
		t.commands.sendQueuedCommands()
		return
	}
	c.config.runPeriodicWork(t)
	c.features.checkRegistry(t)
	t.dependencies.advance()
	if sweep {
		c.config.enforceRevision()
		t.records.recordImages()
		t.jobs.reviewJobs()
		t.records.deleteOrphanedRecords()
		t.records.splitLargeShards()
	}
	t.records.writeDueShards(t.records.hostShards)
	t.records.writeDueShards(t.records.launchShards)
	t.records.writeDueShards(t.records.completionShards)
	t.records.writeCompletionChunks()
	t.jobs.writeQueuedFinals() // final records of jobs that ended while the lease was uncertain
	t.records.writeDueShards(t.records.bookingShards)
	t.scheduler.runIfDue()
	if !t.ended() && c.election.mayActAsLeader() {
		t.commands.sendQueuedCommands()
		t.cloud.sendReleases()
		c.rollouts.step(rollout.Tick{})
	}
}
