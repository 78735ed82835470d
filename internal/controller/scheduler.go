package controller

import (
	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// scheduler owns the slot table: it plans which task starts where, books places, and makes room
// by preemption.
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
	machines           map[*state.Host]*slottable.Machine // the rows of the slot table
	cycle              *schedulingCycle                   // under way, nil: the last one is over
	lastCycle          micros                             // when a step of a cycle was last run
	attemptSeq         uint64                             // of attempt numbers
	lastInterruptedLog micros
}

func newScheduler(tc *termContext) *scheduler {
	return &scheduler{termContext: tc, machines: make(map[*state.Host]*slottable.Machine)}
}

// schedulingCycle is one pass over the queue. It may take several steps: a step's work is
// bounded, so that renewals, workers and users never wait behind it, and the next one carries on
// where it stopped, in the same order. What was booked before stays marked in the slot table, so
// that backfilling after it moves no booking.
type schedulingCycle struct {
	stage         cycleStage
	pending       []*pendingJob
	next          int                           // of the stage's jobs
	heldForTeam   map[string]protocol.Resources // by team, for jobs that come first
	unreconciled  protocol.Resources            // that tasks on hosts not heard of yet may use
	unknownTypes  bool                          // some of those hosts are of a type not known
	preemptible   map[*state.Host]protocol.Resources
	unschedulable []unschedulableShape
	localityFirst []*pendingJob // that were only placed on machines with their image so far
	steps         int
	work          int // rows of the slot table that were looked at
	startedAt     micros
}

// cycleStage is how far a cycle has come.
type cycleStage uint8

// Stages of a cycle.
const (
	stagePlanning    cycleStage = iota // jobs get places and bookings, in their order
	stageBackfilling                   // arrays that had the choice of machines with their image get what is left
	stagePreempting                    // room is made for those of high priority
	stageScaling                       // what to rent is found
)

// String is the stage's name in the log and in metrics.
func (s cycleStage) String() string {
	return [...]string{"planning", "filling", "preempting", "renting"}[s]
}

// CycleStages are the names of a cycle's stages, as indices of Stats.RowsByStage and
// Stats.CutStepsByStage.
func CycleStages() []string {
	return []string{stagePlanning.String(), stageBackfilling.String(), stagePreempting.String(), stageScaling.String()}
}

// setStage is the one place where a cycle changes its stage.
func (c *schedulingCycle) setStage(s cycleStage) { c.stage, c.next = s, 0 }

const (
	// stepWork is how many rows of the slot table a step looks at on a whole processor: a few
	// milliseconds.
	stepWork = 240_000
	// minCPUShare is the smallest share of a processor that steps are made for.
	minCPUShare            = 0.1
	interruptedLogInterval = 5 * protocol.Second
)

// maxStepWork bounds what one step looks at, in rows of the slot table.
func (sc *scheduler) maxStepWork() int {
	return int(stepWork * max(minCPUShare, min(1, sc.platform.CPUShare)))
}

// runIfDue runs a scheduling step if a cycle is under way or due.
func (sc *scheduler) runIfDue() {
	since := sc.now.Steady - sc.lastCycle
	if sc.cycle != nil || since >= sc.operator.MaxCycleInterval || sc.cycleNeeded && since >= sc.operator.MinCycleInterval {
		sc.runSchedulingStep()
	}
}

// runSchedulingStep goes on with a cycle, or begins one: it assigns what can start now, keeps
// bookings, makes room by preemption, and finds what to rent.
func (sc *scheduler) runSchedulingStep() {
	sc.lastCycle = sc.now.Steady
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
	// Scaling can't be carried on later: it waits for a step with work to spare.
	if c.stage == stageScaling && (sc.slotTable.Work < sc.maxStepWork()/2 || c.steps > 1) {
		sc.finishCycle(c)
		return
	}
	sc.onInterrupted(c)
}

// runStage goes on with a stage of a cycle, if that is where the cycle is, until the step's work
// is done or the stage is over.
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

// planJob gives a job its places, or only those on machines that have its image.
func (sc *scheduler) planJob(c *schedulingCycle, w *pendingJob) {
	if sc.prefersLocality(w) {
		sc.placeWithImage(c, w)
		c.localityFirst = append(c.localityFirst, w)
		return
	}
	sc.placeJob(c, w)
}

// backfillJob gives a job that was only placed on machines with its image what is left.
func (sc *scheduler) backfillJob(c *schedulingCycle, w *pendingJob) {
	w.tasks, w.request, w.result = nil, nil, slottable.Result{}
	sc.placeJob(c, w)
}

// finishCycle ends a cycle with the plan for scaling.
func (sc *scheduler) finishCycle(c *schedulingCycle) {
	before := sc.slotTable.Work
	sc.autoscaler.planScaling(c.pending)
	sc.stats.RowsByStage[stageScaling] += uint64(sc.slotTable.Work - before)
	sc.stats.SchedulingCycles++
	sc.emitCycleSpan(c)
	sc.cycle = nil
}

// onInterrupted notes that a cycle goes on with the next step.
func (sc *scheduler) onInterrupted(c *schedulingCycle) {
	sc.stats.CutStepsByStage[c.stage]++
	if now := sc.now.Steady; now-sc.lastInterruptedLog > interruptedLogInterval {
		sc.lastInterruptedLog = now
		sc.log.Info("scheduling cycle takes several steps", "stage", c.stage.String(), "next", c.next, "of", len(c.pending), "work", c.work)
	}
}

// emitCycleSpan tells of a cycle that is over.
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

// newCycle begins a cycle over the jobs that need places.
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

// mayHaveUnrecordedLaunches reports whether tasks may run on hosts that have not been heard of
// in this term, and that no record names.
func (sc *scheduler) mayHaveUnrecordedLaunches() bool { return !sc.reconciled && sc.launchesUnrecorded }

// countUnreconciledHosts adds up what tasks may use on hosts that have not been heard of.
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
