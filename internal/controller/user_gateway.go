package controller

import (
	"errors"
	"net/http"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/statestore"
)

// userGateway handles users' and operators' requests: it serves them as the leader, forwards them
// to the leader, or serves them from the state service.
type userGateway struct {
	*environment
	config      *configManager
	directory   *jobDirectory
	election    *election
	features    *featureManager
	membership  *membership
	rollouts    *rolloutDriver
	store       *statestore.Client
	submissions *submissions

	forwardedSubmits int // submissions that can wait and are being forwarded to the leader
	directQueries    int // queries being served from the state service
	directSubmits    int // submissions being served from the state service
	leaderLookups    int // lookups in flight that this leader makes for users
}

const (
	// maxDirectDelay is how long a request may be delayed by the state service's rate.
	maxDirectDelay    = 400 * protocol.Millisecond
	minDirectRequests = 2
	minLeaderLookups  = 4
	// userRateShare is the share of this controller's request rate that users' queries may use.
	userRateShare = 0.5
)

// onUserRequest handles a user's or an operator's request, received directly or forwarded by
// another controller.
func (g *userGateway) onUserRequest(e UserRequest) {
	switch {
	case e.Op >= protocol.OpConfig:
		g.config.onConfigRequest(e)
	case e.Op >= protocol.OpRollout:
		g.rollouts.onRolloutRequest(e)
	case e.Op == protocol.OpSubmit:
		g.onSubmit(e)
	case !protocol.ValidRef(e.Ref):
		// A job with an invalid ID can't have been accepted.
		g.replyError(e.Reply, http.StatusNotFound, noSuchJob)
	default:
		g.route(e, nil)
	}
}

// onSubmit validates and routes a submission.
func (g *userGateway) onSubmit(e UserRequest) {
	spec, err := e.content.job, e.content.err
	if err != nil && !errors.Is(err, protocol.ErrNotUTF8) {
		g.rejectSubmission(e.Reply, "", rejectionOfMalformed(err))
		return
	}
	if len(spec.DependsOn) > 0 && !g.features.isEnabled(featuregate.ChainedJobs) {
		g.refuse(e.Reply, refusalFeatureDisabled)
		return
	}
	e.Ref = spec.Ref
	if spec.NotUTF8 && !e.Reply.Peer && !g.election.mayActAsLeader() {
		g.rejectUnknownNotUTF8(e, spec)
		return
	}
	g.route(e, spec)
}

// rejectUnknownNotUTF8 rejects a submission that is not UTF-8 unless its job is known. It does not ask
// the leader, which may be of an earlier version and refuse it again and again.
func (g *userGateway) rejectUnknownNotUTF8(e UserRequest, spec *protocol.JobSpec) {
	if !g.mayLookUp() {
		g.refuse(e.Reply, refusalLookupLimit)
		return
	}
	g.directQueries++
	g.directory.findJob(priorityUser, spec.Ref, func(_ jobLookup, err error) {
		g.directQueries--
		if errors.Is(err, errJobNotFound) {
			g.rejectSubmission(e.Reply, spec.Ref, rejectionFor(protocol.ErrNotUTF8))
			return
		}
		g.route(e, spec)
	})
}

// mayLookUp reports whether the rate of the state service allows this controller another lookup for a
// user without the leader.
func (g *userGateway) mayLookUp() bool {
	rate := g.platform.StateRequestRate * ReadShare(g.controllers(), false) * userRateShare
	return hasCapacity(g.directQueries, minDirectRequests, rate)
}

// route serves a request about a job as the leader, or forwards it to the leader. spec is the job
// of a submission, nil for other requests.
func (g *userGateway) route(e UserRequest, spec *protocol.JobSpec) {
	if f, finished := g.directory.finishedJobs.find(e.Ref); finished {
		g.directory.replyFinishedJob(e.Reply, e.Ref, f)
		return
	}
	switch {
	case g.election.mayActAsLeader():
		g.serveAsLeader(e, spec)
	case g.election.role == RoleLeaseUncertain && e.Op == protocol.OpCancel && g.term.cluster.Job(e.Ref) != nil:
		// The cancellation can't be confirmed while the lease is uncertain, but the tasks can be
		// stopped, which is always safe.
		g.term.jobs.cancelJob(e.Reply, e.Ref)
	case e.Reply.Peer:
		g.replyNotLeader(e.Reply)
	default:
		g.forwardToLeader(e, spec, g.now.Steady)
	}
}

func (g *userGateway) serveAsLeader(e UserRequest, spec *protocol.JobSpec) {
	switch e.Op {
	case protocol.OpSubmit:
		g.submissions.submit(e.Reply, spec)
	case protocol.OpQuery:
		g.queryJob(e.Reply, e.Ref)
	case protocol.OpCancel:
		g.term.jobs.cancelJob(e.Reply, e.Ref)
	default: // handled by other components
	}
}

// serveWithoutLeader serves a request from the state service. Requests above its rate are refused
// at once, since queueing them would only delay the others.
func (g *userGateway) serveWithoutLeader(e UserRequest, spec *protocol.JobSpec) {
	switch e.Op {
	case protocol.OpQuery:
		if !g.mayLookUp() {
			g.refuse(e.Reply, refusalNoLeader)
			return
		}
		g.directQueries++
		g.directory.replyFromStateService(e.Reply, e.Ref, func() { g.directQueries-- })
	case protocol.OpSubmit:
		rate := g.store.WriteRate() * WriteShare(g.controllers(), false)
		if !hasCapacity(g.directSubmits, minDirectRequests, rate) {
			g.refuse(e.Reply, refusalNoLeader)
			return
		}
		g.directSubmits++
		g.submissions.submitWithoutLeader(submission{e.Reply, spec, func() { g.directSubmits-- }})
	default:
		// Only the leader can stop tasks, so the user has to repeat a cancellation.
		g.refuse(e.Reply, refusalNoLeader)
	}
}

// hasCapacity reports whether a rate allows another request within maxDirectDelay, or fewer than
// minInFlight requests are in flight.
func hasCapacity(inFlight, minInFlight int, rate float64) bool {
	return float64(inFlight) < max(float64(minInFlight), rate*maxDirectDelay.Seconds())
}

// queryJob answers a query as the leader.
func (g *userGateway) queryJob(to ReplyAddress, ref string) {
	if j := g.term.cluster.Job(ref); j != nil && !isOutcomeUncertain(j) {
		g.directory.replyTracked(to, j)
		return
	}
	if g.lookupLimitReached() {
		g.refuse(to, refusalLookupLimit)
		return
	}
	g.leaderLookups++
	g.directory.replyFromStateService(to, ref, func() { g.leaderLookups-- })
}

// lookupLimitReached reports whether this leader makes as many lookups for users as it may. The
// leader's own reads and writes have precedence over lookups: many queries for unknown jobs would
// otherwise use up the rate.
func (g *userGateway) lookupLimitReached() bool {
	rate := g.platform.StateRequestRate * ReadShare(g.controllers(), true) * userRateShare
	return !hasCapacity(g.leaderLookups, minLeaderLookups, rate)
}
