package controller

import (
	"slices"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// Feature levels, as far as every controller has to do with them: its entry in the roster,
// the active level that it knows, and what depends on it. What only the leader does is in
// upgrade.go.

// featureState is what a controller knows of the feature levels.
type featureState struct {
	serves featuregate.Range
	build  string
	active featuregate.Level // at least this one is active: levels never fall
	revision  uint64            // of the level's record, 0: there is none
	known  bool              // the stamp was read, and nothing has shown since that it is another
	registered bool              // the roster has what this process runs
}

// registryRetry is how soon a controller tries again to write its entry of the roster, or to
// finishRead the level.
const registryRetry = 400 * protocol.Millisecond

// SetFeatureRange says what this program serves, before Start.
func (c *Controller) SetFeatureRange(r featuregate.Range, build string) {
	c.features = &featureState{serves: r, build: build}
}

// DisableFeatureLevels has the controller behave as one of a version before there were levels, for
// tests, before Start: it writes no entry, asks for no level, and reads no record of the
// later form.
func (c *Controller) DisableFeatureLevels() { c.features = nil }

// featureEnabled reports whether a feature may be used: the active level, as far as this controller
// knows it, has the feature. Levels never fall, so what was allowed once stays allowed; a
// controller that does not know the level yet allows nothing new.
func (c *Controller) featureEnabled(f featuregate.Feature) bool { return c.activeLevel() >= f.From }

// featureLevel is the active level as far as this controller knows it.
func (c *Controller) activeLevel() featuregate.Level {
	if c.features == nil {
		return 0
	}
	return c.features.active
}

// raiseActiveLevel notes that a level is active, as the epoch's record says.
func (c *Controller) raiseActiveLevel(l featuregate.Level) {
	if c.features != nil {
		c.features.active = max(c.features.active, l)
	}
}

// startFeatureTracking writes this controller's entry of the roster and follows the level. Nothing
// but leading waits for the entry: what a controller accepts by itself depends on the
// level's record, so one that is not listed because the state service is down serves as
// before, and only holds a new level up.
func (c *Controller) startFeatureTracking() {
	if c.features == nil {
		return
	}
	c.registerVersion()
	c.watchLevel()
}

// registerVersion writes what this process runs into the roster. It writes also where the entry says
// the same, so that the stamp is another one: a write of the process before it, which may
// have run another version, is refused from then on.
func (c *Controller) registerVersion() {
	key := featuregate.RegistryKey(c.platform.ControllerName)
	again := func() { c.after(registryRetry, c.registerVersion) }
	c.getKey(priorityLeadership, key, func(e protocol.Entry, _, ok bool) {
		if !ok {
			again()
			return
		}
		value := featuregate.EncodeEntry(featuregate.Entry{Controller: c.platform.ControllerName, Levels: c.features.serves, Build: c.features.build})
		when := []protocol.Condition{{Key: key, Revision: e.Revision}}
		c.compareAndSwap(priorityLeadership, when, []protocol.Change{{Key: key, Value: value}}, func(o txnOutcome, _ protocol.TxnResult) {
			if o != txnCommitted {
				again() // where the outcome is unknown it is written once more
				return
			}
			c.features.registered = true
		})
	})
}

// watchLevel reads the level and follows it until there is none that this program could
// use beyond it. Leaders follow it too: an activation may be carried out late.
func (c *Controller) watchLevel() {
	enough := func() bool { return c.features.active >= c.features.serves.High }
	found := false
	c.listPrefix(priorityNormal, featuregate.KeyLevel, func(e protocol.Entry) {
		if e.Key == featuregate.KeyLevel {
			found = true
			c.applyLevelRecord(e)
		}
	}, func(revision uint64, ok bool) {
		if !ok {
			c.after(registryRetry, c.watchLevel)
			return
		}
		if !found && c.features.active == 0 {
			c.features.known = true
		}
		c.watchPrefix(priorityNormal, featuregate.KeyLevel, revision, enough, func(e protocol.Entry) {
			if e.Key == featuregate.KeyLevel && e.Value != nil {
				c.applyLevelRecord(e)
			}
		}, func() {
			if !enough() {
				c.watchLevel()
			}
		})
	})
}

// applyLevelRecord goes by the level's record. One that can't be read is told of, and nothing is
// accepted or written that depends on it.
func (c *Controller) applyLevelRecord(e protocol.Entry) {
	s := c.features
	if e.Revision < s.revision {
		return // it was read before what is known
	}
	l, err := featuregate.DecodeLevel(e.Value)
	if err != nil || l < s.active {
		if err == nil {
			err = errLevelFell
		}
		s.known = false
		c.logDamagedRecord(e, err)
		return
	}
	if l > s.active {
		c.log.Info("feature level is active", "level", uint64(l), "role", c.role.String())
	}
	s.active, s.revision, s.known = l, e.Revision, true
}

// readLevel reads the level's record, where it has to be known.
func (c *Controller) readLevel(prio uint8, done func(ok bool)) {
	c.getKey(prio, featuregate.KeyLevel, func(e protocol.Entry, found, ok bool) {
		switch {
		case ok && found:
			c.applyLevelRecord(e)
		case ok && c.features.revision == 0:
			c.features.known = true
		}
		done(ok)
	})
}

// withLevelCondition makes a transaction depend on the level that this controller goes by.
func (c *Controller) withLevelCondition(when []protocol.Condition) []protocol.Condition {
	if c.features == nil {
		return when
	}
	return append(when, protocol.Condition{Key: featuregate.KeyLevel, Revision: c.features.revision})
}

// handleLevelConflict notices a transaction that was refused because another level is active: it is
// read again, and what was refused is decided anew.
func (c *Controller) handleLevelConflict(o txnOutcome, r protocol.TxnResult) bool {
	if c.features == nil || o != txnConflict || !slices.Contains(r.Conflicts, featuregate.KeyLevel) {
		return false
	}
	c.features.known = false
	c.readLevel(priorityUrgent, func(bool) {})
	return true
}

// applyMachineTypesRecord takes machine types from their record. That of the later form is not for
// controllerNames that know of no levels: without machine types they accept nothing.
func (c *Controller) applyMachineTypesRecord(value []byte) {
	types, later, err := state.DecodeTypes(value)
	if err == nil && later && c.features == nil {
		err = errLaterFormat
	}
	if err != nil {
		c.logMalformed("machine types", err)
		return
	}
	c.setMachineTypes(types)
}
