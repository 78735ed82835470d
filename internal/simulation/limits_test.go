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

// limitSetup has three teams. Each is at its limit with one job in zone b, and has a second job,
// in zone a, that waits for the same room under the limit. The jobs are an array, a gang and a
// service, in a different order for each team. There are enough machines for all jobs, so that
// only the limits make a job wait.
const limitSetup = `
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

// limitCase is a fault of the machines on which the jobs run, a change of leader, and the time
// at which the jobs are cancelled.
type limitCase struct {
	// Verbs applied to the affected machines, or "cut-zone b"; MACHINE is replaced by each of
	// their names.
	fault              string
	recovery           string  // verbs that end the fault
	partitionedFrom    string  // a controller that the other machines don't reach from then on
	faultFrom, faultTo float64 // times of the fault; faultTo 0: it lasts for the whole test
	cancelAt           float64 // when the users cancel the jobs
	leaderChange       string  // how the leader changes, for the name of the test
	// Lines with their times, which change the leader; the first change is at leaderEnds.
	events  []string
	cloudUp bool // false: the cloud is down until cloudBack, no release is proof
	// When the cancelled tasks have to be proven gone at the latest. With the cloud this is half
	// of the time allowed for a cancellation. Without it, this is when the worker's lease has
	// expired, if the leader is in contact with the controllers that may have renewed it, or
	// else when the machine or the cloud is back.
	proven, provenWithoutCloud float64
}

const (
	leaderEnds = 20.0
	cloudBack  = 60.0
	limitsEnd  = 78.0
	// maxStartDelay is the longest that a task may take to start once its room is proven free:
	// a scheduling cycle, the record of its launch, and two seconds for its image.
	maxStartDelay = 3.0
)

func (c limitCase) name() string {
	name := fmt.Sprintf("%s from %g to %g/%s/cancelled at %g", c.fault, c.faultFrom, c.faultTo, c.leaderChange, c.cancelAt)
	if !c.cloudUp {
		name += ", no cloud"
	}
	return name
}

// provenBy returns when the cancelled tasks have to be proven gone at the latest.
func (c limitCase) provenBy() float64 {
	if c.cloudUp {
		return c.proven
	}
	return c.provenWithoutCloud
}

// hostsOfJob returns the names of the machines that run tasks of a job.
func (w *World) hostsOfJob(ref string) []string {
	var names []string
	for _, m := range w.sortedMachines() {
		for _, t := range m.sorted() {
			if t.onMachine && t.job.spec.Ref == ref {
				names = append(names, m.name)
				break
			}
		}
	}
	return names
}

// playMore plays more lines in a world whose trace has been played.
func (w *World) playMore(lines []timedLine) error {
	for _, l := range lines {
		w.Run(protocol.FromSeconds(l.at))
		if err := w.runVerb(strings.Fields(l.text)); err != nil {
			return fmt.Errorf("at %g %s: %w", l.at, l.text, err)
		}
	}
	return nil
}

// tasksOnMachines counts the tasks of a job that are on machines.
func (w *World) tasksOnMachines(ref string) (n int) {
	for _, m := range w.sortedMachines() {
		for _, t := range m.tasks {
			if t.onMachine && t.job.spec.Ref == ref {
				n++
			}
		}
	}
	return n
}

// limitTimes has the times observed for a team's two jobs.
type limitTimes struct {
	lastLeft   float64 // when the last task of the cancelled job left its machine
	final      float64 // when the cancellation was recorded, which is after all tasks are proven gone
	allStarted float64 // when all tasks of the waiting job ran
}

// playLimits plays a case and returns the times of the three teams.
func playLimits(t *testing.T, c limitCase) (*World, [3]limitTimes) {
	t.Helper()
	w, err := playTrace(limitSetup, nil)
	if err != nil {
		t.Fatalf("%v\n%s", err, strings.Join(w.Log, "\n"))
	}
	h := c.history(w)
	var times [3]limitTimes
	lines := h.sorted()
	for at := 18.0; at <= limitsEnd; at += 0.1 {
		for ; len(lines) > 0 && lines[0].at <= at; lines = lines[1:] {
			if err := w.playMore(lines[:1]); err != nil {
				t.Fatalf("%v\n%s", err, strings.Join(w.Log, "\n"))
			}
		}
		w.Run(protocol.FromSeconds(at))
		for k := range times {
			cancelled, waits := fmt.Sprintf("req-%06d", k+1), fmt.Sprintf("req-%06d", k+11)
			if w.tasksOnMachines(cancelled) > 0 {
				times[k].lastLeft = at
			}
			if times[k].final == 0 && w.store.keys[records.FinalPrefix+cancelled] != nil {
				times[k].final = at
			}
			if times[k].allStarted == 0 && w.tasksOnMachines(waits) == 4 {
				times[k].allStarted = at
			}
		}
	}
	return w, times
}

// history returns the events of a case. The fault affects two of the four machines of each
// cancelled job, or their whole zone.
func (c limitCase) history(w *World) *historyBuilder {
	var affected []string
	for k := range 3 {
		affected = append(affected, w.hostsOfJob(fmt.Sprintf("req-%06d", k+1))[1:3]...)
	}
	h := &historyBuilder{}
	addFault := func(at float64, what string) {
		if strings.Contains(what, "zone") {
			h.at(at, "%s", what)
			return
		}
		for _, m := range affected {
			for _, word := range strings.Split(what, ",") {
				if line := strings.ReplaceAll(word, "MACHINE", m); line != word {
					h.at(at, "%s", line)
				} else {
					h.at(at, "if-present %s %s", m, word)
				}
			}
		}
	}
	addFault(c.faultFrom, c.fault)
	if c.faultTo > 0 {
		addFault(c.faultTo, c.recovery)
	}
	for _, m := range w.sortedMachines() {
		if c.partitionedFrom != "" && !slices.Contains(affected, m.name) {
			h.at(c.faultFrom, "unlink-worker %s %s", m.name, c.partitionedFrom)
		}
	}
	if !c.cloudUp {
		h.at(c.faultFrom, "cloud down")
		h.at(cloudBack, "cloud up")
	}
	for k := range 3 {
		h.at(c.cancelAt, "cancel req-%06d", k+1)
	}
	for _, line := range c.events {
		at, what, _ := strings.Cut(line, " ")
		seconds, _ := strconv.ParseFloat(at, 64)
		h.at(seconds, "%s", what)
	}
	return h
}

// Every team is at its limit when its running job is cancelled. Machines of that job hang, are
// cut off, or receive nothing, and the leader changes. No limit is exceeded at any time, which
// the simulation checks at each start. The job that waits for the room starts as soon as the
// last cancelled task is proven gone, and not before.
func TestTeamsAtTheirLimits(t *testing.T) {
	changes := map[string][]string{
		"once":          {"20 kill leader", "50 start all"},
		"several times": {"20 restart leader after=0.5", "23 restart leader after=0.5", "26 restart leader after=0.5", "32 restart leader after=3", "37 restart leader after=0.1"},
		"all end":       {"20 kill all", "23 start all"},
	}
	faults := []limitCase{
		// The machines hang for less than the lease, for longer, and for the whole test.
		{fault: "hang", recovery: "resume", faultFrom: 18.5, faultTo: 31, proven: 33, provenWithoutCloud: 34.5},
		{fault: "hang", recovery: "resume", faultFrom: 18.5, faultTo: 45, proven: 45, provenWithoutCloud: 48},
		{fault: "hang", faultFrom: 18.5, proven: 45, provenWithoutCloud: 62},
		// The messages are held, and delivered when the machines can be reached again.
		{fault: "disconnect-machine", recovery: "reconnect-machine", faultFrom: 18.5, faultTo: 48, proven: 45, provenWithoutCloud: 50},
		// A controller that is not part of the simulation goes on answering the workers.
		{fault: "disconnect-machine,renew-lease", recovery: "reconnect-machine,stop-renewing-lease", faultFrom: 18.5, faultTo: 55, proven: 45},
		{fault: "cut-zone b", recovery: "heal-zone", faultFrom: 18.5, faultTo: 60, proven: 54.5, provenWithoutCloud: 62.5},
		{fault: "drop-inbound", recovery: "allow-inbound", faultFrom: 18.5, faultTo: 60, proven: 47, provenWithoutCloud: 62},
	}
	// The leader is cut off from the state service and the other controllers, and goes on
	// answering the workers of the affected machines, which reach no other controller. The other
	// machines, which have seen the next epoch, don't reach it. The next leader receives copies
	// of heartbeats.
	reachOldLeader := limitCase{
		fault: "unlink-worker MACHINE node-0,unlink-worker MACHINE node-1", partitionedFrom: "node-2", faultFrom: 18.5, cancelAt: 28, leaderChange: "old one goes on",
		events: []string{"18.5 balance", "20 isolate node-2", "22 late-reports every=1 by=3 to=leader", "27 late-reports every=0", "66 unisolate all"}, proven: 55, provenWithoutCloud: 63,
	}
	// The new leader has received heartbeats of the machines before their zone is cut off, along
	// with a controller in it that answers them.
	cutAfterwards := limitCase{
		fault: "cut-zone b", recovery: "heal-zone", faultFrom: 30, faultTo: 62, cancelAt: 31, leaderChange: "node-0 leads",
		events: []string{"20 kill all", "20.5 start node-0", "23.5 start all"}, proven: 59, provenWithoutCloud: 64,
	}
	// The new leader has received their heartbeats before the machines hang: their leases expire
	// while the cloud is down.
	hangAfterwards := limitCase{fault: "hang", faultFrom: 26, cancelAt: 28, leaderChange: "once", events: changes["once"], proven: 45, provenWithoutCloud: 48}
	for _, c := range []limitCase{reachOldLeader, cutAfterwards, hangAfterwards} {
		for _, c.cloudUp = range []bool{true, false} {
			t.Run(c.name(), func(t *testing.T) { checkLimits(t, c) })
		}
	}
	for _, name := range slices.Sorted(maps.Keys(changes)) {
		for _, c := range faults {
			c.leaderChange, c.events = name, changes[name]
			for _, cloud := range []bool{true, false} {
				c.cloudUp = cloud
				if !cloud && c.provenWithoutCloud == 0 {
					continue
				}
				// Before the change of leader, just before the old leader ends, during the
				// change, and after it.
				instants := []float64{19.5, 19.98, 22.3, 28}
				if !cloud {
					instants = []float64{19.5, 28}
				}
				for _, c.cancelAt = range instants {
					t.Run(c.name(), func(t *testing.T) { checkLimits(t, c) })
				}
			}
		}
	}
}

func checkLimits(t *testing.T, c limitCase) {
	w, times := playLimits(t, c)
	fail := func(format string, args ...any) {
		t.Errorf(format+"\n%s", append(args, strings.Join(w.Log, "\n"))...)
	}
	if len(w.Broken) > 0 {
		fail("rules broken: %v", w.Broken)
	}
	for k, got := range times {
		team := []string{"red", "blue", "green"}[k]
		switch lastInstant := leaderEnds-c.cancelAt > 0 && leaderEnds-c.cancelAt < 0.1; {
		case got.final == 0 || got.final > c.provenBy():
			fail("%s: cancelled tasks were proven gone at %.1f, want by %.1f", team, got.final, c.provenBy())
		case got.allStarted == 0 || got.allStarted > max(got.lastLeft, got.final)+maxStartDelay:
			fail("%s: room was proven free at %.1f, all tasks of the waiting job ran at %.1f", team, got.final, got.allStarted)
		case got.allStarted < got.lastLeft, got.allStarted < got.final && !lastInstant:
			// A leader that ends right after a request may not have recorded it, so that
			// the next leader does not know of it: room can then be free before the job
			// is recorded as cancelled.
			fail("%s: the waiting job ran at %.1f, before the last cancelled task left at %.1f or was proven gone at %.1f", team, got.allStarted, got.lastLeft, got.final)
		}
	}
}

// A team is at its limit when the leader changes, while some of its machines are unreachable:
// neither their heartbeats nor calls to them arrive. Another of the team's jobs is cancelled
// then. The waiting job gets the room of the cancelled one, and none of the room of the
// unreachable machines, whether these come back, or their tasks end and are started again.
func TestLimitWithMachinesOutOfReach(t *testing.T) {
	for _, cloud := range []bool{true, false} {
		for _, until := range []float64{25, 34, 58} {
			for _, cancel := range []float64{19.5, 21, 24} {
				t.Run(fmt.Sprintf("unreachable until %g, cancelled at %g, cloud %t", until, cancel, cloud), func(t *testing.T) {
					checkUnreachableMachines(t, until, cancel, cloud)
				})
			}
		}
	}
}

func checkUnreachableMachines(t *testing.T, until, cancel float64, cloud bool) {
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
	h := &historyBuilder{}
	for _, m := range w.hostsOfJob("req-000001") {
		h.at(18.5, "if-present %s disconnect-machine", m)
		h.at(until, "if-present %s reconnect-machine", m)
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
	if err = w.playMore(h.sorted()); err != nil || len(w.Broken) > 0 {
		t.Errorf("%v %v\n%s", err, w.Broken, strings.Join(w.Log, "\n"))
	}
}
