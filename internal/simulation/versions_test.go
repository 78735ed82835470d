package simulation

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawUpgrade adds an upgrade to a generated history: some controllers run the production
// version, and are upgraded to this one while faults occur.
func drawUpgrade(t *rapid.T, history string) string {
	setup, _, _ := strings.Cut(history, "\n")
	nodes, err := strconv.Atoi(strings.Fields(setup)[1])
	if err != nil {
		t.Fatal(err)
	}
	old := rapid.IntRange(1, nodes).Draw(t, "production")
	lines := strings.Split(strings.TrimSuffix(history, "\n"), "\n")
	lines = slices.Insert(lines, 1, fmt.Sprintf("production %d", old))
	r := &upgradeDraw{T: t}
	r.upgrade(old, 2, 50)
	for _, l := range r.lines {
		lines = append(lines, fmt.Sprintf("at %g %s", l.at, l.text))
	}
	lines = append(lines, fmt.Sprintf("at %g expect level 1", historyEnd))
	slices.SortStableFunc(lines, func(a, b string) int { return cmp.Compare(lineInstant(a), lineInstant(b)) })
	return strings.Join(lines, "\n") + "\n"
}

// upgradeDraw generates an upgrade of controllers.
type upgradeDraw struct {
	*rapid.T
	historyBuilder
	from, to float64 // when the first and the last controller are upgraded
}

// upgrade draws the upgrade of the first count controllers from the production version to this one.
// It begins between beginsFrom and beginsBy, the order is random, and the pace slow or fast. Some
// controllers restart with the production version before their upgrade.
func (r *upgradeDraw) upgrade(count, beginsFrom, beginsBy int) {
	var nodes []int
	for i := range count {
		nodes = append(nodes, i)
	}
	order := rapid.Permutation(nodes).Draw(r.T, "order")
	at := float64(rapid.IntRange(beginsFrom, beginsBy).Draw(r.T, "upgrade from"))
	pace := rapid.SampledFrom([]float64{0.2, 3, 8}).Draw(r.T, "pace")
	r.from = at
	for _, i := range order {
		if rapid.IntRange(0, 2).Draw(r.T, "before its turn") == 0 {
			r.at(max(2, at-rapid.SampledFrom([]float64{0.3, 4, 20}).Draw(r.T, "sooner")), "restart node-%d after=%g", i,
				rapid.SampledFrom([]float64{0.05, 0.5, 3}).Draw(r.T, "back after"))
		}
		r.to = min(faultsTo-4, at)
		r.at(r.to, "upgrade node-%d after=%g", i, rapid.SampledFrom([]float64{0.05, 0.5, 3}).Draw(r.T, "new after"))
		at += pace
	}
}

// lineInstant returns the time of a line of a trace, or -1 for a setup line.
func lineInstant(line string) float64 {
	words := strings.Fields(line)
	if words[0] != "at" {
		return -1
	}
	at, err := strconv.ParseFloat(words[1], 64)
	if err != nil {
		panic(err)
	}
	return at
}

// Controllers of two versions serve side by side while faults overlap. The feature level becomes
// active only when all controllers serve it, and is active in the end. Until then nothing that
// depends on the level is written.
func TestOverlapOfVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawUpgrade(t, drawHistory(t))
		if w, err := playTrace(text, nil); err != nil {
			t.Fatalf("%v\ntrace:\n%s\nevent log:\n%s", err, text, strings.Join(w.Log, "\n"))
		}
	})
}

// The simulation must detect a controller that leads though it doesn't serve the active feature
// level. An epoch record in the earlier format, which does not keep the production version from
// leading, brings this about.
func TestOldProcessIsNoticed(t *testing.T) {
	text, err := os.ReadFile("testdata/upgrade_old_comes_back.trace")
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), "at 7 downgrade node-2\n", "at 7 downgrade node-2\nat 8 overwrite-record epoch {\"form\":2,\"epoch\":9}\n", 1)
	if w, err := playTrace(changed, nil); err == nil || !strings.Contains(strings.Join(w.Broken, "\n"), "serves up to 0 and leads") {
		t.Errorf("%v, %s", err, w.Broken)
	}
}
