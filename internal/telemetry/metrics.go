package telemetry

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
	"mapleslip/internal/slo"
)

// metrics is what is measured where it happens; standing is what the controller
// says of itself now and then.
type metrics struct {
	registry *prometheus.Registry
	steps    *prometheus.HistogramVec
	calls    *prometheus.HistogramVec
	outcomes *prometheus.CounterVec
	waiting  *prometheus.GaugeVec
	events   prometheus.Gauge
	dropped  prometheus.Counter
	standing standing
}

// Buckets from 50 microseconds to 3 seconds: a step is mostly short, and one as
// long as a part of the lease is what to look for.
var seconds = prometheus.ExponentialBuckets(0.00005, 3, 11)

func newMetrics(classes int) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		steps: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mapleslip_step_seconds",
			Help: "Time in which an event was handled, by kind; ticks have the planning rounds.", Buckets: seconds,
		}, []string{"event"}),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mapleslip_call_seconds",
			Help: "Time until an outbound call was answered or given up, by service and kind.", Buckets: seconds,
		}, []string{"service", "call"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mapleslip_calls_total",
			Help: "Outbound calls that ended, by service, kind and outcome (status, none, refused, unsent).",
		}, []string{"service", "call", "outcome"}),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "mapleslip_calls_waiting",
			Help: "Calls that wait for their turn in this node's part of a service's rate.",
		}, []string{"service"}),
		events: prometheus.NewGauge(prometheus.GaugeOpts{Name: "mapleslip_events_waiting", Help: "Events that wait to be handled."}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mapleslip_spans_dropped_total",
			Help: "Spans that the collector did not take in time.",
		}),
	}
	m.standing.classes = classes
	m.registry.MustRegister(m.steps, m.calls, m.outcomes, m.waiting, m.events, m.dropped, &m.standing)
	return m
}

// standing turns the controller's last snapshot into metrics when it is asked.
type standing struct {
	classes int
	last    atomic.Pointer[controller.Stats]
	taken   atomic.Int64 // time of day, in microseconds
}

