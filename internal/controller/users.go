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
	leaderAliveWindow = 1500 * protocol.Millisecond
	liveLeaderTimeout = 1900 * protocol.Millisecond
)

// onHealth tells the load balancer whether users should come here. A node that hears
// neither the state service nor any other controller can serve nobody, while others may:
// users keep their connections to it, each question is answered 503, and a job of which
// all questions end here is forgotten by that. While the state service is down for all
// the controllers hear each other, so an outage takes no node away from the balancer.
func (mb *membership) onHealth(e HealthzRequest) {
	if mb.isIsolatedFromAll() {
		mb.replyUnavailable(e.Reply, refusalIsolated)
		return
	}
	mb.reply(e.Reply, 200, []byte(`{}`), 0)
}

// isolationThreshold is how long a node has to hear nobody to be alone. Health checks come once
// a second and it takes two; users' patience is a minute.
const isolationThreshold = 4 * protocol.Second

func (mb *membership) isIsolatedFromAll() bool {
	at := mb.now.Steady
	return len(mb.platform.Peers) > 0 && at-max(mb.store.answeredAt, mb.startedAt) > isolationThreshold && at-max(mb.peerContactAt, mb.startedAt) > isolationThreshold
}

// onUserRequest handles a user's call, wherever it came in.
func (g *userGateway) onUserRequest(e UserRequest) {
	if e.Op >= protocol.OpConfig {
		g.config.onConfigRequest(e)
		return
	}
	if e.Op >= protocol.OpRollout {
		g.rollouts.onRolloutRequest(e)
		return
	}
	var spec *protocol.JobSpec
	if e.Op == protocol.OpSubmit {
		var err error
		if spec, err = protocol.ParseJob(e.Body); err != nil {
			g.reply(e.Reply, 400, protocol.ErrorBody(err.Error()), 0)
			return
		}
		e.Ref = spec.Ref
		if len(spec.DependsOn) > 0 && !g.features.featureEnabled(featuregate.ChainedJobs) {
			g.replyUnavailable(e.Reply, refusalFeatureDisabled)
			return
		}
	} else if !protocol.ValidRef(e.Ref) {
		// No such id can ever have been accepted.
		g.reply(e.Reply, 404, protocol.ErrorBody("no such job"), 0)
		return
	}
	if f, ok := g.directory.finishedJobs.find(e.Ref); ok {
		g.directory.replyFinishedJob(e.Reply, e.Ref, f)
		return
	}
	if g.election.mayActAsLeader() {
		switch e.Op {
		case protocol.OpSubmit:
			g.submissions.submitJob(e.Reply, spec)
		case protocol.OpQuery:
			g.queryJob(e.Reply, e.Ref)
		case protocol.OpCancel:
			g.term.jobs.cancelJob(e.Reply, e.Ref)
		}
		return
	}
	if g.election.role == RoleLeaseUncertain && e.Op == protocol.OpCancel && g.term.cluster.Job(e.Ref) != nil {
		// Nobody can be told now, but the tasks can end: a stop can do no harm.
		g.term.jobs.cancelJob(e.Reply, e.Ref)
		return
	}
	if e.Reply.Peer {
		g.reply(e.Reply, 0, nil, 0)
		return
	}
	g.forwardToLeader(e, spec)
}

func (d *jobDirectory) replyFinishedJob(to ReplyAddress, ref string, f finishedJob) {
	done := 0
	if f.phase == protocol.PhaseDone {
		done = f.tasks
	}
	d.reply(to, 200, protocol.JobStatusBody(ref, f.phase, done, 0), 0)
}

// forwardToLeader gives a user's call to the leader, or goes to the state service
// where it can't be reached.
func (g *userGateway) forwardToLeader(e UserRequest, spec *protocol.JobSpec) {
	g.forwardToLeaderSince(e, spec, g.now.Steady)
}

