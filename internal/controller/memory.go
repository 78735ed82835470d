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

// remembering is how a leader keeps its memory.
type remembering struct {
	kept    protocol.HandoverState // as the state service has it
	told    map[string]toldMemory
	next    micros // when it is looked at again
	writing bool
}

// toldMemory is what another controller was told.
type toldMemory struct {
	made micros // At of the memory
	at   micros // when it answered
}

// tellAgain is how often a controller is told again what it has been told: it may have
// been started anew since, which its name does not show.
const tellAgain = 5 * protocol.Second

// Spans of that. A cut that lasts is written again now and then, since a successor
// goes by when it was last seen.
const (
	memoryEvery = protocol.Second
	cutsAgain   = 10 * protocol.Second
	retryMemory = 2 * protocol.Second
)

// wallOf turns the steady clock's time into a time of day.
func (c *Controller) wallOf(steady micros) micros { return steady - c.at.Steady + c.at.Wall }

// keepMemory brings the memory up to date, and the record of it where it differs.
func (c *Controller) keepMemory(release micros) {
	t := c.term
	at := c.at.Steady
	if at < t.memory.next || !c.mayStart() {
		return
	}
	t.memory.next = at + memoryEvery
	m := protocol.HandoverState{Epoch: t.epoch, At: c.at.Wall}
	cuts := make(map[string]*protocol.Partition)
	for zone, seen := range t.cutSeen {
		if at-seen < c.cutHolds() {
			cuts[zone] = &protocol.Partition{Zone: zone, Since: c.at.Wall, LastSeen: c.wallOf(seen)}
		}
	}
	bytes, room := 200, c.room()
	for _, h := range t.book.Hosts() {
		if h.State != state.HostReady && (!h.FromRecord || h.Reconciled) || at-h.LastContact <= release {
			continue
		}
		if cut := cuts[h.Zone]; cut != nil {
			cut.Since = min(cut.Since, c.wallOf(h.LastContact))
			continue
		}
		s := protocol.SilentHost{Host: h.Name, Since: c.wallOf(h.LastContact)}
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
	if same := leadership.SameContent(m, c.memory); !same || c.memory.Epoch != m.Epoch {
		c.memory = m
	}
	kept := &t.memory.kept
	again := len(m.Partitions) > 0 && m.At-kept.At >= cutsAgain
	if t.memory.writing || leadership.SameContent(m, *kept) && !again {
		return
	}
	t.memory.writing = true
	c.lead(prioUrgent, nil, []protocol.Change{{Key: state.KeyHandover, Value: state.EncodeHandoverState(m)}}, func(o txnOutcome, _ protocol.TxnResult) {
		t.memory.writing = false
		t.memory.next = c.at.Steady + retryMemory
		if o == txnApplied {
			*kept = m
		}
	})
}

// cutHolds is how long a zone counts as cut off after it last looked so: when a cut
// ends, its hosts do not all come back at the same instant.
func (c *Controller) cutHolds() micros { return 2*c.platform.HeartbeatInterval + 4*protocol.Second }

// inherit takes what earlier leaders have seen into a new leader's book.
func (c *Controller) inherit() {
	t := c.term
	at := c.at.Steady
	t.memory.kept, t.memory.told = c.memory, make(map[string]toldMemory)
	in := leadership.Inherit(c.memory)
	for zone, cut := range in.Partitions() {
		if c.at.Wall-cut.LastSeen < c.cutKeep() {
			t.cutSeen[zone] = at // its hosts soon show whether it still is
		}
	}
	silent := 0
	for _, h := range t.book.Hosts() {
		h.LastContact = at
		if wall, ok := in.SilentSince(h.Name, h.Zone); ok {
			h.LastContact = min(at, c.steadyOf(wall))
			silent++
		}
	}
	if silent > 0 {
		c.log.Info("taken from earlier leaders", "epoch", t.epoch, "silent", silent, "zones_cut", len(in.Partitions()), "seen_ms_ago", int64((c.at.Wall-c.memory.At)/protocol.Millisecond))
	}
}

// question makes a leader's question, with what it has seen. That is empty where the
// other side has it already.
func (c *Controller) question(m protocol.HandoverState) []byte {
	return protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerStatusRequest, Epoch: c.term.epoch, From: c.platform.ControllerName, Body: protocol.AppendHandoverState(nil, m)})
}

