package scale

import (
	"cmp"
	"context"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/checker"
	"mapleslip/internal/scale/wire"
)

// sample is what was seen at a time of all processes.
type sample struct {
	at      int64
	usage   map[*process]usage
	scraped map[string]*scrape // by controller
	busy    time.Duration      // of the machine, since its start
	all     time.Duration
}

// scrape is what a controller's metrics said.
type scrape struct {
	role    string
	calls   map[string]float64 // service, kind and outcome
	steps   map[string]float64 // events handled, by kind
	stepS   map[string]float64 // seconds in all, by kind
	refused map[string]float64
	other   map[string]float64             // gauges and counters without labels
	times   map[string]map[float64]float64 // of steps and calls: how many took at most so many seconds
}

// sampler looks at processes once a second.
type sampler struct {
	client http.Client
	count  int
}

// socketsEvery is how often sockets are counted, in samples: it takes a look at each.
const socketsEvery = 5

func (s *sampler) take(procs []*process, telemetry map[string]string) *sample {
	out := &sample{at: wire.Now(), usage: make(map[*process]usage), scraped: make(map[string]*scrape)}
	withSockets := s.count%socketsEvery == 0
	s.count++
	for _, p := range procs {
		if u, err := readUsage(p.pid, withSockets); err == nil && !p.over() {
			out.usage[p] = u
		}
	}
	out.busy, out.all = machineTime()
	var mu sync.Mutex
	var all sync.WaitGroup
	for name, addr := range telemetry {
		all.Go(func() {
			if got := s.scrape(addr); got != nil {
				mu.Lock()
				out.scraped[name] = got
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return out
}

// scrape reads a controller's metrics; nil: it doesn't answer.
func (s *sampler) scrape(addr string) *scrape {
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/metrics", nil)
	if err != nil {
		return nil
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil
	}
	out := &scrape{calls: make(map[string]float64), steps: make(map[string]float64), stepS: make(map[string]float64), refused: make(map[string]float64), other: make(map[string]float64), times: make(map[string]map[float64]float64)}
	buckets := func(what string, h *dto.Histogram) {
		by := map[float64]float64{math.Inf(1): float64(h.GetSampleCount())}
		for _, b := range h.Bucket {
			by[b.GetUpperBound()] = float64(b.GetCumulativeCount())
		}
		out.times[what] = by
	}
	for name, f := range families {
		for _, m := range f.Metric {
			var labels []string
			for _, l := range m.Label {
				labels = append(labels, l.GetValue())
			}
			label := strings.Join(labels, " ")
			value := 0.0
			switch {
			case m.Counter != nil:
				value = m.Counter.GetValue()
			case m.Gauge != nil:
				value = m.Gauge.GetValue()
			}
			switch {
			case name == "mapleslip_role" && value == 1:
				out.role = label
			case name == "mapleslip_calls_total":
				// Labels come in the order of their names: call, outcome, service.
				if len(labels) == 3 {
					label = labels[2] + " " + labels[0]
					if labels[1] != "200" {
						label += " " + labels[1]
					}
				}
				out.calls[label] += value
			case name == "mapleslip_step_seconds" && m.Histogram != nil:
				out.steps[label], out.stepS[label] = float64(m.Histogram.GetSampleCount()), m.Histogram.GetSampleSum()
				buckets(label, m.Histogram)
			case name == "mapleslip_call_seconds" && m.Histogram != nil && len(labels) == 2:
				buckets(labels[1]+" "+labels[0], m.Histogram)
			case name == "mapleslip_refused_total":
				out.refused[label] = value
			case len(labels) == 0 && strings.HasPrefix(name, "mapleslip_"):
				out.other[strings.TrimPrefix(name, "mapleslip_")] = value
			}
		}
	}
	return out
}

// longest is an upper bound of what was counted between two scrapes, seconds; 0: nothing
// was. It is the end of the highest bucket that grew.
func longest(now, before map[float64]float64) float64 {
	ends := slices.Sorted(maps.Keys(now))
	top, below := 0.0, 0.0
	for _, end := range ends {
		grown := now[end] - before[end]
		if grown > below {
			top, below = end, grown
		}
	}
	return top
}

// lastBucket is the end of the highest bucket that has one.
func lastBucket(times map[float64]float64) (end float64) {
	for b := range times {
		if !math.IsInf(b, 1) {
			end = max(end, b)
		}
	}
	return end
}

// Histograms are of microseconds, from 1 to an hour, with so many figures.
func newHistogram(figures int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, 3600_000_000, figures)
}

func record(h *hdrhistogram.Histogram, us int64) {
	_ = h.RecordValue(max(1, min(us, h.HighestTrackableValue())))
}

// latency keeps times of one kind, in all and by when they were due.
type latency struct {
	all    *hdrhistogram.Histogram
	spans  []*hdrhistogram.Histogram // of spanS seconds each
	within int64                     // at most that long, see Within
	good   int64
}

// spanS is how long a span of a latency's series is, seconds.
const spanS = 5

func newLatency() *latency { return &latency{all: newHistogram(3)} }

// add takes a time that was due at a second of the run; before warmup it counts in the
// series only.
func (l *latency) add(second int, us int64, counts bool) {
	if second < 0 {
		return
	}
	for len(l.spans) <= second/spanS {
		l.spans = append(l.spans, nil)
	}
	if l.spans[second/spanS] == nil {
		l.spans[second/spanS] = newHistogram(2) // there are many of them
	}
	record(l.spans[second/spanS], us)
	if counts {
		record(l.all, us)
		if us <= l.within {
			l.good++
		}
	}
}

// jobSeen is a job as the measurements need it.
type jobSeen struct {
	class     string
	due       int64
	cancelDue int64 // first request to cancel it
	tasks     int
	started   int
	ended     bool // cancelled, refused, or given up
	accepted  bool
}

// meter gathers what the report says.
type meter struct {
	began   int64 // of the load, wire time
	warmup  int64
	ends    int64 // of the load
	jobs    map[string]*jobSeen
	lat     map[string]*latency // submit, query, cancel, and of each class: command, fetch, wait
	aims    map[string]int64    // class to its shortest aim on waiting, microseconds
	peaks   [][2]int64          // spans in which rates are raised
	slowest map[string][]Slow   // by class
	cuts    []cut               // spans in which a region is apart
	seconds []Second
	samples []*sample
	gauges  map[string][]gauge // by part
	parts   map[string]*process
	peakRSS int64
}

// cut is a span in which a region is apart, microseconds.
type cut struct {
	region   string
	from, to int64
}

// gauge is what a part said of itself at a time.
type gauge struct {
	at     int64
	values map[string]float64
}

// Second is what happened in a second of the run, counted from the load's beginning.
type Second struct {
	T       int                `json:"t"`
	Starts  int                `json:"starts"`
	Running int                `json:"running"`
	Leader  string             `json:"leader,omitempty"`
	CPU     map[string]float64 `json:"cpu,omitempty"`     // cores by role, all its processes
	RSS     map[string]float64 `json:"rss_mb,omitempty"`  // by role, all its processes
	Busy    float64            `json:"busy,omitempty"`    // share of the machine's processors
	LagMS   float64            `json:"lag_ms,omitempty"`  // the largest that a part of the tool said
	Regions map[string]float64 `json:"regions,omitempty"` // tasks that run, as the workers say
}

func newMeter(f *File) *meter {
	m := &meter{jobs: make(map[string]*jobSeen), lat: make(map[string]*latency), aims: make(map[string]int64), gauges: make(map[string][]gauge), parts: make(map[string]*process), slowest: make(map[string][]Slow)}
	for _, a := range f.Aims {
		within := int64(protocol.FromSeconds(a.WithinS))
		if a.Kind == "wait" && (m.aims[a.Class] == 0 || within < m.aims[a.Class]) {
			m.aims[a.Class] = within
		}
	}
	return m
}

func (m *meter) begin(at int64, f *File) {
	us := func(s float64) int64 { return int64(protocol.FromSeconds(s)) }
	m.began, m.warmup, m.ends = at, at+us(f.WarmupS), at+us(f.DurationS)
	for _, l := range f.Load {
		if l.Factor > 1 {
			m.peaks = append(m.peaks, [2]int64{at + us(l.AtS), at + us(l.AtS+l.ForS)})
		}
	}
	for _, t := range f.Faults {
		if t.Kind == FaultRegionCut {
			m.cuts = append(m.cuts, cut{t.Region, at + us(t.AtS), at + us(t.AtS+t.ForS)})
		}
	}
}

// second is the second of the run in which a time is; -1: before the load.
func (m *meter) second(at int64) int {
	if m.began == 0 || at < m.began {
		return -1
	}
	return int((at - m.began) / int64(protocol.Second))
}

func (m *meter) at(second int) *Second {
	if second < 0 {
		return &Second{}
	}
	for len(m.seconds) <= second {
		m.seconds = append(m.seconds, Second{T: len(m.seconds)})
	}
	return &m.seconds[second]
}

func (m *meter) latency(name string) *latency {
	l := m.lat[name]
	if l == nil {
		l = newLatency()
		m.lat[name] = l
	}
	return l
}

func (m *meter) counts(due int64) bool { return due >= m.warmup && due < m.ends }

// add takes a time of something that was due. If the load has a peak, what was due in it
// is counted by itself as well, and so is the rest.
func (m *meter) add(name string, due, us int64, counts bool) {
	names := []string{name}
	if len(m.peaks) > 0 {
		part := ", rest"
		for _, p := range m.peaks {
			if due >= p[0] && due < p[1] {
				part = ", peak"
			}
		}
		names = append(names, name+part)
	}
	class, _, wait := strings.Cut(name, " wait")
	for i, n := range names {
		if i > 0 && !counts {
			continue
		}
		l := m.latency(n)
		if wait {
			l.within = m.aims[class]
		}
		l.add(m.second(due), us, counts)
	}
}

// addChange takes a time of a change of the configuration. What was due while a region is
// apart, in it or elsewhere, in a peak, and at rest, is counted by itself as well.
func (m *meter) addChange(name, region string, due, us int64) {
	part := "at rest"
	for _, p := range m.peaks {
		if due >= p[0] && due < p[1] {
			part = "peak"
		}
	}
	for _, c := range m.cuts {
		if due >= c.from && due < c.to {
			if part = "a region apart"; region == c.region {
				part = "in the region apart"
				break
			}
		}
	}
	counts := m.counts(due)
	m.latency(name).add(m.second(due), us, counts)
	if counts {
		m.latency(name+", "+part).add(m.second(due), us, true)
	}
}

// take looks at a part's message for what is measured.
func (m *meter) take(p *process, msg *wire.Message) {
	switch msg.Kind {
	case wire.Submit:
		for _, body := range msg.Specs {
			if s, err := protocol.ParseJob(body); err == nil {
				m.jobs[s.Ref] = &jobSeen{class: s.Class, due: msg.Due, tasks: s.Tasks}
			}
		}
	case wire.Answer:
		j := m.jobs[msg.Ref]
		switch {
		case msg.Op == "query" && msg.Status == 200:
			m.add("query", msg.Due, msg.At-msg.Due, m.counts(msg.Due))
		case msg.Op == "config" && msg.Phase == "made":
			m.addChange("config change", msg.Region, msg.Due, msg.At-msg.Due)
		case msg.Op == "config" && msg.Phase == "in_force":
			m.addChange("config in force", msg.Region, msg.Due, msg.At-msg.Due)
			m.addChange("config in force, after made", msg.Region, msg.Due, msg.At-msg.Run)
		case j == nil:
		case msg.Op == "submit" && (msg.Status == 200 || msg.Status == 201):
			if !j.accepted {
				m.add("submit", j.due, msg.At-j.due, m.counts(j.due))
			}
			j.accepted = true
		case msg.Op == "submit" && (msg.Status == 400 || msg.Status == 422):
			j.ended = true
		case msg.Op == "cancel" && msg.Status == 200:
			m.add("cancel", j.cancelDue, msg.At-j.cancelDue, m.counts(j.cancelDue))
		}
	case wire.Cancel:
		if j := m.jobs[msg.Ref]; j != nil {
			j.ended = true // what has not started by now needn't
			j.cancelDue = msg.Due
		}
	case wire.Gauge:
		m.gauges[p.name] = append(m.gauges[p.name], gauge{msg.At, msg.Values})
		m.parts[p.name] = p
		if s := m.at(m.second(msg.At)); s.LagMS < msg.Values["lag_ms_max"] {
			s.LagMS = msg.Values["lag_ms_max"]
		}
	}
}

// start takes a task that began, or a gang.
func (m *meter) start(s checker.Start) {
	m.at(m.second(s.At)).Starts += max(1, s.Tasks)
	if s.Again || s.Spec == nil {
		return
	}
	if j := m.jobs[s.Spec.Ref]; j != nil {
		j.started += max(1, s.Tasks)
	}
	wait := max(0, s.At-s.Due-s.Fetch)
	m.add(s.Spec.Class+" wait", s.Due, wait, m.counts(s.Due))
	if m.counts(s.Due) {
		m.slow(s.Spec.Class, Slow{s.Task, float64(s.Due-m.began) / 1e6, float64(wait) / 1e6})
	}
	m.add(s.Spec.Class+" fetch", s.Due, s.Fetch, m.counts(s.Due) && s.Fetch > 0)
	if s.Asked > 0 {
		m.add(s.Spec.Class+" command", s.Due, max(0, s.Asked-s.Due), m.counts(s.Due))
	}
}

// Slow is a task that waited long.
type Slow struct {
	Task  string  `json:"task"`
	DueT  float64 `json:"due_t"` // seconds of the run
	WaitS float64 `json:"wait_s"`
}

// mostSlow is how many of a class are kept.
const mostSlow = 5

// slow keeps the tasks of a class that waited longest.
func (m *meter) slow(class string, s Slow) {
	list := m.slowest[class]
	at, _ := slices.BinarySearchFunc(list, s, func(a, b Slow) int { return cmp.Compare(b.WaitS, a.WaitS) })
	if at < mostSlow {
		list = slices.Insert(list, at, s)
		m.slowest[class] = list[:min(len(list), mostSlow)]
	}
}

// rest counts what has not started by the end as having waited until then.
func (m *meter) rest(end int64) (unstarted map[string]int) {
	unstarted = make(map[string]int)
	for _, j := range m.jobs {
		if j.ended || !m.counts(j.due) {
			continue
		}
		for range j.tasks - j.started {
			m.add(j.class+" wait", j.due, end-j.due, true)
		}
		if n := j.tasks - j.started; n > 0 {
			unstarted[j.class] += n
		}
	}
	return unstarted
}

// leaderOf is the controller that leads, as it says itself.
func leaderOf(scraped map[string]*scrape) string {
	for _, name := range slices.Sorted(maps.Keys(scraped)) {
		if scraped[name].role == "leading" {
			return name
		}
	}
	return ""
}

// sampled takes a look at all processes, and says how much memory they take.
func (m *meter) sampled(s *sample, running int) (rss int64) {
	for _, u := range s.usage {
		rss += u.rss
	}
	m.peakRSS = max(m.peakRSS, rss)
	if m.began == 0 || s.at < m.began {
		return rss
	}
	sec := m.at(m.second(s.at))
	sec.Running, sec.Leader = running, leaderOf(s.scraped)
	sec.CPU, sec.RSS, sec.Regions = make(map[string]float64), make(map[string]float64), make(map[string]float64)
	for name, list := range m.gauges {
		if p := m.parts[name]; p.role == wire.RoleHollow || p.role == wire.RoleWorker {
			sec.Regions[p.region] += list[len(list)-1].values["tasks_running"]
		}
	}
	for p, u := range s.usage {
		sec.RSS[roleIn(p, sec.Leader)] += float64(u.rss) / 1e6
	}
	if n := len(m.samples); n > 0 {
		before := m.samples[n-1]
		if span := float64(s.at-before.at) / 1e6; span > 0 {
			for p, u := range s.usage {
				if was, ok := before.usage[p]; ok {
					sec.CPU[roleIn(p, sec.Leader)] += (u.cpu - was.cpu).Seconds() / span
				}
			}
			if all := s.all - before.all; all > 0 {
				sec.Busy = float64(s.busy-before.busy) / float64(all)
			}
		}
	}
	m.samples = append(m.samples, s)
	return rss
}

// roleIn is a process's role in a second: of the controllers, one leads.
func roleIn(p *process, leader string) string {
	if p.role == roleController && p.name == leader {
		return "leader"
	}
	return p.role
}
