package simulation

import (
	"fmt"
	"strings"
	"testing"

	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/transport"
)

// Tens of thousands of short tasks run on one machine under one leader, and a copy of each command
// arrives again. Each task starts once, the worker's heartbeats stay small, and all jobs are done in
// twice the time that the tasks take at 95 at a time, beside the service.
func TestSmallTasksWithoutEndOnOneMachine(t *testing.T) {
	const jobs, tasksPerJob = 20, 1500
	var trace strings.Builder
	trace.WriteString(`
nodes 3
team red
type big cpus=96 gpus=0 mem=768 boot=10 fetch=1 zones=a
no-capacity
fleet 1 big a
at 1 duplicate-requests mixed
at 3 submit req-000900 service tasks=1 cpus=1 gpus=0
`)
	for i := range jobs {
		fmt.Fprintf(&trace, "at %d submit req-%06d array tasks=%d cpus=1 gpus=0 run=2 size=1\n", 4+i, i+1, tasksPerJob)
	}
	end := 1300
	fmt.Fprintf(&trace, "at %d duplicate-requests 0\n", end-60)
	for i := range jobs {
		fmt.Fprintf(&trace, "at %d expect req-%06d done\n", end, i+1)
	}
	fmt.Fprintf(&trace, "at %d expect starts %d\n", end, jobs*tasksPerJob+1)
	w, err := playTrace(trace.String(), func(w *World) { w.quiet = true })
	if err != nil {
		t.Fatal(err)
	}
	if w.leaders != 1 {
		t.Errorf("%d leaders", w.leaders)
	}
	if w.largestReport > transport.MaxBody/2 {
		t.Errorf("a heartbeat had %d bytes", w.largestReport)
	}
	m := w.machines["n-000001"]
	if len(m.tasks) != 1 {
		t.Errorf("%d attempts are left on the machine beside the service", len(m.tasks)-1)
	}
	t.Logf("last token %d, largest heartbeat %d bytes", m.epoch, w.largestReport)
}

// A leader that has used up the tokens for a worker steps down, and work continues under the tokens
// of the next epoch.
func TestLeaderWithoutTokensStepsDown(t *testing.T) {
	w, err := playTrace(`
nodes 3
team red
type small cpus=8 gpus=2 mem=64 boot=10 fetch=1 zones=a
no-capacity
machine n-000001 small a
at 5 submit req-000001 array tasks=4 run=5
at 5 submit req-000002 service tasks=1
at 60 expect req-000001 done
at 60 expect starts 5
at 60 expect leader some
`, func(w *World) {
		w.after(6*protocol.Second, func() { w.machines["n-000001"].epoch = leadership.NextEpoch(0) })
	})
	if err != nil {
		t.Fatalf("%v\nevent log:\n%s", err, strings.Join(w.Log, "\n"))
	}
	epoch, err := records.DecodeEpoch([]byte(w.store.keys[records.KeyEpoch].value))
	if want := leadership.NextEpoch(leadership.NextEpoch(0)); err != nil || epoch.Number != want {
		t.Errorf("epoch %d, want %d, %v", epoch.Number, want, err)
	}
	if m := w.machines["n-000001"]; len(m.tasks) > 1 || !leadership.TokensOf(epoch.Number).Contains(m.epoch) {
		t.Errorf("%d attempts are on the machine, whose token is %d", len(m.tasks), m.epoch)
	}
}
