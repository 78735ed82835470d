package controller

import (
	"net"
	"net/http"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/state"
	"mapleslip/internal/statestore"
)

// rolloutDriver carries out what package rollout decides.
type rolloutDriver struct {
	*environment
	catalog     *machineCatalog
	directory   *jobDirectory
	election    *election
	membership  *membership
	store       *statestore.Client
	submissions *submissions
	users       *userGateway

	settings        *rollout.Settings       // nil: roll-outs are off
	operatorCalls   map[uint64]ReplyAddress // operators who wait for an answer
	operatorCallSeq uint64
}

// rolloutTerm is what a leader holds of roll-outs during one epoch.
type rolloutTerm struct {
	manager           *rollout.Manager // nil: they are off
	revisions         map[string]uint64
	nextChecker       int               // which controller makes the next check
	checkBackoffUntil map[string]micros // controllers whose checks others disputed: not asked before
	damaged           map[string]bool   // services whose record can't be read
	tooLong           map[string]bool   // services whose record is longer than the state service takes
	deferredEvents    []rollout.Event   // those that came while the lease could have expired
}

// startTerm makes what a new leader holds of roll-outs.
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

// jobSource shows a leader's jobs to roll-outs.
type jobSource struct{ t *leaderTerm }

// Job is part of rollout.JobSource. Only what certainly runs counts as running.
func (s jobSource) Job(ref string, each func(rollout.Instance)) rollout.Job {
	j := s.t.cluster.Job(ref)
	if j == nil {
		return rollout.Job{}
	}
	job := rollout.Job{State: rollout.JobLive, Settled: j.NoActiveAttempts(), Service: j.Spec.Kind == protocol.Service, Spec: j.Spec}
	if j.State != state.JobActive && j.State != state.JobBlocked {
		job.State = rollout.JobCancelled
	}
	if each != nil {
		for k := range j.Tasks {
			each(instanceOf(j, k))
		}
	}
	return job
}

// instanceOf is a service's task as roll-outs see it.
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

// step hands an event to the roll-outs and carries out what follows.
func (rd *rolloutDriver) step(ev rollout.Event) {
	t := rd.term
	if t == nil || t.rollouts.manager == nil {
		return
	}
	if !rd.election.mayActAsLeader() {
		// Nothing is begun now, and nothing is forgotten: a check whose end got lost would be
		// taken for one on its way for ever.
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

// execute carries out an effect of the roll-outs.
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

// submitJob submits a roll-out's job.
func (rd *rolloutDriver) submitJob(spec *protocol.JobSpec) {
	request := func(to ReplyAddress) {
		if f, finished := rd.directory.finishedJobs.find(spec.Ref); finished {
			rd.directory.replyFinishedJob(to, spec.Ref, f)
			return
		}
		rd.submissions.submit(to, spec)
	}
	rd.callInternally(request, func(status int, body []byte) {
		s := rollout.Submitted{Ref: spec.Ref, Status: status, Phase: protocol.Phase(fastjson.GetString(body, "phase"))}
		if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity {
			s.Refusal = fastjson.GetString(body, "error")
		}
		rd.step(s)
	})
}
