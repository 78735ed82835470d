package controller

import (
	"fmt"
	"slices"
	"testing"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// newDependentJob makes a job that depends on others. modify, which may be nil, changes its
// specification.
func newDependentJob(c *Controller, ref string, modify func(*protocol.JobSpec), dependsOn ...string) *state.Job {
	s := &protocol.JobSpec{
		Ref: ref, Class: "stage", Team: "team-1", Kind: protocol.Array, Priority: protocol.PriorityLow, Tasks: 2,
		TaskResources: protocol.Resources{CPU: 1000, Memory: 1000}, Image: "img-1", ImageSize: 400, EstimatedRuntime: 20 * protocol.Second, DependsOn: dependsOn,
	}
	if modify != nil {
		modify(s)
	}
	j := state.NewJob(s)
	j.SubmittedWall = c.now.Wall
	return j
}

// The priority and the deadline of the last job of a graph are inherited by all its dependencies,
// in whatever order the leader adds the jobs.
func TestPriorityAndDeadlineAreInherited(t *testing.T) {
	for name, order := range map[string][]int{"submission order": {0, 1, 2, 3}, "reverse order": {3, 2, 1, 0}, "mixed order": {2, 0, 3, 1}} {
		t.Run(name, func(t *testing.T) {
			c := busyLeader(t, 8, 0)
			jobs := []*state.Job{
				newDependentJob(c, "req-900001", nil),
				newDependentJob(c, "req-900002", nil, "req-900001"),
				newDependentJob(c, "req-900003", nil, "req-900001"),
				newDependentJob(c, "req-900004", func(s *protocol.JobSpec) { s.Priority, s.Deadline = protocol.PriorityHigh, 300*protocol.Second },
					"req-900002", "req-900003"),
			}
			for _, i := range order {
				c.term.jobs.addJob(jobs[i])
			}
			// A job takes 20 s, and the fetch of its image of 0.4 GB takes 1 s.
			due := c.now.Steady + 300*protocol.Second
			want := []micros{due - 42*protocol.Second, due - 21*protocol.Second, due - 21*protocol.Second, 0}
			for i, j := range jobs {
				if j.Priority != protocol.PriorityHigh || j.Dependencies.InheritedDeadline != want[i] {
					t.Errorf("%s: priority %d, has to be done %.1f s before the deadline, want %.1f s", j.Spec.Ref, j.Priority, (due - j.Dependencies.InheritedDeadline).Seconds(), (due - want[i]).Seconds())
				}
			}
		})
	}
}

// A blocked job is not scheduled, and its time to start counts only from when it is eligible.
func TestBlockedJobIsNotPlanned(t *testing.T) {
	c := busyLeader(t, 8, 0)
	first, second := newDependentJob(c, "req-900001", nil), newDependentJob(c, "req-900002", nil, "req-900001")
	c.term.jobs.addJob(first)
	c.term.jobs.addJob(second)
	planned := func(j *state.Job) bool {
		return slices.ContainsFunc(c.term.scheduler.pendingJobs(), func(w *pendingJob) bool { return w.job == j })
	}
	if !planned(first) || planned(second) {
		t.Errorf("pending for scheduling: first %v, second %v; want only the first", planned(first), planned(second))
	}
	if c.term.scheduler.buildRequest(&pendingJob{job: second}) {
		t.Error("a placement request was made for a blocked job")
	}
	c.now.Steady += 50 * protocol.Second
	c.directory.cacheFinishedJob("req-900001", finishedJob{protocol.PhaseDone, 2})
	if !planned(second) || second.EligibleAt != c.now.Steady {
		t.Errorf("pending for scheduling: %v; eligible at %v, want %v", planned(second), second.EligibleAt, c.now.Steady)
	}
}

// A dependency whose record a new leader has not read may have been cancelled, and users may have
// seen that. Until the record is read, the leader must not reply from memory for its dependents.
func TestOutcomeIsUncertainBeforeFinalRecordIsRead(t *testing.T) {
	for _, phase := range []protocol.Phase{protocol.PhaseDone, protocol.PhaseCancelled} {
		c := busyLeader(t, 8, 0)
		second, third := newDependentJob(c, "req-900002", nil, "req-900001"), newDependentJob(c, "req-900003", nil, "req-900002")
		c.term.jobs.addJob(third)
		c.term.jobs.addJob(second)
		if !isOutcomeUncertain(second) || !isOutcomeUncertain(third) {
			t.Errorf("outcome is certain before the final record is read: %v %v", !isOutcomeUncertain(second), !isOutcomeUncertain(third))
		}
		c.directory.cacheFinishedJob("req-900001", finishedJob{phase, 2})
		if isOutcomeUncertain(second) || isOutcomeUncertain(third) {
			t.Errorf("%s: outcome is uncertain after the final record is read", phase)
		}
		cancelled := phase == protocol.PhaseCancelled
		if second.Dependencies.Cancelled != cancelled || third.Dependencies.Cancelled != cancelled || (second.State == state.JobActive) == cancelled || third.State == state.JobActive {
			t.Errorf("%s: states %v and %v, cancelled by a dependency %v and %v", phase, second.State, third.State, second.Dependencies.Cancelled, third.Dependencies.Cancelled)
		}
	}
}

// The cost of a finished job depends on the number of its dependents only, and not on the number of
// blocked or finished jobs.
func BenchmarkDependencyFinished(b *testing.B) {
	for _, blocked := range []int{100, 10_000} {
		b.Run(fmt.Sprint(blocked, " blocked"), func(b *testing.B) {
			c := busyLeader(b, 8, 0)
			for i := range 25_000 {
				c.directory.finishedJobs.add(fmt.Sprintf("req-%06d", i), finishedJob{protocol.PhaseDone, 1})
			}
			for i := range blocked {
				c.term.jobs.addJob(newDependentJob(c, fmt.Sprintf("req-%06d", 200_000+i), nil, fmt.Sprintf("req-%06d", 100_000+i)))
			}
			j := newDependentJob(c, "req-900002", nil, "req-900001")
			c.term.jobs.addJob(j)
			b.ResetTimer()
			for b.Loop() {
				c.directory.cacheFinishedJob("req-900001", finishedJob{protocol.PhaseDone, 2})
				j.State, j.Dependencies.Unmet = state.JobBlocked, append(j.Dependencies.Unmet, "req-900001")
				c.term.dependencies.dependents["req-900001"] = []*state.Job{j}
			}
		})
	}
}

// A task result that a worker reports proves that an earlier leader found all dependencies of the
// job done, even before the current leader has read their records.
func TestReportedResultProvesDependencies(t *testing.T) {
	c := busyLeader(t, 8, 0)
	j := newDependentJob(c, "req-900002", nil, "req-900001")
	c.term.jobs.addJob(j)
	report := protocol.TaskStatus{
		AttemptName: protocol.AttemptName{TaskName: protocol.TaskName{Job: j.Spec.Ref, Index: 1}, Number: 7},
		State:       protocol.TaskExited, Reason: protocol.ExitDone,
	}
	c.term.agents.observeAttempt(c.term.agents.adoptAttempt(c.term.cluster.Hosts()[0], report), report)
	if j.State != state.JobActive || j.CompletedTasks != 1 || j.Tasks[1].State != state.TaskDone {
		t.Errorf("state %v, %d tasks completed", j.State, j.CompletedTasks)
	}
}

// When a job is cancelled, its dependencies lose what they inherited from it: they keep the
// priority and deadline of their other dependents, or their own.
func TestInheritedPriorityAndDeadlineAreRevoked(t *testing.T) {
	c := busyLeader(t, 8, 0)
	urgent := func(priority protocol.Priority, deadline micros) func(*protocol.JobSpec) {
		return func(s *protocol.JobSpec) { s.Priority, s.Deadline = priority, deadline }
	}
	first, second := newDependentJob(c, "req-900001", nil), newDependentJob(c, "req-900002", nil, "req-900001")
	high := newDependentJob(c, "req-900003", urgent(protocol.PriorityHigh, 200*protocol.Second), "req-900002")
	standard := newDependentJob(c, "req-900004", urgent(protocol.PriorityStandard, 400*protocol.Second), "req-900002")
	for _, j := range []*state.Job{first, second, high, standard} {
		c.term.jobs.addJob(j)
	}
	check := func(when string, priority protocol.Priority, within micros) {
		t.Helper()
		var want micros
		if within > 0 {
			want = c.now.Steady + within
		}
		if first.Priority != priority || first.Dependencies.InheritedDeadline != want {
			t.Errorf("%s: priority %d, inherited deadline %d; want %d, %d", when, first.Priority, first.Dependencies.InheritedDeadline, priority, want)
		}
	}
	check("both dependents", protocol.PriorityHigh, 158*protocol.Second)
	c.term.jobs.cancelJob(ReplyAddress{}, "req-900003")
	check("high-priority dependent cancelled", protocol.PriorityStandard, 358*protocol.Second)
	c.term.jobs.cancelJob(ReplyAddress{}, "req-900004")
	check("both dependents cancelled", protocol.PriorityLow, 0)
}
