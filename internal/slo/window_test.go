package slo

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mapleslip/internal/protocol"
)

const sec = protocol.Second

// A class becomes insufficient when too few of its jobs are served, and stays so until clearly more
// are. Jobs counted before the window are ignored.
func TestStateHysteresis(t *testing.T) {
	var w Window
	add := func(n int, at micros, served bool) (changes int) {
		for range n {
			if w.Add(Class, "rerun", at, served) {
				changes++
			}
		}
		return changes
	}
	if add(9, 10*sec, false); w.State(Class, "rerun") != Sufficient {
		t.Error("the state changed after nine jobs, fewer than minJobs")
	}
	if add(1, 20*sec, false) != 1 || w.State(Class, "rerun") != Insufficient {
		t.Error("the class is not insufficient after ten of ten jobs were missed")
	}
	if add(15, 30*sec, true); w.State(Class, "rerun") != Insufficient {
		t.Errorf("%+v: the class is sufficient again with 60%% of jobs served, below sufficientFromPercent", w.Recent(Class, "rerun", 30*sec))
	}
	if add(4, 40*sec, true) != 1 || w.State(Class, "rerun") != Sufficient {
		t.Errorf("%+v: the class is not sufficient again", w.Recent(Class, "rerun", 40*sec))
	}
	if got := w.Recent(Class, "rerun", 300*sec); got != (Count{}) {
		t.Errorf("four minutes later, counts within the window: %+v, want none", got)
	}
	if got := w.Counts(Class)["rerun"]; got != (Count{19, 10}) || w.State(Team, "rerun") != Sufficient {
		t.Errorf("counts since the start: %+v, want 19 served and 10 missed", got)
	}
}

// At any time, the counts within the window equal those computed directly from the list of all
// jobs.
func TestWindowMatchesDirectCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		type job struct {
			name   string
			at     micros
			served bool
		}
		var jobs []job
		now := micros(0)
		for range rapid.IntRange(1, 60).Draw(t, "jobs") {
			now += micros(rapid.IntRange(0, 40).Draw(t, "later")) * sec
			j := job{fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "group")), now, rapid.Bool().Draw(t, "served")}
			w.Add(Team, j.name, now, j.served)
			jobs = append(jobs, j)
			var want Count
			for _, other := range jobs {
				if other.name == j.name && now/bucketWidth-other.at/bucketWidth < bucketCount {
					if other.served {
						want.Served++
					} else {
						want.Missed++
					}
				}
			}
			if got := w.Recent(Team, j.name, now); got != want {
				t.Fatalf("counts within the window: %+v, want %+v", got, want)
			}
		}
	})
}
