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

// CompileMessage compiles the operators' message template, which may use .Service, .ID, .From, .To
// and .Reason.
func CompileMessage(text string) (*template.Template, error) {
	t, err := compileTemplate("message", text)
	if err != nil {
		return nil, err
	}
	if err := t.Execute(io.Discard, messageData(StateChanged{})); err != nil {
		return nil, errors.New("message: may use .Service, .ID, .From, .To and .Reason")
	}
	return t, nil
}

// RequestError is the reason for which a request is rejected, with its HTTP status.
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

// replyError rejects a request. Any error but a RequestError is reported as a bad request.
func (m *Manager) replyError(to uint64, err error) {
	status := http.StatusBadRequest
	var requestErr *RequestError
	if errors.As(err, &requestErr) {
		status = requestErr.Status
	}
	m.reply(to, status, protocol.ErrorBody(err.Error()))
}

// replyStatus answers with the status of a service's roll-out.
func (m *Manager) replyStatus(to uint64, sv *service, status int) {
	m.reply(to, status, protocol.AppendRolloutStatus(nil, m.status(sv), true))
}

// replyOnceSaved answers with the status of a service's roll-out once its pending record is
// durable.
func (m *Manager) replyOnceSaved(to uint64, sv *service, status int) {
	m.afterSave[sv] = append(m.afterSave[sv], func() { m.replyStatus(to, sv, status) })
}

// replyList answers with the roll-outs of all services.
func (m *Manager) replyList(to uint64) {
	b := []byte(`{"rollouts":[`)
	for _, name := range m.serviceNames() {
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

// onRequest handles an operator's request.
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
		// The request is handled once the pending record is durable.
		m.afterSave[sv] = append(m.afterSave[sv], func() { m.onRequest(e) })
	case sv.record.State.Ended():
		m.replyError(e.To, requestErrorf(http.StatusConflict, "the roll-out has ended: %s", sv.record.State))
	default:
		m.applyCommand(e, sv)
	}
}

// byCommand is the reason for a change of state that an operator requested.
const byCommand = "by command"

// applyCommand pauses, resumes or reverts a roll-out.
func (m *Manager) applyCommand(e Request, sv *service) {
	r := sv.record
	next := r.clone()
	switch {
	case e.Op == Pause && r.State != Paused:
		next.setState(Paused, byCommand)
	case e.Op == Resume && r.State == Paused:
		next.IgnoreUnhealthyStart = next.IgnoreUnhealthyStart || r.PausedIn == Planned
		next.setState(r.PausedIn, "")
		// The fault may have been repaired, so earlier results no longer count.
		sv.reset(m.now)
		for _, i := range sv.instances {
			i.restart(m.now, Instance{Index: i.index, Running: i.running, Attempt: i.attempt, IP: i.ip})
		}
	case e.Op == Revert && r.State != Reverting:
		next.setState(Reverting, byCommand)
		sv.progressAt, sv.timeoutsFrom = m.now, m.now
	default: // the roll-out already is in the requested state
		m.replyStatus(e.To, sv, http.StatusOK)
		return
	}
	m.save(sv, next)
	m.replyOnceSaved(e.To, sv, http.StatusOK)
}

// replyIfRepeated answers a request to start a roll-out that is already the last one of the
// service, and reports whether it did.
func (m *Manager) replyIfRepeated(e Request, sv *service) bool {
	last := sv.latestRecord().New.Spec
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

// start starts the roll-out that a request describes.
func (m *Manager) start(e Request, sv *service) error {
	r, err := m.newRollout(e.Spec, sv)
	if err != nil {
		return err
	}
	if sv == nil {
		sv, err = newService(&Record{Service: e.Spec.Service, State: Idle}, m.now)
		if err != nil {
			panic(err) // a record without versions has no checks that could be invalid
		}
		m.services[e.Spec.Service] = sv
	}
	// Faults and results of an earlier roll-out do not count for this one.
	sv.reset(m.now)
	sv.dropInstances()
	m.save(sv, r)
	m.replyOnceSaved(e.To, sv, http.StatusCreated)
	return nil
}

// newRollout returns the record of a new roll-out, or an error if it can't be carried out.
func (m *Manager) newRollout(s *protocol.RolloutSpec, sv *service) (*Record, error) {
	if err := checkNotBusy(sv); err != nil {
		return nil, err
	}
	if _, err := newCheckTarget(&s.Check); err != nil {
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

// checkNotBusy returns an error if the last roll-out of a service is still in progress, or if its
// jobs are still leaving.
func checkNotBusy(sv *service) error {
	switch {
	case sv == nil:
		return nil
	case !sv.record.State.Ended() || sv.pending != nil:
		current := sv.latestRecord()
		return requestErrorf(http.StatusConflict, "roll-out %s of this service is %s", current.New.Spec.ID, current.State)
	case sv.needsWork():
		return requestErrorf(http.StatusConflict, "instances of the last roll-out are still being taken away")
	}
	return nil
}

// adopt returns an old version that consists of jobs submitted by users.
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

// recordBytesPerJob is the maximum size of a job in a record.
const recordBytesPerJob = 24

// checkFeasible returns an error if a roll-out can't be carried out without falling below its
// minimum of healthy instances, or if its record could become too large.
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
		// The number of instances that may be missing while a job is removed: the surge, and
		// those above the minimum of healthy instances.
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
	// A record contains the jobs of both versions, and those that a revert creates.
	size := batchSize(s)
	jobs := (s.Count+size-1)/size + len(r.Old.Batches) + (r.OldCount+size-1)/size + len(s.Stages)
	if len(r.Encode())+maxReasonBytes+recordBytesPerJob*jobs > m.settings.ValueBytes {
		return infeasible("surge: %d at a time make %d jobs, more than a record holds: raise surge or lower floor", size, jobs)
	}
	return nil
}