// forwardToLeaderSince does so for a call that came in at that time.
func (g *userGateway) forwardToLeaderSince(e UserRequest, spec *protocol.JobSpec, came micros) {
	epoch, began := g.election.leader.Epoch, g.now.Steady
	timeout := forwardTimeout
	if heard := max(g.membership.leaderContactAt, g.membership.leaderAnsweredAt); e.Op != protocol.OpQuery && heard > 0 && began-heard <= leaderAliveWindow {
		timeout = liveLeaderTimeout
	}
	// Most submissions leave connections for what can't wait.
	waits := e.Op == protocol.OpSubmit && !g.submissions.isLatencyCritical(spec)
	if waits && g.forwardedSubmits >= maxForwardedSubmits {
		g.onForwardFailed(e, spec, began-leaderAliveWindow)
		return
	}
	if waits {
		g.forwardedSubmits++
	}
	over := func() {
		if waits {
			g.forwardedSubmits--
		}
	}
	sent := g.callLeader(e, timeout, over, func(r CallResult) {
		unmade := r.notAttempted()
		if g.election.leader.Epoch == epoch && r.Status != 200 && !unmade && max(g.membership.leaderContactAt, g.membership.leaderAnsweredAt) < began {
			g.election.leaderSuspectUntil = g.now.Steady + 2*protocol.Second
		}
		if g.election.mayActAsLeader() {
			g.onUserRequest(e) // this node has come to lead meanwhile
			return
		}
		if unmade && !waits && e.Op != protocol.OpQuery && g.now.Steady-came < connectionWait {
			g.after(connectionWait/8, func() { g.retryForward(e, spec, came) })
			return
		}
		if since := began; g.election.leader.Epoch == epoch {
			if unmade {
				since -= leaderAliveWindow
			}
			g.onForwardFailed(e, spec, since)
			return
		}
		g.serveWithoutLeader(e, spec)
	})
	if !sent {
		over()
		g.serveWithoutLeader(e, spec)
	}
}

// onForwardFailed serves a call that the leader has not taken. A submission has to come again
// if the leader has answered this node since: it is there, and has more to write than it can.
// What would be written from here besides only has the state service refuse the leader's
// launches.
func (g *userGateway) onForwardFailed(e UserRequest, spec *protocol.JobSpec, since micros) {
	if e.Op == protocol.OpSubmit && g.membership.leaderAnsweredAt > since {
		g.replyUnavailable(e.Reply, refusalSubmitRate)
		return
	}
	g.serveWithoutLeader(e, spec)
}

// retryForward tries a call once more that found no connection to the leader.
func (g *userGateway) retryForward(e UserRequest, spec *protocol.JobSpec, came micros) {
	if g.election.mayActAsLeader() {
		g.onUserRequest(e) // this node has come to lead meanwhile
		return
	}
	g.forwardToLeaderSince(e, spec, came)
}

// forwardLeaderOnly gives a call to the leader that came at a time and that nobody else can serve:
// operators' calls, about roll-outs and the configuration. It looks for a connection as what
// is pressing does: submissions may have all of them just then.
func (g *userGateway) forwardLeaderOnly(e UserRequest, timeout, came micros) {
	if g.election.mayActAsLeader() {
		g.onUserRequest(e) // this node has come to lead meanwhile
		return
	}
	refuse := func(r CallResult) {
		if r.notAttempted() && g.now.Steady-came < connectionWait {
			g.after(connectionWait/8, func() { g.forwardLeaderOnly(e, timeout, came) })
			return
		}
		g.replyUnavailable(e.Reply, refusalNoLeader)
	}
	if !g.callLeader(e, timeout, func() {}, refuse) {
		refuse(CallResult{})
	}
}

// MaxPeerCalls is how many calls to another controller a node makes at once, maxForwardedSubmits how
// many of them may be submissions that can wait. What can't looks for a connection for
// connectionWait: those of users' questions are free again at any moment.
const (
	MaxPeerCalls        = 24
	maxForwardedSubmits = MaxPeerCalls / 2
	connectionWait      = 400 * protocol.Millisecond
)

// callLeader gives a call to the leader, whose answer goes to whoever made the call, and
// reports whether there is a leader to give it to. over is called when the call is over,
// otherwise after it when the leader did not serve it.
func (g *userGateway) callLeader(e UserRequest, timeout micros, over func(), otherwise func(CallResult)) bool {
	addr := g.membership.peerAddress(g.election.leader.Controller)
	if addr == "" || g.now.Steady < g.election.leaderSuspectUntil || isLeaderRole(g.election.role) {
		return false
	}
	frame := protocol.AppendPeer(nil, &protocol.PeerMessage{Kind: protocol.PeerUserRequest, Op: e.Op, Ref: e.Ref, From: g.platform.ControllerName, Body: e.Body})
	g.callAddress(ToPeer, "", addr, "", frame, timeout, func(r CallResult) {
		over()
		if m := g.membership.parsePeerResponse(r); m != nil && m.Status != 0 {
			g.membership.leaderAnsweredAt = g.now.Steady
			g.reply(e.Reply, int(m.Status), m.Body, m.RetryAfter)
			return
		}
		g.election.recheckLeader()
		otherwise(r)
	})
	return true
}

