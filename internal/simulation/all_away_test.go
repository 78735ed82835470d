package simulation

import (
	"fmt"
	"strings"
	"testing"
)

// All controllers end, and are there again after a time around that of a lease: some
// workers have lost all by then, some are about to, some keep it. What was lost begins
// anew, what was not is not started a second time, and nobody is told anything else about
// what was over.
func TestAllControllersAwayForAboutALease(t *testing.T) {
	fewest, most := 100, 0
	for i := range 40 {
		away := 14 + 0.25*float64(i)
		text := fmt.Sprintf(`
nodes 3 a b c
team red gpus=8 max=14
type big cpus=8 gpus=2 mem=64 boot=10 zones=a,b
no-capacity
fleet 4 big a
fleet 4 big b
at 4 submit req-000001 array tasks=4 gpus=1 run=60
at 4.5 submit req-000002 gang tasks=3 gpus=2 run=60 one-zone
at 5 submit req-000003 service tasks=2 gpus=1
at 5 submit req-000004 array tasks=1 gpus=1 run=4
at 14 expect req-000004 done
at 16 hang n-000001
at 17 kill all
at %g start all
at %g if-here n-000001 wake
at %g expect req-000003 running running=2
at %g expect req-000001 done
at %g expect req-000002 done
at %g expect req-000004 done
`, 17+away, 17+away+4, 17+away+20, 17+away+80, 17+away+80, 17+away+80)
		w, err := playTrace(text, nil)
		if err != nil {
			t.Fatalf("%v\nthe trace:\n%s\nwhat happened:\n%s", err, text, strings.Join(w.Log, "\n"))
		}
		fewest, most = min(fewest, w.started), max(most, w.started)
	}
	// Ten starts before, nine of which last; two are on the machine that hangs.
	if fewest > 12 || most < 19 {
		t.Errorf("the time of a lease was not met: from %d to %d starts", fewest, most)
	}
}
