package simulation

import (
	"fmt"
	"strconv"
	"strings"
)

// Copies of old worker reports that reach every controller when a new leader begins. They are of
// an earlier session, attempt or term; some arrive before the leader has read the records, some
// after.

// oldReports has the kept copies of workers' reports, and when they are delivered.
type oldReports struct {
	keeping     bool   // copies are kept of the reports that are sent now
	text        string // only of those that contain this
	bodies      []string
	roles       []string       // they are delivered when a controller takes one of these roles
	after       micros         // and this much time has passed
	newestFirst bool           // the newest copy is delivered first
	delivered   map[string]int // number of copies, by the role of the controller that got them
}

// keepReport keeps a copy of a worker's report between old-reports keep and old-reports stop.
func (w *World) keepReport(body string) {
	if o := &w.oldReports; o.keeping && strings.Contains(body, o.text) {
		o.bodies = append(o.bodies, body)
	}
}

// actOldReports carries out these lines of a trace:
//
//	old-reports keep [with=TEXT]
//	old-reports stop
//	old-reports deliver on=claiming,loading,leading [after=0] [order=newest]; on=none: no more
func (w *World) actOldReports(words []string) error {
	o := &w.oldReports
	switch words[1] {
	case "keep", "stop":
		o.keeping = words[1] == "keep"
		if o.keeping {
			o.text = options(words[2:])["with"]
		}
	case "deliver":
		args := options(words[2:])
		o.roles, o.newestFirst = strings.Split(args["on"], ","), args["order"] == "newest"
		o.after = micros(1e6 * number(args, "after", 0))
		if o.delivered == nil {
			o.delivered = make(map[string]int)
		}
	default:
		return fmt.Errorf("old-reports keep|stop|deliver")
	}
	return nil
}

// deliverOldReports is called when a controller takes a role. If the kept reports are to be
// delivered at that role, each controller gets copies of all of them.
func (w *World) deliverOldReports(role string) {
	o := &w.oldReports
	for _, on := range o.roles {
		if on != role {
			continue
		}
		w.note("%d old reports come", len(o.bodies))
		for i := range o.bodies {
			body := o.bodies[i]
			if o.newestFirst {
				body = o.bodies[len(o.bodies)-1-i]
			}
			for _, n := range w.nodes {
				w.after(o.after+w.delay(), func() {
					if n.alive && !n.cut {
						o.delivered[n.ctl.Role().String()]++
						w.request(n, "hello", body, func(int, []byte) {})
					}
				})
			}
		}
	}
}

// expectOldReports checks old-reports ROLE N: controllers in that role got at least N copies.
func (w *World) expectOldReports(words []string) error {
	least, err := strconv.Atoi(words[2])
	if got := w.oldReports.delivered[words[1]]; err == nil && got < least {
		err = fmt.Errorf("%d", got)
	}
	return err
}
