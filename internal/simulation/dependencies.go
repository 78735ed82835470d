package simulation

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// What the stand-ins know of jobs that await others, and the rules for them: no task starts
// before all that its job awaits is done, and no job is called queued or running long after
// a user was told that one before it is cancelled.

// awaitedBy lists the jobs that a job awaits, as far as their users submitted them.
func (w *World) awaitedBy(j *userJob) []*userJob {
	var list []*userJob
	for _, ref := range j.spec.DependsOn {
		if o := w.jobs[ref]; o != nil {
			list = append(list, o)
		}
	}
	return list
}

// before lists all jobs that a job needs, directly or through others.
func (w *World) before(j *userJob) []*userJob {
	var list []*userJob
	seen := map[*userJob]bool{j: true}
	for work := []*userJob{j}; len(work) > 0; {
		for _, o := range w.awaitedBy(work[0]) {
			if !seen[o] {
				seen[o] = true
				list, work = append(list, o), append(work, o)
			}
		}
		work = work[1:]
	}
	return list
}

// checkEarly checks, from what the machines did, that a task does not start before all that
// its job awaits is done.
func (w *World) checkEarly(j *userJob, task string) {
	for _, o := range w.awaitedBy(j) {
		for i, done := range o.results {
			if !done {
				w.broken("too_early: %s starts before %s/%d is done", task, o.spec.Ref, i)
				return
			}
		}
	}
}

// checkOrphaned checks a phase that a user was told of.
func (w *World) checkOrphaned(j *userJob, phase string) {
	if phase != "queued" && phase != "running" {
		return
	}
	for _, o := range w.before(j) {
		if o.toldCancelled > 0 && w.now > o.toldCancelled+w.Platform.CancelTimeout {
			w.broken("orphaned: %s is %s, %s was cancelled at %.2f", j.spec.Ref, phase, o.spec.Ref, o.toldCancelled.Seconds())
		}
	}
}

// askedToCancel reports whether the user of a job, or of one that it needs, asked to cancel.
func (w *World) askedToCancel(j *userJob) bool {
	for _, o := range w.before(j) {
		if o.asked {
			return true
		}
	}
	return j.asked
}

// nameable reports whether a user may name all the jobs that a job awaits: they were
// accepted, and none is a service.
func (w *World) nameable(j *userJob) bool {
	for _, ref := range j.spec.DependsOn {
		if o := w.jobs[ref]; o == nil || !o.accepted || o.spec.Kind == protocol.Service {
			return false
		}
	}
	return true
}

// checkChained checks the answer to the submission of a job that awaits others. nameable
// says whether it could name them when it was submitted.
func (w *World) checkChained(j *userJob, nameable bool, status int, body []byte) {
	if len(j.spec.DependsOn) == 0 {
		return
	}
	switch status {
	case 200, 201:
		if !w.nameable(j) && !nameable {
			w.broken("invented: %s was accepted and awaits a job that was not", j.spec.Ref)
		}
		// An answer that is not final may have crossed with a later one.
		if phase := fastjson.GetString(body, "phase"); phase == "cancelled" || phase == "done" {
			w.heard(j, phase)
		} else if j.toldAt == 0 {
			w.checkOrphaned(j, phase)
		}
	case 422:
		if nameable {
			w.broken("refused: %s, all that it awaits was accepted", j.spec.Ref)
		}
	}
}

// actChain: chain COUNT FIRST KIND ...: each depends on the one before and is submitted once that is
// accepted.
func (w *World) actChain(words []string) error {
	count, err := strconv.Atoi(words[1])
	first, err2 := strconv.Atoi(strings.TrimPrefix(words[2], "req-"))
	if err != nil || err2 != nil {
		return errors.New("chain COUNT FIRST KIND")
	}
	return w.submitChain(count, first, words[3:], nil)
}

// actIfKnown: a verb with -known: as without, if the job was submitted.
func (w *World) actIfKnown(words []string) error {
	j := w.jobs[words[1]]
	switch {
	case j == nil || !j.accepted:
		return nil
	case words[0] == "expect-over-known":
		return w.expect([]string{"over", words[1]})
	}
	return w.act([]string{strings.TrimSuffix(words[0], "-known"), words[1]})
}

// actResubmit: resubmit REF: its user repeats the submission.
func (w *World) actResubmit(words []string) error {
	j := w.jobs[words[1]]
	if j == nil {
		return errNoSuchJob
	}
	j.status = 0
	w.submit(j)
	return nil
}

// submitChain submits the next job of a chain and the others after it.
func (w *World) submitChain(left, number int, words []string, last *userJob) error {
	if left == 0 {
		return nil
	}
	if last != nil && !last.accepted {
		if last.status != 400 && last.status != 422 {
			w.after(100*protocol.Millisecond, func() { _ = w.submitChain(left, number, words, last) })
		}
		return nil
	}
	ref := fmt.Sprintf("req-%06d", number)
	line := append([]string{"submit", ref}, words...)
	if last != nil {
		line = append(line, "awaits="+last.spec.Ref)
	}
	if err := w.actSubmit(line); err != nil {
		return err
	}
	return w.submitChain(left-1, number+1, words, w.jobs[ref])
}

// submitAfter: submit-after REF KIND ...: submits a job as soon as the jobs that it awaits are accepted.
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
