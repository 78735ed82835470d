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

// sample contains the measurements of all processes at one time.
type sample struct {
	at      int64
	usage   map[*process]usage
	scraped map[string]*scrape // by controller
	busy    time.Duration      // processor time of the machine since its boot, without idle time
	all     time.Duration      // total processor time of the machine since its boot
}

// scrape contains the metrics of a controller at one time.
type scrape struct {
	role        string
	calls       map[string]float64 // count by service, call and, if it is not 200, outcome
	steps       map[string]float64 // number of handled events by kind
	stepSeconds map[string]float64 // total handling time by kind of event
	refused     map[string]float64
	other       map[string]float64             // gauges and counters that have no labels
	longestStep float64                        // longest handling of an event by the process so far, seconds
	histograms  map[string]map[float64]float64 // of steps and calls: cumulative counts by upper bound in seconds
}

// sampler measures the processes and scrapes the metrics of the controllers.
type sampler struct {
	client http.Client
	count  int
}

// socketsEvery is the interval, in samples, at which sockets are counted: counting reads every
// file descriptor of a process.
const socketsEvery = 5

func (s *sampler) collect(procs []*process, telemetry map[string]string) *sample {
	out := &sample{at: wire.Now(), usage: make(map[*process]usage), scraped: make(map[string]*scrape)}
	withSockets := s.count%socketsEvery == 0
	s.count++
	for _, p := range procs {
		if u, err := readUsage(p.pid, withSockets); err == nil && !p.hasExited() {
			out.usage[p] = u
		}
	}
	out.busy, out.all = machineCPUTime()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for name, addr := range telemetry {
		wg.Go(func() {
			if got := s.scrape(addr); got != nil {
				mu.Lock()
				out.scraped[name] = got
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return out
}

// scrape reads the metrics of a controller. It returns nil if they cannot be read.
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
	out := &scrape{calls: make(map[string]float64), steps: make(map[string]float64), stepSeconds: make(map[string]float64), refused: make(map[string]float64), other: make(map[string]float64), histograms: make(map[string]map[float64]float64)}
	for name, f := range families {
		for _, m := range f.Metric {
			out.add(name, m)
		}
	}
	return out
}

// add adds one metric.
func (s *scrape) add(name string, m *dto.Metric) {
	var labels []string
	for _, l := range m.Label {
		labels = append(labels, l.GetValue())
	}
	label := strings.Join(labels, " ")
	value := m.GetCounter().GetValue() + m.GetGauge().GetValue() // a metric is one of them
	switch {
	case name == "mapleslip_role" && value == 1:
		s.role = label
	case name == "mapleslip_calls_total":
		s.calls[callRow(labels)] += value
	case name == "mapleslip_step_seconds" && m.Histogram != nil:
		s.steps[label], s.stepSeconds[label] = float64(m.Histogram.GetSampleCount()), m.Histogram.GetSampleSum()
		s.addBuckets(label, m.Histogram)
	case name == "mapleslip_call_seconds" && m.Histogram != nil && len(labels) == 2:
		s.addBuckets(labels[1]+" "+labels[0], m.Histogram)
	case name == "mapleslip_step_longest_seconds":
		s.longestStep = max(s.longestStep, value)
	case name == "mapleslip_refused_total":
		s.refused[label] = value
	case len(labels) == 0 && strings.HasPrefix(name, "mapleslip_"):
		s.other[strings.TrimPrefix(name, "mapleslip_")] = value
	}
}

// callRow returns the row of the calls with some labels, which are sorted by name: call, outcome,
// service.
func callRow(labels []string) string {
	if len(labels) != 3 {
		return strings.Join(labels, " ")
	}
	row := labels[2] + " " + labels[0]
	if labels[1] != "200" {
		row += " " + labels[1]
	}
	return row
}

func (s *scrape) addBuckets(what string, h *dto.Histogram) {
	counts := map[float64]float64{math.Inf(1): float64(h.GetSampleCount())}
	for _, b := range h.Bucket {
		counts[b.GetUpperBound()] = float64(b.GetCumulativeCount())
	}
	s.histograms[what] = counts
}

// highestGrownBucket returns the upper bound, in seconds, of the highest bucket whose count has
// grown between two scrapes: nothing that was recorded between them took longer. It returns 0 if
// no count has grown.
func highestGrownBucket(now, before map[float64]float64) float64 {
	ends := slices.Sorted(maps.Keys(now))
	highest, grownBelow := 0.0, 0.0
	for _, end := range ends {
		grown := now[end] - before[end]
		if grown > grownBelow {
			highest, grownBelow = end, grown
		}
	}
	return highest
}

// highestFiniteBucket returns the highest upper bound that is not infinite.
func highestFiniteBucket(histogram map[float64]float64) (end float64) {
	for b := range histogram {
		if !math.IsInf(b, 1) {
			end = max(end, b)
		}
	}
	return end
}

// newHistogram returns a histogram of microseconds, from 1 to one hour, with the given number of
// significant figures.
func newHistogram(figures int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, 3600_000_000, figures)
}

func record(h *hdrhistogram.Histogram, us int64) {
	_ = h.RecordValue(max(1, min(us, h.HighestTrackableValue())))
}

// latency contains the latencies of one kind, in total and by the time at which the measured
// action was due.
type latency struct {
	all       *hdrhistogram.Histogram
	spans     []*hdrhistogram.Histogram // one for each spanS seconds of the run
	aim       int64                     // objective in microseconds, 0 if there is none; see Percentiles.Within
	withinAim int64                     // number of values in all that meet the objective
}

// spanS is the length of one span of a latency series, in seconds.
const spanS = 5

func newLatency() *latency { return &latency{all: newHistogram(3)} }

// add records a latency of an action that was due in the given second of the run. Latencies
// outside the measurement window, such as those of the warm-up, are in the series only.
func (l *latency) add(second int, us int64, inWindow bool) {
	if second < 0 {
		return
	}
	for len(l.spans) <= second/spanS {
		l.spans = append(l.spans, nil)
	}
	if l.spans[second/spanS] == nil {
		l.spans[second/spanS] = newHistogram(2) // only 2 figures, since there are many of them
	}
	record(l.spans[second/spanS], us)
	if inWindow {
		record(l.all, us)
		if us <= l.aim {
			l.withinAim++
		}
	}
}

// jobRecord contains what the measurements need of a job.
type jobRecord struct {
	class     string
	due       int64
	cancelDue int64 // time at which the first request to cancel the job was due
	tasks     int
	started   int
	ended     bool // cancelled by its user, or rejected
	accepted  bool
}

// meter collects the measurements for the report.
type meter struct {
	began     int64 // start of the load, wire time
	warmup    int64 // end of the warm-up, wire time
	ends      int64 // end of the load, wire time
	jobs      map[string]*jobRecord
	latencies map[string]*latency // by name: submit, query, cancel, config changes; command, fetch and wait of each class
	aims      map[string]int64    // shortest wait objective of each class, microseconds
	peaks     [][2]int64          // periods in which the load is raised
	slowest   map[string][]Slow   // tasks with the longest waits, by class
	cuts      []cut               // periods in which a region is cut off
	seconds   []Second
	samples   []*sample
	gauges    map[string][]gauge // by part
	parts     map[string]*process
	peakRSS   int64
}

// cut is a period in which a region is cut off from the others, microseconds.
type cut struct {
	region   string
	from, to int64
}

// gauge contains the values that a part reported about itself at one time.
type gauge struct {
	at     int64
	values map[string]float64
}

// Second contains the measurements of one second of the run, counted from the start of the load.
type Second struct {
	T       int                `json:"t"`
	Starts  int                `json:"starts"`
	Running int                `json:"running"`
	Leader  string             `json:"leader,omitempty"`
	CPU     map[string]float64 `json:"cpu,omitempty"`     // cores by role, summed over its processes
	RSS     map[string]float64 `json:"rss_mb,omitempty"`  // by role, summed over its processes
	Busy    float64            `json:"busy,omitempty"`    // busy share of the machine's processors
	LagMS   float64            `json:"lag_ms,omitempty"`  // largest lag reported by a part of the tool
	Regions map[string]float64 `json:"regions,omitempty"` // running tasks, as reported by the workers
}

func newMeter(f *File) *meter {
	m := &meter{jobs: make(map[string]*jobRecord), latencies: make(map[string]*latency), aims: make(map[string]int64), gauges: make(map[string][]gauge), parts: make(map[string]*process), slowest: make(map[string][]Slow)}
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
	for _, fault := range f.Faults {
		if fault.Kind == FaultRegionCut {
			m.cuts = append(m.cuts, cut{fault.Region, at + us(fault.AtS), at + us(fault.AtS+fault.ForS)})
		}
	}
}

// secondOf returns the second of the run that contains a time, or -1 before the load.
func (m *meter) secondOf(at int64) int {
	if m.began == 0 || at < m.began {
		return -1
	}
	return int((at - m.began) / int64(protocol.Second))
}

func (m *meter) secondAt(second int) *Second {
	if second < 0 {
		return &Second{}
	}
	for len(m.seconds) <= second {
		m.seconds = append(m.seconds, Second{T: len(m.seconds)})
	}
	return &m.seconds[second]
}

func (m *meter) latency(name string) *latency {
	l := m.latencies[name]
	if l == nil {
		l = newLatency()
		m.latencies[name] = l
	}
	return l
}

func (m *meter) inWindow(due int64) bool { return due >= m.warmup && due < m.ends }

// addTime records a latency of an action that was due at the given time. If the load has peaks,
// a latency in the measurement window is also recorded under a separate name for actions due in
// a peak or for the rest.
func (m *meter) addTime(name string, due, us int64, inWindow bool) {
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
		if i > 0 && !inWindow {
			continue
		}
		l := m.latency(n)
		if wait {
			l.aim = m.aims[class]
		}
		l.add(m.secondOf(due), us, inWindow)
	}
}

// addChange records a latency of a configuration change. In the measurement window it is also
// recorded under a separate name for the conditions at the time the change was due: a region cut
// off (changes made in that region or elsewhere), a peak, or neither.
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
	inWindow := m.inWindow(due)
	m.latency(name).add(m.secondOf(due), us, inWindow)
	if inWindow {
		m.latency(name+", "+part).add(m.secondOf(due), us, true)
	}
}

