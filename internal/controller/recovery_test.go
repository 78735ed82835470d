package controller

import (
	"testing"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
)

// Guards against a failover that splits a single-zone gang over two zones. The gang restarts in
// zone b, and the leader fails when only one launch there is recorded; the record of another task
// still contains its earlier host in zone a. The next leader pins both tasks. It once took the last
// zone that it found for the gang's zone and launched the other tasks there, which broke the rule
// wrong_place in one of four random runs of hsos-foldrenges-fleet at 1.5 times its size. Nothing
// may be placed until one of the two tasks is proven to be gone.
func TestSingleZoneGangPinnedInTwoZones(t *testing.T) {
	c := busyLeader(t, 8, 0)
	cluster := c.term.cluster
	j := state.NewJob(&protocol.JobSpec{
		Ref: "req-900001", Class: "small-train", Team: "team-1", Kind: protocol.Gang, Priority: protocol.PriorityHigh, Tasks: 4,
		TaskResources: protocol.Resources{CPU: 1000, GPU: 1000, Memory: 1000}, SingleZone: true, Image: "img", EstimatedRuntime: 60 * protocol.Second,
	})
	j.SubmittedWall = c.now.Wall
	c.term.jobs.addJob(j)
	pin := func(host, zone string, index int, number uint64) *state.Attempt {
		h := state.NewHost(c.now.Steady, host, "small", zone, false)
		h.Record.FromEarlierEpoch = true
		cluster.AddHost(h)
		name := protocol.AttemptName{TaskName: protocol.TaskName{Job: j.Spec.Ref, Index: index}, Number: number}
		c.recovery.pinLaunch(recordedLaunch{records.Launch{Name: name, Host: host}, c.term.records.launchShards.addStored(protocol.Entry{Key: records.LaunchShardPrefix + host[len(host)-1:]})})
		return j.Tasks[index].Current
	}
	pin("n-900002", "b", 1, 7)
	stale := pin("n-900001", "a", 3, 4)
	pending := &pendingJob{job: j}
	if c.term.scheduler.buildRequest(pending) {
		t.Fatalf("tasks %v are placed while others are pinned in two zones: %v", pending.tasks, pending.request.TasksByZone)
	}
	c.term.agents.onAttemptLost(stale) // the host's heartbeat does not contain the task
	if !c.term.scheduler.buildRequest(pending) || len(pending.tasks) != 3 || len(pending.request.TasksByZone) != 1 || pending.request.TasksByZone["b"] != 1 {
		t.Fatalf("the 3 other tasks are not placed in zone b: tasks %v, request %+v", pending.tasks, pending.request)
	}
}
