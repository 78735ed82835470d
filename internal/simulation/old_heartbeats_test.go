package simulation

import (
	"fmt"
	"strings"
	"testing"

	"mapleslip/internal/leadership"
)

// oldReportsTrace is a trace in which outdated heartbeats arrive when leaders change: from an
// earlier session (n-000005), from earlier terms, and about attempts that have ended since (on
// a machine that has died, of jobs that have ended, and one that failed).
const oldReportsTrace = `nodes 3
team red max=12
type big cpus=8 gpus=2 mem=64 boot=10 zones=a,b
no-capacity
fleet 4 big a
fleet 3 big b
at 3 expect leader node-2
at 4 submit req-000001 gang tasks=2 gpus=2 run=400 zone=a
at 4 submit req-000002 array tasks=2 gpus=1 run=9 zone=b
at 4 submit req-000003 array tasks=2 gpus=1 run=600
at 4 submit req-000004 array tasks=1 gpus=1 run=3 fails
at 5 old-reports keep
at 8 lose-answers n-000005
at 16 old-reports stop
at 16 if-present %s fail
at 20 cancel req-000003
at 30 if-present n-000005 pass-answers
at 31 submit req-000005 array tasks=4 gpus=1 run=30
at 32 cancel req-000004
at 36 old-reports deliver on=%s after=%g order=%s
at 37 count
at 38 state-slow %g
at 38 %s
at 50 %s
at 54 old-reports deliver on=none
at 56 state-slow 0
at 56 start all
at 120 expect req-000001 running running=2
at 120 expect req-000002 done
at 120 expect req-000003 cancelled
at 120 expect req-000004 cancelled
at 120 expect req-000005 done
at 120 expect unanswered 30
`

// Copies of old heartbeats reach every controller just as a new leader begins: before it has read
// the records, after that, or both. The copies cause no additional starts, and no rule is broken.
// If the old leader is back at once, the copies may make the new one release its lease, at most
// leadership.MaxTransfers times: a controller that has just started can't tell copies of a
// worker's heartbeats, followed by the worker's own, from a worker that was redirected to the
// leader and came back.
func TestOldReportsAtTakeOver(t *testing.T) {
	type outcome struct{ started, leaders int }
	leaderEnds := map[string][2]string{
		"the leader ends":               {"kill leader", "if-leader kill"},
		"the leader ends, back at once": {"restart leader after=0.05", "restart leader after=0.05"},
	}
	for name, leaderEnd := range leaderEnds {
		for _, stateDelay := range []float64{0, 0.15} {
			for _, failedMachine := range []string{"n-000001", "n-000002"} {
				t.Run(fmt.Sprintf("%s, state slow by %g, %s dies", name, stateDelay, failedMachine), func(t *testing.T) {
					t.Parallel()
					delivered := make(map[string]int)
					play := func(on string, after float64, order string) outcome {
						text := fmt.Sprintf(oldReportsTrace, failedMachine, on, after, order, stateDelay, leaderEnd[0], leaderEnd[1])
						w, err := playTrace(text, nil)
						if err != nil {
							t.Fatalf("%v\ntrace:\n%s\nevent log:\n%s", err, text, strings.Join(w.Log, "\n"))
						}
						if on == "none" {
							return outcome{w.started, w.leaders}
						}
						got := w.oldReports.delivered
						for role, n := range got {
							delivered[role] += n
						}
						return outcome{w.started, w.leaders}
					}
					withoutCopies := play("none", 0, "oldest")
					for _, on := range []string{"claiming", "loading", "leading", "loading,leading"} {
						for _, after := range []float64{0, 0.1, 1.5} {
							for _, order := range []string{"oldest", "newest"} {
								got := play(on, after, order)
								if strings.Contains(name, "back") && got.leaders <= withoutCopies.leaders+leadership.MaxTransfers {
									got.leaders = withoutCopies.leaders
								}
								if got != withoutCopies {
									t.Errorf("copies on %s after %g s, %s first: got %+v, without copies %+v", on, after, order, got, withoutCopies)
								}
							}
						}
					}
					for _, role := range []string{"following", "claiming", "loading", "leading"} {
						if delivered[role] == 0 && !(role == "loading" && stateDelay == 0) {
							t.Errorf("no copy reached a controller in the role %s", role)
						}
					}
				})
			}
		}
	}
}
