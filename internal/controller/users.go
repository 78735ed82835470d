package controller

import (
	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
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
	return len(c.platform.Peers) > 0 && at-max(c.stateHeard, c.born) > aloneAfter && at-max(c.siblingHeard, c.born) > aloneAfter
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
		if len(spec.DependsOn) > 0 && !c.allows(featuregate.ChainedJobs) {
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
	if f.phase == protocol.PhaseDone {
		done = f.tasks
	}
	c.reply(to, 200, protocol.JobStatusBody(ref, f.phase, done, 0), 0)
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
	addr := c.addressOf(c.leader.Controller)
	if addr == "" || c.at.Steady < c.suspect || leads(c.role) {
		return false
	}
	frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerUserRequest, Op: e.Op, Ref: e.Ref, From: c.platform.ControllerName, Body: e.Body})
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
	nodes := len(c.platform.Peers) + 1
	room, under := c.platform.StateRequestRate*ReadShare(nodes, false)/2, c.direct
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
	c.find(prioUrgent, ref, func(j *state.Job, f final, found, ok bool) {
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
func (c *Controller) find(prio uint8, ref string, done func(j *state.Job, f final, found, ok bool)) {
	t := c.term
	c.get(prio, state.JobPrefix+ref, func(e protocol.Entry, found, ok bool) {
		if !ok {
			done(nil, final{}, false, false)
			return
		}
		if found {
			j, err := state.DecodeJob(e.Value)
			if err != nil {
				c.malformed("state", err)
				done(nil, final{}, false, false)
				return
			}
			j.Revision = e.Revision
			if c.mayStart() && c.term == t {
				if known := c.learnJob(e); known != nil {
					j = known
				}
			}
			done(j, final{}, true, true)
			return
		}
		c.get(prio, state.FinalPrefix+ref, func(e protocol.Entry, found, ok bool) {
			if !ok || !found {
				done(nil, final{}, false, ok)
				return
			}
			p, n, err := state.DecodeFinal(e.Value)
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

// jobAnswer says how a job of the book stands.
func (c *Controller) jobAnswer(j *state.Job) []byte {
	phase := protocol.PhaseQueued
	running := j.RunningTasks
	switch {
	case j.DependencyCancelled:
		return protocol.JobStatusBody(j.Spec.Ref, protocol.PhaseCancelled, 0, 0)
	case j.State == state.JobBlocked:
		return protocol.WaitingJobStatusBody(j.Spec.Ref, j.UnmetDependencies)
	}
	switch j.State {
	case state.JobDone:
		phase, running = protocol.PhaseDone, 0
	case state.JobCancelledLegacy, state.JobClosed:
		phase, running = protocol.PhaseCancelled, 0
	default:
		if running > 0 || j.State == state.JobFinishing {
			phase = protocol.PhaseRunning
		}
	}
	return protocol.JobStatusBody(j.Spec.Ref, phase, j.CompletedTasks, running)
}

// ending reports whether a job's final record is on its way. It may be durable before its
// writer knows, for seconds if the answer is lost and the write is carried out late; a node
// that finds it then tells its user, who must not be told something older by the leader.
// So until the outcome is known the leader, too, answers from the state service.
// It is the same for a job that awaits others while one of their records is on its way, or
// not read yet. A doomed job is cancelled whatever becomes of its own record.
func ending(j *state.Job) bool {
	return !j.DependencyCancelled && (j.State == state.JobFinishing || j.FinalWriteInFlight || j.DependencyUncertain)
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
	return float64(c.looking) >= max(4, c.platform.StateRequestRate*ReadShare(len(c.platform.Peers)+1, true)/2*directWait.Seconds())
}
