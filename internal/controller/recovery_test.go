package controller

import (
	"testing"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
)

// A gang that must be in one zone started anew in zone b, and the leader ended when only one
// of its launches there was recorded; the record of another task still names the machine
// in zone a where it was before. The next leader pinned both, took whichever zone came up
// last for the gang's, and started the other tasks there: hsos-foldrenges-fleet at one and
// a half times its size broke wrong_place so, on one play in four of a drawn day. Nothing
// is placed before one of the two is proven gone.
func TestSingleZoneGangPinnedInTwoZones(t *testing.T) {
	c := busyLeader(t, 8, 0)
	b := c.term.cluster
	j := state.NewJob(&protocol.JobSpec{
		Ref: "req-900001", Class: "small-train", Team: "team-1", Kind: protocol.Gang, Priority: protocol.PriorityHigh, Tasks: 4,
		TaskResources: protocol.Resources{CPU: 1000, GPU: 1000, Memory: 1000}, SingleZone: true, Image: "img", EstimatedRuntime: 60 * protocol.Second,
	})
	j.SubmittedWall = c.now.Wall
	c.term.jobs.addJob(j)
	pin := func(host, zone string, index int, try uint64) *state.Attempt {
		h := state.NewHost(c.now.Steady, host, "small", zone, false)
		h.Record.FromEarlierEpoch = true
		b.AddHost(h)
		name := protocol.AttemptName{TaskName: protocol.TaskName{Job: j.Spec.Ref, Index: index}, Number: try}
		c.recovery.pinLaunch(recordedLaunch{records.Launch{Name: name, Host: host}, c.term.records.launchShards.addStored(protocol.Entry{Key: records.LaunchShardPrefix + host[len(host)-1:]})})
		return j.Tasks[index].Current
	}
	pin("n-900002", "b", 1, 7)
	stale := pin("n-900001", "a", 3, 4)
	w := &pendingJob{job: j}
	if c.term.scheduler.buildRequest(w) {
		t.Fatalf("tasks %v are placed while some are pinned in two zones: %v", w.tasks, w.request.TasksByZone)
	}
	c.term.agents.onAttemptLost(stale) // its machine has reported without it
	if !c.term.scheduler.buildRequest(w) || len(w.tasks) != 3 || len(w.request.TasksByZone) != 1 || w.request.TasksByZone["b"] != 1 {
		t.Fatalf("tasks %v, zones %+v", w.tasks, w.request)
	}
}
