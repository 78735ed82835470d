package rollout

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/template"

	"mapleslip/internal/protocol"
)

// CompileMessage reads the operators' template of a message. It may use .Service,
// .ID, .From, .To and .Reason.
func CompileMessage(text string) (*template.Template, error) {
	t, err := compile("message", text)
	if err != nil {
		return nil, err
	}
	if err := t.Execute(io.Discard, messageOf(Moved{})); err != nil {
		return nil, errors.New("message: may use .Service, .ID, .From, .To and .Reason")
	}
	return t, nil
}

func (g *Manager) answer(to uint64, status int, body []byte) {
	g.emit(Answer{To: to, Status: status, Body: body})
}

func (g *Manager) problem(to uint64, status int, format string, args ...any) {
	g.answer(to, status, protocol.ErrorBody(fmt.Sprintf(format, args...)))
}

func (g *Manager) request(e Request) {
	m := g.services[e.Service]
	if e.Op == List {
		b := []byte(`{"rollouts":[`)
		for _, name := range g.names() {
			if m := g.services[name]; m.rec.State != Idle {
				if b[len(b)-1] == '}' {
					b = append(b, ',')
				}
				b = protocol.AppendRolloutStatus(b, g.status(m), false)
			}
		}
		g.answer(e.To, 200, append(b, "]}"...))
		return
	}
	if e.Op == Start {
		g.start(e, m)
		return
	}
	if m == nil || m.rec.State == Idle {
		g.problem(e.To, 404, "no roll-out of such a service")
		return
	}
	if e.Op == Show {
		g.answerStatus(e.To, m, 200)
		return
	}
	if m.next != nil {
		// What is being written comes first.
		g.waiting[m] = append(g.waiting[m], func() { g.request(e) })
		return
	}
	r := m.rec
	if r.State.Ended() {
		g.problem(e.To, 409, "the roll-out has ended: %s", r.State)
		return
	}
	n := r.clone()
	switch {
	case e.Op == Pause && r.State != Paused:
		n.to(Paused, "by command")
	case e.Op == Resume && r.State == Paused:
		n.Forced = n.Forced || r.From == Planned
		n.to(r.From, "")
		// What was wrong may have been mended: instances have to show it anew.
		m.anew(g.now)
		for _, i := range m.instances {
			i.restart(g.now, Instance{Index: i.index, Running: i.running, Attempt: i.attempt, IP: i.ip})
		}
	case e.Op == Revert && r.State != Reverting:
		n.to(Reverting, "by command")
		m.progress, m.clock = g.now, g.now
	default: // it is so already
		g.answerStatus(e.To, m, 200)
		return
	}
	g.save(m, n)
	g.waiting[m] = append(g.waiting[m], func() { g.answerStatus(e.To, m, 200) })
}

func (g *Manager) answerStatus(to uint64, m *machine, status int) {
	g.answer(to, status, protocol.AppendRolloutStatus(nil, g.status(m), true))
}

// start begins a roll-out. A request that is repeated finds the one it began.
func (g *Manager) start(e Request, m *machine) {
	s := e.Spec
	if m != nil && g.answerIfBusy(e, m) {
		return
	}
	if _, err := newTarget(&s.Check); err != nil {
		g.problem(e.To, 400, "%s", err)
		return
	}
	r := &Record{Service: s.Service, State: Idle}
	if m != nil {
		r = m.rec.clone()
	} else if len(g.services) >= g.set.Services {
		g.problem(e.To, 422, "there are roll-outs of %d services already, which is what the operators allow", len(g.services))
		return
	}
	if r.Old.live() == 0 {
		r.Old = Version{}
	}
	if len(s.AdoptJobs) > 0 {
		old, status, why := g.adopt(s, r)
		if why != "" {
			g.problem(e.To, status, "adopt: %s", why)
			return
		}
		r.Old = *old
	}
	r.New = Version{Hash: VersionOf(s.Job), Spec: s}
	r.OldCount = r.Old.live()
	if why := g.impossible(r); why != "" {
		g.problem(e.To, 422, "%s", why)
		return
	}
	r.Stage, r.Made, r.Changes, r.Forced = 0, 0, 0, false
	r.to(Planned, "")
	if m == nil {
		var err error
		if m, err = newMachine(&Record{Service: s.Service, State: Idle}, g.now); err != nil {
			panic(err) // there is nothing in it to be wrong
		}
		g.services[s.Service] = m
	}
	// Nothing of an earlier roll-out counts for this one.
	m.anew(g.now)
	m.forget()
	g.save(m, r)
	g.waiting[m] = append(g.waiting[m], func() { g.answerStatus(e.To, m, 201) })
}

