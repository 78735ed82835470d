package leadership

import (
	"cmp"
	"slices"

	"mapleslip/internal/protocol"
)

// Newer is the one of two memories that was made later: a leader goes on from the
// memory of the one before, so the newest says all that there is to know.
func Newer(a, b protocol.Memory) protocol.Memory {
	if cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.At, b.At)) < 0 {
		return b
	}
	return a
}

// Same reports whether two memories say the same, whenever they were made.
func Same(a, b protocol.Memory) bool {
	return slices.EqualFunc(a.Cuts, b.Cuts, func(x, y protocol.Cut) bool { return x.Zone == y.Zone }) &&
		slices.EqualFunc(a.Silent, b.Silent, func(x, y protocol.Silence) bool { return x.Host == y.Host })
}

// Inherited is what a new leader knows of machines that it has not heard yet.
type Inherited struct {
	silent map[string]micros
	cuts   map[string]protocol.Cut
}

// Inherit makes it from a memory.
func Inherit(m protocol.Memory) Inherited {
	in := Inherited{silent: make(map[string]micros, len(m.Silent)), cuts: make(map[string]protocol.Cut, len(m.Cuts))}
	for _, s := range m.Silent {
		in.silent[s.Host] = s.Since
	}
	for _, c := range m.Cuts {
		in.cuts[c.Zone] = c
	}
	return in
}

// SilentSince tells when a machine was last heard, if it was silent then.
func (in Inherited) SilentSince(host, zone string) (at micros, silent bool) {
	if at, ok := in.silent[host]; ok {
		return at, true
	}
	c, ok := in.cuts[zone]
	return c.Since, ok
}

// Cuts are the zones that looked cut off.
func (in Inherited) Cuts() map[string]protocol.Cut { return in.cuts }

// Trim makes a memory fit: at most so many machines are named, those that have
// been silent for longest; the others a new leader finds out about by itself. The
// machines of a zone that is cut off are not named one by one.
func Trim(m protocol.Memory, most int) protocol.Memory {
	slices.SortFunc(m.Silent, func(a, b protocol.Silence) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Host, b.Host))
	})
	m.Silent = m.Silent[:min(most, len(m.Silent))]
	slices.SortFunc(m.Silent, func(a, b protocol.Silence) int { return cmp.Compare(a.Host, b.Host) })
	slices.SortFunc(m.Cuts, func(a, b protocol.Cut) int { return cmp.Compare(a.Zone, b.Zone) })
	return m
}
