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

// startObjective is the shortest time that an aim gives a class to start, or 0.
func (env *environment) startObjective(class string) micros {
	var within micros
	for _, o := range env.platform.Objectives {
		if o.Kind == "wait" && o.Class == class && (within == 0 || o.Within < within) {
			within = o.Within
		}
	}
	return within
}

// startDeadline is until when a job may become ready without an aim being missed,
// where the only aim of its class is on finishing. Half of the time is left to
// errors of the estimates.
func (ot *objectiveTracker) startDeadline(j *state.Job) micros {
	var within micros
	for _, o := range ot.platform.Objectives {
		if o.Class != j.Spec.Class {
			continue
		}
		if o.Kind != "finished" {
			return 0
		}
		if within == 0 || o.Within < within {
			within = o.Within
		}
	}
	if within == 0 || j.Spec.Kind == protocol.Service {
		return 0
	}
	return j.EligibleAt + within*7/10 - ot.workload.classStats(j.Spec.Class).estimatedRuntime(j.Spec)
}

// objectiveDeadline is when a job should have ended, by its deadline and the latest aim on the end
// of its class; 0: nothing is asked of its end.
func (ot *objectiveTracker) objectiveDeadline(j *state.Job) micros {
	s := j.Spec
	var due micros
	if s.Kind == protocol.Service {
		return 0
	}
	if s.Deadline > 0 {
		due = j.Submitted + s.Deadline
	}
	for _, o := range ot.platform.Objectives {
		if o.Kind == "finished" && o.Class == s.Class {
			due = max(due, j.EligibleAt+o.Within)
		}
	}
	return due
}

// objectiveDue is when a job should have what is asked of its class: the end by its
// deadline or its class's latest aim on it, or, if nothing is asked of that, the start
// of all its tasks. 0: nothing is asked.
func (ot *objectiveTracker) objectiveDue(j *state.Job) (at micros, toEnd bool) {
	if due := ot.objectiveDeadline(j); due > 0 {
		return due, true
	}
	var within micros
	for _, o := range ot.platform.Objectives {
		if o.Kind == "wait" && o.Class == j.Spec.Class {
			within = max(within, o.Within)
		}
	}
	if within == 0 {
		return 0, false
	}
	return j.EligibleAt + within, false
}

// countObjective counts a job once it has what is asked of its class, or it is too late.
// It is looked at with the sweep over all jobs. What was due before this node led is
// not counted: nobody knows it.
func (ot *objectiveTracker) countObjective(j *state.Job) {
	if j.Objectives.Counted || j.State > state.JobActive && j.State != state.JobFinishing && j.State != state.JobDone {
		return
	}
	at := ot.now.Steady
	due, toEnd := ot.objectiveDue(j)
	switch {
	case due == 0 || due < ot.recordsLoadedAt || isOpportunistic(j):
		j.Objectives.Counted = true
		return
	case toEnd && j.CompletedTasks == len(j.Tasks), !toEnd && j.RunningTasks+j.CompletedTasks >= len(j.Tasks):
		j.Objectives.Counted = true
		ot.addObjectiveOutcome(j, at <= due+protocol.Second)
	case at > due:
		j.Objectives.Counted = true
		ot.addObjectiveOutcome(j, false)
	}
}

func (ot *objectiveTracker) addObjectiveOutcome(j *state.Job, inTime bool) {
	ot.addToWindow(slo.Class, j.Spec.Class, inTime)
	ot.addToWindow(slo.Team, j.Spec.Team, inTime)
}

// addToWindow adds a job to a group, and tells where the group's state changes by it.
func (ot *objectiveTracker) addToWindow(k slo.Kind, name string, inTime bool) {
	if ot.window.Add(k, name, ot.now.Steady, inTime) {
		n := ot.window.Lately(k, name, ot.now.Steady)
		ot.log.Info("share served", k.String(), name, "state", ot.window.Is(k, name).String(), "served", n.Served, "of", n.Of())
	}
}

// largeJobStartObjective is how soon the largest jobs of a class have to begin: users count a day as
// failed on which less than half of them do.
const largeJobStartObjective = 240 * protocol.Second

// countLargeJobStart counts a job that is among the largest of its class, of at least half as many
// tasks as the largest one that this leader has seen, once it has begun or should have.
func (ot *objectiveTracker) countLargeJobStart(j *state.Job) {
	if j.Objectives.StartCounted || j.State != state.JobActive && j.State != state.JobFinishing {
		return
	}
	name := j.Spec.Class
	if 2*j.Spec.Tasks < ot.workload.classStats(name).largestJob || isOpportunistic(j) || j.EligibleAt+largeJobStartObjective < ot.recordsLoadedAt {
		j.Objectives.StartCounted = true
		return
	}
	wait := ot.now.Steady - j.EligibleAt
	begun := j.RunningTasks+j.CompletedTasks > 0
	if j.Spec.Kind == protocol.Gang {
		begun = j.RunningTasks+j.CompletedTasks >= len(j.Tasks)
	}
	if !begun {
		ot.longestStartWait[name] = max(ot.longestStartWait[name], wait)
		if wait <= largeJobStartObjective {
			return
		}
		ot.log.Info("a large job has not begun", "ref", j.Spec.Ref, "class", name, "tasks", j.Spec.Tasks, "waits_ms", int64(wait/protocol.Millisecond), "placed", j.AttemptCount)
	}
	j.Objectives.StartCounted = true
	ot.addToWindow(slo.Largest, name, wait <= largeJobStartObjective)
}