// serveWithoutLeader serves a call from the state service alone. What its rate has no
// room for is refused at once: waiting in line would only make the others late.
func (g *userGateway) serveWithoutLeader(e UserRequest, spec *protocol.JobSpec) {
	nodes := len(g.platform.Peers) + 1
	room, under := g.platform.StateRequestRate*ReadShare(nodes, false)/2, g.directQueries
	if e.Op == protocol.OpSubmit {
		room, under = g.store.limits.writeRate*WriteShare(nodes, false), g.directSubmits
	}
	if e.Op != protocol.OpCancel && float64(under) >= max(2, room*maxDirectDelay.Seconds()) {
		g.replyUnavailable(e.Reply, refusalNoLeader)
		return
	}
	switch e.Op {
	case protocol.OpCancel:
		// Only the leader can stop tasks; the user comes again.
		g.replyUnavailable(e.Reply, refusalNoLeader)
	case protocol.OpQuery:
		g.directQueries++
		g.directory.replyFromStateService(e.Reply, e.Ref, func() { g.directQueries-- })
	case protocol.OpSubmit:
		g.directSubmits++
		g.submissions.submitWithoutLeader(e.Reply, spec, func() { g.directSubmits-- })
	}
}

// maxDirectDelay is how long a call may wait for the state service's rate.
const maxDirectDelay = 400 * protocol.Millisecond

// replyFromStateService answers a query from the state service. The live record is read
// first: a job that ends meanwhile is then found among the final ones.
func (d *jobDirectory) replyFromStateService(to ReplyAddress, ref string, over func()) {
	// Users poll again soon, and wait for a submission.
	d.findJob(priorityUrgent, ref, func(j *state.Job, f finishedJob, found, ok bool) {
		over()
		switch {
		case !ok:
			d.replyUnavailable(to, refusalStateService)
		case !found:
			d.reply(to, 404, protocol.ErrorBody("no such job"), 0)
		case j != nil:
			d.replyActiveJob(to, j)
		default:
			d.replyFinishedJob(to, ref, f)
		}
	})
}

// find looks for a job in the state service. What it finds live a leader takes into its
// book, if it was read in this term: an answer that was on its way while another node led
// says nothing of what that one ended. What this node ended itself observeJobRecord knows.
func (d *jobDirectory) findJob(prio uint8, ref string, done func(j *state.Job, f finishedJob, found, ok bool)) {
	t := d.term
	d.store.getKey(prio, state.JobPrefix+ref, func(e protocol.Entry, found, ok bool) {
		if !ok {
			done(nil, finishedJob{}, false, false)
			return
		}
		if found {
			j, err := state.DecodeJob(e.Value)
			if err != nil {
				d.logMalformed("state", err)
				done(nil, finishedJob{}, false, false)
				return
			}
			j.Revision = e.Revision
			if d.election.mayActAsLeader() && d.term == t {
				if known := d.term.jobs.observeJobRecord(e); known != nil {
					j = known
				}
			}
			done(j, finishedJob{}, true, true)
			return
		}
		d.store.getKey(prio, state.FinalPrefix+ref, func(e protocol.Entry, found, ok bool) {
			if !ok || !found {
				done(nil, finishedJob{}, false, ok)
				return
			}
			p, n, err := state.DecodeFinal(e.Value)
			if err != nil {
				d.logMalformed("state", err)
				done(nil, finishedJob{}, false, false)
				return
			}
			f := finishedJob{p, n}
			d.cacheFinishedJob(ref, f)
			done(nil, f, true, true)
		})
	})
}

// jobStatusBody says how a job of the book stands.
func (d *jobDirectory) jobStatusBody(j *state.Job) []byte {
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

func (g *userGateway) queryJob(to ReplyAddress, ref string) {
	if j := g.term.cluster.Job(ref); j != nil && !isOutcomeUncertain(j) {
		g.reply(to, 200, g.directory.jobStatusBody(j), 0)
		return
	}
	if g.lookupLimitReached() {
		g.replyUnavailable(to, refusalLookupLimit)
		return
	}
	g.leaderLookups++
	g.directory.replyFromStateService(to, ref, func() { g.leaderLookups-- })
}

// lookupLimitReached reports whether this leader looks up as much for users as it may. Lookups
// come second to what the leader has to write and read itself: a storm of questions about
// jobs that nobody knows would use up the rate.
func (g *userGateway) lookupLimitReached() bool {
	return float64(g.leaderLookups) >= max(4, g.platform.StateRequestRate*ReadShare(len(g.platform.Peers)+1, true)/2*maxDirectDelay.Seconds())
}
