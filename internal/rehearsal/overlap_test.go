package rehearsal

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The same histories are drawn at every run, unless others are asked for:
//
//	go test ./internal/rehearsal -run Overlap -args -rapid.seed=7 -rapid.checks=5000
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "60")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// history is a trace that is drawn: troubles that overlap between troublesFrom and
// troublesTo, some of which stand still then until standsTo, while what leads must
// settle; after that everything is well again.
type history struct {
	lines []timedLine
}

type timedLine struct {
	at   float64
	text string
}

func (h *history) at(at float64, format string, args ...any) {
	h.lines = append(h.lines, timedLine{at, fmt.Sprintf(format, args...)})
}

// sorted lists what happens in its order.
func (h *history) sorted() []timedLine {
	sort.SliceStable(h.lines, func(a, b int) bool { return h.lines[a].at < h.lines[b].at })
	return h.lines
}

const (
	troublesFrom = 18.0
	troublesTo   = 110.0
	settled      = 135.0 // a few lease times and reports after the last change
	standsTo     = 215.0
	over         = 340.0
)

// drawHistory makes the text of a trace.
func drawHistory(t *rapid.T) string {
	nodes := rapid.SampledFrom([]int{3, 5, 7}).Draw(t, "nodes")
	zones := []string{"a", "b", "c", "d"}
	scene := fmt.Sprintf("nodes %d a b c a b c a\nteam red\ntype big cpus=8 gpus=2 mem=64 boot=10 zones=a,b,c,d\n", nodes)
	machines := 0
	for _, z := range zones {
		n := rapid.IntRange(2, 9).Draw(t, "machines in "+z)
		machines += n
		scene += fmt.Sprintf("fleet %d big %s\n", n, z)
	}
	h := &history{}
	jobs := rapid.IntRange(2, 6).Draw(t, "jobs")
	var cancelled []string
	for i := range jobs {
		ref := fmt.Sprintf("req-%06d", i+1)
		kind := rapid.SampledFrom([]string{"array", "array", "gang", "service"}).Draw(t, "kind")
		line := fmt.Sprintf("submit %s %s tasks=%d gpus=1 run=%d", ref, kind, rapid.IntRange(1, 5).Draw(t, "tasks"), rapid.SampledFrom([]int{8, 60}).Draw(t, "run"))
		if z := rapid.IntRange(0, 6).Draw(t, "zone"); z < 3 {
			line += " zone=" + zones[z]
		}
		h.at(4+float64(rapid.IntRange(0, 60).Draw(t, "submitted")), "%s", line)
		if kind == "service" || rapid.Bool().Draw(t, "cancelled") {
			cancelled = append(cancelled, ref)
			h.at(66+float64(rapid.IntRange(0, 40).Draw(t, "cancel")), "cancel %s", ref)
			h.at(standsTo+12, "cancel %s", ref) // a user who gave up asks once more
		}
	}
	span := func(name string, most int) (from, to float64) {
		from = troublesFrom + float64(rapid.IntRange(0, 60).Draw(t, name+" from"))
		return from, min(troublesTo, from+float64(rapid.IntRange(1, most).Draw(t, name+" for")))
	}
	node := func() string { return fmt.Sprintf("node-%d", rapid.IntRange(0, nodes-1).Draw(t, "node")) }
	ends := func(name string, to float64) float64 { // some troubles stand still
		if rapid.IntRange(0, 2).Draw(t, name+" stands") == 0 {
			return standsTo
		}
		return to
	}
	if rapid.IntRange(0, 3).Draw(t, "cut") > 0 {
		from, to := span("cut", 90)
		h.at(from, "cut-zone %s", rapid.SampledFrom(zones).Draw(t, "zone cut"))
		h.at(ends("cut", to), "heal-zone")
	}
	if rapid.Bool().Draw(t, "outage") {
		from, to := span("outage", 45)
		h.at(from, "state down")
		h.at(to, "state up")
	}
	if rapid.Bool().Draw(t, "cloud") {
		from, to := span("cloud", 70)
		h.at(from, "cloud down")
		h.at(to, "cloud up")
	}
	if rapid.Bool().Draw(t, "all end") {
		from, _ := span("end", 1)
		h.at(from, "kill all")
		h.at(from+rapid.SampledFrom([]float64{0.05, 0.4, 3}).Draw(t, "back after"), "start all")
	}
	// Processes that are back within a fraction of a second, some again and again, some
	// in the middle of an election; copies of what was carried out come late.
	for range rapid.IntRange(0, 3).Draw(t, "restarts") {
		from, _ := span("restart", 1)
		who := rapid.SampledFrom([]string{"leader", "leader", "all", node()}).Draw(t, "who")
		back := rapid.SampledFrom([]float64{0.05, 0.2, 0.5}).Draw(t, "back")
		every := rapid.SampledFrom([]float64{0.3, 2.2, 5}).Draw(t, "every")
		for i := range rapid.IntRange(1, 8).Draw(t, "times") {
			h.at(min(troublesTo, from+float64(i)*every), "restart %s after=%g", who, back)
		}
	}
	if rapid.Bool().Draw(t, "ends in an election") {
		from, _ := span("ends in", 1)
		h.at(from, "ends-in %s %d after=%g back=%g", rapid.SampledFrom([]string{"leasing", "claiming", "loading", "leading", "doubtful"}).Draw(t, "role"),
			rapid.IntRange(1, 6).Draw(t, "how many"), rapid.SampledFrom([]float64{0, 0.02, 1}).Draw(t, "ends after"), rapid.SampledFrom([]float64{0.05, 0.4}).Draw(t, "ends back"))
		h.at(from+0.1, "restart leader")
		h.at(troublesTo, "ends-in leading 0")
	}
	if rapid.Bool().Draw(t, "copies") {
		h.at(1, "copies %g", rapid.SampledFrom([]float64{0.1, 4, 45}).Draw(t, "copies after"))
		h.at(troublesTo, "copies 0")
	}
	for range rapid.IntRange(0, 3).Draw(t, "nodes in trouble") {
		n := node()
		from, to := span("node", 40)
		what := rapid.SampledFrom([][2]string{{"kill", "start"}, {"freeze", "thaw"}, {"deny", "admit"}, {"deafen", "undeafen"}, {"cut", "join"}}).Draw(t, "trouble")
		if what[0] == "deafen" {
			to = ends("deaf", to)
		}
		h.at(from, "%s %s", what[0], n)
		h.at(to, "%s %s", what[1], n)
	}
	for range rapid.IntRange(0, 3).Draw(t, "machines in trouble") {
		from, to := span("machine", 40)
		m := fmt.Sprintf("n-%06d", rapid.IntRange(1, machines).Draw(t, "machine"))
		if rapid.Bool().Draw(t, "hangs") {
			h.at(from, "if-here %s hang", m)
			h.at(to, "if-here %s wake", m)
		} else {
			h.at(from, "if-here %s die", m)
		}
	}
	// Troubles that meet others: see testdata/meet_*.trace for each by itself.
	late := func(what, with string) {
		if rapid.IntRange(0, 2).Draw(t, what) == 0 {
			from, to := span(what, 60)
			h.at(from, "%s every=%d by=%d%s", what, rapid.IntRange(1, 6).Draw(t, what+" every"), rapid.SampledFrom([]int{2, 6, 10, 30}).Draw(t, what+" by"), with)
			h.at(to, "%s every=0", what)
		}
	}
	late("late-writes", "")
	late("late-reports", rapid.SampledFrom([]string{"", " to=leader"}).Draw(t, "copies to"))
	if rapid.IntRange(0, 2).Draw(t, "away") == 0 {
		n := rapid.SampledFrom([]string{"leader", node()}).Draw(t, "who is away")
		from, to := span("away", 80)
		if n == "leader" {
			h.at(from, "if-leads away")
		} else {
			h.at(from, "away %s", n)
		}
		h.at(to, "back all")
	}
	if rapid.IntRange(0, 2).Draw(t, "refused, then an outage") == 0 {
		from, _ := span("refused", 1)
		out := from + float64(rapid.IntRange(6, 20).Draw(t, "refused for"))
		h.at(from, "if-leads deny")
		h.at(out, "state down")
		h.at(out+float64(rapid.IntRange(5, 60).Draw(t, "down for")), "state up")
		h.at(troublesTo+20, "state up")
		h.at(troublesTo+20, "admit all")
	}
	for range rapid.IntRange(0, 2).Draw(t, "deaf machines, or held commands") * machines / 8 {
		from, to := span("deaf", 60)
		m := fmt.Sprintf("n-%06d", rapid.IntRange(1, machines).Draw(t, "machine"))
		what := rapid.SampledFrom([][2]string{{"deaf", "hears"}, {"hold-calls", "deliver-calls"}, {"lose-answers", "pass-answers"}}).Draw(t, "what")
		h.at(from, "if-here %s %s", m, what[0])
		h.at(to, "if-here %s %s", m, what[1])
	}
	h.at(1, "balance")
	h.at(settled, "count")
	h.at(standsTo-0.1, "expect leader some")
	h.at(standsTo-0.1, "expect at-most 2 leaders")
	for _, ref := range cancelled {
		h.at(over, "expect over %s", ref)
	}
	h.at(over, "expect nothing-stuck")
	h.at(over, "expect unanswered 75")
	for _, l := range h.sorted() {
		scene += fmt.Sprintf("at %g %s\n", l.at, l.text)
	}
	return scene
}

// Troubles overlap at random. While those that stay stand still, some leader lasts; no
// cancelled task outlives what its user was told; when all is well again whatever was
// accepted ends, and every cancellation is answered.
func TestOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawHistory(t)
		if w, err := RunTrace(text, nil); err != nil {
			t.Fatalf("%v\nthe trace:\n%s\nwhat happened:\n%s", err, text, strings.Join(w.Log, "\n"))
		}
	})
}
