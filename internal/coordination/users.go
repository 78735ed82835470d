package coordination

import (
	"mapleslip/internal/bookkeeping"
	"mapleslip/internal/protocol"
	"mapleslip/internal/upgrade"
)

// forwardTimeout is how long the leader has to answer a passed-on call before
// the node goes to the state service itself.
const forwardTimeout = 600 * protocol.Millisecond

// A leader that was heard within leaderAlive has patientTimeout for a submission or a
// cancellation, which it may keep for a second and a half itself. With less, a leader
// with a full second of submissions to write counted as dead: users were sent to the
// state service, which was what it waited for.
const (
	leaderAlive    = 1500 * protocol.Millisecond
	patientTimeout = 1900 * protocol.Millisecond
)

// onHealth tells the load balancer whether users should come here. A node that hears
// neither the state service nor any other controller can serve nobody, while others may:
// users keep their connections to it, each question is answered 503, and a job of which
// all questions end here is forgotten by that. While the state service is down for all
// the controllers hear each other, so an outage takes no node away from the balancer.
func (c *Controller) onHealth(e HealthCall) {
	if c.alone() {
		c.unavailable(e.Reply, refusedAlone)
		return
	}
	c.reply(e.Reply, 200, []byte(`{}`), 0)
}

// aloneAfter is how long a node has to hear nobody to be alone. Health checks come once
// a second and it takes two; users' patience is a minute.
const aloneAfter = 4 * protocol.Second

func (c *Controller) alone() bool {
	at := c.at.Steady
	return len(c.platform.Siblings) > 0 && at-max(c.stateHeard, c.born) > aloneAfter && at-max(c.siblingHeard, c.born) > aloneAfter
}

// onUser handles a user's call, wherever it came in.
func (c *Controller) onUser(e UserCall) {
	if e.Op >= protocol.OpConfig {
		c.onConfig(e)
		return
	}
	if e.Op >= protocol.OpRollout {
		c.onRollout(e)
		return
	}
	var spec *protocol.JobSpec
	if e.Op == protocol.OpSubmit {
		var err error
		if spec, err = protocol.ParseJob(e.Body); err != nil {
			c.reply(e.Reply, 400, protocol.ErrorBody(err.Error()), 0)
			return
		}
		e.Ref = spec.Ref
		if len(spec.Awaits) > 0 && !c.allows(upgrade.ChainedJobs) {
			c.unavailable(e.Reply, refusedFeature)
			return
		}
	} else if !protocol.ValidRef(e.Ref) {
		// No such id can ever have been accepted.
		c.reply(e.Reply, 404, protocol.ErrorBody("no such job"), 0)
		return
	}
	if f, ok := c.finals.find(e.Ref); ok {
		c.replyFinal(e.Reply, e.Ref, f)
		return
	}
	if c.mayStart() {
		switch e.Op {
		case protocol.OpSubmit:
			c.submit(e.Reply, spec)
		case protocol.OpQuery:
			c.query(e.Reply, e.Ref)
		case protocol.OpCancel:
			c.cancel(e.Reply, e.Ref)
		}
		return
	}
	if c.role == Doubtful && e.Op == protocol.OpCancel && c.term.book.Job(e.Ref) != nil {
		// Nobody can be told now, but the tasks can end: a stop can do no harm.
		c.cancel(e.Reply, e.Ref)
		return
	}
	if e.Reply.Peer {
		c.reply(e.Reply, 0, nil, 0)
		return
	}
	c.passOn(e, spec)
}

func (c *Controller) replyFinal(to Address, ref string, f final) {
	done := 0
	if f.phase == protocol.Done {
		done = f.tasks
	}
	c.reply(to, 200, protocol.JobAnswer(ref, f.phase, done, 0), 0)
}

// passOn gives a user's call to the leader, or goes to the state service
// where it can't be reached.
func (c *Controller) passOn(e UserCall, spec *protocol.JobSpec) { c.passOnSince(e, spec, c.at.Steady) }

