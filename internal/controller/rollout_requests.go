package controller

import (
	"net/http"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
)

const (
	// rolloutReplyTimeout is how long an operator's request may wait for the state service.
	rolloutReplyTimeout = 1500 * protocol.Millisecond
	// forwardMargin is how much longer than the leader a controller waits for the reply to an
	// operator's request that it has forwarded.
	forwardMargin = 500 * protocol.Millisecond
)

var rolloutOps = map[protocol.UserOp]rollout.Op{
	protocol.OpRollout: rollout.Start, protocol.OpRollouts: rollout.List, protocol.OpRolloutShow: rollout.Show,
	protocol.OpRolloutPause: rollout.Pause, protocol.OpRolloutResume: rollout.Resume, protocol.OpRolloutRevert: rollout.Revert,
}

// onRolloutRequest handles an operator's request about roll-outs, whether it comes from the
// operator or was forwarded by another controller.
func (rd *rolloutDriver) onRolloutRequest(e UserRequest) {
	if rd.settings == nil {
		rd.replyError(e.Reply, http.StatusNotFound, "roll-outs are off")
		return
	}
	r := rollout.Request{Op: rolloutOps[e.Op], Service: e.Ref}
	if e.Op == protocol.OpRollout {
		spec, err := e.content.rollout, e.content.err
		if err != nil {
			rd.replyError(e.Reply, http.StatusBadRequest, err.Error())
			return
		}
		r.Spec, r.Service = spec, spec.Service
	} else if r.Op != rollout.List && !protocol.ValidService(e.Ref) {
		rd.replyError(e.Reply, http.StatusNotFound, "no such service")
		return
	}
	switch {
	case rd.election.mayActAsLeader():
		rd.serveRequest(e.Reply, r)
	case e.Reply.Peer:
		rd.replyNotLeader(e.Reply)
	default:
		rd.users.forwardLeaderOnly(e, rolloutReplyTimeout+forwardMargin, rd.now.Steady)
	}
}

// serveRequest serves a request as the leader.
func (rd *rolloutDriver) serveRequest(to ReplyAddress, r rollout.Request) {
	if rd.term.rollouts.damaged[r.Service] {
		rd.replyError(to, http.StatusUnprocessableEntity, "the record of this service is damaged, see the leader's log")
		return
	}
	if r.Spec != nil && !rd.checkSpec(to, r.Spec) {
		return
	}
	r.To = rd.awaitReply(to)
	rd.step(r)
}

// checkSpec replies with an error and returns false if a roll-out's job can never run. The team's
// limit has to allow all instances and the surge at the same time.
func (rd *rolloutDriver) checkSpec(to ReplyAddress, spec *protocol.RolloutSpec) bool {
	if len(rd.catalog.types) == 0 {
		rd.refuse(to, refusalMachineTypes)
		return false
	}
	job := *spec.Job
	job.Kind, job.Tasks = protocol.Service, spec.Count+spec.MaxSurge
	if err := rd.submissions.validate(&job); err != nil {
		rd.replyError(to, http.StatusUnprocessableEntity, "job, with count and surge: "+err.Error())
		return false
	}
	return true
}

// awaitReply registers an operator's request that waits for its reply, and returns its call number.
// Without a reply within rolloutReplyTimeout the request is refused.
func (rd *rolloutDriver) awaitReply(to ReplyAddress) uint64 {
	rd.operatorCallSeq++
	call := rd.operatorCallSeq
	rd.operatorCalls[call] = to
	rd.after(rolloutReplyTimeout, func() {
		if to, ok := rd.operatorCalls[call]; ok {
			delete(rd.operatorCalls, call)
			rd.refuse(to, refusalStateService)
		}
	})
	return call
}
