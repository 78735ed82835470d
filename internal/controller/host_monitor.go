package controller

import (
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// hostMonitor handles silent hosts: it marks their tasks as lost when their leases have expired,
// detects network partitions, and releases lost hosts.
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

	partitionSeenAt map[string]micros // by zone: when it last looked partitioned
}

// Thresholds on the silent hosts of a zone from which it counts as partitioned, see
// partitionThreshold.
const (
	smallZoneHosts         = 30 // zones with fewer hosts are small
	maxPartitionShare      = 0.5
	minPartitionShare      = 0.2
	partitionExpectedShare = 0.6 // of the hosts expected to be silent before the first release
	minPartitionHosts      = 3   // silent hosts
)

const (
	// partitionRetentionLeases is how many leases the hosts of a partitioned zone are kept, unless
	// the operators set a time. A partition of two minutes lasts for more than four leases.
	partitionRetentionLeases = 8
	partitionHoldMargin      = 4 * protocol.Second
	// ignoringCommandsLeases is how many leases a silent host is kept that ignores commands.
	ignoringCommandsLeases = 2
)

// Reasons for which the monitor releases hosts.
const (
	releaseSilent            = "silent"
	releaseSilentCancelled   = "silent, and a cancelled task may be on it"
	releaseIgnoringCancelled = "ignores commands, and a cancelled task may be on it"
	releaseEarlierEpoch      = "receives nothing from this leader, and an earlier leader's task may be on it"
)

// silenceThreshold is the time without a message after which a host counts as silent: its next
// heartbeat is overdue by half an interval.
func (hm *hostMonitor) silenceThreshold() micros { return hm.platform.HeartbeatInterval * 3 / 2 }

// silentFor returns the time since a host's last message.
func (hm *hostMonitor) silentFor(h *state.Host) micros { return hm.now.Steady - h.Agent.LastContact }

func (hm *hostMonitor) isSilent(h *state.Host) bool {
	return hm.silentFor(h) > hm.silenceThreshold()
}

// releaseDelay returns the time after which a silent host is released, unless hostReleaseDelay
// extends it.
func (hm *hostMonitor) releaseDelay() micros {
	return max(hm.operator.SilentReleaseDelay, hm.silenceThreshold()+commandTimeout)
}

// partitionThreshold returns the share of silent hosts from which a zone counts as partitioned. In
// a partition, hosts become silent one by one, when their heartbeats become overdue. The first of
// them would be released a fixed time later. By then only part of the others are silent, and the
// longer the heartbeat interval, the fewer. In a small zone, a few hosts that fail at once make up
// the same share, so there half of the hosts have to be silent.
func (hm *hostMonitor) partitionThreshold(hosts int) float64 {
	if hosts < smallZoneHosts {
		return maxPartitionShare
	}
	expectedShare := float64(hm.releaseDelay()-hm.silenceThreshold()) / float64(hm.platform.HeartbeatInterval)
	return max(minPartitionShare, min(maxPartitionShare, partitionExpectedShare*expectedShare))
}

// partitionRetention returns how long the hosts of a partitioned zone are kept.
func (hm *hostMonitor) partitionRetention() micros {
	if hm.operator.PartitionRetention > 0 {
		return hm.operator.PartitionRetention
	}
	return partitionRetentionLeases * hm.platform.WorkerLease
}

// partitionHoldTime returns how long a zone counts as partitioned after it last looked so: when a
// partition ends, heartbeats do not arrive from all of its hosts at the same instant.
func (hm *hostMonitor) partitionHoldTime() micros {
	return 2*hm.platform.HeartbeatInterval + partitionHoldMargin
}

func (hm *hostMonitor) isCutOff(zone string) bool {
	lastSeen, ok := hm.partitionSeenAt[zone]
	return ok && hm.now.Steady-lastSeen < hm.partitionHoldTime()
}

