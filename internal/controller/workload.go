package controller

import (
	"math"
	"sort"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// workload is what was learned of the classes of jobs.
type workload struct {
	*termContext
	classes map[string]*classStats
}

func (wl *workload) classStats(name string) *classStats {
	k := wl.classes[name]
	if k == nil {
		k = &classStats{}
		wl.classes[name] = k
	}
	return k
}

func (wl *workload) classNames() []string {
	names := make([]string, 0, len(wl.classes))
	for n := range wl.classes {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// classStats is what was learned of a class of jobs.
type classStats struct {
	largestJob      int // tasks of the largest job that was seen
	arrivals        []micros
	lastSpec        *protocol.JobSpec
	logRuntimeRatio float64 // of run times to estimates
	weight          float64
}

// arrivalWindow is the span over which arrivals are counted.
const arrivalWindow = 180 * protocol.Second

func (k *classStats) onArrival(at micros, j *state.Job) {
	k.lastSpec, k.largestJob = j.Spec, max(k.largestJob, j.Spec.Tasks)
	if at-j.EligibleAt < 5*protocol.Second {
		k.arrivals = append(k.arrivals, at)
	}
	for len(k.arrivals) > 0 && at-k.arrivals[0] > arrivalWindow {
		k.arrivals = k.arrivals[1:]
	}
}

// during estimates how many jobs of the class arrive in a span.
func (k *classStats) expectedArrivals(at, term, span micros) float64 {
	n := 0
	for _, t := range k.arrivals {
		if at-t <= arrivalWindow {
			n++
		}
	}
	seen := min(max(at-term, 60*protocol.Second), arrivalWindow)
	return float64(n) * float64(span) / float64(seen)
}

// ran learns from a completed task.
func (k *classStats) onTaskCompleted(j *state.Job, took micros) {
	if j.Spec.EstimatedRuntime <= 0 || took <= 0 || j.FirstStart == 0 {
		return
	}
	r := math.Log(float64(took) / float64(j.Spec.EstimatedRuntime))
	r = max(-2, min(2, r))
	w := 1 / min(k.weight+1, 20)
	k.logRuntimeRatio += (r - k.logRuntimeRatio) * w
	k.weight++
}

// estimatedRuntime is the corrected estimate of a task's run time.
func (k *classStats) estimatedRuntime(s *protocol.JobSpec) micros {
	if s.Kind == protocol.Service {
		return protocol.Forever
	}
	// A few observations say little: they pull the factor by their number.
	pull := k.weight / (k.weight + 3)
	return max(protocol.Second, micros(float64(s.EstimatedRuntime)*math.Exp(k.logRuntimeRatio*pull)))
}

// remaining estimates what is left of an attempt that runs. One that has
// overrun its estimate is pushed forward.
func (k *classStats) remainingRuntime(s *protocol.JobSpec, ran micros) micros {
	if s.Kind == protocol.Service {
		return protocol.Forever
	}
	length := k.estimatedRuntime(s)
	return max(length-ran, ran/4, 2*protocol.Second)
}
