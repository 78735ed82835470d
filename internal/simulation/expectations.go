package simulation

import (
	"fmt"
	"strconv"
	"strings"

	"mapleslip/internal/protocol"
	"mapleslip/internal/slo"
)

// expectations are the checks by the word after "expect". Each gets the line from that word on.
// A word that is not in the table is taken for a job, see expectJob.
var expectations = map[string]verb{
	"level":       (*World).expectLevel,
	"level-waits": (*World).expectLevel,
	"leader":      (*World).expectLeader,
	"role":        (*World).expectRole,
	"on":          (*World).expectOn,
	"machines-of": (*World).expectMachinesOf,
	"machines":    func(w *World, words []string) error { return checkEqual(strconv.Itoa(len(w.machines)), words[1]) },
	"machine":     (*World).expectMachine,
	"at-most":     (*World).expectCount,
	"at-least":    (*World).expectCount,
	"all":         (*World).expectAll,
	// ended-loading N: so many nodes ended because of end-while-loading or end-in-role.
	"ended-loading": func(w *World, words []string) error { return checkEqual(strconv.Itoa(w.nodesEnded), words[1]) },
	"config":        func(w *World, words []string) error { return w.expectConfig(words[1:]) },
	"rollout":       func(w *World, words []string) error { return w.expectRollout(words[1:]) },
	"due":           (*World).expectDue,
	"finished":      (*World).expectOver,
	"nothing-stuck": (*World).expectNothingStuck,
	// unanswered SECONDS: no job's user was without an answer for longer.
	"unanswered": func(w *World, words []string) error { return checkAtMost(w.unanswered, words[1]) },
	// cancelled-within SECONDS: no user of cancel-at waited longer for the answer.
	"cancelled-within": func(w *World, words []string) error { return checkAtMost(w.cancelLongest, words[1]) },
	// waits-despite-room SECONDS: since the last "count", no job has waited longer while there was
	// room for it.
	"waits-despite-room": func(w *World, words []string) error { return w.expectWaits(seconds(words[1])) },
	"health":             (*World).expectHealth,
	"old-reports":        (*World).expectOldReports,
	"lost-answers":       (*World).expectLost,
	"conflicts":          (*World).expectLost,
	"written-again":      (*World).expectLost,
	"starts":             func(w *World, words []string) error { return checkEqual(strconv.Itoa(w.started), words[1]) },
	"kept":               (*World).expectKept,
	"known-tasks":        (*World).expectKnownTasks,
	"fits":               (*World).expectLimits,
	"unfit":              (*World).expectLimits,
	// answered STATUS [PHASE]: the answer to the last query-at.
	"answered": func(w *World, words []string) error {
		return checkEqual(w.lastAnswer, strings.Join(words[1:], " "))
	},
	// submitted REF STATUS: the status in the answer to the job's last submission.
	"submitted": func(w *World, words []string) error {
		return checkEqual(strconv.Itoa(w.jobs[words[1]].status), words[2])
	},
}

// expect checks the expectation in a line of a trace.
func (w *World) expect(words []string) error {
	if check := expectations[words[0]]; check != nil {
		return check(w, words)
	}
	return w.expectJob(words)
}

// checkEqual returns an error unless got is what the trace expects.
func checkEqual(got, want string) error {
	if got != want {
		return fmt.Errorf("got %s", got)
	}
	return nil
}

// checkAtMost returns an error if got is longer than limit, in seconds.
func checkAtMost(got micros, limit string) error {
	if got > seconds(limit) {
		return fmt.Errorf("%.1f s", got.Seconds())
	}
	return nil
}

// expectJob checks REF PHASE [done=N] [running=N], as last reported to the job's user.
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

// expectLeader checks leader NODE|none|some.
func (w *World) expectLeader(words []string) error {
	name := "none"
	if n := w.leader(); n != nil {
		name = n.name
	}
	if words[1] == "some" && name != "none" {
		return nil
	}
	return checkEqual(name, words[1])
}

// expectRole checks role NODE ROLE.
func (w *World) expectRole(words []string) error {
	return checkEqual(w.nodeNamed(words[1]).ctl.Role().String(), words[2])
}

// expectOn checks on TASK MACHINE[,MACHINE]|nowhere|somewhere.
func (w *World) expectOn(words []string) error {
	got := w.hostsOf(words[1])
	if words[2] == "somewhere" && got != "nowhere" {
		return nil
	}
	return checkEqual(got, words[2])
}

