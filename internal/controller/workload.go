package controller

import (
	"maps"
	"math"
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// workload is what was learned of the classes of jobs.
type workload struct {
	*termContext
	classes map[string]*classStats
}

// classStats is what was learned of a class, which is empty at first.
func (wl *workload) classStats(name string) *classStats {
	k := wl.classes[name]
	if k == nil {
		k = &classStats{}
		wl.classes[name] = k
	}
	return k
}

func (wl *workload) classNames() []string { return slices.Sorted(maps.Keys(wl.classes)) }

// classStats is what was learned of a class of jobs.
type classStats struct {
	largestJob int // tasks of the largest job that was seen
	arrivals   []micros
	lastSpec   *protocol.JobSpec
	// logRuntimeRatio is the logarithm of run times over their estimates, averaged over
	// observations of some weight.
	logRuntimeRatio float64
	weight          float64
}

const (
	// arrivalWindow is the span over which arrivals are counted, and minArrivalSpan the shortest
	// one from which a rate is made.
	arrivalWindow  = 180 * protocol.Second
	minArrivalSpan = 60 * protocol.Second
	// newArrivalAge is how old a job may be that counts as arriving: others were submitted to an
	// earlier leader.
	newArrivalAge = 5 * protocol.Second

	// maxLogRatio bounds an observed logRuntimeRatio, and maxRatioWeight the weight of those
	// before it.
	maxLogRatio    = 2
	maxRatioWeight = 20
	// priorWeight is the weight of the estimate that users give.
	priorWeight = 3

	minEstimatedRuntime = protocol.Second
	minRemainingRuntime = 2 * protocol.Second
)

// onArrival learns from a job that has arrived.
func (k *classStats) onArrival(now micros, j *state.Job) {
	k.lastSpec, k.largestJob = j.Spec, max(k.largestJob, j.Spec.Tasks)
	if now-j.EligibleAt < newArrivalAge {
		k.arrivals = append(k.arrivals, now)
	}
	for len(k.arrivals) > 0 && now-k.arrivals[0] > arrivalWindow {
		k.arrivals = k.arrivals[1:]
	}
}

// expectedArrivals estimates how many jobs of the class arrive in a span, as the leader of a
// term that began at an instant.
func (k *classStats) expectedArrivals(now, termStart, span micros) float64 {
	count := 0
	for _, at := range k.arrivals {
		if now-at <= arrivalWindow {
			count++
		}
	}
	observed := min(max(now-termStart, minArrivalSpan), arrivalWindow)
	return float64(count) * float64(span) / float64(observed)
}

// onTaskCompleted learns from a completed task.
func (k *classStats) onTaskCompleted(j *state.Job, took micros) {
	if j.Spec.EstimatedRuntime <= 0 || took <= 0 || j.FirstStart == 0 {
		return
	}
	ratio := math.Log(float64(took) / float64(j.Spec.EstimatedRuntime))
	ratio = max(-maxLogRatio, min(maxLogRatio, ratio))
	k.logRuntimeRatio += (ratio - k.logRuntimeRatio) * (1 / min(k.weight+1, maxRatioWeight))
	k.weight++
}

// estimatedRuntime is the corrected estimate of a task's run time. A few observations say
// little: they correct it by their number.
func (k *classStats) estimatedRuntime(s *protocol.JobSpec) micros {
	if s.Kind == protocol.Service {
		return protocol.Forever
	}
	confidence := k.weight / (k.weight + priorWeight)
	return max(minEstimatedRuntime, micros(float64(s.EstimatedRuntime)*math.Exp(k.logRuntimeRatio*confidence)))
}

// remainingRuntime estimates what is left of an attempt that has run for a while. One that has
// overrun its estimate is pushed forward.
func (k *classStats) remainingRuntime(s *protocol.JobSpec, ran micros) micros {
	if s.Kind == protocol.Service {
		return protocol.Forever
	}
	return max(k.estimatedRuntime(s)-ran, ran/4, minRemainingRuntime)
}
