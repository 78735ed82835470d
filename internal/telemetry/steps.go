package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"mapleslip/internal/stepwatch"
)

var (
	descLongestStep = prometheus.NewDesc("mapleslip_step_longest_seconds", "Longest time for which an event was handled, or is being handled, by kind.", []string{"event"}, nil)
	descLongSteps   = prometheus.NewDesc("mapleslip_steps_over_bound_total", "Events that were handled for more than 0.25 s, by kind.", []string{"event"}, nil)
)

// stepCollector exports what the watch of the event loop has seen. It does not need the loop, which may
// be busy.
type stepCollector struct {
	kinds func() map[string]stepwatch.Kind
}

// Describe implements prometheus.Collector.
func (s *stepCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- descLongestStep
	ch <- descLongSteps
}

// Collect implements prometheus.Collector.
func (s *stepCollector) Collect(ch chan<- prometheus.Metric) {
	for kind, k := range s.kinds() {
		ch <- prometheus.MustNewConstMetric(descLongestStep, prometheus.GaugeValue, k.Longest.Seconds(), kind)
		ch <- prometheus.MustNewConstMetric(descLongSteps, prometheus.CounterValue, float64(k.Over), kind)
	}
}
