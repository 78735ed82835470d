package featuregate_test

import (
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/rollout"
	"mapleslip/internal/state"
)

// This file needs no other file of this package. Copied into the source tree of the version in
// production and run with "WRITE=folder", it wrote testdata/level0 with the encoders of that
// version:
//
//	git worktree add FOLDER COMMIT; mkdir FOLDER/internal/featuregate
//	cp internal/featuregate/samples_test.go FOLDER/internal/featuregate/
//	cd FOLDER && WRITE=$PWD/level0 go test -run TestWriteSamples ./internal/featuregate

// sample is an encoded record or message, and a function that decodes it and encodes the result
// again.
type sample struct {
	name     string
	bytes    []byte
	reencode func(b []byte) ([]byte, error)
}

const wallTime = protocol.Micros(1_700_000_000_123_456)

func jobSpec(ref string, kind protocol.JobKind, tasks int) *protocol.JobSpec {
	return &protocol.JobSpec{
		Ref: ref, Class: "work", Team: "red", Kind: kind, Priority: protocol.PriorityHigh, Tasks: tasks,
		TaskResources: protocol.Resources{CPU: 5000, GPU: 1000, Memory: 19500}, Image: "work:7", ImageSize: 8250, EstimatedRuntime: 80 * protocol.Second,
	}
}

// fullSpec returns a job specification that uses every field.
func fullSpec() *protocol.JobSpec {
	s := jobSpec("req-000405", protocol.Gang, 4)
	s.MachineTypes, s.Zone = []string{"big", `qu"oted`}, "a"
	s.SingleZone, s.SpreadZones, s.AllowSpot = true, true, true
	s.CheckpointInterval, s.CheckpointDuration, s.Deadline = 30*protocol.Second, 2*protocol.Second, 240*protocol.Second
	return s
}

func machineTypes() []*protocol.MachineType {
	return []*protocol.MachineType{{
		Name: "big", Capacity: protocol.Resources{CPU: 32000, GPU: 4000, Memory: 256000}, CacheSize: 500_000, FetchRate: 0.0012,
		Price: 8.25, SpotPrice: 2.31, BootTime: 40 * protocol.Second, Zones: []string{"a", "b"},
	}}
}

func rolloutRecord() *rollout.Record {
	spec, err := protocol.ParseRollout([]byte(`{"id":"r-2","service":"web","count":6,"floor":4,"surge":2,"stages":[2,6],"soakS":10,"startS":60,"healthyS":30,"faulty":2,` +
		`"check":{"how":"http","at":"10.0.0.1:80","path":"/ok","everyS":2,"timeoutS":1,"passes":2,"fails":3},` +
		`"job":{"jobclass":"web","owner":"red","rank":"critical","cores":1,"gpus":0,"memoryGb":2,"bundle":"web:2","sizeGb":1,"samePlace":false,"apart":true,"reclaimable":false}}`))
	if err != nil {
		panic(err)
	}
	old := *spec
	job := *spec.Job
	job.Image = "web:1"
	old.Job = &job
	return &rollout.Record{
		Service: "web", State: rollout.Paused, PausedIn: rollout.Promoting, Reason: "asked", Stage: 1, JobsMade: 3, Changes: 9, OldCount: 6,
		Old: rollout.Version{Hash: rollout.VersionOf(old.Job), Spec: &old, Batches: []rollout.Batch{{Ref: "req-000012", Tasks: 4, Leaving: true}}},
		New: rollout.Version{Hash: rollout.VersionOf(spec.Job), Spec: spec, Batches: []rollout.Batch{{Ref: "req-01234567890123456789", Tasks: 2}}},
	}
}

