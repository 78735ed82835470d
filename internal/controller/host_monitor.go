package controller

import (
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// hostMonitor watches the silence of hosts: it proves their tasks gone when leases expire,
// notices partitions, and has hosts released that are lost.
type hostMonitor struct {
	*termContext
	agents   *agents
	cloud    *cloudMonitor
	commands *commandSender
	election *election
	handover *handoverWriter
	peers    *peerMonitor
	prober   *prober
	recovery *recovery
	transfer *transferController

	partitionSeenAt map[string]micros // when a zone last looked cut off
}

// Shares of a zone's hosts that are silent when the zone counts as cut off.
const (
	smallZoneHosts      = 30
	maxPartitionShare   = 0.5
	minPartitionShare   = 0.2
	partitionBegunShare = 0.6 // of the hosts that should have begun to be silent
	minPartitionHosts   = 3
)

const (
	// partitionRetentionLeases is how many leases the hosts of a zone that is cut off are kept,
	// unless the operators say for how long. A cut of two minutes takes more than four.
	partitionRetentionLeases = 8
	partitionHoldMargin      = 4 * protocol.Second
	// silentLeases is for how many leases a host is kept that ignores commands.
	silentLeases = 2
)

// Reasons for which the monitor releases hosts.
const (
	releaseSilent             = "silent"
	releaseSilentCancelled    = "silent, and a cancelled task may be on it"
	releaseUnheedingCancelled = "ignores commands, and a cancelled task may be on it"
)

// silenceThreshold is after how long without a message a host counts as silent: its heartbeat
// is overdue by half of the time between two.
func (hm *hostMonitor) silenceThreshold() micros { return hm.platform.HeartbeatInterval * 3 / 2 }

// silentFor is how long nothing was heard of a host.
func (hm *hostMonitor) silentFor(h *state.Host) micros { return hm.now.Steady - h.Agent.LastContact }

func (hm *hostMonitor) isSilent(h *state.Host) bool {
	return hm.silentFor(h) > hm.silenceThreshold()
}

// releaseDelay is after how long a silent host is released, if nothing else is known.
func (hm *hostMonitor) releaseDelay() micros {
	return max(hm.operator.SilentReleaseDelay, hm.silenceThreshold()+commandTimeout)
}

// partitionThreshold is the share of a zone's hosts that are silent when it counts as cut off.
// The first of them would be released a fixed time after it fell silent, and by then the
// others have only begun to be silent: with longer times between heartbeats, fewer. In a small
// zone a few hosts that die at once are as many, so it takes half.
func (hm *hostMonitor) partitionThreshold(hosts int) float64 {
	if hosts < smallZoneHosts {
		return maxPartitionShare
	}
	begun := float64(hm.releaseDelay()-hm.silenceThreshold()) / float64(hm.platform.HeartbeatInterval)
	return max(minPartitionShare, min(maxPartitionShare, partitionBegunShare*begun))
}

// partitionRetention is how long the hosts of a zone that is cut off are kept.
func (hm *hostMonitor) partitionRetention() micros {
	if hm.operator.PartitionRetention > 0 {
		return hm.operator.PartitionRetention
	}
	return partitionRetentionLeases * hm.platform.WorkerLease
}

// partitionHoldTime is how long a zone counts as cut off after it last looked so: when a
// partition ends, its hosts do not all come back at the same instant.
func (hm *hostMonitor) partitionHoldTime() micros {
	return 2*hm.platform.HeartbeatInterval + partitionHoldMargin
}

func (hm *hostMonitor) isCutOff(zone string) bool {
	seen, ok := hm.partitionSeenAt[zone]
	return ok && hm.now.Steady-seen < hm.partitionHoldTime()
}

// checkHosts looks at all hosts: it notices silence, proves tasks gone, and sees when every
// recorded host is accounted for.
func (hm *hostMonitor) checkHosts() {
	zones, expected, lost := hm.countWorkers()
	if hm.transfer.considerTransfer(zones) {
		return
	}
	releaseAfter := hm.releaseDelay()
	if lost > 2 && lost*3 > expected {
		releaseAfter *= 2 // so many at once are rather cut off than dead
	}
	hm.notePartitions(zones)
	hm.handover.updateHandover(hm.releaseDelay())
	mayRelease := hm.election.mayActAsLeader() && !hm.isLagging(hm.releaseDelay())
	unreconciled := 0
	for _, h := range hm.cluster.Hosts() {
		if h.Record.FromEarlierEpoch && !h.Reconciled {
			unreconciled++
		} else if h.State == state.HostReady && !hm.isSilent(h) {
			hm.checkReportingHost(h, mayRelease)
			continue
		}
		hm.checkSilentHost(h, hm.hostReleaseDelay(h, releaseAfter), mayRelease)
		if h.Interruption.Noticed && h.State == state.HostReady {
			hm.drainInterrupted(h)
		}
	}
	if unreconciled == 0 && !hm.reconciled {
		hm.onReconciled()
	}
}

// countWorkers counts the workers that this leader should hear, by zone and in all, and those
// that have been silent for longer than the release delay.
func (hm *hostMonitor) countWorkers() (zones map[string]leadership.ZoneWorkers, expected, lost int) {
	zones = make(map[string]leadership.ZoneWorkers, len(hm.platform.Zones))
	for _, h := range hm.cluster.Hosts() {
		ready := h.State == state.HostReady && (h.Reconciled || !h.Unverified)
		if !ready && (!h.Record.FromEarlierEpoch || h.Reconciled) {
			continue
		}
		expected++
		z := zones[h.Zone]
		z.All++
		if hm.isSilent(h) {
			z.Silent++
		} else if h.Agent.LeaderUnreachableAt > 0 && hm.now.Steady-h.Agent.LeaderUnreachableAt < hm.platform.WorkerLease {
			z.Relayed++
		}
		zones[h.Zone] = z
		if hm.silentFor(h) > hm.releaseDelay() {
			lost++
		}
	}
	return zones, expected, lost
}

// notePartitions notes which zones look cut off.
func (hm *hostMonitor) notePartitions(zones map[string]leadership.ZoneWorkers) {
	for name, z := range zones {
		if z.Silent >= minPartitionHosts && float64(z.Silent) >= hm.partitionThreshold(z.All)*float64(z.All) {
			hm.partitionSeenAt[name] = hm.now.Steady
		}
	}
}

// hostReleaseDelay is after how long a silent host is released.
func (hm *hostMonitor) hostReleaseDelay(h *state.Host, delay micros) micros {
	if hm.isCutOff(h.Zone) {
		// The tasks of the zone go on within their leases, and a release would end them all.
		// After that the hosts are worth keeping for a while, with their images.
		delay = max(delay, hm.partitionRetention())
	}
	if ignoresCommands(h) {
		// Its worker goes from controller to controller, each time after it has waited for an
		// answer, and comes round to this one only then. If it hears this one again before its
		// lease expires, what is on it goes on.
		delay = max(delay, silentLeases*hm.platform.WorkerLease)
	}
	if h.Agent.ForwardedAt > 0 && hm.now.Steady-h.Agent.ForwardedAt < hm.platform.WorkerLease {
		// It is redirected here now and then, and comes round to the controller that forwards
		// its heartbeats only after that.
		delay = max(delay, redirectReturnWindow)
	}
	return delay
}

// checkReportingHost looks at a host that reports.
func (hm *hostMonitor) checkReportingHost(h *state.Host, mayRelease bool) {
	if h.Interruption.Noticed {
		hm.drainInterrupted(h)
	}
	if !ignoresCommands(h) {
		return
	}
	if mayRelease && hm.mayRunCancelledTask(h) {
		hm.cloud.releaseHost(h, releaseUnheedingCancelled)
	} else {
		hm.probe(h)
	}
}

// checkSilentHost looks at a host that is silent, or not up.
func (hm *hostMonitor) checkSilentHost(h *state.Host, releaseAfter micros, mayRelease bool) {
	expired := hm.peers.leaseExpired(h)
	switch h.State {
	case state.HostBooting, state.HostReady:
		if h.State == state.HostBooting && !h.Record.FromEarlierEpoch {
			return // has never reported: holds nothing
		}
		if expired {
			hm.agents.onAgentLeaseExpired(h)
			h.SetState(state.HostSilent)
			h.Reconciled = true
			return
		}
		hm.checkUnexpiredHost(h, releaseAfter, mayRelease)
	case state.HostSilent:
		if hm.silentFor(h) > releaseAfter+hm.platform.WorkerLease && mayRelease {
			hm.cloud.releaseHost(h, releaseSilent)
		}
	case state.HostReleasing:
		if expired {
			h.Reconciled = true
			hm.agents.onAgentLeaseExpired(h)
		}
	case state.HostGone:
	}
}

// checkUnexpiredHost looks at a silent host whose lease may last yet. It is released once it
// neither reports nor answers.
func (hm *hostMonitor) checkUnexpiredHost(h *state.Host, releaseAfter micros, mayRelease bool) {
	silentFor := hm.silentFor(h)
	sinceRecovery := hm.now.Steady - hm.recordsLoadedAt
	unanswered := h.Probe.Failed || h.Addr == "" || min(silentFor, sinceRecovery) > releaseAfter+releaseAfter/2
	mayBeLost := h.Probe.Failed || sinceRecovery > hm.silenceThreshold()
	switch {
	case hm.isSilent(h) && mayBeLost && mayRelease && hm.mayRunCancelledTask(h):
		hm.cloud.releaseHost(h, releaseSilentCancelled)
	case silentFor > releaseAfter && unanswered && mayRelease:
		hm.cloud.releaseHost(h, releaseSilent)
	case hm.isSilent(h):
		hm.probe(h)
	}
}

// probe has a host probed, unless it was lately.
func (hm *hostMonitor) probe(h *state.Host) {
	if hm.now.Steady >= h.Probe.NextAt && hm.election.mayActAsLeader() {
		h.Probe.NextAt = hm.now.Steady + commandTimeout
		hm.prober.queueProbe(h)
	}
}

// onReconciled notes that every recorded host has reported or is proven empty.
func (hm *hostMonitor) onReconciled() {
	hm.reconciled = true
	hm.cycleNeeded = true
	hm.recovery.confirmLaunchesRecorded(hm.owner)
	hm.recovery.emitFailoverSpan()
	hm.log.Info("all hosts accounted for", "epoch", hm.epoch, "took_ms", int64((hm.now.Steady-hm.startedAt)/protocol.Millisecond),
		"hosts", len(hm.cluster.Hosts()))
}

// mayRunCancelledTask reports whether a task may be on a host whose job was cancelled so long
// ago that it has to be gone soon. Half of the time allowed is left to the cloud, which may be
// in trouble itself.
func (hm *hostMonitor) mayRunCancelledTask(h *state.Host) bool {
	for _, a := range h.Attempts() {
		if a.State.MayRun() && isCancelled(a) && hm.now.Wall-a.Job.Cancellation.RequestedWall > hm.platform.CancelTimeout/2 {
			return true
		}
	}
	return false
}

// missesHeartbeats reports whether a worker opens no connection to any controller, while direct
// commands reach it: none of its heartbeats has come for as long as its lease under this
// leader. Each probe of it is answered, so it is not silent; but direct commands renew no
// lease, so whatever is placed there is gone within one. What is on it stays until its lease
// expires, and stops are still sent as direct commands.
func (hm *hostMonitor) missesHeartbeats(h *state.Host) bool {
	return hm.now.Steady-max(h.Agent.HeartbeatAt, h.KnownSince, hm.recordsLoadedAt) > hm.platform.WorkerLease
}

// drainInterrupted saves what it can from a spot machine that will be interrupted.
func (hm *hostMonitor) drainInterrupted(h *state.Host) {
	left := h.Interruption.At - hm.now.Steady
	for _, a := range h.Attempts() {
		j := a.Job
		if j == nil || a.StopRequested || !a.State.HoldsResources() {
			continue
		}
		notStarted := a.State == state.AttemptAssigned || a.State == state.AttemptLaunched || a.State == state.AttemptFetching
		switch {
		case notStarted, j.Spec.Kind == protocol.Service:
			hm.commands.requestStop(a, 0)
		case j.Spec.CanCheckpoint() && left < j.Spec.CheckpointDuration+2*hm.platform.HeartbeatInterval:
			hm.commands.requestCheckpointedStop(a)
		}
	}
}
