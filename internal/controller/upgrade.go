package controller

import (
	"errors"
	"fmt"
	"strings"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// Raising the feature level. Only the leader does it, in one transaction that depends on
// the leader key, on the level's record and on the entry of every controller that the
// settings name: so every one of them has the level, whoever answers just then. The epoch's
// record and the machine types are written in the later form by the same transaction: from
// then on a controller of a version without levels neither leads nor accepts.

var (
	errLevelFell  = errors.New("it has a lower feature level than was active")
	errLevelAlone = errors.New("the epoch's record has another feature level")
	errLaterForm  = errors.New("record of a later form")
)

// levelEvery is how often the leader looks at the roster while a level waits.
const levelEvery = protocol.Second

// levelTerm is what a leader does about the level during one epoch.
type levelTerm struct {
	next  micros // when the roster is looked at again
	busy  bool   // it is being read, or a level is being made active
	waits []featuregate.Blocker
	told  string // for whom, as last logged
	// Controllers that answered as a version without levels, with the stamps that their
	// entries had then.
	old map[string]uint64
}

// servesLevel says why this program must not lead at a level, or nothing.
func (c *Controller) servesLevel(l featuregate.Level) error {
	switch {
	case c.levels == nil && l > 0:
		return errLaterForm
	case c.levels != nil && !c.levels.serves.Serves(l):
		return fmt.Errorf("feature level %d is active, and this program serves %d to %d", l, c.levels.serves.Low, c.levels.serves.High)
	}
	return nil
}

// loadLevel reads the level's record as a new leader. It has to be what the epoch's record
// had when the leader key was taken: both are only ever written together.
func (c *Controller) loadLevel(refused *bool) func(protocol.Entry) {
	return func(e protocol.Entry) {
		if e.Key != featuregate.KeyLevel {
			return
		}
		c.tookLevel(e)
		if l, err := featuregate.DecodeLevel(e.Value); err != nil || l != c.seat.level {
			*refused = true
			if err == nil {
				c.damaged(e, errLevelAlone)
			}
		}
	}
}

// controllers are the names of all controllers of the settings.
func (c *Controller) controllers() []string {
	names := []string{c.platform.ControllerName}
	for _, s := range c.platform.Peers {
		names = append(names, s.Name)
	}
	return names
}

// pulseLevel looks at the roster now and then, as long as there is a higher level.
func (c *Controller) pulseLevel(t *term) {
	s := c.levels
	if s == nil || s.active >= s.serves.High || t.levels.busy || c.at.Steady < t.levels.next || !c.mayStart() {
		return
	}
	t.levels.busy = true
	roster := make(map[string]featuregate.StoredEntry)
	c.list(prioNormal, featuregate.RegistryPrefix, func(e protocol.Entry) {
		entry, err := featuregate.DecodeEntry(e.Value)
		roster[strings.TrimPrefix(e.Key, featuregate.RegistryPrefix)] = featuregate.StoredEntry{Entry: entry, Revision: e.Revision, Err: err}
	}, func(_ uint64, ok bool) {
		if c.term != t {
			return
		}
		if !ok || !c.mayStart() {
			c.lookAtLevelAgain(t)
			return
		}
		c.considerLevel(t, roster)
	})
}

// lookAtLevelAgain lets the roster be looked at again after a while.
func (c *Controller) lookAtLevelAgain(t *term) {
	t.levels.busy = false
	t.levels.next = c.at.Steady + levelEvery
}

// considerLevel tells for whom the highest level waits, and makes active the one that all
// have.
func (c *Controller) considerLevel(t *term, roster map[string]featuregate.StoredEntry) {
	s := c.levels
	names := c.controllers()
	d := featuregate.Decide(names, s.serves, s.active, roster)
	t.levels.waits = d.Blockers
	// Without machine types there would be nothing to write in the later form.
	if d.Next <= s.active || len(c.types) == 0 {
		c.tellWaits(t)
		c.lookAtLevelAgain(t)
		return
	}
	c.askLevels(t, roster, func() {
		withdrawn := false
		for _, name := range names {
			if stamp, old := t.levels.old[name]; old && stamp == roster[name].Revision {
				t.levels.waits = append(t.levels.waits, featuregate.Blocker{Controller: name, Reason: featuregate.RunsOld})
				withdrawn = true
			}
		}
		c.tellWaits(t)
		if withdrawn || !c.mayStart() {
			c.lookAtLevelAgain(t)
			return
		}
		c.activate(t, d.Next, names, roster)
	})
}

// tellWaits logs for whom the highest level waits, where that has changed.
func (c *Controller) tellWaits(t *term) {
	text := featuregate.Describe(t.levels.waits)
	if text == t.levels.told {
		return
	}
	t.levels.told = text
	if text != "" {
		c.log.Info("feature level waits", "level", uint64(c.levels.serves.High), "active", uint64(c.levels.active), "for", text)
	}
}

// askLevels asks the other controllers what they serve, once the roster has all of them, and
// notes those that answer as a version without levels. An operator who went back to that
// version leaves the entry of the newer one in the roster, which counts for nothing from then
// on until it is written again. Who does not answer says nothing: the roster has what it runs.
func (c *Controller) askLevels(t *term, roster map[string]featuregate.StoredEntry, done func()) {
	waiting := len(c.platform.Peers)
	if waiting == 0 {
		done()
		return
	}
	if t.levels.old == nil {
		t.levels.old = make(map[string]uint64)
	}
	frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerFeatureRequest, From: c.platform.ControllerName})
	for _, s := range c.platform.Peers {
		c.callAddr(ToPeer, "", s.Address, "", frame, askEvery, func(r CallDone) {
			if c.term != t {
				return
			}
			if m := c.peerAnswer(r); m != nil {
				t.levels.old[s.Name] = roster[s.Name].Revision
			}
			if waiting--; waiting == 0 {
				done()
			}
		})
	}
}