// observe updates the measurements from a message of a part.
func (m *meter) observe(p *process, msg *wire.Message) {
	switch msg.Kind {
	case wire.Submit:
		for _, body := range msg.Specs {
			if s, err := protocol.ParseJob(body); err == nil {
				m.jobs[s.Ref] = &jobRecord{class: s.Class, due: msg.Due, tasks: s.Tasks}
			}
		}
	case wire.Answer:
		j := m.jobs[msg.Ref]
		switch {
		case msg.Op == "query" && msg.Status == 200:
			m.addTime("query", msg.Due, msg.At-msg.Due, m.inWindow(msg.Due))
		case msg.Op == "config" && msg.Phase == "made":
			m.addChange("config change", msg.Region, msg.Due, msg.At-msg.Due)
		case msg.Op == "config" && msg.Phase == "in_force":
			m.addChange("config in force", msg.Region, msg.Due, msg.At-msg.Due)
			m.addChange("config in force, after made", msg.Region, msg.Due, msg.At-msg.Run)
		case j == nil:
		case msg.Op == "submit" && (msg.Status == 200 || msg.Status == 201):
			if !j.accepted {
				m.addTime("submit", j.due, msg.At-j.due, m.inWindow(j.due))
			}
			j.accepted = true
		case msg.Op == "submit" && (msg.Status == 400 || msg.Status == 422):
			j.ended = true
		case msg.Op == "cancel" && msg.Status == 200:
			m.addTime("cancel", j.cancelDue, msg.At-j.cancelDue, m.inWindow(j.cancelDue))
		}
	case wire.Cancel:
		if j := m.jobs[msg.Ref]; j != nil {
			j.ended = true // tasks that have not started by now no longer have to
			j.cancelDue = msg.Due
		}
	case wire.Gauge:
		m.gauges[p.name] = append(m.gauges[p.name], gauge{msg.At, msg.Values})
		m.parts[p.name] = p
		if s := m.secondAt(m.secondOf(msg.At)); s.LagMS < msg.Values["lag_ms_max"] {
			s.LagMS = msg.Values["lag_ms_max"]
		}
	}
}

