package controller

import (
	"errors"
	"strings"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

var (
	errLevelFell     = errors.New("it has a lower feature level than was active")
	errLevelMismatch = errors.New("the epoch's record has another feature level")
	errLaterFormat   = errors.New("record of a later form")
)

// registryCheckInterval is how often the leader looks at the roster while a level waits.
const registryCheckInterval = protocol.Second

// featureTerm is what a leader does about the level during one epoch.
type featureTerm struct {
	nextCheck      micros // when the roster is looked at again
	checkInFlight  bool   // it is being read, or a level is being made active
	blockers       []featuregate.Blocker
	blockersLogged string // for whom, as last logged
	// Controllers that answered as a version without levels, with the stamps that their
	// entries had then.
	withoutFeatures map[string]uint64
}

// checkRegistry looks at the roster now and then, as long as there is a higher level.
func (fm *featureManager) checkRegistry(t *leaderTerm) {
	s := fm.state
	if s == nil || s.active >= s.serves.High || t.features.checkInFlight || fm.now.Steady < t.features.nextCheck || !fm.election.mayActAsLeader() {
		return
	}
	t.features.checkInFlight = true
	roster := make(map[string]featuregate.StoredEntry)
	fm.store.listPrefix(priorityNormal, featuregate.RegistryPrefix, func(e protocol.Entry) {
		entry, err := featuregate.DecodeEntry(e.Value)
		roster[strings.TrimPrefix(e.Key, featuregate.RegistryPrefix)] = featuregate.StoredEntry{Entry: entry, Revision: e.Revision, Err: err}
	}, func(_ uint64, ok bool) {
		if fm.term != t {
			return
		}
		if !ok || !fm.election.mayActAsLeader() {
			fm.scheduleRegistryCheck(t)
			return
		}
		fm.evaluateLevel(t, roster)
	})
}

// scheduleRegistryCheck lets the roster be looked at again after a while.
func (fm *featureManager) scheduleRegistryCheck(t *leaderTerm) {
	t.features.checkInFlight = false
	t.features.nextCheck = fm.now.Steady + registryCheckInterval
}

// evaluateLevel tells for whom the highest level waits, and makes active the one that all
// have.
func (fm *featureManager) evaluateLevel(t *leaderTerm, roster map[string]featuregate.StoredEntry) {
	s := fm.state
	names := fm.membership.controllerNames()
	d := featuregate.Decide(names, s.serves, s.active, roster)
	t.features.blockers = d.Blockers
	// Without machine types there would be nothing to write in the later form.
	if d.Next <= s.active || len(fm.catalog.types) == 0 {
		fm.logBlockers(t)
		fm.scheduleRegistryCheck(t)
		return
	}
	fm.queryPeerFeatures(t, roster, func() {
		withdrawn := false
		for _, name := range names {
			if stamp, old := t.features.withoutFeatures[name]; old && stamp == roster[name].Revision {
				t.features.blockers = append(t.features.blockers, featuregate.Blocker{Controller: name, Reason: featuregate.RunsOld})
				withdrawn = true
			}
		}
		fm.logBlockers(t)
		if withdrawn || !fm.election.mayActAsLeader() {
			fm.scheduleRegistryCheck(t)
			return
		}
		fm.activateLevel(t, d.Next, names, roster)
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

// queryPeerFeatures asks the other controllers what they serve, once the roster has all of them, and
// notes those that answer as a version without levels. An operator who went back to that
// version leaves the entry of the newer one in the roster, which counts for nothing from then
// on until it is written again. Who does not answer says nothing: the roster has what it runs.
func (fm *featureManager) queryPeerFeatures(t *leaderTerm, roster map[string]featuregate.StoredEntry, done func()) {
	waiting := len(fm.platform.Peers)
	if waiting == 0 {
		done()
		return
	}
	if t.features.withoutFeatures == nil {
		t.features.withoutFeatures = make(map[string]uint64)
	}
	frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerFeatureRequest, From: fm.platform.ControllerName})
	for _, s := range fm.platform.Peers {
		fm.callAddress(ToPeer, "", s.Address, "", frame, peerStatusInterval, func(r CallResult) {
			if fm.term != t {
				return
			}
			if m := fm.membership.parsePeerResponse(r); m != nil {
				t.features.withoutFeatures[s.Name] = roster[s.Name].Revision
			}
			if waiting--; waiting == 0 {
				done()
			}
		})
	}
}

// onFeatureRangeRequest says what this controller serves. One of a version without levels answers
// that it knows no such message.
func (fm *featureManager) onFeatureRangeRequest(e FeatureRangeRequest) {
	if fm.state == nil {
		fm.reply(e.Reply, 0, nil, 0)
		return
	}
	m := &protocol.PeerMessage{Kind: protocol.PeerFeatureRange, MinLevel: uint64(fm.state.serves.Low), MaxLevel: uint64(fm.state.serves.High)}
	fm.emit(Reply{To: e.Reply, Status: 200, Body: protocol.AppendPeer(nil, m), Frame: true})
}

// activateLevel makes a level active.
func (fm *featureManager) activateLevel(t *leaderTerm, next featuregate.Level, names []string, roster map[string]featuregate.StoredEntry) {
	when := fm.withLevelCondition(nil)
	for _, name := range names {
		when = append(when, protocol.Condition{Key: featuregate.RegistryKey(name), Revision: roster[name].Revision})
	}
	epoch := records.Epoch{Number: t.epoch, LaunchesUnrecorded: t.launchesUnrecorded, Transfers: t.transfer.recent, Level: next}
	types, _ := fm.catalog.encodeMachineTypes(next) // none of the later form is better than those of the earlier
	then := []protocol.Change{
		{Key: featuregate.KeyLevel, Value: featuregate.EncodeLevel(next)},
		{Key: records.KeyEpoch, Value: records.EncodeEpoch(epoch)},
		{Key: records.KeyMachineTypes, Value: types},
	}
	fm.log.Info("making a feature level active", "level", uint64(next), "controllers", len(names))
	fm.election.leaderTransaction(priorityUrgent, when, then, func(o txnOutcome, r protocol.TxnResult) {
		if o == txnCommitted {
			fm.applyLevelRecord(protocol.Entry{Key: featuregate.KeyLevel, Value: then[0].Value, Revision: r.Revision})
			fm.scheduleRegistryCheck(t)
			return
		}
		// An entry may have changed, or an earlier try was carried out.
		fm.readLevel(priorityUrgent, func(bool) { fm.scheduleRegistryCheck(t) })
	})
}

// persistMachineTypes records the machine types. What a leader sent before it made a level active
// must not be carried out after it: that would put the earlier form back.
func (fm *featureManager) persistMachineTypes(t *leaderTerm) {
	value, fits := fm.catalog.encodeMachineTypes(fm.activeLevel())
	if !fits {
		return // those that are kept are better than none
	}
	fm.election.leaderTransaction(priorityNormal, fm.withLevelCondition(nil), []protocol.Change{{Key: records.KeyMachineTypes, Value: value}}, func(o txnOutcome, r protocol.TxnResult) {
		if fm.handleLevelConflict(o, r) {
			fm.after(registryRetry, func() {
				if fm.term == t {
					fm.persistMachineTypes(t)
				}
			})
		}
	})
}