var (
	descRole     = prometheus.NewDesc("mapleslip_role", "1 for the role that the node is in.", []string{"role"}, nil)
	descEpoch    = prometheus.NewDesc("mapleslip_epoch", "Epoch that the node leads in or knows of.", nil, nil)
	descTaken    = prometheus.NewDesc("mapleslip_snapshot_timestamp_seconds", "When jobs and hosts were counted.", nil, nil)
	descRounds   = prometheus.NewDesc("mapleslip_rounds_total", "Planning rounds.", nil, nil)
	descPasses   = prometheus.NewDesc("mapleslip_passes_total", "Passes over the whole queue.", nil, nil)
	descRows     = prometheus.NewDesc("mapleslip_rows_total", "Rows of the slot table that were looked at, by stage of a pass.", []string{"stage"}, nil)
	descCuts     = prometheus.NewDesc("mapleslip_cut_rounds_total", "Rounds that reached their bound, by the stage they were in.", []string{"stage"}, nil)
	descRefused  = prometheus.NewDesc("mapleslip_refused_total", "Calls and reports that were answered with 503, by reason.", []string{"reason"}, nil)
	descMal      = prometheus.NewDesc("mapleslip_malformed_total", "Messages that do not follow the protocol.", nil, nil)
	descTakeOver = prometheus.NewDesc("mapleslip_take_overs_total", "Take-overs that this node finished.", nil, nil)
	descLost     = prometheus.NewDesc("mapleslip_tasks_lost_total", "Tasks that ended with their machine.", nil, nil)
	descChecks   = prometheus.NewDesc("mapleslip_checks_total", "Checks of instances that this node asked for as the leader, by outcome.", []string{"outcome"}, nil)
	descDisputed = prometheus.NewDesc("mapleslip_checks_disputed_total", "Checks that failed where another controller saw nothing wrong.", nil, nil)
	descRollouts = prometheus.NewDesc("mapleslip_rollouts", "Services with a roll-out on record, by its state.", []string{"state"}, nil)
	descDue      = prometheus.NewDesc("mapleslip_jobs_due", "Jobs of this term that had what is asked of their class in time, or not, by class, by team, and of a class's largest jobs whether they began.",
		[]string{"by", "name", "outcome"}, nil)
	descLongest  = prometheus.NewDesc("mapleslip_largest_wait_seconds", "Longest time for which one of the largest jobs of a class has waited to begin in this term.", []string{"class"}, nil)
	descHosts    = prometheus.NewDesc("mapleslip_hosts", "Machines that the leader knows, by state.", []string{"state"}, nil)
	descUnproven = prometheus.NewDesc("mapleslip_hosts_unproven", "Recorded machines not heard of in this epoch.", nil, nil)
	descAwaiting = prometheus.NewDesc("mapleslip_jobs_awaiting", "Jobs that await other jobs.", nil, nil)
	descWaiting  = prometheus.NewDesc("mapleslip_jobs_waiting", "Jobs with tasks that wait for a place, by class.", []string{"class"}, nil)
	descConfig   = prometheus.NewDesc("mapleslip_config_revision", "Newest revision of the configuration that the node knows.", nil, nil)
	descHolds    = prometheus.NewDesc("mapleslip_config_held", "1 while the node may go by its revision, 0 while it goes by none.", nil, nil)
	descDamaged  = prometheus.NewDesc("mapleslip_config_damaged", "1 while the record of the configuration can't be read.", nil, nil)
	descInForce  = prometheus.NewDesc("mapleslip_config_in_force", "Newest revision that is in force at every controller, as the leader knows.", nil, nil)
	descLag      = prometheus.NewDesc("mapleslip_config_lag", "Revisions that a controller is behind the leader, as it last told.", []string{"controller"}, nil)
	descMade     = prometheus.NewDesc("mapleslip_config_changes_total", "Revisions that this node made as the leader.", nil, nil)
	descOutdated = prometheus.NewDesc("mapleslip_config_outdated_total", "Transactions that were refused because a newer revision was there.", nil, nil)
	descLevel    = prometheus.NewDesc("mapleslip_feature_level", "Feature level that is active, as far as the node knows.", nil, nil)
	descServes   = prometheus.NewDesc("mapleslip_feature_level_served", "Highest feature level that the node's version serves.", nil, nil)
	descLevelFor = prometheus.NewDesc("mapleslip_feature_level_waits", "1 for each controller that the highest level waits for, as the leader knows.", []string{"controller", "reason"}, nil)
	descRunning  = prometheus.NewDesc("mapleslip_tasks_running", "Tasks that run, by class.", []string{"class"}, nil)
)

// Describe is part of prometheus.Collector.
func (s *standing) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		descRole, descEpoch, descTaken, descRounds, descPasses, descRows, descCuts, descRefused, descMal,
		descTakeOver, descLost, descChecks, descDisputed, descRollouts, descDue, descLongest, descHosts, descUnproven, descAwaiting, descWaiting, descRunning,
		descConfig, descHolds, descDamaged, descInForce, descLag, descMade, descOutdated, descLevel, descServes, descLevelFor,
	} {
		ch <- d
	}
}

// collection is a call of Collect.
type collection struct {
	*standing
	ch chan<- prometheus.Metric
}

func (c collection) gauge(d *prometheus.Desc, v float64, labels ...string) {
	c.ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
}

func (c collection) count(d *prometheus.Desc, v uint64, labels ...string) {
	c.ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
}

// gauges has a gauge for each value of a label.
func (c collection) gauges(d *prometheus.Desc, values map[string]int) {
	for label, n := range values {
		c.gauge(d, float64(n), label)
	}
}

// Collect is part of prometheus.Collector.
func (s *standing) Collect(ch chan<- prometheus.Metric) {
	st := s.last.Load()
	if st == nil {
		return
	}
	c := collection{s, ch}
	c.controller(st)
	if st.Config != nil {
		c.configuration(st)
	}
	if st.Features != nil {
		c.features(st.Features)
	}
	if st.Hosts != nil { // of one that does not lead: what it once knew is no news
		c.leader(st)
	}
}

