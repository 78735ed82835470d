package simulation

import (
	"fmt"
	"strings"
	"testing"
)

// answerComparisonSetup is a deployment whose leader is node-2. At about 20.2 s one job ends
// by itself, another is cancelled, and a third and a fourth are submitted. The fourth is
// submitted to a follower, and cancelled as soon as it is accepted.
const answerComparisonSetup = `
nodes 3
team red
type big cpus=8 gpus=2 mem=64 boot=10 zones=a
no-capacity
fleet 3 big a
at 3 expect leader node-2
at 4 submit req-000001 array tasks=1 gpus=1 run=14
at 4 submit req-000002 array tasks=2 gpus=1 run=300
at 12 expect req-000001 running
at 12 expect req-000002 running running=2
at 12 follow-up-requests on
%s
at 20 send-follow-ups req-000001 every=0.05 for=4
at 20 send-follow-ups req-000002 every=0.05 for=4
at 20.1 submit-at node-2 req-000003 array tasks=1 gpus=1 run=8
at 20.1 send-follow-ups req-000003 every=0.05 for=4
at 20.2 cancel-at node-0 req-000002
at 20.3 follow-up-requests on cancel=1
at 20.3 submit-at node-1 req-000004 array tasks=1 gpus=1 run=300
at 20.3 send-follow-ups req-000004 every=0.05 for=4
at 26.9 send-follow-ups req-000001 every=0.05 for=0.6
at 26.9 send-follow-ups req-000002 every=0.05 for=0.6
at 26.9 send-follow-ups req-000003 every=0.05 for=0.6
at 26.9 send-follow-ups req-000004 every=0.05 for=0.6
at 27 state up
at 27 state-slow 0
at 27 allow-state all
at 27 thaw all
at 27 unisolate all
at 27 link node-0
at 27 link node-2
at 27 start all
at 33 send-follow-ups req-000001
at 33 send-follow-ups req-000002
at 33 send-follow-ups req-000003
at 33 send-follow-ups req-000004
at 70 expect req-000001 done
at 70 expect req-000002 cancelled
at 70 expect finished req-000003
at 70 expect finished req-000004
at 70 expect nothing-stuck
at 70 expect cancelled-within 60
at 70 expect at-least 1500 compared-answers
`

// No controller retracts what a controller has answered about a job. The leader or a follower
// fails at the instant at which the record of the job's acceptance or end is written, or
// between that and the state service's answer to the write.
func TestAnswersStayConsistent(t *testing.T) {
	faults := []struct{ name, begins, ends string }{
		{"no fault", "", ""},
		{"the leader ends", "kill node-2", ""},
		{"the leader restarts at once", "restart node-2 after=0.05", ""},
		{"the leader is frozen", "freeze node-2", "thaw node-2"},
		{"the leader is cut off from the state service", "deny-state node-2", ""},
		{"the leader is cut off from the followers", "unlink node-2", ""},
		{"the leader is cut off from both", "isolate node-2", ""},
		{"a follower is cut off from the state service", "deny-state node-0", ""},
		{"a follower is cut off from the other controllers", "unlink node-0", ""},
		{"a follower is cut off from both", "isolate node-0", ""},
		{"the state service is down", "state down", "state up"},
		{"the state service answers slowly", "state-slow 0.3", ""},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			for _, key := range []string{"f/req-000001", "f/req-000002", "j/req-000003", "j/req-000004"} {
				for _, faultDelay := range []float64{0, 0.003} {
					for _, answerDelay := range []float64{0, 1.4} {
						lines := fmt.Sprintf("at 12 late-answers with=\"set\":%q by=%g\n", key, answerDelay)
						if fault.begins != "" {
							lines += fmt.Sprintf("at 12 when set:%s after=%g %s\n", key, faultDelay, fault.begins)
						}
						if fault.ends != "" {
							lines += fmt.Sprintf("at 12 when set:%s after=%g %s\n", key, faultDelay+2.6, fault.ends)
						}
						text := fmt.Sprintf(answerComparisonSetup, lines)
						if w, err := playTrace(text, nil); err != nil {
							t.Fatalf("%s, fault %g s after the write, answer delayed by %g s: %v\ntrace:\n%s\nevent log:\n%s", key, faultDelay, answerDelay, err, text, strings.Join(w.Log, "\n"))
						}
					}
				}
			}
		})
	}
}
