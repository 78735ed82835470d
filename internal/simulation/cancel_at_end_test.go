package simulation

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// endOf plays a job of a kind that nobody cancels, and says when its last task ends; of a
// service, when its replica first ends by itself.
func endOf(t *testing.T, scene string) float64 {
	t.Helper()
	w, err := playTrace(scene+"at 40 expect leader some\n", nil)
	if err != nil {
		t.Fatal(err)
	}
	end := 0.0
	for _, m := range regexp.MustCompile(`(?m)^ *([0-9.]+) req-000001/\d+ leaves`).FindAllStringSubmatch(strings.Join(w.Log, "\n"), 2) {
		end, _ = strconv.ParseFloat(m[1], 64)
	}
	if end == 0 {
		t.Fatalf("it does not end:\n%s", strings.Join(w.Log, "\n"))
	}
	return end
}

// A job is cancelled at the moment at which its last task ends, with no other trouble, and
// its user asks at all controllers and repeats the submission at the same time. Instants
// around the end are gone through in steps shorter than a message takes, from before the
// task ends until long after its user could know. Whichever of the two the user is told
// first stays so, at each controller, also once another one leads; nothing is started
// again. Early ones come out cancelled, late ones done, a service always cancelled.
func TestCancelAtTheEndOfTheLastTask(t *testing.T) {
	kinds := []struct{ name, job, end string }{
		{"array", "array tasks=2 gpus=1 run=6", "done"},
		{"gang", "gang tasks=2 gpus=1 run=6", "done"},
		{"service", "service tasks=1 gpus=1 image=fragile", "cancelled"},
	}
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			scene := "nodes 3\nteam red\ntype big cpus=8 gpus=2 mem=64 boot=10 zones=a\nno-capacity\nfleet 2 big a\n" +
				"at 1 image fragile crashes after=6\nat 4 submit req-000001 " + kind.job + "\n"
			end := endOf(t, scene)
			phases := make(map[string]int)
			try := func(from float64) {
				text := scene + fmt.Sprintf("at %.4f ask-everywhere req-000001\nat %.4f cancel req-000001\n", from, from)
				for _, later := range []float64{0.001, 0.004, 0.008, 0.012, 0.02, 0.05, 0.2, 0.6, 2, 3} {
					text += fmt.Sprintf("at %.4f ask-everywhere req-000001\n", from+later)
				}
				text += fmt.Sprintf("at %.4f cancel req-000001\nat %.4f kill leader\n", from+2.5, from+3.5)
				for _, later := range []float64{3.6, 5.4, 5.8, 6.2, 8} {
					text += fmt.Sprintf("at %.4f ask-everywhere req-000001\n", from+later)
				}
				text += fmt.Sprintf("at %.4f start all\nat %.4f expect over req-000001\nat %.4f expect on req-000001/0 nowhere\n", from+9, from+12, from+12)
				w, err := playTrace(text, nil)
				if err != nil {
					t.Fatalf("%v\nthe trace:\n%s\nwhat happened:\n%s", err, text, strings.Join(w.Log, "\n"))
				}
				phases[w.jobs["req-000001"].phase]++
			}
			for i := range 40 {
				try(end - 0.1 + 0.005*float64(i))
			}
			for _, off := range []float64{-2, -0.6, -0.3, 0.3, 0.6, 0.9, 1.5, 3} {
				try(end + off)
			}
			if phases["cancelled"] == 0 || phases[kind.end] == 0 || len(phases) > 2 {
				t.Errorf("not both sides of the end were tried: %v", phases)
			}
			t.Logf("%v", phases)
		})
	}
}
