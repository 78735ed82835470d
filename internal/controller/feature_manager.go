package controller

import (
	"fmt"
	"slices"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
)

// featureManager owns the feature level that is active, and raises it as the leader.
type featureManager struct {
	*environment
	catalog    *machineCatalog
	election   *election
	membership *membership
	store      *stateStore

	state *featureState // nil: this controller behaves as one that knows of no feature levels
}

// featureState is what a controller knows of the feature levels.
type featureState struct {
	serves     featuregate.Range
	build      string
	active     featuregate.Level // at least this one is active: levels never fall
	revision   uint64            // of the level's record, 0: there is none
	known      bool              // the stamp was read, and nothing has shown since that it is another
	registered bool              // the roster has what this process runs
}

// registryRetry is how soon a controller tries again to write its entry of the roster, or to
// finishRead the level.
const registryRetry = 400 * protocol.Millisecond

// featureEnabled reports whether a feature may be used: the active level, as far as this controller
// knows it, has the feature. Levels never fall, so what was allowed once stays allowed; a
// controller that does not know the level yet allows nothing new.
func (fm *featureManager) featureEnabled(f featuregate.Feature) bool {
	return fm.activeLevel() >= f.From
}

// featureLevel is the active level as far as this controller knows it.
func (fm *featureManager) activeLevel() featuregate.Level {
	if fm.state == nil {
		return 0
	}
	return fm.state.active
}

// raiseActiveLevel notes that a level is active, as the epoch's record says.
func (fm *featureManager) raiseActiveLevel(l featuregate.Level) {
	if fm.state != nil {
		fm.state.active = max(fm.state.active, l)
	}
}

// startFeatureTracking writes this controller's entry of the roster and follows the level. Nothing
// but leading waits for the entry: what a controller accepts by itself depends on the
// level's record, so one that is not listed because the state service is down serves as
// before, and only holds a new level up.
func (fm *featureManager) startFeatureTracking() {
	if fm.state == nil {
		return
	}
	fm.registerVersion()
	fm.watchLevel()
}

// registerVersion writes what this process runs into the roster. It writes also where the entry says
// the same, so that the stamp is another one: a write of the process before it, which may
// have run another version, is refused from then on.
func (fm *featureManager) registerVersion() {
	key := featuregate.RegistryKey(fm.platform.ControllerName)
	again := func() { fm.after(registryRetry, fm.registerVersion) }
	fm.store.getKey(priorityLeadership, key, func(e protocol.Entry, _, ok bool) {
		if !ok {
			again()
			return
		}
		value := featuregate.EncodeEntry(featuregate.Entry{Controller: fm.platform.ControllerName, Levels: fm.state.serves, Build: fm.state.build})
		when := []protocol.Condition{{Key: key, Revision: e.Revision}}
		fm.store.compareAndSwap(priorityLeadership, when, []protocol.Change{{Key: key, Value: value}}, func(o txnOutcome, _ protocol.TxnResult) {
			if o != txnCommitted {
				again() // where the outcome is unknown it is written once more
				return
			}
			fm.state.registered = true
		})
	})
}

// watchLevel reads the level and follows it until there is none that this program could
// use beyond it. Leaders follow it too: an activation may be carried out late.
func (fm *featureManager) watchLevel() {
	enough := func() bool { return fm.state.active >= fm.state.serves.High }
	found := false
	fm.store.listPrefix(priorityNormal, featuregate.KeyLevel, func(e protocol.Entry) {
		if e.Key == featuregate.KeyLevel {
			found = true
			fm.applyLevelRecord(e)
		}
	}, func(revision uint64, ok bool) {
		if !ok {
			fm.after(registryRetry, fm.watchLevel)
			return
		}
		if !found && fm.state.active == 0 {
			fm.state.known = true
		}
		fm.store.watchPrefix(priorityNormal, featuregate.KeyLevel, revision, enough, func(e protocol.Entry) {
			if e.Key == featuregate.KeyLevel && e.Value != nil {
				fm.applyLevelRecord(e)
			}
		}, func() {
			if !enough() {
				fm.watchLevel()
			}
		})
	})
}

