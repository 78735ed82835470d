package records

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
	"mapleslip/internal/strictjson"
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
			t.Errorf("spec differs: %s; decoded as %+v", d, got)
		}
	}
}

// Hosts that share a record must be decoded as they were encoded. A record in another format, or
// a damaged one, must be an error and not an empty record.
func TestHostRecord(t *testing.T) {
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
		decoded := got[0]
		if decoded.Name != "n-1" || decoded.TypeName != "g8" || decoded.Zone != "a" || !decoded.Spot || decoded.Addr != h.Addr || decoded.Record.WrittenWall != 99 || !decoded.Record.Written || !decoded.Record.FromEarlierEpoch {
			t.Errorf("first host decoded as %+v", decoded)
		}
		if image := decoded.Images["img-1"]; images != (image != nil) || images && image.Size != 2000 {
			t.Errorf("images %v", decoded.Images)
		}
		if got[1].Name != "n-2" || got[1].Spot || len(got[1].Images) != 0 {
			t.Errorf("second host decoded as %+v", got[1])
		}
	}
	for _, bad := range []string{`{}`, `{"form":3,"hosts":[]}`, `{"form":2}`, `{"form":2,"hosts":[["n-1"]]}`, `{"form":2,"hosts":[["n-1","","g8","a",0,0,7]]}`, `[]`} {
		if got, err := DecodeHosts(0, []byte(bad)); err == nil {
			t.Errorf("%s: decoded as %v", bad, got)
		}
	}
	legacy, err := DecodeLegacyHost(0, "n-1", []byte(`{"type":"g8","zone":"a","addr":"10.0.0.1:9000","at":99,"spot":true,"images":{"img-1":2000}}`))
	if err != nil || legacy.TypeName != "g8" || !legacy.Spot || legacy.Images["img-1"] == nil {
		t.Errorf("host of format 1 decoded as %+v, error %v", legacy, err)
	}
}

// Bookings and completions of many jobs share a record too. They must be decoded as they were
// encoded. A damaged record, or one in another format or of another kind, must be an error.
func TestSharedRecords(t *testing.T) {
	starts := map[string]micros{"req-000001": 5, "req-000002": 1 << 50}
	got, err := DecodeBookings(EncodeBookings([]string{"req-000001", "req-000002"}, func(ref string) micros { return starts[ref] }))
	if d := cmp.Diff(starts, got); d != "" || err != nil {
		t.Error(d, err)
	}
	j := job(30)
	j.Complete(3, false)
	j.Complete(29, false)
	chunks, err := DecodeCompletions(EncodeCompletions([]*state.Job{j}))
	decoded := job(30)
	if err == nil {
		err = ApplyChunk(decoded, 0, chunks["req-000001"])
	}
	if err != nil || decoded.CompletedTasks != 2 || decoded.Tasks[3].State != state.TaskDone || !decoded.Tasks[29].Durable {
		t.Errorf("completions: error %v, job %+v", err, decoded)
	}
	for _, bad := range []string{`{"form":3,"done":{}}`, `{"form":2,"done":{"req-000001":7}}`, `{"form":2,"at":{"req-000001":"x"}}`, `{"form":2}`, `7`} {
		if _, err := DecodeCompletions([]byte(bad)); err == nil {
			t.Errorf("%s: decoded as completions", bad)
		}
		if _, err := DecodeBookings([]byte(bad)); err == nil {
			t.Errorf("%s: decoded as bookings", bad)
		}
	}
}

// Launches must be decoded with their attempt numbers as they were encoded. A damaged record must
// be an error.
func TestLaunchRecord(t *testing.T) {
	name := func(ref string, i int, n uint64) protocol.AttemptName {
		return protocol.AttemptName{TaskName: protocol.TaskName{Job: ref, Index: i}, Number: n}
	}
	launches := []Launch{{name("req-000001", 0, 5<<24|7), "n-1"}, {name("req-000001", 3, 5<<24|8), "n-2"}, {name("req-000002", 1, 9), "n-1"}}
	got, err := DecodeLaunches(EncodeLaunches(launches))
	if d := cmp.Diff(launches, got); d != "" || err != nil {
		t.Error(d, err)
	}
	for _, bad := range []string{
		`{"form":2,"on":{"req-000001":[0,"n-1"]}}`, `{"form":2,"on":{"req-000001":[-1,"n-1",2]}}`, `{"form":2,"on":{"req-000001":7}}`,
		`{"form":2,"on":{"req-000001":[0,"",2]}}`, `{"form":1,"on":{}}`, `{"form":2}`,
	} {
		if got, err := DecodeLaunches([]byte(bad)); err == nil {
			t.Errorf("%s: decoded as %v", bad, got)
		}
	}
}

