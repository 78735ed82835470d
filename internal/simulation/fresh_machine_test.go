package simulation

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"mapleslip/internal/protocol"
)

// freshMachineTrace is a trace in which machines that boot within two seconds get work at once,
// while the state service answers late or carries out transactions late, and the leader is
// killed in the first four seconds of such a machine. The team's limit is just enough for all
// of the work, so a launch that a new leader doesn't count leads to a breach of the limit.
const freshMachineTrace = `nodes 3 a b c
team red max=8
type big cpus=8 gpus=2 mem=64 boot=1.5 zones=a,b
at 1 list-lag 5
at 3 expect leader some
%s
at 4 submit req-000001 array tasks=4 gpus=1 run=20
at 4.3 submit req-000002 gang tasks=2 gpus=2 run=15
at 4.6 submit req-000003 array tasks=6 gpus=1 run=10
at %g restart leader after=%g
%s
at 20 start all
at 80 expect leader some
at 80 expect nothing-stuck
at 80 expect %s
at 80 expect at-least 1 rented
at 120 expect machines 0 # none is held by a leader that does not know of it
`

// heldMessages delays the messages to a machine, from when it is up, and those from it, from
// when the leader is killed. The old leader's command is delivered before the machine's
// heartbeats.
func heldMessages(machine string) string {
	return fmt.Sprintf("at 5.2 if-present %[1]s hold-calls\nat ENDS if-present %[1]s hold-reports\nat ENDS+4 if-present %[1]s deliver-calls\nat ENDS+5 if-present %[1]s deliver-reports\n", machine)
}

// heldCommands delays only the messages to a machine; the answers to its heartbeats are lost.
func heldCommands(machine string) string {
	return fmt.Sprintf("at 5.2 if-present %[1]s hold-calls\nat ENDS if-present %[1]s lose-answers\nat ENDS+4 if-present %[1]s deliver-calls\nat ENDS+5 if-present %[1]s pass-answers\n", machine)
}

var freshSteps = flag.Int("fresh-steps", 22, "number of instants at which the leader is killed in TestFreshMachines")

// Before a command is sent to a machine, the launch and the machine are recorded. Tasks that a
// new leader finds on a machine without a record run once and count towards the team's limit,
// and the machine is released when it is idle.
func TestFreshMachines(t *testing.T) {
	faults := []struct {
		name, begins, ends string
		lease              float64 // duration of the leader's lease, 0: the default
	}{
		{"no other fault", "", "", 0},
		{"state slow by 0.3 s", "at 3.9 state-slow 0.3", "at 12 state-slow 0", 0},
		{"state slow by 1 s", "at 5.3 state-slow 1", "at 14 state-slow 0", 0},
		{"state slow by 1 s, long lease", "at 3.9 state-slow 1", "at 20 state-slow 0", 8},
		{"state slow by 3 s", "at 5.3 state-slow 3", "at 14 state-slow 0", 0},
		{"machines recorded late", "at 3.9 late-writes every=1 by=3 with=hp/", "at 14 late-writes every=0", 0},
		{"launches recorded late", "at 3.9 late-writes every=1 by=3 with=lp/", "at 14 late-writes every=0", 0},
		{"every other write late", "at 3.9 late-writes every=2 by=2", "at 14 late-writes every=0", 0},
		{"answers of launches lost", "at 3.9 lose-answers-of with=lp/ most=20", "at 14 lose-answers-of nothing", 0},
		{"rental not answered", "at 3.9 cloud-slow 4", "at 14 cloud-slow 0", 0},
		{"commands and reports held", heldMessages("n-500000") + heldMessages("n-500001") + heldMessages("n-500002") + heldMessages("n-500003"), "", 0},
		{"commands held, answers lost", heldCommands("n-500000") + heldCommands("n-500001") + heldCommands("n-500002") + heldCommands("n-500003"), "", 0},
		{"cloud gone after the rental", "at 3.9 cloud-slow 4\nat 4.9 cloud down", "at 16 cloud up\nat 16 cloud-slow 0", 0},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			restartDelays := []float64{0.05, 3} // used alternately
			expectedStarts := "starts 12"
			if strings.Contains(fault.begins, "hold-calls") {
				// A machine that is silent for too long is released, and its tasks start again.
				expectedStarts = "at-least 12 starts"
			}
			for i := range *freshSteps {
				leaderEndsAt := 5.4 + 4.4*float64(i)/float64(*freshSteps)
				instants := strings.NewReplacer("ENDS+5", fmt.Sprintf("%g", leaderEndsAt+5), "ENDS+4", fmt.Sprintf("%g", leaderEndsAt+4), "ENDS", fmt.Sprintf("%g", leaderEndsAt))
				text := inOrder(fmt.Sprintf(freshMachineTrace, instants.Replace(fault.begins), leaderEndsAt, restartDelays[i%2], fault.ends, expectedStarts))
				w, err := playTrace(text, func(w *World) {
					w.Operator.IdleScaleInDelay = 15 * protocol.Second
					if fault.lease > 0 {
						w.Operator.LeaderLease = protocol.FromSeconds(fault.lease)
					}
				})
				if err != nil {
					t.Fatalf("%v\ntrace:\n%s\nevent log:\n%s", err, text, strings.Join(w.Log, "\n"))
				}
			}
		})
	}
}