// passOnSince does so for a call that came in at that time.
func (c *Controller) passOnSince(e UserCall, spec *protocol.JobSpec, came micros) {
	epoch, began := c.leader.Epoch, c.at.Steady
	timeout := forwardTimeout
	if heard := max(c.asked, c.leaderHeard); e.Op != protocol.OpQuery && heard > 0 && began-heard <= leaderAlive {
		timeout = patientTimeout
	}
	// Most submissions leave connections for what can't wait.
	waits := e.Op == protocol.OpSubmit && !c.pressing(spec)
	if waits && c.passing >= mostPassed {
		c.notPassed(e, spec, began-leaderAlive)
		return
	}
	if waits {
		c.passing++
	}
	over := func() {
		if waits {
			c.passing--
		}
	}
	sent := c.toLeader(e, timeout, over, func(r CallDone) {
		unmade := r.unmade()
		if c.leader.Epoch == epoch && r.Status != 200 && !unmade && max(c.asked, c.leaderHeard) < began {
			c.suspect = c.at.Steady + 2*protocol.Second
		}
		if c.mayStart() {
			c.onUser(e) // this node has come to lead meanwhile
			return
		}
		if unmade && !waits && e.Op != protocol.OpQuery && c.at.Steady-came < connectionWait {
			c.after(connectionWait/8, func() { c.onUserAgain(e, spec, came) })
			return
		}
		if since := began; c.leader.Epoch == epoch {
			if unmade {
				since -= leaderAlive
			}
			c.notPassed(e, spec, since)
			return
		}
		c.serveDirect(e, spec)
	})
	if !sent {
		over()
		c.serveDirect(e, spec)
	}
}

// notPassed serves a call that the leader has not taken. A submission has to come again
// if the leader has answered this node since: it is there, and has more to write than it can.
// What would be written from here besides only has the state service refuse the leader's
// launches.
func (c *Controller) notPassed(e UserCall, spec *protocol.JobSpec, since micros) {
	if e.Op == protocol.OpSubmit && c.leaderHeard > since {
		c.unavailable(e.Reply, refusedBudget)
		return
	}
	c.serveDirect(e, spec)
}

// onUserAgain tries a call once more that found no connection to the leader.
func (c *Controller) onUserAgain(e UserCall, spec *protocol.JobSpec, came micros) {
	if c.mayStart() {
		c.onUser(e) // this node has come to lead meanwhile
		return
	}
	c.passOnSince(e, spec, came)
}

// leaderOnly gives a call to the leader that came at a time and that nobody else can serve:
// operators' calls, about roll-outs and the configuration. It looks for a connection as what
// is pressing does: submissions may have all of them just then.
func (c *Controller) leaderOnly(e UserCall, timeout, came micros) {
	if c.mayStart() {
		c.onUser(e) // this node has come to lead meanwhile
		return
	}
	refuse := func(r CallDone) {
		if r.unmade() && c.at.Steady-came < connectionWait {
			c.after(connectionWait/8, func() { c.leaderOnly(e, timeout, came) })
			return
		}
		c.unavailable(e.Reply, refusedNoLeader)
	}
	if !c.toLeader(e, timeout, func() {}, refuse) {
		refuse(CallDone{})
	}
}

// PeerCalls is how many calls to another controller a node makes at once, mostPassed how
// many of them may be submissions that can wait. What can't looks for a connection for
// connectionWait: those of users' questions are free again at any moment.
const (
	PeerCalls      = 24
	mostPassed     = PeerCalls / 2
	connectionWait = 400 * protocol.Millisecond
)

