package checker

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/wire"
)

const (
	// maxUnanswered is how long all queries about a job may fail while most other queries are
	// answered.
	maxUnanswered = int64(90 * protocol.Second)
	// cancelRequestDelay is how long a user's request to cancel may take to reach the checker
	// after an answer that reported the cancellation: the request is answered or fails within 5 s.
	cancelRequestDelay = int64(10 * protocol.Second)
)

// judgeEnter records that a task has entered a machine and checks the rules for it.
func (h *Hub) judgeEnter(j *job, index int, attempt uint64, m *wire.Message, launched int64) {
	host, s := h.machines[m.Name], j.spec
	if host == nil {
		h.counts.Unknown++
		return
	}
	if old, placed := j.placements[index]; placed {
		if old.machine != host {
			h.addViolation(m.At, "ran_twice", "%s starts on %s while it is on %s as attempt %d", m.Task, m.Name, old.machine.Name, old.attempt)
		}
		h.removeTask(old)
	}
	p := placement{j, index, attempt, host}
	j.placements[index] = p
	host.tasks[m.Task] = p
	j.tasksByZone[host.Zone]++
	h.counts.Starts++
	h.counts.Running++
	c := h.classCount(s.Class)
	c.Starts++
	c.Running++
	again := !j.started.add(index)
	if s.Kind != protocol.Gang {
		h.onStart(Start{Spec: s, Task: m.Task, Tasks: 1, Again: again, Due: j.due, Asked: launched, At: m.At, Fetch: m.Run})
	}
	h.judgePlacement(p, m)
	used := h.teamUsage(s.Team)
	*used = used.Add(s.TaskResources, 1)
	if limit := h.platform.Teams[s.Team].Limit; limit.CPU > 0 && used.CPU > limit.CPU || limit.GPU > 0 && used.GPU > limit.GPU {
		h.addViolation(m.At, "quota", "team %s uses %+v of %+v thousandths with %s on %s", s.Team, *used, limit, m.Task, m.Name)
	}
	if j.cancelReportedAt > 0 && m.At > j.cancelReportedAt+int64(h.platform.CancelTimeout) {
		h.addViolation(m.At, "ran_cancelled", "%s starts on %s %.3f s after its user was told that it is cancelled", m.Task, m.Name, float64(m.At-j.cancelReportedAt)/1e6)
	}
	if leave, leftEarly := host.earlyLeaves[m.Task]; leftEarly {
		delete(host.earlyLeaves, m.Task)
		if leave.at >= m.At {
			h.judgeLeave(j, index, attempt, m.Name, leave.reason, leave.at)
		}
	}
}

// judgePlacement checks that a task's machine and zone are allowed by its job.
func (h *Hub) judgePlacement(p placement, m *wire.Message) {
	s, host := p.job.spec, p.machine
	report := func(reason string) {
		h.addViolation(m.At, "wrong_place", "%s starts on %s (%s, zone %s, spot %t): %s", m.Task, m.Name, host.Type, host.Zone, host.Spot, reason)
	}
	switch t := h.types[host.Type]; {
	case !s.AllowsType(host.Type) || t == nil || !t.Capacity.Covers(s.TaskResources):
		report("its job doesn't allow the type")
	case s.Zone != "" && s.Zone != host.Zone:
		report("its job allows only zone " + s.Zone)
	case host.Spot && !s.AllowSpot:
		report("its job allows no spot machines")
	case s.SingleZone && len(p.job.tasksByZone) > 1:
		report("others of its job are in another zone")
	case s.SpreadZones && p.job.tasksByZone[host.Zone] > (s.Tasks+1)/2:
		report("more than half of its job are in that zone")
	}
}

// teamUsage returns the resources that a team's tasks use, for reading and updating.
func (h *Hub) teamUsage(name string) *protocol.Resources {
	used := h.usedByTeam[name]
	if used == nil {
		used = new(protocol.Resources)
		h.usedByTeam[name] = used
	}
	return used
}

// removeTask removes a task from its machine and subtracts its resources.
func (h *Hub) removeTask(p placement) {
	s := p.job.spec
	delete(p.job.placements, p.index)
	delete(p.machine.tasks, p.taskName())
	if p.job.tasksByZone[p.machine.Zone]--; p.job.tasksByZone[p.machine.Zone] == 0 {
		delete(p.job.tasksByZone, p.machine.Zone)
	}
	used := h.teamUsage(s.Team)
	*used = used.Add(s.TaskResources, -1)
	h.counts.Running--
	h.classCount(s.Class).Running--
}

// judgeLeave records that a task has left a machine. If a task enters and leaves at the same
// time, the leave is checked first: it is stored, and judgeEnter applies it.
func (h *Hub) judgeLeave(j *job, index int, attempt uint64, name, reason string, at int64) {
	host := h.machines[name]
	p, placed := j.placements[index]
	if host == nil || !placed || p.machine != host || p.attempt != attempt {
		if host != nil {
			if host.earlyLeaves == nil {
				host.earlyLeaves = make(map[string]earlyLeave)
			}
			host.earlyLeaves[placement{j, index, attempt, host}.taskName()] = earlyLeave{at, reason}
		}
		return
	}
	h.removeTask(p)
	h.counts.Leaves[reason]++
	if reason == string(protocol.ExitDone) {
		h.markDone(j, index)
	}
}

// markDone records that a task is done. For a gang, all tasks are done then.
func (h *Hub) markDone(j *job, index int) {
	if j.done.has(index) {
		return
	}
	first, last := index, index
	if j.spec.Kind == protocol.Gang {
		first, last = 0, j.spec.Tasks-1
	}
	for i := first; i <= last; i++ {
		if j.done.add(i) {
			h.counts.Done++
			h.classCount(j.spec.Class).Done++
		}
	}
}

