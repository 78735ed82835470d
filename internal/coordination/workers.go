package coordination

import (
	"sort"

	"mapleslip/internal/bookkeeping"
	"mapleslip/internal/protocol"
)

// onReport handles a worker's report. Only the leader answers with 200: a
// worker that gets a 200 it has to drop stays while its lease runs out.
func (c *Controller) onReport(e WorkerReport) {
	r, err := protocol.ParseReport(e.Body)
	if err != nil {
		c.malformed("worker", err)
		c.reply(e.Reply, 400, protocol.ErrorBody(err.Error()), 0)
		return
	}
	switch c.role {
	case Loading:
		// The epoch is ours already. The records are not read yet, so there
		// are no commands; the worker's lease is renewed and its next report
		// comes under the new epoch.
		if r.Epoch <= c.seat.epoch && c.at.Steady < c.seat.until {
			c.reply(e.Reply, 200, protocol.AppendCommands(nil, c.seat.epoch, 0, nil), 0)
			return
		}
		c.unavailable(e.Reply, "not ready")
		return
	case Leading, Doubtful:
	default:
		leader := c.leader.Node
		if leader == c.platform.Node {
			leader = ""
		}
		c.reply(e.Reply, 421, protocol.LeaderBody(leader), 0)
		return
	}
	t := c.term
	if r.Epoch > t.epoch {
		c.deposed("a worker has seen a newer epoch")
		c.reply(e.Reply, 421, protocol.LeaderBody(""), 0)
		return
	}
	if t.gone[r.Host] {
		c.unavailable(e.Reply, "the machine is gone")
		return
	}
	h := t.book.Hosts[r.Host]
	if h == nil {
		h = bookkeeping.NewHost(c.at.Steady, r.Host, r.Type, r.Zone, r.Spot)
		h.Type = c.typeByName[r.Type]
		t.book.Hosts[r.Host] = h
		c.log.Debug("machine reports that was not rented in this term", "host", r.Host)
	}
	if h.Session > 0 && !r.Newer(h.Session, h.Tick) {
		// What it says is older than what is known: it was held up on the way,
		// or crossed the answer to a direct command. In the second case the
		// worker still waits, so it is answered, but the book stays as it is.
		h.Answered = max(h.Answered, c.at.Steady)
		c.reply(e.Reply, 200, protocol.AppendCommands(nil, t.epoch, 0, nil), 0)
		return
	}
	c.takeReport(h, r, false)
	cmds := c.commands(h)
	h.Answered = max(h.Answered, c.at.Steady)
	c.reply(e.Reply, 200, protocol.AppendCommands(nil, t.epoch, 0, cmds), 0)
}

// takeReport brings the book to what a newer report says. direct tells that
// it answers a direct command.
func (c *Controller) takeReport(h *bookkeeping.Host, r *protocol.Report, direct bool) {
	t := c.term
	at := c.at.Steady
	if h.Session > 0 && r.Session > h.Session {
		// The worker's lease expired: it has killed and forgotten everything.
		c.loseAll(h, "its session ended")
	}
	h.Session, h.Tick, h.Heard, h.ProbeFailed = r.Session, r.Tick, at, false
	h.Addr = r.Addr
	if h.Type == nil {
		h.Type = c.typeByName[r.Type]
	}
	if h.State == bookkeeping.HostBooting || h.State == bookkeeping.HostSilent {
		if h.State == bookkeeping.HostBooting && !h.FromRecord {
			t.rental.booted(h, at)
		}
		h.To(bookkeeping.HostReady)
		t.dirty = true
	}
	if r.Noticed != h.Noticed || r.Noticed {
		if !h.Noticed {
			t.dirty = true
			c.log.Info("machine will be taken", "host", h.Name, "in_ms", int64(r.Notice/protocol.Millisecond))
		}
		h.Noticed, h.TakenAt = r.Noticed, at+r.Notice
	}
	current := r.Epoch == t.epoch
	if current && !h.Proven {
		h.Proven = true
		t.dirty = true
	}
	seen := make(map[protocol.AttemptName]bool, len(r.Tasks))
	for _, task := range r.Tasks {
		seen[task.AttemptName] = true
		a := h.Attempts[task.AttemptName]
		if a == nil {
			a = c.adopt(h, task)
		}
		c.observe(a, task)
	}
	for _, a := range sortedAttempts(h) {
		if seen[a.Name] || a.State == bookkeeping.AttemptAssigned {
			continue
		}
		if a.State == bookkeeping.AttemptExited {
			t.book.Move(at, a, bookkeeping.AttemptGone)
			continue
		}
		if !a.State.MayRun() {
			continue
		}
		if !current {
			// A worker that has not seen this epoch may still get commands of
			// the one before: absence proves nothing yet.
			continue
		}
		if a.State == bookkeeping.AttemptLaunched && !r.Newer(a.SentSession, a.SentTick) {
			continue
		}
		if a.Doubt {
			continue // the launch may still be on its way
		}
		if a.State == bookkeeping.AttemptLaunched && a.ViaReport && direct {
			// The answer with the launch and this message may have crossed.
			// Only the next report must come after it.
			continue
		}
		// The launch did not arrive, or the task is gone.
		c.log.Debug("attempt is not on its host", "task", a.Name.TaskName.String(), "host", h.Name, "state", a.State.String())
		c.lost(a)
	}
	c.touchIdle(h)
}

