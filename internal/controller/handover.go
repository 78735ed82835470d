package controller

import (
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
)

// handoverWriter keeps what a successor must know, see protocol.HandoverState, in the state
// service and with the other controllers.
type handoverWriter struct {
	*termContext
	election   *election
	hosts      *hostMonitor
	membership *membership
	records    *recordStore

	persisted   protocol.HandoverState // as the state service has it
	sentToPeers map[string]sentHandover
	next        micros // when it is looked at again
	writing     bool
}

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
		if h.State != state.HostReady && (!h.Record.FromEarlierEpoch || h.Reconciled) || at-h.Agent.LastContact <= release {
			continue
		}
		if cut := cuts[h.Zone]; cut != nil {
			cut.Since = min(cut.Since, hw.wallTime(h.Agent.LastContact))
			continue
		}
		s := protocol.SilentHost{Host: h.Name, Since: hw.wallTime(h.Agent.LastContact)}
		m.SilentHosts = append(m.SilentHosts, s)
		bytes += records.SilentHostSize(s)
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
	hw.election.leaderTransaction(priorityUrgent, nil, []protocol.Change{{Key: records.KeyHandover, Value: records.EncodeHandover(m)}}, func(o txnOutcome, _ protocol.TxnResult) {
		hw.writing = false
		hw.next = hw.now.Steady + handoverRetry
		if o == txnCommitted {
			*kept = m
		}
	})
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
		h.Agent.LastContact = at
		if wall, ok := in.SilentSince(h.Name, h.Zone); ok {
			h.Agent.LastContact = min(at, hw.steadyTime(wall))
			silent++
		}
	}
	if silent > 0 {
		hw.log.Info("taken from earlier leaders", "epoch", hw.epoch, "silent", silent, "zones_cut", len(in.Partitions()), "seen_ms_ago", int64((hw.now.Wall-hw.membership.handover.At)/protocol.Millisecond))
	}
}
