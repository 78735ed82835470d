package simulation

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// Jobs that depend on other jobs, and the rules for them: no task starts before all jobs that
// its job depends on are done, and no job is reported as queued or running more than the cancel
// timeout after one of its dependencies was reported as cancelled.

// dependenciesOf lists the jobs that a job depends on, as far as their users submitted them.
func (w *World) dependenciesOf(j *userJob) []*userJob {
	var list []*userJob
	for _, ref := range j.spec.DependsOn {
		if o := w.jobs[ref]; o != nil {
			list = append(list, o)
		}
	}
	return list
}

// allDependenciesOf lists all jobs that a job depends on, directly or through others.
func (w *World) allDependenciesOf(j *userJob) []*userJob {
	var list []*userJob
	seen := map[*userJob]bool{j: true}
	for queue := []*userJob{j}; len(queue) > 0; {
		for _, o := range w.dependenciesOf(queue[0]) {
			if !seen[o] {
				seen[o] = true
				list, queue = append(list, o), append(queue, o)
			}
		}
		queue = queue[1:]
	}
	return list
}

// checkDependenciesDone checks that a task starts on a machine only after all jobs that its job
// depends on are done. It uses the results on the machines, not the answers to users.
func (w *World) checkDependenciesDone(j *userJob, task string) {
	for _, o := range w.dependenciesOf(j) {
		for i, done := range o.results {
			if !done {
				w.reportViolation("too_early: %s starts before %s/%d is done", task, o.spec.Ref, i)
				return
			}
		}
	}
}

// checkOrphaned checks a phase that was reported to a user: a job must not be reported as queued or
// running if a dependency was reported as cancelled longer ago than the cancel timeout.
func (w *World) checkOrphaned(j *userJob, phase string) {
	if phase != "queued" && phase != "running" {
		return
	}
	for _, o := range w.allDependenciesOf(j) {
		if o.cancelReportedAt > 0 && w.now > o.cancelReportedAt+w.Platform.CancelTimeout {
			w.reportViolation("orphaned: %s is %s, %s was cancelled at %.2f", j.spec.Ref, phase, o.spec.Ref, o.cancelReportedAt.Seconds())
		}
	}
}

// askedToCancel reports whether a user asked to cancel the job or one that it depends on.
func (w *World) askedToCancel(j *userJob) bool {
	for _, o := range w.allDependenciesOf(j) {
		if o.cancelRequested {
			return true
		}
	}
	return j.cancelRequested
}

// dependenciesAccepted reports whether a job may depend on all the jobs that it names: they were
// accepted, and none is a service.
func (w *World) dependenciesAccepted(j *userJob) bool {
	for _, ref := range j.spec.DependsOn {
		if o := w.jobs[ref]; o == nil || !o.accepted || o.spec.Kind == protocol.Service {
			return false
		}
	}
	return true
}

// checkChained checks the answer to the submission of a job that depends on others. The parameter
// dependenciesAccepted is what World.dependenciesAccepted returned when it was submitted.
func (w *World) checkChained(j *userJob, dependenciesAccepted bool, status int, body []byte) {
	if len(j.spec.DependsOn) == 0 {
		return
	}
	switch status {
	case 200, 201:
		if !w.dependenciesAccepted(j) && !dependenciesAccepted {
			w.reportViolation("invented: %s was accepted and awaits a job that was not", j.spec.Ref)
		}
		// A phase that is not final may be older than one reported in the meantime.
		if phase := fastjson.GetString(body, "phase"); phase == "cancelled" || phase == "done" {
			w.checkReportedPhase(j, phase)
		} else if j.endReportedAt == 0 {
			w.checkOrphaned(j, phase)
		}
	case 422:
		if dependenciesAccepted {
			w.reportViolation("refused: %s, all that it awaits was accepted", j.spec.Ref)
		}
	}
}

// actChain carries out chain COUNT FIRST KIND ...: COUNT jobs, numbered from FIRST. Each depends
// on the previous one and is submitted once that is accepted.
func (w *World) actChain(words []string) error {
	count, err := strconv.Atoi(words[1])
	first, err2 := strconv.Atoi(strings.TrimPrefix(words[2], "req-"))
	if err != nil || err2 != nil {
		return errors.New("chain COUNT FIRST KIND")
	}
	return w.submitChain(count, first, words[3:], nil)
}

// actIfKnown carries out a verb that ends in -known: the verb without it, if the job was
// accepted; otherwise nothing.
func (w *World) actIfKnown(words []string) error {
	j := w.jobs[words[1]]
	switch {
	case j == nil || !j.accepted:
		return nil
	case words[0] == "expect-finished-known":
		return w.expect([]string{"finished", words[1]})
	}
	return w.runVerb([]string{strings.TrimSuffix(words[0], "-known"), words[1]})
}

// actResubmit carries out resubmit REF: the job's user repeats the submission.
func (w *World) actResubmit(words []string) error {
	j := w.jobs[words[1]]
	if j == nil {
		return errNoSuchJob
	}
	j.status = 0
	w.submit(j)
	return nil
}

// submitChain submits the remaining jobs of a chain, each as soon as the previous one is
// accepted. It stops if that is refused.
func (w *World) submitChain(left, number int, words []string, previous *userJob) error {
	if left == 0 {
		return nil
	}
	if previous != nil && !previous.accepted {
		if previous.status != 400 && previous.status != 422 {
			w.after(100*protocol.Millisecond, func() { _ = w.submitChain(left, number, words, previous) })
		}
		return nil
	}
	ref := fmt.Sprintf("req-%06d", number)
	line := append([]string{"submit", ref}, words...)
	if previous != nil {
		line = append(line, "awaits="+previous.spec.Ref)
	}
	if err := w.actSubmit(line); err != nil {
		return err
	}
	return w.submitChain(left-1, number+1, words, w.jobs[ref])
}

// submitAfter carries out submit-after REF KIND ...: submits a job as soon as the jobs that it
// depends on are accepted.
func (w *World) submitAfter(words []string) error {
	if len(words) < 3 {
		return fmt.Errorf("submit-after REF KIND")
	}
	if awaits := options(words[3:])["awaits"]; awaits != "" {
		for _, ref := range strings.Split(awaits, ",") {
			o := w.jobs[ref]
			if o == nil || !o.accepted {
				w.after(200*protocol.Millisecond, func() { _ = w.submitAfter(words) })
				return nil
			}
		}
	}
	return w.actSubmit(append([]string{"submit"}, words[1:]...))
}
