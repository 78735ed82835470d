package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/slo"
	"mapleslip/internal/state"
)

// objectiveTracker counts how many jobs meet their service-level objectives.
type objectiveTracker struct {
	*termContext
	workload *workload

	window           slo.Window        // outcomes by class, by team, and of largest jobs by class
	longestStartWait map[string]micros // by class: longest wait of a largest job for its start
}

const (
	// objectiveTolerance is how late a job may be: the controller learns of events on hosts only
	// from the next heartbeats.
	objectiveTolerance = protocol.Second
	// startMarginPercent is the percentage of a finish objective that a job may use, including the
	// time that it waits. The rest is a margin for errors of the estimates.
	startMarginPercent = 70
	// largeJobStartObjective is the time within which the largest jobs of a class have to start:
	// users consider a day failed on which fewer than half of them do.
	largeJobStartObjective = 240 * protocol.Second
)

// startObjective returns the shortest start objective of a class, or 0 if it has none.
func (env *environment) startObjective(class string) micros {
	var within micros
	for _, o := range env.platform.Objectives {
		if o.Kind == protocol.ObjectiveWait && o.Class == class && (within == 0 || o.Within < within) {
			within = o.Within
		}
	}
	return within
}

// startDeadline returns the time by which a job has to become ready so as not to miss an objective,
// if all objectives of its class are finish objectives. Otherwise, and for services, it returns 0.
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

// finishDeadline returns when a job should have finished: the later one of its own deadline and the
// latest finish objective of its class, or 0 if it has neither.
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

// dueBy returns when a job should have met its deadline and the objectives of its class. With
// toFinish, the job should have finished by then; without it, all its tasks should have started.
// The time is 0 if the job has neither a deadline nor an objective.
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

// countObjective counts a job's outcome once it has met its objectives or is overdue. The periodic
// sweep over all jobs calls it. Jobs that were due before this leader had read the records are not
// counted, because their outcome is not recorded.
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

// addOutcome adds a job's outcome to a group, and logs a change of the group's state.
func (ot *objectiveTracker) addOutcome(k slo.Kind, name string, inTime bool) {
	if !ot.window.Add(k, name, ot.now.Steady, inTime) {
		return
	}
	count := ot.window.Recent(k, name, ot.now.Steady)
	ot.log.Info("service-level objective state changed", k.String(), name, "state", ot.window.State(k, name).String(), "served", count.Served, "of", count.Total())
}

// countLargeJobStart counts whether one of the largest jobs of a class started in time, once it has
// started or is overdue. The largest jobs have at least half as many tasks as the largest one that
// this leader has seen.
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
