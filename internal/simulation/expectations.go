package simulation

import (
	"fmt"
	"strconv"

	"mapleslip/internal/protocol"
	"mapleslip/internal/slo"
)

// expectations are the words after "expect"; words has the line from that word on. One that is
// none of them is a job.
var expectations = map[string]verb{
	"level":             (*World).expectLevel,
	"level-waits":       (*World).expectLevel,
	"leader":            (*World).expectLeader,
	"role":              (*World).expectRole,
	"on":                (*World).expectOn,
	"machines-of":       (*World).expectMachinesOf,
	"machines":          func(w *World, words []string) error { return differs(strconv.Itoa(len(w.machines)), words[1]) },
	"machine":           (*World).expectMachine,
	"at-most":           (*World).expectCount,
	"at-least":          (*World).expectCount,
	"all":               (*World).expectAll,
	"ended-loading":     func(w *World, words []string) error { return differs(strconv.Itoa(w.endedLoading), words[1]) }, // so many nodes did since ends-loading
	"config":            func(w *World, words []string) error { return w.expectConfig(words[1:]) },
	"rollout":           func(w *World, words []string) error { return w.expectRollout(words[1:]) }, // rollout SERVICE STATE [healthy=N] [reason=TEXT]
	"due":               (*World).expectDue,
	"over":              (*World).expectOver,
	"nothing-stuck":     (*World).expectNothingStuck,
	"unanswered":        func(w *World, words []string) error { return longerThan(w.unanswered, words[1]) },    // unanswered SECONDS: no job's user was left without an answer for longer
	"cancelled-within":  func(w *World, words []string) error { return longerThan(w.cancelLongest, words[1]) }, // cancelled-within SECONDS: each user of cancel-at was answered that soon
	"waits-beside-room": func(w *World, words []string) error { return w.expectWaits(seconds(words[1])) },      // waits-beside-room SECONDS: no job has, since the count began, for longer
	"health":            (*World).expectHealth,
	"old-reports":       (*World).expectOldReports,
	"lost-answers":      (*World).expectLost,
	"conflicts":         (*World).expectLost,
	"written-again":     (*World).expectLost,
	"starts":            func(w *World, words []string) error { return differs(strconv.Itoa(w.started), words[1]) },
	"kept":              (*World).expectKept,
	"fits":              (*World).expectLimits,
	"unfit":             (*World).expectLimits,
	"submitted":         func(w *World, words []string) error { return differs(strconv.Itoa(w.jobs[words[1]].status), words[2]) }, // submitted REF STATUS
}

// expect checks one expectation.
func (w *World) expect(words []string) error {
	if check := expectations[words[0]]; check != nil {
		return check(w, words)
	}
	return w.expectJob(words)
}

func differs(got, want string) error {
	if got != want {
		return fmt.Errorf("got %s", got)
	}
	return nil
}

func longerThan(got micros, word string) error {
	if got > seconds(word) {
		return fmt.Errorf("%.1f s", got.Seconds())
	}
	return nil
}

// expectJob: REF PHASE [done=N] [running=N].
func (w *World) expectJob(words []string) error {
	j := w.jobs[words[0]]
	if j == nil {
		return errNoSuchJob
	}
	if j.phase != words[1] {
		return fmt.Errorf("it is %q, done %d, running %d", j.phase, j.done, j.running)
	}
	o := options(words[2:])
	for name, got := range map[string]int{"done": j.done, "running": j.running} {
		if want, ok := o[name]; ok && want != strconv.Itoa(got) {
			return fmt.Errorf("%s is %d", name, got)
		}
	}
	return nil
}

// expectLeader: leader NODE, none, or some.
func (w *World) expectLeader(words []string) error {
	name := "none"
	if n := w.leader(); n != nil {
		name = n.name
	}
	if words[1] == "some" && name != "none" {
		return nil
	}
	return differs(name, words[1])
}

// expectRole: role NODE ROLE.
func (w *World) expectRole(words []string) error {
	return differs(w.nodeNamed(words[1]).ctl.Role().String(), words[2])
}

