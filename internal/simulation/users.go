package simulation

import (
	"fmt"
	"slices"
	"sort"

	"github.com/valyala/fastjson"

	"mapleslip/internal/controller"
	"mapleslip/internal/oddform"
	"mapleslip/internal/protocol"
	"mapleslip/internal/transport"
)

// userJob is a submitted job: the submission, how its tasks run, and what controllers reported
// about it to its user.
type userJob struct {
	spec              *protocol.JobSpec
	body              []byte // body of the submission
	run               micros // actual run time of a task
	fails             bool   // every task fails
	launches          int    // launches of its tasks that machines carried out
	results           []bool // by task: whether it completed
	accepted          bool
	status            int    // status of the last answer to a submission, 0 if none came in time
	phase             string // last phase that a controller reported to the user
	done, running     int    // numbers of tasks in the last answer to a query
	cancelRequested   bool   // the user requested cancellation
	cancelRequestedAt micros // time of the cancellation request of cancel-at
	reportedDone      bool   // a controller reported that the job is done
	endReportedAt     micros // time of the first report that it is done or cancelled
	cancelReportedAt  micros // time of the first report that it is cancelled, 0 if none
	connectedNode     *node  // node that the user is connected to, see stickyUsers
	answeredAt        micros // time when a query about the job was last answered
	waiting           roomWait
}

// userTimeouts contains the time for which users wait for an answer, by kind of request.
var userTimeouts = map[string]micros{"submit": 5 * protocol.Second, "query": 2 * protocol.Second, "cancel": 5 * protocol.Second}

// request sends a request of a kind to a controller and passes the answer to answer, with status 0
// if none comes in time.
func (w *World) request(n *node, kind, body string, answer func(int, []byte)) {
	answer = w.checkedAnswer(kind, w.comparingHandler(n, kind, body, answer))
	w.nextConn++
	conn := w.nextConn
	w.answers[conn] = answer
	if timeout := userTimeouts[kind]; timeout > 0 && w.live == nil {
		w.after(timeout, func() {
			if _, pending := w.answers[conn]; pending {
				delete(w.answers, conn) // a later answer is dropped
				answer(0, nil)
			}
		})
	}
	if kind == "hello" && len(body) > transport.MaxBody { // as the server does
		delete(w.answers, conn)
		answer(413, nil)
		return
	}
	w.measureCostly(func() { w.deliver(n, kind, body, controller.ReplyAddress{Conn: conn}) })
}

// deliver passes a request to a controller.
func (w *World) deliver(n *node, kind, body string, to controller.ReplyAddress) {
	switch kind {
	case "hello":
		w.step(n, controller.NewWorkerHeartbeat(to, []byte(body), false))
	case "submit":
		w.step(n, controller.NewUserRequest(to, protocol.OpSubmit, "", []byte(body)))
	case "query":
		w.step(n, controller.NewUserRequest(to, protocol.OpQuery, body, nil))
	case "health":
		w.step(n, controller.HealthzRequest{Reply: to})
	case "cancel":
		w.step(n, controller.NewUserRequest(to, protocol.OpCancel, body, nil))
	case "rollout":
		w.step(n, controller.NewUserRequest(to, protocol.OpRollout, "", []byte(body)))
	default: // a request about the roll-out of a service
		w.step(n, controller.NewUserRequest(to, rolloutOps[kind], body, nil))
	}
}

// nextReachableNode returns the node for a user's next request: userNode or else, by round-robin,
// the next node that is reachable and in the load balancer's rotation, nil if there is none.
func (w *World) nextReachableNode() *node {
	if w.userNode != nil {
		return w.userNode
	}
	for range w.nodes {
		w.nodeCursor++
		if n := w.nodes[w.nodeCursor%len(w.nodes)]; w.reachable(n) && !n.outOfRotation {
			return n
		}
	}
	return nil
}

// reachable reports whether users can reach a node. They are in no zone, so they can't reach one
// in a zone that is cut off.
func (w *World) reachable(n *node) bool {
	return n.alive && !n.cut && !slices.Contains(w.cutZones, n.zone)
}

// requestUntilFinal sends a request as a user would: to one node after another, until final reports
// that the answer is final. It retries up to 60 times, a second after each failure. body returns the
// body of each attempt.
func (w *World) requestUntilFinal(kind string, body func() string, final func(status int, body []byte) bool) {
	var try func(left int)
	try = func(left int) {
		retry := func() {
			if left > 0 {
				w.after(protocol.Second, func() { try(left - 1) })
			}
		}
		n := w.nextReachableNode()
		if n == nil {
			retry()
			return
		}
		w.request(n, kind, body(), func(status int, answer []byte) {
			if !final(status, answer) {
				retry()
			}
		})
	}
	try(60)
}

// submission returns the body of a job's submission, in another form each time.
func (w *World) submission(j *userJob) string {
	w.submissions++
	return string(oddform.Body(j.body, w.submissions))
}