func (c *Controller) touchIdle(h *bookkeeping.Host) {
	if !h.Empty() {
		h.IdleSince = c.at.Steady
	}
}

func sortedAttempts(h *bookkeeping.Host) []*bookkeeping.Attempt {
	list := make([]*bookkeeping.Attempt, 0, len(h.Attempts))
	for _, a := range h.Attempts {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool {
		x, y := list[i].Name, list[j].Name
		if x.Job != y.Job {
			return x.Job < y.Job
		}
		return x.Index < y.Index || x.Index == y.Index && x.Number < y.Number
	})
	return list
}

// adopt takes an attempt that an earlier leader started into the book.
func (c *Controller) adopt(h *bookkeeping.Host, task protocol.TaskReport) *bookkeeping.Attempt {
	t := c.term
	j := t.book.Jobs[task.Job]
	if j != nil && task.Index >= len(j.Tasks) {
		j = nil
	}
	a := t.book.Attach(c.at.Steady, j, h, task.AttemptName)
	a.Adopted = true
	if j != nil && j.Spec.Kind == protocol.Gang && task.State != protocol.Exited {
		j.GangAttempt = max(j.GangAttempt, task.Number)
	}
	if j != nil && a.Task().Current != a && task.State != protocol.Exited {
		c.log.Error("task is on two hosts", "task", task.TaskName.String(), "host", h.Name)
	}
	if j == nil || j.State != bookkeeping.JobLive || a.Task().Current != a {
		a.Stop = true
	}
	return a
}

var stateOf = map[protocol.TaskState]bookkeeping.AttemptState{
	protocol.Fetching: bookkeeping.AttemptFetching, protocol.Waiting: bookkeeping.AttemptWaiting,
	protocol.Executing: bookkeeping.AttemptRunning, protocol.Saving: bookkeeping.AttemptSaving,
	protocol.Exited: bookkeeping.AttemptExited,
}

// observe takes what a report says of one attempt.
func (c *Controller) observe(a *bookkeeping.Attempt, task protocol.TaskReport) {
	t := c.term
	at := c.at.Steady
	to := stateOf[task.State]
	if a.State == bookkeeping.AttemptExited || a.State == to {
		return
	}
	from := a.State
	j := a.Job
	if j != nil && (to == bookkeeping.AttemptRunning || to == bookkeeping.AttemptWaiting || to == bookkeeping.AttemptSaving) {
		a.Host.SawImage(at, j.Spec.Image, j.Spec.ImageSize)
		if from == bookkeeping.AttemptFetching {
			c.learnFetch(a)
		}
		if to == bookkeeping.AttemptRunning && j.Spec.Kind == protocol.Gang && a.Name.Number == j.GangAttempt {
			j.GangStarted = true
		}
	}
	if to == bookkeeping.AttemptExited {
		c.exited(a, task)
		return
	}
	t.book.Move(at, a, to)
	c.log.Debug("task", "task", a.Name.TaskName.String(), "host", a.Host.Name, "state", to.String())
}

