package controller

import (
	"net/http"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
)

const (
	// rolloutReplyTimeout is how long an operator waits for the state service.
	rolloutReplyTimeout = 1500 * protocol.Millisecond
	// forwardMargin is how much longer a controller waits that has forwarded an operator's
	// request.
	forwardMargin = 500 * protocol.Millisecond
)

var rolloutOps = map[protocol.UserOp]rollout.Op{
	protocol.OpRollout: rollout.Start, protocol.OpRollouts: rollout.List, protocol.OpRolloutShow: rollout.Show,
	protocol.OpRolloutPause: rollout.Pause, protocol.OpRolloutResume: rollout.Resume, protocol.OpRolloutRevert: rollout.Revert,
}

// onRolloutRequest handles an operator's request about roll-outs, wherever it came in.
func (rd *rolloutDriver) onRolloutRequest(e UserRequest) {
	if rd.settings == nil {
		rd.replyError(e.Reply, http.StatusNotFound, "roll-outs are off")
		return
	}
	r := rollout.Request{Op: rolloutOps[e.Op], Service: e.Ref}
	if e.Op == protocol.OpRollout {
		spec, err := protocol.ParseRollout(e.Body)
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

// checkSpec answers with an error if a roll-out's job can never run, and reports whether it
// can. All instances and the surge at once have to be within what the team may use.
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

// awaitReply keeps an operator waiting for the answer with the number that it returns, but not
// for longer than rolloutReplyTimeout.
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
