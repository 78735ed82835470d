package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// machineEstimates is what was learned of machine types: how long boots and image fetches take,
// as factors of the published times.
type machineEstimates struct {
	*termContext
	catalog *machineCatalog

	bootFactor  estimateFactors
	fetchFactor estimateFactors
}

// estimateFactors are moving averages of what was observed, as factors of published times, by
// machine type.
type estimateFactors map[string]float64

// of is the factor of a machine type, 1 before anything was observed.
func (f estimateFactors) of(machineType string) float64 {
	if factor := f[machineType]; factor != 0 {
		return factor
	}
	return 1
}

// observe moves a factor towards an observation by a weight.
func (f estimateFactors) observe(machineType string, observed, weight float64) {
	factor := f.of(machineType)
	f[machineType] = factor + (observed-factor)*weight
}

// scale is a published time times a machine type's factor.
func (f estimateFactors) scale(machineType string, published micros) micros {
	return micros(float64(published) * f.of(machineType))
}

// Observations are bounded, so that a single odd one does not spoil an estimate.
const (
	minBootFactor     = 0.3
	maxBootObserved   = 2
	bootWeight        = 0.2
	minFetchFactor    = 0.5
	maxFetchFactor    = 3
	fetchWeight       = 0.1
	minObservedFetch  = protocol.Second // shorter ones say little
	minOverdueBooting = 2 * protocol.Second
)

// observeBoot learns from a host that has come up.
func (me *machineEstimates) observeBoot(h *state.Host, at micros) {
	if h.Type == nil || h.Type.BootTime <= 0 {
		return
	}
	observed := float64(at-h.KnownSince) / float64(h.Type.BootTime)
	me.bootFactor.observe(h.TypeName, max(minBootFactor, min(maxBootObserved, observed)), bootWeight)
}

// bootTime is how long machines of a type are expected to boot.
func (me *machineEstimates) bootTime(t *protocol.MachineType) micros {
	return me.bootFactor.scale(t.Name, t.BootTime)
}

// expectedBootEnd is when a booting host is expected to report.
func (me *machineEstimates) expectedBootEnd(h *state.Host) micros {
	now := me.now.Steady
	overdue := max((now-h.KnownSince)/2, minOverdueBooting)
	return max(h.KnownSince+me.bootTime(h.Type), now+overdue)
}

// observeFetch learns how long fetches take on a type of machine.
func (me *machineEstimates) observeFetch(a *state.Attempt) {
	h := a.Host
	if h.Type == nil || a.Adopted || a.ExpectedReady == 0 {
		return
	}
	published := h.Type.FetchTime(a.Job.Spec.ImageSize)
	if published < minObservedFetch {
		return
	}
	observed := float64(me.now.Steady-a.PlacedAt) / float64(published)
	me.fetchFactor.observe(h.TypeName, max(minFetchFactor, min(maxFetchFactor, observed)), fetchWeight)
}

// fetchTime is how long an image of a size is expected to be fetched on a type of machine.
func (me *machineEstimates) fetchTime(t *protocol.MachineType, size int64) micros {
	return me.fetchFactor.scale(t.Name, t.FetchTime(size))
}

// longestFetch is how long a job's image is expected to be fetched on the slowest type of
// machine that it may run on.
func (me *machineEstimates) longestFetch(s *protocol.JobSpec) micros {
	var longest micros
	for _, t := range me.catalog.types {
		if s.AllowsType(t.Name) {
			longest = max(longest, me.fetchTime(t, s.ImageSize))
		}
	}
	return longest
}
