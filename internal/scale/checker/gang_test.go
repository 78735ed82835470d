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

// newGangOf3 returns a Hub with a gang of three tasks of 10 s that saves every 4 s, on machines of
// two parts. expectSent checks the messages that the Hub has sent since the last call.
func newGangOf3(t *testing.T) (h *Hub, expectSent func(want ...string)) {
	var sent []string
	h = testHub(func(part string, m *wire.Message) {
		sent = append(sent, fmt.Sprintf("%s %s%s %.1f", part, m.Kind, m.Text, float64(m.At-seconds("0"))/1e6))
	})
	for _, name := range []string{"m1", "m2", "m3"} {
		h.Machine(wire.Machine{Name: name, Type: "big", Zone: "a"}, map[string]string{"m1": "p1", "m2": "p1", "m3": "p2"}[name])
	}
	play(h, "0 submit req-000001 gang tasks=3 every=4")
	return h, func(want ...string) {
		t.Helper()
		slices.Sort(sent)
		slices.Sort(want)
		if !slices.Equal(sent, want) {
			t.Errorf("sent %q, want %q", sent, want)
		}
		sent = nil
	}
}

// assemble lets the tasks of an attempt enter and wait, the last one at the time at.
func assemble(h *Hub, attempt, at int) {
	for i := range 3 {
		play(h, fmt.Sprintf("%d enter req-000001/%d#%d m%d", at-2+i, i, attempt, i+1))
		play(h, fmt.Sprintf("%d waiting req-000001/%d#%d m%d", at-2+i, i, attempt, i+1))
	}
}

func TestGangStartsWhole(t *testing.T) {
	h, expectSent := newGangOf3(t)
	var starts []Start
	h.Starts(func(s Start) { starts = append(starts, s) })
	play(h, "1 enter req-000001/0#1 m1")
	play(h, "1 waiting req-000001/0#1 m1")
	play(h, "2 leave req-000001/0#1 m1 incomplete") // the other tasks keep waiting
	expectSent()
	assemble(h, 1, 5)
	expectSent("p1 go 15.0", "p2 go 15.0")
	play(h, "15 ended req-000001/0#1 m1")
	play(h, "15 leave req-000001/0#1 m1 done")
	play(h, "15 leave req-000001/1#1 m2 lease") // too late to matter: all tasks are done
	expectSent()
	h.Tick(seconds("20"))
	if len(starts) != 1 || starts[0].Tasks != 3 || starts[0].At != seconds("5") || h.Counts().Done != 3 {
		t.Errorf("%+v %+v", starts, h.Counts())
	}
}

func TestGangLosesATask(t *testing.T) {
	h, expectSent := newGangOf3(t)
	assemble(h, 1, 5)
	expectSent("p1 go 15.0", "p2 go 15.0")
	play(h, "14 leave req-000001/2#1 m3 lease")
	expectSent("p1 peers 17.0")
	play(h, "17 leave req-000001/0#1 m1 peers")
	play(h, "17 leave req-000001/1#1 m2 peers")
	assemble(h, 2, 25) // resumes from the checkpoint at 8 s
	expectSent("p1 go 27.0", "p2 go 27.0")
	play(h, "26 peers req-000001/0#2 m1") // the machine of the task hangs
	expectSent("p1 peers 29.0", "p2 peers 29.0")
	assemble(h, 3, 35)
	expectSent("p1 go 37.0", "p2 go 37.0")
	h.MachineGone("m2", seconds("36"))
	expectSent("p1 peers 39.0", "p2 peers 39.0")
}

func TestGangSaves(t *testing.T) {
	h, expectSent := newGangOf3(t)
	assemble(h, 1, 5)
	expectSent("p1 go 15.0", "p2 go 15.0")
	play(h, "8 waiting req-000001/0#1 m1 saving")
	play(h, "8.5 waiting req-000001/1#1 m2 saving")
	h.Tick(seconds("13"))
	expectSent()
	play(h, "13 waiting req-000001/2#1 m3 saving")
	expectSent("p1 gosaved 13.0", "p2 gosaved 13.0")
	play(h, "14 leave req-000001/0#1 m1 stopped,saved")
	play(h, "14 leave req-000001/1#1 m2 lease") // the progress is saved already
	play(h, "14 leave req-000001/2#1 m3 stopped,saved")
	assemble(h, 2, 25)
	expectSent("p1 go 32.0", "p2 go 32.0") // 3 of 10 s are done

	// One task doesn't get the order to save in time: the gang resumes from the checkpoint before
	// the first order.
	play(h, "27.5 waiting req-000001/0#2 m1 saving")
	h.Tick(seconds("33"))
	expectSent()
	h.Tick(seconds("33.6"))
	expectSent("p1 peers 36.5", "p2 peers 36.5")
	for i := range 3 {
		play(h, fmt.Sprintf("36.5 leave req-000001/%d#2 m%d peers", i, i+1))
	}
	assemble(h, 3, 45)
	expectSent("p1 go 51.0", "p2 go 51.0") // 4 of 10 s are done
}

