package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// singleTaskLoad submits four one-task jobs a second for minutes. Every fourth is cancelled,
// while it waits, while it runs or at about its end. Every five seconds it also submits a small
// service of a class with an objective for the time to start.
type singleTaskLoad struct {
	*World
	count        int
	submittedAt  map[string]micros // when a job was submitted
	startedAt    map[string]micros // when its first task was seen on a machine
	endedAt      map[string]micros // when a task of it was last seen on a machine
	changeCounts map[string]int    // written to the state service, by the prefix of the record
	requests     int
}

const (
	singleTaskInterval = protocol.Second / 4
	jobsPerService     = 20
	settleTime         = 30 * protocol.Second
)

// watchSingleTaskLoad makes a load of so many jobs for a world, and counts the changes that the
// state service applies from now on.
func watchSingleTaskLoad(w *World, count int) *singleTaskLoad {
	s := &singleTaskLoad{World: w, count: count, submittedAt: map[string]micros{}, startedAt: map[string]micros{}, endedAt: map[string]micros{}, changeCounts: map[string]int{}}
	previous := w.store.applied
	w.store.applied = func(then []*fastjson.Value) {
		for _, c := range then {
			s.countChange(string(c.GetStringBytes("set")) + string(c.GetStringBytes("drop")))
		}
		previous(then)
	}
	return s
}

// countChange counts a change. Of the records of jobs it counts only those of the load's jobs.
func (s *singleTaskLoad) countChange(key string) {
	prefix, ref, _ := strings.Cut(key, "/")
	if prefix+"/" == records.JobPrefix || prefix+"/" == records.FinalPrefix {
		if _, tracked := s.submittedAt[ref]; !tracked {
			return
		}
	}
	s.changeCounts[prefix]++
}

func (s *singleTaskLoad) submit(tb testing.TB, ref, line string, args ...any) *userJob {
	s.submittedAt[ref] = s.now
	if err := s.actSubmit(append([]string{"submit", ref}, strings.Fields(fmt.Sprintf(line, args...))...)); err != nil {
		tb.Fatal(err)
	}
	return s.jobs[ref]
}

// observeTasks records when the jobs of the load start and end.
func (s *singleTaskLoad) observeTasks() {
	for _, m := range s.machines {
		for _, t := range m.tasks {
			ref := t.job.spec.Ref
			if _, tracked := s.submittedAt[ref]; !tracked {
				continue
			}
			if t.onMachine && s.startedAt[ref] == 0 {
				s.startedAt[ref] = s.now
			}
			if t.onMachine {
				s.endedAt[ref] = s.now
			}
		}
	}
}

// play submits the load. If leaderEnds is set, the leader is killed halfway.
func (s *singleTaskLoad) play(tb testing.TB, leaderEnds bool) {
	from, served := s.now, s.store.served
	for i := range s.count {
		s.Run(from + micros(i)*singleTaskInterval)
		s.observeTasks()
		if leaderEnds && i == s.count/2 {
			s.stopNode(s.leader(), 5*protocol.Second)
		}
		if i%jobsPerService == jobsPerService/2 {
			s.submit(tb, fmt.Sprintf("req-%06d", 900000+i), "service class=pick tasks=2 gpus=0 cpus=1 mem=1 rank=critical size=0.1 image=pick")
		}
		j := s.submit(tb, fmt.Sprintf("req-%06d", 400000+i), "array class=single tasks=1 gpus=0 cpus=1 mem=1 run=%d size=0.1 image=single", 8+4*(i%5))
		if i%4 == 0 {
			s.after([]micros{protocol.Second / 2, 5 * protocol.Second, 9 * protocol.Second}[i/4%3], func() { s.cancel(j) })
		}
	}
	for until := s.now + settleTime; s.now < until; {
		s.Run(s.now + protocol.Second/4)
		s.observeTasks()
	}
	s.requests = s.store.served - served
}

// unreportedJobs returns the arrays whose end was not reported to a user.
func (s *singleTaskLoad) unreportedJobs() (refs []string) {
	for ref := range s.submittedAt {
		if j := s.jobs[ref]; j.spec.Kind != protocol.Service && !j.reportedDone && j.cancelReportedAt == 0 {
			refs = append(refs, ref)
		}
	}
	slices.Sort(refs)
	return refs
}

// startDelays returns how long jobs of a kind took to start, sorted, and how many never started.
func (s *singleTaskLoad) startDelays(kind protocol.JobKind) (list []micros, never int) {
	for ref, at := range s.submittedAt {
		switch start := s.startedAt[ref]; {
		case s.jobs[ref].spec.Kind != kind:
		case start == 0:
			never++
		default:
			list = append(list, start-at)
		}
	}
	slices.Sort(list)
	return list, never
}

// maxReportDelay returns the longest time between the end of a job and its report as done.
func (s *singleTaskLoad) maxReportDelay() (most micros) {
	for ref := range s.submittedAt {
		if j := s.jobs[ref]; j.reportedDone {
			most = max(most, j.endReportedAt-s.endedAt[ref])
		}
	}
	return most
}

