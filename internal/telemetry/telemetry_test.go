package telemetry

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	tracepb "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
	"mapleslip/internal/slo"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

func TestSettings(t *testing.T) {
	for text, want := range map[string]string{
		"":                                       "listen: missing, and so is traces: nothing to do",
		"listen = \"localhost\"":                 "listen: must be IP:port",
		"listen = 9464":                          "listen",
		"listen = \"127.0.0.1:0\"\nlisten_x = 1": "listen_x: unknown key",
		"traces = \"https://127.0.0.1:1/v1/traces\"":  "traces: must be http://IP:port/path",
		"traces = \"http://collector:4318\"":          "traces: must name the collector by IP:port",
		"listen = \"127.0.0.1:0\"\ntrace_ratio = 1.5": "trace_ratio: must be from 0 to 1",
		"listen = \"127.0.0.1:0\"\ntrace_ratio = nan": "trace_ratio: must be from 0 to 1",
		"listen = \"127.0.0.1:0\"\nclasses = 0":       "classes: must be from 1 to 256",
		"listen = \"127.0.0.1:0\"\nsnapshot_s = 0.01": "snapshot_s: must be from 0.1 to 3600",
		"listen = ": "line 1",
	} {
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(protocol.OneLine(err).Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	s, err := Parse([]byte("listen = \"127.0.0.1:0\"\nsnapshot_s = 0.5\n"))
	if err != nil || s.SnapshotEvery != 500*protocol.Millisecond || s.Ratio != 0.1 || s.Traces != "" {
		t.Errorf("%+v %v", s, err)
	}
	if _, err := Load("../../deploy/telemetry.toml"); err != nil {
		t.Errorf("deploy/telemetry.toml: %v", err)
	}
}

func start(t testing.TB, s Settings) *Recorder {
	t.Helper()
	r, err := Start(s, "n0", "test", discardLog)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func scrape(t *testing.T, r *Recorder) string {
	t.Helper()
	res, err := http.Get("http://" + r.Addr() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != 200 {
		t.Fatalf("%d %v", res.StatusCode, err)
	}
	return string(body)
}

// If the metrics address can't be bound, Start returns an error of one line that names the key.
func TestAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := Defaults()
	s.Listen = l.Addr().String()
	if _, err := Start(s, "n0", "test", discardLog); err == nil || !strings.HasPrefix(err.Error(), "listen: ") || strings.Contains(err.Error(), "\n") {
		t.Errorf("%v", err)
	}
}

// The metrics of a leader are exported while it leads. Users choose the names of classes and jobs:
// however many there are, the number of series is limited, and no series contains the name of a
// job, a machine or a key.
func TestMetricsAreBounded(t *testing.T) {
	s := Defaults()
	s.Listen, s.Classes = "127.0.0.1:0", 3
	r := start(t, s)
	stats := controller.Stats{
		Role: controller.RoleLeader, Epoch: 7, SchedulingSteps: 5, RowsByStage: [4]uint64{100, 5, 20, 3}, CutStepsByStage: [4]uint64{2, 0, 0, 1},
		Refused:  map[string]uint64{"no leader can be reached": 4},
		Features: &controller.FeatureStats{Active: 1, Highest: 2, Blockers: map[string]string{"n1": "no entry in the roster"}},
		Hosts:    map[string]int{"ready": 9, "booting": 2}, WaitingJobs: map[string]int{}, RunningTasks: map[string]int{"a": 1},
	}
	teams := make(map[string]slo.Count)
	for i := range 50 {
		stats.WaitingJobs[fmt.Sprintf("class-%02d", i)] = i + 1
		teams[fmt.Sprintf("team-%02d", i)] = slo.Count{Served: i + 1, Missed: 1}
	}
	stats.Objectives = map[slo.Kind]map[string]slo.Count{
		slo.Class: {"a": {Served: 2, Missed: 3}}, slo.Team: teams,
		slo.Largest: {"a": {Served: 1, Missed: 4}},
	}
	stats.LongestStartWait = make(map[string]protocol.Micros)
	for i := range 5 {
		stats.LongestStartWait[fmt.Sprintf("class-%02d", i)] = protocol.Micros(i+1) * 60 * protocol.Second
	}
	r.Snapshot(0, func() controller.Stats { return stats })
	for i := range 200 {
		path := fmt.Sprintf("/store/j/req-%06d", i)
		r.Call("state", "GET", path, controller.CallResult{Status: 200}, time.Now())
		r.Call("worker", "POST", "/commands", controller.CallResult{ConnectionRefused: true, NotSent: true}, time.Now())
		r.Call("cloud", "POST", "/machines", controller.CallResult{Status: 100000 + i}, time.Now())
	}
	r.Step("tick", time.Millisecond)
	r.Waiting(3, map[string]int{"state": 2})
	text := scrape(t, r)
	for _, line := range []string{
		`mapleslip_role{role="leading"} 1`, `mapleslip_epoch 7`, `mapleslip_rows_total{stage="planning"} 100`, `mapleslip_cut_rounds_total{stage="renting"} 1`,
		`mapleslip_refused_total{reason="no leader can be reached"} 4`, `mapleslip_hosts{state="ready"} 9`,
		`mapleslip_jobs_waiting{class="class-49"} 50`, `mapleslip_jobs_waiting{class="other"} 1128`, `mapleslip_calls_total{call="get",outcome="200",service="state"} 200`,
		`mapleslip_calls_total{call="call",outcome="refused",service="worker"} 200`, `mapleslip_calls_total{call="rent",outcome="other",service="cloud"} 200`,
		`mapleslip_jobs_due{by="class",name="a",outcome="late"} 3`, `mapleslip_jobs_due{by="team",name="other",outcome="in time"} 1128`,
		`mapleslip_jobs_due{by="largest",name="a",outcome="late"} 4`, `mapleslip_largest_wait_seconds{class="class-04"} 300`,
		`mapleslip_largest_wait_seconds{class="other"} 120`,
		`mapleslip_feature_level 1`, `mapleslip_feature_level_served 2`, `mapleslip_feature_level_waits{controller="n1",reason="no entry in the roster"} 1`,
		`mapleslip_calls_waiting{service="state"} 2`, `mapleslip_events_waiting 3`, `mapleslip_step_seconds_count{event="tick"} 1`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("missing: %s", line)
		}
	}
	if n := strings.Count(text, "mapleslip_jobs_waiting{"); n != 4 {
		t.Errorf("%d series of classes", n)
	}
	if n := strings.Count(text, `mapleslip_jobs_due{by="team"`); n != 8 {
		t.Errorf("%d series of teams", n)
	}
	if strings.Contains(text, "req-") {
		t.Error("a job's name is in the metrics")
	}
	// A node that no longer leads does not export what it counted as the leader.
	r.Snapshot(protocol.Second, func() controller.Stats { t.Error("snapshot taken before it was due"); return stats })
	r.Snapshot(10*protocol.Second, func() controller.Stats { return controller.Stats{Role: controller.RoleFollower, Epoch: 8} })
	if text = scrape(t, r); strings.Contains(text, "mapleslip_jobs_waiting") || !strings.Contains(text, `mapleslip_role{role="following"} 1`) {
		t.Error("a follower exports metrics of jobs, or a wrong role")
	}
}

// startCollector starts a collector that accepts spans by OTLP over HTTP. If release is not nil, it
// responds to no request before release is closed.
func startCollector(t *testing.T, received chan<- *tracepb.ExportTraceServiceRequest, release <-chan struct{}) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		if release != nil {
			select {
			case <-release:
			case <-req.Context().Done():
			}
			return
		}
		var m tracepb.ExportTraceServiceRequest
		if err := proto.Unmarshal(body, &m); err != nil {
			t.Errorf("not OTLP: %v", err)
		}
		received <- &m
	}))
	t.Cleanup(srv.Close)
	return srv.URL + "/v1/traces"
}

