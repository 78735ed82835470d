package users

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mapleslip/internal/protocol"
)

func testPlan() *Plan {
	size := Distribution{Sizes: []float64{1, 4}, Weights: []float64{1, 1}}
	run := Distribution{Median: 2, P95: 6, Max: 9}
	images := Images{Count: 5, GB: Distribution{Median: 1, P95: 2, Max: 3}, Zipf: 0.9}
	return &Plan{
		BeginUS: 1000, DurationUS: 100 * second, FillUS: 10 * second, PollUS: 5 * second, Teams: []string{"a", "b"}, Regions: []string{"r0", "r1"},
		Classes: []Class{
			{Name: "web", Kind: "service", Rank: "critical", CPUs: 1, MemoryGB: 2, Tasks: size, RunS: run, Initial: 7, Rate: 0.1, Images: images},
			{Name: "sum", Kind: "array", Rank: "standard", CPUs: 2, MemoryGB: 2, Tasks: size, RunS: run, Initial: 3, Rate: 10, Images: images, EstimateError: 0.4, Cancelled: 0.1},
		},
		Changes: []Change{{AtS: 50, ForS: 20, Factor: 5, Classes: []string{"sum"}}},
	}
}

// A seed always draws the same jobs: valid ones, each with a name of its own, in the
// order in which they are due.
func TestJobs(t *testing.T) {
	a, b := newDrawer(testPlan(), 3).jobs(), newDrawer(testPlan(), 3).jobs()
	if d := cmp.Diff(a, b, cmp.AllowUnexported(job{})); d != "" {
		t.Fatal(d)
	}
	refs := make(map[string]bool)
	counts := make(map[string]int)
	peak, last := 0, int64(0)
	for _, j := range a {
		if refs[j.spec.Ref] {
			t.Fatalf("%s twice", j.spec.Ref)
		}
		refs[j.spec.Ref] = true
		got, err := protocol.ParseJob(protocol.AppendJob(nil, j.spec))
		if err != nil {
			t.Fatalf("%+v: %v", j.spec, err)
		}
		if d := cmp.Diff(j.spec, got); d != "" {
			t.Fatal(d)
		}
		if j.due < last || j.due < 1000 || j.due >= 1000+100*second {
			t.Fatalf("due at %d after %d", j.due, last)
		}
		last = j.due
		counts[j.spec.Class]++
		if at := j.due - 1000; j.spec.Class == "sum" && at >= 50*second && at < 70*second {
			peak++
		}
		if (j.spec.Kind == protocol.Service) != (j.run == 0) {
			t.Errorf("%s runs for %d", j.spec.Class, j.run)
		}
	}
	// 10 a second for 80 s, 50 for 20 s: seven standard deviations of each.
	if rest := counts["sum"] - peak; peak < 1000-221 || peak > 1000+221 || rest < 800-198 || rest > 800+198 {
		t.Errorf("%d jobs in the peak, %d in the rest", peak, rest)
	}
}

// The balancer as the protocol describes it, step by step.
func TestBalancer(t *testing.T) {
	b := newBalancer(2)
	at := int64(0)
	probe := func(i int, outcomes ...bool) {
		for _, ok := range outcomes {
			at += second
			b.probed(i, ok, at)
		}
	}
	expect := func(what string, i int, healthy bool) {
		t.Helper()
		if b.nodes[i].healthy != healthy {
			t.Fatalf("%s: healthy is %t", what, b.nodes[i].healthy)
		}
	}
	if b.pick(nil, at) != -1 {
		t.Fatal("picked a node that nobody has probed")
	}
	probe(0, true)
	expect("one success of a new node", 0, true)
	probe(0, false, true, false, true)
	expect("two failures among four", 0, true)
	probe(0, false)
	expect("three failures among six", 0, false)
	removed := at
	probe(0, true, true)
	expect("two successes within 3 s", 0, false)
	probe(0, true)
	if at-removed != leastPause {
		t.Fatal(at - removed)
	}
	expect("two successes after 3 s", 0, true)
	probe(0, false, false)
	expect("two failures", 0, false)
	probe(0, true, true, true, true, true)
	expect("the second pause is 6 s", 0, false)
	probe(0, true)
	expect("after it", 0, true)
	probe(1, true)
	at += raiseOver
	if got := b.pick([]int{0}, at); got != 1 {
		t.Errorf("picked %d", got)
	}
	b.nodes[0].open, b.nodes[1].open = 3, 1
	if got := b.pick(nil, at); got != 1 {
		t.Errorf("picked %d, which has more connections", got)
	}
	for range 3 {
		b.connected(1, false, at)
	}
	if got := b.pick(nil, at); got != 0 {
		t.Errorf("picked %d, which failed three connections", got)
	}
	if got := b.pick(nil, at+skipFor); got != 1 {
		t.Errorf("picked %d after the 3 s", got)
	}
	probe(1, false, false)
	if b.reset(1, at+resetAfter-1) || !b.reset(1, at+resetAfter) {
		t.Error("connections are not reset after 5 s")
	}
}

// Nothing is picked that is not healthy, was tried already or is skipped.
func TestPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBalancer(rapid.IntRange(1, 8).Draw(t, "nodes"))
		at := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(b.nodes)-1).Draw(t, "node")
			at += rapid.Int64Range(0, second).Draw(t, "wait")
			switch ok := rapid.Bool().Draw(t, "ok"); rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				b.probed(i, ok, at)
			case 1:
				b.connected(i, ok, at)
			case 2:
				if got := b.pick([]int{i}, at); got >= 0 && (got == i || !b.nodes[got].healthy || at < b.nodes[got].skipUntil) {
					t.Fatalf("picked %d: %+v", got, b.nodes[got])
				}
			}
		}
	})
}
