package controller

import (
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/statestore"
)

// transferController decides whether this leader transfers leadership to a controller that the
// workers can reach.
type transferController struct {
	*termContext
	election *election
	features *featureManager
	hosts    *hostMonitor
	peers    *peerMonitor

	recent       []protocol.LeadershipTransfer
	inFlight     bool // the transaction that transfers leadership is in flight
	lastDecision leadership.Decision
}

// stepDownBackoff is how long after it returned its lease a controller adds stepDownDelay to the
// delay of its campaigns, so that other controllers can lead first.
const stepDownBackoff = 30 * protocol.Second

// considerTransfer transfers leadership if workers are silent because they can't reach this
// controller, rather than because they have failed: releasing their hosts would end all running
// tasks. It reports whether a transfer is in flight. If leadership may not be transferred although
// the workers reach other controllers, their zones count as partitioned.
func (tr *transferController) considerTransfer(zones map[string]leadership.ZoneWorkers) bool {
	if tr.inFlight {
		return true
	}
	if !tr.election.mayActAsLeader() || tr.now.Steady-tr.recordsLoadedAt <= tr.hosts.silenceThreshold() {
		return false
	}
	peers := make(map[string]leadership.Reachability)
	for name, s := range tr.peers.statuses {
		if s.isFresh(tr.now.Steady) {
			peers[name] = s.reachability
		}
	}
	to, decision := leadership.Decide(tr.now.Wall, zones, peers, tr.recent)
	if decision != tr.lastDecision {
		tr.lastDecision = decision
		tr.log.Info("reachability of workers", "decision", decision.String(), "epoch", tr.epoch)
	}
	switch decision {
	case leadership.Transfer:
		tr.transferLeadership(to, leadership.ReachableByZone(zones))
		return true
	case leadership.KeepReachesMost, leadership.KeepNoPeerReachesMore:
	case leadership.KeepNoImprovement, leadership.KeepTransferLimit, leadership.KeepNoSuccessor:
		tr.markPartitions(zones, peers)
	}
	return false
}

// markPartitions marks a zone as partitioned if other controllers reach at least half as many of
// its workers as this leader is missing.
func (tr *transferController) markPartitions(zones map[string]leadership.ZoneWorkers, peers map[string]leadership.Reachability) {
	for name, z := range zones {
		reachable := 0
		for _, r := range peers {
			reachable += r[name]
		}
		if missing := z.Silent + z.Relayed; missing > 0 && 2*reachable >= missing {
			tr.hosts.partitionSeenAt[name] = tr.now.Steady
		}
	}
}

// transferLeadership returns the lease, so that a controller that the workers can reach can lead.
// The transfer, with the number of workers that reached this leader, is written to the epoch's
// record, which the next leader uses in its decisions. The same transaction deletes the leader key,
// so that every later leader sees the transfer.
func (tr *transferController) transferLeadership(to string, reachable map[string]int) {
	tr.inFlight = true
	transfer := protocol.LeadershipTransfer{
		From: tr.platform.ControllerName, To: to, Epoch: tr.epoch, At: tr.now.Wall, ReachableWorkers: reachable,
	}
	epoch := records.Epoch{
		Number: tr.epoch, LaunchesUnrecorded: tr.launchesUnrecorded, Level: tr.features.activeLevel(),
		Transfers: leadership.RecentTransfers(append(tr.recent, transfer), tr.now.Wall),
	}
	then := []protocol.Change{{Key: records.KeyEpoch, Value: records.EncodeEpoch(epoch)}, {Key: records.KeyLeader}}
	tr.election.transaction(priorityLeadership, tr.features.withLevelCondition(nil), then, func(_ uint64, err error) {
		if conflict := tr.features.handleLevelConflict(err); conflict || statestore.NotExecuted(err) {
			tr.inFlight, tr.cycleNeeded = false, true
			return
		}
		tr.log.Info("transferring leadership: workers reach other controllers but not this one", "epoch", tr.epoch, "to", to,
			"heard_by_this_one", leadership.Reachability(reachable).Total())
		tr.election.stepDown()
	})
}
