package simulation

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// chainDraw draws the history of some chains: when they are submitted and cancelled, and
// the troubles that they meet.
type chainDraw struct {
	t        *rapid.T
	h        history
	from     float64 // the first job is submitted then at the soonest
	submitOn string  // words before a submission: when it is due, if not at a time
}

func (d *chainDraw) between(name string, from, to int) float64 {
	return float64(rapid.IntRange(from, to).Draw(d.t, name))
}

// jobs draws a graph of jobs. Some are submitted only when those before are long over.
func (d *chainDraw) jobs() (cancelled []string) {
	count := rapid.IntRange(4, 16).Draw(d.t, "jobs")
	var refs []string
	for i := range count {
		ref := fmt.Sprintf("req-%06d", i+1)
		line := fmt.Sprintf("%s %s tasks=%d gpus=%d run=%d", ref, rapid.SampledFrom([]string{"array", "array", "gang"}).Draw(d.t, "kind"),
			rapid.IntRange(1, 3).Draw(d.t, "tasks"), rapid.IntRange(0, 1).Draw(d.t, "gpus"), rapid.SampledFrom([]int{2, 8, 30}).Draw(d.t, "run"))
		var awaits []string
		for range min(len(refs), rapid.IntRange(0, 3).Draw(d.t, "awaits")) {
			// Mostly the newest ones: chains rather than fans.
			back := rapid.SampledFrom([]int{1, 1, 1, 2, 3, 5}).Draw(d.t, "back")
			awaits = append(awaits, refs[max(0, len(refs)-back)])
		}
		if len(awaits) > 0 {
			line += " awaits=" + strings.Join(awaits, ",")
		}
		at := d.from + d.between("submitted", 0, 60)
		if rapid.IntRange(0, 4).Draw(d.t, "late") == 0 {
			at = d.from + 56 + d.between("submitted late", 0, 120)
		}
		if d.submitOn == "" {
			d.h.at(at, "submit-after %s", line)
		} else {
			d.h.at(1, "%s after=%g submit-after %s", d.submitOn, at-d.from, line)
		}
		refs = append(refs, ref)
		if rapid.IntRange(0, 4).Draw(d.t, "cancelled") == 0 {
			cancelled = append(cancelled, ref)
			d.h.at(at+d.between("cancel", 1, 50), "cancel-known %s", ref)
			d.h.at(276+d.from, "cancel-known %s", ref) // a user who gave up asks once more
		}
		if rapid.IntRange(0, 4).Draw(d.t, "repeated") == 0 {
			d.h.at(at+d.between("repeated", 5, 100), "resubmit-known %s", ref)
		}
	}
	return cancelled
}

// span draws from when to when a trouble lasts.
func (d *chainDraw) span(name string, most int) (from, to float64) {
	from = 10 + d.between(name+" from", 0, 90)
	return from, min(troublesTo, from+d.between(name+" for", 1, most))
}

func (d *chainDraw) chance(name string, of int) bool {
	return rapid.IntRange(1, of).Draw(d.t, name) == 1
}

