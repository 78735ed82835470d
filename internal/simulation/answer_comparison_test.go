package simulation

import (
	"fmt"
	"strings"
	"testing"
)

// lookScene is a deployment that node-2 leads, with a job that ends by itself at about
// 20.2 and one that is cancelled then. A third and a fourth one are submitted then, the
// latter at a controller that does not lead, and cancelled as soon as it is accepted.
const lookScene = `
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
at 12 close-looks on
%s
at 20 look req-000001 every=0.05 for=4
at 20 look req-000002 every=0.05 for=4
at 20.1 submit-at node-2 req-000003 array tasks=1 gpus=1 run=8
at 20.1 look req-000003 every=0.05 for=4
at 20.2 cancel-at node-0 req-000002
at 20.3 close-looks on cancel=1
at 20.3 submit-at node-1 req-000004 array tasks=1 gpus=1 run=300
at 20.3 look req-000004 every=0.05 for=4
at 26.9 look req-000001 every=0.05 for=0.6
at 26.9 look req-000002 every=0.05 for=0.6
at 26.9 look req-000003 every=0.05 for=0.6
at 26.9 look req-000004 every=0.05 for=0.6
at 27 state up
at 27 state-slow 0
at 27 admit all
at 27 thaw all
at 27 back all
at 27 link node-0
at 27 link node-2
at 27 start all
at 33 look req-000001
at 33 look req-000002
at 33 look req-000003
at 33 look req-000004
at 70 expect req-000001 done
at 70 expect req-000002 cancelled
at 70 expect over req-000003
at 70 expect over req-000004
at 70 expect nothing-stuck
at 70 expect cancelled-within 60
at 70 expect at-least 1500 looks
`

// What a controller told of a job no controller takes back, whatever befalls the leader or
// another one at the instant at which the record of its acceptance or of its end is made,
// or between that and the answer that says so.
func TestCloseLooks(t *testing.T) {
	befalls := []struct{ name, trouble, over string }{
		{"nothing", "", ""},
		{"the leader ends", "kill node-2", ""},
		{"the leader is back at once", "restart node-2 after=0.05", ""},
		{"the leader is frozen", "freeze node-2", "thaw node-2"},
		{"the leader is cut from the state service", "deny node-2", ""},
		{"the leader is cut from the others", "unlink node-2", ""},
		{"the leader is cut from both", "away node-2", ""},
		{"a follower is cut from the state service", "deny node-0", ""},
		{"a follower is cut from the others", "unlink node-0", ""},
		{"a follower is cut from both", "away node-0", ""},
		{"an outage", "state down", "state up"},
		{"slow answers", "state-slow 0.3", ""},
	}
	for _, b := range befalls {
		t.Run(b.name, func(t *testing.T) {
			for _, key := range []string{"f/req-000001", "f/req-000002", "j/req-000003", "j/req-000004"} {
				for _, after := range []float64{0, 0.003} {
					for _, answered := range []float64{0, 1.4} {
						lines := fmt.Sprintf("at 12 late-answers with=\"set\":%q by=%g\n", key, answered)
						if b.trouble != "" {
							lines += fmt.Sprintf("at 12 when set:%s after=%g %s\n", key, after, b.trouble)
						}
						if b.over != "" {
							lines += fmt.Sprintf("at 12 when set:%s after=%g %s\n", key, after+2.6, b.over)
						}
						text := fmt.Sprintf(lookScene, lines)
						if w, err := playTrace(text, nil); err != nil {
							t.Fatalf("%s, after %g, answered %g later: %v\nthe trace:\n%s\nwhat happened:\n%s", key, after, answered, err, text, strings.Join(w.Log, "\n"))
						}
					}
				}
			}
		})
	}
}
