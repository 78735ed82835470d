package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// machineEstimates holds what the leader has observed of machine types: how long boots and image
// fetches take, as factors of the published times.
type machineEstimates struct {
	*termContext
	catalog *machineCatalog

	bootFactor  estimateFactors
	fetchFactor estimateFactors
}

// estimateFactors are moving averages of observed times by machine type, as factors of the
// published times.
type estimateFactors map[string]float64

// factor returns the factor of a machine type, 1 before the first observation.
func (f estimateFactors) factor(machineType string) float64 {
	if factor := f[machineType]; factor != 0 {
		return factor
	}
	return 1
}

// observe moves the factor of a machine type towards an observation by a weight.
func (f estimateFactors) observe(machineType string, observed, weight float64) {
	factor := f.factor(machineType)
	f[machineType] = factor + (observed-factor)*weight
}

// scale returns a published time, multiplied by the factor of a machine type.
func (f estimateFactors) scale(machineType string, published micros) micros {
	return micros(float64(published) * f.factor(machineType))
}

// Bounds and weights of observations. A single outlier must not distort an estimate.
const (
	minBootFactor     = 0.3
	maxBootObserved   = 2
	bootWeight        = 0.2
	minFetchFactor    = 0.5
	maxFetchFactor    = 3
	fetchWeight       = 0.1
	minObservedFetch  = protocol.Second     // shorter fetches are not representative
	minOverdueBooting = 2 * protocol.Second // minimum time until an overdue host is expected
)

// observeBoot updates the boot time estimate from a host that has come up.
func (est *machineEstimates) observeBoot(h *state.Host, at micros) {
	if h.Type == nil || h.Type.BootTime <= 0 {
		return
	}
	observed := float64(at-h.KnownSince) / float64(h.Type.BootTime)
	est.bootFactor.observe(h.TypeName, max(minBootFactor, min(maxBootObserved, observed)), bootWeight)
}

// bootTime returns the expected boot time of a machine type.
func (est *machineEstimates) bootTime(t *protocol.MachineType) micros {
	return est.bootFactor.scale(t.Name, t.BootTime)
}

// expectedBootEnd returns when a booting host is expected to send its first heartbeat. An overdue
// boot is expected to take half as long again as it has already taken.
func (est *machineEstimates) expectedBootEnd(h *state.Host) micros {
	now := est.now.Steady
	overdue := max((now-h.KnownSince)/2, minOverdueBooting)
	return max(h.KnownSince+est.bootTime(h.Type), now+overdue)
}

// observeFetch updates the fetch time estimate from an attempt whose image has been fetched.
func (est *machineEstimates) observeFetch(a *state.Attempt) {
	h := a.Host
	if h.Type == nil || a.Adopted || a.ExpectedReady == 0 {
		return
	}
	published := h.Type.FetchTime(a.Job.Spec.ImageSize)
	if published < minObservedFetch {
		return
	}
	observed := float64(est.now.Steady-a.PlacedAt) / float64(published)
	est.fetchFactor.observe(h.TypeName, max(minFetchFactor, min(maxFetchFactor, observed)), fetchWeight)
}

// fetchTime returns the expected time to fetch an image of a size on a machine type.
func (est *machineEstimates) fetchTime(t *protocol.MachineType, size int64) micros {
	return est.fetchFactor.scale(t.Name, t.FetchTime(size))
}

// longestFetch returns the expected time to fetch a job's image on the slowest machine type that
// the job may run on.
func (est *machineEstimates) longestFetch(s *protocol.JobSpec) micros {
	var longest micros
	for _, t := range est.catalog.types {
		if s.AllowsType(t.Name) {
			longest = max(longest, est.fetchTime(t, s.ImageSize))
		}
	}
	return longest
}
