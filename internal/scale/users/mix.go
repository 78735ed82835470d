// Package users is the load of a scale run: users that submit jobs at set rates, however
// slow the answers are, ask about them, and cancel some.
package users

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"mapleslip/internal/protocol"
)

// Class is a class of jobs of the mix. Times are in seconds.
type Class struct {
	Name          string       `toml:"name"`
	Kind          string       `toml:"kind"` // array, gang or service
	Rank          string       `toml:"rank"` // critical, high, standard or low
	CPUs          float64      `toml:"cpus"`
	GPUs          float64      `toml:"gpus"`
	MemoryGB      float64      `toml:"memory_gb"`
	Types         []string     `toml:"types"` // empty: any
	Tasks         Distribution `toml:"tasks"`
	RunS          Distribution `toml:"run_s"` // of a task; a service's is the time after which its user cancels it
	Initial       int          `toml:"initial"`
	Rate          float64      `toml:"rate"` // jobs a second
	Images        Images       `toml:"images"`
	EstimateError float64      `toml:"estimate_error"` // standard deviation of the logarithm of estimate by run time
	Cancelled     float64      `toml:"cancelled"`      // share of the jobs that their users cancel early
	Spread        bool         `toml:"spread"`
	OneZone       bool         `toml:"one_zone"`
	Spot          bool         `toml:"spot"`
	CheckpointS   float64      `toml:"checkpoint_s"`
	SaveS         float64      `toml:"save_s"`
}

// Distribution is one of sizes with weights, or a logarithmic normal one that is cut off.
type Distribution struct {
	Sizes   []float64 `toml:"sizes" json:",omitempty"`
	Weights []float64 `toml:"weights" json:",omitempty"`
	Median  float64   `toml:"median"`
	P95     float64   `toml:"p95"`
	Max     float64   `toml:"max"`
}

// Images are those of a class: Count of them, drawn by Zipf's law.
type Images struct {
	Count int          `toml:"count"`
	GB    Distribution `toml:"gb"`
	Zipf  float64      `toml:"zipf"`
}

// Change multiplies rates for a while. Times are in seconds from the load's beginning.
type Change struct {
	AtS     float64  `toml:"at_s"`
	ForS    float64  `toml:"for_s"`
	Factor  float64  `toml:"factor"`
	Classes []string `toml:"classes"` // empty: all
}

// Plan is what the part is told of the load.
type Plan struct {
	BeginUS, DurationUS, SettleUS, FillUS, PollUS int64
	MaxConnections                                int
	Teams, Regions                                []string
	Classes                                       []Class
	Changes                                       []Change
	Sources                                       map[string]string // region to the IP that its users call from
	Strangers                                     float64           // questions a second about jobs that nobody submitted
	Operators                                     *Operators        // nil: the configuration stays
	Bounds                                        Bounds            // of what they change
}

var (
	kinds = map[string]protocol.JobKind{"array": protocol.Array, "gang": protocol.Gang, "service": protocol.Service}
	ranks = map[string]protocol.Priority{"critical": protocol.PriorityCritical, "high": protocol.PriorityHigh, "standard": protocol.PriorityStandard, "low": protocol.PriorityLow}
)

// check says what is wrong with a distribution of values from low to high.
func (d *Distribution) check(low, high float64) string {
	if len(d.Sizes) > 0 {
		if len(d.Weights) != len(d.Sizes) {
			return "must have as many weights as sizes"
		}
		sum := 0.0
		for i, v := range d.Sizes {
			if !(v >= low && v <= high) || !(d.Weights[i] >= 0) {
				return fmt.Sprintf("sizes must be from %g to %g, weights not negative", low, high)
			}
			sum += d.Weights[i]
		}
		if !(sum > 0) {
			return "weights must not all be 0"
		}
		return ""
	}
	if !(d.Median >= low && d.P95 >= d.Median && d.Max >= d.P95 && d.Max <= high && d.Median > 0) {
		return fmt.Sprintf("needs sizes and weights, or median, p95 and max, rising from %g to %g", low, high)
	}
	return ""
}

// normal95 is the 95th percentile of the normal distribution.
const normal95 = 1.6449