// A random history of a small fleet that obeys all rules yields no violation and the right counts,
// also if its messages arrive up to a second late and out of order.
func TestLegalHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := testHub(func(string, *wire.Message) {})
		type delivery struct {
			at  int64 // time when the Hub gets the message
			do  func()
			seq int
		}
		var deliveries []delivery
		deliver := func(m *wire.Message) {
			late := int64(rapid.IntRange(0, 1000).Draw(t, "late")) * 1000
			deliveries = append(deliveries, delivery{m.At + late, func() { h.Take("p", m) }, len(deliveries)})
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
		type testJob struct {
			ref                      string
			tasks                    int
			words                    []string
			singleZone, spread, spot bool
			hostOf                   map[int]int   // host by task
			attempt                  map[int]int   // latest attempt by task
			since                    map[int]int64 // time of the latest start by task
			done                     map[int]bool
			cancelled                bool  // whether its user got the answer that it is cancelled
			queriedAt                int64 // time of its user's latest query
		}
		var jobs []*testJob
		for i := range rapid.IntRange(1, 4).Draw(t, "jobs") {
			j := &testJob{ref: fmt.Sprintf("req-%06d", i), tasks: rapid.IntRange(1, 5).Draw(t, "tasks"), hostOf: map[int]int{}, attempt: map[int]int{}, since: map[int]int64{}, done: map[int]bool{}}
			j.words = []string{"array", fmt.Sprintf("tasks=%d", j.tasks), "gpus=1"}
			j.singleZone, j.spot = rapid.Bool().Draw(t, "one_zone"), rapid.Bool().Draw(t, "spot")
			j.spread = !j.singleZone && rapid.Bool().Draw(t, "apart")
			for _, w := range []struct {
				word string
				is   bool
			}{{"one_zone", j.singleZone}, {"apart", j.spread}, {"spot", j.spot}} {
				if w.is {
					j.words = append(j.words, w.word)
				}
			}
			jobs = append(jobs, j)
			deliver(&wire.Message{Kind: wire.Answer, Op: "submit", Ref: j.ref, Status: 201, Phase: "queued", Due: seconds("0.1"), At: seconds("0.2")})
			h.Take("users", &wire.Message{Kind: wire.Submit, At: seconds("0"), Run: 5e6, Specs: []json.RawMessage{spec(j.ref, j.words)}})
		}
		used, starts, now := 0, 0, seconds("1")
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 3000).Draw(t, "pause")) * 1000
			j := jobs[rapid.IntRange(0, len(jobs)-1).Draw(t, "job")]
			i := rapid.IntRange(0, j.tasks-1).Draw(t, "task")
			name := func() string { return fmt.Sprintf("%s/%d#%d", j.ref, i, j.attempt[i]) }
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step < 5: // start
				k := rapid.IntRange(0, len(hosts)-1).Draw(t, "on")
				m := hosts[k]
				inZone, elsewhere := 0, false
				for _, o := range j.hostOf {
					if hosts[o].zone == m.zone {
						inZone++
					} else {
						elsewhere = true
					}
				}
				_, there := j.hostOf[i]
				if there || j.cancelled || j.since[i] == now || j.done[i] || used == 8 || m.spot && !j.spot || j.singleZone && elsewhere || j.spread && inZone+1 > (j.tasks+1)/2 {
					continue
				}
				j.attempt[i]++
				j.since[i] = now
				j.hostOf[i] = k
				used++
				starts++
				deliver(&wire.Message{Kind: wire.Enter, Task: name(), Name: m.name, At: now})
			case step < 8: // leave; the task may start on another host right after
				k, there := j.hostOf[i]
				if !there || j.since[i] == now {
					continue
				}
				why := rapid.SampledFrom([]string{"done", "stopped", "lease"}).Draw(t, "why")
				j.done[i] = why == "done"
				delete(j.hostOf, i)
				used--
				if why == "done" {
					deliver(&wire.Message{Kind: wire.Ended, Task: name(), Name: hosts[k].name, At: now})
				}
				deliver(&wire.Message{Kind: wire.Leave, Task: name(), Name: hosts[k].name, At: now, Text: why})
			case step == 8: // query
				phase := "running"
				if n := countTrue(j.done); n == j.tasks {
					phase = "done"
				}
				if j.cancelled {
					phase = "cancelled"
				}
				j.queriedAt = now
				deliver(&wire.Message{Kind: wire.Answer, Op: "query", Ref: j.ref, Status: 200, Phase: phase, Due: now, At: now})
			default: // cancel: all tasks leave 19 s later
				// The order of two answers with the same time is undefined, and the Hub may get
				// either one first.
				if countTrue(j.done) == j.tasks || j.cancelled || j.queriedAt == now {
					continue
				}
				deliver(&wire.Message{Kind: wire.Answer, Op: "cancel", Ref: j.ref, Status: 200, Phase: "cancelled", Due: now, At: now})
				j.cancelled = true
				for _, i = range slices.Sorted(maps.Keys(j.hostOf)) {
					deliver(&wire.Message{Kind: wire.Leave, Task: name(), Name: hosts[j.hostOf[i]].name, At: now + int64(19*protocol.Second), Text: "stopped"})
				}
				// The resources stay in use until then.
				j.hostOf = map[int]int{}
			}
		}
		slices.SortStableFunc(deliveries, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
		for _, m := range deliveries {
			h.Tick(m.at)
			m.do()
		}
		h.Tick(now + seconds("60"))
		if b := h.Broken(); len(b) > 0 {
			t.Fatalf("violations reported for a legal history: %v", b)
		}
		running := 0
		for _, j := range jobs {
			running += len(j.hostOf)
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