// checkHosts checks all hosts: it detects silent hosts and partitions, marks tasks as lost whose
// hosts' leases have expired, and detects when all recorded hosts have been reconciled.
func (hm *hostMonitor) checkHosts() {
	zones, expected, lost := hm.countWorkers()
	if hm.transfer.considerTransfer(zones) {
		return
	}
	releaseAfter := hm.releaseDelay()
	if lost > 2 && lost*3 > expected {
		releaseAfter *= 2 // so many hosts at once are probably partitioned, not dead
	}
	hm.detectPartitions(zones)
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

// countWorkers counts the workers that should send heartbeats to this leader, by zone and in
// total, and those that have been silent for longer than the release delay.
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

// detectPartitions records the zones that look partitioned now.
func (hm *hostMonitor) detectPartitions(zones map[string]leadership.ZoneWorkers) {
	for name, z := range zones {
		if z.Silent >= minPartitionHosts && float64(z.Silent) >= hm.partitionThreshold(z.All)*float64(z.All) {
			hm.partitionSeenAt[name] = hm.now.Steady
		}
	}
}

// hostReleaseDelay returns the time after which a silent host is released.
func (hm *hostMonitor) hostReleaseDelay(h *state.Host, delay micros) micros {
	if hm.isCutOff(h.Zone) {
		// The zone's tasks keep running while their workers' leases last, and a release would end
		// them all. Afterwards the hosts are still worth keeping for a while, for their cached
		// images.
		delay = max(delay, hm.partitionRetention())
	}
	if ignoresCommands(h) {
		// The worker tries one controller after the other, each time waiting for a reply, and
		// returns to this one last. If it receives a reply from this controller before its lease
		// expires, its tasks continue.
		delay = max(delay, ignoringCommandsLeases*hm.platform.WorkerLease)
	}
	if h.Agent.ForwardedAt > 0 && hm.now.Steady-h.Agent.ForwardedAt < hm.platform.WorkerLease {
		// The worker is sometimes redirected to this controller, and only after that returns to the
		// controller that forwards its heartbeats.
		delay = max(delay, redirectReturnWindow)
	}
	return delay
}

// checkReportingHost checks a host that sends heartbeats.
func (hm *hostMonitor) checkReportingHost(h *state.Host, mayRelease bool) {
	if h.Interruption.Noticed {
		hm.drainInterrupted(h)
	}
	if !ignoresCommands(h) {
		return
	}
	if mayRelease && hm.mayRunCancelledTask(h) {
		hm.cloud.releaseHost(h, releaseIgnoringCancelled)
	} else {
		hm.probe(h)
	}
}

// checkSilentHost checks a host that is silent, not up yet or being released.
func (hm *hostMonitor) checkSilentHost(h *state.Host, releaseAfter micros, mayRelease bool) {
	expired := hm.peers.leaseExpired(h)
	switch h.State {
	case state.HostBooting, state.HostReady:
		if h.State == state.HostBooting && !h.Record.FromEarlierEpoch {
			return // it has never sent a heartbeat, so it has no tasks
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

// checkUnexpiredHost checks a host whose worker's lease may not have expired yet, and that is silent
// or has not seen this epoch. It is released once it neither sends heartbeats nor responds to probes,
// or has sent heartbeats of earlier epochs only for the time for which partitioned hosts are kept.
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
	case !h.Reconciled && !h.Empty() && sinceRecovery > hm.partitionRetention() && mayRelease:
		// Only a release can prove that the earlier leader's tasks have ended if their worker's
		// heartbeats stay at an earlier epoch and another controller's state is unknown.
		hm.cloud.releaseHost(h, releaseEarlierEpoch)
	}
}

// probe queues a probe of a host unless one was queued within the last commandTimeout.
func (hm *hostMonitor) probe(h *state.Host) {
	if hm.now.Steady >= h.Probe.NextAt && hm.election.mayActAsLeader() {
		h.Probe.NextAt = hm.now.Steady + commandTimeout
		hm.prober.queueProbe(h)
	}
}

// onReconciled handles the end of the reconciliation: every recorded host has sent a heartbeat or
// is proven to have no tasks.
func (hm *hostMonitor) onReconciled() {
	hm.reconciled = true
	hm.cycleNeeded = true
	hm.recovery.confirmLaunchesRecorded(hm.owner)
	hm.recovery.emitFailoverSpan()
	hm.log.Info("all hosts accounted for", "epoch", hm.epoch, "took_ms", int64((hm.now.Steady-hm.startedAt)/protocol.Millisecond),
		"hosts", len(hm.cluster.Hosts()))
}

// mayRunCancelledTask reports whether a host may have a task of a job that was cancelled so long
// ago that the task has to end soon. Half of CancelTimeout is left for the cloud's release of the
// host, because the cloud may be slow or unavailable as well.
func (hm *hostMonitor) mayRunCancelledTask(h *state.Host) bool {
	for _, a := range h.Attempts() {
		if a.State.MayRun() && isJobCancelled(a) && hm.now.Wall-a.Job.Cancellation.RequestedWall > hm.platform.CancelTimeout/2 {
			return true
		}
	}
	return false
}

// missesHeartbeats reports whether this leader has received no heartbeat from a worker for the
// length of its lease. This happens when direct commands reach a worker that can't connect to any
// controller. Its responses to probes keep it from being silent, but direct commands do not renew
// its lease, so any task placed there would be lost within one lease. The tasks that are on the
// host continue until the lease expires, and stops are still sent as direct commands.
func (hm *hostMonitor) missesHeartbeats(h *state.Host) bool {
	return hm.now.Steady-max(h.Agent.HeartbeatAt, h.KnownSince, hm.recordsLoadedAt) > hm.platform.WorkerLease
}

// drainInterrupted stops the tasks on a spot machine that will be interrupted: those that have not
// started and replicas at once, the others in time to save their progress if they can.
func (hm *hostMonitor) drainInterrupted(h *state.Host) {
	timeLeft := h.Interruption.At - hm.now.Steady
	for _, a := range h.Attempts() {
		j := a.Job
		if j == nil || a.StopRequested || !a.State.HoldsResources() {
			continue
		}
		notStarted := a.State == state.AttemptAssigned || a.State == state.AttemptLaunched || a.State == state.AttemptFetching
		switch {
		case notStarted, j.Spec.Kind == protocol.Service:
			hm.commands.requestStop(a, 0)
		case j.Spec.CanCheckpoint() && timeLeft < j.Spec.CheckpointDuration+2*hm.platform.HeartbeatInterval:
			hm.commands.requestCheckpointedStop(a)
		}
	}
}
