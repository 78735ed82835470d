package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// traceOfAllRecordKinds returns a trace in which leaders write records of every kind: hosts with
// many images, launches, bookings, completions of arrays that share records and of one that has
// three for itself, cancelled and finished jobs, a lease that is released, silent machines, so
// many revisions of the configuration that its history takes several pages, and a roll-out.
func traceOfAllRecordKinds() string {
	var b strings.Builder
	b.WriteString(`
nodes 3
team red gpus=20
team guests
type big cpus=64 gpus=8 mem=640 boot=10 zones=a,b
no-capacity
changes
rollouts
fleet 30 big a
fleet 30 big b
at 3 submit req-000001 service tasks=4 image=img-1
at 3 submit req-000004 service tasks=240 gpus=0 cpus=10 spread size=0.1
`)
	for i := range 24 {
		fmt.Fprintf(&b, "at 4 submit req-%06d array tasks=240 gpus=0 cpus=0.2 mem=0.1 run=%d size=0.1 image=registry.example/team/some-longer-name-of-an-image-%d\n", 100+i, 4+i, i)
	}
	b.WriteString(`
at 5 submit req-000002 array team=guests rank=low tasks=17000 gpus=0 cpus=0.25 mem=0.1 run=4 estimate=4 size=0.5
at 6 submit req-000003 gang tasks=50 gpus=8 cpus=2 run=20 estimate=20 size=0.1
`)
	for i := range 30 {
		fmt.Fprintf(&b, "at 7 submit req-%06d array tasks=2 gpus=8 cpus=2 run=5 estimate=5 deadline=400 size=0.1\n", 200+i)
	}
	b.WriteString(`
at 20 hang n-000001
at 20 cancel req-000003
at 25 kill leader
at 26 start all
at 45 rollout r-1 picker image=img-2 count=4 floor=4 surge=4 stages=1,4 adopt=req-000001
at 79 expect rollout picker done new=4
`)
	for i := range 40 {
		fmt.Fprintf(&b, "at %d config drain/machine/n-%06d=finish\n", 80+i, 10+i%5)
		fmt.Fprintf(&b, "at %g config drain/machine/n-%06d=-\n", 80.5+float64(i), 10+i%5)
	}
	b.WriteString(`
at 128 expect req-000002 done done=17000
at 128 expect kept d/req-000002/2 no
at 130 cut-zone b
at 160 heal-zone
at 175 drop-worker-traffic leader
at 215 allow-worker-traffic all
at 300 expect nothing-stuck
`)
	return b.String()
}

// Every record and every transaction fits the smallest limits that the settings allow. The
// simulated state service raises an alarm for any that doesn't.
func TestEveryRecordAtTheSmallestLimits(t *testing.T) {
	largest := make(map[string]int) // size of the largest value, by kind of record
	maxChanges := 0
	w, err := playTrace(traceOfAllRecordKinds(), func(w *World) {
		w.quiet = true
		w.Platform.MaxValueBytes, w.Platform.MaxTxnChanges = protocol.MinValueBytes, protocol.MinTxnChanges
		w.Platform.StateRequestRate, w.Platform.StateWriteRate = 1000, 200
		w.limited, w.store.strict = true, true
		previous := w.store.applied
		w.store.applied = func(then []*fastjson.Value) {
			previous(then)
			maxChanges = max(maxChanges, len(then))
			for _, c := range then {
				key := string(c.GetStringBytes("set"))
				kind := key
				if i := strings.LastIndexByte(key, '/'); i >= 0 {
					kind, _, _ = strings.Cut(key, "/")
					if strings.HasPrefix(key, "cfg/p/") {
						kind = "cfg/p"
					}
				}
				if key == "cfg/head" {
					kind = key
				}
				if !c.Exists("drop") {
					largest[kind] = max(largest[kind], len(c.Get("data").MarshalTo(nil)))
				}
			}
		}
	})
	if err != nil {
		t.Errorf("%v\n%s", err, strings.Join(w.Log, "\n"))
	}
	t.Logf("largest transaction %d changes, largest records %v", maxChanges, largest)
	for _, kind := range []string{"lead", "epoch", "types", "seen", "j", "f", "d", "hp", "bp", "dp", "lp", "cfg/head", "cfg/p", "ro"} {
		if largest[kind] == 0 {
			t.Errorf("no record %s was written", kind)
		}
	}
	if yielded := strings.Contains(w.store.keys["epoch"].value, `"yields"`); !yielded {
		t.Error("no leader released its lease")
	}
	if slices.ContainsFunc(w.store.sortedKeys, func(key string) bool { return len(w.store.keys[key].value) > protocol.MinValueBytes }) {
		t.Error("a record is too large")
	}
}
