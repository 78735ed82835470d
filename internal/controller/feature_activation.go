package controller

import (
	"strings"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// registryCheckInterval is how often the leader reads the registry while a level is not active yet.
const registryCheckInterval = protocol.Second

// featureTerm is a leader's progress in raising the feature level during one epoch.
type featureTerm struct {
	nextCheck      micros                // when the registry is read again
	checkInFlight  bool                  // the registry is being read, or a level is being activated
	blockers       []featuregate.Blocker // controllers that delay the highest level
	loggedBlockers string                // text that was last logged
	// withoutFeatures contains the controllers that answered as a version without feature levels,
	// with the revisions of their registry entries at that time.
	withoutFeatures map[string]uint64
}

// storedRegistry contains the entries of the registry, by controller.
type storedRegistry map[string]featuregate.StoredEntry

// checkRegistry reads the registry at registryCheckInterval until the highest level that this
// program serves is active.
func (fm *featureManager) checkRegistry(t *leaderTerm) {
	if fm.state == nil || fm.isHighestActive() || t.features.checkInFlight || fm.now.Steady < t.features.nextCheck || !fm.election.mayActAsLeader() {
		return
	}
	t.features.checkInFlight = true
	registry := make(storedRegistry)
	fm.store.List(priorityNormal, featuregate.RegistryPrefix, func(e protocol.Entry) {
		entry, err := featuregate.DecodeEntry(e.Value)
		name := strings.TrimPrefix(e.Key, featuregate.RegistryPrefix)
		registry[name] = featuregate.StoredEntry{Entry: entry, Revision: e.Revision, Err: err}
	}, func(_ uint64, err error) {
		if t.ended() {
			return
		}
		if err != nil || !fm.election.mayActAsLeader() {
			fm.scheduleRegistryCheck(t)
			return
		}
		fm.evaluateLevel(t, registry)
	})
}

// scheduleRegistryCheck has the registry read again after registryCheckInterval.
func (fm *featureManager) scheduleRegistryCheck(t *leaderTerm) {
	t.features.checkInFlight = false
	t.features.nextCheck = fm.now.Steady + registryCheckInterval
}

// evaluateLevel determines which controllers delay the highest level, and activates the highest
// level that all controllers serve.
func (fm *featureManager) evaluateLevel(t *leaderTerm, registry storedRegistry) {
	names := fm.membership.controllerNames()
	d := featuregate.Decide(names, fm.state.serves, fm.state.active, registry)
	t.features.blockers = d.Blockers
	// The activation writes the machine types in the later format, so they have to be available.
	if d.Next <= fm.state.active || len(fm.catalog.types) == 0 {
		fm.logBlockers(t)
		fm.scheduleRegistryCheck(t)
		return
	}
	fm.queryPeerFeatures(t, registry, func() {
		oldVersionFound := false
		for _, name := range names {
			if revision, old := t.features.withoutFeatures[name]; old && revision == registry[name].Revision {
				t.features.blockers = append(t.features.blockers, featuregate.Blocker{Controller: name, Reason: featuregate.RespondsAsOldVersion})
				oldVersionFound = true
			}
		}
		fm.logBlockers(t)
		if oldVersionFound || !fm.election.mayActAsLeader() {
			fm.scheduleRegistryCheck(t)
			return
		}
		fm.activateLevel(t, d.Next, names, registry)
	})
}

// logBlockers logs which controllers delay the highest level, if that has changed.
func (fm *featureManager) logBlockers(t *leaderTerm) {
	text := featuregate.Describe(t.features.blockers)
	if text == t.features.loggedBlockers {
		return
	}
	t.features.loggedBlockers = text
	if text != "" {
		fm.log.Info("feature level activation is blocked", "level", uint64(fm.state.serves.High), "active", uint64(fm.state.active), "for", text)
	}
}

// queryPeerFeatures queries the levels of the other controllers, once the registry contains all of
// them, and stores those that answer as a version without levels in withoutFeatures. After a
// downgrade to such a version the registry still has the entry of the newer version, which is
// ignored from then on until it is written again. For a controller that does not answer, the entry
// in the registry counts.
func (fm *featureManager) queryPeerFeatures(t *leaderTerm, registry storedRegistry, done func()) {
	waiting := len(fm.platform.Peers)
	if waiting == 0 {
		done()
		return
	}
	if t.features.withoutFeatures == nil {
		t.features.withoutFeatures = make(map[string]uint64)
	}
	frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerFeatureRequest, From: fm.platform.ControllerName})
	for _, p := range fm.platform.Peers {
		fm.sendFrame(p.Address, frame, peerStatusInterval, func(r CallResult) {
			if t.ended() {
				return
			}
			if fm.membership.parsePeerMessage(r, protocol.PeerResponse) != nil {
				t.features.withoutFeatures[p.Name] = registry[p.Name].Revision
			}
			waiting--
			if waiting == 0 {
				done()
			}
		})
	}
}

