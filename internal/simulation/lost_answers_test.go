package simulation

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"

	"mapleslip/internal/protocol"
)

// lostKind is one kind of call to the state service whose answer is lost.
type lostKind struct {
	name  string
	scene string // besides the usual one
	lines string // what happens, each line with its instant
	loses string // which answers are lost, from the instant that it begins with
	most  int    // how many, 0: one
	ends  string // what is expected at the end
	stays string // lines besides, where the writer stays
}

const lostScene = `nodes 3 a b c
team red max=12
type big cpus=8 gpus=2 mem=64 boot=10 zones=a,b,d
type huge cpus=800 gpus=1000 mem=6400 boot=10 zones=a
no-capacity
fleet 4 big a
`

var lostKinds = []lostKind{
	{name: "first claim", loses: `0 with={"set":"lead"`, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=10`},
	{name: "claim", loses: `11.5 with={"set":"lead"`, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=8
11 count
12 kill leader
13 submit req-000002 array tasks=2 gpus=1 run=5`, stays: `
25 expect at-most 1 leaders
30 kill leader
45 expect leader some`},
	{name: "lease made", loses: `11.5 path=/leases method=POST`, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=20
12 kill leader
13 submit req-000002 array tasks=2 gpus=1 run=5`, stays: `
30 kill leader
45 expect leader some`},
	{name: "lease renewed", loses: `12 path=/extend`, most: 2, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=20
13 submit req-000002 array tasks=2 gpus=1 run=5
14 submit req-000003 array tasks=2 gpus=1 run=900
15 cancel req-000003`, stays: `
11 count
45 expect at-most 0 leaders`},
	{name: "lease ended", loses: `11.5 path= method=DELETE`, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=20
12 restart leader after=0.05
13 submit req-000002 array tasks=2 gpus=1 run=5`},
	{name: "yield", loses: `11.5 with={"drop":"lead"`, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=40
12 deafen leader
30 submit req-000002 array tasks=2 gpus=1 run=5
50 undeafen all`},
	{name: "accepted by the leader", loses: `3 with={"set":"j/req-000001"`, lines: `
4 submit-at leader req-000001 array tasks=4 gpus=1 run=10`, ends: `submitted req-000001 200`},
	{name: "accepted by another", loses: `3 with={"set":"j/req-000001"`, lines: `
4 cut-zone c
4.1 submit-at node-0 req-000001 array tasks=4 gpus=1 run=10
6.5 heal-zone`, ends: `submitted req-000001 200`},
	{name: "asked to cancel", loses: `11 with="cancelAskedAt"`, lines: `
4 submit req-000001 array tasks=1 gpus=2 run=900
12 hang n-000001
12 hang n-000002
12 hang n-000003
12 hang n-000004
12.1 cancel req-000001
15 if-here n-000001 wake
15 if-here n-000002 wake
15 if-here n-000003 wake
15 if-here n-000004 wake`, ends: `req-000001 cancelled`, stays: `
50 expect conflicts 2`},
	{name: "completions of small arrays", loses: `5 with={"set":"dp/`, lines: `
4 submit req-000001 array tasks=20 gpus=1 run=8
4 submit req-000002 array tasks=3 gpus=1 run=8`, ends: `starts 23`},
	{name: "completions of a large array", loses: `5 with={"set":"d/`, scene: "fleet 1 huge a\n", lines: `
4 submit req-000001 array tasks=2500 gpus=0.004 cpus=1 mem=1 run=6 types=huge`, ends: `starts 2500`},
	{name: "done", loses: `5 with={"set":"f/`, most: 2, lines: `
4 submit req-000001 array tasks=4 gpus=1 run=8
4 submit req-000002 array tasks=4 gpus=1 run=8`, ends: `starts 8`},
	{name: "cancelled", loses: `5 with={"set":"f/`, lines: `
4 submit req-000001 array tasks=4 gpus=1 run=900
12 cancel req-000001`, ends: `req-000001 cancelled`},
	{name: "hosts", loses: `0 with={"set":"hp/`, lines: `
1 submit req-000001 array tasks=8 gpus=1 run=10`, ends: `starts 8`},
	{name: "launches", loses: `3 with={"set":"lp/`, most: 2, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=30
4 submit req-000002 array tasks=4 gpus=1 run=5`, ends: `starts 12`},
	{name: "bookings", loses: `5 with={"set":"bp/`, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=25
9 submit req-000002 array tasks=4 gpus=1 run=5 deadline=90
60 submit req-000003 array tasks=8 gpus=1 run=25
65 submit req-000004 array tasks=4 gpus=1 run=5 deadline=90`},
	{name: "machine types", loses: `0 with={"set":"types"`, lines: `
3 submit req-000001 array tasks=8 gpus=1 run=10`, ends: `starts 8`},
	{name: "memory", loses: `5 with={"set":"seen"`, scene: "fleet 4 big d\n", lines: `
4 submit req-000001 array tasks=6 gpus=2 run=30
14 cut-zone d
32 heal-zone`},
	{name: "configuration", loses: `5 with={"set":"cfg/head"`, scene: "changes\n", lines: `
4 submit req-000001 array tasks=30 gpus=1 run=3
8 config team/red/gpus_max=3
20 config team/red/gpus_max=6
60 config team/red/gpus_max=8
80 expect config settled
80 expect config revision 3
80 expect config history`},
	{name: "configuration, nothing else going on", loses: `5 with={"set":"cfg/head"`, scene: "changes\n", lines: `
8 config team/red/gpus_max=3
140 expect config settled`},
	{name: "roll-out", loses: `11 with={"set":"ro/`, most: 2, scene: "rollouts\n", lines: `
2 submit req-000001 service tasks=2 image=img-1
12 rollout r-1 picker image=img-2 count=2 floor=2 surge=2 stages=1,2 soak=5 adopt=req-000001
90 expect rollout picker done new=2`},
	{name: "orphans dropped", loses: `0 with={"drop":"b/req`, scene: orphanRecords(20), lines: `
3 submit req-000001 array tasks=8 gpus=1 run=10
60 expect kept b/req-000501 no
60 expect kept b/req-000520 no`},
	{name: "all listed", loses: `0 with="epoch":7}}]}`, scene: "record epoch 6\n", lines: `
3 submit req-000001 array tasks=8 gpus=1 run=10`, ends: `starts 8`},
}

// orphanRecords are bookings of jobs that nobody knows, more than one transaction drops.
func orphanRecords(count int) string {
	text := ""
	for i := range count {
		text += fmt.Sprintf("record b/req-%06d 1700000000\n", 501+i)
	}
	return text
}

const writerStays = "it stays"

// What becomes of the writer when its call was carried out and the answer is lost.
var lostThen = map[string]string{
	writerStays:                  "then=stays",
	"it ends, back at once":      "then=ends back=0.05",
	"it ends, back later":        "then=ends back=3",
	"it ends, another one leads": "then=ends",
	"others can't reach it":      "then=away back=1.6",
}

// trace makes the text of a trace.
func (k *lostKind) trace(then string) string {
	h := &history{}
	add := func(line string) {
		at, text, _ := strings.Cut(strings.TrimSpace(line), " ")
		if when, err := strconv.ParseFloat(at, 64); err == nil {
			h.at(when, "%s", text)
		}
	}
	for _, line := range strings.Split(k.lines, "\n") {
		add(line)
	}
	at, rule, _ := strings.Cut(k.loses, " ")
	add(fmt.Sprintf("%s lose-answers-of %s most=%d %s", at, rule, max(1, k.most), then))
	add("50 lose-answers-of nothing")
	add("50 start all")
	add("50 expect lost-answers 1")
	if then == lostThen[writerStays] {
		for _, line := range strings.Split(k.stays, "\n") {
			add(line)
		}
	}
	add("110 expect unanswered 30")
	add("110 count") // from here on there is nothing to do, and nothing is tried again and again
	add("140 expect at-most 10 changes")
	add("140 expect leader some")
	add("140 expect nothing-stuck")
	if k.name != "configuration, nothing else going on" {
		add("140 expect written-again")
	}
	if k.ends != "" {
		add("140 expect " + k.ends)
	}
	sort.SliceStable(h.lines, func(a, b int) bool { return h.lines[a].at < h.lines[b].at })
	text := lostScene + k.scene
	for _, l := range h.lines {
		text += fmt.Sprintf("at %g %s\n", l.at, l.text)
	}
	return text
}

// A call to the state service is carried out at once, only its answer is lost, while users
// ask all controllers and repeat their submissions; the writer stays, ends, or the others
// can't reach it. Nobody is told anything older than what was known, nothing runs twice or
// stands still, and what the writer does not know to be there it writes again.
func TestLostAnswers(t *testing.T) {
	for _, k := range lostKinds {
		for name, then := range lostThen {
			t.Run(k.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				text := k.trace(then)
				if w, err := playTrace(text, nil); err != nil {
					t.Errorf("%v\nthe trace:\n%s\nwhat happened:\n%s", err, text, strings.Join(w.Log, "\n"))
				}
			})
		}
	}
}

// The answer to an accepted submission comes late: meanwhile the writer has learnt of the
// job otherwise, its user has cancelled it and was told, and the writer has let go of it, in
// the same term or in one that has begun since. The job does not come back.
func TestLateAnswerToSubmission(t *testing.T) {
	scene := `nodes 2
team red
type big cpus=8 gpus=2 mem=64 boot=10 zones=a
no-capacity
fleet 4 big a
at 3 expect leader node-0
at 3.5 lose-answers-of with={"set":"j/req-000001" by=%g
`
	for name, lines := range map[string]string{
		"of its leader": `at 4.1 submit-at node-0 req-000001 array tasks=2 gpus=1 run=600
at 4.35 submit-at node-0 req-000001 array tasks=2 gpus=1 run=600
at 4.5 cancel req-000001
`,
		"of one that leads since": `at 4 restart leader after=0.05
at 4.02 submit-at node-1 req-000001 array tasks=2 gpus=1 run=600
at 4.5 submit-at node-1 req-000001 array tasks=2 gpus=1 run=600
at 4.6 cancel req-000001
`,
	} {
		t.Run(name, func(t *testing.T) {
			ended := 0
			for by := 0.3; by < 1.45; by += 0.05 {
				text := fmt.Sprintf(scene, by) + lines + "at 30 expect lost-answers 1\nat 30 expect req-000001 cancelled\nat 30 expect starts 0\n"
				w, err := playTrace(text, nil)
				if err != nil {
					t.Fatalf("%v\nthe trace:\n%s\nwhat happened:\n%s", err, text, strings.Join(w.Log, "\n"))
				}
				if w.jobs["req-000001"].toldAt < protocol.FromSeconds(4.1+by) {
					ended++
				}
			}
			if ended == 0 {
				t.Error("the answer never came after the cancellation was told")
			}
		})
	}
}

// The answer to a call of a controller that did not lead comes late, when it has just come
// to lead itself: another leader has ended the job meanwhile, and this one has not read yet
// which jobs are over.
func TestLateAnswerAcrossLeaders(t *testing.T) {
	scene := `nodes 3
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
		"to a submission": `at 5 lose-answers-of with={"set":"j/req-000001" by=%g
at 5.6 submit-at node-0 req-000001 array tasks=2 gpus=1 run=600
at 6.01 cancel req-000001
at 6.15 restart leader after=0.05
at 7 expect leader node-0`,
		"to a look": `at 5.3 submit-at node-1 req-000001 array tasks=2 gpus=1 run=600
at 5.5 lose-answers-of path=/store/j/req-000001 by=%g
at 5.6 submit-at node-1 req-000001 array tasks=2 gpus=1 run=600
at 6.01 cancel req-000001
at 6.15 restart leader after=0.05
at 7 expect leader node-1`,
	} {
		t.Run(name, func(t *testing.T) {
			for by := 0.9; by < 1.3; by += 0.01 {
				text := fmt.Sprintf(scene, fmt.Sprintf(lines, by))
				if w, err := playTrace(text, nil); err != nil {
					t.Fatalf("%v\nthe trace:\n%s\nwhat happened:\n%s", err, text, strings.Join(w.Log, "\n"))
				}
			}
		})
	}
}
