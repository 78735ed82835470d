package simulation

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const (
	// upgradesInTrouble is how many histories are played, unless another number is asked for.
	upgradesInTrouble = 40
	// upgradeOver is when the last chains of an upgrade in trouble have to be over.
	upgradeOver = 500.0
	// lowerLimits are those that the state service's fall to.
	lowerLimits = "value=2048 ops=4 changes=24"
)

// drawUpgradeInTrouble makes the text of a trace: all controllers run the version in
// production and jobs run; they get this version, the limits of the state service fall, and
// chains are submitted once the level is active, or as soon as the last one is upgraded.
func drawUpgradeInTrouble(t *rapid.T) string {
	const machines = 9
	nodes := rapid.SampledFrom([]int{3, 5}).Draw(t, "nodes")
	scene := fmt.Sprintf("nodes %d a b c a b\nproduction %d\nteam red\ntype big cpus=32 gpus=2 mem=128 boot=10 zones=a,b,c\nlimits changes=35\n", nodes, nodes)
	for _, zone := range []string{"a", "b", "c"} {
		scene += fmt.Sprintf("fleet %d big %s\n", machines/3, zone)
	}

	roll := &rolling{T: t}
	roll.upgrade(nodes, 8, 45)
	chains := &chainDraw{t: t, h: roll.history, from: roll.to}
	if rapid.Bool().Draw(t, "once the level is active") {
		chains.submitOn = "when set:level"
	}
	scene += chains.limitsFall(roll.from, roll.to)
	chains.jobsBefore()
	cancelled := chains.jobs()
	chains.troubles(nodes, machines)

	h := &chains.h
	for _, ref := range cancelled {
		h.at(upgradeOver, "expect-over-known %s", ref)
	}
	h.at(upgradeOver, "expect level 1")
	h.at(upgradeOver, "expect leader some")
	h.at(upgradeOver, "expect nothing-stuck")
	h.at(upgradeOver, "expect unanswered 80")
	h.at(upgradeOver, "expect fits 2048")
	h.at(upgradeOver, "expect unfit 8")
	return h.text(scene)
}

// jobsBefore draws jobs that run when the upgrade begins: many small tasks on each machine,
// so that records are larger than the lower limits allow.
func (d *chainDraw) jobsBefore() {
	count := rapid.IntRange(4, 8).Draw(d.t, "jobs before")
	d.h.at(1, "burst %d req-000901 array tasks=30 cpus=1 mem=1 gpus=0 run=%d size=1", count,
		rapid.SampledFrom([]int{20, 60, 100}).Draw(d.t, "run before"))
}

// limitsFall has the limits of the state service fall before, in or after an upgrade, and
// returns what the scene says of it: they are announced from the start, to the controllers
// that start from some time on, or not.
func (d *chainDraw) limitsFall(from, to float64) (scene string) {
	var at float64
	switch rapid.SampledFrom([]string{"before", "in", "after"}).Draw(d.t, "limits fall") {
	case "before":
		at = max(8, from-d.between("fall before", 0, 20)) // the jobs run by then
	case "in":
		at = from + (to-from)*d.between("fall in", 0, 10)/10
	case "after":
		at = min(troublesTo, to+d.between("fall after", 0, 40))
	}
	d.h.at(at, "limits-fall %s", lowerLimits)
	switch rapid.SampledFrom([]string{"from the start", "to new ones", "no"}).Draw(d.t, "announced") {
	case "from the start":
		scene = "next " + lowerLimits + "\n"
	case "to new ones":
		d.h.at(min(from, at)-0.5, "announce %s", lowerLimits)
	}
	return scene
}

// A whole deployment gets this version while the limits of the state service fall and
// troubles meet: the level becomes active only when all have it, and in the end it is; no
// task starts too early, no job is left behind by a cancellation, and whatever was accepted
// before, in and after the upgrade ends. Each history is drawn with a seed of its own, as
// those of TestOverlap.
func TestUpgradeInTrouble(t *testing.T) {
	seed, checks := flagNumber(t, "rapid.seed"), flagNumber(t, "rapid.checks")
	if checks == defaultChecks {
		checks = upgradesInTrouble
	}
	drawn := rapid.Custom(drawUpgradeInTrouble)
	for i := range checks {
		t.Run(strconv.Itoa(seed+i), func(t *testing.T) {
			t.Parallel()
			text := drawn.Example(seed + i)
			if w, err := playTrace(text, nil); err != nil {
				t.Errorf("seed %d: %v\nthe trace:\n%s\nwhat happened:\n%s", seed+i, err, text, strings.Join(w.Log, "\n"))
			}
		})
	}
}

// A refused transaction that a controller sends again breaks the rules; a copy of it that
// the network makes does not, and is refused as well.
func TestRefusedTransactionComesAgain(t *testing.T) {
	w := NewWorld(3)
	if err := w.play("at 1 limits-fall " + lowerLimits + "\n"); err != nil {
		t.Fatal(err)
	}
	large := []byte(`{"when":[],"then":[{"set":"x","data":"` + strings.Repeat("x", 2048) + `"}]}`)
	sends := func(want int) {
		t.Helper()
		w.store.serve("POST", "/commit", large, func(status int, _ string) {
			if status != 400 {
				t.Errorf("got %d", status)
			}
		})
		if len(w.Broken) != want {
			t.Errorf("rules broken: %q", w.Broken)
		}
	}
	sends(0)
	w.store.serveCopy("POST", "/commit", large)
	if len(w.Broken) > 0 || w.store.keys["x"] != nil {
		t.Errorf("a copy: %q, %v", w.Broken, w.store.keys["x"])
	}
	sends(1)
}
