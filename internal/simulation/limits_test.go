package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// limitScene is three teams, each at its limit with one job in zone b, and with a job in
// zone a that waits for the same room: an array, a gang and a service in turn. There are
// machines enough for all, so that nothing but the limits has anybody wait.
const limitScene = `
nodes 3 a b c
team red max=8
team blue max=8
team green max=8
type big cpus=8 gpus=2 mem=64 boot=10 zones=a,b
no-capacity
fleet 16 big a
fleet 14 big b
at 4 submit req-000001 array team=red tasks=4 gpus=2 run=900 zone=b
at 4 submit req-000002 gang team=blue tasks=4 gpus=2 run=900 zone=b
at 4 submit req-000003 service team=green tasks=4 gpus=2 run=900 zone=b
at 12 submit req-000011 gang team=red tasks=4 gpus=2 run=900 zone=a
at 12 submit req-000012 service team=blue tasks=4 gpus=2 run=900 zone=a
at 12 submit req-000013 array team=green tasks=4 gpus=2 run=900 zone=a
at 18 expect req-000001 running running=4
at 18 expect req-000002 running running=4
at 18 expect req-000003 running running=4
at 18 expect starts 12
`

// limitCase is a trouble of the machines on which the jobs run, a change of leader and
// when the jobs are cancelled.
type limitCase struct {
	trouble  string   // what befalls machines, or "cut-zone b"; MACHINE stands for each of their names
	ends     string   // what ends that
	apart    string   // a controller that no other machine reaches from then on
	from, to float64  // when it begins and ends, to 0: not before the test is over
	cancel   float64  // when the users ask
	leaders  string   // how they change, for the test's name
	changes  []string // of leader, with their instants; the first one is at leaderEnds
	cloud    bool     // false: it is down until cloudBack, so that no release is proof
	// The cancelled tasks have to be proven gone by then: with the cloud by half of the
	// time that a cancellation has, without by a worker's lease if who may have answered it
	// is heard, or once the machine or the cloud is there again.
	proven, provenWithoutCloud float64
}

const (
	leaderEnds = 20.0
	cloudBack  = 60.0
	limitsOver = 78.0
	// startsWithin is how long a task takes to start in room that is proven free: a round,
	// the record of its launch, two seconds for its image.
	startsWithin = 3.0
)

func (c limitCase) name() string {
	name := fmt.Sprintf("%s from %g to %g/%s/cancelled at %g", c.trouble, c.from, c.to, c.leaders, c.cancel)
	if !c.cloud {
		name += ", no cloud"
	}
	return name
}

// provenBy is when the cancelled tasks have to be proven gone.
func (c limitCase) provenBy() float64 {
	if c.cloud {
		return c.proven
	}
	return c.provenWithoutCloud
}

// hostsOfJob names the machines that tasks of a job are on.
func (w *World) hostsOfJob(ref string) []string {
	var names []string
	for _, m := range w.sortedMachines() {
		for _, t := range m.sorted() {
			if t.on && t.job.spec.Ref == ref {
				names = append(names, m.name)
				break
			}
		}
	}
	return names
}

// advance plays more lines in a world whose trace was played.
func (w *World) goOn(lines []timedLine) error {
	for _, l := range lines {
		w.Run(protocol.FromSeconds(l.at))
		if err := w.act(strings.Fields(l.text)); err != nil {
			return fmt.Errorf("at %g %s: %w", l.at, l.text, err)
		}
	}
	return nil
}

// onMachines counts the tasks of a job that are on machines.
func (w *World) onMachines(ref string) (n int) {
	for _, m := range w.sortedMachines() {
		for _, t := range m.tasks {
			if t.on && t.job.spec.Ref == ref {
				n++
			}
		}
	}
	return n
}

// limitTimes is what became of a team's jobs.
type limitTimes struct {
	left  float64 // when the last task of the cancelled one left its machine
	final float64 // when the cancellation was durable, which is once all are proven gone
	began float64 // when the waiting one ran with all of its tasks
}

// playLimits plays a case.
func playLimits(t *testing.T, c limitCase) (*World, [3]limitTimes) {
	t.Helper()
	w, err := playTrace(limitScene, nil)
	if err != nil {
		t.Fatalf("%v\n%s", err, strings.Join(w.Log, "\n"))
	}
	h := c.history(w)
	var times [3]limitTimes
	lines := h.sorted()
	for at := 18.0; at <= limitsOver; at += 0.1 {
		for ; len(lines) > 0 && lines[0].at <= at; lines = lines[1:] {
			if err := w.goOn(lines[:1]); err != nil {
				t.Fatalf("%v\n%s", err, strings.Join(w.Log, "\n"))
			}
		}
		w.Run(protocol.FromSeconds(at))
		for k := range times {
			cancelled, waits := fmt.Sprintf("req-%06d", k+1), fmt.Sprintf("req-%06d", k+11)
			if w.onMachines(cancelled) > 0 {
				times[k].left = at
			}
			if times[k].final == 0 && w.store.keys[records.FinalPrefix+cancelled] != nil {
				times[k].final = at
			}
			if times[k].began == 0 && w.onMachines(waits) == 4 {
				times[k].began = at
			}
		}
	}
	return w, times
}