// exited handles the end of an attempt.
func (c *Controller) exited(a *bookkeeping.Attempt, task protocol.TaskReport) {
	t := c.term
	at := c.at.Steady
	a.Reason = task.Reason
	j, h := a.Job, a.Host
	t.dirty = true
	c.log.Debug("exited", "task", a.Name.TaskName.String(), "host", h.Name, "why", string(task.Reason), "saved", task.Saved)
	if j != nil && j.State == bookkeeping.JobLive {
		switch task.Reason {
		case protocol.ExitDone:
			c.completed(a)
		case protocol.ExitError:
			c.failed(a)
		case protocol.ExitFull:
			h.FullUntil = at + 2*protocol.Second
			c.log.Info("start refused: no room", "task", a.Name.TaskName.String(), "host", h.Name)
		case protocol.ExitUnknown:
			j.Held = at + 2*protocol.Second
		case protocol.ExitBusy:
			a.Task().NotBefore = at + 3*protocol.Second
		}
	}
	t.book.Move(at, a, bookkeeping.AttemptExited)
	if j != nil {
		c.settle(j)
		c.checkFinished(j)
	}
	c.touchIdle(h)
}

// settle lets a gang of which nothing is left start anew.
func (c *Controller) settle(j *bookkeeping.Job) {
	if j.Settled() {
		j.GangAttempt, j.GangStarted = 0, false
	}
}

// completed handles a task's result.
func (c *Controller) completed(a *bookkeeping.Attempt) {
	j := a.Job
	if j.Spec.Kind == protocol.Service {
		return // a replica has no end of its own: it is started again
	}
	if took := c.at.Steady - a.Started; a.Started > 0 && !a.Adopted {
		k := c.class(j.Spec.Class)
		// Machines differ by a tenth, estimates by half: only a machine that is
		// far off for several tasks in a row shows.
		r := max(0.3, min(5, float64(took)/float64(k.length(j.Spec))))
		a.Host.Slowness += (r - a.Host.Slowness) * 0.25
		k.ran(j, took)
	}
	if j.Spec.Kind == protocol.Gang {
		// The tasks of a gang complete together: if one is done, all are.
		for i := range j.Tasks {
			j.Complete(i, false)
		}
		return
	}
	j.Complete(a.Name.Index, false)
	if j.Done < len(j.Tasks) {
		c.markChunk(j, a.Name.Index)
	}
}

// failed handles a task's error. Mostly the machine is faulty; but a job that
// fails everywhere condemns no machine.
func (c *Controller) failed(a *bookkeeping.Attempt) {
	j, h := a.Job, a.Host
	at := c.at.Steady
	if j.Failures == nil {
		j.Failures = make(map[string]int)
	}
	j.Failures[h.Name]++
	total := 0
	for _, n := range j.Failures {
		total += n
	}
	if len(j.Failures) < 3 {
		h.Faults++
		h.FaultUntil = at + min(micros(h.Faults)*30*protocol.Second, 300*protocol.Second)
	} else {
		for name := range j.Failures {
			if other := c.term.book.Hosts[name]; other != nil && other.Faults > 0 && j.Failures[name] > 0 {
				other.Faults--
				if other.Faults == 0 {
					other.FaultUntil = 0
				}
			}
		}
	}
	wait := protocol.Second
	for i := 1; i < total && wait < 60*protocol.Second; i++ {
		wait *= 2
	}
	if len(j.Failures) >= 3 {
		j.Held = at + min(wait, 60*protocol.Second)
	}
	c.log.Info("task failed", "task", a.Name.TaskName.String(), "host", h.Name, "failures", total, "hosts", len(j.Failures))
}