// samples returns every kind of record and message of level 0.
func samples() []sample {
	var list []sample
	add := func(name string, b []byte, reencode func(b []byte) ([]byte, error)) {
		list = append(list, sample{name, b, reencode})
	}
	addJob := func(name string, j *state.Job) {
		j.SubmittedWall, j.LeaderEpoch = wallTime, 7
		add(name, records.EncodeJob(j), func(b []byte) ([]byte, error) {
			j, err := records.DecodeJob(b)
			if err != nil {
				return nil, err
			}
			return records.EncodeJob(j), nil
		})
	}
	addJob("job-array", state.NewJob(jobSpec("req-000001", protocol.Array, 25)))
	addJob("job-service", state.NewJob(jobSpec("req-000002", protocol.Service, 2)))
	addJob("job-with-everything", state.NewJob(fullSpec()))
	cancelling := state.NewJob(jobSpec("req-000003", protocol.Array, 1))
	cancelling.State, cancelling.Cancellation.RequestedWall = state.JobCancelling, wallTime+5
	addJob("job-being-cancelled", cancelling)
	cancelledLegacy := state.NewJob(jobSpec("req-000004", protocol.Array, 1))
	cancelledLegacy.State, cancelledLegacy.Cancellation.RequestedWall = state.JobCancelledLegacy, wallTime+6
	addJob("job-cancelled-by-an-earlier-version", cancelledLegacy)
	for _, p := range []protocol.Phase{protocol.PhaseDone, protocol.PhaseCancelled} {
		add("final-"+string(p), records.EncodeFinal(p, 25), func(b []byte) ([]byte, error) {
			p, n, err := records.DecodeFinal(b)
			return records.EncodeFinal(p, n), err
		})
	}
	transfers := []protocol.LeadershipTransfer{{From: "node-1", To: "node-2", Epoch: 6, At: wallTime, ReachableWorkers: map[string]int{"a": 3, "b": 0}}}
	for name, e := range map[string]records.Epoch{"epoch": {Number: 7}, "epoch-unlisted": {Number: 8, LaunchesUnrecorded: true}, "epoch-with-yields": {Number: 9, Transfers: transfers}} {
		add(name, records.EncodeEpoch(e), func(b []byte) ([]byte, error) {
			e, err := records.DecodeEpoch(b)
			return records.EncodeEpoch(e), err
		})
	}
	add("leader", records.EncodeLeader(records.Leader{Controller: "node-1", Epoch: 7, Lease: 12, HeartbeatGrace: 9 * protocol.Second}), func(b []byte) ([]byte, error) {
		l, err := records.DecodeLeader(b)
		return records.EncodeLeader(l), err
	})
	add("machine-types", protocol.AppendMachineTypes(nil, machineTypes()), func(b []byte) ([]byte, error) {
		types, err := protocol.ParseMachineTypes(b)
		return protocol.AppendMachineTypes(nil, types), err
	})
	handover := protocol.HandoverState{Epoch: 7, At: wallTime, Partitions: []protocol.Partition{{Zone: "a", Since: wallTime - 9, LastSeen: wallTime - 1}}, SilentHosts: []protocol.SilentHost{{Host: "n-000009", Since: wallTime - 7}}}
	add("memory", records.EncodeHandover(handover), func(b []byte) ([]byte, error) {
		m, err := records.DecodeHandover(b)
		return records.EncodeHandover(m), err
	})
	encodeHosts := func(images bool) []byte {
		var list []*state.Host
		for i, spot := range []bool{false, true} {
			h := state.NewHost(0, fmt.Sprintf("n-%06d", i+1), "big", "a", spot)
			h.Addr, h.Record.WrittenWall = fmt.Sprintf("10.0.0.%d:9000", i+1), wallTime
			h.Images["work:7"], h.Images["web:1"] = &state.Image{Size: 8250}, &state.Image{Size: 1000}
			list = append(list, h)
		}
		return records.EncodeHosts(list, images)
	}
	for name, images := range map[string]bool{"hosts": true, "hosts-without-images": false} {
		add(name, encodeHosts(images), func(b []byte) ([]byte, error) {
			list, err := records.DecodeHosts(0, b)
			return records.EncodeHosts(list, images), err
		})
	}
	refs := []string{"req-000001", "req-000405"}
	add("bookings", records.EncodeBookings(refs, func(string) protocol.Micros { return wallTime }), func(b []byte) ([]byte, error) {
		at, err := records.DecodeBookings(b)
		return records.EncodeBookings(refs, func(ref string) protocol.Micros { return at[ref] }), err
	})
	newArray := func() *state.Job { return state.NewJob(jobSpec("req-000001", protocol.Array, 25)) }
	completed := newArray()
	for _, i := range []int{0, 3, 24} {
		completed.Complete(i, false)
	}
	add("completions", records.EncodeCompletions([]*state.Job{completed}), func(b []byte) ([]byte, error) {
		list, err := records.DecodeCompletions(b)
		j := newArray()
		if err == nil {
			err = records.ApplyChunk(j, 0, list["req-000001"])
		}
		return records.EncodeCompletions([]*state.Job{j}), err
	})
	add("completions-of-a-large-array", records.EncodeChunk(completed, 0), func(b []byte) ([]byte, error) {
		j := newArray()
		err := records.ApplyChunk(j, 0, b)
		return records.EncodeChunk(j, 0), err
	})
	newLaunch := func(ref string, index int, host string, number uint64) records.Launch {
		return records.Launch{Name: protocol.AttemptName{TaskName: protocol.TaskName{Job: ref, Index: index}, Number: number}, Host: host}
	}
	add("launches", records.EncodeLaunches([]records.Launch{newLaunch("req-000001", 0, "n-000001", 7<<24|1), newLaunch("req-000001", 3, "n-000002", 7<<24|2), newLaunch("req-000405", 1, "n-000001", 7<<24|3)}),
		func(b []byte) ([]byte, error) {
			list, err := records.DecodeLaunches(b)
			return records.EncodeLaunches(list), err
		})
	entry := configuration.Entry{Revision: 3, At: wallTime, Who: "ops", Why: `a "reason"`, ID: "c-1", Changes: []configuration.Change{{Key: "log/level", Old: `"info"`, New: `"debug"`}, {Key: "team/red/gpus_max", New: "4"}}}
	head := configuration.Head{Revision: 3, FirstRevision: 1, FirstPage: 1, LastPage: 1, Document: configuration.Document{"log/level": `"debug"`, "team/red/gpus_max": "4"}, Entries: []configuration.Entry{entry}}
	add("configuration", head.Encode(), func(b []byte) ([]byte, error) {
		h, err := configuration.DecodeHead(b)
		if err != nil {
			return nil, err
		}
		return h.Encode(), nil
	})
	add("rollout", rolloutRecord().Encode(), func(b []byte) ([]byte, error) {
		r, err := rollout.Decode(b)
		if err != nil {
			return nil, err
		}
		return r.Encode(), nil
	})
	for name, m := range messages(handover) {
		add("message-"+name, protocol.AppendPeer(nil, m), func(b []byte) ([]byte, error) {
			frame, _, err := protocol.SplitPeer(b)
			if err != nil {
				return nil, err
			}
			m, err := protocol.ParsePeer(frame)
			if err != nil {
				return nil, err
			}
			return protocol.AppendPeer(nil, m), nil
		})
	}
	slices.SortFunc(list, func(a, b sample) int { return strings.Compare(a.name, b.name) })
	return list
}

