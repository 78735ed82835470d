package controller

import (
	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// forwardTimeout is how long the leader has to answer a passed-on call before
// the node goes to the state service itself.
const forwardTimeout = 600 * protocol.Millisecond

// A leader that was heard within leaderAliveWindow has liveLeaderTimeout for a submission or a
// cancellation, which it may keep for a second and a half itself. With less, a leader
// with a full second of submissions to write counted as dead: users were sent to the
// state service, which was what it waited for.
const (
	leaderAliveWindow    = 1500 * protocol.Millisecond
	liveLeaderTimeout = 1900 * protocol.Millisecond
)

// onHealth tells the load balancer whether users should come here. A node that hears
// neither the state service nor any other controller can serve nobody, while others may:
// users keep their connections to it, each question is answered 503, and a job of which
// all questions end here is forgotten by that. While the state service is down for all
// the controllers hear each other, so an outage takes no node away from the balancer.
func (c *Controller) onHealth(e HealthzRequest) {
	if c.isIsolatedFromAll() {
		c.replyUnavailable(e.Reply, refusalIsolated)
		return
	}
	c.reply(e.Reply, 200, []byte(`{}`), 0)
}

// isolationThreshold is how long a node has to hear nobody to be alone. Health checks come once
// a second and it takes two; users' patience is a minute.
const isolationThreshold = 4 * protocol.Second

func (c *Controller) isIsolatedFromAll() bool {
	at := c.now.Steady
	return len(c.platform.Peers) > 0 && at-max(c.stateServiceAnsweredAt, c.startedAt) > isolationThreshold && at-max(c.peerContactAt, c.startedAt) > isolationThreshold
}

// onUserRequest handles a user's call, wherever it came in.
func (c *Controller) onUserRequest(e UserRequest) {
	if e.Op >= protocol.OpConfig {
		c.onConfigRequest(e)
		return
	}
	if e.Op >= protocol.OpRollout {
		c.onRolloutRequest(e)
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
		if len(spec.DependsOn) > 0 && !c.featureEnabled(featuregate.ChainedJobs) {
			c.replyUnavailable(e.Reply, refusalFeatureDisabled)
			return
		}
	} else if !protocol.ValidRef(e.Ref) {
		// No such id can ever have been accepted.
		c.reply(e.Reply, 404, protocol.ErrorBody("no such job"), 0)
		return
	}
	if f, ok := c.finishedJobs.find(e.Ref); ok {
		c.replyFinishedJob(e.Reply, e.Ref, f)
		return
	}
	if c.mayActAsLeader() {
		switch e.Op {
		case protocol.OpSubmit:
			c.submitJob(e.Reply, spec)
		case protocol.OpQuery:
			c.queryJob(e.Reply, e.Ref)
		case protocol.OpCancel:
			c.cancelJob(e.Reply, e.Ref)
		}
		return
	}
	if c.role == RoleLeaseUncertain && e.Op == protocol.OpCancel && c.term.cluster.Job(e.Ref) != nil {
		// Nobody can be told now, but the tasks can end: a stop can do no harm.
		c.cancelJob(e.Reply, e.Ref)
		return
	}
	if e.Reply.Peer {
		c.reply(e.Reply, 0, nil, 0)
		return
	}
	c.forwardToLeader(e, spec)
}

func (c *Controller) replyFinishedJob(to ReplyAddress, ref string, f finishedJob) {
	done := 0
	if f.phase == protocol.PhaseDone {
		done = f.tasks
	}
	c.reply(to, 200, protocol.JobStatusBody(ref, f.phase, done, 0), 0)
}

// forwardToLeader gives a user's call to the leader, or goes to the state service
// where it can't be reached.
func (c *Controller) forwardToLeader(e UserRequest, spec *protocol.JobSpec) { c.forwardToLeaderSince(e, spec, c.now.Steady) }

// forwardToLeaderSince does so for a call that came in at that time.
func (c *Controller) forwardToLeaderSince(e UserRequest, spec *protocol.JobSpec, came micros) {
	epoch, began := c.leader.Epoch, c.now.Steady
	timeout := forwardTimeout
	if heard := max(c.leaderContactAt, c.leaderAnsweredAt); e.Op != protocol.OpQuery && heard > 0 && began-heard <= leaderAliveWindow {
		timeout = liveLeaderTimeout
	}
	// Most submissions leave connections for what can't wait.
	waits := e.Op == protocol.OpSubmit && !c.isLatencyCritical(spec)
	if waits && c.forwardedSubmits >= maxForwardedSubmits {
		c.onForwardFailed(e, spec, began-leaderAliveWindow)
		return
	}
	if waits {
		c.forwardedSubmits++
	}
	over := func() {
		if waits {
			c.forwardedSubmits--
		}
	}
	sent := c.callLeader(e, timeout, over, func(r CallResult) {
		unmade := r.notAttempted()
		if c.leader.Epoch == epoch && r.Status != 200 && !unmade && max(c.leaderContactAt, c.leaderAnsweredAt) < began {
			c.leaderSuspectUntil = c.now.Steady + 2*protocol.Second
		}
		if c.mayActAsLeader() {
			c.onUserRequest(e) // this node has come to lead meanwhile
			return
		}
		if unmade && !waits && e.Op != protocol.OpQuery && c.now.Steady-came < connectionWait {
			c.after(connectionWait/8, func() { c.retryForward(e, spec, came) })
			return
		}
		if since := began; c.leader.Epoch == epoch {
			if unmade {
				since -= leaderAliveWindow
			}
			c.onForwardFailed(e, spec, since)
			return
		}
		c.serveWithoutLeader(e, spec)
	})
	if !sent {
		over()
		c.serveWithoutLeader(e, spec)
	}
}

// onForwardFailed serves a call that the leader has not taken. A submission has to come again
// if the leader has answered this node since: it is there, and has more to write than it can.
// What would be written from here besides only has the state service refuse the leader's
// launches.
func (c *Controller) onForwardFailed(e UserRequest, spec *protocol.JobSpec, since micros) {
	if e.Op == protocol.OpSubmit && c.leaderAnsweredAt > since {
		c.replyUnavailable(e.Reply, refusalSubmitRate)
		return
	}
	c.serveWithoutLeader(e, spec)
}

// retryForward tries a call once more that found no connection to the leader.
func (c *Controller) retryForward(e UserRequest, spec *protocol.JobSpec, came micros) {
	if c.mayActAsLeader() {
		c.onUserRequest(e) // this node has come to lead meanwhile
		return
	}
	c.forwardToLeaderSince(e, spec, came)
}

// forwardLeaderOnly gives a call to the leader that came at a time and that nobody else can serve:
// operators' calls, about roll-outs and the configuration. It looks for a connection as what
// is pressing does: submissions may have all of them just then.
func (c *Controller) forwardLeaderOnly(e UserRequest, timeout, came micros) {
	if c.mayActAsLeader() {
		c.onUserRequest(e) // this node has come to lead meanwhile
		return
	}
	refuse := func(r CallResult) {
		if r.notAttempted() && c.now.Steady-came < connectionWait {
			c.after(connectionWait/8, func() { c.forwardLeaderOnly(e, timeout, came) })
			return
		}
		c.replyUnavailable(e.Reply, refusalNoLeader)
	}
	if !c.callLeader(e, timeout, func() {}, refuse) {
		refuse(CallResult{})
	}
}

// MaxPeerCalls is how many calls to another controller a node makes at once, maxForwardedSubmits how
// many of them may be submissions that can wait. What can't looks for a connection for
// connectionWait: those of users' questions are free again at any moment.
const (
	MaxPeerCalls      = 24
	maxForwardedSubmits     = MaxPeerCalls / 2
	connectionWait = 400 * protocol.Millisecond
)

// callLeader gives a call to the leader, whose answer goes to whoever made the call, and
// reports whether there is a leader to give it to. over is called when the call is over,
// otherwise after it when the leader did not serve it.
func (c *Controller) callLeader(e UserRequest, timeout micros, over func(), otherwise func(CallResult)) bool {
	addr := c.peerAddress(c.leader.Controller)
	if addr == "" || c.now.Steady < c.leaderSuspectUntil || isLeaderRole(c.role) {
		return false
	}
	frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerUserRequest, Op: e.Op, Ref: e.Ref, From: c.platform.ControllerName, Body: e.Body})
	c.callAddress(ToPeer, "", addr, "", frame, timeout, func(r CallResult) {
		over()
		if m := c.parsePeerResponse(r); m != nil && m.Status != 0 {
			c.leaderAnsweredAt = c.now.Steady
			c.reply(e.Reply, int(m.Status), m.Body, m.RetryAfter)
			return
		}
		c.recheckLeader()
		otherwise(r)
	})
	return true
}

