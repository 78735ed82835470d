package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// machineEstimates is what was learned of machine types: how long boots and image fetches
// take, as factors of the published times.
type machineEstimates struct {
	*termContext
	bootFactor  map[string]float64
	fetchFactor map[string]float64
}

// observeBoot learns from a host that has come up.
func (me *machineEstimates) observeBoot(h *state.Host, at micros) {
	if h.Type == nil || h.Type.BootTime <= 0 {
		return
	}
	f := me.bootFactor[h.TypeName]
	if f == 0 {
		f = 1
	}
	x := max(0.3, min(2, float64(at-h.KnownSince)/float64(h.Type.BootTime)))
	me.bootFactor[h.TypeName] = f + (x-f)*0.2
}

func (me *machineEstimates) bootTime(t *protocol.MachineType) micros {
	f := me.bootFactor[t.Name]
	if f == 0 {
		f = 1
	}
	return micros(float64(t.BootTime) * f)
}

// expectedBootEnd is when a booting host is expected to report.
func (me *machineEstimates) expectedBootEnd(h *state.Host) micros {
	due := h.KnownSince + me.bootTime(h.Type)
	age := me.now.Steady - h.KnownSince
	return max(due, me.now.Steady+max(age/2, 2*protocol.Second))
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
