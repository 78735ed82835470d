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

// singles are jobs of one task that come four a second for minutes, of which every fourth
// is cancelled, while it waits, while it runs or about when it ends; and a small service of
// a class with an aim on starting every five seconds.
type singles struct {
	*World
	count    int
	submits  map[string]micros // when a job was submitted
	starts   map[string]micros // when its first task was on a machine
	left     map[string]micros // when its last one had ended
	changes  map[string]int    // written to the state service, by the record's prefix
	requests int
}

const (
	singlesEvery  = protocol.Second / 4
	serviceEvery  = 20 // of them
	singlesSettle = 30 * protocol.Second
)

// singlesIn begins to watch a world.
func singlesIn(w *World, count int) *singles {
	s := &singles{World: w, count: count, submits: map[string]micros{}, starts: map[string]micros{}, left: map[string]micros{}, changes: map[string]int{}}
	was := w.store.applied
	w.store.applied = func(then []*fastjson.Value) {
		for _, c := range then {
			s.wrote(string(c.GetStringBytes("set")) + string(c.GetStringBytes("drop")))
		}
		was(then)
	}
	return s
}

// wrote counts a change, and of the records of jobs those of the jobs that came meanwhile.
func (s *singles) wrote(key string) {
	prefix, ref, _ := strings.Cut(key, "/")
	if prefix+"/" == records.JobPrefix || prefix+"/" == records.FinalPrefix {
		if _, one := s.submits[ref]; !one {
			return
		}
	}
	s.changes[prefix]++
}

func (s *singles) submit(tb testing.TB, ref, line string, args ...any) *userJob {
	s.submits[ref] = s.now
	if err := s.actSubmit(append([]string{"submit", ref}, strings.Fields(fmt.Sprintf(line, args...))...)); err != nil {
		tb.Fatal(err)
	}
	return s.jobs[ref]
}

// look notes which jobs have begun and ended.
func (s *singles) look() {
	for _, m := range s.machines {
		for _, t := range m.tasks {
			ref := t.job.spec.Ref
			if _, one := s.submits[ref]; !one {
				continue
			}
			if t.on && s.starts[ref] == 0 {
				s.starts[ref] = s.now
			}
			if t.on {
				s.left[ref] = s.now
			}
		}
	}
}

// play has the jobs come; halfway the leader ends if that is asked for.
func (s *singles) play(tb testing.TB, leaderEnds bool) {
	from, served := s.now, s.store.served
	for i := range s.count {
		s.Run(from + micros(i)*singlesEvery)
		s.look()
		if leaderEnds && i == s.count/2 {
			s.end(s.leader(), 5*protocol.Second)
		}
		if i%serviceEvery == serviceEvery/2 {
			s.submit(tb, fmt.Sprintf("req-%06d", 900000+i), "service class=pick tasks=2 gpus=0 cpus=1 mem=1 rank=critical size=0.1 image=pick")
		}
		j := s.submit(tb, fmt.Sprintf("req-%06d", 400000+i), "array class=single tasks=1 gpus=0 cpus=1 mem=1 run=%d size=0.1 image=single", 8+4*(i%5))
		if i%4 == 0 {
			s.after([]micros{protocol.Second / 2, 5 * protocol.Second, 9 * protocol.Second}[i/4%3], func() { s.cancel(j) })
		}
	}
	for until := s.now + singlesSettle; s.now < until; {
		s.Run(s.now + protocol.Second/4)
		s.look()
	}
	s.requests = s.store.served - served
}

// left behind are the jobs that nobody was told the end of.
func (s *singles) behind() (refs []string) {
	for ref := range s.submits {
		if j := s.jobs[ref]; j.spec.Kind != protocol.Service && !j.toldDone && j.toldCancelled == 0 {
			refs = append(refs, ref)
		}
	}
	slices.Sort(refs)
	return refs
}

