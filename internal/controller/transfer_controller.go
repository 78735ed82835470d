package controller

import (
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/statestore"
)

// transferController decides whether this leader hands leadership over to a controller that
// the workers reach.
type transferController struct {
	*termContext
	election *election
	features *featureManager
	hosts    *hostMonitor
	peers    *peerMonitor

	recent       []protocol.LeadershipTransfer
	inFlight     bool // the transaction that gives the lease back is on its way
	lastDecision leadership.Decision
}

// stepDownBackoff is how long a controller that gave its lease back lets others go first.
const stepDownBackoff = 30 * protocol.Second

// considerTransfer gives the lease back if it is this controller that the workers can't reach,
// and not the workers that are gone: to release them would end all that runs. It reports
// whether it does. Where it may not, though others hear them, the zones count as cut off.
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
	case leadership.KeepHearsMost, leadership.KeepNobodyHearsMore:
	case leadership.KeepNoImprovement, leadership.KeepTransferLimit, leadership.KeepNoSuccessor:
		tr.notePartitions(zones, peers)
	}
	return false
}

// notePartitions counts zones as cut off whose workers others hear.
func (tr *transferController) notePartitions(zones map[string]leadership.ZoneWorkers, peers map[string]leadership.Reachability) {
	for name, z := range zones {
		reachable := 0
		for _, r := range peers {
			reachable += r[name]
		}
		if missed := z.Silent + z.Relayed; missed > 0 && 2*reachable >= missed {
			tr.hosts.partitionSeenAt[name] = tr.now.Steady
		}
	}
}

// transferLeadership gives leadership up, so that a controller that the workers reach can lead.
// Who heard how many workers is in the record of the epoch: the successor goes by it. The
// leader key goes in the same transaction, so that nobody leads who does not see that.
func (tr *transferController) transferLeadership(to string, reachable map[string]int) {
	tr.inFlight = true
	t := protocol.LeadershipTransfer{
		From: tr.platform.ControllerName, To: to, Epoch: tr.epoch, At: tr.now.Wall, ReachableWorkers: reachable,
	}
	epoch := records.Epoch{
		Number: tr.epoch, LaunchesUnrecorded: tr.launchesUnrecorded, Level: tr.features.activeLevel(),
		Transfers: leadership.RecentTransfers(append(tr.recent, t), tr.now.Wall),
	}
	then := []protocol.Change{{Key: records.KeyEpoch, Value: records.EncodeEpoch(epoch)}, {Key: records.KeyLeader}}
	tr.election.transaction(priorityLeadership, tr.features.withLevelCondition(nil), then, func(_ uint64, err error) {
		if conflict := tr.features.handleLevelConflict(err); conflict || statestore.NotExecuted(err) {
			tr.inFlight, tr.cycleNeeded = false, true
			return
		}
		tr.log.Info("giving the lease back: workers are heard by other controllers and not by this one", "epoch", tr.epoch, "to", to,
			"heard_by_this_one", leadership.Reachability(reachable).Total())
		tr.election.stepDown()
	})
}
