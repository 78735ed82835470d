package controller

import (
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
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

// stepDownBackoff is how long a node that gave its lease back lets others go first.
const stepDownBackoff = 30 * protocol.Second

// considerTransfer gives the lease back if it is this node that the workers can't reach,
// and not the workers that are gone. To release them for that would end all that runs.
// It reports whether it does. Where it may not, though others hear them, the zones count
// as cut off.
func (tr *transferController) considerTransfer(zones map[string]leadership.ZoneWorkers) bool {
	if tr.inFlight {
		return true
	}
	if !tr.election.mayActAsLeader() || tr.now.Steady-tr.recordsLoadedAt <= tr.hosts.silenceThreshold() {
		return false
	}
	others := make(map[string]leadership.Reachability)
	for name, o := range tr.peers.statuses {
		if o.statusAt > 0 && tr.now.Steady-o.statusAt <= peerStatusLifetime {
			others[name] = o.reachability
		}
	}
	to, v := leadership.Decide(tr.now.Wall, zones, others, tr.recent)
	if v != tr.lastDecision {
		tr.lastDecision = v
		tr.log.Info("workers heard", "verdict", v.String(), "epoch", tr.epoch)
	}
	switch v {
	case leadership.Transfer:
		tr.transferLeadership(to, leadership.ReachableByZone(zones))
		return true
	case leadership.KeepHearsMost, leadership.KeepNobodyHearsMore:
	default:
		for name, z := range zones {
			heard := 0
			for _, o := range others {
				heard += o[name]
			}
			if missed := z.Silent + z.Relayed; missed > 0 && 2*heard >= missed {
				tr.hosts.partitionSeenAt[name] = tr.now.Steady
			}
		}
	}
	return false
}

// transferLeadership gives leadership up, so that a node that the workers reach can lead. Who heard
// how many is in the record of the epoch: the successor goes by it. The key goes in
// the same transaction, so that nobody leads who does not see that.
func (tr *transferController) transferLeadership(to string, heard map[string]int) {
	tr.inFlight = true
	y := protocol.LeadershipTransfer{From: tr.platform.ControllerName, To: to, Epoch: tr.epoch, At: tr.now.Wall, ReachableWorkers: heard}
	rec := records.Epoch{Number: tr.epoch, LaunchesUnrecorded: tr.launchesUnrecorded, Transfers: leadership.RecentTransfers(append(tr.recent, y), tr.now.Wall), Level: tr.features.activeLevel()}
	then := []protocol.Change{{Key: records.KeyEpoch, Value: records.EncodeEpoch(rec)}, {Key: records.KeyLeader}}
	tr.election.leaderTransaction(priorityLeadership, tr.features.withLevelCondition(nil), then, func(o txnOutcome, r protocol.TxnResult) {
		if other := tr.features.handleLevelConflict(o, r); other || o.notExecuted() {
			tr.inFlight, tr.cycleNeeded = false, true // nothing was done: it is looked at again
			return
		}
		tr.log.Info("giving the lease back: workers are heard by other nodes and not by this one", "epoch", tr.epoch, "to", to,
			"heard", leadership.Reachability(heard).Total())
		tr.election.stepDownBackoffUntil = tr.now.Steady + stepDownBackoff
		tr.election.revokeLease(tr.election.lease.id)
		tr.election.becomeFollower()
	})
}
