package controller

import (
	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/slo"
	"mapleslip/internal/state"
)

// stateStore is the client of the state service: reads, watches and compare-and-swap
// transactions. It owns the limits that the service holds, as far as its answers show them.
type stateStore struct {
	*environment
	config   *configManager
	election *election
	rollouts *rolloutDriver

	limits     stateLimits
	health     serviceHealth
	answeredAt micros // when the service last answered
}

// election owns the role of this controller and its lease on leadership. Its methods are the
// only ones that change the role.
type election struct {
	*environment
	features *featureManager
	recovery *recovery
	store    *stateStore

	role           Role
	roleSince      micros
	roleGeneration uint64 // raised when the role starts over, so that older answers are dropped
	lease          leaderLease

	leader               state.LeaderRecord // as known from the state service
	leaderKeyRead        bool               // the leader key was read since the process began
	leaderSuspectUntil   micros             // the leader did not answer: it is not asked before
	leaderRecheckedAt    micros             // when the leader's record was last read again
	stepDownBackoffUntil micros             // this controller gave its lease back: until then others go first
	deferredEpoch        uint64             // the epoch after which another controller was let go first
}

// recovery is a new leader's failover recovery: it reads the records, and brings what they
// say together with what hosts report.
type recovery struct {
	*environment
	catalog    *machineCatalog
	config     *configManager
	directory  *jobDirectory
	election   *election
	features   *featureManager
	membership *membership
	rollouts   *rolloutDriver
	store      *stateStore

	newTerm func() *leaderTerm
}

// membership is what this controller knows of the others: when it was last in contact with
// them and with the leader, and the handover state that leaders pass on.
type membership struct {
	*environment
	election *election
	router   *workerRouter
	store    *stateStore

	leaderContactAt          micros // when a leader last asked for this controller's status
	leaderAnsweredAt         micros // when the leader last answered a forwarded call
	peerContactAt            micros // when any other controller was last heard
	workerAnsweredAt         micros // when this controller last answered a worker without leading
	livenessCheckedAt        micros // when the others were last asked whether they are there
	leaderExpectsOwnZoneOnly bool   // the last leader knows only of controllers that answer their own zone
	handover                 protocol.HandoverState
}

// workerRouter sends workers to the leader while another controller leads, and forwards the
// heartbeats of those that can't reach it.
type workerRouter struct {
	*environment
	catalog    *machineCatalog
	election   *election
	membership *membership

	workers               map[string]redirectedWorker // that came here while another controller led, by host
	forwardedHeartbeats   int                         // on their way to the leader
	forwardingPausedUntil micros                      // the leader did not answer one
}

// userGateway takes users' and operators' requests: it serves them as the leader, forwards
// them to it, or serves them from the state service alone.
type userGateway struct {
	*environment
	config      *configManager
	directory   *jobDirectory
	election    *election
	features    *featureManager
	membership  *membership
	rollouts    *rolloutDriver
	store       *stateStore
	submissions *submissions

	forwardedSubmits int // submissions on their way to the leader, of those that can wait
	directQueries    int // queries being served from the state service
	directSubmits    int // submissions being served from the state service
	leaderLookups    int // lookups that this leader makes for users
}

// jobDirectory finds jobs, those that a leader tracks and those that only the state service
// has, and answers how they stand.
type jobDirectory struct {
	*environment
	election *election
	store    *stateStore

	finishedJobs finishedJobCache
}

// submissions decides which jobs are accepted, and makes their records.
type submissions struct {
	*environment
	catalog   *machineCatalog
	config    *configManager
	directory *jobDirectory
	election  *election
	features  *featureManager
	store     *stateStore
	users     *userGateway
}

// machineCatalog owns the machine types that the cloud rents.
type machineCatalog struct {
	*environment
	features *featureManager
	store    *stateStore

	types  []*protocol.MachineType
	byName map[string]*protocol.MachineType
}

// configManager owns the configuration that changes while the service runs, and writes its
// revisions as the leader.
type configManager struct {
	*environment
	election   *election
	membership *membership
	store      *stateStore
	users      *userGateway

	state *configState // nil: the configuration does not change while this runs
}

// featureManager owns the feature level that is active, and raises it as the leader.
type featureManager struct {
	*environment
	catalog    *machineCatalog
	election   *election
	membership *membership
	store      *stateStore

	state *featureState // nil: this controller behaves as one that knows of no feature levels
}

// rolloutDriver carries out what package rollout decides.
type rolloutDriver struct {
	*environment
	catalog     *machineCatalog
	directory   *jobDirectory
	election    *election
	membership  *membership
	store       *stateStore
	submissions *submissions
	users       *userGateway

	settings        *rollout.Settings       // nil: roll-outs are off
	operatorCalls   map[uint64]ReplyAddress // operators who wait for an answer
	operatorCallSeq uint64
}

