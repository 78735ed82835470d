package records

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// A job that awaits others waits, also one that is read from its record.
func TestAwaitingJobRecord(t *testing.T) {
	j := state.NewJob(&protocol.JobSpec{Ref: "req-000001", Class: "c", Team: "red", Tasks: 2, Image: "img", DependsOn: []string{"req-000002", "req-000003"}})
	if j.State != state.JobBlocked {
		t.Fatalf("it is %v", j.State)
	}
	got, err := DecodeJob(EncodeJob(j))
	if err != nil || got.State != state.JobBlocked || !cmp.Equal(got.Dependencies.Unmet, j.Spec.DependsOn) || !cmp.Equal(got.Spec, j.Spec) {
		t.Errorf("%+v %v", got, err)
	}
	j.SetState(state.JobCancelling)
	j.Cancellation.RequestedWall = 55
	if got, err = DecodeJob(EncodeJob(j)); err != nil || got.State != state.JobCancelling {
		t.Errorf("%+v %v", got, err)
	}
}

// A record of a job that awaits as many as it may, by the names that the platform gives,
// fits into a value of 2 KiB.
func TestAwaitingJobRecordIsBounded(t *testing.T) {
	s := &protocol.JobSpec{
		Ref: "req-000001", Class: "picker-training", Team: "duty-analysts", Kind: protocol.Gang, Tasks: 100, Image: "picker-training-000017",
		MachineTypes: []string{"tisza-small", "duna-large"}, Zone: "szeged-annex", Deadline: 900 * protocol.Second, EstimatedRuntime: 80 * protocol.Second,
		TaskResources: protocol.Resources{CPU: 28500, GPU: 4000, Memory: 100500}, ImageSize: 7250, CheckpointInterval: 30 * protocol.Second, CheckpointDuration: 4 * protocol.Second,
	}
	for i := range protocol.MaxDependencies {
		s.DependsOn = append(s.DependsOn, fmt.Sprintf("req-%06d", i+2))
	}
	if b := EncodeJob(state.NewJob(s)); len(b) > 2048 {
		t.Errorf("%d bytes", len(b))
	}
}