// onFeatureRangeRequest replies with the range of levels that this controller serves. A version
// without levels replies with an error, since it does not support the message.
func (fm *featureManager) onFeatureRangeRequest(e FeatureRangeRequest) {
	if fm.state == nil {
		fm.replyNotLeader(e.Reply)
		return
	}
	serves := fm.state.serves
	fm.replyFrame(e.Reply, &protocol.PeerMessage{Kind: protocol.PeerFeatureRange, MinLevel: uint64(serves.Low), MaxLevel: uint64(serves.High)})
}

// activateLevel makes a level active, unless an entry of the registry has changed in the meantime.
func (fm *featureManager) activateLevel(t *leaderTerm, next featuregate.Level, names []string, registry storedRegistry) {
	when := fm.withLevelCondition(nil)
	for _, name := range names {
		when = append(when, protocol.Condition{Key: featuregate.RegistryKey(name), Revision: registry[name].Revision})
	}
	epoch := records.Epoch{Number: t.epoch, LaunchesUnrecorded: t.launchesUnrecorded, Transfers: t.transfer.recent, Level: next}
	level := featuregate.EncodeLevel(next)
	// An empty list in the later format is better than a list in the earlier one.
	types, _ := fm.catalog.encodeMachineTypes(next)
	then := []protocol.Change{
		{Key: featuregate.KeyLevel, Value: level},
		{Key: records.KeyEpoch, Value: records.EncodeEpoch(epoch)},
		{Key: records.KeyMachineTypes, Value: types},
	}
	fm.log.Info("activating a feature level", "level", uint64(next), "controllers", len(names))
	fm.election.transaction(priorityUrgent, when, then, func(revision uint64, err error) {
		if err != nil {
			// An entry may have changed, or an earlier attempt may have been carried out.
			fm.readLevel(priorityUrgent, func(error) { fm.scheduleRegistryCheck(t) })
			return
		}
		fm.applyLevelRecord(protocol.Entry{Key: featuregate.KeyLevel, Value: level, Revision: revision})
		fm.scheduleRegistryCheck(t)
	})
}

// persistMachineTypes records the machine types, on condition that the level has not changed. A
// write that a leader sent before it activated a level must not be carried out after the
// activation, as it would restore the earlier format.
func (fm *featureManager) persistMachineTypes(t *leaderTerm) {
	value, fits := fm.catalog.encodeMachineTypes(fm.activeLevel())
	if !fits {
		return // keep the stored list, since the new one does not fit
	}
	then := []protocol.Change{{Key: records.KeyMachineTypes, Value: value}}
	fm.election.transaction(priorityNormal, fm.withLevelCondition(nil), then, func(_ uint64, err error) {
		if !fm.handleLevelConflict(err) {
			return
		}
		fm.after(registryRetry, func() {
			if !t.ended() {
				fm.persistMachineTypes(t)
			}
		})
	})
}