// termContext is what every component of a leader's term works with.
type termContext struct {
	*environment
	owner *leaderTerm

	cluster            *state.Cluster
	epoch              uint64
	startedAt          micros
	recordsLoadedAt    micros            // when the records had been read
	recoveryStages     []SpanStage       // of the failover, for tracing
	reconciled         bool              // every recorded host has reported or is proven empty
	launchesUnrecorded bool              // earlier launches may be in no record, see state.EpochRecord
	cycleNeeded        bool              // something changed that a scheduling cycle should look at
	releasedHosts      map[string]micros // hosts that are certainly gone, and since when
}

// ended reports whether this controller no longer leads in this term. Callbacks check it
// before they change anything.
func (tc *termContext) ended() bool { return tc.environment.term != tc.owner }

// leaderTerm is what a leader holds during one epoch. It is dropped when the role is lost.
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

	lastSweep micros
}

// submissionQueue is the submissions whose records a leader has on their way, and the limit
// on how many that may be.
type submissionQueue struct {
	pending                map[string][]ReplyAddress // further users who wait for the same record, by job
	limiter, urgentLimiter submitLimiter             // of most jobs, and of those that have to start at once
	lastBudgetLog          micros
}

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

// dependencyGraph is what a leader knows of jobs that depend on others. A job that depends on
// others is blocked until each of them is known to be durably done, and is no part of any plan
// until then. Once one of them is durably cancelled, so is the job: every reader of the records
// comes to the same conclusion, and its own final record follows when there is room for it.
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

func newDependencyGraph(tc *termContext) *dependencyGraph {
	return &dependencyGraph{
		termContext: tc, dependents: make(map[string][]*state.Job), lookupRequested: make(map[string]bool),
		finalWritesInFlight: make(map[*state.Job]bool),
	}
}

// agents brings the cluster state to what workers report of their hosts and tasks.
type agents struct {
	*termContext
	catalog      *machineCatalog
	commands     *commandSender
	dependencies *dependencyGraph
	estimates    *machineEstimates
	faults       *faultTracker
	jobs         *jobManager
	records      *recordStore
	scheduler    *scheduler
	workload     *workload
}

// commandSender owns the commands to workers: what a heartbeat is answered with, and the
// direct commands that don't wait for the next one.
type commandSender struct {
	*termContext
	agents    *agents
	election  *election
	hosts     *hostMonitor
	scheduler *scheduler

	queue    []*state.Host // hosts that commands wait for
	inFlight int           // direct commands on their way
}

// prober asks hosts what is on them, a bounded number at a time: after a failover or behind
// a partition there are hundreds, and those that don't answer must not keep the others waiting.
type prober struct {
	*termContext
	commands   *commandSender
	membership *membership
	peers      *peerMonitor

	queue          []*state.Host
	inFlight       int
	inFlightByZone map[string]int
	nextPeer       int // which of the other controllers is asked next to probe a host
}

// hostMonitor watches the silence of hosts: it proves their tasks gone when leases expire,
// notices partitions, and has hosts released that are lost.
type hostMonitor struct {
	*termContext
	agents   *agents
	cloud    *cloudMonitor
	commands *commandSender
	election *election
	handover *handoverWriter
	peers    *peerMonitor
	prober   *prober
	recovery *recovery
	transfer *transferController

	partitionSeenAt map[string]micros // when a zone last looked cut off
}

// peerMonitor polls the other controllers for their status as the leader. A leader counts on
// the expiry of leases only while the controllers that may answer a host's zone say that they
// don't.
type peerMonitor struct {
	*termContext
	handover   *handoverWriter
	membership *membership

	statuses map[string]peerStatus // by controller
	quiesced bool                  // each has said that it answers nobody under an earlier epoch
}

// transferController decides whether this leader hands leadership over to a controller that
// the workers reach.
type transferController struct {
	*termContext
	election *election
	features *featureManager
	hosts    *hostMonitor
	peers    *peerMonitor

	recent       []protocol.LeadershipTransfer
	inFlight     bool // the transaction that gives the lease back is on its way
	lastDecision leadership.Decision
}

// handoverWriter keeps what a successor must know, see protocol.HandoverState, in the state
// service and with the other controllers.
type handoverWriter struct {
	*termContext
	election   *election
	hosts      *hostMonitor
	membership *membership
	records    *recordStore

	persisted   protocol.HandoverState // as the state service has it
	sentToPeers map[string]sentHandover
	next        micros // when it is looked at again
	writing     bool
}

// faultTracker tells faulty hosts from jobs that were submitted with a mistake.
type faultTracker struct {
	*termContext
	rollouts *rolloutDriver
}

