package controller

import (
	"slices"

	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// onHeartbeat handles a worker's report. Only the leader answers with 200: a
// worker that gets a 200 it has to drop stays while its lease runs out.
func (wr *workerRouter) onHeartbeat(e WorkerHeartbeat) {
	r, err := protocol.ParseHeartbeat(e.Body)
	if err != nil {
		wr.logMalformed("worker", err)
		wr.reply(e.Reply, 400, protocol.ErrorBody(err.Error()), 0)
		return
	}
	switch wr.election.role {
	case RoleRecovering:
		// The epoch is ours already. The records are not read yet, so there
		// are no commands; the worker's lease is renewed and its next report
		// comes under the new epoch.
		if r.Token <= wr.election.lease.epoch && wr.now.Steady < wr.election.lease.validUntil {
			wr.reply(e.Reply, 200, protocol.AppendCommands(nil, wr.election.lease.epoch, 0, nil), 0)
			return
		}
		wr.replyUnavailable(e.Reply, refusalRecovering)
		return
	case RoleLeader, RoleLeaseUncertain:
	default:
		if e.Reply.Peer {
			wr.reply(e.Reply, 0, nil, 0) // this node does not lead
			return
		}
		if wr.membership.isIsolatedFromQuorum() && (r.Zone == wr.platform.Zone || !wr.membership.leaderExpectsOwnZoneOnly && wr.membership.mayAnswerZone(wr.platform.Zone, r.Zone)) && r.Token > 0 {
			// Cut off together with the worker: under the token that it knows its
			// tasks go on. It gets no commands.
			wr.membership.workerAnsweredAt = wr.now.Steady
			wr.reply(e.Reply, 200, protocol.AppendCommands(nil, r.Token, 0, nil), 0)
			return
		}
		wr.redirectOrForward(e, r)
		return
	}
	t := wr.term
	if r.Token > t.epoch {
		wr.election.stepDownSuperseded("a worker has seen a newer epoch")
		wr.reply(e.Reply, 421, protocol.LeaderBody(""), 0)
		return
	}
	if _, gone := t.releasedHosts[r.Host]; gone {
		wr.replyUnavailable(e.Reply, refusalHostReleased)
		return
	}
	h := t.cluster.Host(r.Host)
	if h == nil {
		h = state.NewHost(wr.now.Steady, r.Host, r.Type, r.Zone, r.Spot)
		h.Type = wr.catalog.byName[r.Type]
		h.Unverified, h.Addr = r.Token != t.epoch, r.Addr
		t.cluster.AddHost(h)
		wr.term.prober.queueProbe(h)
		wr.log.Debug("machine reports that was not rented in this term", "host", r.Host)
	}
	if h.IsStale(r) {
		// What it says is older than what is known: it was held up on the way,
		// or crossed the answer to a direct command. In the second case the
		// worker still waits, so it is answered, but the book stays as it is.
		// A worker's lease runs from when it sent what is answered, and that was before
		// the newer message was heard: a copy that comes again and again proves no more.
		if r.AgentEpoch == h.AgentEpoch {
			h.LeaseRenewedAt = max(h.LeaseRenewedAt, h.LastContact)
		}
		wr.reply(e.Reply, 200, protocol.AppendCommands(nil, t.epoch, 0, nil), 0)
		return
	}
	if !e.Reply.Peer {
		h.LeaderUnreachableAt, h.ForwardedAt = 0, 0
	} else {
		h.ForwardedAt = wr.now.Steady
		if e.ReturnedFromLeader {
			h.LeaderUnreachableAt = wr.now.Steady
		}
	}
	wr.term.agents.applyHeartbeat(h, r, false)
	cmds := wr.term.commands.heartbeatCommands(h)
	h.LeaseRenewedAt = max(h.LeaseRenewedAt, wr.now.Steady)
	h.RepliedAt = wr.now.Steady
	wr.reply(e.Reply, 200, protocol.AppendCommands(nil, t.epoch, 0, cmds), 0)
}

// applyHeartbeat brings the book to what a newer report says. direct tells that
// it answers a direct command.
func (ag *agents) applyHeartbeat(h *state.Host, r *protocol.Heartbeat, direct bool) {
	at := ag.now.Steady
	current := r.Token == ag.epoch
	if h.AgentEpoch > 0 && r.AgentEpoch > h.AgentEpoch {
		// The worker's lease expired: it has killed and forgotten everything.
		ag.loseAttemptsBefore(h, r.AgentEpoch)
	}
	if r.AgentEpoch > h.AgentEpoch && h.RepliedAt > 0 && at <= h.RepliedAt+ag.platform.WorkerLease {
		h.IneffectiveMessages = ineffectiveMessagesLimit // an answer since would have kept its lease
	}
	if direct {
		h.IneffectiveMessages = 0
	} else if h.HeartbeatAt = at; r.Token < ag.epoch && h.RepliedAt > 0 {
		h.IneffectiveMessages++ // it was answered under this epoch, and has not seen it
	}
	if r.AgentEpoch > h.AgentEpoch {
		// The lease of a session runs from its beginning, which may be now. Counted
		// from an answer to the session before, or from none, a task that was launched
		// by a direct call, of which the worker's reports don't get here, was gone
		// before it had begun, and was started elsewhere too.
		h.LeaseRenewedAt = max(h.LeaseRenewedAt, at)
	}
	if current {
		// It drops what an earlier leader may go on answering. Counted until that one has
		// certainly stopped, a host that fell silent after a change of leader held the room
		// shardOf what was on it for three minutes while the cloud could not release it.
		h.LeaseRenewedAt = min(h.LeaseRenewedAt, at)
	}
	h.AgentEpoch, h.Sequence, h.LastContact, h.ProbeFailed = r.AgentEpoch, r.Sequence, at, false
	h.Addr = r.Addr
	if h.Type == nil {
		h.Type, h.Stale = ag.catalog.byName[r.Type], true
	}
	if h.State == state.HostBooting || h.State == state.HostSilent {
		if h.State == state.HostBooting && h.Rented {
			// One that was there already says nothing of that: a fleet that is there from
			// the start taught that machines boot in no time.
			ag.estimates.observeBoot(h, at)
		}
		h.SetState(state.HostReady)
		ag.records.recordHost(h)
		ag.cycleNeeded = true
	}
	if r.Interrupted != h.Interrupted || r.Interrupted {
		if !h.Interrupted {
			ag.cycleNeeded = true
			ag.log.Info("machine will be taken", "host", h.Name, "in_ms", int64(r.InterruptedIn/protocol.Millisecond))
		}
		h.Interrupted, h.InterruptedAt = r.Interrupted, at+r.InterruptedIn
	}
	if (current || !h.FromRecord && !h.Unverified) && !h.Reconciled {
		// Nothing is ever launched on a host before it is recorded, so one that
		// was not holds nothing, whatever epoch it has seen. To wait for its next
		// report would have its room missing from the plans meanwhile, and more
		// machines rented in its place. One that is in no record and no list may be a
		// late copy's, of a machine that is gone: it is asked first.
		h.Reconciled = true
		ag.cycleNeeded = true
	}
	h.HeartbeatCount++
	missed := false
	for i := range r.Tasks {
		task := &r.Tasks[i]
		a := h.Find(task.AttemptName)
		if a == nil {
			if !current && !ag.launchesUnrecorded && !(task.State == protocol.TaskExited && task.Reason == protocol.ExitDone) {
				// Whatever may be on a host is in a record. This isn't: what says so is
				// older than the end of the attempt, a late copy of a report mostly. Taken
				// for true it held the task, or an old attempt of the whole gang, on a
				// machine that may be gone; an error counted once more. If it is there the
				// next report says so again. A result stays true.
				continue
			}
			a = ag.adoptAttempt(h, *task)
		}
		a.LastHeartbeat = h.HeartbeatCount
		if a.LaunchAgentEpoch == 0 {
			a.LaunchAgentEpoch = r.AgentEpoch // or an earlier one
		}
		if a.State == state.AttemptLaunched {
			h.IneffectiveMessages = 0 // it came
		}
		ag.observeAttempt(a, *task)
	}
	for _, a := range h.Attempts() {
		if a.LastHeartbeat == h.HeartbeatCount || a.State == state.AttemptAssigned {
			continue
		}
		if a.State == state.AttemptExited {
			ag.cluster.SetAttemptState(at, a, state.AttemptGone)
			continue
		}
		if !a.State.MayRun() {
			continue
		}
		if a.LaunchAgentEpoch == 0 && (current || direct) {
			// An earlier leader launched it, before this message was made.
			a.LaunchAgentEpoch = r.AgentEpoch
		}
		if !current {
			// A worker that has not seen this epoch may still get commands of
			// the one before: absence proves nothing yet.
			continue
		}
		if a.State == state.AttemptLaunched && !r.NewerThan(a.LaunchAgentEpoch, a.LaunchSequence) {
			continue
		}
		if a.LaunchUncertain {
			continue // the launch may still be on its way
		}
		if a.State == state.AttemptLaunched && a.LaunchedByHeartbeat && direct {
			// The answer with the launch and this message may have crossed.
			// Only the next report must come after it.
			continue
		}
		if a.State == state.AttemptLaunched && a.LaunchedByHeartbeat && !missed {
			missed = true
			h.IneffectiveMessages++
		}
		// The launch did not arrive, or the task is gone.
		ag.log.Debug("attempt is not on its host", "task", a.Name.TaskName.String(), "host", h.Name, "state", a.State.String())
		ag.onAttemptLost(a)
	}
	ag.updateIdleSince(h)
}

func (ag *agents) updateIdleSince(h *state.Host) {
	if ag.scheduler.hasRetainingWork(h) {
		h.IdleSince = ag.now.Steady
	}
}

// adoptAttempt takes an attempt that an earlier leader started into the book.
func (ag *agents) adoptAttempt(h *state.Host, task protocol.TaskStatus) *state.Attempt {
	j := ag.cluster.Job(task.Job)
	if j != nil && task.Index >= len(j.Tasks) {
		j = nil
	}
	if j != nil {
		ag.dependencies.onTaskLaunched(j)
	}
	a := ag.cluster.Attach(ag.now.Steady, j, h, task.AttemptName)
	a.Adopted = true
	if j != nil && j.Spec.Kind == protocol.Gang && task.State != protocol.TaskExited {
		j.GangAttempt = max(j.GangAttempt, task.Number)
	}
	if j != nil && a.Task().Current != a && task.State != protocol.TaskExited {
		on := ""
		if o := a.Task().Current; o != nil {
			on = o.Host.Name
		}
		ag.log.Error("task is on two hosts", "task", task.TaskName.String(), "host", h.Name, "other", on, "state", a.Task().State)
	}
	if j == nil || j.State != state.JobActive || a.Task().Current != a {
		a.StopRequested = true
		ag.commands.queueCommands(h)
	}
	if j != nil && task.State != protocol.TaskExited && a.Task().Current == a {
		ag.records.recordLaunch(a, ag.now.Steady) // a leader of form 1 did not
	}
	return a
}

var attemptStates = map[protocol.TaskState]state.AttemptState{
	protocol.TaskFetching: state.AttemptFetching, protocol.TaskWaiting: state.AttemptWaiting,
	protocol.TaskRunning: state.AttemptRunning, protocol.TaskCheckpointing: state.AttemptCheckpointing,
	protocol.TaskExited: state.AttemptExited,
}

// observeAttempt takes what a report says of one attempt.
func (ag *agents) observeAttempt(a *state.Attempt, task protocol.TaskStatus) {
	at := ag.now.Steady
	to := attemptStates[task.State]
	if a.State == state.AttemptExited || a.State == to {
		return
	}
	from := a.State
	j := a.Job
	if j != nil && (to == state.AttemptRunning || to == state.AttemptWaiting || to == state.AttemptCheckpointing) {
		a.Host.AddImage(at, j.Spec.Image, j.Spec.ImageSize)
		if from == state.AttemptFetching {
			ag.estimates.observeFetch(a)
		}
		if to == state.AttemptRunning && j.Spec.Kind == protocol.Gang && a.Name.Number == j.GangAttempt {
			j.GangStarted = true
		}
	}
	if to == state.AttemptExited {
		ag.onAttemptExited(a, task)
		return
	}
	ag.cluster.SetAttemptState(at, a, to)
	ag.log.Debug("task", "task", a.Name.TaskName.String(), "host", a.Host.Name, "state", to.String())
}

// exited handles the end of an attempt.
func (ag *agents) onAttemptExited(a *state.Attempt, task protocol.TaskStatus) {
	at := ag.now.Steady
	a.ExitReason = task.Reason
	j, h := a.Job, a.Host
	ag.cycleNeeded = true
	ag.log.Debug("exited", "task", a.Name.TaskName.String(), "host", h.Name, "why", string(task.Reason), "saved", task.Checkpointed)
	if j != nil && j.State == state.JobActive && j.CompletedTasks < len(j.Tasks) {
		switch task.Reason {
		case protocol.ExitDone:
			ag.onTaskCompleted(a)
		case protocol.ExitError:
			ag.faults.onTaskFailed(a)
		case protocol.ExitFull:
			h.FullUntil = at + 2*protocol.Second
			ag.log.Info("start refused: no room", "task", a.Name.TaskName.String(), "host", h.Name)
		case protocol.ExitUnknown:
			j.BackoffUntil = at + 2*protocol.Second
		case protocol.ExitBusy:
			a.Task().NotBefore = at + 3*protocol.Second
		}
	}
	ag.cluster.SetAttemptState(at, a, state.AttemptExited)
	if j != nil {
		ag.resetSettledGang(j)
		ag.jobs.finishIfComplete(j)
	}
	ag.updateIdleSince(h)
}

// settle lets a gang of which nothing is left start anew.
func (ag *agents) resetSettledGang(j *state.Job) {
	if j.NoActiveAttempts() {
		j.GangAttempt, j.GangStarted = 0, false
		ag.jobs.completeCancellation(j)
	}
}

// completed handles a task's result.
func (ag *agents) onTaskCompleted(a *state.Attempt) {
	j := a.Job
	if j.Spec.Kind == protocol.Service {
		return // a replica has no end of its own: it is started again
	}
	if took := ag.now.Steady - a.StartedAt; a.StartedAt > 0 && !a.Adopted {
		k := ag.workload.classStats(j.Spec.Class)
		// Machines differ by a tenth, estimates by half: only a machine that is
		// far off for several tasks in a row shows.
		r := max(0.3, min(5, float64(took)/float64(k.estimatedRuntime(j.Spec))))
		a.Host.RuntimeRatio += (r - a.Host.RuntimeRatio) * 0.25
		k.onTaskCompleted(j, took)
	}
	ag.faults.confirmHealthy(j)
	if j.Spec.Kind == protocol.Gang {
		// The tasks of a gang complete together: if one is done, all are.
		for i := range j.Tasks {
			j.Complete(i, false)
		}
		return
	}
	j.Complete(a.Name.Index, false)
	if j.CompletedTasks < len(j.Tasks) {
		ag.records.recordCompletion(j, a.Name.Index)
	}
}

// unknownRevision notes that an attempt is certainly on no host any more.
func (ag *agents) onAttemptLost(a *state.Attempt) {
	j, h := a.Job, a.Host
	ag.cluster.SetAttemptState(ag.now.Steady, a, state.AttemptGone)
	if j != nil {
		ag.resetSettledGang(j)
		ag.jobs.finishIfComplete(j)
	}
	ag.updateIdleSince(h)
	ag.cycleNeeded = true
}

// loseAttemptsBefore notes that nothing is on a host any more that was launched before a session.
// Where it is not known in which session an earlier leader's launch left, a higher one
// proves nothing: what was heard before may be a late copy of a report from an even earlier
// session, and the launch, a direct command held up on the way, still match this one.
func (ag *agents) loseAttemptsBefore(h *state.Host, session uint64) {
	ag.loseAttempts(h, "its session ended", func(a *state.Attempt) bool {
		return !a.State.MayRun() || a.LaunchAgentEpoch > 0 && a.LaunchAgentEpoch < session
	})
}

// onAgentLeaseExpired notes that a host's lease has certainly ended, and its session with it.
func (ag *agents) onAgentLeaseExpired(h *state.Host) {
	h.EndedAgentEpoch = h.AgentEpoch
	ag.loseAllAttempts(h, "silent for longer than its lease")
}

// loseAllAttempts notes that nothing is on a host any more.
func (ag *agents) loseAllAttempts(h *state.Host, why string) {
	ag.loseAttempts(h, why, func(*state.Attempt) bool { return true })
}

func (ag *agents) loseAttempts(h *state.Host, why string, gone func(*state.Attempt) bool) {
	n := 0
	for _, a := range h.Attempts() {
		if !gone(a) {
			continue
		}
		if a.State.MayRun() {
			n++
		}
		ag.onAttemptLost(a)
	}
	ag.stats.LostTasks += uint64(n)
	if n > 0 {
		ag.log.Info("tasks lost", "host", h.Name, "tasks", n, "why", why)
	}
}

// requestStop asks for the end of an attempt.
func (cs *commandSender) requestStop(a *state.Attempt, grace micros) {
	switch {
	case a.State == state.AttemptAssigned:
		cs.agents.onAttemptLost(a) // no launch has left
	case a.State.MayRun():
		if a.StopRequested {
			grace = min(grace, a.StopGrace)
		}
		a.StopRequested, a.StopGrace = true, grace
		a.Host.Stale = true
		cs.queueCommands(a.Host)
	}
}

// heartbeatCommands is what a report is answered with.
func (cs *commandSender) heartbeatCommands(h *state.Host) []protocol.Command {
	if h.Reconciled && h.State == state.HostReleasing {
		// It was silent, and the cloud has not answered its release: it may report again
		// for as long as the cloud is down. Without a stop the tasks of cancelled jobs went
		// on, held their team's limit and had their users wait until the cloud was back.
		return cs.cancellationStops(h)
	}
	if !h.Reconciled || h.State != state.HostReady {
		return nil
	}
	if !cs.election.mayActAsLeader() {
		// While the lease could have ended, workers only get their own
		// lease renewed, for a time that the leader's record names.
		return cs.cancellationStops(h)
	}
	at := cs.now.Steady
	var cmds []protocol.Command
	for _, a := range h.Attempts() {
		if len(cmds) >= protocol.MaxCommands {
			break
		}
		j := a.Job
		switch {
		case a.State == state.AttemptExited:
			// Results are durable before the worker may forget them.
			if a.ExitReason == protocol.ExitDone && j != nil && j.State <= state.JobFinishing && j.State != state.JobCancelledLegacy {
				if task := a.Task(); task != nil && task.State == state.TaskDone && !task.Durable {
					continue
				}
			}
			if a.LaunchUncertain {
				// A launch that comes late has no effect only as long as the
				// worker knows the attempt.
				continue
			}
			cmds = append(cmds, protocol.Command{Verb: protocol.VerbForget, Name: a.Name})
		case a.State.MayRun():
			if a.State == state.AttemptLaunched && a.LaunchUncertain && !h.CommandInFlight {
				// In doubt: repeated to the same host, it has no effect twice.
				a.LaunchAgentEpoch, a.LaunchSequence = h.AgentEpoch, h.Sequence
				cmds = append(cmds, protocol.Command{Verb: protocol.VerbLaunch, Name: a.Name})
			}
			if !a.StopRequested && (j == nil || j.State != state.JobActive) {
				a.StopRequested, a.StopGrace = true, 0
			}
			if a.StopRequested && !(a.State == state.AttemptCheckpointing && a.StopGrace > 0) {
				cmds = append(cmds, cs.stopCommand(a, a.StopGrace))
			}
		}
	}
	// Launches come after the stops that make room for them.
	for _, a := range cs.launchableAttempts(h, protocol.MaxCommands-len(cmds)) {
		a.LaunchAgentEpoch, a.LaunchSequence, a.LaunchedByHeartbeat = h.AgentEpoch, h.Sequence, true
		cs.cluster.SetAttemptState(at, a, state.AttemptLaunched)
		cmds = append(cmds, protocol.Command{Verb: protocol.VerbLaunch, Name: a.Name})
	}
	return cmds
}

// isCancelled reports whether nobody has any use for an attempt: its user asked to cancel
// the job. To stop it needs no lease: the worker heeds a stop only as long as it has seen
// no newer epoch, and then the user has not been told that the job goes on either. So the
// tasks of a cancelled job end also while the state service is down for everybody, for
// longer than a cancellation has, and the user is told as soon as it is back.
func isCancelled(a *state.Attempt) bool {
	return a.Job != nil && (a.Job.State == state.JobCancelling || a.Job.State == state.JobCancelledLegacy)
}

// cancellationStops is what a leader may say whose lease could have ended, and all that is said to a
// host that is being released.
func (cs *commandSender) cancellationStops(h *state.Host) []protocol.Command {
	var cmds []protocol.Command
	for _, a := range h.Attempts() {
		if a.State.MayRun() && a.StopRequested && isCancelled(a) && len(cmds) < protocol.MaxCommands {
			cmds = append(cmds, cs.stopCommand(a, 0))
		}
	}
	return cmds
}

// stopCommand makes the command that stops an attempt.
func (cs *commandSender) stopCommand(a *state.Attempt, grace micros) protocol.Command {
	if a.StopSentAt == 0 {
		a.StopSentAt = cs.now.Steady
	}
	return protocol.Command{Verb: protocol.VerbStop, Name: a.Name, Grace: grace}
}

// launchableAttempts lists the attempts whose launch may leave for a host: recorded, and
// with room beside all that is there and not told to end at once.
func (cs *commandSender) launchableAttempts(h *state.Host, most int) []*state.Attempt {
	var list []*state.Attempt
	var used protocol.Resources
	for _, a := range h.Attempts() {
		if a.State.MayRun() && a.Job != nil && !(a.StopSentAt > 0 && a.StopGrace == 0) {
			used = used.Add(a.Job.Spec.TaskResources, 1)
		}
	}
	for _, a := range h.Attempts() {
		if len(list) >= most {
			break
		}
		if a.State != state.AttemptAssigned || !a.Recorded || !h.Recorded || a.Job.State != state.JobActive {
			continue
		}
		if with := used.Add(a.Job.Spec.TaskResources, 1); h.Type == nil || h.Type.Capacity.Covers(with) {
			used = with
			list = append(list, a)
		}
	}
	return list
}

// ineffectiveMessagesLimit is how many answers and calls in a row show no effect when a machine counts
// as deaf: its reports arrive, and nothing that is said to it does. Silence does not show
// that, and a launch that is lost leaves its room free: the same task was launched there
// again and again, a gang's others waiting for it.
const ineffectiveMessagesLimit = 2

func ignoresCommands(h *state.Host) bool { return h.IneffectiveMessages >= ineffectiveMessagesLimit }

// commandTimeout is how long a worker has to answer a direct command.
const commandTimeout = 2 * protocol.Second

// maxCommandsInFlight bounds the direct commands on their way: each takes a socket, and
// what does not get its turn goes with the answer to a report.
const maxCommandsInFlight = 64

// queueCommands notes that commands wait for a host.
func (cs *commandSender) queueCommands(h *state.Host) {
	if !h.CommandQueued {
		h.CommandQueued = true
		cs.queue = append(cs.queue, h)
	}
}

// sendQueuedCommands sends commands that should not wait for the next report.
func (cs *commandSender) sendQueuedCommands() {
	at := cs.now.Steady
	waiting := cs.queue[:0]
	for i, h := range cs.queue {
		if cs.inFlight >= maxCommandsInFlight {
			waiting = append(waiting, cs.queue[i:]...)
			break
		}
		if h.CommandInFlight {
			waiting = append(waiting, h)
			continue
		}
		if cs.election.role == RoleLeaseUncertain && !slices.ContainsFunc(h.Attempts(), isCancelled) {
			waiting = append(waiting, h) // until the lease certainly holds
			continue
		}
		h.CommandQueued = false
		if at < h.CommandRetryAt || h.Addr == "" || !cs.scheduler.isSchedulable(h) && !h.Interrupted && !cs.hosts.missesHeartbeats(h) || h.State != state.HostReady || !h.Reconciled {
			continue // they go with the answer to its next report
		}
		var cmds []protocol.Command
		for _, a := range h.Attempts() {
			if a.State.MayRun() && a.StopRequested && a.StopSentAt == 0 && a.State != state.AttemptLaunched && len(cmds) < protocol.MaxCommands && (cs.election.role == RoleLeader || isCancelled(a)) {
				cmds = append(cmds, cs.stopCommand(a, a.StopGrace))
			}
		}
		var launched []*state.Attempt
		if cs.election.mayActAsLeader() {
			launched = cs.launchableAttempts(h, protocol.MaxCommands-len(cmds))
		}
		for _, a := range launched {
			cmds = append(cmds, protocol.Command{Verb: protocol.VerbLaunch, Name: a.Name})
		}
		if len(cmds) > 0 {
			cs.sendCommands(h, cmds, launched)
		}
	}
	cs.queue = waiting
}

// sendCommands sends a direct command. Until it is answered its launches are in
// doubt: the worker may execute them at any time in the same session, also
// long after this node has given up.
func (cs *commandSender) sendCommands(h *state.Host, cmds []protocol.Command, launched []*state.Attempt) {
	h.CommandInFlight = true
	cs.inFlight++
	for _, a := range launched {
		a.LaunchUncertain, a.LaunchedByHeartbeat = true, false
		a.LaunchAgentEpoch, a.LaunchSequence = h.AgentEpoch, h.Sequence
		cs.cluster.SetAttemptState(cs.now.Steady, a, state.AttemptLaunched)
	}
	body := protocol.AppendCommands(nil, cs.epoch, h.AgentEpoch, cmds)
	cs.callAddress(ToWorker, "POST", h.Addr, "/commands", body, commandTimeout, func(r CallResult) {
		if cs.ended() {
			return
		}
		h.CommandInFlight = false
		cs.inFlight--
		report := cs.parseCommandResponse(h, r)
		if report == nil {
			h.CommandRetryAt = cs.now.Steady + 8*protocol.Second
			if !r.NotSent {
				h.IneffectiveMessages++
				return
			}
		}
		for _, a := range launched {
			a.LaunchUncertain = false
			if report != nil {
				// Any later message must show what came of the launch.
				a.LaunchAgentEpoch, a.LaunchSequence = report.AgentEpoch, report.Sequence-1
			}
		}
		if report == nil {
			for _, a := range launched {
				if a.State == state.AttemptLaunched {
					cs.agents.onAttemptLost(a) // never left
				}
			}
			return
		}
		cs.applyCommandResponse(h, report)
	})
}

// parseCommandResponse reads the report with which a worker answers a call, or nil.
func (cs *commandSender) parseCommandResponse(h *state.Host, r CallResult) *protocol.Heartbeat {
	if r.Status != 200 && r.Status != 409 {
		return nil
	}
	report, err := protocol.ParseHeartbeat(r.Body)
	if err != nil || report.Host != h.Name {
		cs.logMalformed("worker", err)
		return nil
	}
	return report
}

// applyCommandResponse takes the report that answered a call, unless a newer one came
// first. It tells whether this node still leads.
func (cs *commandSender) applyCommandResponse(h *state.Host, report *protocol.Heartbeat) bool {
	if report.Token > cs.epoch {
		cs.election.stepDownSuperseded("a worker has seen a newer epoch")
		return false
	}
	if cs.cluster.Host(h.Name) == h && !h.IsStale(report) {
		cs.agents.applyHeartbeat(h, report, true)
	}
	return true
}

// Most probes on their way, in all and to one zone.
const (
	maxProbesInFlight = 48
	maxProbesPerZone  = 20
)

// MaxWorkerCalls is how many calls to workers are on their way at a time: commands,
// questions, and those made for another controller, which leads while this one does not.
const MaxWorkerCalls = maxCommandsInFlight + maxProbesInFlight

// queueProbe asks a host what is on it, rather than waiting until its worker finds
// this leader.
func (p *prober) queueProbe(h *state.Host) {
	if h.Addr != "" && !h.Probing {
		h.Probing = true
		p.queue = append(p.queue, h)
	}
}

// runProbes sends the probes that have their turn.
func (p *prober) runProbes() {
	at := p.now.Steady
	rest := p.queue[:0]
	for i, h := range p.queue {
		if p.inFlight >= maxProbesInFlight {
			rest = append(rest, p.queue[i:]...)
			break
		}
		if p.inFlightByZone[h.Zone] >= maxProbesPerZone {
			rest = append(rest, h)
			continue
		}
		if p.cluster.Host(h.Name) != h || h.Reconciled && at-h.LastContact < p.platform.HeartbeatInterval && !ignoresCommands(h) {
			h.Probing = false // it has reported meanwhile
			continue
		}
		p.sendProbe(h, max(1, h.AgentEpoch), 2)
	}
	p.queue = rest
}

// sendProbe asks with an empty command. If that names the host's session it
// also shows the new epoch: from there on commands of earlier epochs have no
// effect, and the report in the answer is proof. Otherwise the answer says
// which session it is.
func (p *prober) sendProbe(h *state.Host, session uint64, tries int) {
	p.inFlight++
	p.inFlightByZone[h.Zone]++
	body := protocol.AppendCommands(nil, p.epoch, session, nil)
	asked := p.now.Steady
	waiting, failed := 1, false
	over := func(r CallResult) {
		if p.ended() {
			return
		}
		if waiting--; waiting == 0 {
			h.Probing = false
		}
		if p.cluster.Host(h.Name) != h {
			return
		}
		if waiting == 0 && failed && h.LastContact < asked && !p.isLagging(p.now.Steady-asked+protocol.Second) {
			h.ProbeFailed = true
		}
		report := p.commands.parseCommandResponse(h, r)
		if report == nil || !p.commands.applyCommandResponse(h, report) {
			return
		}
		if tries > 1 && !h.Reconciled && report.AgentEpoch != session {
			h.Probing = true
			p.sendProbe(h, report.AgentEpoch, tries-1)
		}
	}
	p.callAddress(ToWorker, "POST", h.Addr, "/commands", body, commandTimeout, func(r CallResult) {
		if !p.ended() {
			p.inFlight--
			p.inFlightByZone[h.Zone]--
		}
		// Only a call that was made and got no answer says something, and only
		// if this node was awake to hear it.
		failed = r.Status == 0 && !r.notAttempted()
		over(r)
	})
	if h.Reconciled && p.probeViaPeer(h, body, over) {
		waiting++
	}
}

// silenceThreshold is after how long without a report a host counts as silent: its
// report is overdue by half of the time between two.
func (hm *hostMonitor) silenceThreshold() micros { return hm.platform.HeartbeatInterval * 3 / 2 }

// partitionThreshold is the part of a zone's hosts that are silent when it counts as cut
// off. The first of them would be released a fixed time after it fell silent, and
// by then the others have only begun to: with longer times between reports, fewer.
// In a small zone a few machines that die at once are as many, so it takes half.
func (hm *hostMonitor) partitionThreshold(release micros, hosts int) float64 {
	if hosts < 30 {
		return 0.5
	}
	begun := float64(release-hm.silenceThreshold()) / float64(hm.platform.HeartbeatInterval)
	return max(0.2, min(0.5, 0.6*begun))
}

// partitionRetentionLeases is how many leases the machines of a zone that is cut off are kept, unless
// the operators say for how long. Four were fewer than a cut of two minutes takes:
// hsos-foldrenges-fleet released 280 machines just before it ended, and had to boot and
// fill as many.
const partitionRetentionLeases = 8

// partitionRetention is how long the machines of a zone that is cut off are kept.
func (hm *hostMonitor) partitionRetention() micros {
	if hm.operator.PartitionRetention > 0 {
		return hm.operator.PartitionRetention
	}
	return partitionRetentionLeases * hm.platform.WorkerLease
}

// checkHosts notices silence, proves tasks gone, and sees when every recorded
// host is accounted for.
func (hm *hostMonitor) checkHosts() {
	at := hm.now.Steady
	silent, reporting := 0, 0
	zones := make(map[string]leadership.ZoneWorkers, len(hm.platform.Zones))
	release := max(hm.operator.SilentReleaseDelay, hm.silenceThreshold()+commandTimeout)
	for _, h := range hm.cluster.Hosts() {
		if h.State == state.HostReady && (h.Reconciled || !h.Unverified) || h.FromRecord && !h.Reconciled {
			z := zones[h.Zone]
			reporting++
			z.All++
			if at-h.LastContact > hm.silenceThreshold() {
				z.Silent++
			} else if h.LeaderUnreachableAt > 0 && at-h.LeaderUnreachableAt < hm.platform.WorkerLease {
				z.Relayed++
			}
			zones[h.Zone] = z
			if at-h.LastContact > release {
				silent++
			}
		}
	}
	if hm.transfer.considerTransfer(zones) {
		return
	}
	limit := release
	if silent > 2 && silent*3 > reporting {
		// So many at once are rather cut off than dead.
		limit = 2 * limit
	}
	for name, z := range zones {
		if z.Silent >= 3 && float64(z.Silent) >= hm.partitionThreshold(release, z.All)*float64(z.All) {
			hm.partitionSeenAt[name] = at
		}
	}
	hm.handover.updateHandover(release)
	unproven := 0
	lease := hm.platform.WorkerLease
	mayRelease := hm.election.mayActAsLeader() && !hm.isLagging(release)
	for _, h := range hm.cluster.Hosts() {
		if h.FromRecord && !h.Reconciled {
			unproven++
		} else if h.State == state.HostReady && at-h.LastContact <= hm.silenceThreshold() {
			if h.Interrupted {
				hm.drainInterrupted(h)
			}
			if ignoresCommands(h) && mayRelease && hm.mayRunCancelledTask(h) {
				hm.cloud.releaseHost(h, "deaf, and a cancelled task may be on it")
			} else if ignoresCommands(h) && at >= h.NextProbe && hm.election.mayActAsLeader() {
				h.NextProbe = at + commandTimeout
				hm.prober.queueProbe(h)
			}
			continue
		}
		limit := limit
		if seen, ok := hm.partitionSeenAt[h.Zone]; ok && at-seen < hm.partitionHoldTime() {
			// The zone is cut off: its tasks go on within their leases, and a
			// release would end them all. After that the machines are worth
			// keeping for a while, with their images. When the cut ends, its
			// hosts do not all come back at the same instant.
			limit = max(limit, hm.partitionRetention())
		}
		if ignoresCommands(h) {
			// Its worker goes from node to node, each time after it has waited for an
			// answer, and comes round to this one only then. When it hears again what is
			// on it goes on, if that is before its lease ends.
			limit = max(limit, 2*lease)
		}
		if h.ForwardedAt > 0 && at-h.ForwardedAt < lease {
			// It is asked to try this node now and then, and comes round to the one
			// that passes its reports on only after that.
			limit = max(limit, redirectReturnWindow)
		}
		expired := hm.peers.leaseExpired(h)
		switch h.State {
		case state.HostReady, state.HostBooting:
			if h.State == state.HostBooting && !h.FromRecord {
				break // has never reported: holds nothing
			}
			if expired {
				hm.agents.onAgentLeaseExpired(h)
				h.SetState(state.HostSilent)
				h.Reconciled = true
			} else if at-h.LastContact > hm.silenceThreshold() && (h.ProbeFailed || at-hm.recordsLoadedAt > hm.silenceThreshold()) && mayRelease && hm.mayRunCancelledTask(h) {
				hm.cloud.releaseHost(h, "silent, and a cancelled task may be on it")
			} else if at-h.LastContact > limit && (h.ProbeFailed || h.Addr == "" || at-max(h.LastContact, hm.recordsLoadedAt) > limit+limit/2) && mayRelease {
				// It neither reports nor answers.
				hm.cloud.releaseHost(h, "silent")
			} else if at-h.LastContact > hm.silenceThreshold() && at >= h.NextProbe && hm.election.mayActAsLeader() {
				h.NextProbe = at + commandTimeout
				hm.prober.queueProbe(h)
			}
		case state.HostSilent:
			if at-h.LastContact > limit+lease && mayRelease {
				hm.cloud.releaseHost(h, "silent")
			}
		case state.HostReleasing:
			if expired && !h.Reconciled {
				h.Reconciled = true
			}
			if expired {
				hm.agents.onAgentLeaseExpired(h)
			}
		}
		if h.Interrupted && h.State == state.HostReady {
			hm.drainInterrupted(h)
		}
	}
	if unproven == 0 && !hm.reconciled {
		hm.reconciled = true
		hm.cycleNeeded = true
		hm.recovery.confirmLaunchesRecorded(hm.owner)
		hm.recovery.emitFailoverSpan()
		hm.log.Info("all hosts accounted for", "epoch", hm.epoch, "took_ms", int64((at-hm.startedAt)/protocol.Millisecond), "hosts", len(hm.cluster.Hosts()))
	}
}

// mayRunCancelledTask reports whether a task may be on a host whose job was cancelled
// so long ago that it has to be gone soon. Half of the time allowed is left to
// the cloud, which may be in trouble itself.
func (hm *hostMonitor) mayRunCancelledTask(h *state.Host) bool {
	for _, a := range h.Attempts() {
		if j := a.Job; j != nil && a.State.MayRun() && (j.State == state.JobCancelledLegacy || j.State == state.JobCancelling) &&
			hm.now.Wall-j.CancelRequestedWall > hm.platform.CancelTimeout/2 {
			return true
		}
	}
	return false
}

// drainInterrupted saves what it can from a machine that is about to be taken.
func (hm *hostMonitor) drainInterrupted(h *state.Host) {
	left := h.InterruptedAt - hm.now.Steady
	for _, a := range h.Attempts() {
		j := a.Job
		if j == nil || a.StopRequested || !a.State.HoldsResources() {
			continue
		}
		switch {
		case a.State == state.AttemptAssigned || a.State == state.AttemptLaunched || a.State == state.AttemptFetching:
			hm.commands.requestStop(a, 0)
		case j.Spec.Kind == protocol.Service:
			hm.commands.requestStop(a, 0)
		case j.Spec.CanCheckpoint() && left < j.Spec.CheckpointDuration+2*hm.platform.HeartbeatInterval:
			hm.commands.requestStop(a, j.Spec.CheckpointDuration+protocol.Second)
		}
	}
}
