package rehearsal

import (
	"fmt"
	"strings"
	"testing"
)

// Spans of a hand-over that is swept: it begins at handOverAt, and a job is cancelled, and
// one ends by itself, at every sweepStep from sweepBefore before that to sweepAfter after it.
const (
	handOverAt  = 20.0
	sweepBefore = 1.0
	sweepAfter  = 5.0
	sweepStep   = 0.1
)

// handOverTrace is a deployment that node-2 leads until something befalls it. At each
// instant of the sweep a user who is connected to one node cancels a job: of three of them
// two run, and one waits for room.
func handOverTrace(befalls, user string) string {
	var b strings.Builder
	b.WriteString("nodes 3\nteam red\ntype big cpus=16 gpus=4 mem=64 boot=10 zones=a\nno-capacity\nfleet 14 big a\nat 3 expect leader node-2\n")
	jobs := int((sweepBefore + sweepAfter) / sweepStep)
	cancelled := func(i int) string { return fmt.Sprintf("req-%06d", i+1) }
	ends := func(i int) string { return fmt.Sprintf("req-%06d", 1000+i) }
	const begin = 6.2 // what is submitted at 4 starts then
	for i := 0; i < jobs; i += 4 {
		fmt.Fprintf(&b, "at 4 submit %s array tasks=1 gpus=1 run=%.1f\n", ends(i), handOverAt-sweepBefore+float64(i)*sweepStep-begin)
	}
	for i := range jobs {
		rank := "standard"
		if i%3 == 2 {
			rank = "low" // there is no room for these
		}
		fmt.Fprintf(&b, "at 4 submit %s array tasks=1 gpus=1 run=300 rank=%s\n", cancelled(i), rank)
	}
	b.WriteString("at 8 close-looks on\n")
	early, late, _ := strings.Cut(befalls, "|")
	b.WriteString(early)
	handed := false
	for i := range jobs {
		at := handOverAt - sweepBefore + float64(i)*sweepStep
		if !handed && at >= handOverAt {
			handed = true
			b.WriteString(late)
		}
		fmt.Fprintf(&b, "at %.2f cancel-at %s %s\n", at, user, cancelled(i))
	}
	fmt.Fprintf(&b, `at 40 thaw all
at 40 admit all
at 40 back all
at 40 undeafen all
at 40 link node-2
at 40 start all
at 44 expect leader some
at 80 expect cancelled-within 60
at 80 expect all %d cancelled
at 80 expect nothing-stuck
`, jobs)
	return b.String()
}

// Jobs are cancelled, and end, at every instant around a change of leader, by users who are
// connected to the old leader, to the next one, and to a third controller: each is answered
// within a minute, nothing of what was confirmed starts or is left, and nobody is told
// anything older.
func TestCancelledInAHandOver(t *testing.T) {
	for _, h := range []struct{ name, befalls string }{
		{"yields", "at 9.1 deafen node-2\n|"},
		{"yields, the answer lost", "at 9.1 deafen node-2\nat 9.1 late-answers with={\"drop\":\"lead\"} by=1.4\nat 9.1 when drop:lead unlink node-2\n|"},
		{"ends", "|at 20 kill node-2\n"},
		{"is back at once", "|at 20 restart node-2 after=0.05\n"},
		{"is refused", "|at 20 deny node-2\n"},
		{"is cut off", "|at 20 away node-2\n"},
		{"is frozen", "at 20 freeze node-2\nat 20 when set:lead after=0.2 thaw node-2\n|"},
		{"slow answers", "at 19 state-slow 0.15\n|at 20 kill node-2\nat 40 state-slow 0\n"},
	} {
		for _, user := range []string{"node-0", "node-1", "node-2"} {
			t.Run(h.name+"/"+user, func(t *testing.T) {
				text := handOverTrace(h.befalls, user)
				w, err := RunTrace(text, nil)
				if err != nil {
					t.Fatalf("%v\nthe trace:\n%s\nwhat happened:\n%s", err, text, strings.Join(w.Log, "\n"))
				}
				t.Logf("the longest wait for a cancellation: %.1f s", w.cancelLongest.Seconds())
			})
		}
	}
}