// An epoch record of format 1 must be decoded. A controller of that format must not be able to read
// the current format, since it could then lead without the hosts that share a record.
func TestEpochRecord(t *testing.T) {
	for text, want := range map[string]uint64{"7": 7, string(EncodeEpoch(Epoch{Number: 8})): 8, string(EncodeEpoch(Epoch{Number: 9, LaunchesUnrecorded: true})): 9} {
		if got, err := DecodeEpoch([]byte(text)); err != nil || got.Number != want || got.LaunchesUnrecorded != (want != 8) {
			t.Errorf("%s: decoded as %+v, error %v", text, got, err)
		}
	}
	if _, err := strconv.ParseUint(string(EncodeEpoch(Epoch{Number: 8})), 10, 64); err == nil {
		t.Error("a controller of format 1 could read the epoch record")
	}
	transfers := []protocol.LeadershipTransfer{{From: "n1", To: "n2", Epoch: 8, At: 77, ReachableWorkers: map[string]int{"a": 1, "b": 22}}, {From: "n2", Epoch: 9, At: 78, ReachableWorkers: map[string]int{}}}
	text := EncodeEpoch(Epoch{Number: 9, Transfers: transfers})
	if want := `{"form":2,"epoch":9,"yields":[{"node":"n1","to":"n2","epoch":8,"at":77,"heard":{"a":1,"b":22}},{"node":"n2","to":"","epoch":9,"at":78,"heard":{}}]}`; string(text) != want {
		t.Errorf("encoded as %s", text)
	}
	if got, err := DecodeEpoch(text); err != nil || !cmp.Equal(got.Transfers, transfers) {
		t.Errorf("decoded as %+v, error %v", got, err)
	}
	for _, bad := range []string{`{"form":3,"epoch":9}`, `{"form":2}`, `"7"`, `-1`, ``} {
		if got, err := DecodeEpoch([]byte(bad)); err == nil {
			t.Errorf("%s: decoded as %+v", bad, got)
		}
	}
}

// The completions of a large array are encoded in chunks. A chunk must stay small, and decoding all
// chunks must mark the same tasks as done.
func TestChunkRecord(t *testing.T) {
	j := job(ChunkTasks + 100)
	done := []int{0, 9, ChunkTasks - 1, ChunkTasks, ChunkTasks + 99}
	for _, i := range done {
		j.Complete(i, false)
	}
	decoded := job(ChunkTasks + 100)
	for chunk := range 2 {
		value := EncodeChunk(j, chunk)
		if len(value) > 8<<10 {
			t.Errorf("chunk %d takes %d bytes", chunk, len(value))
		}
		if err := ApplyChunk(decoded, chunk, value); err != nil {
			t.Fatal(err)
		}
	}
	var got []int
	for i := range decoded.Tasks {
		if decoded.Tasks[i].State == state.TaskDone && decoded.Tasks[i].Durable {
			got = append(got, i)
		}
	}
	if d := cmp.Diff(done, got); d != "" || decoded.QueuedTasks != len(decoded.Tasks)-len(done) {
		t.Errorf("completed tasks differ: %s; %d queued", d, decoded.QueuedTasks)
	}
}

// The handover state, and a user's request to cancel a job, must be decoded as they were encoded. A
// job record without the request must have the same format as before the field was added.
func TestHandoverAndCancelRequestRecords(t *testing.T) {
	handover := protocol.HandoverState{Epoch: 4, At: 99, Partitions: []protocol.Partition{{Zone: "b", Since: 5, LastSeen: 6}}, SilentHosts: []protocol.SilentHost{{Host: "n-000007", Since: 8}}}
	text := EncodeHandover(handover)
	if want := `{"form":2,"seen":4,"at":99,"cuts":{"b":[5,6]},"silent":{"n-000007":8}}`; string(text) != want {
		t.Errorf("encoded as %s", text)
	}
	if got, err := DecodeHandover(text); err != nil || !cmp.Equal(got, handover) {
		t.Errorf("handover decoded as %+v, error %v", got, err)
	}
	if got, err := DecodeHandover([]byte(`{"form":9}`)); err == nil {
		t.Errorf("unknown format decoded as %+v", got)
	}
	j := job(1)
	j.SubmittedWall = 7
	plain := EncodeJob(j)
	j.SetState(state.JobCancelling)
	j.Cancellation.RequestedWall = 55
	cancelling := EncodeJob(j)
	j.State = state.JobCancelledLegacy // as an earlier version records it
	for text, want := range map[string]state.JobState{string(plain): state.JobActive, string(cancelling): state.JobCancelling, string(EncodeJob(j)): state.JobCancelledLegacy} {
		got, err := DecodeJob([]byte(text))
		if err != nil || got.State != want || want != state.JobActive && got.Cancellation.RequestedWall != 55 || got.Cancellation.Persisted != (want == state.JobCancelling) {
			t.Errorf("%s: decoded as %+v, error %v", text, got, err)
		}
	}
}

// Records with names that others chose are JSON in UTF-8, and read back as the same names.
func TestRecordsOfAnyTextAreJSON(t *testing.T) {
	for _, text := range []string{"\x00\a\x1b", "\x7f\"", "\U000e0001\"", `back\slash`, "é 山 \U0001f600", "\ufffd"} {
		j := job(1)
		j.Spec.Image, j.Spec.Team, j.Spec.Class, j.Spec.MachineTypes = text, text, text, []string{text}
		h := state.NewHost(0, text, text, text, false)
		h.Addr = text
		h.AddImage(5, text, 2000)
		records := map[string][]byte{
			"job": EncodeJob(j), "hosts": EncodeHosts([]*state.Host{h}, true), "leader": EncodeLeader(Leader{Controller: text, Epoch: 1}),
		}
		for what, record := range records {
			if err := strictjson.Check(record); err != nil {
				t.Errorf("%s with %q: %v: %q", what, text, err, record)
			}
		}
		decoded, err := DecodeJob(records["job"])
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(j.Spec, decoded.Spec); d != "" {
			t.Errorf("%q: %s", text, d)
		}
		hosts, err := DecodeHosts(0, records["hosts"])
		if err != nil || len(hosts) != 1 || hosts[0].Name != text || hosts[0].Zone != text || hosts[0].Images[text] == nil {
			t.Errorf("%q: hosts %+v, %v", text, hosts, err)
		}
		if l, err := DecodeLeader(records["leader"]); err != nil || l.Controller != text {
			t.Errorf("%q: leader %+v, %v", text, l, err)
		}
	}
}
