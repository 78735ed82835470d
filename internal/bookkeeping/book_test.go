package bookkeeping

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"mapleslip/internal/protocol"
)

func job(tasks int) *Job {
	return NewJob(&protocol.JobSpec{Ref: "req-000001", Class: "c", Team: "red", Tasks: tasks, Need: protocol.Resources{CPU: 1000, GPU: 1000},
		Image: "img", Deadline: 5 * protocol.Second})
}

func TestJobRecord(t *testing.T) {
	j := job(3)
	j.SubmittedWall, j.Epoch = 1234567, 7
	for _, cancelled := range []bool{false, true} {
		got, err := DecodeJob(EncodeJob(j, cancelled))
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(j.Spec, got.Spec); d != "" || got.Epoch != 7 || got.SubmittedWall != 1234567 || (got.State == JobCancelled) != cancelled {
			t.Errorf("%s %+v", d, got)
		}
	}
}

func TestHostRecord(t *testing.T) {
	h := NewHost(0, "n-1", "g8", "a", true)
	h.Addr, h.RecordedWall = "10.0.0.1:9000", 99
	h.SawImage(5, "img-1", 2000)
	got, err := DecodeHost(0, "n-1", EncodeHost(h))
	if err != nil {
		t.Fatal(err)
	}
	if got.TypeName != "g8" || got.Zone != "a" || !got.Spot || got.Addr != h.Addr || got.RecordedWall != 99 || got.Images["img-1"] == nil ||
		got.Images["img-1"].Size != 2000 || !got.Recorded || !got.FromRecord {
		t.Errorf("%+v", got)
	}
}

// The tasks of a large array are kept in chunks.
func TestChunkRecord(t *testing.T) {
	j := job(ChunkTasks + 100)
	done := []int{0, 9, ChunkTasks - 1, ChunkTasks, ChunkTasks + 99}
	for _, i := range done {
		j.Complete(i, false)
	}
	again := job(ChunkTasks + 100)
	for chunk := range 2 {
		value := EncodeChunk(j, chunk)
		if len(value) > 8<<10 {
			t.Errorf("chunk %d takes %d bytes", chunk, len(value))
		}
		if err := ApplyChunk(again, chunk, value); err != nil {
			t.Fatal(err)
		}
	}
	var got []int
	for i := range again.Tasks {
		if again.Tasks[i].State == TaskDone && again.Tasks[i].Durable {
			got = append(got, i)
		}
	}
	if d := cmp.Diff(done, got); d != "" || again.Queued != len(again.Tasks)-len(done) {
		t.Errorf("%s, %d queued", d, again.Queued)
	}
}

// Whatever way an attempt takes, the counts end where they began.
func TestAttemptCounts(t *testing.T) {
	for _, path := range [][]AttemptState{
		{AttemptAssigned, AttemptGone},
		{AttemptAssigned, AttemptLaunched, AttemptGone},
		{AttemptAssigned, AttemptLaunched, AttemptFetching, AttemptRunning, AttemptExited, AttemptGone},
		{AttemptAssigned, AttemptLaunched, AttemptWaiting, AttemptRunning, AttemptSaving, AttemptGone},
		{AttemptRunning, AttemptExited, AttemptGone},
		{AttemptExited, AttemptGone},
	} {
		b, j := NewBook(), job(1)
		h := NewHost(0, "n-1", "t", "a", false)
		a := b.Attach(0, j, h, protocol.AttemptName{TaskName: protocol.TaskName{Job: j.Spec.Ref}, Number: 1})
		for _, s := range path {
			b.Move(1, a, s)
			if s.Occupies() && (b.Used["red"] != j.Spec.Need || h.Used() != j.Spec.Need || j.Queued != 0 || j.Attempts != 1) {
				t.Errorf("%v at %v: used %v, %d queued, %d attempts", path, s, b.Used["red"], j.Queued, j.Attempts)
			}
		}
		if b.Used["red"] != (protocol.Resources{}) || j.Queued != 1 || j.Attempts != 0 || j.Running != 0 || j.Tasks[0].Live != 0 || len(h.Attempts) != 0 {
			t.Errorf("%v: used %v, job %+v", path, b.Used["red"], j)
		}
	}
}

// The cache holds the most recently used images.
func TestImageCache(t *testing.T) {
	h := NewHost(0, "n-1", "t", "a", false)
	h.Type = &protocol.MachineType{Cache: 10000}
	h.SawImage(1, "a", 5000)
	h.SawImage(2, "b", 4000)
	h.SawImage(3, "a", 5000)
	h.SawImage(4, "c", 3000)
	if h.Images["a"] == nil || h.Images["b"] != nil || h.Images["c"] == nil {
		t.Errorf("%v", h.Images)
	}
}
