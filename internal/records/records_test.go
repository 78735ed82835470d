package records

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

func job(tasks int) *state.Job {
	return state.NewJob(&protocol.JobSpec{
		Ref: "req-000001", Class: "c", Team: "red", Tasks: tasks, TaskResources: protocol.Resources{CPU: 1000, GPU: 1000},
		Image: "img", Deadline: 5 * protocol.Second,
	})
}

func TestJobRecord(t *testing.T) {
	j := job(3)
	j.SubmittedWall, j.LeaderEpoch, j.Cancellation.RequestedWall = 1234567, 7, 2345678
	for _, cancelled := range []bool{false, true} {
		if cancelled {
			j.State = state.JobCancelledLegacy
		}
		got, err := DecodeJob(EncodeJob(j))
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(j.Spec, got.Spec); d != "" || got.LeaderEpoch != 7 || got.SubmittedWall != 1234567 || (got.State == state.JobCancelledLegacy) != cancelled || cancelled && got.Cancellation.RequestedWall != 2345678 {
			t.Errorf("%s %+v", d, got)
		}
	}
}

// Hosts share a record. What it says of them is read back, and a record of
// another form is refused rather than taken for an empty one.
func TestHostPage(t *testing.T) {
	h := state.NewHost(0, "n-1", "g8", "a", true)
	h.Addr, h.Record.WrittenWall = "10.0.0.1:9000", 99
	h.AddImage(5, "img-1", 2000)
	plain := state.NewHost(0, "n-2", "g4", "b", false)
	plain.Addr = "10.0.0.2:9000"
	for _, images := range []bool{true, false} {
		got, err := DecodeHosts(0, EncodeHosts([]*state.Host{h, plain}, images))
		if err != nil || len(got) != 2 {
			t.Fatal(got, err)
		}
		g := got[0]
		if g.Name != "n-1" || g.TypeName != "g8" || g.Zone != "a" || !g.Spot || g.Addr != h.Addr || g.Record.WrittenWall != 99 || !g.Record.Written || !g.Record.FromEarlierEpoch {
			t.Errorf("%+v", g)
		}
		if im := g.Images["img-1"]; images != (im != nil) || images && im.Size != 2000 {
			t.Errorf("images %v", g.Images)
		}
		if got[1].Name != "n-2" || got[1].Spot || len(got[1].Images) != 0 {
			t.Errorf("%+v", got[1])
		}
	}
	for _, bad := range []string{`{}`, `{"form":3,"hosts":[]}`, `{"form":2}`, `{"form":2,"hosts":[["n-1"]]}`, `{"form":2,"hosts":[["n-1","","g8","a",0,0,7]]}`, `[]`} {
		if got, err := DecodeHosts(0, []byte(bad)); err == nil {
			t.Errorf("%s: read as %v", bad, got)
		}
	}
	old, err := DecodeLegacyHost(0, "n-1", []byte(`{"type":"g8","zone":"a","addr":"10.0.0.1:9000","at":99,"spot":true,"images":{"img-1":2000}}`))
	if err != nil || old.TypeName != "g8" || !old.Spot || old.Images["img-1"] == nil {
		t.Errorf("the form with a key for each host: %+v %v", old, err)
	}
}

// Bookings and completions of many jobs share a record too.
func TestSharedRecords(t *testing.T) {
	at := map[string]micros{"req-000001": 5, "req-000002": 1 << 50}
	got, err := DecodeBookings(EncodeBookings([]string{"req-000001", "req-000002"}, func(ref string) micros { return at[ref] }))
	if d := cmp.Diff(at, got); d != "" || err != nil {
		t.Error(d, err)
	}
	j := job(30)
	j.Complete(3, false)
	j.Complete(29, false)
	bits, err := DecodeCompletions(EncodeCompletions([]*state.Job{j}))
	again := job(30)
	if err == nil {
		err = ApplyChunk(again, 0, bits["req-000001"])
	}
	if err != nil || again.CompletedTasks != 2 || again.Tasks[3].State != state.TaskDone || !again.Tasks[29].Durable {
		t.Errorf("%v %+v", err, again)
	}
	for _, bad := range []string{`{"form":3,"done":{}}`, `{"form":2,"done":{"req-000001":7}}`, `{"form":2,"at":{"req-000001":"x"}}`, `{"form":2}`, `7`} {
		if _, err := DecodeCompletions([]byte(bad)); err == nil {
			t.Errorf("%s: taken for completions", bad)
		}
		if _, err := DecodeBookings([]byte(bad)); err == nil {
			t.Errorf("%s: taken for bookings", bad)
		}
	}
}

