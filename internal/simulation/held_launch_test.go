package simulation

import (
	"fmt"
	"strings"
	"testing"
)

// heldLaunch is a history in which launches are held up on their way to the workers, while their job
// is cancelled.
type heldLaunch struct {
	job        string // kind and options of the job
	machine    string // what happens to machine n-000001 before the cancellation, "": nothing
	repair     string // what ends it
	controller string // what happens to the controllers after the cancellation, "": nothing
	heldFor    int    // seconds, up to half as much again
	repairedAt int    // seconds
}

func (h heldLaunch) trace() string {
	var b strings.Builder
	at := func(seconds float64, line string) {
		if line != "" {
			fmt.Fprintf(&b, "at %g %s\n", seconds, line)
		}
	}
	b.WriteString(`
nodes 3
team red gpus=8 max=8
type small cpus=8 gpus=2 mem=64 boot=10 fetch=1 zones=a
no-capacity
machine n-000001 small a
machine n-000002 small a
machine n-000003 small a
`)
	at(3, "submit req-000008 service tasks=3 cpus=5 gpus=0 run=10 image=img-2") // keeps the machines in use
	at(4, "submit req-000009 array tasks=1 run=3")                              // the image is on one machine
	if strings.Contains(h.job, "moves") {
		at(9, "fail-tasks n-000001")
	}
	at(10, fmt.Sprintf("late-commands every=1 by=%d with=launch", h.heldFor))
	at(10.1, "submit req-000001 "+strings.TrimSuffix(h.job, " moves"))
	at(11, h.machine)
	at(13, "cancel req-000001")
	at(13.2, h.controller)
	at(14, "late-commands every=0")
	at(float64(h.repairedAt), h.repair)
	at(float64(h.repairedAt), "start all")
	at(float64(h.repairedAt), "thaw all")
	at(float64(h.repairedAt), "unisolate all")
	at(float64(h.repairedAt)+30, "retry-cancels")
	at(float64(h.repairedAt)+90, "expect req-000001 cancelled")
	at(float64(max(h.repairedAt+90, 2*h.heldFor)), "submit req-000002 array tasks=2 run=3")
	at(float64(max(h.repairedAt+90, 2*h.heldFor))+60, "expect req-000002 done")
	return b.String()
}

// A launch that is held up for seconds to minutes starts nothing once its user was told that the job
// is cancelled, whatever happens to the machine and to the controllers.
func TestHeldLaunchOfACancelledJobStartsNothing(t *testing.T) {
	jobs := []string{
		"array tasks=2 run=200", "array tasks=5 run=200", "gang tasks=2 gpus=2 run=200", "service tasks=2 run=10", "array tasks=2 run=200 moves",
	}
	machines := [][2]string{
		{},
		{"hang n-000001", "if-present n-000001 resume"},
		{"drop-inbound n-000001", "if-present n-000001 allow-inbound"},
		{"drop-outbound n-000001", "allow-outbound n-000001"},
		{"disconnect-machine n-000001", "if-present n-000001 reconnect-machine"},
		{"lose-answers n-000001", "if-present n-000001 pass-answers"},
	}
	controllers := []string{"", "restart leader after=0.3", "kill leader", "freeze leader", "isolate leader", "kill all"}
	for _, job := range jobs {
		for _, machine := range machines {
			for _, controller := range controllers {
				for _, heldFor := range []int{2, 15, 120} {
					for _, repairedAt := range []int{20, 60} {
						h := heldLaunch{job, machine[0], machine[1], controller, heldFor, repairedAt}
						t.Run(fmt.Sprintf("%s/%s/%s/%d/%d", job, machine[0], controller, heldFor, repairedAt), func(t *testing.T) {
							t.Parallel()
							if w, err := playTrace(h.trace(), nil); err != nil {
								t.Errorf("%v\ntrace:\n%s\nevent log:\n%s", err, h.trace(), strings.Join(w.Log, "\n"))
							}
						})
					}
				}
			}
		}
	}
}