// toLeader gives a call to the leader, whose answer goes to whoever made the call, and
// reports whether there is a leader to give it to. over is called when the call is over,
// otherwise after it when the leader did not serve it.
func (c *Controller) toLeader(e UserCall, timeout micros, over func(), otherwise func(CallDone)) bool {
	addr := c.addressOf(c.leader.Node)
	if addr == "" || c.at.Steady < c.suspect || leads(c.role) {
		return false
	}
	frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerCall, Op: e.Op, Ref: e.Ref, From: c.platform.Node, Body: e.Body})
	c.callAddr(ToPeer, "", addr, "", frame, timeout, func(r CallDone) {
		over()
		if m := c.peerAnswer(r); m != nil && m.Status != 0 {
			c.leaderHeard = c.at.Steady
			c.reply(e.Reply, int(m.Status), m.Body, m.RetryAfter)
			return
		}
		c.recheck()
		otherwise(r)
	})
	return true
}

// serveDirect serves a call from the state service alone. What its rate has no
// room for is refused at once: waiting in line would only make the others late.
func (c *Controller) serveDirect(e UserCall, spec *protocol.JobSpec) {
	nodes := len(c.platform.Siblings) + 1
	room, under := c.platform.StateRate*ReadShare(nodes, false)/2, c.direct
	if e.Op == protocol.OpSubmit {
		room, under = c.limits.rate*WriteShare(nodes, false), c.directSubmits
	}
	if e.Op != protocol.OpCancel && float64(under) >= max(2, room*directWait.Seconds()) {
		c.unavailable(e.Reply, refusedNoLeader)
		return
	}
	switch e.Op {
	case protocol.OpCancel:
		// Only the leader can stop tasks; the user comes again.
		c.unavailable(e.Reply, refusedNoLeader)
	case protocol.OpQuery:
		c.direct++
		c.lookUp(e.Reply, e.Ref, func() { c.direct-- })
	case protocol.OpSubmit:
		c.directSubmits++
		c.directSubmit(e.Reply, spec, func() { c.directSubmits-- })
	}
}

// directWait is how long a call may wait for the state service's rate.
const directWait = 400 * protocol.Millisecond

// lookUp answers a query from the state service. The live record is read
// first: a job that ends meanwhile is then found among the final ones.
func (c *Controller) lookUp(to Address, ref string, over func()) {
	// Users poll again soon, and wait for a submission.
	c.find(prioUrgent, ref, func(j *bookkeeping.Job, f final, found, ok bool) {
		over()
		switch {
		case !ok:
			c.unavailable(to, refusedState)
		case !found:
			c.reply(to, 404, protocol.ErrorBody("no such job"), 0)
		case j != nil:
			c.answerLive(to, j)
		default:
			c.replyFinal(to, ref, f)
		}
	})
}

// find looks for a job in the state service. What it finds live a leader takes into its
// book, if it was read in this term: an answer that was on its way while another node led
// says nothing of what that one ended. What this node ended itself learnJob knows.
func (c *Controller) find(prio uint8, ref string, done func(j *bookkeeping.Job, f final, found, ok bool)) {
	t := c.term
	c.get(prio, bookkeeping.JobPrefix+ref, func(e protocol.Entry, found, ok bool) {
		if !ok {
			done(nil, final{}, false, false)
			return
		}
		if found {
			j, err := bookkeeping.DecodeJob(e.Value)
			if err != nil {
				c.malformed("state", err)
				done(nil, final{}, false, false)
				return
			}
			j.Stamp = e.Stamp
			if c.mayStart() && c.term == t {
				if known := c.learnJob(e); known != nil {
					j = known
				}
			}
			done(j, final{}, true, true)
			return
		}
		c.get(prio, bookkeeping.FinalPrefix+ref, func(e protocol.Entry, found, ok bool) {
			if !ok || !found {
				done(nil, final{}, false, ok)
				return
			}
			p, n, err := bookkeeping.DecodeFinal(e.Value)
			if err != nil {
				c.malformed("state", err)
				done(nil, final{}, false, false)
				return
			}
			f := final{p, n}
			c.remember(ref, f)
			done(nil, f, true, true)
		})
	})
}

