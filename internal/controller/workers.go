package controller

import (
	"slices"

	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// onHeartbeat handles a worker's report. Only the leader answers with 200: a
// worker that gets a 200 it has to drop stays while its lease runs out.
func (c *Controller) onHeartbeat(e WorkerHeartbeat) {
	r, err := protocol.ParseHeartbeat(e.Body)
	if err != nil {
		c.logMalformed("worker", err)
		c.reply(e.Reply, 400, protocol.ErrorBody(err.Error()), 0)
		return
	}
	switch c.role {
	case RoleRecovering:
		// The epoch is ours already. The records are not read yet, so there
		// are no commands; the worker's lease is renewed and its next report
		// comes under the new epoch.
		if r.Token <= c.lease.epoch && c.now.Steady < c.lease.validUntil {
			c.reply(e.Reply, 200, protocol.AppendCommands(nil, c.lease.epoch, 0, nil), 0)
			return
		}
		c.replyUnavailable(e.Reply, refusalRecovering)
		return
	case RoleLeader, RoleLeaseUncertain:
	default:
		if e.Reply.Peer {
			c.reply(e.Reply, 0, nil, 0) // this node does not lead
			return
		}
		if c.isIsolatedFromQuorum() && (r.Zone == c.platform.Zone || !c.leaderExpectsOwnZoneOnly && c.mayAnswerZone(c.platform.Zone, r.Zone)) && r.Token > 0 {
			// Cut off together with the worker: under the token that it knows its
			// tasks go on. It gets no commands.
			c.workerAnsweredAt = c.now.Steady
			c.reply(e.Reply, 200, protocol.AppendCommands(nil, r.Token, 0, nil), 0)
			return
		}
		c.redirectOrForward(e, r)
		return
	}
	t := c.term
	if r.Token > t.epoch {
		c.stepDownSuperseded("a worker has seen a newer epoch")
		c.reply(e.Reply, 421, protocol.LeaderBody(""), 0)
		return
	}
	if _, gone := t.releasedHosts[r.Host]; gone {
		c.replyUnavailable(e.Reply, refusalHostReleased)
		return
	}
	h := t.cluster.Host(r.Host)
	if h == nil {
		h = state.NewHost(c.now.Steady, r.Host, r.Type, r.Zone, r.Spot)
		h.Type = c.machineTypeByName[r.Type]
		h.Unverified, h.Addr = r.Token != t.epoch, r.Addr
		t.cluster.AddHost(h)
		c.queueProbe(t, h)
		c.log.Debug("machine reports that was not rented in this term", "host", r.Host)
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
		c.reply(e.Reply, 200, protocol.AppendCommands(nil, t.epoch, 0, nil), 0)
		return
	}
	if !e.Reply.Peer {
		h.LeaderUnreachableAt, h.ForwardedAt = 0, 0
	} else {
		h.ForwardedAt = c.now.Steady
		if e.ReturnedFromLeader {
			h.LeaderUnreachableAt = c.now.Steady
		}
	}
	c.applyHeartbeat(h, r, false)
	cmds := c.heartbeatCommands(h)
	h.LeaseRenewedAt = max(h.LeaseRenewedAt, c.now.Steady)
	h.RepliedAt = c.now.Steady
	c.reply(e.Reply, 200, protocol.AppendCommands(nil, t.epoch, 0, cmds), 0)
}

// applyHeartbeat brings the book to what a newer report says. direct tells that
// it answers a direct command.
func (c *Controller) applyHeartbeat(h *state.Host, r *protocol.Heartbeat, direct bool) {
	t := c.term
	at := c.now.Steady
	current := r.Token == t.epoch
	if h.AgentEpoch > 0 && r.AgentEpoch > h.AgentEpoch {
		// The worker's lease expired: it has killed and forgotten everything.
		c.loseAttemptsBefore(h, r.AgentEpoch)
	}
	if r.AgentEpoch > h.AgentEpoch && h.RepliedAt > 0 && at <= h.RepliedAt+c.platform.WorkerLease {
		h.IneffectiveMessages = ineffectiveMessagesLimit // an answer since would have kept its lease
	}
	if direct {
		h.IneffectiveMessages = 0
	} else if h.HeartbeatAt = at; r.Token < t.epoch && h.RepliedAt > 0 {
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
		h.Type, h.Stale = c.machineTypeByName[r.Type], true
	}
	if h.State == state.HostBooting || h.State == state.HostSilent {
		if h.State == state.HostBooting && h.Rented {
			// One that was there already says nothing of that: a fleet that is there from
			// the start taught that machines boot in no time.
			t.autoscaler.observeBoot(h, at)
		}
		h.SetState(state.HostReady)
		c.recordHost(h)
		t.cycleNeeded = true
	}
	if r.Interrupted != h.Interrupted || r.Interrupted {
		if !h.Interrupted {
			t.cycleNeeded = true
			c.log.Info("machine will be taken", "host", h.Name, "in_ms", int64(r.InterruptedIn/protocol.Millisecond))
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
		t.cycleNeeded = true
	}
	h.HeartbeatCount++
	missed := false
	for i := range r.Tasks {
		task := &r.Tasks[i]
		a := h.Find(task.AttemptName)
		if a == nil {
			if !current && !t.launchesUnrecorded && !(task.State == protocol.TaskExited && task.Reason == protocol.ExitDone) {
				// Whatever may be on a host is in a record. This isn't: what says so is
				// older than the end of the attempt, a late copy of a report mostly. Taken
				// for true it held the task, or an old attempt of the whole gang, on a
				// machine that may be gone; an error counted once more. If it is there the
				// next report says so again. A result stays true.
				continue
			}
			a = c.adoptAttempt(h, *task)
		}
		a.LastHeartbeat = h.HeartbeatCount
		if a.LaunchAgentEpoch == 0 {
			a.LaunchAgentEpoch = r.AgentEpoch // or an earlier one
		}
		if a.State == state.AttemptLaunched {
			h.IneffectiveMessages = 0 // it came
		}
		c.observeAttempt(a, *task)
	}
	for _, a := range h.Attempts() {
		if a.LastHeartbeat == h.HeartbeatCount || a.State == state.AttemptAssigned {
			continue
		}
		if a.State == state.AttemptExited {
			t.cluster.SetAttemptState(at, a, state.AttemptGone)
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
		c.log.Debug("attempt is not on its host", "task", a.Name.TaskName.String(), "host", h.Name, "state", a.State.String())
		c.onAttemptLost(a)
	}
	c.updateIdleSince(h)
}

func (c *Controller) updateIdleSince(h *state.Host) {
	if c.hasRetainingWork(h) {
		h.IdleSince = c.now.Steady
	}
}

// adoptAttempt takes an attempt that an earlier leader started into the book.
func (c *Controller) adoptAttempt(h *state.Host, task protocol.TaskStatus) *state.Attempt {
	t := c.term
	j := t.cluster.Job(task.Job)
	if j != nil && task.Index >= len(j.Tasks) {
		j = nil
	}
	if j != nil {
		c.onTaskLaunched(j)
	}
	a := t.cluster.Attach(c.now.Steady, j, h, task.AttemptName)
	a.Adopted = true
	if j != nil && j.Spec.Kind == protocol.Gang && task.State != protocol.TaskExited {
		j.GangAttempt = max(j.GangAttempt, task.Number)
	}
	if j != nil && a.Task().Current != a && task.State != protocol.TaskExited {
		on := ""
		if o := a.Task().Current; o != nil {
			on = o.Host.Name
		}
		c.log.Error("task is on two hosts", "task", task.TaskName.String(), "host", h.Name, "other", on, "state", a.Task().State)
	}
	if j == nil || j.State != state.JobActive || a.Task().Current != a {
		a.StopRequested = true
		c.queueCommands(h)
	}
	if j != nil && task.State != protocol.TaskExited && a.Task().Current == a {
		c.recordLaunch(a, c.now.Steady) // a leader of form 1 did not
	}
	return a
}

var attemptStates = map[protocol.TaskState]state.AttemptState{
	protocol.TaskFetching: state.AttemptFetching, protocol.TaskWaiting: state.AttemptWaiting,
	protocol.TaskRunning: state.AttemptRunning, protocol.TaskCheckpointing: state.AttemptCheckpointing,
	protocol.TaskExited: state.AttemptExited,
}

// observeAttempt takes what a report says of one attempt.
func (c *Controller) observeAttempt(a *state.Attempt, task protocol.TaskStatus) {
	t := c.term
	at := c.now.Steady
	to := attemptStates[task.State]
	if a.State == state.AttemptExited || a.State == to {
		return
	}
	from := a.State
	j := a.Job
	if j != nil && (to == state.AttemptRunning || to == state.AttemptWaiting || to == state.AttemptCheckpointing) {
		a.Host.AddImage(at, j.Spec.Image, j.Spec.ImageSize)
		if from == state.AttemptFetching {
			c.observeFetch(a)
		}
		if to == state.AttemptRunning && j.Spec.Kind == protocol.Gang && a.Name.Number == j.GangAttempt {
			j.GangStarted = true
		}
	}
	if to == state.AttemptExited {
		c.onAttemptExited(a, task)
		return
	}
	t.cluster.SetAttemptState(at, a, to)
	c.log.Debug("task", "task", a.Name.TaskName.String(), "host", a.Host.Name, "state", to.String())
}

// exited handles the end of an attempt.
func (c *Controller) onAttemptExited(a *state.Attempt, task protocol.TaskStatus) {
	t := c.term
	at := c.now.Steady
	a.ExitReason = task.Reason
	j, h := a.Job, a.Host
	t.cycleNeeded = true
	c.log.Debug("exited", "task", a.Name.TaskName.String(), "host", h.Name, "why", string(task.Reason), "saved", task.Checkpointed)
	if j != nil && j.State == state.JobActive && j.CompletedTasks < len(j.Tasks) {
		switch task.Reason {
		case protocol.ExitDone:
			c.onTaskCompleted(a)
		case protocol.ExitError:
			c.onTaskFailed(a)
		case protocol.ExitFull:
			h.FullUntil = at + 2*protocol.Second
			c.log.Info("start refused: no room", "task", a.Name.TaskName.String(), "host", h.Name)
		case protocol.ExitUnknown:
			j.BackoffUntil = at + 2*protocol.Second
		case protocol.ExitBusy:
			a.Task().NotBefore = at + 3*protocol.Second
		}
	}
	t.cluster.SetAttemptState(at, a, state.AttemptExited)
	if j != nil {
		c.resetSettledGang(j)
		c.finishIfComplete(j)
	}
	c.updateIdleSince(h)
}

// settle lets a gang of which nothing is left start anew.
func (c *Controller) resetSettledGang(j *state.Job) {
	if j.NoActiveAttempts() {
		j.GangAttempt, j.GangStarted = 0, false
		c.completeCancellation(j)
	}
}

// completed handles a task's result.
func (c *Controller) onTaskCompleted(a *state.Attempt) {
	j := a.Job
	if j.Spec.Kind == protocol.Service {
		return // a replica has no end of its own: it is started again
	}
	if took := c.now.Steady - a.StartedAt; a.StartedAt > 0 && !a.Adopted {
		k := c.classStats(j.Spec.Class)
		// Machines differ by a tenth, estimates by half: only a machine that is
		// far off for several tasks in a row shows.
		r := max(0.3, min(5, float64(took)/float64(k.estimatedRuntime(j.Spec))))
		a.Host.RuntimeRatio += (r - a.Host.RuntimeRatio) * 0.25
		k.onTaskCompleted(j, took)
	}
	c.confirmHealthy(j)
	if j.Spec.Kind == protocol.Gang {
		// The tasks of a gang complete together: if one is done, all are.
		for i := range j.Tasks {
			j.Complete(i, false)
		}
		return
	}
	j.Complete(a.Name.Index, false)
	if j.CompletedTasks < len(j.Tasks) {
		c.recordCompletion(j, a.Name.Index)
	}
}

// unknownRevision notes that an attempt is certainly on no host any more.
func (c *Controller) onAttemptLost(a *state.Attempt) {
	t := c.term
	j, h := a.Job, a.Host
	t.cluster.SetAttemptState(c.now.Steady, a, state.AttemptGone)
	if j != nil {
		c.resetSettledGang(j)
		c.finishIfComplete(j)
	}
	c.updateIdleSince(h)
	t.cycleNeeded = true
}

// loseAttemptsBefore notes that nothing is on a host any more that was launched before a session.
// Where it is not known in which session an earlier leader's launch left, a higher one
// proves nothing: what was heard before may be a late copy of a report from an even earlier
// session, and the launch, a direct command held up on the way, still match this one.
func (c *Controller) loseAttemptsBefore(h *state.Host, session uint64) {
	c.loseAttempts(h, "its session ended", func(a *state.Attempt) bool {
		return !a.State.MayRun() || a.LaunchAgentEpoch > 0 && a.LaunchAgentEpoch < session
	})
}

// onAgentLeaseExpired notes that a host's lease has certainly ended, and its session with it.
func (c *Controller) onAgentLeaseExpired(h *state.Host) {
	h.EndedAgentEpoch = h.AgentEpoch
	c.loseAllAttempts(h, "silent for longer than its lease")
}

// loseAllAttempts notes that nothing is on a host any more.
func (c *Controller) loseAllAttempts(h *state.Host, why string) {
	c.loseAttempts(h, why, func(*state.Attempt) bool { return true })
}

func (c *Controller) loseAttempts(h *state.Host, why string, gone func(*state.Attempt) bool) {
	n := 0
	for _, a := range h.Attempts() {
		if !gone(a) {
			continue
		}
		if a.State.MayRun() {
			n++
		}
		c.onAttemptLost(a)
	}
	c.stats.LostTasks += uint64(n)
	if n > 0 {
		c.log.Info("tasks lost", "host", h.Name, "tasks", n, "why", why)
	}
}

// requestStop asks for the end of an attempt.
func (c *Controller) requestStop(a *state.Attempt, grace micros) {
	switch {
	case a.State == state.AttemptAssigned:
		c.onAttemptLost(a) // no launch has left
	case a.State.MayRun():
		if a.StopRequested {
			grace = min(grace, a.StopGrace)
		}
		a.StopRequested, a.StopGrace = true, grace
		a.Host.Stale = true
		c.queueCommands(a.Host)
	}
}

// heartbeatCommands is what a report is answered with.
func (c *Controller) heartbeatCommands(h *state.Host) []protocol.Command {
	t := c.term
	if h.Reconciled && h.State == state.HostReleasing {
		// It was silent, and the cloud has not answered its release: it may report again
		// for as long as the cloud is down. Without a stop the tasks of cancelled jobs went
		// on, held their team's limit and had their users wait until the cloud was back.
		return c.cancellationStops(h)
	}
	if !h.Reconciled || h.State != state.HostReady {
		return nil
	}
	if !c.mayActAsLeader() {
		// While the lease could have ended, workers only get their own
		// lease renewed, for a time that the leader's record names.
		return c.cancellationStops(h)
	}
	at := c.now.Steady
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
				cmds = append(cmds, c.stopCommand(a, a.StopGrace))
			}
		}
	}
	// Launches come after the stops that make room for them.
	for _, a := range c.launchableAttempts(h, protocol.MaxCommands-len(cmds)) {
		a.LaunchAgentEpoch, a.LaunchSequence, a.LaunchedByHeartbeat = h.AgentEpoch, h.Sequence, true
		t.cluster.SetAttemptState(at, a, state.AttemptLaunched)
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
func (c *Controller) cancellationStops(h *state.Host) []protocol.Command {
	var cmds []protocol.Command
	for _, a := range h.Attempts() {
		if a.State.MayRun() && a.StopRequested && isCancelled(a) && len(cmds) < protocol.MaxCommands {
			cmds = append(cmds, c.stopCommand(a, 0))
		}
	}
	return cmds
}

// stopCommand makes the command that stops an attempt.
func (c *Controller) stopCommand(a *state.Attempt, grace micros) protocol.Command {
	if a.StopSentAt == 0 {
		a.StopSentAt = c.now.Steady
	}
	return protocol.Command{Verb: protocol.VerbStop, Name: a.Name, Grace: grace}
}

// launchableAttempts lists the attempts whose launch may leave for a host: recorded, and
// with room beside all that is there and not told to end at once.
func (c *Controller) launchableAttempts(h *state.Host, most int) []*state.Attempt {
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
func (c *Controller) queueCommands(h *state.Host) {
	if !h.CommandQueued {
		h.CommandQueued = true
		c.term.commandQueue = append(c.term.commandQueue, h)
	}
}

// sendQueuedCommands sends commands that should not wait for the next report.
func (c *Controller) sendQueuedCommands() {
	t := c.term
	at := c.now.Steady
	waiting := t.commandQueue[:0]
	for i, h := range t.commandQueue {
		if t.commandsInFlight >= maxCommandsInFlight {
			waiting = append(waiting, t.commandQueue[i:]...)
			break
		}
		if h.CommandInFlight {
			waiting = append(waiting, h)
			continue
		}
		if c.role == RoleLeaseUncertain && !slices.ContainsFunc(h.Attempts(), isCancelled) {
			waiting = append(waiting, h) // until the lease certainly holds
			continue
		}
		h.CommandQueued = false
		if at < h.CommandRetryAt || h.Addr == "" || !c.isSchedulable(h) && !h.Interrupted && !c.missesHeartbeats(h) || h.State != state.HostReady || !h.Reconciled {
			continue // they go with the answer to its next report
		}
		var cmds []protocol.Command
		for _, a := range h.Attempts() {
			if a.State.MayRun() && a.StopRequested && a.StopSentAt == 0 && a.State != state.AttemptLaunched && len(cmds) < protocol.MaxCommands && (c.role == RoleLeader || isCancelled(a)) {
				cmds = append(cmds, c.stopCommand(a, a.StopGrace))
			}
		}
		var launched []*state.Attempt
		if c.mayActAsLeader() {
			launched = c.launchableAttempts(h, protocol.MaxCommands-len(cmds))
		}
		for _, a := range launched {
			cmds = append(cmds, protocol.Command{Verb: protocol.VerbLaunch, Name: a.Name})
		}
		if len(cmds) > 0 {
			c.sendCommands(h, cmds, launched)
		}
	}
	t.commandQueue = waiting
}

// sendCommands sends a direct command. Until it is answered its launches are in
// doubt: the worker may execute them at any time in the same session, also
// long after this node has given up.
func (c *Controller) sendCommands(h *state.Host, cmds []protocol.Command, launched []*state.Attempt) {
	t := c.term
	h.CommandInFlight = true
	t.commandsInFlight++
	for _, a := range launched {
		a.LaunchUncertain, a.LaunchedByHeartbeat = true, false
		a.LaunchAgentEpoch, a.LaunchSequence = h.AgentEpoch, h.Sequence
		t.cluster.SetAttemptState(c.now.Steady, a, state.AttemptLaunched)
	}
	body := protocol.AppendCommands(nil, t.epoch, h.AgentEpoch, cmds)
	c.callAddress(ToWorker, "POST", h.Addr, "/commands", body, commandTimeout, func(r CallResult) {
		if c.term != t {
			return
		}
		h.CommandInFlight = false
		t.commandsInFlight--
		report := c.parseCommandResponse(h, r)
		if report == nil {
			h.CommandRetryAt = c.now.Steady + 8*protocol.Second
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
					c.onAttemptLost(a) // never left
				}
			}
			return
		}
		c.applyCommandResponse(h, report)
	})
}

// parseCommandResponse reads the report with which a worker answers a call, or nil.
func (c *Controller) parseCommandResponse(h *state.Host, r CallResult) *protocol.Heartbeat {
	if r.Status != 200 && r.Status != 409 {
		return nil
	}
	report, err := protocol.ParseHeartbeat(r.Body)
	if err != nil || report.Host != h.Name {
		c.logMalformed("worker", err)
		return nil
	}
	return report
}

// applyCommandResponse takes the report that answered a call, unless a newer one came
// first. It tells whether this node still leads.
func (c *Controller) applyCommandResponse(h *state.Host, report *protocol.Heartbeat) bool {
	if report.Token > c.term.epoch {
		c.stepDownSuperseded("a worker has seen a newer epoch")
		return false
	}
	if c.term.cluster.Host(h.Name) == h && !h.IsStale(report) {
		c.applyHeartbeat(h, report, true)
	}
	return true
}

// prober asks hosts what is on them, a bounded number at a time: at a take-over
// or behind a cut there are hundreds, and those that don't answer must not keep
// the others waiting.
type prober struct {
	queue   []*state.Host
	inFlight    int
	inFlightByZone   map[string]int // calls on their way, by zone
	nextPeer int            // which of the other nodes was last asked to ask
}

func (p *prober) init() { p.inFlightByZone = make(map[string]int) }

// Most probes on their way, in all and to one zone.
const (
	maxProbesInFlight     = 48
	maxProbesPerZone = 20
)

// MaxWorkerCalls is how many calls to workers are on their way at a time: commands,
// questions, and those made for another controller, which leads while this one does not.
const MaxWorkerCalls = maxCommandsInFlight + maxProbesInFlight

// queueProbe asks a host what is on it, rather than waiting until its worker finds
// this leader.
func (c *Controller) queueProbe(t *leaderTerm, h *state.Host) {
	if h.Addr != "" && !h.Probing {
		h.Probing = true
		t.prober.queue = append(t.prober.queue, h)
	}
}

// runProbes sends the probes that have their turn.
func (c *Controller) runProbes() {
	t := c.term
	p := &t.prober
	at := c.now.Steady
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
		if t.cluster.Host(h.Name) != h || h.Reconciled && at-h.LastContact < c.platform.HeartbeatInterval && !ignoresCommands(h) {
			h.Probing = false // it has reported meanwhile
			continue
		}
		c.sendProbe(t, h, max(1, h.AgentEpoch), 2)
	}
	p.queue = rest
}

