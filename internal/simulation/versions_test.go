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

// drawUpgrade adds a change of versions to a drawn history: some controllers run the version
// in production, and get this one while the troubles last.
func drawUpgrade(t *rapid.T, history string) string {
	scene, _, _ := strings.Cut(history, "\n")
	nodes, err := strconv.Atoi(strings.Fields(scene)[1])
	if err != nil {
		t.Fatal(err)
	}
	old := rapid.IntRange(1, nodes).Draw(t, "production")
	lines := strings.Split(strings.TrimSuffix(history, "\n"), "\n")
	lines = slices.Insert(lines, 1, fmt.Sprintf("production %d", old))
	r := &rolling{T: t}
	r.upgrade(old, 2, 50)
	for _, l := range r.lines {
		lines = append(lines, fmt.Sprintf("at %g %s", l.at, l.text))
	}
	lines = append(lines, fmt.Sprintf("at %g expect level 1", over))
	slices.SortStableFunc(lines, func(a, b string) int { return cmp.Compare(instant(a), instant(b)) })
	return strings.Join(lines, "\n") + "\n"
}

// rolling draws a change of versions.
type rolling struct {
	*rapid.T
	history
	from, to float64 // the first and the last controller get this version
}

// upgrade has the first so many controllers, which run the version in production, get this
// one, beginning between two times: in any order, a few at a time or close together; some end
// before their turn and come back old.
func (r *rolling) upgrade(old, beginsFrom, beginsBy int) {
	var nodes []int
	for i := range old {
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
		r.to = min(troublesTo-4, at)
		r.at(r.to, "upgrade node-%d after=%g", i, rapid.SampledFrom([]float64{0.05, 0.5, 3}).Draw(r.T, "new after"))
		at += pace
	}
}

// instant is when a line of a trace is due, -1 for the scene.
func instant(line string) float64 {
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

// Controllers of two versions serve side by side while troubles overlap: the level becomes
// active only when all have it, and in the end it is; nothing that is due before differs.
func TestOverlapOfVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawUpgrade(t, drawHistory(t))
		if w, err := playTrace(text, nil); err != nil {
			t.Fatalf("%v\nthe trace:\n%s\nwhat happened:\n%s", err, text, strings.Join(w.Log, "\n"))
		}
	})
}

// Without what an upgrade is about, an old process would go on as before: the judge's own
// check. The epoch's record of the earlier form lets the version in production lead.
func TestOldProcessIsNoticed(t *testing.T) {
	text, err := os.ReadFile("testdata/upgrade_old_comes_back.trace")
	if err != nil {
		t.Fatal(err)
	}
	spoilt := strings.Replace(string(text), "at 7 downgrade node-2\n", "at 7 downgrade node-2\nat 8 spoil-record epoch {\"form\":2,\"epoch\":9}\n", 1)
	if w, err := playTrace(spoilt, nil); err == nil || !strings.Contains(strings.Join(w.Broken, "\n"), "serves up to 0 and leads") {
		t.Errorf("%v, %s", err, w.Broken)
	}
}
