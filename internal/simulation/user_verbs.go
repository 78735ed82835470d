package simulation

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"
)

// userVerbs returns the verbs for the actions of users.
func userVerbs() map[string]verb {
	return map[string]verb{
		"submit":                (*World).actSubmit,
		"burst":                 (*World).actBurst,
		"submit-at":             (*World).actSubmitAt,
		"submit-again":          func(w *World, words []string) error { w.submit(w.jobs[words[1]]); return nil },
		"submit-after":          (*World).submitAfter,
		"chain":                 (*World).actChain,
		"resubmit":              (*World).actResubmit,
		"resubmit-known":        (*World).actIfKnown,
		"cancel":                (*World).actCancel,
		"cancel-known":          (*World).actIfKnown,
		"expect-finished-known": (*World).actIfKnown,
		"cancel-once":           func(w *World, words []string) error { return w.cancelOnce(words[1]) },
		"cancel-at":             (*World).actCancelAt,
		"cancel-now":            (*World).actFault,
		"cancel-at-end":         (*World).actFault,
		"retry-cancels":         (*World).actFault,
		"unusual-requests":      (*World).actFault,
		"costly-bodies":         (*World).actFault,
		"query-at":              (*World).actAskAt,
		"query-all":             func(w *World, words []string) error { return w.askEverywhere(words[1]) },
		"follow-up-requests":    (*World).actCloseLooks,
		"send-follow-ups":       (*World).actLook,
		"query-burst":           (*World).actStorm,
		"balance":               func(w *World, _ []string) error { w.stickyUsers = true; return nil },
		"count":                 (*World).actCount,
		"when":                  (*World).actWhen,
	}
}

// actBurst: burst COUNT FIRST KIND ...: submits COUNT jobs, numbered from FIRST on.
func (w *World) actBurst(words []string) error {
	count, err := strconv.Atoi(words[1])
	first, err2 := strconv.Atoi(strings.TrimPrefix(words[2], "req-"))
	if err != nil || err2 != nil {
		return errors.New("burst COUNT FIRST")
	}
	for i := range count {
		if err := w.actSubmit(append([]string{"submit", fmt.Sprintf("req-%06d", first+i)}, words[3:]...)); err != nil {
			return err
		}
	}
	return nil
}

// actSubmitAt: submit-at NODE REF KIND ...: submits a job to that node.
func (w *World) actSubmitAt(words []string) error {
	w.userNode = w.nodeNamed(words[1])
	if w.userNode == nil {
		return errNoSuchNode
	}
	defer func() { w.userNode = nil }()
	return w.actSubmit(words[1:])
}

// actCancel: cancel REF: requests the cancellation of a job until a controller confirms it.
func (w *World) actCancel(words []string) error {
	j := w.jobs[words[1]]
	if j == nil {
		return errNoSuchJob
	}
	w.cancel(j)
	return nil
}

// actAskAt: query-at NODE REF: sends one query about a job to that node, and keeps the answer for
// "expect answered".
func (w *World) actAskAt(words []string) error {
	n := w.nodeNamed(words[1])
	if n == nil {
		return errNoSuchNode
	}
	w.lastAnswer = ""
	w.request(n, "query", words[2], func(status int, body []byte) {
		w.lastAnswer = strings.TrimSpace(strconv.Itoa(status) + " " + fastjson.GetString(body, "phase"))
	})
	return nil
}

// actStorm: query-burst COUNT: sends COUNT queries at once, to one node after another, half of them
// about submitted jobs and half about jobs that no user submitted.
func (w *World) actStorm(words []string) error {
	count, err := strconv.Atoi(words[1])
	if err != nil {
		return err
	}
	w.queryStorm(count)
	return nil
}

// actCount: count: starts the counts of written changes, of direct calls to workers without a
// command and of changes of leader, and the longest times for which queries stay unanswered and
// jobs wait beside room.
func (w *World) actCount([]string) error {
	w.writtenAtCount, w.emptyCallsAtCount, w.leadersAtCount = w.store.written, w.emptyCalls, w.leaders
	w.unanswered = 0
	w.resetWaiting()
	for _, j := range w.jobs {
		j.answeredAt = w.now
	}
	return nil
}

// askEverywhere: query-all REF: the user of a job queries it and repeats its submission at all
// controllers at once. No answer may report a phase older than one that was reported before the
// requests were sent, nor that an accepted job doesn't exist.
func (w *World) askEverywhere(ref string) error {
	j := w.jobs[ref]
	if j == nil {
		return fmt.Errorf("no such job")
	}
	for _, n := range w.nodes {
		if !w.reachable(n) {
			continue
		}
		sentAt := w.now
		check := func(status int, body []byte) {
			switch {
			case j.accepted && (status == 404 || status == 400 || status == 422):
				w.reportViolation("forgotten: %s got %d", ref, status)
			case (status == 200 || status == 201) && (j.endReportedAt == 0 || j.endReportedAt <= sentAt):
				w.checkReportedPhase(j, fastjson.GetString(body, "phase"))
			}
		}
		w.request(n, "query", ref, check)
		w.request(n, "submit", w.submission(j), check)
	}
	return nil
}

// cancelOnce: cancel-once REF: the user of a job requests its cancellation once, without a retry.
func (w *World) cancelOnce(ref string) error {
	j, n := w.jobs[ref], w.nextReachableNode()
	if j == nil || n == nil {
		return fmt.Errorf("no such job, or no node")
	}
	j.cancelRequested = true
	w.request(n, "cancel", ref, func(status int, body []byte) {
		if status == 200 {
			w.checkReportedPhase(j, fastjson.GetString(body, "phase"))
		}
	})
	return nil
}