// answerIfBusy answers a request that repeats one, or comes while another roll-out of the service
// goes on. It reports whether it did.
func (g *Manager) answerIfBusy(e Request, m *machine) bool {
	now := m.rec
	if m.next != nil {
		now = m.next
	}
	repeated := now.New.Spec != nil && now.New.Spec.ID == e.Spec.ID
	switch {
	case repeated && m.next != nil:
		g.waiting[m] = append(g.waiting[m], func() { g.answerStatus(e.To, m, http.StatusOK) })
	case repeated:
		g.answerStatus(e.To, m, http.StatusOK)
	case !m.rec.State.Ended() || m.next != nil:
		g.problem(e.To, http.StatusConflict, "roll-out %s of this service is %s", now.New.Spec.ID, now.State)
	case m.active():
		g.problem(e.To, http.StatusConflict, "instances of the last roll-out are still being taken away")
	default:
		return false
	}
	return true
}

// adopt makes the version before of jobs that users submitted.
func (g *Manager) adopt(s *protocol.RolloutSpec, r *Record) (*Version, int, string) {
	if r.Old.Spec != nil {
		return nil, 409, "the service has a version that a roll-out made"
	}
	v := &Version{}
	for _, ref := range s.AdoptJobs {
		job := g.fleet.Job(ref, nil)
		switch {
		case job.Life != Live:
			return nil, 422, ref + " is no job that runs"
		case !job.Service:
			return nil, 422, ref + " is no service"
		case g.owners[ref] != nil:
			return nil, 409, ref + " is of service " + g.owners[ref].rec.Service
		case v.Spec != nil && VersionOf(job.Spec) != v.Hash:
			return nil, 422, ref + " differs from " + s.AdoptJobs[0]
		}
		if v.Spec == nil {
			spec, old := *s, *job.Spec
			old.Ref, old.Tasks = "", 0
			spec.ID, spec.Job, spec.AdoptJobs = "adopted", &old, nil
			v.Spec, v.Hash = &spec, VersionOf(&old)
		}
		for _, b := range v.Batches {
			if b.Ref == ref {
				return nil, 422, ref + " is named twice"
			}
		}
		v.Batches = append(v.Batches, Batch{Ref: ref, Tasks: job.Spec.Tasks})
	}
	return v, 0, ""
}

// impossible says why a roll-out can't be done without fewer healthy instances
// than its floor at some time, or nothing.
func (g *Manager) impossible(r *Record) string {
	s := r.New.Spec
	if s.MinHealthy > s.Count {
		return fmt.Sprintf("floor: %d of %d instances can't be healthy", s.MinHealthy, s.Count)
	}
	if r.OldCount > 0 {
		if s.MinHealthy > r.OldCount {
			return fmt.Sprintf("floor: the service has %d instances, %d can't be healthy", r.OldCount, s.MinHealthy)
		}
		// What may be missing while a job goes: the surge, and what is above the floor.
		slack := max(s.Count, r.OldCount) + s.MaxSurge - s.MinHealthy
		if slack < 1 {
			return "surge: none, and the floor is all instances: none could ever be replaced"
		}
		for _, b := range r.Old.Batches {
			if b.Tasks > slack {
				return fmt.Sprintf("surge: %s has %d instances, which go at once, and surge and floor leave %d", b.Ref, b.Tasks, slack)
			}
		}
	}
	// A record names the jobs of both versions, and those that a reversal makes.
	jobs := (s.Count+step(s)-1)/step(s) + len(r.Old.Batches) + (r.OldCount+step(s)-1)/step(s) + len(s.Stages)
	if size := len(r.Encode()) + mostReason + 24*jobs; size > g.set.ValueBytes {
		return fmt.Sprintf("surge: %d at a time make %d jobs, more than a record holds: raise surge or lower floor", step(s), jobs)
	}
	return ""
}

// status says how a service's roll-out stands.
func (g *Manager) status(m *machine) *protocol.RolloutStatus {
	r, s := m.rec, m.spec()
	st := &protocol.RolloutStatus{
		Service: r.Service, ID: s.ID, State: r.State.String(), Reason: r.Reason, Stage: r.Stage + 1, Stages: s.Stages,
		Count: s.Count, Floor: s.MinHealthy, Surge: s.MaxSurge, Changes: r.Changes,
	}
	if r.State == Paused {
		st.Reason = fmt.Sprintf("in %s: %s", r.From, r.Reason)
	}
	of := func(v *Version, t tally) protocol.VersionStatus {
		o := protocol.VersionStatus{Version: v.Hash, Instances: v.live()}
		if !r.State.Ended() {
			o.Running, o.Healthy, o.Failing = t.running, t.healthy, t.failing
		}
		for _, b := range v.Batches {
			if !b.Leaving {
				o.Jobs = append(o.Jobs, b.Ref)
			}
		}
		return o
	}
	st.Old, st.New = of(&r.Old, m.oldTally), of(&r.New, m.newTally)
	if r.State == Done { // the new version is the one that serves
		st.New, st.Old = st.Old, protocol.VersionStatus{}
	}
	st.New.Faulty = len(m.faults)
	return st
}
