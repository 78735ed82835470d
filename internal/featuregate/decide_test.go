package featuregate_test

import (
	"errors"
	"testing"

	"mapleslip/internal/featuregate"
)

// storedEntry returns a roster entry of a controller that serves a range of levels.
func storedEntry(controller string, low, high featuregate.Level) featuregate.StoredEntry {
	return featuregate.StoredEntry{Entry: featuregate.Entry{Controller: controller, Levels: featuregate.Range{Low: low, High: high}}, Revision: 5}
}

func TestDecide(t *testing.T) {
	controllers := []string{"a", "b", "c"}
	unreadable := featuregate.StoredEntry{Revision: 5, Err: errors.New("torn")}
	for _, c := range []struct {
		name     string
		high     featuregate.Level // highest level that the leader serves
		active   featuregate.Level
		roster   map[string]featuregate.StoredEntry
		next     featuregate.Level
		blockers string
	}{
		{"every controller serves the level", 1, 0, map[string]featuregate.StoredEntry{"a": storedEntry("a", 0, 1), "b": storedEntry("b", 0, 1), "c": storedEntry("c", 0, 1)}, 1, ""},
		{"one controller without an entry", 1, 0, map[string]featuregate.StoredEntry{"a": storedEntry("a", 0, 1), "c": storedEntry("c", 0, 1)}, 0, "b (no entry in the roster)"},
		{"no entries", 1, 0, nil, 0, "a (no entry in the roster), b (no entry in the roster), c (no entry in the roster)"},
		{"one unreadable entry", 1, 0, map[string]featuregate.StoredEntry{"a": storedEntry("a", 0, 1), "b": unreadable, "c": storedEntry("c", 0, 1)}, 0, "b (its entry can't be read)"},
		{"entry of another controller under the key", 1, 0, map[string]featuregate.StoredEntry{"a": storedEntry("a", 0, 1), "b": storedEntry("c", 0, 1), "c": storedEntry("c", 0, 1)}, 0, "b (its entry can't be read)"},
		{"one controller serves less", 1, 0, map[string]featuregate.StoredEntry{"a": storedEntry("a", 0, 1), "b": storedEntry("b", 0, 0), "c": storedEntry("c", 0, 1)}, 0, "b (it runs a version that does not serve the level)"},
		{"controller that is not in the settings", 1, 0, map[string]featuregate.StoredEntry{"a": storedEntry("a", 0, 1), "b": storedEntry("b", 0, 1), "c": storedEntry("c", 0, 1), "d": storedEntry("d", 0, 0)}, 1, ""},
		{"intermediate level", 3, 1, map[string]featuregate.StoredEntry{"a": storedEntry("a", 0, 3), "b": storedEntry("b", 1, 2), "c": storedEntry("c", 0, 3)}, 2, "b (it runs a version that does not serve the level)"},
		{"level already active", 1, 1, map[string]featuregate.StoredEntry{"a": storedEntry("a", 0, 1)}, 1, "b (no entry in the roster), c (no entry in the roster)"},
		{
			"one controller serves only later levels", 2, 0,
			map[string]featuregate.StoredEntry{"a": storedEntry("a", 0, 1), "b": storedEntry("b", 2, 3), "c": storedEntry("c", 0, 2)},
			0,
			"a (it runs a version that does not serve the level), b (it runs a version that serves only later levels)",
		},
		{"controllers that serve more than the leader", 1, 0, map[string]featuregate.StoredEntry{"a": storedEntry("a", 0, 2), "b": storedEntry("b", 1, 3), "c": storedEntry("c", 0, 1)}, 1, ""},
	} {
		d := featuregate.Decide(controllers, featuregate.Range{High: c.high}, c.active, c.roster)
		if d.Next != c.next || featuregate.Describe(d.Blockers) != c.blockers {
			t.Errorf("%s: level %d, blockers %q", c.name, d.Next, featuregate.Describe(d.Blockers))
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
		t.Error("this version must serve level 0, together with the version in production, and the level of its new features")
	}
}
