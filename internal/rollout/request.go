package rollout

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/template"

	"mapleslip/internal/protocol"
)

// CompileMessage reads the operators' template of a message. It may use .Service,
// .ID, .From, .To and .Reason.
func CompileMessage(text string) (*template.Template, error) {
	t, err := compileTemplate("message", text)
	if err != nil {
		return nil, err
	}
	if err := t.Execute(io.Discard, messageOf(StateChanged{})); err != nil {
		return nil, errors.New("message: may use .Service, .ID, .From, .To and .Reason")
	}
	return t, nil
}

// RequestError is why a request is refused, with its HTTP status.
type RequestError struct {
	Status  int
	Problem string
}

func (e *RequestError) Error() string { return e.Problem }

func requestErrorf(status int, format string, args ...any) error {
	return &RequestError{status, fmt.Sprintf(format, args...)}
}

func (m *Manager) reply(to uint64, status int, body []byte) {
	m.emit(Reply{To: to, Status: status, Body: body})
}

// replyError answers that a request is refused. An error without a status is of the request.
func (m *Manager) replyError(to uint64, err error) {
	status := http.StatusBadRequest
	var refused *RequestError
	if errors.As(err, &refused) {
		status = refused.Status
	}
	m.reply(to, status, protocol.ErrorBody(err.Error()))
}

// replyStatus answers how a service's roll-out stands.
func (m *Manager) replyStatus(to uint64, sv *service, status int) {
	m.reply(to, status, protocol.AppendRolloutStatus(nil, m.status(sv), true))
}

// replyOnceSaved answers how a roll-out stands once what is being written is durable.
func (m *Manager) replyOnceSaved(to uint64, sv *service, status int) {
	m.waiting[sv] = append(m.waiting[sv], func() { m.replyStatus(to, sv, status) })
}

// replyList answers with the roll-outs of all services.
func (m *Manager) replyList(to uint64) {
	b := []byte(`{"rollouts":[`)
	for _, name := range m.names() {
		sv := m.services[name]
		if sv.record.State == Idle {
			continue
		}
		if b[len(b)-1] == '}' {
			b = append(b, ',')
		}
		b = protocol.AppendRolloutStatus(b, m.status(sv), false)
	}
	m.reply(to, http.StatusOK, append(b, "]}"...))
}

// onRequest serves an operator's request.
func (m *Manager) onRequest(e Request) {
	sv := m.services[e.Service]
	switch {
	case e.Op == List:
		m.replyList(e.To)
	case e.Op == Start:
		if sv != nil && m.replyIfRepeated(e, sv) {
			return
		}
		if err := m.start(e, sv); err != nil {
			m.replyError(e.To, err)
		}
	case sv == nil || sv.record.State == Idle:
		m.replyError(e.To, requestErrorf(http.StatusNotFound, "no roll-out of such a service"))
	case e.Op == Show:
		m.replyStatus(e.To, sv, http.StatusOK)
	case sv.pending != nil:
		// What is being written comes first.
		m.waiting[sv] = append(m.waiting[sv], func() { m.onRequest(e) })
	case sv.record.State.Ended():
		m.replyError(e.To, requestErrorf(http.StatusConflict, "the roll-out has ended: %s", sv.record.State))
	default:
		m.steer(e, sv)
	}
}

// byCommand is the reason for a change of state that an operator asked for.
const byCommand = "by command"

// steer pauses, resumes or reverts a roll-out.
func (m *Manager) steer(e Request, sv *service) {
	r := sv.record
	n := r.clone()
	switch {
	case e.Op == Pause && r.State != Paused:
		n.setState(Paused, byCommand)
	case e.Op == Resume && r.State == Paused:
		n.IgnoreUnhealthyStart = n.IgnoreUnhealthyStart || r.PausedIn == Planned
		n.setState(r.PausedIn, "")
		// What was wrong may have been repaired: instances have to show it anew.
		sv.reset(m.now)
		for _, i := range sv.instances {
			i.restart(m.now, Instance{Index: i.index, Running: i.running, Attempt: i.attempt, IP: i.ip})
		}
	case e.Op == Revert && r.State != Reverting:
		n.setState(Reverting, byCommand)
		sv.progressAt, sv.timeoutsFrom = m.now, m.now
	default: // it is so already
		m.replyStatus(e.To, sv, http.StatusOK)
		return
	}
	m.save(sv, n)
	m.replyOnceSaved(e.To, sv, http.StatusOK)
}

// replyIfRepeated answers a request that repeats the last one of the service. It reports whether
// it did.
func (m *Manager) replyIfRepeated(e Request, sv *service) bool {
	last := sv.newest().New.Spec
	if last == nil || last.ID != e.Spec.ID {
		return false
	}
	if sv.pending != nil {
		m.replyOnceSaved(e.To, sv, http.StatusOK)
	} else {
		m.replyStatus(e.To, sv, http.StatusOK)
	}
	return true
}

// start begins a roll-out.
func (m *Manager) start(e Request, sv *service) error {
	r, err := m.newRollout(e.Spec, sv)
	if err != nil {
		return err
	}
	if sv == nil {
		sv, err = newService(&Record{Service: e.Spec.Service, State: Idle}, m.now)
		if err != nil {
			panic(err) // there is nothing in it to be wrong
		}
		m.services[e.Spec.Service] = sv
	}
	// Nothing of an earlier roll-out counts for this one.
	sv.reset(m.now)
	sv.dropInstances()
	m.save(sv, r)
	m.replyOnceSaved(e.To, sv, http.StatusCreated)
	return nil
}

