package featuregate

import (
	"fmt"
	"strings"
)

// StoredEntry is a controller's entry of the roster, as read from the state service.
type StoredEntry struct {
	Entry
	Revision uint64
	Err      error // set if the entry can't be read
}

// Reason is why a controller blocks a feature level.
type Reason uint8

// Reasons why a controller blocks a feature level.
const (
	NoEntry              Reason = iota // its version has no levels, or it could not write its entry yet
	Unreadable                         // its entry can't be read
	MaxLevelTooLow                     // its version does not serve the level
	MinLevelTooHigh                    // its version serves only higher levels
	RespondsAsOldVersion               // it responds like a version without levels, despite its entry
)

func (r Reason) String() string {
	return [...]string{
		"no entry in the roster", "its entry can't be read", "it runs a version that does not serve the level",
		"it runs a version that serves only later levels", "it answers as a version without levels",
	}[r]
}

// Blocker is a controller that blocks a feature level, and the reason.
type Blocker struct {
	Controller string
	Reason     Reason
}

// Decision is the result of Decide.
type Decision struct {
	// Next is the level that the leader activates if it is above the active one. Every controller
	// then serves it.
	Next Level
	// Blockers are the controllers that block the highest level that the leader serves, in the
	// order of the settings, those with MinLevelTooHigh last.
	Blockers []Blocker
}

// Decide compares the controllers in the settings with the roster. A level is ready when every
// controller serves it, whether the controller responds at the moment or not. Entries of
// controllers that are not in the settings are ignored.
func Decide(controllers []string, leader Range, active Level, roster map[string]StoredEntry) Decision {
	d := Decision{Next: leader.High}
	for _, name := range controllers {
		entry, found := roster[name]
		switch {
		case !found:
			d.block(name, NoEntry, active)
		case entry.Err != nil || entry.Controller != name:
			d.block(name, Unreadable, active)
		case entry.Levels.High < leader.High:
			d.block(name, MaxLevelTooLow, max(active, min(d.Next, entry.Levels.High)))
		}
	}
	for _, name := range controllers {
		if entry, found := roster[name]; found && entry.Err == nil && entry.Levels.Low > d.Next {
			d.block(name, MinLevelTooHigh, active)
		}
	}
	return d
}

func (d *Decision) block(name string, reason Reason, next Level) {
	d.Blockers = append(d.Blockers, Blocker{name, reason})
	d.Next = min(d.Next, next)
}

// Describe lists blockers and their reasons, for the log.
func Describe(blockers []Blocker) string {
	parts := make([]string, len(blockers))
	for i, blocker := range blockers {
		parts[i] = fmt.Sprintf("%s (%s)", blocker.Controller, blocker.Reason)
	}
	return strings.Join(parts, ", ")
}
