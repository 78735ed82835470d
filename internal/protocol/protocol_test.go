package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"mapleslip/internal/strictjson"
	"mapleslip/internal/worktest"
)

const goodJob = `{"ref":"req-000412","jobclass":"train","owner":"vision","shape":"ensemble","rank":"high","shards":16,
"cores":8.0,"gpus":1.0,"memoryGb":64.0,"bundle":"img-07","sizeGb":6.2,"flavors":["g8"],"region":null,"samePlace":true,
"apart":false,"reclaimable":true,"expectS":240.0,"snapshotEveryS":30.0,"snapshotS":4.0,"dueS":900.0}`

func TestParseJob(t *testing.T) {
	want := &JobSpec{
		Ref: "req-000412", Class: "train", Team: "vision", Kind: Gang, Priority: PriorityHigh, Tasks: 16,
		TaskResources: Resources{8000, 1000, 64000}, Image: "img-07", ImageSize: 6200, MachineTypes: []string{"g8"}, SingleZone: true, AllowSpot: true,
		EstimatedRuntime: 240 * Second, CheckpointInterval: 30 * Second, CheckpointDuration: 4 * Second, Deadline: 900 * Second,
	}
	got, err := ParseJob([]byte(goodJob))
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	reparsed, err := ParseJob(AppendJob(nil, got))
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(got, reparsed); d != "" {
		t.Errorf("job differs after AppendJob and ParseJob: %s", d)
	}
}

func TestParseJobRefuses(t *testing.T) {
	cases := [][2]string{
		{`"shards":16`, `"shards":0`},
		{`"shards":16`, `"shards":100001`},
		{`"shards":16`, `"shards":1.5`},
		{`"shards":16`, `"shards":"16"`},
		{`"cores":8.0`, `"cores":-1`},
		{`"cores":8.0`, `"cores":1e999`},
		{`"cores":8.0`, `"cores":null`},
		{`"cores":8.0,`, ``},
		{`"ref":"req-000412"`, `"ref":"job-1"`},
		{`"ref":"req-000412"`, `"ref":"req-00x412"`},
		{`"ref":"req-000412"`, `"ref":412`},
		{`"shape":"ensemble"`, `"shape":"heap"`},
		{`"rank":"high"`, `"rank":"higher"`},
		{`"samePlace":true`, `"samePlace":1`},
		{`"flavors":["g8"]`, `"flavors":"g8"`},
		{`"flavors":["g8"]`, `"flavors":[8]`},
		{`"dueS":900.0`, `"dueS":-1`},
		{`"expectS":240.0`, `"expectS":"long"`},
		{`"owner":"vision"`, `"owner":""`},
	}
	for _, c := range cases {
		in := strings.Replace(goodJob, c[0], c[1], 1)
		if in == goodJob {
			t.Fatalf("%s is not in goodJob", c[0])
		}
		if _, err := ParseJob([]byte(in)); err == nil {
			t.Errorf("%s was accepted", c[1])
		}
	}
	for _, in := range []string{"", "{", "[]", "null", `"x"`, goodJob + "x"} {
		if _, err := ParseJob([]byte(in)); err == nil {
			t.Errorf("%q was accepted", in)
		}
	}
}

