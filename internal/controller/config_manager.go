package controller

import (
	"fmt"
	"slices"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// configManager owns the configuration that changes while the service runs, and writes its
// revisions as the leader.
type configManager struct {
	*environment
	election   *election
	membership *membership
	store      *stateStore
	users      *userGateway

	state *configState // nil: the configuration does not change while this runs
}

// configState is what a controller knows of the configuration; nil: it does not change.
type configState struct {
	options configuration.Options
	bounds  configuration.Bounds
	holder  configuration.Holder

	head     *configuration.Head // the newest that was read or written, nil: there is none, or only its document is known
	revision uint64
	document configuration.Document
	settings *configuration.Settings // what it comes to

	// The stamp of the head in the state service, as far as known: what is accepted and
	// launched depends on it.
	headRevision uint64
	known        bool
	damaged      bool // the head can't be read: the last good revision is gone by

	headChanges int // times that a head was taken or written

	refreshing, refreshAgain bool // the head is being read, and has to be once more

	logLevel string // of the log, as last told
}

// configTerm is what a leader has of the configuration during one epoch.
type configTerm struct {
	granter             *configuration.Granter
	writing             bool
	writeUncertainUntil micros // until then a write without an answer may be applied
	nextReread          micros
	waiters             []configWaiter
	headFound           bool // the head was there when the records were read
}

// Spans of that.
const (
	grantInterval          = protocol.Second
	operatorTimeout        = 1500 * protocol.Millisecond // what an operator is kept waiting for
	configWriteUncertainty = 60 * protocol.Second
	configRereadInterval   = 3 * protocol.Second
	configRefreshRetry     = 200 * protocol.Millisecond
)

// team is a team as the revision in force has it.
func (cm *configManager) team(name string) (configuration.Team, bool) {
	if cm.state != nil {
		t, ok := cm.state.settings.Teams[name]
		return t, ok
	}
	t, ok := cm.platform.Teams[name]
	return configuration.Team{Team: t}, ok
}

// drainOf says whether a machine is drained, and how.
func (cm *configManager) drainOf(h *state.Host) configuration.Drain {
	if cm.state == nil {
		return configuration.NotDrained
	}
	return cm.state.settings.Drained(h.Name, h.Zone, h.Addr)
}

// effectiveRevision is the revision that this controller decides by at its last step; false: it
// decides nothing by any.
func (cm *configManager) effectiveRevision() (revision uint64, ok bool) {
	if cm.state == nil {
		return 0, false
	}
	if isLeaderRole(cm.election.role) {
		return cm.state.revision, cm.election.mayActAsLeader()
	}
	return cm.state.revision, cm.state.holder.Holds(cm.now.Steady)
}

// updateLogLevel tells the driver which level the log has to have.
func (cm *configManager) updateLogLevel() {
	if cm.state == nil {
		return
	}
	level := ""
	if _, ok := cm.effectiveRevision(); ok {
		level = cm.state.settings.Log
	}
	if level != cm.state.logLevel {
		cm.state.logLevel = level
		cm.emit(SetLogLevel{level})
	}
}

// withRevisionCondition makes a transaction depend on the revision that this controller goes by.
func (cm *configManager) withRevisionCondition(when []protocol.Condition) []protocol.Condition {
	if cm.state == nil {
		return when
	}
	return append(when, protocol.Condition{Key: configuration.KeyHead, Revision: cm.state.headRevision})
}

// outdated notices a transaction that was refused because the head is another one: it is
// read again, and what was refused is decided anew.
func (cm *configManager) handleRevisionConflict(o txnOutcome, r protocol.TxnResult) bool {
	if cm.state == nil || o != txnConflict || !slices.Contains(r.Conflicts, configuration.KeyHead) {
		return false
	}
	cm.stats.ConfigOutdated++
	cm.state.known = false
	cm.refreshHead()
	return true
}

// refreshHead reads the head until it is known.
func (cm *configManager) refreshHead() {
	s := cm.state
	if s.refreshing {
		s.refreshAgain = true // the read under way may have been made before
		return
	}
	s.refreshing, s.refreshAgain = true, false
	cm.readHead(priorityUrgent, func(ok bool) {
		s.refreshing = false
		if ok && !s.refreshAgain {
			return
		}
		cm.after(configRefreshRetry, func() {
			if !s.known || s.refreshAgain {
				cm.refreshHead()
			}
		})
	})
}

// readHead reads the head and goes by it. It always asks: what is decided after it goes
// by what the state service had after whoever decides wanted to know.
func (cm *configManager) readHead(prio uint8, done func(ok bool)) {
	began := cm.state.headChanges
	cm.store.getKey(prio, configuration.KeyHead, func(e protocol.Entry, found, ok bool) {
		if ok && (found || began == cm.state.headChanges) { // otherwise it was made meanwhile
			cm.applyHead(e, found)
		}
		done(ok)
	})
}

// applyHead goes by what the state service has for the head. One that can't be read, or
// is not there any more, stops nothing: the last good revision stays.
func (cm *configManager) applyHead(e protocol.Entry, found bool) {
	s := cm.state
	if s.known && e.Revision < s.headRevision && found {
		return // it was read before what is known
	}
	h, err := (*configuration.Head)(nil), error(nil)
	switch {
	case found:
		h, err = configuration.DecodeHead(e.Value)
	case s.revision > 0:
		err = fmt.Errorf("it is not there any more")
	}
	s.headRevision, s.known = e.Revision, true
	s.headChanges++
	if err != nil || h != nil && h.Revision < s.revision {
		if err == nil {
			err = fmt.Errorf("it has revision %d, and %d was known", h.Revision, s.revision)
		}
		s.damaged = true
		cm.logDamagedRecord(protocol.Entry{Key: configuration.KeyHead, Revision: e.Revision}, fmt.Errorf("%w: going on by revision %d", err, s.revision))
		return
	}
	s.damaged = false
	if h == nil {
		return // there is no revision yet
	}
	s.head = h
	cm.applyRevision(h.Revision, h.Document)
}

// applyRevision takes a revision into force here.
func (cm *configManager) applyRevision(revision uint64, d configuration.Document) {
	s := cm.state
	if revision <= s.revision {
		return
	}
	was := s.settings
	s.revision, s.document, s.settings = revision, d, configuration.Of(&s.bounds, d)
	s.holder.Revision = max(s.holder.Revision, revision)
	cm.operator = s.settings.Operator
	cm.log.Info("configuration", "revision", revision)
	if t := cm.term; t != nil && t.config.granter != nil {
		t.config.granter.Goes(revision, cm.now.Steady)
		cm.withdrawOutdatedDecisions(was)
		cm.sendGrants(t)
	}
	cm.updateLogLevel()
}

// initConfigTerm gives a new term what it needs, before the records are read.
func (cm *configManager) initConfigTerm(t *leaderTerm) {
	if cm.state != nil {
		// Earlier leaders may have granted leases until this one had taken the lead.
		t.config.granter = configuration.NewGranter(cm.state.revision, cm.now.Steady)
	}
}

// readHeadRecord takes the head among the records that a new leader reads.
func (cm *configManager) readHeadRecord(e protocol.Entry) {
	if e.Key == configuration.KeyHead {
		cm.term.config.headFound = true
		cm.state.known = false
		cm.applyHead(e, true)
	}
}

// startConfigTerm begins what a leader does about the configuration.
func (cm *configManager) startConfigTerm(t *leaderTerm) {
	if cm.state == nil {
		return
	}
	if !t.config.headFound {
		cm.state.known = false
		cm.applyHead(protocol.Entry{}, false)
	}
	cm.updateLogLevel()
	var ask func()
	ask = func() {
		if cm.term == t {
			cm.sendGrants(t)
			cm.after(grantInterval, ask)
		}
	}
	ask()
}

// runConfigWork does what is due about the configuration while this node leads.
func (cm *configManager) runConfigWork(t *leaderTerm) {
	if cm.state == nil {
		return
	}
	at := cm.now.Steady
	if at < t.config.writeUncertainUntil && at >= t.config.nextReread {
		t.config.nextReread = at + configRereadInterval
		cm.readHead(priorityNormal, func(bool) {})
	}
	cm.answerWaiters(t)
}

// ConfigStats is how the configuration stands at a controller.
type ConfigStats struct {
	Revision            uint64
	InEffect            bool              // it is gone by here
	Damaged             bool              // the head can't be read
	EffectiveEverywhere uint64            // newest revision in force everywhere, as the leader knows; 0 elsewhere
	Revisions           map[string]uint64 // of the other controllers, as they told the leader; nil elsewhere
}

func (cm *configManager) configStats() *ConfigStats {
	if cm.state == nil {
		return nil
	}
	s := &ConfigStats{Damaged: cm.state.damaged}
	s.Revision, s.InEffect = cm.effectiveRevision()
	if t := cm.term; t != nil {
		names := cm.membership.peerNames()
		s.EffectiveEverywhere, s.Revisions = t.config.granter.Newest(cm.now.Steady, names), make(map[string]uint64, len(names))
		for _, n := range names {
			s.Revisions[n], _ = t.config.granter.Acknowledged(n)
		}
	}
	return s
}