// waits lists how long the jobs of a kind took to start, sorted, and how many never did.
func (s *singles) waits(kind protocol.JobKind) (list []micros, never int) {
	for ref, at := range s.submits {
		switch start := s.starts[ref]; {
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

// latest is how long after its end the last user was told that a job is done.
func (s *singles) latest() (most micros) {
	for ref := range s.submits {
		if j := s.jobs[ref]; j.toldDone {
			most = max(most, j.toldAt-s.left[ref])
		}
	}
	return most
}

// What a job of one task costs the state service on a fleet of 1,300 machines, with a change
// of leader among them: a change to accept it and two to end it, and of those that are shared
// about one for its launch. No job is left behind, and each user is answered.
func TestOneTaskJobsCost(t *testing.T) {
	w := grownTo(t, NewWorld(3), 1300)
	w.limited = true
	for _, n := range w.nodes {
		w.share(n, n == w.leader())
	}
	w.Run(45 * protocol.Second)
	for _, j := range w.jobs {
		j.answeredAt = w.now
	}
	w.unanswered = 0
	s := singlesIn(w, 480)
	s.play(t, true)
	each := func(n int) float64 { return float64(n) / float64(s.count) }
	changes := 0
	for _, n := range s.changes {
		changes += n
	}
	t.Logf("a job: %.2f changes, %.2f requests; %v; told after %.1f s at most, without an answer for %.1f s at most", each(changes), each(s.requests), s.changes, s.latest().Seconds(), w.unanswered.Seconds())
	if each(changes) > 4.6 || each(s.requests) > 7 {
		t.Errorf("a job takes %.2f changes and %.2f requests", each(changes), each(s.requests))
	}
	if refs := s.behind(); len(refs) > 0 {
		t.Errorf("%d jobs were left behind: %v", len(refs), refs)
	}
	if w.unanswered > 20*protocol.Second {
		t.Errorf("a user had no answer for %.1f s", w.unanswered.Seconds())
	}
	if len(w.Broken) > 0 {
		t.Error(w.Broken)
	}
}

// Jobs of one task take nearly all changes that the state service has for the leader, or
// more. Services start all the same, the jobs themselves do too, and their users hear of
// their end in the order in which they ended. Records of launches waited in one line with
// those of jobs that are over, expired there and began again at its end.
func TestOneTaskJobsBesideServices(t *testing.T) {
	for _, c := range []struct {
		changes                int    // a second, of which the leader has three quarters
		service, single, ended micros // the longest that any takes to start, or to be told
		never                  int    // jobs that are cancelled before they start
	}{
		{35, protocol.Second * 6 / 10, protocol.Second * 6 / 10, 3 * protocol.Second, 5},
		{20, protocol.Second, protocol.Second * 14 / 10, 4 * protocol.Second, 20},
		{16, protocol.Second * 14 / 10, protocol.Second * 18 / 10, 35 * protocol.Second, 50},
	} {
		t.Run(fmt.Sprintf("%d changes", c.changes), func(t *testing.T) {
			w, err := playTrace(fmt.Sprintf("nodes 3\nteam red\naim wait pick within=12\nlimits changes=%d\ntype big cpus=32 gpus=2 mem=64 zones=a\nno-capacity\nfleet 100 big a\nat 4 expect leader some", c.changes),
				func(w *World) { w.Operator.IdleScaleInDelay = protocol.FromSeconds(3600) })
			if err != nil {
				t.Fatal(err)
			}
			s := singlesIn(w, 600)
			s.play(t, false)
			services, unstarted := s.waits(protocol.Service)
			jobs, never := s.waits(protocol.Array)
			service, single := services[len(services)-1], jobs[len(jobs)-1]
			t.Logf("services start within %.2f s (median %.2f), jobs within %.2f s (median %.2f), %d never; told within %.1f s; %v", service.Seconds(), services[len(services)/2].Seconds(),
				single.Seconds(), jobs[len(jobs)/2].Seconds(), never, s.latest().Seconds(), s.changes)
			if unstarted > 0 || service > c.service {
				t.Errorf("a service started after %.2f s, %d did not", service.Seconds(), unstarted)
			}
			if single > c.single || never > c.never {
				t.Errorf("a job started after %.2f s, %d did not before they were cancelled", single.Seconds(), never)
			}
			if s.latest() > c.ended {
				t.Errorf("a user was told %.1f s after the end", s.latest().Seconds())
			}
			if refs := s.behind(); len(refs) > 0 || len(w.Broken) > 0 {
				t.Errorf("left behind %v, broken %v", refs, w.Broken)
			}
		})
	}
}

// BenchmarkOneTaskJobs is what a leader of 1,300 machines spends in a simulated second, and
// its longest turn, without such jobs and with them.
func BenchmarkOneTaskJobs(b *testing.B) {
	for _, count := range []int{0, 240} {
		b.Run(fmt.Sprintf("jobs=%d", count), func(b *testing.B) {
			for range b.N {
				w := grownTo(b, NewWorld(3), 1300)
				w.limited = true
				for _, n := range w.nodes {
					w.share(n, n == w.leader())
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
					singlesIn(w, count).play(b, false)
				}
				w.Run(from + 90*protocol.Second)
				b.ReportMetric(spent.Seconds()*1000/90, "ms/sim_s")
				b.ReportMetric(longest.Seconds()*1000, "longest_ms")
			}
		})
	}
}