// newRollout makes the record of a roll-out, if it can be done.
func (m *Manager) newRollout(s *protocol.RolloutSpec, sv *service) (*Record, error) {
	if err := checkNotBusy(sv); err != nil {
		return nil, err
	}
	if _, err := newTarget(&s.Check); err != nil {
		return nil, err
	}
	r := &Record{Service: s.Service, State: Idle}
	if sv != nil {
		r = sv.record.clone()
	} else if len(m.services) >= m.settings.MaxServices {
		return nil, requestErrorf(http.StatusUnprocessableEntity, "there are roll-outs of %d services already, which is what the operators allow", len(m.services))
	}
	if r.Old.requestedInstances() == 0 {
		r.Old = Version{}
	}
	if len(s.AdoptJobs) > 0 {
		old, err := m.adopt(s, r)
		if err != nil {
			return nil, err
		}
		r.Old = *old
	}
	r.New = Version{Hash: VersionOf(s.Job), Spec: s}
	r.OldCount = r.Old.requestedInstances()
	if err := m.checkFeasible(r); err != nil {
		return nil, err
	}
	r.Stage, r.JobsMade, r.Changes, r.IgnoreUnhealthyStart = 0, 0, 0, false
	r.setState(Planned, "")
	return r, nil
}

// checkNotBusy returns an error while a roll-out of a service goes on.
func checkNotBusy(sv *service) error {
	switch {
	case sv == nil:
		return nil
	case !sv.record.State.Ended() || sv.pending != nil:
		now := sv.newest()
		return requestErrorf(http.StatusConflict, "roll-out %s of this service is %s", now.New.Spec.ID, now.State)
	case sv.needsWork():
		return requestErrorf(http.StatusConflict, "instances of the last roll-out are still being taken away")
	}
	return nil
}

// adopt makes the old version of jobs that users submitted.
func (m *Manager) adopt(s *protocol.RolloutSpec, r *Record) (*Version, error) {
	if r.Old.Spec != nil {
		return nil, requestErrorf(http.StatusConflict, "adopt: the service has a version that a roll-out made")
	}
	v := &Version{}
	for _, ref := range s.AdoptJobs {
		job := m.jobs.Job(ref, nil)
		switch {
		case job.State != JobLive:
			return nil, requestErrorf(http.StatusUnprocessableEntity, "adopt: %s is no job that runs", ref)
		case !job.Service:
			return nil, requestErrorf(http.StatusUnprocessableEntity, "adopt: %s is no service", ref)
		case m.owners[ref] != nil:
			return nil, requestErrorf(http.StatusConflict, "adopt: %s is of service %s", ref, m.owners[ref].record.Service)
		case v.Spec != nil && VersionOf(job.Spec) != v.Hash:
			return nil, requestErrorf(http.StatusUnprocessableEntity, "adopt: %s differs from %s", ref, s.AdoptJobs[0])
		}
		if v.Spec == nil {
			spec, old := *s, *job.Spec
			old.Ref, old.Tasks = "", 0
			spec.ID, spec.Job, spec.AdoptJobs = "adopted", &old, nil
			v.Spec, v.Hash = &spec, VersionOf(&old)
		}
		if slices.ContainsFunc(v.Batches, func(b Batch) bool { return b.Ref == ref }) {
			return nil, requestErrorf(http.StatusUnprocessableEntity, "adopt: %s is named twice", ref)
		}
		v.Batches = append(v.Batches, Batch{Ref: ref, Tasks: job.Spec.Tasks})
	}
	return v, nil
}

// recordBytesPerJob is what a job takes of a record, at most.
const recordBytesPerJob = 24

// checkFeasible returns an error if a roll-out can't be done without fewer healthy instances than
// its floor at some time.
func (m *Manager) checkFeasible(r *Record) error {
	infeasible := func(format string, args ...any) error {
		return requestErrorf(http.StatusUnprocessableEntity, format, args...)
	}
	s := r.New.Spec
	if s.MinHealthy > s.Count {
		return infeasible("floor: %d of %d instances can't be healthy", s.MinHealthy, s.Count)
	}
	if r.OldCount > 0 {
		if s.MinHealthy > r.OldCount {
			return infeasible("floor: the service has %d instances, %d can't be healthy", r.OldCount, s.MinHealthy)
		}
		// What may be missing while a job goes: the surge, and what is above the floor.
		slack := max(s.Count, r.OldCount) + s.MaxSurge - s.MinHealthy
		if slack < 1 {
			return infeasible("surge: none, and the floor is all instances: none could ever be replaced")
		}
		for _, b := range r.Old.Batches {
			if b.Tasks > slack {
				return infeasible("surge: %s has %d instances, which go at once, and surge and floor leave %d", b.Ref, b.Tasks, slack)
			}
		}
	}
	// A record names the jobs of both versions, and those that a reversal makes.
	size := batchSize(s)
	jobs := (s.Count+size-1)/size + len(r.Old.Batches) + (r.OldCount+size-1)/size + len(s.Stages)
	if len(r.Encode())+maxReasonBytes+recordBytesPerJob*jobs > m.settings.ValueBytes {
		return infeasible("surge: %d at a time make %d jobs, more than a record holds: raise surge or lower floor", size, jobs)
	}
	return nil
}
