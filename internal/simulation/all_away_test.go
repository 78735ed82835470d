package simulation

import (
	"fmt"
	"strings"
	"testing"
)

// All controllers are killed and start again after about the length of a worker's lease. By
// then some workers have lost their tasks, some are about to, and some keep them. Lost tasks
// are started again, the others are not started a second time, and the result that was
// reported for a finished job does not change.
func TestAllControllersAwayForAboutALease(t *testing.T) {
	minStarts, maxStarts := 100, 0
	for i := range 40 {
		downtime := 14 + 0.25*float64(i)
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
at %g if-present n-000001 resume
at %g expect req-000003 running running=2
at %g expect req-000001 done
at %g expect req-000002 done
at %g expect req-000004 done
`, 17+downtime, 17+downtime+4, 17+downtime+20, 17+downtime+80, 17+downtime+80, 17+downtime+80)
		w, err := playTrace(text, nil)
		if err != nil {
			t.Fatalf("%v\ntrace:\n%s\nevent log:\n%s", err, text, strings.Join(w.Log, "\n"))
		}
		minStarts, maxStarts = min(minStarts, w.started), max(maxStarts, w.started)
	}
	// Ten tasks start before the downtime, and nine of them still run when it begins; two are
	// on the machine that hangs.
	if minStarts > 12 || maxStarts < 19 {
		t.Errorf("the downtimes were not around the length of a lease: from %d to %d starts", minStarts, maxStarts)
	}
}
