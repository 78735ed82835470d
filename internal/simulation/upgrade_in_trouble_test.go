package simulation

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const (
	// upgradeHistories is how many histories are played unless -rapid.checks is given.
	upgradeHistories = 40
	// upgradeHistoryEnd is the time in seconds by which the last chains must have finished.
	upgradeHistoryEnd = 500.0
	// lowerLimits are the limits of the state service after they were lowered.
	lowerLimits = "value=2048 ops=4 changes=24"
)

// drawUpgradeInTrouble generates a trace that begins with all controllers on the production
// version, and jobs running. The controllers are upgraded to this version, the limits of the
// state service are lowered, and chains of jobs are submitted once the feature level is active,
// or as soon as the last controller is upgraded.
func drawUpgradeInTrouble(t *rapid.T) string {
	const machines = 9
	nodes := rapid.SampledFrom([]int{3, 5}).Draw(t, "nodes")
	setup := fmt.Sprintf("nodes %d a b c a b\nproduction %d\nteam red\ntype big cpus=32 gpus=2 mem=128 boot=10 zones=a,b,c\nlimits changes=35\n", nodes, nodes)
	for _, zone := range []string{"a", "b", "c"} {
		setup += fmt.Sprintf("fleet %d big %s\n", machines/3, zone)
	}

	upgrade := &upgradeDraw{T: t}
	upgrade.upgrade(nodes, 8, 45)
	chains := &chainDraw{t: t, h: upgrade.historyBuilder, from: upgrade.to}
	if rapid.Bool().Draw(t, "once the level is active") {
		chains.submitTrigger = "when set:level"
	}
	setup += chains.limitsFall(upgrade.from, upgrade.to)
	chains.jobsBeforeUpgrade()
	cancelled := chains.jobs()
	chains.faults(nodes, machines)

	h := &chains.h
	for _, ref := range cancelled {
		h.at(upgradeHistoryEnd, "expect-finished-known %s", ref)
	}
	h.at(upgradeHistoryEnd, "expect level 1")
	h.at(upgradeHistoryEnd, "expect leader some")
	h.at(upgradeHistoryEnd, "expect nothing-stuck")
	h.at(upgradeHistoryEnd, "expect unanswered 80")
	h.at(upgradeHistoryEnd, "expect fits 2048")
	h.at(upgradeHistoryEnd, "expect unfit 8")
	return h.text(setup)
}

// jobsBeforeUpgrade draws jobs that run when the upgrade begins: many small tasks on each
// machine, so that records are larger than the lower limits allow.
func (d *chainDraw) jobsBeforeUpgrade() {
	count := rapid.IntRange(4, 8).Draw(d.t, "jobs before")
	d.h.at(1, "burst %d req-000901 array tasks=30 cpus=1 mem=1 gpus=0 run=%d size=1", count,
		rapid.SampledFrom([]int{20, 60, 100}).Draw(d.t, "run before"))
}

// limitsFall lowers the limits of the state service before, during or after an upgrade. They
// are announced from the start, by a setup line that limitsFall returns, or to the
// controllers that start from some time on, or not at all.
func (d *chainDraw) limitsFall(from, to float64) (setup string) {
	var at float64
	switch rapid.SampledFrom([]string{"before", "in", "after"}).Draw(d.t, "limits fall") {
	case "before":
		at = max(8, from-d.between("fall before", 0, 20)) // the jobs run from 8 s on at the latest
	case "in":
		at = from + (to-from)*d.between("fall in", 0, 10)/10
	case "after":
		at = min(faultsTo, to+d.between("fall after", 0, 40))
	}
	d.h.at(at, "lower-limits %s", lowerLimits)
	switch rapid.SampledFrom([]string{"from the start", "to new ones", "no"}).Draw(d.t, "announced") {
	case "from the start":
		setup = "next " + lowerLimits + "\n"
	case "to new ones":
		d.h.at(min(from, at)-0.5, "announce %s", lowerLimits)
	}
	return setup
}

// A whole deployment is upgraded to this version while the limits of the state service are
// lowered and faults overlap. The feature level becomes active only when all controllers serve
// it, and is active in the end. No task starts before the jobs that it awaits are done, a
// cancellation leaves no dependent job behind, and every job accepted before, during or after
// the upgrade ends. As in TestOverlap, each history is drawn with its own seed.
func TestUpgradeInTrouble(t *testing.T) {
	seed, checks := flagNumber(t, "rapid.seed"), flagNumber(t, "rapid.checks")
	if checks == defaultChecks {
		checks = upgradeHistories
	}
	drawn := rapid.Custom(drawUpgradeInTrouble)
	for i := range checks {
		t.Run(strconv.Itoa(seed+i), func(t *testing.T) {
			t.Parallel()
			text := drawn.Example(seed + i)
			if w, err := playTrace(text, nil); err != nil {
				t.Errorf("seed %d: %v\ntrace:\n%s\nevent log:\n%s", seed+i, err, text, strings.Join(w.Log, "\n"))
			}
		})
	}
}

// A controller that sends a refused transaction again breaks the rules. A copy of the transaction
// made by the network does not, and is refused as well.
func TestRefusedTransactionComesAgain(t *testing.T) {
	w := NewWorld(3)
	if err := w.play("at 1 lower-limits " + lowerLimits + "\n"); err != nil {
		t.Fatal(err)
	}
	large := []byte(`{"when":[],"then":[{"set":"x","data":"` + strings.Repeat("x", 2048) + `"}]}`)
	send := func(want int) {
		t.Helper()
		w.store.serve("POST", "/commit", large, func(status int, _ string) {
			if status != 400 {
				t.Errorf("got status %d, want 400", status)
			}
		})
		if len(w.Broken) != want {
			t.Errorf("rules broken: %q", w.Broken)
		}
	}
	send(0)
	w.store.serveCopy("POST", "/commit", large)
	if len(w.Broken) > 0 || w.store.keys["x"] != nil {
		t.Errorf("after a copy: rules broken: %q, record %v", w.Broken, w.store.keys["x"])
	}
	send(1)
}
