package controller

import (
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
)

// handoverWriter keeps what a successor must know: since when hosts are silent, and which zones
// look cut off. It is in the state service and, as far as it changed, in the leader's status
// requests, so that it is there also if the state service was down since. A new leader that
// began from nothing would need the whole time of silence again before it did anything.
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

// sentHandover is what another controller has acknowledged.
type sentHandover struct {
	stateAt        micros // HandoverState.At
	acknowledgedAt micros
}

const (
	handoverInterval = protocol.Second
	handoverRetry    = 2 * protocol.Second
	// partitionRefreshInterval is how often a partition that lasts is written again: a
	// successor goes by when it was last seen.
	partitionRefreshInterval = 10 * protocol.Second
	// handoverResendInterval is how often a controller is told again what it was told: it may
	// have been started anew since, which its name does not show.
	handoverResendInterval = 5 * protocol.Second

	handoverBaseSize = 200 // bytes of a record besides its entries
	partitionSize    = 48  // bytes of a partition besides its zone's name
)

// needsSending reports whether a controller has to be told a handover state.
func (hw *handoverWriter) needsSending(peer string, h protocol.HandoverState) bool {
	sent := hw.sentToPeers[peer]
	return sent.stateAt != h.At || hw.now.Steady-sent.acknowledgedAt >= handoverResendInterval
}

// onSent notes that a controller has acknowledged a handover state.
func (hw *handoverWriter) onSent(peer string, h protocol.HandoverState) {
	hw.sentToPeers[peer] = sentHandover{h.At, hw.now.Steady}
}

// updateHandover brings the handover state up to date, and its record where that differs. A
// host counts as silent after a delay.
func (hw *handoverWriter) updateHandover(silentAfter micros) {
	if hw.now.Steady < hw.next || !hw.election.mayActAsLeader() {
		return
	}
	hw.next = hw.now.Steady + handoverInterval
	h := hw.currentState(silentAfter)
	if known := hw.membership.handover; !leadership.SameContent(h, known) || known.Epoch != h.Epoch {
		hw.membership.handover = h
	}
	refresh := len(h.Partitions) > 0 && h.At-hw.persisted.At >= partitionRefreshInterval
	if hw.writing || leadership.SameContent(h, hw.persisted) && !refresh {
		return
	}
	hw.writing = true
	then := []protocol.Change{{Key: records.KeyHandover, Value: records.EncodeHandover(h)}}
	hw.election.transaction(priorityUrgent, nil, then, func(_ uint64, err error) {
		hw.writing = false
		hw.next = hw.now.Steady + handoverRetry
		if err == nil {
			hw.persisted = h
		}
	})
}

// currentState is the handover state as of now, as far as it fits into a record.
func (hw *handoverWriter) currentState(silentAfter micros) protocol.HandoverState {
	h := protocol.HandoverState{Epoch: hw.epoch, At: hw.now.Wall}
	partitions := make(map[string]*protocol.Partition)
	for zone, seen := range hw.hosts.partitionSeenAt {
		if hw.hosts.isCutOff(zone) {
			partitions[zone] = &protocol.Partition{Zone: zone, Since: hw.now.Wall, LastSeen: hw.wallTime(seen)}
		}
	}
	size := handoverBaseSize
	for _, host := range hw.cluster.Hosts() {
		mayReport := host.State == state.HostReady || host.Record.FromEarlierEpoch && !host.Reconciled
		if !mayReport || hw.hosts.silentFor(host) <= silentAfter {
			continue
		}
		since := hw.wallTime(host.Agent.LastContact)
		if p := partitions[host.Zone]; p != nil {
			p.Since = min(p.Since, since)
			continue
		}
		silent := protocol.SilentHost{Host: host.Name, Since: since}
		h.SilentHosts = append(h.SilentHosts, silent)
		size += records.SilentHostSize(silent)
	}
	for _, p := range partitions {
		h.Partitions = append(h.Partitions, *p)
		size += len(p.Zone) + partitionSize
	}
	return leadership.Trim(h, hw.maxSilentHosts(len(h.SilentHosts), size))
}

// maxSilentHosts is how many silent hosts fit into the record. Those that have been silent for
// longest are kept.
func (hw *handoverWriter) maxSilentHosts(hosts, size int) int {
	limit := min(hosts, protocol.MaxSilentHosts)
	capacity := hw.records.shardCapacity()
	if size <= capacity {
		return limit
	}
	sizeOfOne := size / max(1, hosts)
	return min(limit, max(0, capacity/sizeOfOne))
}

// applyHandover takes what earlier leaders have seen into a new leader's cluster state.
func (hw *handoverWriter) applyHandover() {
	now, handover := hw.now, hw.membership.handover
	hw.persisted, hw.sentToPeers = handover, make(map[string]sentHandover)
	inherited := leadership.Inherit(handover)
	for zone, p := range inherited.Partitions() {
		if now.Wall-p.LastSeen < hw.hosts.partitionRetention() {
			hw.hosts.partitionSeenAt[zone] = now.Steady // its hosts soon show whether it still is
		}
	}
	silent := 0
	for _, h := range hw.cluster.Hosts() {
		h.Agent.LastContact = now.Steady
		if wall, ok := inherited.SilentSince(h.Name, h.Zone); ok {
			h.Agent.LastContact = min(now.Steady, hw.steadyTime(wall))
			silent++
		}
	}
	if silent > 0 {
		hw.log.Info("taken from earlier leaders", "epoch", hw.epoch, "silent_hosts", silent, "partitions", len(inherited.Partitions()),
			"seen_ms_ago", int64((now.Wall-handover.At)/protocol.Millisecond))
	}
}
