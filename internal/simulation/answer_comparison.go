package simulation

import (
	"fmt"
	"slices"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// Comparison of the answers that users get. Each answer to a submission, query or cancellation
// is compared with the earlier answers about the same job. While follow-up-requests is on,
// users also send such requests: within milliseconds after any controller reported that a job is
// accepted, done or cancelled, they query all controllers and repeat the submission.

// answerComparison has the states of all jobs that controllers reported to users, and the settings
// of the follow-up requests.
type answerComparison struct {
	enabled     bool
	cancelEvery int    // one of this many accepted jobs is cancelled at once; 0: none
	accepted    int    // jobs accepted while follow-up requests were enabled
	answers     int    // answers compared while follow-up requests were enabled
	sequence    uint64 // number of the last request or answer
	jobs        map[string]*reportedState
}

// reportedState is the state of one job that any controller reported to any user. Requests and
// answers are numbered in the order in which they were sent and received, so that two at the same
// instant have an order too.
type reportedState struct {
	accepted   uint64 // number of the first answer that confirms the job, 0 if none
	finished   uint64 // number of the first answer that the job is done or cancelled, 0 if none
	finalPhase string // phase in that answer, "done" or "cancelled"
}

// followUpDelays are the delays of the follow-up requests after a new answer.
var followUpDelays = []micros{0, 1 * protocol.Millisecond, 5 * protocol.Millisecond, 20 * protocol.Millisecond, 100 * protocol.Millisecond, 400 * protocol.Millisecond}

// actCloseLooks carries out follow-up-requests on|off [cancel=N]: from now on users send follow-up
// requests, and every N-th job is cancelled as soon as it is accepted.
func (w *World) actCloseLooks(words []string) error {
	if len(words) < 2 || words[1] != "on" && words[1] != "off" {
		return fmt.Errorf("follow-up-requests on|off [cancel=N]")
	}
	w.comparison.enabled = words[1] == "on"
	w.comparison.cancelEvery = int(number(options(words[2:]), "cancel", 0))
	return nil
}

// userOperations are the requests of users whose answers are compared.
var userOperations = []string{"submit", "query", "cancel"}

// comparingHandler wraps the handler of the answer to a user's request: the answer is first
// compared with the answers that users got before the request was sent.
func (w *World) comparingHandler(n *node, what, body string, answer func(int, []byte)) func(int, []byte) {
	if w.live != nil || !slices.Contains(userOperations, what) {
		return answer
	}
	ref := body
	if what == "submit" {
		ref = protocol.TextMember([]byte(body), "ref")
	}
	w.comparison.sequence++
	sent := w.comparison.sequence
	return func(status int, body []byte) {
		isNew := w.compareAnswer(n, what, ref, sent, status, fastjson.GetString(body, "phase"))
		answer(status, body)
		if isNew && w.comparison.enabled {
			w.scheduleFollowUps(ref)
		}
	}
}

// compareAnswer checks one answer. isNew reports that it is the first answer that the job is
// accepted, or the first that it is done or cancelled.
func (w *World) compareAnswer(n *node, what, ref string, sent uint64, status int, phase string) (isNew bool) {
	l := &w.comparison
	l.sequence++
	if l.jobs == nil {
		l.jobs = make(map[string]*reportedState)
	}
	t := l.jobs[ref]
	if t == nil {
		t = &reportedState{}
		l.jobs[ref] = t
	}
	if l.enabled {
		l.answers++
	}
	acceptedBefore := t.accepted > 0 && t.accepted < sent
	switch {
	case status == 404 && acceptedBefore, acceptedBefore && what == "submit" && (status == 400 || status == 422):
		w.reportViolation("forgotten: %s, %s at %s got %d", ref, what, n.name, status)
		return false
	case status != 200 && status != 201:
		return false
	}
	j := w.jobs[ref]
	if j == nil && w.described[ref] == nil {
		w.reportViolation("invented: %s at %s", ref, n.name)
		return false
	}
	final := phase == "done" || phase == "cancelled"
	switch {
	case t.finished > 0 && final && phase != t.finalPhase, t.finished > 0 && t.finished < sent && phase != t.finalPhase:
		w.reportViolation("went_back: %s was %s and is %s, %s at %s", ref, t.finalPhase, phase, what, n.name)
	case phase == "cancelled" && j != nil && !w.askedToCancel(j):
		w.reportViolation("went_back: nobody cancelled %s, %s at %s", ref, what, n.name)
	}
	if t.accepted == 0 {
		t.accepted, isNew = l.sequence, true
	}
	if t.finished == 0 && final {
		t.finished, t.finalPhase, isNew = l.sequence, phase, true
	}
	return isNew
}

// actLook carries out send-follow-ups REF [every=0.005 for=1]: the user of a job sends follow-up
// requests to all controllers, also if none has accepted the job yet. With every and for, in
// seconds, the requests are repeated at that interval for that time.
func (w *World) actLook(words []string) error {
	ref, o := words[1], options(words[2:])
	if w.jobs[ref] == nil {
		return fmt.Errorf("no such job")
	}
	every, remaining := protocol.FromSeconds(number(o, "every", 0)), protocol.FromSeconds(number(o, "for", 0))
	if every == 0 {
		w.scheduleFollowUps(ref)
		return nil
	}
	var repeat func()
	repeat = func() {
		for _, n := range w.nodes {
			w.sendFollowUps(n, ref)
		}
		if remaining -= every; remaining > 0 {
			w.after(every, repeat)
		}
	}
	repeat()
	return nil
}

// sendFollowUps queries a job at one controller and submits it there again. If the job was reported
// as cancelled, the cancellation is repeated too.
func (w *World) sendFollowUps(n *node, ref string) {
	if !w.reachable(n) {
		return
	}
	ignoreAnswer := func(int, []byte) {}
	w.request(n, "query", ref, ignoreAnswer)
	w.request(n, "submit", string(w.jobs[ref].body), ignoreAnswer)
	if t := w.comparison.jobs[ref]; t != nil && t.finished > 0 && t.finalPhase == "cancelled" {
		w.request(n, "cancel", ref, ignoreAnswer)
	}
}

// scheduleFollowUps sends follow-up requests about a job to every controller, after each of
// followUpDelays. If the job was just accepted, it may also be cancelled, see cancelEvery.
func (w *World) scheduleFollowUps(ref string) {
	j := w.jobs[ref]
	if j == nil {
		return
	}
	l := &w.comparison
	if t := l.jobs[ref]; t != nil && t.accepted > 0 && t.finished == 0 {
		l.accepted++
		if l.cancelEvery > 0 && l.accepted%l.cancelEvery == 0 && !j.cancelRequested {
			w.after(0, func() { w.cancel(j) })
		}
	}
	for _, d := range followUpDelays {
		for _, n := range w.nodes {
			w.after(d, func() { w.sendFollowUps(n, ref) })
		}
	}
}
