package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// Instants of cancellation around a handover, in seconds: a job is cancelled at every sweepStep,
// from sweepBefore before the handover begins to sweepAfter after that, and some jobs end by
// themselves. The steps are shorter after the lease is released, and after the next leader
// claims the leader key and lists the records.
const (
	sweepBefore               = 1.0
	sweepAfter                = 5.0
	sweepStep                 = 0.1
	releaseStep, releaseSteps = 0.01, 25
	claimStep, claimSteps     = 0.002, 25
)

// inOrder sorts the lines of a trace by time.
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

// handoverCase is a fault of node-2, the leader.
type handoverCase struct {
	name          string
	setup         string // lines of the trace, from 12 s on
	fault         string // what begins the handover, "": the leader releases its lease
	releasesLease bool
}

const handoverSetup = `
nodes 3
team red
type big cpus=32 gpus=8 mem=64 boot=10 zones=a
no-capacity
fleet 14 big a
at 3 expect leader node-2
`

// trace returns a trace with a handover that begins at the given time, and how many jobs are
// cancelled in it. At each instant of the sweep a user who is connected to one node cancels a
// job. Of every three such jobs two run, and one waits for room.
func (h handoverCase) trace(start float64, user string) (text string, cancelled int) {
	var submits, triggers, sweep strings.Builder
	submit := func(options string) string {
		cancelled++
		ref := fmt.Sprintf("req-%06d", cancelled)
		fmt.Fprintf(&submits, "at 4 submit %s array tasks=1 gpus=1 run=300%s\n", ref, options)
		return ref
	}
	fineSweep := func(change string, step float64, steps int) {
		for i := range steps {
			fmt.Fprintf(&triggers, "at 12 when %s after=%g cancel-at %s %s\n", change, float64(i)*step, user, submit(""))
		}
	}
	if h.releasesLease {
		fineSweep("drop:lead", releaseStep, releaseSteps)
	}
	fineSweep("set:lead", claimStep, claimSteps)
	const startedAt = 6.2 // when tasks submitted at 4 s start
	for i := range int((sweepBefore + sweepAfter) / sweepStep) {
		at := start - sweepBefore + float64(i)*sweepStep
		if i == int(sweepBefore/sweepStep) {
			fmt.Fprintf(&sweep, "at %.2f expect leader node-2\n", start-0.06)
			if h.fault != "" {
				fmt.Fprintf(&sweep, "at %.2f %s\n", start, h.fault)
			}
		}
		rank := ""
		if i%3 == 2 {
			rank = " rank=low tasks=14" // there is not enough room for all of these
		}
		fmt.Fprintf(&sweep, "at %.2f cancel-at %s %s\n", at, user, submit(rank))
		if i%4 == 0 {
			fmt.Fprintf(&submits, "at 4 submit req-%06d array tasks=1 gpus=1 run=%.1f\n", 1000+i, at-startedAt)
		}
	}
	return handoverSetup + submits.String() + inOrder("at 12 follow-up-requests on\nat 12 count\n"+triggers.String()+h.setup+sweep.String()) + fmt.Sprintf(`
at %.2f expect at-least 1 leaders
at 40 state-slow 0
at 40 thaw all
at 40 allow-state all
at 40 unisolate all
at 40 allow-worker-traffic all
at 40 link node-2
at 40 start all
at 44 expect leader some
at 90 expect cancelled-within 60
at 90 expect at-least %d cancelled
at 90 expect nothing-stuck
`, start+sweepAfter, cancelled), cancelled
}

// leaseReleasedAt returns when a leader that receives no heartbeats from 12 s on releases its
// lease. It plays the same case with a later sweep, in which the release triggers the first
// cancellation.
func (h handoverCase) leaseReleasedAt(t *testing.T, user string) float64 {
	const later = 35.0
	text, _ := h.trace(later, user)
	w, _ := playTrace(text, nil) // fails at later, where the trace expects node-2 to lead
	first := "-- cancel-at " + user + " req-000001"
	for _, line := range w.Log {
		var at float64
		if _, err := fmt.Sscan(line, &at); err == nil && strings.HasSuffix(line, first) && at < later-sweepBefore {
			return at
		}
	}
	t.Fatal("the leader does not release its lease")
	return 0
}

// unreachableMachines returns lines that cut off all machines from just before the handover to
// well after it, while they fetch the image of a job that has just been launched. The job is
// cancelled before the next leader can have received a heartbeat that reports its tasks.
func unreachableMachines() string {
	var b strings.Builder
	machines := func(at float64, what string) {
		for m := range 14 {
			fmt.Fprintf(&b, "at %g %s n-%06d\n", at, what, m+1)
		}
	}
	b.WriteString("at 18 submit req-002000 array tasks=6 gpus=1 image=img-2 size=5 run=300 rank=high\n")
	machines(18.6, "disconnect-machine")
	b.WriteString("at 12 when set:lead after=0.015 cancel req-002000\n")
	machines(29, "reconnect-machine")
	return b.String()
}

// Jobs end and are cancelled at many instants around a change of leader, by users connected to
// the old leader, to the next one, and to a third controller. Each cancellation is answered
// within a minute, no task of a job reported as cancelled starts or keeps running, and no user
// receives a status older than an earlier one.
func TestCancelledInAHandOver(t *testing.T) {
	for _, h := range []handoverCase{
		{name: "yields", setup: "at 12 drop-worker-traffic node-2\n", releasesLease: true},
		{name: "yields, the answer is lost", setup: "at 12 drop-worker-traffic node-2\nat 12 late-answers with={\"drop\":\"lead\"} by=1.4\nat 12 when drop:lead unlink node-2\n", releasesLease: true},
		{name: "ends", fault: "kill node-2"},
		{name: "restarts at once", fault: "restart node-2 after=0.05"},
		{name: "is refused by the state service", fault: "deny-state node-2"},
		{name: "is cut off from the other controllers and the state service", fault: "isolate node-2"},
		{name: "is frozen", setup: "at 12 when set:lead after=0.2 thaw node-2\n", fault: "freeze node-2"},
		{name: "ends, machines unreachable", setup: unreachableMachines(), fault: "kill node-2"},
		{name: "ends, slow answers", setup: "at 18 state-slow 0.15\n", fault: "kill node-2"},
	} {
		for _, user := range []string{"node-0", "node-1", "node-2"} {
			t.Run(h.name+"/"+user, func(t *testing.T) {
				begins := 20.0
				if h.releasesLease {
					begins = h.leaseReleasedAt(t, user)
				}
				text, cancelled := h.trace(begins, user)
				w, err := playTrace(text, nil)
				if err != nil {
					t.Fatalf("%v\ntrace:\n%s\nevent log:\n%s", err, text, strings.Join(w.Log, "\n"))
				}
				t.Logf("handover begins at %.2f s; %d jobs cancelled, the slowest answer took %.1f s", begins, cancelled, w.cancelLongest.Seconds())
			})
		}
	}
}
