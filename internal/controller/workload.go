package controller

import (
	"maps"
	"math"
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// workload holds statistics of the classes of jobs.
type workload struct {
	*termContext
	classes map[string]*classStats
}

// classStats returns the statistics of a class, which are empty for a new class.
func (wl *workload) classStats(name string) *classStats {
	stats := wl.classes[name]
	if stats == nil {
		stats = &classStats{}
		wl.classes[name] = stats
	}
	return stats
}

func (wl *workload) classNames() []string { return slices.Sorted(maps.Keys(wl.classes)) }

// classStats are the statistics of a class of jobs in this term.
type classStats struct {
	largestJob int               // number of tasks of the largest job that has arrived
	arrivals   []micros          // times of the arrivals within arrivalWindow
	lastSpec   *protocol.JobSpec // of the job that arrived last
	// logRuntimeRatio is the logarithm of the ratio of tasks' run times to their estimates, as a
	// moving average. weight is the number of observations in it.
	logRuntimeRatio float64
	weight          float64
}

const (
	// arrivalWindow is the time over which arrivals are counted, and minArrivalSpan the shortest
	// time from which an arrival rate is derived.
	arrivalWindow  = 180 * protocol.Second
	minArrivalSpan = 60 * protocol.Second
	// newArrivalAge is the age up to which a job counts as an arrival: older jobs were submitted
	// to an earlier leader.
	newArrivalAge = 5 * protocol.Second

	// maxLogRatio bounds an observed logRuntimeRatio, and maxRatioWeight the weight of the earlier
	// observations against it.
	maxLogRatio    = 2
	maxRatioWeight = 20
	// priorWeight is the weight of the users' estimates against the observations.
	priorWeight = 3

	minEstimatedRuntime = protocol.Second
	minRemainingRuntime = 2 * protocol.Second
)

// onArrival updates the statistics with a job that has arrived.
func (cs *classStats) onArrival(now micros, j *state.Job) {
	cs.lastSpec, cs.largestJob = j.Spec, max(cs.largestJob, j.Spec.Tasks)
	if now-j.EligibleAt < newArrivalAge {
		cs.arrivals = append(cs.arrivals, now)
	}
	for len(cs.arrivals) > 0 && now-cs.arrivals[0] > arrivalWindow {
		cs.arrivals = cs.arrivals[1:]
	}
}

// expectedArrivals estimates how many jobs of the class arrive in a time span, from the arrivals
// that the leader has counted since its term started.
func (cs *classStats) expectedArrivals(now, termStart, span micros) float64 {
	count := 0
	for _, at := range cs.arrivals {
		if now-at <= arrivalWindow {
			count++
		}
	}
	observed := min(max(now-termStart, minArrivalSpan), arrivalWindow)
	return float64(count) * float64(span) / float64(observed)
}

// onTaskCompleted updates the statistics with the run time of a completed task.
func (cs *classStats) onTaskCompleted(j *state.Job, runtime micros) {
	if j.Spec.EstimatedRuntime <= 0 || runtime <= 0 || j.FirstStart == 0 {
		return
	}
	ratio := math.Log(float64(runtime) / float64(j.Spec.EstimatedRuntime))
	ratio = max(-maxLogRatio, min(maxLogRatio, ratio))
	cs.logRuntimeRatio += (ratio - cs.logRuntimeRatio) * (1 / min(cs.weight+1, maxRatioWeight))
	cs.weight++
}

// estimatedRuntime returns the user's estimate of a task's run time, corrected by the observed
// ratio. The fewer the observations, the smaller the correction, because a few are unreliable.
func (cs *classStats) estimatedRuntime(s *protocol.JobSpec) micros {
	if s.Kind == protocol.Service {
		return protocol.Forever
	}
	confidence := cs.weight / (cs.weight + priorWeight)
	return max(minEstimatedRuntime, micros(float64(s.EstimatedRuntime)*math.Exp(cs.logRuntimeRatio*confidence)))
}

// remainingRuntime estimates the remaining run time of an attempt. It is at least a quarter of the
// elapsed run time, so that the expected end of an attempt that overruns its estimate is postponed.
func (cs *classStats) remainingRuntime(s *protocol.JobSpec, elapsed micros) micros {
	if s.Kind == protocol.Service {
		return protocol.Forever
	}
	return max(cs.estimatedRuntime(s)-elapsed, elapsed/4, minRemainingRuntime)
}
