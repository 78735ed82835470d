package leadership

import (
	"cmp"
	"slices"

	"mapleslip/internal/protocol"
)

// Newest returns the newer of two handover states. Each leader starts from the state of its
// predecessor, so the newer state includes what the older one contains.
func Newest(a, b protocol.HandoverState) protocol.HandoverState {
	if cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.At, b.At)) < 0 {
		return b
	}
	return a
}

// SameContent reports whether two handover states list the same partitioned zones and silent
// hosts, whatever their epochs and times.
func SameContent(a, b protocol.HandoverState) bool {
	return slices.EqualFunc(a.Partitions, b.Partitions, func(x, y protocol.Partition) bool { return x.Zone == y.Zone }) &&
		slices.EqualFunc(a.SilentHosts, b.SilentHosts, func(x, y protocol.SilentHost) bool { return x.Host == y.Host })
}

// InheritedState is the handover state of earlier leaders, indexed by host and by zone. A new
// leader uses it for hosts from which it has received no heartbeat yet.
type InheritedState struct {
	silent     map[string]micros
	partitions map[string]protocol.Partition
}

// Inherit indexes a handover state.
func Inherit(h protocol.HandoverState) InheritedState {
	inherited := InheritedState{silent: make(map[string]micros, len(h.SilentHosts)), partitions: make(map[string]protocol.Partition, len(h.Partitions))}
	for _, s := range h.SilentHosts {
		inherited.silent[s.Host] = s.Since
	}
	for _, p := range h.Partitions {
		inherited.partitions[p.Zone] = p
	}
	return inherited
}

// SilentSince returns the time of day of the last heartbeat from a host that was silent, or that
// is in a zone that was partitioned, when the handover state was made. For a partitioned zone it
// is the time at which the first of its hosts became silent.
func (in InheritedState) SilentSince(host, zone string) (at protocol.Micros, silent bool) {
	if at, ok := in.silent[host]; ok {
		return at, true
	}
	p, ok := in.partitions[zone]
	return p.Since, ok
}

// Partitions returns the zones that appeared partitioned from the controllers, by name.
func (in InheritedState) Partitions() map[string]protocol.Partition { return in.partitions }

// Trim limits a handover state to maxHosts silent hosts, so that it fits into its record. It keeps
// those that have been silent for longest; a new leader detects the others itself. The hosts of a
// partitioned zone are not listed one by one.
func Trim(h protocol.HandoverState, maxHosts int) protocol.HandoverState {
	slices.SortFunc(h.SilentHosts, func(a, b protocol.SilentHost) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Host, b.Host))
	})
	h.SilentHosts = h.SilentHosts[:min(maxHosts, len(h.SilentHosts))]
	slices.SortFunc(h.SilentHosts, func(a, b protocol.SilentHost) int { return cmp.Compare(a.Host, b.Host) })
	slices.SortFunc(h.Partitions, func(a, b protocol.Partition) int { return cmp.Compare(a.Zone, b.Zone) })
	return h
}
