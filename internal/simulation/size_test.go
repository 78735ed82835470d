package simulation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mapleslip/internal/controller"
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/rollout"
)

// fleetSize is the number of machines of a large deployment: about the largest that is in use.
const fleetSize = 1200

// loadedFleet returns a deployment of full size under load: services and arrays run on all
// machines, and more arrays and gangs wait.
func loadedFleet(tb testing.TB, nodes int) *World {
	tb.Helper()
	return loadedFleetIn(tb, NewWorld(nodes))
}

func loadedFleetIn(tb testing.TB, w *World) *World { return loadedFleetOf(tb, w, fleetSize) }

// loadedFleetOf is loadedFleet in a given world and with a given number of machines.
func loadedFleetOf(tb testing.TB, w *World, machines int) *World {
	tb.Helper()
	w.quiet = true
	w.Platform.HeartbeatInterval = 5 * protocol.Second
	w.Platform.StateWriteRate = 35
	var b strings.Builder
	fmt.Fprintf(&b, "team red\nteam guests\nno-capacity\nobjective wait pick within=12\n")
	fmt.Fprintf(&b, "type small cpus=12 gpus=2 mem=48 boot=25 fetch=0.4 zones=a,b\ntype large cpus=32 gpus=4 mem=128 boot=35 fetch=0.4 zones=a,b,c\n")
	for i := range machines {
		fmt.Fprintf(&b, "machine n-%06d %s %s\n", i+1, []string{"small", "large"}[i%2], []string{"a", "b", "c"}[i%3/(2-i%2)])
	}
	ref := 0
	add := func(at float64, format string, args ...any) {
		ref++
		fmt.Fprintf(&b, "at %g submit req-%06d %s\n", at, ref, fmt.Sprintf(format, args...))
	}
	for i := range 80 {
		add(2, "service class=pick tasks=4 cpus=4 mem=14 rank=critical spread size=1 image=live-%d", i%18)
	}
	for i := range 140 {
		add(4, "array class=rerun tasks=25 cpus=5 mem=18 run=400 estimate=400 size=1 image=rerun-%d spot", i%6)
	}
	for i := range 40 {
		add(20, "gang class=locate tasks=8 gpus=4 cpus=28 mem=100 run=100 one-zone rank=standard image=loc-%d", i%12)
		add(20, "array class=rerun tasks=25 cpus=5 mem=18 run=400 estimate=400 deadline=5000 size=1 image=rerun-%d spot", i%6)
	}
	if err := w.play(b.String()); err != nil {
		tb.Fatal(err)
	}
	w.Run(30 * protocol.Second)
	if len(w.Broken) > 0 {
		tb.Fatal(w.Broken[0])
	}
	return w
}

// A new leader takes over the whole fleet under the state service's limits: it queries each
// machine about once, writes hardly anything, and places the jobs that waited under the old
// leader. No task runs twice.
func TestTakeOverAtFullSize(t *testing.T) {
	w := loadedFleet(t, 2)
	w.limited = true
	for _, n := range w.nodes {
		w.setRateShare(n, n == w.leader())
	}
	writtenBefore, questionsBefore := w.store.written, w.emptyCalls
	w.leader().alive = false
	w.Run(w.now + 8*protocol.Second)
	if w.leader() == nil {
		t.Fatal("there is no leader")
	}
	stale := 0
	secondEpoch := leadership.TokensOf(leadership.NextEpoch(leadership.NextEpoch(0)))
	for _, m := range w.machines {
		if !secondEpoch.Contains(m.epoch) {
			stale++
		}
	}
	if stale > 0 {
		t.Errorf("%d machines have not seen the new epoch", stale)
	}
	if n := w.emptyCalls - questionsBefore; n > fleetSize {
		t.Errorf("%d machines were queried %d times", fleetSize, n)
	}
	if n := w.store.written - writtenBefore; n > 60 {
		t.Errorf("%d changes written", n)
	}
	if w.store.refused > 0 {
		t.Errorf("%d transactions beyond the rate", w.store.refused)
	}
	if len(w.Broken) > 0 {
		t.Error(w.Broken)
	}
}

// A fleet of full size is stored in a few dozen records, not one for each machine, booking and
// launch.
func TestRecordsAtFullSize(t *testing.T) {
	w := loadedFleet(t, 1)
	count := map[string]int{}
	for key, e := range w.store.keys {
		prefix, _, _ := strings.Cut(key, "/")
		count[prefix]++
		if len(e.value) > w.Platform.MaxValueBytes {
			t.Errorf("%s takes %d bytes", key, len(e.value))
		}
	}
	// 1200 machines, 4000 tasks and some bookings.
	if count["hp"] > 24 || count["lp"] > 40 || count["bp"] > 2 || count["j"] != 300 {
		t.Errorf("%v", count)
	}
}

// nextHeartbeat returns the next heartbeat of a machine's worker.
func nextHeartbeat(w *World, i int) controller.WorkerHeartbeat {
	w.nextConn++
	return controller.NewWorkerHeartbeat(controller.ReplyAddress{Conn: w.nextConn}, []byte(w.report(w.sortedMachines()[i])), false)
}

