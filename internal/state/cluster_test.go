package state

import (
	"testing"

	"mapleslip/internal/protocol"
)

func job(tasks int) *Job {
	return NewJob(&protocol.JobSpec{
		Ref: "req-000001", Class: "c", Team: "red", Tasks: tasks, TaskResources: protocol.Resources{CPU: 1000, GPU: 1000},
		Image: "img", Deadline: 5 * protocol.Second,
	})
}

// Guards against resources or queued tasks that are counted wrongly after an attempt, whichever
// states it passes through.
func TestAttemptCounts(t *testing.T) {
	for _, path := range [][]AttemptState{
		{AttemptAssigned, AttemptGone},
		{AttemptAssigned, AttemptLaunched, AttemptGone},
		{AttemptAssigned, AttemptLaunched, AttemptFetching, AttemptRunning, AttemptExited, AttemptGone},
		{AttemptAssigned, AttemptLaunched, AttemptWaiting, AttemptRunning, AttemptCheckpointing, AttemptGone},
		{AttemptRunning, AttemptExited, AttemptGone},
		{AttemptExited, AttemptGone},
	} {
		c, j := NewCluster(), job(1)
		h := NewHost(0, "n-1", "t", "a", false)
		a := c.Attach(0, j, h, protocol.AttemptName{TaskName: protocol.TaskName{Job: j.Spec.Ref}, Number: 1})
		for _, s := range path {
			c.SetAttemptState(1, a, s)
			if s.HoldsResources() && (c.UsedByTeam["red"] != j.Spec.TaskResources || h.Used() != j.Spec.TaskResources || j.QueuedTasks != 0 || j.AttemptCount != 1) {
				t.Errorf("%v at %v: used %v, %d queued, %d attempts", path, s, c.UsedByTeam["red"], j.QueuedTasks, j.AttemptCount)
			}
		}
		if c.UsedByTeam["red"] != (protocol.Resources{}) || j.QueuedTasks != 1 || j.AttemptCount != 0 || j.RunningTasks != 0 || j.Tasks[0].ActiveAttempts != 0 || len(h.Attempts()) != 0 || !h.Empty() {
			t.Errorf("%v at the end: used %v, job %+v", path, c.UsedByTeam["red"], j)
		}
	}
}

// Images that do not fit into the cache must be removed in the order of their last use.
func TestImageCache(t *testing.T) {
	h := NewHost(0, "n-1", "t", "a", false)
	h.Type = &protocol.MachineType{CacheSize: 10000}
	h.AddImage(1, "a", 5000)
	h.AddImage(2, "b", 4000)
	h.AddImage(3, "a", 5000)
	h.AddImage(4, "c", 3000)
	if h.Images["a"] == nil || h.Images["b"] != nil || h.Images["c"] == nil {
		t.Errorf("images %v, want a and c", h.Images)
	}
}
