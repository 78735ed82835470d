package leadership

import (
	"cmp"
	"slices"

	"mapleslip/internal/protocol"
)

// Newest is the one of two handover states that was made later: a leader goes on from that of the
// one before, so the newest says all that there is to know.
func Newest(a, b protocol.HandoverState) protocol.HandoverState {
	if cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.At, b.At)) < 0 {
		return b
	}
	return a
}

// SameContent reports whether two handover states say the same, whenever they were made.
func SameContent(a, b protocol.HandoverState) bool {
	return slices.EqualFunc(a.Partitions, b.Partitions, func(x, y protocol.Partition) bool { return x.Zone == y.Zone }) &&
		slices.EqualFunc(a.SilentHosts, b.SilentHosts, func(x, y protocol.SilentHost) bool { return x.Host == y.Host })
}

// InheritedState is what a new leader knows of hosts that it has not heard yet.
type InheritedState struct {
	silent     map[string]micros
	partitions map[string]protocol.Partition
}

// Inherit makes it from a handover state.
func Inherit(m protocol.HandoverState) InheritedState {
	in := InheritedState{silent: make(map[string]micros, len(m.SilentHosts)), partitions: make(map[string]protocol.Partition, len(m.Partitions))}
	for _, s := range m.SilentHosts {
		in.silent[s.Host] = s.Since
	}
	for _, c := range m.Partitions {
		in.partitions[c.Zone] = c
	}
	return in
}

// SilentSince returns when a host was last heard, if it was silent then.
func (in InheritedState) SilentSince(host, zone string) (at protocol.Micros, silent bool) {
	if at, ok := in.silent[host]; ok {
		return at, true
	}
	c, ok := in.partitions[zone]
	return c.Since, ok
}

// Partitions are the zones that looked cut off.
func (in InheritedState) Partitions() map[string]protocol.Partition { return in.partitions }

// Trim makes a handover state fit: at most maxHosts hosts are named, those that have been silent
// for longest; the others a new leader finds out about by itself. The hosts of a zone that is cut
// off are not named one by one.
func Trim(m protocol.HandoverState, maxHosts int) protocol.HandoverState {
	slices.SortFunc(m.SilentHosts, func(a, b protocol.SilentHost) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Host, b.Host))
	})
	m.SilentHosts = m.SilentHosts[:min(maxHosts, len(m.SilentHosts))]
	slices.SortFunc(m.SilentHosts, func(a, b protocol.SilentHost) int { return cmp.Compare(a.Host, b.Host) })
	slices.SortFunc(m.Partitions, func(a, b protocol.Partition) int { return cmp.Compare(a.Zone, b.Zone) })
	return m
}