// troubles draws what the chains meet.
func (d *chainDraw) troubles(nodes, machines int) {
	zones := []string{"a", "b", "c"}
	if d.chance("cut", 2) {
		from, to := d.span("cut", 60)
		d.h.at(from, "cut-zone %s", rapid.SampledFrom(zones).Draw(d.t, "zone cut"))
		d.h.at(to, "heal-zone")
	}
	if d.chance("outage", 2) {
		from, to := d.span("outage", 60)
		d.h.at(from, "state down")
		d.h.at(to, "state up")
	} else if d.chance("refused, then an outage", 4) {
		from, _ := d.span("refused", 1)
		d.h.at(from, "if-leads deny")
		out := from + d.between("refused for", 6, 20)
		d.h.at(out, "state down")
		d.h.at(out+d.between("down for", 5, 50), "state up")
		d.h.at(troublesTo+20, "state up")
		d.h.at(troublesTo, "admit all")
	}
	for range rapid.IntRange(0, 4).Draw(d.t, "restarts") {
		from, _ := d.span("restart", 1)
		who := rapid.SampledFrom([]string{"leader", "leader", "all"}).Draw(d.t, "who")
		for i := range rapid.IntRange(1, 4).Draw(d.t, "times") {
			d.h.at(min(troublesTo, from+float64(i)*2.7), "restart %s after=%g", who, rapid.SampledFrom([]float64{0.05, 0.5, 3}).Draw(d.t, "back"))
		}
	}
	if d.chance("copies", 2) {
		d.h.at(1, "copies %g", rapid.SampledFrom([]float64{0.1, 4, 45}).Draw(d.t, "copies after"))
		d.h.at(troublesTo, "copies 0")
	}
	if d.chance("late writes", 2) {
		from, to := d.span("late writes", 80)
		with := rapid.SampledFrom([]string{"", " with=f/req-", " with=j/req-", " with=f/req-000001"}).Draw(d.t, "late with")
		d.h.at(from, "late-writes every=%d by=%d%s", rapid.IntRange(1, 4).Draw(d.t, "late every"), rapid.SampledFrom([]int{0, 1, 6, 20}).Draw(d.t, "late by"), with)
		d.h.at(to, "late-writes every=0")
	}
	if d.chance("slow", 4) {
		from, to := d.span("slow", 40)
		d.h.at(from, "state-slow 0.4")
		d.h.at(to, "state-slow 0")
	}
	for range rapid.IntRange(0, 2).Draw(d.t, "nodes in trouble") {
		from, to := d.span("node", 40)
		what := rapid.SampledFrom([][2]string{{"freeze", "thaw"}, {"deny", "admit"}, {"deafen", "undeafen"}, {"cut", "join"}}).Draw(d.t, "trouble")
		n := rapid.IntRange(0, nodes-1).Draw(d.t, "node")
		d.h.at(from, "%s node-%d", what[0], n)
		d.h.at(to, "%s node-%d", what[1], n)
	}
	for range rapid.IntRange(0, 2).Draw(d.t, "machines in trouble") {
		from, to := d.span("machine", 40)
		m := rapid.IntRange(1, machines).Draw(d.t, "machine")
		what := rapid.SampledFrom([][2]string{{"hang", "wake"}, {"lose-answers", "pass-answers"}, {"hold-reports", "deliver-reports"}}).Draw(d.t, "what")
		d.h.at(from, "if-here n-%06d %s", m, what[0])
		d.h.at(to, "if-here n-%06d %s", m, what[1])
	}
}

// drawChains makes the text of a trace.
func drawChains(t *rapid.T) string {
	d := &chainDraw{t: t, from: 4}
	nodes := rapid.SampledFrom([]int{3, 5}).Draw(t, "nodes")
	const machines = 9
	text := fmt.Sprintf("nodes %d a b c a b\nworkers cancel=%d\nteam red\ntype big cpus=8 gpus=2 mem=64 boot=10 zones=a,b,c\n", nodes,
		rapid.SampledFrom([]int{25, 50}).Draw(t, "cancel within"))
	for _, z := range []string{"a", "b", "c"} {
		text += fmt.Sprintf("fleet %d big %s\n", machines/3, z)
	}
	if rapid.Bool().Draw(t, "low limits") {
		text += "limits changes=24\ntxn-changes 4\n"
	}
	cancelled := d.jobs()
	d.troubles(nodes, machines)
	for _, ref := range cancelled {
		d.h.at(over+60, "expect-over-known %s", ref)
	}
	d.h.at(over+60, "expect nothing-stuck")
	d.h.at(over+60, "expect unanswered 80")
	sort.SliceStable(d.h.lines, func(a, b int) bool { return d.h.lines[a].at < d.h.lines[b].at })
	for _, l := range d.h.lines {
		text += fmt.Sprintf("at %g %s\n", l.at, l.text)
	}
	return text
}

// Chains are submitted, cancelled and finished at random over several controllers, while
// leaders end and writes are late or lost: no task starts too early, no job is left behind
// by a cancellation, nobody hears anything older, and whatever was accepted ends.
func TestChains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawChains(t)
		if w, err := playTrace(text, nil); err != nil {
			t.Fatalf("%v\nthe trace:\n%s\nwhat happened:\n%s", err, text, strings.Join(w.Log, "\n"))
		}
	})
}
