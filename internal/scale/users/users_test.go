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

// The same seed gives the same jobs. The jobs are valid, have unique names and are in the order
// in which they are due.
func TestJobs(t *testing.T) {
	a, b := newJobGenerator(testPlan(), 3).jobs(), newJobGenerator(testPlan(), 3).jobs()
	if d := cmp.Diff(a, b, cmp.AllowUnexported(job{})); d != "" {
		t.Fatal(d)
	}
	refs := make(map[string]bool)
	counts := make(map[string]int)
	peak, last := 0, int64(0)
	for _, j := range a {
		if refs[j.spec.Ref] {
			t.Fatalf("two jobs have the name %s", j.spec.Ref)
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
			t.Fatalf("a job is due at %d, the previous one at %d", j.due, last)
		}
		last = j.due
		counts[j.spec.Class]++
		if at := j.due - 1000; j.spec.Class == "sum" && at >= 50*second && at < 70*second {
			peak++
		}
		if (j.spec.Kind == protocol.Service) != (j.run == 0) {
			t.Errorf("a job of class %s has a run time of %d", j.spec.Class, j.run)
		}
	}
	// 10 jobs per second for 80 s, 50 for 20 s: within seven standard deviations of each.
	if rest := counts["sum"] - peak; peak < 1000-221 || peak > 1000+221 || rest < 800-198 || rest > 800+198 {
		t.Errorf("%d jobs in the peak, %d in the rest", peak, rest)
	}
}

// Follows the load balancer's rules in the protocol step by step.
func TestBalancer(t *testing.T) {
	b := newBalancer(2)
	at := int64(0)
	probe := func(i int, outcomes ...bool) {
		for _, ok := range outcomes {
			at += second
			b.recordProbe(i, ok, at)
		}
	}
	expect := func(what string, i int, healthy bool) {
		t.Helper()
		if b.backends[i].healthy != healthy {
			t.Fatalf("%s: healthy is %t", what, b.backends[i].healthy)
		}
	}
	if b.pick(nil, at) != -1 {
		t.Fatal("picked a backend that was not probed")
	}
	probe(0, true)
	expect("one success of a new backend", 0, true)
	probe(0, false, true, false, true)
	expect("two failures among four", 0, true)
	probe(0, false)
	expect("three failures among six", 0, false)
	removed := at
	probe(0, true, true)
	expect("two successes within 3 s", 0, false)
	probe(0, true)
	if at-removed != minRemovalPause {
		t.Fatal(at - removed)
	}
	expect("two successes after 3 s", 0, true)
	probe(0, false, false)
	expect("two failures", 0, false)
	probe(0, true, true, true, true, true)
	expect("before the end of the second pause of 6 s", 0, false)
	probe(0, true)
	expect("after the second pause", 0, true)
	probe(1, true)
	at += rampUpTime
	if got := b.pick([]int{0}, at); got != 1 {
		t.Errorf("picked %d, want 1", got)
	}
	b.backends[0].openConns, b.backends[1].openConns = 3, 1
	if got := b.pick(nil, at); got != 1 {
		t.Errorf("picked %d, which has more connections", got)
	}
	for range 3 {
		b.recordConnect(1, false, at)
	}
	if got := b.pick(nil, at); got != 0 {
		t.Errorf("picked %d, which failed three connections", got)
	}
	if got := b.pick(nil, at+skipDuration); got != 1 {
		t.Errorf("picked %d after the 3 s", got)
	}
	probe(1, false, false)
	if b.shouldReset(1, at+resetAfter-1) || !b.shouldReset(1, at+resetAfter) {
		t.Error("connections are not reset after 5 s")
	}
}

// The balancer picks no backend that is unhealthy, was tried already or is skipped.
func TestPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBalancer(rapid.IntRange(1, 8).Draw(t, "nodes"))
		at := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(b.backends)-1).Draw(t, "node")
			at += rapid.Int64Range(0, second).Draw(t, "wait")
			switch ok := rapid.Bool().Draw(t, "ok"); rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				b.recordProbe(i, ok, at)
			case 1:
				b.recordConnect(i, ok, at)
			case 2:
				if got := b.pick([]int{i}, at); got >= 0 && (got == i || !b.backends[got].healthy || at < b.backends[got].skipUntil) {
					t.Fatalf("picked %d: %+v", got, b.backends[got])
				}
			}
		}
	})
}