func TestParseHeartbeat(t *testing.T) {
	in := `{"host":"n-000231","addr":"10.1.0.232:9000","flavor":"g8","region":"a","reclaimable":true,"tenure":1,"tick":88,"epoch":41,
"reclaimInS":12.5,"new":1,"shards":[{"shard":"req-000412/3","try":2,"phase":"running"},{"shard":"req-000398/0","try":1,"phase":"exited","exitReason":"stopped","saved":true}]}`
	want := &Heartbeat{
		Host: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, AgentEpoch: 1, Sequence: 88, SeenEpoch: 41,
		Interrupted: true, InterruptedIn: 12500 * Millisecond, Tasks: []TaskStatus{
			{AttemptName: AttemptName{TaskName{"req-000412", 3}, 2}, State: TaskRunning},
			{AttemptName: AttemptName{TaskName{"req-000398", 0}, 1}, State: TaskExited, Reason: ExitStopped, Checkpointed: true},
		},
	}
	got, err := ParseHeartbeat([]byte(in))
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

func TestOperatorSettings(t *testing.T) {
	o, err := ParseOperatorSettings([]byte("round_s = 5\nwarm_spare = 0.5\nsource_address = \"10.0.0.7\"\n"))
	if err != nil || o.MaxCycleInterval != 5*Second || o.WarmSpare != 0.5 || o.SourceAddress.String() != "10.0.0.7" || o.LeaderLease != DefaultOperatorSettings().LeaderLease {
		t.Errorf("got settings %+v, error %v", o, err)
	}
	for in, key := range map[string]string{
		"round_z = 1": "round_z", "round_s = 0": "round_s", "warm_spare = -1": "warm_spare",
		`source_address = "10.0.0"`: "source_address", `source_address = "::1"`: "source_address",
	} {
		var ke *KeyError
		if _, err := ParseOperatorSettings([]byte(in)); !errors.As(err, &ke) || ke.Key != key {
			t.Errorf("%s: got %v, want a KeyError for %s", in, err, key)
		}
	}
}

const platform = `node_name = "n0"
area = "a"
client_listen = "10.0.0.1:8080"
cluster_listen = "10.0.0.1:8081"
later = "ignored"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
zones = ["a"]
[[facts.teams]]
name = "red"
gpus_max = 4.0
[facts.workers]
report_s = 3.0
lease_s = 24.0
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = 54.0
[facts.state]
rps = 150.0
write_rps = 35.0
value_kb = 8.0
txn_ops = 12
[facts.cloud]
rps = 4.0
[facts.quota]
cpu = 0.3
memory_mb = 234.0
max_connections = 3000
`

func TestPlatformSettings(t *testing.T) {
	p, err := ParsePlatform([]byte(platform))
	if err != nil {
		t.Fatal(err)
	}
	if p.WorkerLease != 24*Second || p.Teams["red"].Limit.GPU != 4000 {
		t.Errorf("got settings %+v", p)
	}
	for _, c := range [][3]string{
		{`node_name = "n0"`, "", "node_name"},
		{`"10.2.0.1:2379"`, `"state:2379"`, "services.state"},
		{"lease_s = 24.0", "", "facts.workers.lease_s"},
		{"cpu = 0.3", "cpu = -1", "facts.quota.cpu"},
		{`zones = ["a"]`, "", "facts.zones"},
		{"gpus_max = 4.0", "gpus_max = -4.0", "facts.teams[0]"},
		{"txn_ops = 12", "txn_ops = 2", "facts.state.txn_ops"},
		// Numbers that are valid by themselves but too low to work.
		{"lease_s = 24.0", "lease_s = 9.0", "facts.workers.lease_s"},
		{"cancel_s = 54.0", "cancel_s = 12.0", "facts.workers.cancel_s"},
		{"rps = 150.0", "rps = 7.0", "facts.state.rps"},
		{"write_rps = 35.0", "write_rps = 1.0", "facts.state.write_rps"},
		{"value_kb = 8.0", "value_kb = 1.0", "facts.state.value_kb"},
		{"memory_mb = 234.0", "memory_mb = 8.0", "facts.quota.memory_mb"},
		{"max_connections = 3000", "max_connections = 30", "facts.quota.max_connections"},
	} {
		var ke *KeyError
		if _, err := ParsePlatform([]byte(strings.Replace(platform, c[0], c[1], 1))); !errors.As(err, &ke) || ke.Key != c[2] {
			t.Errorf("%s: got %v, want a KeyError for %s", c[0], err, c[2])
		}
	}
}

// A request rate that is enough for one controller is too low for 13. The error has one line and
// names the number, the smallest one that works, and the number of controllers.
func TestPlatformTooManySiblings(t *testing.T) {
	peers := ""
	for i := range 12 {
		peers += fmt.Sprintf("[[siblings]]\nnode_name = \"m%d\"\narea = \"a\"\naddress = \"10.0.1.%d:8081\"\n", i, i+1)
	}
	text := strings.Replace(platform, "rps = 150.0", "rps = 10.0", 1)
	if _, err := ParsePlatform([]byte(text)); err != nil {
		t.Fatalf("10 requests a second were rejected for one controller: %v", err)
	}
	_, err := ParsePlatform([]byte(text + peers))
	if err == nil || !strings.Contains(err.Error(), "facts.state.rps: 10 is too little for 1") || strings.Contains(err.Error(), "\n") {
		t.Errorf("got error %v, want one on facts.state.rps in one line", err)
	}
}

func TestPeerMessages(t *testing.T) {
	for _, m := range []*PeerMessage{
		{Kind: PeerUserRequest, Op: OpSubmit, Ref: "req-000001", From: "n0", Body: []byte(goodJob)},
		{Kind: PeerResponse, Status: 503, RetryAfter: 2 * Second, Body: []byte("{}")},
		{Kind: PeerStatusRequest, Epoch: 1 << 40, From: "n1"},
		{Kind: PeerStatus, AnswersWorkers: true, AnsweredAgo: 1, RedirectedWorkers: 700},
		{Kind: PeerStatus, AnsweredAgo: Forever},
		{Kind: PeerHeartbeat, ReturnedFromLeader: true, Body: []byte("{}")},
		{Kind: PeerHeartbeat, Body: []byte("{}")},
		{Kind: PeerWorkerProbe, Addr: "10.0.0.9:9000", Body: []byte("{}")},
	} {
		b := AppendPeer(nil, m)
		frame, used, err := SplitPeer(append(b, 1, 2, 3))
		if err != nil || used != len(b) {
			t.Fatalf("used %d of %d: %v", used, len(b), err)
		}
		got, err := ParsePeer(frame)
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(m, got); d != "" {
			t.Error(d)
		}
		frame[0]++ // another version
		if _, err := ParsePeer(frame); err == nil {
			t.Error("a frame of another version was accepted")
		}
	}
	if _, _, err := SplitPeer([]byte{0xff, 0, 0, 0}); err == nil {
		t.Error("a frame over the size limit was accepted")
	}
}

// A frame that is accepted from another controller is the same when it is written again.
func FuzzPeer(f *testing.F) {
	f.Add(AppendPeer(nil, &PeerMessage{Kind: PeerUserRequest, Op: OpCancel, Ref: "req-000001", From: "n0"}))
	f.Add(AppendPeer(nil, &PeerMessage{Kind: PeerResponse, Status: 200, Body: []byte("{}")}))
	f.Add(AppendPeer(nil, &PeerMessage{Kind: PeerStatusRequest, Epoch: 7, From: "n0"}))
	f.Add(AppendPeer(nil, &PeerMessage{Kind: PeerStatus, AnswersWorkers: true, AnsweredAgo: 5, RedirectedWorkers: 9}))
	f.Add(AppendPeer(nil, &PeerMessage{Kind: PeerHeartbeat, ReturnedFromLeader: true, Body: []byte("{}")}))
	f.Add(AppendPeer(nil, &PeerMessage{Kind: PeerWorkerProbe, Addr: "10.0.0.9:9000", Body: []byte("{}")}))
	f.Add(AppendPeer(nil, &PeerMessage{Kind: PeerHealthCheck, Check: CheckTCP, Addr: "10.0.0.9:20001", Path: "/healthz", Timeout: Second}))
	f.Add(AppendPeer(nil, &PeerMessage{Kind: PeerConfigGrant, Epoch: 7, From: "n0", Revision: 412, Incarnation: 1 << 63, At: 5 * Second, Body: []byte(`{"log/level":"info"}`)}))
	f.Add(AppendPeer(nil, &PeerMessage{Kind: PeerConfigAck, Revision: 412, Incarnation: 1 << 63, At: 5 * Second}))
	f.Add(AppendPeer(nil, &PeerMessage{Kind: PeerUserRequest, Op: OpConfigStatus, From: "n0"}))
	f.Fuzz(func(t *testing.T, in []byte) {
		frame, used, err := SplitPeer(in)
		if err != nil || used == 0 {
			return
		}
		m, err := ParsePeer(frame)
		if err != nil {
			return
		}
		if d := cmp.Diff(in[:used], AppendPeer(nil, m)); d != "" {
			t.Error(d)
		}
	})
}

func FuzzParseJob(f *testing.F) {
	f.Add([]byte(goodJob))
	f.Add([]byte(strings.Replace(goodJob, "img-07", `\u0000\ud800\ud83d\ude00`+"\x7f", 1)))
	f.Add([]byte(strings.Replace(goodJob, "img-07", "caf\xe9", 1)))
	worktest.AddSeeds(f, "awaits", "flavors")
	f.Fuzz(func(t *testing.T, in []byte) {
		worktest.CheckFuzzed(t, in, func(b []byte) { _, _ = ParseJob(b) })
		s, err := ParseJob(in)
		if err != nil {
			return
		}
		written := AppendJob(nil, s)
		if err := strictjson.Check(written); err != nil {
			t.Fatalf("%v: %q", err, written)
		}
		reparsed, err := ParseJob(written)
		if err != nil {
			t.Fatalf("%v: %s", err, written)
		}
		if d := cmp.Diff(s, reparsed); d != "" {
			t.Error(d)
		}
	})
}

// A response without its list, or with a value of another type in its place, is an error. fastjson
// returns nil for a missing member, so reading the list without a check would panic.
func TestResponsesWithoutList(t *testing.T) {
	for name, parse := range map[string]func([]byte) error{
		"page":   func(b []byte) error { _, err := ParsePage(b); return err },
		"follow": func(b []byte) error { _, _, err := ParseWatch(b); return err },
		"types":  func(b []byte) error { _, err := ParseMachineTypes(b); return err },
		"hosts":  func(b []byte) error { _, _, err := ParseMachines(b); return err },
		"names":  func(b []byte) error { _, err := ParseMachineNames(b); return err },
	} {
		for _, body := range []string{`{}`, `{"generation":1}`, `{"generation":1,"entries":1,"news":1,"flavors":1,"hosts":1}`} {
			if parse([]byte(body)) == nil {
				t.Errorf("%s: %s was accepted", name, body)
			}
		}
	}
}

// parsePageWithEncodingJSON parses a page with the standard library, for comparison with ParsePage.
func parsePageWithEncodingJSON(body []byte) (Page, bool) {
	var in struct {
		Generation *uint64
		Truncated  bool
		Entries    []struct {
			Path  string
			Data  json.RawMessage
			Stamp uint64
		}
	}
	if err := json.Unmarshal(body, &in); err != nil || in.Generation == nil || in.Entries == nil {
		return Page{}, false
	}
	p := Page{Revision: *in.Generation, More: in.Truncated}
	for _, e := range in.Entries {
		if e.Path == "" || e.Stamp == 0 || e.Data == nil {
			return Page{}, false
		}
		p.Entries = append(p.Entries, Entry{Key: e.Path, Value: e.Data, Revision: e.Stamp})
	}
	return p, true
}

var samplePages = []string{
	`{"entries":[{"path":"j/req-000001","data":{"a":"}],{\"","b":[1,{"c":"\\"}]},"stamp":4},{"path":"j/\u0041","data":"x","stamp":5}],"truncated":true,"generation":9}`,
	" {\n\t\"generation\" : 7 , \"entries\" : [ ] }\r\n",
	`{"entries":[{"stamp":1,"data":12,"path":"a"} , {"path":"b","data":true,"stamp":2}],"generation":3}`,
	`{"entries":[{"path":"a","stamp":1}],"generation":3}`,
	`{"entries":[{"path":"a","data":1,"stamp":0}],"generation":3}`,
	`{"entries":{},"generation":3}`, `{"entries":[]}`, `[]`, `{`, `{"entries":[1],"generation":3}`, `{"entries":[{"path":5,"data":1,"stamp":1}],"generation":3}`,
}

// ParsePage scans a page without parsing it as a whole. It must accept the same pages as the
// standard library and return the same entries.
func TestParsePageMatchesEncodingJSON(t *testing.T) {
	for _, text := range samplePages {
		got, err := ParsePage([]byte(text))
		want, ok := parsePageWithEncodingJSON([]byte(text))
		if (err == nil) != ok {
			t.Errorf("%s: error %v, want the outcome of encoding/json", text, err)
		} else if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); err == nil && diff != "" {
			t.Errorf("%s: %s", text, diff)
		}
	}
}

