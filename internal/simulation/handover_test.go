package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// Spans of a hand-over that is swept: a job is cancelled at every sweepStep from sweepBefore
// before it begins to sweepAfter after that, and some end by themselves. Where a lease is
// given back, and where the next leader takes the key and lists the records, the steps are
// shorter.
const (
	sweepBefore                   = 1.0
	sweepAfter                    = 5.0
	sweepStep                     = 0.1
	givenBackStep, givenBackSteps = 0.01, 25
	takenStep, takenSteps         = 0.002, 25
)

// inOrder sorts the lines of a trace by their instants.
func inOrder(text string) string {
	lines := strings.SplitAfter(text, "\n")
	instant := func(line string) (at float64) {
		_, _ = fmt.Sscanf(line, "at %g", &at)
		return at
	}
	lines = lines[:len(lines)-1]
	slices.SortStableFunc(lines, func(a, b string) int { return cmp.Compare(instant(a), instant(b)) })
	return strings.Join(lines, "")
}

// handOver is what befalls node-2, which leads.
type handOver struct {
	name    string
	before  string // lines, from 12 on
	at      string // what begins it, "": it gives its lease back when it does
	yielded bool
}

const handOverScene = `
nodes 3
team red
type big cpus=32 gpus=8 mem=64 boot=10 zones=a
no-capacity
fleet 14 big a
at 3 expect leader node-2
`

// trace is a hand-over that begins at an instant. At each instant of the sweep a user who is
// connected to one node cancels a job: of three of them two run, and one waits for room.
func (h handOver) trace(begins float64, user string) (text string, cancelled int) {
	var submits, whens, sweep strings.Builder
	submit := func(options string) string {
		cancelled++
		ref := fmt.Sprintf("req-%06d", cancelled)
		fmt.Fprintf(&submits, "at 4 submit %s array tasks=1 gpus=1 run=300%s\n", ref, options)
		return ref
	}
	fine := func(change string, step float64, steps int) {
		for i := range steps {
			fmt.Fprintf(&whens, "at 12 when %s after=%g cancel-at %s %s\n", change, float64(i)*step, user, submit(""))
		}
	}
	if h.yielded {
		fine("drop:lead", givenBackStep, givenBackSteps)
	}
	fine("set:lead", takenStep, takenSteps)
	const starts = 6.2 // what is submitted at 4
	for i := range int((sweepBefore + sweepAfter) / sweepStep) {
		at := begins - sweepBefore + float64(i)*sweepStep
		if i == int(sweepBefore/sweepStep) {
			fmt.Fprintf(&sweep, "at %.2f expect leader node-2\n", begins-0.06)
			if h.at != "" {
				fmt.Fprintf(&sweep, "at %.2f %s\n", begins, h.at)
			}
		}
		rank := ""
		if i%3 == 2 {
			rank = " rank=low tasks=14" // there is no room for all of these
		}
		fmt.Fprintf(&sweep, "at %.2f cancel-at %s %s\n", at, user, submit(rank))
		if i%4 == 0 {
			fmt.Fprintf(&submits, "at 4 submit req-%06d array tasks=1 gpus=1 run=%.1f\n", 1000+i, at-starts)
		}
	}
	return handOverScene + submits.String() + inOrder("at 12 close-looks on\nat 12 count\n"+whens.String()+h.before+sweep.String()) + fmt.Sprintf(`
at %.2f expect at-least 1 leaders
at 40 state-slow 0
at 40 thaw all
at 40 admit all
at 40 back all
at 40 undeafen all
at 40 link node-2
at 40 start all
at 44 expect leader some
at 90 expect cancelled-within 60
at 90 expect at-least %d cancelled
at 90 expect nothing-stuck
`, begins+sweepAfter, cancelled), cancelled
}

// givesBackAt is when a leader that hears no worker from 12 on gives its lease back: the
// first cancellation of the same history with a later sweep comes at that instant.
func (h handOver) givesBackAt(t *testing.T, user string) float64 {
	const later = 35.0
	text, _ := h.trace(later, user)
	w, _ := playTrace(text, nil) // it ends at later, where node-2 leads no more
	first := "-- cancel-at " + user + " req-000001"
	for _, line := range w.Log {
		var at float64
		if _, err := fmt.Sscan(line, &at); err == nil && strings.HasSuffix(line, first) && at < later-sweepBefore {
			return at
		}
	}
	t.Fatal("it does not")
	return 0
}

// cannotReachLeader has all machines out of reach from a moment before the hand-over to well after
// it, while they fetch the image of a job that has just been launched; that one is cancelled
// before the next leader can have heard of its tasks.
func outOfReach() string {
	var b strings.Builder
	machines := func(at float64, what string) {
		for m := range 14 {
			fmt.Fprintf(&b, "at %g %s n-%06d\n", at, what, m+1)
		}
	}
	b.WriteString("at 18 submit req-002000 array tasks=6 gpus=1 image=img-2 size=5 run=300 rank=high\n")
	machines(18.6, "cut-off")
	b.WriteString("at 12 when set:lead after=0.015 cancel req-002000\n")
	machines(29, "reach")
	return b.String()
}

// Jobs are cancelled, and end, at every instant around a change of leader, by users who are
// connected to the old leader, to the next one, and to a third controller: each is answered
// within a minute, nothing of what was confirmed starts or is left, and nobody is told
// anything older.
func TestCancelledInAHandOver(t *testing.T) {
	for _, h := range []handOver{
		{name: "yields", before: "at 12 deafen node-2\n", yielded: true},
		{name: "yields, the answer lost", before: "at 12 deafen node-2\nat 12 late-answers with={\"drop\":\"lead\"} by=1.4\nat 12 when drop:lead unlink node-2\n", yielded: true},
		{name: "ends", at: "kill node-2"},
		{name: "is back at once", at: "restart node-2 after=0.05"},
		{name: "is refused", at: "deny node-2"},
		{name: "is cut off", at: "away node-2"},
		{name: "is frozen", before: "at 12 when set:lead after=0.2 thaw node-2\n", at: "freeze node-2"},
		{name: "ends, machines out of reach", before: outOfReach(), at: "kill node-2"},
		{name: "ends, slow answers", before: "at 18 state-slow 0.15\n", at: "kill node-2"},
	} {
		for _, user := range []string{"node-0", "node-1", "node-2"} {
			t.Run(h.name+"/"+user, func(t *testing.T) {
				begins := 20.0
				if h.yielded {
					begins = h.givesBackAt(t, user)
				}
				text, cancelled := h.trace(begins, user)
				w, err := playTrace(text, nil)
				if err != nil {
					t.Fatalf("%v\nthe trace:\n%s\nwhat happened:\n%s", err, text, strings.Join(w.Log, "\n"))
				}
				t.Logf("begins at %.2f s; %d cancelled, the last one answered after %.1f s", begins, cancelled, w.cancelLongest.Seconds())
			})
		}
	}
}
