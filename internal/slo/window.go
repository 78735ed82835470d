// Package slo counts which share of the jobs of a class, of a team, and of a class's
// largest jobs, are served,
// and says which of them fall short. It decides nothing: see docs/results.md for the
// orders by it that were tried. It does no I/O and owns no clock.
//
// A job counts once: as served when it has what was asked in time, as missed when that
// time is over. Counts are kept for the last while, so that what was is forgotten.
package slo

import "mapleslip/internal/protocol"

type micros = protocol.Micros

// The window that is looked back on, in steps that are forgotten one by one.
const (
	steps    = 8
	stepSpan = 15 * protocol.Second
)

// A group falls short once less than shortBelow of at least fewest jobs were
// served, and no more once enoughFrom were. In hundredths.
const (
	shortBelow = 55
	enoughFrom = 65
	fewest     = 10
)

// mostGroups bounds what is remembered: users choose the names of classes.
const mostGroups = 4096

// Kind is what jobs are grouped by.
type Kind uint8

// Kinds of groups.
const (
	Class Kind = iota
	Team
	Largest // the largest jobs of a class, by class; served: begun in time
	kinds
)

// Kinds lists all kinds of groups.
func Kinds() []Kind { return []Kind{Class, Team, Largest} }

func (k Kind) String() string { return [...]string{"class", "team", "largest"}[k] }

// State is how a group is served.
type State uint8

// States of a group.
const (
	Enough State = iota
	Short
)

func (s State) String() string { return [...]string{"enough", "short"}[s] }

// Count is how many jobs were served and missed.
type Count struct{ Served, Missed int }

// Of is how many jobs that are.
func (c Count) Of() int { return c.Served + c.Missed }

type group struct {
	state State
	steps [steps]Count
	at    [steps]micros // number of the step that each counts
	all   Count
}

// Window counts for all groups.
type Window struct{ groups [kinds]map[string]*group }

// Add counts a job, and reports whether the state of its group has changed.
func (w *Window) Add(k Kind, name string, now micros, served bool) (changed bool) {
	if w.groups[k] == nil {
		w.groups[k] = make(map[string]*group)
	}
	g := w.groups[k][name]
	if g == nil {
		if len(w.groups[k]) >= mostGroups {
			return false
		}
		g = &group{}
		w.groups[k][name] = g
	}
	n := now / stepSpan
	i := int(n % steps)
	if g.at[i] != n {
		g.at[i], g.steps[i] = n, Count{}
	}
	c := &g.steps[i]
	if served {
		c.Served++
		g.all.Served++
	} else {
		c.Missed++
		g.all.Missed++
	}
	return g.judge(now)
}

// judge is the one place where a group's state changes.
func (g *group) judge(now micros) bool {
	c := g.lately(now)
	was := g.state
	switch {
	case g.state == Enough && c.Of() >= fewest && 100*c.Served < shortBelow*c.Of():
		g.state = Short
	case g.state == Short && 100*c.Served >= enoughFrom*c.Of():
		g.state = Enough
	}
	return g.state != was
}

func (g *group) lately(now micros) Count {
	var sum Count
	for i, c := range g.steps {
		if now/stepSpan-g.at[i] < steps {
			sum.Served += c.Served
			sum.Missed += c.Missed
		}
	}
	return sum
}

// Lately is how many of a group were served within the window.
func (w *Window) Lately(k Kind, name string, now micros) Count {
	if g := w.groups[k][name]; g != nil {
		return g.lately(now)
	}
	return Count{}
}

// Is tells a group's state.
func (w *Window) Is(k Kind, name string) State {
	if g := w.groups[k][name]; g != nil {
		return g.state
	}
	return Enough
}

// Counts are those of all groups of a kind, since the beginning.
func (w *Window) Counts(k Kind) map[string]Count {
	out := make(map[string]Count, len(w.groups[k]))
	for name, g := range w.groups[k] {
		out[name] = g.all
	}
	return out
}
