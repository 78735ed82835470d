package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/checker"
	"mapleslip/internal/scale/wire"
)

func meterFor(t *testing.T) (*meter, *File) {
	t.Helper()
	f, err := Parse([]byte(deployFile(t, "ahead.toml")))
	if err != nil {
		t.Fatal(err)
	}
	m := newMeter(f)
	m.begin(1_000_000_000, f)
	return m, f
}

func submitJob(m *meter, ref string, tasks int, due int64) *protocol.JobSpec {
	s := &protocol.JobSpec{Ref: ref, Class: "urgent", Team: "team-00", Priority: protocol.PriorityCritical, Tasks: tasks, Image: "i", TaskResources: protocol.Resources{CPU: 1000}}
	m.observe(&process{}, &wire.Message{Kind: wire.Submit, Ref: ref, Due: due, Specs: []json.RawMessage{protocol.AppendJob(nil, s)}})
	return s
}

// A wait counts from the time at which its job was due, without the fetch of its image. A task
// that has not started by the end counts as having waited until then, unless its user cancelled
// the job: without it the longest waits would be missing.
func TestWaits(t *testing.T) {
	m, _ := meterFor(t)
	at := func(s float64) int64 { return m.began + int64(s*1e6) }
	early := submitJob(m, "req-000001", 1, at(1))
	late := submitJob(m, "req-000002", 3, at(100))
	submitJob(m, "req-000003", 1, at(110))
	submitJob(m, "req-000004", 1, at(110))
	m.observe(nil, &wire.Message{Kind: wire.Cancel, Ref: "req-000004"})
	m.observe(nil, &wire.Message{Kind: wire.Answer, Op: "submit", Ref: "req-000002", Status: 503, Due: at(100), At: at(100.5)})
	m.observe(nil, &wire.Message{Kind: wire.Answer, Op: "submit", Ref: "req-000002", Status: 201, Due: at(100), At: at(102)})
	m.observe(nil, &wire.Message{Kind: wire.Answer, Op: "submit", Ref: "req-000002", Status: 200, Due: at(100), At: at(109)})
	m.addStart(checker.Start{Spec: early, Tasks: 1, Due: at(1), Asked: at(30), At: at(31)})
	m.addStart(checker.Start{Spec: late, Tasks: 1, Due: at(100), Asked: at(102), At: at(103), Fetch: 1_000_000})
	m.addStart(checker.Start{Spec: late, Tasks: 1, Due: at(100), Asked: at(103), At: at(103.5), Fetch: 0})
	m.addStart(checker.Start{Spec: late, Tasks: 1, Due: at(100), Asked: at(130), At: at(131), Again: true})
	if got := m.addUnstarted(at(160)); got["urgent"] != 2 {
		t.Errorf("%v never started", got)
	}
	l := m.latencies["urgent wait"]
	checkNear := func(name string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > want/500 {
			t.Errorf("%s: %g, want %g", name, got, want)
		}
	}
	p := percentiles(l.all)
	if p.Count != 4 || l.withinAim != 1 {
		t.Errorf("%d waits, %d within %d", p.Count, l.withinAim, l.aim)
	}
	checkNear("largest wait", p.Max, 60_000)
	checkNear("p50", p.P50, 3500)
	checkNear("submission", percentiles(m.latencies["submit"].all).Max, 2000)
	checkNear("command", percentiles(m.latencies["urgent command"].all).Max, 3000)
	checkNear("fetch", percentiles(m.latencies["urgent fetch"].all).Max, 1000)
	if got := m.slowest["urgent"]; len(got) != 2 || got[0] != (Slow{"", 100, 3.5}) || got[1] != (Slow{"", 100, 2}) {
		t.Errorf("slowest: %v", got)
	}
	if peak, rest := m.latencies["urgent wait, peak"], m.latencies["urgent wait, rest"]; peak.all.TotalCount() != 4 || rest != nil {
		t.Errorf("peak %+v, rest %+v; want 4 values in the peak and none in the rest", peak, rest)
	}
	if m.seconds[31].Starts != 1 || m.seconds[103].Starts != 2 || m.seconds[131].Starts != 1 {
		t.Error("the starts in seconds 31, 103 and 131 are wrong")
	}
}

