package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// This file contains what a heartbeat proves whose worker has not seen this leader's epoch. It may
// be a delayed copy that is minutes old, and a new leader can't order it against the launches that
// earlier leaders sent. So it proves only what stays true.

// isProvenByEarlierEpoch reports whether the state of a task in a heartbeat of an earlier epoch can
// be relied on. a is the attempt of that name on the host, nil if there is none.
//
// An exit is not proven if the attempt may have been launched again under the same name since. The
// first heartbeat of this epoch proves it, since from then on the worker drops the commands of
// earlier leaders.
//
// Every attempt that may be on a host is in a record, unless the previous leader did not record
// launches. One that is in none ended after the worker sent the heartbeat; if it is on the host
// nevertheless, the next heartbeat lists it again. Only the result of a completed task is used.
func (ag *agents) isProvenByEarlierEpoch(a *state.Attempt, task protocol.TaskStatus) bool {
	exited := task.State == protocol.TaskExited
	if a != nil {
		return !exited || a.IsLaunchedOnce()
	}
	if !exited {
		return ag.launchesUnrecorded
	}
	return task.Reason == protocol.ExitDone && ag.cluster.Job(task.Job).LaunchesNamesOnce()
}

// observeUnprovenTask handles a task whose state in a heartbeat of an earlier epoch can't be relied
// on. The completion of a gang is final whenever it was reported, but the attempt may still be on
// the host.
func (ag *agents) observeUnprovenTask(hb *protocol.Heartbeat, task protocol.TaskStatus) {
	if task.State != protocol.TaskExited {
		return
	}
	ag.log.Debug("exit is not proven by a heartbeat of an earlier epoch", "task", task.String(), "host", hb.Host,
		"reason", string(task.Reason), "agent_epoch", hb.AgentEpoch, "sequence", hb.Sequence, "seen_epoch", hb.SeenEpoch)
	j := ag.cluster.Job(task.Job)
	if task.Reason != protocol.ExitDone || j == nil || j.Spec.Kind != protocol.Gang || j.State != state.JobActive {
		return
	}
	ag.completeGang(j)
	ag.jobs.finishIfComplete(j)
	ag.cycleNeeded = true
}

// loseEarlierAttempts marks the attempts of earlier leaders as gone if a heartbeat of an earlier
// epoch shows that the lease has expired under which they ran. A worker that never receives this
// leader's answers sends no heartbeat of this epoch, which would show what has ended. But it sends a
// heartbeat only once it no longer waits for the answer to the one before, and an answer that it had
// accepted would have shown it this epoch. So it has accepted none.
func (ag *agents) loseEarlierAttempts(h *state.Host, hb *protocol.Heartbeat, direct bool) {
	if direct || h.Reconciled || ag.hasSeenTerm(hb) || h.Empty() || !ag.peers.earlierLeaseExpired(h) {
		return
	}
	ag.loseAttempts(h, "lease of an earlier epoch expired", func(a *state.Attempt) bool { return a.Adopted && a.State.MayRun() })
}