// serveWithoutLeader serves a call from the state service alone. What its rate has no
// room for is refused at once: waiting in line would only make the others late.
func (c *Controller) serveWithoutLeader(e UserRequest, spec *protocol.JobSpec) {
	nodes := len(c.platform.Peers) + 1
	room, under := c.platform.StateRequestRate*ReadShare(nodes, false)/2, c.directQueries
	if e.Op == protocol.OpSubmit {
		room, under = c.stateLimits.writeRate*WriteShare(nodes, false), c.directSubmits
	}
	if e.Op != protocol.OpCancel && float64(under) >= max(2, room*maxDirectDelay.Seconds()) {
		c.replyUnavailable(e.Reply, refusalNoLeader)
		return
	}
	switch e.Op {
	case protocol.OpCancel:
		// Only the leader can stop tasks; the user comes again.
		c.replyUnavailable(e.Reply, refusalNoLeader)
	case protocol.OpQuery:
		c.directQueries++
		c.replyFromStateService(e.Reply, e.Ref, func() { c.directQueries-- })
	case protocol.OpSubmit:
		c.directSubmits++
		c.submitWithoutLeader(e.Reply, spec, func() { c.directSubmits-- })
	}
}

// maxDirectDelay is how long a call may wait for the state service's rate.
const maxDirectDelay = 400 * protocol.Millisecond

