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

// metrics contains the metrics that are updated when something happens, and the collector of those
// that are taken from the controller's snapshots.
type metrics struct {
	registry      *prometheus.Registry
	steps         *prometheus.HistogramVec
	calls         *prometheus.HistogramVec
	outcomes      *prometheus.CounterVec
	waitingCalls  *prometheus.GaugeVec
	waitingEvents prometheus.Gauge
	connections   *prometheus.GaugeVec
	connsEnded    *prometheus.CounterVec
	droppedSpans  prometheus.Counter
	snapshot      snapshotCollector
}

// Buckets from 50 microseconds to 3 seconds. Most steps are short; the buckets have to show a step
// that takes a considerable part of the leader's lease.
var durationBuckets = prometheus.ExponentialBuckets(0.00005, 3, 11)

func newMetrics(classes int) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		steps: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mapleslip_step_seconds",
			Help: "Time in which an event was handled, by kind; ticks have the planning rounds.", Buckets: durationBuckets,
		}, []string{"event"}),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mapleslip_call_seconds",
			Help: "Time until an outbound call was answered or given up, by service and kind.", Buckets: durationBuckets,
		}, []string{"service", "call"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mapleslip_calls_total",
			Help: "Outbound calls that ended, by service, kind and outcome (status, none, refused, unsent).",
		}, []string{"service", "call", "outcome"}),
		waitingCalls: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "mapleslip_calls_waiting",
			Help: "Calls that wait for their turn in this node's part of a service's rate.",
		}, []string{"service"}),
		waitingEvents: prometheus.NewGauge(prometheus.GaugeOpts{Name: "mapleslip_events_waiting", Help: "Events that wait to be handled."}),
		connections: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "mapleslip_connections", Help: "Open inbound connections, by who opened them.",
		}, []string{"from"}),
		connsEnded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mapleslip_connections_ended_total",
			Help: "Inbound connections that were refused or closed by this node, by reason.",
		}, []string{"reason"}),
		droppedSpans: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mapleslip_spans_dropped_total",
			Help: "Spans that the collector did not take in time.",
		}),
	}
	m.snapshot.classes = classes
	m.registry.MustRegister(m.steps, m.calls, m.outcomes, m.waitingCalls, m.waitingEvents, m.connections, m.connsEnded, m.droppedSpans, &m.snapshot)
	return m
}

// snapshotCollector exports the controller's last snapshot as metrics when they are scraped.
type snapshotCollector struct {
	classes int // maximum number of classes, or teams, with series of their own
	stats   atomic.Pointer[controller.Stats]
	takenAt atomic.Int64 // when the snapshot was taken: time of day, in microseconds
}

