package scale

import (
	"fmt"
	"image/color"
	"maps"
	"path/filepath"
	"runtime"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

func processors() int { return runtime.NumCPU() }

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// curve is one line of a plot.
type curve struct {
	name   string
	points plotter.XYs
}

// plotFile is one plot of a run.
type plotFile struct {
	file, title, unit string
	curves            []curve
}

// curvesByName are curves whose points are added by name.
type curvesByName map[string]*curve

// add adds a point at the second t to the curve of each value.
func (m curvesByName) add(t int, values map[string]float64) {
	for name, v := range values {
		if m[name] == nil {
			m[name] = &curve{name: name}
		}
		m[name].points = append(m[name].points, plotter.XY{X: float64(t), Y: v})
	}
}

// sorted returns the curves, sorted by name.
func (m curvesByName) sorted() (list []curve) {
	for _, name := range slices.Sorted(maps.Keys(m)) {
		list = append(list, *m[name])
	}
	return list
}

// writePlots writes the plots of the run into a folder.
func (r *Report) writePlots(dir string) error {
	if len(r.Seconds) < 2 {
		return nil
	}
	for _, p := range append(r.plotsOfSeconds(), r.plotsOfSeries()...) {
		if err := r.writePlot(filepath.Join(dir, p.file), p.title, p.unit, p.curves); err != nil {
			return fmt.Errorf("%s: %w", p.file, err)
		}
	}
	return nil
}

// plotsOfSeconds returns the plots of what is measured each second.
func (r *Report) plotsOfSeconds() []plotFile {
	starts, running := curve{name: "starts a second"}, curve{name: "tasks running"}
	cpu, rss, regions := curvesByName{}, curvesByName{}, curvesByName{}
	for _, s := range r.Seconds {
		starts.points = append(starts.points, plotter.XY{X: float64(s.T), Y: float64(s.Starts)})
		if s.CPU != nil {
			running.points = append(running.points, plotter.XY{X: float64(s.T), Y: float64(s.Running)})
		}
		cpu.add(s.T, s.CPU)
		rss.add(s.T, s.RSS)
		regions.add(s.T, s.Regions)
	}
	return []plotFile{
		{"starts.svg", "Starts of tasks", "a second", []curve{starts}},
		{"running.svg", "Tasks on machines", "tasks", []curve{running}},
		{"regions.svg", "Tasks that run, by region, as the workers say", "tasks", regions.sorted()},
		{"processor.svg", "Processor time by role, all its processes", "cores", cpu.sorted()},
		{"memory.svg", "Memory by role, all its processes", "MB", rss.sorted()},
	}
}

// plotsOfSeries returns the plots of the waits of each class and of submissions.
func (r *Report) plotsOfSeries() (plots []plotFile) {
	for _, name := range slices.Sorted(maps.Keys(r.Series)) {
		class, isWait := strings.CutSuffix(name, " wait")
		if !isWait && name != "submit" {
			continue
		}
		title := "Waits of " + class + " without the image's fetch"
		if !isWait {
			title = "Submissions, from due to answered"
		}
		p50, p99, p999 := curve{name: "p50"}, curve{name: "p99"}, curve{name: "p99.9"}
		for _, s := range r.Series[name] {
			t := float64(s.T) + spanS/2.0
			p50.points = append(p50.points, plotter.XY{X: t, Y: s.P50 / 1000})
			p99.points = append(p99.points, plotter.XY{X: t, Y: s.P99 / 1000})
			p999.points = append(p999.points, plotter.XY{X: t, Y: s.P999 / 1000})
		}
		plots = append(plots, plotFile{strings.ReplaceAll(name, " ", "-") + ".svg", title, "s, by when it was due", []curve{p50, p99, p999}})
	}
	return plots
}

// writePlot draws curves over the time of the run, with a vertical line at each injected fault.
func (r *Report) writePlot(path, title, unit string, curves []curve) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s (%s, part %g)", title, r.Name, r.Part)
	p.X.Label.Text, p.Y.Label.Text = "seconds of the run", unit
	p.Y.Min = 0
	p.Legend.Top = true
	top := 0.0
	for i, c := range curves {
		if len(c.points) == 0 {
			continue
		}
		for _, xy := range c.points {
			top = max(top, xy.Y)
		}
		l, err := plotter.NewLine(c.points)
		if err != nil {
			return err
		}
		l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(i/7)
		p.Add(l)
		if len(curves) > 1 {
			p.Legend.Add(c.name, l)
		}
	}
	for _, f := range r.Faults {
		l, err := plotter.NewLine(plotter.XYs{{X: f.T, Y: 0}, {X: f.T, Y: max(top, 1e-9)}})
		if err != nil {
			return err
		}
		l.Color, l.Dashes = color.Gray{150}, []vg.Length{vg.Points(2), vg.Points(2)}
		p.Add(l)
	}
	p.Add(plotter.NewGrid())
	return p.Save(plotWidth, plotHeight, path)
}
