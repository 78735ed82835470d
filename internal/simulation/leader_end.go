package simulation

import (
	"fmt"
	"strings"

	"mapleslip/internal/controller"
	"mapleslip/internal/protocol"
)

// endsOn ends the leader right after a certain call. What is lost with the leader, and what is
// then known only to the other components, depends on moments that the random times of a
// history seldom hit.
type endsOn struct {
	text          string // a text in the body of the call; "": the leader is not ended
	after         micros // from the call to the leader's end
	restartAfter  micros // the controller starts again after this time, 0 if it doesn't
	fault         string // verb for the machine that was called, see actMachine
	faultDuration micros // until the reverse of that verb
}

// reverseVerbs has for each fault of a machine the verb that ends it; "": none does.
var reverseVerbs = map[string]string{
	"hang": "resume", "drop-inbound": "allow-inbound", "hold-calls": "deliver-calls", "hold-reports": "deliver-reports",
	"lose-answers": "pass-answers", "disconnect-machine": "reconnect-machine", "fail": "",
}

// actEndsOn carries out end-on-call TEXT [after=0] [back=0] [fault=VERB] [lasts=10]: the leader
// ends that long after its next call, to any target, whose body contains TEXT. If the call is to a
// worker, VERB (such as hang, drop-inbound or fail) is carried out for that machine right after it
// has got the call, and reversed after the time in lasts. end-on-call nothing: no more.
func (w *World) actEndsOn(words []string) error {
	o := options(words[2:])
	if _, known := reverseVerbs[o["fault"]]; o["fault"] != "" && !known {
		return fmt.Errorf("fault=%s", o["fault"])
	}
	w.endsOn = endsOn{
		text: words[1], after: protocol.FromSeconds(number(o, "after", 0)), restartAfter: protocol.FromSeconds(number(o, "back", 0)),
		fault: o["fault"], faultDuration: protocol.FromSeconds(number(o, "lasts", 10)),
	}
	if words[1] == "nothing" {
		w.endsOn.text = ""
	}
	return nil
}

// triggerLeaderEnd is called with each call that a controller makes. If it is the one selected by
// endsOn, the end of the leader and the fault of the called machine are scheduled.
func (w *World) triggerLeaderEnd(n *node, c controller.Call) {
	e := w.endsOn
	if e.text == "" || !strings.Contains(string(c.Body), e.text) || w.leader() != n {
		return
	}
	w.endsOn = endsOn{}
	incarnation := n.incarnation
	w.after(e.after, func() {
		if n.alive && n.incarnation == incarnation {
			w.note("%s ends after it said %s", n.name, e.text)
			w.stopNode(n, e.restartAfter)
		}
	})
	m := w.machines[strings.TrimSuffix(c.Addr, ":9000")]
	if c.Target != controller.ToWorker || m == nil || e.fault == "" {
		return
	}
	// The call has arrived after 5 ms.
	w.after(5*protocol.Millisecond, func() { w.actMachine(e.fault, m) })
	w.after(e.faultDuration, func() { w.actMachine(reverseVerbs[e.fault], m) })
}
