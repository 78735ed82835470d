package controller

import (
	"bytes"
	"net"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
	"mapleslip/internal/state"
)

// rolloutDriver carries out what package rollout decides.
type rolloutDriver struct {
	*environment
	catalog     *machineCatalog
	directory   *jobDirectory
	election    *election
	membership  *membership
	store       *stateStore
	submissions *submissions
	users       *userGateway

	settings        *rollout.Settings       // nil: roll-outs are off
	operatorCalls   map[uint64]ReplyAddress // operators who wait for an answer
	operatorCallSeq uint64
}

// rolloutTerm is what a leader has of roll-outs during one epoch.
type rolloutTerm struct {
	manager           *rollout.Manager // nil: they are off
	revisions         map[string]uint64
	nextChecker       int               // which controller makes the next check
	checkBackoffUntil map[string]micros // controllers whose checks others disputed: not asked before
	damaged           map[string]bool   // services whose record can't be read
	tooLong           map[string]bool   // services whose record is longer than the state service takes
	deferredEvents    []rollout.Event   // what came while the lease could have ended
}

// tooLongRetry is how often a record that is too long is looked at again.
const tooLongRetry = 30 * protocol.Second

// rolloutReplyTimeout is how long an operator waits for the state service.
const rolloutReplyTimeout = 1500 * protocol.Millisecond

func (rd *rolloutDriver) initRolloutTerm(t *leaderTerm) {
	if rd.settings == nil {
		return
	}
	t.rollouts = rolloutTerm{
		manager: rollout.NewManager(*rd.settings, jobSource{t}, rd.rng.Uint64()), revisions: make(map[string]uint64),
		checkBackoffUntil: make(map[string]micros), damaged: make(map[string]bool), tooLong: make(map[string]bool),
	}
}

// fleet shows a leader's jobs to roll-outs.
type jobSource struct{ t *leaderTerm }

// Job says how a job stands. Only what certainly runs counts as running.
func (f jobSource) Job(ref string, each func(rollout.Instance)) rollout.Job {
	j := f.t.cluster.Job(ref)
	if j == nil {
		return rollout.Job{}
	}
	out := rollout.Job{Life: rollout.Live, Settled: j.NoActiveAttempts(), Service: j.Spec.Kind == protocol.Service, Spec: j.Spec}
	if j.State != state.JobActive && j.State != state.JobBlocked {
		out.Life = rollout.Cancelled
	}
	if each == nil {
		return out
	}
	for k := range j.Tasks {
		i := rollout.Instance{Index: k}
		a := j.Tasks[k].Current
		i.Unheard = a != nil && a.Adopted && a.State == state.AttemptLaunched && !a.Host.Reconciled
		if a != nil && a.State == state.AttemptRunning && !a.StopRequested {
			i.Running, i.Attempt = true, a.Name.Number
			i.IP, _, _ = net.SplitHostPort(a.Host.Addr)
		}
		each(i)
	}
	return out
}

// readRolloutRecord takes a record. One that can't be read bars roll-outs of its service,
// and nothing else.
func (rd *rolloutDriver) readRolloutRecord(e protocol.Entry) {
	t := rd.term
	service := e.Key[len(rollout.Prefix):]
	if err := t.rollouts.manager.Load(rd.now.Steady, e.Value); err != nil {
		rd.log.Error("damaged record", "key", e.Key, "err", err)
		t.rollouts.damaged[service] = true
		return
	}
	t.rollouts.revisions[service] = e.Revision
}

// stepRollouts hands an event to the roll-outs and does what follows.
func (rd *rolloutDriver) stepRollouts(ev rollout.Event) {
	t := rd.term
	if t == nil || t.rollouts.manager == nil {
		return
	}
	if !rd.election.mayActAsLeader() {
		// Nothing is begun now, and nothing is forgotten: a check whose end got lost
		// would be taken for one on its way for ever.
		t.rollouts.deferredEvents = append(t.rollouts.deferredEvents, ev)
		return
	}
	if later := t.rollouts.deferredEvents; len(later) > 0 {
		t.rollouts.deferredEvents = nil
		for _, ev := range later {
			rd.stepRollouts(ev)
		}
	}
	for _, e := range t.rollouts.manager.Step(rd.now.Steady, ev) {
		switch e := e.(type) {
		case rollout.Save:
			rd.saveRollout(t, e)
		case rollout.Submit:
			rd.callInternally(func(to ReplyAddress) { rd.submitRolloutJob(to, e.Job) }, func(status int, body []byte) {
				s := rollout.Submitted{Ref: e.Job.Ref, Status: status, Phase: protocol.Phase(fastjson.GetString(body, "phase"))}
				if status == 400 || status == 422 {
					s.Why = fastjson.GetString(body, "error")
				}
				rd.stepRollouts(s)
			})
		case rollout.Cancel:
			rd.callInternally(func(to ReplyAddress) { rd.term.jobs.cancelJob(to, e.Ref) }, func(status int, _ []byte) {
				rd.stepRollouts(rollout.CancelDone{Ref: e.Ref, Status: status})
			})
		case rollout.Check:
			rd.checkInstance(t, e)
		case rollout.Answer:
			if to, ok := rd.operatorCalls[e.To]; ok {
				delete(rd.operatorCalls, e.To)
				rd.reply(to, e.Status, e.Body, 0)
			}
		case rollout.Moved:
			rd.log.Info("roll-out", "service", e.Service, "id", e.ID, "from", e.From.String(), "to", e.To.String(), "reason", e.Reason)
			if e.Text != "" {
				rd.log.Info(e.Text)
			}
		case rollout.Disputed:
			rd.log.Info("check disputed", "by", e.By, "against", e.Against)
			rd.stats.DisputedChecks++
			t.rollouts.checkBackoffUntil[e.Against] = rd.now.Steady + checkBackoff
		}
	}
}

