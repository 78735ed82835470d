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

// silenceThreshold is after how long without a report a host counts as silent: its
// report is overdue by half of the time between two.
func (hm *hostMonitor) silenceThreshold() micros { return hm.platform.HeartbeatInterval * 3 / 2 }

// partitionThreshold is the part of a zone's hosts that are silent when it counts as cut
// off. The first of them would be released a fixed time after it fell silent, and
// by then the others have only begun to: with longer times between reports, fewer.
// In a small zone a few machines that die at once are as many, so it takes half.
func (hm *hostMonitor) partitionThreshold(release micros, hosts int) float64 {
	if hosts < 30 {
		return 0.5
	}
	begun := float64(release-hm.silenceThreshold()) / float64(hm.platform.HeartbeatInterval)
	return max(0.2, min(0.5, 0.6*begun))
}

// partitionRetentionLeases is how many leases the machines of a zone that is cut off are kept, unless
// the operators say for how long. Four were fewer than a cut of two minutes takes:
// hsos-foldrenges-fleet released 280 machines just before it ended, and had to boot and
// fill as many.
const partitionRetentionLeases = 8

// partitionRetention is how long the machines of a zone that is cut off are kept.
func (hm *hostMonitor) partitionRetention() micros {
	if hm.operator.PartitionRetention > 0 {
		return hm.operator.PartitionRetention
	}
	return partitionRetentionLeases * hm.platform.WorkerLease
}

// partitionHoldTime is how long a zone counts as cut off after it last looked so: when a cut
// ends, its hosts do not all come back at the same instant.
func (hm *hostMonitor) partitionHoldTime() micros {
	return 2*hm.platform.HeartbeatInterval + 4*protocol.Second
}

// checkHosts notices silence, proves tasks gone, and sees when every recorded
// host is accounted for.
func (hm *hostMonitor) checkHosts() {
	at := hm.now.Steady
	silent, reporting := 0, 0
	zones := make(map[string]leadership.ZoneWorkers, len(hm.platform.Zones))
	release := max(hm.operator.SilentReleaseDelay, hm.silenceThreshold()+commandTimeout)
	for _, h := range hm.cluster.Hosts() {
		if h.State == state.HostReady && (h.Reconciled || !h.Unverified) || h.Record.FromEarlierEpoch && !h.Reconciled {
			z := zones[h.Zone]
			reporting++
			z.All++
			if at-h.Agent.LastContact > hm.silenceThreshold() {
				z.Silent++
			} else if h.Agent.LeaderUnreachableAt > 0 && at-h.Agent.LeaderUnreachableAt < hm.platform.WorkerLease {
				z.Relayed++
			}
			zones[h.Zone] = z
			if at-h.Agent.LastContact > release {
				silent++
			}
		}
	}
	if hm.transfer.considerTransfer(zones) {
		return
	}
	limit := release
	if silent > 2 && silent*3 > reporting {
		// So many at once are rather cut off than dead.
		limit = 2 * limit
	}
	for name, z := range zones {
		if z.Silent >= 3 && float64(z.Silent) >= hm.partitionThreshold(release, z.All)*float64(z.All) {
			hm.partitionSeenAt[name] = at
		}
	}
	hm.handover.updateHandover(release)
	unproven := 0
	lease := hm.platform.WorkerLease
	mayRelease := hm.election.mayActAsLeader() && !hm.isLagging(release)
	for _, h := range hm.cluster.Hosts() {
		if h.Record.FromEarlierEpoch && !h.Reconciled {
			unproven++
		} else if h.State == state.HostReady && at-h.Agent.LastContact <= hm.silenceThreshold() {
			if h.Interruption.Noticed {
				hm.drainInterrupted(h)
			}
			if ignoresCommands(h) && mayRelease && hm.mayRunCancelledTask(h) {
				hm.cloud.releaseHost(h, "deaf, and a cancelled task may be on it")
			} else if ignoresCommands(h) && at >= h.Probe.NextAt && hm.election.mayActAsLeader() {
				h.Probe.NextAt = at + commandTimeout
				hm.prober.queueProbe(h)
			}
			continue
		}
		limit := limit
		if seen, ok := hm.partitionSeenAt[h.Zone]; ok && at-seen < hm.partitionHoldTime() {
			// The zone is cut off: its tasks go on within their leases, and a
			// release would end them all. After that the machines are worth
			// keeping for a while, with their images. When the cut ends, its
			// hosts do not all come back at the same instant.
			limit = max(limit, hm.partitionRetention())
		}
		if ignoresCommands(h) {
			// Its worker goes from node to node, each time after it has waited for an
			// answer, and comes round to this one only then. When it hears again what is
			// on it goes on, if that is before its lease ends.
			limit = max(limit, 2*lease)
		}
		if h.Agent.ForwardedAt > 0 && at-h.Agent.ForwardedAt < lease {
			// It is asked to try this node now and then, and comes round to the one
			// that passes its reports on only after that.
			limit = max(limit, redirectReturnWindow)
		}
		expired := hm.peers.leaseExpired(h)
		switch h.State {
		case state.HostReady, state.HostBooting:
			if h.State == state.HostBooting && !h.Record.FromEarlierEpoch {
				break // has never reported: holds nothing
			}
			if expired {
				hm.agents.onAgentLeaseExpired(h)
				h.SetState(state.HostSilent)
				h.Reconciled = true
			} else if at-h.Agent.LastContact > hm.silenceThreshold() && (h.Probe.Failed || at-hm.recordsLoadedAt > hm.silenceThreshold()) && mayRelease && hm.mayRunCancelledTask(h) {
				hm.cloud.releaseHost(h, "silent, and a cancelled task may be on it")
			} else if at-h.Agent.LastContact > limit && (h.Probe.Failed || h.Addr == "" || at-max(h.Agent.LastContact, hm.recordsLoadedAt) > limit+limit/2) && mayRelease {
				// It neither reports nor answers.
				hm.cloud.releaseHost(h, "silent")
			} else if at-h.Agent.LastContact > hm.silenceThreshold() && at >= h.Probe.NextAt && hm.election.mayActAsLeader() {
				h.Probe.NextAt = at + commandTimeout
				hm.prober.queueProbe(h)
			}
		case state.HostSilent:
			if at-h.Agent.LastContact > limit+lease && mayRelease {
				hm.cloud.releaseHost(h, "silent")
			}
		case state.HostReleasing:
			if expired && !h.Reconciled {
				h.Reconciled = true
			}
			if expired {
				hm.agents.onAgentLeaseExpired(h)
			}
		}
		if h.Interruption.Noticed && h.State == state.HostReady {
			hm.drainInterrupted(h)
		}
	}
	if unproven == 0 && !hm.reconciled {
		hm.reconciled = true
		hm.cycleNeeded = true
		hm.recovery.confirmLaunchesRecorded(hm.owner)
		hm.recovery.emitFailoverSpan()
		hm.log.Info("all hosts accounted for", "epoch", hm.epoch, "took_ms", int64((at-hm.startedAt)/protocol.Millisecond), "hosts", len(hm.cluster.Hosts()))
	}
}