// lost notes that an attempt is certainly on no host any more.
func (c *Controller) lost(a *bookkeeping.Attempt) {
	t := c.term
	j, h := a.Job, a.Host
	t.book.Move(c.at.Steady, a, bookkeeping.AttemptGone)
	if j != nil {
		c.settle(j)
	}
	c.touchIdle(h)
	t.dirty = true
}

// loseAll notes that nothing is on a host any more.
func (c *Controller) loseAll(h *bookkeeping.Host, why string) {
	n := 0
	for _, a := range sortedAttempts(h) {
		if a.State.MayRun() {
			n++
		}
		c.lost(a)
	}
	if n > 0 {
		c.log.Info("tasks lost", "host", h.Name, "tasks", n, "why", why)
	}
}

// stop asks for the end of an attempt.
func (c *Controller) stop(a *bookkeeping.Attempt, grace micros) {
	switch {
	case a.State == bookkeeping.AttemptAssigned:
		c.lost(a) // no launch has left
	case a.State.MayRun():
		if a.Stop {
			grace = min(grace, a.StopGrace)
		}
		a.Stop, a.StopGrace = true, grace
	}
}

// commands is what a report is answered with.
func (c *Controller) commands(h *bookkeeping.Host) []protocol.Command {
	t := c.term
	if !c.mayStart() || !h.Proven || h.State != bookkeeping.HostReady {
		// While the lease could have ended, workers only get their own
		// lease renewed, for a time that the leader's record names.
		return nil
	}
	at := c.at.Steady
	var cmds []protocol.Command
	for _, a := range sortedAttempts(h) {
		if len(cmds) >= protocol.MaxCommands {
			break
		}
		j := a.Job
		switch {
		case a.State == bookkeeping.AttemptExited:
			// Results are durable before the worker may forget them.
			if a.Reason == protocol.ExitDone && j != nil && j.State <= bookkeeping.JobFinishing && j.State != bookkeeping.JobCancelled {
				if task := a.Task(); task != nil && task.State == bookkeeping.TaskDone && !task.Durable {
					continue
				}
			}
			if a.Doubt {
				// A launch that comes late has no effect only as long as the
				// worker knows the attempt.
				continue
			}
			cmds = append(cmds, protocol.Command{Verb: protocol.Forget, Name: a.Name})
		case a.State.MayRun():
			if a.State == bookkeeping.AttemptLaunched && a.Doubt && !h.Calling {
				// In doubt: repeated to the same host, it has no effect twice.
				a.SentSession, a.SentTick = h.Session, h.Tick
				cmds = append(cmds, protocol.Command{Verb: protocol.Launch, Name: a.Name})
			}
			if !a.Stop && (j == nil || j.State != bookkeeping.JobLive) {
				a.Stop, a.StopGrace = true, 0
			}
			if a.Stop && !(a.State == bookkeeping.AttemptSaving && a.StopGrace > 0) {
				if a.StopAt == 0 {
					a.StopAt = at
				}
				cmds = append(cmds, protocol.Command{Verb: protocol.Stop, Name: a.Name, Grace: a.StopGrace})
			}
		case a.State == bookkeeping.AttemptAssigned:
			if !h.Recorded || j.State != bookkeeping.JobLive {
				continue
			}
			a.SentSession, a.SentTick, a.ViaReport = h.Session, h.Tick, true
			t.book.Move(at, a, bookkeeping.AttemptLaunched)
			cmds = append(cmds, protocol.Command{Verb: protocol.Launch, Name: a.Name})
		}
	}
	return cmds
}

// callTimeout is how long a worker has to answer a direct command.
const callTimeout = 2 * protocol.Second

