package controller

import (
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
)

// handoverWriter maintains the handover state for the next leader: since when hosts have been
// silent, and which zones appear partitioned. The leader writes it to the state service and
// includes changes in its status requests to the other controllers, so that it survives an outage
// of the state service. Without it, a new leader would have to observe the whole time of silence
// again before it could act.
type handoverWriter struct {
	*termContext
	election   *election
	hosts      *hostMonitor
	membership *membership
	records    *recordStore

	persisted   protocol.HandoverState // the state in the state service
	sentToPeers map[string]sentHandover
	nextUpdate  micros // time of the next update
	writing     bool
}

// sentHandover describes the handover state that another controller has acknowledged.
type sentHandover struct {
	stateAt        micros // HandoverState.At
	acknowledgedAt micros
}

const (
	handoverInterval = protocol.Second
	handoverRetry    = 2 * protocol.Second
	// partitionRefreshInterval is how often the record of a lasting partition is written again:
	// the next leader uses the time at which the partition was last seen.
	partitionRefreshInterval = 10 * protocol.Second
	// handoverResendInterval is how often an unchanged state is sent to a controller again, which
	// may have restarted without a change of its name and lost it.
	handoverResendInterval = 5 * protocol.Second

	handoverBaseSize = 200 // bytes of a record without its entries
	partitionSize    = 48  // bytes of a partition without its zone's name
)

// needsSending reports whether a handover state has to be sent to a controller: it has not
// acknowledged this state, or did so too long ago.
func (hw *handoverWriter) needsSending(peer string, h protocol.HandoverState) bool {
	sent := hw.sentToPeers[peer]
	return sent.stateAt != h.At || hw.now.Steady-sent.acknowledgedAt >= handoverResendInterval
}

// onSent records that a controller has acknowledged a handover state.
func (hw *handoverWriter) onSent(peer string, h protocol.HandoverState) {
	hw.sentToPeers[peer] = sentHandover{h.At, hw.now.Steady}
}

// updateHandover updates the handover state, and writes its record if the content has changed or
// a partition has to be refreshed. A host counts as silent after silentAfter without contact.
func (hw *handoverWriter) updateHandover(silentAfter micros) {
	if hw.now.Steady < hw.nextUpdate || !hw.election.mayActAsLeader() {
		return
	}
	hw.nextUpdate = hw.now.Steady + handoverInterval
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
		hw.nextUpdate = hw.now.Steady + handoverRetry
		if err == nil {
			hw.persisted = h
		}
	})
}

// currentState returns the current handover state, trimmed to the size of a record.
func (hw *handoverWriter) currentState(silentAfter micros) protocol.HandoverState {
	h := protocol.HandoverState{Epoch: hw.epoch, At: hw.now.Wall}
	partitions := make(map[string]*protocol.Partition)
	for zone, seenAt := range hw.hosts.partitionSeenAt {
		if hw.hosts.isCutOff(zone) {
			partitions[zone] = &protocol.Partition{Zone: zone, Since: hw.now.Wall, LastSeen: hw.wallTime(seenAt)}
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

// maxSilentHosts returns how many silent hosts fit into the record. If not all of them fit, the
// hosts that have been silent for longest are kept.
func (hw *handoverWriter) maxSilentHosts(hosts, size int) int {
	limit := min(hosts, protocol.MaxSilentHosts)
	capacity := hw.records.shardCapacity()
	if size <= capacity {
		return limit
	}
	sizePerHost := size / max(1, hosts)
	return min(limit, max(0, capacity/sizePerHost))
}

// applyHandover applies the handover state of the previous leaders to the cluster state of a new
// leader.
func (hw *handoverWriter) applyHandover() {
	now, handover := hw.now, hw.membership.handover
	hw.persisted, hw.sentToPeers = handover, make(map[string]sentHandover)
	inherited := leadership.Inherit(handover)
	for zone, p := range inherited.Partitions() {
		if now.Wall-p.LastSeen < hw.hosts.partitionRetention() {
			// Heartbeats of the zone's hosts will soon show whether the partition persists.
			hw.hosts.partitionSeenAt[zone] = now.Steady
		}
	}
	silentHosts := 0
	for _, h := range hw.cluster.Hosts() {
		h.Agent.LastContact = now.Steady
		if wall, ok := inherited.SilentSince(h.Name, h.Zone); ok {
			h.Agent.LastContact = min(now.Steady, hw.steadyTime(wall))
			silentHosts++
		}
	}
	if silentHosts > 0 {
		hw.log.Info("applied the handover state of earlier leaders", "epoch", hw.epoch, "silent_hosts", silentHosts, "partitions", len(inherited.Partitions()),
			"seen_ms_ago", int64((now.Wall-handover.At)/protocol.Millisecond))
	}
}