// sendProbe asks with an empty command. If that names the host's session it
// also shows the new epoch: from there on commands of earlier epochs have no
// effect, and the report in the answer is proof. Otherwise the answer says
// which session it is.
func (c *Controller) sendProbe(t *leaderTerm, h *state.Host, session uint64, tries int) {
	p := &t.prober
	p.inFlight++
	p.inFlightByZone[h.Zone]++
	body := protocol.AppendCommands(nil, t.epoch, session, nil)
	asked := c.now.Steady
	waiting, failed := 1, false
	over := func(r CallResult) {
		if c.term != t {
			return
		}
		if waiting--; waiting == 0 {
			h.Probing = false
		}
		if t.cluster.Host(h.Name) != h {
			return
		}
		if waiting == 0 && failed && h.LastContact < asked && !c.isLagging(c.now.Steady-asked+protocol.Second) {
			h.ProbeFailed = true
		}
		report := c.parseCommandResponse(h, r)
		if report == nil || !c.applyCommandResponse(h, report) {
			return
		}
		if tries > 1 && !h.Reconciled && report.AgentEpoch != session {
			h.Probing = true
			c.sendProbe(t, h, report.AgentEpoch, tries-1)
		}
	}
	c.callAddress(ToWorker, "POST", h.Addr, "/commands", body, commandTimeout, func(r CallResult) {
		if c.term == t {
			p.inFlight--
			p.inFlightByZone[h.Zone]--
		}
		// Only a call that was made and got no answer says something, and only
		// if this node was awake to hear it.
		failed = r.Status == 0 && !r.notAttempted()
		over(r)
	})
	if h.Reconciled && c.probeViaPeer(h, body, over) {
		waiting++
	}
}

