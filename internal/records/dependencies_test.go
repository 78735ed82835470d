package records

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// A job that depends on others must be blocked, also after it is decoded from its record. A job
// that is being cancelled must stay so.
func TestBlockedJobRecord(t *testing.T) {
	j := state.NewJob(&protocol.JobSpec{Ref: "req-000001", Class: "c", Team: "red", Tasks: 2, Image: "img", DependsOn: []string{"req-000002", "req-000003"}})
	if j.State != state.JobBlocked {
		t.Fatalf("new job is %v, want blocked", j.State)
	}
	got, err := DecodeJob(EncodeJob(j))
	if err != nil || got.State != state.JobBlocked || !cmp.Equal(got.Dependencies.Unmet, j.Spec.DependsOn) || !cmp.Equal(got.Spec, j.Spec) {
		t.Errorf("blocked job decoded as %+v, error %v", got, err)
	}
	j.SetState(state.JobCancelling)
	j.Cancellation.RequestedWall = 55
	if got, err = DecodeJob(EncodeJob(j)); err != nil || got.State != state.JobCancelling {
		t.Errorf("cancelling job decoded as %+v, error %v", got, err)
	}
}

// The record of a job with the largest number of dependencies, and with names as the platform
// gives them, must fit into a value of 2 KiB.
func TestBlockedJobRecordSize(t *testing.T) {
	spec := &protocol.JobSpec{
		Ref: "req-000001", Class: "picker-training", Team: "duty-analysts", Kind: protocol.Gang, Tasks: 100, Image: "picker-training-000017",
		MachineTypes: []string{"tisza-small", "duna-large"}, Zone: "szeged-annex", Deadline: 900 * protocol.Second, EstimatedRuntime: 80 * protocol.Second,
		TaskResources: protocol.Resources{CPU: 28500, GPU: 4000, Memory: 100500}, ImageSize: 7250, CheckpointInterval: 30 * protocol.Second, CheckpointDuration: 4 * protocol.Second,
	}
	for i := range protocol.MaxDependencies {
		spec.DependsOn = append(spec.DependsOn, fmt.Sprintf("req-%06d", i+2))
	}
	if b := EncodeJob(state.NewJob(spec)); len(b) > 2048 {
		t.Errorf("record takes %d bytes", len(b))
	}
}