var (
	descRole           = prometheus.NewDesc("mapleslip_role", "1 for the role that the node is in.", []string{"role"}, nil)
	descEpoch          = prometheus.NewDesc("mapleslip_epoch", "Epoch that the node leads in or knows of.", nil, nil)
	descSnapshotTime   = prometheus.NewDesc("mapleslip_snapshot_timestamp_seconds", "When jobs and hosts were counted.", nil, nil)
	descRounds         = prometheus.NewDesc("mapleslip_rounds_total", "Planning rounds.", nil, nil)
	descPasses         = prometheus.NewDesc("mapleslip_passes_total", "Passes over the whole queue.", nil, nil)
	descRows           = prometheus.NewDesc("mapleslip_rows_total", "Rows of the slot table that were looked at, by stage of a pass.", []string{"stage"}, nil)
	descCutRounds      = prometheus.NewDesc("mapleslip_cut_rounds_total", "Rounds that reached their bound, by the stage they were in.", []string{"stage"}, nil)
	descRefused        = prometheus.NewDesc("mapleslip_refused_total", "Calls and reports that were answered with 503, by reason.", []string{"reason"}, nil)
	descMalformed      = prometheus.NewDesc("mapleslip_malformed_total", "Messages that do not follow the protocol.", nil, nil)
	descTakeOvers      = prometheus.NewDesc("mapleslip_take_overs_total", "Take-overs that this node finished.", nil, nil)
	descTasksLost      = prometheus.NewDesc("mapleslip_tasks_lost_total", "Tasks that ended with their machine.", nil, nil)
	descTokenRaises    = prometheus.NewDesc("mapleslip_worker_token_raises_total", "Fencing tokens raised for one worker, so that copies of earlier commands have no effect.", nil, nil)
	descForgotten      = prometheus.NewDesc("mapleslip_attempts_forgotten_total", "Commands to a worker to forget an attempt that has exited.", nil, nil)
	descRefusedOrders  = prometheus.NewDesc("mapleslip_commands_refused_total", "Direct commands that a worker refused by token or session.", nil, nil)
	descRevived        = prometheus.NewDesc("mapleslip_attempts_revived_total", "Attempts of this term that were on their machine again after their end.", nil, nil)
	descRejected       = prometheus.NewDesc("mapleslip_submissions_rejected_total", "Submissions that were refused for good, by reason.", []string{"reason"}, nil)
	descAnswers        = prometheus.NewDesc("mapleslip_answers_total", "States of jobs told to users, by where the state came from.", []string{"source"}, nil)
	descExited         = prometheus.NewDesc("mapleslip_attempts_exited", "Attempts that have exited and that their worker still reports.", nil, nil)
	descChecks         = prometheus.NewDesc("mapleslip_checks_total", "Checks of instances that this node asked for as the leader, by outcome.", []string{"outcome"}, nil)
	descChecksDisputed = prometheus.NewDesc("mapleslip_checks_disputed_total", "Checks that failed where another controller saw nothing wrong.", nil, nil)
	descRollouts       = prometheus.NewDesc("mapleslip_rollouts", "Services with a roll-out on record, by its state.", []string{"state"}, nil)
	descJobsDue        = prometheus.NewDesc("mapleslip_jobs_due", "Jobs of this term that had what is asked of their class in time, or not, by class, by team, and of a class's largest jobs whether they began.",
		[]string{"by", "name", "outcome"}, nil)
	descLargestWait        = prometheus.NewDesc("mapleslip_largest_wait_seconds", "Longest time for which one of the largest jobs of a class has waited to begin in this term.", []string{"class"}, nil)
	descHosts              = prometheus.NewDesc("mapleslip_hosts", "Machines that the leader knows, by state.", []string{"state"}, nil)
	descHostsUnproven      = prometheus.NewDesc("mapleslip_hosts_unproven", "Recorded machines not heard of in this epoch.", nil, nil)
	descJobsAwaiting       = prometheus.NewDesc("mapleslip_jobs_awaiting", "Jobs that await other jobs.", nil, nil)
	descJobsWaiting        = prometheus.NewDesc("mapleslip_jobs_waiting", "Jobs with tasks that wait for a place, by class.", []string{"class"}, nil)
	descConfigRevision     = prometheus.NewDesc("mapleslip_config_revision", "Newest revision of the configuration that the node knows.", nil, nil)
	descConfigHeld         = prometheus.NewDesc("mapleslip_config_held", "1 while the node may go by its revision, 0 while it goes by none.", nil, nil)
	descConfigDamaged      = prometheus.NewDesc("mapleslip_config_damaged", "1 while the record of the configuration can't be read.", nil, nil)
	descConfigInForce      = prometheus.NewDesc("mapleslip_config_in_force", "Newest revision that is in force at every controller, as the leader knows.", nil, nil)
	descConfigLag          = prometheus.NewDesc("mapleslip_config_lag", "Revisions that a controller is behind the leader, as it last told.", []string{"controller"}, nil)
	descConfigChanges      = prometheus.NewDesc("mapleslip_config_changes_total", "Revisions that this node made as the leader.", nil, nil)
	descConfigOutdated     = prometheus.NewDesc("mapleslip_config_outdated_total", "Transactions that were refused because a newer revision was there.", nil, nil)
	descFeatureLevel       = prometheus.NewDesc("mapleslip_feature_level", "Feature level that is active, as far as the node knows.", nil, nil)
	descFeatureLevelServed = prometheus.NewDesc("mapleslip_feature_level_served", "Highest feature level that the node's version serves.", nil, nil)
	descFeatureLevelWaits  = prometheus.NewDesc("mapleslip_feature_level_waits", "1 for each controller that the highest level waits for, as the leader knows.", []string{"controller", "reason"}, nil)
	descTasksRunning       = prometheus.NewDesc("mapleslip_tasks_running", "Tasks that run, by class.", []string{"class"}, nil)
)

