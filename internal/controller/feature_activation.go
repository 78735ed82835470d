package controller

import (
	"strings"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// registryCheckInterval is how often the leader looks at the registry while a level waits.
const registryCheckInterval = protocol.Second

// featureTerm is what a leader does about the level during one epoch.
type featureTerm struct {
	nextCheck      micros // when the registry is looked at again
	checkInFlight  bool   // it is being read, or a level is being made active
	blockers       []featuregate.Blocker
	blockersLogged string // for whom, as last logged
	// Controllers that answered as a version without levels, with the revisions that
	// their entries had then.
	withoutFeatures map[string]uint64
}

// storedRegistry is the registry's entries, by controller.
type storedRegistry map[string]featuregate.StoredEntry

// checkRegistry looks at the registry now and then, as long as there is a higher level.
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

// scheduleRegistryCheck has the registry looked at again after a while.
func (fm *featureManager) scheduleRegistryCheck(t *leaderTerm) {
	t.features.checkInFlight = false
	t.features.nextCheck = fm.now.Steady + registryCheckInterval
}

// evaluateLevel finds out for whom the highest level waits, and activates the one that all
// controllers serve.
func (fm *featureManager) evaluateLevel(t *leaderTerm, registry storedRegistry) {
	names := fm.membership.controllerNames()
	d := featuregate.Decide(names, fm.state.serves, fm.state.active, registry)
	t.features.blockers = d.Blockers
	// Without machine types there would be nothing to write in the later format.
	if d.Next <= fm.state.active || len(fm.catalog.types) == 0 {
		fm.logBlockers(t)
		fm.scheduleRegistryCheck(t)
		return
	}
	fm.queryPeerFeatures(t, registry, func() {
		withdrawn := false
		for _, name := range names {
			if revision, old := t.features.withoutFeatures[name]; old && revision == registry[name].Revision {
				t.features.blockers = append(t.features.blockers, featuregate.Blocker{Controller: name, Reason: featuregate.RunsOld})
				withdrawn = true
			}
		}
		fm.logBlockers(t)
		if withdrawn || !fm.election.mayActAsLeader() {
			fm.scheduleRegistryCheck(t)
			return
		}
		fm.activateLevel(t, d.Next, names, registry)
	})
}

// logBlockers logs for whom the highest level waits, where that has changed.
func (fm *featureManager) logBlockers(t *leaderTerm) {
	text := featuregate.Describe(t.features.blockers)
	if text == t.features.blockersLogged {
		return
	}
	t.features.blockersLogged = text
	if text != "" {
		fm.log.Info("feature level waits", "level", uint64(fm.state.serves.High), "active", uint64(fm.state.active), "for", text)
	}
}

// queryPeerFeatures asks the other controllers what they serve, once the registry has all of
// them, and notes those that answer as a version without levels. An operator who went back to
// that version leaves the entry of the newer one in the registry, which counts for nothing from
// then on until it is written again. A controller that does not answer says nothing: the
// registry has what it runs.
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

// onFeatureRangeRequest says what this controller serves. One of a version without levels
// answers that it knows no such message.
func (fm *featureManager) onFeatureRangeRequest(e FeatureRangeRequest) {
	if fm.state == nil {
		fm.replyNotLeader(e.Reply)
		return
	}
	serves := fm.state.serves
	fm.replyFrame(e.Reply, &protocol.PeerMessage{Kind: protocol.PeerFeatureRange, MinLevel: uint64(serves.Low), MaxLevel: uint64(serves.High)})
}

// activateLevel makes a level active, if no entry of the registry has changed meanwhile.
func (fm *featureManager) activateLevel(t *leaderTerm, next featuregate.Level, names []string, registry storedRegistry) {
	when := fm.withLevelCondition(nil)
	for _, name := range names {
		when = append(when, protocol.Condition{Key: featuregate.RegistryKey(name), Revision: registry[name].Revision})
	}
	epoch := records.Epoch{Number: t.epoch, LaunchesUnrecorded: t.launchesUnrecorded, Transfers: t.transfer.recent, Level: next}
	level := featuregate.EncodeLevel(next)
	types, _ := fm.catalog.encodeMachineTypes(next) // none of the later format is better than those of the earlier
	then := []protocol.Change{
		{Key: featuregate.KeyLevel, Value: level},
		{Key: records.KeyEpoch, Value: records.EncodeEpoch(epoch)},
		{Key: records.KeyMachineTypes, Value: types},
	}
	fm.log.Info("making a feature level active", "level", uint64(next), "controllers", len(names))
	fm.election.transaction(priorityUrgent, when, then, func(revision uint64, err error) {
		if err != nil {
			// An entry may have changed, or an earlier try was carried out.
			fm.readLevel(priorityUrgent, func(error) { fm.scheduleRegistryCheck(t) })
			return
		}
		fm.applyLevelRecord(protocol.Entry{Key: featuregate.KeyLevel, Value: level, Revision: revision})
		fm.scheduleRegistryCheck(t)
	})
}

// persistMachineTypes records the machine types. What a leader sent before it made a level
// active must not be carried out after it: that would put the earlier format back.
func (fm *featureManager) persistMachineTypes(t *leaderTerm) {
	value, fits := fm.catalog.encodeMachineTypes(fm.activeLevel())
	if !fits {
		return // those that are kept are better than none
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