// controller has what each controller counts.
func (c collection) controller(st *controller.Stats) {
	c.gauge(descRole, 1, st.Role.String())
	c.gauge(descEpoch, float64(st.Epoch))
	c.gauge(descTaken, float64(c.taken.Load())/1e6)
	c.count(descRounds, st.SchedulingSteps)
	c.count(descPasses, st.SchedulingCycles)
	for i, stage := range controller.CycleStages() {
		c.count(descRows, st.RowsByStage[i], stage)
		c.count(descCuts, st.CutStepsByStage[i], stage)
	}
	for why, n := range st.Refused {
		c.count(descRefused, n, why)
	}
	c.count(descMal, st.Malformed)
	c.count(descTakeOver, st.Failovers)
	c.count(descLost, st.LostTasks)
	for outcome, n := range st.Checks {
		c.count(descChecks, n, outcome)
	}
	if st.Checks != nil {
		c.count(descDisputed, st.DisputedChecks)
	}
}

// configuration has how the configuration stands.
func (c collection) configuration(st *controller.Stats) {
	config := st.Config
	flag := map[bool]float64{true: 1}
	c.gauge(descConfig, float64(config.Revision))
	c.gauge(descHolds, flag[config.InEffect])
	c.gauge(descDamaged, flag[config.Damaged])
	c.count(descMade, st.ConfigChanges)
	c.count(descOutdated, st.ConfigOutdated)
	if config.Revisions != nil {
		c.gauge(descInForce, float64(config.EffectiveEverywhere))
	}
	for name, r := range config.Revisions {
		c.gauge(descLag, float64(config.Revision-min(r, config.Revision)), name)
	}
}

// features has how the feature levels stand.
func (c collection) features(f *controller.FeatureStats) {
	c.gauge(descLevel, float64(f.Active))
	c.gauge(descServes, float64(f.Highest))
	for name, reason := range f.Blockers {
		c.gauge(descLevelFor, 1, name, reason)
	}
}

// leader has what only a leader knows.
func (c collection) leader(st *controller.Stats) {
	c.gauges(descHosts, st.Hosts)
	c.gauges(descRollouts, st.Rollouts)
	c.gauge(descUnproven, float64(st.UnreconciledHosts))
	c.gauge(descAwaiting, float64(st.BlockedJobs))
	for kind, counts := range st.Objectives {
		c.objectives(kind, counts)
	}
	longest := make(map[string]int, len(st.LongestStartWait))
	for class, wait := range st.LongestStartWait {
		longest[class] = int(wait / protocol.Second)
	}
	c.gauges(descLongest, c.longest(longest))
	c.gauges(descWaiting, c.bounded(st.WaitingJobs))
	c.gauges(descRunning, c.bounded(st.RunningTasks))
}

// objectives has how far objectives were met, by class or by team.
func (c collection) objectives(kind slo.Kind, counts map[string]slo.Count) {
	inTime, late := make(map[string]int, len(counts)), make(map[string]int, len(counts))
	for name, n := range counts {
		inTime[name], late[name] = n.Served, n.Missed
	}
	for outcome, byName := range map[string]map[string]int{"in time": inTime, "late": late} {
		for name, n := range c.bounded(byName) {
			c.gauge(descDue, float64(n), kind.String(), name, outcome)
		}
	}
}

// otherClasses stands for all classes beyond the bound: users choose the names of
// classes, and each would be a series of its own for ever.
const otherClasses = "other"

// longest keeps the classes with the longest waits, and the longest of the rest.
func (s *standing) longest(by map[string]int) map[string]int {
	out := s.bounded(by)
	if len(by) > s.classes {
		out[otherClasses] = 0
		for class, wait := range by {
			if _, kept := out[class]; !kept || class == otherClasses {
				out[otherClasses] = max(out[otherClasses], wait)
			}
		}
	}
	return out
}

// bounded keeps the classes with the most, and adds up the rest.
func (s *standing) bounded(by map[string]int) map[string]int {
	if len(by) <= s.classes {
		return by
	}
	names := make([]string, 0, len(by))
	for name := range by {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if by[a] != by[b] {
			return by[b] - by[a]
		}
		if a < b {
			return -1
		}
		return 1
	})
	out := make(map[string]int, s.classes+1)
	for i, name := range names {
		if i < s.classes && name != otherClasses {
			out[name] = by[name]
		} else {
			out[otherClasses] += by[name]
		}
	}
	return out
}

func (s *standing) take(st controller.Stats, at time.Time) {
	s.last.Store(&st)
	s.taken.Store(at.UnixMicro())
}
