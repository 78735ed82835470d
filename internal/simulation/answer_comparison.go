package simulation

import (
	"fmt"
	"slices"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// Users who look closely: right after any controller said that a job is accepted, done or
// cancelled they ask all controllers, and repeat the submission, within milliseconds. What
// every user is told, by close looks or otherwise, is compared with what was told before.

// closeLooks is what the users of all jobs were told, and how they go on from there.
type closeLooks struct {
	on          bool
	cancelEvery int // of so many jobs that are accepted one is cancelled at once, 0: none
	accepted    int // jobs accepted while looks were on
	answers     int // that were compared while looks were on
	steps       uint64
	jobs        map[string]*told
}

// told is what any controller told any user of a job. Requests and answers are numbered
// in the order in which they were sent and came, so that of two at the same instant one
// is the earlier.
type told struct {
	accepted uint64 // the first answer that it is known, 0: none
	over     uint64 // the first answer that it is over
	phase    string // as which
}

// lookAfter is when users look again, after an answer that was news.
var lookAfter = []micros{0, 1 * protocol.Millisecond, 5 * protocol.Millisecond, 20 * protocol.Millisecond, 100 * protocol.Millisecond, 400 * protocol.Millisecond}

// actCloseLooks: close-looks on|off [cancel=N]: from now on users look closely, and one of
// N cancels its job as soon as it is accepted.
func (w *World) actCloseLooks(words []string) error {
	if len(words) < 2 || words[1] != "on" && words[1] != "off" {
		return fmt.Errorf("close-looks on|off [cancel=N]")
	}
	w.looks.on = words[1] == "on"
	w.looks.cancelEvery = int(number(options(words[2:]), "cancel", 0))
	return nil
}

// userOperations are the requests of users whose answers are compared.
var userOperations = []string{"submit", "query", "cancel"}

// compared is a user's request's answer, compared with what users were told before the
// request was sent.
func (w *World) compared(n *node, what, body string, answer func(int, []byte)) func(int, []byte) {
	if w.live != nil || !slices.Contains(userOperations, what) {
		return answer
	}
	ref := body
	if what == "submit" {
		ref = fastjson.GetString([]byte(body), "ref")
	}
	w.looks.steps++
	sent := w.looks.steps
	return func(status int, body []byte) {
		news := w.compare(n, what, ref, sent, status, fastjson.GetString(body, "phase"))
		answer(status, body)
		if news && w.looks.on {
			w.lookClosely(ref)
		}
	}
}

// compare checks one answer and reports whether it is news: the first to say that a job
// is accepted, or over.
func (w *World) compare(n *node, what, ref string, sent uint64, status int, phase string) (news bool) {
	l := &w.looks
	l.steps++
	if l.jobs == nil {
		l.jobs = make(map[string]*told)
	}
	t := l.jobs[ref]
	if t == nil {
		t = &told{}
		l.jobs[ref] = t
	}
	if l.on {
		l.answers++
	}
	known := t.accepted > 0 && t.accepted < sent
	switch {
	case status == 404 && known, known && what == "submit" && (status == 400 || status == 422):
		w.broken("forgotten: %s, %s at %s got %d", ref, what, n.name, status)
		return false
	case status != 200 && status != 201:
		return false
	}
	j := w.jobs[ref]
	if j == nil && w.described[ref] == nil {
		w.broken("invented: %s at %s", ref, n.name)
		return false
	}
	over := phase == "done" || phase == "cancelled"
	switch {
	case t.over > 0 && over && phase != t.phase, t.over > 0 && t.over < sent && phase != t.phase:
		w.broken("went_back: %s was %s and is %s, %s at %s", ref, t.phase, phase, what, n.name)
	case phase == "cancelled" && j != nil && !w.askedToCancel(j):
		w.broken("went_back: nobody cancelled %s, %s at %s", ref, what, n.name)
	}
	if t.accepted == 0 {
		t.accepted, news = l.steps, true
	}
	if t.over == 0 && over {
		t.over, t.phase, news = l.steps, phase, true
	}
	return news
}

// actLook: look REF [every=0.005 for=1]: its user asks all controllers, also before any
// said that it is accepted; or again and again for a while.
func (w *World) actLook(words []string) error {
	ref, o := words[1], options(words[2:])
	if w.jobs[ref] == nil {
		return fmt.Errorf("no such job")
	}
	every, left := protocol.FromSeconds(number(o, "every", 0)), protocol.FromSeconds(number(o, "for", 0))
	if every == 0 {
		w.lookClosely(ref)
		return nil
	}
	var again func()
	again = func() {
		for _, n := range w.nodes {
			w.lookAt(n, ref)
		}
		if left -= every; left > 0 {
			w.after(every, again)
		}
	}
	again()
	return nil
}

// observeVersion asks one controller about a job, and submits it again; what is cancelled is
// cancelled again.
func (w *World) lookAt(n *node, ref string) {
	if !w.reachable(n) {
		return
	}
	nobody := func(int, []byte) {}
	w.request(n, "query", ref, nobody)
	w.request(n, "submit", string(w.jobs[ref].body), nobody)
	if t := w.looks.jobs[ref]; t != nil && t.over > 0 && t.phase == "cancelled" {
		w.request(n, "cancel", ref, nobody)
	}
}

// lookClosely asks every controller about a job, and submits it again, a few times.
func (w *World) lookClosely(ref string) {
	j := w.jobs[ref]
	if j == nil {
		return
	}
	l := &w.looks
	if t := l.jobs[ref]; t != nil && t.accepted > 0 && t.over == 0 {
		l.accepted++
		if l.cancelEvery > 0 && l.accepted%l.cancelEvery == 0 && !j.asked {
			w.after(0, func() { w.cancel(j) })
		}
	}
	for _, d := range lookAfter {
		for _, n := range w.nodes {
			w.after(d, func() { w.lookAt(n, ref) })
		}
	}
}
