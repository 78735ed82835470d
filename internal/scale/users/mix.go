// Package users generates the load of a scale run. Simulated users submit jobs at configured
// rates, however slow the answers are, query their state and cancel some of them. Simulated
// operators change the configuration.
package users

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"mapleslip/internal/protocol"
)

// Class is a class of jobs in the mix. Times are in seconds.
type Class struct {
	Name          string       `toml:"name"`
	Kind          string       `toml:"kind"` // array, gang or service
	Rank          string       `toml:"rank"` // critical, high, standard or low
	CPUs          float64      `toml:"cpus"`
	GPUs          float64      `toml:"gpus"`
	MemoryGB      float64      `toml:"memory_gb"`
	Types         []string     `toml:"types"` // empty: any
	Tasks         Distribution `toml:"tasks"`
	RunS          Distribution `toml:"run_s"` // of a task; for a service, time until its user cancels it
	Initial       int          `toml:"initial"`
	Rate          float64      `toml:"rate"` // jobs per second
	Images        Images       `toml:"images"`
	EstimateError float64      `toml:"estimate_error"` // standard deviation of log(estimate / run time)
	Cancelled     float64      `toml:"cancelled"`      // share of the jobs that their users cancel early
	Spread        bool         `toml:"spread"`
	OneZone       bool         `toml:"one_zone"`
	Spot          bool         `toml:"spot"`
	CheckpointS   float64      `toml:"checkpoint_s"`
	SaveS         float64      `toml:"save_s"`
}

// Distribution is a discrete distribution of sizes with weights, or a log-normal distribution
// whose values are limited to Max.
type Distribution struct {
	Sizes   []float64 `toml:"sizes" json:",omitempty"`
	Weights []float64 `toml:"weights" json:",omitempty"`
	Median  float64   `toml:"median"`
	P95     float64   `toml:"p95"`
	Max     float64   `toml:"max"`
}

// Images describes the images of a class: Count images, which jobs use by Zipf's law.
type Images struct {
	Count int          `toml:"count"`
	GB    Distribution `toml:"gb"`
	Zipf  float64      `toml:"zipf"`
}

// Change multiplies arrival rates for a period. Times are in seconds from the load's beginning.
type Change struct {
	AtS     float64  `toml:"at_s"`
	ForS    float64  `toml:"for_s"`
	Factor  float64  `toml:"factor"`
	Classes []string `toml:"classes"` // empty: all
}

// Plan is the load as the supervisor sends it to the part. Names with the suffix US are times in
// microseconds.
type Plan struct {
	BeginUS, DurationUS, SettleUS, FillUS, PollUS int64
	MaxConnections                                int
	Teams, Regions                                []string
	Classes                                       []Class
	Changes                                       []Change
	Sources                                       map[string]string // source IP of a region's users, by region
	Strangers                                     float64           // queries per second for jobs that don't exist
	Operators                                     *Operators        // nil: the configuration is not changed
	Bounds                                        Bounds            // of the operators' changes
}

var (
	kinds = map[string]protocol.JobKind{"array": protocol.Array, "gang": protocol.Gang, "service": protocol.Service}
	ranks = map[string]protocol.Priority{"critical": protocol.PriorityCritical, "high": protocol.PriorityHigh, "standard": protocol.PriorityStandard, "low": protocol.PriorityLow}
)

// check returns the problem of a distribution whose values have to be from low to high, or an
// empty string.
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

// Largest returns the largest value that can be drawn.
func (d *Distribution) Largest() float64 {
	if len(d.Sizes) > 0 {
		return slices.Max(d.Sizes)
	}
	return d.Max
}

// Check returns the first invalid value, or nil. types contains the names of the machine types.
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

// job is a generated job. Times are in microseconds.
type job struct {
	spec     *protocol.JobSpec
	class    int
	region   string
	due      int64
	run      int64
	cancelAt int64 // time after due at which its user cancels it, 0 if its user doesn't
}

// jobGenerator generates jobs. The same seed gives the same jobs.
type jobGenerator struct {
	plan       *Plan
	rng        *rand.Rand
	seed       uint64
	generated  uint64
	images     [][]float64 // sizes of the images of each class
	weightSums [][]float64 // cumulative weights of the images of each class
}

func newJobGenerator(p *Plan, seed uint64) *jobGenerator {
	g := &jobGenerator{plan: p, seed: seed, rng: rand.New(rand.NewPCG(seed, 0x5ca1e))}
	for _, c := range p.Classes {
		var sizes, sums []float64
		sum := 0.0
		for i := range c.Images.Count {
			sizes = append(sizes, c.Images.GB.draw(g.rng))
			sum += math.Pow(float64(i+1), -c.Images.Zipf)
			sums = append(sums, sum)
		}
		g.images, g.weightSums = append(g.images, sizes), append(g.weightSums, sums)
	}
	return g
}

