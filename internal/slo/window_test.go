package slo

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mapleslip/internal/protocol"
)

const sec = protocol.Second

// A class of which less than the floor is served falls short, and stays so until
// clearly more is; what is longer ago than the window doesn't count.
func TestShort(t *testing.T) {
	var w Window
	add := func(n int, at micros, served bool) (changes int) {
		for range n {
			if w.Add(Class, "rerun", at, served) {
				changes++
			}
		}
		return changes
	}
	if add(9, 10*sec, false); w.Is(Class, "rerun") != Enough {
		t.Error("nine jobs are too few to tell")
	}
	if add(1, 20*sec, false) != 1 || w.Is(Class, "rerun") != Short {
		t.Error("ten of ten missed")
	}
	if add(15, 30*sec, true); w.Is(Class, "rerun") != Short {
		t.Errorf("%+v: 0.6 is above the floor, but hardly", w.Lately(Class, "rerun", 30*sec))
	}
	if add(4, 40*sec, true) != 1 || w.Is(Class, "rerun") != Enough {
		t.Errorf("%+v", w.Lately(Class, "rerun", 40*sec))
	}
	if got := w.Lately(Class, "rerun", 300*sec); got != (Count{}) {
		t.Errorf("four minutes later: %+v", got)
	}
	if got := w.Counts(Class)["rerun"]; got != (Count{19, 10}) || w.Is(Team, "rerun") != Enough {
		t.Errorf("%+v", got)
	}
}

// Whatever is counted when, the window's counts are those of a plain look at all jobs.
func TestWindowAgainstAPlainLook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		type job struct {
			name   string
			at     micros
			served bool
		}
		var all []job
		now := micros(0)
		for range rapid.IntRange(1, 60).Draw(t, "jobs") {
			now += micros(rapid.IntRange(0, 40).Draw(t, "later")) * sec
			j := job{fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "group")), now, rapid.Bool().Draw(t, "served")}
			w.Add(Team, j.name, now, j.served)
			all = append(all, j)
			var want Count
			for _, o := range all {
				if o.name == j.name && now/stepSpan-o.at/stepSpan < steps {
					if o.served {
						want.Served++
					} else {
						want.Missed++
					}
				}
			}
			if got := w.Lately(Team, j.name, now); got != want {
				t.Fatalf("%+v, not %+v", got, want)
			}
		}
	})
}