// hearMemory keeps what a leader tells.
func (c *Controller) hearMemory(body []byte) {
	if len(body) == 0 || leads(c.role) {
		return
	}
	m, err := protocol.ParseHandoverState(body)
	if err != nil {
		c.malformed("controller", err)
		return
	}
	c.memory = leadership.Newest(c.memory, m)
}

// hearingOf reads how many workers another controller hears that can't reach this
// one. One that doesn't tell zones apart counts all that came to it.
func (c *Controller) hearingOf(m *protocol.PeerMessage) leadership.Reachability {
	if len(m.Body) == 0 {
		return leadership.Reachability{"": int(m.RedirectedWorkers)}
	}
	heard, err := protocol.ParseReachability(m.Body)
	if err != nil {
		c.malformed("controller", err)
		return nil
	}
	return heard
}

// considerYield gives the lease back if it is this node that the workers can't reach,
// and not the workers that are gone. To release them for that would end all that runs.
// It reports whether it does. Where it may not, though others hear them, the zones count
// as cut off.
func (c *Controller) considerYield(zones map[string]leadership.ZoneWorkers) bool {
	t := c.term
	if t.yielding {
		return true
	}
	if !c.mayStart() || c.at.Steady-t.led <= c.silence() {
		return false
	}
	others := make(map[string]leadership.Reachability)
	for name, o := range t.others {
		if o.asked > 0 && c.at.Steady-o.asked <= standHolds {
			others[name] = o.hearing
		}
	}
	to, v := leadership.Decide(c.at.Wall, zones, others, t.yields)
	if v != t.verdict {
		t.verdict = v
		c.log.Info("workers heard", "verdict", v.String(), "epoch", t.epoch)
	}
	switch v {
	case leadership.Transfer:
		c.yield(to, leadership.ReachableByZone(zones))
		return true
	case leadership.KeepHearsMost, leadership.KeepNobodyHearsMore:
	default:
		for name, z := range zones {
			heard := 0
			for _, o := range others {
				heard += o[name]
			}
			if missed := z.Silent + z.Relayed; missed > 0 && 2*heard >= missed {
				t.cutSeen[name] = c.at.Steady
			}
		}
	}
	return false
}

// shyFor is how long a node that gave its lease back lets others go first.
const shyFor = 30 * protocol.Second

// yield gives leadership up, so that a node that the workers reach can lead. Who heard
// how many is in the record of the epoch: the successor goes by it. The key goes in
// the same transaction, so that nobody leads who does not see that.
func (c *Controller) yield(to string, heard map[string]int) {
	t := c.term
	t.yielding = true
	y := protocol.LeadershipTransfer{From: c.platform.ControllerName, To: to, Epoch: t.epoch, At: c.at.Wall, ReachableWorkers: heard}
	rec := state.EpochRecord{Epoch: t.epoch, LaunchesUnrecorded: t.unlisted, Transfers: leadership.RecentTransfers(append(t.yields, y), c.at.Wall), Level: c.level()}
	then := []protocol.Change{{Key: state.KeyEpoch, Value: state.EncodeEpoch(rec)}, {Key: state.KeyLeader}}
	c.lead(prioLeadership, c.underLevel(nil), then, func(o txnOutcome, r protocol.TxnResult) {
		if other := c.otherLevel(o, r); other || o.undone() {
			t.yielding, t.dirty = false, true // nothing was done: it is looked at again
			return
		}
		c.log.Info("giving the lease back: workers are heard by other nodes and not by this one", "epoch", t.epoch, "to", to,
			"heard", leadership.Reachability(heard).Total())
		c.shy = c.at.Steady + shyFor
		c.endLease(c.seat.lease)
		c.follow()
	})
}
