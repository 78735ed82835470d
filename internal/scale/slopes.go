package scale

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// figures returns all numbers by which reports are compared: the rows, the percentiles of the
// latencies, and the memory, lag and load of the machine.
func (r *Report) figures() map[string]float64 {
	out := maps.Clone(r.Rows)
	for name, p := range r.Latency {
		out["time "+name+" p50 ms"], out["time "+name+" p99 ms"], out["time "+name+" p99.9 ms"] = p.P50, p.P99, p.P999
	}
	out["machine peak MB"], out["machine lag ms p99"], out["machine busy p95"] = float64(r.Machine.PeakMB), r.Machine.LagMSP99, r.Machine.BusyP95
	return out
}

// Slope is the linear fit of a row over the size of the deployment.
type Slope struct {
	Row       string    `json:"row"`
	At        []float64 `json:"at"`        // sizes
	Means     []float64 `json:"means"`     // averages over the runs of each size
	Slope     float64   `json:"slope"`     // per unit of size
	Intercept float64   `json:"intercept"` // at size 0
	Residual  float64   `json:"residual"`  // root mean square of the residuals, divided by the mean
	Spread    float64   `json:"spread"`    // largest (highest - lowest)/mean of the runs of one size
	AtOne     float64   `json:"at_one"`    // value of the line at part 1
	AtTwo     float64   `json:"at_two"`    // value of the line at part 2
}

// sizedRun has the figures of a good run and its size.
type sizedRun struct {
	size    float64
	figures map[string]float64
}

// Slopes fits a line to each row that all good runs have, and to each rate that at least one of
// them has. by is the figure that serves as size; if it is "", the number of workers does. Runs
// that are not good are ignored.
func Slopes(reports []*Report, by string) ([]Slope, error) {
	runs, sizeAtOne, err := goodRuns(reports, by)
	if err != nil {
		return nil, err
	}
	var out []Slope
	for _, row := range comparableRows(runs) {
		out = append(out, fitRow(row, runs, sizeAtOne))
	}
	return out, nil
}

// goodRuns returns the good runs, which must be of two sizes at least, and the size at part 1.
func goodRuns(reports []*Report, by string) (runs []sizedRun, sizeAtOne float64, err error) {
	sums, counts := make(map[float64]float64), make(map[float64]int)
	for _, r := range reports {
		if r.Exit != ExitGood {
			continue
		}
		f := r.figures()
		size := float64(r.Workers)
		if by != "" {
			v, ok := f[by]
			if !ok {
				return nil, 0, fmt.Errorf("--by: no run has the row %q", by)
			}
			size = v
		}
		runs = append(runs, sizedRun{size, f})
		sums[r.Part] += size
		counts[r.Part]++
		sizeAtOne = max(sizeAtOne, float64(r.Workers)/r.Part)
	}
	if len(counts) < 2 {
		return nil, 0, fmt.Errorf("%d good runs of %d sizes: a line needs two sizes", len(runs), len(counts))
	}
	if by == "" {
		return runs, sizeAtOne, nil
	}
	// The size at part 1 is read from a line through the sizes of all parts.
	var parts, sizes []float64
	for part, sum := range sums {
		parts, sizes = append(parts, part), append(sizes, sum/float64(counts[part]))
	}
	a, b := stat.LinearRegression(parts, sizes, nil, false)
	return runs, a + b, nil
}

// comparableRows returns the rows that all runs have, and the rates that at least one has: a rate that
// is missing in a run is 0, since the counted event did not occur.
func comparableRows(runs []sizedRun) []string {
	rows := make(map[string]float64)
	for _, r := range runs {
		maps.Copy(rows, r.figures)
	}
	for _, r := range runs {
		maps.DeleteFunc(rows, func(k string, _ float64) bool {
			_, ok := r.figures[k]
			return !ok && !strings.HasSuffix(k, " per s")
		})
	}
	return slices.Sorted(maps.Keys(rows))
}

