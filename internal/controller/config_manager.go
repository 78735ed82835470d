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

// revisionError reports that the stored head has an earlier revision than the last known one.
type revisionError struct{ stored, known uint64 }

func (e *revisionError) Error() string {
	return fmt.Sprintf("it has revision %d, and %d was known", e.stored, e.known)
}

// configManager owns the configuration that can change while the service runs. As the leader it
// writes the revisions.
type configManager struct {
	*environment
	election   *election
	membership *membership
	store      *statestore.Client
	users      *userGateway

	state *configState // nil if the configuration can't change while the service runs
}

// configState is a controller's state of the configuration.
type configState struct {
	options configuration.Options
	bounds  configuration.Baseline
	holder  configuration.Holder

	// head is the newest head that was read or written. It is nil if there is none, or if this
	// controller has received only its document.
	head     *configuration.Head
	revision uint64
	document configuration.Document
	settings *configuration.Settings // resolved from the document

	// headRevision is the revision of the head's record in the state service. Transactions that
	// accept or launch jobs depend on it.
	headRevision uint64
	headKnown    bool // headRevision is up to date as far as this controller can tell
	damaged      bool // the head can't be read: the last good revision stays in force

	headChanges int // number of times that a head was read or written

	refreshing   bool // a read of the head is in flight
	refreshAgain bool // the head has to be read again after it

	logLevel string // last level that was sent to the driver
}

// configTerm is a leader's state of the configuration during one epoch.
type configTerm struct {
	granter             *configuration.Granter
	writing             bool   // a write of a revision is in flight
	writeUncertainUntil micros // until then a write without an answer may be executed
	nextReread          micros // time of the next read of the head while a write is uncertain
	waiters             []configWaiter
	headFound           bool // the records of the new leader include the head
}

const (
	grantInterval = protocol.Second
	// operatorTimeout is how long an operator's request may wait for its reply.
	operatorTimeout = 1500 * protocol.Millisecond
	// configWriteUncertainty is how long a write without an answer may still be executed.
	configWriteUncertainty = 60 * protocol.Second
	configRereadInterval   = 3 * protocol.Second
	configRefreshRetry     = 200 * protocol.Millisecond
)

// team returns a team's settings in the revision in force.
func (cm *configManager) team(name string) (configuration.Team, bool) {
	if cm.state != nil {
		t, ok := cm.state.settings.Teams[name]
		return t, ok
	}
	t, ok := cm.platform.Teams[name]
	return configuration.Team{Team: t}, ok
}

// drainOf returns whether and how a host is drained.
func (cm *configManager) drainOf(h *state.Host) configuration.Drain {
	if cm.state == nil {
		return configuration.NotDrained
	}
	return cm.state.settings.DrainOf(h.Name, h.Zone, h.Addr)
}

// effectiveRevision returns the revision on which this controller bases its decisions, as of its
// last step. ok is false if it may use none.
func (cm *configManager) effectiveRevision() (revision uint64, ok bool) {
	if cm.state == nil {
		return 0, false
	}
	if cm.election.role.leads() {
		return cm.state.revision, cm.election.mayActAsLeader()
	}
	return cm.state.revision, cm.state.holder.Holds(cm.now.Steady)
}

// updateLogLevel sends the log level of the revision in force to the driver if it has changed.
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

// withRevisionCondition adds the condition to a transaction that the head is still at the revision
// that this controller uses.
func (cm *configManager) withRevisionCondition(conditions []protocol.Condition) []protocol.Condition {
	if cm.state == nil {
		return conditions
	}
	return append(conditions, protocol.Condition{Key: configuration.KeyHead, Revision: cm.state.headRevision})
}

// handleRevisionConflict reports whether a transaction was refused because the head has changed. If
// so, it reads the head again, and the caller has to decide again about the refused operation.
func (cm *configManager) handleRevisionConflict(err error) bool {
	if cm.state == nil || !statestore.ConflictsOn(err, configuration.KeyHead) {
		return false
	}
	cm.stats.ConfigOutdated++
	cm.state.headKnown = false
	cm.refreshHead()
	return true
}

