package controller

import (
	"errors"
	"fmt"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/statestore"
)

var (
	errLevelDecreased = errors.New("it has a lower feature level than was active")
	errLevelMismatch  = errors.New("the epoch's record has another feature level")
	errLaterFormat    = errors.New("record of a later format")
)

// unsupportedLevelError is the error for a feature level that this program does not serve.
type unsupportedLevelError struct {
	active featuregate.Level
	serves featuregate.Range
}

func (e *unsupportedLevelError) Error() string {
	return fmt.Sprintf("feature level %d is active, and this program serves %d to %d", e.active, e.serves.Low, e.serves.High)
}

// featureManager keeps track of the active feature level, and raises it if this controller leads.
type featureManager struct {
	*environment
	catalog    *machineCatalog
	election   *election
	membership *membership
	store      *statestore.Client

	state *featureState // nil if this controller behaves as a version without feature levels
}

// featureState is a controller's information on the feature levels.
type featureState struct {
	serves     featuregate.Range
	build      string
	active     featuregate.Level // at least this level is active, since levels never decrease
	revision   uint64            // of the level's record, 0 if there is none
	known      bool              // the record was read, and no conflict or damage was seen since
	registered bool              // the registry contains the version that this process runs
}

// registryRetry is the delay before a controller tries again to write its entry in the registry, to
// read the level, or to write the machine types.
const registryRetry = 400 * protocol.Millisecond

// isEnabled reports whether a feature may be used: the latest active level that this controller has
// read includes it. Levels never decrease, so an enabled feature stays enabled. A controller that
// has not read the level yet enables no feature of a later level.
func (fm *featureManager) isEnabled(f featuregate.Feature) bool {
	return fm.activeLevel() >= f.From
}

// activeLevel is the latest active level that this controller has read, 0 before that.
func (fm *featureManager) activeLevel() featuregate.Level {
	if fm.state == nil {
		return 0
	}
	return fm.state.active
}

// raiseActiveLevel raises the active level to the one in the epoch's record.
func (fm *featureManager) raiseActiveLevel(l featuregate.Level) {
	if fm.state != nil {
		fm.state.active = max(fm.state.active, l)
	}
}

// start writes this controller's entry in the registry, and watches the level. Only leading
// requires the entry: a submission that a controller accepts without the leader depends on the
// level's record. So a controller that has no entry, because the state service is down, serves as
// before, and only delays the activation of a new level.
func (fm *featureManager) start() {
	if fm.state == nil {
		return
	}
	fm.registerVersion()
	fm.watchLevel()
}

// registerVersion writes the version that this process runs into the registry. It also writes if
// the entry is unchanged, so that the entry has a new revision: a late write of this controller's
// previous process, which may have run another version, is then refused.
func (fm *featureManager) registerVersion() {
	key := featuregate.RegistryKey(fm.platform.ControllerName)
	retry := func() { fm.after(registryRetry, fm.registerVersion) }
	fm.store.Get(priorityLeadership, key, func(e protocol.Entry, err error) {
		if errors.Is(err, statestore.ErrUnavailable) {
			retry()
			return
		}
		entry := featuregate.Entry{Controller: fm.platform.ControllerName, Levels: fm.state.serves, Build: fm.state.build}
		when := []protocol.Condition{{Key: key, Revision: e.Revision}}
		then := []protocol.Change{{Key: key, Value: featuregate.EncodeEntry(entry)}}
		fm.store.CompareAndSwap(priorityLeadership, when, then, func(_ uint64, err error) {
			if err != nil {
				retry() // also if the outcome is unknown
				return
			}
			fm.state.registered = true
		})
	})
}

// isHighestActive reports whether the active level is the highest that this program serves, or a
// later one.
func (fm *featureManager) isHighestActive() bool { return fm.state.active >= fm.state.serves.High }

// watchLevel reads the level and watches it until the highest one is active. Leaders watch it too,
// since their own activation may be carried out late.
func (fm *featureManager) watchLevel() {
	found := false
	fm.store.List(priorityNormal, featuregate.KeyLevel, func(e protocol.Entry) {
		if e.Key == featuregate.KeyLevel {
			found = true
			fm.applyLevelRecord(e)
		}
	}, func(revision uint64, err error) {
		if err != nil {
			fm.after(registryRetry, fm.watchLevel)
			return
		}
		if !found && fm.state.active == 0 {
			fm.state.known = true
		}
		fm.watchLevelFrom(revision)
	})
}

