package controller

import (
	"math"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// class is what was learned of a class of jobs.
type class struct {
	most     int // tasks of the largest job that was seen
	arrivals []micros
	last     *protocol.JobSpec
	logRatio float64 // of run times to estimates
	weight   float64
}

func (c *Controller) class(name string) *class {
	k := c.term.classes[name]
	if k == nil {
		k = &class{}
		c.term.classes[name] = k
	}
	return k
}

// arrivalWindow is the span over which arrivals are counted.
const arrivalWindow = 180 * protocol.Second

func (k *class) arrived(at micros, j *state.Job) {
	k.last, k.most = j.Spec, max(k.most, j.Spec.Tasks)
	if at-j.EligibleAt < 5*protocol.Second {
		k.arrivals = append(k.arrivals, at)
	}
	for len(k.arrivals) > 0 && at-k.arrivals[0] > arrivalWindow {
		k.arrivals = k.arrivals[1:]
	}
}

// during estimates how many jobs of the class arrive in a span.
func (k *class) during(at, term, span micros) float64 {
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
func (k *class) ran(j *state.Job, took micros) {
	if j.Spec.EstimatedRuntime <= 0 || took <= 0 || j.FirstStart == 0 {
		return
	}
	r := math.Log(float64(took) / float64(j.Spec.EstimatedRuntime))
	r = max(-2, min(2, r))
	w := 1 / min(k.weight+1, 20)
	k.logRatio += (r - k.logRatio) * w
	k.weight++
}

// length is the corrected estimate of a task's run time.
func (k *class) length(s *protocol.JobSpec) micros {
	if s.Kind == protocol.Service {
		return protocol.Forever
	}
	// A few observations say little: they pull the factor by their number.
	pull := k.weight / (k.weight + 3)
	return max(protocol.Second, micros(float64(s.EstimatedRuntime)*math.Exp(k.logRatio*pull)))
}

// remaining estimates what is left of an attempt that runs. One that has
// overrun its estimate is pushed forward.
func (k *class) remaining(s *protocol.JobSpec, ran micros) micros {
	if s.Kind == protocol.Service {
		return protocol.Forever
	}
	length := k.length(s)
	return max(length-ran, ran/4, 2*protocol.Second)
}

// learnFetch learns how long fetches take on a type of machine.
func (c *Controller) learnFetch(a *state.Attempt) {
	h, j := a.Host, a.Job
	if h.Type == nil || a.Adopted || a.ExpectedReady == 0 {
		return
	}
	nominal := h.Type.FetchTime(j.Spec.ImageSize)
	took := c.at.Steady - a.PlacedAt
	if nominal < protocol.Second {
		return
	}
	f := c.term.rental.fetchFactor[h.TypeName]
	if f == 0 {
		f = 1
	}
	r := max(0.5, min(3, float64(took)/float64(nominal)))
	c.term.rental.fetchFactor[h.TypeName] = f + (r-f)*0.1
}

func (c *Controller) fetchTime(t *protocol.MachineType, size int64) micros {
	f := c.term.rental.fetchFactor[t.Name]
	if f == 0 {
		f = 1
	}
	return micros(float64(t.FetchTime(size)) * f)
}