// judgeAnswer checks the rules for an answer to a user's request.
func (h *Hub) judgeAnswer(m *wire.Message) {
	j := h.jobs[m.Ref]
	ok := m.Status == 200 || m.Status == 201
	if m.Op == "query" {
		p := h.queries[m.Region]
		if p == nil {
			p = &queryCounts{}
			h.queries[m.Region] = p
		}
		p.add(m.At, ok || m.Status == 404)
	}
	if j == nil {
		if ok && m.Op != "config" {
			h.addViolation(m.At, "invented", "%s of %s, which nobody has submitted, gets %d %s", m.Op, m.Ref, m.Status, m.Phase)
		}
		return
	}
	if m.Op == "cancel" {
		j.noteCancelRequest(m.Due)
	}
	wasAccepted := j.acceptedAt > 0 && m.Due >= j.acceptedAt
	switch {
	case m.Op == "submit" && (m.Status == 400 || m.Status == 422) && wasAccepted:
		h.addViolation(m.At, "forgotten", "a repeated submission of %s gets %d", m.Ref, m.Status)
	case m.Status == 404 && m.Op != "submit" && wasAccepted:
		h.addViolation(m.At, "forgotten", "%s of %s, which was accepted, gets 404", m.Op, m.Ref)
	case m.Op == "query" && m.Status != 404 && !ok:
		h.judgeUnanswered(j, m)
	}
	if m.Op == "query" && (ok || m.Status == 404) {
		j.unansweredSince = 0
	}
	if !ok {
		return
	}
	if m.Op == "submit" && j.acceptedAt == 0 {
		j.acceptedAt = m.At
	}
	h.judgeReportedPhase(j, m)
}

// noteCancelRequest records a request to cancel the job and keeps the earliest time.
func (j *job) noteCancelRequest(at int64) {
	if j.cancelRequestedAt == 0 || at < j.cancelRequestedAt {
		j.cancelRequestedAt = at
	}
}

// judgeUnanswered checks a query that got no answer or an error. It is compared only with other
// queries from the same region, because users of a region that is cut off can't reach any
// controller, whatever the controllers do.
func (h *Hub) judgeUnanswered(j *job, m *wire.Message) {
	if j.unansweredSince == 0 {
		j.unansweredSince = m.Due
		return
	}
	if j.acceptedAt > 0 && m.At-j.unansweredSince >= maxUnanswered && h.queries[m.Region].mostAnswered(m.At) {
		h.addViolation(m.At, "forgotten", "no question about %s was answered for %.0f s, while most others were", m.Ref, float64(m.At-j.unansweredSince)/1e6)
		j.unansweredSince = m.Due
	}
}

// judgeReportedPhase checks the phase of a job in an answer to its user.
func (h *Hub) judgeReportedPhase(j *job, m *wire.Message) {
	for _, reported := range []struct {
		phase string
		at    int64
	}{{"done", j.doneReportedAt}, {"cancelled", j.cancelReportedAt}} {
		// A request that was sent before the earlier answer arrived may return an older phase,
		// but a job can never be both done and cancelled.
		if reported.at > 0 && m.Phase != reported.phase && (m.Due >= reported.at || m.Phase == "done" || m.Phase == "cancelled") {
			h.addViolation(m.At, "went_back", "%s was called %s and then %s", m.Ref, reported.phase, m.Phase)
			return
		}
	}
	switch {
	case m.Phase == "done" && j.doneReportedAt == 0:
		j.doneReportedAt = m.At
		if j.spec == nil || j.done.n < j.spec.Tasks {
			h.addViolation(m.At, "not_done", "%s is called done with %d tasks done", m.Ref, j.done.n)
		}
	case m.Phase == "cancelled" && j.cancelReportedAt == 0:
		j.cancelReportedAt = m.At
		deadline := m.At + int64(h.platform.CancelTimeout)
		h.schedule(deadline, orderDeadline, func() {
			for _, p := range j.placements {
				h.addViolation(deadline, "ran_cancelled", "%s is on %s %.3f s after its user was told that it is cancelled", p.taskName(), p.machine.Name, h.platform.CancelTimeout.Seconds())
			}
		})
		if j.cancelRequestedAt == 0 || j.cancelRequestedAt > m.At {
			h.schedule(m.At+cancelRequestDelay, orderDeadline, func() {
				if j.cancelRequestedAt == 0 || j.cancelRequestedAt > m.At {
					h.addViolation(m.At, "went_back", "%s is called cancelled, which its user hadn't asked for", m.Ref)
				}
			})
		}
	}
}

func (p placement) taskName() string {
	return (&gangAttempt{job: p.job, number: p.attempt}).taskName(p.index)
}

// earlyLeave is the leave of a task that was checked before its enter.
type earlyLeave struct {
	at     int64
	reason string
}

// queryCounts counts the queries from a region in the last 90 s, by second.
type queryCounts struct {
	second   [90]int64 // second that the entry is for
	answered [90]int
	total    [90]int
}

func (p *queryCounts) add(at int64, answered bool) {
	s := at / 1e6
	i := s % 90
	if p.second[i] != s {
		p.second[i], p.answered[i], p.total[i] = s, 0, 0
	}
	p.total[i]++
	if answered {
		p.answered[i]++
	}
}

// mostAnswered reports whether more than half of the queries of the last 90 s were answered.
func (p *queryCounts) mostAnswered(at int64) bool {
	answered, total := 0, 0
	for i, s := range p.second {
		if s > at/1e6-90 {
			answered, total = answered+p.answered[i], total+p.total[i]
		}
	}
	return 2*answered > total
}