// silenceThreshold is after how long without a report a host counts as silent: its
// report is overdue by half of the time between two.
func (c *Controller) silenceThreshold() micros { return c.platform.HeartbeatInterval * 3 / 2 }

// partitionThreshold is the part of a zone's hosts that are silent when it counts as cut
// off. The first of them would be released a fixed time after it fell silent, and
// by then the others have only begun to: with longer times between reports, fewer.
// In a small zone a few machines that die at once are as many, so it takes half.
func (c *Controller) partitionThreshold(release micros, hosts int) float64 {
	if hosts < 30 {
		return 0.5
	}
	begun := float64(release-c.silenceThreshold()) / float64(c.platform.HeartbeatInterval)
	return max(0.2, min(0.5, 0.6*begun))
}

// partitionRetentionLeases is how many leases the machines of a zone that is cut off are kept, unless
// the operators say for how long. Four were fewer than a cut of two minutes takes:
// hsos-foldrenges-fleet released 280 machines just before it ended, and had to boot and
// fill as many.
const partitionRetentionLeases = 8

// partitionRetention is how long the machines of a zone that is cut off are kept.
func (c *Controller) partitionRetention() micros {
	if c.operator.PartitionRetention > 0 {
		return c.operator.PartitionRetention
	}
	return partitionRetentionLeases * c.platform.WorkerLease
}