// expectMachinesOf checks machines-of TYPE N.
func (w *World) expectMachinesOf(words []string) error {
	n := 0
	for _, m := range w.machines {
		if m.typ == words[1] {
			n++
		}
	}
	return checkEqual(strconv.Itoa(n), words[2])
}

// expectMachine checks machine NAME present|absent.
func (w *World) expectMachine(words []string) error {
	got := "present"
	if w.machines[words[1]] == nil {
		got = "absent"
	}
	return checkEqual(got, words[2])
}

// expectCount checks at-most|at-least N WHAT, see countOf.
func (w *World) expectCount(words []string) error {
	limit, err := strconv.Atoi(words[1])
	if err != nil {
		return err
	}
	got := w.countOf(words[2:])
	if words[0] == "at-most" && got > limit || words[0] == "at-least" && got < limit {
		return fmt.Errorf("%d", got)
	}
	return nil
}

// countOf returns the count that words name. "changes" (puts and deletes in the state service),
// "questions" (calls to workers without commands) and "leaders" are counted since the last
// "count", the others from the start.
func (w *World) countOf(words []string) int {
	switch words[0] {
	case "questions":
		return w.emptyCalls - w.emptyCallsAtCount
	case "leaders":
		return w.leaders - w.leadersAtCount
	case "refusals": // invalid submissions that were refused, see sendRefusable
		return w.refusals
	case "refused": // transactions refused because they exceeded the rate of changes
		return w.store.refused
	case "rented": // machines rented
		return w.rented
	case "starts":
		return w.started
	case "compared-answers": // answers compared while follow-up-requests was on
		return w.comparison.answers
	case "cancelled": // jobs reported to a user as cancelled
		cancelled := 0
		for _, j := range w.jobs {
			if j.cancelReportedAt > 0 {
				cancelled++
			}
		}
		return cancelled
	case "unanswered-queries": // queries of query bursts that got neither 200 nor 404
		return w.unansweredQueries
	case "tries": // tries REF: attempts of a job's tasks that machines accepted
		return w.jobs[words[1]].launches
	}
	return w.store.written - w.writtenAtCount
}

// expectAll checks all N PHASE: N jobs are in a phase.
func (w *World) expectAll(words []string) error {
	n := 0
	for _, j := range w.jobs {
		if j.phase == words[2] {
			n++
		}
	}
	return checkEqual(strconv.Itoa(n), words[1])
}

// expectDue checks due class|team|largest NAME SERVED MISSED: the leader's counts for an
// objective.
func (w *World) expectDue(words []string) error {
	kind := map[string]slo.Kind{"class": slo.Class, "team": slo.Team, "largest": slo.Largest}[words[1]]
	got := w.leader().ctl.Snapshot().Objectives[kind][words[2]]
	return checkEqual(fmt.Sprintf("%d %d", got.Served, got.Missed), words[3]+" "+words[4])
}

// expectOver checks finished REF: if the job was accepted, it was reported to its user as done or
// cancelled.
func (w *World) expectOver(words []string) error {
	if j := w.jobs[words[1]]; j.accepted && !j.reportedDone && j.cancelReportedAt == 0 {
		return fmt.Errorf("it is %q", j.phase)
	}
	return nil
}

// expectNothingStuck checks that each accepted job is done or cancelled, or is a service that
// runs and that no user asked to cancel.
func (w *World) expectNothingStuck([]string) error {
	for ref, j := range w.jobs {
		finished := j.reportedDone || j.cancelReportedAt > 0
		serving := j.phase == "running" && j.spec.Kind == protocol.Service && !j.cancelRequested
		if j.accepted && !finished && !serving {
			return fmt.Errorf("%s is %q, done %d, running %d", ref, j.phase, j.done, j.running)
		}
	}
	return nil
}

// expectHealth checks health NODE STATUS: the status that the load balancer's check gets.
func (w *World) expectHealth(words []string) error {
	got := 0
	w.request(w.nodeNamed(words[1]), "health", "", func(status int, _ []byte) { got = status })
	return checkEqual(strconv.Itoa(got), words[2])
}

// expectKept checks kept KEY yes|no: whether the key is in the state service.
func (w *World) expectKept(words []string) error {
	got := "no"
	if w.store.keys[words[1]] != nil {
		got = "yes"
	}
	return checkEqual(got, words[2])
}
