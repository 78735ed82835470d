package controller

import (
	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// scheduler owns the slot table. It plans on which machine and when each task starts, books
// places, and preempts tasks of lower priority.
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

	slotTable          slottable.Table
	machines           map[*state.Host]*slottable.Machine // rows of the slot table, by host
	cycle              *schedulingCycle                   // cycle in progress, nil if none
	lastStepAt         micros                             // time of the last scheduling step
	attemptSeq         uint64                             // of the last attempt number
	lastInterruptedLog micros
}

func newScheduler(tc *termContext) *scheduler {
	return &scheduler{termContext: tc, machines: make(map[*state.Host]*slottable.Machine)}
}

// schedulingCycle is one pass over the pending jobs. It may take several scheduling steps: the
// work of a step is bounded, so that lease renewals, workers and users never wait for it. The next
// step resumes at the same job and keeps the order of the jobs. Bookings of earlier steps stay
// marked in the slot table, so backfilling in a later step moves none of them.
type schedulingCycle struct {
	stage       cycleStage
	pending     []*pendingJob
	next        int                           // index of the stage's next job
	heldForTeam map[string]protocol.Resources // held for gangs earlier in the queue, by team
	// usedByServices contains what the tasks of services may use, by team; nil until it is needed.
	usedByServices map[string]protocol.Resources
	// unreconciled is the capacity of the hosts that have not reported in this term: tasks
	// without a launch record may use it.
	unreconciled  protocol.Resources
	unknownTypes  bool // the machine type of one of these hosts is unknown
	preemptible   map[*state.Host]protocol.Resources
	unschedulable []unschedulableShape // requests that preemption could not serve in this cycle
	localityFirst []*pendingJob        // arrays planned only on machines with their image so far
	steps         int                  // scheduling steps so far
	work          int                  // rows of the slot table examined so far
	startedAt     micros
}

// cycleStage is a stage of a scheduling cycle. A cycle runs its stages in the order of their
// values.
type cycleStage uint8

// Stages of a cycle.
const (
	stagePlanning    cycleStage = iota // assigns and books places for the jobs, in queue order
	stageBackfilling                   // offers the remaining capacity to the jobs in localityFirst
	stagePreempting                    // preempts tasks for jobs of high priority
	stageScaling                       // plans which machines to rent and to release
)

// String returns the stage's name as used in the log and in metrics.
func (s cycleStage) String() string {
	return [...]string{"planning", "filling", "preempting", "renting"}[s]
}

// CycleStages returns the names of the stages in the order of the indices of Stats.RowsByStage and
// Stats.CutStepsByStage.
func CycleStages() []string {
	return []string{stagePlanning.String(), stageBackfilling.String(), stagePreempting.String(), stageScaling.String()}
}

// setStage moves the cycle to the first job of a stage. Every change of the stage goes through it.
func (c *schedulingCycle) setStage(s cycleStage) { c.stage, c.next = s, 0 }

const (
	// rowsPerStep is the number of slot table rows that a step may examine on a whole CPU. They
	// take a few milliseconds.
	rowsPerStep = 240_000
	// minCPUShare is the CPU share below which the size of steps is not reduced further.
	minCPUShare            = 0.1
	interruptedLogInterval = 5 * protocol.Second
)

// maxStepWork returns the limit of a scheduling step's work, in rows of the slot table. It is
// proportional to this controller's CPU share.
func (sc *scheduler) maxStepWork() int {
	return int(rowsPerStep * max(minCPUShare, min(1, sc.platform.CPUShare)))
}

// runIfDue runs a scheduling step if a cycle is in progress or due.
func (sc *scheduler) runIfDue() {
	since := sc.now.Steady - sc.lastStepAt
	if sc.cycle != nil || since >= sc.operator.MaxCycleInterval || sc.cycleNeeded && since >= sc.operator.MinCycleInterval {
		sc.runSchedulingStep()
	}
}

// runSchedulingStep continues the cycle in progress or starts a new one. A cycle assigns the tasks
// that can start now, books places, preempts tasks of lower priority, and plans which machines to
// rent.
func (sc *scheduler) runSchedulingStep() {
	sc.lastStepAt = sc.now.Steady
	if !sc.election.mayActAsLeader() || len(sc.catalog.types) == 0 {
		sc.cycle, sc.cycleNeeded = nil, false
		return
	}
	sc.refreshSlotTable()
	sc.slotTable.Work = 0
	if sc.cycle == nil {
		sc.cycleNeeded = false
		sc.cycle = sc.newCycle()
		sc.slotTable.Begin()
	} else {
		sc.slotTable.Resume()
	}
	c := sc.cycle
	c.steps++
	sc.stats.SchedulingSteps++
	sc.runStage(c, stagePlanning, c.pending, sc.planJob)
	sc.runStage(c, stageBackfilling, c.localityFirst, sc.backfillJob)
	sc.runStage(c, stagePreempting, c.pending, sc.preempt)
	c.work += sc.slotTable.Work
	// Scaling can't be split over several steps. If the first step of a cycle has used more than
	// half of its work, scaling runs in a later step.
	if c.stage == stageScaling && (sc.slotTable.Work < sc.maxStepWork()/2 || c.steps > 1) {
		sc.finishCycle(c)
		return
	}
	sc.onInterrupted(c)
}