// checkHosts notices silence, proves tasks gone, and sees when every recorded
// host is accounted for.
func (c *Controller) checkHosts() {
	t := c.term
	at := c.now.Steady
	silent, reporting := 0, 0
	zones := make(map[string]leadership.ZoneWorkers, len(c.platform.Zones))
	release := max(c.operator.SilentReleaseDelay, c.silenceThreshold()+commandTimeout)
	for _, h := range t.cluster.Hosts() {
		if h.State == state.HostReady && (h.Reconciled || !h.Unverified) || h.FromRecord && !h.Reconciled {
			z := zones[h.Zone]
			reporting++
			z.All++
			if at-h.LastContact > c.silenceThreshold() {
				z.Silent++
			} else if h.LeaderUnreachableAt > 0 && at-h.LeaderUnreachableAt < c.platform.WorkerLease {
				z.Relayed++
			}
			zones[h.Zone] = z
			if at-h.LastContact > release {
				silent++
			}
		}
	}
	if c.considerTransfer(zones) {
		return
	}
	limit := release
	if silent > 2 && silent*3 > reporting {
		// So many at once are rather cut off than dead.
		limit = 2 * limit
	}
	for name, z := range zones {
		if z.Silent >= 3 && float64(z.Silent) >= c.partitionThreshold(release, z.All)*float64(z.All) {
			t.partitionSeenAt[name] = at
		}
	}
	c.updateHandover(release)
	unproven := 0
	lease := c.platform.WorkerLease
	mayRelease := c.mayActAsLeader() && !c.isLagging(release)
	for _, h := range t.cluster.Hosts() {
		if h.FromRecord && !h.Reconciled {
			unproven++
		} else if h.State == state.HostReady && at-h.LastContact <= c.silenceThreshold() {
			if h.Interrupted {
				c.drainInterrupted(h)
			}
			if ignoresCommands(h) && mayRelease && c.mayRunCancelledTask(h) {
				c.releaseHost(h, "deaf, and a cancelled task may be on it")
			} else if ignoresCommands(h) && at >= h.NextProbe && c.mayActAsLeader() {
				h.NextProbe = at + commandTimeout
				c.queueProbe(t, h)
			}
			continue
		}
		limit := limit
		if seen, ok := t.partitionSeenAt[h.Zone]; ok && at-seen < c.partitionHoldTime() {
			// The zone is cut off: its tasks go on within their leases, and a
			// release would end them all. After that the machines are worth
			// keeping for a while, with their images. When the cut ends, its
			// hosts do not all come back at the same instant.
			limit = max(limit, c.partitionRetention())
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
		expired := c.leaseExpired(h)
		switch h.State {
		case state.HostReady, state.HostBooting:
			if h.State == state.HostBooting && !h.FromRecord {
				break // has never reported: holds nothing
			}
			if expired {
				c.onAgentLeaseExpired(h)
				h.SetState(state.HostSilent)
				h.Reconciled = true
			} else if at-h.LastContact > c.silenceThreshold() && (h.ProbeFailed || at-t.recordsLoadedAt > c.silenceThreshold()) && mayRelease && c.mayRunCancelledTask(h) {
				c.releaseHost(h, "silent, and a cancelled task may be on it")
			} else if at-h.LastContact > limit && (h.ProbeFailed || h.Addr == "" || at-max(h.LastContact, t.recordsLoadedAt) > limit+limit/2) && mayRelease {
				// It neither reports nor answers.
				c.releaseHost(h, "silent")
			} else if at-h.LastContact > c.silenceThreshold() && at >= h.NextProbe && c.mayActAsLeader() {
				h.NextProbe = at + commandTimeout
				c.queueProbe(t, h)
			}
		case state.HostSilent:
			if at-h.LastContact > limit+lease && mayRelease {
				c.releaseHost(h, "silent")
			}
		case state.HostReleasing:
			if expired && !h.Reconciled {
				h.Reconciled = true
			}
			if expired {
				c.onAgentLeaseExpired(h)
			}
		}
		if h.Interrupted && h.State == state.HostReady {
			c.drainInterrupted(h)
		}
	}
	if unproven == 0 && !t.reconciled {
		t.reconciled = true
		t.cycleNeeded = true
		c.confirmLaunchesRecorded(t)
		c.emitFailoverSpan()
		c.log.Info("all hosts accounted for", "epoch", t.epoch, "took_ms", int64((at-t.startedAt)/protocol.Millisecond), "hosts", len(t.cluster.Hosts()))
	}
}

// mayRunCancelledTask reports whether a task may be on a host whose job was cancelled
// so long ago that it has to be gone soon. Half of the time allowed is left to
// the cloud, which may be in trouble itself.
func (c *Controller) mayRunCancelledTask(h *state.Host) bool {
	for _, a := range h.Attempts() {
		if j := a.Job; j != nil && a.State.MayRun() && (j.State == state.JobCancelledLegacy || j.State == state.JobCancelling) &&
			c.now.Wall-j.CancelRequestedWall > c.platform.CancelTimeout/2 {
			return true
		}
	}
	return false
}

// drainInterrupted saves what it can from a machine that is about to be taken.
func (c *Controller) drainInterrupted(h *state.Host) {
	left := h.InterruptedAt - c.now.Steady
	for _, a := range h.Attempts() {
		j := a.Job
		if j == nil || a.StopRequested || !a.State.HoldsResources() {
			continue
		}
		switch {
		case a.State == state.AttemptAssigned || a.State == state.AttemptLaunched || a.State == state.AttemptFetching:
			c.requestStop(a, 0)
		case j.Spec.Kind == protocol.Service:
			c.requestStop(a, 0)
		case j.Spec.CanCheckpoint() && left < j.Spec.CheckpointDuration+2*c.platform.HeartbeatInterval:
			c.requestStop(a, j.Spec.CheckpointDuration+protocol.Second)
		}
	}
}