func (d *Distribution) draw(r *rand.Rand) float64 {
	if len(d.Sizes) > 0 {
		sum := 0.0
		for _, w := range d.Weights {
			sum += w
		}
		at := r.Float64() * sum
		for i, w := range d.Weights {
			if at -= w; at < 0 {
				return d.Sizes[i]
			}
		}
		return d.Sizes[len(d.Sizes)-1]
	}
	sigma := math.Log(d.P95/d.Median) / normal95
	return min(d.Max, d.Median*math.Exp(sigma*r.NormFloat64()))
}

// Largest is the largest value that can be drawn.
func (d *Distribution) Largest() float64 {
	if len(d.Sizes) > 0 {
		return slices.Max(d.Sizes)
	}
	return d.Max
}

// Check finds the first value that is impossible, given the names of machine types.
func (c *Class) Check(types []string) *protocol.KeyError {
	bad := func(key, problem string) *protocol.KeyError { return &protocol.KeyError{Key: key, Problem: problem} }
	if c.Name == "" || len(c.Name) > 100 {
		return bad("name", "missing or too long")
	}
	if _, ok := kinds[c.Kind]; !ok {
		return bad("kind", "must be array, gang or service")
	}
	if _, ok := ranks[c.Rank]; !ok {
		return bad("rank", "must be critical, high, standard or low")
	}
	for _, t := range c.Types {
		if !slices.Contains(types, t) {
			return bad("types", fmt.Sprintf("%q is no machine type", t))
		}
	}
	for _, d := range []struct {
		key       string
		d         *Distribution
		low, high float64
	}{{"tasks", &c.Tasks, 1, protocol.MaxTasks}, {"run_s", &c.RunS, 0.001, 1e6}, {"images.gb", &c.Images.GB, 0, 10000}} {
		if problem := d.d.check(d.low, d.high); problem != "" {
			return bad(d.key, problem)
		}
	}
	for _, n := range []struct {
		key          string
		v, low, high float64
	}{
		{"cpus", c.CPUs, 0.001, 1e4},
		{"gpus", c.GPUs, 0, 1e4},
		{"memory_gb", c.MemoryGB, 0, 1e6},
		{"initial", float64(c.Initial), 0, 1e6},
		{"rate", c.Rate, 0, 1e5},
		{"images.count", float64(c.Images.Count), 1, 1e6},
		{"images.zipf", c.Images.Zipf, 0, 10},
		{"estimate_error", c.EstimateError, 0, 3},
		{"cancelled", c.Cancelled, 0, 1},
		{"checkpoint_s", c.CheckpointS, 0, 1e6},
		{"save_s", c.SaveS, 0, 1e6},
	} {
		if !(n.v >= n.low && n.v <= n.high) {
			return bad(n.key, fmt.Sprintf("must be from %g to %g", n.low, n.high))
		}
	}
	return nil
}

// job is one that was drawn. Times are microseconds.
type job struct {
	spec     *protocol.JobSpec
	class    int
	region   string
	due      int64
	run      int64
	cancelAt int64 // after due; 0: its user doesn't cancel it
}

// drawer draws jobs, the same ones for a seed.
type drawer struct {
	plan   *Plan
	r      *rand.Rand
	seed   uint64
	drawn  uint64
	images [][]float64 // of each class: sizes
	ranked [][]float64 // of each class: sums of the images' weights
}

func newDrawer(p *Plan, seed uint64) *drawer {
	d := &drawer{plan: p, seed: seed, r: rand.New(rand.NewPCG(seed, 0x5ca1e))}
	for _, c := range p.Classes {
		var sizes, sums []float64
		sum := 0.0
		for i := range c.Images.Count {
			sizes = append(sizes, c.Images.GB.draw(d.r))
			sum += math.Pow(float64(i+1), -c.Images.Zipf)
			sums = append(sums, sum)
		}
		d.images, d.ranked = append(d.images, sizes), append(d.ranked, sums)
	}
	return d
}

// ref is a job's name. Names come in no order: the factor has no divisor in common
// with their number.
func (d *drawer) ref() string {
	d.drawn++
	return fmt.Sprintf("req-%09d", (d.drawn*736338717+d.seed%1000*1000003)%1_000_000_000)
}

// micros turns seconds into microseconds.
func micros(s float64) int64 { return int64(math.Round(s * 1e6)) }