// directSubmit creates a job's record without the leader, which notices it.
func (c *Controller) directSubmit(to Address, spec *protocol.JobSpec, over func()) {
	if len(c.types) == 0 {
		c.get(prioUser, bookkeeping.KeyTypes, func(e protocol.Entry, found, ok bool) {
			if found {
				c.tookKeptTypes(e.Value)
			}
			if len(c.types) == 0 {
				over()
				c.unavailable(to, refusedTypes)
				return
			}
			c.directSubmit(to, spec, over)
		})
		return
	}
	if c.config != nil && !c.config.known {
		c.readHead(prioUser, func(ok bool) {
			if !ok {
				over()
				c.unavailable(to, refusedState)
				return
			}
			c.directSubmit(to, spec, over)
		})
		return
	}
	if c.levels != nil && !c.levels.known {
		c.readLevel(prioUser, func(ok bool) {
			if !ok || !c.levels.known {
				over()
				c.unavailable(to, refusedState)
				return
			}
			c.directSubmit(to, spec, over)
		})
		return
	}
	if c.levels != nil && !c.levels.serves.Serves(c.levels.active) {
		over()
		c.unavailable(to, refusedLevel)
		return
	}
	if why := c.impossible(spec); why != "" {
		over()
		c.refuse(to, spec, why)
		return
	}
	if len(spec.Awaits) == 0 {
		c.directCreate(to, spec, protocol.Queued, over)
		return
	}
	c.admitAwaits(to, spec, over, func(cancelled bool) {
		phase := protocol.Queued
		if cancelled {
			phase = protocol.Cancelled
		}
		c.directCreate(to, spec, phase, over)
	})
}

// directCreate creates a job's record without the leader. phase is what its user is told.
func (c *Controller) directCreate(to Address, spec *protocol.JobSpec, phase protocol.Phase, over func()) {
	j := bookkeeping.NewJob(spec)
	j.SubmittedWall = c.at.Wall
	c.create(to, j, phase, func(when []protocol.Condition, then []protocol.Change, done func(txnOutcome, protocol.TxnResult)) {
		c.txn(prioUser, c.underLevel(c.underRevision(when)), then, func(o txnOutcome, r protocol.TxnResult) {
			over()
			if outdated, other := c.outdated(o, r), c.otherLevel(o, r); outdated || other {
				o = txnRejected
			}
			done(o, r)
		})
	}, over)
}

// refuse answers 422, unless the job was accepted before: machine types may
// have been others then.
func (c *Controller) refuse(to Address, spec *protocol.JobSpec, why string) {
	if c.config != nil && !c.mayStart() {
		// The revision that this node knows may be an old one, and what it refuses
		// depends on nothing that would show it.
		c.readHead(prioUser, func(ok bool) {
			if why = c.impossible(spec); !ok || why == "" {
				c.unavailable(to, refusedState)
				return
			}
			c.refuseUnknown(to, spec, 422, why)
		})
		return
	}
	c.refuseUnknown(to, spec, 422, why)
}

// refuseUnknown refuses a job with a status unless it was accepted before.
func (c *Controller) refuseUnknown(to Address, spec *protocol.JobSpec, status int, why string) {
	c.find(prioUser, spec.Ref, func(j *bookkeeping.Job, f final, found, ok bool) {
		switch {
		case !ok:
			c.unavailable(to, refusedState)
		case found:
			c.answerKnown(to, spec.Ref, j, f)
		default:
			c.reply(to, status, protocol.ErrorBody(why), 0)
		}
	})
}

func (c *Controller) answerKnown(to Address, ref string, j *bookkeeping.Job, f final) {
	if j != nil {
		c.answerLive(to, j)
		return
	}
	c.replyFinal(to, ref, f)
}

type writer func(when []protocol.Condition, then []protocol.Change, done func(txnOutcome, protocol.TxnResult))

