package checker

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/wire"
)

// gangOf3 is a hub with a gang of three tasks of 10 s, which saves each 4 s, on two parts.
func gangOf3(t *testing.T) (h *Hub, said func(want ...string)) {
	var all []string
	h = testHub(func(part string, m *wire.Message) {
		all = append(all, fmt.Sprintf("%s %s%s %.1f", part, m.Kind, m.Text, float64(m.At-seconds("0"))/1e6))
	})
	for _, name := range []string{"m1", "m2", "m3"} {
		h.Machine(wire.Machine{Name: name, Type: "big", Zone: "a"}, map[string]string{"m1": "p1", "m2": "p1", "m3": "p2"}[name])
	}
	play(h, "0 submit req-000001 gang tasks=3 every=4")
	return h, func(want ...string) {
		t.Helper()
		slices.Sort(all)
		slices.Sort(want)
		if !slices.Equal(all, want) {
			t.Errorf("said %q, want %q", all, want)
		}
		all = nil
	}
}

// gathers has an attempt's tasks wait, the last one at an instant.
func gathers(h *Hub, try, at int) {
	for i := range 3 {
		play(h, fmt.Sprintf("%d enter req-000001/%d#%d m%d", at-2+i, i, try, i+1))
		play(h, fmt.Sprintf("%d waiting req-000001/%d#%d m%d", at-2+i, i, try, i+1))
	}
}

func TestGangStartsWhole(t *testing.T) {
	h, said := gangOf3(t)
	var starts []Start
	h.Starts(func(s Start) { starts = append(starts, s) })
	play(h, "1 enter req-000001/0#1 m1")
	play(h, "1 waiting req-000001/0#1 m1")
	play(h, "2 leave req-000001/0#1 m1 incomplete") // the rest goes on waiting
	said()
	gathers(h, 1, 5)
	said("p1 go 15.0", "p2 go 15.0")
	play(h, "15 ended req-000001/0#1 m1")
	play(h, "15 leave req-000001/0#1 m1 done")
	play(h, "15 leave req-000001/1#1 m2 lease") // too late: all are done
	said()
	h.Tick(seconds("20"))
	if len(starts) != 1 || starts[0].Tasks != 3 || starts[0].At != seconds("5") || h.Counts().Done != 3 {
		t.Errorf("%+v %+v", starts, h.Counts())
	}
}

func TestGangLosesATask(t *testing.T) {
	h, said := gangOf3(t)
	gathers(h, 1, 5)
	said("p1 go 15.0", "p2 go 15.0")
	play(h, "14 leave req-000001/2#1 m3 lease")
	said("p1 peers 17.0")
	play(h, "17 leave req-000001/0#1 m1 peers")
	play(h, "17 leave req-000001/1#1 m2 peers")
	gathers(h, 2, 25) // from the checkpoint at 8 s on
	said("p1 go 27.0", "p2 go 27.0")
	play(h, "26 peers req-000001/0#2 m1") // its machine hangs
	said("p1 peers 29.0", "p2 peers 29.0")
	gathers(h, 3, 35)
	said("p1 go 37.0", "p2 go 37.0")
	h.MachineGone("m2", seconds("36"))
	said("p1 peers 39.0", "p2 peers 39.0")
}

func TestGangSaves(t *testing.T) {
	h, said := gangOf3(t)
	gathers(h, 1, 5)
	said("p1 go 15.0", "p2 go 15.0")
	play(h, "8 waiting req-000001/0#1 m1 saving")
	play(h, "8.5 waiting req-000001/1#1 m2 saving")
	h.Tick(seconds("13"))
	said()
	play(h, "13 waiting req-000001/2#1 m3 saving")
	said("p1 gosaved 13.0", "p2 gosaved 13.0")
	play(h, "14 leave req-000001/0#1 m1 stopped,saved")
	play(h, "14 leave req-000001/1#1 m2 lease") // it is safe already
	play(h, "14 leave req-000001/2#1 m3 stopped,saved")
	gathers(h, 2, 25)
	said("p1 go 32.0", "p2 go 32.0") // 3 s are done

	// One isn't told in time: back to the checkpoint before the first one was told.
	play(h, "27.5 waiting req-000001/0#2 m1 saving")
	h.Tick(seconds("33"))
	said()
	h.Tick(seconds("33.6"))
	said("p1 peers 36.5", "p2 peers 36.5")
	for i := range 3 {
		play(h, fmt.Sprintf("36.5 leave req-000001/%d#2 m%d peers", i, i+1))
	}
	gathers(h, 3, 45)
	said("p1 go 51.0", "p2 go 51.0") // 4 of 10 s
}

