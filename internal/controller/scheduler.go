package controller

import (
	"mapleslip/internal/controller/slottable"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

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

// cycle is one pass over the queue. It may take several rounds: a round has a
// bound on its work, so that renewal, workers and users never wait behind it,
// and the next one carries on where it stopped, in the same order. What was
// booked before the cut stays marked in the table, so backfilling after it
// moves no booking.
type schedulingCycle struct {
	stage         cycleStage
	pending       []*pendingJob
	next          int
	heldForTeam   map[string]protocol.Resources // by team, for jobs that come first
	unreconciled  protocol.Resources            // that tasks on hosts not heard of yet may use
	unknownTypes  bool                          // some of those hosts are of a type not known
	preemptible   map[*state.Host]protocol.Resources
	unschedulable []unschedulableShape
	localityFirst []*pendingJob // for the second stage
	steps         int
	work          int
	startedAt     micros
}

// cycleStage is how far a pass has come.
type cycleStage uint8

// CycleStages of a pass.
const (
	stagePlanning    cycleStage = iota // jobs get places and bookings, in their order
	stageBackfilling                   // arrays that had the choice of machines with their image get what is left
	stagePreempting                    // room is made for those of high rank
	stageScaling                       // what to rent is found
)

func (s cycleStage) String() string {
	return [...]string{"planning", "filling", "preempting", "renting"}[s]
}

// CycleStages are the names of a pass's stages, as indices of Rows and Cuts.
func CycleStages() []string {
	return []string{stagePlanning.String(), stageBackfilling.String(), stagePreempting.String(), stageScaling.String()}
}

// redirectedEpoch is the one place where a pass changes its stage.
func (p *schedulingCycle) setStage(s cycleStage) { p.stage, p.next = s, 0 }

// maxStepWork bounds what one round looks at, in rows of the table. It is a few
// milliseconds of a whole processor, more where the share is larger.
func (sc *scheduler) maxStepWork() int {
	return int(240_000 * max(0.1, min(1, sc.platform.CPUShare)))
}

// runIfDue runs a scheduling step if one is under way or due.
func (sc *scheduler) runIfDue() {
	since := sc.now.Steady - sc.lastCycle
	if sc.cycle != nil || since >= sc.operator.MaxCycleInterval || sc.cycleNeeded && since >= sc.operator.MinCycleInterval {
		sc.runSchedulingStep()
	}
}

// round plans: it assigns what can start now, keeps bookings, makes room by
// preemption, and finds what to rent.
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
		sc.cycle = sc.newSchedulingCycle()
		sc.slotTable.Begin()
	} else {
		sc.slotTable.Resume()
	}
	p := sc.cycle
	p.steps++
	sc.stats.SchedulingSteps++
	most := sc.maxStepWork()
	done := 0 // of the round's work, by the stages before
	count := func(s cycleStage) {
		sc.stats.RowsByStage[s] += uint64(sc.slotTable.Work - done)
		done = sc.slotTable.Work
	}
	if p.stage == stagePlanning {
		for ; p.next < len(p.pending) && sc.slotTable.Work < most; p.next++ {
			if w := p.pending[p.next]; sc.prefersLocality(w) {
				sc.placeImageLocal(p, w)
				p.localityFirst = append(p.localityFirst, w)
			} else {
				sc.placeJob(p, w)
			}
		}
		count(stagePlanning)
		if p.next == len(p.pending) {
			p.setStage(stageBackfilling)
		}
	}
	if p.stage == stageBackfilling {
		for ; p.next < len(p.localityFirst) && sc.slotTable.Work < most; p.next++ {
			w := p.localityFirst[p.next]
			w.tasks, w.request, w.result = nil, nil, slottable.Result{}
			sc.placeJob(p, w)
		}
		count(stageBackfilling)
		if p.next == len(p.localityFirst) {
			p.setStage(stagePreempting)
		}
	}
	if p.stage == stagePreempting {
		for ; p.next < len(p.pending) && sc.slotTable.Work < most; p.next++ {
			sc.preempt(p, p.pending[p.next])
		}
		count(stagePreempting)
		if p.next == len(p.pending) {
			p.setStage(stageScaling)
		}
	}
	p.work += sc.slotTable.Work
	if p.stage == stageScaling && (sc.slotTable.Work < most/2 || p.steps > 1) {
		sc.autoscaler.planScaling(p.pending)
		count(stageScaling)
		sc.stats.SchedulingCycles++
		sc.emitCycleSpan(p)
		sc.cycle = nil
		return
	}
	sc.stats.CutStepsByStage[p.stage]++
	if at := sc.now.Steady; at-sc.lastCutLog > 5*protocol.Second {
		sc.lastCutLog = at
		sc.log.Info("plan cut short", "stage", p.stage.String(), "next", p.next, "of", len(p.pending), "work", p.work)
	}
}

// emitCycleSpan tells of a pass that is over.
func (sc *scheduler) emitCycleSpan(p *schedulingCycle) {
	if !sc.tracing {
		return
	}
	sc.emit(Span{Name: "pass", From: p.startedAt, To: sc.now.Steady, Counts: []SpanCount{
		{"jobs", int64(len(p.pending))},
		{"rounds", int64(p.steps)},
		{"rows", int64(p.work)},
	}})
}

// newSchedulingCycle orders the queue.
func (sc *scheduler) newSchedulingCycle() *schedulingCycle {
	p := &schedulingCycle{heldForTeam: make(map[string]protocol.Resources), preemptible: make(map[*state.Host]protocol.Resources), startedAt: sc.now.Steady}
	if !sc.reconciled && sc.launchesUnrecorded {
		for _, h := range sc.cluster.Hosts() {
			if h.Record.FromEarlierEpoch && !h.Reconciled {
				if h.Type == nil {
					p.unknownTypes = true
				} else {
					p.unreconciled = p.unreconciled.Add(h.Type.Capacity, 1)
				}
			}
		}
	}
	p.pending = sc.pendingJobs()
	return p
}
