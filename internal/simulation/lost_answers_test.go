package simulation

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"

	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
)

// lostAnswerCase is one kind of call to the state service whose answer is lost.
type lostAnswerCase struct {
	name           string
	setup          string // lines without a time besides those of lostSetup
	lines          string // events, each line with its time
	lost           string // a time, and which answers are lost from then on
	maxLost        int    // how many answers are lost, 0: one
	expected       string // expectation at the end
	linesIfRunning string // further lines, for when the writer keeps running
}

const lostSetup = `nodes 3 a b c
team red max=12
type big cpus=8 gpus=2 mem=64 boot=10 zones=a,b,d
type huge cpus=800 gpus=1000 mem=6400 boot=10 zones=a
no-capacity
fleet 4 big a
`

var lostAnswerCases = []lostAnswerCase{
	{name: "first claim", lost: `0 with={"set":"lead"`, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=10`},
	{name: "claim", lost: `11.5 with={"set":"lead"`, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=8
11 count
12 kill leader
13 submit req-000002 array tasks=2 gpus=1 run=5`, linesIfRunning: `
25 expect at-most 1 leaders
30 kill leader
45 expect leader some`},
	{name: "lease created", lost: `11.5 path=/leases method=POST`, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=20
12 kill leader
13 submit req-000002 array tasks=2 gpus=1 run=5`, linesIfRunning: `
30 kill leader
45 expect leader some`},
	{name: "lease renewed", lost: `12 path=/extend`, maxLost: 2, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=20
13 submit req-000002 array tasks=2 gpus=1 run=5
14 submit req-000003 array tasks=2 gpus=1 run=900
15 cancel req-000003`, linesIfRunning: `
11 count
45 expect at-most 0 leaders`},
	{name: "lease ended", lost: `11.5 path= method=DELETE`, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=20
12 restart leader after=0.05
13 submit req-000002 array tasks=2 gpus=1 run=5`},
	{name: "lease released", lost: `11.5 with={"drop":"lead"`, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=40
12 drop-worker-traffic leader
30 submit req-000002 array tasks=2 gpus=1 run=5
50 allow-worker-traffic all`},
	{name: "accepted by the leader", lost: `3 with={"set":"j/req-000001"`, lines: `
4 submit-at leader req-000001 array tasks=4 gpus=1 run=10`, expected: `submitted req-000001 200`},
	{name: "accepted by a follower", lost: `3 with={"set":"j/req-000001"`, lines: `
4 cut-zone c
4.1 submit-at node-0 req-000001 array tasks=4 gpus=1 run=10
6.5 heal-zone`, expected: `submitted req-000001 200`},
	{name: "cancellation request", lost: `11 with="cancelAskedAt"`, lines: `
4 submit req-000001 array tasks=1 gpus=2 run=900
12 hang n-000001
12 hang n-000002
12 hang n-000003
12 hang n-000004
12.1 cancel req-000001
15 if-present n-000001 resume
15 if-present n-000002 resume
15 if-present n-000003 resume
15 if-present n-000004 resume`, expected: `req-000001 cancelled`, linesIfRunning: `
50 expect conflicts 2`},
	{name: "completions of small arrays", lost: `5 with={"set":"dp/`, lines: `
4 submit req-000001 array tasks=20 gpus=1 run=8
4 submit req-000002 array tasks=3 gpus=1 run=8`, expected: `starts 23`},
	{name: "completions of a large array", lost: `5 with={"set":"d/`, setup: "fleet 1 huge a\n", lines: `
4 submit req-000001 array tasks=2500 gpus=0.004 cpus=1 mem=1 run=6 types=huge`, expected: `starts 2500`},
	{name: "done", lost: `5 with={"set":"f/`, maxLost: 2, lines: `
4 submit req-000001 array tasks=4 gpus=1 run=8
4 submit req-000002 array tasks=4 gpus=1 run=8`, expected: `starts 8`},
	{name: "cancelled", lost: `5 with={"set":"f/`, lines: `
4 submit req-000001 array tasks=4 gpus=1 run=900
12 cancel req-000001`, expected: `req-000001 cancelled`},
	{name: "hosts", lost: `0 with={"set":"hp/`, lines: `
1 submit req-000001 array tasks=8 gpus=1 run=10`, expected: `starts 8`},
	{name: "launches", lost: `3 with={"set":"lp/`, maxLost: 2, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=30
4 submit req-000002 array tasks=4 gpus=1 run=5`, expected: `starts 12`},
	{name: "bookings", lost: `5 with={"set":"bp/`, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=25
9 submit req-000002 array tasks=4 gpus=1 run=5 deadline=90
60 submit req-000003 array tasks=8 gpus=1 run=25
65 submit req-000004 array tasks=4 gpus=1 run=5 deadline=90`},
	{name: "machine types", lost: `0 with={"set":"types"`, lines: `
3 submit req-000001 array tasks=8 gpus=1 run=10`, expected: `starts 8`},
	{name: "handover state", lost: `5 with={"set":"seen"`, setup: "fleet 4 big d\n", lines: `
4 submit req-000001 array tasks=6 gpus=2 run=30
14 cut-zone d
32 heal-zone`},
	{name: "configuration", lost: `5 with={"set":"cfg/head"`, setup: "changes\n", lines: `
4 submit req-000001 array tasks=30 gpus=1 run=3
8 config team/red/gpus_max=3
20 config team/red/gpus_max=6
60 config team/red/gpus_max=8
80 expect config settled
80 expect config revision 3
80 expect config history`},
	{name: "configuration, nothing else going on", lost: `5 with={"set":"cfg/head"`, setup: "changes\n", lines: `
8 config team/red/gpus_max=3
140 expect config settled`},
	{name: "roll-out", lost: `11 with={"set":"ro/`, maxLost: 2, setup: "rollouts\n", lines: `
2 submit req-000001 service tasks=2 image=img-1
12 rollout r-1 picker image=img-2 count=2 floor=2 surge=2 stages=1,2 soak=5 adopt=req-000001
90 expect rollout picker done new=2`},
	{name: "orphans dropped", lost: `0 with={"drop":"b/req`, setup: orphanRecords(20), lines: `
3 submit req-000001 array tasks=8 gpus=1 run=10
60 expect kept b/req-000501 no
60 expect kept b/req-000520 no`},
	{name: "all launches recorded", lost: fmt.Sprintf(`0 with="epoch":%d}}]}`, leadership.NextEpoch(6)), setup: "record epoch 6\n", lines: `
3 submit req-000001 array tasks=8 gpus=1 run=10`, expected: `starts 8`},
}

// orphanRecords returns bookings of jobs that don't exist, more than one transaction can drop.
func orphanRecords(count int) string {
	text := ""
	for i := range count {
		text += fmt.Sprintf("record b/req-%06d 1700000000\n", 501+i)
	}
	return text
}

const writerKeepsRunning = "the writer keeps running"

// What happens to the writer once its call has been carried out and the answer is lost.
var writerOutcomes = map[string]string{
	writerKeepsRunning:                          "then=stays",
	"the writer restarts at once":               "then=ends back=0.05",
	"the writer restarts later":                 "then=ends back=3",
	"the writer ends, another controller leads": "then=ends",
	"the writer is cut off":                     "then=isolated back=1.6",
}

// trace returns the trace of the case.
func (c *lostAnswerCase) trace(then string) string {
	h := &historyBuilder{}
	add := func(line string) {
		at, text, _ := strings.Cut(strings.TrimSpace(line), " ")
		if when, err := strconv.ParseFloat(at, 64); err == nil {
			h.at(when, "%s", text)
		}
	}
	for _, line := range strings.Split(c.lines, "\n") {
		add(line)
	}
	at, rule, _ := strings.Cut(c.lost, " ")
	add(fmt.Sprintf("%s lose-answers-of %s most=%d %s", at, rule, max(1, c.maxLost), then))
	add("50 lose-answers-of nothing")
	add("50 start all")
	add("50 expect lost-answers 1")
	if then == writerOutcomes[writerKeepsRunning] {
		for _, line := range strings.Split(c.linesIfRunning, "\n") {
			add(line)
		}
	}
	add("110 expect unanswered 30")
	add("110 count") // from here on there is nothing to do, and no write is retried endlessly
	add("140 expect at-most 10 changes")
	add("140 expect leader some")
	add("140 expect nothing-stuck")
	if c.name != "configuration, nothing else going on" {
		add("140 expect written-again")
	}
	if c.expected != "" {
		add("140 expect " + c.expected)
	}
	sort.SliceStable(h.lines, func(a, b int) bool { return h.lines[a].at < h.lines[b].at })
	text := lostSetup + c.setup
	for _, l := range h.lines {
		text += fmt.Sprintf("at %g %s\n", l.at, l.text)
	}
	return text
}

// A call to the state service is carried out at once and only its answer is lost, while users
// query all controllers and repeat their submissions. The writer keeps running, ends, or is cut
// off. No user receives a status older than an earlier one, no task runs twice or gets stuck,
// and the writer writes again every record of which it can't know that it was stored.
func TestLostAnswers(t *testing.T) {
	for _, c := range lostAnswerCases {
		for name, then := range writerOutcomes {
			t.Run(c.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				text := c.trace(then)
				if w, err := playTrace(text, nil); err != nil {
					t.Errorf("%v\ntrace:\n%s\nevent log:\n%s", err, text, strings.Join(w.Log, "\n"))
				}
			})
		}
	}
}

// The state service's answer to the write of a submission arrives late. Meanwhile the writer has
// read the job's record otherwise, the user has cancelled the job and received the answer, and
// the writer has dropped the job, in the same term or in a later one. The late answer must not
// revive the job.
func TestLateAnswerToSubmission(t *testing.T) {
	setup := `nodes 2
team red
type big cpus=8 gpus=2 mem=64 boot=10 zones=a
no-capacity
fleet 4 big a
at 3 expect leader node-0
at 3.5 lose-answers-of with={"set":"j/req-000001" by=%g
`
	for name, lines := range map[string]string{
		"submitted to the leader": `at 4.1 submit-at node-0 req-000001 array tasks=2 gpus=1 run=600
at 4.35 submit-at node-0 req-000001 array tasks=2 gpus=1 run=600
at 4.5 cancel req-000001
`,
		"submitted to a follower that leads since": `at 4 restart leader after=0.05
at 4.02 submit-at node-1 req-000001 array tasks=2 gpus=1 run=600
at 4.5 submit-at node-1 req-000001 array tasks=2 gpus=1 run=600
at 4.6 cancel req-000001
`,
	} {
		t.Run(name, func(t *testing.T) {
			arrivedLate := 0
			for by := 0.3; by < 1.45; by += 0.05 {
				text := fmt.Sprintf(setup, by) + lines + "at 30 expect lost-answers 1\nat 30 expect req-000001 cancelled\nat 30 expect starts 0\n"
				w, err := playTrace(text, nil)
				if err != nil {
					t.Fatalf("%v\ntrace:\n%s\nevent log:\n%s", err, text, strings.Join(w.Log, "\n"))
				}
				if w.jobs["req-000001"].endReportedAt < protocol.FromSeconds(4.1+by) {
					arrivedLate++
				}
			}
			if arrivedLate == 0 {
				t.Error("the answer never arrived after the cancellation was reported")
			}
		})
	}
}

// The answer to a follower's call arrives late, when the follower has just become the leader.
// Another leader has ended the job meanwhile, and the new one has not yet read which jobs are
// over.
func TestLateAnswerAcrossLeaders(t *testing.T) {
	setup := `nodes 3
team red
type big cpus=8 gpus=2 mem=64 boot=10 zones=a
capacity big/b=1
at 3 expect leader node-2
at 3 state-slow 0.04
at 4 kill leader
%s
at 15 state-slow 0
at 15 expect lost-answers 1
at 15 expect req-000001 cancelled
at 30 expect starts 0
`
	for name, lines := range map[string]string{
		"answer to a submission": `at 5 lose-answers-of with={"set":"j/req-000001" by=%g
at 5.6 submit-at node-0 req-000001 array tasks=2 gpus=1 run=600
at 6.01 cancel req-000001
at 6.15 restart leader after=0.05
at 7 expect leader node-0`,
		"answer to a read of the job": `at 5.3 submit-at node-1 req-000001 array tasks=2 gpus=1 run=600
at 5.5 lose-answers-of path=/store/j/req-000001 by=%g
at 5.6 submit-at node-1 req-000001 array tasks=2 gpus=1 run=600
at 6.01 cancel req-000001
at 6.15 restart leader after=0.05
at 7 expect leader node-1`,
	} {
		t.Run(name, func(t *testing.T) {
			for by := 0.9; by < 1.3; by += 0.01 {
				text := fmt.Sprintf(setup, fmt.Sprintf(lines, by))
				if w, err := playTrace(text, nil); err != nil {
					t.Fatalf("%v\ntrace:\n%s\nevent log:\n%s", err, text, strings.Join(w.Log, "\n"))
				}
			}
		})
	}
}
