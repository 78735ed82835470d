package controller

import (
	"fmt"
	"net/http"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// cloudMonitor polls the cloud's machine types and its list of machines, reconciles the cluster
// state with them, and releases hosts.
type cloudMonitor struct {
	*termContext
	agents    *agents
	catalog   *machineCatalog
	election  *election
	features  *featureManager
	hosts     *hostMonitor
	records   *recordStore
	scheduler *scheduler

	listAvailable   bool // the cloud responded to the last request for its machine list
	releaseInFlight bool
	nextRelease     micros // no release request is sent before this time
}

const (
	cloudReadTimeout    = 4 * protocol.Second
	machineTypesRefresh = 60 * protocol.Second
	machineTypesRetry   = 2 * protocol.Second
	machineListInterval = 2 * protocol.Second
	machineListPath     = "/machines?page=500"
	machineListNextPath = "/machines?since=%s&page=500"
)

// pollMachineTypes requests machine types and prices from the cloud as long as the term lasts. It
// has the types recorded, so that jobs can be validated while the cloud is unavailable.
func (cl *cloudMonitor) pollMachineTypes() {
	if cl.ended() {
		return
	}
	known := len(cl.catalog.types)
	call := Call{Target: ToCloud, Priority: priorityUrgent, Method: http.MethodGet, Path: "/machine_types", Timeout: cloudReadTimeout}
	cl.send(call, func(r CallResult) {
		if cl.ended() {
			return
		}
		if r.Status != http.StatusOK {
			cl.after(machineTypesRetry, cl.pollMachineTypes)
			return
		}
		cl.catalog.applyCloudMachineTypes(r.Body)
		if known == 0 && len(cl.catalog.types) > 0 {
			cl.features.persistMachineTypes(cl.owner)
			cl.cycleNeeded = true
		}
		cl.after(machineTypesRefresh, cl.pollMachineTypes)
	})
}

// machineList contains the cloud's machines by name.
type machineList map[string]protocol.CloudMachine

// pollMachineList reads the cloud's machine list as long as the term lasts.
func (cl *cloudMonitor) pollMachineList() {
	if cl.ended() {
		return
	}
	cl.readMachineList(machineListPath, make(machineList, len(cl.cluster.Hosts())))
}

// readMachineList reads a page of the machine list, and then the pages after it.
func (cl *cloudMonitor) readMachineList(path string, listed machineList) {
	call := Call{Target: ToCloud, Priority: priorityNormal, Method: http.MethodGet, Path: path, Timeout: cloudReadTimeout}
	cl.send(call, func(r CallResult) {
		if cl.ended() {
			return
		}
		cl.listAvailable = r.Status == http.StatusOK
		if next, more := cl.addListedMachines(r, listed); more {
			cl.readMachineList(next, listed)
			return
		}
		cl.after(machineListInterval, cl.pollMachineList)
	})
}

// addListedMachines adds a page to the machine list, and returns the path of the next page. After
// the last page, the cluster state is reconciled with the list. If a page can't be read, the list
// is discarded.
func (cl *cloudMonitor) addListedMachines(r CallResult, listed machineList) (next string, more bool) {
	if r.Status != http.StatusOK {
		return "", false
	}
	machines, more, err := protocol.ParseMachines(r.Body)
	if err != nil {
		cl.logMalformed("cloud", err)
		return "", false
	}
	for _, m := range machines {
		listed[m.Name] = m
	}
	if more && len(machines) > 0 {
		return fmt.Sprintf(machineListNextPath, machines[len(machines)-1].Name), true
	}
	cl.reconcileMachineList(listed)
	return "", false
}

// reconcileMachineList compares the cloud's machine list with the cluster state. The list lags
// behind and can revert to an older state, so the only action that it triggers is a release, which
// is safe to repeat.
func (cl *cloudMonitor) reconcileMachineList(listed machineList) {
	for name, m := range listed {
		if _, released := cl.releasedHosts[name]; !released {
			cl.observeListedMachine(m)
		}
	}
	for _, h := range cl.cluster.Hosts() {
		if h.Type == nil {
			h.Type, h.Stale = cl.catalog.byName[h.TypeName], true
		}
		_, isListed := listed[h.Name]
		if !isListed && h.Listing.AbsentSince == 0 {
			h.Listing.AbsentSince = cl.now.Steady
		}
		if reason := cl.releaseReason(h, isListed); reason != "" {
			cl.releaseHost(h, reason)
		}
	}
}

// observeListedMachine updates the host of a listed machine, and adds it if it is not known.
func (cl *cloudMonitor) observeListedMachine(m protocol.CloudMachine) {
	h := cl.cluster.Host(m.Name)
	if h == nil {
		h = state.NewHost(cl.now.Steady, m.Name, m.Type, m.Zone, m.Spot)
		h.KnownSince = cl.now.Steady - m.Age
		h.Type = cl.catalog.byName[m.Type]
		h.Addr = m.Addr
		cl.cluster.AddHost(h)
		cl.cycleNeeded = true
	}
	h.Listing.Listed, h.Listing.State, h.Listing.AbsentSince = true, m.State, 0
	if h.Addr == "" {
		h.Addr = m.Addr
	}
}

// Margins for contradictions between the machine list and the hosts, see releaseReason.
const (
	listedSilenceMargin = protocol.Second
	recordedListMargin  = 2 * protocol.Second
	absentListMargin    = protocol.Second
	// A machine that is not up after maxBootFactor times the boot time of its type, plus
	// bootMargin, is released.
	maxBootFactor = 3
	bootMargin    = 10 * protocol.Second
)

// releaseReason returns why a host has to be released, or "" if it does not have to be. A list is
// at most twice MachineListLag old. So a silent machine that is not in the list is gone if it was
// recorded before that time, or has been absent from the lists for longer.
func (cl *cloudMonitor) releaseReason(h *state.Host, isListed bool) string {
	now, threshold := cl.now.Steady, cl.hosts.silenceThreshold()
	maxListAge := 2 * cl.platform.MachineListLag
	silent := now-h.Agent.LastContact > threshold+listedSilenceMargin && !cl.isLagging(threshold)
	recordedBefore := h.Record.WrittenWall > 0 && cl.now.Wall-h.Record.WrittenWall > maxListAge+recordedListMargin
	switch {
	case h.State == state.HostReleasing || h.State == state.HostGone:
		return ""
	case isListed && h.Listing.State == protocol.CloudFailed:
		return "failed"
	case !isListed && silent && recordedBefore:
		return "not listed any more"
	case !isListed && h.Listing.Listed && silent && now-h.Listing.AbsentSince > maxListAge+absentListMargin:
		return "not listed any more"
	case h.State == state.HostBooting && !h.Record.FromEarlierEpoch && h.Type != nil && now-h.KnownSince > maxBootFactor*h.Type.BootTime+bootMargin:
		return "did not boot in time"
	}
	return ""
}
