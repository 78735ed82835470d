package featuregate_test

import (
	"errors"
	"testing"

	"mapleslip/internal/featuregate"
)

// runs is an entry of the roster.
func runs(node string, low, high featuregate.Level) featuregate.StoredEntry {
	return featuregate.StoredEntry{Entry: featuregate.Entry{Controller: node, Levels: featuregate.Range{Low: low, High: high}}, Revision: 5}
}

func TestDecide(t *testing.T) {
	names := []string{"a", "b", "c"}
	unreadable := featuregate.StoredEntry{Revision: 5, Err: errors.New("torn")}
	for _, c := range []struct {
		name   string
		high   featuregate.Level // that the leader serves
		active featuregate.Level
		roster map[string]featuregate.StoredEntry
		next   featuregate.Level
		waits  string
	}{
		{"all have it", 1, 0, map[string]featuregate.StoredEntry{"a": runs("a", 0, 1), "b": runs("b", 0, 1), "c": runs("c", 0, 1)}, 1, ""},
		{"one has no entry", 1, 0, map[string]featuregate.StoredEntry{"a": runs("a", 0, 1), "c": runs("c", 0, 1)}, 0, "b (no entry in the roster)"},
		{"nobody has one", 1, 0, nil, 0, "a (no entry in the roster), b (no entry in the roster), c (no entry in the roster)"},
		{"one can't be read", 1, 0, map[string]featuregate.StoredEntry{"a": runs("a", 0, 1), "b": unreadable, "c": runs("c", 0, 1)}, 0, "b (its entry can't be read)"},
		{"another's entry is at its key", 1, 0, map[string]featuregate.StoredEntry{"a": runs("a", 0, 1), "b": runs("c", 0, 1), "c": runs("c", 0, 1)}, 0, "b (its entry can't be read)"},
		{"one serves less", 1, 0, map[string]featuregate.StoredEntry{"a": runs("a", 0, 1), "b": runs("b", 0, 0), "c": runs("c", 0, 1)}, 0, "b (it runs a version that does not serve the level)"},
		{"one that the settings don't name", 1, 0, map[string]featuregate.StoredEntry{"a": runs("a", 0, 1), "b": runs("b", 0, 1), "c": runs("c", 0, 1), "d": runs("d", 0, 0)}, 1, ""},
		{"a level on the way", 3, 1, map[string]featuregate.StoredEntry{"a": runs("a", 0, 3), "b": runs("b", 1, 2), "c": runs("c", 0, 3)}, 2, "b (it runs a version that does not serve the level)"},
		{"active already", 1, 1, map[string]featuregate.StoredEntry{"a": runs("a", 0, 1)}, 1, "b (no entry in the roster), c (no entry in the roster)"},
		{
			"one serves only later ones", 2, 0,
			map[string]featuregate.StoredEntry{"a": runs("a", 0, 1), "b": runs("b", 2, 3), "c": runs("c", 0, 2)},
			0,
			"a (it runs a version that does not serve the level), b (it runs a version that serves only later levels)",
		},
		{"more than the leader serves", 1, 0, map[string]featuregate.StoredEntry{"a": runs("a", 0, 2), "b": runs("b", 1, 3), "c": runs("c", 0, 1)}, 1, ""},
	} {
		d := featuregate.Decide(names, featuregate.Range{High: c.high}, c.active, c.roster)
		if d.Next != c.next || featuregate.Describe(d.Blockers) != c.waits {
			t.Errorf("%s: level %d, waits for %q", c.name, d.Next, featuregate.Describe(d.Blockers))
		}
	}
}

func TestServes(t *testing.T) {
	r := featuregate.Range{Low: 1, High: 2}
	for l, want := range []bool{false, true, true, false} {
		if r.Serves(featuregate.Level(l)) != want {
			t.Errorf("level %d: %v", l, !want)
		}
	}
	if !featuregate.Build.Serves(0) || !featuregate.Build.Serves(featuregate.ChainedJobs.From) {
		t.Error("this version has to serve level 0, beside the version in production, and what it has new")
	}
}
