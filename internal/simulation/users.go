package simulation

import (
	"fmt"
	"slices"
	"sort"

	"github.com/valyala/fastjson"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
)

// userJob is what a job's user knows and expects.
type userJob struct {
	spec          *protocol.JobSpec
	body          []byte
	run           micros
	fails         bool
	tries         int // launches of its tasks that a machine took
	results       []bool
	accepted      bool
	status        int // of the last submission
	phase         string
	done, running int
	asked         bool // to cancel
	askedAt       micros
	toldDone      bool
	toldAt        micros // when it was first told that the job is over
	toldCancelled micros
	via           *node  // where its user's connection is, see sticks
	answeredAt    micros // when a question about it was last answered
	waiting       waitBeside
}

// userPatience is how long users wait for an answer.
var userPatience = map[string]micros{"submit": 5 * protocol.Second, "query": 2 * protocol.Second, "cancel": 5 * protocol.Second}

// request hands a request to a controller. Status 0: no answer came in time.
func (w *World) request(n *node, what, body string, answer func(int, []byte)) {
	answer = w.compared(n, what, body, answer)
	w.nextConn++
	conn := w.nextConn
	w.answers[conn] = answer
	if patience := userPatience[what]; patience > 0 && w.live == nil {
		w.after(patience, func() {
			if _, waits := w.answers[conn]; waits {
				delete(w.answers, conn) // what comes later is dropped
				answer(0, nil)
			}
		})
	}
	to := controller.ReplyAddress{Conn: conn}
	switch what {
	case "hello":
		w.step(n, controller.WorkerHeartbeat{Reply: to, Body: []byte(body)})
	case "submit":
		w.step(n, controller.UserRequest{Reply: to, Op: protocol.OpSubmit, Body: []byte(body)})
	case "query":
		w.step(n, controller.UserRequest{Reply: to, Op: protocol.OpQuery, Ref: body})
	case "health":
		w.step(n, controller.HealthzRequest{Reply: to})
	case "cancel":
		w.step(n, controller.UserRequest{Reply: to, Op: protocol.OpCancel, Ref: body})
	case "rollout":
		w.step(n, controller.UserRequest{Reply: to, Op: protocol.OpRollout, Body: []byte(body)})
	default: // about the roll-out of a service
		w.step(n, controller.UserRequest{Reply: to, Op: rolloutOps[what], Ref: body})
	}
}

func (w *World) upNode() *node {
	if w.userNode != nil {
		return w.userNode
	}
	for range w.nodes {
		w.poller++
		if n := w.nodes[w.poller%len(w.nodes)]; w.reachable(n) && !n.out {
			return n
		}
	}
	return nil
}

// reachable reports whether users, who are in no zone, reach a node.
func (w *World) reachable(n *node) bool {
	return n.alive && !n.cut && !slices.Contains(w.cutZones, n.zone)
}

// insist sends a request as a user would, to one node after another until
// taken says that the answer is final.
func (w *World) insist(what, body string, taken func(status int, body []byte) bool) {
	var try func(left int)
	try = func(left int) {
		again := func() {
			if left > 0 {
				w.after(protocol.Second, func() { try(left - 1) })
			}
		}
		n := w.upNode()
		if n == nil {
			again()
			return
		}
		w.request(n, what, body, func(status int, answer []byte) {
			if !taken(status, answer) {
				again()
			}
		})
	}
	try(60)
}

func (w *World) submit(j *userJob) {
	w.jobs[j.spec.Ref] = j
	nameable := w.nameable(j)
	w.insist("submit", string(j.body), func(status int, body []byte) bool {
		j.status = status
		w.checkChained(j, nameable, status, body)
		switch status {
		case 200, 201:
			if w.copies > 0 && !j.accepted {
				w.after(w.copies, func() { w.submit(j) }) // the request comes once more
			}
			w.checkAccepted(j)
			j.accepted = true
		case 400, 422:
			if j.accepted {
				w.broken("forgotten: %s got %d", j.spec.Ref, status)
			}
		default:
			return false
		}
		return true
	})
}

func (w *World) cancel(j *userJob) {
	j.asked = true
	w.insist("cancel", j.spec.Ref, func(status int, body []byte) bool {
		if status != 200 {
			return false
		}
		w.heard(j, fastjson.GetString(body, "phase"))
		return true
	})
}

// poll asks for every job, from a node that differs from time to time.
func (w *World) poll() {
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
		n := w.nodeOf(j)
		if n == nil {
			continue
		}
		asked := w.now
		w.request(n, "query", r, func(status int, body []byte) {
			if status == 200 {
				j.answeredAt = w.now
			}
			if status == 404 {
				w.broken("forgotten: %s", r)
			}
			if status == 200 && j.toldAt <= asked { // otherwise the two answers crossed
				j.done, j.running = fastjson.GetInt(body, "done"), fastjson.GetInt(body, "running")
				w.heard(j, fastjson.GetString(body, "phase"))
			}
		})
	}
}

// storm asks many questions at once.
func (w *World) storm(count int) {
	refs := make([]string, 0, len(w.jobs))
	for r := range w.jobs {
		refs = append(refs, r)
	}
	sort.Strings(refs)
	for i := range count {
		n := w.upNode()
		if n == nil {
			return
		}
		ref := fmt.Sprintf("req-%06d", 900000+i)
		known := i%2 == 0 && len(refs) > 0
		if known {
			ref = refs[i/2%len(refs)]
		}
		asked := w.now
		w.request(n, "query", ref, func(status int, body []byte) {
			switch {
			case status == 200 && known && w.jobs[ref].toldAt > asked: // the two answers crossed
			case status == 200 && known:
				w.heard(w.jobs[ref], fastjson.GetString(body, "phase"))
			case status == 200:
				w.broken("invented: %s", ref)
			case status == 404 && known && w.jobs[ref].accepted:
				w.broken("forgotten: %s", ref)
			case status != 404:
				w.inVain++
			}
		})
	}
}

// heard checks what a user is told.
func (w *World) heard(j *userJob, phase string) {
	ref := j.spec.Ref
	if j.toldDone && phase != "done" || j.toldCancelled > 0 && phase != "cancelled" {
		w.broken("went_back: %s is %s", ref, phase)
	}
	if phase != j.phase {
		w.note("%s is %s", ref, phase)
	}
	w.checkOrphaned(j, phase)
	j.phase = phase
	if j.toldAt == 0 && (phase == "done" || phase == "cancelled") {
		j.toldAt = w.now
	}
	switch phase {
	case "done":
		j.toldDone = true
		for i, ok := range j.results {
			if !ok {
				w.broken("not_done: %s/%d", ref, i)
			}
		}
	case "cancelled":
		if !w.askedToCancel(j) {
			w.broken("went_back: nobody cancelled %s", ref)
		}
		if j.toldCancelled == 0 {
			j.toldCancelled = w.now
		}
	}
}

func (w *World) checkCancelled() {
	for _, m := range w.sortedMachines() {
		for _, t := range m.sorted() {
			if t.on && t.job.toldCancelled > 0 && w.now > t.job.toldCancelled+w.Platform.CancelTimeout {
				t.job.toldCancelled = w.now // once
				w.broken("ran_cancelled: %s/%d", t.job.spec.Ref, t.index)
			}
		}
	}
}