// runStage processes the jobs of a stage, if the cycle is in that stage, until the step reaches its
// work limit or all jobs are processed.
func (sc *scheduler) runStage(c *schedulingCycle, stage cycleStage, jobs []*pendingJob, handle func(*schedulingCycle, *pendingJob)) {
	if c.stage != stage {
		return
	}
	before, limit := sc.slotTable.Work, sc.maxStepWork()
	for ; c.next < len(jobs) && sc.slotTable.Work < limit; c.next++ {
		handle(c, jobs[c.next])
	}
	sc.stats.RowsByStage[stage] += uint64(sc.slotTable.Work - before)
	if c.next == len(jobs) {
		c.setStage(stage + 1)
	}
}

// planJob assigns and books places for a job. A job that prefers locality is limited to machines
// that have its image for now.
func (sc *scheduler) planJob(c *schedulingCycle, pj *pendingJob) {
	if sc.prefersLocality(pj) {
		sc.placeWithImage(c, pj)
		c.localityFirst = append(c.localityFirst, pj)
		return
	}
	sc.placeJob(c, pj)
}

// backfillJob plans a job again that was limited to machines with its image, now without that
// limit.
func (sc *scheduler) backfillJob(c *schedulingCycle, pj *pendingJob) {
	pj.tasks, pj.request, pj.result = nil, nil, slottable.Result{}
	sc.placeJob(c, pj)
}

// finishCycle plans the scaling, which is the last stage, and ends the cycle.
func (sc *scheduler) finishCycle(c *schedulingCycle) {
	before := sc.slotTable.Work
	sc.autoscaler.planScaling(c.pending)
	sc.stats.RowsByStage[stageScaling] += uint64(sc.slotTable.Work - before)
	sc.stats.SchedulingCycles++
	sc.emitCycleSpan(c)
	sc.cycle = nil
}

// onInterrupted counts and logs that a cycle continues in the next step.
func (sc *scheduler) onInterrupted(c *schedulingCycle) {
	sc.stats.CutStepsByStage[c.stage]++
	if now := sc.now.Steady; now-sc.lastInterruptedLog > interruptedLogInterval {
		sc.lastInterruptedLog = now
		sc.log.Info("scheduling cycle takes several steps", "stage", c.stage.String(), "next", c.next, "of", len(c.pending), "work", c.work)
	}
}

// emitCycleSpan emits the trace span of a finished cycle.
func (sc *scheduler) emitCycleSpan(c *schedulingCycle) {
	if !sc.tracing {
		return
	}
	sc.emit(Span{Name: "pass", From: c.startedAt, To: sc.now.Steady, Counts: []SpanCount{
		{"jobs", int64(len(c.pending))},
		{"rounds", int64(c.steps)},
		{"rows", int64(c.work)},
	}})
}

// newCycle starts a cycle over the jobs that need places.
func (sc *scheduler) newCycle() *schedulingCycle {
	c := &schedulingCycle{
		heldForTeam: make(map[string]protocol.Resources), preemptible: make(map[*state.Host]protocol.Resources), startedAt: sc.now.Steady,
	}
	if sc.mayHaveUnrecordedLaunches() {
		sc.countUnreconciledHosts(c)
	}
	c.pending = sc.pendingJobs()
	return c
}

// mayHaveUnrecordedLaunches reports whether tasks without a launch record may run on hosts that
// have not reported in this term.
func (sc *scheduler) mayHaveUnrecordedLaunches() bool { return !sc.reconciled && sc.launchesUnrecorded }

// countUnreconciledHosts adds up the capacity of the hosts that have not reported in this term.
// Their tasks use at most that much.
func (sc *scheduler) countUnreconciledHosts(c *schedulingCycle) {
	for _, h := range sc.cluster.Hosts() {
		switch {
		case !h.Record.FromEarlierEpoch || h.Reconciled:
		case h.Type == nil:
			c.unknownTypes = true
		default:
			c.unreconciled = c.unreconciled.Add(h.Type.Capacity, 1)
		}
	}
}
