package featuregate

import (
	"fmt"
	"strings"
)

// StoredEntry is a controller's entry of the roster as the state service has it.
type StoredEntry struct {
	Entry
	Revision uint64
	Err      error // it can't be read
}

// Reason says why a level waits for a controller.
type Reason uint8

// Reasons.
const (
	NoEntry    Reason = iota // a version that knows of no levels, or it has not been able to say yet
	Unreadable               // its entry can't be read
	ServesLess               // it runs a version that does not serve the level
	Withdrawn                // it serves from a higher level on only
	RunsOld                  // it answers as a version that knows of no levels, whatever its entry says
)

func (r Reason) String() string {
	return [...]string{
		"no entry in the roster", "its entry can't be read", "it runs a version that does not serve the level",
		"it runs a version that serves only later levels", "it answers as a version without levels",
	}[r]
}

// Blocker is a controller for which a level waits, and why.
type Blocker struct {
	Controller string
	Reason     Reason
}

// Decision is what the leader does about the active level.
type Decision struct {
	Next     Level     // the level that every controller has: to be made active if it is above the active one
	Blockers []Blocker // for whom the highest level that the leader serves waits, in the order of the settings
}

// Decide compares the controllers of the settings with the roster. A level is ready when
// all of them have it, whether they answer just now or not; an entry of a controller that
// the settings don't name counts for nothing.
func Decide(names []string, leader Range, active Level, roster map[string]StoredEntry) Decision {
	d := Decision{Next: leader.High}
	for _, name := range names {
		k, found := roster[name]
		switch {
		case !found:
			d.block(name, NoEntry, active)
		case k.Err != nil || k.Controller != name:
			d.block(name, Unreadable, active)
		case k.Levels.High < leader.High:
			d.block(name, ServesLess, max(active, min(d.Next, k.Levels.High)))
		}
	}
	for _, name := range names {
		if k, found := roster[name]; found && k.Err == nil && k.Levels.Low > d.Next {
			d.block(name, Withdrawn, active)
		}
	}
	return d
}

func (d *Decision) block(name string, why Reason, next Level) {
	d.Blockers = append(d.Blockers, Blocker{name, why})
	d.Next = min(d.Next, next)
}

// Describe names those for whom a level waits, for the log.
func Describe(waits []Blocker) string {
	parts := make([]string, len(waits))
	for i, w := range waits {
		parts[i] = fmt.Sprintf("%s (%s)", w.Controller, w.Reason)
	}
	return strings.Join(parts, ", ")
}