// ParsePage and ParseEntry accept whole numbers with a decimal point or an exponent and limit the
// length of keys, as all other messages do.
func TestEntryNumbersAndKeys(t *testing.T) {
	if p, err := ParsePage([]byte(`{"entries":[{"path":"a","data":1,"stamp":16.0}],"generation":4.1e1}`)); err != nil || p.Revision != 41 || p.Entries[0].Revision != 16 {
		t.Errorf("got page %+v, error %v", p, err)
	}
	if e, err := ParseEntry([]byte(`{"path":"a/b","data":{"x":1},"stamp":412.0,"hold":7}`)); err != nil || e.Revision != 412 || string(e.Value) != `{"x":1}` {
		t.Errorf("got entry %+v, error %v", e, err)
	}
	long := strings.Repeat("k", 201)
	for _, text := range []string{
		`{"path":"a","data":1,"stamp":1.5}`, `{"path":"a","data":1,"stamp":-1}`, `{"path":"a","data":1,"stamp":"1"}`, `{"path":"a","data":1,"stamp":1e300}`,
		`{"path":"` + long + `","data":1,"stamp":1}`,
	} {
		if e, err := ParseEntry([]byte(text)); err == nil {
			t.Errorf("%.60s was accepted as %+v", text, e)
		}
	}
}

// FuzzParsePage looks for pages that make ParsePage panic or return invalid entries.
func FuzzParsePage(f *testing.F) {
	for _, text := range samplePages {
		f.Add([]byte(text))
	}
	worktest.AddSeeds(f, "entries")
	f.Fuzz(func(t *testing.T, body []byte) {
		worktest.CheckFuzzed(t, body, func(b []byte) { _, _ = ParsePage(b) })
		got, err := ParsePage(body)
		if err != nil {
			return
		}
		for _, e := range got.Entries {
			if e.Key == "" || e.Revision == 0 || !json.Valid(e.Value) {
				t.Fatalf("%q: invalid entry %q, %d, %q", body, e.Key, e.Revision, e.Value)
			}
		}
	})
}
