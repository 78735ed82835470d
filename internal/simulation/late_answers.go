package simulation

import (
	"fmt"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// Faults around a change of leader, when an old and a new leader act at the same time: answers
// of the state service that arrive late although the request was carried out at once, lost links
// between controllers, and users who stay with one controller.

// lateAnswers selects requests to the state service that are carried out at once and answered
// late: the next ones, up to the number that remains, with a text in their path or body.
type lateAnswers struct {
	text      string
	delay     micros
	remaining int
}

// answerDelay is the delay between carrying out a request to the state service and its answer,
// 0 unless a rule of w.lateAnswers selects the request.
func (w *World) answerDelay(path string, body []byte) micros {
	for i := range w.lateAnswers {
		if l := &w.lateAnswers[i]; l.remaining > 0 && strings.Contains(path+" "+string(body), l.text) {
			l.remaining--
			return l.delay
		}
	}
	return 0
}

// actLateAnswers carries out late-answers with=TEXT by=SECONDS [most=1], see lateAnswers.
func (w *World) actLateAnswers(words []string) error {
	o := options(words[1:])
	if o["with"] == "" {
		return fmt.Errorf("late-answers with=TEXT by=SECONDS [most=1]")
	}
	w.lateAnswers = append(w.lateAnswers, lateAnswers{text: o["with"], delay: protocol.FromSeconds(number(o, "by", 1)), remaining: int(number(o, "most", 1))})
	return nil
}

// actLink carries out unlink NODE and link NODE: the links between a controller and all others
// are lost, or restored. Messages sent while they are lost are dropped.
func (w *World) actLink(words []string) error {
	n := w.nodeNamed(words[1])
	if n == nil {
		return fmt.Errorf("no such node")
	}
	n.unlinked = words[0] == "unlink"
	return nil
}

// actCancelAt carries out cancel-at NODE REF: the user of a job cancels it at that node, and at
// other nodes only while that one can't be reached or the load balancer has taken it out. The
// user tries up to 60 times, a second after each failure.
func (w *World) actCancelAt(words []string) error {
	if len(words) < 3 || w.nodeNamed(words[1]) == nil || w.jobs[words[2]] == nil {
		return fmt.Errorf("cancel-at NODE REF")
	}
	n, j := w.nodeNamed(words[1]), w.jobs[words[2]]
	j.cancelRequested, j.cancelRequestedAt = true, w.now
	var try func(remaining int)
	try = func(remaining int) {
		target := n
		if !w.reachable(target) || target.outOfRotation {
			target = w.nextReachableNode()
		}
		if remaining == 0 || target == nil {
			return
		}
		w.request(target, "cancel", j.spec.Ref, func(status int, body []byte) {
			if status == 200 {
				w.checkReportedPhase(j, fastjson.GetString(body, "phase"))
				w.cancelLongest = max(w.cancelLongest, w.now-j.cancelRequestedAt)
				return
			}
			w.after(protocol.Second, func() { try(remaining - 1) })
		})
	}
	try(60)
	return nil
}

// checkStartAfterCancel is called when a task starts, and checks that no controller has reported
// its job to a user as cancelled.
func (w *World) checkStartAfterCancel(t *runningTask) {
	if reported := w.comparison.jobs[t.job.spec.Ref]; reported != nil && reported.finished > 0 && reported.finalPhase == "cancelled" {
		w.reportViolation("ran_cancelled: %s/%d starts after that was told", t.job.spec.Ref, t.index)
	}
}

// whenChanged is a line of a trace that is carried out once a key of the state service is changed.
type whenChanged struct {
	change string // "set:KEY" or "drop:KEY"
	after  micros
	words  []string
}

// actWhen carries out when set:KEY|drop:KEY [after=SECONDS] WORDS: WORDS are carried out that long
// after a transaction with that change was committed. Without after, that is before the answer
// to the transaction arrives.
func (w *World) actWhen(words []string) error {
	if len(words) < 3 {
		return fmt.Errorf("when set:KEY|drop:KEY [after=SECONDS] WORDS")
	}
	c := whenChanged{change: words[1], words: words[2:]}
	if o := options(c.words[:1]); o["after"] != "" {
		c.after, c.words = protocol.FromSeconds(number(o, "after", 0)), c.words[1:]
	}
	w.whenChanged = append(w.whenChanged, c)
	return nil
}

// runTriggers carries out the lines of the trace that wait for a change of this transaction, see
// actWhen.
func (w *World) runTriggers(writes []*fastjson.Value) {
	if len(w.whenChanged) == 0 {
		return
	}
	changes := make(map[string]bool)
	for _, c := range writes {
		if key := c.GetStringBytes("drop"); key != nil {
			changes["drop:"+string(key)] = true
		} else {
			changes["set:"+string(c.GetStringBytes("set"))] = true
		}
	}
	var rest []whenChanged
	for _, c := range w.whenChanged {
		if !changes[c.change] {
			rest = append(rest, c)
			continue
		}
		w.after(c.after, func() {
			if err := w.runVerb(c.words); err != nil {
				w.reportViolation("the trace: when %s: %v", c.change, err)
			}
		})
	}
	w.whenChanged = rest
}
