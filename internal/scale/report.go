package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/checker"
	"mapleslip/internal/scale/wire"
)

// Report contains the results of a run.
type Report struct {
	Name        string                 `json:"name"`
	Part        float64                `json:"part"`
	Seed        uint64                 `json:"seed"`
	Controller  string                 `json:"controller,omitempty"` // name of the controller program, if it isn't the tool itself
	Began       time.Time              `json:"began"`
	TookS       float64                `json:"took_s"`
	Exit        int                    `json:"exit"`
	Reasons     []string               `json:"reasons"` // why the exit code is not 0
	Machine     Host                   `json:"machine"`
	Workers     int                    `json:"workers"` // number of machines at the start
	Controllers int                    `json:"controllers"`
	Zones       int                    `json:"zones"`
	Teams       int                    `json:"teams"`
	WindowS     [2]float64             `json:"window_s"` // measurement window of averages and percentiles, seconds since the start of the load
	Counts      checker.Counts         `json:"counts"`
	Broken      []checker.Violation    `json:"broken"`
	Faults      []Played               `json:"faults"`
	Latency     map[string]Percentiles `json:"latency"`
	Slowest     map[string][]Slow      `json:"slowest"`   // tasks with the longest waits for their first start, by class
	Unstarted   map[string]int         `json:"unstarted"` // by class: tasks that were due in the window and never started
	Rows        map[string]float64     `json:"rows"`      // averages and rates in the window, see docs/scale.md
	Notes       []string               `json:"notes"`
	Seconds     []Second               `json:"seconds"`
	Series      map[string][]Span      `json:"series"` // percentiles by the time at which the action was due
}

// Host describes the machine that the run used.
type Host struct {
	Processors int     `json:"processors"`
	MemoryMB   int64   `json:"memory_mb"`
	PeakMB     int64   `json:"peak_mb"` // largest memory of all processes together
	BusyP95    float64 `json:"busy_p95"`
	LagMSP99   float64 `json:"lag_ms_p99"` // of the largest lag in each second
	LagMSMax   float64 `json:"lag_ms_max"`
}

// Percentiles contains percentiles of latencies in milliseconds.
type Percentiles struct {
	Count  int64   `json:"count"`
	P50    float64 `json:"p50_ms"`
	P99    float64 `json:"p99_ms"`
	P999   float64 `json:"p99_9_ms"`
	Max    float64 `json:"max_ms"`
	AimS   float64 `json:"aim_s,omitempty"`  // objective, seconds
	Within float64 `json:"within,omitempty"` // share of values within the objective
}

// Span is one entry of a series: the latencies of actions due in the spanS seconds from second T.
type Span struct {
	T int `json:"t"`
	Percentiles
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Percentiles{Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)), P999: ms(h.ValueAtQuantile(99.9)), Max: ms(h.Max())}
}

// quantile returns a quantile of values in any order, or 0 if there are none.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	v = slices.Clone(v)
	sort.Float64s(v)
	return v[min(len(v)-1, int(math.Ceil(q*float64(len(v))))-1+btoi(q == 0))]
}

// report makes the report of a run that ended with err.
func (s *supervisor) report(began time.Time, err error) *Report {
	m := s.meter
	r := &Report{
		Name: s.file.Name, Part: s.options.Part, Seed: s.file.Seed, Began: began.UTC().Truncate(time.Second), TookS: math.Round(time.Since(began).Seconds()*10) / 10,
		Workers: s.file.Machines(), Controllers: len(s.controllers), Teams: s.file.Teams.Count, Faults: s.injected, Notes: s.notes,
		Latency: make(map[string]Percentiles), Rows: make(map[string]float64), Series: make(map[string][]Span), Seconds: m.seconds, Slowest: m.slowest,
	}
	if s.options.Controller != s.executable {
		r.Controller = filepath.Base(s.options.Controller)
	}
	for _, g := range s.file.Regions {
		r.Zones += len(g.Zones)
	}
	total, _, _ := machineMemory()
	r.Machine = Host{Processors: processors(), MemoryMB: total >> 20, PeakMB: m.peakRSS >> 20}
	if s.hub != nil {
		// All parts have ended and no more messages arrive, so that all events can be checked.
		s.hub.Tick(wire.Now() + 3*int64(protocol.Second))
		r.Counts, r.Broken = s.hub.Counts(), s.hub.Broken()
	}
	if m.began > 0 {
		last := min(wire.Now(), m.ends+int64(protocol.FromSeconds(s.file.SettleS)))
		r.WindowS = [2]float64{s.file.WarmupS, min(s.file.DurationS, float64(last-m.began)/1e6)}
		r.Unstarted = m.addUnstarted(last)
	}
	for name, l := range m.latencies {
		p := percentiles(l.all)
		if l.aim > 0 && p.Count > 0 {
			p.AimS, p.Within = float64(l.aim)/1e6, float64(l.withinAim)/float64(p.Count)
		}
		if p.Count > 0 {
			r.Latency[name] = p
		}
		for i, h := range l.spans {
			if h != nil {
				r.Series[name] = append(r.Series[name], Span{i * spanS, percentiles(h)})
			}
		}
	}
	m.rows(r)
	r.setVerdict(s.file, err)
	return r
}