// Resource usage is attributed to the role that a process has at the time of the sample, and the
// counters of a restarted process count from 0.
func TestRows(t *testing.T) {
	m, f := meterFor(t)
	a, b := &process{name: "node-0", role: roleController}, &process{name: "node-1", role: roleController}
	w := &process{name: "worker-1", role: wire.RoleWorker}
	cpu := func(s float64) usage {
		return usage{cpu: time.Duration(s * float64(time.Second)), rss: 10e6, sockets: 7}
	}
	scraped := func(role string, commits float64) *scrape {
		return &scrape{role: role, calls: map[string]float64{"state commit": commits}}
	}
	for i, s := range []struct{ a, b, commits float64 }{{1, 5, 100}, {1.5, 5.1, 110}, {2, 5.2, 4}} {
		at := m.warmup + int64(i)*1e6 + 1
		m.addSample(&sample{at: at, usage: map[*process]usage{a: cpu(s.a), b: cpu(s.b), w: cpu(0.01 * float64(i))}, scraped: map[string]*scrape{"node-0": scraped("leading", s.commits), "node-1": scraped("following", 3)}}, 50)
		m.observe(w, &wire.Message{Kind: wire.Gauge, At: at, Values: map[string]float64{"hello_out_bytes": 1000 + 500*float64(i), "tasks_running": 18, "lag_ms_max": float64(i)}})
	}
	r := &Report{Rows: make(map[string]float64), Seconds: m.seconds, WindowS: [2]float64{f.WarmupS, f.DurationS}}
	m.rows(r)
	for row, want := range map[string]float64{
		"leader cores": 0.5, "controller cores": 0.1, "worker cores": 0.01, "leader calls state commit per s": 7,
		"worker hello_out_bytes per s": 500, "worker tasks_running": 18, "worker lag_ms_max": 2, "leader sockets": 7, "worker memory MB": 10,
	} {
		if got := r.Rows[row]; math.Abs(got-want) > 1e-6 {
			t.Errorf("%s: %g, want %g", row, got, want)
		}
	}
	if got := m.seconds[len(m.seconds)-1]; got.Leader != "node-0" || math.Abs(got.CPU["leader"]-0.5) > 1e-6 || got.LagMS != 2 || got.Running != 50 {
		t.Errorf("%+v", got)
	}
}

// The longest step between two scrapes is bounded by the highest bucket that grew.
func TestHighestGrownBucket(t *testing.T) {
	inf := math.Inf(1)
	before := map[float64]float64{0.1: 5, 0.3: 6, 0.9: 6, inf: 6}
	for _, c := range []struct {
		now  map[float64]float64
		want float64
	}{
		{map[float64]float64{0.1: 5, 0.3: 6, 0.9: 6, inf: 6}, 0},
		{map[float64]float64{0.1: 7, 0.3: 8, 0.9: 8, inf: 8}, 0.1},
		{map[float64]float64{0.1: 7, 0.3: 8, 0.9: 9, inf: 9}, 0.9},
		{map[float64]float64{0.1: 7, 0.3: 8, 0.9: 9, inf: 10}, inf},
		{map[float64]float64{0.1: 1, 0.3: 1, 0.9: 1, inf: 1}, 0}, // the process was restarted
	} {
		if got := highestGrownBucket(c.now, before); got != c.want {
			t.Errorf("%v: %g, want %g", c.now, got, c.want)
		}
	}
}

