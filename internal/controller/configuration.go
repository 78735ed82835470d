package controller

import (
	"fmt"
	"slices"
	"strconv"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// Configuration that changes while the service runs. Only the leader writes revisions,
// and all that they are about is decided by it, but for two things: another controller
// may accept a job where it can't reach the leader, which depends on the stamp of the
// head, and its log has a level, for which it holds a lease (configuration.Holder).

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

// configWaiter is an operator who waits until a revision is in force everywhere.
type configWaiter struct {
	answer   operatorReply
	revision uint64
	until    micros
}

// Spans of that.
const (
	grantInterval          = protocol.Second
	operatorTimeout        = 1500 * protocol.Millisecond // what an operator is kept waiting for
	configWriteUncertainty = 60 * protocol.Second
	configRereadInterval   = 3 * protocol.Second
	configRefreshRetry     = 200 * protocol.Millisecond
)

// EnableConfiguration lets the configuration change, before Start.
func (c *Controller) EnableConfiguration(o configuration.Options) {
	b := configuration.Bounds{Teams: c.platform.Teams, Zones: c.platform.Zones, Operator: c.operator, ValueBytes: c.store.limits.target.maxValueBytes}
	c.config.state = &configState{options: o, bounds: b, holder: configuration.Holder{Life: c.rng.Uint64()}, settings: configuration.Of(&b, nil)}
}

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

// EffectiveRevision is the revision that this controller decides by at its last step; false: it
// decides nothing by any.
func (c *Controller) EffectiveRevision() (revision uint64, ok bool) {
	return c.config.effectiveRevision()
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

// SetLogLevel sets the level of the log, "": as the process was started.
type SetLogLevel struct{ Level string }

func (SetLogLevel) effect() {}

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

// withdrawOutdatedDecisions takes back what a leader has decided by an earlier revision and not carried
// out yet. Rows are touched where the change is about them, and nowhere else.
func (cm *configManager) withdrawOutdatedDecisions(was *configuration.Settings) {
	t := cm.term
	s := cm.state.settings
	back := func(a *state.Attempt) {
		// A launch that may be on its way is repeated until the worker knows it; with the
		// stop behind it nothing of it runs.
		if a.State == state.AttemptAssigned || a.State == state.AttemptLaunched && a.LaunchUncertain {
			cm.term.commands.requestStop(a, 0)
		}
	}
	if drains := func(s *configuration.Settings) int { return len(s.Zones) + len(s.Machines) + len(s.Nets) }; drains(was)+drains(s) > 0 {
		for _, h := range t.cluster.Hosts() {
			if d := cm.drainOf(h); d != was.Drained(h.Name, h.Zone, h.Addr) {
				h.Stale = true
				if d != configuration.NotDrained {
					for _, a := range h.Attempts() {
						back(a)
					}
				}
			}
		}
	}
	for name, team := range s.Teams {
		if old := was.Teams[name]; old.Limit == team.Limit && old.Guarantee == team.Guarantee {
			continue
		}
		// A pass under way has its jobs in the order of the guarantees before.
		t.scheduler.cycle = nil
		if !withinLimit(team.Limit, t.cluster.UsedByTeam[name]) {
			cm.forEachTeamAttempt(name, func(a *state.Attempt) bool {
				back(a)
				return !withinLimit(team.Limit, t.cluster.UsedByTeam[name])
			})
		}
	}
	t.cycleNeeded = true
}

// forEachTeamAttempt goes through the attempts of a team's jobs, those that come last in line first,
// as long as more says so.
func (cm *configManager) forEachTeamAttempt(team string, more func(*state.Attempt) bool) {
	for _, j := range slices.Backward(slices.Clone(cm.term.cluster.Jobs())) {
		if j.Spec.Team != team {
			continue
		}
		for _, a := range slices.Clone(j.ActiveAttempts()) {
			if !more(a) {
				return
			}
		}
	}
}

// enforce stops what runs against the revision in force, where it says so: on drained
// machines, and above a team's limit. It is looked at again and again, so that a new
// leader goes on with it.
func (cm *configManager) enforceRevision() {
	if cm.state == nil || !cm.election.mayActAsLeader() {
		return
	}
	t, s := cm.term, cm.state.settings
	gently := func(a *state.Attempt) {
		grace := micros(0)
		if a.Job != nil && a.Job.Spec.CanCheckpoint() {
			grace = a.Job.Spec.CheckpointDuration + protocol.Second
		}
		cm.term.commands.requestStop(a, grace)
	}
	if len(s.Zones)+len(s.Machines)+len(s.Nets) > 0 {
		for _, h := range t.cluster.Hosts() {
			if h.Empty() || cm.drainOf(h) != configuration.DrainStop {
				continue
			}
			for _, a := range h.Attempts() {
				if a.State.HoldsResources() && !a.StopRequested {
					gently(a)
				}
			}
		}
	}
	for name, team := range s.Teams {
		used := t.cluster.UsedByTeam[name]
		if !team.StopExcess || withinLimit(team.Limit, used) {
			continue
		}
		// What is told to stop counts until it is gone; nothing more is stopped for it.
		cm.forEachTeamAttempt(name, func(a *state.Attempt) bool {
			if a.StopRequested && a.State.MayRun() {
				used = used.Add(a.Job.Spec.TaskResources, -1)
			}
			return true
		})
		cm.forEachTeamAttempt(name, func(a *state.Attempt) bool {
			if withinLimit(team.Limit, used) {
				return false
			}
			if a.State.HoldsResources() && !a.StopRequested {
				used = used.Add(a.Job.Spec.TaskResources, -1)
				gently(a)
			}
			return true
		})
	}
}

// rentalAllowance bounds how many machines of a kind may be asked for, by the ceiling of their
// type and zone, spot or not. mine are those that a request which is repeated has asked
// for already.
func (as *autoscaler) rentalAllowance(k machineKind, mine int) int {
	if as.config.state == nil {
		return maxMachinesPerRequest
	}
	if as.config.state.settings.Zones[k.zone] != configuration.NotDrained {
		return 0
	}
	ceiling, ok := as.config.state.settings.Ceilings[configuration.Kind{Type: k.machineType, Zone: k.zone}]
	if !ok {
		return maxMachinesPerRequest
	}
	if mine == 0 && as.epoch > 1 && (!as.cloud.listAnswering || as.now.Steady-as.startedAt < rentTimeout+2*as.platform.MachineListLag) {
		return 0 // what an earlier leader asked for may not be listed yet
	}
	there := as.requested[machineKind{k.machineType, k.zone, false}] + as.requested[machineKind{k.machineType, k.zone, true}] - mine
	for _, h := range as.cluster.Hosts() {
		if h.TypeName == k.machineType && h.Zone == k.zone && h.State != state.HostGone {
			there++
		}
	}
	return max(0, min(maxMachinesPerRequest, ceiling-there))
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

// sendGrants tells the others which revision the leader goes by, and so renews their
// leases on it. A leader that is not certain to lead renews none.
func (cm *configManager) sendGrants(t *leaderTerm) {
	if !cm.election.mayActAsLeader() {
		return
	}
	s := cm.state
	var document []byte
	for _, o := range cm.platform.Peers {
		q, needs := t.config.granter.Ask(o.Name, t.epoch)
		m := &protocol.PeerMessage{Kind: protocol.PeerConfigGrant, Epoch: q.Epoch, From: cm.platform.ControllerName, Revision: q.Revision, Incarnation: q.Life, At: q.Heard}
		if needs {
			if document == nil {
				document = configuration.EncodeDocument(s.document)
			}
			m.Body = document
		}
		cm.callAddress(ToPeer, "", o.Address, "", protocol.AppendPeer(nil, m), grantInterval, func(r CallResult) {
			if cm.term != t || r.Status != 200 {
				return
			}
			a, err := protocol.ParsePeer(r.Body)
			if err != nil {
				cm.logMalformed("controller", err)
				return
			}
			if a.Kind != protocol.PeerConfigAck {
				return
			}
			if a.Revision > s.revision && len(a.Body) > 0 {
				// It knows a later one than this leader: the record is gone or can't be read,
				// or a write of this leader without an answer was applied. To be read again.
				if d, err := configuration.DecodeDocument(a.Body); err == nil {
					cm.applyRevision(a.Revision, d)
					s.known = false
					cm.refreshHead()
				}
			}
			t.config.granter.Answered(o.Name, a.Incarnation, a.At, a.Revision, cm.now.Steady)
			cm.answerWaiters(t)
		})
	}
}

// ConfigGrantRequest is a leader's question about the revision that this node goes by.
type ConfigGrantRequest struct {
	Reply    ReplyAddress
	Grant    configuration.Grant
	Document []byte // nil: this node has it
}

func (ConfigGrantRequest) event() {}

// onConfigGrantRequest answers a leader's question about the configuration.
func (cm *configManager) onConfigGrantRequest(e ConfigGrantRequest) {
	s := cm.state
	if s == nil || isLeaderRole(cm.election.role) || cm.election.role == RoleClaiming {
		cm.reply(e.Reply, 0, nil, 0)
		return
	}
	var d configuration.Document
	if len(e.Document) > 0 {
		var err error
		if d, err = configuration.DecodeDocument(e.Document); err != nil {
			cm.logMalformed("controller", err)
		}
	}
	if s.holder.Take(cm.now.Steady, e.Grant, d != nil) == configuration.Adopting {
		s.known = false // its stamp is not
		cm.applyRevision(e.Grant.Revision, d)
	}
	cm.updateLogLevel()
	m := &protocol.PeerMessage{Kind: protocol.PeerConfigAck, Revision: s.holder.Revision, Incarnation: s.holder.Life, At: cm.now.Steady}
	if e.Grant.Revision < s.revision {
		m.Body = configuration.EncodeDocument(s.document) // in case the leader can't read the record
	}
	cm.emit(Reply{To: e.Reply, Status: 200, Frame: true, Body: protocol.AppendPeer(nil, m)})
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

func (mb *membership) peerNames() []string {
	names := make([]string, len(mb.platform.Peers))
	for i, s := range mb.platform.Peers {
		names[i] = s.Name
	}
	return names
}

// answerWaiters answers the operators whose revision is in force everywhere. Only a leader whose lease certainly holds
// says so: nobody else decides what it does.
func (cm *configManager) answerWaiters(t *leaderTerm) {
	waits := t.config.waiters
	if len(waits) == 0 {
		return
	}
	t.config.waiters = nil
	for _, w := range waits {
		switch {
		case cm.election.mayActAsLeader() && w.revision <= cm.state.revision && t.config.granter.InForce(w.revision, cm.now.Steady, cm.membership.peerNames()):
			w.answer(200, fmt.Appendf(nil, `{"revision":%d,"in_force":true}`, w.revision))
		case cm.now.Steady >= w.until: // it has been answered
		default:
			t.config.waiters = append(t.config.waiters, w)
		}
	}
}

// onConfigRequest handles an operator's call about the configuration, wherever it came in.
func (cm *configManager) onConfigRequest(e UserRequest) {
	if cm.state == nil {
		cm.reply(e.Reply, 404, protocol.ErrorBody("changes of the configuration are off"), 0)
		return
	}
	var r *configuration.Request
	var revision uint64
	var err error
	switch e.Op {
	case protocol.OpConfigApply, protocol.OpConfigRollback:
		r, err = configuration.ParseRequest(e.Body, e.Op == protocol.OpConfigRollback)
	case protocol.OpConfigWait:
		if revision, err = strconv.ParseUint(e.Ref, 10, 64); err != nil {
			err = fmt.Errorf("revision: must be a revision's number")
		}
	case protocol.OpConfigHistory:
		if revision, err = strconv.ParseUint(e.Ref, 10, 64); err != nil && e.Ref != "" {
			err = fmt.Errorf("before: must be a revision's number")
		} else {
			err = nil
		}
	}
	if err != nil {
		cm.reply(e.Reply, 400, protocol.ErrorBody(err.Error()), 0)
		return
	}
	if !cm.election.mayActAsLeader() {
		if e.Reply.Peer {
			cm.reply(e.Reply, 0, nil, 0)
			return
		}
		cm.users.forwardLeaderOnly(e, operatorTimeout+500*protocol.Millisecond, cm.now.Steady)
		return
	}
	switch e.Op {
	case protocol.OpConfig:
		cm.replyConfig(e.Reply)
	case protocol.OpConfigStatus:
		cm.replyConfigStatus(e.Reply)
	case protocol.OpConfigWait:
		if revision > cm.state.revision {
			cm.reply(e.Reply, 409, protocol.ErrorBody(fmt.Sprintf("there is no revision %d, the last one is %d", revision, cm.state.revision)), 0)
			return
		}
		t := cm.term
		t.config.waiters = append(t.config.waiters, configWaiter{cm.replyOnce(e.Reply, refusalRevisionPending), revision, cm.now.Steady + operatorTimeout})
		cm.answerWaiters(t)
	case protocol.OpConfigHistory:
		cm.replyHistory(cm.replyOnce(e.Reply, refusalStateService), revision)
	default:
		cm.changeConfig(cm.replyOnce(e.Reply, refusalStateService), r)
	}
}

// answerer answers an operator's call, the first time that it is called.
type operatorReply func(status int, body []byte)

// replyOnce makes an answerer, which answers 503 by itself when the operator has waited for as
// long as one is kept; why is the reason.
func (cm *configManager) replyOnce(to ReplyAddress, why string) operatorReply {
	answered := false
	cm.after(operatorTimeout, func() {
		if !answered {
			answered = true
			cm.replyUnavailable(to, why)
		}
	})
	return func(status int, body []byte) {
		switch {
		case answered:
			return
		case status == 503:
			cm.replyUnavailable(to, why)
		default:
			cm.reply(to, status, body, 0)
		}
		answered = true
	}
}

// replyConfig answers with the last revision.
func (cm *configManager) replyConfig(to ReplyAddress) {
	s := cm.state
	b := fmt.Appendf(nil, `{"revision":%d,"damaged":%t,"document":`, s.revision, s.damaged)
	b = append(b, configuration.EncodeDocument(s.document)...)
	if s.head != nil && s.head.Revision == s.revision {
		last := s.head.Log[len(s.head.Log)-1:]
		b = append(configuration.AppendEntries(append(b, `,"last":`...), last), '}')
	} else {
		b = append(b, '}')
	}
	cm.reply(to, 200, b, 0)
}

// replyConfigStatus answers where the revisions are in force.
func (cm *configManager) replyConfigStatus(to ReplyAddress) {
	s, g := cm.state, cm.term.config.granter
	b := fmt.Appendf(nil, `{"revision":%d,"in_force":%d,"damaged":%t,"controllers":[{"name":%s,"revision":%d,"leads":true}`, s.revision,
		g.Newest(cm.now.Steady, cm.membership.peerNames()), s.damaged, protocol.AppendQuoted(nil, cm.platform.ControllerName), s.revision)
	for _, o := range cm.platform.Peers {
		r, when := g.Acknowledged(o.Name)
		b = append(protocol.AppendQuoted(append(b, `,{"name":`...), o.Name), `,"leads":false`...)
		if when > 0 {
			b = fmt.Appendf(b, `,"revision":%d,"heard_s_ago":%.1f`, r, (cm.now.Steady - when).Seconds())
		}
		b = append(b, '}')
	}
	cm.reply(to, 200, append(b, "]}"...), 0)
}

// maxHistoryBytes bounds the entries of an answer, in bytes.
const maxHistoryBytes = 40 << 10

// readHistory reads the history that is kept, from a revision on at least: the pages
// before the head's part where that does not go back so far.
func (cm *configManager) readHistory(from uint64, done func(list []configuration.Entry, ok bool)) {
	h := cm.state.head
	if h == nil {
		done(nil, true)
		return
	}
	var list []configuration.Entry
	first, last := configuration.PageKey(h.FirstPage), configuration.PageKey(h.LastPage)
	if h.LastPage < h.FirstPage || h.LastPage == 0 || h.Log[0].Revision <= from {
		done(h.Log, true)
		return
	}
	cm.store.listPrefix(priorityNormal, configuration.PagePrefix, func(e protocol.Entry) {
		if e.Key < first || e.Key > last {
			return // left by what was before the record was mended
		}
		page, err := configuration.DecodePage(e.Value)
		if err != nil {
			cm.logDamagedRecord(e, err)
			return
		}
		list = append(list, page...)
	}, func(_ uint64, ok bool) { done(append(list, h.Log...), ok) })
}

// history answers with the entries before a revision (0: the newest), the last one first.
func (cm *configManager) replyHistory(answer operatorReply, before uint64) {
	send := func(list []configuration.Entry, more bool) {
		b := []byte(`{"history":[`)
		for i, e := range slices.Backward(list) {
			if before > 0 && e.Revision >= before {
				continue
			}
			if len(b) > maxHistoryBytes {
				more = true
				break
			}
			if b[len(b)-1] != '[' {
				b = append(b, ',')
			}
			one := configuration.AppendEntries(nil, list[i:i+1])
			b = append(b, one[1:len(one)-1]...)
		}
		answer(200, fmt.Appendf(b, `],"more":%t}`, more))
	}
	if h := cm.state.head; h != nil && before == 0 {
		send(h.Log, h.LastPage >= h.FirstPage && h.LastPage > 0) // the older ones are asked for if they are wanted
		return
	}
	cm.readHistory(0, func(list []configuration.Entry, ok bool) {
		if !ok {
			answer(503, nil)
			return
		}
		send(list, false)
	})
}

// changeConfig makes a revision. Whatever is wrong with it is said before anything is written.
func (cm *configManager) changeConfig(answer operatorReply, r *configuration.Request) {
	t, s := cm.term, cm.state
	refuse := func(status int, format string, args ...any) {
		text := protocol.AppendQuoted([]byte(`{"error":`), fmt.Sprintf(format, args...))
		answer(status, fmt.Appendf(text, `,"revision":%d}`, s.revision))
	}
	made := func(revision uint64, changed bool) {
		answer(200, fmt.Appendf(nil, `{"revision":%d,"changed":%t}`, revision, changed))
	}
	if s.head != nil {
		if e, ok := s.head.Request(r.ID); ok {
			made(e.Revision, true) // it was made before, and its answer got lost
			return
		}
	}
	switch {
	case t.config.writing || !s.known:
		answer(503, nil)
		return
	case s.damaged && !r.Mend:
		refuse(409, "the record of the configuration can't be read, see the leader's log: revision %d is gone by; mend puts a new record in its place", s.revision)
		return
	case !s.damaged && r.Mend:
		refuse(409, "mend: the record of the configuration can be read")
		return
	case r.Expected < s.revision && s.head != nil && r.Expected+1 < s.head.Log[0].Revision:
		// It may be one that was made so long ago that its entry is in a page.
		cm.readHistory(r.Expected+1, func(list []configuration.Entry, ok bool) {
			for _, e := range list {
				if e.ID == r.ID {
					made(e.Revision, true)
					return
				}
			}
			if !ok {
				answer(503, nil)
				return
			}
			refuse(409, "expected: the last revision is %d, not %d", s.revision, r.Expected)
		})
		return
	case r.Expected != s.revision:
		refuse(409, "expected: the last revision is %d, not %d", s.revision, r.Expected)
		return
	}
	if r.Rollback {
		revision := s.revision
		cm.readHistory(r.To+1, func(list []configuration.Entry, ok bool) {
			switch {
			case cm.term != t || !cm.election.mayActAsLeader() || !ok:
				answer(503, nil)
			case s.revision != revision:
				refuse(409, "expected: the last revision is %d, not %d", s.revision, r.Expected)
			case s.head == nil && r.To > 0:
				refuse(422, "to: there is no revision %d", r.To)
			case s.head == nil:
				made(0, false)
			default:
				d, err := s.head.Back(r.To, list)
				if err != nil {
					refuse(422, "%v", err)
					return
				}
				cm.writeRevision(answer, r, configuration.Diff(s.document, d), refuse, made)
			}
		})
		return
	}
	cm.writeRevision(answer, r, r.Changes(s.document), refuse, made)
}

// writeRevision makes a revision durable, and then takes it into force: one transaction on the
// head's stamp, and on the leader's key like each of a leader's.
func (cm *configManager) writeRevision(answer operatorReply, r *configuration.Request, changes []configuration.Change, refuse func(int, string, ...any), made func(uint64, bool)) {
	t, s := cm.term, cm.state
	if len(changes) == 0 && !r.Mend {
		made(s.revision, false)
		return
	}
	if t.config.writing || !s.known {
		answer(503, nil)
		return
	}
	e := configuration.Entry{At: cm.now.Wall, Who: r.Who, Why: r.Why, ID: r.ID, Changes: changes}
	var w *configuration.Write
	var err error
	if r.Mend {
		w, err = configuration.Mend(&s.bounds, s.document, e, max(s.headRevision, s.revision))
	} else {
		h := s.head
		if h == nil {
			h = &configuration.Head{}
		}
		w, err = h.Next(&s.bounds, e, s.options.Pages)
	}
	if err != nil {
		refuse(422, "%v", err)
		return
	}
	then := []protocol.Change{{Key: configuration.KeyHead, Value: w.Head.Encode()}}
	if w.Page != "" {
		then = append(then, protocol.Change{Key: w.Page, Value: w.PageValue})
	}
	if w.LeftOut > 0 {
		cm.log.Warn("the history of the configuration is too long for the state service", "entries_left_out", w.LeftOut)
	}
	if w.Drop != "" {
		then = append(then, protocol.Change{Key: w.Drop})
	}
	when := []protocol.Condition{{Key: configuration.KeyHead, Revision: s.headRevision}}
	t.config.writing = true
	cm.election.leaderTransaction(priorityLatencyCritical, when, then, func(o txnOutcome, res protocol.TxnResult) {
		t.config.writing = false
		if o == txnCommitted {
			s.head, s.headRevision, s.known, s.damaged = w.Head, res.Revision, true, false
			s.headChanges++
			cm.stats.ConfigChanges++
			cm.applyRevision(w.Head.Revision, w.Head.Document)
			made(w.Head.Revision, true)
			return
		}
		if o.notExecuted() {
			answer(503, nil)
			return
		}
		// Without an answer it may have been applied, or may still be; refused, an earlier
		// one of ours was. Its request's id says which.
		t.config.writeUncertainUntil = cm.now.Steady + configWriteUncertainty
		t.config.nextReread = cm.now.Steady + configRereadInterval
		cm.readHead(priorityLatencyCritical, func(ok bool) {
			if ok && s.head != nil {
				if e, here := s.head.Request(r.ID); here {
					made(e.Revision, true)
					return
				}
			}
			answer(503, nil)
		})
	})
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
