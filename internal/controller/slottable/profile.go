package slottable

import (
	"sort"

	"mapleslip/internal/protocol"
)

// profileStep is what a row has free from a time on, until the next step.
type profileStep struct {
	at   micros
	free resources
}

// profile is a row's free room against time: what is on the machine and what is
// planned for it, opportunistic tasks not counted. It has a step at every time at which that
// changes, the first one at the beginning of time. With it the earliest room is
// found in one sweep.
type profile []profileStep

// reset is a row on which nothing is.
func (p profile) reset(offer resources) profile { return append(p[:0], profileStep{0, offer}) }

// cut makes a step begin at a time, and returns its index.
func (p profile) cut(at micros) (profile, int) {
	i := sort.Search(len(p), func(i int) bool { return p[i].at >= at })
	if i < len(p) && p[i].at == at {
		return p, i
	}
	p = append(p, profileStep{})
	copy(p[i+1:], p[i:])
	p[i] = profileStep{at, p[i-1].free}
	return p, i
}

// add takes need n times during [from, to).
func (p profile) add(from, to micros, need resources, n int64) profile {
	if from = max(from, 0); to <= from {
		return p
	}
	p, i := p.cut(from)
	j := len(p)
	if to < protocol.Forever {
		p, j = p.cut(to)
	}
	for k := i; k < j; k++ {
		p[k].free = p[k].free.Add(need, -n)
	}
	return p
}

// at is the index of the step that holds at a time.
func (p profile) at(t micros) int {
	// Rows are mostly asked about now, which is near the first step.
	i := 0
	for i+1 < len(p) && p[i+1].at <= t {
		i++
	}
	return i
}

// fits reports whether need is free during [from, to).
func (p profile) fits(need resources, from, to micros) bool {
	for i := p.at(from); ; i++ {
		if !p[i].free.Covers(need) {
			return false
		}
		if i+1 == len(p) || p[i+1].at >= to {
			return true
		}
	}
}

// room is the earliest time from after on at which need is free for length.
func (p profile) room(need resources, after, length micros) (micros, bool) {
	from := after
	for i := p.at(after); i < len(p); i++ {
		if !p[i].free.Covers(need) {
			if i+1 < len(p) {
				from = p[i+1].at
			}
			continue
		}
		if i+1 == len(p) || p[i+1].at-from >= length {
			return from, true
		}
	}
	return 0, false
}
