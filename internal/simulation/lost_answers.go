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

// Calls to the state service that are carried out at once and of which only the answer is
// lost, or late: the writer does not know what everybody else can read already.

// answerLoss selects such calls and says what becomes of the controller that made them.
type answerLoss struct {
	with   string // text in the body of a transaction, "": other calls
	method string
	path   string // end of the path of other calls
	every  int    // every so manyth of them
	most   int    // at most so many
	by     micros // so much later the answer comes, 0: never
	then   string // stays, ends, or is away from the state service and the other controllers
	back   micros // so long after that it is back, 0: not by itself
	seen   int
}

// lostAnswers is what a world knows of them.
type lostAnswers struct {
	rules []*answerLoss
	count int
	keys  map[string]uint64 // keys that were written so, and their stamps
}

// matches reports whether a call is one of those, and counts it.
func (l *answerLoss) matches(c controller.Call) bool {
	commit := c.Path == "/commit"
	switch {
	case l.most == 0,
		l.with != "" && (!commit || !strings.Contains(string(c.Body), l.with)),
		l.with == "" && (commit || !strings.HasSuffix(c.Path, l.path)),
		l.method != "" && c.Method != l.method:
		return false
	}
	l.seen++
	return l.seen%l.every == 0
}

// loseAnswersOf does what a line of a trace says: lose-answers-of with=TEXT|path=END
// [method=POST] [every=1] [most=1] [by=0] [then=stays|ends|away] [back=SECONDS];
// lose-answers-of nothing: no more.
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
		with: o["with"], method: o["method"], path: o["path"], every: int(number(o, "every", 1)), most: int(number(o, "most", 1)),
		by: protocol.FromSeconds(number(o, "by", 0)), then: o["then"], back: protocol.FromSeconds(number(o, "back", 0)),
	}
	if l.with == "" && l.path == "" && l.method == "" {
		return fmt.Errorf("lose-answers-of with=TEXT or path=END")
	}
	w.lost.rules = append(w.lost.rules, l)
	return nil
}

// losesAnswer takes the answer to a call that was carried out, and reports whether it is
// lost or late. Users then look closely.
func (w *World) losesAnswer(n *node, c controller.Call, status int, deliver func()) bool {
	if status != 200 {
		return false
	}
	i := slices.IndexFunc(w.lost.rules, func(l *answerLoss) bool { return l.matches(c) })
	if i < 0 {
		return false
	}
	l := w.lost.rules[i]
	l.most--
	w.lost.count++
	w.note("the answer to %s %s of %s is lost", c.Method, c.Path, n.name)
	if c.Path == "/commit" {
		w.rememberWritten(c.Body)
	}
	if l.by > 0 {
		w.after(l.by, deliver)
	}
	w.askAllUntil(w.now + 3*protocol.Second)
	switch life := n.life; l.then {
	case "ends":
		w.note("%s ends", n.name)
		w.end(n, l.back)
	case "away":
		n.away = true
		w.after(l.back, func() {
			if n.life == life {
				w.comesBack(n)
			}
		})
	}
	return true
}

// rememberWritten notes which keys a transaction wrote.
func (w *World) rememberWritten(body []byte) {
	if w.lost.keys == nil {
		w.lost.keys = make(map[string]uint64)
	}
	for _, change := range fastjson.MustParseBytes(body).GetArray("then") {
		if key := string(change.GetStringBytes("set")); key != "" {
			w.lost.keys[key] = w.store.revision
		}
	}
}

// Users ask all controllers again and again, and repeat their submissions, while one of
// the controllers does not know what it wrote.
const (
	lookEvery   = 50 * protocol.Millisecond
	submitEvery = 8 // looks
)

func (w *World) askAllUntil(until micros) {
	looks := 0
	var look func()
	look = func() {
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
					w.askAgain(n, j, looks%submitEvery == 0)
				}
			}
		}
		if looks++; w.now < until {
			w.after(lookEvery, look)
		}
	}
	w.after(lookEvery, look)
}

// askAgain asks one controller about a job that was accepted; what it says may not be older
// than what was known when it was asked.
func (w *World) askAgain(n *node, j *userJob, submits bool) {
	asked := w.now
	w.request(n, "query", j.spec.Ref, func(status int, body []byte) {
		switch {
		case status == 404:
			w.broken("forgotten: %s at %s", j.spec.Ref, n.name)
		case status == 200 && (j.toldAt == 0 || j.toldAt <= asked):
			w.heard(j, fastjson.GetString(body, "phase"))
		}
	})
	if !submits {
		return
	}
	w.request(n, "submit", string(j.body), func(status int, body []byte) {
		switch {
		case status == 201:
			w.broken("accepted twice: %s at %s", j.spec.Ref, n.name)
		case status == 400 || status == 422:
			w.broken("forgotten: %s got %d at %s", j.spec.Ref, status, n.name)
		case status == 200 && (j.toldAt == 0 || j.toldAt <= asked):
			w.heard(j, fastjson.GetString(body, "phase"))
		}
	})
}

// expectLost checks what became of the calls whose answers were lost: lost-answers N, so
// many at least were; conflicts N, at most so many transactions were refused for their
// conditions; written-again, each record has been written again or dropped since,
// or is there and final.
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
		if err == nil && w.store.conflict > most {
			err = fmt.Errorf("%d", w.store.conflict)
		}
		return err
	}
	for key, stamp := range w.lost.keys {
		e := w.store.keys[key]
		final := strings.HasPrefix(key, records.FinalPrefix) || key == records.KeyMachineTypes
		if final && e == nil || !final && e != nil && e.stamp <= stamp {
			return fmt.Errorf("%s is as it was when the answer was lost", key)
		}
	}
	return nil
}
