package controller

import (
	"log/slog"
	"math/rand/v2"

	"mapleslip/internal/configuration"
	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/statestore"
)

// Controller is one controller of a deployment. It dispatches each event to the component that
// handles it. The components below live as long as the process; the components that exist only
// while this controller leads are in environment.term.
type Controller struct {
	*environment

	store       *statestore.Client
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

	refusalLog refusalLog
}

// seedStream is the PCG stream of a controller's random numbers. It makes them differ from those
// of other generators with the same seed.
const seedStream = 0x6d61706c65

// New creates a controller. The controller does nothing before Start is called.
func New(p *protocol.Platform, o protocol.OperatorSettings, seed uint64, log *slog.Logger) *Controller {
	env := &environment{
		platform: p, operator: o, rng: rand.New(rand.NewPCG(seed, seedStream)), log: log, outbox: newOutbox(),
	}
	c := &Controller{
		environment: env,
		election:    &election{environment: env},
		recovery:    &recovery{environment: env},
		membership: &membership{
			environment:        env,
			stateServiceHealth: serviceHealth{name: "the state service"},
			cloudHealth:        serviceHealth{name: "the cloud", isAnswer: isNoCapacity},
		},
		router:      &workerRouter{environment: env, workers: make(map[string]redirectedWorker)},
		users:       &userGateway{environment: env},
		directory:   &jobDirectory{environment: env, finishedJobs: newFinishedJobCache()},
		submissions: &submissions{environment: env},
		catalog:     &machineCatalog{environment: env, byName: make(map[string]*protocol.MachineType)},
		config:      &configManager{environment: env},
		features:    &featureManager{environment: env, state: &featureState{serves: featuregate.Build}},
		rollouts:    &rolloutDriver{environment: env, operatorCalls: make(map[uint64]ReplyAddress)},
	}
	c.store = statestore.New(p, storeEnvironment{env}, storeObserver{c}, log)
	c.connect()
	return c
}

// connect sets the references between the components of a controller.
func (c *Controller) connect() {
	c.election.features, c.election.recovery, c.election.store = c.features, c.recovery, c.store
	c.membership.election, c.membership.router = c.election, c.router
	c.router.election, c.router.membership = c.election, c.membership
	c.directory.election, c.directory.store = c.election, c.store
	c.catalog.features, c.catalog.store = c.features, c.store

	c.recovery.newTerm = c.newLeaderTerm
	c.recovery.config, c.recovery.features, c.recovery.rollouts = c.config, c.features, c.rollouts
	c.recovery.catalog, c.recovery.directory, c.recovery.election = c.catalog, c.directory, c.election
	c.recovery.membership, c.recovery.store = c.membership, c.store

	c.users.config, c.users.directory, c.users.election, c.users.features = c.config, c.directory, c.election, c.features
	c.users.membership, c.users.rollouts, c.users.store, c.users.submissions = c.membership, c.rollouts, c.store, c.submissions

	c.submissions.catalog, c.submissions.config, c.submissions.directory = c.catalog, c.config, c.directory
	c.submissions.election, c.submissions.features, c.submissions.membership = c.election, c.features, c.membership
	c.submissions.store, c.submissions.users = c.store, c.users

	c.config.election, c.config.membership, c.config.store, c.config.users = c.election, c.membership, c.store, c.users
	c.features.catalog, c.features.election, c.features.membership, c.features.store = c.catalog, c.election, c.membership, c.store

	c.rollouts.catalog, c.rollouts.directory, c.rollouts.election = c.catalog, c.directory, c.election
	c.rollouts.membership, c.rollouts.store, c.rollouts.submissions, c.rollouts.users = c.membership, c.store, c.submissions, c.users
}

// EnableTracing makes the controller emit spans.
func (c *Controller) EnableTracing() { c.tracing = true }

// MaxRecordBytes returns the size to which this controller splits records: the lowest of the
// published limit, the announced one and what the state service has shown.
func (c *Controller) MaxRecordBytes() int { return c.store.Target().MaxValueBytes }

// Role returns the current role of this controller in the election.
func (c *Controller) Role() Role { return c.election.role }