// submitRolloutJob submits a roll-out's job. One that is over is known by its last phase.
func (rd *rolloutDriver) submitRolloutJob(to ReplyAddress, spec *protocol.JobSpec) {
	if f, over := rd.directory.finishedJobs.find(spec.Ref); over {
		rd.directory.replyFinishedJob(to, spec.Ref, f)
		return
	}
	rd.submissions.submitJob(to, spec)
}

// saveRollout makes a record durable: again and again, until it is or this node does
// not lead any more.
func (rd *rolloutDriver) saveRollout(t *leaderTerm, e rollout.Save) {
	key := rollout.Prefix + e.Service
	when := []protocol.Condition{{Key: key, Revision: t.rollouts.revisions[e.Service]}}
	again := func(d micros) {
		rd.after(d, func() {
			if rd.term == t {
				rd.saveRollout(t, e)
			}
		})
	}
	if size := len(e.Value); size > rd.store.limits.accepted.maxValueBytes {
		// It was begun under larger limits. Nothing of it goes on; its jobs do.
		if !t.rollouts.tooLong[e.Service] {
			t.rollouts.tooLong[e.Service] = true
			rd.log.Error("the record of a roll-out is too long for the state service", "service", e.Service, "bytes", size, "most", rd.store.limits.accepted.maxValueBytes)
		}
		again(tooLongRetry)
		return
	}
	rd.election.leaderTransaction(priorityUser, when, []protocol.Change{{Key: key, Value: e.Value}}, func(o txnOutcome, r protocol.TxnResult) {
		switch o {
		case txnCommitted:
			t.rollouts.revisions[e.Service] = r.Revision
			rd.stepRollouts(rollout.Saved{Service: e.Service})
		case txnConflict:
			// An earlier try may have been applied late. Nobody else writes it.
			rd.store.getKey(priorityUser, key, func(now protocol.Entry, found, ok bool) {
				switch {
				case rd.term != t:
				case ok && found && sameJSON(now.Value, e.Value):
					t.rollouts.revisions[e.Service] = now.Revision
					rd.stepRollouts(rollout.Saved{Service: e.Service})
				default:
					if ok {
						t.rollouts.revisions[e.Service] = now.Revision // 0: it is not there
					}
					again(500 * protocol.Millisecond)
				}
			})
		default:
			again(300 * protocol.Millisecond)
		}
	})
}

// sameJSON compares what was written with what is read: the state service may space
// it otherwise.
func sameJSON(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	p, q := protocol.Parsers.Get(), protocol.Parsers.Get()
	defer protocol.Parsers.Put(p)
	defer protocol.Parsers.Put(q)
	v, err := p.ParseBytes(a)
	w, err2 := q.ParseBytes(b)
	return err == nil && err2 == nil && bytes.Equal(v.MarshalTo(nil), w.MarshalTo(nil))
}

var rolloutOps = map[protocol.UserOp]rollout.Op{
	protocol.OpRollout: rollout.Start, protocol.OpRollouts: rollout.List, protocol.OpRolloutShow: rollout.Show,
	protocol.OpRolloutPause: rollout.Pause, protocol.OpRolloutResume: rollout.Resume, protocol.OpRolloutRevert: rollout.Revert,
}

// onRolloutRequest handles an operator's call about roll-outs, wherever it came in.
func (rd *rolloutDriver) onRolloutRequest(e UserRequest) {
	if rd.settings == nil {
		rd.reply(e.Reply, 404, protocol.ErrorBody("roll-outs are off"), 0)
		return
	}
	r := rollout.Request{Op: rolloutOps[e.Op], Service: e.Ref}
	if e.Op == protocol.OpRollout {
		spec, err := protocol.ParseRollout(e.Body)
		if err != nil {
			rd.reply(e.Reply, 400, protocol.ErrorBody(err.Error()), 0)
			return
		}
		r.Spec, r.Service = spec, spec.Service
	} else if r.Op != rollout.List && !protocol.ValidService(e.Ref) {
		rd.reply(e.Reply, 404, protocol.ErrorBody("no such service"), 0)
		return
	}
	if !rd.election.mayActAsLeader() {
		if e.Reply.Peer {
			rd.reply(e.Reply, 0, nil, 0)
			return
		}
		rd.users.forwardLeaderOnly(e, rolloutReplyTimeout+500*protocol.Millisecond, rd.now.Steady)
		return
	}
	t := rd.term
	if t.rollouts.damaged[r.Service] {
		rd.reply(e.Reply, 422, protocol.ErrorBody("the record of this service is damaged, see the leader's log"), 0)
		return
	}
	if r.Spec != nil {
		if len(rd.catalog.types) == 0 {
			rd.replyUnavailable(e.Reply, refusalMachineTypes)
			return
		}
		// All instances and the surge at once have to be within what the team may use.
		job := *r.Spec.Job
		job.Kind, job.Tasks = protocol.Service, r.Spec.Count+r.Spec.MaxSurge
		if why := rd.submissions.validateRunnable(&job); why != "" {
			rd.reply(e.Reply, 422, protocol.ErrorBody("job, with count and surge: "+why), 0)
			return
		}
	}
	rd.operatorCallSeq++
	r.To = rd.operatorCallSeq
	rd.operatorCalls[r.To] = e.Reply
	// Nobody is kept waiting for the state service longer than this.
	rd.after(rolloutReplyTimeout, func() {
		if to, ok := rd.operatorCalls[r.To]; ok {
			delete(rd.operatorCalls, r.To)
			rd.replyUnavailable(to, refusalStateService)
		}
	})
	rd.stepRollouts(r)
}
