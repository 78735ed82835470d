package controller

import (
	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
)

// userGateway takes users' and operators' requests: it serves them as the leader, forwards
// them to it, or serves them from the state service alone.
type userGateway struct {
	*environment
	config      *configManager
	directory   *jobDirectory
	election    *election
	features    *featureManager
	membership  *membership
	rollouts    *rolloutDriver
	store       *stateStore
	submissions *submissions

	forwardedSubmits int // submissions on their way to the leader, of those that can wait
	directQueries    int // queries being served from the state service
	directSubmits    int // submissions being served from the state service
	leaderLookups    int // lookups that this leader makes for users
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
