package controller

import (
	"slices"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

const (
	fleetLogInterval = 20 * protocol.Second
	milliGPUs        = 1000 // per GPU
)

// fleetUsage is the usage of the machines of a type, spot or not.
type fleetUsage struct {
	hosts, empty, needed, gpus, usedGPUs int64
	preemptible                          int64 // hosts on which all attempts may be preempted
}

// logFleet logs the usage of the machines every fleetLogInterval.
func (as *autoscaler) logFleet(booting, waitingJobs int) {
	if as.now.Steady < as.nextFleetLog {
		return
	}
	as.nextFleetLog = as.now.Steady + fleetLogInterval
	byType := make(map[string]*fleetUsage)
	var names []string
	for _, h := range as.cluster.Hosts() {
		if h.Type == nil || h.State != state.HostReady {
			continue
		}
		name := h.TypeName
		if h.Spot {
			name += ",spot"
		}
		usage := byType[name]
		if usage == nil {
			usage = &fleetUsage{}
			byType[name] = usage
			names = append(names, name)
		}
		as.addUsage(usage, h)
	}
	for _, name := range names {
		u := byType[name]
		as.log.Info("fleet", "type", name, "hosts", u.hosts, "empty", u.empty, "kept_spare", u.needed, "yielding", u.preemptible,
			"gpus", u.gpus, "gpus_used", u.usedGPUs, "booting", booting, "jobs_waiting", waitingJobs)
	}
}

func (as *autoscaler) addUsage(u *fleetUsage, h *state.Host) {
	u.hosts++
	u.gpus += h.Type.Capacity.GPU / milliGPUs
	u.usedGPUs += h.Used().GPU / milliGPUs
	if !h.Empty() {
		if !slices.ContainsFunc(h.Attempts(), as.isNotPreemptible) {
			u.preemptible++
		}
		return
	}
	u.empty++
	if as.neededMachines[as.scheduler.machines[h]] {
		u.needed++
	}
}

// isNotPreemptible reports whether an attempt holds resources and may not be preempted.
func (as *autoscaler) isNotPreemptible(a *state.Attempt) bool {
	return a.State.HoldsResources() && a.Job != nil && !as.scheduler.isPreemptible(a.Job)
}

// bootingMachines counts the machines that are booting or have been requested.
func (as *autoscaler) bootingMachines() int {
	booting := 0
	for _, h := range as.cluster.Hosts() {
		if h.State == state.HostBooting && !h.Record.FromEarlierEpoch {
			booting++
		}
	}
	for _, n := range as.requested {
		booting += n
	}
	return booting
}
