package slottable

import (
	"sort"

	"mapleslip/internal/protocol"
)

// profileStep records what a row has free from a time on, until the next step.
type profileStep struct {
	from micros
	free resources
}

// profile records a row's free resources over time, after the tasks on the machine and those
// planned for it; opportunistic tasks are not counted. It has a step for each time at which the
// amount changes, the first one at time 0, so that the earliest room is found in one pass.
type profile []profileStep

// reset returns the profile of an empty row, in the memory of p.
func (p profile) reset(capacity resources) profile { return append(p[:0], profileStep{0, capacity}) }

// splitAt makes a step begin at a time, and returns the profile and the step's index.
func (p profile) splitAt(at micros) (profile, int) {
	i := sort.Search(len(p), func(i int) bool { return p[i].from >= at })
	if i < len(p) && p[i].from == at {
		return p, i
	}
	p = append(p, profileStep{})
	copy(p[i+1:], p[i:])
	p[i] = profileStep{at, p[i-1].free}
	return p, i
}

// addUsage subtracts need n times from what is free during [from, to).
func (p profile) addUsage(from, to micros, need resources, n int64) profile {
	if from = max(from, 0); to <= from {
		return p
	}
	p, i := p.splitAt(from)
	j := len(p)
	if to < protocol.Forever {
		p, j = p.splitAt(to)
	}
	for k := i; k < j; k++ {
		p[k].free = p[k].free.Add(need, -n)
	}
	return p
}

// stepAt returns the index of the step that covers a time.
func (p profile) stepAt(t micros) int {
	// Linear search: most calls are for the current time, which is near the first step.
	i := 0
	for i+1 < len(p) && p[i+1].from <= t {
		i++
	}
	return i
}

// fits reports whether need is free during [from, to).
func (p profile) fits(need resources, from, to micros) bool {
	for i := p.stepAt(from); ; i++ {
		if !p[i].free.Covers(need) {
			return false
		}
		if i+1 == len(p) || p[i+1].from >= to {
			return true
		}
	}
}

// earliestRoom returns the earliest time, not before after, from which need is free for length.
func (p profile) earliestRoom(need resources, after, length micros) (micros, bool) {
	from := after
	for i := p.stepAt(after); i < len(p); i++ {
		if !p[i].free.Covers(need) {
			if i+1 < len(p) {
				from = p[i+1].from
			}
			continue
		}
		if i+1 == len(p) || p[i+1].from-from >= length {
			return from, true
		}
	}
	return 0, false
}