// history is what happens in a case. Of each job two of four machines are in trouble, or
// its whole zone.
func (c limitCase) history(w *World) *history {
	var hit []string
	for k := range 3 {
		hit = append(hit, w.hostsOfJob(fmt.Sprintf("req-%06d", k+1))[1:3]...)
	}
	h := &history{}
	happens := func(at float64, what string) {
		if strings.Contains(what, "zone") {
			h.at(at, "%s", what)
			return
		}
		for _, m := range hit {
			for _, word := range strings.Split(what, ",") {
				if line := strings.ReplaceAll(word, "MACHINE", m); line != word {
					h.at(at, "%s", line)
				} else {
					h.at(at, "if-here %s %s", m, word)
				}
			}
		}
	}
	happens(c.from, c.trouble)
	if c.to > 0 {
		happens(c.to, c.ends)
	}
	for _, m := range w.sortedMachines() {
		if c.apart != "" && !slices.Contains(hit, m.name) {
			h.at(c.from, "part %s %s", m.name, c.apart)
		}
	}
	if !c.cloud {
		h.at(c.from, "cloud down")
		h.at(cloudBack, "cloud up")
	}
	for k := range 3 {
		h.at(c.cancel, "cancel req-%06d", k+1)
	}
	for _, line := range c.changes {
		at, what, _ := strings.Cut(line, " ")
		seconds, _ := strconv.ParseFloat(at, 64)
		h.at(seconds, "%s", what)
	}
	return h
}

// Every team is at its limit while its jobs are cancelled whose machines hang, are cut off
// or deaf, and the leader changes. No limit is exceeded at any instant, which the stand-ins
// check at each start; what waits for the room runs as soon as the last cancelled task is
// proven gone, and not before.
func TestTeamsAtTheirLimits(t *testing.T) {
	changes := map[string][]string{
		"once":          {"20 kill leader", "50 start all"},
		"several times": {"20 restart leader after=0.5", "23 restart leader after=0.5", "26 restart leader after=0.5", "32 restart leader after=3", "37 restart leader after=0.1"},
		"all end":       {"20 kill all", "23 start all"},
	}
	troubles := []limitCase{
		{trouble: "hang", ends: "wake", from: 18.5, to: 31, proven: 33, provenWithoutCloud: 34.5}, // within the lease
		{trouble: "hang", ends: "wake", from: 18.5, to: 45, proven: 45, provenWithoutCloud: 48},   // longer
		{trouble: "hang", from: 18.5, proven: 45, provenWithoutCloud: 62},
		{trouble: "cut-off", ends: "reach", from: 18.5, to: 48, proven: 45, provenWithoutCloud: 50}, // messages are held
		// Somebody whom no test sees answers its worker.
		{trouble: "cut-off,answer-behind", ends: "reach,answer-no-more", from: 18.5, to: 55, proven: 45},
		{trouble: "cut-zone b", ends: "heal-zone", from: 18.5, to: 60, proven: 54.5, provenWithoutCloud: 62.5},
		{trouble: "deaf", ends: "hears", from: 18.5, to: 60, proven: 47, provenWithoutCloud: 62},
	}
	// The leader loses the state service and the other controllers, and goes on answering
	// the workers of these machines, which reach nobody else, while the others, which have
	// seen the next epoch, don't reach it. Copies of their reports come to the next leader.
	reachOldLeader := limitCase{
		trouble: "part MACHINE node-0,part MACHINE node-1", apart: "node-2", from: 18.5, cancel: 28, leaders: "old one goes on",
		changes: []string{"18.5 balance", "20 away node-2", "22 late-reports every=1 by=3 to=leader", "27 late-reports every=0", "66 back all"}, proven: 55, provenWithoutCloud: 63,
	}
	// The new leader has heard the machines, and then their zone is cut off with a
	// controller in it, which answers them.
	cutAfterwards := limitCase{
		trouble: "cut-zone b", ends: "heal-zone", from: 30, to: 62, cancel: 31, leaders: "node-0 leads",
		changes: []string{"20 kill all", "20.5 start node-0", "23.5 start all"}, proven: 59, provenWithoutCloud: 64,
	}
	// It has heard them, and then they hang: their leases end while the cloud is down.
	hangAfterwards := limitCase{trouble: "hang", from: 26, cancel: 28, leaders: "once", changes: changes["once"], proven: 45, provenWithoutCloud: 48}
	for _, c := range []limitCase{reachOldLeader, cutAfterwards, hangAfterwards} {
		for _, c.cloud = range []bool{true, false} {
			t.Run(c.name(), func(t *testing.T) { checkLimits(t, c) })
		}
	}
	for _, how := range slices.Sorted(maps.Keys(changes)) {
		for _, c := range troubles {
			c.leaders, c.changes = how, changes[how]
			for _, cloud := range []bool{true, false} {
				c.cloud = cloud
				if !cloud && c.provenWithoutCloud == 0 {
					continue
				}
				// Before the change of leader, in the last instant of the old one, in and
				// after the change.
				instants := []float64{19.5, 19.98, 22.3, 28}
				if !cloud {
					instants = []float64{19.5, 28}
				}
				for _, c.cancel = range instants {
					t.Run(c.name(), func(t *testing.T) { checkLimits(t, c) })
				}
			}
		}
	}
}