// Describe implements prometheus.Collector.
func (s *snapshotCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		descRole, descEpoch, descSnapshotTime, descRounds, descPasses, descRows, descCutRounds, descRefused, descMalformed,
		descTakeOvers, descTasksLost, descTokenRaises, descForgotten, descRefusedOrders, descRevived, descAnswers, descRejected, descExited, descChecks, descChecksDisputed, descRollouts, descJobsDue, descLargestWait, descHosts, descHostsUnproven, descJobsAwaiting, descJobsWaiting, descTasksRunning,
		descConfigRevision, descConfigHeld, descConfigDamaged, descConfigInForce, descConfigLag, descConfigChanges, descConfigOutdated, descFeatureLevel, descFeatureLevelServed, descFeatureLevelWaits,
	} {
		ch <- d
	}
}

// collection is one call of Collect.
type collection struct {
	*snapshotCollector
	ch chan<- prometheus.Metric
}

func (c collection) gauge(d *prometheus.Desc, v float64, labels ...string) {
	c.ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
}

func (c collection) counter(d *prometheus.Desc, v uint64, labels ...string) {
	c.ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
}

// gauges sends a gauge for each value of a label.
func (c collection) gauges(d *prometheus.Desc, values map[string]int) {
	for label, n := range values {
		c.gauge(d, float64(n), label)
	}
}

// Collect implements prometheus.Collector.
func (s *snapshotCollector) Collect(ch chan<- prometheus.Metric) {
	st := s.stats.Load()
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
	// Hosts is nil on a controller that does not lead. What it counted as the leader in an earlier
	// term is outdated and not exported.
	if st.Hosts != nil {
		c.leader(st)
	}
}

// controller sends the metrics that every controller has.
func (c collection) controller(st *controller.Stats) {
	c.gauge(descRole, 1, st.Role.String())
	c.gauge(descEpoch, float64(st.Epoch))
	c.gauge(descSnapshotTime, float64(c.takenAt.Load())/1e6)
	c.counter(descRounds, st.SchedulingSteps)
	c.counter(descPasses, st.SchedulingCycles)
	for i, stage := range controller.CycleStages() {
		c.counter(descRows, st.RowsByStage[i], stage)
		c.counter(descCutRounds, st.CutStepsByStage[i], stage)
	}
	for reason, n := range st.Refused {
		c.counter(descRefused, n, reason)
	}
	c.counter(descMalformed, st.Malformed)
	c.counter(descTakeOvers, st.Failovers)
	c.counter(descTasksLost, st.LostTasks)
	c.counter(descTokenRaises, st.TokenRaises)
	c.counter(descForgotten, st.ForgottenAttempts)
	c.counter(descRefusedOrders, st.RefusedCommands)
	c.counter(descRevived, st.RevivedAttempts)
	for reason, n := range st.Rejected {
		c.counter(descRejected, n, reason)
	}
	for source, n := range st.Answers {
		c.counter(descAnswers, n, source)
	}
	for outcome, n := range st.Checks {
		c.counter(descChecks, n, outcome)
	}
	if st.Checks != nil {
		c.counter(descChecksDisputed, st.DisputedChecks)
	}
}

