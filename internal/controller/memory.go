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

// handoverWriter is how a leader keeps its memory.
type handoverWriter struct {
	persisted    protocol.HandoverState // as the state service has it
	sentToPeers    map[string]sentHandover
	next    micros // when it is looked at again
	writing bool
}

// sentHandover is what another controller was told.
type sentHandover struct {
	stateAt micros // At of the memory
	acknowledgedAt   micros // when it answered
}

// handoverResendInterval is how often a controller is told again what it has been told: it may have
// been started anew since, which its name does not show.
const handoverResendInterval = 5 * protocol.Second

// Spans of that. A cut that lasts is written again now and then, since a successor
// goes by when it was last seen.
const (
	handoverInterval = protocol.Second
	partitionRefreshInterval   = 10 * protocol.Second
	handoverRetry = 2 * protocol.Second
)

// wallTime turns the steady clock's time into a time of day.
func (c *Controller) wallTime(steady micros) micros { return steady - c.now.Steady + c.now.Wall }

// updateHandover brings the memory up to date, and the record of it where it differs.
func (c *Controller) updateHandover(release micros) {
	t := c.term
	at := c.now.Steady
	if at < t.handover.next || !c.mayActAsLeader() {
		return
	}
	t.handover.next = at + handoverInterval
	m := protocol.HandoverState{Epoch: t.epoch, At: c.now.Wall}
	cuts := make(map[string]*protocol.Partition)
	for zone, seen := range t.partitionSeenAt {
		if at-seen < c.partitionHoldTime() {
			cuts[zone] = &protocol.Partition{Zone: zone, Since: c.now.Wall, LastSeen: c.wallTime(seen)}
		}
	}
	bytes, room := 200, c.shardCapacity()
	for _, h := range t.cluster.Hosts() {
		if h.State != state.HostReady && (!h.FromRecord || h.Reconciled) || at-h.LastContact <= release {
			continue
		}
		if cut := cuts[h.Zone]; cut != nil {
			cut.Since = min(cut.Since, c.wallTime(h.LastContact))
			continue
		}
		s := protocol.SilentHost{Host: h.Name, Since: c.wallTime(h.LastContact)}
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
	if same := leadership.SameContent(m, c.handover); !same || c.handover.Epoch != m.Epoch {
		c.handover = m
	}
	kept := &t.handover.persisted
	again := len(m.Partitions) > 0 && m.At-kept.At >= partitionRefreshInterval
	if t.handover.writing || leadership.SameContent(m, *kept) && !again {
		return
	}
	t.handover.writing = true
	c.leaderTransaction(priorityUrgent, nil, []protocol.Change{{Key: state.KeyHandover, Value: state.EncodeHandoverState(m)}}, func(o txnOutcome, _ protocol.TxnResult) {
		t.handover.writing = false
		t.handover.next = c.now.Steady + handoverRetry
		if o == txnCommitted {
			*kept = m
		}
	})
}

// partitionHoldTime is how long a zone counts as cut off after it last looked so: when a cut
// ends, its hosts do not all come back at the same instant.
func (c *Controller) partitionHoldTime() micros { return 2*c.platform.HeartbeatInterval + 4*protocol.Second }

// applyHandover takes what earlier leaders have seen into a new leader's book.
func (c *Controller) applyHandover() {
	t := c.term
	at := c.now.Steady
	t.handover.persisted, t.handover.sentToPeers = c.handover, make(map[string]sentHandover)
	in := leadership.Inherit(c.handover)
	for zone, cut := range in.Partitions() {
		if c.now.Wall-cut.LastSeen < c.partitionRetention() {
			t.partitionSeenAt[zone] = at // its hosts soon show whether it still is
		}
	}
	silent := 0
	for _, h := range t.cluster.Hosts() {
		h.LastContact = at
		if wall, ok := in.SilentSince(h.Name, h.Zone); ok {
			h.LastContact = min(at, c.steadyTime(wall))
			silent++
		}
	}
	if silent > 0 {
		c.log.Info("taken from earlier leaders", "epoch", t.epoch, "silent", silent, "zones_cut", len(in.Partitions()), "seen_ms_ago", int64((c.now.Wall-c.handover.At)/protocol.Millisecond))
	}
}

// encodeStatusRequest makes a leader's question, with what it has seen. That is empty where the
// other side has it already.
func (c *Controller) encodeStatusRequest(m protocol.HandoverState) []byte {
	return protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerStatusRequest, Epoch: c.term.epoch, From: c.platform.ControllerName, Body: protocol.AppendHandoverState(nil, m)})
}