// scheduler owns the slot table: it plans which task starts where, books places, and makes
// room by preemption.
type scheduler struct {
	*termContext
	agents     *agents
	autoscaler *autoscaler
	catalog    *machineCatalog
	commands   *commandSender
	config     *configManager
	election   *election
	estimates  *machineEstimates
	faults     *faultTracker
	hosts      *hostMonitor
	objectives *objectiveTracker
	records    *recordStore
	workload   *workload

	slotTable  slottable.Table
	machines   map[*state.Host]*slottable.Machine // the rows of the slot table
	cycle      *schedulingCycle                   // under way, nil: the last one is over
	lastCycle  micros                             // when a step of a cycle was last run
	attemptSeq uint64                             // of attempt numbers
	lastCutLog micros
}

func newScheduler(tc *termContext) *scheduler {
	return &scheduler{termContext: tc, machines: make(map[*state.Host]*slottable.Machine)}
}

// objectiveTracker counts how far service-level objectives are met.
type objectiveTracker struct {
	*termContext
	workload *workload

	window           slo.Window        // outcomes by class and team
	longestStartWait map[string]micros // for which a largest job has waited to start, by class
}

// workload is what was learned of the classes of jobs.
type workload struct {
	*termContext
	classes map[string]*classStats
}

// machineEstimates is what was learned of machine types: how long boots and image fetches
// take, as factors of the published times.
type machineEstimates struct {
	*termContext
	bootFactor  map[string]float64
	fetchFactor map[string]float64
}

// observeBoot learns from a host that has come up.
func (me *machineEstimates) observeBoot(h *state.Host, at micros) {
	if h.Type == nil || h.Type.BootTime <= 0 {
		return
	}
	f := me.bootFactor[h.TypeName]
	if f == 0 {
		f = 1
	}
	x := max(0.3, min(2, float64(at-h.KnownSince)/float64(h.Type.BootTime)))
	me.bootFactor[h.TypeName] = f + (x-f)*0.2
}

// autoscaler rents machines as the queue needs them, and gives back those that are idle.
type autoscaler struct {
	*termContext
	catalog     *machineCatalog
	cloud       *cloudMonitor
	config      *configManager
	estimates   *machineEstimates
	scheduler   *scheduler
	submitQueue *submissionQueue
	workload    *workload

	refusedUntil    map[machineKind]micros // the cloud had none: no request before
	backoff         map[machineKind]micros
	requested       map[machineKind]int         // machines asked for and not answered yet
	neededMachines  map[*slottable.Machine]bool // that the last plan counted on
	overloadedAt    micros                      // when users were last told to submit again later
	nextPlan        micros
	nextSpareRental map[string]micros // by class: no spare capacity is rented before
	nextFleetLog    micros
	rentRequestSeq  uint64
}

func newAutoscaler(tc *termContext) *autoscaler {
	return &autoscaler{
		termContext: tc, refusedUntil: make(map[machineKind]micros), backoff: make(map[machineKind]micros),
		requested: make(map[machineKind]int), neededMachines: make(map[*slottable.Machine]bool), nextSpareRental: make(map[string]micros),
	}
}

// cloudMonitor polls the cloud's lists, brings the cluster state to them, and releases hosts.
type cloudMonitor struct {
	*termContext
	agents    *agents
	catalog   *machineCatalog
	election  *election
	features  *featureManager
	hosts     *hostMonitor
	records   *recordStore
	scheduler *scheduler

	listAnswering   bool // the cloud answered the last request for its list
	releaseInFlight bool
	nextRelease     micros
}

// recordStore writes a leader's records of hosts, launches, bookings and completions to the
// state service.
type recordStore struct {
	*termContext
	commands *commandSender
	config   *configManager
	election *election
	jobs     *jobManager
	store    *stateStore

	hostShards       *recordShards
	bookingShards    *recordShards
	completionShards *recordShards
	launchShards     *recordShards

	launches          map[string]*state.Attempt // by task, those that a record names or will
	launchesWrittenAt micros                    // when a record of launches was last sent
	chunkWriter       chunkWriter
	nextImageRecord   micros

	orphanedKeys    []string // of records that belong to nothing: to be deleted
	droppingOrphans bool
}

func newRecordStore(tc *termContext) *recordStore {
	rs := &recordStore{termContext: tc, launches: make(map[string]*state.Attempt)}
	rs.hostShards = newRecordShards(state.HostShardPrefix, rs.encodeHosts)
	rs.bookingShards = newRecordShards(state.BookingShardPrefix, rs.encodeBookings)
	rs.completionShards = newRecordShards(state.CompletionShardPrefix, rs.encodeCompletions)
	rs.launchShards = newRecordShards(state.LaunchShardPrefix, rs.encodeLaunches)
	return rs
}