// EnableRollouts enables roll-outs. It must be called before Start.
func (c *Controller) EnableRollouts(s rollout.Settings) {
	s.ValueBytes = c.store.Target().MaxValueBytes
	s.OtherControllers = len(c.platform.Peers)
	c.rollouts.settings = &s
	c.stats.Checks = make(map[string]uint64)
}

// EnableConfiguration enables changes of the configuration at run time. It must be called before
// Start.
func (c *Controller) EnableConfiguration(o configuration.Options) {
	b := configuration.Baseline{
		Teams: c.platform.Teams, Zones: c.platform.Zones, Operator: c.operator, ValueBytes: c.store.Target().MaxValueBytes,
	}
	c.config.state = &configState{
		options: o, bounds: b, holder: configuration.Holder{Incarnation: c.rng.Uint64()}, settings: configuration.Resolve(&b, nil),
	}
}

// EffectiveRevision returns the revision of the configuration that this controller applied in
// its last step. ok is false if it may not apply any revision.
func (c *Controller) EffectiveRevision() (revision uint64, ok bool) {
	return c.config.effectiveRevision()
}

// SetFeatureRange sets the range of feature levels that this build supports. It must be called
// before Start.
func (c *Controller) SetFeatureRange(r featuregate.Range, build string) {
	c.features.state = &featureState{serves: r, build: build}
}

// DisableFeatureLevels makes the controller behave like a version without feature levels, for
// tests: it does not write its registry entry, does not request a level, does not read records of
// the later format, and has one fencing token for each epoch. It must be called before Start.
func (c *Controller) DisableFeatureLevels() { c.features.state = nil }

// Start starts the controller as a follower.
func (c *Controller) Start(at instant) []Effect {
	c.now, c.startedAt = at, at.Steady
	c.election.becomeFollower()
	c.features.start()
	return c.flush()
}

// Step handles one event.
func (c *Controller) Step(at instant, ev Event) []Effect {
	at.Steady = max(at.Steady, c.now.Steady)
	c.now = at
	// The lease is checked before anything else: the process may have been suspended for longer
	// than the lease, and for longer than a leader may answer workers after its lease expired.
	c.election.checkLease()
	c.runTimers()
	c.dispatch(ev)
	c.election.checkLease()
	if _, tick := ev.(Tick); tick && c.term != nil {
		c.runPeriodicWork()
	}
	c.config.updateLogLevel()
	return c.flush()
}

// dispatch passes an event to the component that handles it.
func (c *Controller) dispatch(ev Event) {
	switch e := ev.(type) {
	case UserRequest:
		c.users.onUserRequest(e)
	case WorkerHeartbeat:
		c.router.onHeartbeat(e)
	case HealthzRequest:
		c.membership.onHealthzRequest(e)
	case HealthCheckRequest:
		c.rollouts.onHealthCheckRequest(e)
	case PeerStatusRequest:
		c.membership.onPeerStatusRequest(e)
	case FeatureRangeRequest:
		c.features.onFeatureRangeRequest(e)
	case ConfigGrantRequest:
		c.config.onConfigGrantRequest(e)
	case WorkerProbe:
		c.router.onWorkerProbe(e)
	case CallResult:
		c.onCallResult(e)
	case Tick:
		c.onTick(e)
	}
}

// onCallResult passes the result of a call to the callback of the component that made the call.
func (c *Controller) onCallResult(r CallResult) {
	call, open := c.calls[r.ID]
	if !open {
		return
	}
	delete(c.calls, r.ID)
	c.membership.observeCallResult(call.target, r)
	call.done(r)
}

func (c *Controller) onTick(e Tick) {
	c.detectLag(e.Backlog)
	c.membership.checkLiveness()
	c.probeWriteRate()
	c.logRefusals()
}

// probeWriteRate tries a higher rate of changes in the state service when the next try is due. A
// leader tries with its own share of the rate, because the other controllers rarely write.
func (c *Controller) probeWriteRate() {
	share := 1.0
	if c.election.role.leads() {
		share = WriteShare(c.controllers(), true)
	}
	c.store.ProbeWriteRate(share)
}