// mergeHandover keeps what a leader tells.
func (c *Controller) mergeHandover(body []byte) {
	if len(body) == 0 || isLeaderRole(c.role) {
		return
	}
	m, err := protocol.ParseHandoverState(body)
	if err != nil {
		c.logMalformed("controller", err)
		return
	}
	c.handover = leadership.Newest(c.handover, m)
}

// parseReachability reads how many workers another controller hears that can't reach this
// one. One that doesn't tell zones apart counts all that came to it.
func (c *Controller) parseReachability(m *protocol.PeerMessage) leadership.Reachability {
	if len(m.Body) == 0 {
		return leadership.Reachability{"": int(m.RedirectedWorkers)}
	}
	heard, err := protocol.ParseReachability(m.Body)
	if err != nil {
		c.logMalformed("controller", err)
		return nil
	}
	return heard
}

// considerTransfer gives the lease back if it is this node that the workers can't reach,
// and not the workers that are gone. To release them for that would end all that runs.
// It reports whether it does. Where it may not, though others hear them, the zones count
// as cut off.
func (c *Controller) considerTransfer(zones map[string]leadership.ZoneWorkers) bool {
	t := c.term
	if t.transferInFlight {
		return true
	}
	if !c.mayActAsLeader() || c.now.Steady-t.recordsLoadedAt <= c.silenceThreshold() {
		return false
	}
	others := make(map[string]leadership.Reachability)
	for name, o := range t.peers {
		if o.statusAt > 0 && c.now.Steady-o.statusAt <= peerStatusLifetime {
			others[name] = o.reachability
		}
	}
	to, v := leadership.Decide(c.now.Wall, zones, others, t.transfers)
	if v != t.transferDecision {
		t.transferDecision = v
		c.log.Info("workers heard", "verdict", v.String(), "epoch", t.epoch)
	}
	switch v {
	case leadership.Transfer:
		c.transferLeadership(to, leadership.ReachableByZone(zones))
		return true
	case leadership.KeepHearsMost, leadership.KeepNobodyHearsMore:
	default:
		for name, z := range zones {
			heard := 0
			for _, o := range others {
				heard += o[name]
			}
			if missed := z.Silent + z.Relayed; missed > 0 && 2*heard >= missed {
				t.partitionSeenAt[name] = c.now.Steady
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
func (c *Controller) transferLeadership(to string, heard map[string]int) {
	t := c.term
	t.transferInFlight = true
	y := protocol.LeadershipTransfer{From: c.platform.ControllerName, To: to, Epoch: t.epoch, At: c.now.Wall, ReachableWorkers: heard}
	rec := state.EpochRecord{Epoch: t.epoch, LaunchesUnrecorded: t.launchesUnrecorded, Transfers: leadership.RecentTransfers(append(t.transfers, y), c.now.Wall), Level: c.activeLevel()}
	then := []protocol.Change{{Key: state.KeyEpoch, Value: state.EncodeEpoch(rec)}, {Key: state.KeyLeader}}
	c.leaderTransaction(priorityLeadership, c.withLevelCondition(nil), then, func(o txnOutcome, r protocol.TxnResult) {
		if other := c.handleLevelConflict(o, r); other || o.notExecuted() {
			t.transferInFlight, t.cycleNeeded = false, true // nothing was done: it is looked at again
			return
		}
		c.log.Info("giving the lease back: workers are heard by other nodes and not by this one", "epoch", t.epoch, "to", to,
			"heard", leadership.Reachability(heard).Total())
		c.stepDownBackoffUntil = c.now.Steady + stepDownBackoff
		c.revokeLease(c.lease.id)
		c.becomeFollower()
	})
}
