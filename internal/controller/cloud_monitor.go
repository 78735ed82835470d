package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
)

// cloudMonitor polls the cloud's lists, brings the cluster state to them, and releases hosts.
type cloudMonitor struct {
	*termContext
	agents    *agents
	catalog   *machineCatalog
	election  *election
	features  *featureManager
	hosts     *hostMonitor
	records   *recordStore
	scheduler *scheduler

	listAnswering   bool // the cloud answered the last request for its list
	releaseInFlight bool
	nextRelease     micros
}

// pollMachineTypes asks for machine types and prices, and keeps the types so that
// jobs can be checked while the cloud is in trouble.
func (cl *cloudMonitor) pollMachineTypes() {
	if cl.ended() {
		return
	}
	known := len(cl.catalog.types)
	cl.call(ToCloud, priorityUrgent, "GET", "/machine_types", nil, 4*protocol.Second, 0, func(r CallResult) {
		if cl.ended() {
			return
		}
		wait := 60 * protocol.Second
		if r.Status == 200 {
			cl.catalog.applyCloudMachineTypes(r.Body)
			if known == 0 && len(cl.catalog.types) > 0 {
				cl.features.persistMachineTypes(cl.owner)
				cl.cycleNeeded = true
			}
		} else {
			wait = 2 * protocol.Second
		}
		cl.after(wait, func() { cl.pollMachineTypes() })
	})
}

// pollMachineList reads the cloud's list of machines.
func (cl *cloudMonitor) pollMachineList() {
	if cl.ended() {
		return
	}
	listed := make(map[string]protocol.CloudMachine, len(cl.cluster.Hosts()))
	var page func(since string)
	page = func(since string) {
		path := "/machines?page=500"
		if since != "" {
			path = "/machines?since=" + since + "&page=500"
		}
		cl.call(ToCloud, priorityNormal, "GET", path, nil, 4*protocol.Second, 0, func(r CallResult) {
			if cl.ended() {
				return
			}
			cl.listAnswering = r.Status == 200
			if r.Status == 200 {
				hosts, more, err := protocol.ParseMachines(r.Body)
				if err != nil {
					cl.logMalformed("cloud", err)
				} else {
					for _, h := range hosts {
						listed[h.Name] = h
					}
					if more && len(hosts) > 0 {
						page(hosts[len(hosts)-1].Name)
						return
					}
					cl.reconcileMachineList(listed)
				}
			}
			cl.after(2*protocol.Second, func() { cl.pollMachineList() })
		})
	}
	page("")
}

// reconcileMachineList compares the machine list with the book. The list lags and can go
// back, so it only ever leads to a release, which is safe to repeat.
func (cl *cloudMonitor) reconcileMachineList(listed map[string]protocol.CloudMachine) {
	at := cl.now.Steady
	for name, l := range listed {
		if _, gone := cl.releasedHosts[name]; gone {
			continue
		}
		h := cl.cluster.Host(name)
		if h == nil {
			h = state.NewHost(at, name, l.Type, l.Zone, l.Spot)
			h.KnownSince = at - l.Age
			h.Type = cl.catalog.byName[l.Type]
			h.Addr = l.Addr
			cl.cluster.AddHost(h)
			cl.cycleNeeded = true
		}
		h.Listing.Listed, h.Listing.State, h.Listing.AbsentSince = true, l.State, 0
		if h.Addr == "" {
			h.Addr = l.Addr
		}
	}
	for _, h := range cl.cluster.Hosts() {
		if h.Type == nil {
			h.Type, h.Stale = cl.catalog.byName[h.TypeName], true
		}
		_, here := listed[h.Name]
		if !here && h.Listing.AbsentSince == 0 {
			h.Listing.AbsentSince = at
		}
		silent := at-h.Agent.LastContact > cl.hosts.silenceThreshold()+protocol.Second && !cl.isLagging(cl.hosts.silenceThreshold())
		// A list is at most twice the lag old, so a machine that had reported
		// before that and is not in it is gone.
		known := h.Record.WrittenWall > 0 && cl.now.Wall-h.Record.WrittenWall > 2*cl.platform.MachineListLag+2*protocol.Second
		switch {
		case h.State == state.HostReleasing || h.State == state.HostGone:
		case here && h.Listing.State == protocol.CloudFailed:
			cl.releaseHost(h, "failed")
		case !here && silent && known:
			cl.releaseHost(h, "not listed any more")
		case !here && h.Listing.Listed && silent && at-h.Listing.AbsentSince > 2*cl.platform.MachineListLag+protocol.Second:
			cl.releaseHost(h, "not listed any more")
		case h.State == state.HostBooting && !h.Record.FromEarlierEpoch && h.Type != nil && at-h.KnownSince > 3*h.Type.BootTime+10*protocol.Second:
			cl.releaseHost(h, "does not come up")
		}
	}
}

// releaseHost gives a machine back. Nothing is put on it from now on; its tasks
// count until the cloud has answered.
func (cl *cloudMonitor) releaseHost(h *state.Host, why string) {
	if h.State == state.HostReleasing || h.State == state.HostGone {
		return
	}
	cl.log.Info("releasing machine", "host", h.Name, "type", h.TypeName, "why", why, "state", h.State.String())
	for _, a := range h.Attempts() {
		if a.State == state.AttemptAssigned {
			cl.agents.onAttemptLost(a)
		}
	}
	h.SetState(state.HostReleasing)
	h.ReleaseReason = why
	cl.cycleNeeded = true
}

// sendReleases sends what rental has to send.
func (cl *cloudMonitor) sendReleases() {
	if cl.now.Steady < cl.nextRelease || cl.releaseInFlight || !cl.election.mayActAsLeader() {
		return
	}
	var names []string
	for _, h := range cl.cluster.Hosts() {
		if h.State == state.HostReleasing && len(names) < 100 {
			names = append(names, h.Name)
		}
	}
	if len(names) == 0 {
		return
	}
	cl.releaseInFlight = true
	cl.call(ToCloud, priorityUrgent, "POST", "/machines/release", protocol.AppendMachineNames(nil, names), 5*protocol.Second, 0, func(r CallResult) {
		if cl.ended() {
			return
		}
		cl.releaseInFlight = false
		if r.Status != 200 {
			cl.nextRelease = cl.now.Steady + protocol.Second
			return
		}
		for _, name := range names {
			h := cl.cluster.Host(name)
			if h == nil {
				continue
			}
			cl.agents.loseAllAttempts(h, "released: "+h.ReleaseReason)
			h.SetState(state.HostGone)
			h.Reconciled = true
			cl.releasedHosts[name] = cl.now.Steady
			cl.cluster.RemoveHost(h)
			cl.scheduler.removeMachine(h)
			// A record left over would only make a successor release the name
			// once more, and wait for that.
			cl.records.hostShards.drop(name, cl.now.Steady+protocol.Second)
			if h.Record.Legacy {
				cl.records.orphanedKeys = append(cl.records.orphanedKeys, records.LegacyHostPrefix+name)
			}
		}
		cl.cycleNeeded = true
	})
}