// applyLevelRecord goes by the level's record. One that can't be read is told of, and nothing is
// accepted or written that depends on it.
func (fm *featureManager) applyLevelRecord(e protocol.Entry) {
	s := fm.state
	if e.Revision < s.revision {
		return // it was read before what is known
	}
	l, err := featuregate.DecodeLevel(e.Value)
	if err != nil || l < s.active {
		if err == nil {
			err = errLevelFell
		}
		s.known = false
		fm.logDamagedRecord(e, err)
		return
	}
	if l > s.active {
		fm.log.Info("feature level is active", "level", uint64(l), "role", fm.election.role.String())
	}
	s.active, s.revision, s.known = l, e.Revision, true
}

// readLevel reads the level's record, where it has to be known.
func (fm *featureManager) readLevel(prio uint8, done func(ok bool)) {
	fm.store.getKey(prio, featuregate.KeyLevel, func(e protocol.Entry, found, ok bool) {
		switch {
		case ok && found:
			fm.applyLevelRecord(e)
		case ok && fm.state.revision == 0:
			fm.state.known = true
		}
		done(ok)
	})
}

// withLevelCondition makes a transaction depend on the level that this controller goes by.
func (fm *featureManager) withLevelCondition(when []protocol.Condition) []protocol.Condition {
	if fm.state == nil {
		return when
	}
	return append(when, protocol.Condition{Key: featuregate.KeyLevel, Revision: fm.state.revision})
}

// handleLevelConflict notices a transaction that was refused because another level is active: it is
// read again, and what was refused is decided anew.
func (fm *featureManager) handleLevelConflict(o txnOutcome, r protocol.TxnResult) bool {
	if fm.state == nil || o != txnConflict || !slices.Contains(r.Conflicts, featuregate.KeyLevel) {
		return false
	}
	fm.state.known = false
	fm.readLevel(priorityUrgent, func(bool) {})
	return true
}

// checkLevelSupported says why this program must not lead at a level, or nothing.
func (fm *featureManager) checkLevelSupported(l featuregate.Level) error {
	switch {
	case fm.state == nil && l > 0:
		return errLaterFormat
	case fm.state != nil && !fm.state.serves.Serves(l):
		return fmt.Errorf("feature level %d is active, and this program serves %d to %d", l, fm.state.serves.Low, fm.state.serves.High)
	}
	return nil
}

// levelReader reads the level's record as a new leader. It has to be what the epoch's record
// had when the leader key was taken: both are only ever written together.
func (fm *featureManager) levelReader(refused *bool) func(protocol.Entry) {
	return func(e protocol.Entry) {
		if e.Key != featuregate.KeyLevel {
			return
		}
		fm.applyLevelRecord(e)
		if l, err := featuregate.DecodeLevel(e.Value); err != nil || l != fm.election.lease.featureLevel {
			*refused = true
			if err == nil {
				fm.logDamagedRecord(e, errLevelMismatch)
			}
		}
	}
}

// FeatureStats is how the feature levels stand.
type FeatureStats struct {
	Active, Highest uint64
	Blockers        map[string]string // of a leader: for whom the highest level waits, and why; nil elsewhere
}

func (fm *featureManager) featureStats() *FeatureStats {
	if fm.state == nil {
		return nil
	}
	s := &FeatureStats{Active: uint64(fm.state.active), Highest: uint64(fm.state.serves.High)}
	if fm.term != nil && fm.state.active < fm.state.serves.High {
		s.Blockers = make(map[string]string, len(fm.term.features.blockers))
		for _, w := range fm.term.features.blockers {
			s.Blockers[w.Controller] = w.Reason.String()
		}
	}
	return s
}
