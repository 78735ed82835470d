package simulation

import (
	"fmt"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// What the stand-ins know of a change of leader that is seen from both sides: answers of
// the state service that come late though the request was carried out at once, links
// between two controllers that are lost, and users who keep to one controller.

// lateAnswers is which requests to the state service are carried out at once and answered
// late: the first so many that have a text in their path or body.
type lateAnswers struct {
	with string
	by   micros
	left int
}

// answeredLater is how much later a request is answered than it is carried out.
func (w *World) answeredLater(path string, body []byte) micros {
	for i := range w.lateAnswers {
		if l := &w.lateAnswers[i]; l.left > 0 && strings.Contains(path+" "+string(body), l.with) {
			l.left--
			return l.by
		}
	}
	return 0
}

// actLateAnswers: late-answers with=TEXT by=SECONDS [most=1]
func (w *World) actLateAnswers(words []string) error {
	o := options(words[1:])
	if o["with"] == "" {
		return fmt.Errorf("late-answers with=TEXT by=SECONDS [most=1]")
	}
	w.lateAnswers = append(w.lateAnswers, lateAnswers{with: o["with"], by: protocol.FromSeconds(number(o, "by", 1)), left: int(number(o, "most", 1))})
	return nil
}

// actLink: unlink NODE, link NODE: the links between a controller and all others are lost,
// or there again. Nothing is held.
func (w *World) actLink(words []string) error {
	n := w.nodeNamed(words[1])
	if n == nil {
		return fmt.Errorf("no such node")
	}
	n.unlinked = words[0] == "unlink"
	return nil
}

// actCancelAt: cancel-at NODE REF: the user of a job has a connection to that node, and
// goes to others only while it can't be reached.
func (w *World) actCancelAt(words []string) error {
	if len(words) < 3 || w.nodeNamed(words[1]) == nil || w.jobs[words[2]] == nil {
		return fmt.Errorf("cancel-at NODE REF")
	}
	n, j := w.nodeNamed(words[1]), w.jobs[words[2]]
	j.asked, j.askedAt = true, w.now
	var try func(left int)
	try = func(left int) {
		at := n
		if !w.reachable(at) || at.out {
			at = w.upNode()
		}
		if left == 0 || at == nil {
			return
		}
		w.request(at, "cancel", j.spec.Ref, func(status int, body []byte) {
			if status == 200 {
				w.heard(j, fastjson.GetString(body, "phase"))
				w.cancelLongest = max(w.cancelLongest, w.now-j.askedAt)
				return
			}
			w.after(protocol.Second, func() { try(left - 1) })
		})
	}
	try(60)
	return nil
}

// startsCancelled takes a start after any controller told a user that the job is cancelled
// for a broken rule.
func (w *World) startsCancelled(t *runningTask) {
	if told := w.looks.jobs[t.job.spec.Ref]; told != nil && told.over > 0 && told.phase == "cancelled" {
		w.broken("ran_cancelled: %s/%d starts after that was told", t.job.spec.Ref, t.index)
	}
}

// whenChanged is what happens once a key of the state service is changed.
type whenChanged struct {
	change string // "set:KEY" or "drop:KEY"
	after  micros
	words  []string
}

// actWhen: when set:KEY|drop:KEY [after=SECONDS] WORDS: once that transaction was carried
// out, and before its answer is there unless it takes longer than that.
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

// carriedOut does what waits for the changes of a transaction.
func (w *World) carriedOut(then []*fastjson.Value) {
	if len(w.whenChanged) == 0 {
		return
	}
	changes := make(map[string]bool)
	for _, c := range then {
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
			if err := w.act(c.words); err != nil {
				w.broken("the trace: when %s: %v", c.change, err)
			}
		})
	}
	w.whenChanged = rest
}