// replyFromStateService answers a query from the state service. The live record is read
// first: a job that ends meanwhile is then found among the final ones.
func (c *Controller) replyFromStateService(to ReplyAddress, ref string, over func()) {
	// Users poll again soon, and wait for a submission.
	c.findJob(priorityUrgent, ref, func(j *state.Job, f finishedJob, found, ok bool) {
		over()
		switch {
		case !ok:
			c.replyUnavailable(to, refusalStateService)
		case !found:
			c.reply(to, 404, protocol.ErrorBody("no such job"), 0)
		case j != nil:
			c.replyActiveJob(to, j)
		default:
			c.replyFinishedJob(to, ref, f)
		}
	})
}

// find looks for a job in the state service. What it finds live a leader takes into its
// book, if it was read in this term: an answer that was on its way while another node led
// says nothing of what that one ended. What this node ended itself observeJobRecord knows.
func (c *Controller) findJob(prio uint8, ref string, done func(j *state.Job, f finishedJob, found, ok bool)) {
	t := c.term
	c.getKey(prio, state.JobPrefix+ref, func(e protocol.Entry, found, ok bool) {
		if !ok {
			done(nil, finishedJob{}, false, false)
			return
		}
		if found {
			j, err := state.DecodeJob(e.Value)
			if err != nil {
				c.logMalformed("state", err)
				done(nil, finishedJob{}, false, false)
				return
			}
			j.Revision = e.Revision
			if c.mayActAsLeader() && c.term == t {
				if known := c.observeJobRecord(e); known != nil {
					j = known
				}
			}
			done(j, finishedJob{}, true, true)
			return
		}
		c.getKey(prio, state.FinalPrefix+ref, func(e protocol.Entry, found, ok bool) {
			if !ok || !found {
				done(nil, finishedJob{}, false, ok)
				return
			}
			p, n, err := state.DecodeFinal(e.Value)
			if err != nil {
				c.logMalformed("state", err)
				done(nil, finishedJob{}, false, false)
				return
			}
			f := finishedJob{p, n}
			c.cacheFinishedJob(ref, f)
			done(nil, f, true, true)
		})
	})
}

// jobStatusBody says how a job of the book stands.
func (c *Controller) jobStatusBody(j *state.Job) []byte {
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

// isOutcomeUncertain reports whether a job's final record is on its way. It may be durable before its
// writer knows, for seconds if the answer is lost and the write is carried out late; a node
// that finds it then tells its user, who must not be told something older by the leader.
// So until the outcome is known the leader, too, answers from the state service.
// It is the same for a job that awaits others while one of their records is on its way, or
// not read yet. A doomed job is cancelled whatever becomes of its own record.
func isOutcomeUncertain(j *state.Job) bool {
	return !j.DependencyCancelled && (j.State == state.JobFinishing || j.FinalWriteInFlight || j.DependencyUncertain)
}

func (c *Controller) queryJob(to ReplyAddress, ref string) {
	if j := c.term.cluster.Job(ref); j != nil && !isOutcomeUncertain(j) {
		c.reply(to, 200, c.jobStatusBody(j), 0)
		return
	}
	if c.lookupLimitReached() {
		c.replyUnavailable(to, refusalLookupLimit)
		return
	}
	c.leaderLookups++
	c.replyFromStateService(to, ref, func() { c.leaderLookups-- })
}

// lookupLimitReached reports whether this leader looks up as much for users as it may. Lookups
// come second to what the leader has to write and read itself: a storm of questions about
// jobs that nobody knows would use up the rate.
func (c *Controller) lookupLimitReached() bool {
	return float64(c.leaderLookups) >= max(4, c.platform.StateRequestRate*ReadShare(len(c.platform.Peers)+1, true)/2*maxDirectDelay.Seconds())
}
