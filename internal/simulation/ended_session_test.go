package simulation

import (
	"strings"
	"testing"
)

// A report of a session that ended by time, before the leader had heard of the worker, shows no task.
func TestReportOfASessionThatEndedByTimeShowsNoTask(t *testing.T) {
	w, err := playTrace(`
nodes 7 a b c a b c a
team red max=0
team blue
type big cpus=8 gpus=2 mem=64 boot=10 zones=a,b,c,d
fleet 1 big a
fleet 9 big b
fleet 1 big c
fleet 8 big d
at 9.4 submit req-000013 array tasks=2 gpus=1 team=red run=60
at 18.5 if-present n-000006 lose-answers
at 20.6 cloud down
at 21.95 restart leader after=3
at 22.55 in-zone a disconnect-machine
at 27.5 in-zone all resume
at 46.55 in-zone a reconnect-machine
at 50 expect req-000013 running
`, nil)
	if err != nil {
		t.Errorf("%v\nevent log:\n%s", err, strings.Join(w.Log, "\n"))
	}
}
