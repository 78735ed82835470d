package rehearsal

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
)

// lostKind is one kind of call to the state service whose answer is lost.
type lostKind struct {
	name  string
	scene string // besides the usual one
	lines string // what happens, each line with its instant
	loses string // which answers are lost, from the instant that it begins with
	most  int    // how many, 0: one
	ends  string // what is expected at the end
	least int    // how many are lost at least, 0: one
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
4 submit req-000001 array tasks=8 gpus=1 run=20
12 kill leader
13 submit req-000002 array tasks=2 gpus=1 run=5`},
	{name: "lease made", loses: `11.5 path=/leases method=POST`, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=20
12 kill leader
13 submit req-000002 array tasks=2 gpus=1 run=5`},
	{name: "lease renewed", loses: `12 path=/extend`, most: 2, lines: `
4 submit req-000001 array tasks=8 gpus=1 run=20
13 submit req-000002 array tasks=2 gpus=1 run=5
14 submit req-000003 array tasks=2 gpus=1 run=900
15 cancel req-000003`},
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
4 submit-at leader req-000001 array tasks=4 gpus=1 run=10`},
	{name: "accepted by another", loses: `3 with={"set":"j/req-000001"`, lines: `
4 cut-zone c
4.1 submit-at node-0 req-000001 array tasks=4 gpus=1 run=10
6.5 heal-zone`},
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
15 if-here n-000004 wake`, ends: `req-000001 cancelled`},
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
	{name: "roll-out", loses: `11 with={"set":"ro/`, most: 2, scene: "rollouts\n", lines: `
2 submit req-000001 service tasks=2 image=img-1
12 rollout r-1 picker image=img-2 count=2 floor=2 surge=2 stages=1,2 soak=5 adopt=req-000001
90 expect rollout picker done new=2`},
	{name: "orphans dropped", loses: `0 with={"drop":"b/req`, scene: "record b/req-000009 1700000000\n", lines: `
3 submit req-000001 array tasks=8 gpus=1 run=10
60 expect kept b/req-000009 no`},
	{name: "all listed", loses: `0 with="epoch":7}}]}`, scene: "record epoch 6\n", lines: `
3 submit req-000001 array tasks=8 gpus=1 run=10`, ends: `starts 8`},
}

// What becomes of the writer when its call was carried out and the answer is lost.
var lostThen = map[string]string{
	"it stays":                   "then=stays",
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
	add(fmt.Sprintf("50 expect lost-answers %d", max(1, k.least)))
	add("140 expect leader some")
	add("140 expect nothing-stuck")
	add("140 expect unanswered 30")
	add("140 expect written-again")
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
				if w, err := RunTrace(text, nil); err != nil {
					t.Errorf("%v\nthe trace:\n%s\nwhat happened:\n%s", err, text, strings.Join(w.Log, "\n"))
				}
			})
		}
	}
}
