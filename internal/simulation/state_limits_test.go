package simulation

import (
	"fmt"
	"strings"
	"testing"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/state"
)

// busyFleet returns a deployment in which all tasks run, 24 or 25 on each machine, and whose
// records were written under the larger limits.
func busyFleet(tb testing.TB, machines, tasks int) *World {
	tb.Helper()
	w := NewWorld(3)
	w.quiet = true
	w.Platform.HeartbeatInterval = 5 * protocol.Second
	w.Platform.WorkerLease = 24 * protocol.Second
	w.Platform.StateWriteRate = 35
	var b strings.Builder
	fmt.Fprintf(&b, "team red\nno-capacity\ntype large cpus=32 gpus=4 mem=128 boot=35 zones=a,b\nfleet %d large a\nfleet %d large b\n", machines/2, machines-machines/2)
	for i := range tasks / 100 {
		fmt.Fprintf(&b, "at 3 submit req-%06d array tasks=100 cpus=1 mem=1 gpus=0 run=3000 estimate=3000 size=0.1 image=rerun-%d\n", i+1, i%6)
	}
	if err := w.play(b.String()); err != nil {
		tb.Fatal(err)
	}
	for w.started < tasks && w.now < 200*protocol.Second {
		w.Run(w.now + protocol.Second)
	}
	if w.started != tasks || len(w.Broken) > 0 {
		tb.Fatalf("%d started, %v", w.started, w.Broken)
	}
	return w
}

// largeRecords counts the records written by leaders, and those among them that are larger than
// a size.
func (w *World) largeRecords(bytes int) (large, all int) {
	for key, e := range w.store.keys {
		if strings.HasPrefix(key, records.JobPrefix) {
			continue
		}
		all++
		if len(e.value) > bytes {
			large++
		}
	}
	return large, all
}

// takeOverResult has the times and writes of a take-over under lower limits.
type takeOverResult struct {
	leaderAfter, fitsAfter, startedAfter micros // time since all controllers ended
	commits, written                     int
	largeBefore, records                 int
}

// takeOverWithLowerLimits lowers the limits of the state service, restarts all controllers, and
// submits jobs from then on.
func takeOverWithLowerLimits(tb testing.TB, w *World, announced bool) (s takeOverResult) {
	tb.Helper()
	s.largeBefore, _ = w.largeRecords(2048)
	if err := w.actLimitsFall(nil); err != nil {
		tb.Fatal(err)
	}
	if announced {
		l := w.store.loweredLimits.StateLimits
		w.Platform.AnnouncedStateLimits = &l
	}
	for _, n := range w.nodes {
		w.stopNode(n, 3*protocol.Second)
	}
	written, commits, started, began := w.store.written, w.store.commits, w.started, w.now
	for step := 0; (s.fitsAfter == 0 || s.startedAfter == 0) && w.now < began+300*protocol.Second; step++ {
		if step < 40 {
			for k := range 5 {
				job := fmt.Sprintf("submit req-%06d array tasks=4 cpus=0.1 mem=0.1 gpus=0 run=3000 estimate=3000 size=0.1 image=rerun-1", 900001+5*step+k)
				if err := w.actSubmit(strings.Fields(job)); err != nil {
					tb.Fatal(err)
				}
			}
		}
		w.Run(w.now + protocol.Second/2)
		if s.leaderAfter == 0 && w.leader() != nil {
			s.leaderAfter = w.now - began
		}
		if s.startedAfter == 0 && w.started >= started+800 {
			s.startedAfter = w.now - began
		}
		if n, all := w.largeRecords(2048); n == 0 && s.fitsAfter == 0 {
			s.fitsAfter, s.records = w.now-began, all
			s.commits, s.written = w.store.commits-commits, w.store.written-written
		}
	}
	if len(w.Broken) > 0 {
		tb.Error(w.Broken)
	}
	return s
}

// All controllers of a fleet end after the limits of the state service were lowered, with or
// without an announcement. The next leader takes over as fast as usual and splits the records
// that are too large, and jobs submitted meanwhile start.
func TestTakeOverAfterTheLimitsFell(t *testing.T) {
	for _, announced := range []bool{true, false} {
		t.Run(fmt.Sprintf("announced=%v", announced), func(t *testing.T) {
			w := busyFleet(t, 300, 7200)
			s := takeOverWithLowerLimits(t, w, announced)
			maxRefused := 8 // transactions refused for their size until all limits are known
			if announced {
				maxRefused = 1 // the first that splits a record, which would have written all its parts at once
			}
			if s.fitsAfter == 0 || s.fitsAfter > 40*protocol.Second || s.leaderAfter > 9*protocol.Second || s.startedAfter == 0 || w.store.loweredLimits.refusedCount > maxRefused || s.largeBefore < 30 {
				t.Errorf("%+v, %d transactions refused for their size", s, w.store.loweredLimits.refusedCount)
			}
		})
	}
}