func checkLimits(t *testing.T, c limitCase) {
	w, times := playLimits(t, c)
	fails := func(format string, args ...any) {
		t.Errorf(format+"\n%s", append(args, strings.Join(w.Log, "\n"))...)
	}
	if len(w.Broken) > 0 {
		fails("rules broken: %v", w.Broken)
	}
	for k, x := range times {
		team := []string{"red", "blue", "green"}[k]
		switch lastInstant := leaderEnds-c.cancel > 0 && leaderEnds-c.cancel < 0.1; {
		case x.final == 0 || x.final > c.provenBy():
			fails("%s: cancelled tasks were proven gone at %.1f, and should by %.1f", team, x.final, c.provenBy())
		case x.began == 0 || x.began > max(x.left, x.final)+startsWithin:
			fails("%s: room was proven free at %.1f, what waits for it began at %.1f", team, x.final, x.began)
		case x.began < x.left, x.began < x.final && !lastInstant:
			// What a leader was asked that ended at once the next one does not know: room
			// is then free before the job is cancelled.
			fails("%s: began at %.1f; the last task left at %.1f, proven at %.1f", team, x.began, x.left, x.final)
		}
	}
}

// A team is at its limit when the leader changes, some of its machines can't be asked, as
// neither their reports nor calls to them arrive, and another of its jobs is cancelled
// then. What waits gets the room of that one, and none of the machines that can't be asked,
// whether they come back, or their tasks end and are started again.
func TestLimitWithMachinesOutOfReach(t *testing.T) {
	for _, cloud := range []bool{true, false} {
		for _, until := range []float64{25, 34, 58} {
			for _, cancel := range []float64{19.5, 21, 24} {
				t.Run(fmt.Sprintf("until %g, cancelled at %g, cloud %t", until, cancel, cloud), func(t *testing.T) {
					checkOutOfReach(t, until, cancel, cloud)
				})
			}
		}
	}
}

func checkOutOfReach(t *testing.T, until, cancel float64, cloud bool) {
	w, err := playTrace(`
nodes 3 a b c
team red max=8
type big cpus=8 gpus=2 mem=64 boot=10 zones=a,b
no-capacity
fleet 8 big a
fleet 8 big b
at 4 submit req-000001 array team=red tasks=2 gpus=2 run=900 zone=b
at 4 submit req-000002 array team=red tasks=2 gpus=2 run=900 zone=a
at 12 submit req-000003 array team=red tasks=4 gpus=2 run=900 zone=a
at 18 expect req-000001 running running=2
at 18 expect req-000002 running running=2
at 18 expect req-000003 queued
`, nil)
	if err != nil {
		t.Fatalf("%v\n%s", err, strings.Join(w.Log, "\n"))
	}
	h := &history{}
	for _, m := range w.hostsOfJob("req-000001") {
		h.at(18.5, "if-here %s cut-off", m)
		h.at(until, "if-here %s reach", m)
	}
	if !cloud {
		h.at(18.5, "cloud down")
		h.at(until, "cloud up")
	}
	h.at(20, "kill leader")
	h.at(50, "start all")
	h.at(cancel, "cancel req-000002")
	h.at(35, "expect req-000002 cancelled")
	h.at(35, "expect req-000003 running running=2")
	h.at(90, "expect req-000001 running running=2")
	h.at(90, "expect req-000003 running running=2")
	if err = w.goOn(h.sorted()); err != nil || len(w.Broken) > 0 {
		t.Errorf("%v %v\n%s", err, w.Broken, strings.Join(w.Log, "\n"))
	}
}
