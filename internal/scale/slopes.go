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

// figures are all numbers of a report that runs of several sizes are compared by: its
// rows, and the percentiles of its times.
func (r *Report) figures() map[string]float64 {
	out := maps.Clone(r.Rows)
	for name, p := range r.Latency {
		out["time "+name+" p50 ms"], out["time "+name+" p99 ms"], out["time "+name+" p99.9 ms"] = p.P50, p.P99, p.P999
	}
	out["machine peak MB"], out["machine lag ms p99"], out["machine busy p95"] = float64(r.Machine.PeakMB), r.Machine.LagMSP99, r.Machine.BusyP95
	return out
}

// Slope is how a row grows with the size of a deployment.
type Slope struct {
	Row       string    `json:"row"`
	At        []float64 `json:"at"`        // sizes
	Means     []float64 `json:"means"`     // over the repeats of a size
	Slope     float64   `json:"slope"`     // by unit of size
	Intercept float64   `json:"intercept"` // at size 0
	Residual  float64   `json:"residual"`  // root mean square of what the line misses, of the mean
	Spread    float64   `json:"spread"`    // largest (highest - lowest)/mean of a size's repeats
	AtOne     float64   `json:"at_one"`    // the line at part 1
	AtTwo     float64   `json:"at_two"`
}

// Slopes fits a line to each row that all good runs have, and to each rate that one has. by names the figure that is
// the size: "" is the number of workers. Runs that are not good are left out.
func Slopes(reports []*Report, by string) ([]Slope, error) {
	type point struct {
		x float64
		r map[string]float64
	}
	var points []point
	one := 0.0
	sums, counts := make(map[float64]float64), make(map[float64]int)
	for _, r := range reports {
		if r.Exit != ExitGood {
			continue
		}
		f := r.figures()
		x := float64(r.Workers)
		if by != "" {
			v, ok := f[by]
			if !ok {
				return nil, fmt.Errorf("--by: no run has the row %q", by)
			}
			x = v
		}
		points = append(points, point{x, f})
		sums[r.Part] += x
		counts[r.Part]++
		one = max(one, float64(r.Workers)/r.Part)
	}
	if len(counts) < 2 {
		return nil, fmt.Errorf("%d good runs of %d sizes: a line needs two sizes", len(points), len(counts))
	}
	if by != "" {
		// The size at part 1 is that of the line through the parts.
		var parts, sizes []float64
		for part, sum := range sums {
			parts, sizes = append(parts, part), append(sizes, sum/float64(counts[part]))
		}
		a, b := stat.LinearRegression(parts, sizes, nil, false)
		one = a + b
	}
	// Of a rate that a run doesn't have, nothing happened in it.
	rows := make(map[string]float64)
	for _, p := range points {
		maps.Copy(rows, p.r)
	}
	for _, p := range points {
		maps.DeleteFunc(rows, func(k string, _ float64) bool {
			_, ok := p.r[k]
			return !ok && !strings.HasSuffix(k, " per s")
		})
	}
	var out []Slope
	for _, row := range slices.Sorted(maps.Keys(rows)) {
		var x, y []float64
		same := make(map[float64][]float64)
		for _, p := range points {
			x, y = append(x, p.x), append(y, p.r[row])
			same[p.x] = append(same[p.x], p.r[row])
		}
		a, b := stat.LinearRegression(x, y, nil, false)
		s := Slope{Row: row, Slope: b, Intercept: a, AtOne: a + b*one, AtTwo: a + 2*b*one}
		missed := 0.0
		for i := range x {
			d := y[i] - a - b*x[i]
			missed += d * d
		}
		if mean := stat.Mean(y, nil); mean != 0 {
			s.Residual = math.Sqrt(missed/float64(len(x))) / math.Abs(mean)
		}
		for _, at := range slices.Sorted(maps.Keys(same)) {
			v := same[at]
			mean := stat.Mean(v, nil)
			s.At, s.Means = append(s.At, at), append(s.Means, mean)
			if mean != 0 {
				s.Spread = max(s.Spread, (slices.Max(v)-slices.Min(v))/math.Abs(mean))
			}
		}
		out = append(out, s)
	}
	return out, nil
}

// PrintSlopes writes a table in Markdown.
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
		fmt.Fprintf(out, " at %s |", short(at))
	}
	fmt.Fprintf(out, " by %s | at 0 | at part 1 | at 2 | residual | spread |\n|%s\n", by, strings.Repeat(" --- |", len(slopes[0].At)+7))
	for _, s := range slopes {
		fmt.Fprintf(out, "| %s |", s.Row)
		for _, v := range s.Means {
			fmt.Fprintf(out, " %s |", short(v))
		}
		fmt.Fprintf(out, " %s | %s | %s | %s | %.0f%% | %.0f%% |\n", short(s.Slope), short(s.Intercept), short(s.AtOne), short(s.AtTwo), s.Residual*100, s.Spread*100)
	}
}

// short is a number with three figures.
func short(v float64) string {
	if math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// Compare writes what two runs have shown side by side: verdicts, and each figure that
// differs by at least a share of the first.
func Compare(out io.Writer, a, b *Report, least float64) {
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
			return short(v)
		}
		if inA && inB && math.Abs(vb-va) < least*math.Abs(va) || va == vb && inA && inB {
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
	fmt.Fprintf(out, "%d figures differ by less than %g of A\n", same, least)
	for _, r := range []*Report{a, b} {
		for _, why := range r.Reasons {
			fmt.Fprintf(out, "%s: %s\n", name(r), why)
		}
	}
}