// addStart records the start of a task or a gang.
func (m *meter) addStart(s checker.Start) {
	m.secondAt(m.secondOf(s.At)).Starts += max(1, s.Tasks)
	if s.Again || s.Spec == nil {
		return
	}
	if j := m.jobs[s.Spec.Ref]; j != nil {
		j.started += max(1, s.Tasks)
	}
	wait := max(0, s.At-s.Due-s.Fetch)
	m.addTime(s.Spec.Class+" wait", s.Due, wait, m.inWindow(s.Due))
	if m.inWindow(s.Due) {
		m.addSlow(s.Spec.Class, Slow{s.Task, float64(s.Due-m.began) / 1e6, float64(wait) / 1e6})
	}
	m.addTime(s.Spec.Class+" fetch", s.Due, s.Fetch, m.inWindow(s.Due) && s.Fetch > 0)
	if s.Asked > 0 {
		m.addTime(s.Spec.Class+" command", s.Due, max(0, s.Asked-s.Due), m.inWindow(s.Due))
	}
}

// Slow is a task that waited long for its start.
type Slow struct {
	Task  string  `json:"task"`
	DueT  float64 `json:"due_t"` // seconds since the start of the load
	WaitS float64 `json:"wait_s"`
}

// maxSlow is the number of slow tasks kept for each class.
const maxSlow = 5

