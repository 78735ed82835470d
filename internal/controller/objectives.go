package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/slo"
	"mapleslip/internal/state"
)

// objectiveTracker counts how far service-level objectives are met.
type objectiveTracker struct {
	*termContext
	workload *workload

	window           slo.Window        // outcomes by class and team
	longestStartWait map[string]micros // for which a largest job has waited to start, by class
}

const (
	// objectiveTolerance is how much too late a job may be: the controller hears of what hosts
	// do with their next heartbeats.
	objectiveTolerance = protocol.Second
	// startMarginPercent is the part of an objective on finishing that a job may use, waiting
	// included. The rest is left to errors of the estimates.
	startMarginPercent = 70
	// largeJobStartObjective is how soon the largest jobs of a class have to start: users count
	// a day as failed on which less than half of them do.
	largeJobStartObjective = 240 * protocol.Second
)

// startObjective is the shortest time that an objective gives a class to start, or 0.
func (env *environment) startObjective(class string) micros {
	var within micros
	for _, o := range env.platform.Objectives {
		if o.Kind == protocol.ObjectiveWait && o.Class == class && (within == 0 || o.Within < within) {
			within = o.Within
		}
	}
	return within
}

// startDeadline is until when a job may become ready without an objective being missed, where
// the only objectives of its class are on finishing; 0 elsewhere.
func (ot *objectiveTracker) startDeadline(j *state.Job) micros {
	var within micros
	for _, o := range ot.platform.Objectives {
		if o.Class != j.Spec.Class {
			continue
		}
		if o.Kind != protocol.ObjectiveFinished {
			return 0
		}
		if within == 0 || o.Within < within {
			within = o.Within
		}
	}
	if within == 0 || j.Spec.Kind == protocol.Service {
		return 0
	}
	return j.EligibleAt + within*startMarginPercent/100 - ot.workload.classStats(j.Spec.Class).estimatedRuntime(j.Spec)
}

// finishDeadline is when a job should have ended, by its deadline and the latest objective on
// finishing of its class; 0: there is none.
func (ot *objectiveTracker) finishDeadline(j *state.Job) micros {
	s := j.Spec
	if s.Kind == protocol.Service {
		return 0
	}
	var due micros
	if s.Deadline > 0 {
		due = j.Submitted + s.Deadline
	}
	for _, o := range ot.platform.Objectives {
		if o.Kind == protocol.ObjectiveFinished && o.Class == s.Class {
			due = max(due, j.EligibleAt+o.Within)
		}
	}
	return due
}

// dueBy is when a job should have met the objectives of its class: it has ended by its deadline
// or the latest objective on finishing, or, if there is none, all its tasks have started.
// 0: there is no objective.
func (ot *objectiveTracker) dueBy(j *state.Job) (at micros, toFinish bool) {
	if due := ot.finishDeadline(j); due > 0 {
		return due, true
	}
	var within micros
	for _, o := range ot.platform.Objectives {
		if o.Kind == protocol.ObjectiveWait && o.Class == j.Spec.Class {
			within = max(within, o.Within)
		}
	}
	if within == 0 {
		return 0, false
	}
	return j.EligibleAt + within, false
}

// countObjective counts a job once it has met its objectives, or it is too late. It is looked
// at with the sweep over all jobs. What was due before this controller led is not counted:
// nobody knows it.
func (ot *objectiveTracker) countObjective(j *state.Job) {
	if j.Objectives.Counted || j.State > state.JobActive && j.State != state.JobFinishing && j.State != state.JobDone {
		return
	}
	now := ot.now.Steady
	due, toFinish := ot.dueBy(j)
	if due == 0 || due < ot.recordsLoadedAt || isOpportunistic(j) {
		j.Objectives.Counted = true
		return
	}
	met := !toFinish && j.RunningTasks+j.CompletedTasks >= len(j.Tasks) || toFinish && j.CompletedTasks == len(j.Tasks)
	if !met && now <= due {
		return
	}
	j.Objectives.Counted = true
	inTime := met && now <= due+objectiveTolerance
	ot.addOutcome(slo.Class, j.Spec.Class, inTime)
	ot.addOutcome(slo.Team, j.Spec.Team, inTime)
}

// addOutcome adds a job to a group, and logs where the group's state changes by it.
func (ot *objectiveTracker) addOutcome(k slo.Kind, name string, inTime bool) {
	if !ot.window.Add(k, name, ot.now.Steady, inTime) {
		return
	}
	n := ot.window.Lately(k, name, ot.now.Steady)
	ot.log.Info("share served", k.String(), name, "state", ot.window.Is(k, name).String(), "served", n.Served, "of", n.Of())
}

// countLargeJobStart counts a job that is among the largest of its class, of at least half as
// many tasks as the largest one that this leader has seen, once it has started or should have.
func (ot *objectiveTracker) countLargeJobStart(j *state.Job) {
	if j.Objectives.StartCounted || j.State != state.JobActive && j.State != state.JobFinishing {
		return
	}
	class := j.Spec.Class
	dueBeforeTerm := j.EligibleAt+largeJobStartObjective < ot.recordsLoadedAt
	if 2*j.Spec.Tasks < ot.workload.classStats(class).largestJob || isOpportunistic(j) || dueBeforeTerm {
		j.Objectives.StartCounted = true
		return
	}
	wait := ot.now.Steady - j.EligibleAt
	if !hasStarted(j) {
		ot.longestStartWait[class] = max(ot.longestStartWait[class], wait)
		if wait <= largeJobStartObjective {
			return
		}
		ot.log.Info("a large job has not started", "ref", j.Spec.Ref, "class", class, "tasks", j.Spec.Tasks,
			"waits_ms", int64(wait/protocol.Millisecond), "placed", j.AttemptCount)
	}
	j.Objectives.StartCounted = true
	ot.addOutcome(slo.Largest, class, wait <= largeJobStartObjective)
}

// hasStarted reports whether a job has started: a gang with all of its tasks, others with the
// first one.
func hasStarted(j *state.Job) bool {
	started := j.RunningTasks + j.CompletedTasks
	if j.Spec.Kind == protocol.Gang {
		return started >= len(j.Tasks)
	}
	return started > 0
}
