package controller

import (
	"errors"
	"fmt"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
	"mapleslip/internal/statestore"
)

var errHeadMissing = errors.New("it is not there any more")

// revisionError is that of a head with an earlier revision than was known.
type revisionError struct{ stored, known uint64 }

func (e *revisionError) Error() string {
	return fmt.Sprintf("it has revision %d, and %d was known", e.stored, e.known)
}

// configManager owns the configuration that changes while the service runs, and writes its
// revisions as the leader.
type configManager struct {
	*environment
	election   *election
	membership *membership
	store      *statestore.Client
	users      *userGateway

	state *configState // nil: the configuration does not change while this runs
}

// configState is what a controller knows of the configuration.
type configState struct {
	options configuration.Options
	bounds  configuration.Baseline
	holder  configuration.Holder

	head     *configuration.Head // the newest that was read or written, nil: there is none, or only its document is known
	revision uint64
	document configuration.Document
	settings *configuration.Settings // what it comes to

	// headRevision is that of the head's record, as far as known: what is accepted and launched
	// depends on it.
	headRevision uint64
	known        bool
	damaged      bool // the head can't be read: the last good revision stays in force

	headChanges int // times that a head was taken or written

	refreshing   bool // the head is being read
	refreshAgain bool // and has to be once more

	logLevel string // as last told to the driver
}

// configTerm is what a leader holds of the configuration during one epoch.
type configTerm struct {
	granter             *configuration.Granter
	writing             bool
	writeUncertainUntil micros // until then a write without an answer may be applied
	nextReread          micros
	waiters             []configWaiter
	headFound           bool // the head was there when the records were read
}