// submit sends a job's submission until it is accepted or rejected. A controller must not reject a
// job that was accepted before.
func (w *World) submit(j *userJob) {
	w.jobs[j.spec.Ref] = j
	dependenciesAccepted := w.dependenciesAccepted(j)
	w.requestUntilFinal("submit", func() string { return w.submission(j) }, func(status int, body []byte) bool {
		j.status = status
		w.checkChained(j, dependenciesAccepted, status, body)
		switch status {
		case 200, 201:
			if !j.accepted {
				w.copyUserRequest(func() { w.submit(j) })
			}
			w.checkAccepted(j)
			j.accepted = true
		case 400, 422:
			if j.accepted {
				w.reportViolation("forgotten: %s got %d", j.spec.Ref, status)
			}
		default:
			return false
		}
		return true
	})
}

// cancel requests the cancellation of a job until a controller confirms it.
func (w *World) cancel(j *userJob) {
	copied := j.cancelRequested
	j.cancelRequested = true
	w.requestUntilFinal("cancel", func() string { return j.spec.Ref }, func(status int, body []byte) bool {
		if status != 200 {
			return false
		}
		if !copied {
			copied = true
			w.copyUserRequest(func() { w.cancel(j) })
		}
		w.checkReportedPhase(j, fastjson.GetString(body, "phase"))
		return true
	})
}

// pollJobs queries every accepted job, each at the node that its user is connected to or else at
// the next node of the round-robin, and updates unanswered.
func (w *World) pollJobs() {
	refs := make([]string, 0, len(w.jobs))
	for r := range w.jobs {
		refs = append(refs, r)
	}
	sort.Strings(refs)
	for _, r := range refs {
		j := w.jobs[r]
		if !j.accepted {
			continue
		}
		if j.answeredAt == 0 {
			j.answeredAt = w.now
		}
		w.unanswered = max(w.unanswered, w.now-j.answeredAt)
		n := w.nodeForUser(j)
		if n == nil {
			continue
		}
		sentAt := w.now
		w.request(n, "query", r, func(status int, body []byte) {
			if status == 200 {
				j.answeredAt = w.now
			}
			if status == 404 {
				w.reportViolation("forgotten: %s", r)
			}
			if status == 200 && j.endReportedAt <= sentAt { // else it may be older than the report of the end
				j.done, j.running = fastjson.GetInt(body, "done"), fastjson.GetInt(body, "running")
				w.checkReportedPhase(j, fastjson.GetString(body, "phase"))
			}
		})
	}
}

// queryStorm sends count queries at the same instant: half of them about submitted jobs, the others
// about references that no user submitted.
func (w *World) queryStorm(count int) {
	refs := make([]string, 0, len(w.jobs))
	for r := range w.jobs {
		refs = append(refs, r)
	}
	sort.Strings(refs)
	for i := range count {
		n := w.nextReachableNode()
		if n == nil {
			return
		}
		ref := fmt.Sprintf("req-%06d", 900000+i)
		known := i%2 == 0 && len(refs) > 0
		if known {
			ref = refs[i/2%len(refs)]
		}
		sentAt := w.now
		w.request(n, "query", ref, func(status int, body []byte) {
			switch {
			case status == 200 && known && w.jobs[ref].endReportedAt > sentAt: // may be older than the report of the end
			case status == 200 && known:
				w.checkReportedPhase(w.jobs[ref], fastjson.GetString(body, "phase"))
			case status == 200:
				w.reportViolation("invented: %s", ref)
			case status == 404 && known && w.jobs[ref].accepted:
				w.reportViolation("forgotten: %s", ref)
			case status != 404:
				w.unansweredQueries++
			}
		})
	}
}

// checkReportedPhase checks and stores the phase of a job that an answer reports to its user: a
// finished job must keep its phase, a job is done only if all its tasks completed, and cancelled
// only if its user, or that of a job that it needs, requested it.
func (w *World) checkReportedPhase(j *userJob, phase string) {
	ref := j.spec.Ref
	if j.reportedDone && phase != "done" || j.cancelReportedAt > 0 && phase != "cancelled" {
		w.reportViolation("went_back: %s is %s", ref, phase)
	}
	if phase != j.phase {
		w.note("%s is %s", ref, phase)
	}
	w.checkOrphaned(j, phase)
	j.phase = phase
	if j.endReportedAt == 0 && (phase == "done" || phase == "cancelled") {
		j.endReportedAt = w.now
	}
	switch phase {
	case "done":
		j.reportedDone = true
		for i, ok := range j.results {
			if !ok {
				w.reportViolation("not_done: %s/%d", ref, i)
			}
		}
	case "cancelled":
		if !w.askedToCancel(j) {
			w.reportViolation("went_back: nobody cancelled %s", ref)
		}
		if j.cancelReportedAt == 0 {
			j.cancelReportedAt = w.now
		}
	}
}

// checkCancelled checks that no task still runs when the cancel timeout has passed since a
// controller reported to its user that the job is cancelled.
func (w *World) checkCancelled() {
	for _, m := range w.sortedMachines() {
		for _, t := range m.sorted() {
			if t.onMachine && t.job.cancelReportedAt > 0 && w.now > t.job.cancelReportedAt+w.Platform.CancelTimeout {
				t.job.cancelReportedAt = w.now // not to report it again at every tick
				w.reportViolation("ran_cancelled: %s/%d", t.job.spec.Ref, t.index)
			}
		}
	}
}