// draw draws a job of a class.
func (d *drawer) draw(class int, due int64) *job {
	c := &d.plan.Classes[class]
	sums := d.ranked[class]
	at := d.r.Float64() * sums[len(sums)-1]
	image, _ := slices.BinarySearch(sums, at)
	image = min(image, len(sums)-1)
	run := c.RunS.draw(d.r)
	thousandths := func(v float64) int64 { return int64(math.Round(v * 1000)) }
	s := &protocol.JobSpec{
		Ref: d.ref(), Class: c.Name, Team: d.plan.Teams[d.r.IntN(len(d.plan.Teams))], Kind: kinds[c.Kind], Priority: ranks[c.Rank],
		Tasks:         int(math.Round(c.Tasks.draw(d.r))),
		TaskResources: protocol.Resources{CPU: thousandths(c.CPUs), GPU: thousandths(c.GPUs), Memory: thousandths(c.MemoryGB)},
		Image:         fmt.Sprintf("%s-%d", c.Name, image), ImageSize: max(1, thousandths(d.images[class][image])), MachineTypes: c.Types,
		SingleZone: c.OneZone, SpreadZones: c.Spread, AllowSpot: c.Spot,
		CheckpointInterval: protocol.FromSeconds(c.CheckpointS), CheckpointDuration: protocol.FromSeconds(c.SaveS),
	}
	j := &job{spec: s, class: class, region: d.plan.Regions[d.r.IntN(len(d.plan.Regions))], due: due, run: micros(run)}
	noise := math.Exp(c.EstimateError * d.r.NormFloat64())
	early := d.r.Float64() < c.Cancelled
	when := d.r.Float64()
	if s.Kind == protocol.Service {
		j.run, j.cancelAt = 0, micros(run)
	} else {
		s.EstimatedRuntime = protocol.Micros(max(1000, micros(run*noise)))
	}
	if early {
		j.cancelAt = max(1, micros(run*when))
	}
	return j
}

// rate is that of a class at a time, jobs a microsecond.
func (p *Plan) rate(class int, at int64) float64 {
	c := &p.Classes[class]
	rate := c.Rate / 1e6
	for _, ch := range p.Changes {
		if from := micros(ch.AtS); at >= from && at < from+micros(ch.ForS) && (len(ch.Classes) == 0 || slices.Contains(ch.Classes, c.Name)) {
			rate *= ch.Factor
		}
	}
	return rate
}

// arrivals draws when the jobs of a class come, from the load's beginning on: the first
// ones evenly over the time in which the deployment fills, and a Poisson process beside
// them whose rate changes. Arrivals at the highest rate are thinned out to the rate of
// their time.
func (d *drawer) arrivals(class int) []int64 {
	c := &d.plan.Classes[class]
	var at []int64
	for i := range c.Initial {
		at = append(at, d.plan.FillUS*int64(i)/int64(c.Initial))
	}
	highest := d.plan.rate(class, 0)
	for _, ch := range d.plan.Changes {
		highest = max(highest, d.plan.rate(class, micros(ch.AtS)))
	}
	// A change may end within another one: the product of all is a bound.
	bound := c.Rate / 1e6
	for _, ch := range d.plan.Changes {
		bound *= max(1, ch.Factor)
	}
	if highest = max(highest, bound); highest <= 0 {
		return at
	}
	for t := d.r.ExpFloat64() / highest; t < float64(d.plan.DurationUS); t += d.r.ExpFloat64() / highest {
		if d.r.Float64()*highest < d.plan.rate(class, int64(t)) {
			at = append(at, int64(t))
		}
	}
	slices.Sort(at)
	return at
}

// jobs draws all jobs of a run in the order in which they are due.
func (d *drawer) jobs() []*job {
	var all []*job
	for class := range d.plan.Classes {
		for _, at := range d.arrivals(class) {
			all = append(all, d.draw(class, d.plan.BeginUS+at))
		}
	}
	slices.SortStableFunc(all, func(a, b *job) int { return int(max(-1, min(1, a.due-b.due))) })
	return all
}

// ParsePlan reads the plan that the part was told.
func ParsePlan(text json.RawMessage) (*Plan, error) {
	p := new(Plan)
	if err := json.Unmarshal(text, p); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	if len(p.Teams) == 0 || len(p.Regions) == 0 || p.PollUS <= 0 {
		return nil, fmt.Errorf("load: teams, regions or polls are missing")
	}
	return p, nil
}
