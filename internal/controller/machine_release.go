package controller

import (
	"net/http"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
)

const (
	// maxReleasesPerRequest is how many machines one request to the cloud may release.
	maxReleasesPerRequest = 100

	releaseTimeout = 5 * protocol.Second
	releaseRetry   = protocol.Second
	// releasedRecordDelay is how long a released host's record may stay: a successor that reads
	// it would only release the host once more, and wait for the cloud's response.
	releasedRecordDelay = protocol.Second
)

// releaseHost begins the release of a machine. From now on nothing is placed on it, but its
// attempts still count until the cloud has confirmed the release.
func (cl *cloudMonitor) releaseHost(h *state.Host, reason string) {
	if h.State == state.HostReleasing || h.State == state.HostGone {
		return
	}
	cl.log.Info("releasing machine", "host", h.Name, "type", h.TypeName, "why", reason, "state", h.State.String())
	for _, a := range h.Attempts() {
		if a.State == state.AttemptAssigned {
			cl.agents.onAttemptLost(a)
		}
	}
	h.SetState(state.HostReleasing)
	h.ReleaseReason = reason
	cl.cycleNeeded = true
}

// sendReleases requests the cloud to release the hosts that are in state HostReleasing.
func (cl *cloudMonitor) sendReleases() {
	if cl.now.Steady < cl.nextRelease || cl.releaseInFlight || !cl.election.mayActAsLeader() {
		return
	}
	names := cl.releasingHosts()
	if len(names) == 0 {
		return
	}
	cl.releaseInFlight = true
	call := Call{
		Target: ToCloud, Priority: priorityUrgent, Method: http.MethodPost, Path: "/machines/release",
		Body: protocol.AppendMachineNames(nil, names), Timeout: releaseTimeout,
	}
	cl.send(call, func(r CallResult) {
		if cl.ended() {
			return
		}
		cl.releaseInFlight = false
		if r.Status != http.StatusOK {
			cl.nextRelease = cl.now.Steady + releaseRetry
			return
		}
		for _, name := range names {
			if h := cl.cluster.Host(name); h != nil {
				cl.onReleased(h)
			}
		}
		cl.cycleNeeded = true
	})
}

// releasingHosts returns the names of the hosts to release with one request.
func (cl *cloudMonitor) releasingHosts() []string {
	var names []string
	for _, h := range cl.cluster.Hosts() {
		if h.State == state.HostReleasing && len(names) < maxReleasesPerRequest {
			names = append(names, h.Name)
		}
	}
	return names
}

// onReleased removes a host whose release the cloud has confirmed.
func (cl *cloudMonitor) onReleased(h *state.Host) {
	cl.agents.loseAllAttempts(h, "released: "+h.ReleaseReason)
	h.SetState(state.HostGone)
	h.Reconciled = true
	cl.releasedHosts[h.Name] = cl.now.Steady
	cl.cluster.RemoveHost(h)
	cl.scheduler.removeMachine(h)
	cl.records.hostShards.drop(h.Name, cl.now.Steady+releasedRecordDelay)
	if h.Record.Legacy {
		cl.records.orphanedKeys = append(cl.records.orphanedKeys, records.LegacyHostPrefix+h.Name)
	}
}