// BenchmarkHeartbeat measures a worker's heartbeat that reports no change.
func BenchmarkHeartbeat(b *testing.B) {
	w := loadedFleet(b, 1)
	n := w.leader()
	events := make([]controller.WorkerHeartbeat, b.N)
	for i := range events {
		events[i] = nextHeartbeat(w, i%fleetSize)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, e := range events {
		n.ctl.Step(w.timeOf(n), e)
	}
}

// BenchmarkSchedulingStep measures a tick that runs a scheduling cycle, while a hundred jobs wait
// and one machine in sixty has changed.
func BenchmarkSchedulingStep(b *testing.B) {
	w := loadedFleet(b, 1)
	n := w.leader()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		w.now += w.Operator.MaxCycleInterval
		b.StopTimer()
		for k := range 20 {
			n.ctl.Step(w.timeOf(n), nextHeartbeat(w, (i*20+k)%fleetSize))
		}
		b.StartTimer()
		n.ctl.Step(w.timeOf(n), controller.Tick{})
	}
}

// BenchmarkFailover measures the work of a new leader until every host is accounted for,
// including that of the simulation.
func BenchmarkFailover(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		b.StopTimer()
		w := loadedFleet(b, 2)
		w.leader().alive = false
		var spent time.Duration
		w.stepped = func(_ *node, d time.Duration) { spent += d }
		b.StartTimer()
		w.Run(w.now + 8*protocol.Second)
		if w.leader() == nil {
			b.Fatal("there is no leader")
		}
		b.ReportMetric(spent.Seconds()*1000, "controller_ms")
	}
}

// longArray returns a world with one array of 25,000 identical short tasks on twelve machines.
func longArray(tb testing.TB) *World {
	tb.Helper()
	w := NewWorld(1)
	w.quiet = true
	text := "team red\nteam guests\nno-capacity\ntype wide cpus=32 gpus=4 mem=256 boot=10 zones=a\n"
	for i := range 12 {
		text += fmt.Sprintf("machine n-%06d wide a\n", i+1)
	}
	text += "at 3 submit req-000001 array team=guests rank=low tasks=25000 gpus=0 cpus=0.25 mem=0.1 run=4 estimate=4 size=0.5\n"
	if err := w.play(text); err != nil {
		tb.Fatal(err)
	}
	w.Run(10 * protocol.Second)
	return w
}

// BenchmarkLongArray measures a second in the middle of an array of 25,000 short tasks, including
// the simulation: about three hundred launches and as many completions.
func BenchmarkLongArray(b *testing.B) {
	b.ReportAllocs()
	var w *World
	for i := range b.N {
		if i%30 == 0 { // the array completes after a minute
			b.StopTimer()
			w = longArray(b)
			b.StartTimer()
		}
		w.Run(w.now + protocol.Second)
	}
}

// BenchmarkBurst measures a second of a burst of small jobs, ten one-task jobs, on a fleet of
// full size, including the simulation.
func BenchmarkBurst(b *testing.B) {
	w := loadedFleet(b, 1)
	w.limited = true
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		for k := range 10 {
			if err := w.actSubmit(strings.Fields(fmt.Sprintf("submit req-%06d array team=guests rank=low tasks=1 gpus=0 cpus=0.25 mem=0.1 run=150 size=0.5", 500000+i*10+k))); err != nil {
				b.Fatal(err)
			}
		}
		w.Run(w.now + protocol.Second)
	}
}

// BenchmarkRolloutTurns measures the time that a leader of a full fleet takes for a simulated
// second, and its longest step, without a roll-out and with one of 1,000 instances, all of which
// the other controllers check, 50 a second.
func BenchmarkRolloutTurns(b *testing.B) {
	for _, count := range []int{0, 1000} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			for range b.N {
				w := NewWorld(3)
				w.rollouts = &rollout.Settings{ChecksPerS: 50, MaxInFlight: 64, MaxServices: 4}
				loadedFleetIn(b, w)
				if count > 0 {
					if err := w.actRollout(strings.Fields(fmt.Sprintf("rollout r-1 picker image=pick-2 size=0.1 gpus=0 count=%d floor=0 stages=%d soak=3600 healthy=600", count, count))); err != nil {
						b.Fatal(err)
					}
				}
				w.Run(w.now + 100*protocol.Second)
				if err := w.expectRollout([]string{"picker", "soaking"}); count > 0 && err != nil {
					b.Fatal(err)
				}
				var spent, longest time.Duration
				leader := w.leader()
				w.stepped = func(n *node, d time.Duration) {
					if n == leader {
						spent += d
						longest = max(longest, d)
					}
				}
				w.Run(w.now + 60*protocol.Second)
				b.ReportMetric(spent.Seconds()*1000/60, "ms/sim_s")
				b.ReportMetric(longest.Seconds()*1000, "longest_ms")
			}
		})
	}
}