// messages returns every kind of message between controllers, by the name of its sample.
func messages(handover protocol.HandoverState) map[string]*protocol.PeerMessage {
	m := map[string]*protocol.PeerMessage{
		"answer":         {Kind: protocol.PeerResponse, Status: 503, RetryAfter: protocol.Second, Body: []byte(`{"error":"later"}`)},
		"answer-refused": {Kind: protocol.PeerResponse},
		"question":       {Kind: protocol.PeerStatusRequest, Epoch: 7, From: "node-1", Body: protocol.AppendHandoverState(nil, handover)},
		"question-empty": {Kind: protocol.PeerStatusRequest, Epoch: 7, From: "node-1", Body: protocol.AppendHandoverState(nil, protocol.HandoverState{})},
		"stand":          {Kind: protocol.PeerStatus, AnswersWorkers: true, AnsweredAgo: 5 * protocol.Second, RedirectedWorkers: 2, Body: protocol.AppendReachability(nil, map[string]int{"a": 2})},
		"report":         {Kind: protocol.PeerHeartbeat, ReturnedFromLeader: true, Body: []byte(`{"host":"n-000001"}`)},
		"probe":          {Kind: protocol.PeerWorkerProbe, Addr: "10.0.0.1:9000", Body: []byte(`{"orders":[]}`)},
		"check":          {Kind: protocol.PeerHealthCheck, Check: protocol.CheckTCP, Addr: "10.0.0.1:80", Path: "/ok", Timeout: protocol.Second},
		"grant":          {Kind: protocol.PeerConfigGrant, Epoch: 7, From: "node-1", Revision: 3, Incarnation: 99, At: 5, Body: []byte(`{"log/level":"debug"}`)},
		"goes-by":        {Kind: protocol.PeerConfigAck, Revision: 3, Incarnation: 99, At: 6},
	}
	for name, op := range map[string]protocol.UserOp{
		"submit": protocol.OpSubmit, "query": protocol.OpQuery, "cancel": protocol.OpCancel, "rollout": protocol.OpRollout,
		"rollouts": protocol.OpRollouts, "rollout-show": protocol.OpRolloutShow, "rollout-pause": protocol.OpRolloutPause, "rollout-resume": protocol.OpRolloutResume,
		"rollout-revert": protocol.OpRolloutRevert, "config": protocol.OpConfig, "config-apply": protocol.OpConfigApply, "config-history": protocol.OpConfigHistory,
		"config-rollback": protocol.OpConfigRollback, "config-wait": protocol.OpConfigWait, "config-status": protocol.OpConfigStatus,
	} {
		m["call-"+name] = &protocol.PeerMessage{Kind: protocol.PeerUserRequest, Op: op, Ref: "req-000405", From: "node-1", Body: []byte(`{"ref":"req-000405"}`)}
	}
	return m
}

// sampleFile returns the path and the content of a sample's file: JSON for records, hex for
// messages, which are binary.
func sampleFile(folder string, s sample) (path string, content string) {
	if strings.HasPrefix(s.name, "message-") {
		return filepath.Join(folder, s.name+".hex"), hex.EncodeToString(s.bytes) + "\n"
	}
	return filepath.Join(folder, s.name+".json"), string(s.bytes) + "\n"
}

// TestWriteSamples writes the files if the environment variable WRITE names a folder.
func TestWriteSamples(t *testing.T) {
	folder := os.Getenv("WRITE")
	if folder == "" {
		return
	}
	for _, s := range samples() {
		path, content := sampleFile(folder, s)
		if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// TestSamplesAreRead checks that each sample can be decoded, and is encoded to the same bytes.
func TestSamplesAreRead(t *testing.T) {
	for _, s := range samples() {
		if b, err := s.reencode(s.bytes); err != nil || string(b) != string(s.bytes) {
			t.Errorf("%s: %v\n%q\n%q", s.name, err, b, s.bytes)
		}
	}
}