// onLevelQuestion says what this controller serves. One of a version without levels answers
// that it knows no such message.
func (c *Controller) onLevelQuestion(e LevelQuestion) {
	if c.levels == nil {
		c.reply(e.Reply, 0, nil, 0)
		return
	}
	m := &protocol.PeerMessage{Kind: protocol.PeerFeatureRange, MinLevel: uint64(c.levels.serves.Low), MaxLevel: uint64(c.levels.serves.High)}
	c.emit(Reply{To: e.Reply, Status: 200, Body: protocol.AppendPeer(nil, m), Frame: true})
}

// activate makes a level active.
func (c *Controller) activate(t *term, next featuregate.Level, names []string, roster map[string]featuregate.StoredEntry) {
	when := c.underLevel(nil)
	for _, name := range names {
		when = append(when, protocol.Condition{Key: featuregate.RegistryKey(name), Revision: roster[name].Revision})
	}
	epoch := state.EpochRecord{Epoch: t.epoch, LaunchesUnrecorded: t.unlisted, Transfers: t.yields, Level: next}
	types, _ := c.typesRecord(next) // none of the later form is better than those of the earlier
	then := []protocol.Change{
		{Key: featuregate.KeyLevel, Value: featuregate.EncodeLevel(next)},
		{Key: state.KeyEpoch, Value: state.EncodeEpoch(epoch)},
		{Key: state.KeyTypes, Value: types},
	}
	c.log.Info("making a feature level active", "level", uint64(next), "controllers", len(names))
	c.lead(prioUrgent, when, then, func(o txnOutcome, r protocol.TxnResult) {
		if o == txnApplied {
			c.tookLevel(protocol.Entry{Key: featuregate.KeyLevel, Value: then[0].Value, Revision: r.Revision})
			c.lookAtLevelAgain(t)
			return
		}
		// An entry may have changed, or an earlier try was carried out.
		c.readLevel(prioUrgent, func(bool) { c.lookAtLevelAgain(t) })
	})
}

// typesRecord is the record of the machine types at a level, and whether they fit into a
// value. Those that don't are left out, since part of them would have jobs refused that fit
// the others: then only the leader accepts.
func (c *Controller) typesRecord(l featuregate.Level) (value []byte, fits bool) {
	if value = state.EncodeTypes(c.types, l); len(value) <= c.limits.target.valueBytes {
		return value, true
	}
	c.log.Warn("machine types don't fit into a record: only the leader accepts jobs", "bytes", len(value))
	return state.EncodeTypes(nil, l), false
}

// keepTypes records the machine types. What a leader sent before it made a level active
// must not be carried out after it: that would put the earlier form back.
func (c *Controller) keepTypes(t *term) {
	value, fits := c.typesRecord(c.level())
	if !fits {
		return // those that are kept are better than none
	}
	c.lead(prioNormal, c.underLevel(nil), []protocol.Change{{Key: state.KeyTypes, Value: value}}, func(o txnOutcome, r protocol.TxnResult) {
		if c.otherLevel(o, r) {
			c.after(rosterAgain, func() {
				if c.term == t {
					c.keepTypes(t)
				}
			})
		}
	})
}

// LevelStats is how the feature levels stand.
type LevelStats struct {
	Active, Highest uint64
	Waits           map[string]string // of a leader: for whom the highest level waits, and why; nil elsewhere
}

func (c *Controller) levelStats() *LevelStats {
	if c.levels == nil {
		return nil
	}
	s := &LevelStats{Active: uint64(c.levels.active), Highest: uint64(c.levels.serves.High)}
	if c.term != nil && c.levels.active < c.levels.serves.High {
		s.Waits = make(map[string]string, len(c.term.levels.waits))
		for _, w := range c.term.levels.waits {
			s.Waits[w.Controller] = w.Reason.String()
		}
	}
	return s
}
