package simulation

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// lastTaskEnd plays a trace in which the job is not cancelled, and returns when the job's last
// task ends, or when a service's replica first exits by itself.
func lastTaskEnd(t *testing.T, setup string) float64 {
	t.Helper()
	w, err := playTrace(setup+"at 40 expect leader some\n", nil)
	if err != nil {
		t.Fatal(err)
	}
	end := 0.0
	for _, m := range regexp.MustCompile(`(?m)^ *([0-9.]+) req-000001/\d+ leaves`).FindAllStringSubmatch(strings.Join(w.Log, "\n"), 2) {
		end, _ = strconv.ParseFloat(m[1], 64)
	}
	if end == 0 {
		t.Fatalf("the job does not end:\n%s", strings.Join(w.Log, "\n"))
	}
	return end
}

// A job is cancelled at about the time at which its last task ends, without any other fault,
// while its user queries all controllers and repeats the submission. The instants of
// cancellation go in steps shorter than a message's delay, from before the task's end until
// long after the user can know of it. The first result that is reported, done or cancelled,
// stays the same at each controller, also after a change of leader, and no task is started
// again. Jobs cancelled early end as cancelled, those cancelled late as done, and services
// always as cancelled.
func TestCancelAtTheEndOfTheLastTask(t *testing.T) {
	kinds := []struct{ name, job, end string }{
		{"array", "array tasks=2 gpus=1 run=6", "done"},
		{"gang", "gang tasks=2 gpus=1 run=6", "done"},
		{"service", "service tasks=1 gpus=1 image=fragile", "cancelled"},
	}
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			setup := "nodes 3\nteam red\ntype big cpus=8 gpus=2 mem=64 boot=10 zones=a\nno-capacity\nfleet 2 big a\n" +
				"at 1 image fragile crashes after=6\nat 4 submit req-000001 " + kind.job + "\n"
			end := lastTaskEnd(t, setup)
			phases := make(map[string]int)
			playCancelAt := func(cancelAt float64) {
				text := setup + fmt.Sprintf("at %.4f query-all req-000001\nat %.4f cancel req-000001\n", cancelAt, cancelAt)
				for _, delay := range []float64{0.001, 0.004, 0.008, 0.012, 0.02, 0.05, 0.2, 0.6, 2, 3} {
					text += fmt.Sprintf("at %.4f query-all req-000001\n", cancelAt+delay)
				}
				text += fmt.Sprintf("at %.4f cancel req-000001\nat %.4f kill leader\n", cancelAt+2.5, cancelAt+3.5)
				for _, delay := range []float64{3.6, 5.4, 5.8, 6.2, 8} {
					text += fmt.Sprintf("at %.4f query-all req-000001\n", cancelAt+delay)
				}
				text += fmt.Sprintf("at %.4f start all\nat %.4f expect finished req-000001\nat %.4f expect on req-000001/0 nowhere\n", cancelAt+9, cancelAt+12, cancelAt+12)
				w, err := playTrace(text, nil)
				if err != nil {
					t.Fatalf("%v\ntrace:\n%s\nevent log:\n%s", err, text, strings.Join(w.Log, "\n"))
				}
				phases[w.jobs["req-000001"].phase]++
			}
			for i := range 40 {
				playCancelAt(end - 0.1 + 0.005*float64(i))
			}
			for _, offset := range []float64{-2, -0.6, -0.3, 0.3, 0.6, 0.9, 1.5, 3} {
				playCancelAt(end + offset)
			}
			if phases["cancelled"] == 0 || phases[kind.end] == 0 || len(phases) > 2 {
				t.Errorf("the cancellations were not both before and after the end: %v", phases)
			}
			t.Logf("%v", phases)
		})
	}
}