// BenchmarkFailoverAfterLimitsWereLowered measures such a take-over of 1,238 machines and 30,000
// tasks.
func BenchmarkFailoverAfterLimitsWereLowered(b *testing.B) {
	for _, announced := range []bool{true, false} {
		b.Run(fmt.Sprintf("announced=%v", announced), func(b *testing.B) {
			for range b.N {
				w := busyFleet(b, 1238, 30_000)
				s := takeOverWithLowerLimits(b, w, announced)
				b.ReportMetric(s.leaderAfter.Seconds(), "leads_s")
				b.ReportMetric(s.fitsAfter.Seconds(), "fits_s")
				b.ReportMetric(s.startedAfter.Seconds(), "started_s")
				b.ReportMetric(float64(s.largeBefore), "large_records")
				b.ReportMetric(float64(s.records), "records")
				b.ReportMetric(float64(s.commits), "transactions")
				b.ReportMetric(float64(s.written), "changes")
				b.ReportMetric(float64(w.store.loweredLimits.refusedCount), "refused_size")
				b.ReportMetric(float64(w.store.refused), "refused_rate")
			}
		})
	}
}

// BenchmarkStartsUnderShrunkLimits measures how many tasks start and how many jobs are accepted
// per second, during a minute of more submissions than 24 changes a second allow for.
func BenchmarkStartsUnderShrunkLimits(b *testing.B) {
	for _, tasks := range []int{1, 4, 25} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			for range b.N {
				w := NewWorld(3)
				w.quiet = true
				w.Platform.StateWriteRate = 35
				text := "team red\nno-capacity\ntype large cpus=320 gpus=4 mem=1280 boot=35 zones=a,b\nnext\nfleet 300 large a\nfleet 300 large b\nat 20 lower-limits\n"
				if err := w.play(text); err != nil {
					b.Fatal(err)
				}
				began, started := w.now, w.started
				for step := range 60 {
					for k := range 30 {
						job := fmt.Sprintf("submit req-%06d array tasks=%d cpus=0.1 mem=0.1 gpus=0 run=20 estimate=20 size=0.1 image=rerun-1", 1000+30*step+k, tasks)
						if err := w.actSubmit(strings.Fields(job)); err != nil {
							b.Fatal(err)
						}
					}
					w.Run(w.now + protocol.Second)
				}
				accepted := 0
				for _, j := range w.jobs {
					if j.accepted {
						accepted++
					}
				}
				b.ReportMetric(float64(w.started-started)/(w.now-began).Seconds(), "starts/s")
				b.ReportMetric(float64(accepted)/(w.now-began).Seconds(), "accepted/s")
				b.ReportMetric(float64(w.store.refused), "refused_rate")
				if len(w.Broken) > 0 {
					b.Error(w.Broken)
				}
			}
		})
	}
}

