package controller

import (
	"log/slog"
	"math/rand/v2"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/slo"
	"mapleslip/internal/state"
)

// Controller is one controller of a deployment: it hands events to the component that they
// are for. The components below live as long as the process; what a leader holds besides is
// in environment.term.
type Controller struct {
	*environment

	store       *stateStore
	election    *election
	recovery    *recovery
	membership  *membership
	router      *workerRouter
	users       *userGateway
	directory   *jobDirectory
	submissions *submissions
	catalog     *machineCatalog
	config      *configManager
	features    *featureManager
	rollouts    *rolloutDriver
}

// New makes a controller. It does nothing before Start.
func New(p *protocol.Platform, o protocol.OperatorSettings, seed uint64, log *slog.Logger) *Controller {
	env := &environment{
		platform: p, operator: o, rng: rand.New(rand.NewPCG(seed, 0x6d61706c65)), log: log,
		calls: make(map[uint64]openCall), cloudHealth: serviceHealth{name: "the cloud"},
	}
	c := &Controller{
		environment: env,
		store:       &stateStore{environment: env, limits: newStateLimits(p), health: serviceHealth{name: "the state service"}},
		election:    &election{environment: env},
		recovery:    &recovery{environment: env},
		membership:  &membership{environment: env},
		router:      &workerRouter{environment: env, workers: make(map[string]redirectedWorker)},
		users:       &userGateway{environment: env},
		directory:   &jobDirectory{environment: env, finishedJobs: newFinishedJobCache()},
		submissions: &submissions{environment: env},
		catalog:     &machineCatalog{environment: env, byName: make(map[string]*protocol.MachineType)},
		config:      &configManager{environment: env},
		features:    &featureManager{environment: env, state: &featureState{serves: featuregate.Build}},
		rollouts:    &rolloutDriver{environment: env},
	}
	c.connect()
	return c
}

// connect tells each component which others it works with.
func (c *Controller) connect() {
	c.store.config, c.store.election, c.store.rollouts = c.config, c.election, c.rollouts
	c.election.features, c.election.recovery, c.election.store = c.features, c.recovery, c.store
	c.membership.election, c.membership.router, c.membership.store = c.election, c.router, c.store
	c.router.catalog, c.router.election, c.router.membership = c.catalog, c.election, c.membership
	c.directory.election, c.directory.store = c.election, c.store
	c.catalog.features, c.catalog.store = c.features, c.store

	c.recovery.newTerm = c.newLeaderTerm
	c.recovery.config, c.recovery.features, c.recovery.rollouts = c.config, c.features, c.rollouts
	c.recovery.catalog, c.recovery.directory, c.recovery.election = c.catalog, c.directory, c.election
	c.recovery.membership, c.recovery.store = c.membership, c.store

	c.users.config, c.users.directory, c.users.election, c.users.features = c.config, c.directory, c.election, c.features
	c.users.membership, c.users.rollouts, c.users.store, c.users.submissions = c.membership, c.rollouts, c.store, c.submissions

	c.submissions.catalog, c.submissions.config, c.submissions.directory = c.catalog, c.config, c.directory
	c.submissions.election, c.submissions.features, c.submissions.store, c.submissions.users = c.election, c.features, c.store, c.users

	c.config.election, c.config.membership, c.config.store, c.config.users = c.election, c.membership, c.store, c.users
	c.features.catalog, c.features.election, c.features.membership, c.features.store = c.catalog, c.election, c.membership, c.store

	c.rollouts.catalog, c.rollouts.directory, c.rollouts.election = c.catalog, c.directory, c.election
	c.rollouts.membership, c.rollouts.store, c.rollouts.submissions, c.rollouts.users = c.membership, c.store, c.submissions, c.users
}

// newLeaderTerm makes what a leader of the lease's epoch holds before it has read anything.
func (c *Controller) newLeaderTerm() *leaderTerm {
	tc := &termContext{
		environment: c.environment, cluster: state.NewCluster(), epoch: c.election.lease.epoch, startedAt: c.now.Steady,
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
		estimates:    &machineEstimates{termContext: tc, bootFactor: make(map[string]float64), fetchFactor: make(map[string]float64)},
		autoscaler:   newAutoscaler(tc),
		cloud:        &cloudMonitor{termContext: tc},
		records:      newRecordStore(tc),
	}
	tc.owner = t
	c.connectTerm(t)
	c.rollouts.initRolloutTerm(t)
	c.config.initConfigTerm(t)
	return t
}

// connectTerm tells each component of a term which others it works with.
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

	t.objectives.workload = t.workload
	t.faults.rollouts = c.rollouts
}

func (t *leaderTerm) connectHosts(c *Controller) {
	t.agents.commands, t.agents.dependencies, t.agents.estimates = t.commands, t.dependencies, t.estimates
	t.agents.faults, t.agents.jobs, t.agents.records = t.faults, t.jobs, t.records
	t.agents.scheduler, t.agents.workload, t.agents.catalog = t.scheduler, t.workload, c.catalog

	t.commands.agents, t.commands.hosts, t.commands.scheduler, t.commands.election = t.agents, t.hosts, t.scheduler, c.election
	t.prober.commands, t.prober.peers, t.prober.membership = t.commands, t.peers, c.membership

	t.hosts.agents, t.hosts.cloud, t.hosts.commands, t.hosts.handover = t.agents, t.cloud, t.commands, t.handover
	t.hosts.peers, t.hosts.prober, t.hosts.transfer = t.peers, t.prober, t.transfer
	t.hosts.election, t.hosts.recovery = c.election, c.recovery

	t.peers.handover, t.peers.membership = t.handover, c.membership
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