// A broken rule takes precedence over everything else, a high lag makes an otherwise good run
// void, and a run in which nothing started is not good.
func TestVerdict(t *testing.T) {
	f, err := Parse([]byte(deployFile(t, "ahead.toml")))
	if err != nil {
		t.Fatal(err)
	}
	lag := func(ms float64) []Second { return []Second{{T: 70, LagMS: 1}, {T: 71, LagMS: ms}} }
	for _, c := range []struct {
		what string
		r    Report
		err  error
		exit int
	}{
		{"good", Report{Counts: checker.Counts{Starts: 5}, Seconds: lag(9)}, nil, ExitGood},
		{"void", Report{Counts: checker.Counts{Starts: 5}, Seconds: lag(251)}, nil, ExitVoid},
		{"nothing ran", Report{Seconds: lag(9)}, nil, ExitBroken},
		{"broken and late", Report{Counts: checker.Counts{Starts: 5}, Seconds: lag(999), Broken: []checker.Violation{{Kind: "quota"}}}, errors.New("rule broken"), ExitBroken},
		{"broken at the limit", Report{Broken: []checker.Violation{{Kind: "quota"}}}, &limitError{"memory"}, ExitBroken},
		{"limit", Report{Counts: checker.Counts{Starts: 5}}, &limitError{"memory"}, ExitFailed},
		{"failed", Report{Counts: checker.Counts{Starts: 5}}, errors.New("users ended by itself"), ExitFailed},
		{"nothing in time", Report{}, errors.New("rule broken: nothing_ran: x"), ExitBroken},
	} {
		c.r.WindowS = [2]float64{f.WarmupS, f.DurationS}
		c.r.setVerdict(f, c.err)
		if c.r.Exit != c.exit || c.exit != ExitGood && len(c.r.Reasons) == 0 {
			t.Errorf("%s: exit %d, %q", c.what, c.r.Exit, c.r.Reasons)
		}
	}
}

// Lines are fitted over all sizes and repeats; runs that are not good are ignored.
func TestSlopes(t *testing.T) {
	var reports []*Report
	for _, part := range []float64{0.1, 0.25, 0.5} {
		for repeat := range 2 {
			workers := 4200 * part
			reports = append(reports, &Report{Part: part, Workers: int(workers), Rows: map[string]float64{"leader cores": 0.02 + workers*1e-4, "noisy": 10 + float64(repeat)}})
			if part == 0.5 {
				reports[len(reports)-1].Rows["leader refused x per s"] = 3
				reports[len(reports)-1].Rows["leader longest x"] = 3
			}
		}
	}
	reports = append(reports, &Report{Part: 1, Workers: 4200, Exit: ExitVoid, Rows: map[string]float64{"leader cores": 99}})
	slopes, err := Slopes(reports, "")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, s := range slopes {
		switch s.Row {
		case "leader cores":
			found++
			for _, c := range [][2]float64{{s.Slope, 1e-4}, {s.Intercept, 0.02}, {s.AtOne, 0.44}, {s.AtTwo, 0.86}} {
				if math.Abs(c[0]-c[1]) > 1e-9 {
					t.Errorf("%+v", s)
				}
			}
			if s.Residual > 1e-9 || s.Spread > 1e-9 || len(s.Means) != 3 {
				t.Errorf("%+v", s)
			}
		case "leader refused x per s":
			found++
			if s.Means[0] != 0 || s.Means[2] != 3 {
				t.Errorf("%+v", s)
			}
		case "leader longest x":
			t.Error("a line was fitted to a row that some runs don't have")
		case "noisy":
			found++
			if math.Abs(s.Spread-1/10.5) > 1e-9 || math.Abs(s.Residual-0.5/10.5) > 1e-9 {
				t.Errorf("%+v", s)
			}
		}
	}
	if found != 3 {
		t.Errorf("%d of 3 rows", found)
	}
	var out bytes.Buffer
	PrintSlopes(&out, reports, slopes, "")
	if !strings.Contains(out.String(), "| leader cores | 0.062 | 0.125 | 0.23 | 0.0001 | 0.02 | 0.44 | 0.86 | 0% | 0% |") || !strings.Contains(out.String(), "VOID") {
		t.Error(out.String())
	}
	if _, err := Slopes(reports[:2], ""); err == nil {
		t.Error("a line was fitted to runs of one size")
	}
}