// mayRunCancelledTask reports whether a task may be on a host whose job was cancelled
// so long ago that it has to be gone soon. Half of the time allowed is left to
// the cloud, which may be in trouble itself.
func (hm *hostMonitor) mayRunCancelledTask(h *state.Host) bool {
	for _, a := range h.Attempts() {
		if j := a.Job; j != nil && a.State.MayRun() && (j.State == state.JobCancelledLegacy || j.State == state.JobCancelling) &&
			hm.now.Wall-j.Cancellation.RequestedWall > hm.platform.CancelTimeout/2 {
			return true
		}
	}
	return false
}

// missesHeartbeats reports whether a machine's worker opens no connection to any controller, while
// direct commands reach it: no report of its has come for as long as its lease under this
// leader. Each question to it is answered, so it is not silent, and it has room; but direct
// commands renew no lease, so whatever is put there is gone within one. Tasks were launched
// on such machines once a lease, for as long as that lasted, beside others that were free.
// What is on one stays until its lease ends, and stops still go out as direct commands.
func (hm *hostMonitor) missesHeartbeats(h *state.Host) bool {
	return hm.now.Steady-max(h.Agent.HeartbeatAt, h.KnownSince, hm.recordsLoadedAt) > hm.platform.WorkerLease
}

// drainInterrupted saves what it can from a machine that is about to be taken.
func (hm *hostMonitor) drainInterrupted(h *state.Host) {
	left := h.Interruption.At - hm.now.Steady
	for _, a := range h.Attempts() {
		j := a.Job
		if j == nil || a.StopRequested || !a.State.HoldsResources() {
			continue
		}
		switch {
		case a.State == state.AttemptAssigned || a.State == state.AttemptLaunched || a.State == state.AttemptFetching:
			hm.commands.requestStop(a, 0)
		case j.Spec.Kind == protocol.Service:
			hm.commands.requestStop(a, 0)
		case j.Spec.CanCheckpoint() && left < j.Spec.CheckpointDuration+2*hm.platform.HeartbeatInterval:
			hm.commands.requestStop(a, j.Spec.CheckpointDuration+protocol.Second)
		}
	}
}