// configuration sends the state of the configuration.
func (c collection) configuration(st *controller.Stats) {
	config := st.Config
	gaugeValue := map[bool]float64{true: 1}
	c.gauge(descConfigRevision, float64(config.Revision))
	c.gauge(descConfigHeld, gaugeValue[config.InEffect])
	c.gauge(descConfigDamaged, gaugeValue[config.Damaged])
	c.counter(descConfigChanges, st.ConfigChanges)
	c.counter(descConfigOutdated, st.ConfigOutdated)
	if config.Revisions != nil {
		c.gauge(descConfigInForce, float64(config.EffectiveEverywhere))
	}
	for name, r := range config.Revisions {
		c.gauge(descConfigLag, float64(config.Revision-min(r, config.Revision)), name)
	}
}

// features sends the state of the feature levels.
func (c collection) features(f *controller.FeatureStats) {
	c.gauge(descFeatureLevel, float64(f.Active))
	c.gauge(descFeatureLevelServed, float64(f.Highest))
	for name, reason := range f.Blockers {
		c.gauge(descFeatureLevelWaits, 1, name, reason)
	}
}

// leader sends the metrics that only a leader has.
func (c collection) leader(st *controller.Stats) {
	c.gauges(descHosts, st.Hosts)
	c.gauges(descRollouts, st.Rollouts)
	c.gauge(descHostsUnproven, float64(st.UnreconciledHosts))
	c.gauge(descExited, float64(st.ExitedAttempts))
	c.gauge(descJobsAwaiting, float64(st.BlockedJobs))
	for kind, counts := range st.Objectives {
		c.objectives(kind, counts)
	}
	longest := make(map[string]int, len(st.LongestStartWait))
	for class, wait := range st.LongestStartWait {
		longest[class] = int(wait / protocol.Second)
	}
	c.gauges(descLargestWait, c.limitSeriesMax(longest))
	c.gauges(descJobsWaiting, c.limitSeries(st.WaitingJobs))
	c.gauges(descTasksRunning, c.limitSeries(st.RunningTasks))
}

// objectives sends how many jobs met or missed an objective, by class or by team.
func (c collection) objectives(kind slo.Kind, counts map[string]slo.Count) {
	inTime, late := make(map[string]int, len(counts)), make(map[string]int, len(counts))
	for name, n := range counts {
		inTime[name], late[name] = n.Served, n.Missed
	}
	for outcome, byName := range map[string]map[string]int{"in time": inTime, "late": late} {
		for name, n := range c.limitSeries(byName) {
			c.gauge(descJobsDue, float64(n), kind.String(), name, outcome)
		}
	}
}

// otherLabel replaces the names of all classes or teams beyond the limit. Users choose the names of
// classes, and each name would be a time series that is kept for ever.
const otherLabel = "other"

// limitSeriesMax keeps the classes with the longest waits, and the longest wait of the others under
// otherLabel.
func (s *snapshotCollector) limitSeriesMax(values map[string]int) map[string]int {
	limited := s.limitSeries(values)
	if len(values) > s.classes {
		limited[otherLabel] = 0
		for class, wait := range values {
			if _, kept := limited[class]; !kept || class == otherLabel {
				limited[otherLabel] = max(limited[otherLabel], wait)
			}
		}
	}
	return limited
}

// limitSeries keeps the names with the highest values, and the sum of the others under otherLabel.
func (s *snapshotCollector) limitSeries(values map[string]int) map[string]int {
	if len(values) <= s.classes {
		return values
	}
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if values[a] != values[b] {
			return values[b] - values[a]
		}
		if a < b {
			return -1
		}
		return 1
	})
	limited := make(map[string]int, s.classes+1)
	for i, name := range names {
		if i < s.classes && name != otherLabel {
			limited[name] = values[name]
		} else {
			limited[otherLabel] += values[name]
		}
	}
	return limited
}

func (s *snapshotCollector) update(st controller.Stats, at time.Time) {
	s.stats.Store(&st)
	s.takenAt.Store(at.UnixMicro())
}