// create records a job if it is not there yet, and answers once it is durable, with the
// phase given unless this node leads and knows better. A leader takes it into its book only
// if it was written in this term, and is not over already: it may have noticed the job long
// before the answer comes, or another leader may have, and ended it. One that it does not
// take here it notices as those that other nodes write.
func (c *Controller) create(to Address, j *bookkeeping.Job, phase protocol.Phase, write writer, refused func()) {
	ref, t := j.Spec.Ref, c.term
	value := bookkeeping.EncodeJob(j)
	// An earlier submission of it may have been accepted under a larger limit.
	tooLong := func() { c.refuseUnknown(to, j.Spec, 400, "description too long") }
	if len(value) > c.limits.allowed.valueBytes {
		refused()
		// The record that it was accepted with may have been shorter: it names an epoch.
		tooLong()
		return
	}
	when := []protocol.Condition{{Key: bookkeeping.JobPrefix + ref}, {Key: bookkeeping.FinalPrefix + ref}}
	then := []protocol.Change{{Key: bookkeeping.JobPrefix + ref, Value: value}}
	write(when, then, func(o txnOutcome, r protocol.TxnResult) {
		switch o {
		case txnApplied:
			if f, over := c.finals.find(ref); over {
				c.replyFinal(to, ref, f)
				return
			}
			j.Stamp = r.Stamp
			if c.mayStart() && c.term == t && t.book.Job(ref) == nil {
				c.enter(j)
			}
			body := protocol.JobAnswer(ref, phase, 0, 0)
			if len(j.Spec.Awaits) > 0 && c.knows(j) {
				body = c.jobAnswer(j)
			}
			c.reply(to, 201, body, 0)
		case txnRefused:
			c.find(prioUser, ref, func(j *bookkeeping.Job, f final, found, ok bool) {
				if !ok || !found {
					c.unavailable(to, refusedState)
					return
				}
				c.answerKnown(to, ref, j, f)
			})
		case txnTooLarge, txnMalformed:
			if len(value) > c.limits.allowed.valueBytes {
				tooLong()
				return
			}
			c.unavailable(to, refusedState)
		default:
			c.unavailable(to, refusedState)
		}
	})
}

