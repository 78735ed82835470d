// Package slo counts how many jobs of each class, of each team, and of the largest jobs of each
// class meet their service-level objectives, and reports the groups in which too few do. Scheduling
// does not use the result: docs/results.md describes the job orders based on it that were tried.
// The package does no I/O and has no clock.
//
// A job is counted once: as served when it meets its objective in time, as missed when that time
// has passed. The share is taken over a sliding window, so that older jobs no longer count.
package slo

import "mapleslip/internal/protocol"

type micros = protocol.Micros

// The sliding window consists of buckets that expire one by one.
const (
	bucketCount = 8
	bucketWidth = 15 * protocol.Second
)

// A group becomes Insufficient when less than insufficientBelowPercent of at least minJobs jobs
// were served, and Sufficient again when at least sufficientFromPercent were.
const (
	insufficientBelowPercent = 55
	sufficientFromPercent    = 65
	minJobs                  = 10
)

// maxGroupsPerKind bounds the memory for groups, because users choose the names of classes.
const maxGroupsPerKind = 4096

// Kind is the property by which jobs are grouped.
type Kind uint8

// Kinds of groups.
const (
	Class Kind = iota
	Team
	Largest // the largest jobs of each class, by class; served if they started in time
	kindCount
)

// Kinds returns all kinds of groups.
func Kinds() []Kind { return []Kind{Class, Team, Largest} }

func (k Kind) String() string { return [...]string{"class", "team", "largest"}[k] }

// State indicates whether enough jobs of a group were served.
type State uint8

// States of a group.
const (
	Sufficient State = iota
	Insufficient
)

func (s State) String() string { return [...]string{"enough", "short"}[s] }

// Count is the number of jobs that were served and the number that were missed.
type Count struct{ Served, Missed int }

// Total returns the number of jobs counted.
func (c Count) Total() int { return c.Served + c.Missed }

type group struct {
	state         State
	buckets       [bucketCount]Count
	bucketNumbers [bucketCount]micros // time of each bucket in units of bucketWidth
	total         Count
}

// Window holds the counts of all groups.
type Window struct{ groups [kindCount]map[string]*group }

// Add counts a job and reports whether this changed the state of its group. Jobs of further groups
// are ignored once there are maxGroupsPerKind groups of a kind.
func (w *Window) Add(k Kind, name string, now micros, served bool) (changed bool) {
	if w.groups[k] == nil {
		w.groups[k] = make(map[string]*group)
	}
	g := w.groups[k][name]
	if g == nil {
		if len(w.groups[k]) >= maxGroupsPerKind {
			return false
		}
		g = &group{}
		w.groups[k][name] = g
	}
	number := now / bucketWidth
	i := int(number % bucketCount)
	if g.bucketNumbers[i] != number {
		g.bucketNumbers[i], g.buckets[i] = number, Count{}
	}
	c := &g.buckets[i]
	if served {
		c.Served++
		g.total.Served++
	} else {
		c.Missed++
		g.total.Missed++
	}
	return g.updateState(now)
}

// updateState is the only place where the state of a group changes. It reports whether it did.
func (g *group) updateState(now micros) bool {
	c := g.recent(now)
	previous := g.state
	switch {
	case g.state == Sufficient && c.Total() >= minJobs && 100*c.Served < insufficientBelowPercent*c.Total():
		g.state = Insufficient
	case g.state == Insufficient && 100*c.Served >= sufficientFromPercent*c.Total():
		g.state = Sufficient
	}
	return g.state != previous
}

// recent returns the counts within the window.
func (g *group) recent(now micros) Count {
	var sum Count
	for i, c := range g.buckets {
		if now/bucketWidth-g.bucketNumbers[i] < bucketCount {
			sum.Served += c.Served
			sum.Missed += c.Missed
		}
	}
	return sum
}

// Recent returns the counts of a group within the window.
func (w *Window) Recent(k Kind, name string, now micros) Count {
	if g := w.groups[k][name]; g != nil {
		return g.recent(now)
	}
	return Count{}
}

// State returns the state of a group.
func (w *Window) State(k Kind, name string) State {
	if g := w.groups[k][name]; g != nil {
		return g.state
	}
	return Sufficient
}

// Counts returns the counts of all groups of a kind since the window was created.
func (w *Window) Counts(k Kind) map[string]Count {
	out := make(map[string]Count, len(w.groups[k]))
	for name, g := range w.groups[k] {
		out[name] = g.total
	}
	return out
}