// fitRow fits a line to a row.
func fitRow(row string, runs []sizedRun, sizeAtOne float64) Slope {
	var x, y []float64
	repeats := make(map[float64][]float64)
	for _, r := range runs {
		x, y = append(x, r.size), append(y, r.figures[row])
		repeats[r.size] = append(repeats[r.size], r.figures[row])
	}
	a, b := stat.LinearRegression(x, y, nil, false)
	s := Slope{Row: row, Slope: b, Intercept: a, AtOne: a + b*sizeAtOne, AtTwo: a + 2*b*sizeAtOne}
	squares := 0.0
	for i := range x {
		d := y[i] - a - b*x[i]
		squares += d * d
	}
	if mean := stat.Mean(y, nil); mean != 0 {
		s.Residual = math.Sqrt(squares/float64(len(x))) / math.Abs(mean)
	}
	for _, size := range slices.Sorted(maps.Keys(repeats)) {
		v := repeats[size]
		mean := stat.Mean(v, nil)
		s.At, s.Means = append(s.At, size), append(s.Means, mean)
		if mean != 0 {
			s.Spread = max(s.Spread, (slices.Max(v)-slices.Min(v))/math.Abs(mean))
		}
	}
	return s
}

// PrintSlopes writes a list of the runs and a table of the slopes in Markdown.
func PrintSlopes(out io.Writer, reports []*Report, slopes []Slope, by string) {
	if by == "" {
		by = "worker"
	}
	for _, r := range reports {
		fmt.Fprintf(out, "- %s, part %g, seed %d: %d workers, %s, p95 of this machine's processors %.0f%%, lag p99 %.0f ms", r.Name, r.Part, r.Seed, r.Workers, verdicts[r.Exit], r.Machine.BusyP95*100, r.Machine.LagMSP99)
		if r.Exit != ExitGood {
			fmt.Fprintf(out, "; left out: %s", strings.Join(r.Reasons, "; "))
		}
		fmt.Fprintln(out)
	}
	if len(slopes) == 0 {
		return
	}
	fmt.Fprintf(out, "\n| row |")
	for _, at := range slopes[0].At {
		fmt.Fprintf(out, " at %s |", formatNumber(at))
	}
	fmt.Fprintf(out, " by %s | at 0 | at part 1 | at 2 | residual | spread |\n|%s\n", by, strings.Repeat(" --- |", len(slopes[0].At)+7))
	for _, s := range slopes {
		fmt.Fprintf(out, "| %s |", s.Row)
		for _, v := range s.Means {
			fmt.Fprintf(out, " %s |", formatNumber(v))
		}
		fmt.Fprintf(out, " %s | %s | %s | %s | %.0f%% | %.0f%% |\n", formatNumber(s.Slope), formatNumber(s.Intercept), formatNumber(s.AtOne), formatNumber(s.AtTwo), s.Residual*100, s.Spread*100)
	}
}

// formatNumber formats a number with three significant digits, from 1000 on as an integer.
func formatNumber(v float64) string {
	if math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// Compare writes two reports side by side: the verdicts, and each figure that differs by at least
// the share minShare of its value in the first report.
func Compare(out io.Writer, a, b *Report, minShare float64) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	name := func(r *Report) string {
		return fmt.Sprintf("%s, part %g, seed %d, %s", r.Name, r.Part, r.Seed, verdicts[r.Exit])
	}
	fmt.Fprintf(w, "\t%s\t%s\tB/A\n", name(a), name(b))
	fa, fb := a.figures(), b.figures()
	all := maps.Clone(fa)
	maps.Copy(all, fb)
	same := 0
	for _, k := range slices.Sorted(maps.Keys(all)) {
		va, inA := fa[k]
		vb, inB := fb[k]
		cell := func(v float64, ok bool) string {
			if !ok {
				return "-"
			}
			return formatNumber(v)
		}
		if inA && inB && math.Abs(vb-va) < minShare*math.Abs(va) || va == vb && inA && inB {
			same++
			continue
		}
		ratio := "-"
		if inA && inB && va != 0 {
			ratio = fmt.Sprintf("%.2f", vb/va)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", k, cell(va, inA), cell(vb, inB), ratio)
	}
	w.Flush()
	fmt.Fprintf(out, "%d figures differ by less than %g of A\n", same, minShare)
	for _, r := range []*Report{a, b} {
		for _, why := range r.Reasons {
			fmt.Fprintf(out, "%s: %s\n", name(r), why)
		}
	}
}
