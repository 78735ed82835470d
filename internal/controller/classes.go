package controller

import (
	"math"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// classStats is what was learned of a class of jobs.
type classStats struct {
	largestJob      int // tasks of the largest job that was seen
	arrivals        []micros
	lastSpec        *protocol.JobSpec
	logRuntimeRatio float64 // of run times to estimates
	weight          float64
}

func (wl *workload) classStats(name string) *classStats {
	k := wl.classes[name]
	if k == nil {
		k = &classStats{}
		wl.classes[name] = k
	}
	return k
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

// observeFetch learns how long fetches take on a type of machine.
func (me *machineEstimates) observeFetch(a *state.Attempt) {
	h, j := a.Host, a.Job
	if h.Type == nil || a.Adopted || a.ExpectedReady == 0 {
		return
	}
	nominal := h.Type.FetchTime(j.Spec.ImageSize)
	took := me.now.Steady - a.PlacedAt
	if nominal < protocol.Second {
		return
	}
	f := me.fetchFactor[h.TypeName]
	if f == 0 {
		f = 1
	}
	r := max(0.5, min(3, float64(took)/float64(nominal)))
	me.fetchFactor[h.TypeName] = f + (r-f)*0.1
}

func (me *machineEstimates) fetchTime(t *protocol.MachineType, size int64) micros {
	f := me.fetchFactor[t.Name]
	if f == 0 {
		f = 1
	}
	return micros(float64(t.FetchTime(size)) * f)
}
