package simulation

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"mapleslip/internal/costlyform"
	"mapleslip/internal/worktest"
)

// In drawn histories with overlapping faults, a costly body causes a controller, whatever its role, no
// more work than the body's size allows. The histories are played one at a time: what others allocate
// would count.
func TestCostlyBodiesInDrawnHistoriesCauseBoundedWork(t *testing.T) {
	const histories = 4
	generator := rapid.Custom(drawHistory)
	for seed := range histories {
		sent := 0
		text := generator.Example(seed)
		w, err := playTrace(text, func(w *World) {
			w.measureWork = func(body costlyform.Body, deliver func()) {
				sent++
				if excess := worktest.Measure(body, func([]byte) { deliver() }); excess != nil {
					t.Errorf("seed %d, at %.2f: %v", seed, w.now.Seconds(), excess)
				}
			}
		})
		if err != nil {
			t.Errorf("seed %d: %v\ntrace:\n%s\nevent log:\n%s", seed, err, text, strings.Join(w.Log, "\n"))
		}
		if sent < len(costlyBodies())/2 {
			t.Errorf("seed %d: %d of %d costly bodies were sent", seed, sent, len(costlyBodies()))
		}
	}
}
