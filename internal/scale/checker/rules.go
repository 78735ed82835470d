package checker

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/wire"
)

const (
	// unanswered is how long no question about a job may be answered, while most others are.
	unanswered = int64(90 * protocol.Second)
	// askedLate is how much later it may become known that a user asked to cancel a job:
	// the answer comes, or doesn't, within 5 s.
	askedLate = int64(10 * protocol.Second)
)

// enters judges a task that is on a machine from now on.
func (h *Hub) enters(j *job, index int, try uint64, m *wire.Message, asked int64) {
	where, s := h.machines[m.Name], j.spec
	if where == nil {
		h.counts.Unknown++
		return
	}
	if old, there := j.on[index]; there {
		if old.machine != where {
			h.violated(m.At, "ran_twice", "%s starts on %s while it is on %s as attempt %d", m.Task, m.Name, old.machine.Name, old.try)
		}
		h.off(old)
	}
	p := place{j, index, try, where}
	j.on[index] = p
	where.on[m.Task] = p
	j.zones[where.Zone]++
	h.counts.Starts++
	h.counts.Running++
	c := h.class(s.Class)
	c.Starts++
	c.Running++
	again := !j.started.set(index)
	if s.Kind != protocol.Gang {
		h.starts(Start{Spec: s, Task: m.Task, Tasks: 1, Again: again, Due: j.due, Asked: asked, At: m.At, Fetch: m.Run})
	}
	h.judgePlace(p, m)
	used := h.team(s.Team)
	*used = used.Add(s.TaskResources, 1)
	if limit := h.platform.Teams[s.Team].Limit; limit.CPU > 0 && used.CPU > limit.CPU || limit.GPU > 0 && used.GPU > limit.GPU {
		h.violated(m.At, "quota", "team %s uses %+v of %+v thousandths with %s on %s", s.Team, *used, limit, m.Task, m.Name)
	}
	if j.cancelled > 0 && m.At > j.cancelled+int64(h.platform.CancelTimeout) {
		h.violated(m.At, "ran_cancelled", "%s starts on %s %.3f s after its user was told that it is cancelled", m.Task, m.Name, float64(m.At-j.cancelled)/1e6)
	}
	if left, early := where.early[m.Task]; early {
		delete(where.early, m.Task)
		if left.at >= m.At {
			h.leaves(j, index, try, m.Name, left.why, left.at)
		}
	}
}

// judgePlace judges where a task starts.
func (h *Hub) judgePlace(p place, m *wire.Message) {
	s, where := p.job.spec, p.machine
	wrong := func(why string) {
		h.violated(m.At, "wrong_place", "%s starts on %s (%s, zone %s, spot %t): %s", m.Task, m.Name, where.Type, where.Zone, where.Spot, why)
	}
	switch t := h.types[where.Type]; {
	case !s.AllowsType(where.Type) || t == nil || !t.Capacity.Covers(s.TaskResources):
		wrong("its job doesn't allow the type")
	case s.Zone != "" && s.Zone != where.Zone:
		wrong("its job allows only zone " + s.Zone)
	case where.Spot && !s.AllowSpot:
		wrong("its job allows no spot machines")
	case s.SingleZone && len(p.job.zones) > 1:
		wrong("others of its job are in another zone")
	case s.SpreadZones && p.job.zones[where.Zone] > (s.Tasks+1)/2:
		wrong("more than half of its job are in that zone")
	}
}

func (h *Hub) team(name string) *protocol.Resources {
	used := h.teams[name]
	if used == nil {
		used = new(protocol.Resources)
		h.teams[name] = used
	}
	return used
}

// off takes a task off its machine.
func (h *Hub) off(p place) {
	s := p.job.spec
	delete(p.job.on, p.index)
	delete(p.machine.on, p.name())
	if p.job.zones[p.machine.Zone]--; p.job.zones[p.machine.Zone] == 0 {
		delete(p.job.zones, p.machine.Zone)
	}
	used := h.team(s.Team)
	*used = used.Add(s.TaskResources, -1)
	h.counts.Running--
	h.class(s.Class).Running--
}

// leaves takes note of a task that is gone from a machine. One that leaves at the moment
// at which it has come is judged before it has come: the rest follows then.
func (h *Hub) leaves(j *job, index int, try uint64, name, why string, at int64) {
	where := h.machines[name]
	p, there := j.on[index]
	if where == nil || !there || p.machine != where || p.try != try {
		if where != nil {
			if where.early == nil {
				where.early = make(map[string]early)
			}
			where.early[place{j, index, try, where}.name()] = early{at, why}
		}
		return
	}
	h.off(p)
	h.counts.Leaves[why]++
	if why == string(protocol.ExitDone) {
		h.finished(j, index)
	}
}

// finished takes note of a task that is done; of a gang all are then.
func (h *Hub) finished(j *job, index int) {
	if j.done.has(index) {
		return
	}
	first, last := index, index
	if j.spec.Kind == protocol.Gang {
		first, last = 0, j.spec.Tasks-1
	}
	for i := first; i <= last; i++ {
		if j.done.set(i) {
			h.counts.Done++
			h.class(j.spec.Class).Done++
		}
	}
}