// nextRef returns the name of the next job. Names are unique but not ascending: the factor has
// no divisor in common with the number of names.
func (g *jobGenerator) nextRef() string {
	g.generated++
	return fmt.Sprintf("req-%09d", (g.generated*736338717+g.seed%1000*1000003)%1_000_000_000)
}

// micros converts seconds to microseconds.
func micros(s float64) int64 { return int64(math.Round(s * 1e6)) }

// drawJob generates a job of a class.
func (g *jobGenerator) drawJob(class int, due int64) *job {
	c := &g.plan.Classes[class]
	sums := g.weightSums[class]
	at := g.rng.Float64() * sums[len(sums)-1]
	image, _ := slices.BinarySearch(sums, at)
	image = min(image, len(sums)-1)
	run := c.RunS.draw(g.rng)
	thousandths := func(v float64) int64 { return int64(math.Round(v * 1000)) }
	s := &protocol.JobSpec{
		Ref: g.nextRef(), Class: c.Name, Team: g.plan.Teams[g.rng.IntN(len(g.plan.Teams))], Kind: kinds[c.Kind], Priority: ranks[c.Rank],
		Tasks:         int(math.Round(c.Tasks.draw(g.rng))),
		TaskResources: protocol.Resources{CPU: thousandths(c.CPUs), GPU: thousandths(c.GPUs), Memory: thousandths(c.MemoryGB)},
		Image:         fmt.Sprintf("%s-%d", c.Name, image), ImageSize: max(1, thousandths(g.images[class][image])), MachineTypes: c.Types,
		SingleZone: c.OneZone, SpreadZones: c.Spread, AllowSpot: c.Spot,
		CheckpointInterval: protocol.FromSeconds(c.CheckpointS), CheckpointDuration: protocol.FromSeconds(c.SaveS),
	}
	j := &job{spec: s, class: class, region: g.plan.Regions[g.rng.IntN(len(g.plan.Regions))], due: due, run: micros(run)}
	noise := math.Exp(c.EstimateError * g.rng.NormFloat64())
	cancelEarly := g.rng.Float64() < c.Cancelled
	cancelPoint := g.rng.Float64()
	if s.Kind == protocol.Service {
		j.run, j.cancelAt = 0, micros(run)
	} else {
		s.EstimatedRuntime = protocol.Micros(max(1000, micros(run*noise)))
	}
	if cancelEarly {
		j.cancelAt = max(1, micros(run*cancelPoint))
	}
	return j
}

// rate returns the arrival rate of a class at a time after the load's beginning, in jobs per
// microsecond.
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

// arrivals returns the times at which the jobs of a class arrive, from the load's beginning on.
// The initial jobs are spread evenly over the time in which the deployment fills. The others
// arrive by a Poisson process whose rate changes: arrivals are drawn at the highest rate and
// thinned out to the rate at their time.
func (g *jobGenerator) arrivals(class int) []int64 {
	c := &g.plan.Classes[class]
	var at []int64
	for i := range c.Initial {
		at = append(at, g.plan.FillUS*int64(i)/int64(c.Initial))
	}
	highest := g.plan.rate(class, 0)
	for _, ch := range g.plan.Changes {
		highest = max(highest, g.plan.rate(class, micros(ch.AtS)))
	}
	// A change that lowers the rate may end within another one, so that the rate is highest at
	// no change's beginning. The product of all factors above 1 is an upper bound.
	bound := c.Rate / 1e6
	for _, ch := range g.plan.Changes {
		bound *= max(1, ch.Factor)
	}
	if highest = max(highest, bound); highest <= 0 {
		return at
	}
	for t := g.rng.ExpFloat64() / highest; t < float64(g.plan.DurationUS); t += g.rng.ExpFloat64() / highest {
		if g.rng.Float64()*highest < g.plan.rate(class, int64(t)) {
			at = append(at, int64(t))
		}
	}
	slices.Sort(at)
	return at
}

// jobs generates all jobs of a run, in the order in which they are due.
func (g *jobGenerator) jobs() []*job {
	var all []*job
	for class := range g.plan.Classes {
		for _, at := range g.arrivals(class) {
			all = append(all, g.drawJob(class, g.plan.BeginUS+at))
		}
	}
	slices.SortStableFunc(all, func(a, b *job) int { return int(max(-1, min(1, a.due-b.due))) })
	return all
}

// ParsePlan parses the plan that the supervisor has sent to the part.
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
