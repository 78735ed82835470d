package simulation

import (
	"fmt"
	"strconv"
	"strings"
)

// Old reports that reach every controller just as a new leader begins: of an earlier
// session, attempt or term, some before it has read the records and some after.

// oldReports is what a world keeps of workers' reports, and when copies are delivered.
type oldReports struct {
	keeping   bool
	with      string
	bodies    []string
	on        []string // roles of which a beginning delivers them
	after     micros
	newest    bool           // the last one comes first
	delivered map[string]int // by the role of who got them
}

// keepReport keeps a report while that is asked for.
func (w *World) keepReport(body string) {
	if o := &w.oldReports; o.keeping && strings.Contains(body, o.with) {
		o.bodies = append(o.bodies, body)
	}
}

// actOldReports does what a line of a trace says: old-reports keep [with=TEXT]; old-reports
// stop; old-reports deliver on=claiming,loading,leading [after=0] [order=newest]; on=none:
// no more.
func (w *World) actOldReports(words []string) error {
	o := &w.oldReports
	switch words[1] {
	case "keep", "stop":
		o.keeping = words[1] == "keep"
		if o.keeping {
			o.with = options(words[2:])["with"]
		}
	case "deliver":
		given := options(words[2:])
		o.on, o.newest = strings.Split(given["on"], ","), given["order"] == "newest"
		o.after = micros(1e6 * number(given, "after", 0))
		if o.delivered == nil {
			o.delivered = make(map[string]int)
		}
	default:
		return fmt.Errorf("old-reports keep|stop|deliver")
	}
	return nil
}

// roleBegins delivers copies of the kept reports to all controllers if it is time for that.
func (w *World) roleBegins(role string) {
	o := &w.oldReports
	for _, on := range o.on {
		if on != role {
			continue
		}
		w.note("%d old reports come", len(o.bodies))
		for i := range o.bodies {
			body := o.bodies[i]
			if o.newest {
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

// expectOldReports checks that so many copies at least came to controllers in a role:
// old-reports ROLE N.
func (w *World) expectOldReports(words []string) error {
	least, err := strconv.Atoi(words[2])
	if got := w.oldReports.delivered[words[1]]; err == nil && got < least {
		err = fmt.Errorf("%d", got)
	}
	return err
}