func (fm *featureManager) watchLevelFrom(revision uint64) {
	fm.store.Watch(priorityNormal, featuregate.KeyLevel, revision, fm.isHighestActive, func(e protocol.Entry) {
		if e.Key == featuregate.KeyLevel && e.Value != nil {
			fm.applyLevelRecord(e)
		}
	}, func() {
		if !fm.isHighestActive() {
			fm.watchLevel()
		}
	})
}

// applyLevelRecord applies the level's record. A record that can't be decoded, or has a lower level
// than the active one, is logged. Until a valid one is read, this controller neither accepts nor
// writes anything that depends on it.
func (fm *featureManager) applyLevelRecord(e protocol.Entry) {
	s := fm.state
	if e.Revision < s.revision {
		return // the record is older than the current state
	}
	l, err := featuregate.DecodeLevel(e.Value)
	if err == nil && l < s.active {
		err = errLevelDecreased
	}
	if err != nil {
		s.known = false
		fm.logDamagedRecord(e, err)
		return
	}
	if l > s.active {
		fm.log.Info("feature level is active", "level", uint64(l), "role", fm.election.role.String())
	}
	s.active, s.revision, s.known = l, e.Revision, true
}

// readLevel reads and applies the level's record, and calls done with the error of the read.
func (fm *featureManager) readLevel(priority Priority, done func(err error)) {
	fm.store.Get(priority, featuregate.KeyLevel, func(e protocol.Entry, err error) {
		switch {
		case err == nil:
			fm.applyLevelRecord(e)
		case errors.Is(err, statestore.ErrKeyNotFound):
			err = nil // no level has been activated
			if fm.state.revision == 0 {
				fm.state.known = true
			}
		}
		done(err)
	})
}

// withLevelCondition adds the condition that the level's record has the revision that this
// controller has read.
func (fm *featureManager) withLevelCondition(when []protocol.Condition) []protocol.Condition {
	if fm.state == nil {
		return when
	}
	return append(when, protocol.Condition{Key: featuregate.KeyLevel, Revision: fm.state.revision})
}

// handleLevelConflict reports whether a transaction was refused because the level's record has
// changed. In that case it reads the record again, and the caller has to repeat its decision.
func (fm *featureManager) handleLevelConflict(err error) bool {
	if fm.state == nil || !statestore.ConflictsOn(err, featuregate.KeyLevel) {
		return false
	}
	fm.state.known = false
	fm.readLevel(priorityUrgent, func(error) {})
	return true
}

// checkLevelSupported returns an error if this program must not lead at a level.
func (fm *featureManager) checkLevelSupported(l featuregate.Level) error {
	switch {
	case fm.state == nil && l > 0:
		return errLaterFormat
	case fm.state != nil && !fm.state.serves.Serves(l):
		return &unsupportedLevelError{active: l, serves: fm.state.serves}
	}
	return nil
}

// readLevelRecord applies the level's record for a new leader. It reports whether the level is the
// one that the epoch's record had when the leader key was taken, as both are only written together.
func (fm *featureManager) readLevelRecord(e protocol.Entry) bool {
	if e.Key != featuregate.KeyLevel {
		return true
	}
	fm.applyLevelRecord(e)
	l, err := featuregate.DecodeLevel(e.Value)
	if err != nil {
		return false
	}
	if l != fm.election.lease.featureLevel {
		fm.logDamagedRecord(e, errLevelMismatch)
		return false
	}
	return true
}

// FeatureStats is the status of the feature levels.
type FeatureStats struct {
	Active, Highest uint64
	// Blockers are the controllers that delay the highest level, with the reasons; nil unless this
	// controller leads.
	Blockers map[string]string
}

// featureStats returns the status of the feature levels, or nil if this controller behaves as a
// version without them.
func (fm *featureManager) featureStats() *FeatureStats {
	if fm.state == nil {
		return nil
	}
	s := &FeatureStats{Active: uint64(fm.state.active), Highest: uint64(fm.state.serves.High)}
	if fm.term != nil && fm.state.active < fm.state.serves.High {
		s.Blockers = make(map[string]string, len(fm.term.features.blockers))
		for _, b := range fm.term.features.blockers {
			s.Blockers[b.Controller] = b.Reason.String()
		}
	}
	return s
}
