// Package coordination is the controller itself: election, worker sessions,
// commands, placing and rental. All its state belongs to one goroutine, which
// calls Step; Step does no I/O, it returns effects.
package controller

import (
	"log/slog"
	"math/rand/v2"

	"mapleslip/internal/configuration"
	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
)

type (
	micros  = protocol.Micros
	instant = protocol.Now
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

// EnableTracing has the controller emit spans.
func (c *Controller) EnableTracing() { c.tracing = true }

// Role says what the node is.
func (c *Controller) Role() Role { return c.election.role }

// EnableRollouts switches roll-outs on, before Start.
func (c *Controller) EnableRollouts(s rollout.Settings) {
	s.ValueBytes = c.store.limits.target.maxValueBytes
	s.Others = len(c.platform.Peers)
	c.rollouts.settings = &s
	c.internalCalls = make(map[uint64]func(int, []byte))
	c.rollouts.operatorCalls = make(map[uint64]ReplyAddress)
	c.stats.Checks = make(map[string]uint64)
}

// EnableConfiguration lets the configuration change, before Start.
func (c *Controller) EnableConfiguration(o configuration.Options) {
	b := configuration.Bounds{Teams: c.platform.Teams, Zones: c.platform.Zones, Operator: c.operator, ValueBytes: c.store.limits.target.maxValueBytes}
	c.config.state = &configState{options: o, bounds: b, holder: configuration.Holder{Life: c.rng.Uint64()}, settings: configuration.Of(&b, nil)}
}

// EffectiveRevision is the revision that this controller decides by at its last step; false: it
// decides nothing by any.
func (c *Controller) EffectiveRevision() (revision uint64, ok bool) {
	return c.config.effectiveRevision()
}

// SetFeatureRange says what this program serves, before Start.
func (c *Controller) SetFeatureRange(r featuregate.Range, build string) {
	c.features.state = &featureState{serves: r, build: build}
}

// DisableFeatureLevels has the controller behave as one of a version before there were levels, for
// tests, before Start: it writes no entry, asks for no level, and reads no record of the
// later form.
func (c *Controller) DisableFeatureLevels() { c.features.state = nil }

// Start begins the controller's work.
func (c *Controller) Start(at instant) []Effect {
	c.now, c.startedAt = at, at.Steady
	c.election.becomeFollower()
	c.features.startFeatureTracking()
	return c.flush()
}

// Step handles one event.
func (c *Controller) Step(at instant, ev Event) []Effect {
	if at.Steady < c.now.Steady {
		at.Steady = c.now.Steady
	}
	c.now = at
	// Before anything else: the process may have been frozen for longer than
	// the lease, and for longer than workers may be answered without one.
	c.election.checkLease()
	c.runTimers()
	switch e := ev.(type) {
	case UserRequest:
		c.users.onUserRequest(e)
	case WorkerHeartbeat:
		c.router.onHeartbeat(e)
	case HealthzRequest:
		c.membership.onHealth(e)
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
		if o := c.calls[e.ID]; o.done != nil {
			delete(c.calls, e.ID)
			switch o.target {
			case ToState:
				c.observeServiceCall(&c.store.health, e)
			case ToCloud:
				c.observeServiceCall(&c.cloudHealth, e)
			case ToPeer:
				if e.Status == 200 {
					c.membership.peerContactAt = at.Steady
				}
			}
			if o.target == ToState && e.Status > 0 && e.Status != 503 {
				c.store.answeredAt = at.Steady
			}
			o.done(e)
		}
	case Tick:
		c.watchLag(e.Backlog)
		c.membership.checkLiveness()
		c.store.probeWriteRate()
		c.logRefusals()
	}
	c.election.checkLease()
	if _, tick := ev.(Tick); tick && c.term != nil {
		c.runPeriodicWork()
	}
	c.config.updateLogLevel()
	return c.flush()
}
