package controller

import (
	"net"
	"net/http"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/state"
	"mapleslip/internal/statestore"
)

// rolloutDriver passes events to package rollout and executes the effects that it returns.
type rolloutDriver struct {
	*environment
	catalog     *machineCatalog
	directory   *jobDirectory
	election    *election
	membership  *membership
	store       *statestore.Client
	submissions *submissions
	users       *userGateway

	settings        *rollout.Settings       // nil if roll-outs are off
	operatorCalls   map[uint64]ReplyAddress // operators' requests without a reply, by call number
	operatorCallSeq uint64
}

// rolloutTerm is a leader's state of the roll-outs during one epoch.
type rolloutTerm struct {
	manager           *rollout.Manager  // nil if roll-outs are off
	revisions         map[string]uint64 // of the records, by service
	nextChecker       int               // index of the controller that makes the next check
	checkBackoffUntil map[string]micros // by controller, after one of its checks was disputed
	damaged           map[string]bool   // services whose record can't be read
	tooLong           map[string]bool   // services whose record is too long for the state service
	deferredEvents    []rollout.Event   // events received while the lease could have expired
}

// startTerm creates a new leader's state of the roll-outs.
func (rd *rolloutDriver) startTerm(t *leaderTerm) {
	if rd.settings == nil {
		return
	}
	t.rollouts = rolloutTerm{
		manager:           rollout.NewManager(*rd.settings, jobSource{t}, rd.rng.Uint64()),
		revisions:         make(map[string]uint64),
		checkBackoffUntil: make(map[string]micros),
		damaged:           make(map[string]bool),
		tooLong:           make(map[string]bool),
	}
}

// jobSource gives package rollout access to a leader's jobs.
type jobSource struct{ t *leaderTerm }

// Job implements rollout.JobSource. A task counts as running only if it certainly runs.
func (s jobSource) Job(ref string, visit func(rollout.Instance)) rollout.Job {
	j := s.t.cluster.Job(ref)
	if j == nil {
		return rollout.Job{}
	}
	job := rollout.Job{State: rollout.JobLive, Settled: j.NoActiveAttempts(), Service: j.Spec.Kind == protocol.Service, Spec: j.Spec}
	if j.State != state.JobActive && j.State != state.JobBlocked {
		job.State = rollout.JobCancelled
	}
	if visit != nil {
		for k := range j.Tasks {
			visit(instanceOf(j, k))
		}
	}
	return job
}

// instanceOf returns a service's task as an instance of package rollout.
func instanceOf(j *state.Job, index int) rollout.Instance {
	i := rollout.Instance{Index: index}
	a := j.Tasks[index].Current
	if a == nil {
		return i
	}
	i.Unconfirmed = a.Adopted && a.State == state.AttemptLaunched && !a.Host.Reconciled
	if a.State == state.AttemptRunning && !a.StopRequested {
		i.Running, i.Attempt = true, a.Name.Number
		i.IP, _, _ = net.SplitHostPort(a.Host.Addr)
	}
	return i
}

// step passes an event to the roll-out manager and executes the resulting effects.
func (rd *rolloutDriver) step(ev rollout.Event) {
	t := rd.term
	if t == nil || t.rollouts.manager == nil {
		return
	}
	if !rd.election.mayActAsLeader() {
		// The event is kept until this controller may act as the leader. Without its result, a
		// check would count as in flight forever.
		t.rollouts.deferredEvents = append(t.rollouts.deferredEvents, ev)
		return
	}
	if deferred := t.rollouts.deferredEvents; len(deferred) > 0 {
		t.rollouts.deferredEvents = nil
		for _, ev := range deferred {
			rd.step(ev)
		}
	}
	for _, e := range t.rollouts.manager.Step(rd.now.Steady, ev) {
		rd.execute(t, e)
	}
}

// execute carries out an effect that the roll-out manager returned.
func (rd *rolloutDriver) execute(t *leaderTerm, e rollout.Effect) {
	switch e := e.(type) {
	case rollout.Save:
		rd.save(t, e)
	case rollout.Submit:
		rd.submitJob(e.Job)
	case rollout.Cancel:
		rd.callInternally(func(to ReplyAddress) { rd.term.jobs.cancelJob(to, e.Ref) }, func(status int, _ []byte) {
			rd.step(rollout.CancelDone{Ref: e.Ref, Status: status})
		})
	case rollout.Check:
		rd.checkInstance(t, e)
	case rollout.Reply:
		if to, ok := rd.operatorCalls[e.To]; ok {
			delete(rd.operatorCalls, e.To)
			rd.reply(to, e.Status, e.Body)
		}
	case rollout.StateChanged:
		rd.log.Info("roll-out", "service", e.Service, "id", e.ID, "from", e.From.String(), "to", e.To.String(), "reason", e.Reason)
		if e.Text != "" {
			rd.log.Info(e.Text)
		}
	case rollout.CheckDisputed:
		rd.log.Info("check disputed", "by", e.By, "against", e.Against)
		rd.stats.DisputedChecks++
		t.rollouts.checkBackoffUntil[e.Against] = rd.now.Steady + checkBackoff
	}
}

// submitJob submits a job of a roll-out and passes the reply to the roll-out manager.
func (rd *rolloutDriver) submitJob(spec *protocol.JobSpec) {
	request := func(to ReplyAddress) {
		if f, finished := rd.directory.finishedJobs.find(spec.Ref); finished {
			rd.directory.replyFinishedJob(to, spec.Ref, f)
			return
		}
		rd.submissions.submit(to, spec)
	}
	rd.callInternally(request, func(status int, body []byte) {
		s := rollout.Submitted{Ref: spec.Ref, Status: status, Phase: protocol.Phase(protocol.TextMember(body, "phase"))}
		if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity {
			s.Refusal = protocol.TextMember(body, "error")
		}
		rd.step(s)
	})
}