// answered judges what a user was told.
func (h *Hub) answered(m *wire.Message) {
	j := h.jobs[m.Ref]
	ok := m.Status == 200 || m.Status == 201
	if m.Op == "query" {
		p := h.polls[m.Region]
		if p == nil {
			p = &polls{}
			h.polls[m.Region] = p
		}
		p.count(m.At, ok || m.Status == 404)
	}
	if j == nil {
		if ok && m.Op != "config" {
			h.violated(m.At, "invented", "%s of %s, which nobody has submitted, gets %d %s", m.Op, m.Ref, m.Status, m.Phase)
		}
		return
	}
	if m.Op == "cancel" {
		j.ask(m.Due)
	}
	known := j.accepted > 0 && m.Due >= j.accepted
	switch {
	case m.Op == "submit" && (m.Status == 400 || m.Status == 422) && known:
		h.violated(m.At, "forgotten", "a repeated submission of %s gets %d", m.Ref, m.Status)
	case m.Status == 404 && m.Op != "submit" && known:
		h.violated(m.At, "forgotten", "%s of %s, which was accepted, gets 404", m.Op, m.Ref)
	case m.Op == "query" && m.Status != 404 && !ok:
		h.unanswered(j, m)
	}
	if m.Op == "query" && (ok || m.Status == 404) {
		j.failing = 0
	}
	if !ok {
		return
	}
	if m.Op == "submit" && j.accepted == 0 {
		j.accepted = m.At
	}
	h.told(j, m)
}

// ask notes from when on a job's user asks to cancel it.
func (j *job) ask(at int64) {
	if j.asked == 0 || at < j.asked {
		j.asked = at
	}
}

// unanswered judges a question that got no answer. The others that it is compared with
// are those from its region: users of a region that is apart can reach nobody, whatever
// the controllers do.
func (h *Hub) unanswered(j *job, m *wire.Message) {
	if j.failing == 0 {
		j.failing = m.Due
		return
	}
	if j.accepted > 0 && m.At-j.failing >= unanswered && h.polls[m.Region].most(m.At) {
		h.violated(m.At, "forgotten", "no question about %s was answered for %.0f s, while most others were", m.Ref, float64(m.At-j.failing)/1e6)
		j.failing = m.Due
	}
}

// told judges the state of a job that its user was told.
func (h *Hub) told(j *job, m *wire.Message) {
	for _, was := range []struct {
		phase string
		at    int64
	}{{"done", j.toldDone}, {"cancelled", j.cancelled}} {
		// What was asked before the user had heard it may be older, but a job can't be
		// both at any time.
		if was.at > 0 && m.Phase != was.phase && (m.Due >= was.at || m.Phase == "done" || m.Phase == "cancelled") {
			h.violated(m.At, "went_back", "%s was called %s and then %s", m.Ref, was.phase, m.Phase)
			return
		}
	}
	switch {
	case m.Phase == "done" && j.toldDone == 0:
		j.toldDone = m.At
		if j.spec == nil || j.done.n < j.spec.Tasks {
			h.violated(m.At, "not_done", "%s is called done with %d tasks done", m.Ref, j.done.n)
		}
	case m.Phase == "cancelled" && j.cancelled == 0:
		j.cancelled = m.At
		deadline := m.At + int64(h.platform.CancelTimeout)
		h.push(deadline, byDeadline, func() {
			for _, p := range j.on {
				h.violated(deadline, "ran_cancelled", "%s is on %s %.3f s after its user was told that it is cancelled", p.name(), p.machine.Name, h.platform.CancelTimeout.Seconds())
			}
		})
		if j.asked == 0 || j.asked > m.At {
			h.push(m.At+askedLate, byDeadline, func() {
				if j.asked == 0 || j.asked > m.At {
					h.violated(m.At, "went_back", "%s is called cancelled, which its user hadn't asked for", m.Ref)
				}
			})
		}
	}
}

func (p place) name() string { return (&attempt{job: p.job, try: p.try}).name(p.index) }

// early is a leave that was judged before its enter.
type early struct {
	at  int64
	why string
}

// polls counts questions from a region in the last 90 s, by second.
type polls struct {
	second   [90]int64
	answered [90]int
	all      [90]int
}

func (p *polls) count(at int64, answered bool) {
	s := at / 1e6
	i := s % 90
	if p.second[i] != s {
		p.second[i], p.answered[i], p.all[i] = s, 0, 0
	}
	p.all[i]++
	if answered {
		p.answered[i]++
	}
}

// most reports whether most questions of the last 90 s were answered.
func (p *polls) most(at int64) bool {
	answered, all := 0, 0
	for i, s := range p.second {
		if s > at/1e6-90 {
			answered, all = answered+p.answered[i], all+p.all[i]
		}
	}
	return 2*answered > all
}