// setVerdict sets the exit code and its reasons, and the lag and load of the machine.
func (r *Report) setVerdict(f *File, err error) {
	var limit *limitError
	switch {
	case len(r.Broken) > 0:
		r.Exit = ExitBroken
		for _, b := range r.Broken {
			r.Reasons = append(r.Reasons, "rule broken: "+b.Kind+": "+b.Text)
		}
	case err != nil && strings.HasPrefix(err.Error(), "rule broken:"):
		r.Exit, r.Reasons = ExitBroken, append(r.Reasons, err.Error())
	case errors.As(err, &limit):
		r.Exit, r.Reasons = ExitFailed, append(r.Reasons, "stopped by a limit: "+err.Error())
	case err != nil:
		r.Exit, r.Reasons = ExitFailed, append(r.Reasons, err.Error())
	}
	var lags, busy []float64
	for _, s := range r.Seconds {
		if float64(s.T) >= r.WindowS[0] && float64(s.T) < r.WindowS[1] {
			lags, busy = append(lags, s.LagMS), append(busy, s.Busy)
			r.Machine.LagMSMax = max(r.Machine.LagMSMax, s.LagMS)
		}
	}
	r.Machine.LagMSP99, r.Machine.BusyP95 = quantile(lags, 0.99), quantile(busy, 0.95)
	if v := r.Machine.BusyP95; v > f.Limits.CPUShare {
		r.Notes = append([]string{fmt.Sprintf("%.0f%% of this machine's processors were busy in one of twenty seconds: times are not to be relied on where the lag is high too", v*100)}, r.Notes...)
	}
	if r.Exit != ExitGood {
		return
	}
	if r.Counts.Starts == 0 {
		r.Exit, r.Reasons = ExitBroken, append(r.Reasons, "rule broken: nothing_ran")
	}
	if v := r.Machine.LagMSP99; v > f.Limits.LagMS {
		r.Exit, r.Reasons = ExitVoid, append(r.Reasons, fmt.Sprintf("void: the tool's processes were up to %.0f ms late in one of a hundred seconds, limits.lag_ms is %g: this machine is what was measured", v, f.Limits.LagMS))
	}
}

// Write writes the report and its plots into a folder.
func (r *Report) Write(dir string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	return r.writePlots(dir)
}

// ReadReport reads a report from a report.json file or from the folder that contains it.
func ReadReport(path string) (*Report, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		path = filepath.Join(path, "report.json")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := new(Report)
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// verdicts are the printed results, by exit code.
var verdicts = []string{"good", "RULE BROKEN", "FAILED", "VOID"}

// Print writes the report as a table.
func (r *Report) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	r.printSummary(w)
	w.Flush()
	fmt.Fprintln(out)
	r.printTimes(w)
	w.Flush()
	fmt.Fprintln(out)
	r.printRoles(w)
	w.Flush()
	if v := r.Rows["worker control bytes per s, both ways"]; v > 0 {
		fmt.Fprintf(out, "control of a real worker: %.0f bytes a second both ways at %.1f tasks\n", v, r.Rows["worker tasks_running"])
	}
	if v := r.Rows["leader longest tick s, at most"]; v > 0 {
		fmt.Fprintf(out, "longest step: %.2g s of a leader, %.2g s of another controller\n", r.Rows["leader longest step s"], r.Rows["controller longest step s"])
		fmt.Fprintf(out, "leader: longest round at most %.2g s, longest renewal at most %.2g s\n", v, r.Rows["leader longest state lease s, at most"])
	}
}

// maxPrinted is how many reasons and how many notes are printed.
const maxPrinted = 10

