package simulation

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// Calls to the state service that are carried out at once while their answer is lost or late:
// the controller that made the call doesn't have the result, and all others can read it already.

// answerLoss selects such calls, and what happens to the controller that made them.
type answerLoss struct {
	text        string // text in the body of a transaction; "": selects other calls
	method      string
	path        string // end of the path, for other calls
	every       int    // every N-th of these calls is selected
	remaining   int    // calls that may still be selected
	delay       micros // delay of the answer, 0: it never arrives
	action      string // stays, ends, or isolated (cut off from the state service and other controllers)
	returnAfter micros // time until the controller is back; 0: an ended one stays down
	seen        int    // calls that matched so far
}

// lostAnswers has the rules of a world for such calls, and what they did so far.
type lostAnswers struct {
	rules []*answerLoss
	count int               // answers lost or delayed
	keys  map[string]uint64 // revisions of the keys written by these calls
}

// matches counts a call that fits the rule and reports whether it is selected.
func (l *answerLoss) matches(c controller.Call) bool {
	commit := c.Path == "/commit"
	switch {
	case l.remaining == 0,
		l.text != "" && (!commit || !strings.Contains(string(c.Body), l.text)),
		l.text == "" && (commit || !strings.HasSuffix(c.Path, l.path)),
		l.method != "" && c.Method != l.method:
		return false
	}
	l.seen++
	return l.seen%l.every == 0
}

// loseAnswersOf carries out lose-answers-of with=TEXT|path=END|method=POST [every=1] [most=1]
// [by=0] [then=stays|ends|isolated] [back=SECONDS], which adds a rule, see answerLoss, and
// lose-answers-of nothing, which removes all rules.
func (w *World) loseAnswersOf(words []string) error {
	if words[1] == "nothing" {
		w.lost.rules = nil
		return nil
	}
	o := options(nil)
	for _, word := range words[1:] { // a text may have "=" in it, and quotes
		k, v, _ := strings.Cut(word, "=")
		o[k] = v
	}
	l := &answerLoss{
		text: o["with"], method: o["method"], path: o["path"], every: int(number(o, "every", 1)), remaining: int(number(o, "most", 1)),
		delay: protocol.FromSeconds(number(o, "by", 0)), action: o["then"], returnAfter: protocol.FromSeconds(number(o, "back", 0)),
	}
	if l.text == "" && l.path == "" && l.method == "" {
		return fmt.Errorf("lose-answers-of with=TEXT or path=END")
	}
	w.lost.rules = append(w.lost.rules, l)
	return nil
}

// losesAnswer is called with the answer to a call that was carried out, and reports whether a
// rule makes it lost or late. If so, users then send all controllers repeated requests, see
// pollAllUntil.
func (w *World) losesAnswer(n *node, c controller.Call, status int, deliver func()) bool {
	if status != 200 {
		return false
	}
	i := slices.IndexFunc(w.lost.rules, func(l *answerLoss) bool { return l.matches(c) })
	if i < 0 {
		return false
	}
	l := w.lost.rules[i]
	l.remaining--
	w.lost.count++
	w.note("the answer to %s %s of %s is lost", c.Method, c.Path, n.name)
	if c.Path == "/commit" {
		w.recordWrittenKeys(c.Body)
	}
	if l.delay > 0 {
		w.after(l.delay, deliver)
	}
	w.pollAllUntil(w.now + 3*protocol.Second)
	switch incarnation := n.incarnation; l.action {
	case "ends":
		w.note("%s ends", n.name)
		w.stopNode(n, l.returnAfter)
	case "isolated":
		n.disconnected = true
		w.after(l.returnAfter, func() {
			if n.incarnation == incarnation {
				w.reconnect(n)
			}
		})
	}
	return true
}

// recordWrittenKeys keeps the keys that a transaction wrote, with their revisions.
func (w *World) recordWrittenKeys(body []byte) {
	if w.lost.keys == nil {
		w.lost.keys = make(map[string]uint64)
	}
	for _, change := range fastjson.MustParseBytes(body).GetArray("then") {
		if key := string(change.GetStringBytes("set")); key != "" {
			w.lost.keys[key] = w.store.revision
		}
	}
}

// While a controller lacks the result of its own write, users query all controllers at this
// interval and repeat their submissions at every pollsPerSubmission-th query.
const (
	pollInterval       = 50 * protocol.Millisecond
	pollsPerSubmission = 8
)

// pollAllUntil has the users of all accepted jobs send repeated requests to every controller that
// they reach, until an instant.
func (w *World) pollAllUntil(until micros) {
	polls := 0
	var poll func()
	poll = func() {
		refs := make([]string, 0, len(w.jobs))
		for ref := range w.jobs {
			refs = append(refs, ref)
		}
		sort.Strings(refs)
		for _, ref := range refs {
			j := w.jobs[ref]
			if !j.accepted {
				continue
			}
			for _, n := range w.nodes {
				if w.reachable(n) {
					w.repeatRequests(n, j, polls%pollsPerSubmission == 0)
				}
			}
		}
		if polls++; w.now < until {
			w.after(pollInterval, poll)
		}
	}
	w.after(pollInterval, poll)
}

// repeatRequests queries an accepted job at one controller and, if resubmit is set, repeats the
// submission. The answer must not be older than the answers that users had when it was requested.
func (w *World) repeatRequests(n *node, j *userJob, resubmit bool) {
	sentAt := w.now
	w.request(n, "query", j.spec.Ref, func(status int, body []byte) {
		switch {
		case status == 404:
			w.reportViolation("forgotten: %s at %s", j.spec.Ref, n.name)
		case status == 200 && (j.endReportedAt == 0 || j.endReportedAt <= sentAt):
			w.checkReportedPhase(j, fastjson.GetString(body, "phase"))
		}
	})
	if !resubmit {
		return
	}
	w.request(n, "submit", w.submission(j), func(status int, body []byte) {
		switch {
		case status == 201:
			w.reportViolation("accepted twice: %s at %s", j.spec.Ref, n.name)
		case status == 400 || status == 422:
			w.reportViolation("forgotten: %s got %d at %s", j.spec.Ref, status, n.name)
		case status == 200 && (j.endReportedAt == 0 || j.endReportedAt <= sentAt):
			w.checkReportedPhase(j, fastjson.GetString(body, "phase"))
		}
	})
}

// expectLost checks the expectations about the calls whose answers were lost:
//
//	lost-answers N: at least N answers were lost or delayed
//	conflicts N: at most N transactions were refused because a condition did not hold
//	written-again: each record that such a call wrote was written again or dropped since; one
//	    that is never rewritten (of a finished job, or the machine types) is still there
func (w *World) expectLost(words []string) error {
	switch words[0] {
	case "lost-answers":
		least, err := strconv.Atoi(words[1])
		if err == nil && w.lost.count < least {
			err = fmt.Errorf("%d were lost", w.lost.count)
		}
		return err
	case "conflicts":
		most, err := strconv.Atoi(words[1])
		if err == nil && w.store.conflicts > most {
			err = fmt.Errorf("%d", w.store.conflicts)
		}
		return err
	}
	for key, revision := range w.lost.keys {
		e := w.store.keys[key]
		final := strings.HasPrefix(key, records.FinalPrefix) || key == records.KeyMachineTypes
		if final && e == nil || !final && e != nil && e.revision <= revision {
			return fmt.Errorf("%s has not been written since the answer was lost", key)
		}
	}
	return nil
}