// refreshHead reads the head, and retries until the read succeeds.
func (cm *configManager) refreshHead() {
	s := cm.state
	if s.refreshing {
		s.refreshAgain = true // the read in flight may be older than the change
		return
	}
	s.refreshing, s.refreshAgain = true, false
	cm.readHead(priorityUrgent, func(err error) {
		s.refreshing = false
		if err == nil && !s.refreshAgain {
			return
		}
		cm.after(configRefreshRetry, func() {
			if !s.headKnown || s.refreshAgain {
				cm.refreshHead()
			}
		})
	})
}

// readHead reads the head and applies it. It always sends a read to the state service: decisions in
// done are then based on a value that the state service had after the call of readHead.
func (cm *configManager) readHead(priority Priority, done func(err error)) {
	changes := cm.state.headChanges
	cm.store.Get(priority, configuration.KeyHead, func(e protocol.Entry, err error) {
		switch {
		case err == nil:
			cm.applyHead(e, true)
		case errors.Is(err, statestore.ErrKeyNotFound):
			err = nil
			if changes == cm.state.headChanges { // otherwise the head was created meanwhile
				cm.applyHead(e, false)
			}
		}
		done(err)
	})
}

// applyHead applies the head's record from the state service. If the record can't be read or no
// longer exists, the last good revision stays in force.
func (cm *configManager) applyHead(e protocol.Entry, found bool) {
	s := cm.state
	if s.headKnown && e.Revision < s.headRevision && found {
		return // the record was read before the known one
	}
	head, err := cm.decodeHead(e, found)
	s.headRevision, s.headKnown = e.Revision, true
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

// decodeHead decodes the head's record. The head is nil as long as there is no revision.
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

// applyRevision puts a revision into force on this controller.
func (cm *configManager) applyRevision(revision uint64, d configuration.Document) {
	s := cm.state
	if revision <= s.revision {
		return
	}
	previous := s.settings
	s.revision, s.document, s.settings = revision, d, configuration.Resolve(&s.bounds, d)
	s.holder.Revision = max(s.holder.Revision, revision)
	cm.operator = s.settings.Operator
	cm.log.Info("configuration changed", "revision", revision)
	if t := cm.term; t != nil && t.config.granter != nil {
		t.config.granter.SetRevision(revision, cm.now.Steady)
		cm.withdrawOutdatedDecisions(previous)
		cm.sendGrants(t)
	}
	cm.updateLogLevel()
}

// startTerm creates a new leader's state of the configuration, before the records are read.
func (cm *configManager) startTerm(t *leaderTerm) {
	if cm.state != nil {
		// Earlier leaders may have granted leases until this controller took the leader key.
		t.config.granter = configuration.NewGranter(cm.state.revision, cm.now.Steady)
	}
}

// readHeadRecord applies the head, which is one of the records that a new leader reads.
func (cm *configManager) readHeadRecord(e protocol.Entry) {
	if e.Key == configuration.KeyHead {
		cm.term.config.headFound = true
		cm.state.headKnown = false
		cm.applyHead(e, true)
	}
}

// startGranting starts a leader's periodic grants once the records are read.
func (cm *configManager) startGranting(t *leaderTerm) {
	if cm.state == nil {
		return
	}
	if !t.config.headFound {
		cm.state.headKnown = false
		cm.applyHead(protocol.Entry{}, false)
	}
	cm.updateLogLevel()
	cm.grantPeriodically(t)
}

// grantPeriodically renews the other controllers' leases on the revision until the term ends.
func (cm *configManager) grantPeriodically(t *leaderTerm) {
	if t.ended() {
		return
	}
	cm.sendGrants(t)
	cm.after(grantInterval, func() { cm.grantPeriodically(t) })
}

// runPeriodicWork runs with every tick of a leader. It reads the head again while a write is
// uncertain, and replies to operators who wait for a revision.
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

// ConfigStats is the state of the configuration on a controller.
type ConfigStats struct {
	Revision            uint64
	InEffect            bool              // this controller bases its decisions on it
	Damaged             bool              // the head can't be read
	EffectiveEverywhere uint64            // newest in force on all controllers; 0 on followers
	Revisions           map[string]uint64 // acknowledged, by controller; nil on followers
}

// configStats returns the state of the configuration, nil if the configuration can't change.
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