const (
	grantInterval = protocol.Second
	// operatorTimeout is how long an operator is kept waiting.
	operatorTimeout = 1500 * protocol.Millisecond
	// configWriteUncertainty is how long a write without an answer may still be carried out.
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

// drainOf returns whether a host is drained, and how.
func (cm *configManager) drainOf(h *state.Host) configuration.Drain {
	if cm.state == nil {
		return configuration.NotDrained
	}
	return cm.state.settings.DrainOf(h.Name, h.Zone, h.Addr)
}

// effectiveRevision is the revision that this controller decides by at its last step; false: it
// decides nothing by any.
func (cm *configManager) effectiveRevision() (revision uint64, ok bool) {
	if cm.state == nil {
		return 0, false
	}
	if cm.election.role.leads() {
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
		level = cm.state.settings.LogLevel
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

// handleRevisionConflict notices a transaction that was refused because the head has changed: it
// is read again, and what was refused is decided anew.
func (cm *configManager) handleRevisionConflict(err error) bool {
	if cm.state == nil || !statestore.ConflictsOn(err, configuration.KeyHead) {
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
	cm.readHead(priorityUrgent, func(err error) {
		s.refreshing = false
		if err == nil && !s.refreshAgain {
			return
		}
		cm.after(configRefreshRetry, func() {
			if !s.known || s.refreshAgain {
				cm.refreshHead()
			}
		})
	})
}

// readHead reads the head and goes by it. It always asks: what is decided after it goes by what
// the state service had after whoever decides wanted to know.
func (cm *configManager) readHead(priority Priority, done func(err error)) {
	changes := cm.state.headChanges
	cm.store.Get(priority, configuration.KeyHead, func(e protocol.Entry, err error) {
		switch {
		case err == nil:
			cm.applyHead(e, true)
		case errors.Is(err, statestore.ErrKeyNotFound):
			err = nil
			if changes == cm.state.headChanges { // otherwise it was made meanwhile
				cm.applyHead(e, false)
			}
		}
		done(err)
	})
}

// applyHead goes by what the state service has for the head. One that can't be read, or does
// not exist any more, stops nothing: the last good revision stays.
func (cm *configManager) applyHead(e protocol.Entry, found bool) {
	s := cm.state
	if s.known && e.Revision < s.headRevision && found {
		return // it was read before what is known
	}
	head, err := cm.decodeHead(e, found)
	s.headRevision, s.known = e.Revision, true
	s.headChanges++
	s.damaged = err != nil
	if err != nil {
		damaged := protocol.Entry{Key: configuration.KeyHead, Revision: e.Revision}
		cm.logDamagedRecord(damaged, fmt.Errorf("%w: going on by revision %d", err, s.revision))
		return
	}
	if head != nil {
		s.head = head
		cm.applyRevision(head.Revision, head.Document)
	}
}

// decodeHead reads the head, which is nil as long as there is no revision.
func (cm *configManager) decodeHead(e protocol.Entry, found bool) (*configuration.Head, error) {
	known := cm.state.revision
	if !found {
		if known > 0 {
			return nil, errHeadMissing
		}
		return nil, nil
	}
	head, err := configuration.DecodeHead(e.Value)
	if err != nil {
		return nil, err
	}
	if head.Revision < known {
		return nil, &revisionError{stored: head.Revision, known: known}
	}
	return head, nil
}

// applyRevision takes a revision into force here.
func (cm *configManager) applyRevision(revision uint64, d configuration.Document) {
	s := cm.state
	if revision <= s.revision {
		return
	}
	was := s.settings
	s.revision, s.document, s.settings = revision, d, configuration.Resolve(&s.bounds, d)
	s.holder.Revision = max(s.holder.Revision, revision)
	cm.operator = s.settings.Operator
	cm.log.Info("configuration changed", "revision", revision)
	if t := cm.term; t != nil && t.config.granter != nil {
		t.config.granter.SetRevision(revision, cm.now.Steady)
		cm.withdrawOutdatedDecisions(was)
		cm.sendGrants(t)
	}
	cm.updateLogLevel()
}

// startTerm makes what a new leader holds of the configuration, before the records are read.
func (cm *configManager) startTerm(t *leaderTerm) {
	if cm.state != nil {
		// Earlier leaders may have granted leases until this one took the leader key.
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

// startGranting begins what a leader does about the configuration once the records are read.
func (cm *configManager) startGranting(t *leaderTerm) {
	if cm.state == nil {
		return
	}
	if !t.config.headFound {
		cm.state.known = false
		cm.applyHead(protocol.Entry{}, false)
	}
	cm.updateLogLevel()
	cm.grantPeriodically(t)
}

// grantPeriodically renews the others' leases on the revision, as long as the term lasts.
func (cm *configManager) grantPeriodically(t *leaderTerm) {
	if t.ended() {
		return
	}
	cm.sendGrants(t)
	cm.after(grantInterval, func() { cm.grantPeriodically(t) })
}

// runPeriodicWork does what is due about the configuration while this controller leads.
func (cm *configManager) runPeriodicWork(t *leaderTerm) {
	if cm.state == nil {
		return
	}
	now := cm.now.Steady
	if now < t.config.writeUncertainUntil && now >= t.config.nextReread {
		t.config.nextReread = now + configRereadInterval
		cm.readHead(priorityNormal, func(error) {})
	}
	cm.answerWaiters(t)
}

// ConfigStats is how the configuration stands at a controller.
type ConfigStats struct {
	Revision            uint64
	InEffect            bool              // this controller decides by it
	Damaged             bool              // the head can't be read
	EffectiveEverywhere uint64            // newest revision in force everywhere, as the leader knows; 0 elsewhere
	Revisions           map[string]uint64 // of the other controllers, as they told the leader; nil elsewhere
}

// configStats says how the configuration stands, nil if it does not change.
func (cm *configManager) configStats() *ConfigStats {
	if cm.state == nil {
		return nil
	}
	s := &ConfigStats{Damaged: cm.state.damaged}
	s.Revision, s.InEffect = cm.effectiveRevision()
	if t := cm.term; t != nil {
		names := cm.membership.peerNames()
		s.EffectiveEverywhere, s.Revisions = t.config.granter.NewestInForce(cm.now.Steady, names), make(map[string]uint64, len(names))
		for _, n := range names {
			s.Revisions[n], _ = t.config.granter.Acknowledged(n)
		}
	}
	return s
}
