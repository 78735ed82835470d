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

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

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
		t.Errorf("the file that is delivered: %v", err)
	}
}

func start(t testing.TB, s Settings) *Recorder {
	t.Helper()
	r, err := Start(s, "n0", "test", quiet)
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

// An address that can't be had ends the program with a line that names the key.
func TestAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := Defaults()
	s.Listen = l.Addr().String()
	if _, err := Start(s, "n0", "test", quiet); err == nil || !strings.HasPrefix(err.Error(), "listen: ") || strings.Contains(err.Error(), "\n") {
		t.Errorf("%v", err)
	}
}

// What a leader knows is shown while it leads. Users choose the names of classes
// and jobs: however many there are, the series are bounded, and no name of a job,
// a machine or a key is among them.
func TestMetricsAreBounded(t *testing.T) {
	s := Defaults()
	s.Listen, s.Classes = "127.0.0.1:0", 3
	r := start(t, s)
	st := controller.Stats{
		Role: controller.RoleLeader, Epoch: 7, SchedulingSteps: 5, RowsByStage: [4]uint64{100, 5, 20, 3}, CutStepsByStage: [4]uint64{2, 0, 0, 1},
		Refused:  map[string]uint64{"no leader can be reached": 4},
		Features: &controller.FeatureStats{Active: 1, Highest: 2, Blockers: map[string]string{"n1": "no entry in the roster"}},
		Hosts:    map[string]int{"ready": 9, "booting": 2}, WaitingJobs: map[string]int{}, RunningTasks: map[string]int{"a": 1},
	}
	teams := make(map[string]slo.Count)
	for i := range 50 {
		st.WaitingJobs[fmt.Sprintf("class-%02d", i)] = i + 1
		teams[fmt.Sprintf("team-%02d", i)] = slo.Count{Served: i + 1, Missed: 1}
	}
	st.Objectives = map[slo.Kind]map[string]slo.Count{
		slo.Class: {"a": {Served: 2, Missed: 3}}, slo.Team: teams,
		slo.Largest: {"a": {Served: 1, Missed: 4}},
	}
	st.LongestStartWait = make(map[string]protocol.Micros)
	for i := range 5 {
		st.LongestStartWait[fmt.Sprintf("class-%02d", i)] = protocol.Micros(i+1) * 60 * protocol.Second
	}
	r.Snapshot(0, func() controller.Stats { return st })
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
		t.Errorf("%d classes", n)
	}
	if n := strings.Count(text, `mapleslip_jobs_due{by="team"`); n != 8 {
		t.Errorf("%d series of teams", n)
	}
	if strings.Contains(text, "req-") {
		t.Error("a job's name is in the metrics")
	}
	// A node that no longer leads shows nothing of what it once knew.
	r.Snapshot(protocol.Second, func() controller.Stats { t.Error("too soon"); return st })
	r.Snapshot(10*protocol.Second, func() controller.Stats { return controller.Stats{Role: controller.RoleFollower, Epoch: 8} })
	if text = scrape(t, r); strings.Contains(text, "mapleslip_jobs_waiting") || !strings.Contains(text, `mapleslip_role{role="following"} 1`) {
		t.Error("a follower shows jobs")
	}
}

// collector is a stand-in that takes spans by OTLP over HTTP.
func collector(t *testing.T, took chan<- *tracepb.ExportTraceServiceRequest, hold <-chan struct{}) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		if hold != nil {
			select {
			case <-hold:
			case <-req.Context().Done():
			}
			return
		}
		var m tracepb.ExportTraceServiceRequest
		if err := proto.Unmarshal(body, &m); err != nil {
			t.Errorf("not OTLP: %v", err)
		}
		took <- &m
	}))
	t.Cleanup(srv.Close)
	return srv.URL + "/v1/traces"
}

// A take-over comes to the collector with its stages, whatever part of the other
// spans is kept.
func TestTakeOverSpan(t *testing.T) {
	took := make(chan *tracepb.ExportTraceServiceRequest, 8)
	s := Defaults()
	s.Traces, s.Ratio = collector(t, took, nil), 0
	r := start(t, s)
	clock := time.Unix(1000, 0)
	r.Span(controller.Span{Name: "pass", From: 0, To: 1}, clock)
	r.Call("state", "POST", "/commit", controller.CallResult{Status: 200}, clock)
	r.Span(controller.Span{
		Name: "take-over", From: protocol.Second, To: 4 * protocol.Second,
		Stages: []controller.SpanStage{{Name: "claim", From: protocol.Second, To: 2 * protocol.Second}, {Name: "account for hosts", From: 2 * protocol.Second, To: 4 * protocol.Second}},
		Counts: []controller.SpanCount{{Name: "hosts", Value: 1300}},
	}, clock)
	spans := (<-took).ResourceSpans[0].ScopeSpans[0].Spans
	if len(spans) != 3 {
		t.Fatalf("%d spans", len(spans))
	}
	whole := spans[2]
	if whole.Name != "take-over" || whole.StartTimeUnixNano != 1001e9 || whole.EndTimeUnixNano != 1004e9 || whole.Attributes[0].Value.GetIntValue() != 1300 {
		t.Errorf("%v", whole)
	}
	for _, stage := range spans[:2] {
		if string(stage.ParentSpanId) != string(whole.SpanId) {
			t.Errorf("%s is no part of the take-over", stage.Name)
		}
	}
}

// A collector that accepts and never answers keeps nobody waiting: what finds no
// room is dropped, and counted.
func TestHangingCollector(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := Defaults()
	s.Listen, s.Traces, s.Ratio, s.Queue = "127.0.0.1:0", collector(t, nil, hold), 1, 4
	r := start(t, s)
	for range 1000 {
		r.Call("state", "POST", "/commit", controller.CallResult{Status: 200}, time.Now())
	}
	// Four wait, and at most one batch is in hand, of what had come by then.
	text := scrape(t, r)
	var dropped float64
	for _, line := range strings.Split(text, "\n") {
		_, _ = fmt.Sscanf(line, "mapleslip_spans_dropped_total %g", &dropped)
	}
	if dropped < 1000-4-1-mostBatch {
		t.Errorf("%g dropped", dropped)
	}
}

// Telemetry that is off costs nothing and takes everything.
func TestOff(t *testing.T) {
	var r *Recorder
	r.Step("tick", 0)
	r.Call("state", "GET", "/store", controller.CallResult{}, time.Now())
	r.Span(controller.Span{}, time.Now())
	r.Snapshot(0, func() controller.Stats { t.Error("counted in vain"); return controller.Stats{} })
	r.Waiting(1, nil)
	r.Close()
	if r.Spans() || r.Addr() != "" {
		t.Error("it is on")
	}
}

// BenchmarkEvent is what an event costs with telemetry on, BenchmarkCallEnd what an
// outbound call does with a tenth of the spans kept and nobody who takes them.
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
