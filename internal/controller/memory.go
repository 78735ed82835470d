package controller

import (
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// What a leader has seen outlives it: since when machines are silent, which zones
// look cut off, and which leases were given back. It is in the state service and, as
// far as it changed, in what the leader asks the others every second, so that it is
// there also if the state service was down since. A new leader that began from
// nothing needed the whole time of silence again before it did anything, and if
// leaders followed each other faster than that, nothing was ever done.

// sentHandover is what another controller was told.
type sentHandover struct {
	stateAt        micros // At of the memory
	acknowledgedAt micros // when it answered
}

// handoverResendInterval is how often a controller is told again what it has been told: it may have
// been started anew since, which its name does not show.
const handoverResendInterval = 5 * protocol.Second

// Spans of that. A cut that lasts is written again now and then, since a successor
// goes by when it was last seen.
const (
	handoverInterval         = protocol.Second
	partitionRefreshInterval = 10 * protocol.Second
	handoverRetry            = 2 * protocol.Second
)

// wallTime turns the steady clock's time into a time of day.
func (env *environment) wallTime(steady micros) micros { return steady - env.now.Steady + env.now.Wall }

// updateHandover brings the memory up to date, and the record of it where it differs.
func (hw *handoverWriter) updateHandover(release micros) {
	at := hw.now.Steady
	if at < hw.next || !hw.election.mayActAsLeader() {
		return
	}
	hw.next = at + handoverInterval
	m := protocol.HandoverState{Epoch: hw.epoch, At: hw.now.Wall}
	cuts := make(map[string]*protocol.Partition)
	for zone, seen := range hw.hosts.partitionSeenAt {
		if at-seen < hw.hosts.partitionHoldTime() {
			cuts[zone] = &protocol.Partition{Zone: zone, Since: hw.now.Wall, LastSeen: hw.wallTime(seen)}
		}
	}
	bytes, room := 200, hw.records.shardCapacity()
	for _, h := range hw.cluster.Hosts() {
		if h.State != state.HostReady && (!h.FromRecord || h.Reconciled) || at-h.LastContact <= release {
			continue
		}
		if cut := cuts[h.Zone]; cut != nil {
			cut.Since = min(cut.Since, hw.wallTime(h.LastContact))
			continue
		}
		s := protocol.SilentHost{Host: h.Name, Since: hw.wallTime(h.LastContact)}
		m.SilentHosts = append(m.SilentHosts, s)
		bytes += state.SilentHostBytes(s)
	}
	for _, cut := range cuts {
		m.Partitions = append(m.Partitions, *cut)
		bytes += len(cut.Zone) + 48
	}
	most := min(len(m.SilentHosts), protocol.MaxSilentHosts)
	if bytes > room { // those that have been silent for longest fit
		most = min(most, max(0, room/(bytes/max(1, len(m.SilentHosts)))))
	}
	m = leadership.Trim(m, most)
	if same := leadership.SameContent(m, hw.membership.handover); !same || hw.membership.handover.Epoch != m.Epoch {
		hw.membership.handover = m
	}
	kept := &hw.persisted
	again := len(m.Partitions) > 0 && m.At-kept.At >= partitionRefreshInterval
	if hw.writing || leadership.SameContent(m, *kept) && !again {
		return
	}
	hw.writing = true
	hw.election.leaderTransaction(priorityUrgent, nil, []protocol.Change{{Key: state.KeyHandover, Value: state.EncodeHandoverState(m)}}, func(o txnOutcome, _ protocol.TxnResult) {
		hw.writing = false
		hw.next = hw.now.Steady + handoverRetry
		if o == txnCommitted {
			*kept = m
		}
	})
}

// partitionHoldTime is how long a zone counts as cut off after it last looked so: when a cut
// ends, its hosts do not all come back at the same instant.
func (hm *hostMonitor) partitionHoldTime() micros {
	return 2*hm.platform.HeartbeatInterval + 4*protocol.Second
}

// applyHandover takes what earlier leaders have seen into a new leader's book.
func (hw *handoverWriter) applyHandover() {
	at := hw.now.Steady
	hw.persisted, hw.sentToPeers = hw.membership.handover, make(map[string]sentHandover)
	in := leadership.Inherit(hw.membership.handover)
	for zone, cut := range in.Partitions() {
		if hw.now.Wall-cut.LastSeen < hw.hosts.partitionRetention() {
			hw.hosts.partitionSeenAt[zone] = at // its hosts soon show whether it still is
		}
	}
	silent := 0
	for _, h := range hw.cluster.Hosts() {
		h.LastContact = at
		if wall, ok := in.SilentSince(h.Name, h.Zone); ok {
			h.LastContact = min(at, hw.steadyTime(wall))
			silent++
		}
	}
	if silent > 0 {
		hw.log.Info("taken from earlier leaders", "epoch", hw.epoch, "silent", silent, "zones_cut", len(in.Partitions()), "seen_ms_ago", int64((hw.now.Wall-hw.membership.handover.At)/protocol.Millisecond))
	}
}

// encodeStatusRequest makes a leader's question, with what it has seen. That is empty where the
// other side has it already.
func (pm *peerMonitor) encodeStatusRequest(m protocol.HandoverState) []byte {
	return protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerStatusRequest, Epoch: pm.epoch, From: pm.platform.ControllerName, Body: protocol.AppendHandoverState(nil, m)})
}

// mergeHandover keeps what a leader tells.
func (mb *membership) mergeHandover(body []byte) {
	if len(body) == 0 || isLeaderRole(mb.election.role) {
		return
	}
	m, err := protocol.ParseHandoverState(body)
	if err != nil {
		mb.logMalformed("controller", err)
		return
	}
	mb.handover = leadership.Newest(mb.handover, m)
}

// parseReachability reads how many workers another controller hears that can't reach this
// one. One that doesn't tell zones apart counts all that came to it.
func (pm *peerMonitor) parseReachability(m *protocol.PeerMessage) leadership.Reachability {
	if len(m.Body) == 0 {
		return leadership.Reachability{"": int(m.RedirectedWorkers)}
	}
	heard, err := protocol.ParseReachability(m.Body)
	if err != nil {
		pm.logMalformed("controller", err)
		return nil
	}
	return heard
}

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

// stepDownBackoff is how long a node that gave its lease back lets others go first.
const stepDownBackoff = 30 * protocol.Second

// transferLeadership gives leadership up, so that a node that the workers reach can lead. Who heard
// how many is in the record of the epoch: the successor goes by it. The key goes in
// the same transaction, so that nobody leads who does not see that.
func (tr *transferController) transferLeadership(to string, heard map[string]int) {
	tr.inFlight = true
	y := protocol.LeadershipTransfer{From: tr.platform.ControllerName, To: to, Epoch: tr.epoch, At: tr.now.Wall, ReachableWorkers: heard}
	rec := state.EpochRecord{Epoch: tr.epoch, LaunchesUnrecorded: tr.launchesUnrecorded, Transfers: leadership.RecentTransfers(append(tr.recent, y), tr.now.Wall), Level: tr.features.activeLevel()}
	then := []protocol.Change{{Key: state.KeyEpoch, Value: state.EncodeEpoch(rec)}, {Key: state.KeyLeader}}
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
