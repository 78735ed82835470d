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

// levelState is what a controller knows of the feature levels.
type levelState struct {
	serves featuregate.Range
	build  string
	active featuregate.Level // at least this one is active: levels never fall
	stamp  uint64            // of the level's record, 0: there is none
	known  bool              // the stamp was read, and nothing has shown since that it is another
	listed bool              // the roster has what this process runs
}

// rosterAgain is how soon a controller tries again to write its entry of the roster, or to
// read the level.
const rosterAgain = 400 * protocol.Millisecond

// ServeLevels says what this program serves, before Start.
func (c *Controller) ServeLevels(r featuregate.Range, build string) {
	c.levels = &levelState{serves: r, build: build}
}

// KnowNoLevels has the controller behave as one of a version before there were levels, for
// tests, before Start: it writes no entry, asks for no level, and reads no record of the
// later form.
func (c *Controller) KnowNoLevels() { c.levels = nil }

// allows reports whether a feature may be used: the active level, as far as this controller
// knows it, has the feature. Levels never fall, so what was allowed once stays allowed; a
// controller that does not know the level yet allows nothing new.
func (c *Controller) allows(f featuregate.Feature) bool { return c.level() >= f.From }

// level is the active level as far as this controller knows it.
func (c *Controller) level() featuregate.Level {
	if c.levels == nil {
		return 0
	}
	return c.levels.active
}

// levelAtLeast notes that a level is active, as the epoch's record says.
func (c *Controller) levelAtLeast(l featuregate.Level) {
	if c.levels != nil {
		c.levels.active = max(c.levels.active, l)
	}
}

// startLevels writes this controller's entry of the roster and follows the level. Nothing
// but leading waits for the entry: what a controller accepts by itself depends on the
// level's record, so one that is not listed because the state service is down serves as
// before, and only holds a new level up.
func (c *Controller) startLevels() {
	if c.levels == nil {
		return
	}
	c.enlist()
	c.followLevel()
}

// enlist writes what this process runs into the roster. It writes also where the entry says
// the same, so that the stamp is another one: a write of the process before it, which may
// have run another version, is refused from then on.
func (c *Controller) enlist() {
	key := featuregate.RegistryKey(c.platform.ControllerName)
	again := func() { c.after(rosterAgain, c.enlist) }
	c.get(prioLeadership, key, func(e protocol.Entry, _, ok bool) {
		if !ok {
			again()
			return
		}
		value := featuregate.EncodeEntry(featuregate.Entry{Controller: c.platform.ControllerName, Levels: c.levels.serves, Build: c.levels.build})
		when := []protocol.Condition{{Key: key, Revision: e.Revision}}
		c.txn(prioLeadership, when, []protocol.Change{{Key: key, Value: value}}, func(o txnOutcome, _ protocol.TxnResult) {
			if o != txnApplied {
				again() // where the outcome is unknown it is written once more
				return
			}
			c.levels.listed = true
		})
	})
}

// followLevel reads the level and follows it until there is none that this program could
// use beyond it. Leaders follow it too: an activation may be carried out late.
func (c *Controller) followLevel() {
	enough := func() bool { return c.levels.active >= c.levels.serves.High }
	found := false
	c.list(prioNormal, featuregate.KeyLevel, func(e protocol.Entry) {
		if e.Key == featuregate.KeyLevel {
			found = true
			c.tookLevel(e)
		}
	}, func(revision uint64, ok bool) {
		if !ok {
			c.after(rosterAgain, c.followLevel)
			return
		}
		if !found && c.levels.active == 0 {
			c.levels.known = true
		}
		c.watch(prioNormal, featuregate.KeyLevel, revision, enough, func(e protocol.Entry) {
			if e.Key == featuregate.KeyLevel && e.Value != nil {
				c.tookLevel(e)
			}
		}, func() {
			if !enough() {
				c.followLevel()
			}
		})
	})
}

// tookLevel goes by the level's record. One that can't be read is told of, and nothing is
// accepted or written that depends on it.
func (c *Controller) tookLevel(e protocol.Entry) {
	s := c.levels
	if e.Revision < s.stamp {
		return // it was read before what is known
	}
	l, err := featuregate.DecodeLevel(e.Value)
	if err != nil || l < s.active {
		if err == nil {
			err = errLevelFell
		}
		s.known = false
		c.damaged(e, err)
		return
	}
	if l > s.active {
		c.log.Info("feature level is active", "level", uint64(l), "role", c.role.String())
	}
	s.active, s.stamp, s.known = l, e.Revision, true
}

// readLevel reads the level's record, where it has to be known.
func (c *Controller) readLevel(prio uint8, done func(ok bool)) {
	c.get(prio, featuregate.KeyLevel, func(e protocol.Entry, found, ok bool) {
		switch {
		case ok && found:
			c.tookLevel(e)
		case ok && c.levels.stamp == 0:
			c.levels.known = true
		}
		done(ok)
	})
}

// underLevel makes a transaction depend on the level that this controller goes by.
func (c *Controller) underLevel(when []protocol.Condition) []protocol.Condition {
	if c.levels == nil {
		return when
	}
	return append(when, protocol.Condition{Key: featuregate.KeyLevel, Revision: c.levels.stamp})
}

// otherLevel notices a transaction that was refused because another level is active: it is
// read again, and what was refused is decided anew.
func (c *Controller) otherLevel(o txnOutcome, r protocol.TxnResult) bool {
	if c.levels == nil || o != txnRefused || !slices.Contains(r.Conflicts, featuregate.KeyLevel) {
		return false
	}
	c.levels.known = false
	c.readLevel(prioUrgent, func(bool) {})
	return true
}

// tookKeptTypes takes machine types from their record. That of the later form is not for
// controllers that know of no levels: without machine types they accept nothing.
func (c *Controller) tookKeptTypes(value []byte) {
	types, later, err := state.DecodeTypes(value)
	if err == nil && later && c.levels == nil {
		err = errLaterForm
	}
	if err != nil {
		c.malformed("machine types", err)
		return
	}
	c.goByTypes(types)
}
