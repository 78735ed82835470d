package simulation

import (
	"fmt"
	"strings"
	"testing"
)

// lateCopies are histories in which a copy of a direct command that was carried out and answered
// arrives at the worker later, in the same session and under the same leader.
var lateCopies = []struct{ name, trace string }{
	{"the task failed and runs on another machine", `
machine n-000001 small a
machine n-000002 small a
at 4 fail-tasks n-000001
at 5 copy-commands every=1 by=4
at 5.2 submit req-000001 array tasks=1 run=40
at 60 expect req-000001 done
at 60 expect starts 2
`},
	{"the task was cancelled", `
machine n-000001 small a
at 5 copy-commands every=1 by=6
at 5.2 submit req-000001 array tasks=1 run=40
at 8 cancel req-000001
at 30 expect req-000001 cancelled
at 30 expect starts 1
`},
	{"the task is done", `
machine n-000001 small a
at 5 copy-commands every=1 by=12
at 5.2 submit req-000001 array tasks=4 run=5
at 60 expect req-000001 done
at 60 expect starts 4
`},
	{"the gang lost a machine and runs under a new number", `
machine n-000001 small a
machine n-000002 small a
machine n-000003 small a
at 5 copy-commands every=1 by=12
at 5.2 submit req-000001 gang tasks=2 gpus=2 run=40
at 8 fail n-000002
at 30 expect req-000001 running running=2
at 80 expect req-000001 done
at 80 expect starts 4
`},
	{"the task of a gang was launched elsewhere under its number", `
machine n-000001 small a
machine n-000002 small a
machine n-000003 small a
machine n-000004 small a
at 4 submit req-000001 array tasks=2 gpus=2 size=45 run=2
at 5 submit req-000002 array tasks=1 gpus=2 size=2 image=img-2 run=60
at 60 fail-tasks n-000001
at 60 copy-commands every=1 by=8
at 60 submit req-000003 gang tasks=3 gpus=2 size=45 run=100
at 67 stop-failing n-000001
at 400 expect req-000003 done
`},
	{"the task of a gang was stopped and launched again on its machine under its number", `
machine n-000001 small a
machine n-000002 small a
at 4 submit req-000001 array tasks=1 gpus=2 size=45 run=2
at 5 submit req-000002 array tasks=1 gpus=2 size=2 image=img-2 run=60
at 60 submit req-000003 gang tasks=2 gpus=2 size=45 run=100 rank=low
at 70 copy-commands every=1 by=10
at 72 submit req-000004 array tasks=1 gpus=2 size=45 run=2
at 360 expect req-000003 done
at 360 expect req-000004 done
at 360 expect starts 6
`},
	{"the leader ended and was back at once", `
machine n-000001 small a
machine n-000002 small a
at 4 fail-tasks n-000001
at 5 copy-commands every=1 by=2.9
at 5.2 submit req-000001 array tasks=1 run=40
at 8 stop-failing n-000001
at 8.4 restart leader after=0.5
at 60 expect req-000001 done
at 60 expect starts 2
`},
}

// A task starts once for each launch that the leader decided on, however often the command arrives.
func TestLateCopyOfACommandStartsNoTask(t *testing.T) {
	const deployment = `
nodes 1
team red gpus=8 max=8
type small cpus=8 gpus=2 mem=64 boot=10 fetch=1 zones=a
no-capacity
`
	for _, c := range lateCopies {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w, err := playTrace(deployment+c.trace, nil)
			if err != nil {
				t.Errorf("%v\nevent log:\n%s", err, strings.Join(w.Log, "\n"))
			}
		})
	}
}

// No rule is broken in any trace if a copy of every message arrives again. What a trace expects at
// certain times does not apply then: a copy of a renewal may extend the lease of a leader that has
// ended, for example.
func TestTracesWithCopies(t *testing.T) {
	forEachTrace(t, func(t *testing.T, trace string) {
		trace = withoutExpectations(trace)
		w, err := playTrace(trace, func(w *World) { w.copies.mixed = true })
		if err != nil {
			t.Errorf("%v\ntrace:\n%s\nevent log:\n%s", err, trace, strings.Join(w.Log, "\n"))
		}
	})
}

// withoutExpectations replaces the lines of a trace that expect something, or that control copies,
// by lines at the same time without effect. Changes of a machine apply only if the machine is
// present.
func withoutExpectations(text string) string {
	var kept []string
	for line := range strings.Lines(text) {
		words := strings.Fields(line)
		switch {
		case len(words) < 4 || words[0] != "at":
		case strings.HasPrefix(words[2], "expect") || words[2] == "duplicate-requests":
			line = fmt.Sprintf("at %s if-present none hang\n", words[1])
		case machineChanges[words[2]] != nil:
			line = fmt.Sprintf("at %s if-present %s %s\n", words[1], words[3], words[2])
		}
		kept = append(kept, line)
	}
	return strings.Join(kept, "")
}