// earlierRecords returns lines with the records of an earlier leader, written under the larger
// limits: one of sixty hosts, one of the launches of 120 tasks, one of the completions of 60
// arrays, and one of bookings. Each takes more than 2 KiB.
func earlierRecords(t *testing.T) (text string) {
	t.Helper()
	var b strings.Builder
	add := func(key string, value []byte) {
		if !strings.HasPrefix(key, "j/") && key != records.KeyEpoch && len(value) <= protocol.MinValueBytes {
			t.Fatalf("%s takes only %d bytes", key, len(value))
		}
		fmt.Fprintf(&b, "record %s %s\n", key, value)
	}
	add(records.KeyEpoch, records.EncodeEpoch(records.Epoch{Number: 7}))
	var hosts []*state.Host
	for i := range 60 {
		h := state.NewHost(0, fmt.Sprintf("n-%06d", i+1), "large", "a", false)
		h.Addr, h.Record.WrittenWall = fmt.Sprintf("n-%06d:9000", i+1), 1
		hosts = append(hosts, h)
	}
	add("hp/1", records.EncodeHosts(hosts, true))
	var jobs []*state.Job
	var refs []string
	var launches []records.Launch
	for i := range 60 {
		spec := &protocol.JobSpec{
			Ref: fmt.Sprintf("req-%06d", i+1), Class: "work", Team: "red", Kind: protocol.Array, Tasks: 100,
			TaskResources: protocol.Resources{CPU: 1000, Memory: 1000}, Image: "img-1", ImageSize: 100, EstimatedRuntime: 5 * protocol.Second,
		}
		j := state.NewJob(spec)
		j.SubmittedWall, j.LeaderEpoch = 1_700_000_000*protocol.Second, 7
		add("j/"+spec.Ref, records.EncodeJob(j))
		for k := range 98 {
			j.Complete(k, true)
		}
		for k := range 2 {
			launches = append(launches, records.Launch{
				Host: hosts[(2*i+k)%60].Name,
				Name: protocol.AttemptName{TaskName: protocol.TaskName{Job: spec.Ref, Index: 98 + k}, Number: 7<<24 + uint64(2*i+k)},
			})
		}
		jobs, refs = append(jobs, j), append(refs, spec.Ref)
	}
	add("lp/1", records.EncodeLaunches(launches))
	add("dp/1", records.EncodeCompletions(jobs))
	for len(refs) < 90 { // bookings of jobs that have ended
		refs = append(refs, fmt.Sprintf("req-%06d", 1+len(refs)))
	}
	add("bp/1", records.EncodeBookings(refs, func(string) protocol.Micros { return 1_700_000_100 * protocol.Second }))
	return b.String()
}

// The records of an earlier leader are larger than the state service accepts now. Leaders are
// killed repeatedly while they split the records, and some writes are late. Completed tasks don't
// run again, the others run, and in the end every record fits the limit.
func TestLargeRecordsOfAnEarlierLeader(t *testing.T) {
	for _, setup := range []string{"next\n", ""} {
		for _, faults := range []string{"", "at 1 end-in-role leading 3 after=0.3 back=0.2\n", "at 1 end-in-role leading 4 after=0.7 back=0.2\nat 1 late-writes every=4 by=5 with=p/\nat 20 late-writes every=0\n"} {
			text := "nodes 3\nteam red\ntype large cpus=32 gpus=4 mem=128 boot=35 zones=a\nno-capacity\nlimits changes=35\n" + setup + "fleet 60 large a\n" + earlierRecords(t) +
				"at 0 lower-limits\n" + faults + "at 60 expect leader some\nat 60 expect fits 2048\nat 60 expect starts 120\nat 60 expect at-most 120 starts\n"
			w, err := playTrace(text, nil)
			if err != nil {
				t.Errorf("%q %q: %v\n%s", setup, faults, err, strings.Join(w.Log, "\n"))
			}
			for key := range w.store.keys {
				if strings.HasPrefix(key, "j/") {
					t.Errorf("%q %q: %s has not ended", setup, faults, key)
				}
			}
		}
	}
}

// While a record of completions is split, two records name the same array, and the last one in
// the order of keys is not the last one that was written. A task that is completed in either
// record stays completed.
func TestCompletionsInTwoRecords(t *testing.T) {
	spec := &protocol.JobSpec{
		Ref: "req-000001", Class: "work", Team: "red", Kind: protocol.Array, Tasks: 8,
		TaskResources: protocol.Resources{CPU: 1000, Memory: 1000}, Image: "img-1", ImageSize: 100, EstimatedRuntime: 5 * protocol.Second,
	}
	j := state.NewJob(spec)
	j.SubmittedWall, j.LeaderEpoch = 1_700_000_000*protocol.Second, 7
	text := fmt.Sprintf("nodes 1\nteam red\ntype large cpus=32 gpus=4 mem=128 boot=35 zones=a\nno-capacity\nfleet 2 large a\nrecord epoch %s\nrecord j/req-000001 %s\n",
		records.EncodeEpoch(records.Epoch{Number: 7}), records.EncodeJob(j))
	j.Complete(0, true)
	text += fmt.Sprintf("record dp/2 %s\n", records.EncodeCompletions([]*state.Job{j}))
	for k := range 6 {
		j.Complete(k, true)
	}
	text += fmt.Sprintf("record dp/10 %s\nat 20 expect starts 2\nat 20 expect kept f/req-000001 yes\n", records.EncodeCompletions([]*state.Job{j}))
	if w, err := playTrace(text, nil); err != nil {
		t.Errorf("%v\n%s", err, strings.Join(w.Log, "\n"))
	}
}