// addSlow adds a task if it is among those of its class that waited longest.
func (m *meter) addSlow(class string, s Slow) {
	list := m.slowest[class]
	at, _ := slices.BinarySearchFunc(list, s, func(a, b Slow) int { return cmp.Compare(b.WaitS, a.WaitS) })
	if at < maxSlow {
		list = slices.Insert(list, at, s)
		m.slowest[class] = list[:min(len(list), maxSlow)]
	}
}

// addUnstarted records each task that has not started by the end as having waited until then,
// and returns the number of these tasks by class.
func (m *meter) addUnstarted(end int64) (unstarted map[string]int) {
	unstarted = make(map[string]int)
	for _, j := range m.jobs {
		if j.ended || !m.inWindow(j.due) {
			continue
		}
		for range j.tasks - j.started {
			m.addTime(j.class+" wait", j.due, end-j.due, true)
		}
		if n := j.tasks - j.started; n > 0 {
			unstarted[j.class] += n
		}
	}
	return unstarted
}

// leaderOf returns the controller whose metrics show it as leader, or "" if there is none.
func leaderOf(scraped map[string]*scrape) string {
	for _, name := range slices.Sorted(maps.Keys(scraped)) {
		if scraped[name].role == "leading" {
			return name
		}
	}
	return ""
}

// addSample adds a sample of all processes and returns their total resident memory in bytes.
func (m *meter) addSample(s *sample, running int) (rss int64) {
	for _, u := range s.usage {
		rss += u.rss
	}
	m.peakRSS = max(m.peakRSS, rss)
	if m.began == 0 || s.at < m.began {
		return rss
	}
	sec := m.secondAt(m.secondOf(s.at))
	sec.Running, sec.Leader = running, leaderOf(s.scraped)
	sec.CPU, sec.RSS, sec.Regions = make(map[string]float64), make(map[string]float64), make(map[string]float64)
	for name, list := range m.gauges {
		if p := m.parts[name]; p.role == wire.RoleHollow || p.role == wire.RoleWorker {
			sec.Regions[p.region] += list[len(list)-1].values["tasks_running"]
		}
	}
	for p, u := range s.usage {
		sec.RSS[roleOf(p, sec.Leader)] += float64(u.rss) / 1e6
	}
	if n := len(m.samples); n > 0 {
		before := m.samples[n-1]
		if span := float64(s.at-before.at) / 1e6; span > 0 {
			for p, u := range s.usage {
				if previous, ok := before.usage[p]; ok {
					sec.CPU[roleOf(p, sec.Leader)] += (u.cpu - previous.cpu).Seconds() / span
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

// roleOf returns the role of a process in one second: the controller that leads then has the
// role "leader".
func roleOf(p *process, leader string) string {
	if p.role == roleController && p.name == leader {
		return "leader"
	}
	return p.role
}