// One-task jobs on a fleet of 1,300 machines, with a change of leader meanwhile, must not cost the
// state service more than expected: one change to accept a job, two to end it, and about one of
// the shared records for its launch. The end of every job is reported, and each user is answered.
func TestOneTaskJobsCost(t *testing.T) {
	w := loadedFleetOf(t, NewWorld(3), 1300)
	w.limited = true
	for _, n := range w.nodes {
		w.setRateShare(n, n == w.leader())
	}
	w.Run(45 * protocol.Second)
	for _, j := range w.jobs {
		j.answeredAt = w.now
	}
	w.unanswered = 0
	s := watchSingleTaskLoad(w, 480)
	s.play(t, true)
	each := func(n int) float64 { return float64(n) / float64(s.count) }
	changes := 0
	for _, n := range s.changeCounts {
		changes += n
	}
	t.Logf("per job: %.2f changes, %.2f requests; %v; end reported within %.1f s, user without an answer for at most %.1f s", each(changes), each(s.requests), s.changeCounts, s.maxReportDelay().Seconds(), w.unanswered.Seconds())
	if each(changes) > 4.6 || each(s.requests) > 7 {
		t.Errorf("a job takes %.2f changes and %.2f requests", each(changes), each(s.requests))
	}
	if refs := s.unreportedJobs(); len(refs) > 0 {
		t.Errorf("the end of %d jobs was not reported: %v", len(refs), refs)
	}
	if w.unanswered > 20*protocol.Second {
		t.Errorf("a user had no answer for %.1f s", w.unanswered.Seconds())
	}
	if len(w.Broken) > 0 {
		t.Error(w.Broken)
	}
}

// One-task jobs need nearly all of the changes that the state service grants the leader, or more.
// Services must still start in time, and so must the jobs, whose ends are reported in the order
// in which they ended. This failed when the records of launches shared one queue with those of
// finished jobs: they expired in it and were queued again at its end.
func TestOneTaskJobsBesideServices(t *testing.T) {
	for _, c := range []struct {
		changes                                 int    // per second, three quarters for the leader
		maxServiceStart, maxJobStart, maxReport micros // the longest until any starts, or is reported
		maxNeverStarted                         int    // jobs that are cancelled before they start
	}{
		{35, protocol.Second * 6 / 10, protocol.Second * 6 / 10, 3 * protocol.Second, 5},
		{20, protocol.Second, protocol.Second * 14 / 10, 4 * protocol.Second, 20},
		{16, protocol.Second * 14 / 10, protocol.Second * 18 / 10, 35 * protocol.Second, 50},
	} {
		t.Run(fmt.Sprintf("%d changes", c.changes), func(t *testing.T) {
			w, err := playTrace(fmt.Sprintf("nodes 3\nteam red\nobjective wait pick within=12\nlimits changes=%d\ntype big cpus=32 gpus=2 mem=64 zones=a\nno-capacity\nfleet 100 big a\nat 4 expect leader some", c.changes),
				func(w *World) { w.Operator.IdleScaleInDelay = protocol.FromSeconds(3600) })
			if err != nil {
				t.Fatal(err)
			}
			s := watchSingleTaskLoad(w, 600)
			s.play(t, false)
			services, unstarted := s.startDelays(protocol.Service)
			jobs, never := s.startDelays(protocol.Array)
			service, single := services[len(services)-1], jobs[len(jobs)-1]
			t.Logf("services start within %.2f s (median %.2f), jobs within %.2f s (median %.2f), %d never; end reported within %.1f s; %v", service.Seconds(), services[len(services)/2].Seconds(),
				single.Seconds(), jobs[len(jobs)/2].Seconds(), never, s.maxReportDelay().Seconds(), s.changeCounts)
			if unstarted > 0 || service > c.maxServiceStart {
				t.Errorf("a service started after %.2f s, %d did not start", service.Seconds(), unstarted)
			}
			if single > c.maxJobStart || never > c.maxNeverStarted {
				t.Errorf("a job started after %.2f s, %d did not start before they were cancelled", single.Seconds(), never)
			}
			if s.maxReportDelay() > c.maxReport {
				t.Errorf("an end was reported %.1f s late", s.maxReportDelay().Seconds())
			}
			if refs := s.unreportedJobs(); len(refs) > 0 || len(w.Broken) > 0 {
				t.Errorf("end not reported for %v, rules broken %v", refs, w.Broken)
			}
		})
	}
}

// BenchmarkOneTaskJobs measures the time that a leader of 1,300 machines takes for a simulated
// second, and its longest step, without one-task jobs and with them.
func BenchmarkOneTaskJobs(b *testing.B) {
	for _, count := range []int{0, 240} {
		b.Run(fmt.Sprintf("jobs=%d", count), func(b *testing.B) {
			for range b.N {
				w := loadedFleetOf(b, NewWorld(3), 1300)
				w.limited = true
				for _, n := range w.nodes {
					w.setRateShare(n, n == w.leader())
				}
				w.Run(45 * protocol.Second)
				var spent, longest time.Duration
				w.stepped = func(n *node, d time.Duration) {
					if n == w.leader() {
						spent, longest = spent+d, max(longest, d)
					}
				}
				from := w.now
				if count > 0 {
					watchSingleTaskLoad(w, count).play(b, false)
				}
				w.Run(from + 90*protocol.Second)
				b.ReportMetric(spent.Seconds()*1000/90, "ms/sim_s")
				b.ReportMetric(longest.Seconds()*1000, "longest_ms")
			}
		})
	}
}