// callHosts sends commands that should not wait for the next report.
func (c *Controller) callHosts() {
	t := c.term
	at := c.at.Steady
	for _, h := range t.hosts() {
		if h.Calling || at < h.NoCalls || h.Addr == "" || !c.usable(h) && !h.Noticed || !h.Recorded || len(h.Attempts) == 0 {
			continue
		}
		var cmds []protocol.Command
		var launched []*bookkeeping.Attempt
		for _, a := range sortedAttempts(h) {
			switch {
			case a.State == bookkeeping.AttemptAssigned && a.Job.State == bookkeeping.JobLive:
				launched = append(launched, a)
				cmds = append(cmds, protocol.Command{Verb: protocol.Launch, Name: a.Name})
			case a.State.MayRun() && a.Stop && a.StopAt == 0 && a.State != bookkeeping.AttemptLaunched:
				a.StopAt = at
				cmds = append(cmds, protocol.Command{Verb: protocol.Stop, Name: a.Name, Grace: a.StopGrace})
			}
			if len(cmds) >= protocol.MaxCommands {
				break
			}
		}
		if len(cmds) > 0 && h.State == bookkeeping.HostReady && h.Proven {
			c.callHost(h, cmds, launched)
		}
	}
}

// callHost sends a direct command. Until it is answered its launches are in
// doubt: the worker may execute them at any time in the same session, also
// long after this node has given up.
func (c *Controller) callHost(h *bookkeeping.Host, cmds []protocol.Command, launched []*bookkeeping.Attempt) {
	t := c.term
	h.Calling = true
	for _, a := range launched {
		a.Doubt, a.ViaReport = true, false
		a.SentSession, a.SentTick = h.Session, h.Tick
		t.book.Move(c.at.Steady, a, bookkeeping.AttemptLaunched)
	}
	body := protocol.AppendCommands(nil, t.epoch, h.Session, cmds)
	c.callAddr(ToWorker, "POST", h.Addr, "/commands", body, callTimeout, func(r CallDone) {
		if c.term != t {
			return
		}
		h.Calling = false
		report := c.answerOf(h, r)
		if report == nil {
			h.NoCalls = c.at.Steady + 8*protocol.Second
			if !r.Unsent {
				return
			}
		}
		for _, a := range launched {
			a.Doubt = false
			if report != nil {
				// Any later message must show what came of the launch.
				a.SentSession, a.SentTick = report.Session, report.Tick-1
			}
		}
		if report == nil {
			for _, a := range launched {
				if a.State == bookkeeping.AttemptLaunched {
					c.lost(a) // never left
				}
			}
			return
		}
		c.takeAnswer(h, report)
	})
}

// answerOf reads the report with which a worker answers a call, or nil.
func (c *Controller) answerOf(h *bookkeeping.Host, r CallDone) *protocol.Report {
	if r.Status != 200 && r.Status != 409 {
		return nil
	}
	report, err := protocol.ParseReport(r.Body)
	if err != nil || report.Host != h.Name {
		c.malformed("worker", err)
		return nil
	}
	return report
}

// takeAnswer takes the report that answered a call, unless a newer one came
// first. It tells whether this node still leads.
func (c *Controller) takeAnswer(h *bookkeeping.Host, report *protocol.Report) bool {
	if report.Epoch > c.term.epoch {
		c.deposed("a worker has seen a newer epoch")
		return false
	}
	if c.term.book.Hosts[h.Name] == h && (h.Session == 0 || report.Newer(h.Session, h.Tick)) {
		c.takeReport(h, report, true)
	}
	return true
}

// probe asks a recorded host what is on it, rather than waiting until its
// worker finds the new leader. Its session is not recorded, so its report is
// read first; then an empty command shows it the new epoch. From there on
// commands of earlier epochs have no effect, and its report is proof.
func (c *Controller) probe(t *term, h *bookkeeping.Host) {
	if h.Addr == "" {
		return
	}
	take := func(r CallDone) *protocol.Report {
		h.ProbeFailed = r.Status == 0
		if c.term != t || t.book.Hosts[h.Name] != h {
			return nil
		}
		report := c.answerOf(h, r)
		if report == nil || !c.takeAnswer(h, report) {
			return nil
		}
		return report
	}
	c.callAddr(ToWorker, "GET", h.Addr, "/status", nil, callTimeout, func(r CallDone) {
		report := take(r)
		if report == nil || h.Proven {
			return
		}
		body := protocol.AppendCommands(nil, t.epoch, report.Session, nil)
		c.callAddr(ToWorker, "POST", h.Addr, "/commands", body, callTimeout, func(r CallDone) { take(r) })
	})
}