// Launches are read back with their attempts; a damaged record is refused.
func TestLaunchRecord(t *testing.T) {
	name := func(ref string, i int, n uint64) protocol.AttemptName {
		return protocol.AttemptName{TaskName: protocol.TaskName{Job: ref, Index: i}, Number: n}
	}
	list := []Launch{{name("req-000001", 0, 5<<24|7), "n-1"}, {name("req-000001", 3, 5<<24|8), "n-2"}, {name("req-000002", 1, 9), "n-1"}}
	got, err := DecodeLaunches(EncodeLaunches(list))
	if d := cmp.Diff(list, got); d != "" || err != nil {
		t.Error(d, err)
	}
	for _, bad := range []string{
		`{"form":2,"on":{"req-000001":[0,"n-1"]}}`, `{"form":2,"on":{"req-000001":[-1,"n-1",2]}}`, `{"form":2,"on":{"req-000001":7}}`,
		`{"form":2,"on":{"req-000001":[0,"",2]}}`, `{"form":1,"on":{}}`, `{"form":2}`,
	} {
		if got, err := DecodeLaunches([]byte(bad)); err == nil {
			t.Errorf("%s: read as %v", bad, got)
		}
	}
}

// An epoch of the form before is read; a controller of that form can't read
// ours and so can't lead without seeing the hosts that share a record.
func TestEpochRecord(t *testing.T) {
	for text, want := range map[string]uint64{"7": 7, string(EncodeEpoch(Epoch{Number: 8})): 8, string(EncodeEpoch(Epoch{Number: 9, LaunchesUnrecorded: true})): 9} {
		if got, err := DecodeEpoch([]byte(text)); err != nil || got.Number != want || got.LaunchesUnrecorded != (want != 8) {
			t.Errorf("%s: %+v %v", text, got, err)
		}
	}
	if _, err := strconv.ParseUint(string(EncodeEpoch(Epoch{Number: 8})), 10, 64); err == nil {
		t.Error("the form before would read it")
	}
	yields := []protocol.LeadershipTransfer{{From: "n1", To: "n2", Epoch: 8, At: 77, ReachableWorkers: map[string]int{"a": 1, "b": 22}}, {From: "n2", Epoch: 9, At: 78, ReachableWorkers: map[string]int{}}}
	text := EncodeEpoch(Epoch{Number: 9, Transfers: yields})
	if want := `{"form":2,"epoch":9,"yields":[{"node":"n1","to":"n2","epoch":8,"at":77,"heard":{"a":1,"b":22}},{"node":"n2","to":"","epoch":9,"at":78,"heard":{}}]}`; string(text) != want {
		t.Errorf("%s", text)
	}
	if got, err := DecodeEpoch(text); err != nil || !cmp.Equal(got.Transfers, yields) {
		t.Errorf("%+v %v", got, err)
	}
	for _, bad := range []string{`{"form":3,"epoch":9}`, `{"form":2}`, `"7"`, `-1`, ``} {
		if n, err := DecodeEpoch([]byte(bad)); err == nil {
			t.Errorf("%s: read as %+v", bad, n)
		}
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
		if again.Tasks[i].State == state.TaskDone && again.Tasks[i].Durable {
			got = append(got, i)
		}
	}
	if d := cmp.Diff(done, got); d != "" || again.QueuedTasks != len(again.Tasks)-len(done) {
		t.Errorf("%s, %d queued", d, again.QueuedTasks)
	}
}

// What leaders have seen, and that a user asked to cancel a job, come back as they were
// written. A record of a job without the request is the one of before.
func TestMemoryAndRequestRecords(t *testing.T) {
	m := protocol.HandoverState{Epoch: 4, At: 99, Partitions: []protocol.Partition{{Zone: "b", Since: 5, LastSeen: 6}}, SilentHosts: []protocol.SilentHost{{Host: "n-000007", Since: 8}}}
	text := EncodeHandover(m)
	if want := `{"form":2,"seen":4,"at":99,"cuts":{"b":[5,6]},"silent":{"n-000007":8}}`; string(text) != want {
		t.Errorf("%s", text)
	}
	if got, err := DecodeHandover(text); err != nil || !cmp.Equal(got, m) {
		t.Errorf("%+v %v", got, err)
	}
	if got, err := DecodeHandover([]byte(`{"form":9}`)); err == nil {
		t.Errorf("%+v", got)
	}
	j := job(1)
	j.SubmittedWall = 7
	plain := EncodeJob(j)
	j.SetState(state.JobCancelling)
	j.Cancellation.RequestedWall = 55
	asked := EncodeJob(j)
	j.State = state.JobCancelledLegacy // as an earlier version left it
	for text, want := range map[string]state.JobState{string(plain): state.JobActive, string(asked): state.JobCancelling, string(EncodeJob(j)): state.JobCancelledLegacy} {
		got, err := DecodeJob([]byte(text))
		if err != nil || got.State != want || want != state.JobActive && got.Cancellation.RequestedWall != 55 || got.Cancellation.Persisted != (want == state.JobCancelling) {
			t.Errorf("%s: %+v %v", text, got, err)
		}
	}
}