// A drawn history of a small fleet that keeps all rules, told out of order by up to a
// second, is never judged broken; and what the hub counts is what there was.
func TestLegalHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := testHub(func(string, *wire.Message) {})
		type told struct {
			at  int64 // when the hub hears of it
			do  func()
			seq int
		}
		var all []told
		say := func(m *wire.Message) {
			late := int64(rapid.IntRange(0, 1000).Draw(t, "late")) * 1000
			all = append(all, told{m.At + late, func() { h.Take("p", m) }, len(all)})
		}
		zones := []string{"a", "b", "c"}
		type host struct {
			name, zone string
			spot       bool
		}
		var hosts []host
		for i := range rapid.IntRange(1, 6).Draw(t, "machines") {
			m := host{fmt.Sprintf("m%d", i), zones[i%3], rapid.Bool().Draw(t, "spot")}
			hosts = append(hosts, m)
			h.Machine(wire.Machine{Name: m.name, Type: "big", Zone: m.zone, Spot: m.spot}, "p")
		}
		type drawn struct {
			ref                  string
			tasks                int
			words                []string
			oneZone, apart, spot bool
			on                   map[int]int   // host by task
			try                  map[int]int   // its attempt
			since                map[int]int64 // when it last came
			done                 map[int]bool
			told                 bool  // that it is cancelled
			looked               int64 // when its user last asked how it stands
		}
		var jobs []*drawn
		for i := range rapid.IntRange(1, 4).Draw(t, "jobs") {
			j := &drawn{ref: fmt.Sprintf("req-%06d", i), tasks: rapid.IntRange(1, 5).Draw(t, "tasks"), on: map[int]int{}, try: map[int]int{}, since: map[int]int64{}, done: map[int]bool{}}
			j.words = []string{"array", fmt.Sprintf("tasks=%d", j.tasks), "gpus=1"}
			j.oneZone, j.spot = rapid.Bool().Draw(t, "one_zone"), rapid.Bool().Draw(t, "spot")
			j.apart = !j.oneZone && rapid.Bool().Draw(t, "apart")
			for _, w := range []struct {
				word string
				is   bool
			}{{"one_zone", j.oneZone}, {"apart", j.apart}, {"spot", j.spot}} {
				if w.is {
					j.words = append(j.words, w.word)
				}
			}
			jobs = append(jobs, j)
			say(&wire.Message{Kind: wire.Answer, Op: "submit", Ref: j.ref, Status: 201, Phase: "queued", Due: seconds("0.1"), At: seconds("0.2")})
			h.Take("users", &wire.Message{Kind: wire.Submit, At: seconds("0"), Run: 5e6, Specs: []json.RawMessage{spec(j.ref, j.words)}})
		}
		used, starts, now := 0, 0, seconds("1")
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 3000).Draw(t, "pause")) * 1000
			j := jobs[rapid.IntRange(0, len(jobs)-1).Draw(t, "job")]
			i := rapid.IntRange(0, j.tasks-1).Draw(t, "task")
			name := func() string { return fmt.Sprintf("%s/%d#%d", j.ref, i, j.try[i]) }
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step < 5: // start
				k := rapid.IntRange(0, len(hosts)-1).Draw(t, "on")
				m := hosts[k]
				inZone, elsewhere := 0, false
				for _, o := range j.on {
					if hosts[o].zone == m.zone {
						inZone++
					} else {
						elsewhere = true
					}
				}
				_, there := j.on[i]
				if there || j.told || j.since[i] == now || j.done[i] || used == 8 || m.spot && !j.spot || j.oneZone && elsewhere || j.apart && inZone+1 > (j.tasks+1)/2 {
					continue
				}
				j.try[i]++
				j.since[i] = now
				j.on[i] = k
				used++
				starts++
				say(&wire.Message{Kind: wire.Enter, Task: name(), Name: m.name, At: now})
			case step < 8: // leave, and perhaps start again at once elsewhere
				k, there := j.on[i]
				if !there || j.since[i] == now {
					continue
				}
				why := rapid.SampledFrom([]string{"done", "stopped", "lease"}).Draw(t, "why")
				j.done[i] = why == "done"
				delete(j.on, i)
				used--
				if why == "done" {
					say(&wire.Message{Kind: wire.Ended, Task: name(), Name: hosts[k].name, At: now})
				}
				say(&wire.Message{Kind: wire.Leave, Task: name(), Name: hosts[k].name, At: now, Text: why})
			case step == 8: // ask
				phase := "running"
				if n := countTrue(j.done); n == j.tasks {
					phase = "done"
				}
				if j.told {
					phase = "cancelled"
				}
				j.looked = now
				say(&wire.Message{Kind: wire.Answer, Op: "query", Ref: j.ref, Status: 200, Phase: phase, Due: now, At: now})
			default: // cancel: all leave at once
				// Of two answers at one instant nobody can say which one came first, and the
				// hub may hear of either first.
				if countTrue(j.done) == j.tasks || j.told || j.looked == now {
					continue
				}
				say(&wire.Message{Kind: wire.Answer, Op: "cancel", Ref: j.ref, Status: 200, Phase: "cancelled", Due: now, At: now})
				j.told = true
				for _, i = range slices.Sorted(maps.Keys(j.on)) {
					say(&wire.Message{Kind: wire.Leave, Task: name(), Name: hosts[j.on[i]].name, At: now + int64(19*protocol.Second), Text: "stopped"})
				}
				// They go on using what they have until then.
				j.on = map[int]int{}
			}
		}
		slices.SortStableFunc(all, func(a, b told) int { return cmp.Compare(a.at, b.at) })
		for _, m := range all {
			h.Tick(m.at)
			m.do()
		}
		h.Tick(now + seconds("60"))
		if b := h.Broken(); len(b) > 0 {
			t.Fatalf("judged broken: %v", b)
		}
		running := 0
		for _, j := range jobs {
			running += len(j.on)
		}
		if c := h.Counts(); c.Starts != starts || c.Running != running || c.Late != 0 {
			t.Fatalf("%+v, want %d starts, %d running", c, starts, running)
		}
	})
}

func countTrue(m map[int]bool) (n int) {
	for _, b := range m {
		if b {
			n++
		}
	}
	return n
}