func (r *Report) printSummary(w io.Writer) {
	line := func(name, format string, args ...any) {
		fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	line("verdict", "%s", verdicts[r.Exit])
	for _, reason := range r.Reasons[:min(len(r.Reasons), maxPrinted)] {
		line("", "%s", reason)
	}
	line("run", "%s, part %g, seed %d, %.0f s; averages and percentiles of %.0f s to %.0f s", r.Name, r.Part, r.Seed, r.TookS, r.WindowS[0], r.WindowS[1])
	line("size", "%d workers in %d zones, %d teams, %d controllers", r.Workers, r.Zones, r.Teams, r.Controllers)
	line("this machine", "%d processors, p95 of busy %.0f%%; lag p99 %.0f ms, largest %.0f ms; %d of %d MB", r.Machine.Processors, r.Machine.BusyP95*100, r.Machine.LagMSP99, r.Machine.LagMSMax, r.Machine.PeakMB, r.Machine.MemoryMB)
	line("jobs", "%d; %d starts of tasks, %d done, %d running at the end", r.Counts.Jobs, r.Counts.Starts, r.Counts.Done, r.Counts.Running)
	peak, peakAt := r.peakOfStarts()
	line("starts a second", "%.1f in the mean, %.1f in the %d s from %d s on", r.Rows["run starts per s"], peak, spanS, peakAt)
	if len(r.Counts.Leaves) > 0 {
		var parts []string
		for _, k := range slices.Sorted(maps.Keys(r.Counts.Leaves)) {
			parts = append(parts, fmt.Sprintf("%s %d", k, r.Counts.Leaves[k]))
		}
		line("tasks ended", "%s", strings.Join(parts, ", "))
	}
	for _, f := range r.Faults {
		line("fault", "%.1f s: %s: %s", f.T, f.Fault, f.What)
	}
	for _, class := range slices.Sorted(maps.Keys(r.Slowest)) {
		aim := r.Latency[class+" wait"].AimS
		for _, s := range r.Slowest[class] {
			if aim > 0 && s.WaitS > aim {
				line("late", "%s: %s, due at %.1f s, waited %.1f s", class, s.Task, s.DueT, s.WaitS)
			}
		}
	}
	for _, n := range r.Notes[:min(len(r.Notes), maxPrinted)] {
		line("note", "%s", n)
	}
}

// peakOfStarts returns the largest mean of starts a second over spanS seconds, and the second from
// which on it was reached.
func (r *Report) peakOfStarts() (peak float64, from int) {
	for i := 0; i+spanS <= len(r.Seconds); i++ {
		n := 0
		for _, s := range r.Seconds[i : i+spanS] {
			n += s.Starts
		}
		if v := float64(n) / spanS; v > peak {
			peak, from = v, i
		}
	}
	return peak, from
}

func (r *Report) printTimes(w io.Writer) {
	fmt.Fprintln(w, "time\tcount\tp50\tp99\tp99.9\tlargest\twithin\tnever started")
	ms := func(v float64) string { return milliseconds(int64(v * 1000)) }
	for _, k := range slices.Sorted(maps.Keys(r.Latency)) {
		p := r.Latency[k]
		within, never := "", ""
		if p.AimS > 0 {
			within = fmt.Sprintf("%.4f of %g s", p.Within, p.AimS)
		}
		if class, ok := strings.CutSuffix(k, " wait"); ok { // not for the rows of the peak and the rest
			never = fmt.Sprint(r.Unstarted[class])
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", k, p.Count, ms(p.P50), ms(p.P99), ms(p.P999), ms(p.Max), within, never)
	}
}

func (r *Report) printRoles(w io.Writer) {
	fmt.Fprintln(w, "role, each process\tcores\tlargest second\tMB\tlargest\tsockets\tlargest\tKB/s in\tout")
	for _, role := range []string{"leader", roleController, wire.RoleWorker, wire.RoleHollow, wire.RoleStandins, wire.RoleRelay, wire.RoleUsers, "supervisor"} {
		if _, ok := r.Rows[role+" memory MB"]; !ok {
			continue
		}
		v := func(k string) float64 { return r.Rows[role+" "+k] }
		fmt.Fprintf(w, "%s\t%.4f\t%.2f\t%.1f\t%.1f\t%.0f\t%.0f\t%.1f\t%.1f\n", role, v("cores"), v("cores, largest second"), v("memory MB"), v("memory MB, largest"), v("sockets"), v("sockets, largest"),
			v("bytes in per s")/1000, v("bytes out per s")/1000)
	}
}