// impossible says why a job can never run, or nothing.
func (c *Controller) impossible(s *protocol.JobSpec) string {
	team, ok := c.team(s.Team)
	if !ok {
		return "unknown team"
	}
	if team.Retired {
		return "the team takes no new jobs"
	}
	fits := false
	for _, t := range c.types {
		if !t.Offer.Holds(s.Need) || !s.AllowsType(t.Name) {
			continue
		}
		if s.Zone == "" {
			fits = true
		}
		for _, z := range t.Zones {
			fits = fits || z == s.Zone
		}
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	n := int64(s.Tasks)
	if s.Kind == protocol.Array {
		n = 1
	}
	var none protocol.Resources
	if !withinLimit(team.Limit, none.Add(s.Need, n)) {
		return "the job needs more than the team's limit"
	}
	return ""
}

// withinLimit checks an amount against a limit, of which 0 means none.
func withinLimit(limit, amount protocol.Resources) bool {
	return (limit.CPU == 0 || amount.CPU <= limit.CPU) && (limit.GPU == 0 || amount.GPU <= limit.GPU)
}

// writeRate is how many changes a second the leader may make.
func (c *Controller) writeRate() float64 {
	return max(1, c.limits.rate*WriteShare(len(c.platform.Siblings)+1, true))
}

// WriteShare is the part of the rate of changes, and of the cloud's, that a node
// may use; ReadShare that of the state service's requests. A node that does not
// lead only watches; when the leader can't be reached it serves users for a
// short while. Then it may have to read for all of them, and the leader mostly
// changes nothing, so that the parts of changes are more than one together.
func WriteShare(nodes int, leads bool) float64 { return shareOf(0.75, 0.5, nodes, leads) }

// ReadShare is the part of the requests to the state service, see WriteShare.
func ReadShare(nodes int, leads bool) float64 { return shareOf(0.4, 0.6, nodes, leads) }

// LargestChange is how many changes the largest transaction of a node carries. One that
// does not lead creates jobs, one each, and claims the lead, which takes two.
func LargestChange(txnOps int, leads bool) int {
	if leads {
		return txnOps
	}
	return 2
}

func shareOf(leader, others float64, nodes int, leads bool) float64 {
	switch {
	case nodes <= 1:
		return 1
	case leads:
		return leader
	}
	return others / float64(nodes-1)
}

// submit accepts a job as the leader.
func (c *Controller) submit(to Address, spec *protocol.JobSpec) {
	t := c.term
	ref := spec.Ref
	if j := t.book.Job(ref); j != nil && ending(j) {
		c.lookUp(to, ref, func() {})
		return
	} else if j != nil {
		c.reply(to, 200, c.jobAnswer(j), 0)
		return
	}
	if len(c.types) == 0 {
		c.unavailable(to, refusedTypes)
		return
	}
	if why := c.impossible(spec); why != "" {
		c.refuse(to, spec, why)
		return
	}
	if !c.knowsAwaited(spec) {
		c.admitUnknown(to, spec)
		return
	}
	c.admit(to, spec)
}

// admitUnknown accepts a job as the leader of which it has to look up what it awaits.
func (c *Controller) admitUnknown(to Address, spec *protocol.JobSpec) {
	if c.askedTooMuch() {
		c.unavailable(to, refusedQuestions)
		return
	}
	c.looking++
	t := c.term
	over := func() { c.looking-- }
	c.admitAwaits(to, spec, over, func(bool) {
		over()
		if c.term != t || !c.mayStart() {
			c.unavailable(to, refusedNoLeader)
			return
		}
		if j := t.book.Job(spec.Ref); j != nil {
			c.answerLive(to, j)
			return
		}
		c.admit(to, spec)
	})
}

// admit accepts a job as the leader, in its turn.
func (c *Controller) admit(to Address, spec *protocol.JobSpec) {
	t := c.term
	ref := spec.Ref
	if waiting, ok := t.submits[ref]; ok {
		t.submits[ref] = append(waiting, to)
		return
	}
	// What would have to wait for its record for longer than users should is
	// refused at once: they are told when its turn comes.
	prio, line := prioUser, &t.admitted
	if c.pressing(spec) {
		prio, line = prioPressing, &t.pressing
	}
	if wait, ok := line.ask(c.at.Steady, ref, c.writeRate()); !ok {
		if at := c.at.Steady; at-t.budgetLog > 5*protocol.Second {
			t.budgetLog = at
			c.log.Info("state budget used up", "waiting", line.waiting, "a_second", int64(line.rate), "delay_ms", int64(wait/protocol.Millisecond))
		}
		c.later(to, refusedBudget, wait)
		return
	}
	t.submits[ref] = nil
	line.began()
	j := bookkeeping.NewJob(spec)
	j.SubmittedWall, j.Epoch = c.at.Wall, t.epoch
	c.create(to, j, protocol.Queued, func(when []protocol.Condition, then []protocol.Change, done func(txnOutcome, protocol.TxnResult)) {
		when = append([]protocol.Condition{{Key: bookkeeping.KeyLeader, Stamp: c.seat.stamp}}, when...)
		c.txn(prio, c.underRevision(when), then, func(o txnOutcome, r protocol.TxnResult) {
			others := t.submits[ref]
			delete(t.submits, ref)
			outdated := c.outdated(o, r)
			line.ended(o == txnApplied || o == txnRefused)
			if o == txnRejected && c.term == t && c.mayStart() && c.stateReach.state == Answering {
				// Other records left it no room, or less than it seemed.
				wait := line.promise(c.at.Steady, ref, c.writeRate())
				for _, a := range append(others, to) {
					c.later(a, refusedBudget, wait)
				}
				return
			}
			if o == txnRefused {
				for _, k := range r.Failed {
					if k == bookkeeping.KeyLeader {
						o = txnRejected
						if c.term == t {
							c.deposed("the leader key is another's")
						}
					}
				}
			}
			if outdated {
				o = txnRejected
			}
			done(o, r)
			for _, a := range others {
				if j := t.book.Job(ref); j != nil && !ending(j) && c.term == t {
					c.reply(a, 200, c.jobAnswer(j), 0)
				} else {
					c.unavailable(a, refusedState)
				}
			}
		})
	}, func() {
		delete(t.submits, ref)
		line.ended(false)
	})
}

// pressing reports whether a job has to start so soon that its records don't wait in line
// with those of others.
func (c *Controller) pressing(s *protocol.JobSpec) bool {
	within := c.startWithin(s.Class)
	return within > 0 && within < pressingWithin
}

// pressingWithin is the aim on starting below which a class is pressing.
const pressingWithin = 10 * protocol.Second

// jobAnswer says how a job of the book stands.
func (c *Controller) jobAnswer(j *bookkeeping.Job) []byte {
	phase := protocol.Queued
	running := j.Running
	switch {
	case j.Doomed:
		return protocol.JobAnswer(j.Spec.Ref, protocol.Cancelled, 0, 0)
	case j.State == bookkeeping.JobWaiting:
		return protocol.AwaitingAnswer(j.Spec.Ref, j.Awaiting)
	}
	switch j.State {
	case bookkeeping.JobDone:
		phase, running = protocol.Done, 0
	case bookkeeping.JobCancelled, bookkeeping.JobClosed:
		phase, running = protocol.Cancelled, 0
	default:
		if running > 0 || j.State == bookkeeping.JobFinishing {
			phase = protocol.Running
		}
	}
	return protocol.JobAnswer(j.Spec.Ref, phase, j.Done, running)
}

// ending reports whether a job's final record is on its way. It may be durable before its
// writer knows, for seconds if the answer is lost and the write is carried out late; a node
// that finds it then tells its user, who must not be told something older by the leader.
// So until the outcome is known the leader, too, answers from the state service.
// It is the same for a job that awaits others while one of their records is on its way, or
// not read yet. A doomed job is cancelled whatever becomes of its own record.
func ending(j *bookkeeping.Job) bool {
	return !j.Doomed && (j.State == bookkeeping.JobFinishing || j.Closing || j.Unsure)
}

func (c *Controller) query(to Address, ref string) {
	if j := c.term.book.Job(ref); j != nil && !ending(j) {
		c.reply(to, 200, c.jobAnswer(j), 0)
		return
	}
	if c.askedTooMuch() {
		c.unavailable(to, refusedQuestions)
		return
	}
	c.looking++
	c.lookUp(to, ref, func() { c.looking-- })
}

// askedTooMuch reports whether this leader looks up as much for users as it may. Lookups
// come second to what the leader has to write and read itself: a storm of questions about
// jobs that nobody knows would use up the rate.
func (c *Controller) askedTooMuch() bool {
	return float64(c.looking) >= max(4, c.platform.StateRate*ReadShare(len(c.platform.Siblings)+1, true)/2*directWait.Seconds())
}

// cancel ends a job: durable first, then the answer, then its tasks are
// stopped until none is left.
func (c *Controller) cancel(to Address, ref string) {
	t := c.term
	j := t.book.Job(ref)
	if j == nil {
		c.find(prioUser, ref, func(j *bookkeeping.Job, f final, found, ok bool) {
			switch {
			case !ok:
				c.unavailable(to, refusedState)
			case !found:
				c.reply(to, 404, protocol.ErrorBody("no such job"), 0)
			case j == nil:
				c.replyFinal(to, ref, f)
			case c.term != nil && c.mayStart() && c.term.book.Job(ref) != nil:
				c.cancel(to, ref)
			default:
				c.unavailable(to, refusedNoLeader)
			}
		})
		return
	}
	if j.Doomed {
		c.reply(to, 200, c.jobAnswer(j), 0)
		return
	}
	switch j.State {
	case bookkeeping.JobDone, bookkeeping.JobCancelled, bookkeeping.JobClosed:
		c.reply(to, 200, c.jobAnswer(j), 0)
	case bookkeeping.JobCancelling, bookkeeping.JobFinishing:
		t.cancels[ref] = append(t.cancels[ref], to)
	case bookkeeping.JobLive, bookkeeping.JobWaiting:
		t.cancels[ref] = append(t.cancels[ref], to)
		j.To(bookkeeping.JobCancelling)
		j.CancelledWall = c.at.Wall
		c.log.Debug("cancel asked", "ref", ref, "attempts", j.Attempts)
		c.stopJob(j)
		c.endCancelled(j)
	}
	// Nobody is kept waiting longer than this: what can't be said yet is asked again.
	c.after(1500*protocol.Millisecond, func() {
		for i, a := range t.cancels[ref] {
			if a == to {
				t.cancels[ref] = append(t.cancels[ref][:i:i], t.cancels[ref][i+1:]...)
				// This node may lead no more, and knows of no tasks then.
				if c.term == t && j.State == bookkeeping.JobCancelling && !c.nowhere(j) {
					c.unavailable(to, refusedStops)
				} else {
					c.unavailable(to, refusedState)
				}
				return
			}
		}
	})
}

// nowhere reports whether no task of a job is on a machine, nor can be any more: each
// attempt is proven gone, and none of an earlier leader is unheard of.
func (c *Controller) nowhere(j *bookkeeping.Job) bool {
	return j.Settled() && (c.term.recovered || !c.term.unlisted)
}

// endCancelled ends a job that its user asked to cancel, once none of its tasks can
// be anywhere. Only then the cancellation is written, and only after that the user is
// told: so whatever is cut off, down or ends afterwards, there is nothing left to
// stop. Told before, it was a promise that no later leader could keep when a cut, an
// outage of the state service and the end of all controllers came together.
func (c *Controller) endCancelled(j *bookkeeping.Job) {
	if j.State == bookkeeping.JobCancelling && !j.Doomed && !j.Closing && !j.Asking && c.nowhere(j) {
		c.closing(j)
		c.finish(j)
	}
}

// askKeptAfter is how long the tasks of a job that is being cancelled may take to
// end before the request is kept in the state service. Mostly they end before.
const askKeptAfter = 400 * protocol.Millisecond

// keepAsk keeps the request in the state service, so that a new leader goes on with
// it also if its user has given up asking.
func (c *Controller) keepAsk(j *bookkeeping.Job) {
	if j.AskKept || j.Asking || j.Closing || j.Doomed || c.at.Wall-j.CancelledWall < askKeptAfter || c.at.Steady < j.AskAgain {
		return
	}
	ref := j.Spec.Ref
	value := bookkeeping.EncodeJob(j)
	if len(value) > c.limits.allowed.valueBytes {
		// It was accepted under a larger limit. Its user was told nothing yet, and asks a
		// new leader again.
		j.AskKept = true
		return
	}
	j.Asking = true
	when := []protocol.Condition{{Key: bookkeeping.JobPrefix + ref, Stamp: j.Stamp}}
	then := []protocol.Change{{Key: bookkeeping.JobPrefix + ref, Value: value}}
	c.lead(prioUser, when, then, func(o txnOutcome, r protocol.TxnResult) {
		j.Asking = false
		if o == txnApplied {
			j.Stamp, j.AskKept = r.Stamp, true
			c.endCancelled(j)
			return
		}
		j.AskAgain = c.at.Steady + 500*protocol.Millisecond
		if o == txnUnknown || o == txnRefused {
			c.restampJob(j) // an earlier try may have been applied late
		}
	})
}

// restampJob reads the stamp of a job's record after a write without an answer.
func (c *Controller) restampJob(j *bookkeeping.Job) {
	t := c.term
	j.Asking = true
	c.get(prioUser, bookkeeping.JobPrefix+j.Spec.Ref, func(e protocol.Entry, found, ok bool) {
		if c.term != t {
			return
		}
		j.Asking = false
		if found {
			j.Stamp = e.Stamp
		}
	})
}

// stopJob stops all attempts of a job that nobody has any use for.
func (c *Controller) stopJob(j *bookkeeping.Job) {
	for _, a := range j.On() {
		c.stop(a, 0)
	}
	c.term.dirty = true
}