// The span of a take-over is sent with its stages, even if the ratio for other spans is 0.
func TestTakeOverSpan(t *testing.T) {
	received := make(chan *tracepb.ExportTraceServiceRequest, 8)
	s := Defaults()
	s.Traces, s.Ratio = startCollector(t, received, nil), 0
	r := start(t, s)
	clock := time.Unix(1000, 0)
	r.Span(controller.Span{Name: "pass", From: 0, To: 1}, clock)
	r.Call("state", "POST", "/commit", controller.CallResult{Status: 200}, clock)
	r.Span(controller.Span{
		Name: "take-over", From: protocol.Second, To: 4 * protocol.Second,
		Stages: []controller.SpanStage{{Name: "claim", From: protocol.Second, To: 2 * protocol.Second}, {Name: "account for hosts", From: 2 * protocol.Second, To: 4 * protocol.Second}},
		Counts: []controller.SpanCount{{Name: "hosts", Value: 1300}},
	}, clock)
	spans := (<-received).ResourceSpans[0].ScopeSpans[0].Spans
	if len(spans) != 3 {
		t.Fatalf("%d spans", len(spans))
	}
	takeOver := spans[2]
	if takeOver.Name != "take-over" || takeOver.StartTimeUnixNano != 1001e9 || takeOver.EndTimeUnixNano != 1004e9 || takeOver.Attributes[0].Value.GetIntValue() != 1300 {
		t.Errorf("%v", takeOver)
	}
	for _, stage := range spans[:2] {
		if string(stage.ParentSpanId) != string(takeOver.SpanId) {
			t.Errorf("%s is not a child span of the take-over", stage.Name)
		}
	}
}

