package simulation

import (
	"fmt"
	"strings"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
)

// endsOn has the leader end just as it has said something: what is lost with it, or known
// to others only, hangs on instants that a history seldom hits by drawing times.
type endsOn struct {
	with   string // a text in what it says, "": nothing
	after  micros
	back   micros // it is there again after so long, 0: not by itself
	misses string // what becomes of the machine that it was said to, see actMachine
	lasts  micros
}

// undone is the word that ends what another began.
var undone = map[string]string{
	"hang": "wake", "deaf": "hears", "hold-calls": "deliver-calls", "hold-reports": "deliver-reports",
	"lose-answers": "pass-answers", "cut-off": "reach", "die": "",
}

// actEndsOn: ends-on TEXT [after=0] [back=0] [misses=WORD] [lasts=10]: the leader ends that
// long after the next call of its with this text in it, to whomever; if it is to a worker,
// that machine hangs, is deaf, dies, or whatever was said, from right after it for so long.
func (w *World) actEndsOn(words []string) error {
	o := options(words[2:])
	if _, known := undone[o["misses"]]; o["misses"] != "" && !known {
		return fmt.Errorf("misses=%s", o["misses"])
	}
	w.endsOn = endsOn{
		with: words[1], after: protocol.FromSeconds(number(o, "after", 0)), back: protocol.FromSeconds(number(o, "back", 0)),
		misses: o["misses"], lasts: protocol.FromSeconds(number(o, "lasts", 10)),
	}
	if words[1] == "nothing" {
		w.endsOn.with = ""
	}
	return nil
}

// said looks at a call that a controller makes.
func (w *World) said(n *node, c controller.Call) {
	e := w.endsOn
	if e.with == "" || !strings.Contains(string(c.Body), e.with) || w.leader() != n {
		return
	}
	w.endsOn = endsOn{}
	life := n.life
	w.after(e.after, func() {
		if n.alive && n.life == life {
			w.note("%s ends after it said %s", n.name, e.with)
			w.end(n, e.back)
		}
	})
	m := w.machines[strings.TrimSuffix(c.Addr, ":9000")]
	if c.Target != controller.ToWorker || m == nil || e.misses == "" {
		return
	}
	w.after(5*protocol.Millisecond, func() { w.actMachine(e.misses, m) }) // it is there by then
	w.after(e.lasts, func() { w.actMachine(undone[e.misses], m) })
}