// Latencies of configuration changes count from the time at which the change was due, and are
// grouped by the conditions at that time. Changes due during the warm-up do not count.
func TestChangeTimes(t *testing.T) {
	f, err := Parse([]byte(deployFile(t, "changes.toml")))
	if err != nil {
		t.Fatal(err)
	}
	m := newMeter(f)
	m.begin(1_000_000_000, f)
	answer := func(region, phase string, due, made, at float64) {
		us := func(s float64) int64 { return m.began + int64(s*1e6) }
		m.observe(nil, &wire.Message{Kind: wire.Answer, Op: "config", Ref: "c-1", Region: region, Status: 200, Phase: phase, Due: us(due), Run: us(made), At: us(at)})
	}
	answer("r0", "made", 10, 11, 11) // during the warm-up
	answer("r0", "made", 40, 41, 41)
	answer("r0", "in_force", 40, 41, 43)
	answer("r1", "in_force", 70, 70.5, 75) // r5 is cut off from 60 s to 100 s
	answer("r5", "in_force", 70, 101, 102)
	answer("r1", "in_force", 110, 110, 110.5) // the peak begins at 105 s
	got := make(map[string]float64)
	for name, l := range m.latencies {
		if n := l.all.TotalCount(); n > 0 {
			got[name] = math.Round(percentiles(l.all).Max/100) / 10
		}
	}
	want := map[string]float64{
		"config change": 1, "config change, at rest": 1, "config in force": 32, "config in force, at rest": 3,
		"config in force, a region apart": 5, "config in force, in the region apart": 32, "config in force, peak": 0.5,
		"config in force, after made": 4.5, "config in force, after made, at rest": 2, "config in force, after made, a region apart": 4.5,
		"config in force, after made, in the region apart": 1, "config in force, after made, peak": 0.5,
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

// A report is the same after it was written and read, and its plots are in the same folder.
func TestWriteReport(t *testing.T) {
	dir := t.TempDir()
	r := &Report{
		Name: "x", Part: 0.5, Rows: map[string]float64{"leader cores": 0.2}, Counts: checker.Counts{Starts: 3, Leaves: map[string]int{"done": 2}},
		Latency: map[string]Percentiles{"urgent wait": {Count: 3, P50: 1, AimS: 2.7, Within: 1}}, Faults: []Played{{T: 1, Fault: "controller_end", What: "node-0"}},
		Seconds: []Second{{T: 0, Starts: 1, CPU: map[string]float64{"leader": 0.1}, RSS: map[string]float64{"leader": 20}}, {T: 1, Starts: 2, CPU: map[string]float64{"leader": 0.3}, RSS: map[string]float64{"leader": 22}}},
		Series:  map[string][]Span{"urgent wait": {{0, Percentiles{Count: 3, P50: 1}}}, "submit": {{0, Percentiles{Count: 1}}}, "query": {{0, Percentiles{}}}},
	}
	if err := r.Write(dir); err != nil {
		t.Fatal(err)
	}
	got, err := ReadReport(dir)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(r, got); d != "" {
		t.Error(d)
	}
	for _, name := range []string{"starts", "running", "processor", "memory", "urgent-wait", "submit"} {
		text, err := os.ReadFile(dir + "/" + name + ".svg")
		if err != nil || !bytes.Contains(text, []byte("<svg")) {
			t.Errorf("%s: %v", name, err)
		}
	}
	var a, b bytes.Buffer
	r.Print(&a)
	got.Print(&b)
	if a.String() != b.String() || !strings.Contains(a.String(), "1.0000 of 2.7 s") {
		t.Error(a.String())
	}
	other := *got
	other.Rows = map[string]float64{"leader cores": 0.4}
	b.Reset()
	Compare(&b, r, &other, 0.05)
	if !strings.Contains(b.String(), "2.00") {
		t.Error(b.String())
	}
}
