package simulation

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawConfigChanges generates a trace in which operators change limits, drain machines and
// zones, and roll back, through several controllers, while jobs are submitted and end and
// faults overlap. The rules that are checked throughout are in changes.go.
func drawConfigChanges(t *rapid.T) string {
	nodes := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "nodes")
	setup := fmt.Sprintf("nodes %d a b c a b\nteam red max=10\nteam blue\ntype big cpus=8 gpus=2 mem=64 boot=6 zones=a,b,c\n", nodes)
	for _, z := range []string{"a", "b", "c"} {
		setup += fmt.Sprintf("fleet %d big %s\n", rapid.IntRange(1, 4).Draw(t, "machines in "+z), z)
	}
	setup += fmt.Sprintf("value-bytes %d\nchanges\n", rapid.SampledFrom([]int{2048, 2048, 8192}).Draw(t, "bytes of a value"))
	h := &historyBuilder{}
	const from, to, end = 8.0, 70.0, 200.0
	at := func(name string) float64 { return from + float64(rapid.IntRange(0, 2400).Draw(t, name))/40 }
	for i := range rapid.IntRange(3, 14).Draw(t, "jobs") {
		kind := rapid.SampledFrom([]string{"array", "array", "array", "gang", "service"}).Draw(t, "kind")
		team := rapid.SampledFrom([]string{"red", "red", "blue"}).Draw(t, "team")
		h.at(at("submitted")-5, "submit req-%06d %s tasks=%d team=%s run=%d", i+1, kind, rapid.SampledFrom([]int{1, 2, 3, 5, 20}).Draw(t, "tasks"), team, rapid.SampledFrom([]int{1, 4, 12, 40}).Draw(t, "run"))
	}
	node := func() string { return fmt.Sprintf("node-%d", rapid.IntRange(0, nodes-1).Draw(t, "node")) }
	change := func() string {
		switch rapid.IntRange(0, 9).Draw(t, "what") {
		case 0:
			return "drain/zone/" + rapid.SampledFrom([]string{"a=finish", "a=stop", "b=finish", "a=-", "b=-"}).Draw(t, "zone")
		case 1:
			return "drain/machine/n-00000" + rapid.SampledFrom([]string{"1=stop", "2=finish", "1=-", "2=-"}).Draw(t, "machine")
		case 2:
			return "rent/big/" + rapid.SampledFrom([]string{"a=2", "b=3", "a=0", "a=-", "b=-"}).Draw(t, "ceiling")
		case 3:
			return "team/" + rapid.SampledFrom([]string{"red/retired=true", "blue/retired=true", "red/retired=false", "blue/retired=-", "red/excess=stop", "red/excess=finish"}).Draw(t, "of a team")
		case 4:
			return "log/level=" + rapid.SampledFrom([]string{"debug", "info", "error"}).Draw(t, "level")
		}
		return fmt.Sprintf("team/%s/gpus_max=%s", rapid.SampledFrom([]string{"red", "red", "blue"}).Draw(t, "whose"), rapid.SampledFrom([]string{"1", "3", "6", "9", "-", "12"}).Draw(t, "limit"))
	}
	for range rapid.IntRange(2, 16).Draw(t, "changes") {
		when := at("changed")
		words := change()
		if more := change(); rapid.Bool().Draw(t, "two keys") && strings.Split(more, "=")[0] != strings.Split(words, "=")[0] {
			words += " " + more
		}
		line := "config " + words
		if rapid.IntRange(0, 7).Draw(t, "back") == 0 {
			line = fmt.Sprintf("config-back %d", rapid.IntRange(0, 5).Draw(t, "to"))
		}
		if rapid.Bool().Draw(t, "through one") {
			line += " via=" + node()
		}
		h.at(when, "%s", line)
		if rapid.IntRange(0, 3).Draw(t, "leader ends meanwhile") == 0 {
			h.at(when+float64(rapid.IntRange(0, 40).Draw(t, "so late"))/1000, "restart leader after=%g", rapid.SampledFrom([]float64{0.05, 0.2, 3}).Draw(t, "back after"))
		}
	}
	span := func(name string, maxDuration int) (float64, float64) {
		b := at(name + " from")
		return b, min(to, b+float64(rapid.IntRange(1, maxDuration).Draw(t, name+" for")))
	}
	for range rapid.IntRange(0, 4).Draw(t, "nodes in trouble") {
		who := rapid.SampledFrom([]string{"leader", node(), node()}).Draw(t, "who")
		b, e := span("node", 40)
		what := rapid.SampledFrom([][2]string{{"freeze", "thaw"}, {"freeze", "thaw"}, {"cut", "join"}, {"isolate", "unisolate"}, {"kill", "start"}, {"deny-state", "allow-state"}}).Draw(t, "trouble")
		if who == "leader" {
			h.at(b, "if-leader %s", what[0])
			h.at(e, "%s all", what[1])
			continue
		}
		h.at(b, "%s %s", what[0], who)
		h.at(e, "%s %s", what[1], who)
	}
	if rapid.IntRange(0, 2).Draw(t, "all end") == 0 {
		b, _ := span("end", 1)
		h.at(b, "kill all")
		h.at(b+rapid.SampledFrom([]float64{0.05, 0.2, 4}).Draw(t, "all back after"), "start all")
	}
	if rapid.IntRange(0, 2).Draw(t, "outage") == 0 {
		b, e := span("outage", 20)
		h.at(b, "state down")
		h.at(e, "state up")
	}
	if rapid.IntRange(0, 2).Draw(t, "zone cut") == 0 {
		b, e := span("cut", 50)
		h.at(b, "cut-zone %s", rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone cut off"))
		h.at(e, "heal-zone")
	}
	if rapid.Bool().Draw(t, "late") {
		b, e := span("late", 50)
		h.at(b, "late-writes every=%d by=%d%s", rapid.IntRange(1, 4).Draw(t, "every"), rapid.SampledFrom([]int{2, 6, 20}).Draw(t, "by"),
			rapid.SampledFrom([]string{"", " with=operator", " with=cfg/head"}).Draw(t, "which"))
		h.at(e, "late-writes every=0")
	}
	h.at(1, "duplicate-requests %s", rapid.SampledFrom([]string{"mixed", "0.1", "4", "30"}).Draw(t, "copies after"))
	h.at(to, "duplicate-requests 0")
	for _, all := range []string{"thaw all", "join all", "unisolate all", "allow-state all", "start all"} {
		h.at(to+0.5, "%s", all)
	}
	// Without faults every request is answered, and every change is in the history.
	h.at(to+75, "config team/red/gpus_max=- team/red/retired=false log/level=info")
	h.at(to+85, "expect config settled")
	h.at(to+85, "expect config history")
	h.at(end, "expect leader some")
	sort.SliceStable(h.lines, func(a, b int) bool { return h.lines[a].at < h.lines[b].at })
	for _, l := range h.lines {
		setup += fmt.Sprintf("at %g %s\n", l.at, l.text)
	}
	return setup
}

// No controller decides by a revision older than one reported to an operator as in force. No
// launch is recorded that exceeds the newest revision, no change is lost or applied twice, and
// the history has no gaps.
func TestChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawConfigChanges(t)
		if w, err := playTrace(text, nil); err != nil {
			t.Fatalf("%v\ntrace:\n%s\nevent log:\n%s", err, text, strings.Join(w.Log, "\n"))
		}
	})
}