// expectOn: on TASK MACHINE[,MACHINE] or nowhere, or somewhere.
func (w *World) expectOn(words []string) error {
	got := w.hostsOf(words[1])
	if words[2] == "somewhere" && got != "nowhere" {
		return nil
	}
	return differs(got, words[2])
}

// expectMachinesOf: machines-of TYPE N.
func (w *World) expectMachinesOf(words []string) error {
	n := 0
	for _, m := range w.machines {
		if m.typ == words[1] {
			n++
		}
	}
	return differs(strconv.Itoa(n), words[2])
}

// expectMachine: machine NAME here|gone.
func (w *World) expectMachine(words []string) error {
	got := "here"
	if w.machines[words[1]] == nil {
		got = "gone"
	}
	return differs(got, words[2])
}

// expectCount: at-most|at-least N WHAT, see counted.
func (w *World) expectCount(words []string) error {
	limit, err := strconv.Atoi(words[1])
	if err != nil {
		return err
	}
	got := w.counted(words[2:])
	if words[0] == "at-most" && got > limit || words[0] == "at-least" && got < limit {
		return fmt.Errorf("%d", got)
	}
	return nil
}

// counted is how much there was of something: of changes, questions and leaders since the count
// began, of the others in all.
func (w *World) counted(words []string) int {
	switch words[0] {
	case "questions":
		return w.questions - w.asked
	case "leaders":
		return w.leaders - w.led
	case "refusals": // of odd requests
		return w.refusals
	case "refused": // transactions
		return w.store.refused
	case "rented": // machines
		return w.rented
	case "starts":
		return w.started
	case "looks": // answers of close looks that were compared
		return w.looks.answers
	case "cancelled": // jobs
		cancelled := 0
		for _, j := range w.jobs {
			if j.toldCancelled > 0 {
				cancelled++
			}
		}
		return cancelled
	case "in-vain": // questions of storms that got no answer
		return w.inVain
	case "tries": // tries REF
		return w.jobs[words[1]].tries
	}
	return w.store.written - w.written
}

// expectAll: all N PHASE: so many jobs are in a phase.
func (w *World) expectAll(words []string) error {
	n := 0
	for _, j := range w.jobs {
		if j.phase == words[2] {
			n++
		}
	}
	return differs(strconv.Itoa(n), words[1])
}

// expectDue: due class|team|largest NAME SERVED MISSED, as the leader counts.
func (w *World) expectDue(words []string) error {
	kind := map[string]slo.Kind{"class": slo.Class, "team": slo.Team, "largest": slo.Largest}[words[1]]
	got := w.leader().ctl.Snapshot().Objectives[kind][words[2]]
	return differs(fmt.Sprintf("%d %d", got.Served, got.Missed), words[3]+" "+words[4])
}

// expectOver: over REF: its user was told that it is done or cancelled.
func (w *World) expectOver(words []string) error {
	if j := w.jobs[words[1]]; j.accepted && !j.toldDone && j.toldCancelled == 0 {
		return fmt.Errorf("it is %q", j.phase)
	}
	return nil
}

// expectNothingStuck: whatever was accepted runs or is over.
func (w *World) expectNothingStuck([]string) error {
	for ref, j := range w.jobs {
		over := j.toldDone || j.toldCancelled > 0
		serves := j.phase == "running" && j.spec.Kind == protocol.Service && !j.asked
		if j.accepted && !over && !serves {
			return fmt.Errorf("%s is %q, done %d, running %d", ref, j.phase, j.done, j.running)
		}
	}
	return nil
}

// expectHealth: health NODE STATUS, as the balancer sees it.
func (w *World) expectHealth(words []string) error {
	got := 0
	w.request(w.nodeNamed(words[1]), "health", "", func(status int, _ []byte) { got = status })
	return differs(strconv.Itoa(got), words[2])
}

// expectKept: kept KEY yes|no.
func (w *World) expectKept(words []string) error {
	got := "no"
	if w.store.keys[words[1]] != nil {
		got = "yes"
	}
	return differs(got, words[2])
}