// A collector that accepts connections and never responds must not block the controller: spans that
// don't fit into the queue are dropped and counted.
func TestHangingCollector(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	s := Defaults()
	s.Listen, s.Traces, s.Ratio, s.Queue = "127.0.0.1:0", startCollector(t, nil, release), 1, 4
	r := start(t, s)
	for range 1000 {
		r.Call("state", "POST", "/commit", controller.CallResult{Status: 200}, time.Now())
	}
	// At most four spans are queued, and one batch is being sent.
	text := scrape(t, r)
	var dropped float64
	for _, line := range strings.Split(text, "\n") {
		_, _ = fmt.Sscanf(line, "mapleslip_spans_dropped_total %g", &dropped)
	}
	if dropped < 1000-4-1-maxBatchSpans {
		t.Errorf("%g dropped", dropped)
	}
}

// A nil Recorder, used when telemetry is off, accepts every call and does nothing.
func TestOff(t *testing.T) {
	var r *Recorder
	r.Step("tick", 0)
	r.Call("state", "GET", "/store", controller.CallResult{}, time.Now())
	r.Span(controller.Span{}, time.Now())
	r.Snapshot(0, func() controller.Stats { t.Error("snapshot taken"); return controller.Stats{} })
	r.Waiting(1, nil)
	r.Close()
	if r.Spans() || r.Addr() != "" {
		t.Error("a nil recorder records spans or has an address")
	}
}

// BenchmarkEvent measures an event with telemetry on. BenchmarkCallEnd measures the end of an
// outbound call, with a tenth of the spans kept and no collector running.
func BenchmarkEvent(b *testing.B) {
	s := Defaults()
	s.Listen = "127.0.0.1:0"
	r := start(b, s)
	b.ReportAllocs()
	for b.Loop() {
		r.Step("report", 30*time.Microsecond)
	}
}

func BenchmarkCallEnd(b *testing.B) {
	s := Defaults()
	s.Listen, s.Traces = "127.0.0.1:0", "http://127.0.0.1:9/v1/traces"
	r := start(b, s)
	b.ReportAllocs()
	for b.Loop() {
		r.Call("state", "POST", "/commit", controller.CallResult{Status: 200}, time.Now())
	}
}