// watchHosts notices silence, proves tasks gone, and sees when every recorded
// host is accounted for.
func (c *Controller) watchHosts() {
	t := c.term
	at := c.at.Steady
	silent, reporting := 0, 0
	zones := make(map[string][2]int) // silent and all hosts of a zone
	for _, h := range t.book.Hosts {
		if h.State == bookkeeping.HostReady || h.FromRecord && !h.Proven {
			z := zones[h.Zone]
			reporting++
			z[1]++
			if at-h.Heard > c.platform.ReportEvery*3/2 {
				z[0]++
			}
			if at-h.Heard > c.operator.SilentRelease {
				silent++
			}
			zones[h.Zone] = z
		}
	}
	limit := c.operator.SilentRelease
	if silent > 2 && silent*3 > reporting {
		// So many at once are rather cut off than dead.
		limit = 2 * limit
	}
	unproven := 0
	for _, h := range t.hosts() {
		lease := c.platform.WorkerLease
		limit := limit
		if z := zones[h.Zone]; z[0] >= 3 && 2*z[0] >= z[1] {
			t.cutSeen[h.Zone] = at
		}
		if seen, ok := t.cutSeen[h.Zone]; ok && at-seen < 10*protocol.Second {
			// The zone is cut off: its tasks go on within their leases, and a
			// release would end them all. When the cut ends, its hosts do not
			// all come back at the same instant.
			limit = max(limit, lease)
		}
		expired := at > h.Answered+lease+drift(lease)+100*protocol.Millisecond
		switch h.State {
		case bookkeeping.HostReady, bookkeeping.HostBooting:
			if h.State == bookkeeping.HostBooting && !h.FromRecord {
				break // has never reported: holds nothing
			}
			if expired {
				c.loseAll(h, "silent for longer than its lease")
				h.To(bookkeeping.HostSilent)
				h.Proven = true
			} else if at-h.Heard > limit && (h.ProbeFailed || h.Addr == "" || at-h.Heard > limit+limit/2) && c.mayStart() {
				// It neither reports nor answers.
				c.release(h, "silent")
			} else if at-h.Heard > c.platform.ReportEvery*3/2 && at >= h.ProbeAt && c.mayStart() {
				h.ProbeAt = at + callTimeout
				c.probe(t, h)
			}
		case bookkeeping.HostSilent:
			if at-h.Heard > limit+lease && c.mayStart() {
				c.release(h, "silent")
			}
		case bookkeeping.HostReleasing:
			if expired && !h.Proven {
				h.Proven = true
			}
			if expired {
				c.loseAll(h, "silent for longer than its lease")
			}
		}
		if h.FromRecord && !h.Proven {
			unproven++
		}
		if !h.Noticed || h.State != bookkeeping.HostReady {
			continue
		}
		c.drainNoticed(h)
	}
	if unproven == 0 && !t.recovered {
		t.recovered = true
		t.dirty = true
		c.log.Info("all hosts accounted for", "epoch", t.epoch, "took_ms", int64((at-t.started)/protocol.Millisecond), "hosts", len(t.book.Hosts))
	}
}

// drainNoticed saves what it can from a machine that is about to be taken.
func (c *Controller) drainNoticed(h *bookkeeping.Host) {
	left := h.TakenAt - c.at.Steady
	for _, a := range sortedAttempts(h) {
		j := a.Job
		if j == nil || a.Stop || !a.State.Occupies() {
			continue
		}
		switch {
		case a.State == bookkeeping.AttemptAssigned || a.State == bookkeeping.AttemptLaunched || a.State == bookkeeping.AttemptFetching:
			c.stop(a, 0)
		case j.Spec.Kind == protocol.Service:
			c.stop(a, 0)
		case j.Spec.Checkpoints() && left < j.Spec.Saves+2*c.platform.ReportEvery:
			c.stop(a, j.Spec.Saves+protocol.Second)
		}
	}
}
